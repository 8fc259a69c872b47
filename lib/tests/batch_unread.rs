//! Runs of which a worker has dropped the end before anyone has read it.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::change::Change;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::clock::Millis;

/// Starts a task on the only worker.
fn start() -> (Simulation, Id) {
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    sim.take_over();
    sim.run_for(100);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 5000)], 5000);
    (sim, id)
}

/// Applies a list without runs and ends; returns the changes.
fn apply_empty_list(sim: &mut Simulation) -> Vec<Change> {
    sim.now += 50;
    let mut report = sim.report_of(0);
    let list = report.list.as_mut().expect("a list");
    list.sent_at = sim.now;
    list.running.clear();
    list.ends.clear();
    observe::apply_report(&mut sim.tables, Millis(sim.now), sim.fence, &report)
}

#[test]
fn dropped_end() {
    // A run that had been listed and vanished without an end was taken for one that never was.
    let (mut sim, id) = start();
    sim.run_for(500);
    let (_, task, run, _) = sim.starts[0].clone();
    assert!(sim.tables.run_of(task).is_some_and(|run| run.seen_at.is_some()));
    let changes = apply_empty_list(&mut sim);
    assert!(changes.contains(&Change::EndUnread(task, run)), "{changes:?}");
    assert_eq!(sim.state(id), Some(State::Running), "it has begun");
}

#[test]
fn never_listed() {
    // Guards against a run that no list has shown and that counts as one whose end was dropped.
    let (mut sim, _) = start();
    while sim.starts.is_empty() {
        sim.run_for(batch_sim::STEP_MS);
    }
    let (_, task, run, _) = sim.starts[0].clone();
    assert!(sim.tables.run_of(task).is_some_and(|run| run.seen_at.is_none()));
    let changes: Vec<Change> = (0..10).flat_map(|_| apply_empty_list(&mut sim)).collect();
    assert!(
        matches!(changes[..], [Change::Lost(lost, number, _)] if (lost, number) == (task, run)),
        "{changes:?}"
    );
}
