//! The guarantee plan: a reservation of workers for every guarantee, which shows that all
//! guarantees can be met at the same time.
//!
//! A guarantee's reservation places the members of its shape on workers. On no worker do the
//! reservations and the jobs that cannot be evicted exceed the capacity together, so any
//! other job on reserved capacity can be evicted when the owner claims the guarantee. The
//! owner's claims run inside the reservation, and it does not move while one runs.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::allocation;
use crate::guarantee;
use crate::key;
use crate::name::Name;
use crate::pack::Demand;
use crate::pack::Packing;
use crate::planner::Action;
use crate::resource::Resources;
use crate::search;
use crate::site::Sites;
use crate::table::Guarantee;
use crate::table::Placement;
use crate::table::Placements;
use crate::table::Tables;

/// Most unmet guarantees that are tried one at a time after packing them all together has failed.
const SINGLE_TRIES: usize = 4;

/// Releases a guarantee's reservation; claims that run in it become borrowers, or pinned if they
/// cannot be evicted.
pub(crate) fn release(tables: &mut Tables, guarantee: key::Guarantee) {
    for job in tables.guarantees[guarantee].claims.clone() {
        allocation::demote(tables, job);
    }
    let row = &mut tables.guarantees[guarantee];
    let member = row.shape.member();
    for placement in std::mem::take(&mut row.reserved) {
        let Some(worker) = tables.workers.get_mut(placement.worker) else { continue };
        worker.promised = worker.promised.minus(member.times(placement.members));
    }
}

/// Reserves capacity for a guarantee that has no reservation.
pub(crate) fn reserve(tables: &mut Tables, guarantee: key::Guarantee, reservation: Placements) {
    let row = &mut tables.guarantees[guarantee];
    let member = row.shape.member();
    for placement in &reservation {
        let worker = &mut tables.workers[placement.worker];
        worker.promised = worker.promised.plus(member.times(placement.members));
    }
    row.reserved = reservation;
}

/// Restores the plan after the fleet or the guarantees have changed.
///
/// Does nothing unless `tables.needs_replan` is set. Reports guarantees that became met or unmet.
pub(crate) fn repair(tables: &mut Tables, actions: &mut Vec<Action>) {
    if !std::mem::take(&mut tables.needs_replan) {
        return;
    }
    release_unusable(tables);
    release_overcommitted(tables);
    let missing = missing(tables);
    if !missing.is_empty() {
        reserve_missing(tables, &missing);
    }
    report_changes(tables, actions);
    tables.capacity_version += 1;
}

/// Returns the guarantees that have no reservation.
fn missing(tables: &Tables) -> Vec<key::Guarantee> {
    let rows = tables.guarantees.iter();
    rows.filter(|(_, row)| row.reserved.is_empty()).map(|(guarantee, _)| guarantee).collect()
}

/// Releases reservations that include a worker which is not usable any more.
fn release_unusable(tables: &mut Tables) {
    let unusable: Vec<_> = tables
        .guarantees
        .iter()
        .filter(|(_, row)| {
            row.reserved
                .iter()
                .any(|placement| !is_reservable(tables, &row.data_centres, placement))
        })
        .map(|(guarantee, _)| guarantee)
        .collect();
    for guarantee in unusable {
        release(tables, guarantee);
    }
}

/// Tells whether a reservation may stay on a worker: it is usable and in an allowed data centre.
fn is_reservable(tables: &Tables, allowed: &[Name], placement: &Placement) -> bool {
    let Some(worker) = tables.workers.get(placement.worker) else { return false };
    let data_centre = &tables.data_centres[tables.racks[worker.rack].data_centre];
    search::is_usable(tables, worker) && (allowed.is_empty() || allowed.contains(&data_centre.name))
}

