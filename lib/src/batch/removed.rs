//! Jobs that a planner has removed from its tables.
//!
//! Their records may still be listed by the store, and a message with one may arrive late.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use lavendergauge_derive::row;

use crate::batch::job::Id;

/// Most jobs that are remembered.
const MAX_JOBS: usize = 1024;

/// The jobs that were removed last.
#[row]
#[derive(Default)]
pub struct Jobs {
    /// When each was accepted, in Unix milliseconds.
    accepted: BTreeMap<Id, u64>,
    /// The oldest first.
    order: VecDeque<Id>,
}

impl Jobs {
    /// Remembers a job that was accepted at `accepted_ms`, in Unix milliseconds.
    ///
    /// ```
    /// use lavendergauge_lib::batch::job::Id;
    /// use lavendergauge_lib::batch::removed::Jobs;
    /// let mut jobs = Jobs::default();
    /// jobs.insert(Id(7), 1000);
    /// assert!(jobs.contains(Id(7), 1000));
    /// assert!(!jobs.contains(Id(7), 2000), "another job under the identifier");
    /// ```
    pub fn insert(&mut self, id: Id, accepted_ms: u64) {
        if self.accepted.insert(id, accepted_ms).is_some() {
            return;
        }
        self.order.push_back(id);
        if MAX_JOBS < self.order.len()
            && let Some(oldest) = self.order.pop_front()
        {
            self.accepted.remove(&oldest);
        }
    }

    /// Tells whether a job that was accepted at `accepted_ms` is among them.
    pub fn contains(&self, id: Id, accepted_ms: u64) -> bool {
        self.accepted.get(&id) == Some(&accepted_ms)
    }
}
