//! The planner's tables of batch jobs and workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::batch::advice;
use crate::batch::backfill;
use crate::batch::config::Bounds;
use crate::batch::config::Config;
use crate::batch::config::Queue;
use crate::batch::headroom;
use crate::batch::health;
use crate::batch::job::Id;
use crate::batch::job::Intent;
use crate::batch::job::Record;
use crate::batch::job::State;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::learned;
use crate::batch::occupancy;
use crate::batch::pace;
use crate::batch::policy::Policy;
use crate::batch::progress::Crashes;
use crate::batch::progress::Outcome;
use crate::batch::quarantine;
use crate::batch::rank;
use crate::batch::removed;
use crate::batch::run_time;
use crate::batch::share;
use crate::batch::shortage;
use crate::batch::speed;
use crate::batch::strike;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Time for which a worker's tasks may go on running after a grant without another one.
pub const GRANT: Duration = Duration::from_millis(4000);
/// Time for which a planner that cannot renew its own lease continues to grant, from when the last
/// renewal that succeeded was sent.
pub const GRANT_AFTER_RENEWAL: Duration = Duration::from_millis(8000);
/// Share of full speed at which a run works unless it is ordered otherwise, in percent.
const FULL_PACE: u32 = 100;
/// Most tasks and steps of a job in occurrences that have begun, unless set otherwise.
const MAX_OPEN_TASKS: usize = 32_768;
/// Number of a job's waiting steps from which no further occurrence begins: each tick ranks them all.
const MAX_WAITING_STEPS: usize = 1000;
/// Twice the share by which a worker's clock may be slow, in percent.
pub(super) const CLOCK_SLACK_PERCENT: u32 = 4;

/// Returns the time after which no task can still run under a grant given now.
///
/// ```
/// use lavendergauge_lib::batch::table;
/// assert!(table::grant_bound() > table::GRANT);
/// ```
pub fn grant_bound() -> Duration {
    GRANT + GRANT * CLOCK_SLACK_PERCENT / 100
}

/// Returns the time after a takeover at which all grants of an earlier planner have expired.
///
/// The earlier planner's last renewal was sent before its lease ended, and its lease before the
/// takeover. So this holds whether the lease ran out, was revoked or was lost in the store.
///
/// ```
/// use lavendergauge_lib::batch::table;
/// assert!(table::takeover_bound() > table::grant_bound());
/// ```
pub fn takeover_bound() -> Duration {
    GRANT_AFTER_RENEWAL + grant_bound()
}

/// Why a run is to stop.
#[token]
pub enum Cause {
    /// Its caller cancelled the job.
    Cancelled,
    /// The job has failed.
    Failed,
    /// Another member of its gang has ended.
    Gang,
    /// It is preempted by more urgent work.
    Preempted,
    /// It makes no progress.
    Stuck,
    /// Its worker leaves before the run can end.
    Leaving,
    /// It is in doubt whether the run started.
    InDoubt,
    /// Another run of the task is done.
    Surplus,
}

impl Cause {
    /// Returns the cause's name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::table::Cause::InDoubt.name(), "start-in-doubt");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Cause::Cancelled => "cancelled",
            Cause::Failed => "job-failed",
            Cause::Gang => "gang-broken",
            Cause::Preempted => "preempted",
            Cause::Stuck => "no-progress",
            Cause::Leaving => "worker-leaves",
            Cause::InDoubt => "start-in-doubt",
            Cause::Surplus => "task-done",
        }
    }
}

/// Lifecycle phase of a run.
#[token]
pub enum Phase {
    /// Decided but not recorded yet.
    Planned,
    /// Recorded; its start order is to be sent or has not been answered.
    Launching,
    /// Its worker has started it, or an earlier planner left it.
    Running,
    /// It has to stop.
    Stopping(Cause),
}

