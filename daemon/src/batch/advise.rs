//! Queries the advice service through the agents.
//!
//! The service handles the questions from one VM one after another, so the questions are
//! spread over the agents, at most one at a time through each.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::advice;
use lavendergauge_lib::batch::advice::Question;

use crate::batch::leader::Term;
use crate::batch::message;
use crate::batch::message::AdviceReply;
use crate::batch::message::AdviceRequest;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Deadline of a query through an agent.
const DEADLINE: Duration = Duration::from_millis(6500);

/// Sends each question through an agent that has no other question in progress.
///
/// A question for which there is no such agent counts as failed at once.
pub fn send(planner: &Arc<Planner>, term: &Arc<Term>, questions: Vec<Question>) {
    for question in questions {
        let Some((node, address)) = planner.reserve_agent() else {
            advice::record_failure(&mut planner.tables(), clock::boot(), question.instance);
            continue;
        };
        let (planner, term) = (planner.clone(), term.clone());
        tokio::spawn(async move {
            query(&planner, &term, &node, &address, &question).await;
            planner.release_agent(&node);
            planner.wake.notify_one();
        });
    }
}

async fn query(planner: &Planner, term: &Term, node: &str, address: &str, question: &Question) {
    let sent_at = clock::boot();
    let request = AdviceRequest {
        authority: planner.authority(term, 0, 0),
        instance: question.instance,
        workers: question.workers.iter().map(|(_, id, _)| id.clone()).collect(),
    };
    let answer = planner
        .client
        .exchange::<AdviceRequest, AdviceReply>(address, message::ADVISE, &request, DEADLINE)
        .await;
    let mut tables = planner.tables();
    match answer {
        Ok(AdviceReply::Good { good, valid_ms }) => {
            log::info!(
                "event=advised job={} step={} through={node} asked={} good={} ms={}",
                question.instance.job,
                question.instance.step,
                question.workers.len(),
                good.len(),
                clock::boot().since(sent_at).as_millis()
            );
            let valid = Duration::from_millis(valid_ms);
            advice::apply_answer(&mut tables, sent_at, question, &good, valid);
        }
        Ok(AdviceReply::Failed(cause)) => {
            log::info!("event=advice-failed through={node} cause={}", Value(&cause));
            advice::record_failure(&mut tables, clock::boot(), question.instance);
        }
        Err(error) => {
            let cause = error.to_string();
            log::info!("event=advice-failed through={node} cause={}", Value(&cause));
            advice::record_failure(&mut tables, clock::boot(), question.instance);
        }
    }
}
