//! Lets other steps use what is reserved for a step that cannot start yet.
//!
//! The load that this answers: a gang needs more workers than are free, and the runs on the others
//! last for minutes. What is reserved for the gang would be idle all that time. A step that is expected
//! to end before the gang can start is placed there at once; one that is
//! [overdue](crate::batch::overdue) is placed there too. If the gang waits for nothing but such runs in
//! the end, they are stopped for it.

use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use smallvec::SmallVec;

use crate::batch::assign;
use crate::batch::event::Event;
use crate::batch::gang;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::preempt;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::reservation;
use crate::batch::run_time;
use crate::batch::speed;
use crate::batch::table::Cause;
use crate::batch::table::Phase;
use crate::batch::table::Reservation;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Time for which a step waits for runs that were placed on what it had reserved before they are
/// stopped.
const RECLAIM_AFTER: Duration = Duration::from_secs(20);
/// Time for which a reservation that can be used is left to its step: the step is placed in the same
/// tick, unless something other than room keeps it from its place.
const USABLE_GRACE: Duration = Duration::from_millis(500);

/// Runs that were placed on what a waiting step had reserved, over all of its reservations.
#[row]
#[derive(Default)]
pub struct Claim {
    runs: SmallVec<[key::Run; 8]>,
    /// Since when the step has given way to overdue ones; `None` before.
    since: Option<Millis>,
}

/// When a step can use what is reserved for it.
#[token]
pub(super) struct Forecast {
    instance: StepInstance,
    /// `None` if the runs that are in the way do not end by themselves.
    ready_at: Option<Millis>,
    /// Whether the step should have been placed by now.
    is_stale: bool,
}

/// Forecasts when each reservation can be used, except those that nothing else may use.
pub(super) fn forecasts(tables: &mut Tables, now: Millis) -> SmallVec<[Forecast; 4]> {
    let mut forecasts = SmallVec::new();
    let instances: SmallVec<[StepInstance; 4]> = tables.reservations.keys().copied().collect();
    for instance in instances {
        let Some(reservation) = tables.reservations.get(&instance) else { continue };
        if reservation.is_firm {
            continue;
        }
        let ready_in = ready_in(tables, now, instance, reservation);
        let Some(reservation) = tables.reservations.get_mut(&instance) else { continue };
        reservation.usable_since = match ready_in {
            Some(Duration::ZERO) => Some(reservation.usable_since.unwrap_or(now)),
            _ => None,
        };
        let is_stale = reservation.usable_since.is_some_and(|at| USABLE_GRACE <= now.since(at));
        forecasts.push(Forecast { instance, ready_at: ready_in.map(|wait| now + wait), is_stale });
    }
    forecasts
}

/// Tells whether a step can use what is reserved for it at some time.
pub(super) fn becomes_usable(forecasts: &[Forecast], instance: StepInstance) -> bool {
    forecasts.iter().any(|forecast| forecast.instance == instance && forecast.ready_at.is_some())
}

/// Returns after what time the tasks of a step would fit on the workers that are reserved for it, if the
/// runs that were placed on its reservations were not there.
fn ready_in(
    tables: &Tables,
    now: Millis,
    instance: StepInstance,
    reservation: &Reservation,
) -> Option<Duration> {
    let demand = tables.step(instance)?.resources();
    let passed = tables.claims.get(&instance).map_or(&[][..], |claim| &claim.runs);
    let mut longest = Duration::ZERO;
    for (worker, count) in &reservation.placements {
        longest = longest.max(free_in(tables, now, *worker, demand.times(*count), passed)?);
    }
    Some(longest)
}

/// Returns after what time resources of a worker would be free if the runs `ignored` were not there.
fn free_in(
    tables: &Tables,
    now: Millis,
    worker: key::Worker,
    needed: Resources,
    ignored: &[key::Run],
) -> Option<Duration> {
    let row = tables.workers.get(worker).filter(|row| place::takes_work(row, now))?;
    let mut ends: SmallVec<[(Duration, Resources); 8]> = SmallVec::new();
    for key in &row.runs {
        let Some(run) = tables.runs.get(*key) else { continue };
        if run.incarnation != row.incarnation {
            continue;
        }
        let ends_in =
            if ignored.contains(key) { Some(Duration::ZERO) } else { ends_in(tables, now, run) };
        ends.extend(ends_in.map(|ends_in| (ends_in, run.demand)));
    }
    ends.sort_unstable_by_key(|(ends_in, _)| *ends_in);
    let mut ended = Resources::default();
    let mut time = Duration::ZERO;
    let mut ends = ends.into_iter();
    while !needed.fits(row.free_without(ended)) {
        let (ends_in, demand) = ends.next()?;
        time = ends_in;
        ended = ended.plus(demand);
    }
    Some(time)
}

/// Returns after what time a run is expected to end; `None` if it lasts until it is stopped.
///
/// A run that has outlived its estimate without progress is expected to take as long again as it is
/// overdue.
fn ends_in(tables: &Tables, now: Millis, run: &Run) -> Option<Duration> {
    if place::is_ending(run.phase) {
        return Some(Duration::from_millis(tables.bounds.stop_grace_ms));
    }
    let step = tables.step(run.task.instance).filter(|step| !step.long_running)?;
    let remaining = Duration::from_millis(reservation::remaining_ms(tables, step, run, now));
    if run.percent != run.first_percent {
        return Some(remaining);
    }
    let estimate = Duration::from_millis(rank::estimated_ms(step));
    Some(remaining.max(now.since(run.since).saturating_sub(estimate)))
}

