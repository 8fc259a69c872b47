//! The planner: takes events into the tables and, each tick, decides what starts and stops.

use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::backlog::Backlog;
use crate::census;
use crate::claim;
use crate::clock::Millis;
use crate::compact;
use crate::configure;
use crate::drain;
use crate::estimate;
use crate::evacuate;
use crate::explain;
use crate::explain::Explanation;
use crate::fleet::Config;
use crate::fleet::Report;
use crate::ground::Ground;
use crate::key;
use crate::ledger;
use crate::name::Name;
use crate::probation;
use crate::room::Room;
use crate::set::Set;
use crate::shape::Seat;
use crate::shape::Seats;
use crate::shape::Shape;
use crate::table::Class;
use crate::table::Job;
use crate::table::Place;
use crate::table::Places;
use crate::table::State;
use crate::table::Tables;
use crate::usage;
use crate::witness;

/// Time for a fleet to announce itself before a job can be refused for want of it.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Time for which a job waits for a configuration that knows its account and guarantee.
const CONFIG_LAG: Duration = Duration::from_secs(10);
/// Pause after an attempt that never ran; doubles with each one in a row.
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// Longest pause after an attempt that never ran.
const RETRY_LAST: Duration = Duration::from_secs(10);
/// Longest pause of a claim, which has to start within seconds.
const RETRY_CLAIM: Duration = Duration::from_millis(400);
/// Time beyond the notice and the lease after which an attempt that is not heard of has stopped.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which jobs past their bound are given space to drain.
const DRAIN_EVERY: Duration = Duration::from_secs(1);
/// Interval at which one worker may be emptied so that it is free as a whole.
const COMPACT_EVERY: Duration = Duration::from_secs(10);
/// Workers that lately refused to start a job and are left out for it.
const AVOIDED: usize = 2;

/// A job as it enters the planner.
#[value]
pub struct Submission {
    /// Identifier of the job.
    pub job: Name,
    /// The client account it runs for.
    pub account: Name,
    /// What it needs.
    pub shape: Shape,
    /// How long it may wait.
    pub class: Class,
    /// Guarantee that it claims, if any.
    pub guarantee: Option<Name>,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Whether it can be checkpointed and resumed.
    pub checkpoints: bool,
    /// Whether it may run again after its outcome was lost.
    pub idempotent: bool,
    /// Run time the caller declared, in seconds; 0 for none.
    pub declared_s: u64,
    /// Attempts made so far.
    pub attempt: u32,
    /// Places of the newest attempt, when a new planner takes over a placed job.
    pub seats: Seats,
}

