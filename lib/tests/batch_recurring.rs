//! Recurring jobs with many occurrences.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Repeat;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::progress;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::clock::Millis;

/// Most steps of one recurring job that may wait at a time.
const MAX_WAITING: usize = 1000;

/// Submits a job of which `count` occurrences are overdue, one second apart.
fn submit_overdue(sim: &mut Simulation, count: u32, tasks: u32) -> Id {
    let id = sim.submit("plain", "brno", vec![step(tasks, 8, 200)], 200);
    let record = sim.records.get_mut(&id).unwrap();
    let first_ms = record.accepted_ms - u64::from(count) * 1000;
    record.submission.repeat = Repeat { count, first_ms, interval_ms: 1000 };
    let record = record.clone();
    sim.tables.remove_job(id);
    let (now, wall) = (Millis(sim.now), sim.wall());
    records::load_record(&mut sim.tables, now, wall, id, record);
    id
}

#[test]
fn many_overdue() {
    // The progress of a recurring job held all its overdue occurrences, more than the store
    // takes in one value.
    let mut sim = Simulation::new(1);
    let id = submit_overdue(&mut sim, 50_000, 1);
    sim.run_for(200);
    let open = sim.tables.jobs[&id].occurrences.len();
    assert!(2 * open <= sim.tables.max_open_tasks, "{open} occurrences of a task and a step");
    assert!(!sim.starts.is_empty());
}

#[test]
fn large_occurrences() {
    // An occurrence with which too many tasks would be open begins after the one before has ended.
    let mut sim = Simulation::new(1);
    let id = submit_overdue(&mut sim, 3, 20_000);
    sim.run_for(200);
    assert_eq!(sim.tables.jobs[&id].occurrences.len(), 1);
}

#[test]
fn first_one_stuck() {
    // Occurrences that have ended are not kept while an earlier one still runs.
    let mut sim = Simulation::new(1);
    let id = submit_overdue(&mut sim, 60, 1);
    let is_first = |start: &&(u64, Task, u32, String)| start.1.instance.occurrence == 0;
    while sim.starts.iter().find(is_first).is_none() {
        sim.run_for(20);
        assert!(sim.now < 200_000, "the first occurrence starts");
    }
    let first = sim.starts.iter().find(is_first).unwrap().3.clone();
    let index = sim.workers.iter().position(|worker| worker.node == first).unwrap();
    sim.workers[index].is_paused = true;
    sim.run_for(3000);
    let job = &sim.tables.jobs[&id];
    assert_eq!(job.from, 0, "the first occurrence has not ended");
    let (begun, kept) = (job.next, job.occurrences.len());
    let ended =
        begun as usize - job.occurrences.values().filter(|row| !row.steps[0][0].done).count();
    assert!(
        10 < ended && kept <= begun as usize - ended + 1,
        "{kept} of {begun} kept, {ended} ended"
    );
    sim.take_over();
    assert_eq!(sim.tables.jobs[&id].next, begun);
    sim.workers[index].is_paused = false;
    sim.run_for(20_000);
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn few_waiting() {
    // The planner ranked all overdue occurrences in each tick, and all other jobs waited for it.
    let mut sim = Simulation::new(1);
    let id = submit_overdue(&mut sim, 16_000, 1);
    sim.run_for(200);
    let waiting = sim.tables.jobs[&id].waiting.len();
    assert!((MAX_WAITING / 2..=MAX_WAITING).contains(&waiting), "{waiting} steps wait");
}

#[test]
fn backlog_keeps_workers_busy() {
    // Further occurrences begin as soon as earlier ones have found their places.
    let mut sim = Simulation::new(40);
    let id = submit_overdue(&mut sim, 3000, 1);
    let started_at = sim.now;
    assert!(sim.run_until_ended(20_000), "{:?}", sim.state(id));
    // 120 workers run one task of 200 ms at a time.
    let ideal_ms = 3000 / 120 * 200;
    let took_ms = sim.now - started_at;
    assert!(took_ms < 2 * ideal_ms, "{took_ms} ms");
}

#[test]
fn stored_backlog() {
    // An earlier version had begun all overdue occurrences, and its progress lists them.
    let mut sim = Simulation::new(1);
    let count = 16_000;
    let id = submit_overdue(&mut sim, count, 1);
    let task = |run| progress::Task { run, done: run != 0, ..progress::Task::default() };
    let occurrence = |number| progress::Occurrence {
        number,
        steps: vec![vec![task(u32::from(number.is_multiple_of(2) && number < 100))]],
    };
    let occurrences = (0..count).map(occurrence).collect();
    sim.stored.insert(id, Progress { occurrences, ..Progress::default() });
    sim.take_over();
    sim.run_for(200);
    let job = &sim.tables.jobs[&id];
    assert!(job.waiting.len() <= MAX_WAITING, "{} steps wait", job.waiting.len());
    assert!(99 <= job.next, "occurrences that have had runs are kept");
    let is_done = |start: &&(u64, Task, u32, String)| {
        let number = start.1.instance.occurrence;
        number < 100 && number.is_multiple_of(2)
    };
    assert_eq!(sim.starts.iter().find(is_done), None, "no occurrence runs again");
}
