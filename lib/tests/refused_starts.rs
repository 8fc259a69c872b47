//! The state of jobs whose starts are refused or not answered: it follows what workers have said.

mod batch_sim;

use batch_sim::DOWN_MS;
use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Repeat;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::progress::Task;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::table;
use lavendergauge_lib::clock::Millis;
use smallvec::smallvec;

/// Time after which the state is to be right again, in milliseconds.
const SETTLED_MS: u64 = 100;
/// Time in which several starts are refused, in milliseconds.
const LONG_MS: u64 = 6000;

fn set_refusing(sim: &mut Simulation, refuses: bool) {
    sim.workers.iter_mut().for_each(|worker| worker.refuses = refuses);
}

/// Lets a job that runs once, or one with two occurrences, meet workers that refuse all starts.
fn submit_refused(sim: &mut Simulation, is_recurring: bool) -> Id {
    set_refusing(sim, true);
    let id = sim.submit("plain", "brno", vec![step(2, 4, 400)], 400);
    if is_recurring {
        repeat(sim, id);
    }
    id
}

/// Makes a job that was just submitted recur, with two occurrences that are due.
fn repeat(sim: &mut Simulation, id: Id) {
    let record = sim.records.get_mut(&id).unwrap();
    let first_ms = record.accepted_ms - 2000;
    record.submission.repeat = Repeat { count: 2, first_ms, interval_ms: 1000 };
    let record = record.clone();
    sim.tables.remove_job(id);
    let (now, wall) = (Millis(sim.now), sim.wall());
    records::load_record(&mut sim.tables, now, wall, id, record);
}

/// Returns the number of the newest run that is recorded of a job.
fn newest_run(sim: &Simulation, id: Id) -> u32 {
    let rows = sim.stored[&id].occurrences.iter();
    rows.flat_map(|row| row.steps.iter().flatten()).map(|task| task.run).max().unwrap_or(0)
}

/// Checks the state that a job has for `ms`.
fn expect_for(sim: &mut Simulation, id: Id, state: State, ms: u64) {
    let until = sim.now + ms;
    while sim.now < until {
        sim.run_for(batch_sim::STEP_MS);
        assert_eq!(sim.state(id), Some(state), "at {}", sim.now);
    }
}

#[test]
fn refused_counts_as_started() {
    for is_recurring in [false, true] {
        let mut sim = Simulation::new(1);
        let id = submit_refused(&mut sim, is_recurring);
        expect_for(&mut sim, id, State::Queued, LONG_MS);
        assert!(1 < newest_run(&sim, id), "several starts were refused");
        set_refusing(&mut sim, false);
        while sim.starts.is_empty() {
            sim.run_for(batch_sim::STEP_MS);
        }
        assert_eq!(sim.state(id), Some(State::Running));
        assert!(sim.run_until_ended(20_000));
        assert_eq!(sim.state(id), Some(State::Completed));
    }
}

#[test]
fn refused_before_takeover() {
    for is_recurring in [false, true] {
        for at in (0..2000).step_by(20) {
            let mut sim = Simulation::new(1);
            let id = submit_refused(&mut sim, is_recurring);
            sim.run_for(at);
            sim.take_over();
            sim.run_for(SETTLED_MS);
            expect_for(&mut sim, id, State::Queued, 1000);
            sim.take_over();
            sim.run_for(SETTLED_MS);
            assert_eq!(sim.state(id), Some(State::Queued), "taken over again");
            set_refusing(&mut sim, false);
            assert!(sim.run_until_ended(20_000), "taken over after {at} ms");
            assert_eq!(sim.state(id), Some(State::Completed));
        }
    }
}