/// Something that happened since the last tick.
#[value]
pub enum Event {
    /// A configuration came into force; a lower revision than the one in force is dropped.
    Configure(Config),
    /// A worker announced itself.
    Announce(Report),
    /// A worker is gone, with all that ran there.
    Lose(Name),
    /// A job was accepted.
    Submit(Submission),
    /// All members of an attempt run.
    Started {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt never ran, and none of its members ever will.
    Aborted {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker at fault, if one is.
        worker: Option<Name>,
    },
    /// An attempt was stopped on the planner's word, and the job waits again.
    Stopped {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// What the members of a job use on one worker, as the worker reports with a lag.
    Usage {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
        /// Processor cores in use.
        processors: u32,
        /// Memory in use, in megabytes.
        memory_mb: u64,
    },
    /// A job has ended for good, whatever the outcome.
    Ended {
        /// Identifier of the job.
        job: Name,
    },
    /// A worker failed a task that others might run.
    Failed {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
    },
}

/// Why a running job is told to stop.
#[value]
pub enum Cause {
    /// A guarantee's owner claims the accelerators.
    Reclaim(Name),
    /// Operators took the data centre out.
    DataCentreOut(Name),
    /// The worker leaves.
    WorkerLeaving(Name),
    /// The worker of a member is gone, or has forgotten what it held.
    WorkerLost(Name),
    /// A job has waited for longer than may be.
    LongWait(Name),
    /// The job moves so that the worker becomes free as a whole.
    Compact(Name),
    /// The job uses more than it declared.
    Overuse(Name),
}

/// What the planner decided.
#[value]
pub enum Action {
    /// Start an attempt of a job on these seats.
    Start {
        /// Identifier of the job.
        job: Name,
        /// The new attempt's number.
        attempt: u32,
        /// Where its members go, in member order.
        seats: Seats,
        /// Number of places that were weighed.
        alternatives: usize,
    },
    /// Stop an attempt after a notice.
    Stop {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// Time to checkpoint.
        notice: Duration,
        /// Why.
        cause: Cause,
    },
    /// End a job that can run nowhere.
    Refuse {
        /// Identifier of the job.
        job: Name,
        /// Why it can run nowhere.
        reason: String,
    },
    /// End a job that has failed where others run.
    Fail {
        /// Identifier of the job.
        job: Name,
        /// Why it is not tried again.
        reason: String,
    },
    /// Tell that no worker that is left could run a waiting job.
    Stranded {
        /// Identifier of the job.
        job: Name,
        /// What it would need.
        reason: String,
    },
    /// Hold the members of a job on one worker to their declaration.
    Throttle {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
        /// Processor cores that they may use together; 0 for no limit.
        processors: u32,
        /// Memory that they may use together, in megabytes; 0 for no limit.
        memory_mb: u64,
    },
    /// A guarantee that could not be met can be met again.
    Met {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
    },
    /// A guarantee cannot be met by the workers that are left.
    Unmet {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
        /// Why it cannot be met.
        reason: String,
    },
}

/// A job whose account or guarantee is not in the configuration in force.
#[row]
struct Unconfigured {
    since: Millis,
    submission: Submission,
    reason: String,
}

/// The planner's tables and the systems over them.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    tables: Tables,
    backlog: Backlog,
    pending: Vec<Action>,
    unconfigured: Vec<Unconfigured>,
    unchecked: Vec<key::Job>,
    begun: Option<Millis>,
    drained: Option<Millis>,
    compacted: Option<Millis>,
}

impl Planner {
    /// Returns the tables, for reading.
    ///
    /// ```
    /// use lavendergauge_lib::planner::Planner;
    /// assert!(Planner::default().tables().jobs.is_empty());
    /// ```
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Takes one event into the tables.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::fleet::Config;
    /// use lavendergauge_lib::planner::Event;
    /// use lavendergauge_lib::planner::Planner;
    /// let mut planner = Planner::default();
    /// planner.apply(Millis(0), Event::Configure(Config { revision: 3, ..Config::default() }));
    /// assert_eq!(planner.tables().revision, 3);
    /// ```
    pub fn apply(&mut self, now: Millis, event: Event) {
        match event {
            Event::Configure(config) => self.configure(now, config),
            Event::Announce(report) => {
                census::announce(&mut self.tables, now, &report, &mut self.pending);
            }
            Event::Lose(worker) => self.lose(now, &worker),
            Event::Submit(submission) => self.submit(now, submission),
            Event::Started { job, attempt } => self.started(&job, attempt),
            Event::Aborted { job, attempt, worker } => self.aborted(now, &job, attempt, worker),
            Event::Stopped { job, attempt } => self.stopped(now, &job, attempt),
            Event::Failed { job, attempt, worker } => self.failed(now, &job, attempt, &worker),
            Event::Usage { job, attempt, worker, processors, memory_mb } => {
                let used = Room { accelerators: 0, processors, memory_mb };
                self.used(now, &job, attempt, &worker, used);
            }
            Event::Ended { job } => self.ended(now, &job),
        }
    }

    /// Decides what starts and stops now.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::planner::Planner;
    /// assert!(Planner::default().tick(Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        self.begun.get_or_insert(now);
        census::forget_lost(&mut self.tables, now);
        self.give_up_unconfigured(now, &mut actions);
        self.lapse(now);
        let replanned = self.tables.replan;
        witness::repair(&mut self.tables, &mut actions);
        if replanned {
            self.tell_stranded(&mut actions);
        }
        self.check(now, &mut actions);
        evacuate::run(&mut self.tables, now, &mut actions);
        self.backlog.wake(&self.tables, now);
        self.backlog.serve_claims(&mut self.tables, now, &mut actions);
        drain::advance(&mut self.tables, now, &mut actions);
        self.backlog.serve_lines(&mut self.tables, now, &mut actions);
        if self.drained.is_none_or(|drained| DRAIN_EVERY <= now.since(drained)) {
            self.drained = Some(now);
            let overdue = self.backlog.overdue(&self.tables, now);
            drain::reserve(&mut self.tables, now, overdue);
        }
        if self.compacted.is_none_or(|compacted| COMPACT_EVERY <= now.since(compacted)) {
            self.compacted = Some(now);
            compact::run(&mut self.tables, now, &mut actions);
        }
        actions
    }

