//! The checker finds each planted violation, and none in a sound history.

use lavendergauge_testutils::check;
use lavendergauge_testutils::check::Promise;
use lavendergauge_testutils::history::End;
use lavendergauge_testutils::history::Event;
use lavendergauge_testutils::history::Line;
use lavendergauge_testutils::history::Outcome;

fn lines(events: Vec<(u64, Event)>) -> Vec<Line> {
    events.into_iter().map(|(at, event)| Line { at, event }).collect()
}

fn invoke(request: &str, key: &str) -> Event {
    Event::Invoke {
        request: request.to_owned(),
        key: key.to_owned(),
        idempotent: false,
        process: "entry-1".to_owned(),
    }
}

fn told(request: &str, outcome: Outcome) -> Event {
    Event::Told { request: request.to_owned(), outcome }
}

fn ran(of: &str, whole: bool) -> Outcome {
    Outcome::Ran { of: of.to_owned(), whole }
}

fn execute(key: &str) -> Event {
    let (worker, data_centre) = ("worker-1".to_owned(), "zilina-1".to_owned());
    Event::Execute { key: key.to_owned(), worker, data_centre }
}

fn submit(members: usize, claims: bool) -> Event {
    Event::Submit { job: "sweep".to_owned(), members, repeatable: false, claims }
}

fn start(attempt: u32, member: usize) -> Event {
    let (job, data_centre) = ("sweep".to_owned(), "zilina-1".to_owned());
    Event::Start { job, attempt, member, data_centre }
}

fn stop(attempt: u32, member: usize, end: End) -> Event {
    Event::Stop { job: "sweep".to_owned(), attempt, member, end }
}

fn in_force(revision: u64) -> Event {
    Event::InForce { process: "worker-1".to_owned(), revision }
}

/// Checks that a history breaks this promise and no other.
fn breaks(promise: Promise, events: Vec<(u64, Event)>) {
    let found: Vec<Promise> =
        check::check(&lines(events)).iter().map(|violation| violation.promise).collect();
    assert_eq!(found, [promise]);
}

#[test]
fn sound_history() {
    let events = vec![
        (0, Event::Accepted(1)),
        (10, submit(2, true)),
        (900, start(1, 0)),
        (1000, start(1, 1)),
        (1100, in_force(1)),
        (1200, invoke("r1", "k1")),
        (1210, execute("k1")),
        (1220, told("r1", ran("r1", true))),
        (1300, invoke("r2", "k2")),
        (1310, told("r2", Outcome::NotRun)),
        (1320, invoke("r3", "k2")),
        (1330, execute("k2")),
        (1340, told("r3", Outcome::Unknown)),
        (1400, Event::Out("zilina-1".to_owned())),
        (2000, execute("k3")),
        (2100, Event::Leave("worker-1".to_owned())),
        (2200, Event::Stopping("entry-1".to_owned())),
        (2300, stop(1, 0, End::Done)),
        (60_000, stop(1, 1, End::Done)),
        (60_001, Event::In("zilina-1".to_owned())),
        (60_002, in_force(1)),
    ];
    assert_eq!(check::check(&lines(events)), []);
}

#[test]
fn late_claim() {
    breaks(Promise::Reclaim, vec![(0, submit(1, true)), (3400, start(1, 0))]);
    breaks(Promise::Reclaim, vec![(0, submit(1, true)), (9000, Event::Accepted(1))]);
}

#[test]
fn partial_gang() {
    let lost = vec![
        (0, submit(2, false)),
        (10, start(1, 0)),
        (20, start(1, 1)),
        (1000, stop(1, 0, End::Stopped)),
        (13_000, stop(1, 1, End::Stopped)),
    ];
    breaks(Promise::Whole, lost);
    let half = vec![(0, submit(2, false)), (10, start(1, 0)), (20_000, Event::Accepted(1))];
    breaks(Promise::Whole, half);
}

#[test]
fn closed_centre() {
    let out = Event::Out("zilina-1".to_owned());
    breaks(Promise::Out, vec![(0, out.clone()), (3100, execute("k1"))]);
    breaks(Promise::Out, vec![(0, out), (1, submit(1, false)), (3100, start(1, 0))]);
}

#[test]
fn crossed_answer() {
    let crossed =
        vec![(0, invoke("r1", "k1")), (1, execute("k1")), (2, told("r1", ran("r2", true)))];
    breaks(Promise::Answer, crossed);
    let cut = vec![(0, invoke("r1", "k1")), (1, execute("k1")), (2, told("r1", ran("r1", false)))];
    breaks(Promise::Answer, cut);
}

#[test]
fn false_refusal() {
    let events =
        vec![(0, invoke("r1", "k1")), (1, execute("k1")), (2, told("r1", Outcome::NotRun))];
    breaks(Promise::NotRun, events);
}

#[test]
fn double_run() {
    let request = vec![(0, invoke("r1", "k1")), (1, execute("k1")), (2, execute("k1"))];
    breaks(Promise::Once, request);
    let job = vec![
        (0, submit(1, false)),
        (1, start(1, 0)),
        (2, stop(1, 0, End::Stopped)),
        (3, start(2, 0)),
    ];
    breaks(Promise::Once, job);
}

#[test]
fn leaving_target() {
    let leave = Event::Leave("worker-1".to_owned());
    breaks(Promise::Leave, vec![(0, leave), (3100, execute("k1"))]);
}

#[test]
fn abrupt_stop() {
    let stopping = Event::Stopping("entry-1".to_owned());
    let events = vec![(0, invoke("r1", "k1")), (1, stopping), (2, told("r1", Outcome::Cut))];
    breaks(Promise::Graceful, events);
}

#[test]
fn late_config() {
    breaks(Promise::Config, vec![(0, Event::Accepted(2)), (10_100, in_force(1))]);
    breaks(Promise::Config, vec![(0, in_force(2)), (5, in_force(1))]);
}
