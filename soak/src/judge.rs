//! Checks what callers and workers see against the system's promises.
//!
//! The judge records every event with its time and never queries the system. Time bounds are
//! checked only after a time without disturbance; all other promises are always checked.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::resource::Resources;
use lavendergauge_stand_in::caller::Outcome;
use lavendergauge_stand_in::worker;
use lavendergauge_stand_in::worker::Event;

/// Time without disturbance after which time bounds apply, as set by the deployments.
pub const SETTLING_TIME: Duration = Duration::from_millis(3000);
/// Time after which no task of a cancelled job starts, as set by the deployments.
const CANCEL_BOUND: Duration = Duration::from_millis(3000);
/// Time after which every entry knows an accepted job, as set by the deployments.
const VISIBILITY_BOUND: Duration = Duration::from_millis(3000);
/// Time after which no task starts on a draining worker, as set by the deployments.
const DRAIN_BOUND: Duration = Duration::from_millis(2000);
/// Time after which no task starts in a data centre that was taken out, as set by the deployments.
const EVACUATION_BOUND: Duration = Duration::from_millis(5000);
/// Time after which a removed key is refused, as set by the deployments.
const REVOCATION_BOUND: Duration = Duration::from_millis(5000);
/// Time after which a configuration is in force, as set by the deployments.
const CONFIG_BOUND: Duration = Duration::from_millis(2000);
/// Time within which guaranteed work starts; the shorter of the bounds set by the deployments.
pub const RECLAIM_BOUND: Duration = Duration::from_millis(2900);
/// Longest duration of a call that may still break at a process that stops gracefully, as set by
/// the deployments.
const CALL_LOSS_BOUND: Duration = Duration::from_millis(200);
/// Time after which a start respects a capacity that has shrunk, as set by the deployments: the time
/// after which time bounds apply and a heartbeat.
const CAPACITY_BOUND: Duration = Duration::from_millis(3300);
/// Workers that must have crashed under a task before it is given up, as set by the deployments.
const MIN_CRASHES: u32 = 2;
/// Starts of a task that crashes its workers, as set by the deployments: three crashes, and less than
/// three more starts.
const MAX_CRASHING_STARTS: usize = 5;
/// Time for which the crash of a worker disturbs other work.
const CRASH_DISTURBANCE: Duration = Duration::from_millis(1500);
/// Failed runs after which a task is not started again, as set for every queue of the soak.
pub const MAX_ATTEMPTS: u32 = 3;

/// A promise of the system. Reports contain the names of the variants.
#[token]
pub enum Promise {
    /// No task runs twice at the same time, or again after it was done.
    Once,
    /// The tasks on a worker fit its capacity.
    Capacity,
    /// No task runs that was not submitted, or starts too long after its job was cancelled.
    Asked,
    /// No task of a refused job runs.
    Refused,
    /// A step starts after the steps that it depends on.
    Order,
    /// A task that has failed for good is not started again.
    Attempts,
    /// A task that crashes its workers is not started again and again.
    Contained,
    /// Every entry knows an accepted job, and the job ends.
    Kept,
    /// The state of a job that callers are shown is true.
    Truth,
    /// Removed keys are refused, and valid keys are not.
    Keys,
    /// No task starts on a worker that leaves or whose data centre was taken out.
    Left,
    /// A graceful stop breaks no call.
    Graceful,
    /// Guaranteed work starts in time.
    Guarantee,
    /// The system accepts jobs again after all faults.
    Recovery,
    /// Processes end only by signals.
    Alive,
}

/// A breach of a promise.
#[value]
pub struct Breach {
    /// Time of the breach.
    pub at: Millis,
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub text: String,
}

/// A job as its caller knows it.
#[row]
struct Job {
    payload: String,
    steps: Vec<Step>,
    /// Whether an attempt to submit it may have been accepted without its caller's knowledge.
    is_in_doubt: bool,
    accepted_at: Option<Millis>,
    is_cancel_sent: bool,
    cancelled_at: Option<Millis>,
    has_ended: bool,
    /// Whether a guarantee covers it and its start in time is still to be checked.
    is_guaranteed: bool,
}

/// A worker with the tasks that it has reported as running.
#[row]
struct Worker {
    capacity: Resources,
    /// What it had before it shrank, and until when a start may still use that.
    larger: Vec<(Millis, Resources)>,
    data_centre: String,
    /// Running tasks, with the resources that each needs.
    running: BTreeMap<Task, Resources>,
    /// When it announced that it drains.
    draining: Option<Millis>,
}

