//! Ends or stops runs that must not continue where they are: on workers whose grants expired,
//! without progress, or on workers that are leaving.

use std::collections::BTreeSet;
use std::time::Duration;

use smallvec::SmallVec;

use crate::batch::event::Event;
use crate::batch::gang;
use crate::batch::job::Task;
use crate::batch::observe;
use crate::batch::rank;
use crate::batch::reservation;
use crate::batch::table::Cause;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;

/// Minimum time without progress after which a run counts as stuck.
const STUCK_AFTER: Duration = Duration::from_secs(4);
/// Divisor of a task's estimate; a run counts as stuck after that time without progress.
const STUCK_DIVISOR: u64 = 10;
/// Maximum number of times that the time without progress doubles.
const MAX_DOUBLINGS: u32 = 13;
/// Time for which a leaving worker may stay beyond what it announced, in milliseconds. A run that
/// saves no checkpoints is left there if it could end within it.
const LEAVE_SLACK_MS: u64 = 1500;

/// Ends runs on workers whose grants have expired.
pub fn end_expired(tables: &mut Tables, now: Millis, events: &mut Vec<Event>) {
    let expired: SmallVec<[key::Worker; 4]> = tables
        .workers
        .iter()
        .filter(|(_, worker)| worker.lease_until < now && !worker.runs.is_empty())
        .map(|(key, _)| key)
        .collect();
    for key in expired {
        let mut changes = Vec::new();
        observe::end_runs_where(tables, now, key, &mut changes, "lease expired", |_| true);
        events.extend(changes.into_iter().map(Event::Changed));
    }
}

/// Returns a time without progress for a run. It doubles with each earlier run of the task that was
/// stopped for lack of progress: the task may take far longer than estimated, and each run shows
/// progress only after a hundredth of that.
pub(super) fn patience(run: &Run, first: Duration) -> Duration {
    first.saturating_mul(1 << run.stalls.min(MAX_DOUBLINGS))
}

/// Counts that a run of a task, and so of its gang, was stopped for lack of progress.
fn record_stall(tables: &mut Tables, task: Task, worker: key::Worker) {
    let is_gang = tables.step(task.instance).is_some_and(|step| step.gang);
    if let Some(task_state) = tables.task_state_mut(task) {
        task_state.stalls += 1;
        if !task_state.avoid.contains(&worker) {
            task_state.avoid.push(worker);
        }
    }
    if is_gang {
        gang::share_stalls(tables, task);
    }
}

/// Stops runs that make no progress, so that they are started again elsewhere.
///
/// Only the runs of `workers`, from which reports came, are judged: the progress of runs on a
/// silent worker is not known.
pub fn stop_stuck(
    tables: &mut Tables,
    now: Millis,
    workers: &BTreeSet<key::Worker>,
    events: &mut Vec<Event>,
) {
    for &key in workers {
        let Some(worker) = tables.workers.get(key) else { continue };
        let reported_at = worker.last_answer.unwrap_or(Millis(0));
        let has_partial_list = worker.has_partial_list;
        for run_key in worker.runs.clone() {
            let Some(run) = tables.runs.get(run_key) else { continue };
            let task = run.task;
            let Some(step) = tables.step(task.instance) else { continue };
            let limit =
                STUCK_AFTER.max(Duration::from_millis(rank::estimated_ms(step) / STUCK_DIVISOR));
            let limit = trust::stall_limit(tables, now, step, run, patience(run, limit));
            // A run that a partial list omits makes no progress either.
            let is_listed = run.seen_at.is_some() || has_partial_list;
            let working = run.phase == Phase::Running && is_listed && !step.long_running;
            if !working || 100 <= run.percent || reported_at.since(run.progressed_at) < limit {
                continue;
            }
            events.push(Event::Stopped(task, run.number, Cause::Stuck.name()));
            record_stall(tables, task, key);
            tables.stop_run(run_key, Cause::Stuck);
            gang::break_up(tables, task);
            if let Some(worker) = tables.workers.get_mut(key) {
                worker.health.record_failure(now, task.instance.job, STUCK_AFTER);
            }
        }
    }
}

/// Stops runs that cannot end before their worker leaves, so that they start elsewhere sooner.
pub fn stop_on_leaving_workers(tables: &mut Tables, now: Millis, events: &mut Vec<Event>) {
    let leaving: SmallVec<[(key::Worker, Millis); 4]> = tables
        .workers
        .iter()
        .filter(|(_, worker)| !worker.runs.is_empty())
        .filter_map(|(key, worker)| Some((key, worker.leaves_at?)))
        .collect();
    for (key, leaves_at) in leaving {
        for run_key in tables.workers[key].runs.clone() {
            let Some(run) = tables.runs.get(run_key) else { continue };
            let task = run.task;
            let Some(step) = tables.step(task.instance) else { continue };
            let remaining_ms = reservation::remaining_ms(tables, step, run, now);
            let stays = leaves_at.since(now).as_millis() as u64;
            let patience = if step.checkpoints { 0 } else { LEAVE_SLACK_MS };
            if run.phase != Phase::Running
                || run.seen_at.is_none()
                || remaining_ms <= stays + patience
            {
                continue;
            }
            events.push(Event::Stopped(task, run.number, Cause::Leaving.name()));
            tables.stop_run(run_key, Cause::Leaving);
            gang::break_up(tables, task);
        }
    }
}