/// Releases reservations on workers whose capacity is exceeded, those with the fewest claims first.
fn release_overcommitted(tables: &mut Tables) {
    let is_overcommitted = |tables: &Tables, worker: key::Worker| {
        let row = &tables.workers[worker];
        !row.promised.plus(row.pinned).fits(row.capacity)
    };
    let workers: Vec<_> =
        tables.workers.keys().filter(|&worker| is_overcommitted(tables, worker)).collect();
    for worker in workers {
        let mut affected: Vec<_> = tables
            .guarantees
            .iter()
            .filter(|(_, row)| row.reserved.iter().any(|placement| placement.worker == worker))
            .map(|(guarantee, row)| (row.claims.len(), guarantee))
            .collect();
        affected.sort_unstable();
        for (_, guarantee) in affected {
            if is_overcommitted(tables, worker) {
                release(tables, guarantee);
            }
        }
    }
}

/// Finds reservations for guarantees that have none; moves those of others only if necessary.
fn reserve_missing(tables: &mut Tables, missing: &[key::Guarantee]) {
    let sites = Sites::usable(tables, |worker| tables.workers[worker].unpromised());
    let mut packing = Packing::new(sites.list.clone());
    for &guarantee in missing {
        packing.add(sites.guarantee_demand(tables, guarantee));
    }
    let placed = packing.placed().to_vec();
    let mut unreserved = Vec::new();
    for (&guarantee, loads) in missing.iter().zip(&placed) {
        match loads {
            Some(loads) => reserve(tables, guarantee, sites.placements(loads)),
            None => unreserved.push(guarantee),
        }
    }
    if unreserved.is_empty() || move_reservations(tables, &unreserved) || unreserved.len() == 1 {
        return;
    }
    for guarantee in unreserved.into_iter().take(SINGLE_TRIES) {
        move_reservations(tables, &[guarantee]);
    }
}

/// Repacks all reservations in which no claim runs, together with the missing ones.
fn move_reservations(tables: &mut Tables, missing: &[key::Guarantee]) -> bool {
    let mut all: Vec<key::Guarantee> = missing.to_vec();
    all.extend(movable(tables, |_| true));
    repack(tables, &all, |_| Resources::default())
}

/// Moves reservations in which no claim runs off the capacity that a job needs on `placements`.
///
/// Repacks only the reservations on those workers first; if they do not fit elsewhere, repacks
/// all. Returns whether the capacity was cleared; the plan is unchanged if it was not.
pub(crate) fn clear_reservations(
    tables: &mut Tables,
    member: Resources,
    placements: &[Placement],
) -> bool {
    let spared = |worker: key::Worker| {
        let here = placements.iter().filter(|placement| placement.worker == worker);
        here.fold(Resources::default(), |sum, placement| sum.plus(member.times(placement.members)))
    };
    let is_affected =
        |placement: &Placement| placements.iter().any(|other| other.worker == placement.worker);
    let nearby = movable(tables, |row| row.reserved.iter().any(is_affected));
    if repack(tables, &nearby, spared) {
        return true;
    }
    let all = movable(tables, |_| true);
    repack(tables, &all, spared)
}

/// Returns the wanted guarantees that have a reservation in which no claim runs.
fn movable(tables: &Tables, wanted: impl Fn(&Guarantee) -> bool) -> Vec<key::Guarantee> {
    let idle = |row: &Guarantee| row.claims.is_empty() && !row.reserved.is_empty() && wanted(row);
    tables.guarantees.iter().filter(|(_, row)| idle(row)).map(|(key, _)| key).collect()
}

/// Returns the resources of a worker that are taken by jobs that cannot be evicted and by
/// reservations that cannot move because a claim runs in them.
pub(crate) fn immovable(tables: &Tables, worker: key::Worker) -> Resources {
    let row = &tables.workers[worker];
    let claimed = tables.guarantees.values().filter(|guarantee| !guarantee.claims.is_empty());
    claimed.fold(row.pinned, |sum, guarantee| sum.plus(reserved_on(guarantee, worker)))
}

/// Returns the resources that a guarantee has reserved on a worker.
fn reserved_on(row: &Guarantee, worker: key::Worker) -> Resources {
    let placements = row.reserved.iter().filter(|placement| placement.worker == worker);
    placements.fold(Resources::default(), |sum, placement| {
        sum.plus(row.shape.member().times(placement.members))
    })
}

