//! Assigns waiting tasks to workers, the most urgent step first.

use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::token;

use crate::batch::backfill;
use crate::batch::event::Event;
use crate::batch::headroom;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::occupancy;
use crate::batch::overdue;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::place::Placements;
use crate::batch::quarantine;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::refill;
use crate::batch::reservation;
use crate::batch::share;
use crate::batch::shortage;
use crate::batch::speed;
use crate::batch::table::Phase;
use crate::batch::table::Reservation;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::TaskState;
use crate::batch::trust;
use crate::batch::wait;
use crate::clock::Millis;
use crate::key;

/// Lifetime of a reservation for which other runs were preempted.
const PREEMPTION_LIFETIME: Duration = Duration::from_millis(2500);

/// Places waiting tasks, the most urgent step first, and reserves capacity for steps that find
/// none.
pub fn place_all(tables: &mut Tables, now: Millis, events: &mut Vec<Event>) {
    let is_in_force = |reservation: &Reservation| {
        !reservation.has_preempted || now.since(reservation.renewed_at) < PREEMPTION_LIFETIME
    };
    tables.reservations.retain(|_, reservation| is_in_force(reservation));
    if tables.waiting.is_empty() {
        tables.reservations.clear();
        tables.claims.clear();
        tables.held_back.clear();
        tables.examined.clear();
        tables.explained.clear();
        if tables.refills.is_empty() {
            return;
        }
    }
    let mut availability = Availability::of(tables, now);
    refill::place_refused(tables, now, &availability, events);
    let covered = rank::covered(tables);
    shortage::supply::count_workers(tables, now);
    share::settle(tables, now);
    let candidates = rank::candidates(tables, &covered, now);
    shortage::note(tables, now, &candidates, events);
    let waiting: BTreeSet<StepInstance> =
        candidates.iter().map(|candidate| candidate.instance).collect();
    tables.reservations.retain(|instance, _| waiting.contains(instance));
    tables.claims.retain(|instance, _| waiting.contains(instance));
    tables.held_back.retain(|instance, _| waiting.contains(instance));
    tables.examined.retain(|instance, _| waiting.contains(instance));
    tables.explained.retain(|instance, _| waiting.contains(instance));
    tables.trust.retain(&waiting);
    occupancy::note(tables, now, candidates.len(), events);
    let examinations = reservation::Examinations::new(tables, now, &candidates);
    let forecasts = backfill::forecasts(tables, now);
    let mut busy = overdue::Busy::default();
    for candidate in &candidates {
        let Some(step) = tables.step(candidate.instance).cloned() else { continue };
        availability.set_yielding(tables, now, headroom::yields(now, candidate));
        if let Some(reservation) = tables.reservations.get(&candidate.instance) {
            availability.cancel_reservation(&step, &reservation.placements);
        }
        let mut placed = place(tables, now, &availability, candidate, &step, events);
        if placed == Placed::None {
            let conflicts = reservation::newer_conflicts(tables, candidate.instance);
            if !conflicts.is_empty() {
                availability.release_steps(tables, &conflicts);
                placed = place(tables, now, &availability, candidate, &step, events);
                availability.reserve_steps(tables, &conflicts);
                if placed != Placed::None {
                    events.push(Event::Overridden(candidate.instance, conflicts.len()));
                }
            }
        }
        if placed != Placed::All {
            let passed = backfill::passable(tables, now, &forecasts, candidate, &step, false);
            if !passed.is_empty() {
                let remaining = still_waiting(tables, candidate);
                let more =
                    while_released(tables, &mut availability, &passed, |tables, availability| {
                        place(tables, now, availability, &remaining, &step, events)
                    });
                if more != Placed::None {
                    backfill::note_passed(tables, now, candidate.instance, &passed, false);
                    events.push(Event::Backfilled(candidate.instance, passed.len()));
                    placed = more;
                }
            }
        }
        if placed != Placed::None {
            tables.held_back.remove(&candidate.instance);
        } else if overdue::is_due(tables, now, &mut busy, candidate, &step) {
            let passed = backfill::passable(tables, now, &forecasts, candidate, &step, true);
            placed = while_released(tables, &mut availability, &passed, |tables, availability| {
                overdue::place(tables, now, availability, candidate, &step, events)
            });
            if placed != Placed::None {
                backfill::note_passed(tables, now, candidate.instance, &passed, true);
                let since = tables.held_back.remove(&candidate.instance).unwrap_or(now);
                events.push(Event::Overdue(candidate.instance, now.since(since)));
            }
        }
        let reservation = match placed {
            Placed::All => {
                tables.reservations.remove(&candidate.instance);
                continue;
            }
            // The reservation was sized for all waiting tasks and is too large for the remaining
            // ones.
            Placed::Some => {
                tables.reservations.remove(&candidate.instance);
                None
            }
            Placed::None if reservation::renew(tables, now, candidate, &forecasts) => {
                tables.reservations.get(&candidate.instance)
            }
            Placed::None => None,
        };
        if let Some(reservation) = reservation {
            let placements = reservation.placements.clone();
            if !backfill::reclaim(tables, now, &mut availability, candidate, &step, events) {
                availability.reserve(&step, &placements);
            }
            continue;
        }
        if let Some(wait) = wait::explain(tables, now, &availability, candidate, &step) {
            events.push(Event::Waiting(candidate.instance, wait));
        }
        events.extend(trust::explain_wait(tables, now, &availability, candidate, &step));
        let remaining = still_waiting(tables, candidate);
        let remaining = quarantine::without_held_back(tables, now, remaining, &step);
        if remaining.waiting.is_empty() {
            continue;
        }
        if examinations.includes(candidate.instance) {
            reservation::preempt_or_reserve(
                tables,
                now,
                &mut availability,
                &covered,
                &remaining,
                &step,
                events,
            );
        }
    }
}

