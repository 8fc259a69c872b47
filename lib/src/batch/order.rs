//! Orders to workers and the answers to them.

use std::time::Duration;

use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::advice;
use crate::batch::gang;
use crate::batch::job::Task;
use crate::batch::table::Cause;
use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::clock::Millis;
use crate::resource::Resources;

/// Time for which a worker that refused a start gets no other. It doubles with each further refusal
/// until the worker carries out a start.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of times that [`REFUSED_PAUSE`] is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// An order to a worker about one run.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Incarnation of the worker for which the order is meant.
    pub incarnation: u64,
    /// The action.
    pub verb: Verb,
}

/// Action on a run.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Verb {
    /// Start the run.
    Start {
        /// Text for the task.
        payload: String,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket of the advice service; empty for none.
        ticket: String,
        /// Agent's clock after which the run must not be started, in milliseconds.
        expires: u64,
        /// Capacity of the worker on which the decision is based; the run must not be started if the
        /// worker has less.
        #[serde(default)]
        capacity: Resources,
    },
    /// Stop the run.
    Stop,
    /// Make the run work at a share of its speed, in percent.
    Pace(u32),
}

/// Outcome of an order.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The worker carried it out, at this time by the agent's clock in milliseconds.
    Done(u64),
    /// The worker, or the agent in front of it, did nothing, for a reason.
    Refused(String),
    /// The addressed incarnation of the worker has ended.
    Gone,
    /// Not known; the order may still be carried out later.
    Unknown,
}

/// Pauses a worker that refused a start; refusals of several starts at once count as one.
fn pause_refusing(worker: &mut Worker, now: Millis) {
    if worker.paused_until <= now {
        worker.paused_until = now + REFUSED_PAUSE * (1 << worker.refusals.min(MAX_DOUBLINGS));
        worker.refusals += 1;
    }
}

/// Applies the answer to an order.
pub fn apply_answer(tables: &mut Tables, now: Millis, order: &Order, answer: &Answer) {
    let gang = tables.step(order.task.instance).is_some_and(|step| step.gang);
    let starts = matches!(order.verb, Verb::Start { .. });
    if starts && matches!(answer, Answer::Done(_)) {
        tables.note_started(order.task.instance.job);
    }
    let Some(key) = tables.task_state(order.task).and_then(|task_state| task_state.live) else {
        return;
    };
    let Some(run) = tables.runs.get_mut(key).filter(|run| run.number == order.run) else { return };
    let worker = run.worker;
    if !starts && run.incarnation != order.incarnation {
        // The worker has restarted since. The earlier incarnation's answer proves nothing about
        // this one.
        run.ordered = None;
        return;
    }
    if let Verb::Pace(percent) = order.verb {
        if matches!(answer, Answer::Done(_)) {
            run.pace_percent = percent;
        }
        return;
    }
    match (starts, answer) {
        (true, Answer::Done(at)) => {
            if run.phase == Phase::Launching {
                run.phase = Phase::Running;
                run.settled_at = Some(*at);
                run.ordered = None;
                tables.changed_workers.insert(worker);
            }
        }
        // The run did not start and never will: a later copy of the order is refused in the same
        // way.
        (true, Answer::Refused(_) | Answer::Gone) => {
            tables.remove_run(key);
            advice::drop_ticket(tables, order.task.instance, worker);
            if let Some(row) = tables.workers.get_mut(worker) {
                pause_refusing(row, now);
            }
            tables.touch(order.task.instance.job);
            if gang && *answer != Answer::Gone {
                tables.refills.insert(order.task.instance, order.run);
            } else if gang {
                gang::break_up(tables, order.task);
            }
        }
        (true, Answer::Unknown) => {
            tables.stop_run(key, Cause::InDoubt);
            if gang {
                gang::break_up(tables, order.task);
            }
        }
        (false, Answer::Done(at)) => {
            run.is_stop_acknowledged = true;
            run.settled_at = Some(*at);
        }
        // A run that was not listed yet may be on the next incarnation.
        (false, Answer::Gone) if run.seen_at.is_none() => {}
        (false, Answer::Gone) => {
            tables.remove_run(key);
            tables.touch(order.task.instance.job);
        }
        (false, Answer::Refused(_) | Answer::Unknown) => {}
    }
}
