//! One attempt of a job as the planner tracks it, from its launch until its end is recorded.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang::GANG_LEASE;
use lavendergauge_lib::gang::RUNTIME_LEASE;
use lavendergauge_lib::gang_watch;
use lavendergauge_lib::gang_watch::End;
use lavendergauge_lib::gang_watch::Observation;
use lavendergauge_lib::lifecycle::Change;
use lavendergauge_lib::lifecycle::Repeat;
use lavendergauge_lib::name::Name;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::job::State;
use tokio::sync::mpsc;

use crate::clock;
use crate::entry::Core;
use crate::entry::Entry;
use crate::launch::Agent;
use crate::launch::Attempt;
use crate::leader_records;
use crate::leader_sync::Update;
use crate::record;

/// Time since the start after which an announcement that lacks a member means that the member is
/// missing.
const MISSING_AFTER: Duration = Duration::from_millis(1500);
/// Silence of an agent after which its member can no longer run, whichever entry the agent reported
/// to: the gang's lease and the runtime's lease, one after the other, and a second more.
const EXPIRED_AFTER: Duration =
    GANG_LEASE.saturating_add(RUNTIME_LEASE).saturating_add(Duration::from_secs(1));
/// Attempts that end by the failure of a member, after which the job has failed.
const MAX_FAILURES: u32 = 3;

/// Stage of an attempt, as the planner sees it.
pub enum Stage {
    /// Recorded by an earlier planner, without a record that its members started.
    Inherited,
    /// The launch, or its undoing, is under way.
    Launching,
    /// Running, or being stopped.
    Watching(gang_watch::Machine),
    /// The attempt has ended, and its end is being recorded.
    Recording {
        /// The update that records the end.
        record_update: RecordUpdate,
        /// When the last write failed; `None` while a write is under way.
        failed_at: Option<Millis>,
    },
}

/// What is recorded of a launch, of an attempt's end or of a refused job.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordUpdate {
    /// The change to the record.
    pub change: Change,
    /// Why the attempt ended, as text for operators and callers.
    pub reason: String,
    /// Reference of each member's newest checkpoint; empty unless all members have one.
    pub checkpoints: Vec<String>,
    /// The worker at fault, if there is one.
    pub faulty_worker: Option<Name>,
    /// Whether a member failed, which counts as one of the job's failures.
    pub is_failure: bool,
}

/// An attempt and what the planner knows of its members.
pub struct Run {
    /// The attempt, with its job's specification and its assignments.
    pub attempt: Arc<Attempt>,
    /// Its stage.
    pub stage: Stage,
    /// Notice and reason of a stop that was decided; it is sent once the run is being watched.
    pub stop: Option<(Duration, String)>,
    /// Whether the stop has been sent to its members.
    pub is_stop_sent: bool,
    /// When the run was made, or the planner began to watch it.
    since: Millis,
    /// When each member's agent last announced itself, but not before `since`.
    last_seen: Vec<Millis>,
    /// Reference of each member's newest checkpoint; empty while there is none.
    checkpoints: Vec<String>,
    /// Result that a failed member announced.
    failure: String,
}

impl Run {
    /// Makes the run of an attempt.
    pub fn new(attempt: Arc<Attempt>, stage: Stage) -> Self {
        let now = clock::now();
        let members = attempt.assignments.len();
        Run {
            attempt,
            stage,
            stop: None,
            is_stop_sent: false,
            since: now,
            last_seen: vec![now; members],
            checkpoints: vec![String::new(); members],
            failure: String::new(),
        }
    }

    /// Makes the run of an attempt that an earlier planner recorded.
    pub fn inherit(entry: &Entry, epoch: u64, record: &Record) -> Self {
        let agents = record
            .seats
            .iter()
            .map(|seat| Agent {
                worker: Name::from(&seat.worker),
                address: String::new(),
                incarnation: seat.incarnation,
            })
            .collect();
        let attempt = Attempt {
            epoch,
            job: Name::from(&record.id),
            number: record.attempt,
            spec: record.spec.clone(),
            checkpoints: record.checkpoints.clone(),
            assignments: leader_records::assignments(record),
            agents,
        };
        log::info!(
            "event=inherit job={} attempt={} state={} entry={}",
            record.id,
            record.attempt,
            record.state,
            entry.name
        );
        let stage = match record.state {
            State::Starting => Stage::Inherited,
            _ => Stage::Watching(gang_watch::Machine::default()),
        };
        Run::new(Arc::new(attempt), stage)
    }

    /// Returns when the run was made, or the planner began to watch it.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Starts to watch a run whose members have started.
    pub fn watch(&mut self, now: Millis) {
        self.since = now;
        self.last_seen.fill(now);
        self.stage = Stage::Watching(gang_watch::Machine::default());
    }

    /// Returns an observation of each member, in member order.
    pub fn observe(&mut self, core: &Core, now: Millis) -> Vec<Observation> {
        (0..self.attempt.assignments.len())
            .map(|member| self.observe_member(core, member, now))
            .collect()
    }

