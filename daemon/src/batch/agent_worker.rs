//! Polls the worker for its runs, and extends its lease under the planner's grant.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::lease::Reading;
use lavendergauge_lib::batch::report::List;
use lavendergauge_platform::Error;
use lavendergauge_platform::worker::Poll;
use lavendergauge_platform::worker::Snapshot;
use metrics::counter;
use tokio::time;

use crate::batch::agent::Agent;
use crate::clock;
use crate::logs::Value;

/// Longest long poll at a worker while tasks run; progress is reported at least this often.
const WAIT_BUSY: Duration = Duration::from_millis(400);
/// Longest long poll at an idle worker.
const WAIT_IDLE: Duration = Duration::from_millis(500);
/// Pause while there is no worker, or before the first call of a planner.
const PAUSE_UNKNOWN: Duration = Duration::from_millis(400);
/// Pause after a call that failed.
const PAUSE_FAILED: Duration = Duration::from_millis(250);
/// Pause between calls to a worker that has said that it leaves.
const PAUSE_LEAVING: Duration = Duration::from_millis(30);
/// Shortest interval of calls while ended runs are not yet recorded.
const PAUSE_ENDS: Duration = Duration::from_millis(60);

/// Parameters of one poll of the worker.
struct WorkerPoll {
    id: String,
    incarnation: u64,
    /// Fencing token of the planner.
    fence: u64,
    /// Fencing token of the call.
    token: u64,
    /// Number up to which the worker may drop its ends; 0 for none.
    forget: u64,
    wait: Duration,
    has_unrecorded_ends: bool,
    has_new_orders: bool,
    is_leaving: bool,
}

fn next_poll(agent: &Agent) -> Option<WorkerPoll> {
    let mut state = agent.state();
    let has_new_orders = std::mem::take(&mut state.has_new_orders);
    let worker = state.worker().filter(|_| state.fence != 0)?;
    let (incarnation, number) = state.forgettable_ends;
    let number = number.min(state.last_readable_end.unwrap_or(u64::MAX));
    // After a call without an answer, another incarnation may receive the next one.
    let may_acknowledge = state.worker_clock.is_some() && incarnation == worker.incarnation;
    let forget = if may_acknowledge { state.ends.due(incarnation, number) } else { 0 };
    let list = state.list.as_ref();
    let is_leaving = state.membership.is_leaving(clock::boot().0);
    let wait = match list {
        // Whether it still answers is to be known soon.
        _ if is_leaving => Duration::ZERO,
        // The first poll must return at once: it reads the worker's clock.
        None => Duration::ZERO,
        Some(_) if state.worker_clock.is_none() => Duration::ZERO,
        Some(list) if list.fence != state.fence => Duration::ZERO,
        // An acknowledgement in progress may reach the next incarnation.
        Some(_) if forget != 0 => Duration::ZERO,
        // The planner waits for the result of its orders.
        Some(_) if has_new_orders => Duration::ZERO,
        Some(list) if list.running.is_empty() => WAIT_IDLE,
        Some(_) => WAIT_BUSY,
    };
    let poll = WorkerPoll {
        id: worker.id.clone(),
        incarnation: worker.incarnation,
        fence: state.fence,
        token: state.epoch.token(state.fence),
        forget,
        wait,
        has_unrecorded_ends: list.is_some_and(|list| !list.ends.is_empty()),
        has_new_orders,
        is_leaving,
    };
    if forget != 0 {
        state.epoch.mark_used();
    }
    Some(poll)
}

/// Polls the worker for its runs for as long as the process runs.
pub async fn follow(agent: Arc<Agent>) {
    let mut is_lost = false;
    // Fencing token of the planner whose polls the worker refuses; 0 while it refuses none.
    let mut refused_fence = 0;
    loop {
        let Some(poll) = next_poll(&agent) else {
            let _ = time::timeout(PAUSE_UNKNOWN, agent.wake.notified()).await;
            continue;
        };
        let sent_at = clock::boot().0;
        let lease_until = agent.next_lease();
        let call = agent.client.poll(&poll.id, poll.token, poll.forget, lease_until, poll.wait);
        // A new planner or acknowledgement interrupts the long poll, which is then repeated.
        let answer = tokio::select! {
            answer = call => Some(answer),
            () = agent.wake.notified(), if !poll.wait.is_zero() => None,
        };
        let Some(answer) = answer else { continue };
        match answer {
            Ok(Poll::Lists(snapshot)) => {
                if std::mem::take(&mut is_lost) {
                    log::info!("event=worker-regained worker={}", poll.id);
                    set_worker_responsive(&agent, true);
                }
                refused_fence = 0;
                apply_snapshot(&agent, &poll, sent_at, snapshot);
                if poll.is_leaving {
                    time::sleep(PAUSE_LEAVING).await;
                }
                if poll.has_unrecorded_ends {
                    let _ = time::timeout(PAUSE_ENDS, agent.wake.notified()).await;
                }
            }
            // An earlier process of the agent was in a later epoch.
            Ok(Poll::Fenced) if overtake(&agent, &poll) => {}
            Ok(refusal) => {
                let cause = match refusal {
                    Poll::Fenced => "fence",
                    _ => "instance",
                };
                counter!("lavendergauge_worker_polls_refused_total", "cause" => cause).increment(1);
                if refusal == Poll::Gone || refused_fence != poll.fence {
                    log::info!(
                        "event=worker-refused worker={} fence={} token={} cause={cause}",
                        poll.id,
                        poll.fence,
                        poll.token
                    );
                }
                if refusal == Poll::Gone {
                    end_worker(&agent, &poll, "another worker answers at its address");
                } else {
                    refused_fence = poll.fence;
                    time::sleep(PAUSE_FAILED).await;
                }
            }
            Err(error) => {
                {
                    let mut state = agent.state();
                    state.has_new_orders |= poll.has_new_orders;
                    if !matches!(error, Error::NotDone(_)) {
                        state.note_unanswered(&poll.id);
                    }
                }
                if !is_lost {
                    is_lost = true;
                    let cause = error.to_string();
                    log::warn!("event=worker-lost worker={} cause={}", poll.id, Value(&cause));
                    set_worker_responsive(&agent, false);
                }
                // The leave message may have arrived during the call.
                if !agent.state().membership.is_leaving(clock::boot().0) {
                    time::sleep(PAUSE_FAILED).await;
                } else if matches!(error, Error::NoListener(_)) {
                    end_worker(&agent, &poll, "it has left");
                } else {
                    time::sleep(PAUSE_LEAVING).await;
                }
            }
        }
    }
}

