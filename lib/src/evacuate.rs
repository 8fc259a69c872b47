//! Work leaves closed data centres and leaving workers, the worthiest first.

use crate::clock::Millis;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::table::Class;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// Tells every job that can go on elsewhere to stop where work may not stay.
///
/// Jobs that can neither be checkpointed nor run again stay until they end or the worker goes:
/// a stop would lose them for certain.
pub(crate) fn run(tables: &mut Tables, now: Millis, actions: &mut Vec<Action>) {
    let mut leaving: Vec<(Worth, key::Job, Cause)> = Vec::new();
    for row in tables.workers.values().filter(|row| !row.jobs.is_empty()) {
        let Some(cause) = departure(tables, row) else { continue };
        for &job in &row.jobs {
            let state = tables.jobs[job].state;
            let runs = matches!(state, State::Running | State::Starting);
            if runs && tables.jobs[job].evictable() {
                leaving.push((worth(tables, job), job, cause.clone()));
            }
        }
    }
    leaving.sort_by_key(|&(worth, job, _)| (worth, job));
    leaving.dedup_by_key(|&mut (_, job, _)| job);
    for (_, job, cause) in leaving {
        reclaim::stop(tables, now, job, cause, actions);
    }
}

/// Order in which jobs leave: claims first, then the pressing ones, then the large ones.
type Worth = (bool, Class, std::cmp::Reverse<u32>);

fn worth(tables: &Tables, job: key::Job) -> Worth {
    let row = &tables.jobs[job];
    (row.claim.is_none(), row.class, std::cmp::Reverse(row.shape.total()))
}

fn departure(tables: &Tables, worker: &Worker) -> Option<Cause> {
    let centre = &tables.data_centres[tables.racks[worker.rack].data_centre];
    if !centre.open {
        return Some(Cause::DataCentreOut(centre.name.clone()));
    }
    worker.leaving.then(|| Cause::WorkerLeaving(worker.name.clone()))
}
