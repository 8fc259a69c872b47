//! The life of a job's durable record: which change may follow which state.
//!
//! A change is carried out by a compare-and-swap on the record. A writer whose
//! answer was lost reads the record again and asks once more: a change that has
//! already taken effect says so, and one that lost its race is refused.

use lavendergauge_derive::token;

/// Where a job is in its life.
#[token]
pub enum State {
    /// Accepted, and not placed.
    Waiting,
    /// An attempt is on record; its members may have started.
    Starting,
    /// All members of the attempt run.
    Running,
    /// Its caller cancelled it, and its members are being stopped.
    Stopping,
    /// It came to its own end.
    Done,
    /// It failed.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// It can run nowhere.
    Refused,
    /// It may have run in part, and must not run again.
    Unknown,
}

impl State {
    /// Tells whether the job is over for good.
    ///
    /// ```
    /// use lavendergauge_lib::life::State;
    /// assert!(State::Unknown.is_over());
    /// assert!(!State::Stopping.is_over());
    /// ```
    pub fn is_over(self) -> bool {
        !matches!(self, State::Waiting | State::Starting | State::Running | State::Stopping)
    }
}

/// Whether a job may run again after it ran in part.
#[token]
pub enum Repeat {
    /// It is idempotent, or resumes from its newest checkpoint.
    Allowed,
    /// It runs at most once.
    Never,
}

/// What of a record decides about its changes.
#[token]
pub struct Life {
    /// Where the job is.
    pub state: State,
    /// Number of the newest attempt, which fences the older ones.
    pub attempt: u32,
    /// Epoch of the planner that made it.
    pub epoch: u64,
}

/// Something to be recorded.
#[token]
pub enum Change {
    /// A planner claims an attempt before any of its members may start.
    Stake {
        /// The attempt.
        attempt: u32,
        /// The planner's epoch.
        epoch: u64,
    },
    /// All members of an attempt run.
    Launched(u32),
    /// No member of an attempt ever started, and none ever will.
    Withdraw(u32),
    /// An attempt broke, and all its members are over; some may have run.
    Lose(u32, Repeat),
    /// An attempt was stopped on the planner's word.
    Yield(u32, Repeat),
    /// All members of an attempt came to their own end.
    Finish(u32),
    /// A member of an attempt failed.
    Fail(u32),
    /// The caller no longer wants the job.
    Cancel,
    /// The job can run nowhere.
    Refuse,
}

/// What becomes of a change.
#[token]
pub enum Verdict {
    /// Write this.
    Write(Life),
    /// The record says so already.
    Already,
    /// The record has moved on.
    Refused,
}

/// Decides what becomes of a change to a record.
///
/// ```
/// use lavendergauge_lib::life;
/// use lavendergauge_lib::life::{Change, Life, Repeat, State, Verdict};
/// let waiting = Life { state: State::Waiting, attempt: 0, epoch: 0 };
/// let Verdict::Write(starting) = life::apply(waiting, Change::Stake { attempt: 1, epoch: 7 })
/// else { unreachable!() };
/// let lost = life::apply(starting, Change::Lose(1, Repeat::Never));
/// assert!(matches!(lost, Verdict::Write(Life { state: State::Unknown, .. })));
/// ```
pub fn apply(life: Life, change: Change) -> Verdict {
    match change {
        Change::Stake { attempt, epoch } => stake(life, attempt, epoch),
        Change::Launched(attempt) => launched(life, attempt),
        Change::Withdraw(attempt) => over(
            life,
            attempt,
            unless_cancelled(life, State::Waiting),
            &[State::Starting, State::Stopping],
        ),
        Change::Lose(attempt, Repeat::Allowed) | Change::Yield(attempt, Repeat::Allowed) => {
            over(life, attempt, unless_cancelled(life, State::Waiting), &LIVE)
        }
        Change::Lose(attempt, Repeat::Never) => {
            over(life, attempt, unless_cancelled(life, State::Unknown), &LIVE)
        }
        Change::Yield(attempt, Repeat::Never) => {
            over(life, attempt, unless_cancelled(life, State::Failed), &LIVE)
        }
        Change::Finish(attempt) => over(life, attempt, State::Done, &LIVE),
        Change::Fail(attempt) => over(life, attempt, State::Failed, &LIVE),
        Change::Cancel => cancel(life),
        Change::Refuse => match life.state {
            State::Waiting => Verdict::Write(Life { state: State::Refused, ..life }),
            State::Refused => Verdict::Already,
            _ => Verdict::Refused,
        },
    }
}

/// States in which members of the newest attempt may run.
const LIVE: [State; 3] = [State::Starting, State::Running, State::Stopping];

fn stake(life: Life, attempt: u32, epoch: u64) -> Verdict {
    if life == (Life { state: State::Starting, attempt, epoch }) {
        return Verdict::Already;
    }
    if life.state != State::Waiting || attempt <= life.attempt {
        return Verdict::Refused;
    }
    Verdict::Write(Life { state: State::Starting, attempt, epoch })
}

fn launched(life: Life, attempt: u32) -> Verdict {
    match life.state {
        _ if life.attempt != attempt => Verdict::Refused,
        State::Starting => Verdict::Write(Life { state: State::Running, ..life }),
        State::Running | State::Stopping => Verdict::Already,
        _ => Verdict::Refused,
    }
}

/// Returns where a job goes whose attempt was stopped or lost.
fn unless_cancelled(life: Life, goal: State) -> State {
    if life.state == State::Stopping { State::Cancelled } else { goal }
}

/// Ends an attempt.
fn over(life: Life, attempt: u32, goal: State, from: &[State]) -> Verdict {
    if life.attempt != attempt {
        return Verdict::Refused;
    }
    if from.contains(&life.state) {
        return Verdict::Write(Life { state: goal, ..life });
    }
    let already = life.state == goal || life.state == State::Cancelled;
    if already { Verdict::Already } else { Verdict::Refused }
}

fn cancel(life: Life) -> Verdict {
    match life.state {
        State::Waiting => Verdict::Write(Life { state: State::Cancelled, ..life }),
        State::Starting | State::Running => Verdict::Write(Life { state: State::Stopping, ..life }),
        State::Stopping | State::Cancelled => Verdict::Already,
        _ => Verdict::Refused,
    }
}
