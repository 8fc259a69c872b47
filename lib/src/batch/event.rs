//! Events of the planner's ticks, for the log.

use std::time::Duration;

use lavendergauge_derive::value;

use crate::batch::change::Change;
use crate::batch::job::Id;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::occupancy::Occupancy;
use crate::batch::progress::Crashes;
use crate::batch::progress::Outcome;
use crate::batch::share;
use crate::batch::shortage;
use crate::batch::speed;
use crate::batch::trust::Suspicion;
use crate::batch::wait::Wait;

/// What is known about an occurrence of a job when it begins.
#[value]
pub struct Beginning {
    /// The job.
    pub job: Id,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Name of the queue.
    pub queue: String,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Name of the client account.
    pub account: String,
    /// Number of tasks in all steps.
    pub tasks: u32,
    /// Work by the caller's estimates, in core-milliseconds.
    pub work: u64,
    /// Time from its due time in which it should end, by the caller's estimates, in milliseconds.
    pub objective_ms: u64,
    /// Time since it was due, in milliseconds.
    pub waited_ms: u64,
}

/// A decision of a tick or a change that it observed, for the log.
#[value]
pub enum Event {
    /// A change that no decision of the planner caused.
    Changed(Change),
    /// An occurrence of a job has begun: its tasks may be placed.
    Begun(Beginning),
    /// The caller of a job has cancelled it.
    Cancelled(Id),
    /// A task was placed on a worker.
    Placed {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// Name of the agent.
        node: String,
        /// Number of workers that could have been chosen.
        choices: usize,
        /// Whether the worker is near the task's data and its gang.
        near: bool,
    },
    /// A run is to stop, for a cause.
    Stopped(Task, u32, &'static str),
    /// A run is to stop for a more urgent job.
    Preempted {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// The job for which it is stopped.
        by: Id,
    },
    /// Capacity is reserved for a step, on a number of workers.
    Reserved(StepInstance, usize),
    /// A step is placed on what is reserved for a number of other steps, before these can use it.
    Backfilled(StepInstance, usize),
    /// A step that was held back beside free room for this long is placed wherever it can run.
    Overdue(StepInstance, Duration),
    /// A step finds no place; the numbers of workers by cause.
    Waiting(StepInstance, Wait),
    /// The ratio of run times to estimates that is assumed for an account in a queue has changed.
    RunTime {
        /// Name of the queue.
        queue: String,
        /// Name of the account.
        account: String,
        /// Median ratio, in permille.
        median_permille: u32,
        /// Ratio at the quantile 0.9, in permille.
        tail_permille: u32,
        /// Number of observations, as far as they have not aged.
        observations: u32,
    },
    /// How much of the fleet is in use while steps wait; at most one a second.
    Occupancy(Occupancy),
    /// Not all waiting steps can be served in time; at most one a second.
    Shortage(shortage::Summary),
    /// A step that has waited beyond its bound precedes all that are not guaranteed.
    Raised(StepInstance, Duration),
    /// It was weighed whether to stop runs for a step; at most one a second for each step, unless
    /// runs are stopped.
    Weighed(shortage::measure::Weighing),
    /// The steps of an account are put behind those of others; at most one a second.
    Shares(share::Summary),
    /// An agent's worker is suspected, for a cause.
    Suspected(String, Suspicion),
    /// An agent's worker is not suspected any more.
    Cleared(String),
    /// Several workers fail runs of several jobs right after the start; the number of workers.
    FailureBurst(usize),
    /// A step was placed on proven workers only; the number of them that could have been chosen.
    PlacedOnProven(StepInstance, usize),
    /// Last attempts of a step wait for proven workers, although others have room; the number of
    /// proven ones.
    LastAttemptWaits(StepInstance, usize),
    /// A step is placed on workers of a class of speed; their number.
    Tier(StepInstance, speed::Class, usize),
    /// A worker's factor is known to have changed, in thousandths of the usual time.
    Speed(String, u32),
    /// A start that was not sent is withdrawn, as its worker has shrunk.
    Withdrawn {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// Name of the agent.
        node: String,
    },
    /// A step is placed although newer reservations are in its way; their number.
    Overridden(StepInstance, usize),
    /// A job is given up because a task crashes its workers.
    GivenUp(Task, Crashes),
    /// A suspected task starts on a worker; whether nothing else runs there.
    Quarantined {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// Name of the agent.
        node: String,
        /// Whether the worker ran nothing else.
        is_idle: bool,
    },
    /// A job has ended.
    Ended(Id, Outcome),
}
