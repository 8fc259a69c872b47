//! The judge finds a planted breach of each promise, and none in a correct history.

use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::StepInstance;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::resource::Resources;
use lavendergauge_soak::judge::Judge;
use lavendergauge_soak::judge::Promise;
use lavendergauge_stand_in::caller::Outcome;
use lavendergauge_stand_in::worker;
use lavendergauge_stand_in::worker::Event;

const JOB: Id = Id(7);
/// A time at which nothing has been disturbed for long.
const CALM: Millis = Millis(60_000);

fn judge() -> Judge {
    let capacity = Resources { accelerators: 8, processors: 64_000, memory_mb: 1000 };
    Judge::new(vec![(capacity, "z-0".to_owned()), (capacity, "z-1".to_owned())])
}

fn step(tasks: u32, accelerators: u32) -> Step {
    Step { tasks, accelerators, ..Step::default() }
}

fn outcome(status: u16, state: Option<State>) -> Outcome {
    Outcome { status, state, retry_after_s: None, never_sent: false, is_broken: status == 0 }
}

fn task(step: u16, index: u32) -> Task {
    Task { instance: StepInstance { job: JOB, occurrence: 0, step }, index }
}

/// Makes a judge that knows [`JOB`] as accepted.
fn judge_with_accepted_job(steps: &[Step]) -> Judge {
    let mut judge = judge();
    judge.record_submission(JOB, "t", steps, false);
    judge.record_submit_outcome(CALM, CALM, JOB, "key", &outcome(200, None));
    judge
}

/// Records that a run of a task starts on a worker.
fn start(judge: &mut Judge, at: Millis, worker: usize, task: Task, run: u64) {
    judge.record_event(at, worker, &Event::Started { task, run, payload: "t".to_owned() });
}

/// Records that a task's first run ends on a worker and that its agent acknowledges it in time.
fn end(judge: &mut Judge, at: Millis, worker: usize, task: Task, how: &'static str) {
    judge.record_event(at, worker, &Event::Ended { task, run: 1, how });
    judge.record_event(
        at,
        worker,
        &Event::Acknowledged { task, run: 1, how, lease_expired: false },
    );
}

/// Returns the promises of the breaches found so far.
fn broken_promises(judge: &Judge) -> Vec<Promise> {
    judge.breaches.iter().map(|breach| breach.promise).collect()
}

#[test]
fn correct_history() {
    let mut judge = judge_with_accepted_job(&[
        step(2, 4),
        Step { after: [0].into_iter().collect(), ..step(1, 8) },
    ]);
    start(&mut judge, CALM, 0, task(0, 0), 1);
    start(&mut judge, CALM, 0, task(0, 1), 1);
    end(&mut judge, CALM, 0, task(0, 0), "done");
    end(&mut judge, CALM, 0, task(0, 1), "done");
    start(&mut judge, CALM, 0, task(1, 0), 1);
    end(&mut judge, CALM, 0, task(1, 0), "done");
    judge.record_state_outcome(CALM, CALM, JOB, &outcome(200, Some(State::Completed)));
    judge.finish(CALM);
    assert_eq!(broken_promises(&judge), []);
}

#[test]
fn task_runs_twice_at_once() {
    let mut judge = judge_with_accepted_job(&[step(1, 1)]);
    start(&mut judge, CALM, 0, task(0, 0), 1);
    start(&mut judge, CALM, 1, task(0, 0), 2);
    assert_eq!(broken_promises(&judge), [Promise::Once]);
}

#[test]
fn task_starts_after_done() {
    for (lease_expired, expected) in [(false, vec![Promise::Once]), (true, vec![])] {
        let mut judge = judge_with_accepted_job(&[step(1, 1)]);
        start(&mut judge, CALM, 0, task(0, 0), 1);
        let first_end = Event::Ended { task: task(0, 0), run: 1, how: "done" };
        judge.record_event(CALM, 0, &first_end);
        judge.record_event(
            CALM,
            0,
            &Event::Acknowledged { task: task(0, 0), run: 1, how: "done", lease_expired },
        );
        start(&mut judge, Millis(60_001), 1, task(0, 0), 2);
        let second_end = Event::Ended { task: task(0, 0), run: 2, how: "done" };
        judge.record_event(Millis(60_002), 1, &second_end);
        let acknowledged =
            Event::Acknowledged { task: task(0, 0), run: 2, how: "done", lease_expired: false };
        judge.record_event(Millis(60_003), 1, &acknowledged);
        judge.record_state_outcome(CALM, CALM, JOB, &outcome(200, Some(State::Completed)));
        judge.finish(CALM);
        assert_eq!(broken_promises(&judge), expected);
    }
}

