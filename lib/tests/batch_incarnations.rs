//! What counts anew in each life of a worker or of an agent's process, and messages of an earlier life.

mod batch_sim;

use std::time::Duration;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::advice;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::order;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::report::Report;
use lavendergauge_lib::batch::table::Worker;
use lavendergauge_lib::clock::Millis;

/// Starts a job of one task on the only worker of a simulation.
fn start(duration_ms: u64) -> (Simulation, Task) {
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    sim.take_over();
    sim.run_for(100);
    sim.submit("plain", "brno", vec![step(1, 8, duration_ms)], duration_ms);
    sim.run_for(100);
    let task = sim.starts[0].1;
    (sim, task)
}

/// Returns the planner's row of the only worker.
fn row(sim: &Simulation) -> &Worker {
    &sim.tables.workers[sim.tables.nodes["side-0"]]
}

fn apply(sim: &mut Simulation, report: &Report) {
    observe::apply_report(&mut sim.tables, Millis(sim.now), sim.fence, report);
}

#[test]
fn overtaken_report() {
    // A report that a newer one had overtaken ended the runs of the worker's next incarnation.
    let (mut sim, _) = start(600);
    let overtaken = sim.report_of(0);
    sim.restart(0);
    sim.run_for(1200);
    sim.submit("plain", "brno", vec![step(1, 8, 2000)], 2000);
    sim.run_for(200);
    let (_, task, run, _) = sim.starts.last().cloned().expect("a start");
    apply(&mut sim, &overtaken);
    assert_eq!(sim.tables.run_of(task).map(|live| live.number), Some(run), "it is at work");
    assert!(sim.run_until_ended(20_000));
}

#[test]
fn report_of_earlier_process() {
    // A late report of an agent's earlier process ended the runs of the worker's next incarnation.
    let (mut sim, _) = start(600);
    let late = sim.report_of(0);
    sim.restart(0);
    sim.run_for(1200);
    sim.submit("plain", "brno", vec![step(1, 8, 60_000)], 60_000);
    sim.run_for(200);
    let (_, task, run, _) = sim.starts.last().cloned().expect("a start");
    let next_process = Report { session: 2, ..sim.report_of(0) };
    apply(&mut sim, &next_process);
    apply(&mut sim, &late);
    assert_eq!(sim.tables.run_of(task).map(|live| live.number), Some(run), "it is at work");
    assert_eq!(row(&sim).session, 2);
}

#[test]
fn other_list() {
    // Guards against a list of another incarnation, or of an earlier term, that ends a run.
    let (mut sim, task) = start(5000);
    sim.run_for(100);
    let mut report = sim.report_of(0);
    report.list.as_mut().expect("a list").running.clear();
    let list = report.list.clone().expect("a list");
    for (incarnation, fence) in
        [(list.incarnation + 1, list.fence), (list.incarnation, list.fence - 1)]
    {
        sim.now += 20;
        report.clock = sim.now;
        let (sent_at, list) = (sim.now, report.list.as_mut().expect("a list"));
        (list.incarnation, list.fence, list.sent_at) = (incarnation, fence, sent_at);
        apply(&mut sim, &report);
        assert!(sim.tables.run_of(task).is_some());
    }
}

#[test]
fn reread_end() {
    // An end that could not be read at first was skipped, and its task was started again.
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    sim.take_over();
    sim.run_for(100);
    let id = sim.submit("plain", "brno", vec![step(2, 4, 600)], 600);
    sim.run_for(200);
    sim.workers[0].reachable = false;
    sim.run_for(700);
    assert_eq!(sim.workers[0].ends.len(), 2);
    let readable = sim.report_of(0);
    let mut report = readable.clone();
    let mut partial = report.list.take();
    partial.iter_mut().for_each(|list| list.ends.remove(0).checkpoint.clear());
    report.partial_list = partial;
    apply(&mut sim, &report);
    sim.workers[0].reachable = true;
    sim.run_for(1000);
    assert_eq!((sim.state(id), sim.starts.len()), (Some(State::Completed), 2));
}

#[test]
fn unreadable_end() {
    // An end that could not be read was acknowledged with a later one, and dropped before it was recorded.
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    sim.take_over();
    sim.run_for(100);
    sim.submit("plain", "brno", vec![step(2, 4, 600)], 600);
    sim.run_for(200);
    sim.workers[0].reachable = false;
    sim.run_for(700);
    let readable = sim.report_of(0);
    let mut report = readable.clone();
    let mut partial = report.list.take();
    if let Some(list) = &mut partial {
        list.ends.remove(0);
        list.last_readable_end = Some(0);
    }
    report.partial_list = partial;
    apply(&mut sim, &report);
    sim.run_for(200);
    assert!(row(&sim).unrecorded.is_empty());
    assert_eq!(row(&sim).acknowledged, 0);
    apply(&mut sim, &readable);
    assert_eq!(row(&sim).acknowledged, 0, "it is not recorded yet");
    sim.run_for(200);
    assert_eq!(row(&sim).acknowledged, 2);
}

