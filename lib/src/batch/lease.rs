//! Leases that a worker holds by the clock of an earlier incarnation.
//!
//! An agent extends its worker's lease up to a time of the worker's clock, which starts anew with
//! each incarnation. A call that reaches a later incarnation than the one whose clock was read names
//! a time far ahead, so the worker holds a lease of its full length, which no call shortens. Such a
//! call may arrive until the incarnation has carried out one with a higher fencing token (see
//! [`epoch`](crate::batch::epoch)). The agent reports how long a lease can last that was given
//! before, and the planner waits that long before it replaces the worker's runs.
//!
//! Times are by the agent's clock, in milliseconds, unless stated otherwise.

use lavendergauge_derive::row;
use lavendergauge_derive::token;

use crate::batch::table;

/// Twice the share by which a worker's clock may be slow, as a divisor.
const CLOCK_SLACK_DIVISOR: u64 = 100 / table::CLOCK_SLACK_PERCENT as u64;
/// Share by which a worker's clock may be slow, as a divisor.
const SLOW_CLOCK_DIVISOR: u64 = 2 * CLOCK_SLACK_DIVISOR;

/// Time within which a call that got no answer is carried out, if it is, in milliseconds.
pub const LATE_CALL_MS: u64 = 15_000;

/// A reading of a worker's clock.
#[token]
pub struct Reading {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Steady time of the agent's process at which it was read, in milliseconds. It stands still
    /// while the VM is suspended, as the worker's clock does.
    pub read_at: u64,
}

impl Reading {
    /// Returns the least time that the worker's clock shows at `now`, a steady time of the agent's
    /// process.
    ///
    /// ```
    /// use lavendergauge_lib::batch::lease::Reading;
    /// let reading = Reading { clock_ms: 5000, read_at: 100 };
    /// assert_eq!(reading.least_clock_ms(1100), 5980);
    /// ```
    pub fn least_clock_ms(self, now: u64) -> u64 {
        let elapsed = now.saturating_sub(self.read_at);
        self.clock_ms.saturating_add(elapsed - elapsed.div_ceil(SLOW_CLOCK_DIVISOR))
    }
}

/// Until when the worker may hold a lease by the clock of an earlier incarnation.
#[row]
pub struct Tracker {
    longest_ms: u64,
    stale_until: u64,
    /// When the last call for an earlier incarnation may have been sent, and the lowest fencing token
    /// of a call after which they are refused; `None` once one was answered.
    awaited: Option<(u64, u64)>,
}

impl Tracker {
    /// Makes the tracker of an agent's process that starts at `now`. A worker grants leases of at
    /// most `longest_ms` by its own clock.
    ///
    /// Which calls an earlier process of the agent has sent is not known.
    ///
    /// ```
    /// use lavendergauge_lib::batch::lease::Tracker;
    /// assert_eq!(Tracker::new(500, 10_000).stale_until(600), 10_900);
    /// ```
    pub fn new(now: u64, longest_ms: u64) -> Tracker {
        let mut tracker = Tracker { longest_ms, stale_until: 0, awaited: None };
        tracker.stale_until = tracker.end_of_lease(now);
        tracker
    }

    /// Returns the end of the longest lease that a worker can grant at `now`.
    fn end_of_lease(&self, now: u64) -> u64 {
        now.saturating_add(self.longest_ms).saturating_add(self.longest_ms / CLOCK_SLACK_DIVISOR)
    }

    /// Records at `now` that another incarnation is known to run or to run soon. Calls that were meant
    /// for the one before may reach it until it has carried out a call with the fencing token `token`.
    ///
    /// ```
    /// use lavendergauge_lib::batch::lease::Tracker;
    /// let mut tracker = Tracker::new(0, 10_000);
    /// tracker.restart(30_000, 8);
    /// assert_eq!(tracker.stale_until(30_000), 40_400);
    /// tracker.answer(30_500, 8);
    /// assert_eq!(tracker.stale_until(35_000), 40_900);
    /// ```
    pub fn restart(&mut self, now: u64, token: u64) {
        // Calls for the incarnation before may have been sent until now.
        self.awaited = Some((now, token));
    }

    /// Records that the incarnation that runs has answered a call with a fencing token at `now`.
    pub fn answer(&mut self, now: u64, token: u64) {
        if let Some((_, awaited)) = self.awaited
            && awaited <= token
        {
            self.stale_until = self.stale_until(now);
            self.awaited = None;
        }
    }

    /// Returns the time until which the worker may hold a lease by the clock of an earlier
    /// incarnation, as far as it is known at `now`.
    pub fn stale_until(&self, now: u64) -> u64 {
        match self.awaited {
            Some((sent_until, _)) => {
                let latest = now.min(sent_until.saturating_add(LATE_CALL_MS));
                self.stale_until.max(self.end_of_lease(latest))
            }
            None => self.stale_until,
        }
    }
}
