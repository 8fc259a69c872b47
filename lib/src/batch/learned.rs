//! What a leader has learned about workers and run times, as a value for the next leader.
//!
//! [`collect`] makes the value from the tables, [`differs`] tells whether it is worth a write, and
//! [`apply`] and [`settle`] use it in the next term. See docs/design/learned-state.md.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::batch::change::Change;
use crate::batch::speed;
use crate::batch::table;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;

/// Version of the digest's form; a value of another version is ignored.
pub const VERSION: u32 = 1;
/// Maximum size of the encoded digest with its envelope.
pub const MAX_BYTES: usize = 64 * 1024;
/// Part of [`MAX_BYTES`] for the envelope and the digest's own fields, which take less than 150.
const FRAME_BYTES: usize = 256;
/// Part of [`MAX_BYTES`] for run times, so that many accounts cannot displace the workers.
const RUN_TIME_BYTES: usize = MAX_BYTES / 8;
/// Encoded size of a worker beside its name, with each number at its longest.
const WORKER_BYTES: usize = 49;
/// Encoded size of a run time beside its names and ratios, with each number at its longest.
const RUN_TIME_FIXED_BYTES: usize = 23;
/// Encoded size of a ratio at its longest.
const RATIO_BYTES: usize = 5;
/// Age from which a digest is ignored: workers' failures and slow periods last seconds to minutes.
const MAX_AGE: Duration = Duration::from_secs(300);
/// Time by which a digest may have been written in the future, as VMs' clocks differ by seconds.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(5);
/// Age from which an unchanged digest is written again, well before it reaches [`MAX_AGE`].
const REFRESH_AGE_MS: u64 = 60_000;
/// Time for which an entry is kept for a worker that has not reported yet.
const MAX_PENDING: Duration = Duration::from_secs(60);
/// Age at which half of a worker's failures are forgotten.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(60);
/// Age at which the deviation of a worker's factor has doubled.
const DEVIATION_DOUBLING: Duration = Duration::from_secs(180);
/// Difference between two ends of an avoidance that is not worth a write, in milliseconds. It
/// covers steps of the wall clock between two digests, and is short against the first avoidance.
const AVOIDANCE_TOLERANCE_MS: u64 = 1000;
/// Difference between two factors that is not worth a write, in thousandths of the logarithm; it
/// changes a run time by 3 %.
const FACTOR_TOLERANCE_MILLI: u32 = 30;

/// What is known about one worker.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Worker {
    /// Name of the agent.
    #[serde(rename = "n")]
    pub node: String,
    /// The worker's incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Natural logarithm of the factor by which the worker takes longer than usual, in thousandths.
    #[serde(rename = "l")]
    pub log_factor_milli: i32,
    /// Deviation of `log_factor_milli`; 0 when nothing is known about the factor.
    #[serde(rename = "d")]
    pub deviation_milli: u32,
    /// Failures since the last successful run, see [`crate::batch::health::Health`].
    #[serde(rename = "f")]
    pub failures: u32,
    /// Time for which new work still avoids the worker, in milliseconds.
    #[serde(rename = "a")]
    pub avoided_ms: u64,
}

impl Worker {
    fn factor(&self) -> Option<Factor> {
        let (log_milli, deviation_milli) = (self.log_factor_milli, self.deviation_milli);
        (deviation_milli != 0).then_some(Factor { log_milli, deviation_milli })
    }

    fn says_nothing(&self) -> bool {
        self.failures == 0 && self.avoided_ms == 0 && self.deviation_milli == 0
    }

    /// Returns the entry as it is after a time in which nothing was observed.
    fn aged(&self, age: Duration) -> Worker {
        let age_ms = age.as_millis() as u64;
        let halvings = (age.as_secs() / FAILURE_HALF_LIFE.as_secs()).min(31) as u32;
        let added = u64::from(self.deviation_milli).saturating_mul(age_ms)
            / DEVIATION_DOUBLING.as_millis() as u64;
        let added = u32::try_from(added).unwrap_or(u32::MAX);
        Worker {
            failures: self.failures >> halvings,
            avoided_ms: self.avoided_ms.saturating_sub(age_ms),
            deviation_milli: self.deviation_milli.saturating_add(added),
            ..self.clone()
        }
    }
}

