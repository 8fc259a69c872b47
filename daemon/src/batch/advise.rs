//! Asks the advice service through the agents.
//!
//! The service works through the questions of one machine in turn, so they are dealt out over the
//! agents, one at a time to each.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::advice;
use lavendergauge_lib::batch::advice::Question;

use crate::batch::lead::Tenure;
use crate::batch::message;
use crate::batch::message::Advised;
use crate::batch::message::AskAdvice;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Longest time that an agent is waited for.
const DEADLINE: Duration = Duration::from_millis(6500);

/// Sends questions, each through an agent that has none under way.
pub fn send(planner: &Arc<Planner>, tenure: &Arc<Tenure>, questions: Vec<Question>) {
    for question in questions {
        let Some((node, address)) = planner.take_adviser() else {
            advice::failed(&mut planner.tables(), clock::boot(), question.part);
            continue;
        };
        let (planner, tenure) = (planner.clone(), tenure.clone());
        tokio::spawn(async move {
            ask(&planner, &tenure, &node, &address, &question).await;
            planner.give_adviser(&node);
            planner.wake.notify_one();
        });
    }
}

async fn ask(planner: &Planner, tenure: &Tenure, node: &str, address: &str, question: &Question) {
    let asked = clock::boot();
    let call = AskAdvice {
        authority: planner.authority(tenure, 0, 0),
        part: question.part,
        workers: question.workers.iter().map(|(_, id, _)| id.clone()).collect(),
    };
    let answer = planner
        .client
        .exchange::<AskAdvice, Advised>(address, message::ADVISE, &call, DEADLINE)
        .await;
    let mut tables = planner.tables();
    match answer {
        Ok(Advised::Good { good, valid_ms }) => {
            log::info!(
                "event=advised job={} step={} through={node} asked={} good={} ms={}",
                question.part.job,
                question.part.step,
                question.workers.len(),
                good.len(),
                clock::boot().since(asked).as_millis()
            );
            let valid = Duration::from_millis(valid_ms);
            advice::answered(&mut tables, asked, question, &good, valid);
        }
        Ok(Advised::Failed(cause)) => {
            log::info!("event=advice-failed through={node} cause={}", Value(&cause));
            advice::failed(&mut tables, clock::boot(), question.part);
        }
        Err(error) => {
            let cause = error.to_string();
            log::info!("event=advice-failed through={node} cause={}", Value(&cause));
            advice::failed(&mut tables, clock::boot(), question.part);
        }
    }
}