/// Calls a function while what is reserved for other steps is available.
fn while_released(
    tables: &mut Tables,
    availability: &mut Availability,
    passed: &[StepInstance],
    function: impl FnOnce(&mut Tables, &mut Availability) -> Placed,
) -> Placed {
    availability.release_steps(tables, passed);
    let placed = function(tables, availability);
    availability.reserve_steps(tables, passed);
    placed
}

/// Places as many tasks of a candidate as there is capacity for; a gang as a whole.
pub(super) fn place(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    events: &mut Vec<Event>,
) -> Placed {
    if !availability.has_room(tables, step) {
        Placed::None
    } else if step.gang {
        place_gang(tables, now, availability, candidate, step, events)
    } else {
        place_tasks(tables, now, availability, candidate, step, events)
    }
}

/// How many of a step's waiting tasks were placed.
#[token]
pub(super) enum Placed {
    None,
    Some,
    All,
}

impl Placed {
    pub(super) fn count(placed: usize, candidate: &Candidate) -> Placed {
        match placed {
            0 => Placed::None,
            placed if placed == candidate.waiting.len() => Placed::All,
            _ => Placed::Some,
        }
    }
}

/// Returns a candidate reduced to the tasks that still wait.
fn still_waiting(tables: &Tables, candidate: &Candidate) -> Candidate {
    let waits = |index: &u32| {
        let task = Task { instance: candidate.instance, index: *index };
        tables
            .task_state(task)
            .is_some_and(|task_state| !task_state.done && task_state.live.is_none())
    };
    let waiting = candidate.waiting.iter().copied().filter(waits).collect();
    Candidate { waiting, ..candidate.clone() }
}

/// Returns the workers on which a step may be placed now. Prefers healthy workers on which none of
/// the waiting tasks has failed, then all healthy workers, then all eligible ones.
pub(super) fn pool(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
) -> Vec<key::Worker> {
    let all = place::eligible(tables, now, availability, candidate.instance, step);
    let healthy = trust::healthy(tables, now, &all);
    let failed_on = place::failed_on(tables, candidate);
    let fresh: Vec<key::Worker> =
        healthy.iter().copied().filter(|key| !failed_on.contains(key)).collect();
    let enough = |pool: &[key::Worker]| {
        if step.gang { place::fits_when_empty(tables, step, pool) } else { !pool.is_empty() }
    };
    let eligible = all.len();
    let pool = if enough(&fresh) {
        fresh
    } else if enough(&healthy) {
        healthy
    } else {
        all
    };
    trust::narrow(tables, now, availability, candidate, step, eligible, pool)
}

