//! Obtains capacity for a step that found none: by preempting less urgent runs, or by reserving
//! capacity until other runs have ended.

use std::collections::BTreeSet;
use std::time::Duration;

use smallvec::SmallVec;

use crate::batch::assign;
use crate::batch::backfill;
use crate::batch::backfill::Forecast;
use crate::batch::event::Event;
use crate::batch::gang;
use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::preempt;
use crate::batch::preempt::Plan;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::run_time;
use crate::batch::shortage;
use crate::batch::shortage::measure::Verdict;
use crate::batch::speed;
use crate::batch::table::Cause;
use crate::batch::table::Phase;
use crate::batch::table::Reservation;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Time for which a step waits before capacity is reserved for it without preemption.
const RESERVE_AFTER: Duration = Duration::from_secs(3);
/// Time after which a step for which preemption found nothing is examined again.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of steps for which preemption is examined in one tick.
const MAX_EXAMINED: usize = 8;
/// Time after which a reservation for a step that waits for other runs to end by themselves has to be
/// renewed.
const RENEW_AFTER: Duration = Duration::from_secs(20);
/// Maximum number of steps that have capacity reserved while other runs finish.
const MAX_RESERVED_STEPS: usize = 2;
/// Progress since a run was first listed from which its end can be predicted, in percentage points.
const PREDICTABLE_PERCENT: u32 = 10;
/// Divisor of the time in which guaranteed work must start; the result is how long it may wait for
/// other runs to end by themselves.
const RECLAIM_WAIT_DIVISOR: u64 = 4;
/// Divisor of a job's own work; the result is how much work it may cost others when it will be late
/// anyway.
const LATE_WORK_DIVISOR: u64 = 8;

/// Obtains capacity for a step that found none: by preempting less urgent runs, or by reserving
/// capacity until other runs have ended.
pub fn preempt_or_reserve(
    tables: &mut Tables,
    now: Millis,
    availability: &mut Availability,
    covered: &[Id],
    candidate: &Candidate,
    step: &Step,
    events: &mut Vec<Event>,
) {
    let count = if step.gang { step.tasks } else { candidate.waiting.len() as u32 };
    let all = assign::pool(tables, now, availability, candidate, step);
    let all = speed::targets(tables, now, candidate, step, &all);
    let (groups, _) = place::full_speed_groups(tables, &all, step);
    if candidate.priority == 0
        && try_preempt(tables, now, availability, covered, candidate, step, &groups, &all, events)
    {
        return;
    }
    let reserved_steps =
        tables.reservations.values().filter(|reservation| !reservation.has_preempted).count();
    if !step.gang
        || MAX_RESERVED_STEPS <= reserved_steps
        || now.since(candidate.since) < RESERVE_AFTER
        || !may_reserve(tables, now, candidate)
    {
        return;
    }
    let remaining = |step: &Step, run: &Run| Some(remaining_ms(tables, step, run, now));
    let Some(plan) =
        preempt::cheapest(tables, availability, candidate.instance, count, &groups, remaining)
    else {
        return;
    };
    reserve(tables, now, availability, candidate, step, plan.placements, events);
}

fn may_reserve(tables: &Tables, now: Millis, candidate: &Candidate) -> bool {
    shortage::may_reserve(tables, now, candidate)
        || backfill::has_given_way(tables, candidate.instance)
}

/// Renews the reservation of a step that still waits, if it has one; tells whether it has one then.
///
/// It is renewed on the same workers, so that others do not take a part of the capacity in between,
/// unless runs that do not end by themselves are in the way there.
pub(super) fn renew(
    tables: &mut Tables,
    now: Millis,
    candidate: &Candidate,
    forecasts: &[Forecast],
) -> bool {
    let Some(reservation) = tables.reservations.get(&candidate.instance) else { return false };
    if reservation.has_preempted || now.since(reservation.renewed_at) < RENEW_AFTER {
        return true;
    }
    let is_useful = backfill::becomes_usable(forecasts, candidate.instance)
        && may_reserve(tables, now, candidate);
    if !is_useful {
        tables.reservations.remove(&candidate.instance);
    } else if let Some(reservation) = tables.reservations.get_mut(&candidate.instance) {
        reservation.renewed_at = now;
    }
    is_useful
}

/// Tells whether steps reserve only what no other step has reserved.
pub fn are_exclusive(tables: &Tables) -> bool {
    tables.policy.shortage || tables.policy.worker_trust
}

/// Returns the newer reservations that conflict with a step's own: together they exceed a worker's
/// capacity, which has shrunk since they were made.
///
/// Each would block the other until they expire, so the older one goes first.
pub fn newer_conflicts(tables: &Tables, instance: StepInstance) -> SmallVec<[StepInstance; 2]> {
    let Some(own) = tables.reservations.get(&instance) else { return SmallVec::new() };
    let is_newer = |other: &StepInstance, since: Millis| (own.since, instance) < (since, *other);
    let conflicts = |other: StepInstance| {
        own.placements.iter().any(|(worker, _)| {
            let needed = reserved_on(tables, instance, *worker);
            let other = reserved_on(tables, other, *worker);
            let capacity = tables.workers.get(*worker).map(|row| row.capacity).unwrap_or_default();
            other != Resources::default() && !needed.plus(other).fits(capacity)
        })
    };
    tables
        .reservations
        .iter()
        .filter(|(other, reservation)| is_newer(other, reservation.since) && conflicts(**other))
        .map(|(other, _)| *other)
        .collect()
}

