//! Slows best-effort tasks down before they disturb serving tasks on the same worker.
//!
//! How much a best-effort task disturbs others depends on the workload and changes within seconds,
//! so it is not predicted. Best-effort tasks back off at once when the tail latency of a serving
//! task comes near its bound, and speed up again in small steps.

use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::row;
use smallvec::SmallVec;

use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;

/// Share at which tasks work unless they are slowed, in percent.
const FULL_SPEED_PERCENT: u32 = 100;
/// Tail latency, in percent of its bound, from which best-effort tasks are slowed.
const SLOW_DOWN_PERCENT: u64 = 80;
/// Tail latency, in percent of its bound, from which best-effort tasks are stopped.
const STOP_PERCENT: u64 = 95;
/// Tail latency, in percent of its bound, up to which best-effort tasks may speed up.
const SPEED_UP_PERCENT: u64 = 65;
/// Share at which best-effort tasks start on a worker with serving tasks, in percent.
const INITIAL_SHARE_PERCENT: u32 = 20;
/// Increase of the share at a time, in percent.
const RISE_PERCENT: u32 = 10;
/// Minimum time after a change of the share before the next increase or slowdown.
const RISE_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum time after best-effort tasks were stopped before the first increase.
const BACK_OFF: Duration = Duration::from_millis(3000);

/// Share of full speed at which a worker's best-effort tasks work.
#[row]
pub struct Pace {
    /// Share, in percent.
    pub percent: u32,
    /// No increase or slowdown before this time; a stop is not delayed.
    pub hold_until: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { percent: INITIAL_SHARE_PERCENT, hold_until: Millis(0) }
    }
}

/// Returns the pace that follows a measurement: the tail latency in percent of its bound.
///
/// ```
/// use lavendergauge_lib::batch::pace;
/// use lavendergauge_lib::batch::pace::Pace;
/// use lavendergauge_lib::clock::Millis;
/// let full = Pace { percent: 100, hold_until: Millis(0) };
/// assert_eq!(pace::next(&full, Millis(1), 96).percent, 0);
/// assert_eq!(pace::next(&full, Millis(1), 85).percent, 50);
/// assert_eq!(pace::next(&full, Millis(1), 70).percent, 100);
/// ```
pub fn next(pace: &Pace, now: Millis, tail_percent: u64) -> Pace {
    if STOP_PERCENT <= tail_percent {
        return Pace { percent: 0, hold_until: now + BACK_OFF };
    }
    if SLOW_DOWN_PERCENT <= tail_percent {
        if now < pace.hold_until {
            return pace.clone();
        }
        return Pace { percent: pace.percent / 2, hold_until: now + RISE_INTERVAL };
    }
    if SPEED_UP_PERCENT < tail_percent || now < pace.hold_until || 100 <= pace.percent {
        return pace.clone();
    }
    Pace { percent: (pace.percent + RISE_PERCENT).min(100), hold_until: now + RISE_INTERVAL }
}

/// Sets the pace of each of the given workers that has serving tasks, and clears that of the others.
pub fn adjust(tables: &mut Tables, now: Millis, workers: &BTreeSet<key::Worker>) {
    for &key in workers {
        let Some(worker) = tables.workers.get(key) else { continue };
        let tail = worker
            .runs
            .iter()
            .filter_map(|run| tables.runs.get(*run))
            .filter(|run| matches!(run.phase, Phase::Running | Phase::Launching))
            .filter_map(|run| {
                let step = tables.step(run.task.instance)?;
                (u64::from(run.measure) * 100).checked_div(step.tail_latency_ms)
            })
            .max();
        let pace = tail.map(|tail| match &worker.pace {
            Some(pace) => next(pace, now, tail),
            None => next(&Pace::default(), now, tail),
        });
        let percent = pace.as_ref().map_or(FULL_SPEED_PERCENT, |pace| pace.percent);
        let off_pace: SmallVec<[key::Run; 8]> = worker
            .runs
            .iter()
            .copied()
            .filter(|run| tables.runs.get(*run).is_some_and(|run| run.pace_percent != percent))
            .collect();
        tables.unsent.extend(off_pace);
        tables.workers[key].pace = pace;
    }
}

/// Returns the share at which best-effort tasks of a worker should work, in percent.
pub fn due_percent(tables: &Tables, worker: key::Worker) -> u32 {
    tables
        .workers
        .get(worker)
        .and_then(|row| row.pace.as_ref())
        .map_or(FULL_SPEED_PERCENT, |pace| pace.percent)
}
