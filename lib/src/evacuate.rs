//! Stops jobs in closed data centres and on leaving workers, so that they start elsewhere.

use crate::clock::Millis;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::table::Class;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// Stops every evictable job in closed data centres and on leaving workers.
///
/// Jobs that can neither be checkpointed nor run again stay until they end or the worker is lost,
/// since stopping them would certainly lose them.
pub(crate) fn run(tables: &mut Tables, now: Millis, actions: &mut Vec<Action>) {
    let mut leaving: Vec<(Priority, key::Job, Cause)> = Vec::new();
    for row in tables.workers.values().filter(|row| !row.jobs.is_empty()) {
        let Some(cause) = stop_cause(tables, row) else { continue };
        for &job in &row.jobs {
            let state = tables.jobs[job].state;
            let is_active = matches!(state, State::Running | State::Starting);
            if is_active && tables.jobs[job].is_evictable() {
                leaving.push((priority(tables, job), job, cause.clone()));
            }
        }
    }
    leaving.sort_by_key(|&(priority, job, _)| (priority, job));
    leaving.dedup_by_key(|&mut (_, job, _)| job);
    for (_, job, cause) in leaving {
        reclaim::stop(tables, now, job, cause, actions);
    }
}

/// Order in which jobs are stopped: claims first, then by class from the most urgent, then the
/// largest.
type Priority = (bool, Class, std::cmp::Reverse<u32>);

fn priority(tables: &Tables, job: key::Job) -> Priority {
    let row = &tables.jobs[job];
    (row.claim.is_none(), row.class, std::cmp::Reverse(row.shape.total()))
}

fn stop_cause(tables: &Tables, worker: &Worker) -> Option<Cause> {
    let data_centre = &tables.data_centres[tables.racks[worker.rack].data_centre];
    if !data_centre.is_open {
        return Some(Cause::DataCentreOut(data_centre.name.clone()));
    }
    worker.is_leaving.then(|| Cause::WorkerLeaving(worker.name.clone()))
}
