//! Outlier detection: targets that fail more often than the others are avoided for a while.
//!
//! The share of failures decides, not their number or the target's load. A target that fails
//! fast is always idle, so a choice by load alone would send it most of the requests.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::clock::Millis;

/// Weight of one outcome in the smoothed share of failures.
const WEIGHT: f64 = 0.2;
/// Smallest share of failures for which a target is avoided.
const MIN_FAILURE_RATE: f64 = 0.5;
/// Factor of the mean of the others that a target's share of failures must reach.
const MIN_FACTOR: f64 = 2.0;
/// Time for which a target is avoided at first; it doubles with each repetition.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// Most doublings of `FIRST_AVOIDANCE`.
const MAX_DOUBLINGS: u32 = 5;

/// One target's share of failures, and how long the target is avoided.
#[row]
#[derive(Default)]
pub struct Record {
    failure_rate: f64,
    avoided_until: Option<Millis>,
    avoidances: u32,
    on_trial: bool,
}

impl Record {
    /// Returns the smoothed share of failures, from 0 to 1.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::outlier::Record::default().failure_rate(), 0.0);
    /// ```
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
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

    /// Tells whether the target was avoided and has answered no request successfully since.
    ///
    /// ```
    /// assert!(!lavendergauge_lib::outlier::Record::default().is_on_trial());
    /// ```
    pub fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// Records one outcome; `peers` is the mean share of failures of the other targets.
    ///
    /// A target on trial that fails is avoided again at once.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// let mut record = lavendergauge_lib::outlier::Record::default();
    /// for _ in 0..5 {
    ///     record.observe(Millis(0), false, 0.0);
    /// }
    /// assert!(record.is_avoided(Millis(999)) && !record.is_avoided(Millis(1000)));
    /// ```
    pub fn observe(&mut self, now: Millis, succeeded: bool, peers: f64) {
        let failure = if succeeded { 0.0 } else { 1.0 };
        self.failure_rate += WEIGHT * (failure - self.failure_rate);
        if succeeded {
            if self.on_trial {
                self.on_trial = false;
                self.failure_rate = 0.0;
            }
            if self.failure_rate < WEIGHT {
                self.avoidances = 0;
            }
            return;
        }
        let is_outlier =
            MIN_FAILURE_RATE <= self.failure_rate && MIN_FACTOR * peers <= self.failure_rate;
        if !self.is_avoided(now) && (is_outlier || self.on_trial) {
            self.avoided_until = Some(now + FIRST_AVOIDANCE * 2_u32.pow(self.avoidances));
            self.avoidances = (self.avoidances + 1).min(MAX_DOUBLINGS);
            self.on_trial = true;
        }
    }
}
