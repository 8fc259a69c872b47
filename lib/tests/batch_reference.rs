//! Placement and preemption decide as plain, slow searches over all runs do.

mod batch_sim;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::StepInstance;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::place;
use lavendergauge_lib::batch::place::Availability;
use lavendergauge_lib::batch::preempt;
use lavendergauge_lib::batch::table::Phase;
use lavendergauge_lib::batch::table::Run;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::key;
use lavendergauge_lib::resource::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Fills a fleet with jobs of all shapes; returns a step that waits for capacity.
fn crowded(seed: u64) -> (Simulation, StepInstance) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sim = Simulation::new(3);
    for _ in 0..14 {
        let shape = Step {
            gang: rng.random(),
            checkpoints: rng.random(),
            max_per_worker: [0, 0, 2][rng.random_range(0..3)],
            ..step(rng.random_range(1..7), rng.random_range(1..5), rng.random_range(2000..9000))
        };
        sim.submit("plain", "praha", vec![shape], 9000);
        sim.run_for(rng.random_range(20..300));
    }
    let waiting = Step {
        gang: rng.random(),
        max_per_worker: [0, 1, 2][rng.random_range(0..3)],
        ..step(rng.random_range(1..6), rng.random_range(1..9), 2000)
    };
    let id = sim.submit("patient", "praha", vec![waiting], 2000);
    (sim, StepInstance { job: id, occurrence: 0, step: 0 })
}

/// Cost of preempting a run; some runs must not be preempted.
fn price(step: &Step, run: &Run, now: Millis) -> Option<u64> {
    (!run.task.instance.job.0.is_multiple_of(5)).then(|| preempt::lost_work(step, run, now))
}

/// Runs that are preempted together, with their cost.
type Unit = (u64, Vec<(key::Run, Task, key::Worker, Resources)>);

fn units(tables: &Tables, now: Millis) -> Vec<Unit> {
    let mut gangs: BTreeMap<StepInstance, Option<Unit>> = BTreeMap::new();
    let mut alone: Vec<Unit> = Vec::new();
    for (key, run) in &tables.runs {
        let step = tables.step(run.task.instance).unwrap();
        let cost = match run.phase {
            Phase::Stopping(_) => Some(0),
            _ => price(step, run, now),
        };
        let member = (key, run.task, run.worker, run.demand);
        if !step.gang {
            alone.extend(cost.map(|cost| (cost, vec![member])));
            continue;
        }
        let gang = gangs.entry(run.task.instance).or_insert_with(|| Some((0, Vec::new())));
        match (gang.as_mut(), cost) {
            (Some(unit), Some(cost)) => {
                unit.0 += cost;
                unit.1.push(member);
            }
            _ => *gang = None,
        }
    }
    alone.sort_by_key(|(cost, members)| (*cost, members[0].0));
    let mut units = alone;
    units.extend(gangs.into_values().flatten());
    units.sort_by_key(|(cost, _)| *cost);
    units
}

/// Placements, victims and cost of a plan.
type Plan = (Vec<(key::Worker, u32)>, BTreeSet<Task>, u64);

/// A worker's rank among those that take a task, and the indices of the units that it stops.
type Offer = ((u64, usize, u32, key::Worker), Vec<usize>);