/// Tells whether a step that found no capacity where it runs at full speed may be placed elsewhere.
fn may_run_slowed(
    tables: &Tables,
    now: Millis,
    candidate: &Candidate,
    step: &Step,
    groups: &[Vec<key::Worker>],
) -> bool {
    let one = Step { tasks: if step.gang { step.tasks } else { 1 }, ..step.clone() };
    if !groups.iter().any(|group| place::fits_when_empty(tables, &one, group)) {
        return true;
    }
    // Waiting for as long as the slowdown costs gains nothing. When the time at which capacity
    // becomes free is not known, the two break even at half of it.
    let slowed =
        rank::estimated_ms(step) * tables.bounds.remote_permille.saturating_sub(1000) / 1000;
    let mut patience = Duration::from_millis(slowed / 2);
    if candidate.guaranteed {
        patience = patience.min(Duration::from_millis(tables.bounds.reclaim_ms / 3));
    }
    patience <= now.since(candidate.since)
}

fn place_gang(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    events: &mut Vec<Event>,
) -> Placed {
    let pool = match quarantine::gang_pool(tables, now, availability, candidate, step) {
        quarantine::Pool::Any => pool(tables, now, availability, candidate, step),
        quarantine::Pool::Idle(idle) => idle,
        quarantine::Pool::None => return Placed::None,
    };
    let instance = candidate.instance;
    let tiers = speed::tiers(tables, now, candidate, step, &pool);
    let pack = |workers: &[key::Worker]| {
        let (groups, _) = place::full_speed_groups(tables, workers, step);
        place::pack_gang(tables, availability, instance, step, &groups)
    };
    let found = tiers.iter().find_map(|tier| Some((tier, pack(&tier.workers)?)));
    let near = found.is_some();
    let slowed = || {
        let tier = tiers.last()?;
        let (groups, slows_elsewhere) = place::full_speed_groups(tables, &tier.workers, step);
        if !slows_elsewhere || !may_run_slowed(tables, now, candidate, step, &groups) {
            return None;
        }
        let group = std::slice::from_ref(&tier.workers);
        Some((tier, place::pack_gang(tables, availability, instance, step, group)?))
    };
    let Some((tier, placements)) = found.or_else(slowed) else { return Placed::None };
    note_tier(&tiers, tier, instance, events);
    events.extend(trust::explain_placement(tables, now, candidate, step, &pool));
    plan_gang(tables, now, instance, placements, tier.workers.len(), near, events);
    Placed::All
}

/// Plans the runs of a gang; `choices` is the number of workers that could have been chosen.
pub(super) fn plan_gang(
    tables: &mut Tables,
    now: Millis,
    instance: StepInstance,
    placements: Placements,
    choices: usize,
    near: bool,
    events: &mut Vec<Event>,
) {
    let Some(task_states) = task_states(tables, instance) else { return };
    let number = task_states.iter().map(|task_state| task_state.run).max().unwrap_or(0) + 1;
    let mut index = 0;
    for (worker, count) in placements {
        for _ in 0..count {
            let task = Task { instance, index };
            plan_run(tables, now, task, number, worker);
            events.push(placed_event(tables, task, number, worker, choices, near));
            index += 1;
        }
    }
}

/// Plans runs of tasks that run on their own, and returns their number; `choices` is the number of
/// workers that could have been chosen.
#[allow(clippy::too_many_arguments)]
pub(super) fn plan_tasks(
    tables: &mut Tables,
    now: Millis,
    instance: StepInstance,
    waiting: &mut impl Iterator<Item = u32>,
    placements: Placements,
    choices: usize,
    near: bool,
    events: &mut Vec<Event>,
) -> usize {
    let mut placed = 0;
    for (worker, count) in placements {
        for index in waiting.by_ref().take(count as usize) {
            let task = Task { instance, index };
            let number = tables.task_state(task).map_or(1, |task_state| task_state.run + 1);
            plan_run(tables, now, task, number, worker);
            events.push(placed_event(tables, task, number, worker, choices, near));
            placed += 1;
        }
    }
    placed
}

