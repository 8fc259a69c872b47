//! Failure history of a worker. New work avoids a worker that fails runs of several jobs for a
//! while.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::batch::job::Id;
use crate::clock::Millis;

/// Consecutive failures of different jobs after which a worker is avoided.
const AVOID_AFTER: u32 = 2;
/// A run that fails sooner than this after its start makes its worker avoided at once.
const EARLY_FAILURE: Duration = Duration::from_millis(400);
/// First period for which a worker is avoided; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(3);
/// Number of times that the period doubles, after which it is at its longest.
const MAX_DOUBLINGS: u32 = 3;
/// Longest period for which a worker is avoided.
const LAST_PAUSE: Duration = Duration::from_secs(24);

/// Failures of a worker since its last successful run.
#[row]
#[derive(Default)]
pub struct Health {
    /// Consecutive failures of different jobs; a failure right after the start counts as several.
    pub failures: u32,
    /// Job of the newest failure.
    pub last_failed_job: Option<Id>,
    /// Until when new work avoids the worker.
    pub avoided_until: Millis,
    /// Whether a run has succeeded on the worker in this term.
    pub has_succeeded: bool,
}

impl Health {
    /// Records that a run succeeded, which clears the history.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::clock::Millis;
    /// let mut health = Health::default();
    /// health.record_success();
    /// assert!(!health.is_avoided(Millis(0)));
    /// ```
    pub fn record_success(&mut self) {
        *self = Health { has_succeeded: true, ..Health::default() };
    }

    /// Records that a run of a job failed or made no progress after it had worked for `worked`.
    ///
    /// A failure right after the start is more likely the worker's fault than the job's. Repeated
    /// failures of one job count once.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::batch::job::Id;
    /// use lavendergauge_lib::clock::Millis;
    /// use std::time::Duration;
    /// let mut health = Health::default();
    /// health.record_failure(Millis(0), Id(1), Duration::from_secs(2));
    /// assert!(!health.is_avoided(Millis(1)));
    /// health.record_failure(Millis(0), Id(2), Duration::from_secs(2));
    /// assert!(health.is_avoided(Millis(1)));
    /// ```
    pub fn record_failure(&mut self, now: Millis, job: Id, worked: Duration) {
        if self.last_failed_job == Some(job) {
            return;
        }
        self.last_failed_job = Some(job);
        self.failures += if worked < EARLY_FAILURE { AVOID_AFTER } else { 1 };
        if self.failures < AVOID_AFTER {
            return;
        }
        let pause = FIRST_PAUSE * (1 << (self.failures - AVOID_AFTER).min(MAX_DOUBLINGS));
        self.avoided_until = now + pause.min(LAST_PAUSE);
    }

    /// Adds what an earlier leader knew: its number of failures, and the time for which it would
    /// still avoid the worker. Both are limited to what a leader can learn.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::clock::Millis;
    /// use std::time::Duration;
    /// let mut health = Health::default();
    /// health.restore(Millis(10), 2, Duration::from_secs(3));
    /// assert!(health.is_avoided(Millis(3009)));
    /// assert!(!health.is_avoided(Millis(3010)));
    /// ```
    pub fn restore(&mut self, now: Millis, failures: u32, avoided: Duration) {
        self.failures = self.failures.max(failures.min(AVOID_AFTER + MAX_DOUBLINGS));
        self.avoided_until = self.avoided_until.max(now + avoided.min(LAST_PAUSE));
    }

    /// Tells whether new work should avoid the worker.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::clock::Millis;
    /// assert!(!Health::default().is_avoided(Millis(5)));
    /// ```
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoided_until
    }
}
