//! Probation of workers on which jobs fail more often than on others.
//!
//! A worker on probation takes one job at a time on trial, and leaves probation when one succeeds.

use std::time::Duration;

use lavendergauge_derive::row;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::key;
use crate::table::Job;
use crate::table::Tables;

/// Fewest failures within the window for which a worker is put on probation.
const MIN_FAILURES: usize = 3;
/// Fewest different jobs among those failures, so that one faulty job puts no worker on probation.
const MIN_JOBS: usize = 2;
/// Factor by which a worker's failure rate must exceed the mean of the others.
const MIN_RATIO: f64 = 4.0;
/// Time for which a failure counts.
const WINDOW: Duration = Duration::from_secs(600);
/// Time from the start of probation to the first trial.
const FIRST_PAUSE: Duration = Duration::from_secs(30);
/// Longest time between two trials; it doubles with each failed one.
const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Number of different workers on which a job must fail before the job counts as faulty.
pub(crate) const FAULTY_JOB_WORKERS: usize = 3;
/// Number of failures of a job, on any workers, before the job counts as faulty.
pub(crate) const FAULTY_JOB_FAILURES: u32 = 6;

/// One failure of a job on a worker.
#[row]
struct Failure {
    job: key::Job,
    at: Millis,
}

/// State of a worker that is on probation.
#[row]
struct Probation {
    /// When the next trial may start.
    until: Millis,
    /// Time until the next trial if the current one fails.
    pause: Duration,
    /// The job that runs on trial; `None` between trials.
    trial: Option<key::Job>,
}

/// A worker's recent failures and successes, and its probation.
#[row]
#[derive(Default)]
pub struct Health {
    failures: SmallVec<[Failure; 2]>,
    successes: u32,
    probation: Option<Probation>,
}

impl Health {
    /// Tells whether the worker is on probation and so takes jobs only on trial.
    ///
    /// ```
    /// use lavendergauge_lib::probation::Health;
    /// assert!(!Health::default().is_on_probation());
    /// ```
    pub fn is_on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Tells whether a job may start on the worker now.
    ///
    /// On probation, one small evictable job may start on trial. Larger evictable jobs may start
    /// after a longer time without one, and any job after `WINDOW`, so that a worker leaves
    /// probation also where all jobs are large.
    pub(crate) fn admits(&self, now: Millis, job: &Job) -> bool {
        let Some(probation) = &self.probation else { return true };
        if probation.trial.is_some() || now < probation.until {
            return false;
        }
        let is_small = job.shape.members == 1 && job.guarantee.is_none();
        let idle = now.since(probation.until);
        is_small && job.is_evictable()
            || job.is_evictable() && probation.pause <= idle
            || WINDOW <= idle
    }

    /// Ends the trial of a job that left the worker, so that another job can be tried.
    pub(crate) fn end_trial(&mut self, job: key::Job) {
        if let Some(probation) = self.probation.as_mut().filter(|row| row.trial == Some(job)) {
            probation.trial = None;
        }
    }

    /// Returns the share of failures in the recorded outcomes, from 0 to 1.
    fn failure_rate(&self) -> f64 {
        let failures = self.failures.len() as f64;
        failures / (failures + f64::from(self.successes)).max(1.0)
    }
}

/// Records that a job started; on workers that are on probation, it is the trial.
pub(crate) fn record_start(tables: &mut Tables, job: key::Job) {
    for assignment in tables.jobs[job].assignments.clone() {
        if let Some(probation) = &mut tables.workers[assignment.worker].health.probation {
            probation.trial = Some(job);
        }
    }
}

/// Records that a job left its workers; a trial that succeeded ends their probation.
pub(crate) fn record_end(tables: &mut Tables, job: key::Job, succeeded: bool) {
    for assignment in tables.jobs[job].assignments.clone() {
        let worker = &mut tables.workers[assignment.worker];
        worker.health.successes = (worker.health.successes + u32::from(succeeded)).min(100);
        let was_trial = worker.health.probation.as_ref().is_some_and(|row| row.trial == Some(job));
        if was_trial && succeeded {
            worker.health = Health::default();
            tables.needs_replan = true;
            tables.capacity_version += 1;
        }
    }
}

/// Records that a job failed on a worker; starts probation if the worker fails far more than
/// others.
pub(crate) fn record_failure(tables: &mut Tables, now: Millis, worker: key::Worker, job: key::Job) {
    let others_rate = mean_rate_of_others(tables, worker);
    let health = &mut tables.workers[worker].health;
    health.failures.retain(|failure| now.since(failure.at) < WINDOW);
    health.failures.push(Failure { job, at: now });
    if let Some(probation) = &mut health.probation {
        probation.trial = None;
        probation.until = now + probation.pause;
        probation.pause = (probation.pause * 2).min(MAX_PAUSE);
        return;
    }
    let mut jobs: Vec<_> = health.failures.iter().map(|failure| failure.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    let has_enough = MIN_FAILURES <= health.failures.len() && MIN_JOBS <= jobs.len();
    if has_enough && MIN_RATIO * others_rate < health.failure_rate() {
        let pause = FIRST_PAUSE * 2;
        health.probation = Some(Probation { until: now + FIRST_PAUSE, pause, trial: None });
        tables.needs_replan = true;
    }
}

/// Removes a faulty job's failures from all workers, and ends probation that rested on them.
pub(crate) fn remove_failures(tables: &mut Tables, job: key::Job) {
    for worker in tables.workers.values_mut() {
        let count_before = worker.health.failures.len();
        worker.health.failures.retain(|failure| failure.job != job);
        let has_fewer = worker.health.failures.len() < count_before;
        if has_fewer
            && worker.health.failures.len() < MIN_FAILURES
            && worker.health.is_on_probation()
        {
            worker.health.probation = None;
            tables.needs_replan = true;
            tables.capacity_version += 1;
        }
    }
}

/// Returns the mean failure rate of the other workers.
fn mean_rate_of_others(tables: &Tables, worker: key::Worker) -> f64 {
    let others = tables.workers.iter().filter(|&(other, _)| other != worker);
    let (sum, count) = others
        .fold((0.0, 0_u32), |(sum, count), (_, row)| (sum + row.health.failure_rate(), count + 1));
    sum / f64::from(count.max(1))
}
