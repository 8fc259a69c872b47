//! What a turn of the planner decided, for the log.

use lavendergauge_derive::value;

use crate::batch::job::Id;
use crate::batch::job::Part;
use crate::batch::job::Task;
use crate::batch::observe::Change;
use crate::batch::progress::Outcome;

/// What a turn decided, for the log.
#[value]
pub enum Note {
    /// Something changed without a decision.
    Changed(Change),
    /// A task was given a worker.
    Placed {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// Name of the agent.
        node: String,
        /// Workers that could have been chosen.
        choices: usize,
        /// Whether the worker is near the task's data and its gang.
        near: bool,
    },
    /// A run is told to stop.
    Stopped(Task, u32, &'static str),
    /// A run is told to stop for a more pressing job.
    Preempted {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// The job that takes its place.
        by: Id,
    },
    /// Space is kept for a step.
    Claimed(Part, usize),
    /// A job has ended.
    Ended(Id, Outcome),
}
