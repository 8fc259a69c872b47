//! What a leader has learned about workers, and its use by the next leader.

mod batch_sim;

use std::time::Duration;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::config::Bounds;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::learned;
use lavendergauge_lib::batch::learned::Cause;
use lavendergauge_lib::batch::learned::Digest;
use lavendergauge_lib::batch::learned::Settled;
use lavendergauge_lib::batch::learned::Worker;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::key;
use proptest::prelude::*;

const WALL_MS: u64 = 1_700_000_000_000;
const FENCE: u64 = 7;

fn tables() -> Tables {
    let bounds =
        Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
    Tables::new(bounds, Millis(0))
}

/// Adds a worker whose agent has reported an incarnation.
fn add_worker(tables: &mut Tables, node: &str, incarnation: u64) -> key::Worker {
    let key = tables.worker_at(node, Millis(0));
    tables.workers[key].incarnation = incarnation;
    key
}

fn entry(node: &str, failures: u32, avoided_ms: u64) -> Worker {
    let node = node.to_owned();
    Worker { node, incarnation: 5, log_factor_milli: 0, deviation_milli: 0, failures, avoided_ms }
}

fn digest(workers: Vec<Worker>) -> Digest {
    let version = learned::VERSION;
    Digest { version, fence: FENCE, written_ms: WALL_MS, workers, run_times: Vec::new() }
}

/// Returns the failing worker's starts in the second after a change of leader amid a load, and the
/// number of failed jobs.
fn starts_on_failing_worker(learned_state: bool) -> (usize, usize) {
    let mut sim = Simulation::new(2);
    sim.workers[1].fails = true;
    for _ in 0..10 {
        sim.submit("plain", "brno", vec![step(4, 2, 400)], 400);
        sim.run_for(100);
    }
    let digest = learned::collect(&sim.tables, Millis(sim.now), WALL_MS, sim.fence);
    assert_eq!(digest.workers.len(), 1, "only the failing worker is worth an entry");
    sim.take_over();
    if learned_state {
        let now = Millis(sim.now);
        let outcome = learned::apply(&mut sim.tables, now, WALL_MS + 100, digest);
        assert_eq!(outcome.expect("a good digest").pending, 1);
    }
    let before = sim.starts.len();
    // As much work as all workers have accelerators for.
    for _ in 0..6 {
        sim.submit("plain", "brno", vec![step(4, 2, 400)], 400);
    }
    sim.run_for(1000);
    let starts = sim.starts[before..].iter().filter(|start| start.3 == "side-1").count();
    assert!(sim.run_until_ended(60_000));
    let is_failed = |job: &Id| sim.state(*job) == Some(State::Failed);
    (starts, sim.submitted.keys().filter(|job| is_failed(job)).count())
}

#[test]
fn next_leader_avoids() {
    // Guards against a new leader that learns anew, at the cost of runs that fail.
    let (starts_off, failed_off) = starts_on_failing_worker(false);
    let (starts_on, failed_on) = starts_on_failing_worker(true);
    assert!(0 < starts_off, "without the digest, the new leader uses the failing worker");
    assert_eq!(starts_on, 0, "with it, it does not from its first placement");
    assert!(failed_on <= failed_off);
}

#[test]
fn pending_until_report() {
    // Guards against the loss of entries of workers that report after the takeover.
    let mut tables = tables();
    let read = digest(vec![entry("side-1", 2, 3000), entry("side-2", 2, 3000)]);
    let outcome = learned::apply(&mut tables, Millis(100), WALL_MS + 500, read).expect("good");
    assert_eq!((outcome.used, outcome.pending, outcome.age_ms), (0, 2, 500));
    let carried = learned::collect(&tables, Millis(600), WALL_MS + 1000, FENCE + 1);
    assert_eq!(carried.workers[0].avoided_ms, 2000, "a leader that ends early passes it on");
    let known = add_worker(&mut tables, "side-1", 5);
    let mut changes = Vec::new();
    assert_eq!(learned::settle(&mut tables, Millis(600), known, &mut changes), Settled::Used);
    assert_eq!(tables.workers[known].health.avoided_until, Millis(2600));
    assert_eq!(changes.len(), 1);
    let late = add_worker(&mut tables, "side-2", 5);
    let settled = learned::settle(&mut tables, Millis(70_000), late, &mut changes);
    assert_eq!(settled, Settled::Expired);
    assert!(tables.learned.is_empty());
}

#[test]
fn wrong_incarnation() {
    // Guards against the avoidance of a worker that has restarted since.
    let mut tables = tables();
    let (restarted, earlier) =
        (add_worker(&mut tables, "side-1", 6), add_worker(&mut tables, "side-2", 4));
    let read = digest(vec![entry("side-1", 2, 3000), entry("side-2", 2, 3000)]);
    let outcome = learned::apply(&mut tables, Millis(0), WALL_MS, read).expect("good");
    assert_eq!((outcome.restarted, outcome.pending), (1, 1));
    assert!(!tables.workers[restarted].health.is_avoided(Millis(1)));
    assert!(!tables.workers[earlier].health.is_avoided(Millis(1)), "the restart is not known yet");
}

