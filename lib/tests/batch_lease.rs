//! Leases that a worker holds by the clock of an earlier incarnation.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::lease::Tracker;
use proptest::collection::vec;
use proptest::prelude::*;

const LONGEST_MS: u64 = 10_000;
/// Time within which every call of the model ends, in milliseconds.
const CALL_MS: u64 = 400;

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
    assert!(7000 + LONGEST_MS < tracker.stale_until());
}

/// One call that extends the lease: pause before it, time until the worker receives it, whether the
/// answer is lost, and whether the worker restarts before it receives the call.
type Exchange = (u64, u64, bool, bool);

proptest! {
    #[test]
    fn no_lease_outlasts(exchanges in vec((0..5000_u64, 0..CALL_MS, any::<bool>(), any::<bool>()), 1..40)) {
        let mut tracker = Tracker::new(0, LONGEST_MS);
        let mut now = 0;
        // End of the longest lease that the present incarnation holds by an earlier clock.
        let mut stale = 0;
        for (pause, delay, is_lost, restarts) in exchanges as Vec<Exchange> {
            now += pause;
            let call = tracker.begin(now, CALL_MS);
            let received_at = now + delay;
            now += if is_lost { CALL_MS } else { delay };
            if restarts {
                stale = received_at + LONGEST_MS;
                tracker.end_unanswered(call, now);
                tracker.restart();
            } else if is_lost {
                tracker.end_unanswered(call, now);
            } else {
                tracker.confirm(call);
            }
            prop_assert!(stale <= tracker.stale_until());
        }
    }
}
