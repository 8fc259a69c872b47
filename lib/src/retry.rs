//! A budget that bounds the additional load that retries cause.

use lavendergauge_derive::row;

/// A retry budget: each first attempt adds a fraction of a retry, and each retry takes one.
#[row]
pub struct Budget {
    percent: f64,
    available: f64,
}

/// Largest number of retries that accumulate.
const AVAILABLE_LIMIT: f64 = 20.0;
/// Percentage that stands for one retry for each first attempt.
const PERCENT: f64 = 100.0;

impl Budget {
    /// Creates a budget that allows `percent` retries for each hundred first attempts.
    ///
    /// ```
    /// use lavendergauge_lib::retry::Budget;
    /// assert!(Budget::new(10).take());
    /// ```
    pub fn new(percent: u32) -> Self {
        Budget { percent: f64::from(percent), available: AVAILABLE_LIMIT }
    }

    /// Sets the number of retries allowed for each hundred first attempts.
    ///
    /// ```
    /// lavendergauge_lib::retry::Budget::new(10).set_percent(20);
    /// ```
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = f64::from(percent);
    }

    /// Counts a first attempt, which adds to the budget.
    ///
    /// ```
    /// lavendergauge_lib::retry::Budget::new(10).earn();
    /// ```
    pub fn earn(&mut self) {
        self.available = (self.available + self.percent / PERCENT).min(AVAILABLE_LIMIT);
    }

    /// Takes one retry from the budget; `false` when none is available.
    ///
    /// ```
    /// use lavendergauge_lib::retry::Budget;
    /// let mut budget = Budget::new(0);
    /// let taken = (0..100).filter(|_| budget.take()).count();
    /// assert_eq!(taken, 20);
    /// ```
    pub fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
