//! Workers that less urgent work leaves to the most urgent jobs.
//!
//! The load that this answers: less urgent jobs of many small tasks fill the fleet, and urgent gangs
//! arrive several times a second. Each of them would stop other runs, which costs those their work
//! and the gang the time that the stops take. Less urgent jobs usually have much more time than they
//! need, so they wait for a part of it instead, while urgent jobs keep arriving.
//!
//! What is left free is whole workers, as far as there are such. As many free accelerators in
//! remainders beside other runs would not hold a task that needs most of a worker, or one whose
//! processors or memory the other runs occupy.

use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;

use crate::batch::job::Step;
use crate::batch::rank::Candidate;
use crate::batch::table::Job;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::fair;
use crate::key;
use crate::resource::Resources;

/// Period over which arrivals of urgent jobs are observed.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for whose arrivals of urgent jobs workers are left free.
const COVER: Duration = Duration::from_millis(1600);
/// Maximum share of the workers that is left free.
const MAX_SHARE: f64 = 0.15;
/// Share of the workers whose free capacity ends the need to leave any free.
const AMPLE_SHARE: f64 = 0.5;
/// Maximum number of arrivals that are remembered.
const MAX_ARRIVALS: usize = 256;
/// Share of the time before its latest start for which a less urgent step leaves workers free, in
/// percent.
const PATIENCE_PERCENT: u64 = 40;

/// Tasks that a job needs to run at a time.
#[token]
pub struct Need {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of one task.
    pub each: Resources,
}

impl Need {
    /// Returns the need of a job's widest step.
    pub(super) fn of(job: &Job) -> Need {
        let size = |step: &&Step| (step.accelerators.saturating_mul(step.tasks), step.tasks);
        let widest = job.steps().iter().max_by_key(size);
        widest.map_or(Need { tasks: 0, each: Resources::default() }, |step| Need {
            tasks: step.tasks,
            each: step.resources(),
        })
    }
}

/// Recent arrivals of the most urgent jobs.
#[row]
#[derive(Default)]
pub struct Arrivals {
    /// When each job arrived, and what it needs, by time.
    recent: VecDeque<(Millis, Need)>,
}

impl Arrivals {
    /// Records the arrival of a job.
    ///
    /// ```
    /// use lavendergauge_lib::batch::headroom::Arrivals;
    /// use lavendergauge_lib::batch::headroom::Need;
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::resource::Resources;
    /// let worker = Resources { accelerators: 8, processors: 64_000, memory_mb: 1000 };
    /// let each = Resources { accelerators: 4, processors: 64_000, memory_mb: 100 };
    /// let mut arrivals = Arrivals::default();
    /// arrivals.record(Millis(1000), Need { tasks: 10, each });
    /// assert_eq!(arrivals.expected(Millis(2000), worker), 4.0);
    /// assert_eq!(arrivals.expected(Millis(9000), worker), 0.0);
    /// ```
    pub fn record(&mut self, at: Millis, need: Need) {
        // After a takeover the jobs are loaded in any order, so the newest are not always the last.
        let index = self.recent.partition_point(|(earlier, _)| *earlier <= at);
        self.recent.insert(index, (at, need));
        if MAX_ARRIVALS < self.recent.len() {
            self.recent.pop_front();
        }
    }

    /// Tells whether jobs have arrived in the observed period.
    fn are_recent(&self, now: Millis) -> bool {
        self.recent.iter().any(|(at, _)| now.since(*at) < WINDOW)
    }

    /// Returns how many workers of a capacity the jobs of the next while are expected to need.
    pub fn expected(&self, now: Millis, worker: Resources) -> f64 {
        let workers = |need: &Need| f64::from(need.tasks) * fair::dominant(need.each, worker);
        let in_window: f64 = self
            .recent
            .iter()
            .filter(|(at, _)| *at <= now && now.since(*at) < WINDOW)
            .map(|(_, need)| workers(need))
            .sum();
        in_window * COVER.as_secs_f64() / WINDOW.as_secs_f64()
    }
}

/// Returns the workers to leave free, those with the most free capacity; none while most of the fleet
/// is free.
pub fn workers(tables: &Tables, now: Millis) -> Vec<key::Worker> {
    if !tables.urgent_arrivals.are_recent(now) {
        return Vec::new();
    }
    let mut free: Vec<(f64, key::Worker)> = Vec::new();
    let mut expected: f64 = 0.0;
    let mut capacity = Resources::default();
    for (key, worker) in &tables.workers {
        if !worker.ready || !worker.is_reachable || worker.capacity.accelerators == 0 {
            continue;
        }
        let used = worker.capacity.minus(worker.free());
        free.push((1.0 - fair::dominant(used, worker.capacity), key));
        if capacity != worker.capacity {
            capacity = worker.capacity;
            expected = expected.max(tables.urgent_arrivals.expected(now, capacity));
        }
    }
    let count = free.len() as f64;
    let total: f64 = free.iter().map(|(part, _)| part).sum();
    if expected == 0.0 || count * AMPLE_SHARE <= total {
        return Vec::new();
    }
    let wanted = expected.min(count * MAX_SHARE);
    free.sort_unstable_by(|(one, key), (other, other_key)| {
        other.total_cmp(one).then(key.cmp(other_key))
    });
    let mut covered = 0.0;
    free.into_iter()
        .take_while(|(part, _)| {
            let is_wanted = covered < wanted;
            covered += part;
            is_wanted
        })
        .map(|(_, key)| key)
        .collect()
}

/// Tells whether a step leaves workers free for more urgent ones: it is not one of them and has enough
/// time left.
pub fn yields(now: Millis, candidate: &Candidate) -> bool {
    let patience = candidate.latest_start.since(candidate.since).as_millis() as u64;
    let waited = now.since(candidate.since).as_millis() as u64;
    candidate.priority != 0 && !candidate.guaranteed && waited * 100 < patience * PATIENCE_PERCENT
}
