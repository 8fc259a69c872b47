//! Registration of workers: adds, updates and removes them as their agents announce themselves.
//!
//! What an agent reports to hold takes precedence over the tables.

use std::time::Duration;

use smallvec::SmallVec;

use crate::allocation;
use crate::clock::Millis;
use crate::fleet::Report;
use crate::key;
use crate::name::Name;
use crate::planner::Action;
use crate::planner::Cause;
use crate::probation::Health;
use crate::reclaim;
use crate::resource::Resources;
use crate::set::Set;
use crate::table::DataCentre;
use crate::table::Rack;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// Time after which a lost worker is removed from the tables.
const REMOVE_AFTER: Duration = Duration::from_secs(900);

/// Applies the announcement of a worker to the tables.
pub(crate) fn apply_report(
    tables: &mut Tables,
    now: Millis,
    report: &Report,
    actions: &mut Vec<Action>,
) {
    let data_centre = find_or_add_data_centre(tables, &report.data_centre);
    let rack = find_or_add_rack(tables, data_centre, &report.rack);
    let worker = match tables.worker_names.get(&report.worker).copied() {
        Some(known) if tables.workers[known].rack == rack => known,
        Some(moved) => {
            mark_lost(tables, now, moved, actions);
            remove(tables, moved);
            add(tables, rack, report)
        }
        None => add(tables, rack, report),
    };
    mark_present(tables, worker);
    if tables.workers[worker].incarnation != report.incarnation {
        restart(tables, now, worker, report.incarnation, actions);
    }
    resize(tables, now, worker, reported_capacity(report), actions);
    if std::mem::take(&mut tables.workers[worker].is_silent) {
        tables.capacity_version += 1;
    }
    if tables.workers[worker].is_leaving != report.leaving {
        tables.workers[worker].is_leaving = report.leaving;
        request_replan(tables);
    }
    record_foreign_tasks(tables, worker, report);
}

/// Marks a worker whose agent is silent; its members keep running, and no new ones are placed
/// there.
pub(crate) fn mark_silent(tables: &mut Tables, worker: &Name) {
    let Some(&key) = tables.worker_names.get(worker) else { return };
    if !std::mem::replace(&mut tables.workers[key].is_silent, true) {
        tables.capacity_version += 1;
    }
}

/// Marks a worker as lost, along with all members that ran there.
pub(crate) fn mark_lost(
    tables: &mut Tables,
    now: Millis,
    worker: key::Worker,
    actions: &mut Vec<Action>,
) {
    for job in tables.workers[worker].jobs.clone() {
        lose_member(tables, now, job, worker, actions);
    }
    let row = &mut tables.workers[worker];
    if row.lost.replace(now).is_none() {
        tables.fleet = tables.fleet.minus(row.capacity);
        row.foreign_accelerators = Set::default();
        row.foreign_resources = Resources::default();
        request_replan(tables);
    }
}

/// Removes the workers that have been lost for `REMOVE_AFTER`; tells whether there were any.
pub(crate) fn remove_lost(tables: &mut Tables, now: Millis) -> bool {
    let is_long_lost = |row: &Worker| row.lost.is_some_and(|lost| REMOVE_AFTER <= now.since(lost));
    let removed: Vec<_> = tables
        .workers
        .iter()
        .filter(|(_, row)| is_long_lost(row))
        .map(|(worker, _)| worker)
        .collect();
    for &worker in &removed {
        remove(tables, worker);
    }
    !removed.is_empty()
}

/// Returns the key of a data centre, and adds it as closed if it is not known.
pub(crate) fn find_or_add_data_centre(tables: &mut Tables, name: &Name) -> key::DataCentre {
    if let Some(&known) = tables.data_centre_names.get(name) {
        return known;
    }
    let fresh = tables.data_centres.insert(DataCentre {
        name: name.clone(),
        is_open: false,
        reopened: None,
        refilled: 0,
        racks: Default::default(),
    });
    tables.data_centre_names.insert(name.clone(), fresh);
    fresh
}

fn find_or_add_rack(tables: &mut Tables, data_centre: key::DataCentre, name: &Name) -> key::Rack {
    if let Some(&known) = tables.data_centres[data_centre].racks.get(name) {
        return known;
    }
    let fresh = tables.racks.insert(Rack { data_centre, workers: Vec::new() });
    tables.data_centres[data_centre].racks.insert(name.clone(), fresh);
    fresh
}

fn reported_capacity(report: &Report) -> Resources {
    Resources {
        accelerators: u32::from(report.accelerators),
        processors: report.processors,
        memory_mb: report.memory_mb,
    }
}

