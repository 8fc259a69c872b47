//! Bounds on how often something may happen.

use std::time::Duration;

use lavendergauge_derive::value;

use crate::clock::Millis;

/// Thousandths of one token, in which a bucket counts.
const TOKEN: u64 = 1000;

/// A token bucket: bursts up to its size, then a steady rate.
#[value]
pub struct Bucket {
    size: u64,
    per_s: u64,
    filled: u64,
    since: Millis,
}

impl Bucket {
    /// Makes a full bucket of `size` tokens that gets `per_s` tokens a second.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::limit::Bucket;
    /// let mut bucket = Bucket::new(Millis(0), 1, 2);
    /// assert!(bucket.take(Millis(0)));
    /// assert!(!bucket.take(Millis(400)));
    /// assert!(bucket.take(Millis(500)));
    /// ```
    pub fn new(now: Millis, size: u64, per_s: u64) -> Self {
        Bucket { size: size * TOKEN, per_s, filled: size * TOKEN, since: now }
    }

    /// Takes one token, if there is one.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::limit::Bucket;
    /// assert!(!Bucket::new(Millis(0), 0, 1).take(Millis(0)));
    /// ```
    pub fn take(&mut self, now: Millis) -> bool {
        self.fill(now);
        if self.filled < TOKEN {
            return false;
        }
        self.filled -= TOKEN;
        true
    }

    /// Tells whether a token is there, without taking it.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::limit::Bucket;
    /// assert!(Bucket::new(Millis(0), 1, 1).has(Millis(0)));
    /// ```
    pub fn has(&mut self, now: Millis) -> bool {
        self.fill(now);
        TOKEN <= self.filled
    }

    /// Returns the time until the next token, or zero if one is there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::limit::Bucket;
    /// let mut bucket = Bucket::new(Millis(0), 1, 2);
    /// bucket.take(Millis(0));
    /// assert_eq!(bucket.wait(), Duration::from_millis(500));
    /// ```
    pub fn wait(&self) -> Duration {
        let lacking = TOKEN.saturating_sub(self.filled);
        Duration::from_millis(lacking.div_ceil(self.per_s.max(1)))
    }

    fn fill(&mut self, now: Millis) {
        let passed = u64::try_from(now.since(self.since).as_millis()).unwrap_or(u64::MAX);
        self.since = self.since.max(now);
        let gained = passed.saturating_mul(self.per_s);
        self.filled = self.filled.saturating_add(gained).min(self.size);
    }
}
