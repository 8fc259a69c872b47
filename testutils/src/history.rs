//! The history of a test run as seen from outside the system: requests, outcomes and executions.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use lavendergauge_derive::value;

/// The outcome of a request as its caller learned it.
#[value]
pub enum Outcome {
    /// The request ran, and the caller received an answer.
    Ran {
        /// Unique name of the request that the answer belongs to; if it is not the caller's own
        /// request, that is a violation.
        answer_to: String,
        /// Whether the whole answer arrived, with the right length and digest.
        is_whole: bool,
    },
    /// The system stated that the request did not run.
    NotRun,
    /// The system stated that it does not know whether the request ran.
    Unknown,
    /// The connection broke before an outcome arrived.
    Disconnected,
}

/// How a member of a gang ended at its worker runtime.
#[value]
pub enum End {
    /// It ran to its end.
    Done,
    /// It was stopped, or its lease expired.
    Stopped,
}

/// An observed event.
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
        /// Name of the process that it was sent to.
        process: String,
    },
    /// A caller learned the outcome of a request.
    Complete {
        /// Unique name of the request.
        request: String,
        /// The outcome.
        outcome: Outcome,
    },
    /// A target began to execute a request.
    Execute {
        /// The idempotency key.
        key: String,
        /// Name of the target's worker.
        worker: String,
        /// Data centre of the worker.
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
    /// A member of a gang started at its worker runtime.
    Start {
        /// Identifier of the job.
        job: String,
        /// Number of the attempt that the member belongs to.
        attempt: u32,
        /// Index of the member.
        member: usize,
        /// Data centre of the worker.
        data_centre: String,
    },
    /// A member of a gang ended at its worker runtime.
    Stop {
        /// Identifier of the job.
        job: String,
        /// Number of the attempt that the member belongs to.
        attempt: u32,
        /// Index of the member.
        member: usize,
        /// How it ended.
        end: End,
    },
    /// A change that takes a data centre out was accepted.
    DataCentreOut(String),
    /// A change that takes a data centre in again was requested.
    DataCentreIn(String),
    /// The target of a worker announced that it is leaving; holds the worker's name.
    TargetLeaving(String),
    /// A process was asked to stop gracefully; holds its name.
    Stopping(String),
    /// A process was killed; holds its name.
    Killed(String),
    /// A revision of the configuration was accepted.
    ConfigAccepted(u64),
    /// A process reported the revision of the configuration that is in force there.
    ConfigInForce {
        /// Name or address of the process.
        process: String,
        /// The revision.
        revision: u64,
    },
}

/// An event with its time.
#[value]
pub struct TimedEvent {
    /// Milliseconds from the start of the history to the event.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// Records a history; clones record into the same history, from any task.
#[derive(Clone, Debug)]
pub struct Recorder {
    started_at: Instant,
    events: Arc<Mutex<Vec<TimedEvent>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started_at: Instant::now(), events: Arc::default() }
    }
}

impl Recorder {
    /// Records an event that happens now.
    ///
    /// ```
    /// use lavendergauge_testutils::history::{Event, Recorder};
    /// let recorder = Recorder::default();
    /// recorder.record(Event::ConfigAccepted(1));
    /// assert_eq!(recorder.events().len(), 1);
    /// ```
    pub fn record(&self, event: Event) {
        self.record_at(Instant::now(), event);
    }

    /// Records an event that happened at `at`. An event from before the start of the history is
    /// recorded at its start.
    ///
    /// ```
    /// use std::time::Instant;
    /// use lavendergauge_testutils::history::{Event, Recorder};
    /// Recorder::default().record_at(Instant::now(), Event::ConfigAccepted(1));
    /// ```
    pub fn record_at(&self, at: Instant, event: Event) {
        let at_ms = at.saturating_duration_since(self.started_at).as_millis() as u64;
        let mut events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        events.push(TimedEvent { at_ms, event });
    }

    /// Returns the events recorded so far, ordered by time.
    ///
    /// ```
    /// assert!(lavendergauge_testutils::history::Recorder::default().events().is_empty());
    /// ```
    pub fn events(&self) -> Vec<TimedEvent> {
        let events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut events = events.clone();
        events.sort_by_key(|event| event.at_ms);
        events
    }
}
