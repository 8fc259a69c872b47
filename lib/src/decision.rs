//! What the planner takes in and what it decides.

use std::time::Duration;

use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::fleet::Config;
use crate::fleet::Report;
use crate::name::Name;
use crate::shape::Seats;
use crate::shape::Shape;
use crate::table::Class;

/// A job as it enters the planner.
#[value]
pub struct Submission {
    /// Identifier of the job.
    pub job: Name,
    /// The client account it runs for.
    pub account: Name,
    /// What it needs.
    pub shape: Shape,
    /// How long it may wait.
    pub class: Class,
    /// Guarantee that it claims, if any.
    pub guarantee: Option<Name>,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Whether it can be checkpointed and resumed.
    pub checkpoints: bool,
    /// Whether it may run again after its outcome was lost.
    pub idempotent: bool,
    /// Run time the caller declared, in seconds; 0 for none.
    pub declared_s: u64,
    /// Attempts made so far.
    pub attempt: u32,
    /// Places of the newest attempt, when a new planner takes over a placed job.
    pub seats: Seats,
}

/// Something that happened since the last tick.
#[value]
pub enum Event {
    /// A configuration came into force; a lower revision than the one in force is dropped.
    Configure(Config),
    /// A worker announced itself.
    Announce(Report),
    /// A worker's agent is silent; what runs there may go on.
    Silence(Name),
    /// A worker is gone, with all that ran there.
    Lose(Name),
    /// A job was accepted.
    Submit(Submission),
    /// All members of an attempt run.
    Started {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt never ran, and none of its members ever will.
    Aborted {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker at fault, if one is.
        worker: Option<Name>,
    },
    /// An attempt was stopped on the planner's word, and the job waits again.
    Stopped {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// What the members of a job use on one worker, as the worker reports with a lag.
    Usage {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
        /// Processor cores in use.
        processors: u32,
        /// Memory in use, in megabytes.
        memory_mb: u64,
    },
    /// A job has ended for good, whatever the outcome.
    Ended {
        /// Identifier of the job.
        job: Name,
    },
    /// A worker failed a task that others might run.
    Failed {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
    },
}

/// Why a running job is told to stop.
#[value]
pub enum Cause {
    /// A guarantee's owner claims the accelerators.
    Reclaim(Name),
    /// Operators took the data centre out.
    DataCentreOut(Name),
    /// The worker leaves.
    WorkerLeaving(Name),
    /// The worker of a member is gone, or has forgotten what it held.
    WorkerLost(Name),
    /// A job has waited for longer than may be.
    LongWait(Name),
    /// The job moves so that the worker becomes free as a whole.
    Compact(Name),
    /// The job uses more than it declared.
    Overuse(Name),
}

/// What the planner decided.
#[value]
pub enum Action {
    /// Start an attempt of a job on these seats.
    Start {
        /// Identifier of the job.
        job: Name,
        /// The new attempt's number.
        attempt: u32,
        /// Where its members go, in member order.
        seats: Seats,
        /// Number of places that were weighed.
        alternatives: usize,
    },
    /// Stop an attempt after a notice.
    Stop {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// Time to checkpoint.
        notice: Duration,
        /// Why.
        cause: Cause,
    },
    /// End a job that can run nowhere.
    Refuse {
        /// Identifier of the job.
        job: Name,
        /// Why it can run nowhere.
        reason: String,
    },
    /// End a job that has failed where others run.
    Fail {
        /// Identifier of the job.
        job: Name,
        /// Why it is not tried again.
        reason: String,
    },
    /// Tell that no worker that is left could run a waiting job.
    Stranded {
        /// Identifier of the job.
        job: Name,
        /// What it would need.
        reason: String,
    },
    /// Hold the members of a job on one worker to their declaration.
    Throttle {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
        /// Processor cores that they may use together; 0 for no limit.
        processors: u32,
        /// Memory that they may use together, in megabytes; 0 for no limit.
        memory_mb: u64,
    },
    /// A guarantee that could not be met can be met again.
    Met {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
    },
    /// A guarantee cannot be met by the workers that are left.
    Unmet {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
        /// Why it cannot be met.
        reason: String,
    },
}