/// Returns the reservations of other steps that a step may use: it is expected to end before they can
/// be used, or it is overdue.
pub(super) fn passable(
    tables: &Tables,
    now: Millis,
    forecasts: &[Forecast],
    candidate: &Candidate,
    step: &Step,
    is_overdue: bool,
) -> SmallVec<[StepInstance; 2]> {
    let Some(job) = tables.jobs.get(&candidate.instance.job) else { return SmallVec::new() };
    if forecasts.is_empty() {
        return SmallVec::new();
    }
    let length = run_time::expected_ms(tables, job, step, run_time::USUAL);
    let ends_at = (!step.long_running).then(|| now + Duration::from_millis(length));
    let is_passable = |forecast: &&Forecast| {
        let is_usable = forecast.ready_at.is_some_and(|at| at <= now);
        forecast.instance != candidate.instance
            && tables.reservations.contains_key(&forecast.instance)
            && match (is_overdue, forecast.ready_at, ends_at) {
                (true, _, _) => !is_usable || forecast.is_stale,
                (false, Some(ready_at), Some(ends_at)) => ends_at <= ready_at,
                (false, None, Some(_)) => true,
                (false, _, None) => false,
            }
    };
    forecasts.iter().filter(is_passable).map(|forecast| forecast.instance).collect()
}

/// Tells whether a step has given way to overdue ones, which may last. It keeps its reservation then,
/// and is placed before others that come later.
pub(super) fn has_given_way(tables: &Tables, instance: StepInstance) -> bool {
    tables.claims.get(&instance).is_some_and(|claim| claim.since.is_some())
}

/// Records that runs of a step which were planned in this tick use what is reserved for others.
pub(super) fn note_passed(
    tables: &mut Tables,
    now: Millis,
    instance: StepInstance,
    passed: &[StepInstance],
    is_overdue: bool,
) {
    let Some(task_states) = assign::task_states(tables, instance) else { return };
    let is_new = |key: &key::Run| {
        tables.runs.get(*key).is_some_and(|run| run.since == now && run.phase == Phase::Planned)
    };
    let runs: SmallVec<[key::Run; 8]> =
        task_states.iter().filter_map(|task_state| task_state.live).filter(is_new).collect();
    let is_gang = tables.step(instance).is_some_and(|step| step.gang);
    for reserving in passed {
        let Some(reservation) = tables.reservations.get(reserving) else { continue };
        let is_reserved = |key: &&key::Run| {
            let worker = tables.runs.get(**key).map(|run| run.worker);
            reservation.placements.iter().any(|(reserved, _)| Some(*reserved) == worker)
        };
        let on_reserved: SmallVec<[key::Run; 8]> =
            runs.iter().filter(is_reserved).copied().collect();
        if on_reserved.is_empty() {
            continue;
        }
        let claim = tables.claims.entry(*reserving).or_default();
        claim.runs.retain(|key| tables.runs.contains_key(*key));
        claim.runs.extend(if is_gang { runs.clone() } else { on_reserved });
        if is_overdue {
            claim.since.get_or_insert(now);
        }
    }
}

/// Stops runs that were placed on what a gang had reserved, if it needs nothing else and has waited for
/// long, since it gave way to overdue steps or since all other runs have ended; tells whether it has
/// stopped them.
pub(super) fn reclaim(
    tables: &mut Tables,
    now: Millis,
    availability: &mut Availability,
    candidate: &Candidate,
    step: &Step,
    events: &mut Vec<Event>,
) -> bool {
    let instance = candidate.instance;
    let Some(claim) = tables.claims.get_mut(&instance) else { return false };
    claim.runs.retain(|key| tables.runs.contains_key(*key));
    let usable_since =
        tables.reservations.get(&instance).and_then(|reservation| reservation.usable_since);
    let is_long_ago = |at: Option<Millis>| at.is_some_and(|at| RECLAIM_AFTER <= now.since(at));
    if !step.gang
        || claim.runs.is_empty()
        || !(is_long_ago(claim.since) || is_long_ago(usable_since))
    {
        return false;
    }
    let tasks: BTreeSet<Task> =
        claim.runs.iter().filter_map(|key| tables.runs.get(*key)).map(|run| run.task).collect();
    let price = |step: &Step, run: &Run| {
        tasks.contains(&run.task).then(|| preempt::lost_work(step, run, now))
    };
    let pool = assign::pool(tables, now, availability, candidate, step);
    let pool = speed::targets(tables, now, candidate, step, &pool);
    let (groups, _) = place::full_speed_groups(tables, &pool, step);
    let Some(plan) = preempt::cheapest(tables, availability, instance, step.tasks, &groups, price)
    else {
        return false;
    };
    for task in &plan.victims {
        let Some(run) = tables.run_of(*task) else { continue };
        if place::is_ending(run.phase) {
            continue;
        }
        events.push(Event::Preempted { task: *task, run: run.number, by: instance.job });
        tables.stop_task(*task, Cause::Preempted);
        gang::break_up(tables, *task);
    }
    let since = tables.reservations.get(&instance).map_or(now, |reservation| reservation.since);
    reservation::reserve(tables, now, availability, candidate, step, plan.placements, events);
    if let Some(reservation) = tables.reservations.get_mut(&instance) {
        reservation.since = since;
        reservation.has_preempted = true;
        reservation.is_firm = true;
    }
    true
}
