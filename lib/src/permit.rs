//! Start permits: an agent starts work only while it holds a valid one.
//!
//! A permit is valid for [`VALIDITY`] from the time at which an entry requested the
//! configuration from the store. So work can start under an outdated configuration
//! for at most that time after a change, under any network partition.

use std::time::Duration;

use lavendergauge_derive::value;

use crate::clock::Millis;

/// Validity of a permit, from the time at which the configuration was requested.
pub const VALIDITY: Duration = Duration::from_millis(2500);

/// Returns the remaining validity of a permit that is based on a configuration requested at
/// `confirmed`; `None` when it has expired.
///
/// ```
/// use std::time::Duration;
/// use lavendergauge_lib::clock::Millis;
/// use lavendergauge_lib::permit;
/// assert_eq!(permit::remaining(Millis(1000), Millis(500)), Some(Duration::from_millis(2000)));
/// assert_eq!(permit::remaining(Millis(9000), Millis(500)), None);
/// ```
pub fn remaining(now: Millis, confirmed: Millis) -> Option<Duration> {
    let remaining = VALIDITY.checked_sub(now.since(confirmed))?;
    (!remaining.is_zero()).then_some(remaining)
}

/// The start permit that an agent holds.
#[value]
#[derive(Default)]
pub struct Gate {
    revision: u64,
    until: Option<Millis>,
}

impl Gate {
    /// Applies an entry's reply to an announcement that was sent at `sent`.
    ///
    /// `validity` is the validity of the permit in the reply, if it has one. A reply with a lower
    /// configuration revision than an earlier one changes nothing; one with a higher revision and
    /// without a permit ends the held permit at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::permit::Gate;
    /// let mut gate = Gate::default();
    /// gate.update(Millis(0), 1, Some(Duration::from_secs(2)));
    /// assert!(gate.is_open(Millis(1000)));
    /// gate.update(Millis(900), 2, None);
    /// assert!(!gate.is_open(Millis(1000)));
    /// ```
    pub fn update(&mut self, sent: Millis, revision: u64, validity: Option<Duration>) {
        if revision < self.revision {
            return;
        }
        if self.revision < revision {
            self.until = None;
        }
        self.revision = revision;
        let Some(validity) = validity else { return };
        let until = sent + validity.min(VALIDITY);
        self.until = Some(self.until.map_or(until, |held| held.max(until)));
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

    /// Returns the highest configuration revision received.
    ///
    /// ```
    /// use lavendergauge_lib::permit::Gate;
    /// assert_eq!(Gate::default().revision(), 0);
    /// ```
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
