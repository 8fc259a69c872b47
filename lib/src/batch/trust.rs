//! Classifies workers by how certain it is that they run what they start, from failures, survived
//! starts and stalled runs, and narrows the choice of workers accordingly.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use smallvec::SmallVec;
use smallvec::smallvec;

use crate::batch::event::Event;
use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::supervise;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::clock::Millis;
use crate::key;

/// Time that a run must survive to prove its worker. Workers that fail everything fail a run within
/// about 100 ms of its start, and a list may be 200 ms old.
pub const SURVIVAL: Duration = Duration::from_millis(400);
/// Age of a start after which it proves nothing any more. Faults begin at any time and last some
/// seconds; busy workers start something within this time.
const PROOF_LIFETIME: Duration = Duration::from_secs(5);
/// Time since its newest failure for which a worker is suspected. Faults last for some seconds, and
/// a worker that gets no work in the meantime cannot prove the contrary.
const SUSPICION: Duration = Duration::from_secs(8);
/// Number of jobs whose failures make a worker suspected even if later starts survive: it may fail
/// a part of its runs.
const SUSPICION_JOBS: usize = 2;
/// Time for which a failure is remembered. It exceeds [`SUSPICION`], so that gangs are placed with
/// care for as long as a worker is suspected.
const MEMORY: Duration = Duration::from_secs(10);
/// Maximum number of failures that are remembered.
const MAX_FAILURES: usize = 64;
/// Period in which early failures on several workers count as one burst, and for which a burst
/// lasts after the newest of them. As long as the first avoidance of a worker, after which its next
/// start shows whether the fault is over.
const BURST_WINDOW: Duration = Duration::from_secs(3);
/// Number of workers that a burst of early failures affects at least; those on one worker are that
/// worker's. Also the number of jobs from which a burst is certainly not the fault of one job.
const BURST_SIZE: usize = 2;
/// Longest wait of a last attempt for proven workers. A late job earns a part of its credit and a
/// failed one nothing; a job has to have something running within 3 s if there is capacity.
const LAST_ATTEMPT_WAIT: Duration = Duration::from_millis(2500);
/// Longest wait of a gang with attempts left while only suspected workers have room: its failure
/// costs about as much, the wait for the members to stop and to start elsewhere.
const GANG_WAIT: Duration = Duration::from_millis(1000);
/// Greatest share of the workers eligible for a step that are excluded at a time, in percent. More
/// would starve the step, and faults of more workers at a time are rare.
const MAX_EXCLUDED_PERCENT: usize = 40;
/// Number of a run's expected intervals between percentage points without progress after which its
/// worker may hang. A worker that is five times slower still gains one.
const STALL_POINTS: u32 = 6;
/// Factor by which the interval is extended while it is known from the estimate only.
const ESTIMATE_MARGIN: u32 = 2;
/// Minimum time without progress after which a worker may hang. Progress is listed at least every
/// 500 ms, so two lists show none.
const MIN_STALL: Duration = Duration::from_millis(1200);
/// Percentage points that a run must have gained for its own pace to be known.
const PACE_POINTS: u32 = 3;
/// Minimum number of a run's intervals between percentage points after which it is stopped for lack
/// of progress: twice what a worker takes that is five times slower.
const STOP_POINTS: u32 = 10;
/// Minimum time without progress after which a run is stopped. Workers often hang together, and those
/// on which a run starts during the fault show it later; a run that is stopped earlier is placed on
/// another one of them.
const MIN_STOP: Duration = MIN_STALL.saturating_mul(2);
/// Time for which a worker counts as hanging after the newest list that showed it. A worker whose
/// stalled runs were stopped can show progress only with new ones.
const HANG_MEMORY: Duration = Duration::from_secs(3);
/// Work lost when a run with a checkpoint is started again, in milliseconds.
const CHECKPOINT_LOSS_MS: u64 = 500;
/// Time from a decision until a run works on another worker, without the stop of the present one, in
/// milliseconds.
const RESTART_MS: u64 = 300;

