//! Lifecycle of one job in the planner: submitted, started, stopped, failed, ended.

use std::time::Duration;

use smallvec::SmallVec;

use crate::allocation;
use crate::claim;
use crate::clock::Millis;
use crate::decision::Action;
use crate::decision::Submission;
use crate::estimate;
use crate::key;
use crate::name::Name;
use crate::planner::Planner;
use crate::planner::Unconfigured;
use crate::probation;
use crate::resource::Resources;
use crate::set::Set;
use crate::shape;
use crate::table;
use crate::table::Job;
use crate::table::State;
use crate::usage;

/// Pause after the first aborted or failed attempt; doubles with each further one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after an aborted or failed attempt.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause of a claim, which has to start within seconds.
const MAX_CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of workers that a job avoids because its latest attempts were aborted by them.
const MAX_AVOIDED: usize = 2;

impl Planner {
    /// Adds a new job.
    pub(crate) fn submit(&mut self, now: Millis, submission: Submission) {
        self.submit_since(now, now, submission);
    }

    /// Adds a job that has waited for its configuration since `since`.
    pub(crate) fn submit_since(&mut self, now: Millis, since: Millis, submission: Submission) {
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
        let recorded = submission.assignments.clone();
        let name = submission.job.clone();
        let job = self.tables.jobs.insert(new_job(since, account, submission));
        self.tables.job_names.insert(name, job);
        if recorded.is_empty() {
            self.unchecked.push(job);
            self.backlog.push(&self.tables, job);
        } else {
            self.resume(now, job, &recorded);
        }
    }

