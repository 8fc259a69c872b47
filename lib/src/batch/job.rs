//! Batch jobs as callers submit them: jobs, their steps and the names of their tasks.

use std::fmt;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::batch::config::Queue;
use crate::resource::Resources;

/// Identifier of a job, chosen by its caller: 16 hexadecimal digits.
#[token]
#[derive(Serialize, Deserialize)]
pub struct Id(pub u64);

impl Id {
    /// Parses an identifier; `None` unless it is 16 lower-case hexadecimal digits.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Id;
    /// assert_eq!(Id::parse("00000000000000ff"), Some(Id(255)));
    /// assert_eq!(Id::parse("ff"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Id> {
        let lower = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(lower) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Id)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One step of one occurrence of a job.
#[token]
#[derive(Serialize, Deserialize)]
pub struct StepInstance {
    /// The job.
    pub job: Id,
    /// Number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
}

/// One task of a job.
#[token]
#[derive(Serialize, Deserialize)]
pub struct Task {
    /// The step to which it belongs.
    #[serde(rename = "part")]
    pub instance: StepInstance,
    /// Number within the step.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepInstance { job, occurrence, step } = self.instance;
        write!(f, "{job}.{occurrence}.{step}.{}", self.index)
    }
}

impl Task {
    /// Parses a task's name, `job.occurrence.step.index`; `None` if it is malformed.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Task;
    /// let task = Task::parse("00000000000000ff.0.1.17").unwrap();
    /// assert_eq!(task.index, 17);
    /// assert_eq!(task.to_string(), "00000000000000ff.0.1.17");
    /// ```
    pub fn parse(text: &str) -> Option<Task> {
        let mut parts = text.split('.');
        let job = Id::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        if parts.next().is_some() {
            return None;
        }
        Some(Task { instance: StepInstance { job, occurrence, step }, index })
    }
}

/// One step of a job.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Processors of one task, in thousandths of a core.
    pub processors: u32,
    /// Memory of one task, in megabytes.
    pub memory_mb: u64,
    /// Accelerators of one task.
    pub accelerators: u32,
    /// The caller's rough estimate of one task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that must be done before this one.
    pub after: SmallVec<[u16; 4]>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks are a gang: all or none of them run, under one run number.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over more than one rack.
    pub same_rack: bool,
    /// Label that a worker must carry; empty for none.
    pub label: String,
    /// Rack that holds the data; empty for any.
    pub data_rack: String,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasts")]
    pub long_running: bool,
    /// Image that the tasks run.
    pub image: String,
    /// Bound on the tail latency of a serving task, in milliseconds; 0 for none.
    #[serde(rename = "tail_ms")]
    pub tail_latency_ms: u64,
    /// Whether the tasks are best-effort: they use only processors that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
}

impl Step {
    /// Returns the resources that one task occupies on a worker. Processors are in thousandths of a
    /// core, and 0 for a best-effort task.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Step;
    /// let best_effort = Step { processors: 500, best_effort: true, ..Step::default() };
    /// assert_eq!(best_effort.resources().processors, 0);
    /// ```
    pub fn resources(&self) -> Resources {
        Resources {
            accelerators: self.accelerators,
            processors: if self.best_effort { 0 } else { self.processors },
            memory_mb: self.memory_mb,
        }
    }
}

/// Schedule of a recurring job.
#[value]
#[derive(Copy, Default, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences; 0 for a job that runs once, immediately.
    pub count: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    pub first_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// Most tasks of a job, all steps together. The store's limit for a value is lower as a rule.
pub const MAX_TASKS: u32 = 1 << 17;
/// Most steps of a job, which are numbered with 16 bits.
pub const MAX_STEPS: usize = 1 << 16;

/// A job as its caller submits it.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Submission {
    /// Text that is passed to every task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The job's schedule.
    pub repeat: Repeat,
}

impl Submission {
    /// Returns the size of an occurrence: the number of its steps and tasks. A task that runs until it
    /// is cancelled counts twice, since more has to be recorded of it.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Step;
    /// use lavendergauge_lib::batch::job::Submission;
    /// let steps = vec![Step { tasks: 3, ..Step::default() }];
    /// assert_eq!(Submission { steps, ..Submission::default() }.size(), 4);
    /// ```
    pub fn size(&self) -> usize {
        let tasks = |step: &Step| step.tasks as usize * if step.long_running { 2 } else { 1 };
        self.steps.iter().map(|step| tasks(step).saturating_add(1)).fold(0, usize::saturating_add)
    }

    /// Tells whether the numbers of steps and tasks are within their limits, and every step follows
    /// earlier ones only.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Step;
    /// use lavendergauge_lib::batch::job::Submission;
    /// let job = |steps| Submission { steps, ..Submission::default() };
    /// assert!(job(vec![Step { tasks: 2, ..Step::default() }]).is_valid());
    /// assert!(!job(vec![Step { tasks: u32::MAX, ..Step::default() }]).is_valid());
    /// ```
    pub fn is_valid(&self) -> bool {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let follows_earlier = |(index, step): (usize, &Step)| {
            step.after.iter().all(|earlier| usize::from(*earlier) < index)
        };
        tasks <= u64::from(MAX_TASKS)
            && self.steps.len() <= MAX_STEPS
            && self.steps.iter().enumerate().all(follows_earlier)
    }
}

/// Whether the caller wants a job to run.
///
/// A record is replaced by one with a later variant only.
#[token]
#[derive(Default, Serialize, Deserialize)]
pub enum Intent {
    /// The job was refused; it does not run unless it is submitted again.
    Refused,
    /// The job is to run.
    #[default]
    Wanted,
    /// The job was cancelled.
    Cancelled,
    /// The job was cancelled before its submission arrived; it never runs.
    Unknown,
}

impl Intent {
    /// Tells whether the record is of a job that was accepted. Any other only affects a later
    /// submission.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Intent;
    /// assert!(Intent::Cancelled.is_of_accepted());
    /// assert!(!Intent::Unknown.is_of_accepted());
    /// ```
    pub fn is_of_accepted(self) -> bool {
        matches!(self, Intent::Wanted | Intent::Cancelled)
    }
}

/// Durable record of a submitted job; only entries write it.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The job as it was submitted.
    pub submission: Submission,
    /// The queue as it was when the job was accepted.
    pub queue: Queue,
    /// Client account; empty for none.
    pub account: String,
    /// When the job was accepted, in Unix milliseconds.
    pub accepted_ms: u64,
    /// Whether the caller wants the job to run.
    pub intent: Intent,
}

/// State of a job as reported to its caller.
#[token]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All its tasks are done.
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}
