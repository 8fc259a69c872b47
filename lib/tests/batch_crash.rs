//! Tasks that crash the workers that start them, and sound tasks on workers that crash for other
//! reasons.

mod batch_sim;

use std::collections::BTreeSet;

use batch_sim::DOWN_MS;
use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::crash::Ledger;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::StepInstance;
use lavendergauge_lib::batch::job::Task;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Most starts of a task that crashes its workers: three crashes, and less than three more starts.
const MOST_STARTS: usize = 5;

fn task(job: Id, index: u32) -> Task {
    Task { instance: StepInstance { job, occurrence: 0, step: 0 }, index }
}

fn start_count(sim: &Simulation, task: Task) -> usize {
    sim.starts.iter().filter(|(_, started, _, _)| *started == task).count()
}

/// Submits a job all of whose tasks crash their workers.
fn submit_crashing(sim: &mut Simulation, queue: &str, steps: Vec<Step>) -> Id {
    let count = steps[0].tasks;
    let id = sim.submit(queue, "brno", steps, 4000);
    sim.crashing.extend((0..count).map(|index| task(id, index)));
    id
}

/// Returns the tasks of other jobs that crashes have ended from a time on.
fn bystanders(sim: &Simulation, at_fault: Id, since: u64) -> BTreeSet<Task> {
    let later = sim.crashes.iter().filter(|(at, _)| since < *at);
    let lost = later.flat_map(|(_, tasks)| tasks.iter().copied());
    lost.filter(|task| task.instance.job != at_fault).collect()
}

#[test]
fn endless_crashes() {
    for (tasks, gang) in [(1, false), (3, false), (3, true)] {
        let mut sim = Simulation::new(2);
        let others: Vec<Id> =
            (0..6).map(|_| sim.submit("plain", "praha", vec![step(3, 1, 5000)], 5000)).collect();
        sim.run_for(1500);
        let id = submit_crashing(&mut sim, "urgent", vec![Step { gang, ..step(tasks, 2, 4000) }]);
        assert!(sim.run_until_ended(60_000), "{tasks} {gang}: {} crashes", sim.crashes.len());
        assert_eq!(sim.state(id), Some(State::Failed));
        for index in 0..tasks {
            assert!(start_count(&sim, task(id, index)) <= MOST_STARTS);
        }
        for other in others {
            assert_eq!(sim.state(other), Some(State::Completed));
        }
    }
}

#[test]
fn forgotten_crashes() {
    // A leader is lost a while after each crash, before or after the worker is back.
    for after in [20, 500, DOWN_MS - 20, DOWN_MS, DOWN_MS + 20, DOWN_MS + 200] {
        let mut sim = Simulation::new(2);
        let id = submit_crashing(&mut sim, "plain", vec![step(1, 2, 4000)]);
        let mut handled = 0;
        while sim.submitted[&id].ended.is_none() && sim.now < 300_000 {
            sim.run_for(20);
            if handled < sim.crashes.len() && sim.crashes[handled].0 + after <= sim.now {
                handled += 1;
                sim.take_over();
            }
        }
        assert_eq!(sim.state(id), Some(State::Failed), "after {after} ms");
        assert!(start_count(&sim, task(id, 0)) <= MOST_STARTS, "after {after} ms");
    }
}

#[test]
fn bystanders_lost() {
    // Jobs that started beside the one at fault are lost with it again when they start beside it again.
    let mut sim = Simulation::new(3);
    let others: Vec<Id> =
        (0..4).map(|_| sim.submit("plain", "praha", vec![step(5, 1, 3000)], 3000)).collect();
    let id = submit_crashing(&mut sim, "plain", vec![step(1, 1, 3000)]);
    sim.run_for(500);
    assert_eq!(sim.crashes.len(), 1);
    let first = sim.crashes[0].0;
    assert!(!bystanders(&sim, id, 0).is_empty());
    for _ in 0..10 {
        sim.run_for(1000);
        sim.submit("plain", "praha", vec![step(3, 1, 2000)], 2000);
    }
    assert!(sim.run_until_ended(60_000));
    assert_eq!(bystanders(&sim, id, first), BTreeSet::new());
    assert_eq!(sim.state(id), Some(State::Failed));
    for other in others {
        assert_eq!(sim.state(other), Some(State::Completed));
    }
}