#[test]
fn over_capacity() {
    let mut judge = judge_with_accepted_job(&[step(2, 5)]);
    start(&mut judge, CALM, 0, task(0, 0), 1);
    start(&mut judge, CALM, 0, task(0, 1), 1);
    assert_eq!(broken_promises(&judge), [Promise::Capacity]);
}

#[test]
fn task_not_submitted() {
    let mut judge = judge_with_accepted_job(&[step(1, 1)]);
    start(&mut judge, CALM, 0, task(0, 1), 1);
    let payload = "another".to_owned();
    judge.record_event(CALM, 0, &Event::Started { task: task(0, 0), run: 1, payload });
    assert_eq!(broken_promises(&judge), [Promise::Asked, Promise::Asked]);
}

#[test]
fn task_starts_after_cancellation() {
    let mut judge = judge_with_accepted_job(&[step(2, 1)]);
    judge.record_cancel_sent(JOB);
    judge.record_cancel_outcome(CALM, JOB, &outcome(200, None));
    start(&mut judge, Millis(62_900), 0, task(0, 0), 1);
    assert_eq!(broken_promises(&judge), []);
    start(&mut judge, Millis(63_100), 0, task(0, 1), 1);
    assert_eq!(broken_promises(&judge), [Promise::Asked]);
}

#[test]
fn refused_job_runs() {
    for (statuses, expected) in
        [(vec![503, 429], vec![Promise::Refused]), (vec![503, 0], vec![]), (vec![504, 503], vec![])]
    {
        let mut judge = judge();
        judge.record_submission(JOB, "t", &[step(1, 1)], false);
        for status in statuses {
            judge.record_submit_outcome(CALM, CALM, JOB, "key", &outcome(status, None));
        }
        start(&mut judge, CALM, 0, task(0, 0), 1);
        judge.finish(CALM);
        assert_eq!(broken_promises(&judge), expected);
    }
}

#[test]
fn step_starts_before_predecessor() {
    let mut judge = judge_with_accepted_job(&[
        step(1, 1),
        Step { after: [0].into_iter().collect(), ..step(1, 1) },
    ]);
    start(&mut judge, CALM, 0, task(1, 0), 1);
    assert_eq!(broken_promises(&judge), [Promise::Order]);
}

#[test]
fn task_starts_after_last_failure() {
    let mut judge = judge_with_accepted_job(&[step(1, 1)]);
    for run in 1..=3 {
        start(&mut judge, CALM, 0, task(0, 0), run);
        end(&mut judge, CALM, 0, task(0, 0), "failed");
    }
    judge.record_state_outcome(CALM, CALM, JOB, &outcome(200, Some(State::Failed)));
    assert_eq!(broken_promises(&judge), []);
    start(&mut judge, CALM, 0, task(0, 0), 4);
    assert_eq!(broken_promises(&judge), [Promise::Attempts]);
}

#[test]
fn lost_job() {
    let mut judge = judge_with_accepted_job(&[step(1, 1)]);
    judge.record_state_outcome(Millis(62_000), Millis(62_000), JOB, &outcome(410, None));
    assert_eq!(broken_promises(&judge), []);
    judge.record_state_outcome(Millis(64_000), Millis(64_000), JOB, &outcome(410, None));
    judge.finish(Millis(90_000));
    assert_eq!(broken_promises(&judge), [Promise::Kept, Promise::Kept]);
}

#[test]
fn untrue_state() {
    for state in [State::Completed, State::Failed, State::Cancelled] {
        let mut judge = judge_with_accepted_job(&[step(1, 1)]);
        judge.record_state_outcome(CALM, CALM, JOB, &outcome(200, Some(state)));
        assert_eq!(broken_promises(&judge), [Promise::Truth], "{state:?}");
    }
}

