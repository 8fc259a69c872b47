//! Applies the ends of runs that a worker lists.

use std::time::Duration;

use crate::batch::change::Change;
use crate::batch::gang;
use crate::batch::hold;
use crate::batch::job::Id;
use crate::batch::report::End;
use crate::batch::report::Ending;
use crate::batch::report::List;
use crate::batch::run_time;
use crate::batch::speed;
use crate::batch::table;
use crate::batch::table::Cause;
use crate::batch::table::Tables;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;

/// Applies the ends that were not applied before. The worker may drop them once they are recorded.
pub(super) fn apply(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    list: &List,
    changes: &mut Vec<Change>,
) {
    tables.workers[key].last_readable_end = list.last_readable_end;
    for end in &list.ends {
        let newest = tables.workers[key].newest_end_seen;
        // One that could not be read in an earlier list may have a lower number than others there.
        if end.number <= newest && live_run_of(tables, key, end).is_none() {
            continue;
        }
        tables.workers[key].newest_end_seen = newest.max(end.number);
        let id = end.task.instance.job;
        if hold::is_held(tables, id) {
            // What the end changes cannot be recorded, so the worker has to keep it.
            await_record(tables, key, id, u64::MAX);
            continue;
        }
        apply_end(tables, now, key, end, changes);
        if let Some(job) = tables.jobs.get(&id) {
            let version = job.version;
            if job.recorded_version < version {
                await_record(tables, key, id, version);
            }
        }
    }
    tables.workers[key].acknowledge_recorded();
}

/// Notes that a worker has to keep its ends until a version of a job is recorded.
fn await_record(tables: &mut Tables, key: key::Worker, id: Id, version: u64) {
    tables.workers[key].unrecorded.insert(id, version);
    if let Some(job) = tables.jobs.get_mut(&id)
        && !job.unrecorded_at.contains(&key)
    {
        job.unrecorded_at.push(key);
    }
}

/// Returns the run that ends, if it may exist on the worker as far as the planner knows.
fn live_run_of(tables: &Tables, key: key::Worker, end: &End) -> Option<key::Run> {
    let live = tables.task_state(end.task)?.live?;
    let is_same = |run: &table::Run| run.number == end.run && run.worker == key;
    tables.runs.get(live).is_some_and(is_same).then_some(live)
}

fn apply_end(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    end: &End,
    changes: &mut Vec<Change>,
) {
    let task = end.task;
    let is_gang = tables.step(task.instance).is_some_and(|step| step.gang);
    let long_running = tables.step(task.instance).is_some_and(|step| step.long_running);
    let Some(task_state) = tables.task_state_mut(task) else { return };
    if task_state.run < end.run {
        // Every run is recorded before it is ordered, so this one was never ordered.
        changes.push(Change::NeverOrdered(task, end.run));
        return;
    }
    changes.push(Change::Ended(task, end.run, end.how.clone()));
    if !end.checkpoint.is_empty() && end.run == task_state.run {
        task_state.checkpoint = end.checkpoint.clone();
    }
    tables.note_started(task.instance.job);
    let current = live_run_of(tables, key, end);
    if let Some(current) = current.filter(|_| end.ending == Ending::Done) {
        speed::observe_end(tables, current, now);
    }
    let ended = current.and_then(|current| tables.remove_run(current));
    if let (Some(key), Some(run)) = (current, &ended) {
        run_time::observe_end(tables, now, key, run, end.ending);
    }
    let worked = ended.as_ref().map_or(Duration::MAX, |run| now.since(run.since));
    let is_current = current.is_some();
    let Some(task_state) = tables.task_state_mut(task) else { return };
    match end.ending {
        Ending::Done if !long_running => {
            task_state.done = true;
            if !is_current {
                tables.stop_task(task, Cause::Surplus);
            }
            if is_gang {
                gang::finish(tables, task, end.run);
            }
            tables.workers[key].health.record_success();
            tables.workers[key].trust.observe_done(ended.as_ref(), now);
        }
        Ending::Failed => {
            if task_state.failed_run < end.run {
                task_state.failed_run = end.run;
                task_state.failures += 1;
            }
            if !task_state.avoid.contains(&key) {
                task_state.avoid.push(key);
            }
            if is_gang {
                gang::share_failure(tables, task, end.run);
            }
            if trust::record_failure(tables, now, key, task, end.run, ended.as_ref()) {
                tables.workers[key].health.record_failure(now, task.instance.job, worked);
            }
        }
        _ => {}
    }
    tables.touch(task.instance.job);
    if is_gang && is_current && end.ending != Ending::Done {
        gang::break_up(tables, task);
    }
    gang::share_checkpoint(tables, task);
}
