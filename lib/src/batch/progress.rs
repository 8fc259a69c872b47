//! Durable progress of jobs, from which the next planner knows every run that may exist.

use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

/// Worker on which a run was placed.
#[value]
#[derive(Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name of the agent on the worker's VM.
    pub node: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

/// Crashes of workers on which a task ran.
#[value]
#[derive(Copy, Default, Serialize, Deserialize)]
pub struct Crashes {
    /// Number of crashes that the task may have caused.
    pub count: u32,
    /// How much speaks for the task as their cause; 0 once a later run has stayed at work.
    pub strikes: u32,
    /// Number of the newest run that is counted.
    pub run: u32,
    /// Number of those under starts that got no answer, so that the task may not have run. It is left
    /// out while it is 0, so that earlier versions read the others.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unconfirmed: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}

impl Crashes {
    /// Returns the number of crashes under runs that certainly existed.
    ///
    /// ```
    /// use lavendergauge_lib::batch::progress::Crashes;
    /// let crashes = Crashes { count: 3, unconfirmed: 1, ..Crashes::default() };
    /// assert_eq!(crashes.confirmed(), 2);
    /// ```
    pub fn confirmed(&self) -> u32 {
        self.count.saturating_sub(self.unconfirmed)
    }

    /// Tells whether no worker has crashed under the task.
    ///
    /// ```
    /// assert!(lavendergauge_lib::batch::progress::Crashes::default().is_none());
    /// ```
    pub fn is_none(&self) -> bool {
        *self == Crashes::default()
    }
}

/// Progress of one task.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Task {
    /// Number of the newest run; 0 for none.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether a run has succeeded.
    pub done: bool,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Worker on which the newest run may still exist; `None` when that run has ended.
    #[serde(rename = "place")]
    pub worker: Option<WorkerIncarnation>,
    /// Number of the newest run whose failure is counted; 0 for none.
    #[serde(default)]
    pub failed_run: u32,
    /// Crashes of workers that the task may have caused.
    #[serde(default, skip_serializing_if = "Crashes::is_none")]
    pub crashes: Crashes,
}

/// Progress of one occurrence.
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
    /// A task has failed as often as the queue allows, or crashes its workers.
    Failed,
}

/// Durable progress of one job; only the planner writes it.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the first occurrence that has not ended.
    pub from: u32,
    /// Occurrences that have begun and have not ended.
    pub occurrences: Vec<Occurrence>,
    /// How the job ended; `None` before.
    pub outcome: Option<Outcome>,
    /// When the job ended, in Unix milliseconds; 0 before.
    pub ended_ms: u64,
    /// Whether no worker has said that a recorded run started. It is left out while it is false; earlier
    /// versions do not write it, and take every recorded run for one that started.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unstarted: bool,
}
