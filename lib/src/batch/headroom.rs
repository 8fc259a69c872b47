//! Capacity that less urgent work leaves free for the most urgent jobs.
//!
//! The load that this answers: less urgent jobs of many small tasks fill the fleet, and urgent gangs
//! arrive several times a second. Each of them would stop other runs, which costs those their work
//! and the gang the time that the stops take. Less urgent jobs usually have much more time than they
//! need, so they wait for a part of it instead, while urgent jobs keep arriving.

use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;

use crate::batch::rank::Candidate;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Period over which arrivals of urgent jobs are observed.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for whose arrivals of urgent jobs capacity is left free.
const COVER: Duration = Duration::from_millis(800);
/// Maximum share of the ready accelerators that is left free, in percent.
const MAX_PERCENT: u64 = 15;
/// Maximum number of arrivals that are remembered.
const MAX_ARRIVALS: usize = 256;
/// Share of the time before its latest start for which a less urgent step leaves capacity free, in
/// percent.
const PATIENCE_PERCENT: u64 = 40;

/// Recent arrivals of the most urgent jobs.
#[row]
#[derive(Default)]
pub struct Arrivals {
    /// When each job arrived and how many accelerators it needs at a time.
    recent: VecDeque<(Millis, u32)>,
}

impl Arrivals {
    /// Records the arrival of a job that needs a number of accelerators at a time.
    ///
    /// ```
    /// use lavendergauge_lib::batch::headroom::Arrivals;
    /// use lavendergauge_lib::clock::Millis;
    /// let mut arrivals = Arrivals::default();
    /// arrivals.record(Millis(1000), 40);
    /// assert_eq!(arrivals.expected(Millis(2000)), 8);
    /// assert_eq!(arrivals.expected(Millis(9000)), 0);
    /// ```
    pub fn record(&mut self, at: Millis, accelerators: u32) {
        if self.recent.len() == MAX_ARRIVALS {
            self.recent.pop_front();
        }
        self.recent.push_back((at, accelerators));
    }

    /// Returns the number of accelerators that the jobs of the next while are expected to need.
    pub fn expected(&self, now: Millis) -> u64 {
        let in_window: u64 = self
            .recent
            .iter()
            .filter(|(at, _)| *at <= now && now.since(*at) < WINDOW)
            .map(|(_, accelerators)| u64::from(*accelerators))
            .sum();
        in_window * COVER.as_millis() as u64 / WINDOW.as_millis() as u64
    }
}

/// Accelerators that less urgent steps may still use in a tick.
#[row]
pub struct Headroom {
    free: u64,
    kept: u64,
}

impl Headroom {
    /// Reads the free accelerators and the expected demand from the tables.
    pub fn of(tables: &Tables, now: Millis) -> Headroom {
        let (mut free, mut capacity) = (0, 0);
        for worker in tables.workers.values().filter(|worker| worker.ready && worker.is_reachable) {
            free += u64::from(worker.free().accelerators);
            capacity += u64::from(worker.capacity.accelerators);
        }
        let kept = tables.urgent_arrivals.expected(now).min(capacity * MAX_PERCENT / 100);
        Headroom { free, kept }
    }

    /// Returns how many tasks of a step may be placed now, at most `most`.
    pub fn allowed(&self, now: Millis, candidate: &Candidate, accelerators: u32, most: u32) -> u32 {
        if accelerators == 0 || !yields(now, candidate) {
            return most;
        }
        let tasks = self.free.saturating_sub(self.kept) / u64::from(accelerators);
        most.min(u32::try_from(tasks).unwrap_or(u32::MAX))
    }

    /// Returns the number of accelerators that less urgent steps leave free.
    pub(super) fn kept(&self) -> u64 {
        self.kept
    }

    /// Notes that a number of accelerators is in use.
    pub fn take(&mut self, accelerators: u32) {
        self.free = self.free.saturating_sub(u64::from(accelerators));
    }
}

/// Tells whether a step leaves capacity free for more urgent ones: it is not one of them and has
/// enough time left.
fn yields(now: Millis, candidate: &Candidate) -> bool {
    let patience = candidate.latest_start.since(candidate.since).as_millis() as u64;
    let waited = now.since(candidate.since).as_millis() as u64;
    candidate.priority != 0 && !candidate.guaranteed && waited * 100 < patience * PATIENCE_PERCENT
}
