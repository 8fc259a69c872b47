//! What happened in a run, as its outside saw it: invocations, outcomes and executions.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use lavendergauge_derive::value;

/// What a caller was told of its request.
#[value]
pub enum Outcome {
    /// An answer; names the request it was made for, and whether it came whole.
    Ran {
        /// The request that the answer was made for.
        of: String,
        /// Whether length and digest were right.
        whole: bool,
    },
    /// The request did not run.
    NotRun,
    /// Nobody knows.
    Unknown,
    /// The connection broke off without an outcome.
    Cut,
}

/// How a member ended at its runtime.
#[value]
pub enum End {
    /// By itself.
    Done,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

/// One thing that happened.
#[value]
pub enum Event {
    /// A caller sent a request.
    Invoke {
        /// Unique name of the request.
        request: String,
        /// Its idempotency key.
        key: String,
        /// Whether it may run more than once.
        idempotent: bool,
        /// The process it was sent to.
        process: String,
    },
    /// A caller learnt the outcome of a request.
    Told {
        /// Unique name of the request.
        request: String,
        /// What it was told.
        outcome: Outcome,
    },
    /// A target began to execute a request.
    Execute {
        /// The idempotency key.
        key: String,
        /// The target's worker.
        worker: String,
        /// Its data centre.
        data_centre: String,
    },
    /// A job was accepted.
    Submit {
        /// Identifier of the job.
        job: String,
        /// Number of its members.
        members: usize,
        /// Whether it may run more than once.
        repeatable: bool,
        /// Whether it claims a guarantee of its client account.
        claims: bool,
    },
    /// A member began to run at its runtime.
    Start {
        /// Identifier of the job.
        job: String,
        /// The attempt.
        attempt: u32,
        /// Index of the member.
        member: usize,
        /// Data centre of the worker.
        data_centre: String,
    },
    /// A member ended at its runtime.
    Stop {
        /// Identifier of the job.
        job: String,
        /// The attempt.
        attempt: u32,
        /// Index of the member.
        member: usize,
        /// How.
        end: End,
    },
    /// Operators were told that a data centre is out.
    Out(String),
    /// Operators asked for a data centre to be in again.
    In(String),
    /// A target announced that it leaves.
    Leave(String),
    /// A process was asked to stop gracefully.
    Stopping(String),
    /// A process was killed.
    Killed(String),
    /// A revision of the configuration was accepted.
    Accepted(u64),
    /// A process said which revision is in force there.
    InForce {
        /// The process.
        process: String,
        /// The revision.
        revision: u64,
    },
}

/// An event and its time in milliseconds since the history began.
#[value]
pub struct Line {
    /// When it happened.
    pub at: u64,
    /// What happened.
    pub event: Event,
}

/// A history that many tasks write; clones share it.
#[derive(Clone, Debug)]
pub struct Recorder {
    begun: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { begun: Instant::now(), lines: Arc::default() }
    }
}

impl Recorder {
    /// Writes down that something happens now.
    ///
    /// ```
    /// use lavendergauge_testutils::history::{Event, Recorder};
    /// let recorder = Recorder::default();
    /// recorder.write(Event::Accepted(1));
    /// assert_eq!(recorder.lines().len(), 1);
    /// ```
    pub fn write(&self, event: Event) {
        self.write_at(Instant::now(), event);
    }

    /// Writes down that something happened at a time.
    ///
    /// ```
    /// use std::time::Instant;
    /// use lavendergauge_testutils::history::{Event, Recorder};
    /// Recorder::default().write_at(Instant::now(), Event::Accepted(1));
    /// ```
    pub fn write_at(&self, at: Instant, event: Event) {
        let at = at.saturating_duration_since(self.begun).as_millis() as u64;
        let mut lines = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        lines.push(Line { at, event });
    }

    /// Returns the history so far, in the order of time.
    ///
    /// ```
    /// assert!(lavendergauge_testutils::history::Recorder::default().lines().is_empty());
    /// ```
    pub fn lines(&self) -> Vec<Line> {
        let lines = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut lines = lines.clone();
        lines.sort_by_key(|line| line.at);
        lines
    }
}