/// The judge, with the events recorded so far.
#[row]
#[derive(Default)]
pub struct Judge {
    /// Breaches found so far.
    pub breaches: Vec<Breach>,
    /// Number of checks of each promise.
    pub checks: BTreeMap<Promise, u64>,
    /// Time from which on nothing is disturbed.
    quiet_from: Millis,
    /// Time from which on nothing is disturbed, if planned work is not counted as a disturbance.
    quiet_except_planned_from: Millis,
    jobs: BTreeMap<Id, Job>,
    workers: Vec<Worker>,
    /// Starts of each task.
    starts: BTreeMap<Task, Vec<Millis>>,
    /// Times of successful ends, by task and run.
    completions: BTreeMap<(Task, u64), Millis>,
    /// Successful ends that the worker's agent acknowledged while the lease was valid.
    acknowledged: BTreeSet<(Task, u64)>,
    /// Number of failed runs of each task.
    failures: BTreeMap<Task, u32>,
    /// Number of workers that crashed while each task ran there.
    crashes: BTreeMap<Task, u32>,
    /// Number of failed runs of each task that the worker's agent acknowledged.
    acknowledged_failures: BTreeMap<Task, u32>,
    /// Removed keys and when they were removed.
    removed_keys: BTreeMap<String, Millis>,
    /// When the newest configuration was stored.
    config_changed: Millis,
    /// Data centres that are out, and since when.
    evacuated: BTreeMap<String, Millis>,
}

impl Judge {
    /// Makes a judge for workers, each given by its capacity and data centre.
    pub fn new(workers: Vec<(Resources, String)>) -> Judge {
        let worker = |(capacity, data_centre)| Worker {
            capacity,
            larger: Vec::new(),
            data_centre,
            running: BTreeMap::new(),
            draining: None,
        };
        Judge { workers: workers.into_iter().map(worker).collect(), ..Judge::default() }
    }

    /// Records a disturbance that lasts for a duration.
    pub fn record_disturbance(&mut self, now: Millis, duration: Duration) {
        self.quiet_from = self.quiet_from.max(now + duration);
        self.quiet_except_planned_from = self.quiet_except_planned_from.max(now + duration);
    }

    /// Records planned work, such as a graceful stop, that lasts for a duration.
    pub fn record_planned_work(&mut self, now: Millis, duration: Duration) {
        self.quiet_from = self.quiet_from.max(now + duration);
    }

    /// Returns true when nothing has been disturbed for long enough that time bounds apply.
    pub fn is_calm(&self, now: Millis) -> bool {
        self.quiet_from + SETTLING_TIME <= now
    }

    /// As [`Judge::is_calm`], but planned work is not counted as a disturbance.
    pub fn is_calm_except_planned(&self, now: Millis) -> bool {
        self.quiet_except_planned_from + SETTLING_TIME <= now
    }

