//! Runs when workers, agents, planners and answers to orders are lost.
//!
//! The simulation itself checks that no task has two runs at a time, or another run after it
//! succeeded.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::bounds;
use batch_sim::step;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::table;

#[test]
fn planner_lost() {
    for at in (0..1200).step_by(60) {
        let mut sim = Simulation::new(1);
        let gang = Step { gang: true, ..step(3, 4, 600) };
        let id = sim.submit("plain", "brno", vec![gang, step(2, 1, 300)], 600);
        sim.run_for(at);
        sim.take_over();
        assert!(sim.run_until_ended(20_000), "taken over after {at} ms");
        assert_eq!(sim.state(id), Some(State::Completed));
        assert_eq!(sim.wasted_ms, 0, "runs continue; taken over after {at} ms");
    }
}

#[test]
fn unrecorded_start() {
    // A planner that dies before a start is recorded has started nothing.
    let mut sim = Simulation::new(1);
    sim.store_down = true;
    sim.submit("plain", "brno", vec![step(2, 1, 600)], 600);
    sim.run_for(1000);
    assert!(sim.starts.is_empty());
    sim.take_over();
    sim.store_down = false;
    assert!(sim.run_until_ended(5000));
    assert_eq!(sim.starts.len(), 2);
}

#[test]
fn agent_partitioned() {
    // A run behind a network partition is replaced only once its lease has expired.
    let mut sim = Simulation::new(1);
    let id = sim.submit("plain", "brno", vec![step(1, 8, 30_000)], 30_000);
    sim.run_for(500);
    let node = sim.starts[0].3.clone();
    let index = sim.workers.iter().position(|w| w.node == node).unwrap();
    sim.workers[index].reachable = false;
    let partitioned_at = sim.now;
    sim.run_for(8000);
    assert_eq!(sim.starts.len(), 2, "{id}");
    let restarted_after_ms = sim.starts[1].0 - partitioned_at;
    let bound = table::grant_bound().as_millis() as u64;
    assert!(
        bound <= restarted_after_ms && restarted_after_ms < bound + 300,
        "started again after {restarted_after_ms} ms"
    );
    sim.workers[index].reachable = true;
    assert!(sim.run_until_ended(60_000));
}

#[test]
fn partition_at_takeover() {
    // A new planner does not know until when the earlier one granted a lease to an agent that the
    // new one cannot reach.
    let mut sim = Simulation::new(1);
    sim.submit("plain", "brno", vec![step(1, 8, 30_000)], 30_000);
    sim.run_for(500);
    let node = sim.starts[0].3.clone();
    let index = sim.workers.iter().position(|w| w.node == node).unwrap();
    sim.workers[index].reachable = false;
    sim.take_over();
    let bound = table::takeover_bound().as_millis() as u64;
    sim.run_for(bound - 500);
    assert_eq!(sim.starts.len(), 1);
    sim.run_for(1000);
    assert_eq!(sim.starts.len(), 2);
}

#[test]
fn failure_counted_once() {
    // A failure that one planner recorded, and that the worker still lists, is not counted again.
    for gang in [false, true] {
        let mut sim = Simulation::new(1);
        let id = sim.submit("plain", "brno", vec![Step { gang, ..step(1, 8, 600) }], 600);
        sim.run_for(40);
        // No worker takes the next run before the takeover.
        for worker in &mut sim.workers {
            worker.fails = true;
            worker.ready = false;
        }
        sim.run_for(20);
        sim.take_over();
        sim.run_for(200);
        sim.workers.iter_mut().for_each(|worker| worker.ready = true);
        assert!(sim.run_until_ended(60_000));
        assert_eq!(sim.state(id), Some(State::Failed));
        assert_eq!(sim.starts.len(), 3);
    }
}

