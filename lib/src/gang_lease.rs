//! The shared lease of a gang, which is extended only while every member is healthy.
//!
//! Any entry that receives the announcements of all members may extend it, so a gang outlives
//! its planner and an outage of the store. An extension ends [`GANG_LEASE`] after the oldest of
//! the members' newest announcements: once one member is silent or fails, the leases of
//! the others expire within that time.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;
use crate::gang::GANG_LEASE;
use crate::gang::MemberId;
use crate::name::Name;

/// Time after its last announcement after which a gang is forgotten.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of members of a gang.
pub const MAX_MEMBERS: u32 = 64;

/// Whether a member's state allows its gang's lease to be extended.
#[token]
pub enum Health {
    /// It is running, or finished successfully.
    Good,
    /// It is not started yet, is being stopped, or ended in another way.
    Bad,
}

/// The newest announcement of one member.
#[token]
struct Announcement {
    received_at: Millis,
    health: Health,
}

/// The newest announcements of the members of each gang, as received by one entry.
#[value]
#[derive(Default)]
pub struct Table {
    gangs: HashMap<(Name, u32), Vec<Option<Announcement>>>,
}

impl Table {
    /// Records an announcement about one member of a gang of `members`.
    ///
    /// An announcement with a member index or a gang size out of range is ignored.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{GANG_LEASE, MemberId};
    /// use lavendergauge_lib::gang_lease::{Health, Table};
    /// let member_id = MemberId { job: "sweep".into(), attempt: 1, member: 0 };
    /// let mut table = Table::default();
    /// table.record(Millis(0), &member_id, 1, Health::Good);
    /// assert_eq!(table.remaining(Millis(0), &member_id), Some(GANG_LEASE));
    /// ```
    pub fn record(&mut self, now: Millis, member_id: &MemberId, members: u32, health: Health) {
        if members <= member_id.member || MAX_MEMBERS < members {
            return;
        }
        let gang = self.gangs.entry((member_id.job.clone(), member_id.attempt)).or_default();
        if gang.len() < members as usize {
            gang.resize(members as usize, None);
        }
        gang[member_id.member as usize] = Some(Announcement { received_at: now, health });
    }

    /// Returns for how long from `now` the gang's lease may be extended; `None` when it may not be.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::MemberId;
    /// use lavendergauge_lib::gang_lease::Table;
    /// let member_id = MemberId { job: "sweep".into(), attempt: 1, member: 0 };
    /// assert_eq!(Table::default().remaining(Millis(0), &member_id), None);
    /// ```
    pub fn remaining(&self, now: Millis, member_id: &MemberId) -> Option<Duration> {
        let gang = self.gangs.get(&(member_id.job.clone(), member_id.attempt))?;
        let mut oldest = now;
        for announcement in gang {
            let announcement =
                announcement.filter(|announcement| announcement.health == Health::Good)?;
            oldest = oldest.min(announcement.received_at);
        }
        let remaining = GANG_LEASE.checked_sub(now.since(oldest))?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Forgets the gangs without any announcement for a minute.
    ///
    /// ```
    /// lavendergauge_lib::gang_lease::Table::default()
    ///     .expire(lavendergauge_lib::clock::Millis(0));
    /// ```
    pub fn expire(&mut self, now: Millis) {
        self.gangs.retain(|_, gang| {
            gang.iter()
                .flatten()
                .any(|announcement| now.since(announcement.received_at) < RETENTION)
        });
    }
}