/// Returns what a step has reserved on a worker.
fn reserved_on(tables: &Tables, instance: StepInstance, worker: key::Worker) -> Resources {
    let demand = tables.step(instance).map(Step::resources).unwrap_or_default();
    let reservation = tables.reservations.get(&instance);
    let placements = reservation.into_iter().flat_map(|reservation| &reservation.placements);
    let count = placements.filter(|(key, _)| *key == worker).map(|(_, count)| count).sum();
    demand.times(count)
}

/// Steps for which preemption is examined in one tick.
///
/// The search costs the same whether or not it finds anything. A step for which it found nothing
/// is examined again after `EXAMINE_INTERVAL`, and at most `MAX_EXAMINED` steps are examined
/// in a tick; the others follow in later ticks, those that waited longest first.
pub struct Examinations {
    steps: BTreeSet<StepInstance>,
}

impl Examinations {
    /// Chooses the steps to examine, and notes that they are.
    pub fn new(tables: &mut Tables, now: Millis, candidates: &[Candidate]) -> Examinations {
        let is_due = |candidate: &&Candidate| {
            let examined_at = tables.examined.get(&candidate.instance);
            (candidate.priority == 0 || RESERVE_AFTER <= now.since(candidate.since))
                && examined_at.is_none_or(|at| EXAMINE_INTERVAL <= now.since(*at))
        };
        let mut due: Vec<(Option<Millis>, StepInstance)> = candidates
            .iter()
            .filter(is_due)
            .map(|candidate| candidate.instance)
            .map(|instance| (tables.examined.get(&instance).copied(), instance))
            .collect();
        // The sort is stable: of those that waited equally long, the most urgent come first.
        due.sort_by_key(|(examined_at, _)| *examined_at);
        let steps: BTreeSet<StepInstance> =
            due.into_iter().map(|(_, instance)| instance).take(MAX_EXAMINED).collect();
        tables.examined.extend(steps.iter().map(|instance| (*instance, now)));
        Examinations { steps }
    }

    /// Tells whether a step is one of those to examine.
    pub fn includes(&self, instance: StepInstance) -> bool {
        self.steps.contains(&instance)
    }
}

/// Estimates the remaining time of a run, in milliseconds.
pub(super) fn remaining_ms(tables: &Tables, step: &Step, run: &Run, now: Millis) -> u64 {
    if tables.policy.run_time_model {
        return run_time::remaining_ms(tables, step, run, now, run_time::USUAL);
    }
    let estimate = rank::estimated_ms(step);
    let gained = u64::from(run.percent.saturating_sub(run.first_percent));
    match run.seen_at {
        Some(seen_at) if 2 < gained => {
            let elapsed = now.since(seen_at).as_millis() as u64;
            elapsed * u64::from(100u32.saturating_sub(run.percent)) / gained
        }
        _ => estimate.saturating_sub(now.since(run.since).as_millis() as u64),
    }
}