/// What a worker's starts and runs have shown since it started.
#[row]
#[derive(Default)]
pub struct Record {
    /// Start of the newest run that survived [`SURVIVAL`] or ended as done.
    pub survived: Option<Millis>,
    /// When a run failed there last.
    pub failed_at: Option<Millis>,
    /// When a run failed there last that is not its job's own fault.
    pub blamed_at: Option<Millis>,
    /// Number of different jobs with such failures among those that were remembered at the newest.
    pub blamed_jobs: usize,
    /// Until when it counts as hanging.
    pub hangs_until: Millis,
    /// Whether runs that depend on no other worker show that it hangs.
    pub hangs_by_itself: bool,
    /// When one of its runs progressed last.
    pub progressed_at: Millis,
    /// Until when no run can have stalled, so that its runs need not be examined.
    pub examined_until: Millis,
    /// Cause of suspicion that was logged last; `None` once its end was logged.
    pub logged: Option<Suspicion>,
}

/// Why a worker is suspected.
#[token]
pub enum Suspicion {
    /// Its runs make no progress.
    Hangs,
    /// Runs failed there.
    Fails,
}

impl Suspicion {
    /// Returns the cause's name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::trust::Suspicion::Hangs.name(), "hangs");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Suspicion::Hangs => "hangs",
            Suspicion::Fails => "fails",
        }
    }
}

impl Record {
    /// Returns why the worker is suspected, if it is.
    ///
    /// ```
    /// use lavendergauge_lib::batch::trust::Record;
    /// use lavendergauge_lib::batch::trust::Suspicion;
    /// use lavendergauge_lib::clock::Millis;
    /// let record = Record { blamed_at: Some(Millis(500)), ..Record::default() };
    /// assert_eq!(record.suspicion(Millis(600)), Some(Suspicion::Fails));
    /// let record = Record { survived: Some(Millis(700)), ..record };
    /// assert_eq!(record.suspicion(Millis(1100)), None);
    /// ```
    pub fn suspicion(&self, now: Millis) -> Option<Suspicion> {
        if now < self.hangs_until {
            return Some(Suspicion::Hangs);
        }
        let blamed_at = self.blamed_at.filter(|at| now.since(*at) < SUSPICION)?;
        let is_refuted = self.blamed_jobs < SUSPICION_JOBS
            && self.survived.is_some_and(|survived| blamed_at < survived);
        (!is_refuted).then_some(Suspicion::Fails)
    }

    /// Tells whether a recent start shows that the worker runs what it starts. `since` is the time
    /// before which starts show nothing.
    ///
    /// Runs that were at work when a fault began may go on, so only the time of the start counts, and
    /// not how long a run has worked.
    ///
    /// ```
    /// use lavendergauge_lib::batch::trust::Record;
    /// use lavendergauge_lib::clock::Millis;
    /// let record = Record { survived: Some(Millis(700)), ..Record::default() };
    /// assert!(record.is_proven(Millis(1100), Millis(0)));
    /// assert!(!record.is_proven(Millis(1100), Millis(900)));
    /// assert!(!record.is_proven(Millis(9100), Millis(0)));
    /// ```
    pub fn is_proven(&self, now: Millis, since: Millis) -> bool {
        let Some(survived) = self.survived else { return false };
        now.since(survived) < PROOF_LIFETIME
            && since <= survived
            && self.failed_at.is_none_or(|at| at < survived)
            && self.suspicion(now).is_none()
    }

    /// Applies a listed run; `reported_at` is when the list was requested.
    pub(super) fn observe_run(&mut self, run: &Run, reported_at: Millis) {
        if has_progressed(run) {
            self.progressed_at = self.progressed_at.max(run.progressed_at);
        }
        let lasts = run.seen_at.is_some_and(|seen_at| SURVIVAL <= reported_at.since(seen_at));
        if lasts && !run.is_inherited() {
            self.survived = self.survived.max(Some(run.since));
        }
    }

    /// Applies the success of a run.
    pub(super) fn observe_done(&mut self, run: Option<&Run>, now: Millis) {
        self.progressed_at = now;
        if let Some(run) = run.filter(|run| !run.is_inherited()) {
            self.survived = self.survived.max(Some(run.since));
        }
    }
}

/// A failed run.
#[row]
struct Failure {
    worker: key::Worker,
    task: Task,
    run: u32,
    at: Millis,
    /// Whether the run failed before it had survived [`SURVIVAL`].
    is_early: bool,
    /// Whether it counts against the worker.
    is_blamed: bool,
}

/// A burst of early failures on several workers.
#[token]
pub struct Burst {
    /// When the first of the failures was observed.
    pub since: Millis,
    /// When it ends unless another such failure follows.
    pub until: Millis,
    /// Number of jobs with such failures within the window before the newest of them.
    pub jobs: usize,
}

