//! Counts why a waiting step finds no place, for the log.

use std::time::Duration;

use lavendergauge_derive::value;

use crate::batch::job::Step;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::rank::Candidate;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Time for which a step waits before the first explanation, and between two of them.
const INTERVAL: Duration = Duration::from_secs(3);

/// Numbers of workers of a step's service, by what keeps the step from them. Each worker counts once,
/// under the first cause that holds.
#[value]
#[derive(Default)]
pub struct Wait {
    /// Take no new work, or their agent or they themselves do not answer.
    pub away: usize,
    /// Are paused after refusals.
    pub paused: usize,
    /// Are in a data centre that operators have taken out.
    pub evacuated: usize,
    /// Could not hold one task if they were empty, or lack the label.
    pub unfit: usize,
    /// Are avoided after failures.
    pub avoided: usize,
    /// Have no room for one task.
    pub full: usize,
    /// Have room for one task, but it is reserved for other steps.
    pub reserved: usize,
    /// Have room for one task.
    pub open: usize,
}

/// Counts the causes for a step, unless that was done a short while ago.
pub fn explain(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
) -> Option<Wait> {
    let last = tables.explained.get(&candidate.instance).copied().unwrap_or(candidate.since);
    if now.since(last) < INTERVAL {
        return None;
    }
    tables.explained.insert(candidate.instance, now);
    let job = tables.jobs.get(&candidate.instance.job)?;
    let mut wait = Wait::default();
    for (key, worker) in &tables.workers {
        if worker.service != job.queue.service {
            continue;
        }
        let demand = step.resources();
        let count = if !place::takes_work(worker, now) {
            &mut wait.away
        } else if now < worker.paused_until {
            &mut wait.paused
        } else if tables.evacuated.contains(&worker.data_centre) {
            &mut wait.evacuated
        } else if !place::suits(worker, step) {
            &mut wait.unfit
        } else if worker.health.is_avoided(now) {
            &mut wait.avoided
        } else if !demand.fits(worker.free()) {
            &mut wait.full
        } else if !demand.fits(availability.unreserved(tables, key)) {
            &mut wait.reserved
        } else {
            &mut wait.open
        };
        *count += 1;
    }
    Some(wait)
}
