//! Runs that make no progress.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::policies;
use batch_sim::step;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;

/// Run time of a task whose progress is listed in whole percentage points that take 12 s each.
const LONG_MS: u64 = 1_200_000;

#[test]
fn no_estimate() {
    // A long task without an estimate, or with one that is far too short, was stopped for lack of progress
    // again and again.
    for policy in policies() {
        for (tasks, gang, estimate_ms) in [(1, false, 0), (1, false, 5000), (3, true, 0)] {
            let mut sim = Simulation::new(2);
            sim.tables.policy = policy;
            let long = Step { gang, ..step(tasks, 4, estimate_ms) };
            let id = sim.submit("plain", "brno", vec![long], LONG_MS);
            assert!(
                sim.run_until_ended(LONG_MS * 11 / 10),
                "{tasks} {gang} {estimate_ms} {policy:?}"
            );
            assert_eq!(sim.state(id), Some(State::Completed));
            assert!(sim.starts.len() <= 6 * tasks as usize, "{} starts", sim.starts.len());
        }
    }
}

#[test]
fn stuck_worker() {
    // A task on a worker that hangs is started elsewhere within some seconds.
    for policy in policies() {
        let mut sim = Simulation::new(1);
        sim.tables.policy = policy;
        let id = sim.submit("plain", "brno", vec![step(1, 8, 8000)], 8000);
        sim.run_for(1000);
        let node = sim.starts[0].3.clone();
        let index = sim.workers.iter().position(|worker| worker.node == node).expect("a worker");
        sim.workers[index].is_paused = true;
        sim.run_for(7000);
        assert_eq!(sim.starts.len(), 2, "{policy:?}");
        assert!(sim.run_until_ended(20_000));
        assert_eq!(sim.state(id), Some(State::Completed));
    }
}
