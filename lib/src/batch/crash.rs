//! Crashes of workers, as the agents on their VMs report them.
//!
//! A worker that has crashed forgets what it ran. Its agent therefore keeps a [`Ledger`] of the runs
//! on the present incarnation, from which it reports which runs a crash has ended and how long each
//! had been at work. The report does not depend on which planner was in charge at that time.

use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::job::Task;
use crate::batch::report::ListedRun;

/// Time that a run must be at work to show that it does not crash its worker.
pub const PROBATION: Duration = Duration::from_secs(1);
/// Time after which a start without an answer that is not listed counts as not carried out.
const DOUBT: Duration = Duration::from_secs(15);

/// A run that the crash of its worker has ended.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub number: u32,
    /// Whether the worker certainly started the run.
    pub is_confirmed: bool,
    /// Time for which the run certainly existed, in milliseconds; `None` if it is older than the
    /// agent's process.
    pub worked_ms: Option<u64>,
}

impl Run {
    /// Tells whether the run had just started, or may have, so that it may have caused the crash.
    ///
    /// ```
    /// use lavendergauge_lib::batch::crash::Run;
    /// use lavendergauge_lib::batch::job::Task;
    /// let task = Task::parse("00000000000000ff.0.0.1").unwrap();
    /// let young = Run { task, number: 1, is_confirmed: true, worked_ms: Some(20) };
    /// assert!(young.has_just_started());
    /// assert!(!Run { worked_ms: Some(5000), ..young }.has_just_started());
    /// ```
    pub fn has_just_started(&self) -> bool {
        self.worked_ms.is_some_and(|worked_ms| worked_ms < PROBATION.as_millis() as u64)
    }
}

/// A crash of a worker: its incarnation ended without an announcement.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation that ended.
    pub incarnation: u64,
    /// Agent's clock when it noticed the crash, in milliseconds.
    pub noticed_at: u64,
    /// Agent's clock when the worker was last known to be up, in milliseconds; the crash is later.
    pub last_up_at: u64,
    /// The runs that existed or may have existed on the worker.
    pub runs: Vec<Run>,
}

/// What an agent knows about one run.
#[value]
struct Entry {
    /// When the run existed first, by the agent's clock; `None` if it is older than the ledger.
    first_seen: Option<u64>,
    /// When it existed last.
    last_seen: u64,
    is_confirmed: bool,
}

/// The runs on the present incarnation of a worker, as its agent knows them. Times are by the agent's
/// clock, in milliseconds.
#[row]
#[derive(Default)]
pub struct Ledger {
    runs: BTreeMap<(Task, u32), Entry>,
    /// When the worker was last known to be up.
    last_up_at: u64,
}

impl Ledger {
    /// Records that a start order is about to be sent.
    pub fn begin_start(&mut self, task: Task, run: u32, now: u64) {
        let entry = Entry { first_seen: Some(now), last_seen: now, is_confirmed: false };
        self.runs.entry((task, run)).or_insert(entry);
    }

    /// Records that the worker carried out a start.
    pub fn confirm_start(&mut self, task: Task, run: u32, now: u64) {
        self.last_up_at = self.last_up_at.max(now);
        if let Some(entry) = self.runs.get_mut(&(task, run)).filter(|entry| !entry.is_confirmed) {
            *entry = Entry { first_seen: Some(now), last_seen: now, is_confirmed: true };
        }
    }

    /// Records that the worker did not carry out a start and never will.
    pub fn cancel_start(&mut self, task: Task, run: u32) {
        if self.runs.get(&(task, run)).is_some_and(|entry| !entry.is_confirmed) {
            self.runs.remove(&(task, run));
        }
    }

    /// Applies the worker's list of runs, which was requested at `sent_at`.
    ///
    /// ```
    /// use lavendergauge_lib::batch::crash::Ledger;
    /// use lavendergauge_lib::batch::job::Task;
    /// use lavendergauge_lib::batch::report::ListedRun;
    /// let task = Task::parse("00000000000000ff.0.0.1").unwrap();
    /// let mut ledger = Ledger::default();
    /// ledger.begin_start(task, 1, 100);
    /// ledger.confirm_start(task, 1, 110);
    /// let row = ListedRun { task, run: 1, checkpoint: String::new(), percent: 0, measure: 0 };
    /// ledger.apply_list(&[row], 600);
    /// let crash = ledger.close(7, 3000);
    /// assert_eq!(crash.runs[0].worked_ms, Some(490));
    /// assert!(ledger.close(8, 9000).runs.is_empty());
    /// ```
    pub fn apply_list(&mut self, running: &[ListedRun], sent_at: u64) {
        self.last_up_at = self.last_up_at.max(sent_at);
        for row in running {
            let key = (row.task, row.run);
            let entry = self.runs.entry(key).or_insert(Entry {
                first_seen: None,
                last_seen: sent_at,
                is_confirmed: true,
            });
            if !entry.is_confirmed {
                *entry =
                    Entry { first_seen: Some(sent_at), last_seen: sent_at, is_confirmed: true };
            }
            entry.last_seen = entry.last_seen.max(sent_at);
        }
        let doubt = DOUBT.as_millis() as u64;
        self.runs.retain(|(task, run), entry| {
            let is_listed = running.iter().any(|row| row.task == *task && row.run == *run);
            let may_exist = if entry.is_confirmed {
                sent_at <= entry.last_seen
            } else {
                sent_at < entry.last_seen + doubt
            };
            is_listed || may_exist
        });
    }

    /// Forgets all runs: the worker has left as it had announced.
    pub fn clear(&mut self) {
        self.runs.clear();
    }

    /// Returns the crash of the present incarnation, and starts anew for the next one.
    pub fn close(&mut self, incarnation: u64, now: u64) -> Crash {
        let runs = std::mem::take(&mut self.runs)
            .into_iter()
            .map(|((task, number), entry)| Run {
                task,
                number,
                is_confirmed: entry.is_confirmed,
                worked_ms: entry.first_seen.map(|first_seen| entry.last_seen - first_seen),
            })
            .collect();
        let last_up_at = std::mem::replace(&mut self.last_up_at, now);
        Crash { incarnation, noticed_at: now, last_up_at, runs }
    }
}
