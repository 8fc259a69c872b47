//! Allocation and release of resources.
//!
//! This is the only module that changes which resources workers and accounts have in use. It
//! keeps the sums in the tables of workers, accounts and guarantees consistent with the jobs.

use crate::clock::Millis;
use crate::fair;
use crate::key;
use crate::resource::Resources;
use crate::set::Set;
use crate::shape;
use crate::table;
use crate::table::Placement;
use crate::table::Purpose;
use crate::table::Reservation;
use crate::table::State;
use crate::table::Tables;

/// Allocates resources to a job that has none.
pub(crate) fn allocate(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    assignments: table::Assignments,
) {
    let row = &tables.jobs[job];
    let (account, member, claim) = (row.account, row.shape.member(), row.claim);
    for assignment in &assignments {
        let worker = &mut tables.workers[assignment.worker];
        worker.taken = worker.taken.union(Set::of(&assignment.accelerators));
        worker.used = worker.used.plus(member);
        if !worker.jobs.contains(&job) {
            worker.jobs.push(job);
        }
    }
    update_held(tables, now, account, member.times(assignments.len() as u32), Resources::default());
    tables.jobs[job].assignments = assignments;
    pin(tables, job);
    if let Some(claim) = claim {
        tables.guarantees[claim].claims.push(job);
    }
}

/// Releases all resources of a job.
pub(crate) fn release(tables: &mut Tables, now: Millis, job: key::Job) {
    leave_reservation(tables, job);
    unpin(tables, job);
    let assignments = std::mem::take(&mut tables.jobs[job].assignments);
    for assignment in &assignments {
        release_member(tables, job, assignment.worker, Set::of(&assignment.accelerators));
    }
    settle_release(tables, now, job, assignments.len());
}

/// Releases the resources of a job on one worker; returns whether it has some on other workers.
pub(crate) fn release_on_worker(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    worker: key::Worker,
) -> bool {
    leave_reservation(tables, job);
    unpin(tables, job);
    let mut assignments = std::mem::take(&mut tables.jobs[job].assignments);
    let count_before = assignments.len();
    for assignment in assignments.iter().filter(|assignment| assignment.worker == worker) {
        release_member(tables, job, worker, Set::of(&assignment.accelerators));
    }
    assignments.retain(|assignment| assignment.worker != worker);
    settle_release(tables, now, job, count_before - assignments.len());
    let has_others = !assignments.is_empty();
    tables.jobs[job].assignments = assignments;
    pin(tables, job);
    has_others
}

/// Releases one member's resources on a worker.
fn release_member(tables: &mut Tables, job: key::Job, worker: key::Worker, accelerators: Set) {
    let member = tables.jobs[job].shape.member();
    let Some(row) = tables.workers.get_mut(worker) else { return };
    row.taken = row.taken.minus(accelerators);
    row.used = row.used.minus(member);
    row.jobs.retain(|other| *other != job);
    row.health.end_trial(job);
}

/// Subtracts a number of released members from what the job's account holds.
fn settle_release(tables: &mut Tables, now: Millis, job: key::Job, members: usize) {
    let row = &tables.jobs[job];
    let (account, released) = (row.account, row.shape.member().times(members as u32));
    update_held(tables, now, account, Resources::default(), released);
    tables.capacity_version += 1;
}

/// Adds the account's usage up to now, then changes what the account holds.
fn update_held(
    tables: &mut Tables,
    now: Millis,
    account: key::Account,
    added: Resources,
    removed: Resources,
) {
    let fleet = tables.fleet;
    let row = &mut tables.accounts[account];
    row.usage.settle(now, fair::dominant(row.held_resources, fleet));
    row.held_resources = row.held_resources.plus(added).minus(removed);
    row.held = row.held_resources.accelerators;
}

/// Tells whether the guarantee plan must keep off a placed job's resources.
///
/// That is so for a job that cannot be evicted and runs in no reservation.
fn is_pinned(tables: &Tables, job: key::Job) -> bool {
    let row = &tables.jobs[job];
    row.claim.is_none() && !row.is_evictable()
}

/// Adds a job's resources to the pinned ones of its workers, if it counts as pinned.
fn pin(tables: &mut Tables, job: key::Job) {
    if !is_pinned(tables, job) {
        return;
    }
    let member = tables.jobs[job].shape.member();
    for assignment in &tables.jobs[job].assignments {
        let Some(worker) = tables.workers.get_mut(assignment.worker) else { continue };
        worker.pinned = worker.pinned.plus(member);
    }
}