/// What the recent failures on all workers show.
#[row]
#[derive(Default)]
pub struct State {
    failures: VecDeque<Failure>,
    burst: Option<Burst>,
    /// Start of the burst that was logged last.
    logged: Option<Millis>,
    /// Steps for which it was logged that their last attempts wait.
    withheld: BTreeSet<StepInstance>,
}

impl State {
    /// Returns the present burst of failures.
    ///
    /// ```
    /// use lavendergauge_lib::batch::trust::State;
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(State::default().burst(Millis(5)), None);
    /// ```
    pub fn burst(&self, now: Millis) -> Option<Burst> {
        self.burst.filter(|burst| now < burst.until)
    }

    /// Keeps only what concerns steps that wait.
    pub(super) fn retain(&mut self, waiting: &BTreeSet<StepInstance>) {
        self.withheld.retain(|instance| waiting.contains(instance));
    }

    /// Returns the time before which starts prove nothing: the begin of the newest burst. Its end
    /// does not make earlier starts proofs again.
    fn proofs_since(&self) -> Millis {
        self.burst.map_or(Millis(0), |burst| burst.since)
    }

    fn is_quiet(&self, now: Millis) -> bool {
        self.failures.back().is_none_or(|failure| MEMORY <= now.since(failure.at))
    }

    /// Determines whether the early failures within the window are a burst.
    fn update_burst(&mut self, now: Millis) {
        let early: SmallVec<[&Failure; 16]> = self
            .failures
            .iter()
            .filter(|failure| failure.is_early && failure.is_blamed)
            .filter(|failure| now.since(failure.at) < BURST_WINDOW)
            .collect();
        let workers: BTreeSet<key::Worker> = early.iter().map(|failure| failure.worker).collect();
        if workers.len() < BURST_SIZE {
            return;
        }
        let jobs: BTreeSet<Id> = early.iter().map(|failure| failure.task.instance.job).collect();
        let first = early.iter().map(|failure| failure.at).min().unwrap_or(now);
        let since = self.burst(now).map_or(first, |burst| burst.since);
        let newest = early.iter().map(|failure| failure.at).max().unwrap_or(now);
        self.burst = Some(Burst { since, until: newest + BURST_WINDOW, jobs: jobs.len() });
    }

    /// Tells whether a failure is the job's own fault: earlier runs of the same work failed on other
    /// workers, and no other job failed on any of them.
    ///
    /// Failures of one run do not count: the members of a gang may have several faulty workers.
    fn is_own_fault(
        &self,
        now: Millis,
        key: key::Worker,
        task: Task,
        run: u32,
        gang: bool,
    ) -> bool {
        let instance = task.instance;
        let is_same = |failure: &&Failure| {
            let is_same_work =
                if gang { failure.task.instance == instance } else { failure.task == task };
            is_same_work && failure.run < run && failure.worker != key
        };
        let others: SmallVec<[key::Worker; 4]> =
            self.failures.iter().filter(is_same).map(|failure| failure.worker).collect();
        let has_failed_others = |failure: &Failure| {
            failure.task.instance.job != instance.job
                && (failure.worker == key || others.contains(&failure.worker))
        };
        self.burst(now).is_none_or(|burst| burst.jobs < BURST_SIZE)
            && !others.is_empty()
            && !self.failures.iter().any(has_failed_others)
    }
}

/// Records that a run failed on a worker; returns whether the failure counts against the worker.
/// `ended` is the run, unless another one has replaced it.
pub(super) fn record_failure(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    task: Task,
    number: u32,
    ended: Option<&Run>,
) -> bool {
    if let Some(task_state) = tables.task_state_mut(task) {
        task_state.failed_at = now;
    }
    if !tables.policy.worker_trust {
        return true;
    }
    let gang = tables.step(task.instance).is_some_and(|step| step.gang);
    let state = &mut tables.trust;
    state.failures.retain(|failure| now.since(failure.at) < MEMORY);
    if state.failures.len() == MAX_FAILURES {
        state.failures.pop_front();
    }
    // A run that was never listed failed before the first list that could show it.
    let is_early = ended.is_some_and(|run| run.seen_at.is_none_or(|at| now.since(at) < SURVIVAL));
    let is_blamed = !state.is_own_fault(now, key, task, number, gang);
    state.failures.push_back(Failure {
        worker: key,
        task,
        run: number,
        at: now,
        is_early,
        is_blamed,
    });
    state.update_burst(now);
    let jobs: BTreeSet<Id> = state
        .failures
        .iter()
        .filter(|failure| failure.worker == key && failure.is_blamed)
        .map(|failure| failure.task.instance.job)
        .collect();
    let record = &mut tables.workers[key].trust;
    record.failed_at = Some(now);
    if is_blamed {
        record.blamed_at = Some(now);
        record.blamed_jobs = jobs.len();
    }
    is_blamed
}