    /// Says why a job waits, where it would go, or where it is; `None` for an unknown job.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::name::Name;
    /// use lavendergauge_lib::planner::Planner;
    /// assert!(Planner::default().explain(Millis(0), &Name::from("a")).is_none());
    /// ```
    pub fn explain(&self, now: Millis, job: &Name) -> Option<Explanation> {
        if let Some(row) = self.unconfigured.iter().find(|row| row.submission.job == *job) {
            return Some(Explanation::Unconfigured { reason: row.reason.clone() });
        }
        let job = *self.tables.job_names.get(job)?;
        Some(explain::job(&self.tables, &self.backlog, now, job))
    }

    fn configure(&mut self, now: Millis, config: Config) {
        configure::take_in(&mut self.tables, now, config);
        for row in std::mem::take(&mut self.unconfigured) {
            self.submit_since(now, row.since, row.submission);
        }
        let removed: Vec<_> = self
            .tables
            .jobs
            .values()
            .filter(|row| row.state == State::Waiting)
            .filter(|row| !self.tables.accounts[row.account].configured)
            .map(|row| (row.name.clone(), self.tables.accounts[row.account].name.clone()))
            .collect();
        for (job, account) in removed {
            self.end(now, &job);
            let reason = format!("client account {account} was removed");
            self.pending.push(Action::Refuse { job, reason });
        }
        let idle: Vec<_> = self
            .tables
            .accounts
            .iter()
            .filter(|(key, row)| {
                !row.configured && !self.tables.jobs.values().any(|job| job.account == *key)
            })
            .map(|(key, _)| key)
            .collect();
        for account in idle {
            if let Some(row) = self.tables.accounts.remove(account) {
                self.tables.account_names.remove(&row.name);
            }
        }
    }

    fn lose(&mut self, now: Millis, worker: &Name) {
        if let Some(&worker) = self.tables.worker_names.get(worker) {
            census::lose(&mut self.tables, now, worker, &mut self.pending);
        }
    }

    fn submit(&mut self, now: Millis, submission: Submission) {
        self.submit_since(now, now, submission);
    }

    fn submit_since(&mut self, now: Millis, since: Millis, submission: Submission) {
        if self.tables.job_names.contains_key(&submission.job) {
            return;
        }
        let account = match self.account(&submission) {
            Ok(account) => account,
            Err(reason) => {
                self.unconfigured.push(Unconfigured { since, submission, reason });
                return;
            }
        };
        if let Some(reason) = self.mismatch(account, &submission) {
            self.pending.push(Action::Refuse { job: submission.job, reason });
            return;
        }
        let seats = submission.seats.clone();
        let name = submission.job.clone();
        let job = self.tables.jobs.insert(waiting(since, account, submission));
        self.tables.job_names.insert(name, job);
        if seats.is_empty() {
            self.unchecked.push(job);
            self.backlog.push(&self.tables, job);
        } else {
            self.resume(now, job, &seats);
        }
    }

    /// Returns the account of a submission, if that and its guarantee are configured.
    fn account(&self, submission: &Submission) -> Result<key::Account, String> {
        let name = &submission.account;
        let known = self.tables.account_names.get(name).copied();
        let account = known
            .filter(|&account| self.tables.accounts[account].configured)
            .ok_or_else(|| format!("there is no client account {name}"))?;
        let row = &self.tables.accounts[account];
        match &submission.guarantee {
            Some(guarantee) if !row.guarantees.contains_key(guarantee) => {
                Err(format!("client account {name} has no guarantee {guarantee}"))
            }
            _ => Ok(account),
        }
    }

    fn mismatch(&self, account: key::Account, submission: &Submission) -> Option<String> {
        let quota = self.tables.accounts[account].quota;
        let total = submission.shape.total();
        if quota != 0 && quota < total {
            return Some(format!("the quota is {quota} accelerators, the job needs {total}"));
        }
        let name = submission.guarantee.as_ref()?;
        let guarantee = self.tables.accounts[account].guarantees.get(name)?;
        claim::mismatch(&self.tables.guarantees[*guarantee].shape, &submission.shape)
    }

    /// Takes the places of a job that ran under another planner.
    fn resume(&mut self, now: Millis, job: key::Job, seats: &[Seat]) {
        let mut places = Places::new();
        for seat in seats {
            let Some(&worker) = self.tables.worker_names.get(&seat.worker) else { continue };
            let row = &self.tables.workers[worker];
            let wanted = Set::of(&seat.accelerators);
            let there = Set::first(row.capacity.accelerators);
            let taken = places.iter().any(|place: &Place| {
                place.worker == worker && Set::of(&place.accelerators).meets(wanted)
            });
            if taken || row.taken.meets(wanted) || wanted.minus(there) != Set::default() {
                continue;
            }
            let (incarnation, accelerators) = (row.incarnation, seat.accelerators.clone());
            places.push(Place { worker, incarnation, accelerators });
        }
        let whole = places.len() == seats.len();
        for place in &places {
            let row = &mut self.tables.workers[place.worker];
            row.foreign = row.foreign.minus(Set::of(&place.accelerators));
            row.foreign_room = row.foreign_room.minus(self.tables.jobs[job].shape.member());
        }
        ledger::take(&mut self.tables, now, job, places);
        self.tables.replan = true;
        let row = &mut self.tables.jobs[job];
        row.state = if whole { State::Running } else { State::Stopping };
        row.stopped = now;
        if !whole {
            self.tables.stopping.push(job);
        }
    }

