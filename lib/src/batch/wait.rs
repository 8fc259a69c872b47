//! Counts why a waiting step finds no place, for the log.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::job::Step;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::rank::Candidate;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;

/// Time for which a step waits before the first explanation, and between two of them.
const INTERVAL: Duration = Duration::from_secs(3);

/// What keeps a step from a worker, as counted in [`Wait`].
#[token]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Obstacle {
    /// It takes no new work, or its agent or it itself does not answer.
    Away,
    /// It is paused after refusals.
    Paused,
    /// It is in quarantine for a task of another job that may crash it.
    Quarantined,
    /// It is in a data centre that operators have taken out.
    Evacuated,
    /// It could not hold one task if it were empty, or lacks the label.
    Unfit,
    /// It is avoided after failures.
    Avoided,
    /// It has no room for one task.
    Full,
    /// It has room for one task, but that is reserved for other steps.
    Reserved,
    /// Nothing.
    None,
}

/// Numbers of workers of a step's service, by what keeps the step from them. Each worker counts once,
/// under the first cause that holds.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Wait {
    /// Take no new work, or their agent or they themselves do not answer.
    pub away: usize,
    /// Are paused after refusals.
    pub paused: usize,
    /// Are in quarantine for a task that may crash them.
    #[serde(default)]
    pub quarantined: usize,
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

impl Wait {
    /// Counts a worker.
    pub(super) fn add(&mut self, obstacle: Obstacle) {
        let count = match obstacle {
            Obstacle::Away => &mut self.away,
            Obstacle::Paused => &mut self.paused,
            Obstacle::Quarantined => &mut self.quarantined,
            Obstacle::Evacuated => &mut self.evacuated,
            Obstacle::Unfit => &mut self.unfit,
            Obstacle::Avoided => &mut self.avoided,
            Obstacle::Full => &mut self.full,
            Obstacle::Reserved => &mut self.reserved,
            Obstacle::None => &mut self.open,
        };
        *count += 1;
    }
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
        if worker.service == job.queue.service {
            wait.add(obstacle(tables, now, availability, key, step));
        }
    }
    Some(wait)
}

/// Returns what keeps a step from a worker of its service.
pub(super) fn obstacle(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    key: key::Worker,
    step: &Step,
) -> Obstacle {
    let worker = &tables.workers[key];
    let demand = step.resources();
    if !place::takes_work(worker, now) {
        Obstacle::Away
    } else if now < worker.paused_until {
        Obstacle::Paused
    } else if worker.quarantine.is_some() {
        Obstacle::Quarantined
    } else if tables.evacuated.contains(&worker.data_centre) {
        Obstacle::Evacuated
    } else if !place::suits(worker, step) {
        Obstacle::Unfit
    } else if worker.health.is_avoided(now) {
        Obstacle::Avoided
    } else if !demand.fits(worker.free()) {
        Obstacle::Full
    } else if !demand.fits(availability.unreserved(tables, key)) {
        Obstacle::Reserved
    } else {
        Obstacle::None
    }
}
