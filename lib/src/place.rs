//! Placement of jobs on free capacity that is reserved for nobody.
//!
//! Workers are chosen so that the remaining free capacity is fragmented as little as possible.

use std::time::Duration;

use crate::allocation;
use crate::clock::Millis;
use crate::guarantee_plan;
use crate::key;
use crate::planner::Action;
use crate::resource::Resources;
use crate::search;
use crate::search::Found;
use crate::shape::Adjacency;
use crate::table::Job;
use crate::table::Placements;
use crate::table::Purpose;
use crate::table::Tables;
use crate::table::Worker;

/// Cost of an accelerator that stays free on the worker, relative to a stranded one.
const LEFTOVER_COST: f64 = 0.5;
/// Cost of a borrowed accelerator: a claim may evict the job from it.
const BORROWED_COST: f64 = 0.01;
/// Cost of a borrowed accelerator for a job without checkpoints, whose work is lost on eviction.
const BORROWED_COST_NO_CHECKPOINT: f64 = 0.05;
/// Shortest time until draining capacity is needed in which another job may be started on it.
const BACKFILL_MIN: Duration = Duration::from_secs(20);
/// Quantile of the predicted run time that must end before the draining capacity is needed.
const BACKFILL_QUANTILE: f64 = 0.9;
/// Time over which a reopened data centre is filled up again.
const REFILL_TIME: Duration = Duration::from_secs(20);

/// Starts a waiting job on free capacity; returns whether it was started.
///
/// Tries unreserved capacity, then capacity that moving idle guarantee reservations frees, then
/// capacity that drains for another job.
pub(crate) fn start(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    actions: &mut Vec<Action>,
) -> bool {
    if exceeds_quota(tables, job) {
        return false;
    }
    let found = find(tables, now, job);
    if let Some(placements) = found.placements {
        start_on(tables, now, job, &placements, found.considered, actions);
        return true;
    }
    if let Some(placements) = find_under_reservations(tables, now, job) {
        start_on(tables, now, job, &placements, found.considered, actions);
        return true;
    }
    for drain in tables.drains.clone() {
        if drain == job || !can_backfill(tables, now, job, drain) {
            continue;
        }
        if let Some(placements) = find_in_drain(tables, now, job, drain) {
            tables.jobs[job].backfills = Some(drain);
            start_on(tables, now, job, &placements, 1, actions);
            return true;
        }
    }
    false
}

/// Places a job and reports its start.
pub(crate) fn start_on(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    placements: &Placements,
    alternatives: usize,
    actions: &mut Vec<Action>,
) {
    allocation::place(tables, now, job, placements);
    report_start(tables, job, alternatives, actions);
}

/// Counts a start towards the data centre's refill and reports it as an action.
pub(crate) fn report_start(
    tables: &mut Tables,
    job: key::Job,
    alternatives: usize,
    actions: &mut Vec<Action>,
) {
    crate::probation::record_start(tables, job);
    let row = &tables.jobs[job];
    for assignment in &row.assignments {
        let rack = tables.workers[assignment.worker].rack;
        let data_centre = &mut tables.data_centres[tables.racks[rack].data_centre];
        data_centre.refilled = data_centre.refilled.saturating_add(row.shape.accelerators);
    }
    actions.push(Action::Start {
        job: row.name.clone(),
        attempt: row.attempt,
        assignments: allocation::named_assignments(tables, job),
        alternatives,
    });
}

/// Tells whether a start would exceed the account's quota.
pub(crate) fn exceeds_quota(tables: &Tables, job: key::Job) -> bool {
    let row = &tables.jobs[job];
    let account = &tables.accounts[row.account];
    account.quota != 0 && account.quota < account.held.saturating_add(row.shape.total())
}

/// Searches unreserved free capacity for a job.
pub(crate) fn find(tables: &Tables, now: Millis, job: key::Job) -> Found {
    let row = &tables.jobs[job];
    let compactness = f64::from(tables.policy.compactness_percent.min(100)) / 100.0;
    if !row.is_evictable() && has_unmet_guarantee(tables, row) {
        return Found { placements: None, considered: 0 };
    }
    let available = |_, worker_row: &Worker| {
        let is_open =
            search::admits(now, row, worker_row) && !is_refill_limited(tables, now, worker_row);
        is_open.then(|| available_for(row, worker_row, worker_row.draining))
    };
    search::find_cheapest(
        tables,
        row.shape,
        &row.data_centres,
        available,
        |worker, worker_row, members| {
            search::failure_cost(row, worker)
                + placement_cost(tables, row, worker_row, members, compactness)
        },
    )
}

/// Finds capacity for a job on the workers that drain for another.
fn find_in_drain(
    tables: &Tables,
    now: Millis,
    job: key::Job,
    drain: key::Job,
) -> Option<Placements> {
    let row = &tables.jobs[job];
    let reserving = &tables.jobs[drain];
    if row.shape.adjacency < reserving.shape.adjacency && row.shape.adjacency != Adjacency::Worker {
        return None;
    }
    let mut available = Vec::new();
    for placement in reserving.reservation.iter().flat_map(|reservation| &reservation.placements) {
        let worker_row = &tables.workers[placement.worker];
        let data_centre = &tables.data_centres[tables.racks[worker_row.rack].data_centre];
        let allowed = row.data_centres.is_empty() || row.data_centres.contains(&data_centre.name);
        let is_open = data_centre.is_open
            && search::admits(now, row, worker_row)
            && !is_refill_limited(tables, now, worker_row);
        if allowed && is_open {
            let reserved =
                worker_row.draining.minus(reserving.shape.member().times(placement.members));
            available.push((placement.worker, available_for(row, worker_row, reserved)));
        }
    }
    search::fit_within(row.shape, &available)
}