#[test]
fn unnoticed_restart() {
    // A start that reached a worker's next incarnation counts, even if the agent had not noticed
    // the restart.
    for loses_answers in [false, true] {
        for takes_over in [false, true] {
            let mut sim = Simulation::new(1);
            for index in 0..3 {
                sim.restart_unnoticed(index);
                sim.workers[index].loses_answers = loses_answers;
            }
            let id = sim.submit("plain", "brno", vec![step(2, 8, 2000)], 2000);
            sim.run_for(100);
            assert_eq!(sim.starts.len(), 2);
            if takes_over {
                sim.take_over();
            }
            for index in 0..3 {
                sim.notice_restart(index);
                sim.workers[index].loses_answers = false;
            }
            assert!(sim.run_until_ended(20_000), "loses_answers {loses_answers}");
            assert_eq!(sim.state(id), Some(State::Completed));
            if !loses_answers {
                assert_eq!(sim.starts.len(), 2, "runs continue");
            }
        }
    }
}

#[test]
fn worker_restarts() {
    let mut sim = Simulation::new(1);
    let gang = Step { gang: true, ..step(3, 8, 2000) };
    let id = sim.submit("plain", "brno", vec![gang], 2000);
    sim.run_for(800);
    assert_eq!(sim.starts.len(), 3);
    sim.restart(1);
    sim.run_for(900);
    assert_eq!(sim.starts.len(), 6, "the whole gang starts again at once");
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn answers_lost() {
    // A start order without an answer is followed by a stop before another start is tried.
    let mut sim = Simulation::new(1);
    for worker in &mut sim.workers {
        worker.loses_answers = true;
    }
    let id = sim.submit("plain", "brno", vec![step(2, 4, 900)], 900);
    sim.run_for(2000);
    for worker in &mut sim.workers {
        worker.loses_answers = false;
    }
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.state(id), Some(State::Completed));
}

#[test]
fn stuck_run() {
    let mut sim = Simulation::new(1);
    sim.submit("plain", "brno", vec![step(1, 8, 1000)], 1000);
    sim.run_for(100);
    let node = sim.starts[0].3.clone();
    let index = sim.workers.iter().position(|w| w.node == node).unwrap();
    sim.workers[index].is_stuck = true;
    assert!(sim.run_until_ended(8000), "it is started elsewhere");
    assert_ne!(sim.starts[1].3, node);
}

#[test]
fn failing_worker() {
    // A worker on which every run fails does not use up the attempts of every job.
    let mut sim = Simulation::new(2);
    sim.workers[0].fails = true;
    let ids: Vec<_> = (0..12)
        .map(|_| {
            let id = sim.submit("plain", "brno", vec![step(1, 4, 800)], 800);
            sim.run_for(300);
            id
        })
        .collect();
    assert!(sim.run_until_ended(30_000));
    for id in ids {
        assert_eq!(sim.state(id), Some(State::Completed));
    }
}

#[test]
fn attempts_used_up() {
    let mut sim = Simulation::new(1);
    for worker in &mut sim.workers {
        worker.fails = true;
    }
    let id = sim.submit("plain", "brno", vec![step(1, 1, 500)], 500);
    assert!(sim.run_until_ended(10_000));
    assert_eq!(sim.state(id), Some(State::Failed));
    assert_eq!(sim.starts.len(), 3, "as many runs as the queue allows");
}

#[test]
fn cancelled_job() {
    let mut sim = Simulation::new(1);
    let id = sim.submit("plain", "brno", vec![step(20, 2, 5000)], 5000);
    sim.run_for(1000);
    sim.cancel(id);
    sim.run_for(700);
    assert!(sim.workers.iter().all(|worker| worker.runs.is_empty()));
    let started = sim.starts.len();
    sim.run_for(2000);
    assert_eq!(sim.starts.len(), started);
    assert_eq!(sim.state(id), Some(State::Cancelled));
}

#[test]
fn leaving_worker() {
    // Runs that cannot end before their worker leaves are started elsewhere at once.
    let mut sim = Simulation::new(1);
    sim.submit("plain", "brno", vec![step(1, 8, 20_000)], 20_000);
    sim.run_for(1000);
    let node = sim.starts[0].3.clone();
    let index = sim.workers.iter().position(|w| w.node == node).unwrap();
    sim.workers[index].ready = false;
    sim.run_for(1000);
    assert_eq!(sim.starts.len(), 2);
    assert_ne!(sim.starts[1].3, node);
}

