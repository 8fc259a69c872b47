//! Drain reservations: capacity is reserved for jobs that have waited long, so that none starves.
//!
//! A job that has waited for its class's bound gets a reservation on the workers that are
//! expected to have enough free capacity soonest. From then on, the only other jobs that start
//! on that capacity are those that can be stopped once the rest of the reservation is free.
//! After twice the bound, checkpointed jobs that have run for their turn are stopped for it. So
//! the number of jobs that overtake the waiting job is bounded by those that start within its
//! bound, and its wait is bounded by the longest run of a job that cannot be checkpointed.

use std::time::Duration;

use crate::allocation;
use crate::clock::Millis;
use crate::guarantee_plan;
use crate::key;
use crate::place;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::resource::Resources;
use crate::search;
use crate::table::Class;
use crate::table::Job;
use crate::table::Placement;
use crate::table::Purpose;
use crate::table::Reservation;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// Divisor of the fleet's accelerators: at most this part drains at a time, unless a single job
/// needs more.
const DRAINED_DIVISOR: u32 = 4;
/// Most urgent jobs for which capacity drains at a time.
const MAX_URGENT: usize = 64;
/// Cost of each accelerator of a preempted job in the choice among workers, as a waiting time.
const PREEMPTION_COST: Duration = Duration::from_secs(60);
/// Longest run of an idempotent job that may be lost to start an urgent job.
const MAX_LOST_RUN: Duration = Duration::from_secs(60);
/// Multiple of the wait bound that applies to patient jobs.
const PATIENT_FACTOR: u32 = 4;
/// Divisor of the wait bound that applies to urgent jobs.
const URGENT_DIVISOR: u32 = 120;
/// Multiple of the wait bound after which checkpointed jobs are stopped for the waiting one.
const ESCALATION_FACTOR: u32 = 2;
/// Shortest run of a checkpointed job before it may be stopped for one that has waited long.
const MIN_TURN: Duration = Duration::from_secs(300);
/// Assumed remaining run time of a job without an estimate.
const DEFAULT_REMAINING: Duration = Duration::from_secs(3600);
/// Interval between two checks whether stopping jobs would free a reservation.
const STOP_INTERVAL: Duration = Duration::from_millis(500);
/// Quantile of remaining run times from which the time until a reservation is free is estimated.
const QUANTILE: f64 = 0.5;

/// Returns the wait after which capacity drains for a job.
pub(crate) fn wait_bound(tables: &Tables, job: &Job) -> Duration {
    let large_wait = tables.policy.large_wait;
    match job.class {
        Class::Urgent => large_wait / URGENT_DIVISOR,
        Class::Ordinary => large_wait,
        Class::Patient => large_wait * PATIENT_FACTOR,
    }
}

/// Tells whether a waiting job has waited for its bound.
pub(crate) fn is_overdue(tables: &Tables, now: Millis, job: &Job) -> bool {
    wait_bound(tables, job) <= now.since(job.waiting_since)
}

/// Starts jobs whose reservation is free, and stops jobs that occupy the other reservations.
///
/// Reservations on workers that are not usable any more are cancelled. When capacity was freed,
/// waiting jobs are also tried outside their reservations.
pub(crate) fn advance(tables: &mut Tables, now: Millis, actions: &mut Vec<Action>) {
    let freed = tables.capacity_version != tables.drains_version;
    tables.drains_version = tables.capacity_version;
    let mut failed = Vec::new();
    for job in std::mem::take(&mut tables.drains) {
        if !waits_for_drain(tables, job) {
            continue;
        }
        if place::exceeds_quota(tables, job) || !is_reservation_usable(tables, now, job) {
            allocation::cancel_reservation(tables, job);
            continue;
        }
        if start(tables, now, job, actions) {
            continue;
        }
        if freed && !has_similar_failed(tables, &failed, job) {
            if start_elsewhere(tables, now, job, actions) {
                continue;
            }
            failed.push(job);
        }
        tables.drains.push(job);
        stop_occupants(tables, now, job, actions);
    }
}

