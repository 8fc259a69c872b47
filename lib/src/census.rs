//! Workers as they announce themselves and go: what the agents really hold wins over the tables.

use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::fleet::Report;
use crate::key;
use crate::ledger;
use crate::name::Name;
use crate::planner::Action;
use crate::planner::Cause;
use crate::probation::Health;
use crate::reclaim;
use crate::room::Room;
use crate::set::Set;
use crate::table::DataCentre;
use crate::table::Rack;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// Time for which a lost worker counts as one that may come back.
const FORGET: Duration = Duration::from_secs(900);

/// Takes in what a worker announces.
pub(crate) fn announce(
    tables: &mut Tables,
    now: Millis,
    report: &Report,
    actions: &mut Vec<Action>,
) {
    let centre = data_centre(tables, &report.data_centre);
    let rack = rack(tables, centre, &report.rack);
    let worker = match tables.worker_names.get(&report.worker).copied() {
        Some(known) if tables.workers[known].rack == rack => known,
        Some(moved) => {
            lose(tables, now, moved, actions);
            forget(tables, moved);
            add(tables, rack, report)
        }
        None => add(tables, rack, report),
    };
    come_back(tables, worker);
    if tables.workers[worker].incarnation != report.incarnation {
        restart(tables, now, worker, report.incarnation, actions);
    }
    resize(tables, now, worker, capacity(report), actions);
    if std::mem::take(&mut tables.workers[worker].silent) {
        tables.version += 1;
    }
    if tables.workers[worker].leaving != report.leaving {
        tables.workers[worker].leaving = report.leaving;
        changed(tables);
    }
    reconcile(tables, worker, report);
}

/// Marks a worker whose agent is silent; what runs there goes on, and nothing new is placed.
pub(crate) fn silence(tables: &mut Tables, worker: &Name) {
    let Some(&key) = tables.worker_names.get(worker) else { return };
    if !std::mem::replace(&mut tables.workers[key].silent, true) {
        tables.version += 1;
    }
}

/// Marks a worker as lost, with all members that ran there.
pub(crate) fn lose(
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
        row.foreign = Set::default();
        row.foreign_room = Room::default();
        changed(tables);
    }
}

/// Forgets the workers that have been lost for long; tells whether there were any.
pub(crate) fn forget_lost(tables: &mut Tables, now: Millis) -> bool {
    let long = |row: &Worker| row.lost.is_some_and(|lost| FORGET <= now.since(lost));
    let gone: Vec<_> =
        tables.workers.iter().filter(|(_, row)| long(row)).map(|(worker, _)| worker).collect();
    for &worker in &gone {
        forget(tables, worker);
    }
    !gone.is_empty()
}

/// Finds a data centre, or adds a closed one.
pub(crate) fn data_centre(tables: &mut Tables, name: &Name) -> key::DataCentre {
    if let Some(&known) = tables.data_centre_names.get(name) {
        return known;
    }
    let fresh = tables.data_centres.insert(DataCentre {
        name: name.clone(),
        open: false,
        returned: None,
        refilled: 0,
        racks: Default::default(),
    });
    tables.data_centre_names.insert(name.clone(), fresh);
    fresh
}

fn rack(tables: &mut Tables, centre: key::DataCentre, name: &Name) -> key::Rack {
    if let Some(&known) = tables.data_centres[centre].racks.get(name) {
        return known;
    }
    let fresh = tables.racks.insert(Rack { data_centre: centre, workers: Vec::new() });
    tables.data_centres[centre].racks.insert(name.clone(), fresh);
    fresh
}

fn capacity(report: &Report) -> Room {
    Room {
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
        capacity: Room::default(),
        taken: Set::default(),
        used: Room::default(),
        foreign: Set::default(),
        foreign_room: Room::default(),
        promised: Room::default(),
        pinned: Room::default(),
        claimed: Room::default(),
        draining: Room::default(),
        jobs: SmallVec::new(),
        leaving: report.leaving,
        silent: false,
        lost: None,
        health: Health::default(),
    });
    tables.racks[rack].workers.push(worker);
    tables.worker_names.insert(report.worker.clone(), worker);
    worker
}

/// Removes a worker that holds nothing any more.
fn forget(tables: &mut Tables, worker: key::Worker) {
    let targeted: Vec<_> = tables
        .jobs
        .iter()
        .filter(|(_, row)| {
            let spots = row.target.iter().flat_map(|target| &target.spots);
            spots.into_iter().any(|spot| spot.worker == worker)
        })
        .map(|(job, _)| job)
        .collect();
    for job in targeted {
        ledger::drop_target(tables, job);
    }
    for row in tables.jobs.values_mut() {
        row.failed_on.retain(|failed| *failed != worker);
    }
    let Some(row) = tables.workers.remove(worker) else { return };
    tables.racks[row.rack].workers.retain(|&other| other != worker);
    if tables.worker_names.get(&row.name) == Some(&worker) {
        tables.worker_names.remove(&row.name);
    }
    changed(tables);
}

fn changed(tables: &mut Tables) {
    tables.replan = true;
    tables.version += 1;
}

fn come_back(tables: &mut Tables, worker: key::Worker) {
    let row = &mut tables.workers[worker];
    if row.lost.take().is_some() {
        tables.fleet = tables.fleet.plus(row.capacity);
        changed(tables);
    }
}

/// Takes in a new process of the agent, which has forgotten what the old one held.
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
    tables.version += 1;
}

fn resize(
    tables: &mut Tables,
    now: Millis,
    worker: key::Worker,
    capacity: Room,
    actions: &mut Vec<Action>,
) {
    let row = &mut tables.workers[worker];
    if row.capacity == capacity {
        return;
    }
    tables.fleet = tables.fleet.minus(row.capacity).plus(capacity);
    row.capacity = capacity;
    changed(tables);
    let there = Set::first(capacity.accelerators);
    for job in tables.workers[worker].jobs.clone() {
        let mut places = tables.jobs[job].places.iter();
        let beyond = places.any(|place| {
            place.worker == worker && Set::of(&place.accelerators).minus(there) != Set::default()
        });
        if beyond {
            lose_member(tables, now, job, worker, actions);
        }
    }
}

/// Counts what the agent holds for attempts that the tables do not have there.
fn reconcile(tables: &mut Tables, worker: key::Worker, report: &Report) {
    let mut foreign = Set::default();
    let mut foreign_room = Room::default();
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
        foreign = foreign.union(held);
        foreign_room = foreign_room.plus(Room {
            accelerators: held.count(),
            processors: task.processors,
            memory_mb: task.memory_mb,
        });
    }
    let row = &mut tables.workers[worker];
    if row.foreign == foreign && row.foreign_room == foreign_room {
        return;
    }
    row.foreign = foreign;
    row.foreign_room = foreign_room;
    tables.version += 1;
}

/// Gives a lost member's place back and stops the rest of its gang.
fn lose_member(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    worker: key::Worker,
    actions: &mut Vec<Action>,
) {
    let name = tables.workers[worker].name.clone();
    let stopping = tables.jobs[job].state == State::Stopping;
    ledger::give_back_on(tables, now, job, worker);
    if !stopping {
        reclaim::stop(tables, now, job, Cause::WorkerLost(name), actions);
    }
}
