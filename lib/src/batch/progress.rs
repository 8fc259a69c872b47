//! What is recorded of a job's tasks, so that the next planner knows every run that may exist.

use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

/// Where a run was placed.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Place {
    /// Name of the agent beside the worker.
    pub node: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

/// One task.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Task {
    /// Number of the newest run; 0 for none.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Whether a run has ended well.
    pub done: bool,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Where the newest run may still be; `None` when it is over.
    pub place: Option<Place>,
    /// Number of the newest run whose failure is counted; 0 for none.
    #[serde(default)]
    pub failed_run: u32,
}

/// The tasks of one occurrence, by step.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Occurrence {
    /// Number of the occurrence.
    pub number: u32,
    /// Tasks of each step.
    pub steps: Vec<Vec<Task>>,
}

/// How a job ended.
#[value]
#[derive(Copy, Serialize, Deserialize)]
pub enum Outcome {
    /// All its tasks are done.
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
}

/// The record of one job, written by the planner alone.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the first occurrence that is not over.
    pub from: u32,
    /// Occurrences that have begun and are not over.
    pub occurrences: Vec<Occurrence>,
    /// How it ended; `None` before.
    pub outcome: Option<Outcome>,
    /// When it ended, in Unix milliseconds; 0 before.
    pub ended_ms: u64,
}