/// Makes reservations for the jobs that wait longest, urgent ones first, within the limits of
/// `DRAINED_DIVISOR` and `MAX_URGENT`.
pub(crate) fn reserve(tables: &mut Tables, now: Millis, mut jobs: Vec<key::Job>) {
    let is_urgent = |tables: &Tables, job: key::Job| tables.jobs[job].class == Class::Urgent;
    jobs.sort_by_key(|&job| (!is_urgent(tables, job), tables.jobs[job].submitted, job));
    for job in jobs {
        let row = &tables.jobs[job];
        let others = tables.drains.iter().filter(|&&other| !is_urgent(tables, other));
        let drained: u32 = others.map(|&job| tables.jobs[job].shape.total()).sum();
        let limit = tables.fleet.accelerators / DRAINED_DIVISOR;
        let is_full = 0 < drained && limit < drained + row.shape.total();
        let urgent_count = tables.drains.iter().filter(|&&other| is_urgent(tables, other)).count();
        let is_full = if is_urgent(tables, job) { MAX_URGENT <= urgent_count } else { is_full };
        if is_full || row.reservation.is_some() || place::exceeds_quota(tables, job) {
            continue;
        }
        let Some(reservation) = find_reservation(tables, now, job, max_available)
            .or_else(|| find_under_reservations(tables, now, job))
        else {
            continue;
        };
        allocation::reserve(tables, job, reservation);
        tables.drains.push(job);
    }
}

/// Tells whether a job still waits with a drain reservation.
fn waits_for_drain(tables: &Tables, job: key::Job) -> bool {
    let row = tables.jobs.get(job);
    row.is_some_and(|row| {
        let drains = row
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.purpose == Purpose::Drain);
        row.state == State::Waiting && drains
    })
}

/// Tells whether every worker of a job's reservation is still usable and large enough.
fn is_reservation_usable(tables: &Tables, now: Millis, job: key::Job) -> bool {
    let row = &tables.jobs[job];
    row.reservation.iter().flat_map(|reservation| &reservation.placements).all(|placement| {
        let worker_row = &tables.workers[placement.worker];
        let is_usable =
            search::is_usable(tables, worker_row) && search::admits(now, row, worker_row);
        is_usable
            && row.shape.member().times(placement.members).fits(max_available(row, worker_row))
    })
}

/// Returns the resources that a worker could offer to a job once all jobs there have ended.
///
/// For a job that cannot be evicted, these leave out what is reserved for guarantees or pinned.
fn max_available(job: &Job, worker_row: &Worker) -> Resources {
    let capacity = worker_row.capacity.minus(worker_row.claimed);
    if job.is_evictable() {
        capacity
    } else {
        capacity.minus(worker_row.promised).minus(worker_row.pinned)
    }
}

/// Finds a reservation for a job that cannot be evicted, by moving guarantee reservations off it.
fn find_under_reservations(tables: &mut Tables, now: Millis, job: key::Job) -> Option<Reservation> {
    if tables.jobs[job].is_evictable() {
        return None;
    }
    let reservation = find_reservation(tables, now, job, |_, worker_row| {
        worker_row.capacity.minus(worker_row.claimed).minus(worker_row.pinned)
    })?;
    let member = tables.jobs[job].shape.member();
    guarantee_plan::clear_reservations(tables, member, &reservation.placements)
        .then_some(reservation)
}

/// Finds a reservation on the unit that is expected to have enough free capacity soonest.
fn find_reservation(
    tables: &Tables,
    now: Millis,
    job: key::Job,
    max_available: impl Fn(&Job, &Worker) -> Resources,
) -> Option<Reservation> {
    let row = &tables.jobs[job];
    let available = |_, worker_row: &Worker| {
        let is_usable =
            search::is_usable(tables, worker_row) && search::admits(now, row, worker_row);
        is_usable.then(|| max_available(row, worker_row).minus(worker_row.draining))
    };
    let member = row.shape.member();
    let found = search::find_cheapest(
        tables,
        row.shape,
        &row.data_centres,
        available,
        |worker, _, members| {
            let wait = expected_wait(tables, now, row.class, worker, member.times(members));
            search::failure_cost(row, worker) + wait.as_secs_f64()
        },
    );
    let placements = found.placements?;
    let wait = |placement: &Placement| {
        expected_wait(tables, now, row.class, placement.worker, member.times(placement.members))
    };
    let longest = placements.iter().map(wait).max().unwrap_or_default();
    Some(Reservation {
        placements,
        purpose: Purpose::Drain,
        ready: now + longest,
        last_eviction_check: None,
    })
}

/// Returns the time until a worker is expected to have the needed resources free.
fn expected_wait(
    tables: &Tables,
    now: Millis,
    class: Class,
    worker: key::Worker,
    needed: Resources,
) -> Duration {
    let worker_row = &tables.workers[worker];
    let mut available =
        worker_row.free_resources().minus(worker_row.claimed).minus(worker_row.draining);
    if needed.fits(available) {
        return Duration::ZERO;
    }
    let mut releases: Vec<(Duration, key::Job)> =
        worker_row.jobs.iter().map(|&job| (remaining(tables, now, class, job), job)).collect();
    releases.sort_unstable();
    for (release_in, job) in releases {
        available = available.plus(reclaim::held_on(tables, job, worker));
        if needed.fits(available) {
            return release_in;
        }
    }
    DEFAULT_REMAINING * 2
}