/// Finds the cheapest way to place tasks by trying every unit on every worker for each of them.
fn cheapest(
    tables: &Tables,
    now: Millis,
    step: &Step,
    count: u32,
    group: &[key::Worker],
) -> Option<Plan> {
    let units = units(tables, now);
    let mut free: BTreeMap<key::Worker, Resources> =
        tables.workers.iter().map(|(key, worker)| (key, worker.free())).collect();
    let mut used: BTreeSet<usize> = BTreeSet::new();
    let (mut placed, mut victims, mut total) = (BTreeMap::new(), BTreeSet::new(), 0);
    for _ in 0..count {
        let mut best: Option<Offer> = None;
        for &worker in group {
            let limit = step.max_per_worker;
            if limit != 0 && limit <= placed.get(&worker).copied().unwrap_or(0) {
                continue;
            }
            let mut space = free[&worker];
            let (mut chosen, mut cost) = (Vec::new(), 0);
            for (index, (unit_cost, members)) in units.iter().enumerate() {
                if step.resources().fits(space) {
                    break;
                }
                let here: Vec<_> =
                    members.iter().filter(|(_, _, hosted, _)| *hosted == worker).collect();
                if used.contains(&index) || here.is_empty() {
                    continue;
                }
                space = here.iter().fold(space, |space, (_, _, _, demand)| space.plus(*demand));
                chosen.push(index);
                cost += unit_cost;
            }
            if !step.resources().fits(space) {
                continue;
            }
            let rank = (cost, chosen.len(), free[&worker].accelerators, worker);
            if best.as_ref().is_none_or(|(known, _)| rank < *known) {
                best = Some((rank, chosen));
            }
        }
        let ((cost, _, _, worker), chosen) = best?;
        for index in chosen {
            used.insert(index);
            for (_, task, hosted, demand) in &units[index].1 {
                let space = free[hosted].plus(*demand);
                free.insert(*hosted, space);
                victims.insert(*task);
            }
        }
        total += cost;
        let space = free[&worker].minus(step.resources());
        free.insert(worker, space);
        *placed.entry(worker).or_insert(0) += 1;
    }
    Some((placed.into_iter().collect(), victims, total))
}

#[test]
fn preemption_search() {
    let mut found = 0;
    for seed in 0..300 {
        let (sim, instance) = crowded(seed);
        let (tables, now) = (&sim.tables, Millis(sim.now));
        let step = tables.step(instance).unwrap();
        let group: Vec<key::Worker> = tables.workers.keys().collect();
        let availability = Availability::of(tables, now);
        let plan = preempt::cheapest(
            tables,
            &availability,
            instance,
            step.tasks,
            std::slice::from_ref(&group),
            |step, run| price(step, run, now),
        );
        let expected = cheapest(tables, now, step, step.tasks, &group);
        let Some(plan) = plan else {
            assert!(expected.is_none(), "seed {seed}");
            continue;
        };
        found += 1;
        let mut placements = plan.placements.to_vec();
        placements.sort();
        let expected = expected.unwrap_or_else(|| panic!("seed {seed}: the search found nothing"));
        assert_eq!((placements, plan.victims, plan.cost), expected, "seed {seed}");
    }
    assert!(100 <= found, "only {found} of the searches found a plan");
}

#[test]
fn single_tasks() {
    // Tasks that run on their own go to the worker with the least free capacity, one by one.
    for seed in 0..200 {
        let (sim, instance) = crowded(seed);
        let (tables, now) = (&sim.tables, Millis(sim.now));
        let step = tables.step(instance).unwrap();
        let group: Vec<key::Worker> = tables.workers.keys().collect();
        let availability = Availability::of(tables, now);
        let placements = place::fill(
            tables,
            &availability,
            instance,
            step,
            std::slice::from_ref(&group),
            step.tasks,
        );
        let mut expected: BTreeMap<key::Worker, u32> = BTreeMap::new();
        for _ in 0..step.tasks {
            let placed = |worker: &key::Worker| expected.get(worker).copied().unwrap_or(0);
            let free = |worker: &key::Worker| {
                let taken = step.resources().times(placed(worker));
                availability.unreserved(tables, *worker).minus(taken)
            };
            let limit = step.max_per_worker;
            let worker = group
                .iter()
                .copied()
                .filter(|worker| {
                    step.resources().fits(free(worker)) && (limit == 0 || placed(worker) < limit)
                })
                .min_by_key(|worker| (free(worker).accelerators, free(worker).processors, *worker));
            let Some(worker) = worker else { break };
            *expected.entry(worker).or_default() += 1;
        }
        let found: BTreeMap<key::Worker, u32> = placements.into_iter().collect();
        assert_eq!(found, expected, "seed {seed}");
    }
}
