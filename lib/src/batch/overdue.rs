//! Bounds the time for which a step is held back beside free room.
//!
//! Several rules let a step wait for better room than there is, or leave room to other steps:
//! reservations, racks and data, fast workers, proven workers, workers that are avoided or paused, and
//! workers that are left to urgent work. Each of them weighs what it knows, and none of them knows how
//! long the step has been waiting for all of them together. A job must not have nothing running for 3 s
//! while there is room for it twice over and under half of its service is in use; a task that lasts
//! must not wait for as long, however much is in use. A step to which that applies is placed wherever
//! it can run. `docs/design/waiting.md` lists the rules and their bounds.

use std::time::Duration;

use smallvec::SmallVec;

use crate::batch::advice;
use crate::batch::assign;
use crate::batch::assign::Placed;
use crate::batch::event::Event;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::quarantine;
use crate::batch::rank::Candidate;
use crate::batch::table::Job;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;

/// Time for which a step may be held back. The run that ends the wait is to be recorded and started
/// within the rest of the 3 s.
const LIMIT: Duration = Duration::from_secs(2);
/// Multiple of the room that a step needs from which there is enough for it.
const AMPLE_FACTOR: u32 = 2;

/// Services of which at least half is in use. In one tick, use only grows.
#[derive(Default)]
pub(super) struct Busy {
    services: SmallVec<[String; 2]>,
}

impl Busy {
    /// Tells whether under half of a service's capacity is in use.
    fn is_under_half(&mut self, tables: &Tables, service: &str) -> bool {
        if self.services.iter().any(|busy| busy == service) {
            return false;
        }
        let is_under_half = is_under_half(tables, service);
        if !is_under_half {
            self.services.push(service.to_owned());
        }
        is_under_half
    }
}

/// Tells whether under half of a service's accelerators or of its processors are in use.
fn is_under_half(tables: &Tables, service: &str) -> bool {
    let (mut accelerators, mut processors) = ((0, 0), (0, 0));
    let of_service = |worker: &&Worker| worker.service == service;
    for worker in tables.workers.values().filter(of_service) {
        let used = worker.capacity.minus(worker.free());
        accelerators.0 += u64::from(used.accelerators);
        accelerators.1 += u64::from(worker.capacity.accelerators);
        processors.0 += u64::from(used.processors);
        processors.1 += u64::from(worker.capacity.processors);
    }
    let is_under = |(used, total): (u64, u64)| 2 * used < total;
    is_under(accelerators) || is_under(processors)
}

/// Tells whether a step that found no place has been held back for too long.
pub(super) fn is_due(
    tables: &mut Tables,
    now: Millis,
    busy: &mut Busy,
    candidate: &Candidate,
    step: &Step,
) -> bool {
    if !is_held_back(tables, now, busy, candidate, step) {
        tables.held_back.remove(&candidate.instance);
        return false;
    }
    let since = *tables.held_back.entry(candidate.instance).or_insert(now);
    trust::last_attempt_wait(tables, candidate, step).unwrap_or(LIMIT) <= now.since(since)
}

/// Tells whether a step waits beside enough free room.
fn is_held_back(
    tables: &Tables,
    now: Millis,
    busy: &mut Busy,
    candidate: &Candidate,
    step: &Step,
) -> bool {
    let Some(job) = tables.jobs.get(&candidate.instance.job) else { return false };
    let service = job.queue.service.as_str();
    (step.long_running || busy.is_under_half(tables, service) && has_nothing_running(job))
        && has_ample_room(tables, now, service, candidate.instance, step)
}

fn has_nothing_running(job: &Job) -> bool {
    let mut task_states = job.occurrences.values().flat_map(|row| row.steps.iter().flatten());
    task_states.all(|task_state| task_state.live.is_none())
}

