//! Claims: jobs of a guarantee's owner that use the guaranteed capacity.
//!
//! Borrowers, which are jobs that run on reserved capacity without claiming it, are evicted for
//! a claim.

use lavendergauge_derive::row;

use crate::allocation;
use crate::clock::Millis;
use crate::guarantee_plan;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::reclaim;
use crate::reclaim::Shortage;
use crate::resource::Resources;
use crate::search;
use crate::shape::Shape;
use crate::table::Job;
use crate::table::Placements;
use crate::table::Purpose;
use crate::table::Reservation;
use crate::table::Tables;

/// Cost of an accelerator that must be freed by evicting borrowers; one that is free costs nothing.
const SHORTAGE_COST: f64 = 1.0;

/// Result of serving a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The claim starts now.
    Started,
    /// Capacity is reserved for the claim, and the borrowers on it are being stopped.
    Reserved,
    /// The claim does not fit into what its guarantee has left.
    Refused,
}

/// Returns why a job can never fit into a guarantee's shape; `None` if it can.
pub(crate) fn mismatch(guarantee: &Shape, job: &Shape) -> Option<String> {
    let guaranteed = guarantee.member().times(guarantee.members);
    let wanted = job.member().times(job.members);
    if !wanted.fits(guaranteed) {
        return Some(format!(
            "the guarantee covers {} accelerators, {} processors and {} MB, the job needs {}, {} and {}",
            guaranteed.accelerators,
            guaranteed.processors,
            guaranteed.memory_mb,
            wanted.accelerators,
            wanted.processors,
            wanted.memory_mb
        ));
    }
    (job.adjacency < guarantee.adjacency)
        .then(|| "the job's members must be closer together than the guarantee's shape".to_owned())
}

/// One alternative to serve a claim: where it runs, what must be freed there, and the guarantee's
/// new reservation if it has to move.
#[row]
struct Alternative {
    placements: Placements,
    shortages: Vec<Shortage>,
    moved: Option<Placements>,
}

/// Starts a claim, or reserves capacity for it and stops the cheapest borrowers.
pub(crate) fn serve(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    actions: &mut Vec<Action>,
) -> Outcome {
    let guarantee = allocation::claimed_guarantee(tables, job);
    let with_reservation =
        guarantee.filter(|&guarantee| !tables.guarantees[guarantee].reserved.is_empty());
    let Some((guarantee, alternative)) = with_reservation
        .and_then(|guarantee| Some((guarantee, cheapest(tables, now, job, guarantee)?)))
    else {
        cancel_claim_reservation(tables, job);
        return Outcome::Refused;
    };
    if let Some(reservation) = alternative.moved {
        guarantee_plan::release(tables, guarantee);
        guarantee_plan::reserve(tables, guarantee, reservation);
    }
    let member = tables.jobs[job].shape.member();
    let is_free = alternative.placements.iter().all(|placement| {
        member.times(placement.members).fits(tables.workers[placement.worker].free_resources())
    });
    if is_free && alternative.shortages.is_empty() {
        tables.jobs[job].claim = Some(guarantee);
        allocation::place(tables, now, job, &alternative.placements);
        return Outcome::Started;
    }
    evict(tables, now, job, &alternative.shortages, actions);
    let ready = now + tables.policy.notice;
    let reservation = Reservation {
        placements: alternative.placements,
        purpose: Purpose::Claim,
        ready,
        last_eviction_check: None,
    };
    allocation::reserve(tables, job, reservation);
    Outcome::Reserved
}

/// Cancels the reservation of a waiting claim.
fn cancel_claim_reservation(tables: &mut Tables, job: key::Job) {
    let reservation = tables.jobs[job].reservation.as_ref();
    if reservation.is_some_and(|reservation| reservation.purpose == Purpose::Claim) {
        allocation::cancel_reservation(tables, job);
    }
}

/// Tells whether a job is a borrower, which may be evicted for a claim.
pub(crate) fn is_borrower(row: &Job) -> bool {
    row.claim.is_none() && row.is_evictable()
}

/// Stops the cheapest borrowers whose resources cover the shortages.
fn evict(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    shortages: &[Shortage],
    actions: &mut Vec<Action>,
) {
    let claimant = tables.jobs[job].name.clone();
    let Some(victims) = reclaim::choose_victims(tables, now, shortages, |_, row| is_borrower(row))
    else {
        return;
    };
    for victim in victims {
        reclaim::stop(tables, now, victim, Cause::Reclaim(claimant.clone()), actions);
    }
}