/// Determines which of the workers that reported hang, and logs changes of suspicion.
pub fn judge(
    tables: &mut Tables,
    now: Millis,
    workers: &BTreeSet<key::Worker>,
    events: &mut Vec<Event>,
) {
    if !tables.policy.worker_trust {
        return;
    }
    for &key in workers {
        let Some(worker) = tables.workers.get(key) else { continue };
        let record = &worker.trust;
        let mut examined_until = record.examined_until;
        let hang = if now < examined_until && record.hangs_until <= now {
            Hang::None
        } else {
            hang(tables, now, key, worker, &mut examined_until)
        };
        // Progress refutes a stall; the mere end of the stalled runs does not.
        let progresses = now.since(record.progressed_at) < MIN_STALL;
        let (hangs_until, hangs_by_itself) = match hang {
            Hang::ByItself => (now + HANG_MEMORY, true),
            Hang::WithGang => (now + HANG_MEMORY, false),
            Hang::Elsewhere => (Millis(0), false),
            Hang::None if progresses => (Millis(0), false),
            Hang::None => (record.hangs_until, record.hangs_by_itself),
        };
        let Some(worker) = tables.workers.get_mut(key) else { continue };
        worker.trust.examined_until = examined_until;
        worker.trust.hangs_until = hangs_until;
        worker.trust.hangs_by_itself = hangs_by_itself;
        let suspicion = worker.trust.suspicion(now);
        if suspicion == worker.trust.logged {
            continue;
        }
        worker.trust.logged = suspicion;
        events.push(match suspicion {
            Some(suspicion) => Event::Suspected(worker.node.clone(), suspicion),
            None => Event::Cleared(worker.node.clone()),
        });
    }
    if let Some(burst) = tables.trust.burst(now)
        && tables.trust.logged != Some(burst.since)
    {
        tables.trust.logged = Some(burst.since);
        let workers: BTreeSet<key::Worker> = tables
            .trust
            .failures
            .iter()
            .filter(|failure| failure.is_early && burst.since <= failure.at)
            .map(|failure| failure.worker)
            .collect();
        events.push(Event::FailureBurst(workers.len()));
    }
}

/// What the runs of a worker show about whether it hangs.
#[token]
enum Hang {
    /// No run has stalled, or another one has progressed.
    None,
    /// Runs have stalled that depend on no other worker.
    ByItself,
    /// Only members of gangs have stalled, and no other member's worker is known to hang.
    WithGang,
    /// Only members of gangs have stalled, of which another member's worker hangs by itself.
    Elsewhere,
}

/// Examines the runs of a worker, and determines until when the result stays the same unless one of
/// them has stalled: a run that is first listed or progresses later cannot stall before.
fn hang(
    tables: &Tables,
    now: Millis,
    key: key::Worker,
    worker: &Worker,
    examined_until: &mut Millis,
) -> Hang {
    let Some(reported_at) = worker.last_answer.filter(|_| worker.is_responsive) else {
        return Hang::None;
    };
    *examined_until = reported_at + MIN_STALL;
    let mut hang = Hang::None;
    for run in worker.runs.iter().filter_map(|run| tables.runs.get(*run)) {
        let progressed_at = run.progressed_at.max(worker.trust.progressed_at);
        if reported_at < progressed_at + MIN_STALL {
            *examined_until = (*examined_until).min(progressed_at + MIN_STALL);
            continue;
        }
        let Some(step) = tables.step(run.task.instance) else { continue };
        if !is_at_work(step, run) {
            continue;
        }
        let margin = if has_pace(run) { 1 } else { ESTIMATE_MARGIN };
        let stalls_at = progressed_at + interval(step, run) * margin * STALL_POINTS;
        *examined_until = (*examined_until).min(stalls_at);
        if reported_at < stalls_at {
            continue;
        }
        if !step.gang {
            return Hang::ByItself;
        }
        let Some(others) = other_workers(tables, key, run.task.instance) else { continue };
        let hangs_by_itself = |key: &key::Worker| {
            let record = &tables.workers[*key].trust;
            record.hangs_by_itself && now < record.hangs_until
        };
        if others.is_empty() {
            return Hang::ByItself;
        }
        if !others.iter().any(hangs_by_itself) {
            hang = Hang::WithGang;
        } else if hang == Hang::None {
            hang = Hang::Elsewhere;
        }
    }
    hang
}

