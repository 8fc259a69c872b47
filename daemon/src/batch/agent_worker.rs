//! Follows what runs on the worker, and extends its lease under the planner's grant.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::observe::List;
use lavendergauge_platform::worker::Snapshot;
use tokio::time;

use crate::batch::agent::Agent;
use crate::clock;
use crate::logs::Value;

/// Longest wait at a worker for an end while tasks run; progress is heard of this often.
const WAIT_BUSY: Duration = Duration::from_millis(400);
/// Longest wait at an idle worker.
const WAIT_IDLE: Duration = Duration::from_millis(500);
/// Pause while there is no worker, or no planner has spoken yet.
const PAUSE_UNKNOWN: Duration = Duration::from_millis(400);
/// Pause after a call that failed.
const PAUSE_FAILED: Duration = Duration::from_millis(250);
/// Shortest time between two calls while ends wait to be recorded.
const PAUSE_ENDS: Duration = Duration::from_millis(60);

/// What one call to the worker is made with.
struct Question {
    id: String,
    incarnation: u64,
    fence: u64,
    forget: u64,
    wait: Duration,
    ends: bool,
    ordered: bool,
}

fn question(agent: &Agent) -> Option<Question> {
    let mut core = agent.core();
    let ordered = std::mem::take(&mut core.ordered);
    let worker = core.worker.as_ref().filter(|_| core.fence != 0)?;
    let (incarnation, number) = core.forget;
    let list = core.list.as_ref();
    let wait = match list {
        // The first call is answered at once: it tells the worker's clock.
        None => Duration::ZERO,
        Some(list) if list.fence != core.fence => Duration::ZERO,
        // The planner waits to hear what became of its orders.
        Some(_) if ordered => Duration::ZERO,
        Some(list) if list.running.is_empty() => WAIT_IDLE,
        Some(_) => WAIT_BUSY,
    };
    Some(Question {
        id: worker.id.clone(),
        incarnation: worker.incarnation,
        fence: core.fence,
        forget: if incarnation == worker.incarnation { number } else { 0 },
        wait,
        ends: list.is_some_and(|list| !list.ends.is_empty()),
        ordered,
    })
}

/// Asks the worker again and again what runs there.
pub async fn follow(agent: Arc<Agent>) {
    let mut lost = false;
    loop {
        let Some(question) = question(&agent) else {
            let _ = time::timeout(PAUSE_UNKNOWN, agent.nudge.notified()).await;
            continue;
        };
        let asked = clock::boot().0;
        let lease_until = agent.lease_until();
        let call = agent.client.hold(
            &question.id,
            question.fence,
            question.forget,
            lease_until,
            question.wait,
        );
        // A new planner or acknowledgement is not kept waiting; the call it cuts short is repeated.
        let answer = tokio::select! {
            answer = call => answer,
            () = agent.nudge.notified(), if !question.wait.is_zero() => continue,
        };
        match answer {
            Ok(Some(look)) => {
                if std::mem::take(&mut lost) {
                    log::info!("event=worker-regained worker={}", question.id);
                    set_answers(&agent, true);
                }
                take(&agent, &question, asked, look);
                if question.ends {
                    let _ = time::timeout(PAUSE_ENDS, agent.nudge.notified()).await;
                }
            }
            Ok(None) => {
                log::info!("event=worker-refused worker={} fence={}", question.id, question.fence);
                time::sleep(PAUSE_FAILED).await;
            }
            Err(error) => {
                agent.core().ordered |= question.ordered;
                if !lost {
                    lost = true;
                    let cause = error.to_string();
                    log::warn!("event=worker-lost worker={} cause={}", question.id, Value(&cause));
                    set_answers(&agent, false);
                }
                time::sleep(PAUSE_FAILED).await;
            }
        }
    }
}

/// Takes in whether the worker answers; the planner gives one that does not no new work.
fn set_answers(agent: &Agent, answers: bool) {
    agent.core().answers = answers;
    agent.changed();
}

fn take(agent: &Agent, question: &Question, asked: u64, look: Snapshot) {
    let mut core = agent.core();
    let current = core.worker.as_ref().is_some_and(|w| w.incarnation == question.incarnation);
    if !current || core.fence != question.fence {
        return;
    }
    if look.incarnation != 0 && look.incarnation != question.incarnation {
        log::info!(
            "event=worker-restarted incarnation={} known={}",
            look.incarnation,
            question.incarnation
        );
        core.over = core.over.max(question.incarnation);
        core.worker = None;
        core.list = None;
        core.worker_clock = None;
        drop(core);
        agent.changed();
        return;
    }
    core.worker_clock = Some((look.clock, clock::boot().0));
    let list = List {
        incarnation: question.incarnation,
        fence: question.fence,
        asked,
        running: look.running,
        ends: look.ends,
    };
    let news = question.ordered || core.list.as_ref().is_none_or(|before| differs(before, &list));
    core.list = Some(list);
    drop(core);
    if news {
        agent.changed();
    }
}

/// Tells whether the planner should hear of a list at once; progress can wait.
fn differs(before: &List, after: &List) -> bool {
    let runs =
        |list: &List| -> Vec<_> { list.running.iter().map(|row| (row.task, row.run)).collect() };
    let newest = |list: &List| list.ends.iter().map(|end| end.number).max();
    before.fence != after.fence || newest(before) < newest(after) || runs(before) != runs(after)
}
