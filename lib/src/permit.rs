//! Start permits: an agent starts work only while it holds a fresh one.
//!
//! A permit is good for [`LASTS`] from the moment at which an entry asked the
//! store for the configuration, so a start can follow a change by no more than
//! that, whoever is cut off from whom.

use std::time::Duration;

use lavendergauge_derive::value;

use crate::clock::Millis;

/// Validity of a permit, from the moment the configuration was asked for.
pub const LASTS: Duration = Duration::from_millis(2500);

/// Returns what is left of a permit that rests on a configuration asked for at `confirmed`.
///
/// ```
/// use std::time::Duration;
/// use lavendergauge_lib::clock::Millis;
/// use lavendergauge_lib::permit;
/// assert_eq!(permit::left(Millis(1000), Millis(500)), Some(Duration::from_millis(2000)));
/// assert_eq!(permit::left(Millis(9000), Millis(500)), None);
/// ```
pub fn left(now: Millis, confirmed: Millis) -> Option<Duration> {
    let left = LASTS.checked_sub(now.since(confirmed))?;
    (!left.is_zero()).then_some(left)
}

/// An agent's leave to start work.
#[value]
#[derive(Default)]
pub struct Gate {
    revision: u64,
    until: Option<Millis>,
}

impl Gate {
    /// Takes in what an entry answered to an announcement sent at `sent`.
    ///
    /// An answer at a lower revision than one seen before changes nothing; a newer
    /// one without a permit closes the gate at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::permit::Gate;
    /// let mut gate = Gate::default();
    /// gate.learn(Millis(0), 1, Some(Duration::from_secs(2)));
    /// assert!(gate.is_open(Millis(1000)));
    /// gate.learn(Millis(900), 2, None);
    /// assert!(!gate.is_open(Millis(1000)));
    /// ```
    pub fn learn(&mut self, sent: Millis, revision: u64, lasts: Option<Duration>) {
        if revision < self.revision {
            return;
        }
        if self.revision < revision {
            self.until = None;
        }
        self.revision = revision;
        let Some(lasts) = lasts else { return };
        let until = sent + lasts.min(LASTS);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
    }

    /// Tells whether work may start now.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::permit::Gate;
    /// assert!(!Gate::default().is_open(Millis(0)));
    /// ```
    pub fn is_open(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the highest configuration revision seen.
    ///
    /// ```
    /// use lavendergauge_lib::permit::Gate;
    /// assert_eq!(Gate::default().revision(), 0);
    /// ```
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
