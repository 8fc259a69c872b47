//! Answers questions of operators about where a job would be placed, at the leader.

use std::time::Duration;

use lavendergauge_lib::batch::explain;
use lavendergauge_lib::batch::explain::Question;
use lavendergauge_lib::batch::explain::Refusal;
use lavendergauge_lib::batch::explain::Reply;
use lavendergauge_lib::batch::explain::Subject;
use lavendergauge_lib::batch::explain::Target;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::ingress;
use metrics::counter;
use metrics::histogram;
use tokio::task;

use crate::batch::entry::Entry;
use crate::batch::message;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Least time between two answers, each of which copies the leader's tables.
const INTERVAL: Duration = Duration::from_millis(250);
/// Deadline of a question that is passed on to the leader.
const DEADLINE: Duration = Duration::from_millis(2000);

/// Answers a question, or passes it on to the leader.
pub async fn on_question(entry: &Entry, question: Question) -> Reply {
    if let Some(planner) = entry.planner() {
        let reply = answer(&planner, question).await;
        let outcome = match &reply {
            Reply::Explained(_) => "explained",
            Reply::Refused(Refusal::Busy) => "busy",
            Reply::Refused(_) => "refused",
        };
        counter!("lavendergauge_explanations_total", "outcome" => outcome).increment(1);
        return reply;
    }
    let leader = entry.leader.borrow().clone();
    let Some(leader) = leader.filter(|_| !question.is_passed_on) else {
        return Reply::Refused(Refusal::NoLeader);
    };
    let question = Question { is_passed_on: true, ..question };
    let reply = entry
        .client
        .exchange::<Question, Reply>(&leader.address, message::EXPLAIN, &question, DEADLINE)
        .await;
    reply.unwrap_or_else(|error| {
        let cause = error.to_string();
        log::info!("event=planner-silent planner={} cause={}", leader.name, Value(&cause));
        Reply::Refused(Refusal::NoLeader)
    })
}

/// Answers a question from a copy of the leader's tables, one question at a time.
async fn answer(planner: &Planner, question: Question) -> Reply {
    let target = match question.subject {
        Subject::Submitted(id) => Target::Submitted(id),
        Subject::File(text) => match ingress::parse_job(text.as_bytes()) {
            Ok(submission) => Target::New(submission),
            Err(cause) => return Reply::Refused(Refusal::Malformed(cause)),
        },
    };
    let Ok(mut explained_at) = planner.explained_at.try_lock() else {
        return Reply::Refused(Refusal::Busy);
    };
    let now = clock::boot();
    if *explained_at != Millis::default() && now.since(*explained_at) < INTERVAL {
        return Reply::Refused(Refusal::Busy);
    }
    *explained_at = now;
    let copy = planner.tables().clone();
    histogram!("lavendergauge_explanation_copy_seconds")
        .record(clock::boot().since(now).as_secs_f64());
    let (queue, account) = (question.queue, question.account);
    // The decision takes about as long as a tick, which would delay the answers to callers.
    let explained = task::spawn_blocking(move || {
        explain::explain(copy, now, clock::wall_ms(), &queue, &account, target)
    });
    match explained.await {
        Ok(Ok(explanation)) => Reply::Explained(explanation),
        Ok(Err(refusal)) => Reply::Refused(refusal),
        Err(error) => {
            log::error!("event=explanation-failed cause={}", Value(&error.to_string()));
            Reply::Refused(Refusal::Busy)
        }
    }
}
