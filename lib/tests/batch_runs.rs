//! What becomes of runs when workers, agents, planners and answers are lost.
//!
//! The play itself checks that no task ever runs twice at a time or after its good end.

mod batch_play;

use batch_play::Play;
use batch_play::step;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::table;

#[test]
fn planner_dies() {
    for at in (0..1200).step_by(60) {
        let mut play = Play::new(1);
        let gang = Step { gang: true, ..step(3, 4, 600) };
        let id = play.hand_in("plain", "brno", vec![gang, step(2, 1, 300)], 600);
        play.run_for(at);
        play.take_over();
        assert!(play.run_until_ended(20_000), "taken over after {at} ms");
        assert_eq!(play.state(id), Some(State::Completed));
        assert_eq!(play.wasted_ms, 0, "running work goes on; taken over after {at} ms");
    }
}

#[test]
fn unrecorded_start() {
    // A planner that dies before a start is recorded has started nothing.
    let mut play = Play::new(1);
    play.store_down = true;
    play.hand_in("plain", "brno", vec![step(2, 1, 600)], 600);
    play.run_for(1000);
    assert!(play.starts.is_empty());
    play.take_over();
    play.store_down = false;
    assert!(play.run_until_ended(5000));
    assert_eq!(play.starts.len(), 2);
}

#[test]
fn agent_cut_off() {
    // What runs behind a cut is replaced only once its lease is over.
    let mut play = Play::new(1);
    let id = play.hand_in("plain", "brno", vec![step(1, 8, 30_000)], 30_000);
    play.run_for(500);
    let node = play.starts[0].3.clone();
    let index = play.workers.iter().position(|w| w.node == node).unwrap();
    play.workers[index].reachable = false;
    let cut = play.now;
    play.run_for(8000);
    assert_eq!(play.starts.len(), 2, "{id}");
    let again = play.starts[1].0 - cut;
    let bound = table::grant_bound().as_millis() as u64;
    assert!(bound <= again && again < bound + 300, "started again after {again} ms");
    play.workers[index].reachable = true;
    assert!(play.run_until_ended(60_000));
}

#[test]
fn cut_off_at_takeover() {
    // A new planner does not know how long the old one let an agent go on that it cannot reach.
    let mut play = Play::new(1);
    play.hand_in("plain", "brno", vec![step(1, 8, 30_000)], 30_000);
    play.run_for(500);
    let node = play.starts[0].3.clone();
    let index = play.workers.iter().position(|w| w.node == node).unwrap();
    play.workers[index].reachable = false;
    play.take_over();
    let bound = table::takeover_bound().as_millis() as u64;
    play.run_for(bound - 500);
    assert_eq!(play.starts.len(), 1);
    play.run_for(1000);
    assert_eq!(play.starts.len(), 2);
}

#[test]
fn worker_restarts() {
    let mut play = Play::new(1);
    let gang = Step { gang: true, ..step(3, 8, 2000) };
    let id = play.hand_in("plain", "brno", vec![gang], 2000);
    play.run_for(800);
    assert_eq!(play.starts.len(), 3);
    play.restart(1);
    play.run_for(900);
    assert_eq!(play.starts.len(), 6, "the whole gang starts again, at once");
    assert!(play.run_until_ended(20_000));
    assert_eq!(play.state(id), Some(State::Completed));
}

#[test]
fn answers_lost() {
    // A start without an answer is stopped before another is tried.
    let mut play = Play::new(1);
    for worker in &mut play.workers {
        worker.mute = true;
    }
    let id = play.hand_in("plain", "brno", vec![step(2, 4, 900)], 900);
    play.run_for(2000);
    for worker in &mut play.workers {
        worker.mute = false;
    }
    assert!(play.run_until_ended(20_000));
    assert_eq!(play.state(id), Some(State::Completed));
}

#[test]
fn stuck_run() {
    let mut play = Play::new(1);
    play.hand_in("plain", "brno", vec![step(1, 8, 1000)], 1000);
    play.run_for(100);
    let node = play.starts[0].3.clone();
    let index = play.workers.iter().position(|w| w.node == node).unwrap();
    play.workers[index].hangs = true;
    assert!(play.run_until_ended(8000), "it goes on elsewhere");
    assert_ne!(play.starts[1].3, node);
}

#[test]
fn grey_worker() {
    // A worker that fails all that it starts does not use up the attempts of every job.
    let mut play = Play::new(2);
    play.workers[0].fails = true;
    let ids: Vec<_> = (0..12)
        .map(|_| {
            let id = play.hand_in("plain", "brno", vec![step(1, 4, 800)], 800);
            play.run_for(300);
            id
        })
        .collect();
    assert!(play.run_until_ended(30_000));
    for id in ids {
        assert_eq!(play.state(id), Some(State::Completed));
    }
}

#[test]
fn hopeless_job() {
    let mut play = Play::new(1);
    for worker in &mut play.workers {
        worker.fails = true;
    }
    let id = play.hand_in("plain", "brno", vec![step(1, 1, 500)], 500);
    assert!(play.run_until_ended(10_000));
    assert_eq!(play.state(id), Some(State::Failed));
    assert_eq!(play.starts.len(), 3, "as many runs as the queue allows");
}

#[test]
fn cancelled_job() {
    let mut play = Play::new(1);
    let id = play.hand_in("plain", "brno", vec![step(20, 2, 5000)], 5000);
    play.run_for(1000);
    play.cancel(id);
    play.run_for(700);
    assert!(play.workers.iter().all(|worker| worker.runs.is_empty()));
    let started = play.starts.len();
    play.run_for(2000);
    assert_eq!(play.starts.len(), started);
    assert_eq!(play.state(id), Some(State::Cancelled));
}

#[test]
fn leaving_worker() {
    // Work that cannot end before its worker leaves goes on elsewhere at once.
    let mut play = Play::new(1);
    play.hand_in("plain", "brno", vec![step(1, 8, 20_000)], 20_000);
    play.run_for(1000);
    let node = play.starts[0].3.clone();
    let index = play.workers.iter().position(|w| w.node == node).unwrap();
    play.workers[index].ready = false;
    play.run_for(1000);
    assert_eq!(play.starts.len(), 2);
    assert_ne!(play.starts[1].3, node);
}

#[test]
fn deaf_worker() {
    // A worker that stopped answering its agent a moment ago is given nothing.
    let mut play = Play::new(1);
    play.workers[0].answers = false;
    play.run_for(20);
    play.hand_in("plain", "brno", vec![step(4, 4, 600)], 600);
    play.run_for(100);
    assert_eq!(play.starts.len(), 4);
    assert!(play.starts.iter().all(|(_, _, _, node)| node != "side-0"));
}

#[test]
fn fails_at_once() {
    // A worker that fails a task right after its start gets no task of the next jobs for a while.
    let mut play = Play::new(1);
    play.workers[0].fails = true;
    for _ in 0..3 {
        play.hand_in("plain", "brno", vec![step(1, 2, 900)], 900);
        play.run_for(900);
    }
    let on_it = play.starts.iter().filter(|(_, _, _, node)| node == "side-0").count();
    assert_eq!(on_it, 1, "one failure was enough");
}
