//! Leases that a worker holds by the clock of an earlier incarnation.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::lease::Tracker;

const LONGEST_MS: u64 = 10_000;

#[test]
fn cut_off() {
    // A run was replaced while its worker, which had restarted and was then cut off, still
    // held a lease by the clock of its earlier incarnation.
    let mut sim = Simulation::new(1);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 30_000)], 30_000);
    sim.run_for(500);
    let node = sim.starts[0].3.clone();
    let index = sim.workers.iter().position(|worker| worker.node == node).unwrap();
    let until = sim.now + 9000;
    sim.workers[index].stale_lease_until = until;
    sim.workers[index].lease_until = until;
    sim.run_for(300);
    sim.workers[index].reachable = false;
    sim.run_for(until - sim.now);
    assert_eq!(sim.starts.len(), 1, "{id} may still run under that lease");
    sim.run_for(500);
    assert_eq!(sim.starts.len(), 2);
}

#[test]
fn new_process() {
    // The calls of the agent's earlier process are not known.
    let tracker = Tracker::new(7000, LONGEST_MS);
    assert!(7000 + LONGEST_MS < tracker.stale_until(7000));
}
