//! Finds workers with free capacity for waiting tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_derive::row;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::batch::advice;
use crate::batch::headroom;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::rank::Candidate;
use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Time since a worker's newest list after which it gets no new work.
const SILENCE: Duration = Duration::from_millis(2000);

/// Number of tasks on each worker, in the order in which the workers were chosen.
pub type Placements = SmallVec<[(key::Worker, u32); 8]>;

/// Capacity that placement may use in one tick: the workers that take new work, and what is reserved
/// on them. The resources that runs occupy are in the tables and change with each placement.
#[row]
#[derive(Default)]
pub struct Availability {
    /// Workers that take new work, whatever their service.
    takers: Vec<key::Worker>,
    /// Resources of each worker reserved for waiting steps; other runs may still use them.
    reserved: SecondaryMap<key::Worker, Resources>,
    /// Workers that are left to urgent work, sorted; `None` until a step asks for them.
    left_free: Option<Vec<key::Worker>>,
    /// Whether the step that is placed leaves these workers free.
    is_yielding: bool,
}

impl Availability {
    /// Reads the workers that take new work and the reservations from the tables.
    pub fn of(tables: &Tables, now: Millis) -> Availability {
        let takers = takers(tables, now, false);
        let mut availability = Availability { takers, ..Availability::default() };
        availability.reserve_steps(tables, tables.reservations.keys());
        availability
    }

    /// Returns the same with the workers that are paused after refusals.
    pub(super) fn with_paused(&self, tables: &Tables, now: Millis) -> Availability {
        let mut availability = self.clone();
        availability.takers = takers(tables, now, true);
        availability
    }

    /// Sets whether the next step leaves workers free for more urgent ones.
    pub fn set_yielding(&mut self, tables: &Tables, now: Millis, is_yielding: bool) {
        self.is_yielding = is_yielding;
        if is_yielding && self.left_free.is_none() {
            // The more urgent steps of this tick are placed by now.
            let mut workers = headroom::workers(tables, now);
            workers.sort_unstable();
            self.left_free = Some(workers);
        }
    }

    /// Returns the workers that the next step may use, whatever their service.
    fn open(&self) -> impl Iterator<Item = key::Worker> {
        let left_free = self.left_free.as_deref().filter(|_| self.is_yielding).unwrap_or_default();
        let is_open = |worker: &key::Worker| left_free.binary_search(worker).is_err();
        self.takers.iter().copied().filter(is_open)
    }

    /// Reserves what the tables hold reserved for steps.
    pub fn reserve_steps<'a>(
        &mut self,
        tables: &Tables,
        instances: impl IntoIterator<Item = &'a StepInstance>,
    ) {
        for instance in instances {
            let Some(step) = tables.step(*instance) else { continue };
            let Some(reservation) = tables.reservations.get(instance) else { continue };
            self.reserve(step, &reservation.placements);
        }
    }

    /// Releases what the tables hold reserved for steps.
    pub fn release_steps<'a>(
        &mut self,
        tables: &Tables,
        instances: impl IntoIterator<Item = &'a StepInstance>,
    ) {
        for instance in instances {
            let Some(step) = tables.step(*instance) else { continue };
            let Some(reservation) = tables.reservations.get(instance) else { continue };
            self.cancel_reservation(step, &reservation.placements);
        }
    }

    /// Returns the free resources of a worker that are not reserved.
    pub fn unreserved(&self, tables: &Tables, worker: key::Worker) -> Resources {
        let free = tables.workers.get(worker).map(Worker::free).unwrap_or_default();
        free.minus(self.reserved(worker))
    }

    /// Returns the resources of a worker that are reserved for waiting steps.
    pub fn reserved(&self, worker: key::Worker) -> Resources {
        self.reserved.get(worker).copied().unwrap_or_default()
    }

    /// Tells whether a task of a step fits on any worker that takes new work.
    pub fn has_room(&self, tables: &Tables, step: &Step) -> bool {
        let demand = step.resources();
        self.open().any(|worker| demand.fits(self.unreserved(tables, worker)))
    }

    /// Reserves resources for a waiting step.
    pub fn reserve(&mut self, step: &Step, placements: &[(key::Worker, u32)]) {
        for (worker, count) in placements {
            let reserved = self.reserved.get(*worker).copied().unwrap_or_default();
            self.reserved.insert(*worker, reserved.plus(step.resources().times(*count)));
        }
    }

    /// Releases the resources that were reserved for a step.
    pub fn cancel_reservation(&mut self, step: &Step, placements: &[(key::Worker, u32)]) {
        for (worker, count) in placements {
            if let Some(reserved) = self.reserved.get_mut(*worker) {
                *reserved = reserved.minus(step.resources().times(*count));
            }
        }
    }

    /// Returns how many more tasks of a step fit on a worker, at most `most`.
    pub fn holds(
        &self,
        tables: &Tables,
        instance: StepInstance,
        worker: key::Worker,
        step: &Step,
        most: u32,
    ) -> u32 {
        let is_closed = |row: &Worker| row.quarantine.is_some_and(|job| job != instance.job);
        let is_full = |row: &Worker| row.is_overcommitted();
        if tables.workers.get(worker).is_none_or(|row| is_closed(row) || is_full(row)) {
            return 0;
        }
        let fitting = self.unreserved(tables, worker).count_fitting(step.resources(), most);
        if fitting == 0 || step.max_per_worker == 0 {
            return fitting;
        }
        let placed = tasks_on(tables, instance, worker);
        fitting.min(step.max_per_worker.saturating_sub(placed))
    }
}