#[test]
fn unresponsive_worker() {
    // A worker that has just stopped answering its agent gets no tasks.
    let mut sim = Simulation::new(1);
    sim.workers[0].is_responsive = false;
    sim.run_for(20);
    sim.submit("plain", "brno", vec![step(4, 4, 600)], 600);
    sim.run_for(100);
    assert_eq!(sim.starts.len(), 4);
    assert!(sim.starts.iter().all(|(_, _, _, node)| node != "side-0"));
}

#[test]
fn failure_at_once() {
    // A worker on which a task fails right after its start gets no tasks of the next jobs for a
    // while.
    let mut sim = Simulation::new(1);
    sim.workers[0].fails = true;
    for _ in 0..3 {
        sim.submit("plain", "brno", vec![step(1, 2, 900)], 900);
        sim.run_for(900);
    }
    let starts_on_failing = sim.starts.iter().filter(|(_, _, _, node)| node == "side-0").count();
    assert_eq!(starts_on_failing, 1, "one failure was enough");
}

#[test]
fn expired_in_batches() {
    // Only jobs that are returned, to be removed from the store, are removed from the tables.
    let mut sim = Simulation::new(1);
    for _ in 0..5 {
        sim.submit("plain", "brno", vec![step(1, 1, 200)], 200);
    }
    assert!(sim.run_until_ended(5000));
    let removed = records::expire(&mut sim.tables, u64::MAX, 2);
    assert_eq!((removed.len(), sim.tables.jobs.len()), (2, 3));
}

#[test]
fn cancelled_after_long() {
    // Guards against a job that is forgotten as it is cancelled, since it was accepted long ago.
    for is_taken_over in [false, true] {
        let mut sim = Simulation::new(1);
        let id = sim.submit("plain", "brno", vec![step(1, 1, 300_000)], 300_000);
        sim.run_for(bounds().keep_ms + 1000);
        sim.cancel(id);
        sim.run_for(2000);
        if is_taken_over {
            sim.take_over();
            sim.run_for(1000);
        }
        let wall_ms = sim.wall();
        assert!(records::expire(&mut sim.tables, wall_ms, 1).is_empty(), "{is_taken_over}");
        assert_eq!(records::expire(&mut sim.tables, u64::MAX, 1), [id], "{is_taken_over}");
    }
}

#[test]
fn silence_is_not_lack_of_progress() {
    // A worker that was silent for almost as long as its grant keeps its run: silence says nothing
    // about progress, and the run went on all the while.
    for offset in (0..200).step_by(20) {
        let mut sim = Simulation::new(1);
        let id = sim.submit("plain", "brno", vec![step(1, 8, 20_000)], 20_000);
        sim.run_for(2000 + offset);
        let node = sim.starts[0].3.clone();
        let index = sim.workers.iter().position(|w| w.node == node).unwrap();
        sim.workers[index].reachable = false;
        sim.run_for(table::GRANT.as_millis() as u64 - 60);
        sim.workers[index].reachable = true;
        assert!(sim.run_until_ended(20_000));
        assert_eq!(sim.state(id), Some(State::Completed));
        assert_eq!((sim.starts.len(), sim.wasted_ms), (1, 0), "offset {offset}");
    }
}

#[test]
fn departed_worker_after_restarts() {
    // After restarts of the planner and of an agent, a late heartbeat of a worker that has left
    // announces it again. It gets no work, since it answers nothing.
    let mut sim = Simulation::new(1);
    sim.restart_unnoticed(0);
    sim.take_over();
    sim.run_for(100);
    sim.submit("plain", "brno", vec![step(2, 8, 600)], 600);
    assert!(sim.run_until_ended(5000));
    assert!(sim.starts.iter().all(|(_, _, _, node)| node != "side-0"));
}
