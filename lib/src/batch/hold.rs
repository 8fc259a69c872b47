//! Jobs whose record or progress cannot be read.
//!
//! What such a job runs is not known. It is held: what runs goes on, nothing is started for it, and
//! the workers keep the ends of its runs, for a planner that can read what is stored.

use crate::batch::job;
use crate::batch::job::Id;
use crate::batch::job::Intent;
use crate::batch::progress;
use crate::batch::progress::Progress;
use crate::batch::table::Job;
use crate::batch::table::Tables;

/// Holds a job.
pub fn hold(tables: &mut Tables, id: Id) {
    for jobs in [
        &mut tables.dirty,
        &mut tables.unsettled,
        &mut tables.active,
        &mut tables.recurring,
        &mut tables.waiting,
    ] {
        jobs.remove(&id);
    }
    tables.held.insert(id);
}

/// Ends the hold of a job of which nothing has run.
///
/// ```
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::hold;
/// use lavendergauge_lib::batch::job::Id;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let mut tables = Tables::new(bounds, Millis(0));
/// hold::hold(&mut tables, Id(1));
/// hold::release(&mut tables, Id(1));
/// assert!(!hold::is_held(&tables, Id(1)));
/// ```
pub fn release(tables: &mut Tables, id: Id) {
    tables.held.remove(&id);
}

/// Tells whether a job is held and not known to be cancelled.
pub fn is_held(tables: &Tables, id: Id) -> bool {
    let is_wanted = |job: &Job| job.record.intent == Intent::Wanted;
    tables.held.contains(&id) && tables.jobs.get(&id).is_none_or(is_wanted)
}

/// Lets the workers discard the ends of a held job that is cancelled.
pub(super) fn release_ends(tables: &mut Tables, id: Id) {
    let Some(job) = tables.jobs.get_mut(&id) else { return };
    for key in std::mem::take(&mut job.unrecorded_at) {
        let Some(worker) = tables.workers.get_mut(key) else { continue };
        worker.unrecorded.remove(&id);
        worker.acknowledge_recorded();
    }
}

/// Tells whether progress is of a job as it was submitted: its occurrences have its steps and tasks.
pub(super) fn is_progress_of(job: &Job, progress: &Progress) -> bool {
    let count = job.record.submission.repeat.count.max(1);
    let has_steps = |occurrence: &progress::Occurrence| {
        let has_tasks =
            |(step, tasks): (&job::Step, &Vec<progress::Task>)| step.tasks as usize == tasks.len();
        occurrence.number < count
            && occurrence.steps.len() == job.steps().len()
            && job.steps().iter().zip(&occurrence.steps).all(has_tasks)
    };
    progress.from <= count && progress.occurrences.iter().all(has_steps)
}