#[test]
fn lost_answers() {
    // One crash counted as two against a task with two starts on the worker, of which one was in doubt.
    let mut sim = Simulation::new(1);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 4000)], 4000);
    sim.run_for(100);
    let newest = sim.starts.last().expect("a start").clone();
    let index = sim.workers.iter().position(|worker| worker.node == newest.3).expect("its worker");
    sim.workers[index].ledger.begin_start(task(id, 0), 2, sim.now);
    sim.crash(index);
    sim.run_for(DOWN_MS + 100);
    let crashes = sim.tables.task_state(task(id, 0)).expect("a task").crashes;
    assert_eq!((crashes.count, crashes.strikes), (1, 1));
    assert!(sim.run_until_ended(60_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn doubted_start() {
    // A job was given up after one crash, since a start in doubt had counted like a crash under it.
    let mut sim = Simulation::new(1);
    let busy = Step { max_per_worker: 1, ..step(2, 8, 60_000) };
    sim.submit("plain", "praha", vec![busy], 60_000);
    sim.run_for(100);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 3000)], 3000);
    let index = sim.workers.iter().position(|worker| worker.runs.is_empty()).expect("an idle one");
    sim.run_for(20);
    assert!(sim.workers[index].runs.contains_key(&task(id, 0)));
    sim.workers[index].ledger = Ledger::default();
    sim.workers[index].ledger.begin_start(task(id, 0), 1, sim.now);
    sim.crash(index);
    sim.run_for(DOWN_MS + 500);
    assert!(sim.workers[index].runs.contains_key(&task(id, 0)), "it starts again");
    sim.crash(index);
    sim.run_for(DOWN_MS + 200);
    assert_ne!(sim.state(id), Some(State::Failed));
    assert!(sim.run_until_ended(120_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn late_crash() {
    // A task that crashes each worker a while after its start was started without end, since other tasks
    // had just started beside it. A worker that is down for long is replaced before its crash is reported.
    for down_ms in [DOWN_MS, 2 * DOWN_MS] {
        let mut sim = Simulation::new(1);
        let id = sim.submit("plain", "brno", vec![step(1, 2, 20_000)], 20_000);
        let mut others = Vec::new();
        while sim.submitted[&id].ended.is_none() && sim.now < 300_000 {
            others.push(sim.submit("plain", "praha", vec![step(6, 1, 500)], 500));
            for _ in 0..20 {
                sim.run_for(20);
                let is_due = |worker: &batch_sim::Worker| {
                    let run = worker.runs.get(&task(id, 0));
                    run.is_some_and(|run| run.began_at + 1500 <= sim.now)
                };
                if let Some(index) = sim.workers.iter().position(is_due) {
                    sim.crash(index);
                    sim.workers[index].down_until = sim.now + down_ms;
                }
            }
        }
        assert_eq!(sim.state(id), Some(State::Failed));
        let starts = start_count(&sim, task(id, 0));
        assert!(starts <= MOST_STARTS, "{starts} starts, {down_ms} ms");
        assert!(sim.run_until_ended(60_000));
        for other in others {
            assert_eq!(sim.state(other), Some(State::Completed));
        }
    }
}

#[test]
fn explained_crashes() {
    // Crashes under a sound task that others have caused do not count against it any more once those
    // are given up.
    let mut sim = Simulation::new(1);
    let busy = Step { max_per_worker: 1, ..step(2, 8, 200_000) };
    sim.submit("plain", "praha", vec![busy], 200_000);
    sim.run_for(100);
    let sound = sim.submit("plain", "praha", vec![step(1, 4, 120_000)], 120_000);
    for _ in 0..3 {
        sim.run_for(2000);
        let id = submit_crashing(&mut sim, "plain", vec![step(1, 4, 1000)]);
        sim.run_for(4 * DOWN_MS);
        assert_eq!(sim.state(id), Some(State::Failed));
    }
    let crashes = sim.tables.task_state(task(sound, 0)).expect("a task").crashes;
    assert_eq!(crashes.count, 0, "{crashes:?}");
}

#[test]
fn failed_beside() {
    // A job that failed for reasons of its own was taken for the cause of crashes under it and others.
    let mut sim = Simulation::new(1);
    let busy = Step { max_per_worker: 1, ..step(2, 8, 200_000) };
    sim.submit("plain", "praha", vec![busy], 200_000);
    sim.run_for(100);
    let sound = sim.submit("plain", "praha", vec![step(1, 4, 120_000)], 120_000);
    let failing = sim.submit("plain", "brno", vec![step(1, 4, 120_000)], 120_000);
    sim.run_for(2000);
    let node = &sim.starts.iter().find(|start| start.1 == task(sound, 0)).expect("a start").3;
    let index = sim.workers.iter().position(|worker| worker.node == *node).expect("its worker");
    sim.crash(index);
    sim.run_for(DOWN_MS + 200);
    let crashes = |sim: &Simulation, id| sim.tables.task_state(task(id, 0)).unwrap().crashes.count;
    assert_eq!((crashes(&sim, sound), crashes(&sim, failing)), (1, 1));
    let failures = sim.tables.task_state_mut(task(failing, 0)).expect("a task");
    failures.failures = 3;
    sim.tables.touch(failing);
    sim.run_for(100);
    assert_eq!(sim.state(failing), Some(State::Failed));
    assert_eq!(crashes(&sim, sound), 1, "the crash is not explained");
}

#[test]
fn sound_jobs() {
    // Workers that crash by turns take sound jobs down again and again.
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(4);
        let unstable: Vec<usize> = (0..3).map(|_| rng.random_range(0..12)).collect();
        let mut ids = Vec::new();
        for second in 0..40 {
            if second % 2 == 0 {
                let gang = rng.random_bool(0.5);
                let (tasks, work) = (rng.random_range(1..6), rng.random_range(500..6000));
                ids.push(sim.submit(
                    "plain",
                    "brno",
                    vec![Step { gang, ..step(tasks, 2, work) }],
                    work,
                ));
            }
            for index in &unstable {
                if sim.workers[*index].down_until <= sim.now && rng.random_bool(0.3) {
                    sim.crash(*index);
                }
            }
            sim.run_for(1000);
        }
        assert!(sim.run_until_ended(60_000), "seed {seed}");
        for id in ids {
            assert_eq!(sim.state(id), Some(State::Completed), "seed {seed}: {id}");
        }
    }
}

#[test]
fn common_cause() {
    // Sound jobs whose workers crashed beside many others twice right after their start were given up.
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(4);
        let mut ids = Vec::new();
        for _ in 0..3 {
            ids.extend((0..8).map(|_| sim.submit("plain", "brno", vec![step(1, 8, 2000)], 2000)));
            sim.run_for(rng.random_range(100..400));
            for _ in 0..5 {
                let index = rng.random_range(0..12);
                if sim.workers[index].down_until <= sim.now {
                    sim.crash(index);
                }
            }
            sim.run_for(DOWN_MS + rng.random_range(100..400));
        }
        assert!(sim.run_until_ended(60_000), "seed {seed}");
        for id in ids {
            assert_eq!(sim.state(id), Some(State::Completed), "seed {seed}: {id}");
        }
    }
}

