//! Fair sharing of spare capacity by dominant shares, averaged over time with decay.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;
use crate::table::Tables;

/// Half-life of an account's past share in its average.
const HALF_LIFE: Duration = Duration::from_secs(3600);

/// Exponentially decayed average of the dominant share that an account held.
///
/// An idle account gains no advantage beyond an average of zero, and an account that held much
/// capacity is disadvantaged for a few half-lives only.
#[row]
#[derive(Copy, Default)]
pub struct Usage {
    average: f64,
    at: Millis,
}

impl Usage {
    /// Returns the average at `now` for an account that has held `share` since the last `settle`.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::fair::Usage;
    /// let hour = Usage::default().average(Millis(3_600_000), 1.0);
    /// assert!((hour - 0.5).abs() < 1e-9);
    /// ```
    pub fn average(&self, now: Millis, share: f64) -> f64 {
        self.average_over(now, share, HALF_LIFE)
    }

    /// Returns the average at `now` with another half-life of past shares.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::fair::Usage;
    /// let average = Usage::default().average_over(Millis(1000), 1.0, Duration::from_secs(1));
    /// assert!((average - 0.5).abs() < 1e-9);
    /// ```
    pub fn average_over(&self, now: Millis, share: f64, half_life: Duration) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        let kept = (-half_lives).exp2();
        self.average * kept + share * (1.0 - kept)
    }

    /// Updates the average up to `now`; must be called before the held share changes.
    pub(crate) fn settle(&mut self, now: Millis, share: f64) {
        self.settle_over(now, share, HALF_LIFE);
    }

    /// Updates the average up to `now` with another half-life of past shares.
    pub(crate) fn settle_over(&mut self, now: Millis, share: f64, half_life: Duration) {
        self.average = self.average_over(now, share, half_life);
        self.at = now;
    }
}

/// Returns the dominant share: the largest of the shares that `held` has of the fleet's resources.
///
/// ```
/// use lavendergauge_lib::fair;
/// use lavendergauge_lib::resource::Resources;
/// let fleet = Resources { accelerators: 8, processors: 64, memory_mb: 0 };
/// let held = Resources { accelerators: 2, processors: 32, memory_mb: 0 };
/// assert_eq!(fair::dominant(held, fleet), 0.5);
/// ```
pub fn dominant(held: Resources, fleet: Resources) -> f64 {
    let share = |held: f64, all: f64| if 0.0 < all { held / all } else { 0.0 };
    share(f64::from(held.accelerators), f64::from(fleet.accelerators))
        .max(share(f64::from(held.processors), f64::from(fleet.processors)))
        .max(share(held.memory_mb as f64, fleet.memory_mb as f64))
}

/// Returns an account's share, current and past, divided by its weight; the account with the lowest
/// gets spare capacity first.
pub(crate) fn weighted_share(tables: &Tables, now: Millis, account: key::Account) -> f64 {
    let row = &tables.accounts[account];
    let share = dominant(row.held_resources, tables.fleet);
    (share + row.usage.average(now, share)) / f64::from(row.weight.max(1))
}