/// Returns the time until a job is expected to release its resources to a job of a class.
fn remaining(tables: &Tables, now: Millis, class: Class, job: key::Job) -> Duration {
    let row = &tables.jobs[job];
    if row.state == State::Stopping {
        return tables.policy.notice;
    }
    if can_preempt(now, class, row) {
        return tables.policy.notice + PREEMPTION_COST * row.shape.total();
    }
    tables.estimates.remaining(row, row.run_time(now), QUANTILE).unwrap_or(DEFAULT_REMAINING)
}

/// Tells whether a running job may be preempted at once for a waiting one of a class.
///
/// Only urgent jobs preempt, and only jobs of a lower class that claim no guarantee and lose
/// little work.
fn can_preempt(now: Millis, class: Class, other: &Job) -> bool {
    let loses_little =
        other.checkpoints || other.idempotent && now.since(other.started) <= MAX_LOST_RUN;
    class == Class::Urgent && class < other.class && other.claim.is_none() && loses_little
}

/// Returns the workers of a job's reservation.
fn reserved_placements(tables: &Tables, job: key::Job) -> crate::table::Placements {
    tables.jobs[job]
        .reservation
        .as_ref()
        .map(|reservation| reservation.placements.clone())
        .unwrap_or_default()
}

/// Starts a job on its reservation if all of it is free; returns whether it was started.
fn start(tables: &mut Tables, now: Millis, job: key::Job, actions: &mut Vec<Action>) -> bool {
    let row = &tables.jobs[job];
    let placements = reserved_placements(tables, job);
    let member = row.shape.member();
    let is_free = placements.iter().all(|placement| {
        let worker_row = &tables.workers[placement.worker];
        let free = worker_row.free_resources().minus(worker_row.claimed);
        let respects_guarantees =
            row.is_evictable() || member.times(placement.members).fits(worker_row.unpromised());
        respects_guarantees && member.times(placement.members).fits(free)
    });
    if is_free {
        place::start_on(tables, now, job, &placements, 1, actions);
    }
    is_free
}

/// Tells whether a job with the same needs has found no free capacity in this tick.
fn has_similar_failed(tables: &Tables, failed: &[key::Job], job: key::Job) -> bool {
    let row = &tables.jobs[job];
    failed.iter().map(|&other| &tables.jobs[other]).any(|other| {
        other.shape == row.shape
            && other.data_centres == row.data_centres
            && other.is_evictable() == row.is_evictable()
    })
}

/// Starts a job on free capacity outside its reservation; returns whether it was started.
fn start_elsewhere(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    actions: &mut Vec<Action>,
) -> bool {
    let found = place::find(tables, now, job);
    let Some(placements) = found.placements else { return false };
    place::start_on(tables, now, job, &placements, found.considered, actions);
    true
}

/// Stops the jobs that backfill a reservation once that frees it.
///
/// If that does not suffice, and the waiting job is urgent or has waited long, checkpointed jobs
/// that have run for their turn and jobs that may be preempted at once are stopped as well.
fn stop_occupants(tables: &mut Tables, now: Millis, job: key::Job, actions: &mut Vec<Action>) {
    let Some(reservation) = &mut tables.jobs[job].reservation else { return };
    if reservation
        .last_eviction_check
        .is_some_and(|checked_at| now.since(checked_at) < STOP_INTERVAL)
    {
        return;
    }
    reservation.last_eviction_check = Some(now);
    let row = &tables.jobs[job];
    let has_waited_long = row.class == Class::Urgent
        || wait_bound(tables, row) * ESCALATION_FACTOR <= now.since(row.waiting_since);
    let (name, member, class) = (row.name.clone(), row.shape.member(), row.class);
    let shortages =
        reclaim::shortages(tables, member, &reserved_placements(tables, job), |worker| {
            tables.workers[worker].claimed
        });
    let backfills = |other: &Job| other.backfills == Some(job);
    let victims = reclaim::choose_victims(tables, now, &shortages, |_, other| backfills(other))
        .or_else(|| {
            let had_turn = |other: &Job| {
                let had_long_run = other.checkpoints && MIN_TURN <= now.since(other.started);
                other.claim.is_none() && had_long_run || can_preempt(now, class, other)
            };
            reclaim::choose_victims(tables, now, &shortages, |_, other| {
                backfills(other) || (has_waited_long && had_turn(other))
            })
        });
    let victims = victims.unwrap_or_default();
    if !victims.is_empty() {
        let ready = now + tables.policy.notice;
        let reservation = tables.jobs[job].reservation.as_mut();
        reservation.into_iter().for_each(|reservation| reservation.ready = ready);
    }
    for victim in victims {
        reclaim::stop(tables, now, victim, Cause::LongWait(name.clone()), actions);
    }
}
