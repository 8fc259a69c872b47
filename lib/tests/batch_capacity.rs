//! Workers whose capacity shrinks and grows while they run tasks.

mod batch_sim;

use batch_sim::Run;
use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time after which a start must respect a capacity that has shrunk, in milliseconds.
const GRACE_MS: u64 = 1000;

fn running(sim: &Simulation) -> usize {
    sim.workers.iter().map(|worker| worker.runs.len()).sum()
}

#[test]
fn outdated_capacity() {
    // A run is planned while the store is down, and its worker shrinks before it is recorded.
    let mut sim = Simulation::new(1);
    sim.capacity_grace_ms = GRACE_MS;
    sim.store_down = true;
    let id = sim.submit("plain", "brno", vec![step(3, 8, 1000)], 1000);
    sim.run_for(500);
    (0..2).for_each(|index| sim.workers[index].accelerators = 4);
    sim.run_for(2 * GRACE_MS);
    sim.store_down = false;
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn futile_preemption() {
    // Stopping all that is less urgent on a worker that has shrunk does not free enough there.
    let mut sim = Simulation::new(1);
    let spread = Step { max_per_worker: 1, ..step(3, 4, 20_000) };
    let urgent = sim.submit("urgent", "brno", vec![spread], 20_000);
    sim.run_for(100);
    let patient = sim.submit("patient", "praha", vec![step(6, 2, 20_000)], 20_000);
    sim.run_for(500);
    let before = running(&sim);
    sim.workers.iter_mut().for_each(|worker| worker.accelerators = 4);
    sim.run_for(200);
    let late = sim.submit("urgent", "praha", vec![step(1, 2, 1000)], 1000);
    sim.run_for(6000);
    assert_eq!(running(&sim), before, "runs were stopped for nothing");
    sim.workers.iter_mut().for_each(|worker| worker.accelerators = 8);
    assert!(sim.run_until_ended(120_000));
    for id in [urgent, patient, late] {
        assert_eq!(sim.state(id), Some(State::Completed));
    }
}

#[test]
fn changing_capacity() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(2);
        sim.capacity_grace_ms = GRACE_MS;
        for second in 0..60 {
            for worker in &mut sim.workers {
                if rng.random_bool(0.2) {
                    worker.accelerators = rng.random_range(1..=8);
                }
            }
            sim.store_down = rng.random_bool(0.2);
            if second % 2 == 0 {
                let work = rng.random_range(500..4000);
                let queue = ["urgent", "plain", "patient"][rng.random_range(0..3)];
                sim.submit(queue, "brno", vec![step(3, rng.random_range(1..4), work)], work);
            }
            if rng.random_bool(0.05) {
                sim.take_over();
            }
            sim.run_for(1000);
        }
        sim.store_down = false;
        sim.workers.iter_mut().for_each(|worker| worker.accelerators = 8);
        assert!(sim.run_until_ended(120_000), "seed {seed}");
    }
}

#[test]
fn outgrown_reservations() {
    // Two gangs shared a worker that shrank, and blocked each other until their reservations expired.
    for shrunken in 0..3 {
        let mut sim = Simulation::new(1);
        sim.tables.policy.worker_trust = true;
        sim.submit("plain", "praha", vec![step(3, 8, 5000)], 5000);
        sim.run_for(100);
        let gang = Step { gang: true, ..step(3, 4, 500) };
        for _ in 0..2 {
            sim.submit("plain", "brno", vec![gang.clone()], 500);
        }
        sim.run_for(4500);
        assert_eq!(sim.tables.reservations.len(), 2);
        sim.workers[shrunken].accelerators = 4;
        assert!(sim.run_until_ended(5000), "worker {shrunken}");
    }
}

#[test]
fn known_after_takeover() {
    // A new leader inherits runs on workers that shrank while nobody led.
    let mut sim = Simulation::new(1);
    let spread = Step { max_per_worker: 1, ..step(3, 4, 4000) };
    sim.submit("plain", "praha", vec![spread], 4000);
    sim.run_for(500);
    sim.workers.iter_mut().for_each(|worker| worker.accelerators = 6);
    sim.run_for(GRACE_MS);
    sim.take_over();
    let id = sim.submit("plain", "brno", vec![step(3, 4, 500)], 500);
    sim.run_for(2000);
    assert_eq!(sim.starts.len(), 3, "nothing starts where it does not fit");
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn stray_runs() {
    // A start did not count a run that its worker lists and the planner does not expect there.
    let mut sim = Simulation::new(1);
    let earlier = sim.submit("plain", "praha", vec![step(1, 8, 500)], 500);
    assert!(sim.run_until_ended(5000));
    let (_, task, ..) = sim.starts[0];
    assert_eq!(task.instance.job, earlier);
    let stray = Run { run: 1, began_at: sim.now, duration_ms: 60_000, stops_at: None };
    sim.workers[1].runs.insert(task, stray);
    sim.submit("plain", "brno", vec![step(3, 8, 500)], 500);
    assert!(sim.run_until_ended(20_000));
}
