//! Workers of unequal speed: urgent gangs get fast ones, and no worker is idle for it.

mod batch_sim;

use std::collections::BTreeMap;
use std::sync::Arc;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::policy::Policy;
use lavendergauge_lib::batch::speed;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Factor of every third worker, in thousandths; the others take `FAST_PERMILLE`.
const SLOW_PERMILLE: u64 = 1700;
const FAST_PERMILLE: u64 = 700;
/// Part of the objective that does not depend on the run time, in milliseconds.
const TARGET_MS: u64 = 250;

/// Creates a simulation of 24 workers of which every third is slow, with the policy on or off.
fn uneven(worker_speed: bool) -> Simulation {
    let mut sim = Simulation::new(8);
    sim.tables.policy = Policy { worker_speed, ..Policy::default() };
    for (index, worker) in sim.workers.iter_mut().enumerate() {
        worker.slow_permille = if index % 3 == 0 { SLOW_PERMILLE } else { FAST_PERMILLE };
    }
    let mut config = Config::clone(&sim.config);
    for queue in &mut config.queues {
        queue.target_ms = TARGET_MS;
    }
    sim.config = Arc::new(config);
    sim
}

/// Load: patient jobs of many tasks, and urgent gangs over several workers, with estimates that are
/// wrong by up to a factor of two. Returns the shares of urgent and patient jobs in time, in percent.
fn play(seed: u64, worker_speed: bool) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sim = uneven(worker_speed);
    for tick in 0..300 {
        if tick % 30 == 0 {
            let work = rng.random_range(5000..8000);
            let estimate = work * rng.random_range(80..120) / 100;
            sim.submit("patient", "praha", vec![step(40, 1, estimate)], work);
        }
        if 20 <= tick && tick % 7 == 0 {
            let work = rng.random_range(1500..3000);
            let estimate = work * rng.random_range(50..200) / 100;
            let accelerators = [1, 2, 4, 8][rng.random_range(0..4)];
            let gang = Step { gang: true, ..step(rng.random_range(2..6), accelerators, estimate) };
            sim.submit("urgent", "brno", vec![gang], work);
        }
        sim.run_for(100);
    }
    assert!(sim.run_until_ended(120_000), "seed {seed}: every job ends");
    (sim.percent_in_objective("urgent"), sim.percent_in_objective("patient"))
}

#[test]
fn urgent_on_fast() {
    // Guards against gangs that are late because one member is on a slow worker.
    for seed in 0..4 {
        let (before, patient_before) = play(seed, false);
        let (urgent, patient) = play(seed, true);
        println!(
            "seed {seed}: urgent {before} to {urgent} %, patient {patient_before} to {patient} %"
        );
        assert!(85 <= urgent, "seed {seed}: {urgent} % of the urgent jobs in time");
        assert!(before < urgent, "seed {seed}: {before} % before");
        assert!(90 <= patient, "seed {seed}: {patient} % of the patient jobs in time");
    }
}

#[test]
fn slow_not_idle() {
    // Guards against urgent work that waits for fast workers although a slow one would serve it sooner.
    let mut sim = uneven(true);
    sim.submit("patient", "praha", vec![step(192, 1, 4000)], 4000);
    sim.run_for(9000);
    let ids: Vec<Id> =
        (0..24).map(|_| sim.submit("urgent", "brno", vec![step(1, 8, 20_000)], 20_000)).collect();
    sim.run_for(16_000);
    for id in ids {
        assert!(sim.all_started(id).is_some(), "{id} waits while slow workers are idle");
    }
}

#[test]
fn slow_for_a_while() {
    // Guards against a factor that stays after the worker has recovered, or is not seen in time.
    let mut sim = Simulation::new(4);
    sim.tables.policy = Policy { worker_speed: true, ..Policy::default() };
    let submit = |sim: &mut Simulation| {
        for _ in 0..6 {
            sim.submit("patient", "praha", vec![step(48, 1, 2000)], 2000);
            sim.run_for(1000);
        }
    };
    let factor = |sim: &Simulation| {
        let key = sim.tables.nodes["side-0"];
        speed::factor(&sim.tables.workers[key].speed)
    };
    submit(&mut sim);
    assert!(factor(&sim) < 1.3, "{} while even", factor(&sim));
    sim.workers[0].slow_permille = 4000;
    submit(&mut sim);
    assert!(1.5 < factor(&sim), "{} while slow", factor(&sim));
    sim.workers[0].slow_permille = 1000;
    submit(&mut sim);
    submit(&mut sim);
    submit(&mut sim);
    assert!(factor(&sim) < 1.5, "{} after recovery", factor(&sim));
}

#[test]
fn forgotten_at_restart() {
    // Guards against the factor of a worker's earlier incarnation, which may run on other hardware.
    let mut sim = uneven(true);
    sim.submit("patient", "praha", vec![step(96, 1, 3000)], 3000);
    sim.run_for(4000);
    let key = sim.tables.nodes["side-0"];
    assert!(speed::is_known(&sim.tables.workers[key].speed));
    sim.restart(0);
    sim.run_for(200);
    assert!(!speed::is_known(&sim.tables.workers[key].speed));
}

#[test]
fn even_fleet() {
    // Guards against classes made of noise: in an even fleet no worker counts as slow.
    for seed in 0..4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(8);
        sim.tables.policy = Policy { worker_speed: true, ..Policy::default() };
        for _ in 0..40 {
            let work = rng.random_range(2000..6000);
            let estimate = work * rng.random_range(50..200) / 100;
            sim.submit("patient", "praha", vec![step(30, 1, estimate)], work);
            sim.run_for(500);
        }
        let factors: BTreeMap<&str, u64> = sim
            .tables
            .workers
            .values()
            .map(|worker| (worker.node.as_str(), (speed::factor(&worker.speed) * 100.0) as u64))
            .collect();
        let (least, most) = (factors.values().min().unwrap(), factors.values().max().unwrap());
        assert!(most * 100 < least * 170, "seed {seed}: {factors:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Guards against estimates that make a factor meaningless: it stays finite and bounded, and the
    /// placed tasks all run.
    #[test]
    fn bounded_factors(seed in any::<u64>(), error in 1_u64..1000) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = uneven(true);
        for _ in 0..10 {
            let work = rng.random_range(500..3000);
            let steps = vec![step(rng.random_range(1..30), 1, work * error / 100 + 1)];
            sim.submit("patient", "praha", steps, work);
            sim.run_for(500);
        }
        prop_assert!(sim.run_until_ended(60_000));
        for worker in sim.tables.workers.values() {
            let factor = speed::factor(&worker.speed);
            prop_assert!(0.02 < factor && factor < 50.0, "{}", factor);
        }
    }
}
