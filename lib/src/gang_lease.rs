//! The shared lease of a gang: longer only while every member is alive.
//!
//! Any entry that hears all members may extend it, so a gang outlives its planner
//! and an outage of the store. An extension ends a fixed time after the oldest of
//! the members' newest announcements: once one member falls silent or ends badly,
//! the others end by themselves within that time.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;
use crate::gang::GANG_LEASE;
use crate::gang::Slot;
use crate::name::Name;

/// Time after which a silent gang is forgotten.
const FORGET: Duration = Duration::from_secs(60);
/// Most members of a gang.
pub const MEMBERS: u32 = 64;

/// Whether a member lets its gang go on.
#[token]
pub enum Vital {
    /// It runs, or came to its own end.
    Good,
    /// It is prepared, being stopped, or ended badly.
    Bad,
}

/// The newest word of one member.
#[token]
struct Sight {
    seen: Millis,
    vital: Vital,
}

/// The members of each gang, as one entry hears them.
#[value]
#[derive(Default)]
pub struct Table {
    gangs: HashMap<(Name, u32), Vec<Option<Sight>>>,
}

impl Table {
    /// Takes in the word of one member of a gang of `members`.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{GANG_LEASE, Slot};
    /// use lavendergauge_lib::gang_lease::{Table, Vital};
    /// let slot = Slot { job: "sweep".into(), attempt: 1, member: 0 };
    /// let mut table = Table::default();
    /// table.see(Millis(0), &slot, 1, Vital::Good);
    /// assert_eq!(table.left(Millis(0), &slot), Some(GANG_LEASE));
    /// ```
    pub fn see(&mut self, now: Millis, slot: &Slot, members: u32, vital: Vital) {
        if members <= slot.member || MEMBERS < members {
            return;
        }
        let gang = self.gangs.entry((slot.job.clone(), slot.attempt)).or_default();
        if gang.len() < members as usize {
            gang.resize(members as usize, None);
        }
        gang[slot.member as usize] = Some(Sight { seen: now, vital });
    }

    /// Returns how long the gang's lease may still last; `None` when it may not be extended.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::Slot;
    /// use lavendergauge_lib::gang_lease::Table;
    /// let slot = Slot { job: "sweep".into(), attempt: 1, member: 0 };
    /// assert_eq!(Table::default().left(Millis(0), &slot), None);
    /// ```
    pub fn left(&self, now: Millis, slot: &Slot) -> Option<Duration> {
        let gang = self.gangs.get(&(slot.job.clone(), slot.attempt))?;
        let mut oldest = now;
        for sight in gang {
            let sight = sight.filter(|sight| sight.vital == Vital::Good)?;
            oldest = oldest.min(sight.seen);
        }
        let left = GANG_LEASE.checked_sub(now.since(oldest))?;
        (!left.is_zero()).then_some(left)
    }

    /// Forgets the gangs that have been silent for a minute.
    ///
    /// ```
    /// lavendergauge_lib::gang_lease::Table::default()
    ///     .expire(lavendergauge_lib::clock::Millis(0));
    /// ```
    pub fn expire(&mut self, now: Millis) {
        self.gangs
            .retain(|_, gang| gang.iter().flatten().any(|sight| now.since(sight.seen) < FORGET));
    }
}
