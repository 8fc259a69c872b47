//! Handles members that use more than they declared: they are throttled first; if that does not
//! help, the job is restarted with a declaration raised to its usage.

use std::time::Duration;

use crate::clock::Millis;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::resource::Resources;
use crate::table::State;
use crate::table::Tables;

/// Lag of usage reports; a throttle shows no effect in them before that time.
const LAG: Duration = Duration::from_secs(10);
/// Divisor of a declaration that gives by how much usage may exceed it: a tenth.
const TOLERANCE_DIVISOR: u32 = 10;

/// Handles a report of what the members of a job use on one worker.
pub(crate) fn report(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    worker: key::Worker,
    used: Resources,
    actions: &mut Vec<Action>,
) {
    let row = &tables.jobs[job];
    if row.state != State::Running {
        return;
    }
    let declared = reclaim::held_on(tables, job, worker);
    let members =
        row.assignments.iter().filter(|assignment| assignment.worker == worker).count() as u32;
    if members == 0 || is_within(used, declared) {
        tables.jobs[job].overuse_since = None;
        return;
    }
    let name = row.name.clone();
    let attempt = row.attempt;
    let Some(since) = row.overuse_since else {
        tables.jobs[job].overuse_since = Some(now);
        let worker = tables.workers[worker].name.clone();
        let (processors, memory_mb) = (declared.processors, declared.memory_mb);
        actions.push(Action::Throttle { job: name, attempt, worker, processors, memory_mb });
        return;
    };
    if now.since(since) < LAG {
        return;
    }
    let of_each_member = Resources {
        accelerators: 0,
        processors: used.processors.div_ceil(members),
        memory_mb: used.memory_mb.div_ceil(u64::from(members)),
    };
    let row = &mut tables.jobs[job];
    row.overuse_since = None;
    row.observed_use = Some(of_each_member);
    if row.is_evictable() {
        reclaim::stop(tables, now, job, Cause::Overuse(name), actions);
    }
}

/// Raises a job's declaration to the recorded overuse for the next attempt; tells whether any was
/// recorded.
pub(crate) fn raise_declaration(tables: &mut Tables, job: key::Job) -> bool {
    let row = &mut tables.jobs[job];
    let Some(observed) = row.observed_use.take() else { return false };
    row.shape.processors = row.shape.processors.max(observed.processors);
    row.shape.memory_mb = row.shape.memory_mb.max(observed.memory_mb);
    true
}

fn is_within(used: Resources, declared: Resources) -> bool {
    let processors = declared.processors + declared.processors / TOLERANCE_DIVISOR;
    let memory = declared.memory_mb + declared.memory_mb / u64::from(TOLERANCE_DIVISOR);
    (declared.processors == 0 || used.processors <= processors)
        && (declared.memory_mb == 0 || used.memory_mb <= memory)
}