/// The newest run of a task, for as long as it may exist.
#[row]
pub struct Run {
    /// The task.
    pub task: Task,
    /// Resources that it occupies on its worker.
    pub demand: Resources,
    /// Run number.
    pub number: u32,
    /// The worker.
    pub worker: key::Worker,
    /// The worker's incarnation.
    pub incarnation: u64,
    /// Lifecycle phase.
    pub phase: Phase,
    /// When the planner decided on it.
    pub since: Millis,
    /// Version of the job's progress that first contains the run; 0 for a run of an earlier
    /// planner.
    pub version: u64,
    /// Agent's clock after which a list without the run proves that the run has ended; `None`
    /// before its newest order is settled.
    pub settled_at: Option<u64>,
    /// When its newest order was sent; `None` while none is pending.
    pub ordered: Option<Millis>,
    /// Completed share of its work, in percent.
    pub percent: u32,
    /// Value of `percent` when the run was first listed.
    pub first_percent: u32,
    /// When a worker first listed the run.
    pub seen_at: Option<Millis>,
    /// When `percent` last grew.
    pub progressed_at: Millis,
    /// Number of earlier runs of the task that were stopped for lack of progress.
    pub stalls: u32,
    /// Whether the worker acknowledged the stop order.
    pub is_stop_acknowledged: bool,
    /// The worker's measurement over the last half second: tail latency in milliseconds of a
    /// serving task, processors in use of any other.
    pub measure: u32,
    /// Share of full speed that was ordered last, in percent.
    pub pace_percent: u32,
    /// Progress at the last sample of its speed.
    pub pace_mark: Option<speed::Mark>,
}

impl Run {
    /// Tells whether an earlier planner started it.
    pub fn is_inherited(&self) -> bool {
        self.version == 0
    }

    /// Creates a run that no worker has listed yet.
    pub fn new(
        task: Task,
        number: u32,
        worker: key::Worker,
        incarnation: u64,
        phase: Phase,
        since: Millis,
    ) -> Self {
        Run {
            task,
            demand: Resources::default(),
            number,
            worker,
            incarnation,
            phase,
            since,
            version: 0,
            settled_at: None,
            ordered: None,
            percent: 0,
            first_percent: 0,
            seen_at: None,
            progressed_at: since,
            stalls: 0,
            is_stop_acknowledged: false,
            measure: 0,
            pace_percent: FULL_PACE,
            pace_mark: None,
        }
    }
}

/// State of one task.
#[row]
#[derive(Default)]
pub struct TaskState {
    /// Number of its newest run.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// When its newest failure was observed; zero under an earlier planner.
    pub failed_at: Millis,
    /// Number of the newest run that failed.
    pub failed_run: u32,
    /// Crashes of workers on which it ran.
    pub crashes: Crashes,
    /// When the newest crash that it may have caused was observed; zero under an earlier planner.
    pub crashed_at: Millis,
    /// Whether a run has succeeded.
    pub done: bool,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// The newest run while it may exist.
    pub live: Option<key::Run>,
    /// Number of its runs that were stopped for lack of progress; 0 under an earlier planner.
    pub stalls: u32,
    /// Workers on which a run of the task failed or made no progress.
    pub avoid: SmallVec<[key::Worker; 2]>,
}

/// One occurrence of a job: its tasks by step.
#[row]
pub struct Occurrence {
    /// Tasks of each step.
    pub steps: Vec<Vec<TaskState>>,
    /// When it is due, on the planner's clock.
    pub due: Millis,
}

/// Tasks of a step that wait to be placed.
#[row]
pub struct WaitingStep {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Indices of the tasks.
    pub tasks: Vec<u32>,
}

/// State of one job.
#[row]
pub struct Job {
    /// The record that the entries wrote.
    pub record: Arc<Record>,
    /// The queue that governs the job: the configured one, or the one in its record when it is not
    /// configured any more.
    pub queue: Arc<Queue>,
    /// Estimated time from the start of each step to the end of the job, in milliseconds.
    pub critical_paths: SmallVec<[u64; 4]>,
    /// Steps with waiting tasks whose preceding steps are done; current for jobs that are not in
    /// [`Tables::unsettled`].
    pub waiting: Vec<WaitingStep>,
    /// Runs that are decided but not recorded yet.
    pub planned: Vec<key::Run>,
    /// Workers that may not discard ends of the job's runs before its progress is recorded.
    pub unrecorded_at: SmallVec<[key::Worker; 4]>,
    /// Size of an occurrence; see [`Submission::size`](crate::batch::job::Submission::size).
    pub size: usize,
    /// When it was accepted, on the planner's clock.
    pub accepted: Millis,
    /// Occurrences that have begun and have not ended.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to begin.
    pub next: u32,
    /// Number of the first occurrence that has not ended.
    pub from: u32,
    /// Whether a worker has said that a task started, as far as known.
    pub started: bool,
    /// Number of runs that an earlier planner left and that may exist.
    pub inherited: u32,
    /// How the job ended, as decided; maybe not recorded yet.
    pub outcome: Option<Outcome>,
    /// How the job ended, as recorded; this is what its caller sees.
    pub recorded_outcome: Option<Outcome>,
    /// When the job ended, in Unix milliseconds; 0 before.
    pub ended_ms: u64,
    /// Grows with each change that has to be recorded.
    pub version: u64,
    /// Newest version that is recorded.
    pub recorded_version: u64,
}

