//! Replaces members of a gang whose start was refused, so that the others need not stop.
//!
//! A refused start has not run and never will, so the member may start on another worker under the
//! run number of its gang. That is done only where the gang keeps its full speed; otherwise the gang
//! is stopped and placed again as a whole.

use crate::batch::assign;
use crate::batch::event::Event;
use crate::batch::gang;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;

/// Places the missing members of every gang with refused starts, or stops the gang.
pub fn place_refused(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    events: &mut Vec<Event>,
) {
    for (instance, run) in std::mem::take(&mut tables.refills) {
        let Some(missing) = missing_members(tables, instance, run) else { continue };
        let Some(index) = missing.first() else { continue };
        if !place_missing(tables, now, availability, instance, run, &missing, events) {
            gang::break_up(tables, Task { instance, index: *index });
        }
    }
}

/// Returns the members of a gang without a run, while all others may be at work under the run
/// number.
fn missing_members(tables: &Tables, instance: StepInstance, run: u32) -> Option<Vec<u32>> {
    let job = tables.jobs.get(&instance.job).filter(|job| job.is_active())?;
    let row = job.occurrences.get(&instance.occurrence)?;
    let mut missing = Vec::new();
    let members = row.steps.get(usize::from(instance.step))?;
    for (index, member) in members.iter().enumerate() {
        let Some(key) = member.live else {
            if member.done || member.run != run || member.failed_run == run {
                return None;
            }
            missing.push(index as u32);
            continue;
        };
        let live = tables.runs.get(key)?;
        if live.number != run || matches!(live.phase, Phase::Stopping(_)) {
            return None;
        }
    }
    // A gang of which nothing is left is placed again as a whole.
    (missing.len() < members.len()).then_some(missing)
}

fn place_missing(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    instance: StepInstance,
    run: u32,
    missing: &[u32],
    events: &mut Vec<Event>,
) -> bool {
    let Some(step) = tables.step(instance).cloned() else { return false };
    let eligible = place::eligible(tables, now, availability, instance, &step);
    let mut pool = trust::healthy(tables, now, &eligible);
    pool.retain(|worker| keeps_full_speed(tables, instance, &step, *worker));
    let count = missing.len() as u32;
    let groups = std::slice::from_ref(&pool);
    let placements = place::fill(tables, availability, instance, &step, groups, count);
    if placements.iter().map(|(_, count)| *count).sum::<u32>() < count {
        return false;
    }
    let mut members = missing.iter().copied();
    for (worker, count) in placements {
        for index in members.by_ref().take(count as usize) {
            let task = Task { instance, index };
            assign::plan_run(tables, now, task, run, worker);
            events.push(assign::placed_event(tables, task, run, worker, pool.len(), true));
        }
    }
    true
}

/// Tells whether a gang runs as fast with a member on this worker as it does now.
fn keeps_full_speed(
    tables: &Tables,
    instance: StepInstance,
    step: &Step,
    worker: key::Worker,
) -> bool {
    let rack = &tables.workers[worker].rack;
    if !step.data_rack.is_empty() {
        return *rack == step.data_rack;
    }
    !step.same_rack
        || tables
            .runs
            .values()
            .filter(|run| run.task.instance == instance)
            .all(|run| tables.workers.get(run.worker).is_some_and(|worker| worker.rack == *rack))
}