    fn observe_member(&mut self, core: &Core, member: usize, now: Millis) -> Observation {
        let mut is_missing = false;
        if let Some(known) = core.workers.find(&self.attempt.assignments[member].worker) {
            let task = known.frame.tasks.iter().find(|task| {
                task.job == self.attempt.job.as_str()
                    && task.attempt == self.attempt.number
                    && task.member as usize == member
            });
            self.last_seen[member] = self.last_seen[member].max(known.last_seen);
            if let Some(task) = task.filter(|task| !task.checkpoint.is_empty()) {
                self.checkpoints[member].clone_from(&task.checkpoint);
            }
            match task.map(|task| task.phase) {
                Some(Phase::Done) => return Observation::Done,
                Some(Phase::Stopped) => return Observation::Stopped,
                Some(Phase::Failed) => {
                    self.failure = task.map(|task| task.result.clone()).unwrap_or_default();
                    return Observation::Failed;
                }
                Some(_) => {}
                None => is_missing = self.since + MISSING_AFTER < known.last_seen,
            }
        }
        let silence = now.since(self.last_seen[member]);
        match () {
            () if is_missing => Observation::Missing,
            () if silence < GANG_LEASE => Observation::Alive,
            () if silence < EXPIRED_AFTER => Observation::Silent,
            () => Observation::Expired,
        }
    }

    /// Tells whether every member is announced as running or done.
    pub fn has_all_members(&self, core: &Core) -> bool {
        self.attempt.assignments.iter().enumerate().all(|(member, assignment)| {
            core.workers.find(&assignment.worker).is_some_and(|known| {
                known.frame.tasks.iter().any(|task| {
                    task.job == self.attempt.job.as_str()
                        && task.attempt == self.attempt.number
                        && task.member as usize == member
                        && matches!(task.phase, Phase::Running | Phase::Done)
                })
            })
        })
    }

    /// Returns how to record the end of the run; `failures` is the number of failures on record.
    pub fn record_update(&self, end: End, failures: u32) -> RecordUpdate {
        let number = self.attempt.number;
        let repeat = repeat(&self.attempt.spec);
        let worker = |member: usize| self.attempt.assignments[member].worker.clone();
        let stop = self.stop.as_ref().map(|(_, reason)| reason.clone()).unwrap_or_default();
        let (change, reason, faulty_worker) = match end {
            End::Finished => (Change::Finish(number), String::new(), None),
            End::Stopped => (Change::Evict(number, repeat), stop, None),
            End::Lost(member) => {
                let reason = format!("worker {} was lost", worker(member));
                (Change::Lose(number, repeat), reason, None)
            }
            End::Failed(member) => {
                let may_repeat = repeat == Repeat::Allowed && failures + 1 < MAX_FAILURES;
                let change =
                    if may_repeat { Change::Lose(number, repeat) } else { Change::Fail(number) };
                let reason = format!("worker {}: {}", worker(member), self.failure);
                (change, reason, Some(worker(member)))
            }
        };
        let has_all = self.checkpoints.iter().all(|reference| !reference.is_empty());
        let checkpoints = if has_all { self.checkpoints.clone() } else { Vec::new() };
        let is_failure = matches!(end, End::Failed(_));
        RecordUpdate { change, reason, checkpoints, faulty_worker, is_failure }
    }
}

/// Tells whether a job may run again after it ran in part.
pub fn repeat(spec: &Spec) -> Repeat {
    if spec.idempotent || spec.checkpoints { Repeat::Allowed } else { Repeat::Never }
}

impl RecordUpdate {
    /// Makes the update for a launch or a refused job, for which there are no checkpoints and no
    /// failure of a member.
    pub fn of_launch(change: Change, faulty_worker: Option<Name>) -> Self {
        let reason =
            faulty_worker.as_ref().map(|worker| format!("worker {worker} did not accept the job"));
        RecordUpdate {
            change,
            reason: reason.unwrap_or_default(),
            checkpoints: Vec::new(),
            faulty_worker,
            is_failure: false,
        }
    }

    /// Sets the fields of the record that change with its state.
    fn edit(&self, record: &mut Record) {
        record.reason.clone_from(&self.reason);
        record.failures += u32::from(self.is_failure);
        if let Some(first) = self.checkpoints.first() {
            record.checkpoint.clone_from(first);
            record.checkpoints.clone_from(&self.checkpoints);
        }
        if record.state == State::Waiting {
            record.seats.clear();
        }
        if record::from_wire(record.state).is_final() {
            record.ended_ms = clock::wall_ms();
        }
        if record.state == State::Done {
            record.result = format!("result-of-{}/{}", record.id, record.attempt);
        }
    }
}

/// Writes an update to a job's record in a background task, which reports the result to the
/// planner's loop.
pub fn write_update(
    entry: &Arc<Entry>,
    updates: &mpsc::UnboundedSender<Update>,
    job: &Name,
    record_update: RecordUpdate,
) {
    let (entry, updates, job) = (entry.clone(), updates.clone(), job.clone());
    tokio::spawn(async move {
        fail::fail_point!("duty-settle", |_| drop(
            updates.send(Update::Changed(job.clone(), None))
        ));
        let change = record_update.change;
        let edit = |record: &mut Record| record_update.edit(record);
        let changed = record::change(&entry.store, job.as_str(), change, edit).await;
        if let Err(error) = &changed {
            log::warn!("event=store-failed call=settle job={job} cause=\"{error}\"");
        }
        let _ = updates.send(Update::Changed(job, changed.ok()));
    });
}