/// Finds free capacity for a job that cannot be evicted, by moving guarantee reservations off it.
fn find_under_reservations(tables: &mut Tables, now: Millis, job: key::Job) -> Option<Placements> {
    let row = &tables.jobs[job];
    if row.is_evictable() || has_unmet_guarantee(tables, row) {
        return None;
    }
    let available = |worker: key::Worker, worker_row: &Worker| {
        let is_open =
            search::admits(now, row, worker_row) && !is_refill_limited(tables, now, worker_row);
        let free = worker_row.free_resources().minus(worker_row.claimed).minus(worker_row.draining);
        is_open.then(|| {
            min_resources(
                free,
                worker_row.capacity.minus(guarantee_plan::immovable(tables, worker)),
            )
        })
    };
    let found = search::find_cheapest(
        tables,
        row.shape,
        &row.data_centres,
        available,
        |_, worker_row, members| {
            let wanted = row.shape.accelerators * members;
            f64::from(wanted.saturating_sub(worker_row.unpromised().accelerators))
        },
    );
    let placements = found.placements?;
    let member = row.shape.member();
    guarantee_plan::clear_reservations(tables, member, &placements).then_some(placements)
}

/// Returns the free resources that a worker offers to a job.
///
/// Excluded are those reserved for claims, the given part of the draining ones and, for a job
/// that cannot be evicted, those that the guarantee plan has reserved.
fn available_for(job: &Job, worker_row: &Worker, draining: Resources) -> Resources {
    let free = worker_row.free_resources().minus(worker_row.claimed).minus(draining);
    if job.is_evictable() { free } else { min_resources(free, worker_row.unpromised()) }
}

/// Returns the smaller value of each dimension.
fn min_resources(a: Resources, b: Resources) -> Resources {
    Resources {
        accelerators: a.accelerators.min(b.accelerators),
        processors: a.processors.min(b.processors),
        memory_mb: a.memory_mb.min(b.memory_mb),
    }
}

/// Returns the cost of placing members on a worker, in stranded accelerators.
fn placement_cost(
    tables: &Tables,
    job: &Job,
    worker_row: &Worker,
    members: u32,
    compactness: f64,
) -> f64 {
    let free = worker_row.free_accelerators().count();
    let left = free.saturating_sub(job.shape.accelerators * members);
    let stranded = tables.demand.stranded(left) - tables.demand.stranded(free);
    let borrowed = f64::from(worker_row.promised.accelerators.saturating_sub(left));
    let each = if job.checkpoints { BORROWED_COST } else { BORROWED_COST_NO_CHECKPOINT };
    compactness * (stranded + LEFTOVER_COST * f64::from(left)) + each * borrowed
}

/// Tells whether there is an unmet guarantee that could be met in a data centre where the job may
/// run.
fn has_unmet_guarantee(tables: &Tables, job: &Job) -> bool {
    let meets = |allowed: &[crate::name::Name]| {
        allowed.is_empty()
            || job.data_centres.is_empty()
            || allowed.iter().any(|name| job.data_centres.contains(name))
    };
    tables.guarantees.values().any(|row| row.unmet.is_some() && meets(&row.data_centres))
}

/// Tells whether a worker's data centre was reopened lately and has started enough for now.
///
/// The share of its accelerators that may have been started grows linearly over `REFILL_TIME`.
fn is_refill_limited(tables: &Tables, now: Millis, worker_row: &Worker) -> bool {
    let data_centre = &tables.data_centres[tables.racks[worker_row.rack].data_centre];
    let Some(reopened) = data_centre.reopened else { return false };
    let since = now.since(reopened);
    if REFILL_TIME <= since {
        return false;
    }
    let total: u32 = data_centre
        .racks
        .values()
        .flat_map(|&rack| &tables.racks[rack].workers)
        .map(|&worker| tables.workers[worker].capacity.accelerators)
        .sum();
    let share = since.as_secs_f64() / REFILL_TIME.as_secs_f64();
    f64::from(total) * share < f64::from(data_centre.refilled)
}

/// Tells whether a job may use capacity that drains for another until that one can start.
fn can_backfill(tables: &Tables, now: Millis, job: key::Job, drain: key::Job) -> bool {
    let row = &tables.jobs[job];
    let Some(reservation) = tables.jobs.get(drain).and_then(|row| row.reservation.as_ref()) else {
        return false;
    };
    if reservation.purpose != Purpose::Drain || !row.is_evictable() {
        return false;
    }
    let remaining = reservation.ready.since(now);
    if remaining < BACKFILL_MIN {
        return false;
    }
    let run_time = tables.estimates.remaining(row, Duration::ZERO, BACKFILL_QUANTILE);
    row.checkpoints || run_time.is_some_and(|run_time| run_time <= remaining)
}