    fn find(&self, name: &Name, attempt: u32) -> Option<key::Job> {
        let job = *self.tables.job_names.get(name)?;
        let row = &self.tables.jobs[job];
        (row.attempt == attempt && row.placed()).then_some(job)
    }

    fn started(&mut self, name: &Name, attempt: u32) {
        let Some(job) = self.find(name, attempt) else { return };
        let row = &mut self.tables.jobs[job];
        row.aborted = 0;
        row.avoided.clear();
        if row.state == State::Starting {
            row.state = State::Running;
        }
    }

    fn aborted(&mut self, now: Millis, name: &Name, attempt: u32, worker: Option<Name>) {
        let Some(job) = self.find(name, attempt) else { return };
        let at_fault = worker.and_then(|worker| self.tables.worker_names.get(&worker).copied());
        let row = &mut self.tables.jobs[job];
        row.aborted += 1;
        if AVOIDED <= row.avoided.len() {
            row.avoided.remove(0);
        }
        row.avoided.extend(at_fault);
        let tries = row.aborted;
        self.wait_again(now, job);
        self.retry(now, job, tries);
    }

    /// Lets a job wait for a pause that doubles with each of its tries.
    fn retry(&mut self, now: Millis, job: key::Job, tries: u32) {
        let claims = self.tables.jobs[job].guarantee.is_some();
        let pause = RETRY_FIRST * 2_u32.saturating_pow(tries.saturating_sub(1).min(10));
        let longest = if claims { RETRY_CLAIM } else { RETRY_LAST };
        self.backlog.delay(now + pause.min(longest), job);
    }

    fn stopped(&mut self, now: Millis, name: &Name, attempt: u32) {
        let Some(job) = self.find(name, attempt) else { return };
        self.tables.jobs[job].waiting = now;
        self.wait_again(now, job);
        self.backlog.push(&self.tables, job);
    }

    fn failed(&mut self, now: Millis, name: &Name, attempt: u32, worker: &Name) {
        let Some(job) = self.find(name, attempt) else { return };
        if let Some(&worker) = self.tables.worker_names.get(worker) {
            probation::failed(&mut self.tables, now, worker, job);
            let row = &mut self.tables.jobs[job];
            if !row.failed_on.contains(&worker) {
                row.failed_on.push(worker);
            }
        }
        self.tables.jobs[job].waiting = now;
        self.tables.jobs[job].failures += 1;
        self.wait_again(now, job);
        let row = &self.tables.jobs[job];
        let workers = self.tables.workers.values().filter(|row| row.lost.is_none()).count();
        let tried = row.failed_on.len();
        let everywhere = probation::JOB_FAULT.min(workers) <= tried;
        let often = probation::JOB_FAULT <= row.failures as usize;
        if everywhere && often || probation::JOB_FAILURES <= row.failures {
            probation::pardon(&mut self.tables, job);
            let reason = format!("failed on {tried} different workers, the last was {worker}");
            self.end(now, name);
            self.pending.push(Action::Fail { job: name.clone(), reason });
        } else if row.evictable() {
            let tries = row.failures;
            self.retry(now, job, tries);
        } else {
            let reason = format!("failed on {worker} and may not run again");
            self.end(now, name);
            self.pending.push(Action::Fail { job: name.clone(), reason });
        }
    }

    fn used(&mut self, now: Millis, name: &Name, attempt: u32, worker: &Name, used: Room) {
        let Some(job) = self.find(name, attempt) else { return };
        let Some(&worker) = self.tables.worker_names.get(worker) else { return };
        usage::report(&mut self.tables, now, job, worker, used, &mut self.pending);
    }

    fn ended(&mut self, now: Millis, name: &Name) {
        self.unconfigured.retain(|row| row.submission.job != *name);
        let Some(&job) = self.tables.job_names.get(name) else { return };
        let row = &self.tables.jobs[job];
        let succeeded = row.state == State::Running;
        if succeeded {
            let (shape, ran) = (row.shape, row.run_time(now));
            estimate::record(&mut self.tables, now, job);
            self.tables.demand.record(&shape, ran);
        }
        probation::left(&mut self.tables, job, succeeded);
        self.end(now, name);
    }

