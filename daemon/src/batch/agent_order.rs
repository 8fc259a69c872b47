//! Executes the planner's orders at the worker.

use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_lib::batch::report::Announcement;
use lavendergauge_lib::resource::Resources;
use lavendergauge_platform::Error;
use lavendergauge_platform::worker;
use lavendergauge_platform::worker::Reply;
use lavendergauge_platform::worker::Start;

use crate::batch::agent::Agent;
use crate::clock;
use crate::logs::Value;

/// Executes one order under a fencing token, logs it, and returns the answer for the planner.
pub async fn execute(agent: &Agent, fence: u64, order: &Order) -> Answer {
    let answer = match &order.verb {
        Verb::Start { payload, checkpoint, ticket, expires, capacity } => {
            let start = Start {
                task: order.task,
                run: order.run,
                payload,
                checkpoint,
                ticket,
                lease_until_ms: 0,
            };
            start_run(agent, fence, order, start, *expires, *capacity).await
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
        Answer::Refused(reason) => reason.as_str(),
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

/// Returns the identifier of the worker that an order is meant for and whether it is ready for new
/// work.
///
/// The error is the answer to the order when that worker is not, or not known to be, on this VM.
fn find_worker(agent: &Agent, order: &Order) -> Result<(String, bool), Answer> {
    let state = agent.state();
    if state.membership.ended().contains(&order.incarnation) {
        return Err(Answer::Gone);
    }
    match state.worker() {
        Some(worker) if worker.incarnation == order.incarnation => {
            Ok((worker.id.clone(), worker.ready))
        }
        // One worker at a time uses the address.
        Some(_) => Err(Answer::Gone),
        // This process may have started after the worker and not have received a heartbeat yet.
        None => Err(Answer::Unknown),
    }
}

/// Returns the capacity that the worker announced last.
fn announced_capacity(agent: &Agent) -> Resources {
    agent.state().worker().map(Announcement::capacity).unwrap_or_default()
}

async fn start_run(
    agent: &Agent,
    fence: u64,
    order: &Order,
    start: Start<'_>,
    expires: u64,
    capacity: Resources,
) -> Answer {
    let Ok(_permit) = agent.starts.acquire().await else {
        return Answer::Refused("agent-stopping".to_owned());
    };
    let token = agent.state().epoch.token(fence);
    let answer = try_start(agent, fence, order, &start, expires, capacity).await;
    // An epoch that began while the order was on its way made the worker refuse it.
    let is_outdated = answer == Answer::Refused(worker::FENCED.to_owned());
    if is_outdated && token < agent.state().epoch.token(fence) {
        return try_start(agent, fence, order, &start, expires, capacity).await;
    }
    answer
}

async fn try_start(
    agent: &Agent,
    fence: u64,
    order: &Order,
    start: &Start<'_>,
    expires: u64,
    capacity: Resources,
) -> Answer {
    if fence < agent.state().fence {
        return Answer::Refused("superseded".to_owned());
    }
    let (id, ready) = match find_worker(agent, order) {
        Ok(found) => found,
        Err(Answer::Unknown) => return Answer::Refused("worker-unknown".to_owned()),
        Err(answer) => return answer,
    };
    if !ready {
        return Answer::Refused("worker-leaving".to_owned());
    }
    if !capacity.fits(announced_capacity(agent)) {
        return Answer::Refused("capacity-shrunk".to_owned());
    }
    if expires < clock::boot().0 {
        return Answer::Refused("order-expired".to_owned());
    }
    let Some(lease_until_ms) = agent.next_lease() else {
        return Answer::Refused("no-grant".to_owned());
    };
    let start = Start { lease_until_ms, ..start.clone() };
    agent.state().ledger.begin_start(order.task, order.run, clock::boot().0);
    let answer = agent.client.start(&id, call_token(agent, fence), &start).await;
    if let Ok(answer) = &answer {
        check_incarnation(agent, &id, order.incarnation, answer);
    }
    let answer = match answer.map(|answer| answer.reply) {
        Ok(Reply::Done) => Answer::Done(clock::boot().0),
        Ok(Reply::Refused(reason)) => Answer::Refused(reason),
        Ok(Reply::Gone) => Answer::Gone,
        Err(error) if error.has_no_effect() => Answer::Refused(error.to_string()),
        Err(error) => {
            note_silence(agent, &id, &error);
            Answer::Unknown
        }
    };
    let ledger = &mut agent.state().ledger;
    match &answer {
        Answer::Done(at) => ledger.confirm_start(order.task, order.run, *at),
        Answer::Refused(_) | Answer::Gone => ledger.cancel_start(order.task, order.run),
        Answer::Unknown => {}
    }
    answer
}

/// Returns the fencing token of a call that has an effect on the worker.
fn call_token(agent: &Agent, fence: u64) -> u64 {
    let mut state = agent.state();
    state.epoch.mark_used();
    state.epoch.token(fence)
}

/// Notes that the worker has restarted if another incarnation has answered than the order is meant for.
fn check_incarnation(agent: &Agent, id: &str, incarnation: u64, answer: &worker::Answer) {
    let is_known = answer.incarnation != 0 && answer.reply != Reply::Gone;
    if !is_known || answer.incarnation == incarnation {
        return;
    }
    let has_ended = agent.state().end_worker(id, incarnation, "another incarnation answers");
    if has_ended {
        agent.notify_planner();
    }
}

async fn stop_run(agent: &Agent, fence: u64, order: &Order) -> Answer {
    let (id, _) = match find_worker(agent, order) {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    answer_from_reply(
        agent,
        &id,
        agent.client.stop(&id, call_token(agent, fence), order.task, order.run).await,
    )
}

async fn pace_run(agent: &Agent, fence: u64, order: &Order, percent: u32) -> Answer {
    let (id, _) = match find_worker(agent, order) {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    answer_from_reply(
        agent,
        &id,
        agent.client.pace(&id, call_token(agent, fence), order.task, order.run, percent).await,
    )
}

/// Notes an order that got no answer.
fn note_silence(agent: &Agent, id: &str, error: &Error) {
    log::warn!("event=worker-silent worker={id} cause={}", Value(&error.to_string()));
    agent.state().note_unanswered(id);
}

/// Converts a worker's reply to an idempotent order into an answer.
fn answer_from_reply(agent: &Agent, id: &str, reply: Result<worker::Answer, Error>) -> Answer {
    match reply.map(|answer| answer.reply) {
        Ok(Reply::Done) => Answer::Done(clock::boot().0),
        Ok(Reply::Refused(reason)) => Answer::Refused(reason),
        Ok(Reply::Gone) => Answer::Gone,
        Err(error) => {
            note_silence(agent, id, &error);
            Answer::Unknown
        }
    }
}
