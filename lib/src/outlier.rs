//! Which targets are avoided for a while because they fail more than their peers.
//!
//! The share of failures decides, not their number and not the load: a target
//! that fails fast is always idle, and a choice by load alone would send it
//! most of the work.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::clock::Millis;

/// Weight of one outcome in the share of failures.
const WEIGHT: f64 = 0.2;
/// Share of failures from which a target is avoided.
const FAILING: f64 = 0.5;
/// Factor by which a target must fail more than its peers.
const FACTOR: f64 = 2.0;
/// Time for which a target is first avoided; it doubles each time.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// Most doublings of that time.
const DOUBLINGS: u32 = 5;

/// What one target's outcomes tell.
#[row]
#[derive(Default)]
pub struct Record {
    failing: f64,
    avoided_until: Option<Millis>,
    times: u32,
    on_trial: bool,
}

impl Record {
    /// Returns the smoothed share of failures, from 0 to 1.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::outlier::Record::default().failing(), 0.0);
    /// ```
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Tells whether the target is avoided now.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// assert!(!lavendergauge_lib::outlier::Record::default().is_avoided(Millis(0)));
    /// ```
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Tells whether the target was avoided and has not yet shown that it works.
    ///
    /// ```
    /// assert!(!lavendergauge_lib::outlier::Record::default().is_on_trial());
    /// ```
    pub fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// Takes in one outcome; `peers` is the mean share of failures of the other targets.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// let mut record = lavendergauge_lib::outlier::Record::default();
    /// for _ in 0..5 {
    ///     record.observe(Millis(0), false, 0.0);
    /// }
    /// assert!(record.is_avoided(Millis(999)) && !record.is_avoided(Millis(1000)));
    /// ```
    pub fn observe(&mut self, now: Millis, good: bool, peers: f64) {
        let failure = if good { 0.0 } else { 1.0 };
        self.failing += WEIGHT * (failure - self.failing);
        if good {
            if self.on_trial {
                self.on_trial = false;
                self.failing = 0.0;
            }
            if self.failing < WEIGHT {
                self.times = 0;
            }
            return;
        }
        let outlier = FAILING <= self.failing && FACTOR * peers <= self.failing;
        if !self.is_avoided(now) && (outlier || self.on_trial) {
            self.avoided_until = Some(now + FIRST_AVOIDANCE * 2_u32.pow(self.times));
            self.times = (self.times + 1).min(DOUBLINGS);
            self.on_trial = true;
        }
    }
}
