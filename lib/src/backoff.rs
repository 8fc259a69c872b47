//! Exponential backoff with full jitter, and one trial call at a time while it lasts.

use std::time::Duration;

use lavendergauge_derive::value;
use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;

/// Failures in a row before calls are held back.
const PATIENCE: u32 = 3;
/// Longest first pause.
const FIRST: Duration = Duration::from_millis(200);
/// Longest pause of all.
const LONGEST: Duration = Duration::from_secs(5);

/// Whether calls to a peer are held back after failures.
#[value]
#[derive(Default)]
pub struct Backoff {
    failures: u32,
    until: Option<Millis>,
}

impl Backoff {
    /// Asks for leave to call; once a pause is over, one caller gets it for each further pause.
    ///
    /// # Errors
    /// What is left of the pause.
    ///
    /// ```
    /// use lavendergauge_lib::backoff::Backoff;
    /// use lavendergauge_lib::clock::Millis;
    /// assert!(Backoff::default().enter(Millis(0)).is_ok());
    /// ```
    pub fn enter(&mut self, now: Millis) -> Result<(), Duration> {
        let Some(until) = self.until else { return Ok(()) };
        if now < until {
            return Err(until.since(now));
        }
        self.until = Some(now + FIRST);
        Ok(())
    }

    /// Takes in that a call failed.
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
        let Some(rounds) = self.failures.checked_sub(PATIENCE) else { return };
        let longest = FIRST.saturating_mul(1 << rounds.min(16)).min(LONGEST);
        let longest_ms = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        let pause = Duration::from_millis(rng.random_range(longest_ms / 2..=longest_ms));
        self.until = Some(now + pause);
    }

    /// Takes in that a call succeeded, which ends the backoff.
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
