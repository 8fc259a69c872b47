//! The planner: applies events to the tables and decides in each tick which jobs start and stop.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::allocation;
use crate::backlog::Backlog;
use crate::clock::Millis;
use crate::compact;
use crate::configure;
use crate::drain;
use crate::evacuate;
use crate::explain;
use crate::explain::Explanation;
use crate::fleet::Config;
use crate::guarantee_plan;
use crate::key;
use crate::name::Name;
use crate::registration;
use crate::resource::Resources;
use crate::shape::Shape;
use crate::site::Sites;
use crate::table::State;
use crate::table::Tables;

pub use crate::decision::Action;
pub use crate::decision::Cause;
pub use crate::decision::Event;
pub use crate::decision::Submission;

/// Time after the first tick during which no job is refused for lack of suitable workers, because
/// workers may not have announced themselves yet.
pub const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time for which a job waits for a configuration that contains its account and guarantee.
const CONFIG_LAG: Duration = Duration::from_secs(10);
/// Time added to the notice and the lease, after which an attempt without a report has stopped.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which jobs that exceeded their waiting bound get drain reservations.
const DRAIN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which one worker may be emptied to reduce fragmentation.
const COMPACTION_INTERVAL: Duration = Duration::from_secs(10);

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
    first_tick: Option<Millis>,
    last_drain: Option<Millis>,
    last_compaction: Option<Millis>,
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

    /// Applies one event to the tables.
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
                registration::apply_report(&mut self.tables, now, &report, &mut self.pending);
            }
            Event::Silence(worker) => registration::mark_silent(&mut self.tables, &worker),
            Event::Lose(worker) => self.mark_lost(now, &worker),
            Event::Submit(submission) => self.submit(now, submission),
            Event::Started { job, attempt } => self.started(&job, attempt),
            Event::Aborted { job, attempt, worker } => self.aborted(now, &job, attempt, worker),
            Event::Stopped { job, attempt } => self.stopped(now, &job, attempt),
            Event::Failed { job, attempt, worker } => self.failed(now, &job, attempt, &worker),
            Event::Usage { job, attempt, worker, processors, memory_mb } => {
                let used = Resources { accelerators: 0, processors, memory_mb };
                self.record_usage(now, &job, attempt, &worker, used);
            }
            Event::Ended { job } => self.ended(now, &job),
        }
    }

    /// Decides which jobs start and stop now.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::planner::Planner;
    /// assert!(Planner::default().tick(Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        self.first_tick.get_or_insert(now);
        registration::remove_lost(&mut self.tables, now);
        self.refuse_unconfigured(now, &mut actions);
        self.release_expired(now);
        let replanned = self.tables.needs_replan;
        guarantee_plan::repair(&mut self.tables, &mut actions);
        if replanned {
            self.report_stranded(&mut actions);
        }
        self.refuse_impossible(now, &mut actions);
        evacuate::run(&mut self.tables, now, &mut actions);
        self.backlog.wake(&self.tables, now);
        self.backlog.serve_claims(&mut self.tables, now, &mut actions);
        drain::advance(&mut self.tables, now, &mut actions);
        self.backlog.serve_queues(&mut self.tables, now, &mut actions);
        if self.last_drain.is_none_or(|last| DRAIN_INTERVAL <= now.since(last)) {
            self.last_drain = Some(now);
            let overdue = self.backlog.overdue(&self.tables, now);
            drain::reserve(&mut self.tables, now, overdue);
        }
        if self.last_compaction.is_none_or(|last| COMPACTION_INTERVAL <= now.since(last)) {
            self.last_compaction = Some(now);
            compact::run(&mut self.tables, now, &mut actions);
        }
        actions
    }

    /// Explains where a job runs, or why it waits; `None` for an unknown job.
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
        configure::apply(&mut self.tables, now, config);
        for row in std::mem::take(&mut self.unconfigured) {
            self.submit_since(now, row.since, row.submission);
        }
        let removed: Vec<_> = self
            .tables
            .jobs
            .values()
            .filter(|row| row.state == State::Waiting)
            .filter(|row| !self.tables.accounts[row.account].is_configured)
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
                !row.is_configured && !self.tables.jobs.values().any(|job| job.account == *key)
            })
            .map(|(key, _)| key)
            .collect();
        for account in idle {
            if let Some(row) = self.tables.accounts.remove(account) {
                self.tables.account_names.remove(&row.name);
            }
        }
    }

    fn mark_lost(&mut self, now: Millis, worker: &Name) {
        if let Some(&worker) = self.tables.worker_names.get(worker) {
            registration::mark_lost(&mut self.tables, now, worker, &mut self.pending);
        }
    }

    /// Releases what attempts hold that were ordered to stop and have not been reported as stopped
    /// within the notice, the lease and a margin.
    ///
    /// Such a job stays `Stopping`; it cannot start again until the end of its attempt is reported.
    fn release_expired(&mut self, now: Millis) {
        let policy = &self.tables.policy;
        let limit = policy.notice + policy.lease + LEASE_MARGIN;
        let mut expired = Vec::new();
        let jobs = &self.tables.jobs;
        self.tables.stopping.retain(|&job| {
            let Some(row) = jobs.get(job).filter(|row| row.state == State::Stopping) else {
                return false;
            };
            let is_expired = limit <= now.since(row.stop_requested);
            expired.extend(is_expired.then_some(job));
            !is_expired
        });
        for job in expired {
            allocation::release(&mut self.tables, now, job);
        }
    }

    fn refuse_unconfigured(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.unconfigured.retain(|row| {
            let is_waiting = now.since(row.since) < CONFIG_LAG;
            if !is_waiting {
                let (job, reason) = (row.submission.job.clone(), row.reason.clone());
                actions.push(Action::Refuse { job, reason });
            }
            is_waiting
        });
    }

    /// Refuses new jobs that no known worker could run.
    fn refuse_impossible(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_settled =
            self.first_tick.is_some_and(|first_tick| SETTLING_TIME <= now.since(first_tick));
        if self.unchecked.is_empty() || !is_settled {
            return;
        }
        let sites = Sites::known(&self.tables);
        for job in std::mem::take(&mut self.unchecked) {
            let Some(row) = self.tables.jobs.get(job) else { continue };
            let Some(reason) = sites.explain_impossible(row.shape, &row.data_centres) else {
                continue;
            };
            let name = row.name.clone();
            self.end(now, &name);
            actions.push(Action::Refuse { job: name, reason: reason.to_string() });
        }
    }

    /// Reports waiting jobs that none of the remaining workers could run.
    fn report_stranded(&mut self, actions: &mut Vec<Action>) {
        let sites = Sites::present(&self.tables);
        let mut known: Vec<(Shape, &[Name], Option<String>)> = Vec::new();
        let mut reports = Vec::new();
        for (shape, data_centres, jobs) in self.backlog.requirements() {
            let seen =
                known.iter().find(|&&(other, names, _)| other == *shape && names == data_centres);
            let reason = match seen {
                Some((_, _, reason)) => reason.clone(),
                None => {
                    let reason =
                        sites.explain_impossible(*shape, data_centres).map(|why| why.to_string());
                    known.push((*shape, data_centres, reason.clone()));
                    reason
                }
            };
            reports.extend(jobs.iter().map(|&job| (job, reason.clone())));
        }
        for (job, reason) in reports {
            let Some(row) = self.tables.jobs.get_mut(job) else { continue };
            if let Some(reason) = reason.clone().filter(|_| !row.is_stranded && !row.is_placed()) {
                actions.push(Action::Stranded { job: row.name.clone(), reason });
            }
            row.is_stranded = reason.is_some();
        }
    }
}