#[test]
fn own_success_precedes() {
    // Guards against a late digest that makes the leader avoid a worker that has recovered.
    let mut tables = tables();
    let recovered = add_worker(&mut tables, "side-1", 5);
    tables.workers[recovered].health.record_success();
    let failing = add_worker(&mut tables, "side-2", 5);
    tables.workers[failing].health.record_failure(Millis(0), Id(1), Duration::from_secs(1));
    let read = digest(vec![entry("side-1", 2, 3000), entry("side-2", 2, 3000)]);
    let outcome = learned::apply(&mut tables, Millis(0), WALL_MS, read).expect("good");
    assert_eq!((outcome.superseded, outcome.used), (1, 1));
    assert!(!tables.workers[recovered].health.is_avoided(Millis(1)));
    assert!(tables.workers[failing].health.is_avoided(Millis(1)));
}

#[test]
fn unusable_times() {
    // Guards against a value that is out of date or from a clock that jumped.
    let apply_at = |wall_ms: u64| {
        let read = digest(vec![entry("side-1", 2, 3000)]);
        learned::apply(&mut tables(), Millis(0), wall_ms, read).map(|outcome| outcome.age_ms)
    };
    assert_eq!(apply_at(WALL_MS - 2000), Ok(0), "clocks differ by seconds");
    assert_eq!(apply_at(WALL_MS - 6000), Err(Cause::Future));
    assert_eq!(apply_at(WALL_MS + 2000), Ok(2000));
    assert_eq!(apply_at(WALL_MS + 301_000), Err(Cause::Old));
    let other = Digest { version: learned::VERSION + 1, ..digest(Vec::new()) };
    assert_eq!(learned::apply(&mut tables(), Millis(0), WALL_MS, other), Err(Cause::Version));
}

#[test]
fn extreme_values() {
    // Guards against a foreign value that excludes a worker for long or overflows.
    let mut tables = tables();
    let key = add_worker(&mut tables, "side-1", 5);
    let extreme = Worker {
        log_factor_milli: i32::MIN,
        deviation_milli: u32::MAX,
        ..entry("side-1", u32::MAX, u64::MAX)
    };
    let read = digest(vec![extreme]);
    assert!(learned::differs(&digest(vec![entry("side-1", 1, 0)]), &read));
    learned::apply(&mut tables, Millis(0), WALL_MS + 299_000, read).expect("good");
    let health = &mut tables.workers[key].health;
    assert!(!health.is_avoided(Millis(24_000)), "no longer than a leader avoids a worker");
    health.record_failure(Millis(0), Id(1), Duration::ZERO);
}

#[test]
fn worth_a_write() {
    // Guards against a write every time, and against none before the value is too old.
    let written = digest(vec![entry("side-1", 2, 3000)]);
    let later =
        |ms: u64, workers: Vec<Worker>| Digest { written_ms: WALL_MS + ms, ..digest(workers) };
    assert!(!learned::differs(&written, &later(2000, vec![entry("side-1", 2, 1000)])));
    assert!(!learned::differs(&written, &later(4000, vec![entry("side-1", 2, 0)])));
    assert!(learned::differs(&written, &later(2000, vec![entry("side-1", 2, 5000)])));
    assert!(learned::differs(&written, &later(2000, vec![entry("side-1", 3, 1000)])));
    assert!(learned::differs(&written, &later(2000, Vec::new())));
    assert!(learned::differs(&written, &later(60_000, vec![entry("side-1", 2, 0)])));
    assert!(!learned::differs(&digest(Vec::new()), &later(99_000, Vec::new())));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a digest that is too large, drops the wrong workers, depends on the order of
    /// the tables, or makes an avoidance longer.
    #[test]
    fn bounded_and_ordered(
        rows in prop::collection::btree_map("[a-z]{1,80}", (0u32..5, 0u64..24_000), 0..1200),
        age_ms in 0u64..30_000,
    ) {
        let (mut first, mut second) = (tables(), tables());
        let fill = |tables: &mut Tables, node: &String, (failures, avoided_ms): (u32, u64)| {
            let key = add_worker(tables, node, 5);
            tables.workers[key].health.failures = failures;
            tables.workers[key].health.avoided_until = Millis(1000 + avoided_ms);
        };
        rows.iter().for_each(|(node, row)| fill(&mut first, node, *row));
        rows.iter().rev().for_each(|(node, row)| fill(&mut second, node, *row));
        let written = learned::collect(&first, Millis(1000), WALL_MS, FENCE);
        prop_assert_eq!(&written, &learned::collect(&second, Millis(1000), WALL_MS, FENCE));
        let size: usize = written.workers.iter().map(|worker| 20 + worker.node.len()).sum();
        prop_assert!(size <= learned::MAX_BYTES);
        let is_listed = |node: &String| written.workers.iter().any(|worker| worker.node == *node);
        let least = written.workers.last().map_or(0, |worker| worker.avoided_ms);
        for (node, (_, avoided_ms)) in &rows {
            prop_assert!(*avoided_ms <= least || is_listed(node), "{} has more to say", node);
        }
        let mut next = tables();
        for node in rows.keys() {
            add_worker(&mut next, node, 5);
        }
        learned::apply(&mut next, Millis(50), WALL_MS + age_ms, written).expect("good");
        for worker in next.workers.values() {
            let remaining_ms = rows[&worker.node].1.saturating_sub(age_ms);
            prop_assert!(worker.health.avoided_until <= Millis(50 + remaining_ms));
        }
    }
}