/// Tells whether a refused poll may be repeated with a higher fencing token.
fn overtake(agent: &Agent, poll: &WorkerPoll) -> bool {
    let mut state = agent.state();
    state.has_new_orders |= poll.has_new_orders;
    state.fence == poll.fence && state.epoch.overtake(poll.token)
}

/// Applies a proof that the polled incarnation does not run.
fn end_worker(agent: &Agent, poll: &WorkerPoll, cause: &str) {
    if agent.state().end_worker(&poll.id, poll.incarnation, cause) {
        agent.claimed.notify_one();
        agent.notify_planner();
    }
}

/// Sets whether the worker answers; the planner assigns no new work to a worker that does not.
fn set_worker_responsive(agent: &Agent, is_responsive: bool) {
    agent.state().is_worker_responsive = is_responsive;
    agent.notify_planner();
}

fn apply_snapshot(agent: &Agent, poll: &WorkerPoll, sent_at: u64, snapshot: Snapshot) {
    let mut state = agent.state();
    let is_current = state.membership.is_running(&poll.id, poll.incarnation);
    if !is_current || state.fence != poll.fence {
        return;
    }
    if snapshot.incarnation != 0 && snapshot.incarnation != poll.incarnation {
        state.end_worker(&poll.id, poll.incarnation, "another incarnation answers");
        drop(state);
        agent.claimed.notify_one();
        agent.notify_planner();
        return;
    }
    // A call of an earlier epoch says nothing about the one without an answer that began this epoch.
    if poll.token == state.epoch.token(state.fence) {
        let reading = Reading { clock_ms: snapshot.clock_ms, read_at: clock::now().0 };
        state.worker_clock = Some(reading);
    }
    state.leases.answer(clock::boot().0, poll.token);
    state.ends.confirm(poll.incarnation, poll.forget);
    state.ledger.apply_list(&snapshot.running, sent_at);
    let is_complete = snapshot.unreadable == 0;
    if let Some(gap) = state.ends.read(poll.incarnation, &snapshot.ends, is_complete) {
        counter!("lavendergauge_worker_ends_missed_total").increment(gap.missed());
        log::warn!(
            "event=ends-missed worker={} incarnation={} after={} before={} acknowledged={}",
            poll.id,
            poll.incarnation,
            gap.after,
            gap.before,
            poll.forget
        );
    }
    let list = List {
        incarnation: poll.incarnation,
        fence: poll.fence,
        sent_at,
        received_at: clock::boot().0,
        running: snapshot.running,
        ends: snapshot.ends,
        last_readable_end: snapshot.last_readable_end,
    };
    let must_report = poll.has_new_orders
        || state.is_list_partial != snapshot.is_partial
        || state.list.as_ref().is_none_or(|before| needs_report(before, &list));
    if state.unreadable_items != snapshot.unreadable {
        log::warn!(
            "event=list-unreadable worker={} items={} before={}",
            poll.id,
            snapshot.unreadable,
            state.unreadable_items
        );
    }
    state.list = Some(list);
    state.is_list_partial = snapshot.is_partial;
    state.unreadable_items = snapshot.unreadable;
    state.last_readable_end = snapshot.last_readable_end;
    drop(state);
    if must_report {
        agent.notify_planner();
    }
}

/// Tells whether a list must be reported to the planner at once.
///
/// A new fencing token, newly ended runs and a changed set of runs must; progress alone can wait.
fn needs_report(before: &List, after: &List) -> bool {
    let runs =
        |list: &List| -> Vec<_> { list.running.iter().map(|row| (row.task, row.run)).collect() };
    let newest = |list: &List| list.ends.iter().map(|end| end.number).max();
    before.fence != after.fence || newest(before) < newest(after) || runs(before) != runs(after)
}