/// Finds the cheapest alternative to serve a claim.
///
/// It runs in the guarantee's reservation where that is now, or where it can move as long as no
/// claim runs in it.
fn cheapest(
    tables: &Tables,
    now: Millis,
    job: key::Job,
    guarantee: key::Guarantee,
) -> Option<Alternative> {
    let in_place = in_reservation(tables, job, guarantee);
    // Capacity reserved on a silent worker may not become free before the worker counts as lost.
    let is_silent = in_place.as_ref().is_some_and(|alternative| {
        alternative.placements.iter().any(|placement| tables.workers[placement.worker].is_silent)
    });
    if is_silent && tables.guarantees[guarantee].claims.is_empty() {
        return in_moved_reservation(tables, job, guarantee).or(in_place);
    }
    if in_place.as_ref().is_some_and(|alternative| alternative.shortages.is_empty()) {
        return in_place;
    }
    let is_fixed =
        tables.jobs[job].reservation.is_some() || !tables.guarantees[guarantee].claims.is_empty();
    if is_fixed && in_place.is_some() {
        return in_place;
    }
    if !tables.guarantees[guarantee].claims.is_empty() {
        return None;
    }
    let elsewhere = in_moved_reservation(tables, job, guarantee);
    let cost = |alternative: &Alternative| eviction_cost(tables, now, alternative);
    [in_place, elsewhere].into_iter().flatten().min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Returns the work that is lost by the evictions of an alternative, in accelerator-seconds.
///
/// One is added for each evicted job; infinite if the shortages cannot be covered.
fn eviction_cost(tables: &Tables, now: Millis, alternative: &Alternative) -> f64 {
    let Some(victims) =
        reclaim::choose_victims(tables, now, &alternative.shortages, |_, row| is_borrower(row))
    else {
        return f64::INFINITY;
    };
    victims.into_iter().map(|victim| reclaim::lost_work(tables, now, victim) + 1.0).sum()
}

/// Finds an alternative in the part of the guarantee's reservation that other claims leave.
fn in_reservation(
    tables: &Tables,
    job: key::Job,
    guarantee: key::Guarantee,
) -> Option<Alternative> {
    let row = &tables.guarantees[guarantee];
    let allowed = &tables.jobs[job].data_centres;
    let mut available = Vec::new();
    for placement in &row.reserved {
        let worker = &tables.workers[placement.worker];
        let data_centre = &tables.data_centres[tables.racks[worker.rack].data_centre];
        if allowed.is_empty() || allowed.contains(&data_centre.name) {
            let own = row.shape.member().times(placement.members);
            available.push((
                placement.worker,
                own.minus(used_by_claims(tables, job, guarantee, placement.worker)),
            ));
        }
    }
    let placements = search::fit_within(tables.jobs[job].shape, &available)?;
    Some(alternative(tables, job, placements, None))
}

/// Returns the resources on a worker that a guarantee's other claims use or have reserved.
fn used_by_claims(
    tables: &Tables,
    job: key::Job,
    guarantee: key::Guarantee,
    worker: key::Worker,
) -> Resources {
    let row = &tables.guarantees[guarantee];
    let placed = row.claims.iter().map(|&other| reclaim::held_on(tables, other, worker));
    let reserved = row.waiting_claims.iter().filter(|&&other| other != job);
    let reserved = reserved.map(|&other| reserved_on(&tables.jobs[other], worker));
    placed.chain(reserved).fold(Resources::default(), Resources::plus)
}

/// Returns the resources on a worker that are reserved for a waiting job.
fn reserved_on(row: &Job, worker: key::Worker) -> Resources {
    let placements = row.reservation.iter().flat_map(|reservation| &reservation.placements);
    let here = placements.filter(|placement| placement.worker == worker);
    here.fold(Resources::default(), |sum, placement| {
        sum.plus(row.shape.member().times(placement.members))
    })
}

/// Finds an alternative with the whole reservation moved to where the fewest accelerators must be
/// freed.
fn in_moved_reservation(
    tables: &Tables,
    job: key::Job,
    guarantee: key::Guarantee,
) -> Option<Alternative> {
    let row = &tables.guarantees[guarantee];
    let wanted = &tables.jobs[job];
    let member = row.shape.member();
    let own = |worker| {
        let placements = row.reserved.iter().filter(|placement| placement.worker == worker);
        placements
            .fold(Resources::default(), |sum, placement| sum.plus(member.times(placement.members)))
    };
    let common: Vec<_> = wanted
        .data_centres
        .iter()
        .filter(|name| row.data_centres.is_empty() || row.data_centres.contains(name))
        .cloned()
        .collect();
    if common.is_empty() && !wanted.data_centres.is_empty() {
        return None;
    }
    let allowed = if common.is_empty() { &row.data_centres[..] } else { &common[..] };
    let found = search::find_cheapest(
        tables,
        row.shape,
        allowed,
        |worker, worker_row| {
            let available = worker_row.unpromised().plus(own(worker));
            (search::is_usable(tables, worker_row) && !worker_row.is_silent).then_some(available)
        },
        |worker, worker_row, members| {
            let needed = row.shape.accelerators * members;
            let free = worker_row
                .free_resources()
                .minus(reserved_for_others(tables, job, worker))
                .accelerators;
            SHORTAGE_COST * f64::from(needed.saturating_sub(free))
                + f64::from(free.saturating_sub(needed)) / 1000.0
        },
    );
    let reservation = found.placements?;
    let available: Vec<_> = reservation
        .iter()
        .map(|placement| (placement.worker, member.times(placement.members)))
        .collect();
    let placements = search::fit_within(wanted.shape, &available)?;
    Some(alternative(tables, job, placements, Some(reservation)))
}

/// Completes an alternative with the shortages on its workers.
fn alternative(
    tables: &Tables,
    job: key::Job,
    placements: Placements,
    moved: Option<Placements>,
) -> Alternative {
    let member = tables.jobs[job].shape.member();
    let shortages = reclaim::shortages(tables, member, &placements, |worker| {
        reserved_for_others(tables, job, worker)
    });
    Alternative { placements, shortages, moved }
}

/// Returns the resources on a worker that are reserved for other claims.
fn reserved_for_others(tables: &Tables, job: key::Job, worker: key::Worker) -> Resources {
    let row = &tables.jobs[job];
    let claims =
        row.reservation.as_ref().is_some_and(|reservation| reservation.purpose == Purpose::Claim);
    let own = if claims { reserved_on(row, worker) } else { Resources::default() };
    tables.workers[worker].claimed.minus(own)
}
