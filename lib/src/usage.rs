//! Tasks that use more than was declared: throttled first, then moved with a true declaration.

use std::time::Duration;

use crate::clock::Millis;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::room::Room;
use crate::table::State;
use crate::table::Tables;

/// Lag of usage reports, within which a throttle cannot show yet.
const LAG: Duration = Duration::from_secs(10);
/// Part of a declaration by which usage may exceed it, as a divisor.
const TOLERANCE: u32 = 10;

/// Takes in what the members of a job use on one worker.
pub(crate) fn report(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    worker: key::Worker,
    used: Room,
    actions: &mut Vec<Action>,
) {
    let row = &tables.jobs[job];
    if row.state != State::Running {
        return;
    }
    let declared = reclaim::on_worker(tables, job, worker);
    let members = row.places.iter().filter(|place| place.worker == worker).count() as u32;
    if members == 0 || within(used, declared) {
        tables.jobs[job].over = None;
        return;
    }
    let name = row.name.clone();
    let attempt = row.attempt;
    let Some(since) = row.over else {
        tables.jobs[job].over = Some(now);
        let worker = tables.workers[worker].name.clone();
        let (processors, memory_mb) = (declared.processors, declared.memory_mb);
        actions.push(Action::Throttle { job: name, attempt, worker, processors, memory_mb });
        return;
    };
    if now.since(since) < LAG {
        return;
    }
    let each = Room {
        accelerators: 0,
        processors: used.processors.div_ceil(members),
        memory_mb: used.memory_mb.div_ceil(u64::from(members)),
    };
    let row = &mut tables.jobs[job];
    row.over = None;
    row.grown = Some(each);
    if row.evictable() {
        reclaim::stop(tables, now, job, Cause::Overuse(name), actions);
    }
}

/// Declares what a job was seen to use, for its next attempt.
pub(crate) fn grow(tables: &mut Tables, job: key::Job) -> bool {
    let row = &mut tables.jobs[job];
    let Some(grown) = row.grown.take() else { return false };
    row.shape.processors = row.shape.processors.max(grown.processors);
    row.shape.memory_mb = row.shape.memory_mb.max(grown.memory_mb);
    true
}

fn within(used: Room, declared: Room) -> bool {
    let processors = declared.processors + declared.processors / TOLERANCE;
    let memory = declared.memory_mb + declared.memory_mb / u64::from(TOLERANCE);
    (declared.processors == 0 || used.processors <= processors)
        && (declared.memory_mb == 0 || used.memory_mb <= memory)
}