impl Job {
    /// Returns the state that is reported to the job's caller.
    ///
    /// A start that has not been answered does not count. A run of an earlier planner, which may have been
    /// reported as running, counts until it is known not to exist.
    pub fn state(&self) -> State {
        match self.recorded_outcome {
            Some(Outcome::Completed) => State::Completed,
            Some(Outcome::Failed) => State::Failed,
            None if self.record.intent != Intent::Wanted => State::Cancelled,
            None if self.started || self.inherited != 0 => State::Running,
            None => State::Queued,
        }
    }

    /// Tells whether the job is neither cancelled nor ended, so that its tasks still have to run.
    pub fn is_active(&self) -> bool {
        self.record.intent == Intent::Wanted && self.outcome.is_none()
    }

    /// Tells whether a further occurrence may begin while `waiting` steps of the job wait, and at most
    /// `max_open` tasks and steps may be in the occurrences that have begun. The first one always may.
    pub(super) fn may_begin(&self, waiting: usize, max_open: usize) -> bool {
        let begun = self.occurrences.len();
        let fits = (begun + 1).saturating_mul(self.size) <= max_open;
        begun == 0 || fits && waiting < MAX_WAITING_STEPS
    }

    /// Takes the newest occurrences back that have begun without a run and would not begin now; an
    /// earlier version began all that were due.
    pub(super) fn withdraw_excess(&mut self) {
        let has_run = |row: &Occurrence| row.steps.iter().flatten().any(|task| task.run != 0);
        let untouched = self.occurrences.values().filter(|row| !has_run(row)).count();
        let kept = MAX_WAITING_STEPS.div_ceil(self.steps().len().max(1));
        for _ in kept..untouched {
            let Some(newest) = self.occurrences.last_entry() else { return };
            if has_run(newest.get()) {
                return;
            }
            self.next = *newest.key();
            newest.remove();
        }
    }

    /// Tells whether it has occurrences that have not begun.
    pub fn is_recurring(&self) -> bool {
        self.next < self.record.submission.repeat.count.max(1)
    }

    /// Returns the steps.
    pub fn steps(&self) -> &[Step] {
        &self.record.submission.steps
    }
}

/// A worker, identified by the agent on its VM.
#[row]
pub struct Worker {
    /// Name of the agent.
    pub node: String,
    /// The newest incarnations whose crashes were applied, the oldest first.
    pub crashed_incarnations: SmallVec<[u64; 8]>,
    /// Job whose tasks may crash it; it takes no work of others.
    pub quarantine: Option<Id>,
    /// The worker's identifier; empty while unknown.
    pub id: String,
    /// The worker's incarnation; 0 while unknown.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Labels.
    pub labels: Vec<String>,
    /// Total resources; processors in thousandths of a core.
    pub capacity: Resources,
    /// Whether it takes new work.
    pub ready: bool,
    /// Time until which a worker that takes no new work is certain to stay up.
    pub leaves_at: Option<Millis>,
    /// Whether it answered its agent's last call.
    pub is_responsive: bool,
    /// Whether its agent answered the planner's last poll and is not stopping.
    pub is_reachable: bool,
    /// When the newest list that was received under this planner's fencing token was requested.
    pub last_answer: Option<Millis>,
    /// Whether the newest list may omit runs.
    pub has_partial_list: bool,
    /// Time after which no run can exist on it, unless a later list arrives.
    pub lease_until: Millis,
    /// Agent's clock in its last report.
    pub agent_clock: u64,
    /// When that report was received.
    pub clock_read: Millis,
    /// Session of the agent's process that sent that report.
    pub session: u64,
    /// Highest epoch of the agent's calls to the worker that it has reported.
    pub epoch: u64,
    /// Sessions of the agent's processes before, the oldest first.
    pub earlier_sessions: SmallVec<[u64; 4]>,
    /// Agent's clock until which tasks may run, in milliseconds; 0 for no grant.
    pub grant_until: u64,
    /// Number of the newest end that was applied.
    pub newest_end_seen: u64,
    /// Number of the newest end before the first one that could not be read in the worker's newest
    /// list; `None` if all could.
    pub last_readable_end: Option<u64>,
    /// Number of the newest end that the worker may discard.
    pub acknowledged: u64,
    /// Jobs with ends from this worker that are not recorded yet, with the version that contains
    /// them.
    pub unrecorded: BTreeMap<Id, u64>,
    /// Failure history.
    pub health: health::Health,
    /// What its starts and runs have shown.
    pub trust: trust::Record,
    /// What is known about its speed.
    pub speed: speed::Record,
    /// Gets no new work before this time.
    pub paused_until: Millis,
    /// Number of starts that were refused since one was carried out.
    pub refusals: u32,
    /// Pace of its best-effort tasks; `None` while no serving task runs there.
    pub pace: Option<pace::Pace>,
    /// Runs that may exist on it.
    pub runs: SmallVec<[key::Run; 8]>,
    /// Resources that the runs of its present incarnation occupy.
    pub used: Resources,
    /// Resources that listed runs occupy which are not expected there.
    pub stray: Resources,
}

