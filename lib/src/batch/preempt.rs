//! Finds the runs that can be preempted at the lowest cost to free capacity for a step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::place::Placements;
use crate::batch::reservation;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Number of cores that one accelerator counts as when lost work is computed.
const ACCELERATOR_CORES: u64 = 8;
/// Work lost when a run that saves checkpoints is stopped, in milliseconds.
const CHECKPOINTED_LOSS_MS: u64 = 500;

/// Runs to preempt, and the placements that this makes possible.
#[row]
pub struct Plan {
    /// Placements of the waiting tasks.
    pub placements: Placements,
    /// Tasks whose runs would be preempted.
    pub victims: BTreeSet<Task>,
    /// Total cost, by the `price` given to [`cheapest`].
    pub cost: u64,
}

/// Returns the number of cores that a task of a step counts as.
pub(super) fn cores(step: &Step) -> u64 {
    let cores =
        u64::from(step.processors) / 1000 + ACCELERATOR_CORES * u64::from(step.accelerators);
    cores.max(1)
}

/// Returns the work that is lost when a run is stopped, in core-milliseconds.
pub fn lost_work(step: &Step, run: &Run, now: Millis) -> u64 {
    let elapsed = now.since(run.since).as_millis() as u64;
    let lost = if step.checkpoints { elapsed.min(CHECKPOINTED_LOSS_MS) } else { elapsed };
    cores(step) * lost
}

/// Finds the cheapest way to place `count` tasks of a step in one of the groups of workers.
///
/// `price` returns the cost of preempting a run, or `None` for a run that must not be preempted.
/// Runs that are stopping already cost nothing.
pub fn cheapest(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    count: u32,
    groups: &[Vec<key::Worker>],
    price: impl Fn(&Step, &Run) -> Option<u64>,
) -> Option<Plan> {
    let step = tables.step(instance)?;
    let mut search = Search {
        tables,
        availability,
        instance,
        step,
        price: &price,
        gangs: BTreeMap::new(),
        freed: SecondaryMap::new(),
        used: BTreeSet::new(),
    };
    groups
        .iter()
        .filter_map(|group| search.plan_in_group(count, group))
        .min_by_key(|plan| plan.cost)
}

/// Runs that can only be preempted together: those of a gang, or one alone.
#[token]
enum Unit {
    Run(key::Run),
    Gang(StepInstance),
}

/// What it takes to place one more task on a worker.
#[row]
struct Offer {
    worker: key::Worker,
    units: SmallVec<[Unit; 8]>,
    cost: u64,
    /// Free accelerators of the worker before anything is preempted.
    accelerators: u32,
}

/// Members of a gang and the cost of preempting them all; `None` if they must not be preempted.
type Gang = Option<(SmallVec<[key::Run; 8]>, u64)>;

/// Search for a plan over the tables, which it leaves unchanged.
struct Search<'a, P> {
    tables: &'a Tables,
    availability: &'a Availability,
    instance: StepInstance,
    step: &'a Step,
    price: &'a P,
    /// Gangs that were examined.
    gangs: BTreeMap<StepInstance, Gang>,
    /// Resources that the plan so far frees on each worker, less those that it uses.
    freed: SecondaryMap<key::Worker, Change>,
    /// Units that the plan so far preempts.
    used: BTreeSet<Unit>,
}

/// Change of a worker's resources by a plan.
#[token]
#[derive(Default)]
struct Change {
    freed: Resources,
    taken: Resources,
    tasks: u32,
}

