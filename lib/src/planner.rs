//! The planner: takes events into the tables and, each tick, decides what starts and stops.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::backlog::Backlog;
use crate::census;
use crate::clock::Millis;
use crate::compact;
use crate::configure;
use crate::drain;
use crate::evacuate;
use crate::explain;
use crate::explain::Explanation;
use crate::fleet::Config;
use crate::ground::Ground;
use crate::key;
use crate::ledger;
use crate::name::Name;
use crate::room::Room;
use crate::shape::Shape;
use crate::table::State;
use crate::table::Tables;
use crate::witness;

pub use crate::decision::Action;
pub use crate::decision::Cause;
pub use crate::decision::Event;
pub use crate::decision::Submission;

/// Time for a fleet to announce itself before a job can be refused for want of it.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Time for which a job waits for a configuration that knows its account and guarantee.
const CONFIG_LAG: Duration = Duration::from_secs(10);
/// Time beyond the notice and the lease after which an attempt that is not heard of has stopped.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which jobs past their bound are given space to drain.
const DRAIN_EVERY: Duration = Duration::from_secs(1);
/// Interval at which one worker may be emptied so that it is free as a whole.
const COMPACT_EVERY: Duration = Duration::from_secs(10);

/// A job whose account or guarantee is not in the configuration in force.
#[row]
pub(crate) struct Unconfigured {
    /// When it was submitted.
    pub(crate) since: Millis,
    /// The job.
    pub(crate) submission: Submission,
    /// What is missing.
    pub(crate) reason: String,
}

/// The planner's tables and the systems over them.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(crate) tables: Tables,
    pub(crate) backlog: Backlog,
    pub(crate) pending: Vec<Action>,
    pub(crate) unconfigured: Vec<Unconfigured>,
    pub(crate) unchecked: Vec<key::Job>,
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
            Event::Silence(worker) => census::silence(&mut self.tables, &worker),
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