impl Worker {
    /// Returns the resources that no run occupies.
    pub fn free(&self) -> Resources {
        self.free_without(Resources::default())
    }

    /// Returns the resources that no run would occupy if runs with a sum of demands ended.
    ///
    /// On a worker whose capacity has shrunk below what its runs occupy, the first ends free nothing.
    pub fn free_without(&self, ended: Resources) -> Resources {
        self.capacity.minus(self.occupied().minus(ended))
    }

    /// Tells whether its runs exceed the capacity, which may have shrunk since they started.
    pub fn is_overcommitted(&self) -> bool {
        self.is_overcommitted_without(Resources::default())
    }

    /// Tells whether the runs that are left after runs with a sum of demands have ended exceed the
    /// capacity.
    pub fn is_overcommitted_without(&self, ended: Resources) -> bool {
        !self.occupied().minus(ended).fits(self.capacity)
    }

    fn occupied(&self) -> Resources {
        self.used.plus(self.stray)
    }

    /// Lets the worker discard the ends that were applied, once all of them are recorded.
    ///
    /// An end that could not be read, and may be later, is not applied yet.
    pub fn acknowledge_recorded(&mut self) {
        if self.unrecorded.is_empty() {
            let readable = self.last_readable_end.unwrap_or(u64::MAX);
            self.acknowledged = self.acknowledged.max(self.newest_end_seen.min(readable));
        }
    }
}

/// Capacity reserved for a waiting step; other runs may still use it, see [`crate::batch::backfill`].
#[row]
pub struct Reservation {
    /// Number of tasks on each worker.
    pub placements: SmallVec<[(key::Worker, u32); 8]>,
    /// When it was made.
    pub since: Millis,
    /// When it was made or last renewed.
    pub renewed_at: Millis,
    /// Whether other runs were preempted for it. Such a reservation has a shorter life, and
    /// guaranteed work does not take it over.
    pub has_preempted: bool,
    /// Whether nothing else may use what is reserved: runs are being stopped for the step, or it is
    /// guaranteed and may stop runs at any time.
    pub is_firm: bool,
    /// Since when what is reserved could be used, but for runs that were placed on it; `None` while other
    /// runs are in the way.
    pub usable_since: Option<Millis>,
}

/// Stored record of a job that was refused, or cancelled before its submission.
#[token]
pub struct RefusedRecord {
    /// Revision of the last change of its key.
    pub revision: u64,
    /// When it was written, in Unix milliseconds.
    pub written_ms: u64,
}