#[allow(clippy::too_many_arguments)]
fn try_preempt(
    tables: &mut Tables,
    now: Millis,
    availability: &mut Availability,
    covered: &[Id],
    candidate: &Candidate,
    step: &Step,
    groups: &[Vec<key::Worker>],
    all: &[key::Worker],
    events: &mut Vec<Event>,
) -> bool {
    let count = if step.gang { step.tasks } else { candidate.waiting.len() as u32 };
    let slack = slack(tables, now, candidate);
    let measure = tables
        .policy
        .shortage
        .then(|| shortage::measure::Measure::of(tables, now, candidate, step, count));
    if candidate.guaranteed {
        // Guaranteed work takes capacity that is only reserved for other steps, without preemption.
        let released: Vec<StepInstance> = tables
            .reservations
            .iter()
            .filter(|(_, reservation)| !reservation.has_preempted)
            .map(|(instance, _)| *instance)
            .collect();
        for instance in released {
            let reservation = tables.reservations.remove(&instance);
            if let (Some(reservation), Some(step)) = (reservation, tables.step(instance)) {
                availability.cancel_reservation(step, &reservation.placements);
            }
        }
    }
    let price = |step: &Step, run: &Run| {
        let id = run.task.instance.job;
        let priority = tables.jobs.get(&id)?.queue.priority;
        let yields = candidate.priority < priority
            || (candidate.guaranteed && covered.binary_search(&id).is_err());
        if ends_within(tables, step, run, now, slack) {
            return Some(0);
        }
        if !yields || step.long_running {
            return None;
        }
        match &measure {
            Some(measure) => measure.price(tables, step, run, remaining_ms(tables, step, run, now)),
            None => Some(preempt::lost_work(step, run, now)),
        }
    };
    let instance = candidate.instance;
    let plan =
        preempt::cheapest(tables, availability, instance, count, groups, price).or_else(|| {
            preempt::cheapest(
                tables,
                availability,
                instance,
                count,
                std::slice::from_ref(&all.to_vec()),
                price,
            )
        });
    let Some(mut plan) = plan else { return false };
    let expected_ms = tables.jobs.get(&instance.job).map_or(rank::estimated_ms(step), |job| {
        run_time::expected_ms(tables, job, step, run_time::USUAL)
    });
    let own_work = preempt::cores(step) * expected_ms * u64::from(count);
    // A job that no guarantee covers may cost others as much work as it does itself, if it starts
    // in time, and only a part of that if it is late.
    let late = candidate.latest_start < now + Duration::from_millis(tables.bounds.stop_grace_ms);
    let max_cost = if late { own_work / LATE_WORK_DIVISOR } else { own_work };
    match &measure {
        Some(measure) if !candidate.guaranteed && 0 < plan.cost => {
            let by_itself = measure
                .may_pay(plan.cost)
                .then(|| wait_for_ends(tables, now, availability, candidate, count, groups))
                .flatten();
            let wait_ms = by_itself.as_ref().map(|(wait_ms, _)| *wait_ms);
            let weighing = measure.weigh(plan.cost, wait_ms);
            let verdict = weighing.verdict;
            shortage::measure::record(tables, now, weighing, events);
            match (verdict, by_itself) {
                (Verdict::Preempt, _) => {}
                (Verdict::Wait, Some((_, placements))) => {
                    plan = Plan { placements, victims: BTreeSet::new(), cost: 0 };
                }
                _ => return false,
            }
        }
        None if !candidate.guaranteed && max_cost < plan.cost => return false,
        _ => {}
    }
    let mut stops_runs = false;
    for task in &plan.victims {
        let Some(victim) = tables.step(task.instance) else { continue };
        let Some(run) = tables.run_of(*task) else { continue };
        stops_runs |= place::is_ending(run.phase);
        if place::is_ending(run.phase) || ends_within(tables, victim, run, now, slack) {
            continue;
        }
        stops_runs = true;
        events.push(Event::Preempted { task: *task, run: run.number, by: candidate.instance.job });
        tables.stop_task(*task, Cause::Preempted);
        gang::break_up(tables, *task);
    }
    reserve(tables, now, availability, candidate, step, plan.placements, events);
    if let Some(reservation) = tables.reservations.get_mut(&instance) {
        reservation.has_preempted = true;
        reservation.is_firm = candidate.guaranteed || stops_runs;
    }
    true
}

/// Returns in how many milliseconds a step finds capacity if no run is stopped, and where.
fn wait_for_ends(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    count: u32,
    groups: &[Vec<key::Worker>],
) -> Option<(u64, place::Placements)> {
    let remaining =
        |step: &Step, run: &Run| (!step.long_running).then(|| remaining_ms(tables, step, run, now));
    let plan =
        preempt::cheapest(tables, availability, candidate.instance, count, groups, remaining)?;
    let waits = plan.victims.iter().filter_map(|task| {
        let run = tables.run_of(*task)?;
        let step = tables.step(task.instance)?;
        let grace_ms = tables.bounds.stop_grace_ms;
        Some(if place::is_ending(run.phase) {
            grace_ms
        } else {
            remaining_ms(tables, step, run, now)
        })
    });
    Some((waits.max().unwrap_or(0), plan.placements))
}

/// Returns the time for which an urgent step can wait for other runs to end by themselves.
fn slack(tables: &Tables, now: Millis, candidate: &Candidate) -> Duration {
    let grace = Duration::from_millis(tables.bounds.stop_grace_ms);
    let spare = candidate.latest_start.since(now).saturating_sub(grace);
    if !candidate.guaranteed {
        // Stopping a run takes as long.
        return if tables.policy.shortage { spare.max(grace) } else { spare };
    }
    let bound = Duration::from_millis(tables.bounds.reclaim_ms / RECLAIM_WAIT_DIVISOR);
    spare.min(bound.saturating_sub(now.since(candidate.since)))
}

/// Tells whether a run will end by itself within a time, judging by its progress so far.
fn ends_within(tables: &Tables, step: &Step, run: &Run, now: Millis, time: Duration) -> bool {
    let gained = run.percent.saturating_sub(run.first_percent);
    run.phase == Phase::Running
        && !step.long_running
        && PREDICTABLE_PERCENT <= gained
        && remaining_ms(tables, step, run, now) <= time.as_millis() as u64
}

/// Reserves capacity for a step until other runs have ended.
pub(super) fn reserve(
    tables: &mut Tables,
    now: Millis,
    availability: &mut Availability,
    candidate: &Candidate,
    step: &Step,
    placements: place::Placements,
    events: &mut Vec<Event>,
) {
    availability.reserve(step, &placements);
    events.push(Event::Reserved(candidate.instance, placements.len()));
    let reservation = Reservation {
        placements,
        since: now,
        renewed_at: now,
        has_preempted: false,
        is_firm: false,
        usable_since: None,
    };
    tables.reservations.insert(candidate.instance, reservation);
}