    /// Gives back what a job holds and lets it wait.
    fn wait_again(&mut self, now: Millis, job: key::Job) {
        probation::left(&mut self.tables, job, false);
        ledger::give_back(&mut self.tables, now, job);
        let row = &mut self.tables.jobs[job];
        row.ran = row.run_time(now);
        row.state = State::Waiting;
        row.backfills = None;
        if usage::grow(&mut self.tables, job) {
            self.unchecked.push(job);
        }
    }

    fn end(&mut self, now: Millis, name: &Name) {
        let Some(job) = self.tables.job_names.remove(name) else { return };
        ledger::drop_target(&mut self.tables, job);
        ledger::give_back(&mut self.tables, now, job);
        self.tables.jobs.remove(job);
    }

    /// Gives back what attempts hold that were told to stop and are not heard of, after their lease.
    ///
    /// Such a job waits for the word on its attempt before it can start again.
    fn lapse(&mut self, now: Millis) {
        let policy = &self.tables.policy;
        let limit = policy.notice + policy.lease + LEASE_MARGIN;
        let mut late = Vec::new();
        let jobs = &self.tables.jobs;
        self.tables.stopping.retain(|&job| {
            let Some(row) = jobs.get(job).filter(|row| row.state == State::Stopping) else {
                return false;
            };
            let over = limit <= now.since(row.stopped);
            late.extend(over.then_some(job));
            !over
        });
        for job in late {
            ledger::give_back(&mut self.tables, now, job);
        }
    }

    fn give_up_unconfigured(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.unconfigured.retain(|row| {
            let waits = now.since(row.since) < CONFIG_LAG;
            if !waits {
                let (job, reason) = (row.submission.job.clone(), row.reason.clone());
                actions.push(Action::Refuse { job, reason });
            }
            waits
        });
    }

    /// Refuses new jobs that no known worker could ever run.
    fn check(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let settled = self.begun.is_some_and(|begun| SETTLE <= now.since(begun));
        if self.unchecked.is_empty() || !settled {
            return;
        }
        let ground = Ground::known(&self.tables);
        for job in std::mem::take(&mut self.unchecked) {
            let Some(row) = self.tables.jobs.get(job) else { continue };
            let Some(reason) = ground.impossible(row.shape, &row.data_centres) else { continue };
            let name = row.name.clone();
            self.end(now, &name);
            actions.push(Action::Refuse { job: name, reason: reason.to_string() });
        }
    }

    /// Tells of waiting jobs that none of the workers that are left could run.
    fn tell_stranded(&mut self, actions: &mut Vec<Action>) {
        let ground = Ground::present(&self.tables);
        let mut known: Vec<(Shape, &[Name], Option<String>)> = Vec::new();
        let mut told = Vec::new();
        for (shape, centres, jobs) in self.backlog.wishes() {
            let seen = known.iter().find(|&&(other, names, _)| other == *shape && names == centres);
            let reason = match seen {
                Some((_, _, reason)) => reason.clone(),
                None => {
                    let reason = ground.impossible(*shape, centres).map(|why| why.to_string());
                    known.push((*shape, centres, reason.clone()));
                    reason
                }
            };
            told.extend(jobs.iter().map(|&job| (job, reason.clone())));
        }
        for (job, reason) in told {
            let Some(row) = self.tables.jobs.get_mut(job) else { continue };
            if let Some(reason) = reason.clone().filter(|_| !row.stranded && !row.placed()) {
                actions.push(Action::Stranded { job: row.name.clone(), reason });
            }
            row.stranded = reason.is_some();
        }
    }
}

fn waiting(now: Millis, account: key::Account, submission: Submission) -> Job {
    Job {
        name: submission.job,
        account,
        shape: submission.shape,
        class: submission.class,
        guarantee: submission.guarantee,
        claim: None,
        data_centres: submission.data_centres,
        checkpoints: submission.checkpoints,
        idempotent: submission.idempotent,
        declared_s: submission.declared_s,
        attempt: submission.attempt,
        state: State::Waiting,
        places: SmallVec::new(),
        target: None,
        backfills: None,
        submitted: now,
        waiting: now,
        started: now,
        ran: Duration::ZERO,
        stopped: now,
        aborted: 0,
        failures: 0,
        failed_on: SmallVec::new(),
        avoided: SmallVec::new(),
        stranded: false,
        over: None,
        grown: None,
    }
}