/// All tables of the planner.
#[row]
pub struct Tables {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Most tasks and steps of a job in occurrences that have begun; a single one may have more.
    pub max_open_tasks: usize,
    /// Optional decisions that the settings enable.
    pub policy: Policy,
    /// Data centres that operators have taken out.
    pub evacuated: BTreeSet<String>,
    /// Jobs.
    pub jobs: BTreeMap<Id, Job>,
    /// Stored records of jobs that were refused, or cancelled before their submission.
    pub refused: BTreeMap<Id, RefusedRecord>,
    /// The jobs that were removed last.
    pub removed: removed::Jobs,
    /// Runs that may exist.
    pub runs: SlotMap<key::Run, Run>,
    /// Workers.
    pub workers: SlotMap<key::Worker, Worker>,
    /// Worker keys by the name of their agent.
    pub nodes: HashMap<String, key::Worker>,
    /// Reserved capacity by step.
    pub reservations: BTreeMap<StepInstance, Reservation>,
    /// Runs that use what waiting steps had reserved, by step.
    pub claims: BTreeMap<StepInstance, backfill::Claim>,
    /// Since when a waiting step has been held back beside enough free room; see
    /// [`crate::batch::overdue`].
    pub held_back: BTreeMap<StepInstance, Millis>,
    /// Advice of the advice service by step.
    pub advice: BTreeMap<StepInstance, advice::StepAdvice>,
    /// Gangs in which the start of some members was refused while the others may run.
    pub refills: BTreeMap<StepInstance, u32>,
    /// Steps for which preemption found nothing, and when it was examined.
    pub examined: BTreeMap<StepInstance, Millis>,
    /// When it was last logged why a step finds no place.
    pub explained: BTreeMap<StepInstance, Millis>,
    /// What was learned about run times; only used if [`Policy::run_time_model`] is on.
    pub run_times: run_time::RunTimes,
    /// Capacity in use by expected end, and earlier decisions on waiting steps.
    pub shortage: shortage::State,
    /// When it was logged how much of the fleet is in use.
    pub occupancy: occupancy::State,
    /// What each client account holds and has used.
    pub shares: share::State,
    /// Samples of the speed of workers, by step.
    pub paces: speed::Steps,
    /// Recent arrivals of the most urgent jobs.
    pub urgent_arrivals: headroom::Arrivals,
    /// Recent failures on all workers.
    pub trust: trust::State,
    /// Recent crashes of all workers.
    pub crashes: strike::State,
    /// Workers in quarantine.
    pub quarantined: BTreeSet<key::Worker>,
    /// What an earlier leader knew about workers that have not reported yet, by agent.
    pub learned: BTreeMap<String, learned::Pending>,
    /// Jobs whose record has to be written.
    pub dirty: BTreeSet<Id>,
    /// Jobs whose record or progress cannot be read; see [`crate::batch::hold`].
    pub held: BTreeSet<Id>,
    /// Jobs that changed since the last tick: their outcome and waiting tasks are to be determined.
    pub unsettled: BTreeSet<Id>,
    /// Jobs that are active; some that have just been cancelled may be among them.
    pub active: BTreeSet<Id>,
    /// Active jobs with occurrences that have not begun.
    pub recurring: BTreeSet<Id>,
    /// Jobs with tasks that wait to be placed.
    pub waiting: BTreeSet<Id>,
    /// Runs with an order that is to be sent or repeated.
    pub unsent: BTreeSet<key::Run>,
    /// Workers whose runs or measurements changed since the last tick.
    pub changed_workers: BTreeSet<key::Worker>,
    /// When this planner took over.
    pub took_over: Millis,
}

impl Tables {
    /// Creates the empty tables of a planner that takes over now.
    ///
    /// ```
    /// use lavendergauge_lib::batch::config::Bounds;
    /// use lavendergauge_lib::batch::table::Tables;
    /// use lavendergauge_lib::clock::Millis;
    /// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
    /// assert!(Tables::new(bounds, Millis(0)).jobs.is_empty());
    /// ```
    pub fn new(bounds: Bounds, now: Millis) -> Self {
        Tables {
            config: Arc::default(),
            bounds,
            max_open_tasks: MAX_OPEN_TASKS,
            policy: Policy::default(),
            evacuated: BTreeSet::new(),
            jobs: BTreeMap::new(),
            refused: BTreeMap::new(),
            removed: removed::Jobs::default(),
            runs: SlotMap::with_key(),
            workers: SlotMap::with_key(),
            nodes: HashMap::new(),
            reservations: BTreeMap::new(),
            claims: BTreeMap::new(),
            held_back: BTreeMap::new(),
            advice: BTreeMap::new(),
            refills: BTreeMap::new(),
            examined: BTreeMap::new(),
            explained: BTreeMap::new(),
            run_times: run_time::RunTimes::default(),
            shortage: shortage::State::default(),
            occupancy: occupancy::State::default(),
            shares: share::State::default(),
            paces: speed::Steps::default(),
            urgent_arrivals: headroom::Arrivals::default(),
            trust: trust::State::default(),
            crashes: strike::State::default(),
            quarantined: BTreeSet::new(),
            learned: BTreeMap::new(),
            dirty: BTreeSet::new(),
            held: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            active: BTreeSet::new(),
            recurring: BTreeSet::new(),
            waiting: BTreeSet::new(),
            unsent: BTreeSet::new(),
            changed_workers: BTreeSet::new(),
            took_over: now,
        }
    }

