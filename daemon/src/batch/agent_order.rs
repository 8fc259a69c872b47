//! Carries the planner's orders out at the worker.

use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_platform::Error;
use lavendergauge_platform::worker::Reply;
use lavendergauge_platform::worker::Start;

use crate::batch::agent::Agent;
use crate::clock;
use crate::logs::Value;

/// Carries one order out under a fencing token.
pub async fn carry_out(agent: &Agent, fence: u64, order: &Order) -> Answer {
    let answer = match &order.verb {
        Verb::Start { payload, checkpoint, ticket, expires } => {
            let start = Start {
                task: order.task,
                run: order.run,
                payload,
                checkpoint,
                ticket,
                lease_until: 0,
            };
            start_run(agent, fence, order, start, *expires).await
        }
        Verb::Stop => stop_run(agent, fence, order).await,
        Verb::Pace(percent) => pace_run(agent, fence, order, *percent).await,
    };
    let verb = match order.verb {
        Verb::Start { .. } => "start",
        Verb::Stop => "stop",
        Verb::Pace(_) => "pace",
    };
    let outcome = match &answer {
        Answer::Done(_) => "done",
        Answer::Refused(why) => why.as_str(),
        Answer::Gone => "worker-gone",
        Answer::Unknown => "no-answer",
    };
    log::info!(
        "event=order verb={verb} task={} run={} incarnation={} fence={fence} outcome={}",
        order.task,
        order.run,
        order.incarnation,
        Value(outcome)
    );
    answer
}

/// Returns the identifier of the worker that an order is meant for, if it stands beside us.
fn addressee(agent: &Agent, order: &Order) -> Result<(String, bool), Answer> {
    let core = agent.core();
    if order.incarnation <= core.over {
        return Err(Answer::Gone);
    }
    match &core.worker {
        Some(worker) if worker.incarnation == order.incarnation => {
            Ok((worker.id.clone(), worker.ready))
        }
        Some(worker) if order.incarnation < worker.incarnation => Err(Answer::Gone),
        // This process may be younger than the worker and not have heard of it yet.
        _ => Err(Answer::Unknown),
    }
}

async fn start_run(
    agent: &Agent,
    fence: u64,
    order: &Order,
    start: Start<'_>,
    expires: u64,
) -> Answer {
    let (id, ready) = match addressee(agent, order) {
        Ok(found) => found,
        Err(Answer::Unknown) => return Answer::Refused("worker-unknown".to_owned()),
        Err(answer) => return answer,
    };
    if !ready {
        return Answer::Refused("worker-leaving".to_owned());
    }
    if expires < clock::boot().0 {
        return Answer::Refused("order-expired".to_owned());
    }
    let Some(lease_until) = agent.lease_until() else {
        return Answer::Refused("no-grant".to_owned());
    };
    let start = Start { lease_until, ..start };
    match agent.client.start(&id, fence, &start).await {
        Ok(Reply::Done) => Answer::Done(clock::boot().0),
        Ok(Reply::Refused(why)) => Answer::Refused(why),
        Ok(Reply::Gone) => Answer::Gone,
        Err(Error::NotDone(why)) => Answer::Refused(why),
        Err(error) => {
            log::warn!("event=worker-silent worker={id} cause={}", Value(&error.to_string()));
            Answer::Unknown
        }
    }
}

async fn stop_run(agent: &Agent, fence: u64, order: &Order) -> Answer {
    let (id, _) = match addressee(agent, order) {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    acknowledged(&id, agent.client.stop(&id, fence, order.task, order.run).await)
}

async fn pace_run(agent: &Agent, fence: u64, order: &Order, percent: u32) -> Answer {
    let (id, _) = match addressee(agent, order) {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    acknowledged(&id, agent.client.pace(&id, fence, order.task, order.run, percent).await)
}

/// Turns a worker's reply to an order that may be repeated into an answer.
fn acknowledged(id: &str, reply: Result<Reply, Error>) -> Answer {
    match reply {
        Ok(Reply::Done) => Answer::Done(clock::boot().0),
        Ok(Reply::Refused(why)) => Answer::Refused(why),
        Ok(Reply::Gone) => Answer::Gone,
        Err(error) => {
            log::warn!("event=worker-silent worker={id} cause={}", Value(&error.to_string()));
            Answer::Unknown
        }
    }
}
