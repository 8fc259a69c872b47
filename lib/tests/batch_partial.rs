//! Workers' lists of which an item cannot be read, and records that cannot be read.

mod batch_sim;

use batch_sim::MAX_LISTED_ENDS;
use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::change::Change;
use lavendergauge_lib::batch::hold;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::report::End;
use lavendergauge_lib::batch::report::Ending;
use lavendergauge_lib::clock::Millis;

/// Starts a job of one task, and returns its task and the index of its worker.
fn start(sim: &mut Simulation, duration_ms: u64) -> (Id, Task, usize) {
    let id = sim.submit("plain", "brno", vec![step(1, 8, duration_ms)], duration_ms);
    sim.run_for(300);
    let (_, task, _, node) = sim.starts[0].clone();
    (id, task, sim.workers.iter().position(|worker| worker.node == node).unwrap())
}

#[test]
fn omitted_run() {
    // A run whose item could not be read was taken for one that has ended.
    for takes_over in [false, true] {
        let mut sim = Simulation::new(1);
        let (id, task, index) = start(&mut sim, 3000);
        sim.workers[index].omitted.insert(task);
        sim.run_for(500);
        if takes_over {
            sim.take_over();
        }
        assert!(sim.run_until_ended(10_000));
        assert_eq!((sim.state(id), sim.starts.len()), (Some(State::Completed), 1));
    }
}

#[test]
fn end_beyond_list() {
    // A run whose end was beyond the first 500 was stopped, taken for lost and started again.
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    sim.take_over();
    sim.run_for(100);
    let first = sim.submit("plain", "brno", vec![step(1, 1, 300)], 300);
    let last = sim.submit("plain", "brno", vec![step(1, 1, 600)], 600);
    sim.run_for(100);
    sim.store_down = true;
    sim.run_for(300);
    let worker = &mut sim.workers[0];
    assert_eq!(worker.ends.len(), 1, "it is kept until it is recorded");
    for _ in 0..MAX_LISTED_ENDS {
        worker.last_end += 1;
        let end = End { number: worker.last_end, ..worker.ends[0].clone() };
        worker.ends.push(end);
    }
    sim.run_for(8000);
    sim.store_down = false;
    assert!(sim.run_until_ended(5000));
    assert_eq!(
        (sim.state(first), sim.state(last)),
        (Some(State::Completed), Some(State::Completed))
    );
    assert_eq!(sim.starts.len(), 2);
}

#[test]
fn omitted_without_progress() {
    // What is never listed makes no progress: it is stopped, and replaced once it has ended.
    let mut sim = Simulation::new(1);
    let (id, task, index) = start(&mut sim, 60_000);
    sim.workers[index].omitted.insert(task);
    sim.run_for(15_000);
    assert_eq!(sim.starts.len(), 2, "the simulation checks that they do not overlap");
    assert_ne!(sim.starts[1].3, sim.workers[index].node);
    assert!(sim.run_until_ended(90_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn other_runs_continue() {
    let mut sim = Simulation::new(1);
    sim.workers.truncate(1);
    let id = sim.submit("plain", "brno", vec![step(2, 4, 4000)], 4000);
    sim.run_for(300);
    let task = sim.starts[0].1;
    sim.workers[0].omitted.insert(task);
    assert!(sim.run_until_ended(20_000));
    assert_eq!((sim.state(id), sim.starts.len()), (Some(State::Completed), 2));
}

#[test]
fn unknown_run_numbers() {
    // The end of a run that was never ordered counted as the newest failure, and the ones
    // that followed did not count. A stop of such a run would forbid the runs to come.
    let mut sim = Simulation::new(1);
    let (id, task, index) = start(&mut sim, 3000);
    let end = End {
        number: 1,
        task,
        run: u32::MAX,
        ending: Ending::Failed,
        how: "failed".to_owned(),
        checkpoint: String::new(),
    };
    sim.workers[index].ends.push(end);
    sim.workers[index].last_end = 1;
    sim.run_for(300);
    assert_eq!(sim.tables.task_state(task).unwrap().failures, 0);
    let mut report = sim.report_of(index);
    report.list.as_mut().unwrap().running[0].run = u32::MAX;
    let mut tables = sim.tables.clone();
    let changes = observe::apply_report(&mut tables, Millis(sim.now), sim.fence, &report);
    assert!(changes.contains(&Change::NeverOrdered(task, u32::MAX)));
    assert!(!changes.iter().any(|change| matches!(change, Change::Unexpected(..))));
    assert!(sim.run_until_ended(10_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn held_jobs() {
    // A job whose progress could not be read was started anew.
    let mut sim = Simulation::new(1);
    let (id, task, index) = start(&mut sim, 3000);
    let progress = sim.stored.remove(&id).unwrap();
    sim.take_over();
    hold::hold(&mut sim.tables, id);
    let sound = sim.submit("plain", "brno", vec![step(1, 8, 200)], 200);
    sim.run_for(6000);
    assert_eq!(sim.starts.iter().filter(|start| start.1 == task).count(), 1);
    assert_eq!(sim.state(sound), Some(State::Completed));
    assert_eq!(sim.workers[index].ends.len(), 1, "the end is kept");
    // A planner that can read it takes note of the end.
    sim.stored.insert(id, progress);
    sim.take_over();
    sim.run_for(1000);
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn held_job_cancelled() {
    // The ends of a held job that is cancelled are not kept for ever.
    let mut sim = Simulation::new(1);
    let (id, _, index) = start(&mut sim, 1000);
    sim.stored.remove(&id);
    sim.take_over();
    hold::hold(&mut sim.tables, id);
    sim.run_for(2000);
    assert_eq!(sim.workers[index].ends.len(), 1);
    sim.cancel(id);
    sim.run_for(500);
    assert_eq!((sim.state(id), sim.workers[index].ends.len()), (Some(State::Cancelled), 0));
}

#[test]
fn foreign_progress() {
    // Progress with other steps or tasks than the job made the planner end by itself.
    let mut sim = Simulation::new(1);
    let (id, _, _) = start(&mut sim, 3000);
    let sound = sim.stored[&id].clone();
    let spoil: [fn(&mut Progress); 4] = [
        |progress| progress.occurrences[0].steps.push(Vec::new()),
        |progress| progress.occurrences[0].steps[0].clear(),
        |progress| progress.occurrences[0].number = 7,
        |progress| progress.from = 9,
    ];
    for spoil in spoil {
        let mut progress = sound.clone();
        spoil(&mut progress);
        sim.stored.insert(id, progress);
        sim.take_over();
        assert!(hold::is_held(&sim.tables, id));
        sim.run_for(200);
    }
}

#[test]
fn unsound_record() {
    // A record with more tasks than memory holds made each planner that read it end by itself.
    let mut sim = Simulation::new(1);
    let (now, wall) = (Millis(sim.now), sim.wall());
    let sound = sim.submit("plain", "brno", vec![step(1, 8, 200)], 200);
    let after = Step { after: [3].into_iter().collect(), ..step(1, 1, 100) };
    for (index, step) in [step(u32::MAX, 1, 100), after].into_iter().enumerate() {
        let mut record = sim.records[&sound].clone();
        record.submission.steps = vec![step];
        let id = Id(900 + index as u64);
        records::load_record(&mut sim.tables, now, wall, id, record);
        assert!(hold::is_held(&sim.tables, id));
    }
    sim.run_for(1000);
    assert_eq!(sim.state(sound), Some(State::Completed));
}
