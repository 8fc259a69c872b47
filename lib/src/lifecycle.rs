//! Lifecycle of a job's durable record: which changes are valid in which state.
//!
//! A change is carried out by a compare-and-swap on the record. A writer that lost the
//! store's reply reads the record and applies the change again: [`Verdict::Already`] means
//! that the change had taken effect, [`Verdict::Refused`] that another writer was faster.

use lavendergauge_derive::token;

/// State of a job.
#[token]
pub enum State {
    /// The job is accepted, and waits for a placement.
    Waiting,
    /// An attempt is recorded; its members may have started.
    Starting,
    /// All members of the attempt were started.
    Running,
    /// The caller cancelled the job, and its members are being stopped.
    Stopping,
    /// The job finished successfully.
    Done,
    /// The job failed.
    Failed,
    /// The caller cancelled the job, and it has ended.
    Cancelled,
    /// No worker can run the job.
    Refused,
    /// The job may have run in part, and must not run again.
    Unknown,
}

impl State {
    /// Tells whether the state is final.
    ///
    /// ```
    /// use lavendergauge_lib::lifecycle::State;
    /// assert!(State::Unknown.is_final());
    /// assert!(!State::Stopping.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        !matches!(self, State::Waiting | State::Starting | State::Running | State::Stopping)
    }
}

/// Whether a job may run again after it may have run in part.
#[token]
pub enum Repeat {
    /// It may: it is idempotent, or resumes from its newest checkpoint.
    Allowed,
    /// It may not: it runs at most once.
    Never,
}

/// The fields of a record on which the validity of a change depends.
#[token]
pub struct Lifecycle {
    /// State of the job.
    pub state: State,
    /// Number of the newest attempt, which fences the older ones.
    pub attempt: u32,
    /// Epoch of the planner that started the attempt.
    pub epoch: u64,
}

/// A change to a record.
#[token]
pub enum Change {
    /// A planner starts an attempt; recorded before any of its members may start.
    Start {
        /// Number of the attempt.
        attempt: u32,
        /// Epoch of the planner.
        epoch: u64,
    },
    /// All members of an attempt were started.
    Launched(u32),
    /// No member of an attempt has started or ever will.
    Withdraw(u32),
    /// An attempt was lost: all its members have ended, and some may have run.
    Lose(u32, Repeat),
    /// The planner stopped an attempt.
    Evict(u32, Repeat),
    /// All members of an attempt finished successfully.
    Finish(u32),
    /// A member of an attempt failed.
    Fail(u32),
    /// The caller cancels the job.
    Cancel,
    /// No worker can run the job.
    Refuse,
}

/// Result of applying a change.
#[token]
pub enum Verdict {
    /// The change is valid; write this.
    Write(Lifecycle),
    /// The change has taken effect before.
    Already,
    /// The change is not valid in the current state.
    Refused,
}

/// Decides whether a change to a record is valid, and what to write.
///
/// ```
/// use lavendergauge_lib::lifecycle;
/// use lavendergauge_lib::lifecycle::{Change, Lifecycle, Repeat, State, Verdict};
/// let waiting = Lifecycle { state: State::Waiting, attempt: 0, epoch: 0 };
/// let Verdict::Write(starting) = lifecycle::apply(waiting, Change::Start { attempt: 1, epoch: 7 })
/// else { unreachable!() };
/// let lost = lifecycle::apply(starting, Change::Lose(1, Repeat::Never));
/// assert!(matches!(lost, Verdict::Write(Lifecycle { state: State::Unknown, .. })));
/// ```
pub fn apply(lifecycle: Lifecycle, change: Change) -> Verdict {
    match change {
        Change::Start { attempt, epoch } => start(lifecycle, attempt, epoch),
        Change::Launched(attempt) => launched(lifecycle, attempt),
        Change::Withdraw(attempt) => end(
            lifecycle,
            attempt,
            unless_cancelled(lifecycle, State::Waiting),
            &[State::Starting, State::Stopping],
        ),
        Change::Lose(attempt, Repeat::Allowed) | Change::Evict(attempt, Repeat::Allowed) => {
            end(lifecycle, attempt, unless_cancelled(lifecycle, State::Waiting), &ACTIVE)
        }
        Change::Lose(attempt, Repeat::Never) => {
            end(lifecycle, attempt, unless_cancelled(lifecycle, State::Unknown), &ACTIVE)
        }
        Change::Evict(attempt, Repeat::Never) => {
            end(lifecycle, attempt, unless_cancelled(lifecycle, State::Failed), &ACTIVE)
        }
        Change::Finish(attempt) => end(lifecycle, attempt, State::Done, &ACTIVE),
        Change::Fail(attempt) => end(lifecycle, attempt, State::Failed, &ACTIVE),
        Change::Cancel => cancel(lifecycle),
        Change::Refuse => match lifecycle.state {
            State::Waiting => Verdict::Write(Lifecycle { state: State::Refused, ..lifecycle }),
            State::Refused => Verdict::Already,
            _ => Verdict::Refused,
        },
    }
}

/// States in which members of the newest attempt may be running.
const ACTIVE: [State; 3] = [State::Starting, State::Running, State::Stopping];

fn start(lifecycle: Lifecycle, attempt: u32, epoch: u64) -> Verdict {
    if lifecycle == (Lifecycle { state: State::Starting, attempt, epoch }) {
        return Verdict::Already;
    }
    if lifecycle.state != State::Waiting || attempt <= lifecycle.attempt {
        return Verdict::Refused;
    }
    Verdict::Write(Lifecycle { state: State::Starting, attempt, epoch })
}

fn launched(lifecycle: Lifecycle, attempt: u32) -> Verdict {
    match lifecycle.state {
        _ if lifecycle.attempt != attempt => Verdict::Refused,
        State::Starting => Verdict::Write(Lifecycle { state: State::Running, ..lifecycle }),
        State::Running | State::Stopping => Verdict::Already,
        _ => Verdict::Refused,
    }
}

/// Returns the state after an attempt ended: `goal`, or cancelled if the caller cancelled the job.
fn unless_cancelled(lifecycle: Lifecycle, goal: State) -> State {
    if lifecycle.state == State::Stopping { State::Cancelled } else { goal }
}

/// Ends an attempt in state `goal` if the record is in one of the states `from`.
fn end(lifecycle: Lifecycle, attempt: u32, goal: State, from: &[State]) -> Verdict {
    if lifecycle.attempt != attempt {
        return Verdict::Refused;
    }
    if from.contains(&lifecycle.state) {
        return Verdict::Write(Lifecycle { state: goal, ..lifecycle });
    }
    let has_taken_effect = lifecycle.state == goal || lifecycle.state == State::Cancelled;
    if has_taken_effect { Verdict::Already } else { Verdict::Refused }
}

fn cancel(lifecycle: Lifecycle) -> Verdict {
    match lifecycle.state {
        State::Waiting => Verdict::Write(Lifecycle { state: State::Cancelled, ..lifecycle }),
        State::Starting | State::Running => {
            Verdict::Write(Lifecycle { state: State::Stopping, ..lifecycle })
        }
        State::Stopping | State::Cancelled => Verdict::Already,
        _ => Verdict::Refused,
    }
}