/// Returns the workers that take new work, maybe with those that are paused after refusals.
fn takers(tables: &Tables, now: Millis, includes_paused: bool) -> Vec<key::Worker> {
    let is_taker = |(_, worker): &(key::Worker, &Worker)| {
        takes_work(worker, now)
            && worker.quarantine.is_none()
            && (includes_paused || worker.paused_until <= now)
            && !tables.evacuated.contains(&worker.data_centre)
    };
    tables.workers.iter().filter(is_taker).map(|(key, _)| key).collect()
}

/// Returns the number of tasks of a step that have a run on a worker.
pub fn tasks_on(tables: &Tables, instance: StepInstance, worker: key::Worker) -> u32 {
    let Some(row) = tables.workers.get(worker) else { return 0 };
    let is_of_step =
        |key: &&key::Run| tables.runs.get(**key).is_some_and(|run| run.task.instance == instance);
    row.runs.iter().filter(is_of_step).count() as u32
}

/// Tells whether a worker takes new work: it is ready, and it and its agent answer.
pub fn takes_work(worker: &Worker, now: Millis) -> bool {
    worker.ready
        && worker.is_responsive
        && worker.is_reachable
        && worker.last_answer.is_some_and(|last_answer| now.since(last_answer) < SILENCE)
}

/// Tells whether a worker has the label that a step needs, and could hold one of its tasks if it were
/// empty.
pub fn suits(worker: &Worker, step: &Step) -> bool {
    (step.label.is_empty() || worker.labels.contains(&step.label))
        && step.resources().fits(worker.capacity)
}

/// Returns the workers that may run a step, whether or not they have free capacity now.
pub fn eligible(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
) -> Vec<key::Worker> {
    let mut capable = capable(tables, availability, instance, step);
    if advice::is_needed(tables, instance) {
        capable.retain(|key| advice::ticket(tables, now, instance, *key).is_some());
    }
    capable
}

/// Returns the workers that could run a step if the advice service allows it.
pub fn capable(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
) -> Vec<key::Worker> {
    let Some(job) = tables.jobs.get(&instance.job) else { return Vec::new() };
    let serves = |key: &key::Worker| {
        let worker = &tables.workers[*key];
        worker.service == job.queue.service && suits(worker, step)
    };
    availability.open().filter(serves).collect()
}

/// Finds workers of a pool for `count` tasks of a step, all or none.
///
/// Workers with little free capacity are filled first, so that empty ones stay available for large
/// tasks.
pub fn pack(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    pool: &[key::Worker],
    count: u32,
) -> Option<Placements> {
    let mut placements = Placements::new();
    let mut remaining = count;
    let mut rest = spaces(tables, availability, instance, step, pool, count);
    while remaining != 0 {
        let index = best_fit(&rest, remaining)?;
        let (holds, _, key) = rest.swap_remove(index);
        let taken = holds.min(remaining);
        placements.push((key, taken));
        remaining -= taken;
    }
    Some(placements)
}

/// Finds workers of the groups for as many as possible of `count` tasks that run on their own.
///
/// Groups and workers with little free capacity are filled first.
pub fn fill(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    groups: &[Vec<key::Worker>],
    count: u32,
) -> Placements {
    let free = |group: &Vec<key::Worker>| -> u32 {
        group.iter().map(|key| availability.unreserved(tables, *key).accelerators).sum()
    };
    let mut order: SmallVec<[&Vec<key::Worker>; 8]> = groups.iter().collect();
    if 1 < order.len() {
        order.sort_by_cached_key(|group| free(group));
    }
    let mut placements = Placements::new();
    let mut remaining = count;
    for group in order {
        let mut rest = spaces(tables, availability, instance, step, group, remaining);
        rest.sort_unstable_by_key(|(_, free, key)| (free.accelerators, free.processors, *key));
        for (holds, _, key) in rest {
            if remaining == 0 {
                return placements;
            }
            let taken = holds.min(remaining);
            placements.push((key, taken));
            remaining -= taken;
        }
    }
    placements
}

