//! Calls to a worker that are carried out late, by an incarnation that they were not meant for.

use lavendergauge_lib::batch::ends::Reader;
use lavendergauge_lib::batch::epoch::Epoch;
use lavendergauge_lib::batch::lease;
use lavendergauge_lib::batch::lease::Tracker;
use proptest::collection::vec;
use proptest::prelude::*;

const LONGEST_MS: u64 = 10_000;
/// Fencing token of the planner.
const FENCE: u64 = 3;

/// A call that was sent to a worker.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_at: u64,
    token: u64,
    /// Incarnation that it was meant for.
    incarnation: u64,
    acknowledged: u64,
    has_lease: bool,
}

/// What happens next: the agent polls and its call arrives or is lost, a lost call is carried out, or
/// the worker restarts and the agent examines it.
#[derive(Clone, Copy, Debug)]
enum Event {
    Poll,
    LosePoll,
    CarryOut(usize),
    Restart,
    Examine,
    Wait(u64),
    End,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => Just(Event::Poll),
        2 => Just(Event::LosePoll),
        3 => (0..64_usize).prop_map(Event::CarryOut),
        1 => Just(Event::Restart),
        2 => Just(Event::Examine),
        2 => (1..3000_u64).prop_map(Event::Wait),
        3 => Just(Event::End),
    ];
    vec(event, 1..120)
}

/// A worker as the platform documents it.
#[derive(Default)]
struct Worker {
    incarnation: u64,
    highest_token: u64,
    ends: Vec<u64>,
    last_end: u64,
    /// End of the lease that a call for another incarnation gave, by the time of the model.
    stale_lease_until: u64,
}

/// The agent and its worker.
struct Model {
    now: u64,
    worker: Worker,
    epoch: Epoch,
    tracker: Tracker,
    reader: Reader,
    /// The incarnation that the agent takes for the one that runs; 0 for none.
    known: u64,
    has_clock: bool,
    /// Ends that the agent has read of that incarnation.
    read: u64,
    lost: Vec<Call>,
    /// Ends that were dropped before they were read, after the agent's first call to the incarnation.
    dropped_unread: u64,
    is_called: bool,
}

impl Model {
    fn new() -> Model {
        let mut epoch = Epoch::default();
        epoch.begin_term(FENCE);
        Model {
            now: 0,
            worker: Worker { incarnation: 1, ..Worker::default() },
            epoch,
            tracker: Tracker::new(0, LONGEST_MS),
            reader: Reader::default(),
            known: 0,
            has_clock: false,
            read: 0,
            lost: Vec::new(),
            dropped_unread: 0,
            is_called: false,
        }
    }

    fn next_poll(&mut self) -> Call {
        let acknowledged = if self.has_clock { self.reader.due(self.known, self.read) } else { 0 };
        let call = Call {
            sent_at: self.now,
            token: self.epoch.token(FENCE),
            incarnation: self.known,
            acknowledged,
            has_lease: self.has_clock,
        };
        if acknowledged != 0 || self.has_clock {
            self.epoch.mark_used();
        }
        call
    }

    /// Carries a call out; returns whether the worker did.
    fn carry_out(&mut self, call: Call) -> bool {
        let worker = &mut self.worker;
        if call.token < worker.highest_token {
            return false;
        }
        worker.highest_token = call.token;
        if call.has_lease && call.incarnation != worker.incarnation {
            worker.stale_lease_until = self.now + LONGEST_MS;
        }
        let read = if self.known == worker.incarnation { self.read } else { 0 };
        if self.is_called {
            self.dropped_unread +=
                worker.ends.iter().filter(|end| read < **end && **end <= call.acknowledged).count()
                    as u64;
        }
        worker.ends.retain(|end| call.acknowledged < *end);
        true
    }

    /// Applies the worker's answer to a call that it carried out.
    fn apply_answer(&mut self, call: Call) {
        if self.worker.incarnation != self.known {
            self.known = 0;
            self.restart();
            return;
        }
        self.has_clock = true;
        self.tracker.answer(self.now, call.token);
        self.reader.confirm(self.known, call.acknowledged);
        self.read = self.read.max(self.worker.last_end);
        self.reader.read(self.known, &[], true);
    }

