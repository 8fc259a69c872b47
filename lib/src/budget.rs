//! Rate limit of one process's calls to the key-value store, with priorities.
//!
//! A token bucket in which each class of calls reserves part of the bucket for the
//! classes of higher priority, so that a burst of claims cannot delay a configuration
//! change or a lease renewal.

use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;

use crate::clock::Millis;

/// Purpose of a call, in order of increasing priority.
#[token]
pub enum Class {
    /// Any other call.
    Rest,
    /// Claims on the key of a request.
    Claim,
    /// Job records.
    Job,
    /// Leases and the keys bound to them.
    Lease,
    /// The configuration that operators set.
    Configuration,
}

impl Class {
    /// Returns the class of a call that reads or writes `key`.
    ///
    /// ```
    /// use lavendergauge_lib::budget::Class;
    /// assert_eq!(Class::of("config/current"), Class::Configuration);
    /// assert_eq!(Class::of("jobs/1"), Class::Job);
    /// ```
    pub fn of(key: &str) -> Class {
        match key.split('/').next() {
            Some("config") => Class::Configuration,
            Some("planner" | "entries" | "epoch") => Class::Lease,
            Some("jobs") => Class::Job,
            Some("claims") => Class::Claim,
            _ => Class::Rest,
        }
    }

    /// Returns the value of the metrics label.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::budget::Class::Job.label(), "job");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Class::Rest => "rest",
            Class::Claim => "claim",
            Class::Job => "job",
            Class::Lease => "lease",
            Class::Configuration => "configuration",
        }
    }

    /// Percentage of the bucket that is reserved for classes of higher priority.
    fn reserve_percent(self) -> f64 {
        match self {
            Class::Configuration => 0.0,
            Class::Lease => 10.0,
            Class::Job => 25.0,
            Class::Claim => 40.0,
            Class::Rest => 60.0,
        }
    }
}

/// A token bucket that limits the rate of calls.
#[row]
pub struct Budget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl Budget {
    /// Makes a full bucket that gains `per_second` calls a second, up to `burst`.
    ///
    /// ```
    /// use lavendergauge_lib::budget::Budget;
    /// use lavendergauge_lib::budget::Class;
    /// use lavendergauge_lib::clock::Millis;
    /// let mut budget = Budget::new(10, 20);
    /// assert!(budget.take(Millis(0), Class::Rest).is_ok());
    /// ```
    pub fn new(per_second: u32, burst: u32) -> Self {
        let burst = f64::from(burst);
        Budget { per_second: f64::from(per_second), burst, tokens: burst, refilled_at: Millis(0) }
    }

    /// Takes the token for one call of a class out of the bucket.
    ///
    /// # Errors
    /// The time after which enough tokens for the class will have accumulated.
    ///
    /// ```
    /// use lavendergauge_lib::budget::Budget;
    /// use lavendergauge_lib::budget::Class;
    /// use lavendergauge_lib::clock::Millis;
    /// let mut budget = Budget::new(1, 2);
    /// assert!(budget.take(Millis(0), Class::Configuration).is_ok());
    /// assert!(budget.take(Millis(0), Class::Rest).is_err());
    /// assert!(budget.take(Millis(0), Class::Configuration).is_ok());
    /// ```
    pub fn take(&mut self, now: Millis, class: Class) -> Result<(), Duration> {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        let needed = self.burst * class.reserve_percent() / 100.0 + 1.0;
        if needed <= self.tokens {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.tokens) / self.per_second))
    }
}