    /// Returns the account of a submission, or why it or the guarantee is not configured.
    fn account(&self, submission: &Submission) -> Result<key::Account, String> {
        let name = &submission.account;
        let known = self.tables.account_names.get(name).copied();
        let account = known
            .filter(|&account| self.tables.accounts[account].is_configured)
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

    /// Restores the assignments of a job that ran under another planner.
    fn resume(&mut self, now: Millis, job: key::Job, recorded: &[shape::Assignment]) {
        let mut assignments = table::Assignments::new();
        for assignment in recorded {
            let Some(&worker) = self.tables.worker_names.get(&assignment.worker) else { continue };
            let row = &self.tables.workers[worker];
            let wanted = Set::of(&assignment.accelerators);
            let existing = Set::first(row.capacity.accelerators);
            let is_taken = assignments.iter().any(|other: &table::Assignment| {
                other.worker == worker && Set::of(&other.accelerators).intersects(wanted)
            });
            if is_taken || row.taken.intersects(wanted) || wanted.minus(existing) != Set::default()
            {
                continue;
            }
            let (incarnation, accelerators) = (row.incarnation, assignment.accelerators.clone());
            assignments.push(table::Assignment { worker, incarnation, accelerators });
        }
        let is_whole = assignments.len() == recorded.len();
        for assignment in &assignments {
            let row = &mut self.tables.workers[assignment.worker];
            row.foreign_accelerators =
                row.foreign_accelerators.minus(Set::of(&assignment.accelerators));
            row.foreign_resources =
                row.foreign_resources.minus(self.tables.jobs[job].shape.member());
        }
        allocation::allocate(&mut self.tables, now, job, assignments);
        self.tables.needs_replan = true;
        let row = &mut self.tables.jobs[job];
        row.state = if is_whole { State::Running } else { State::Stopping };
        row.stop_requested = now;
        if !is_whole {
            self.tables.stopping.push(job);
        }
    }

    fn find_attempt(&self, name: &Name, attempt: u32) -> Option<key::Job> {
        let job = *self.tables.job_names.get(name)?;
        let row = &self.tables.jobs[job];
        (row.attempt == attempt && row.is_placed()).then_some(job)
    }

    /// Records that all members of an attempt run.
    pub(crate) fn started(&mut self, name: &Name, attempt: u32) {
        let Some(job) = self.find_attempt(name, attempt) else { return };
        let row = &mut self.tables.jobs[job];
        row.aborted = 0;
        row.avoided.clear();
        if row.state == State::Starting {
            row.state = State::Running;
        }
    }

    /// Sets a job whose attempt was aborted back to waiting, after a pause.
    pub(crate) fn aborted(&mut self, now: Millis, name: &Name, attempt: u32, worker: Option<Name>) {
        let Some(job) = self.find_attempt(name, attempt) else { return };
        let at_fault = worker.and_then(|worker| self.tables.worker_names.get(&worker).copied());
        let row = &mut self.tables.jobs[job];
        row.aborted += 1;
        if MAX_AVOIDED <= row.avoided.len() {
            row.avoided.remove(0);
        }
        row.avoided.extend(at_fault);
        let tries = row.aborted;
        self.return_to_waiting(now, job);
        self.delay_retry(now, job, tries);
    }

    /// Delays a job by a pause that doubles with each of its tries.
    fn delay_retry(&mut self, now: Millis, job: key::Job, tries: u32) {
        let claims = self.tables.jobs[job].guarantee.is_some();
        let pause = MIN_RETRY_PAUSE * 2_u32.saturating_pow(tries.saturating_sub(1).min(10));
        let longest = if claims { MAX_CLAIM_RETRY_PAUSE } else { MAX_RETRY_PAUSE };
        self.backlog.delay(now + pause.min(longest), job);
    }

    /// Sets a job that was ordered to stop, and has stopped, back to waiting.
    pub(crate) fn stopped(&mut self, now: Millis, name: &Name, attempt: u32) {
        let Some(job) = self.find_attempt(name, attempt) else { return };
        self.tables.jobs[job].waiting_since = now;
        self.return_to_waiting(now, job);
        self.backlog.push(&self.tables, job);
    }

    /// Sets a failed job back to waiting after a pause, or ends it when the job itself is at fault
    /// or may not run again.
    pub(crate) fn failed(&mut self, now: Millis, name: &Name, attempt: u32, worker: &Name) {
        let Some(job) = self.find_attempt(name, attempt) else { return };
        if let Some(&worker) = self.tables.worker_names.get(worker) {
            probation::record_failure(&mut self.tables, now, worker, job);
            let row = &mut self.tables.jobs[job];
            if !row.failed_on.contains(&worker) {
                row.failed_on.push(worker);
            }
        }
        self.tables.jobs[job].waiting_since = now;
        self.tables.jobs[job].failures += 1;
        self.return_to_waiting(now, job);
        let row = &self.tables.jobs[job];
        let workers = self.tables.workers.values().filter(|row| row.lost.is_none()).count();
        let tried = row.failed_on.len();
        let everywhere = probation::FAULTY_JOB_WORKERS.min(workers) <= tried;
        let often = probation::FAULTY_JOB_WORKERS <= row.failures as usize;
        if everywhere && often || probation::FAULTY_JOB_FAILURES <= row.failures {
            probation::remove_failures(&mut self.tables, job);
            let reason = format!("failed on {tried} different workers, the last was {worker}");
            self.end(now, name);
            self.pending.push(Action::Fail { job: name.clone(), reason });
        } else if row.is_evictable() {
            let tries = row.failures;
            self.delay_retry(now, job, tries);
        } else {
            let reason = format!("failed on {worker} and may not run again");
            self.end(now, name);
            self.pending.push(Action::Fail { job: name.clone(), reason });
        }
    }

    /// Records the usage of a job on one worker.
    pub(crate) fn record_usage(
        &mut self,
        now: Millis,
        name: &Name,
        attempt: u32,
        worker: &Name,
        used: Resources,
    ) {
        let Some(job) = self.find_attempt(name, attempt) else { return };
        let Some(&worker) = self.tables.worker_names.get(worker) else { return };
        usage::report(&mut self.tables, now, job, worker, used, &mut self.pending);
    }

    /// Records that a job has ended.
    pub(crate) fn ended(&mut self, now: Millis, name: &Name) {
        self.unconfigured.retain(|row| row.submission.job != *name);
        let Some(&job) = self.tables.job_names.get(name) else { return };
        let row = &self.tables.jobs[job];
        let succeeded = row.state == State::Running;
        if succeeded {
            let (shape, ran) = (row.shape, row.run_time(now));
            estimate::record(&mut self.tables, now, job);
            self.tables.demand.record(&shape, ran);
        }
        probation::record_end(&mut self.tables, job, succeeded);
        self.end(now, name);
    }

    /// Releases what a job holds and sets its state to waiting.
    fn return_to_waiting(&mut self, now: Millis, job: key::Job) {
        probation::record_end(&mut self.tables, job, false);
        allocation::release(&mut self.tables, now, job);
        let row = &mut self.tables.jobs[job];
        row.earlier_run_time = row.run_time(now);
        row.state = State::Waiting;
        row.backfills = None;
        if usage::raise_declaration(&mut self.tables, job) {
            self.unchecked.push(job);
        }
    }

    /// Removes a job and releases what it holds and what is reserved for it.
    pub(crate) fn end(&mut self, now: Millis, name: &Name) {
        let Some(job) = self.tables.job_names.remove(name) else { return };
        allocation::cancel_reservation(&mut self.tables, job);
        allocation::release(&mut self.tables, now, job);
        self.tables.jobs.remove(job);
    }
}

fn new_job(now: Millis, account: key::Account, submission: Submission) -> Job {
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
        assignments: SmallVec::new(),
        reservation: None,
        backfills: None,
        submitted: now,
        waiting_since: now,
        started: now,
        earlier_run_time: Duration::ZERO,
        stop_requested: now,
        aborted: 0,
        failures: 0,
        failed_on: SmallVec::new(),
        avoided: SmallVec::new(),
        is_stranded: false,
        overuse_since: None,
        observed_use: None,
    }
}
