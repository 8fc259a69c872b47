//! Steps that were held back beside free room for too long.

mod batch_sim;

use std::time::Duration;

use batch_sim::Simulation;
use batch_sim::gang;
use batch_sim::policies;
use batch_sim::step;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::policy::Policy;
use lavendergauge_lib::batch::speed;
use lavendergauge_lib::batch::table;
use lavendergauge_lib::clock::Millis;

/// Time within which a job has to have something running where there is room, in milliseconds.
const BOUND_MS: u64 = 3000;
/// Run time of the jobs that are in the way, in milliseconds.
const LONG_MS: u64 = 600_000;

/// Returns five racks of three workers, with a long run on one worker of each.
fn one_busy_each(policy: Policy) -> Simulation {
    let mut sim = Simulation::new(5);
    sim.tables.policy = policy;
    for rack in 0..5 {
        let near = Step { data_rack: format!("r-{rack}"), ..step(1, 8, LONG_MS) };
        sim.submit("plain", "praha", vec![near], LONG_MS);
    }
    sim.run_for(1000);
    assert_eq!(sim.starts.len(), 5);
    sim
}

#[test]
fn no_rack() {
    // A gang waited for room in one rack, beside an idle fleet, for as long as it was estimated to run.
    for policy in policies() {
        let mut sim = one_busy_each(policy);
        let wide = Step { same_rack: true, ..gang(3, 60_000) };
        let id = sim.submit("plain", "brno", vec![wide], 60_000);
        sim.run_for(BOUND_MS);
        assert!(sim.all_started(id).is_some(), "{policy:?}");
    }
}

#[test]
fn full_rack() {
    // Tasks waited for the rack of their data, beside an idle fleet.
    for policy in policies() {
        let mut sim = Simulation::new(5);
        sim.tables.policy = policy;
        let near = |tasks, ms| Step { data_rack: "r-1".into(), ..step(tasks, 8, ms) };
        sim.submit("plain", "praha", vec![near(3, LONG_MS)], LONG_MS);
        sim.run_for(1000);
        let id = sim.submit("plain", "brno", vec![near(4, 60_000)], 60_000);
        sim.run_for(BOUND_MS);
        let begun = sim.starts.iter().filter(|(_, task, _, _)| task.instance.job == id).count();
        assert_eq!(begun, 1, "one task runs, the others wait for their data; {policy:?}");
    }
}

#[test]
fn busy_fleet() {
    // While half of the fleet is in use, a gang waits for room where it runs at full speed.
    let mut sim = one_busy_each(Policy::default());
    sim.submit("plain", "praha", vec![step(5, 8, LONG_MS)], LONG_MS);
    sim.run_for(500);
    let wide = Step { same_rack: true, ..gang(2, 60_000) };
    let id = sim.submit("plain", "brno", vec![wide], 60_000);
    sim.run_for(2 * BOUND_MS);
    let racks = |id| {
        let nodes: Vec<&String> =
            sim.starts.iter().filter(|start| start.1.instance.job == id).map(|s| &s.3).collect();
        let rack =
            |node: &&String| sim.workers.iter().find(|w| w.node == **node).unwrap().rack.clone();
        nodes.iter().map(rack).collect::<std::collections::BTreeSet<_>>()
    };
    assert!(racks(id).len() <= 1, "{:?}", racks(id));
}

#[test]
fn lasting_task() {
    // A task that lasts waited for the rack of its data, also while most of the fleet was in use.
    for policy in policies() {
        let mut sim = Simulation::new(5);
        sim.tables.policy = policy;
        let near = |tasks, ms| Step { data_rack: "r-1".into(), ..step(tasks, 8, ms) };
        sim.submit("plain", "praha", vec![near(3, LONG_MS)], LONG_MS);
        sim.submit("plain", "praha", vec![step(9, 8, LONG_MS)], LONG_MS);
        sim.run_for(1000);
        let lasting = Step { long_running: true, ..near(1, 60_000) };
        let id = sim.submit("plain", "brno", vec![lasting], 60_000);
        sim.run_for(BOUND_MS);
        assert!(sim.all_started(id).is_some(), "{policy:?}");
    }
}

/// Applies a change to the rows of the workers that run nothing, or of the others.
fn change_workers(sim: &mut Simulation, idle: bool, change: impl Fn(&mut table::Worker)) {
    let rows = sim.tables.workers.values_mut();
    rows.filter(|row| row.runs.is_empty() == idle).for_each(change);
}