/// Places as many of the waiting tasks as there is capacity for.
fn place_tasks(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    events: &mut Vec<Event>,
) -> Placed {
    let most = candidate.waiting.len() as u32;
    let Some((suspects, others)) = quarantine::split(tables, candidate) else {
        let placed = place_parts(tables, now, availability, candidate, step, most, events);
        return Placed::count(placed, candidate);
    };
    let mut placed = quarantine::place(tables, now, availability, &suspects, step, most, events);
    if !others.waiting.is_empty() {
        let remaining = most - placed as u32;
        placed += place_parts(tables, now, availability, &others, step, remaining, events);
    }
    Placed::count(placed, candidate)
}

/// Places last attempts and other tasks, each on the workers that suit them, at most `most`; returns
/// how many were placed.
fn place_parts(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    most: u32,
    events: &mut Vec<Event>,
) -> usize {
    let mut placed = 0;
    for part in trust::parts(tables, candidate, step) {
        let remaining = most - placed as u32;
        placed += place_part(tables, now, availability, &part, step, remaining, events);
    }
    placed
}

/// Places as many of the waiting tasks as there is capacity for, at most `most`; returns how many
/// were placed.
fn place_part(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    most: u32,
    events: &mut Vec<Event>,
) -> usize {
    let pool = pool(tables, now, availability, candidate, step);
    let instance = candidate.instance;
    let tiers = speed::tiers(tables, now, candidate, step, &pool);
    let mut waiting = candidate.waiting.iter().copied();
    let mut placed = 0;
    let last = tiers.last().map(|tier| (tier, false));
    for (tier, near) in tiers.iter().map(|tier| (tier, true)).chain(last) {
        let remaining = most - placed as u32;
        if remaining == 0 {
            break;
        }
        let (mut groups, slows_elsewhere) = place::full_speed_groups(tables, &tier.workers, step);
        if !near {
            if !slows_elsewhere || !may_run_slowed(tables, now, candidate, step, &groups) {
                break;
            }
            groups = vec![tier.workers.clone()];
        }
        let placements = if tier.is_spread {
            place::spread(tables, availability, instance, step, &groups, remaining.div_ceil(2))
        } else {
            place::fill(tables, availability, instance, step, &groups, remaining)
        };
        if !placements.is_empty() {
            note_tier(&tiers, tier, instance, events);
        }
        let choices = tier.workers.len();
        placed +=
            plan_tasks(tables, now, instance, &mut waiting, placements, choices, near, events);
    }
    placed
}

/// Logs which tier a step is placed on, if there was a choice.
fn note_tier(
    tiers: &[speed::Tier],
    tier: &speed::Tier,
    instance: StepInstance,
    events: &mut Vec<Event>,
) {
    if 1 < tiers.len() {
        events.push(Event::Tier(instance, tier.class, tier.workers.len()));
    }
}

/// Returns the states of a step's tasks.
pub(super) fn task_states(tables: &Tables, instance: StepInstance) -> Option<&Vec<TaskState>> {
    tables
        .jobs
        .get(&instance.job)?
        .occurrences
        .get(&instance.occurrence)?
        .steps
        .get(usize::from(instance.step))
}

pub(super) fn placed_event(
    tables: &Tables,
    task: Task,
    run: u32,
    worker: key::Worker,
    choices: usize,
    near: bool,
) -> Event {
    Event::Placed { task, run, node: tables.workers[worker].node.clone(), choices, near }
}

pub(super) fn plan_run(
    tables: &mut Tables,
    now: Millis,
    task: Task,
    number: u32,
    worker: key::Worker,
) {
    let incarnation = tables.workers[worker].incarnation;
    tables.touch(task.instance.job);
    let Some(job) = tables.jobs.get(&task.instance.job) else { return };
    let version = job.version;
    let mut stalls = 0;
    if let Some(task_state) = tables.task_state_mut(task) {
        task_state.run = number;
        stalls = task_state.stalls;
    }
    let run = Run::new(task, number, worker, incarnation, Phase::Planned, now);
    tables.insert_run(Run { version, stalls, ..run });
}