#[test]
fn refused_once_it_ran() {
    // Guards against a job that is shown as queued again, since later starts are refused.
    for ending in ["done", "failed", "crashed", "stopped"] {
        for takes_over in [false, true] {
            for is_recurring in [false, true] {
                let mut sim = Simulation::new(1);
                let second = Step { after: smallvec![0], ..step(1, 8, 600) };
                let id = sim.submit("plain", "brno", vec![step(1, 8, 600), second], 600);
                if is_recurring {
                    repeat(&mut sim, id);
                }
                sim.run_for(200);
                assert_eq!(sim.state(id), Some(State::Running));
                match ending {
                    "done" => sim.run_for(300),
                    "failed" => sim.workers.iter_mut().for_each(|worker| worker.fails = true),
                    "crashed" => (0..3).for_each(|index| sim.crash(index)),
                    _ => sim.workers.iter_mut().for_each(|worker| worker.ready = false),
                }
                set_refusing(&mut sim, true);
                expect_for(&mut sim, id, State::Running, DOWN_MS + 2000);
                sim.workers.iter_mut().for_each(|worker| worker.ready = true);
                for _ in 0..2 {
                    if takes_over {
                        sim.take_over();
                        assert_eq!(sim.state(id), Some(State::Running), "{ending}");
                    }
                    expect_for(&mut sim, id, State::Running, 2000);
                }
                assert!(sim.workers.iter().all(|worker| worker.runs.is_empty()), "{ending}");
            }
        }
    }
}

#[test]
fn answer_lost() {
    // Guards against a job that is shown as queued although a worker lists its run, and against one that
    // counts as started since a start that was not carried out got no answer.
    for is_carried_out in [true, false] {
        let mut sim = Simulation::new(1);
        for worker in &mut sim.workers {
            (worker.loses_answers, worker.reachable) = (is_carried_out, is_carried_out);
        }
        let id = sim.submit("plain", "brno", vec![step(1, 8, 60_000)], 60_000);
        if is_carried_out {
            sim.run_for(SETTLED_MS);
            assert_eq!(sim.starts.len(), 1);
            expect_for(&mut sim, id, State::Running, LONG_MS);
        } else {
            expect_for(&mut sim, id, State::Queued, LONG_MS);
            assert_eq!((newest_run(&sim, id) != 0, sim.starts.len()), (true, 0));
        }
    }
}

#[test]
fn run_in_doubt_at_takeover() {
    // Guards against a running job that is shown as queued until its worker has been reached.
    for has_started in [true, false] {
        let mut sim = Simulation::new(1);
        if !has_started {
            sim.workers.iter_mut().for_each(|worker| worker.reachable = false);
        }
        let id = sim.submit("plain", "brno", vec![step(1, 8, 60_000)], 60_000);
        sim.run_for(40);
        assert_eq!(sim.starts.len(), usize::from(has_started));
        sim.workers.iter_mut().for_each(|worker| worker.reachable = false);
        sim.take_over();
        let bound = table::takeover_bound().as_millis() as u64;
        expect_for(&mut sim, id, State::Running, bound - 500);
        sim.workers.iter_mut().for_each(|worker| (worker.reachable, worker.refuses) = (true, true));
        sim.run_for(SETTLED_MS);
        let state = if has_started { State::Running } else { State::Queued };
        expect_for(&mut sim, id, state, 1000);
    }
}

#[test]
fn crash_before_first_list() {
    // Guards against a run that only the crash of its worker shows.
    let mut sim = Simulation::new(1);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 60_000)], 60_000);
    while sim.starts.is_empty() {
        sim.run_for(batch_sim::STEP_MS);
    }
    sim.take_over();
    (0..3).for_each(|index| sim.crash(index));
    set_refusing(&mut sim, true);
    expect_for(&mut sim, id, State::Running, 2 * DOWN_MS);
    sim.take_over();
    expect_for(&mut sim, id, State::Running, 1000);
}

#[test]
fn recorded_by_earlier_version() {
    // Guards against a job that an earlier version showed as running and that is shown as queued again.
    for (run, state) in [(0, State::Queued), (2, State::Running)] {
        let mut sim = Simulation::new(1);
        let id = submit_refused(&mut sim, false);
        sim.run_for(SETTLED_MS);
        let mut progress: Progress = sim.stored[&id].clone();
        progress.unstarted = false;
        let task = Task { run, ..Task::default() };
        progress.occurrences[0].steps = vec![vec![task; 2]];
        sim.stored.insert(id, progress);
        sim.take_over();
        assert_eq!(sim.state(id), Some(state));
        expect_for(&mut sim, id, state, 1000);
    }
}