/// Tells whether a run should progress.
fn is_at_work(step: &Step, run: &Run) -> bool {
    run.phase == Phase::Running
        && run.seen_at.is_some()
        && run.percent < 100
        && !step.long_running
        && !step.best_effort
}

/// Returns the other workers of a gang; `None` unless all of its members have begun.
fn other_workers(
    tables: &Tables,
    key: key::Worker,
    instance: StepInstance,
) -> Option<SmallVec<[key::Worker; 8]>> {
    let occurrence = tables.jobs.get(&instance.job)?.occurrences.get(&instance.occurrence)?;
    let mut workers = SmallVec::new();
    for member in occurrence.steps.get(usize::from(instance.step))? {
        let run = tables.runs.get(member.live?)?;
        if run.phase != Phase::Running || run.seen_at.is_none() {
            return None;
        }
        if run.worker != key && !workers.contains(&run.worker) {
            workers.push(run.worker);
        }
    }
    Some(workers)
}

/// Tells whether a run has progressed since it was first listed.
fn has_progressed(run: &Run) -> bool {
    run.seen_at.is_some_and(|seen_at| seen_at < run.progressed_at)
}

/// Tells whether a run's own pace is known.
fn has_pace(run: &Run) -> bool {
    PACE_POINTS <= run.percent.saturating_sub(run.first_percent)
}

/// Returns the time that a run is expected to take for one percentage point, by its own pace or
/// else by the estimate, of which each run that was stopped for lack of progress makes less certain.
fn interval(step: &Step, run: &Run) -> Duration {
    match run.seen_at.filter(|_| has_pace(run)) {
        Some(seen_at) => run.progressed_at.since(seen_at) / (run.percent - run.first_percent),
        None => supervise::patience(run, Duration::from_millis(rank::estimated_ms(step)) / 100),
    }
}

/// Returns the time without progress after which a run is stopped; `usual` is the time for a run
/// on a worker that does not hang.
///
/// How long a worker will hang is not known. Waiting for as long as a restart would take and
/// restarting then costs at most twice as much as the better of both.
pub(super) fn stall_limit(
    tables: &Tables,
    now: Millis,
    step: &Step,
    run: &Run,
    usual: Duration,
) -> Duration {
    if !tables.policy.worker_trust {
        return usual;
    }
    let least = interval(step, run) * STOP_POINTS;
    let hangs = tables.workers.get(run.worker).is_some_and(|row| now < row.trust.hangs_until);
    if !hangs {
        return usual.max(least);
    }
    let has_checkpoint = step.checkpoints
        && tables.task_state(run.task).is_some_and(|task_state| !task_state.checkpoint.is_empty());
    let worked = run.progressed_at.since(run.seen_at.unwrap_or(run.progressed_at));
    let lost =
        if has_checkpoint { worked.min(Duration::from_millis(CHECKPOINT_LOSS_MS)) } else { worked };
    let restart = Duration::from_millis(tables.bounds.stop_grace_ms + RESTART_MS);
    usual.min(MIN_STOP.max(lost + restart)).max(least)
}

/// Returns the workers of a pool on which nothing speaks against starting work: those that do not
/// hang and are not avoided because of failures. At most [`MAX_EXCLUDED_PERCENT`] are left out.
pub(super) fn healthy(tables: &Tables, now: Millis, pool: &[key::Worker]) -> Vec<key::Worker> {
    if !tables.policy.worker_trust {
        return place::healthy(tables, now, pool);
    }
    let is_excluded = |worker: &Worker| {
        worker.health.is_avoided(now) || worker.trust.suspicion(now) == Some(Suspicion::Hangs)
    };
    exclude(tables, pool, max_excluded(pool.len()), is_excluded)
}