/// Repacks the reservations of some guarantees and leaves all others where they are.
///
/// `spared` returns the resources of a worker that no reservation may use. Returns `false` and
/// changes nothing if the reservations do not fit.
fn repack(
    tables: &mut Tables,
    guarantees: &[key::Guarantee],
    spared: impl Fn(key::Worker) -> Resources,
) -> bool {
    let mut released: HashMap<key::Worker, Resources> = HashMap::new();
    for &guarantee in guarantees {
        let row = &tables.guarantees[guarantee];
        for placement in &row.reserved {
            let reserved = released.entry(placement.worker).or_default();
            *reserved = reserved.plus(row.shape.member().times(placement.members));
        }
    }
    let sites = Sites::usable(tables, |worker| {
        let row = &tables.workers[worker];
        let moved = released.get(&worker).copied().unwrap_or_default();
        let taken = row.promised.minus(moved).plus(row.pinned).plus(spared(worker));
        row.capacity.minus(taken)
    });
    let demands =
        guarantees.iter().map(|&guarantee| sites.guarantee_demand(tables, guarantee)).collect();
    let Some(placed) = Packing::new(sites.list.clone()).pack(demands) else { return false };
    for &guarantee in guarantees {
        release(tables, guarantee);
    }
    for (&guarantee, loads) in guarantees.iter().zip(&placed) {
        reserve(tables, guarantee, sites.placements(loads));
    }
    true
}

/// Reports guarantees that have become unmet, or met again.
fn report_changes(tables: &mut Tables, actions: &mut Vec<Action>) {
    let changed: Vec<_> = tables
        .guarantees
        .iter()
        .filter(|(_, row)| row.reserved.is_empty() != row.unmet.is_some())
        .map(|(guarantee, _)| guarantee)
        .collect();
    if changed.is_empty() {
        return;
    }
    let sites = Sites::usable(tables, |worker| tables.workers[worker].capacity);
    for guarantee in changed {
        let unmet = tables.guarantees[guarantee].reserved.is_empty();
        let reason = unmet.then(|| unmet_reason(tables, &sites, guarantee));
        let row = &mut tables.guarantees[guarantee];
        let (account, name) = (tables.accounts[row.account].name.clone(), row.name.clone());
        row.unmet = reason.clone();
        actions.push(match reason {
            Some(reason) => Action::Unmet { account, guarantee: name, reason },
            None => Action::Met { account, guarantee: name },
        });
    }
}

/// Returns why a guarantee cannot be met, with the closed data centres and the number of lost
/// workers.
fn unmet_reason(tables: &Tables, sites: &Sites, guarantee: key::Guarantee) -> String {
    let demand = sites.guarantee_demand(tables, guarantee);
    let rows = tables.guarantees.iter();
    let others: Vec<Demand> = rows
        .filter(|&(other, row)| other != guarantee && !row.reserved.is_empty())
        .map(|(other, _)| sites.guarantee_demand(tables, other))
        .collect();
    let cause = match guarantee::check_alone(&sites.list, &demand) {
        Err(reason) => reason,
        Ok(()) => guarantee::explain_conflict(&sites.list, &others, &demand),
    };
    let allowed = &tables.guarantees[guarantee].data_centres;
    let closed: BTreeSet<&str> = tables
        .data_centres
        .values()
        .filter(|data_centre| {
            !data_centre.is_open && (allowed.is_empty() || allowed.contains(&data_centre.name))
        })
        .map(|data_centre| data_centre.name.as_str())
        .collect();
    let lost = tables.workers.values().filter(|row| row.lost.is_some()).count();
    let mut text = cause.to_string();
    if !closed.is_empty() {
        let closed: Vec<&str> = closed.into_iter().collect();
        text.push_str(&format!("; data centres out: {}", closed.join(", ")));
    }
    if 0 < lost {
        text.push_str(&format!("; workers lost: {lost}"));
    }
    text
}