/// Tells whether the workers of a service that take work have room for a gang, or for one task of
/// another step, twice over.
fn has_ample_room(
    tables: &Tables,
    now: Millis,
    service: &str,
    instance: StepInstance,
    step: &Step,
) -> bool {
    let wanted = AMPLE_FACTOR.saturating_mul(if step.gang { step.tasks } else { 1 });
    let most = if step.max_per_worker == 0 { wanted } else { step.max_per_worker.min(wanted) };
    let needs_advice = advice::is_needed(tables, instance);
    let may_run = |(key, worker): &(key::Worker, &Worker)| {
        worker.service == service
            && place::takes_work(worker, now)
            && worker.quarantine.is_none_or(|job| job == instance.job)
            && !tables.evacuated.contains(&worker.data_centre)
            && !worker.is_overcommitted()
            && place::suits(worker, step)
            && (!needs_advice || advice::ticket(tables, now, instance, *key).is_some())
    };
    let mut room = 0u32;
    for (_, worker) in tables.workers.iter().filter(may_run) {
        room = room.saturating_add(worker.free().count_fitting(step.resources(), most));
        if wanted <= room {
            return true;
        }
    }
    false
}

/// Places an overdue step, where it would be placed otherwise if it fits there, else on any worker that
/// may run it.
pub(super) fn place(
    tables: &mut Tables,
    now: Millis,
    availability: &mut Availability,
    candidate: &Candidate,
    step: &Step,
    events: &mut Vec<Event>,
) -> Placed {
    availability.set_yielding(tables, now, false);
    let placed = assign::place(tables, now, availability, candidate, step, events);
    // Suspected tasks wait for a worker of their own for a limited time.
    if placed != Placed::None || quarantine::split(tables, candidate).is_some() {
        return placed;
    }
    let eligible = place::eligible(tables, now, availability, candidate.instance, step);
    let healthy = trust::healthy(tables, now, &eligible);
    let unsuspected = trust::unsuspected(tables, now, &healthy);
    for pool in [unsuspected, healthy, eligible] {
        let placed = place_in(tables, now, availability, candidate, step, &pool, events);
        if placed != Placed::None {
            return placed;
        }
    }
    let availability = availability.with_paused(tables, now);
    let pool = place::eligible(tables, now, &availability, candidate.instance, step);
    place_in(tables, now, &availability, candidate, step, &pool, events)
}

/// Places a step on the workers of a pool, whatever their speed: where it runs at full speed if it fits
/// there, else across the pool.
fn place_in(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    pool: &[key::Worker],
    events: &mut Vec<Event>,
) -> Placed {
    let (near, slows_elsewhere) = place::full_speed_groups(tables, pool, step);
    let placed = place_in_groups(tables, now, availability, candidate, step, &near, true, events);
    if placed != Placed::None || !slows_elsewhere {
        return placed;
    }
    let all = [pool.to_vec()];
    place_in_groups(tables, now, availability, candidate, step, &all, false, events)
}

/// Places a step within groups of workers. Where its tasks run slower than elsewhere, only as many are
/// placed as have to run at once.
#[allow(clippy::too_many_arguments)]
fn place_in_groups(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    groups: &[Vec<key::Worker>],
    is_near: bool,
    events: &mut Vec<Event>,
) -> Placed {
    let instance = candidate.instance;
    let choices = groups.iter().map(Vec::len).sum();
    if step.gang {
        let found = place::pack_gang(tables, availability, instance, step, groups);
        let Some(placements) = found else { return Placed::None };
        assign::plan_gang(tables, now, instance, placements, choices, is_near, events);
        return Placed::All;
    }
    let all = candidate.waiting.len() as u32;
    let most = if is_near || step.long_running { all } else { 1 };
    let placements = place::fill(tables, availability, instance, step, groups, most);
    let mut waiting = candidate.waiting.iter().copied();
    let placed = assign::plan_tasks(
        tables,
        now,
        instance,
        &mut waiting,
        placements,
        choices,
        is_near,
        events,
    );
    Placed::count(placed, candidate)
}