/// How long work takes relative to its estimate.
#[value]
#[derive(Serialize, Deserialize)]
pub struct RunTime {
    /// Name of the queue.
    #[serde(rename = "q")]
    pub queue: String,
    /// Name of the client account; empty for the queue as a whole.
    #[serde(rename = "a")]
    pub account: String,
    /// Ratios of the run time to the estimate at a few quantiles, in thousandths.
    #[serde(rename = "r")]
    pub ratios_permille: SmallVec<[u32; 5]>,
    /// Number of observations.
    #[serde(rename = "c")]
    pub count: u32,
}

/// What a leader has learned. Field names are short in the encoded form, which has a maximum size.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Version of the form.
    #[serde(rename = "v")]
    pub version: u32,
    /// Fencing token of the writer.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Time of writing, in Unix milliseconds.
    #[serde(rename = "t")]
    pub written_ms: u64,
    /// Workers.
    #[serde(rename = "w")]
    pub workers: Vec<Worker>,
    /// Run times.
    #[serde(rename = "r")]
    pub run_times: Vec<RunTime>,
}

/// What is known about a worker's speed.
#[value]
#[derive(Copy)]
pub struct Factor {
    /// Natural logarithm of the factor by which it takes longer than usual, in thousandths.
    pub log_milli: i32,
    /// Deviation of `log_milli`.
    pub deviation_milli: u32,
}

/// An entry for a worker whose incarnation is not known yet.
#[row]
pub struct Pending {
    /// The entry, as it was at `received`.
    pub worker: Worker,
    /// When it was applied.
    pub received: Millis,
}

/// Why a digest is ignored as a whole.
#[token]
pub enum Cause {
    /// Its version is another one.
    Version,
    /// It is too old.
    Old,
    /// It is from the future.
    Future,
}

impl Cause {
    /// Returns the cause's name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::learned::Cause::Old.name(), "too-old");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Cause::Version => "other-version",
            Cause::Old => "too-old",
            Cause::Future => "from-the-future",
        }
    }
}

/// What became of an entry.
#[token]
pub enum Settled {
    /// There is none for the worker.
    Absent,
    /// It waits for the worker's first report.
    Pending,
    /// It is used.
    Used,
    /// The worker has another incarnation.
    Restarted,
    /// The worker has completed a run in this term.
    Superseded,
    /// It is too old to say anything.
    Expired,
}

/// What became of a digest's entries.
#[value]
#[derive(Default)]
pub struct Outcome {
    /// Age of the digest, in milliseconds.
    pub age_ms: u64,
    /// Number of workers whose entries are used.
    pub used: usize,
    /// Number of workers whose entries wait for a report.
    pub pending: usize,
    /// Number of workers that have another incarnation.
    pub restarted: usize,
    /// Number of workers that have completed a run in this term.
    pub superseded: usize,
    /// Number of entries that are too old to say anything, or beyond the maximum.
    pub expired: usize,
    /// Workers that are avoided from now on, for the log.
    pub changes: Vec<Change>,
}

impl Outcome {
    /// Returns the number of entries that are neither used nor pending.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::learned::Outcome::default().ignored(), 0);
    /// ```
    pub fn ignored(&self) -> usize {
        self.restarted + self.superseded + self.expired
    }
}

/// Returns what is known about a worker's speed.
pub fn worker_factor(worker: &table::Worker) -> Option<Factor> {
    let (log_milli, deviation_milli) = speed::export(&worker.speed)?;
    Some(Factor { log_milli, deviation_milli })
}

/// Sets what an earlier leader knew about a worker's speed, reduced in weight by its age.
pub fn set_worker_factor(worker: &mut table::Worker, factor: Factor, now: Millis) {
    speed::restore(&mut worker.speed, now, factor.log_milli, factor.deviation_milli);
}

/// Returns what is known about run times, the most important first; nothing until a model of run
/// times is connected.
pub fn run_times(_tables: &Tables) -> Vec<RunTime> {
    Vec::new()
}

/// Sets what an earlier leader knew about run times; without effect until a model of run times is
/// connected.
pub fn set_run_time(_tables: &mut Tables, _run_time: &RunTime, _age: Duration) {}