fn add(tables: &mut Tables, rack: key::Rack, report: &Report) -> key::Worker {
    let worker = tables.workers.insert(Worker {
        name: report.worker.clone(),
        incarnation: report.incarnation,
        rack,
        capacity: Resources::default(),
        taken: Set::default(),
        used: Resources::default(),
        foreign_accelerators: Set::default(),
        foreign_resources: Resources::default(),
        promised: Resources::default(),
        pinned: Resources::default(),
        claimed: Resources::default(),
        draining: Resources::default(),
        jobs: SmallVec::new(),
        is_leaving: report.leaving,
        is_silent: false,
        lost: None,
        health: Health::default(),
    });
    tables.racks[rack].workers.push(worker);
    tables.worker_names.insert(report.worker.clone(), worker);
    worker
}

/// Removes a worker that holds no members, and drops the reservations that include it.
fn remove(tables: &mut Tables, worker: key::Worker) {
    let reserving: Vec<_> = tables
        .jobs
        .iter()
        .filter(|(_, row)| {
            let placements = row.reservation.iter().flat_map(|reservation| &reservation.placements);
            placements.into_iter().any(|placement| placement.worker == worker)
        })
        .map(|(job, _)| job)
        .collect();
    for job in reserving {
        allocation::cancel_reservation(tables, job);
    }
    for row in tables.jobs.values_mut() {
        row.failed_on.retain(|failed| *failed != worker);
    }
    let Some(row) = tables.workers.remove(worker) else { return };
    tables.racks[row.rack].workers.retain(|&other| other != worker);
    if tables.worker_names.get(&row.name) == Some(&worker) {
        tables.worker_names.remove(&row.name);
    }
    request_replan(tables);
}

fn request_replan(tables: &mut Tables) {
    tables.needs_replan = true;
    tables.capacity_version += 1;
}

fn mark_present(tables: &mut Tables, worker: key::Worker) {
    let row = &mut tables.workers[worker];
    if row.lost.take().is_some() {
        tables.fleet = tables.fleet.plus(row.capacity);
        request_replan(tables);
    }
}

/// Handles a restart of the agent: the new process has no record of the members of the old one.
fn restart(
    tables: &mut Tables,
    now: Millis,
    worker: key::Worker,
    incarnation: u64,
    actions: &mut Vec<Action>,
) {
    for job in tables.workers[worker].jobs.clone() {
        if tables.jobs[job].state != State::Starting {
            lose_member(tables, now, job, worker, actions);
        }
    }
    tables.workers[worker].incarnation = incarnation;
    tables.capacity_version += 1;
}

fn resize(
    tables: &mut Tables,
    now: Millis,
    worker: key::Worker,
    capacity: Resources,
    actions: &mut Vec<Action>,
) {
    let row = &mut tables.workers[worker];
    if row.capacity == capacity {
        return;
    }
    tables.fleet = tables.fleet.minus(row.capacity).plus(capacity);
    row.capacity = capacity;
    request_replan(tables);
    let existing = Set::first(capacity.accelerators);
    for job in tables.workers[worker].jobs.clone() {
        let mut assignments = tables.jobs[job].assignments.iter();
        let is_beyond_capacity = assignments.any(|assignment| {
            assignment.worker == worker
                && Set::of(&assignment.accelerators).minus(existing) != Set::default()
        });
        if is_beyond_capacity {
            lose_member(tables, now, job, worker, actions);
        }
    }
}

/// Records what the agent holds for attempts that the tables do not place on this worker.
fn record_foreign_tasks(tables: &mut Tables, worker: key::Worker, report: &Report) {
    let mut foreign_accelerators = Set::default();
    let mut foreign_resources = Resources::default();
    for task in &report.tasks {
        let known = tables.job_names.get(&task.job).is_some_and(|&job| {
            let row = &tables.jobs[job];
            let here = tables.workers[worker].jobs.contains(&job);
            here && row.attempt == task.attempt
        });
        if known {
            continue;
        }
        let held = Set::of(&task.accelerators);
        foreign_accelerators = foreign_accelerators.union(held);
        foreign_resources = foreign_resources.plus(Resources {
            accelerators: held.count(),
            processors: task.processors,
            memory_mb: task.memory_mb,
        });
    }
    let row = &mut tables.workers[worker];
    if row.foreign_accelerators == foreign_accelerators
        && row.foreign_resources == foreign_resources
    {
        return;
    }
    row.foreign_accelerators = foreign_accelerators;
    row.foreign_resources = foreign_resources;
    tables.capacity_version += 1;
}

/// Releases the members of a job that were lost with a worker, and stops the rest of its gang.
fn lose_member(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    worker: key::Worker,
    actions: &mut Vec<Action>,
) {
    let name = tables.workers[worker].name.clone();
    let stopping = tables.jobs[job].state == State::Stopping;
    allocation::release_on_worker(tables, now, job, worker);
    if !stopping {
        reclaim::stop(tables, now, job, Cause::WorkerLost(name), actions);
    }
}
