//! Rate limits.

use std::time::Duration;

use lavendergauge_derive::value;

use crate::clock::Millis;

/// Units of a bucket's level in one token, so that a bucket counts thousandths of a token.
const UNITS_PER_TOKEN: u64 = 1000;

/// A token bucket, which allows bursts up to its size and a steady rate after them.
#[value]
pub struct Bucket {
    size: u64,
    per_s: u64,
    level: u64,
    filled_at: Millis,
}

impl Bucket {
    /// Makes a full bucket of `size` tokens that gains `per_s` tokens per second.
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
        Bucket {
            size: size * UNITS_PER_TOKEN,
            per_s,
            level: size * UNITS_PER_TOKEN,
            filled_at: now,
        }
    }

    /// Takes one token; returns `false` if the bucket has none.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::limit::Bucket;
    /// assert!(!Bucket::new(Millis(0), 0, 1).take(Millis(0)));
    /// ```
    pub fn take(&mut self, now: Millis) -> bool {
        self.fill(now);
        if self.level < UNITS_PER_TOKEN {
            return false;
        }
        self.level -= UNITS_PER_TOKEN;
        true
    }

    /// Tells whether the bucket has a token, without taking it.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::limit::Bucket;
    /// assert!(Bucket::new(Millis(0), 1, 1).has(Millis(0)));
    /// ```
    pub fn has(&mut self, now: Millis) -> bool {
        self.fill(now);
        UNITS_PER_TOKEN <= self.level
    }

    /// Returns the time until the bucket has a token, or zero if it has one.
    ///
    /// Counts from the last call of `take` or `has`.
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
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        Duration::from_millis(missing.div_ceil(self.per_s.max(1)))
    }

    /// Adds the tokens that were gained since the last call.
    fn fill(&mut self, now: Millis) {
        let passed_ms = u64::try_from(now.since(self.filled_at).as_millis()).unwrap_or(u64::MAX);
        self.filled_at = self.filled_at.max(now);
        let gained = passed_ms.saturating_mul(self.per_s);
        self.level = self.level.saturating_add(gained).min(self.size);
    }
}