    /// Puts a configuration into force. The queue of every active job is looked up again, unless
    /// the configuration is the one in force.
    pub fn set_config(&mut self, config: Arc<Config>) {
        if Arc::ptr_eq(&self.config, &config) {
            return;
        }
        self.config = config;
        let queues: HashMap<&str, &Queue> =
            self.config.queues.iter().map(|queue| (queue.name.as_str(), queue)).collect();
        for job in self.jobs.values_mut() {
            let name = job.record.queue.name.as_str();
            let queue = queues.get(name).copied().unwrap_or(&job.record.queue);
            if *job.queue != *queue {
                job.queue = Arc::new(queue.clone());
            }
        }
        self.unsettled.extend(&self.active);
    }

    /// Adds a job that has just been accepted; its occurrences begin with the next tick.
    pub fn add_job(&mut self, id: Id, accepted: Millis, record: Record) {
        let queue = self.config.queue(&record.queue.name).unwrap_or(&record.queue).clone();
        let job = Job {
            queue: Arc::new(queue),
            critical_paths: rank::critical_paths(&record.submission.steps),
            size: record.submission.size(),
            record: Arc::new(record),
            accepted,
            waiting: Vec::new(),
            planned: Vec::new(),
            unrecorded_at: SmallVec::new(),
            occurrences: BTreeMap::new(),
            next: 0,
            from: 0,
            started: false,
            inherited: 0,
            outcome: None,
            recorded_outcome: None,
            ended_ms: 0,
            version: 0,
            recorded_version: 0,
        };
        if job.queue.priority == 0 && job.record.submission.repeat.count == 0 {
            self.urgent_arrivals.record(accepted, headroom::Need::of(&job));
        }
        self.jobs.insert(id, job);
        self.active.insert(id);
        self.recurring.insert(id);
        self.unsettled.insert(id);
    }

    /// Removes a job without runs.
    pub fn remove_job(&mut self, id: Id) {
        if let Some(job) = self.jobs.remove(&id) {
            self.removed.insert(id, job.record.accepted_ms);
        }
        for jobs in [
            &mut self.dirty,
            &mut self.unsettled,
            &mut self.active,
            &mut self.recurring,
            &mut self.waiting,
        ] {
            jobs.remove(&id);
        }
    }

    /// Returns a task's state.
    pub fn task_state(&self, task: Task) -> Option<&TaskState> {
        let occurrence =
            self.jobs.get(&task.instance.job)?.occurrences.get(&task.instance.occurrence)?;
        occurrence.steps.get(usize::from(task.instance.step))?.get(task.index as usize)
    }

