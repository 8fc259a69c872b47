//! What a leader may do, by the time that has passed since it last confirmed its lease.

use std::time::Duration;

use lavendergauge_derive::token;

use crate::batch::table;
use crate::clock::Millis;

/// Lease of the leader: the time without a planner after the leader's VM stopped responding.
///
/// It can still be renewed when the store takes half a second for each answer.
pub const LEASE: Duration = Duration::from_millis(1500);
/// Safety margin at the end of the lease, and of the time in which it may grant, on which the leader
/// does not rely.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// The leader's lease as the leader knows it, on a clock that also runs while its VM is suspended.
#[token]
pub struct Lease {
    /// When the grant of the lease or its last successful renewal was sent.
    pub confirmed_at: Millis,
}

impl Lease {
    /// Returns a lease that was granted or renewed by a call sent at `sent_at`.
    ///
    /// ```
    /// use lavendergauge_lib::batch::leadership;
    /// use lavendergauge_lib::batch::leadership::Lease;
    /// use lavendergauge_lib::clock::Millis;
    /// let sent_at = Millis(1000);
    /// assert!(!Lease::confirmed(sent_at).can_order(sent_at + leadership::LEASE));
    /// ```
    pub fn confirmed(sent_at: Millis) -> Lease {
        Lease { confirmed_at: sent_at }
    }

    /// Tells whether the leader may give orders to the platform, which may not check its fencing
    /// token. It may for as long as the lease is valid, unless something ended it early.
    ///
    /// ```
    /// use lavendergauge_lib::batch::leadership::Lease;
    /// use lavendergauge_lib::clock::Millis;
    /// let lease = Lease::confirmed(Millis(1000));
    /// assert!(lease.can_order(Millis(1200)) && !lease.can_order(Millis(9000)));
    /// ```
    pub fn can_order(self, now: Millis) -> bool {
        now < self.confirmed_at + (LEASE - LEASE_MARGIN)
    }

    /// Tells whether the leader may give grants, by which workers' tasks keep running.
    ///
    /// It may for a while after its lease, see [`table::GRANT_AFTER_RENEWAL`]. That time does not
    /// depend on how long the lease is valid: another entry, another writer or the store may end it
    /// right after a renewal, and a leader that cannot reach the store does not learn of that.
    ///
    /// ```
    /// use lavendergauge_lib::batch::leadership::Lease;
    /// use lavendergauge_lib::clock::Millis;
    /// let lease = Lease::confirmed(Millis(1000));
    /// assert!(lease.can_grant(Millis(8000)) && !lease.can_grant(Millis(9000)));
    /// ```
    pub fn can_grant(self, now: Millis) -> bool {
        now < self.confirmed_at + (table::GRANT_AFTER_RENEWAL - LEASE_MARGIN)
    }
}