#[test]
fn same_worker() {
    // The second task that crashed the only free worker did so five times: the worker counted as unstable.
    let mut sim = Simulation::new(1);
    let busy = Step { max_per_worker: 1, ..step(2, 8, 60_000) };
    sim.submit("plain", "praha", vec![busy], 60_000);
    sim.run_for(100);
    for _ in 0..2 {
        let id = submit_crashing(&mut sim, "plain", vec![step(1, 8, 1000)]);
        sim.run_for(2 * DOWN_MS + 500);
        assert_eq!(sim.state(id), Some(State::Failed));
        assert_eq!(start_count(&sim, task(id, 0)), 2);
    }
}

#[test]
fn crashing_gang() {
    // Crashes of three workers at a time by one gang are no common cause.
    let mut sim = Simulation::new(2);
    let id = submit_crashing(&mut sim, "plain", vec![Step { gang: true, ..step(3, 8, 1000) }]);
    assert!(sim.run_until_ended(30_000));
    assert_eq!(sim.state(id), Some(State::Failed));
    assert_eq!(start_count(&sim, task(id, 0)), 2);
}

#[test]
fn repeated_bystander() {
    // A sound task that had worked for long was given up after five crashes by tasks that started beside it.
    let mut sim = Simulation::new(1);
    let busy = Step { max_per_worker: 1, ..step(2, 8, 90_000) };
    sim.submit("plain", "praha", vec![busy], 90_000);
    sim.run_for(100);
    let sound = sim.submit("plain", "praha", vec![step(1, 4, 20_000)], 20_000);
    for _ in 0..4 {
        sim.run_for(2000);
        submit_crashing(&mut sim, "plain", vec![step(1, 4, 1000)]);
        sim.run_for(4 * DOWN_MS);
    }
    let lost = sim.crashes.iter().filter(|(_, tasks)| tasks.contains(&task(sound, 0))).count();
    assert!(5 <= lost, "{lost} crashes");
    assert!(sim.run_until_ended(120_000));
    assert_eq!(sim.state(sound), Some(State::Completed));
}

#[test]
fn store_away() {
    // Crashes while nothing can be recorded, with or without a new leader before the store is back.
    for takes_over in [false, true] {
        for first in 0..3 {
            let mut sim = Simulation::new(2);
            let id = submit_crashing(&mut sim, "plain", vec![step(1, 2, 4000)]);
            while sim.crashes.len() <= first && sim.submitted[&id].ended.is_none() {
                sim.run_for(20);
            }
            sim.store_down = true;
            let started = sim.starts.len();
            sim.run_for(2 * DOWN_MS);
            assert_eq!(sim.starts.len(), started, "nothing starts that is not recorded");
            if sim.stored[&id].outcome.is_none() {
                assert_eq!(sim.state(id), Some(State::Running), "shown before it is recorded");
            }
            if takes_over {
                sim.take_over();
            }
            sim.store_down = false;
            assert!(sim.run_until_ended(60_000), "{takes_over} {first}");
            assert_eq!(sim.state(id), Some(State::Failed));
            assert!(start_count(&sim, task(id, 0)) <= 3, "{takes_over} {first}");
            sim.take_over();
            sim.run_for(2 * DOWN_MS);
            assert_eq!(sim.state(id), Some(State::Failed), "a new leader shows the same");
            assert!(start_count(&sim, task(id, 0)) <= 3);
        }
    }
}