#[test]
fn fast_workers() {
    // A gang waited for fast workers, beside slow ones that were idle, until it was nearly late.
    let mut sim = Simulation::new(5);
    sim.tables.policy.worker_speed = true;
    sim.submit("plain", "praha", vec![step(7, 8, LONG_MS)], LONG_MS);
    sim.run_for(1000);
    let now = Millis(sim.now);
    change_workers(&mut sim, false, |row| speed::restore(&mut row.speed, now, -300, 50));
    change_workers(&mut sim, true, |row| speed::restore(&mut row.speed, now, 1500, 50));
    let id = sim.submit("plain", "praha", vec![gang(2, 60_000)], 60_000);
    sim.run_for(BOUND_MS);
    assert!(sim.all_started(id).is_some());
}

#[test]
fn avoided_workers() {
    // A gang waited for workers without failures, beside idle ones that were avoided.
    for policy in policies() {
        let mut sim = Simulation::new(5);
        sim.tables.policy = policy;
        sim.submit("plain", "praha", vec![step(6, 8, LONG_MS)], LONG_MS);
        sim.run_for(1000);
        let until = Millis(sim.now) + Duration::from_secs(24);
        change_workers(&mut sim, true, |row| row.health.avoided_until = until);
        let id = sim.submit("plain", "brno", vec![gang(4, 5000)], 5000);
        sim.run_for(BOUND_MS);
        assert!(sim.all_started(id).is_some(), "{policy:?}");
    }
}

#[test]
fn paused_workers() {
    // A job waited for workers that had refused other starts, whatever room they had.
    let mut sim = Simulation::new(5);
    sim.submit("plain", "praha", vec![step(6, 8, LONG_MS)], LONG_MS);
    sim.run_for(1000);
    let until = Millis(sim.now) + Duration::from_secs(6);
    change_workers(&mut sim, true, |row| row.paused_until = until);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 5000)], 5000);
    sim.run_for(BOUND_MS);
    assert!(sim.all_started(id).is_some());
}

#[test]
fn long_gang() {
    // A long gang waited beside idle workers that were reserved for one that could not start.
    for policy in policies() {
        let mut sim = Simulation::new(5);
        sim.tables.policy = policy;
        sim.submit("plain", "praha", vec![step(6, 8, 20_000)], 20_000);
        sim.run_for(1000);
        sim.submit("plain", "brno", vec![gang(12, 10_000)], 10_000);
        sim.run_for(4000);
        let small = sim.submit("plain", "praha", vec![gang(3, LONG_MS)], LONG_MS);
        sim.run_for(BOUND_MS);
        assert!(sim.all_started(small).is_some(), "{policy:?}");
    }
}

#[test]
fn wide_gang() {
    // Jobs that are placed on what is reserved for a gang must not keep it waiting for ever.
    for policy in policies() {
        let mut sim = Simulation::new(5);
        sim.tables.policy = policy;
        sim.submit("plain", "praha", vec![step(6, 8, 20_000)], 20_000);
        sim.run_for(1000);
        let wide = sim.submit("plain", "brno", vec![gang(12, 10_000)], 10_000);
        sim.run_for(4000);
        for _ in 0..30 {
            sim.submit("plain", "praha", vec![gang(3, LONG_MS)], LONG_MS);
            sim.run_for(2000);
        }
        let started = sim.all_started(wide);
        assert!(started.is_some_and(|ms| ms < 50_000), "{started:?} {policy:?}");
    }
}

#[test]
fn guaranteed_gang() {
    // Guaranteed work starts in time though others were placed on what it may have reserved.
    for policy in policies() {
        let mut sim = Simulation::new(5);
        sim.tables.policy = policy;
        sim.submit("plain", "praha", vec![step(6, 8, LONG_MS)], LONG_MS);
        sim.run_for(1000);
        sim.submit("plain", "praha", vec![gang(12, 10_000)], 10_000);
        sim.run_for(4000);
        for _ in 0..3 {
            sim.submit("plain", "praha", vec![gang(3, LONG_MS)], LONG_MS);
        }
        sim.run_for(4000);
        let urgent = sim.submit("urgent", "brno", vec![gang(3, 5000)], 5000);
        let bound = batch_sim::bounds().reclaim_ms;
        sim.run_for(bound);
        let started = sim.all_started(urgent);
        assert!(started.is_some_and(|ms| ms < bound), "{started:?} {policy:?}");
    }
}
