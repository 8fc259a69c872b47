//! An agent's side of requests: slots, and what became of each key.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;
use crate::name::Name;

/// Time for which a finished or fenced key is remembered.
pub const RETENTION: Duration = Duration::from_secs(600);

/// A whole answer, kept for whoever asks with the key.
#[value]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header lines in order.
    pub headers: Vec<(Bytes, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// What the gate says to a request that wants to run.
#[value]
pub enum Admission {
    /// Run it; exactly one caller is told so for a key.
    Run,
    /// It ran before; this is its answer.
    Ran(Answer),
    /// It is running now.
    Running,
    /// It does not run here.
    Refused(Refusal),
}

/// Why a request does not run.
#[token]
pub enum Refusal {
    /// All slots are taken.
    Full,
    /// There is no fresh start permit.
    NoPermit,
    /// The target takes no new work.
    Leaving,
    /// The key was fenced when someone asked about it.
    Fenced,
    /// The key was used with another request.
    Mismatch,
}

/// What the gate knows of a key when asked.
#[value]
pub enum Standing {
    /// It ran; this is its answer.
    Ran(Answer),
    /// It is running now.
    Running,
    /// It never ran here, and from now on never will.
    Fenced,
}

#[value]
enum State {
    Running,
    Ran(Answer),
    Fenced,
}

#[value]
struct Record {
    digest: Name,
    state: State,
    until: Option<Millis>,
}

/// The only giver of one target's slots.
#[value]
pub struct Gate {
    slots: u32,
    used: u32,
    records: HashMap<Name, Record>,
}

impl Gate {
    /// Makes a gate over a target's slots.
    ///
    /// ```
    /// use lavendergauge_lib::request::Gate;
    /// assert_eq!(Gate::new(8).used(), 0);
    /// ```
    pub fn new(slots: u32) -> Self {
        Gate { slots, used: 0, records: HashMap::new() }
    }

    /// Returns the number of slots in use.
    ///
    /// ```
    /// use lavendergauge_lib::request::Gate;
    /// assert_eq!(Gate::new(8).used(), 0);
    /// ```
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Decides whether a request runs; `open` tells whether new work may start.
    ///
    /// ```
    /// use lavendergauge_lib::request::{Admission, Gate};
    /// let mut gate = Gate::new(1);
    /// assert_eq!(gate.admit(&"k".into(), &"d".into(), Ok(())), Admission::Run);
    /// assert_eq!(gate.admit(&"k".into(), &"d".into(), Ok(())), Admission::Running);
    /// ```
    pub fn admit(&mut self, key: &Name, digest: &Name, open: Result<(), Refusal>) -> Admission {
        if let Some(record) = self.records.get(key) {
            if record.state != State::Fenced && record.digest != *digest {
                return Admission::Refused(Refusal::Mismatch);
            }
            return match &record.state {
                State::Running => Admission::Running,
                State::Ran(answer) => Admission::Ran(answer.clone()),
                State::Fenced => Admission::Refused(Refusal::Fenced),
            };
        }
        if let Err(refusal) = open {
            return Admission::Refused(refusal);
        }
        if self.slots <= self.used {
            return Admission::Refused(Refusal::Full);
        }
        self.used += 1;
        let record = Record { digest: digest.clone(), state: State::Running, until: None };
        self.records.insert(key.clone(), record);
        Admission::Run
    }

    /// Records the answer of a request that was told to run, and frees its slot.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Admission, Answer, Gate};
    /// let mut gate = Gate::new(1);
    /// let answer = Answer { status: 200, headers: Vec::new(), body: "ok".into() };
    /// gate.admit(&"k".into(), &"d".into(), Ok(()));
    /// gate.finish(Millis(0), &"k".into(), answer.clone());
    /// assert_eq!(gate.admit(&"k".into(), &"d".into(), Ok(())), Admission::Ran(answer));
    /// ```
    pub fn finish(&mut self, now: Millis, key: &Name, answer: Answer) {
        let Some(record) = self.records.get_mut(key) else { return };
        if record.state != State::Running {
            return;
        }
        record.state = State::Ran(answer);
        record.until = Some(now + RETENTION);
        self.used -= 1;
    }

    /// Says what became of a key, and fences it if it never ran here.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Admission, Gate, Refusal, Standing};
    /// let mut gate = Gate::new(1);
    /// assert_eq!(gate.ask(Millis(0), &"k".into()), Standing::Fenced);
    /// let refused = Admission::Refused(Refusal::Fenced);
    /// assert_eq!(gate.admit(&"k".into(), &"d".into(), Ok(())), refused);
    /// ```
    pub fn ask(&mut self, now: Millis, key: &Name) -> Standing {
        let record = self.records.entry(key.clone()).or_insert_with(|| Record {
            digest: Name::default(),
            state: State::Fenced,
            until: Some(now + RETENTION),
        });
        match &record.state {
            State::Running => Standing::Running,
            State::Ran(answer) => Standing::Ran(answer.clone()),
            State::Fenced => Standing::Fenced,
        }
    }

    /// Forgets what is past its retention.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::Gate;
    /// Gate::new(1).tick(Millis(0));
    /// ```
    pub fn tick(&mut self, now: Millis) {
        self.records.retain(|_, record| record.until.is_none_or(|until| now < until));
    }
}
