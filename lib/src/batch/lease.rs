//! Leases that a worker holds by the clock of an earlier incarnation.
//!
//! An agent extends its worker's lease up to a time of the worker's clock, which starts anew with
//! each incarnation. A call that reaches a later incarnation than the one whose clock was read names
//! a time far ahead, so the worker holds a lease of its full length, which no call shortens. The
//! agent cannot know which incarnation received a call that got no answer. It therefore tracks how
//! long such a lease can last, and the planner waits that long before it replaces the worker's runs.
//!
//! Times are by the agent's clock, in milliseconds, unless stated otherwise.

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use smallvec::SmallVec;

use crate::batch::table;

/// Twice the share by which a worker's clock may be slow, as a divisor.
const CLOCK_SLACK_DIVISOR: u64 = 100 / table::CLOCK_SLACK_PERCENT as u64;
/// Share by which a worker's clock may be slow, as a divisor.
const SLOW_CLOCK_DIVISOR: u64 = 2 * CLOCK_SLACK_DIVISOR;

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

/// Identifies a call that extends the worker's lease.
#[token]
pub struct Call(u64);

#[row]
struct Pending {
    call: Call,
    begun_at: u64,
    /// End of a lease that the call may give to another incarnation.
    until: u64,
}

/// The calls of one agent that extend its worker's lease.
#[row]
pub struct Tracker {
    longest_ms: u64,
    next: u64,
    in_progress: SmallVec<[Pending; 4]>,
    /// When the last call without an answer ended.
    unanswered_at: u64,
    /// End of a lease that one of the calls without an answer may give to another incarnation; 0
    /// when there are none.
    unanswered_until: u64,
    stale_until: u64,
}

impl Tracker {
    /// Makes the tracker of an agent's process that starts at `now`. A worker grants leases of at
    /// most `longest_ms` by its own clock.
    ///
    /// Which calls an earlier process of the agent has sent is not known.
    ///
    /// ```
    /// use lavendergauge_lib::batch::lease::Tracker;
    /// assert_eq!(Tracker::new(500, 10_000).stale_until(), 10_900);
    /// ```
    pub fn new(now: u64, longest_ms: u64) -> Tracker {
        let mut tracker = Tracker {
            longest_ms,
            next: 0,
            in_progress: SmallVec::new(),
            unanswered_at: 0,
            unanswered_until: 0,
            stale_until: 0,
        };
        tracker.stale_until = tracker.end_of_lease(now);
        tracker
    }

    /// Returns the end of the longest lease that a worker can grant at `now`.
    fn end_of_lease(&self, now: u64) -> u64 {
        now.saturating_add(self.longest_ms).saturating_add(self.longest_ms / CLOCK_SLACK_DIVISOR)
    }

    /// Records a call that extends the lease and ends within `limit_ms`.
    pub fn begin(&mut self, now: u64, limit_ms: u64) -> Call {
        self.next += 1;
        let call = Call(self.next);
        let until = self.end_of_lease(now.saturating_add(limit_ms));
        self.in_progress.push(Pending { call, begun_at: now, until });
        call
    }

    /// Records that the incarnation whose clock was read has answered a call.
    ///
    /// It was alive after the calls without an answer that had ended before, so none of them can
    /// reach a later one.
    pub fn confirm(&mut self, call: Call) {
        let Some(pending) = self.take(call) else { return };
        if self.unanswered_at <= pending.begun_at {
            self.unanswered_until = 0;
        }
    }

    /// Records that a call ended at `now` without showing which incarnation received it.
    pub fn end_unanswered(&mut self, call: Call, now: u64) {
        if self.take(call).is_some() {
            self.unanswered_at = self.unanswered_at.max(now);
            self.unanswered_until = self.unanswered_until.max(self.end_of_lease(now));
        }
    }

    /// Records that a call had no effect and will have none.
    pub fn cancel(&mut self, call: Call) {
        self.take(call);
    }

    fn take(&mut self, call: Call) -> Option<Pending> {
        let index = self.in_progress.iter().position(|pending| pending.call == call)?;
        Some(self.in_progress.swap_remove(index))
    }

    /// Records that a later incarnation is known: it may have received each call that was not
    /// answered by the earlier one.
    ///
    /// ```
    /// use lavendergauge_lib::batch::lease::Tracker;
    /// let mut tracker = Tracker::new(0, 10_000);
    /// let call = tracker.begin(20_000, 400);
    /// tracker.confirm(call);
    /// tracker.restart();
    /// assert_eq!(tracker.stale_until(), 10_400);
    /// let call = tracker.begin(30_000, 400);
    /// tracker.end_unanswered(call, 30_300);
    /// tracker.restart();
    /// assert_eq!(tracker.stale_until(), 40_700);
    /// ```
    pub fn restart(&mut self) {
        let in_progress = self.in_progress.iter().map(|pending| pending.until).max().unwrap_or(0);
        self.stale_until = self.stale_until.max(self.unanswered_until).max(in_progress);
        self.unanswered_until = 0;
    }

    /// Returns the time until which the worker may hold a lease by the clock of an earlier
    /// incarnation.
    pub fn stale_until(&self) -> u64 {
        self.stale_until
    }
}
