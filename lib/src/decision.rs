//! Input and output of the planner: submissions, events and actions.

use std::time::Duration;

use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::fleet::Config;
use crate::fleet::Report;
use crate::name::Name;
use crate::shape::Assignments;
use crate::shape::Shape;
use crate::table::Class;

/// A job as submitted to the planner.
#[value]
pub struct Submission {
    /// Identifier of the job.
    pub job: Name,
    /// The client account it runs for.
    pub account: Name,
    /// Resources that it needs.
    pub shape: Shape,
    /// How long it may wait.
    pub class: Class,
    /// Guarantee that it claims, if any.
    pub guarantee: Option<Name>,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Whether it can be checkpointed and resumed.
    pub checkpoints: bool,
    /// Whether it may run again when the outcome of an earlier attempt is not known.
    pub idempotent: bool,
    /// Run time the caller declared, in seconds; 0 for none.
    pub declared_s: u64,
    /// Attempts made so far.
    pub attempt: u32,
    /// Workers and accelerators of the newest attempt, when a new planner takes over a placed job.
    pub assignments: Assignments,
}

/// Something that happened since the last tick.
#[value]
pub enum Event {
    /// A configuration came into force; a lower revision than the one in force is dropped.
    Configure(Config),
    /// A worker announced itself.
    Announce(Report),
    /// A worker's agent is silent; its members may still run.
    Silence(Name),
    /// A worker is lost, along with all members that ran there.
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
    /// An attempt was aborted: no member ran, and none will.
    Aborted {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker at fault, if one is.
        worker: Option<Name>,
    },
    /// An attempt was stopped at the planner's request, and the job waits again.
    Stopped {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// Usage of a job's members on one worker; the worker's reports lag behind.
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
    /// A job has ended, whatever its outcome, and will not run again.
    Ended {
        /// Identifier of the job.
        job: Name,
    },
    /// A task failed on a worker, and might succeed on another one.
    Failed {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
    },
}

/// Why a running job is ordered to stop.
#[value]
pub enum Cause {
    /// A guarantee's owner claims the accelerators.
    Reclaim(Name),
    /// Operators took the data centre out of service.
    DataCentreOut(Name),
    /// The worker leaves.
    WorkerLeaving(Name),
    /// The worker of a member is lost, or its agent restarted and has no record of the member.
    WorkerLost(Name),
    /// A job has waited longer than its class's bound.
    LongWait(Name),
    /// The job moves so that all accelerators of the worker become free.
    Compact(Name),
    /// The job uses more than it declared.
    Overuse(Name),
}

/// A decision of the planner.
#[value]
pub enum Action {
    /// Start an attempt of a job.
    Start {
        /// Identifier of the job.
        job: Name,
        /// The new attempt's number.
        attempt: u32,
        /// Workers and accelerators of its members, in member order.
        assignments: Assignments,
        /// Number of alternative placements that were compared.
        alternatives: usize,
    },
    /// Stop an attempt after a notice.
    Stop {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// Time that the job has to checkpoint before it is stopped.
        notice: Duration,
        /// Why.
        cause: Cause,
    },
    /// End a job that no worker can run.
    Refuse {
        /// Identifier of the job.
        job: Name,
        /// Why no worker can run it.
        reason: String,
    },
    /// End a job that failed on workers that other jobs run on.
    Fail {
        /// Identifier of the job.
        job: Name,
        /// Why it is not tried again.
        reason: String,
    },
    /// Report that none of the remaining workers could run a waiting job.
    Stranded {
        /// Identifier of the job.
        job: Name,
        /// What it needs and the remaining workers lack.
        reason: String,
    },
    /// Limit the members of a job on one worker to the resources that they declared.
    Throttle {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
        /// Total of processor cores that they may use; 0 for no limit.
        processors: u32,
        /// Total of memory that they may use, in megabytes; 0 for no limit.
        memory_mb: u64,
    },
    /// A guarantee that was reported as unmet can be met again.
    Met {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
    },
    /// A guarantee cannot be met by the remaining workers.
    Unmet {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
        /// Why it cannot be met.
        reason: String,
    },
}
