//! Exponential backoff with jitter for calls to a peer, with single trial calls between pauses.
//!
//! After three failures in a row calls are held back for a pause. Each further failure doubles
//! its upper bound, up to a limit, and the pause is drawn from the upper half of the range. One
//! success ends the backoff.

use std::time::Duration;

use lavendergauge_derive::value;
use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;

/// Consecutive failures before calls are held back.
const FAILURE_LIMIT: u32 = 3;
/// Upper bound of the first pause, and interval between trial calls that have no result yet.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of every pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Backoff state of one peer.
#[value]
#[derive(Default)]
pub struct Backoff {
    failures: u32,
    paused_until: Option<Millis>,
}

impl Backoff {
    /// Checks whether a call may be made now.
    ///
    /// After a pause, one trial call is admitted, and one more after each `FIRST_PAUSE` without a
    /// result.
    ///
    /// # Errors
    /// The remaining pause, when calls are held back.
    ///
    /// ```
    /// use lavendergauge_lib::backoff::Backoff;
    /// use lavendergauge_lib::clock::Millis;
    /// assert!(Backoff::default().enter(Millis(0)).is_ok());
    /// ```
    pub fn enter(&mut self, now: Millis) -> Result<(), Duration> {
        let Some(paused_until) = self.paused_until else { return Ok(()) };
        if now < paused_until {
            return Err(paused_until.since(now));
        }
        self.paused_until = Some(now + FIRST_PAUSE);
        Ok(())
    }

    /// Records a failed call, and starts a pause once the failure limit is reached.
    ///
    /// ```
    /// use lavendergauge_lib::backoff::Backoff;
    /// use lavendergauge_lib::clock::Millis;
    /// use rand::SeedableRng;
    /// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    /// let mut backoff = Backoff::default();
    /// (0..3).for_each(|_| backoff.fail(Millis(0), &mut rng));
    /// assert!(backoff.enter(Millis(0)).is_err());
    /// ```
    pub fn fail(&mut self, now: Millis, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let Some(doublings) = self.failures.checked_sub(FAILURE_LIMIT) else { return };
        let upper_bound = FIRST_PAUSE.saturating_mul(1 << doublings.min(16)).min(LONGEST_PAUSE);
        let upper_bound_ms = u64::try_from(upper_bound.as_millis()).unwrap_or(u64::MAX);
        let pause = Duration::from_millis(rng.random_range(upper_bound_ms / 2..=upper_bound_ms));
        self.paused_until = Some(now + pause);
    }

    /// Records a successful call, which ends the backoff.
    ///
    /// ```
    /// let mut backoff = lavendergauge_lib::backoff::Backoff::default();
    /// backoff.succeed();
    /// assert_eq!(backoff, Default::default());
    /// ```
    pub fn succeed(&mut self) {
        *self = Backoff::default();
    }
}