    fn restart(&mut self) {
        self.has_clock = false;
        self.epoch.raise();
        self.tracker.restart(self.now, self.epoch.token(FENCE));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Wait(time) => self.now += time,
            Event::End => {
                self.worker.last_end += 1;
                let number = self.worker.last_end;
                self.worker.ends.push(number);
            }
            Event::Restart => {
                let incarnation = self.worker.incarnation + 1;
                self.worker = Worker { incarnation, ..Worker::default() };
                self.is_called = false;
            }
            Event::CarryOut(index) if !self.lost.is_empty() => {
                let call = self.lost.swap_remove(index % self.lost.len());
                if self.now <= call.sent_at + lease::LATE_CALL_MS {
                    self.carry_out(call);
                }
            }
            Event::CarryOut(_) => {}
            Event::Poll if self.known != 0 => {
                let call = self.next_poll();
                if self.carry_out(call) {
                    self.apply_answer(call);
                } else {
                    assert!(self.epoch.overtake(call.token));
                }
            }
            Event::LosePoll if self.known != 0 => {
                let call = self.next_poll();
                self.lost.push(call);
                self.has_clock = false;
                self.epoch.raise();
            }
            Event::Poll | Event::LosePoll => {}
            Event::Examine => {
                self.epoch.raise();
                let token = self.epoch.token(FENCE);
                let call = Call {
                    sent_at: self.now,
                    token,
                    incarnation: 0,
                    acknowledged: 0,
                    has_lease: false,
                };
                if !self.carry_out(call) {
                    assert!(self.epoch.overtake(token));
                    return;
                }
                self.is_called = true;
                if self.known == self.worker.incarnation {
                    return;
                }
                self.known = self.worker.incarnation;
                self.read = 0;
                let is_fenced = self.epoch.is_unused(token);
                self.restart();
                if is_fenced {
                    self.tracker.answer(self.now, token);
                }
                self.reader = Reader::new(self.known);
                self.has_clock = true;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn late_calls(events in events()) {
        let mut model = Model::new();
        for event in events {
            model.step(event);
            prop_assert_eq!(model.dropped_unread, 0, "an end was dropped unread");
            if model.known == model.worker.incarnation {
                prop_assert!(model.worker.stale_lease_until <= model.tracker.stale_until(model.now));
            }
        }
    }
}

#[test]
fn second_restart() {
    // Late calls of the incarnation between two restarts counted as sent before the first.
    let mut tracker = Tracker::new(0, LONGEST_MS);
    tracker.restart(20_000, 8);
    tracker.restart(34_000, 9);
    let carried_out_at = 34_000 + lease::LATE_CALL_MS;
    assert!(carried_out_at + LONGEST_MS <= tracker.stale_until(carried_out_at));
}

#[test]
fn earlier_answer() {
    // Guards against an answer to a call of an earlier epoch that counts as one to the present epoch's.
    let mut tracker = Tracker::new(0, LONGEST_MS);
    tracker.restart(20_000, 8);
    tracker.answer(20_100, 7);
    assert!(25_000 + LONGEST_MS <= tracker.stale_until(25_000));
    let mut epoch = Epoch::default();
    epoch.begin_term(FENCE);
    assert!(epoch.is_unused(epoch.token(FENCE)));
    epoch.mark_used();
    assert!(!epoch.is_unused(epoch.token(FENCE)), "late calls carry the same token");
}

#[test]
fn repeated_acknowledgement() {
    let mut reader = Reader::new(7);
    assert_eq!(reader.due(7, 22), 22);
    reader.confirm(7, 22);
    assert_eq!(reader.due(7, 22), 0, "a repetition may reach the next incarnation");
    reader = Reader::new(8);
    assert_eq!(reader.due(7, 22), 0);
    assert_eq!(reader.due(8, 1), 1);
}

#[test]
fn next_process() {
    // The worker has seen epochs of the agent's earlier process.
    let mut epoch = Epoch::default();
    epoch.begin_term(FENCE);
    epoch.succeed(40);
    // The process may have begun some epochs after its last report.
    assert!(60 < epoch.number());
    let mut unknown = Epoch::default();
    unknown.begin_term(FENCE);
    let seen = epoch.token(FENCE);
    let mut calls = 0;
    while unknown.token(FENCE) < seen {
        assert!(unknown.overtake(unknown.token(FENCE)));
        calls += 1;
    }
    assert!(calls <= 20, "{calls} calls were refused");
}

#[test]
fn next_planner() {
    let mut epoch = Epoch::default();
    epoch.begin_term(FENCE);
    for _ in 0..1000 {
        epoch.mark_used();
        assert!(epoch.raise());
    }
    let before = epoch.token(FENCE);
    epoch.begin_term(FENCE + 1);
    assert!(before < epoch.token(FENCE + 1));
    assert!(epoch.token(FENCE) < before, "calls of the earlier planner are refused");
    epoch.begin_term(FENCE);
    assert_eq!(epoch.number(), 0);
    assert!(before < epoch.token(FENCE + 1));
}

#[test]
fn last_epoch() {
    // A planner's term has a limited number of epochs, and the next planner's token stays higher.
    let mut epoch = Epoch::default();
    epoch.begin_term(FENCE);
    while epoch.overtake(epoch.token(FENCE)) {}
    epoch.mark_used();
    assert!(!epoch.raise());
    assert!(epoch.token(FENCE) < epoch.token(FENCE + 1));
}