/// Returns the workers of a pool that are not suspected of anything.
pub(super) fn unsuspected(tables: &Tables, now: Millis, pool: &[key::Worker]) -> Vec<key::Worker> {
    let is_suspected = |key: &key::Worker| tables.workers[*key].trust.suspicion(now).is_some();
    pool.iter().copied().filter(|key| !is_suspected(key)).collect()
}

/// Returns for how long a step waits for workers that are certain enough for its last attempt; `None`
/// if it has more attempts.
pub(super) fn last_attempt_wait(
    tables: &Tables,
    candidate: &Candidate,
    step: &Step,
) -> Option<Duration> {
    let is_last = tables.policy.worker_trust && is_last_attempt(tables, candidate, step);
    is_last.then_some(LAST_ATTEMPT_WAIT)
}

/// Returns how many of a number of workers may be excluded; at least one, so that a fault of one
/// worker among few is avoided too.
fn max_excluded(count: usize) -> usize {
    (count * MAX_EXCLUDED_PERCENT / 100).max(1)
}

/// Removes at most `most` workers that a predicate selects from a pool, the most suspicious first.
fn exclude(
    tables: &Tables,
    pool: &[key::Worker],
    most: usize,
    is_excluded: impl Fn(&Worker) -> bool,
) -> Vec<key::Worker> {
    let mut excluded: Vec<key::Worker> =
        pool.iter().copied().filter(|key| is_excluded(&tables.workers[*key])).collect();
    if excluded.is_empty() {
        return pool.to_vec();
    }
    if most < excluded.len() {
        excluded.sort_unstable_by_key(|key| {
            let worker = &tables.workers[*key];
            let record = &worker.trust;
            Reverse((
                record.hangs_until,
                record.blamed_jobs,
                worker.health.failures,
                record.blamed_at,
                *key,
            ))
        });
        excluded.truncate(most);
    }
    excluded.sort_unstable();
    pool.iter().copied().filter(|key| excluded.binary_search(key).is_err()).collect()
}

/// Tells whether the waiting tasks of a candidate have failed and have one attempt left; for tasks
/// that run on their own, all of them.
///
/// The first attempt of a queue that allows one does not count: without a failure there is no
/// evidence for which it would have to wait.
fn is_last_attempt(tables: &Tables, candidate: &Candidate, step: &Step) -> bool {
    let mut last = candidate.waiting.iter().map(has_one_attempt(tables, candidate, step));
    if step.gang { last.any(|is_last| is_last) } else { last.all(|is_last| is_last) }
}

/// Returns a predicate that tells whether a task of a candidate has failed and has one attempt left.
fn has_one_attempt(tables: &Tables, candidate: &Candidate, step: &Step) -> impl Fn(&u32) -> bool {
    let StepInstance { job, occurrence, step: number } = candidate.instance;
    let job = tables.jobs.get(&job);
    let attempts = job.map_or(1, |job| job.queue.attempts.max(1));
    let task_states = job
        .and_then(|job| job.occurrences.get(&occurrence)?.steps.get(usize::from(number)))
        .filter(|_| !step.long_running);
    move |index| {
        task_states.and_then(|task_states| task_states.get(*index as usize)).is_some_and(
            |task_state| task_state.failures != 0 && attempts <= task_state.failures + 1,
        )
    }
}

/// Returns for how long the waiting tasks of a candidate have had one attempt left.
fn waited(tables: &Tables, now: Millis, candidate: &Candidate) -> Duration {
    let failed_at = |index: &u32| {
        let task = Task { instance: candidate.instance, index: *index };
        tables.task_state(task).map(|task_state| task_state.failed_at)
    };
    let failed_at = candidate.waiting.iter().filter_map(failed_at).max().unwrap_or_default();
    // The time of a failure under an earlier planner is not known.
    now.since(failed_at.max(tables.took_over))
}

/// Splits a candidate whose tasks run on their own into last attempts and others, so that neither
/// is held to the other's choice of workers. A gang and a candidate of one kind stay whole.
pub(super) fn parts<'a>(
    tables: &Tables,
    candidate: &'a Candidate,
    step: &Step,
) -> SmallVec<[Cow<'a, Candidate>; 2]> {
    if !tables.policy.worker_trust || step.gang {
        return smallvec![Cow::Borrowed(candidate)];
    }
    let part = |waiting: Vec<u32>| Cow::Owned(Candidate { waiting, ..candidate.clone() });
    let is_last = has_one_attempt(tables, candidate, step);
    let (last, others): (Vec<u32>, Vec<u32>) = candidate.waiting.iter().partition(|i| is_last(i));
    if last.is_empty() || others.is_empty() {
        return smallvec![Cow::Borrowed(candidate)];
    }
    smallvec![part(last), part(others)]
}