#[test]
fn lower_end_numbers() {
    // Guards against ends of a new incarnation that count as known, or are acknowledged unrecorded.
    let (mut sim, _) = start(300);
    for _ in 0..4 {
        sim.submit("plain", "brno", vec![step(1, 8, 300)], 300);
        assert!(sim.run_until_ended(2000));
    }
    sim.run_for(100);
    assert_eq!((row(&sim).newest_end_seen, row(&sim).acknowledged), (5, 5));
    sim.restart(0);
    sim.run_for(100);
    assert_eq!((row(&sim).newest_end_seen, row(&sim).acknowledged), (0, 0));
    let id = sim.submit("plain", "brno", vec![step(1, 8, 300)], 300);
    sim.run_for(40);
    sim.store_down = true;
    sim.run_for(600);
    assert_eq!((row(&sim).newest_end_seen, row(&sim).acknowledged), (1, 0));
    sim.store_down = false;
    sim.run_for(100);
    assert_eq!((row(&sim).newest_end_seen, row(&sim).acknowledged), (1, 1));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn unrecorded_end() {
    // Guards against an end that is acknowledged although only a deposed planner knew it.
    let (mut sim, task) = start(300);
    sim.store_down = true;
    sim.run_for(500);
    assert!(sim.tables.task_state(task).is_some_and(|state| state.done));
    assert_eq!((row(&sim).acknowledged, sim.workers[0].ends.len()), (0, 1));
    sim.take_over();
    sim.store_down = false;
    sim.run_for(500);
    assert!(sim.tables.task_state(task).is_some_and(|state| state.done));
    assert_eq!((sim.starts.len(), sim.workers[0].ends.len()), (1, 0));
}

#[test]
fn earlier_stop_answer() {
    // Guards against an earlier incarnation's answer to a stop that ends a run on the next one.
    let (mut sim, task) = start(5000);
    let (run, before) = (sim.starts[0].2, sim.workers[0].incarnation);
    let key = sim.tables.task_state(task).and_then(|state| state.live).expect("a run");
    sim.tables.runs[key].seen_at = None;
    sim.workers[0].incarnation += 1000;
    let mut report = sim.report_of(0);
    report.list = None;
    apply(&mut sim, &report);
    let stop = Order { task, run, incarnation: before, verb: Verb::Stop };
    for answer in [Answer::Done(sim.now), Answer::Gone] {
        order::apply_answer(&mut sim.tables, Millis(sim.now), &stop, &answer);
        let live = sim.tables.run_of(task).expect("it may be on the next incarnation");
        assert!(!live.is_stop_acknowledged);
    }
}

#[test]
fn earlier_ticket() {
    // Guards against a ticket for an earlier incarnation that a start on the next one carries.
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    sim.take_over();
    sim.require_advice("plain", 5000);
    sim.run_for(100);
    sim.submit("plain", "brno", vec![step(1, 8, 300)], 300);
    sim.run_for(40);
    let questions = advice::questions(&mut sim.tables, Millis(sim.now));
    assert_eq!(questions.len(), 1);
    sim.restart(0);
    sim.run_for(100);
    let answer = [("side-0".to_owned(), "ticket".to_owned())];
    let (asked_at, valid) = (Millis(sim.now), Duration::from_secs(5));
    advice::apply_answer(&mut sim.tables, asked_at, &questions[0], &answer, valid);
    sim.run_for(400);
    assert!(sim.starts.is_empty(), "the ticket is not for this incarnation");
    let questions = advice::questions(&mut sim.tables, Millis(sim.now));
    advice::apply_answer(&mut sim.tables, Millis(sim.now), &questions[0], &answer, valid);
    assert!(sim.run_until_ended(2000));
}

#[test]
fn new_session() {
    // Guards against times of an agent's earlier clock that decide when a run has ended.
    let (mut sim, task) = start(5000);
    let key = sim.tables.task_state(task).and_then(|state| state.live).expect("a run");
    let mut report = sim.report_of(0);
    report.session = 2;
    let offset = 90_000;
    report.clock -= offset;
    let list = report.list.as_mut().expect("a list");
    (list.sent_at, list.received_at) = (list.sent_at - offset, list.received_at - offset);
    let without_run = {
        let mut report = report.clone();
        report.list.as_mut().expect("a list").running.clear();
        report
    };
    apply(&mut sim, &report);
    assert_eq!(sim.tables.runs[key].settled_at, Some(0));
    assert_eq!(row(&sim).grant_until, sim.now - offset + 4000);
    apply(&mut sim, &without_run);
    assert!(sim.tables.run_of(task).is_none(), "the new process proves its end");
}

#[test]
fn earlier_intent() {
    // Guards against a notice from before a cancellation that starts the job's tasks again.
    let (mut sim, task) = start(5000);
    let id = task.instance.job;
    let earlier = sim.records[&id].clone();
    sim.cancel(id);
    sim.run_for(700);
    let (now, wall) = (Millis(sim.now), sim.wall());
    records::load_record(&mut sim.tables, now, wall, id, earlier);
    sim.run_for(1000);
    assert_eq!((sim.state(id), sim.starts.len()), (Some(State::Cancelled), 1));
}