#[test]
fn removed_key_served() {
    let mut judge = judge();
    judge.record_config(CALM, &BTreeSet::from(["key".to_owned()]));
    judge.record_submission(JOB, "t", &[step(1, 1)], false);
    judge.record_submit_outcome(Millis(64_900), Millis(64_900), JOB, "key", &outcome(200, None));
    assert_eq!(broken_promises(&judge), []);
    judge.record_submit_outcome(Millis(65_100), Millis(65_100), JOB, "key", &outcome(200, None));
    judge.record_submit_outcome(Millis(65_100), Millis(65_100), JOB, "other", &outcome(401, None));
    assert_eq!(broken_promises(&judge), [Promise::Keys, Promise::Keys]);
}

#[test]
fn task_starts_on_leaving_worker() {
    let mut judge = judge_with_accepted_job(&[step(4, 1)]);
    judge.record_draining(CALM, 0);
    judge.record_evacuation(CALM, "z-1", true);
    start(&mut judge, Millis(61_900), 0, task(0, 0), 1);
    start(&mut judge, Millis(64_900), 1, task(0, 1), 1);
    assert_eq!(broken_promises(&judge), []);
    start(&mut judge, Millis(62_100), 0, task(0, 2), 1);
    start(&mut judge, Millis(65_100), 1, task(0, 3), 1);
    assert_eq!(broken_promises(&judge), [Promise::Left, Promise::Left]);
}

#[test]
fn call_broken_by_graceful_stop() {
    let mut judge = judge();
    judge.record_broken_call(CALM, Duration::from_millis(150));
    assert_eq!(broken_promises(&judge), []);
    judge.record_broken_call(CALM, Duration::from_millis(400));
    assert_eq!(broken_promises(&judge), [Promise::Graceful]);
}

#[test]
fn late_guarantee() {
    for (disturbed, expected) in [(false, vec![Promise::Guarantee]), (true, vec![])] {
        let mut judge = judge();
        judge.record_submission(JOB, "t", &[step(2, 1)], true);
        judge.record_submit_outcome(CALM, CALM, JOB, "key", &outcome(200, None));
        start(&mut judge, Millis(60_100), 0, task(0, 0), 1);
        start(&mut judge, Millis(63_000), 0, task(0, 1), 1);
        if disturbed {
            judge.record_disturbance(Millis(60_500), Duration::ZERO);
        }
        judge.check_due(Millis(63_000));
        assert_eq!(broken_promises(&judge), expected);
    }
}

#[test]
fn worker_over_shrunken_capacity() {
    let mut judge = judge_with_accepted_job(&[step(2, 4)]);
    start(&mut judge, CALM, 0, task(0, 0), 1);
    let capacity = Resources { accelerators: 4, processors: 64_000, memory_mb: 1000 };
    judge.record_capacity(CALM, 0, capacity);
    start(&mut judge, Millis(CALM.0 + 3300), 0, task(0, 1), 1);
    assert_eq!(broken_promises(&judge), []);
    end(&mut judge, Millis(CALM.0 + 3300), 0, task(0, 1), "stopped");
    start(&mut judge, Millis(CALM.0 + 3301), 0, task(0, 1), 2);
    assert_eq!(broken_promises(&judge), [Promise::Capacity]);
}

#[test]
fn task_crashes_on() {
    let mut judge = judge();
    let payload = worker::crashing_payload();
    judge.record_submission(JOB, &payload, &[step(1, 1)], false);
    judge.record_submit_outcome(CALM, CALM, JOB, "key", &outcome(200, None));
    for run in 1..=6 {
        assert_eq!(broken_promises(&judge), []);
        let event = Event::Started { task: task(0, 0), run, payload: payload.clone() };
        judge.record_event(CALM, 0, &event);
        judge.record_event(CALM, 0, &Event::Crashed);
    }
    assert_eq!(broken_promises(&judge), [Promise::Contained]);
}

#[test]
fn sound_job_given_up() {
    let mut judge = judge_with_accepted_job(&[step(1, 1)]);
    for run in 1..=2 {
        start(&mut judge, CALM, 0, task(0, 0), run);
        judge.record_event(CALM, 0, &Event::Crashed);
    }
    judge.record_state_outcome(CALM, CALM, JOB, &outcome(200, Some(State::Failed)));
    assert_eq!(broken_promises(&judge), [Promise::Truth]);
}