impl<P: Fn(&Step, &Run) -> Option<u64>> Search<'_, P> {
    /// Places the tasks one by one, each on the worker where that is cheapest.
    fn plan_in_group(&mut self, count: u32, group: &[key::Worker]) -> Option<Plan> {
        self.freed.clear();
        self.used.clear();
        let mut plan = Plan { placements: Placements::new(), victims: BTreeSet::new(), cost: 0 };
        let mut offers: Vec<Offer> =
            group.iter().filter_map(|worker| self.offer(*worker)).collect();
        for _ in 0..count {
            let best = offers.iter().min_by_key(|offer| {
                (offer.cost, offer.units.len(), offer.accelerators, offer.worker)
            })?;
            let Offer { worker, units, cost, .. } = best.clone();
            let mut changed: BTreeSet<key::Worker> = BTreeSet::from([worker]);
            for unit in units {
                self.used.insert(unit);
                for run in self.members(unit) {
                    let Some(run) = self.tables.runs.get(run) else { continue };
                    let change = self.change_mut(run.worker);
                    change.freed = change.freed.plus(run.demand);
                    changed.insert(run.worker);
                    plan.victims.insert(run.task);
                }
            }
            plan.cost += cost;
            let demand = self.step.resources();
            let change = self.change_mut(worker);
            change.taken = change.taken.plus(demand);
            change.tasks += 1;
            match plan.placements.iter_mut().find(|(placed, _)| *placed == worker) {
                Some((_, count)) => *count += 1,
                None => plan.placements.push((worker, 1)),
            }
            offers.retain(|offer| !changed.contains(&offer.worker));
            let again = group.iter().filter(|worker| changed.contains(worker));
            offers.extend(again.filter_map(|worker| self.offer(*worker)).collect::<Vec<_>>());
        }
        Some(plan)
    }

    /// Finds the units to preempt so that one more task fits on a worker, the cheapest first.
    fn offer(&mut self, worker: key::Worker) -> Option<Offer> {
        let row = self.tables.workers.get(worker)?;
        let change = self.freed.get(worker).copied().unwrap_or_default();
        let (mut free, reserved) = if reservation::are_exclusive(self.tables) {
            // What ending runs free may be reserved for another step, which would otherwise share a
            // reservation with this one, so that neither is placed before it expires.
            let reserved = self.availability.reserved(worker);
            (row.free_without(change.freed), reserved.plus(change.taken))
        } else {
            let unreserved = self.availability.unreserved(self.tables, worker);
            let gained = row.free_without(change.freed).minus(row.free());
            (unreserved.plus(gained).minus(change.taken), Resources::default())
        };
        let accelerators = free.minus(reserved).accelerators;
        let max = self.step.max_per_worker;
        if max != 0 && max <= change.tasks + place::tasks_on(self.tables, self.instance, worker) {
            return None;
        }
        let demand = self.step.resources();
        let mut offer = Offer { worker, units: SmallVec::new(), cost: 0, accelerators };
        if demand.fits(free.minus(reserved)) && !row.is_overcommitted_without(change.freed) {
            return Some(offer);
        }
        let mut units: SmallVec<[(u64, Unit, Resources); 8]> = SmallVec::new();
        for key in &row.runs {
            let Some(run) = self.tables.runs.get(*key) else { continue };
            let Some((unit, cost)) = self.unit(*key, run) else { continue };
            if self.used.contains(&unit) || run.incarnation != row.incarnation {
                continue;
            }
            match units.iter_mut().find(|(_, known, _)| *known == unit) {
                Some((_, _, demand)) => *demand = demand.plus(run.demand),
                None => units.push((cost, unit, run.demand)),
            }
        }
        units.sort_unstable_by_key(|(cost, unit, _)| (*cost, *unit));
        let mut ended = change.freed;
        for (cost, unit, freed) in units {
            let before = row.free_without(ended);
            ended = ended.plus(freed);
            free = free.plus(row.free_without(ended).minus(before));
            offer.cost += cost;
            offer.units.push(unit);
            if demand.fits(free.minus(reserved)) && !row.is_overcommitted_without(ended) {
                return Some(offer);
            }
        }
        None
    }

    fn change_mut(&mut self, worker: key::Worker) -> &mut Change {
        if !self.freed.contains_key(worker) {
            self.freed.insert(worker, Change::default());
        }
        &mut self.freed[worker]
    }

    /// Returns the unit that a run belongs to and the cost of preempting it.
    fn unit(&mut self, key: key::Run, run: &Run) -> Option<(Unit, u64)> {
        let instance = run.task.instance;
        let step = self.tables.step(instance)?;
        if !step.gang {
            return Some((Unit::Run(key), self.cost(step, run)?));
        }
        if !self.gangs.contains_key(&instance) {
            let gang = self.gang(instance, step);
            self.gangs.insert(instance, gang);
        }
        let (_, cost) = self.gangs[&instance].as_ref()?;
        Some((Unit::Gang(instance), *cost))
    }

    fn gang(&self, instance: StepInstance, step: &Step) -> Gang {
        let job = self.tables.jobs.get(&instance.job)?;
        let row = job.occurrences.get(&instance.occurrence)?;
        let mut members = SmallVec::new();
        let mut total = 0;
        for key in row.steps[usize::from(instance.step)].iter().filter_map(|state| state.live) {
            total += self.cost(step, self.tables.runs.get(key)?)?;
            members.push(key);
        }
        Some((members, total))
    }

    fn members(&self, unit: Unit) -> SmallVec<[key::Run; 8]> {
        match unit {
            Unit::Run(key) => SmallVec::from_slice(&[key]),
            Unit::Gang(instance) => match self.gangs.get(&instance) {
                Some(Some((members, _))) => members.clone(),
                _ => SmallVec::new(),
            },
        }
    }

    fn cost(&self, step: &Step, run: &Run) -> Option<u64> {
        if place::is_ending(run.phase) { Some(0) } else { (self.price)(step, run) }
    }
}