/// Returns what the leader with a fencing token has learned, of at most [`MAX_BYTES`] when encoded.
///
/// Where not all workers fit, those with most to say come first: the longest avoidance, the most
/// failures, the smallest deviation of the factor.
///
/// ```
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::learned;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let tables = Tables::new(bounds, Millis(0));
/// assert!(learned::collect(&tables, Millis(0), 1_700_000_000_000, 7).workers.is_empty());
/// ```
pub fn collect(tables: &Tables, now: Millis, wall_ms: u64, fence: u64) -> Digest {
    let known = tables.workers.values().filter(|worker| worker.incarnation != 0).map(|worker| {
        let factor = worker_factor(worker);
        Worker {
            node: worker.node.clone(),
            incarnation: worker.incarnation,
            log_factor_milli: factor.map_or(0, |factor| factor.log_milli),
            deviation_milli: factor.map_or(0, |factor| factor.deviation_milli),
            failures: worker.health.failures,
            avoided_ms: worker.health.avoided_until.since(now).as_millis() as u64,
        }
    });
    let pending = tables.learned.values().filter_map(|pending| {
        let age = now.since(pending.received);
        (age <= MAX_PENDING).then(|| pending.worker.aged(age))
    });
    let mut workers: Vec<Worker> =
        known.chain(pending).filter(|worker| !worker.says_nothing()).collect();
    workers.sort_unstable_by(|a, b| {
        let claim = |worker: &Worker| {
            let deviation = Reverse(worker.deviation_milli.wrapping_sub(1));
            (worker.avoided_ms, worker.failures, deviation)
        };
        claim(b).cmp(&claim(a)).then_with(|| a.node.cmp(&b.node))
    });
    let run_time_bytes = |run_time: &RunTime| {
        let names = run_time.queue.len() + run_time.account.len();
        RUN_TIME_FIXED_BYTES + names + RATIO_BYTES * run_time.ratios_permille.len()
    };
    let mut run_times = run_times(tables);
    let used_bytes = truncate(&mut run_times, RUN_TIME_BYTES, run_time_bytes);
    let worker_bytes = |worker: &Worker| WORKER_BYTES + worker.node.len();
    truncate(&mut workers, MAX_BYTES - FRAME_BYTES - used_bytes, worker_bytes);
    Digest { version: VERSION, fence, written_ms: wall_ms, workers, run_times }
}

/// Drops the rows from the first one that does not fit; returns the size of the others.
fn truncate<T>(rows: &mut Vec<T>, max_bytes: usize, bytes: impl Fn(&T) -> usize) -> usize {
    let mut total = 0;
    let fitting = rows.iter().take_while(|row| {
        let size = bytes(row);
        let fits = total + size <= max_bytes;
        total += if fits { size } else { 0 };
        fits
    });
    let count = fitting.count();
    rows.truncate(count);
    total
}

/// Tells whether a digest differs enough from the last one written to be worth a write.
///
/// ```
/// use lavendergauge_lib::batch::learned;
/// use lavendergauge_lib::batch::learned::Digest;
/// let digest = Digest { version: 1, fence: 7, written_ms: 0, workers: vec![], run_times: vec![] };
/// assert!(!learned::differs(&digest, &digest));
/// ```
pub fn differs(written: &Digest, digest: &Digest) -> bool {
    if written.workers.is_empty() && digest.workers.is_empty() && digest.run_times.is_empty() {
        return !written.run_times.is_empty();
    }
    if REFRESH_AGE_MS <= digest.written_ms.abs_diff(written.written_ms)
        || written.workers.len() != digest.workers.len()
        || written.run_times.len() != digest.run_times.len()
    {
        return true;
    }
    let by_node: BTreeMap<&str, &Worker> =
        written.workers.iter().map(|worker| (worker.node.as_str(), worker)).collect();
    // A digest whose own time is later says when an avoidance ends by the same clock.
    let avoided_until = |written_ms: u64, worker: &Worker| {
        written_ms.saturating_add(worker.avoided_ms).max(digest.written_ms)
    };
    let worker_differs = |worker: &Worker| {
        let Some(known) = by_node.get(worker.node.as_str()) else { return true };
        let avoidance = avoided_until(written.written_ms, known)
            .abs_diff(avoided_until(digest.written_ms, worker));
        known.incarnation != worker.incarnation
            || known.failures != worker.failures
            || AVOIDANCE_TOLERANCE_MS < avoidance
            || FACTOR_TOLERANCE_MILLI < known.log_factor_milli.abs_diff(worker.log_factor_milli)
            || is_far(known.deviation_milli, worker.deviation_milli)
    };
    let run_time_differs = |(known, run_time): (&RunTime, &RunTime)| {
        let ratios = known.ratios_permille.iter().zip(&run_time.ratios_permille);
        (&known.queue, &known.account) != (&run_time.queue, &run_time.account)
            || known.ratios_permille.len() != run_time.ratios_permille.len()
            || ratios.into_iter().any(|(a, b)| is_far(*a, *b))
    };
    digest.workers.iter().any(worker_differs)
        || written.run_times.iter().zip(&digest.run_times).any(run_time_differs)
}