/// Narrows the workers on which a step may be placed to those that are certain enough for its
/// attempt: a last attempt is placed on proven workers, and a gang prefers them. `eligible` is the
/// number of workers before any were left out.
pub(super) fn narrow(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
    eligible: usize,
    pool: Vec<key::Worker>,
) -> Vec<key::Worker> {
    if !tables.policy.worker_trust {
        return pool;
    }
    let is_last = is_last_attempt(tables, candidate, step);
    // A gang fails if one of its workers does; a task on its own shows what its worker does.
    if !is_last && (!step.gang || tables.trust.is_quiet(now)) {
        return pool;
    }
    let fits = |pool: &[key::Worker]| fits(tables, availability, candidate.instance, step, pool);
    let proven = proven(tables, now, &pool, candidate.instance);
    if fits(&proven) || (is_last && waited(tables, now, candidate) < LAST_ATTEMPT_WAIT) {
        return proven;
    }
    let most = max_excluded(eligible).saturating_sub(eligible - pool.len());
    let known = exclude(tables, &pool, most, |worker| worker.trust.suspicion(now).is_some());
    let could_hold =
        if step.gang { place::fits_when_empty(tables, step, &known) } else { !known.is_empty() };
    let may_wait = is_last || now.since(candidate.since) < GANG_WAIT;
    if could_hold && (may_wait || fits(&known)) { known } else { pool }
}

/// Returns the proven workers of a pool, and those on which capacity is reserved for the step.
///
/// The latter were proven when runs were stopped for the step. If it were not placed there once their
/// proof is too old, other runs would be stopped for it elsewhere.
fn proven(
    tables: &Tables,
    now: Millis,
    pool: &[key::Worker],
    instance: StepInstance,
) -> Vec<key::Worker> {
    let since = tables.trust.proofs_since();
    let reserved = tables.reservations.get(&instance);
    let is_proven = |key: &key::Worker| {
        let record = &tables.workers[*key].trust;
        let is_reserved = reserved.is_some_and(|reservation| {
            reservation.placements.iter().any(|(worker, _)| worker == key)
        });
        record.is_proven(now, since) || (is_reserved && record.suspicion(now).is_none())
    };
    pool.iter().copied().filter(is_proven).collect()
}

/// Tells whether a gang, or one task of another step, has room on the workers now.
fn fits(
    tables: &Tables,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    pool: &[key::Worker],
) -> bool {
    if !step.gang {
        return pool.iter().any(|key| availability.holds(tables, instance, *key, step, 1) != 0);
    }
    let (groups, _) = place::full_speed_groups(tables, pool, step);
    place::pack_gang(tables, availability, instance, step, &groups).is_some()
}

/// Returns an event if the workers that were chosen for a placed step were narrowed to proven ones.
pub(super) fn explain_placement(
    tables: &Tables,
    now: Millis,
    candidate: &Candidate,
    step: &Step,
    pool: &[key::Worker],
) -> Option<Event> {
    let is_narrowed = tables.policy.worker_trust
        && !tables.trust.is_quiet(now)
        && (step.gang || is_last_attempt(tables, candidate, step))
        && proven(tables, now, pool, candidate.instance).len() == pool.len();
    is_narrowed.then_some(Event::PlacedOnProven(candidate.instance, pool.len()))
}

/// Returns an event the first time that a step found no place because its last attempts wait for
/// proven workers.
pub(super) fn explain_wait(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
) -> Option<Event> {
    if !tables.policy.worker_trust
        || tables.trust.withheld.contains(&candidate.instance)
        || !is_last_attempt(tables, candidate, step)
        || LAST_ATTEMPT_WAIT <= waited(tables, now, candidate)
    {
        return None;
    }
    let pool = place::eligible(tables, now, availability, candidate.instance, step);
    if !fits(tables, availability, candidate.instance, step, &pool) {
        return None;
    }
    tables.trust.withheld.insert(candidate.instance);
    Some(Event::LastAttemptWaits(
        candidate.instance,
        proven(tables, now, &pool, candidate.instance).len(),
    ))
}
