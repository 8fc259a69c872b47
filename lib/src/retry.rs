//! The budget that bounds how much work retries add.

use lavendergauge_derive::row;

/// A budget that fills with each first attempt and empties with each retry.
#[row]
pub struct Budget {
    percent: f64,
    saved: f64,
}

/// Most retries that are saved up.
const SAVED_LIMIT: f64 = 20.0;
/// Hundredths of a retry in one retry.
const PERCENT: f64 = 100.0;

impl Budget {
    /// Makes a budget that allows `percent` retries for each hundred first attempts.
    ///
    /// ```
    /// use lavendergauge_lib::retry::Budget;
    /// assert!(Budget::new(10).take());
    /// ```
    pub fn new(percent: u32) -> Self {
        Budget { percent: f64::from(percent), saved: SAVED_LIMIT }
    }

    /// Changes the share of retries.
    ///
    /// ```
    /// lavendergauge_lib::retry::Budget::new(10).set_percent(20);
    /// ```
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = f64::from(percent);
    }

    /// Counts a first attempt.
    ///
    /// ```
    /// lavendergauge_lib::retry::Budget::new(10).earn();
    /// ```
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.percent / PERCENT).min(SAVED_LIMIT);
    }

    /// Takes one retry; `false` when there is none left.
    ///
    /// ```
    /// use lavendergauge_lib::retry::Budget;
    /// let mut budget = Budget::new(0);
    /// let taken = (0..100).filter(|_| budget.take()).count();
    /// assert_eq!(taken, 20);
    /// ```
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
