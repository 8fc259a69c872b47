//! Runs that a worker's list omits.
//!
//! A complete list proves that they have ended. A partial one, of which an item cannot be read or
//! which has room for some of the ends only, does not.

use crate::batch::change::Change;
use crate::batch::gang;
use crate::batch::report::List;
use crate::batch::run_time;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::clock::Millis;
use crate::key;

/// Time beyond its grace in which a stopped run ends that the worker does not list, in milliseconds.
const STOP_SLACK_MS: u64 = 1000;
/// Number of ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// Ends the runs that are missing from a list, if the list was requested after their newest order
/// was settled.
///
/// A run that was listed before has ended in a way that is not known, and its task starts again: a task
/// that never ends does more harm than one that runs twice.
///
/// A run that a partial list omits may exist. It ends only after the worker has confirmed a stop, and not
/// while its end may be among those that follow the listed ones.
pub(super) fn end_missing_runs(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    list: &List,
    changes: &mut Vec<Change>,
) {
    for run_key in tables.workers[key].runs.clone() {
        let Some(run) = tables.runs.get(run_key) else { continue };
        let task = run.task;
        let here = run.incarnation == list.incarnation;
        let settled = has_settled(tables, key, run, list);
        let listed = list.running.iter().any(|row| row.task == task && row.run == run.number);
        if !here || !settled || listed {
            continue;
        }
        // The end of a gang's member stands for those of the others.
        let is_done = tables.task_state(task).is_some_and(|task_state| task_state.done);
        changes.push(if run.seen_at.is_some() && !is_done {
            Change::EndUnread(task, run.number)
        } else {
            Change::Lost(task, run.number, "not listed by its worker")
        });
        if let Some(run) = tables.remove_run(run_key) {
            run_time::observe_stopped(tables, now, run_key, &run);
        }
        tables.touch(task.instance.job);
        gang::break_up(tables, task);
    }
}

/// Tells whether a run that is missing from a list has ended, as far as its orders are concerned.
fn has_settled(tables: &Tables, key: key::Worker, run: &Run, list: &List) -> bool {
    let Some(settled_at) = run.settled_at else { return false };
    if !tables.workers[key].has_partial_list {
        return settled_at < list.sent_at;
    }
    if may_list_more(&tables.workers[key], list) {
        return false;
    }
    let is_stopped = matches!(run.phase, Phase::Stopping(_)) && run.is_stop_acknowledged;
    let grace_ms = tables.bounds.stop_grace_ms.saturating_add(STOP_SLACK_MS);
    is_stopped && settled_at.saturating_add(grace_ms) < list.sent_at
}

/// Tells whether further ends follow the listed ones, and will be listed once those are acknowledged. The
/// ends of a held job never are.
fn may_list_more(worker: &Worker, list: &List) -> bool {
    let is_held_up = worker.unrecorded.values().any(|version| *version == u64::MAX);
    MAX_LISTED_ENDS <= list.ends.len() && !is_held_up
}