    /// Returns a task's state for changes.
    pub fn task_state_mut(&mut self, task: Task) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut(&task.instance.job)?;
        let occurrence = job.occurrences.get_mut(&task.instance.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.instance.step))?.get_mut(task.index as usize)
    }

    /// Returns the newest run of a task while it may exist.
    pub fn run_of(&self, task: Task) -> Option<&Run> {
        self.runs.get(self.task_state(task)?.live?)
    }

    /// Adds a run of a task that has none, and returns its key.
    pub fn insert_run(&mut self, run: Run) -> Option<key::Run> {
        let task = run.task;
        let demand = self.step(task.instance)?.resources();
        let (worker, incarnation, phase) = (run.worker, run.incarnation, run.phase);
        let is_inherited = run.is_inherited();
        let key = self.runs.insert(Run { demand, ..run });
        if let Some(task_state) = self.task_state_mut(task) {
            task_state.live = Some(key);
        }
        if let Some(row) = self.workers.get_mut(worker) {
            row.runs.push(key);
            if row.incarnation == incarnation {
                row.used = row.used.plus(demand);
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.instance.job) {
            job.inherited += u32::from(is_inherited);
            if phase == Phase::Planned {
                job.planned.push(key);
            }
        }
        self.unsettled.insert(task.instance.job);
        self.changed_workers.insert(worker);
        quarantine::note_inserted(self, key);
        if self.policy.shortage {
            shortage::supply::note_inserted(self, key);
        }
        if self.policy.account_shares {
            share::note_inserted(self, key);
        }
        Some(key)
    }

    /// Removes a run that does not exist any more.
    pub fn remove_run(&mut self, key: key::Run) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.unsent.remove(&key);
        shortage::supply::note_removed(&mut self.shortage.ledger, key);
        share::note_removed(&mut self.shares, key);
        if let Some(task_state) = self.task_state_mut(run.task)
            && task_state.live == Some(key)
        {
            task_state.live = None;
        }
        if let Some(row) = self.workers.get_mut(run.worker) {
            row.runs.retain(|known| *known != key);
        }
        self.recount(run.worker);
        if let Some(job) = self.jobs.get_mut(&run.task.instance.job) {
            job.inherited = job.inherited.saturating_sub(u32::from(run.is_inherited()));
            if run.phase == Phase::Planned {
                job.planned.retain(|known| *known != key);
            }
        }
        self.unsettled.insert(run.task.instance.job);
        self.changed_workers.insert(run.worker);
        Some(run)
    }

    /// Notes that a worker has said that a task of a job started.
    pub(super) fn note_started(&mut self, id: Id) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.started = true;
        }
    }

    /// Marks a run to be stopped; one that was never ordered is dropped at once.
    pub fn stop_run(&mut self, key: key::Run, cause: Cause) {
        let Some(run) = self.runs.get_mut(key) else { return };
        match run.phase {
            Phase::Planned => {
                self.remove_run(key);
            }
            Phase::Stopping(_) => {}
            _ => {
                run.phase = Phase::Stopping(cause);
                run.ordered = None;
                run.settled_at = None;
                self.unsent.insert(key);
            }
        }
    }

    /// Marks the newest run of a task to be stopped.
    pub fn stop_task(&mut self, task: Task, cause: Cause) {
        if let Some(key) = self.task_state(task).and_then(|task_state| task_state.live) {
            self.stop_run(key, cause);
        }
    }

    /// Computes the resources in use on a worker anew from its runs.
    pub fn recount(&mut self, worker: key::Worker) {
        let Some(row) = self.workers.get_mut(worker) else { return };
        // A run whose worker has restarted since uses no resources of the new incarnation.
        row.used = row
            .runs
            .iter()
            .filter_map(|key| self.runs.get(*key))
            .filter(|run| run.incarnation == row.incarnation)
            .fold(Resources::default(), |used, run| used.plus(run.demand));
    }

    /// Marks that a job's record has to be written.
    pub fn touch(&mut self, id: Id) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.version += 1;
            self.dirty.insert(id);
            self.unsettled.insert(id);
        }
    }

    /// Returns the key of an agent's worker. The worker of an unknown agent gets a new row, with
    /// `lease_until` as the time after which no run can exist on it.
    pub fn worker_at(&mut self, node: &str, lease_until: Millis) -> key::Worker {
        if let Some(key) = self.nodes.get(node) {
            return *key;
        }
        let key = self.workers.insert(Worker {
            node: node.to_owned(),
            crashed_incarnations: SmallVec::new(),
            quarantine: None,
            id: String::new(),
            incarnation: 0,
            service: String::new(),
            data_centre: String::new(),
            rack: String::new(),
            labels: Vec::new(),
            capacity: Resources::default(),
            ready: false,
            leaves_at: None,
            is_responsive: false,
            is_reachable: false,
            last_answer: None,
            has_partial_list: false,
            lease_until,
            agent_clock: 0,
            clock_read: Millis(0),
            session: 0,
            epoch: 0,
            earlier_sessions: SmallVec::new(),
            grant_until: 0,
            newest_end_seen: 0,
            last_readable_end: None,
            acknowledged: 0,
            unrecorded: BTreeMap::new(),
            health: health::Health::default(),
            trust: trust::Record::default(),
            speed: speed::Record::default(),
            paused_until: Millis(0),
            refusals: 0,
            pace: None,
            runs: SmallVec::new(),
            used: Resources::default(),
            stray: Resources::default(),
        });
        self.nodes.insert(node.to_owned(), key);
        key
    }

    /// Returns a step.
    pub fn step(&self, instance: StepInstance) -> Option<&Step> {
        self.jobs.get(&instance.job)?.steps().get(usize::from(instance.step))
    }
}
