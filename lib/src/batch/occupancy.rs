//! How much of the fleet is in use while steps wait, for the log.

use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;

use crate::batch::event::Event;
use crate::batch::headroom;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Least time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Accelerators and workers that take work, and how many of them are free.
#[value]
#[derive(Copy, Default)]
pub struct Occupancy {
    /// Workers that take new work.
    pub workers: u32,
    /// Of these, workers without a run.
    pub idle_workers: u32,
    /// Accelerators of the workers.
    pub accelerators: u64,
    /// Accelerators that no run occupies.
    pub free: u64,
    /// Workers that less urgent steps leave to urgent ones.
    pub headroom: usize,
    /// Steps that wait for workers.
    pub waiting: usize,
}

/// When the occupancy was logged last.
#[row]
#[derive(Default)]
pub struct State {
    noted_at: Option<Millis>,
}

/// Logs the occupancy while steps wait, at most once a second; it visits all workers.
pub(super) fn note(tables: &mut Tables, now: Millis, waiting: usize, events: &mut Vec<Event>) {
    let is_recent = tables.occupancy.noted_at.is_some_and(|at| now.since(at) < LOG_INTERVAL);
    if waiting == 0 || is_recent {
        return;
    }
    tables.occupancy.noted_at = Some(now);
    let headroom = headroom::workers(tables, now).len();
    let mut occupancy = Occupancy { headroom, waiting, ..Occupancy::default() };
    for worker in tables.workers.values().filter(|worker| worker.ready && worker.is_reachable) {
        occupancy.workers += 1;
        occupancy.idle_workers += u32::from(worker.runs.is_empty());
        occupancy.accelerators += u64::from(worker.capacity.accelerators);
        occupancy.free += u64::from(worker.free().accelerators);
    }
    events.push(Event::Occupancy(occupancy));
}
