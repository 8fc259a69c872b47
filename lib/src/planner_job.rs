//! The life of one job in the planner: submitted, started, stopped, failed, ended.

use std::time::Duration;

use smallvec::SmallVec;

use crate::claim;
use crate::clock::Millis;
use crate::decision::Action;
use crate::decision::Submission;
use crate::estimate;
use crate::key;
use crate::ledger;
use crate::name::Name;
use crate::planner::Planner;
use crate::planner::Unconfigured;
use crate::probation;
use crate::room::Room;
use crate::set::Set;
use crate::shape::Seat;
use crate::table::Job;
use crate::table::Place;
use crate::table::Places;
use crate::table::State;
use crate::usage;

/// Pause after an attempt that never ran; doubles with each one in a row.
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// Longest pause after an attempt that never ran.
const RETRY_LAST: Duration = Duration::from_secs(10);
/// Longest pause of a claim, which has to start within seconds.
const RETRY_CLAIM: Duration = Duration::from_millis(400);
/// Workers that lately refused to start a job and are left out for it.
const AVOIDED: usize = 2;

impl Planner {
    /// Takes in a new job.
    pub(crate) fn submit(&mut self, now: Millis, submission: Submission) {
        self.submit_since(now, now, submission);
    }

    /// Takes in a job that has waited for its configuration since `since`.
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

    /// Notes that all members of an attempt run.
    pub(crate) fn started(&mut self, name: &Name, attempt: u32) {
        let Some(job) = self.find(name, attempt) else { return };
        let row = &mut self.tables.jobs[job];
        row.aborted = 0;
        row.avoided.clear();
        if row.state == State::Starting {
            row.state = State::Running;
        }
    }

    /// Lets a job whose attempt never ran wait for a pause.
    pub(crate) fn aborted(&mut self, now: Millis, name: &Name, attempt: u32, worker: Option<Name>) {
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

    /// Lets a job that was told to stop wait again.
    pub(crate) fn stopped(&mut self, now: Millis, name: &Name, attempt: u32) {
        let Some(job) = self.find(name, attempt) else { return };
        self.tables.jobs[job].waiting = now;
        self.wait_again(now, job);
        self.backlog.push(&self.tables, job);
    }

    /// Lets a failed job wait again, or ends it when it is at fault.
    pub(crate) fn failed(&mut self, now: Millis, name: &Name, attempt: u32, worker: &Name) {
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

    /// Takes in what a job uses on one worker.
    pub(crate) fn used(
        &mut self,
        now: Millis,
        name: &Name,
        attempt: u32,
        worker: &Name,
        used: Room,
    ) {
        let Some(job) = self.find(name, attempt) else { return };
        let Some(&worker) = self.tables.worker_names.get(worker) else { return };
        usage::report(&mut self.tables, now, job, worker, used, &mut self.pending);
    }

    /// Takes in that a job has ended.
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

    /// Removes a job with all that it holds.
    pub(crate) fn end(&mut self, now: Millis, name: &Name) {
        let Some(job) = self.tables.job_names.remove(name) else { return };
        ledger::drop_target(&mut self.tables, job);
        ledger::give_back(&mut self.tables, now, job);
        self.tables.jobs.remove(job);
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
