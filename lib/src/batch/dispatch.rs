//! Selects the orders to send to agents.

use std::time::Duration;

use lavendergauge_derive::row;
use smallvec::SmallVec;

use crate::batch::advice;
use crate::batch::event::Event;
use crate::batch::order::Order;
use crate::batch::order::Verb;
use crate::batch::pace;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;

/// Time after which a stop order without an answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(700);
/// Minimum time between two pace orders to a best-effort task.
const PACE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a start order is valid, in milliseconds; the agent refuses a later one.
const START_VALID_MS: u64 = 1500;

/// An order and the agent that it goes to.
#[row]
pub struct Dispatch {
    /// The worker.
    pub worker: key::Worker,
    /// Name of the agent.
    pub node: String,
    /// Session of the agent's process that the order is for.
    pub session: u64,
    /// The order.
    pub order: Order,
}

/// Tells whether a best-effort task works at another share than it should.
fn is_off_pace(tables: &Tables, run: &Run) -> bool {
    tables.step(run.task.instance).is_some_and(|step| step.best_effort)
        && run.pace_percent != pace::due_percent(tables, run.worker)
}

/// Returns the orders to send now and marks them as sent.
///
/// A start order is sent only after its run has been recorded.
pub fn orders(tables: &mut Tables, now: Millis, events: &mut Vec<Event>) -> Vec<Dispatch> {
    let mut dispatches = Vec::new();
    let unsent: SmallVec<[key::Run; 32]> = tables.unsent.iter().copied().collect();
    for key in unsent {
        if exceeds_capacity(tables, key) {
            withdraw(tables, key, events);
            continue;
        }
        let verb = match tables.runs.get(key) {
            Some(run) => pending_verb(tables, now, run),
            None => Pending::Nothing,
        };
        let verb = match verb {
            Pending::Nothing => {
                tables.unsent.remove(&key);
                continue;
            }
            Pending::Later => continue,
            Pending::Now(verb) => verb,
        };
        let Some(run) = tables.runs.get_mut(key) else { continue };
        let Some(worker) = tables.workers.get(run.worker) else { continue };
        let order = Order { task: run.task, run: run.number, incarnation: run.incarnation, verb };
        let (node, session) = (worker.node.clone(), worker.session);
        dispatches.push(Dispatch { worker: run.worker, node, session, order });
        run.ordered = Some(now);
    }
    dispatches
}

/// Tells whether the capacity of a run's worker has shrunk since the run was planned, so that the run
/// does not fit any more.
fn exceeds_capacity(tables: &Tables, key: key::Run) -> bool {
    let is_unsent = |run: &&Run| run.phase == Phase::Launching && run.ordered.is_none();
    let Some(run) = tables.runs.get(key).filter(is_unsent) else { return false };
    tables
        .workers
        .get(run.worker)
        .is_some_and(|row| row.incarnation == run.incarnation && row.is_overcommitted())
}

/// Drops a run whose start was not sent, so that its task is placed again.
fn withdraw(tables: &mut Tables, key: key::Run, events: &mut Vec<Event>) {
    let Some(run) = tables.remove_run(key) else { return };
    let instance = run.task.instance;
    if let Some(worker) = tables.workers.get(run.worker) {
        events.push(Event::Withdrawn {
            task: run.task,
            run: run.number,
            node: worker.node.clone(),
        });
    }
    if tables.step(instance).is_some_and(|step| step.gang) {
        tables.refills.insert(instance, run.number);
    }
    tables.touch(instance.job);
}

/// Whether a run has an order to send.
enum Pending {
    /// None, until the run changes.
    Nothing,
    /// One, after the answer to the last one is overdue.
    Later,
    /// One, at once.
    Now(Verb),
}

fn pending_verb(tables: &Tables, now: Millis, run: &Run) -> Pending {
    let Some(worker) = tables.workers.get(run.worker) else { return Pending::Nothing };
    let waits_for_answer =
        |interval: Duration| run.ordered.is_some_and(|sent| now.since(sent) < interval);
    match run.phase {
        Phase::Launching if run.ordered.is_none() => {
            let instance = run.task.instance;
            let Some(job) = tables.jobs.get(&instance.job) else { return Pending::Nothing };
            let Some(task_state) = tables.task_state(run.task) else { return Pending::Nothing };
            let age = now.since(worker.clock_read).as_millis() as u64;
            Pending::Now(Verb::Start {
                payload: job.record.submission.payload.clone(),
                checkpoint: task_state.checkpoint.clone(),
                ticket: advice::ticket(tables, now, instance, run.worker)
                    .map_or_else(String::new, |ticket| ticket.text.clone()),
                expires: worker.agent_clock + age + START_VALID_MS,
                capacity: worker.capacity,
            })
        }
        Phase::Stopping(_) if !run.is_stop_acknowledged => {
            if waits_for_answer(STOP_RETRY) {
                Pending::Later
            } else {
                Pending::Now(Verb::Stop)
            }
        }
        Phase::Running if is_off_pace(tables, run) => {
            if waits_for_answer(PACE_INTERVAL) {
                return Pending::Later;
            }
            Pending::Now(Verb::Pace(pace::due_percent(tables, run.worker)))
        }
        _ => Pending::Nothing,
    }
}
