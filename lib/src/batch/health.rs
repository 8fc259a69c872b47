//! A worker's record of failures: one that fails what others do is left alone for a while.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::batch::job::Id;
use crate::clock::Millis;

/// Failures of different jobs in a row after which a worker is avoided.
const FAILURES: u32 = 2;
/// Work before a failure below which the worker is suspected at once.
const AT_ONCE: Duration = Duration::from_millis(400);
/// First time for which a worker is avoided; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(3);
/// Longest time for which a worker is avoided.
const LAST_PAUSE: Duration = Duration::from_secs(24);

/// What a worker did with its latest runs.
#[row]
#[derive(Default)]
pub struct Health {
    /// Failures in a row, of different jobs.
    pub failures: u32,
    /// Job of the newest failure.
    pub last: Option<Id>,
    /// Until when it is avoided.
    pub until: Millis,
}

impl Health {
    /// Takes in that a run ended well.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::clock::Millis;
    /// let mut health = Health::default();
    /// health.done();
    /// assert!(!health.avoided(Millis(0)));
    /// ```
    pub fn done(&mut self) {
        *self = Health::default();
    }

    /// Takes in that a run of a job failed or stood still after it had worked for a time.
    ///
    /// One that fails right after its start tells more of the worker than of the job.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::batch::job::Id;
    /// use lavendergauge_lib::clock::Millis;
    /// use std::time::Duration;
    /// let mut health = Health::default();
    /// health.failed(Millis(0), Id(1), Duration::from_secs(2));
    /// assert!(!health.avoided(Millis(1)));
    /// health.failed(Millis(0), Id(2), Duration::from_secs(2));
    /// assert!(health.avoided(Millis(1)));
    /// ```
    pub fn failed(&mut self, now: Millis, job: Id, worked: Duration) {
        if self.last == Some(job) {
            return;
        }
        self.last = Some(job);
        self.failures += if worked < AT_ONCE { FAILURES } else { 1 };
        if self.failures < FAILURES {
            return;
        }
        let pause = FIRST_PAUSE * (1 << (self.failures - FAILURES).min(3));
        self.until = now + pause.min(LAST_PAUSE);
    }

    /// Tells whether new work should go elsewhere.
    ///
    /// ```
    /// use lavendergauge_lib::batch::health::Health;
    /// use lavendergauge_lib::clock::Millis;
    /// assert!(!Health::default().avoided(Millis(5)));
    /// ```
    pub fn avoided(&self, now: Millis) -> bool {
        now < self.until
    }
}