    /// Returns true when a caller has been shown that the job ended.
    pub fn has_ended(&self, id: Id) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.has_ended)
    }

    /// Counts a check of a promise, and records a breach unless the promise holds.
    pub fn check(
        &mut self,
        now: Millis,
        promise: Promise,
        holds: bool,
        text: impl FnOnce() -> String,
    ) {
        *self.checks.entry(promise).or_default() += 1;
        if !holds {
            self.breaches.push(Breach { at: now, promise, text: text() });
        }
    }

    /// Records that a job is about to be submitted; `is_guaranteed` says that a guarantee covers
    /// it.
    pub fn record_submission(
        &mut self,
        id: Id,
        payload: &str,
        steps: &[Step],
        is_guaranteed: bool,
    ) {
        let job = Job {
            payload: payload.to_owned(),
            steps: steps.to_vec(),
            is_in_doubt: false,
            accepted_at: None,
            is_cancel_sent: false,
            cancelled_at: None,
            has_ended: false,
            is_guaranteed,
        };
        self.jobs.insert(id, job);
    }

    /// Records the outcome of an attempt, sent at `sent`, to submit a job with a key.
    pub fn record_submit_outcome(
        &mut self,
        now: Millis,
        sent: Millis,
        id: Id,
        key: &str,
        outcome: &Outcome,
    ) {
        self.check_key(now, sent, key, outcome);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match outcome.status {
            200..300 => {
                job.accepted_at.get_or_insert(now);
            }
            400..500 | 503 => {}
            _ if outcome.never_sent => {}
            _ => job.is_in_doubt = true,
        }
    }

    /// Checks that a removed key is refused, and that a valid one is not.
    fn check_key(&mut self, now: Millis, sent: Millis, key: &str, outcome: &Outcome) {
        let removed = self.removed_keys.get(key).copied();
        if let Some(removed) = removed {
            let is_late = removed + REVOCATION_BOUND < sent;
            let was_served = (200..300).contains(&outcome.status);
            self.check(now, Promise::Keys, !(is_late && was_served), || {
                format!("{key} was served although it was removed at {removed:?}")
            });
        } else if self.config_changed + CONFIG_BOUND < sent && self.is_calm(now) {
            let was_refused = [401, 403, 404].contains(&outcome.status);
            self.check(now, Promise::Keys, !was_refused, || {
                format!("{key} is valid, but a call with it got status {}", outcome.status)
            });
        }
    }

    /// Records that a job is about to be cancelled.
    pub fn record_cancel_sent(&mut self, id: Id) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_cancel_sent = true;
        }
    }

    /// Records the outcome of a cancellation.
    pub fn record_cancel_outcome(&mut self, now: Millis, id: Id, outcome: &Outcome) {
        if let Some(job) = self.jobs.get_mut(&id)
            && (200..300).contains(&outcome.status)
        {
            job.cancelled_at.get_or_insert(now);
        }
    }

    /// Records the outcome of a query for a job's state, sent at `sent`, and checks the state.
    pub fn record_state_outcome(&mut self, now: Millis, sent: Millis, id: Id, outcome: &Outcome) {
        let Some(job) = self.jobs.get(&id).cloned() else { return };
        if outcome.status == 410 {
            let is_due = job.accepted_at.is_some_and(|at| at + VISIBILITY_BOUND < sent);
            let is_known = !is_due || job.is_cancel_sent || !self.is_calm(now);
            self.check(now, Promise::Kept, is_known, || {
                format!("{id} was accepted, but an entry does not know it")
            });
        }
        let Some(state) = outcome.state else { return };
        let holds = match state {
            State::Completed => self.is_job_done(id, &job),
            State::Failed => self.has_failed(id),
            State::Cancelled => job.is_cancel_sent,
            State::Queued | State::Running => true,
        };
        self.check(now, Promise::Truth, holds, || {
            format!("{id} is shown as {state:?}, which it is not")
        });
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_ended |= matches!(state, State::Completed | State::Failed | State::Cancelled);
        }
    }

    /// Returns true when the steps of a job were done: all tasks of a step, or any member of a
    /// gang.
    fn is_job_done(&self, id: Id, job: &Job) -> bool {
        job.steps.iter().enumerate().all(|(number, step)| {
            let done = |index: u32| self.is_task_done(task(id, number, index));
            if step.gang { (0..step.tasks).any(done) } else { (0..step.tasks).all(done) }
        })
    }

    /// Returns true when any run of a task was done.
    fn is_task_done(&self, task: Task) -> bool {
        self.completions.range((task, 0)..=(task, u64::MAX)).next().is_some()
    }

    /// Returns true when a task of a job has failed as often as the queue allows, or crashes its
    /// workers and has crashed enough of them to be given up.
    fn has_failed(&self, id: Id) -> bool {
        let reaches = |counts: &BTreeMap<Task, u32>, least: u32| {
            counts.iter().any(|(task, count)| task.instance.job == id && least <= *count)
        };
        let is_crashing = self.jobs.get(&id).is_some_and(|job| worker::is_crashing(&job.payload));
        reaches(&self.failures, MAX_ATTEMPTS) || is_crashing && reaches(&self.crashes, MIN_CRASHES)
    }

    /// Records that a worker's capacity has changed.
    pub fn record_capacity(&mut self, now: Millis, worker: usize, capacity: Resources) {
        let row = &mut self.workers[worker];
        row.larger.push((now + CAPACITY_BOUND, row.capacity));
        row.capacity = capacity;
    }

    /// Records an event of a worker.
    pub fn record_event(&mut self, now: Millis, worker: usize, event: &Event) {
        match event {
            Event::Started { task, run, payload } => {
                self.record_start(now, worker, *task, *run, payload)
            }
            Event::Ended { task, run, how } => {
                self.workers[worker].running.remove(task);
                match *how {
                    "done" => {
                        self.completions.insert((*task, *run), now);
                    }
                    "failed" => *self.failures.entry(*task).or_default() += 1,
                    _ => {}
                }
            }
            // An end after the lease has expired does not count: the task may already run
            // elsewhere.
            Event::Acknowledged { task, run, how: "done", lease_expired: false } => {
                self.acknowledged.insert((*task, *run));
            }
            Event::Acknowledged { task, how: "failed", .. } => {
                *self.acknowledged_failures.entry(*task).or_default() += 1;
            }
            Event::Acknowledged { .. } => {}
            Event::Crashed => {
                // Other work is disturbed when a task crashes its worker.
                self.record_disturbance(now, CRASH_DISTURBANCE);
                for task in std::mem::take(&mut self.workers[worker].running).into_keys() {
                    *self.crashes.entry(task).or_default() += 1;
                }
                self.workers[worker].draining = None;
            }
        }
    }

    fn record_start(&mut self, now: Millis, worker: usize, task: Task, run: u64, payload: &str) {
        self.starts.entry(task).or_default().push(now);
        let id = task.instance.job;
        let step_index = usize::from(task.instance.step);
        let step = self.jobs.get(&id).and_then(|job| job.steps.get(step_index)).cloned();
        let was_submitted = step.as_ref().is_some_and(|step| task.index < step.tasks)
            && self.jobs.get(&id).is_some_and(|job| job.payload == payload);
        self.check(now, Promise::Asked, was_submitted, || {
            format!("{task} was not submitted with this payload")
        });
        let Some(step) = step else { return };
        let is_calm = self.is_calm(now);
        let job = self.jobs[&id].clone();
        let is_late = job.cancelled_at.is_some_and(|at| at + CANCEL_BOUND < now) && is_calm;
        self.check(now, Promise::Asked, !is_late, || {
            format!("{task} starts too long after its job was cancelled")
        });
        let is_running = self.workers.iter().any(|worker| worker.running.contains_key(&task));
        self.check(now, Promise::Once, !is_running, || {
            format!("{task} run {run} starts while another run is running")
        });
        let is_in_order = step.after.iter().all(|predecessor| {
            let predecessor = usize::from(*predecessor);
            let tasks = job.steps[predecessor].tasks;
            let done = |index| self.is_task_done(self::task(id, predecessor, index));
            if job.steps[predecessor].gang { (0..tasks).any(done) } else { (0..tasks).all(done) }
        });
        self.check(now, Promise::Order, is_in_order, || {
            format!("{task} starts before a step that it depends on has ended")
        });
        let failures = self.acknowledged_failures.get(&task).copied().unwrap_or(0);
        self.check(now, Promise::Attempts, failures < MAX_ATTEMPTS || step.gang, || {
            format!("{task} run {run} starts after {failures} failures")
        });
        self.check_placement(now, worker, task, is_calm);
        let worker_state = &mut self.workers[worker];
        worker_state.running.insert(task, step.resources());
        let used =
            worker_state.running.values().fold(Resources::default(), |sum, need| sum.plus(*need));
        let (need, capacity) = (step.resources(), worker_state.capacity);
        let fits = used.fits(capacity)
            || worker_state
                .larger
                .iter()
                .any(|(until, larger)| now <= *until && used.fits(*larger));
        self.check(now, Promise::Capacity, fits, || {
            format!("{task} needs {need:?}: {used:?} on worker {worker}, which has {capacity:?}")
        });
        let is_contained =
            !worker::is_crashing(payload) || self.starts[&task].len() <= MAX_CRASHING_STARTS;
        self.check(now, Promise::Contained, is_contained, || {
            format!("{task} run {run} starts again although it crashed its workers")
        });
    }

    /// Checks that a task starts neither on a leaving worker nor in a data centre that is out.
    fn check_placement(&mut self, now: Millis, worker: usize, task: Task, is_calm: bool) {
        let worker_state = &self.workers[worker];
        let is_leaving = worker_state.draining.is_some_and(|at| at + DRAIN_BOUND < now);
        let is_out = self
            .evacuated
            .get(&worker_state.data_centre)
            .is_some_and(|at| *at + EVACUATION_BOUND < now);
        let holds = !(is_calm && (is_leaving || is_out));
        self.check(now, Promise::Left, holds, || {
            format!("{task} starts on worker {worker}, which leaves or whose data centre is out")
        });
    }

    /// Records that a worker announced to its agent that it leaves.
    pub fn record_draining(&mut self, now: Millis, worker: usize) {
        self.workers[worker].draining = Some(now);
    }

    /// Records that a data centre was taken out, or put back in.
    pub fn record_evacuation(&mut self, now: Millis, data_centre: &str, is_out: bool) {
        if is_out {
            self.evacuated.insert(data_centre.to_owned(), now);
        } else {
            self.evacuated.remove(data_centre);
        }
    }

    /// Records that a configuration without these keys was stored.
    pub fn record_config(&mut self, now: Millis, removed: &BTreeSet<String>) {
        self.config_changed = now;
        self.removed_keys.retain(|key, _| removed.contains(key));
        for key in removed {
            self.removed_keys.entry(key.clone()).or_insert(now);
        }
    }

    /// Records that a call broke after a duration during which its entry was stopping.
    pub fn record_broken_call(&mut self, now: Millis, duration: Duration) {
        self.check(now, Promise::Graceful, duration <= CALL_LOSS_BOUND, || {
            format!("a call broke after {duration:?} at an entry that stops gracefully")
        });
    }

    /// Checks that guaranteed work that is due has started.
    pub fn check_due(&mut self, now: Millis) {
        let due: Vec<Id> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_guaranteed && !job.is_cancel_sent)
            .filter(|(_, job)| job.accepted_at.is_some_and(|at| at + RECLAIM_BOUND < now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.is_guaranteed = false;
            let accepted_at = job.accepted_at.unwrap_or_default();
            let tasks = job.steps[0].tasks;
            // The bound applies only if the whole time was calm, not just its end.
            if accepted_at < self.quiet_from + SETTLING_TIME {
                continue;
            }
            let has_started = (0..tasks).all(|index| {
                let starts = self.starts.get(&task(id, 0, index));
                starts.is_some_and(|starts| {
                    starts.iter().any(|at| *at <= accepted_at + RECLAIM_BOUND)
                })
            });
            self.check(now, Promise::Guarantee, has_started, || {
                format!("{id} has a guarantee, but has not started in time")
            });
        }
    }

    /// Returns the accepted jobs that were neither shown as ended nor cancelled.
    pub fn unfinished(&self) -> Vec<Id> {
        let is_unfinished =
            |job: &&Job| job.accepted_at.is_some() && !job.has_ended && !job.is_cancel_sent;
        self.jobs.iter().filter(|(_, job)| is_unfinished(job)).map(|(id, _)| *id).collect()
    }

    /// Returns the number of accepted jobs.
    pub fn accepted_count(&self) -> usize {
        self.jobs.values().filter(|job| job.accepted_at.is_some()).count()
    }

    /// Checks what can only be known at the end of a run.
    pub fn finish(&mut self, now: Millis) {
        for id in self.unfinished() {
            self.check(now, Promise::Kept, false, || format!("{id} has not ended"));
        }
        let restarted: Vec<(Task, Millis)> = self
            .acknowledged
            .iter()
            .filter_map(|(task, run)| {
                let done_at = *self.completions.get(&(*task, *run))?;
                let restarted_at = self.starts.get(task)?.iter().find(|at| done_at < **at)?;
                Some((*task, *restarted_at))
            })
            .collect();
        *self.checks.entry(Promise::Once).or_default() += self.acknowledged.len() as u64;
        for (task, at) in restarted {
            self.check(at, Promise::Once, false, || format!("{task} starts after it was done"));
        }
        let refused: Vec<Id> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted_at.is_none() && !job.is_in_doubt)
            .map(|(id, _)| *id)
            .collect();
        for id in refused {
            let has_run = self.starts.keys().any(|task| task.instance.job == id);
            self.check(now, Promise::Refused, !has_run, || {
                format!("{id} ran although it was refused")
            });
        }
    }
}

/// Returns a task of a job's first occurrence.
fn task(job: Id, step: usize, index: u32) -> Task {
    let instance =
        lavendergauge_lib::batch::job::StepInstance { job, occurrence: 0, step: step as u16 };
    Task { instance, index }
}
