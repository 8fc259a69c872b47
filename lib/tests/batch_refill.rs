//! A gang of which some starts were refused gets other workers for them, or starts again as a whole.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;

/// Submits a gang of three members, one a worker, in a fleet with a worker that refuses starts.
fn submit_gang(sim: &mut Simulation, refusing: usize, same_rack: bool) -> Id {
    sim.workers[refusing].refuses = true;
    let gang = Step { gang: true, same_rack, ..step(3, 8, 2000) };
    sim.submit("plain", "brno", vec![gang], 2000)
}

#[test]
fn other_worker() {
    let mut sim = Simulation::new(2);
    let id = submit_gang(&mut sim, 0, false);
    sim.run_for(200);
    let runs: Vec<u32> = sim.starts.iter().map(|(_, _, run, _)| *run).collect();
    assert_eq!(runs, [1, 1, 1], "every member starts once, under one run number");
    assert!(sim.run_until_ended(3000));
    assert_eq!(sim.state(id), Some(State::Completed));
    assert_eq!(sim.wasted_ms, 0, "no member was stopped");
}

#[test]
fn many_refusals() {
    // Load: gangs come while a quarter of the agents refuse for a while, as when they are replaced.
    let mut sim = Simulation::new(8);
    for round in 0..12 {
        for index in 0..24 {
            sim.workers[index].refuses = index % 4 == round % 4;
        }
        let gang = Step { gang: true, ..step(6, 4, 1500) };
        sim.submit("urgent", "brno", vec![gang], 1500);
        sim.run_for(400);
    }
    assert!(sim.run_until_ended(10_000));
    assert_eq!(sim.percent_in_objective("urgent"), 100);
    assert_eq!(sim.wasted_ms, 0);
}

#[test]
fn rack_is_kept() {
    // The only free workers are on another rack, where the gang would run at a third of its speed.
    let mut sim = Simulation::new(2);
    let id = submit_gang(&mut sim, 0, true);
    sim.run_for(1000);
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.state(id), Some(State::Completed));
    let last = sim.starts.iter().map(|(_, _, run, _)| *run).max().unwrap();
    let racks: Vec<&str> = sim
        .starts
        .iter()
        .filter(|(_, _, run, _)| *run == last)
        .map(|(_, _, _, node)| {
            let worker = sim.workers.iter().find(|worker| worker.node == *node).unwrap();
            worker.rack.as_str()
        })
        .collect();
    assert_eq!(racks, ["r-1", "r-1", "r-1"]);
}

#[test]
fn planner_replaced() {
    // The next planner finds a gang that is not whole, and completes the job all the same.
    for at in (0..400).step_by(20) {
        let mut sim = Simulation::new(2);
        let id = submit_gang(&mut sim, 0, false);
        sim.run_for(at);
        sim.take_over();
        assert!(sim.run_until_ended(40_000), "taken over after {at} ms");
        assert_eq!(sim.state(id), Some(State::Completed));
    }
}