/// Undoes `pin`; unmet guarantees are planned again, since they may fit now.
fn unpin(tables: &mut Tables, job: key::Job) {
    if !is_pinned(tables, job) {
        return;
    }
    let member = tables.jobs[job].shape.member();
    for assignment in &tables.jobs[job].assignments {
        let Some(worker) = tables.workers.get_mut(assignment.worker) else { continue };
        worker.pinned = worker.pinned.minus(member);
    }
    tables.needs_replan |= tables.guarantees.values().any(|guarantee| guarantee.unmet.is_some());
}

/// Turns a claim that runs in a guarantee's reservation into a borrower, or into a pinned job if it
/// cannot be evicted.
pub(crate) fn demote(tables: &mut Tables, job: key::Job) {
    leave_reservation(tables, job);
}

/// Takes a job out of the reservation that it runs in, if any.
///
/// A job that cannot be evicted becomes pinned by this.
fn leave_reservation(tables: &mut Tables, job: key::Job) {
    let Some(claim) = tables.jobs[job].claim.take() else { return };
    if let Some(guarantee) = tables.guarantees.get_mut(claim) {
        guarantee.claims.retain(|other| *other != job);
    }
    pin(tables, job);
    tables.needs_replan |= is_pinned(tables, job);
}

/// Reserves capacity for a waiting job and replaces its earlier reservation.
pub(crate) fn reserve(tables: &mut Tables, job: key::Job, reservation: Reservation) {
    cancel_reservation(tables, job);
    let member = tables.jobs[job].shape.member();
    for &Placement { worker, members } in &reservation.placements {
        let row = &mut tables.workers[worker];
        let reserved = reserved_mut(row, reservation.purpose);
        *reserved = reserved.plus(member.times(members));
    }
    if reservation.purpose == Purpose::Claim
        && let Some(guarantee) = claimed_guarantee(tables, job)
    {
        tables.guarantees[guarantee].waiting_claims.push(job);
    }
    tables.jobs[job].reservation = Some(reservation);
}

/// Returns the guarantee that a job claims, if its account has it.
pub(crate) fn claimed_guarantee(tables: &Tables, job: key::Job) -> Option<key::Guarantee> {
    let row = &tables.jobs[job];
    tables.accounts[row.account].guarantees.get(row.guarantee.as_ref()?).copied()
}

/// Cancels a waiting job's reservation.
pub(crate) fn cancel_reservation(tables: &mut Tables, job: key::Job) {
    let Some(reservation) = tables.jobs[job].reservation.take() else { return };
    if let Some(guarantee) = claimed_guarantee(tables, job) {
        tables.guarantees[guarantee].waiting_claims.retain(|other| *other != job);
    }
    let member = tables.jobs[job].shape.member();
    for &Placement { worker, members } in &reservation.placements {
        let Some(row) = tables.workers.get_mut(worker) else { continue };
        let reserved = reserved_mut(row, reservation.purpose);
        *reserved = reserved.minus(member.times(members));
    }
    tables.capacity_version += 1;
}

/// Returns the sum of a worker's resources that are reserved for a purpose.
fn reserved_mut(worker: &mut crate::table::Worker, purpose: Purpose) -> &mut Resources {
    match purpose {
        Purpose::Claim => &mut worker.claimed,
        Purpose::Drain => &mut worker.draining,
    }
}

/// Places a job's members: chooses accelerators, allocates them and begins a new attempt.
pub(crate) fn place(tables: &mut Tables, now: Millis, job: key::Job, placements: &[Placement]) {
    cancel_reservation(tables, job);
    let accelerators = tables.jobs[job].shape.accelerators;
    let mut assignments = table::Assignments::new();
    for placement in placements {
        let worker = &tables.workers[placement.worker];
        let mut free = worker.free_accelerators();
        for _ in 0..placement.members {
            let chosen = free.choose(accelerators);
            free = free.minus(Set::of(&chosen));
            assignments.push(crate::table::Assignment {
                worker: placement.worker,
                incarnation: worker.incarnation,
                accelerators: chosen,
            });
        }
    }
    let row = &mut tables.jobs[job];
    row.attempt += 1;
    row.state = State::Starting;
    row.started = now;
    allocate(tables, now, job, assignments);
}

/// Returns a job's assignments with the workers' names instead of keys.
pub(crate) fn named_assignments(tables: &Tables, job: key::Job) -> shape::Assignments {
    tables.jobs[job]
        .assignments
        .iter()
        .map(|assignment| shape::Assignment {
            worker: tables.workers[assignment.worker].name.clone(),
            accelerators: assignment.accelerators.clone(),
        })
        .collect()
}