/// Finds workers of the groups for at most `count` tasks that run on their own, one task each; workers
/// that run something already come first.
pub fn spread(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    groups: &[Vec<key::Worker>],
    count: u32,
) -> Placements {
    let mut rest: Vec<(u32, Resources, key::Worker)> = groups
        .iter()
        .flat_map(|group| spaces(tables, availability, instance, step, group, 1))
        .collect();
    rest.sort_unstable_by_key(|(_, free, key)| (free.accelerators, free.processors, *key));
    rest.into_iter().take(count as usize).map(|(_, _, key)| (key, 1)).collect()
}

/// Returns the workers of a pool that hold tasks of a step: the number of tasks, at most `most`, and
/// the free resources.
fn spaces(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    pool: &[key::Worker],
    most: u32,
) -> Vec<(u32, Resources, key::Worker)> {
    let space = |key: &key::Worker| {
        let holds = availability.holds(tables, instance, *key, step, most);
        (holds != 0).then(|| (holds, availability.unreserved(tables, *key), *key))
    };
    pool.iter().filter_map(space).collect()
}

/// Returns the index of the worker with the least free capacity that holds all remaining tasks, or
/// else of the one that holds most tasks.
fn best_fit(rest: &[(u32, Resources, key::Worker)], remaining: u32) -> Option<usize> {
    let whole = rest
        .iter()
        .enumerate()
        .filter(|(_, (holds, _, _))| remaining <= *holds)
        .min_by_key(|(_, (_, free, key))| (free.accelerators, free.processors, *key));
    let most = || {
        rest.iter().enumerate().max_by_key(|(_, (holds, free, key))| {
            (*holds, std::cmp::Reverse(free.accelerators), *key)
        })
    };
    whole.or_else(most).map(|(index, _)| index)
}

/// Returns the groups of workers within each of which a step runs at full speed.
///
/// The second value tells whether the step runs slower anywhere else.
pub fn full_speed_groups(
    tables: &Tables,
    pool: &[key::Worker],
    step: &Step,
) -> (Vec<Vec<key::Worker>>, bool) {
    if !step.data_rack.is_empty() {
        let at_home = |key: &key::Worker| tables.workers[*key].rack == step.data_rack;
        return (vec![pool.iter().copied().filter(at_home).collect()], true);
    }
    if step.same_rack && 1 < step.tasks {
        let mut racks: BTreeMap<&str, Vec<key::Worker>> = BTreeMap::new();
        for key in pool {
            racks.entry(&tables.workers[*key].rack).or_default().push(*key);
        }
        return (racks.into_values().collect(), true);
    }
    (vec![pool.to_vec()], false)
}

/// Finds workers for a whole gang within one of the groups; the group with the fewest free
/// accelerators is chosen.
pub fn pack_gang(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    groups: &[Vec<key::Worker>],
) -> Option<Placements> {
    groups
        .iter()
        .filter_map(|group| {
            let placements = pack(tables, availability, instance, step, group, step.tasks)?;
            let free: u32 =
                group.iter().map(|key| availability.unreserved(tables, *key).accelerators).sum();
            Some((free, placements))
        })
        .min_by_key(|(free, _)| *free)
        .map(|(_, placements)| placements)
}

/// Returns the workers of a pool that are not avoided because of failures.
pub fn healthy(tables: &Tables, now: Millis, pool: &[key::Worker]) -> Vec<key::Worker> {
    pool.iter().copied().filter(|key| !tables.workers[*key].health.is_avoided(now)).collect()
}

/// Tells whether a group of workers could hold all tasks of a gang if no tasks ran there.
pub fn fits_when_empty(tables: &Tables, step: &Step, group: &[key::Worker]) -> bool {
    let most = if step.max_per_worker == 0 { step.tasks } else { step.max_per_worker };
    let holds: u32 = group
        .iter()
        .map(|key| tables.workers[*key].capacity.count_fitting(step.resources(), most))
        .sum();
    step.tasks <= holds
}

/// Returns the workers on which a run of a candidate's tasks failed before.
pub fn failed_on(tables: &Tables, candidate: &Candidate) -> SmallVec<[key::Worker; 4]> {
    let StepInstance { job, occurrence, step } = candidate.instance;
    let task_states = tables
        .jobs
        .get(&job)
        .and_then(|job| job.occurrences.get(&occurrence)?.steps.get(usize::from(step)));
    let Some(task_states) = task_states else { return SmallVec::new() };
    let mut workers = SmallVec::new();
    for task_state in candidate.waiting.iter().filter_map(|index| task_states.get(*index as usize))
    {
        for key in &task_state.avoid {
            if !workers.contains(key) {
                workers.push(*key);
            }
        }
    }
    workers
}

/// Tells whether a run in this phase frees its resources soon.
pub fn is_ending(phase: Phase) -> bool {
    matches!(phase, Phase::Stopping(_))
}
