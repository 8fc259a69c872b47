//! Compaction: moves checkpointed jobs together, so that whole workers become free.

use std::time::Duration;

use crate::clock::Millis;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::resource::Resources;
use crate::search;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// Time that a job must have run before it may be moved.
const MIN_RUN_TIME: Duration = Duration::from_secs(60);
/// Number of workers that are evaluated: those with the most stranded accelerators.
const MAX_CANDIDATES: usize = 8;
/// Fewest stranded accelerators that emptying a worker must save.
const MIN_GAIN: f64 = 0.5;

/// Empties the worker whose jobs save the most stranded accelerators when moved to other workers.
///
/// Empties at most one worker, and none if the policy's compactness is 0 %.
pub(crate) fn run(tables: &mut Tables, now: Millis, actions: &mut Vec<Action>) {
    if tables.policy.compactness_percent == 0 {
        return;
    }
    let mut candidates: Vec<(f64, key::Worker)> = tables
        .workers
        .iter()
        .filter(|(worker, row)| can_empty(tables, now, *worker, row))
        .map(|(worker, row)| (tables.demand.stranded(row.free_accelerators().count()), worker))
        .collect();
    candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
    candidates.truncate(MAX_CANDIDATES);
    let gains = candidates.into_iter().filter_map(|(_, worker)| {
        let gain = gain(tables, now, worker)?;
        (MIN_GAIN <= gain).then_some((gain, worker))
    });
    let Some((_, worker)) = gains.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
    let name = tables.workers[worker].name.clone();
    for job in tables.workers[worker].jobs.clone() {
        reclaim::stop(tables, now, job, Cause::Compact(name.clone()), actions);
    }
}

/// Tells whether a worker is partly in use and all its jobs may be moved.
fn can_empty(tables: &Tables, now: Millis, worker: key::Worker, row: &Worker) -> bool {
    let used = row.taken.count();
    0 < used
        && used < row.capacity.accelerators
        && row.draining.accelerators == 0
        && search::is_usable(tables, row)
        && row.jobs.iter().all(|&job| can_move(tables, now, worker, job))
}

/// Returns the stranded accelerators saved by emptying a worker; `None` if its jobs fit on no
/// others.
fn gain(tables: &Tables, now: Millis, worker: key::Worker) -> Option<f64> {
    let row = &tables.workers[worker];
    let mut gain = tables.demand.stranded(row.free_accelerators().count());
    gain -= tables.demand.stranded(row.capacity.accelerators);
    let mut moved: Vec<(key::Worker, Resources)> = Vec::new();
    for &job in &row.jobs {
        let (other, saved) = best_other(tables, now, worker, job, &moved)?;
        moved.push((other, reclaim::held_on(tables, job, worker)));
        gain += saved;
    }
    Some(gain)
}

/// Tells whether a job that runs on this worker alone may be moved.
fn can_move(tables: &Tables, now: Millis, worker: key::Worker, job: key::Job) -> bool {
    let row = &tables.jobs[job];
    row.state == State::Running
        && row.claim.is_none()
        && row.checkpoints
        && MIN_RUN_TIME <= now.since(row.started)
        && row.assignments.iter().all(|assignment| assignment.worker == worker)
}

/// Finds the worker in use where a job saves the most stranded accelerators.
///
/// `moved` lists the resources of the jobs that are to move already, with their new workers.
fn best_other(
    tables: &Tables,
    now: Millis,
    worker: key::Worker,
    job: key::Job,
    moved: &[(key::Worker, Resources)],
) -> Option<(key::Worker, f64)> {
    let row = &tables.jobs[job];
    let needed = reclaim::held_on(tables, job, worker);
    let others = tables.workers.iter().filter(|&(other, worker_row)| {
        let data_centre = &tables.data_centres[tables.racks[worker_row.rack].data_centre];
        other != worker
            && 0 < worker_row.taken.count()
            && search::is_usable(tables, worker_row)
            && search::admits(now, row, worker_row)
            && (row.data_centres.is_empty() || row.data_centres.contains(&data_centre.name))
    });
    let saved = others.filter_map(|(other, worker_row)| {
        let taken = moved.iter().filter(|&&(at, _)| at == other);
        let taken = taken.fold(Resources::default(), |sum, &(_, resources)| sum.plus(resources));
        let free = worker_row
            .free_resources()
            .minus(worker_row.claimed)
            .minus(worker_row.draining)
            .minus(taken);
        let before = tables.demand.stranded(free.accelerators);
        let after = tables.demand.stranded(free.minus(needed).accelerators);
        needed.fits(free).then_some((other, before - after))
    });
    saved.max_by(|a, b| a.1.total_cmp(&b.1))
}
