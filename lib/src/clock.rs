//! Points in time as plain values, so that the code that uses them reads no clock.

use std::ops::Add;
use std::time::Duration;

use lavendergauge_derive::token;

/// A point in time in milliseconds, on the monotonic clock of one process.
#[token]
#[derive(Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(Millis(1500).since(Millis(500)), Duration::from_secs(1));
    /// assert_eq!(Millis(1).since(Millis(2)), Duration::ZERO);
    /// ```
    pub fn since(self, earlier: Millis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Millis {
    type Output = Millis;

    fn add(self, duration: Duration) -> Millis {
        Millis(self.0.saturating_add(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)))
    }
}
