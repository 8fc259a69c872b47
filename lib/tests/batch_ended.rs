//! Runs whose worker has ended before its next incarnation is known.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::order;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_lib::clock::Millis;

/// Number of workers of a simulation.
const WORKERS: usize = 3;

/// Returns a simulation whose workers have all restarted, which their agents have not noticed, with a
/// job of one task that has started; and the incarnations before.
fn restarted() -> (Simulation, Vec<u64>) {
    let mut sim = Simulation::new(1);
    let before = sim.workers.iter().map(|worker| worker.incarnation).collect();
    (0..WORKERS).for_each(|index| sim.restart_unnoticed(index));
    sim.submit("plain", "brno", vec![step(1, 8, 2000)], 2000);
    sim.run_for(100);
    assert_eq!(sim.starts.len(), 1);
    (sim, before)
}

/// Applies reports of agents that know the ends of the incarnations before, and no later ones.
fn report_ends(sim: &mut Simulation, before: &[u64]) {
    for (index, incarnation) in before.iter().enumerate() {
        let mut report = sim.report_of(index);
        (report.worker, report.list) = (None, None);
        report.ended_incarnation = *incarnation;
        report.ended_incarnations = [*incarnation].into_iter().collect();
        observe::apply_report(&mut sim.tables, Millis(sim.now), sim.fence, &report);
    }
}

#[test]
fn takeover_before_successor() {
    // A new planner ended a run that a start order had brought to the next incarnation.
    let (mut sim, before) = restarted();
    sim.take_over();
    report_ends(&mut sim, &before);
    (0..WORKERS).for_each(|index| sim.notice_restart(index));
    sim.run_until_ended(20_000);
    assert_eq!(sim.starts.len(), 1, "the task started again while it ran");
}

#[test]
fn stop_before_successor() {
    // The answer to a stop, that the incarnation is gone, ended a run on the next one.
    let (mut sim, before) = restarted();
    let (_, task, run, node): (_, Task, _, _) = sim.starts[0].clone();
    let index = sim.workers.iter().position(|worker| worker.node == node).expect("a worker");
    let verb = Verb::Start {
        payload: String::new(),
        checkpoint: String::new(),
        ticket: String::new(),
        expires: 0,
        capacity: Default::default(),
    };
    let start = Order { task, run, incarnation: before[index], verb };
    order::apply_answer(&mut sim.tables, Millis(sim.now), &start, &Answer::Unknown);
    report_ends(&mut sim, &before);
    let stop = Order { verb: Verb::Stop, ..start };
    order::apply_answer(&mut sim.tables, Millis(sim.now), &stop, &Answer::Gone);
    assert!(sim.tables.run_of(task).is_some(), "it runs on the next incarnation");
}