/// Tells whether two numbers differ by more than a quarter of the larger one.
fn is_far(a: u32, b: u32) -> bool {
    a.max(b) / 4 < a.abs_diff(b)
}

/// Uses a digest that was read at `now`: the entries of known workers at once, the others when
/// their workers report, see [`settle`].
///
/// # Errors
/// Why the digest is ignored as a whole.
///
/// ```
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::learned;
/// use lavendergauge_lib::batch::learned::Cause;
/// use lavendergauge_lib::batch::learned::Digest;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let mut tables = Tables::new(bounds, Millis(0));
/// let digest = Digest { version: 0, fence: 7, written_ms: 0, workers: vec![], run_times: vec![] };
/// assert_eq!(learned::apply(&mut tables, Millis(0), 0, digest), Err(Cause::Version));
/// ```
pub fn apply(
    tables: &mut Tables,
    now: Millis,
    wall_ms: u64,
    digest: Digest,
) -> Result<Outcome, Cause> {
    if digest.version != VERSION {
        return Err(Cause::Version);
    }
    if MAX_CLOCK_LEAD < Millis(digest.written_ms).since(Millis(wall_ms)) {
        return Err(Cause::Future);
    }
    let age = Millis(wall_ms).since(Millis(digest.written_ms));
    if MAX_AGE < age {
        return Err(Cause::Old);
    }
    let mut outcome = Outcome { age_ms: age.as_millis() as u64, ..Outcome::default() };
    let max_workers = MAX_BYTES / WORKER_BYTES;
    outcome.expired += digest.workers.len().saturating_sub(max_workers);
    for worker in digest.workers.into_iter().take(max_workers) {
        let node = worker.node.clone();
        let pending = Pending { worker: worker.aged(age), received: now };
        tables.learned.insert(node.clone(), pending);
        let key = tables.nodes.get(&node).copied();
        let settled =
            key.map_or(Settled::Pending, |key| settle(tables, now, key, &mut outcome.changes));
        match settled {
            Settled::Used => outcome.used += 1,
            Settled::Pending => outcome.pending += 1,
            Settled::Restarted => outcome.restarted += 1,
            Settled::Superseded => outcome.superseded += 1,
            Settled::Expired | Settled::Absent => outcome.expired += 1,
        }
    }
    for run_time in &digest.run_times {
        set_run_time(tables, run_time, age);
    }
    Ok(outcome)
}

/// Uses or drops the pending entry of a worker once its incarnation is known.
///
/// ```
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::learned;
/// use lavendergauge_lib::batch::learned::Settled;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let mut tables = Tables::new(bounds, Millis(0));
/// let key = tables.worker_at("side-1", Millis(0));
/// let settled = learned::settle(&mut tables, Millis(0), key, &mut Vec::new());
/// assert_eq!(settled, Settled::Absent);
/// ```
pub fn settle(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    changes: &mut Vec<Change>,
) -> Settled {
    let Some(worker) = tables.workers.get_mut(key) else { return Settled::Absent };
    let Some(pending) = tables.learned.get(&worker.node) else { return Settled::Absent };
    let incarnation = pending.worker.incarnation;
    // The agent may report the earlier incarnation until it notices a restart.
    if worker.incarnation < incarnation {
        return Settled::Pending;
    }
    let age = now.since(pending.received);
    let entry = pending.worker.aged(age);
    tables.learned.remove(&worker.node);
    if worker.incarnation != incarnation {
        return Settled::Restarted;
    }
    if MAX_PENDING < age || entry.says_nothing() {
        return Settled::Expired;
    }
    if let Some(factor) = entry.factor() {
        set_worker_factor(worker, factor, now);
    }
    if worker.health.has_succeeded {
        return Settled::Superseded;
    }
    worker.health.restore(now, entry.failures, Duration::from_millis(entry.avoided_ms));
    if worker.health.is_avoided(now) {
        let avoided_ms = worker.health.avoided_until.since(now).as_millis() as u64;
        changes.push(Change::Recalled { worker: worker.id.clone(), avoided_ms });
    }
    Settled::Used
}
