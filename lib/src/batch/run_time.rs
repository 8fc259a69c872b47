//! Learns how long work takes relative to its estimates, per queue and account.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::event::Event;
use crate::batch::job::Step;
use crate::batch::rank;
use crate::batch::report::Ending;
use crate::batch::speed;
use crate::batch::table::Job;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::TaskState;
use crate::clock::Millis;
use crate::key;

/// Quantile of the run time by which work is ranked and priced.
pub const USUAL: f64 = 0.5;
/// Quantile of the run time that is logged besides the usual one.
const TAIL: f64 = 0.9;
/// Number of quantile points that are kept of a distribution.
const POINTS: usize = 16;
/// Ratio of work whose estimate is right, in permille.
const UNIT_PERMILLE: u16 = 1000;
/// Significant decimal digits of recorded ratios; changes below a tenth have no effect.
const PRECISION: u8 = 2;
/// Weight of one observation in the histogram, so that it can be divided among the tasks of a step.
const OBSERVATION: u32 = 256;
/// Weight of the estimate itself, in observations. It outweighs the few outliers among the first
/// observations.
const PRIOR_OBSERVATIONS: u32 = 4;
/// Ratio in permille and weight of the estimate itself.
const PRIOR: (u64, u64) = (UNIT_PERMILLE as u64, (PRIOR_OBSERVATIONS * OBSERVATION) as u64);
/// Time after which an observation has half its weight: long enough for tens of jobs of an
/// account, short enough to follow a change of its work within a burst.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Maximum number of queues and accounts whose run times are kept; about 5 KB each.
const MAX_ACCOUNTS: usize = 512;
/// Maximum number of observations that a restored summary counts as. Later ones outweigh them within
/// minutes if the summary is wrong.
const MAX_RESTORED: u32 = 64;
/// Maximum number of accounts whose assumed ratios change in one tick.
const MAX_CHANGES: usize = 16;
/// Divisor of a point; a smaller change does not replace the points that decisions read.
const CHANGE_DIVISOR: u16 = 10;
/// Percentage points since a run was first listed, beyond which its pace predicts its end.
const PACE_PERCENT: u64 = 2;
/// Highest share of work at the first listing of a run from which its whole run time is derived, in
/// percent. Beyond it, the part that was observed is too short.
const MAX_FIRST_PERCENT: u32 = 50;
/// Longest time that the model returns, in milliseconds: multiples and sums of it fit into 64 bits,
/// whatever estimate a caller gives.
const MAX_MS: u64 = 1 << 48;
/// Highest quantile by which a run that outlived all others is extrapolated.
const MAX_QUANTILE: f64 = 0.95;

/// Quantile points of a distribution of ratios, in permille, in ascending order.
///
/// Point `i` is the quantile `(i + 0.5) / POINTS`; between points it is interpolated.
#[token]
struct Curve([u16; POINTS]);

impl Default for Curve {
    fn default() -> Self {
        Curve([UNIT_PERMILLE; POINTS])
    }
}

impl Curve {
    /// Returns the ratio at a quantile.
    fn ratio(&self, quantile: f64) -> f64 {
        let position = (quantile * POINTS as f64 - 0.5).clamp(0.0, (POINTS - 1) as f64);
        let below = position as usize;
        let above = (below + 1).min(POINTS - 1);
        let (low, high) = (f64::from(self.0[below]), f64::from(self.0[above]));
        (low + (high - low) * (position - below as f64)) / f64::from(UNIT_PERMILLE)
    }

    /// Returns the share of work whose ratio is at most `ratio`.
    fn share_up_to(&self, ratio: f64) -> f64 {
        let permille = ratio * f64::from(UNIT_PERMILLE);
        let reached = self.0.partition_point(|point| f64::from(*point) <= permille);
        if reached == 0 || reached == POINTS {
            return if reached == 0 { 0.0 } else { 1.0 };
        }
        let (low, high) = (f64::from(self.0[reached - 1]), f64::from(self.0[reached]));
        (reached as f64 - 0.5 + (permille - low) / (high - low)) / POINTS as f64
    }

    /// Returns the ratio at a quantile of the work whose ratio is higher than `worked`; `None` if
    /// no known work took that long.
    fn ratio_beyond(&self, worked: f64, quantile: f64) -> Option<f64> {
        let share = self.share_up_to(worked);
        (share < 1.0).then(|| self.ratio(share + (1.0 - share) * quantile).max(worked))
    }

    /// Tells whether a point differs by more than a tenth.
    fn has_moved(&self, other: &Curve) -> bool {
        self.0
            .iter()
            .zip(&other.0)
            .any(|(point, other)| *point.min(other) / CHANGE_DIVISOR < point.abs_diff(*other))
    }
}

/// A run that takes longer than usual and has not ended.
#[token]
struct Overdue {
    /// Lower bound of its ratio, in permille.
    permille: u16,
    weight: u32,
}

/// Run times of one account's work in one queue.
#[row]
struct Account {
    /// Ratios in permille, weighted.
    ratios: Histogram<u32>,
    /// Runs that have worked longer than the assumed median, with a lower bound of their ratio.
    overdue: BTreeMap<key::Run, Overdue>,
    /// The points that decisions read.
    assumed: Curve,
    /// Whether `ratios` changed since it was compared with `assumed`.
    has_changed: bool,
    observed_at: Millis,
    halved_at: Millis,
}

impl Account {
    fn new(now: Millis) -> Option<Self> {
        let ratios = Histogram::new_with_bounds(1, u64::from(u16::MAX), PRECISION).ok()?;
        Some(Account {
            ratios,
            overdue: BTreeMap::new(),
            assumed: Curve::default(),
            has_changed: false,
            observed_at: now,
            halved_at: now,
        })
    }

    fn record(&mut self, ratio: f64, weight: u32, now: Millis) {
        self.ratios.saturating_record_n(u64::from(permille(ratio)), weight);
        self.has_changed = true;
        self.observed_at = now;
    }

    /// Raises the lower bound of the ratio of a run that has not ended, if it grew by a tenth.
    fn record_overdue(&mut self, run: key::Run, overdue: Overdue, now: Millis) {
        let known = self.overdue.get(&run).map_or(0, |known| known.permille);
        if overdue.permille <= known.saturating_add(known / CHANGE_DIVISOR) {
            return;
        }
        self.overdue.insert(run, overdue);
        self.has_changed = true;
        self.observed_at = now;
    }

    /// Halves the weights once for each half-life that has passed.
    fn age(&mut self, now: Millis) {
        let halvings = (now.since(self.halved_at).as_millis() / HALF_LIFE.as_millis()).min(31);
        if halvings == 0 {
            return;
        }
        let before = self.ratios.clone();
        self.ratios.reset();
        for bin in before.iter_recorded() {
            let count = bin.count_at_value() >> halvings;
            self.ratios.saturating_record_n(bin.value_iterated_to(), count);
        }
        self.halved_at = self.halved_at + HALF_LIFE * halvings as u32;
        self.has_changed = true;
    }

    /// Computes the points that decisions read: of the observed ratios, of the lower bounds of
    /// overdue runs, and of the estimate itself.
    fn expected(&self) -> Curve {
        let bound = |run: &Overdue| (u64::from(run.permille), u64::from(run.weight));
        self.curve(self.overdue.values().map(bound).chain([PRIOR]))
    }

    /// Computes the points of the observed ratios and of the estimate itself.
    fn known(&self) -> Curve {
        self.curve([PRIOR])
    }

    /// Computes the points of the observed ratios and of others with their weights.
    fn curve(&self, others: impl IntoIterator<Item = (u64, u64)>) -> Curve {
        let mut bins: Vec<(u64, u64)> = self
            .ratios
            .iter_recorded()
            .map(|bin| (self.ratios.median_equivalent(bin.value_iterated_to()), bin))
            .map(|(permille, bin)| (permille, u64::from(bin.count_at_value())))
            .collect();
        bins.extend(others);
        bins.sort_unstable();
        let total: u64 = bins.iter().map(|(_, count)| count).sum();
        let mut bins = bins.into_iter();
        let (mut permille, mut passed) = (u64::from(UNIT_PERMILLE), 0);
        let mut curve = Curve::default();
        for (index, point) in curve.0.iter_mut().enumerate() {
            let target = total * (2 * index as u64 + 1);
            while passed * 2 * (POINTS as u64) < target {
                let Some((value, count)) = bins.next() else { break };
                (permille, passed) = (value, passed + count);
            }
            *point = permille.clamp(1, u64::from(u16::MAX)) as u16;
        }
        curve
    }

    fn observations(&self) -> u32 {
        (self.ratios.len() / u64::from(OBSERVATION)).min(u64::from(u32::MAX)) as u32
    }
}

/// Returns a ratio in permille, limited to the range that is kept.
fn permille(ratio: f64) -> u16 {
    (ratio * f64::from(UNIT_PERMILLE)).clamp(1.0, f64::from(u16::MAX)) as u16
}

/// What was learned about the run times of each queue and account.
#[row]
#[derive(Default)]
pub struct RunTimes {
    /// Accounts by queue and name.
    queues: BTreeMap<String, BTreeMap<String, Account>>,
    /// Whether the ratios of an account changed since the last [`refresh`].
    has_changed: bool,
    /// When weights are next halved.
    ages_at: Millis,
}

impl RunTimes {
    /// Returns the number of queues and accounts whose run times are kept.
    ///
    /// ```
    /// use lavendergauge_lib::batch::run_time::RunTimes;
    /// assert!(RunTimes::default().is_empty());
    /// ```
    pub fn len(&self) -> usize {
        self.queues.values().map(BTreeMap::len).sum()
    }

    /// Tells whether nothing has been learned.
    ///
    /// ```
    /// use lavendergauge_lib::batch::run_time::RunTimes;
    /// assert_eq!(RunTimes::default().len(), 0);
    /// ```
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    fn account(&self, queue: &str, account: &str) -> Option<&Account> {
        self.queues.get(queue)?.get(account)
    }

    /// Returns an account's row, which is added if it is missing.
    fn account_mut(&mut self, queue: &str, account: &str, now: Millis) -> Option<&mut Account> {
        if self.account(queue, account).is_none() {
            if MAX_ACCOUNTS <= self.len() {
                self.drop_oldest();
            }
            let accounts = self.queues.entry(queue.to_owned()).or_default();
            accounts.insert(account.to_owned(), Account::new(now)?);
        }
        self.queues.get_mut(queue)?.get_mut(account)
    }

    /// Drops the account that was observed least recently.
    fn drop_oldest(&mut self) {
        let oldest = self
            .queues
            .iter()
            .flat_map(|(queue, accounts)| {
                accounts.iter().map(move |(name, row)| (row, queue, name))
            })
            .min_by_key(|(row, _, _)| row.observed_at)
            .map(|(_, queue, name)| (queue.clone(), name.clone()));
        let Some((queue, name)) = oldest else { return };
        if let Some(accounts) = self.queues.get_mut(&queue) {
            accounts.remove(&name);
            if accounts.is_empty() {
                self.queues.remove(&queue);
            }
        }
    }
}

/// What was learned about an account's run times in a queue, in a compact form.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Name of the queue.
    pub queue: String,
    /// Name of the account.
    pub account: String,
    /// Number of observations that it represents.
    pub observations: u32,
    /// Ratios of run times to estimates at evenly spaced quantiles, in permille.
    pub points: [u16; POINTS],
}

/// Returns the factor by which a worker takes longer than usual; 1 while unknown.
pub fn factor(tables: &Tables, worker: key::Worker) -> f64 {
    tables.workers.get(worker).map_or(1.0, |row| speed::factor(&row.speed))
}

/// Returns the ratio of the run time of a job's steps to their estimates, at a quantile; 1 while the
/// model is off or too few runs of the job's account in its queue were observed.
///
/// ```
/// # use lavendergauge_lib::batch::{config::Bounds, job::{Id, Intent, Record, Step, Submission}};
/// # use lavendergauge_lib::batch::{run_time, table::Tables};
/// # use lavendergauge_lib::clock::Millis;
/// # let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 0 };
/// # let mut tables = Tables::new(bounds, Millis(0));
/// # let (queue, account) = (Default::default(), "brno".into());
/// # let step = Step { tasks: 1, estimate_ms: 900, ..Step::default() };
/// # let submission = Submission { steps: vec![step.clone()], ..Submission::default() };
/// # let record = Record { submission, queue, account, accepted_ms: 0, intent: Intent::Wanted };
/// # tables.add_job(Id(1), Millis(0), record);
/// assert_eq!(run_time::ratio(&tables, &tables.jobs[&Id(1)], run_time::USUAL), 1.0);
/// ```
pub fn ratio(tables: &Tables, job: &Job, quantile: f64) -> f64 {
    if !job.steps().iter().any(is_learnable) {
        return 1.0;
    }
    curve_of(tables, job).ratio(quantile)
}

/// Returns the ratio of run times to estimates in a queue at a quantile: the median over its
/// accounts and the prior that estimates are right, each with equal weight.
///
/// No decision about an account depends on it, so that estimates of one account do not change what
/// is assumed for others.
///
/// ```
/// use lavendergauge_lib::batch::run_time;
/// assert_eq!(run_time::queue_ratio(&run_time::RunTimes::default(), "q", 0.9), 1.0);
/// ```
pub fn queue_ratio(run_times: &RunTimes, queue: &str, quantile: f64) -> f64 {
    let accounts = run_times.queues.get(queue).into_iter().flat_map(BTreeMap::values);
    let mut ratios: Vec<f64> = accounts.map(|row| row.assumed.ratio(quantile)).collect();
    ratios.push(1.0);
    ratios.sort_unstable_by(f64::total_cmp);
    ratios[(ratios.len() - 1) / 2]
}

/// Returns the expected run time of a task of a job's step at the usual speed, at a quantile, in
/// milliseconds.
///
/// ```
/// # use lavendergauge_lib::batch::{config::Bounds, job::{Id, Intent, Record, Step, Submission}};
/// # use lavendergauge_lib::batch::{run_time, table::Tables};
/// # use lavendergauge_lib::clock::Millis;
/// # let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 0 };
/// # let mut tables = Tables::new(bounds, Millis(0));
/// # let (queue, account) = (Default::default(), "brno".into());
/// # let step = Step { tasks: 1, estimate_ms: 900, ..Step::default() };
/// # let submission = Submission { steps: vec![step.clone()], ..Submission::default() };
/// # let record = Record { submission, queue, account, accepted_ms: 0, intent: Intent::Wanted };
/// # tables.add_job(Id(1), Millis(0), record);
/// let job = &tables.jobs[&Id(1)];
/// assert_eq!(run_time::expected_ms(&tables, job, &step, run_time::USUAL), 900);
/// ```
pub fn expected_ms(tables: &Tables, job: &Job, step: &Step, quantile: f64) -> u64 {
    if !is_learnable(step) {
        return rank::estimated_ms(step);
    }
    scale(rank::estimated_ms(step), ratio(tables, job, quantile))
}

/// Returns the remaining time of a run at a quantile, in milliseconds.
///
/// With progress it follows the run's pace. Without, it is the rest of the work that takes longer
/// than the run has worked; a run that outlived all known work is taken to follow a heavy-tailed
/// distribution, with a median rest as long as the time that it has worked.
///
/// ```
/// # use lavendergauge_lib::batch::{config::Bounds, job::{Id, Intent, Record, Step, Submission}};
/// # use lavendergauge_lib::batch::{run_time, table::Tables};
/// # use lavendergauge_lib::clock::Millis;
/// # let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 0 };
/// # let mut tables = Tables::new(bounds, Millis(0));
/// # let (queue, account) = (Default::default(), "brno".into());
/// # let step = Step { tasks: 1, estimate_ms: 900, ..Step::default() };
/// # let submission = Submission { steps: vec![step.clone()], ..Submission::default() };
/// # let record = Record { submission, queue, account, accepted_ms: 0, intent: Intent::Wanted };
/// # tables.add_job(Id(1), Millis(0), record);
/// # use lavendergauge_lib::batch::{job::{StepInstance, Task}, table::{Phase, Run}};
/// # let task = Task { instance: StepInstance { job: Id(1), occurrence: 0, step: 0 }, index: 0 };
/// # let worker = Default::default();
/// let run = Run::new(task, 1, worker, 1, Phase::Running, Millis(0));
/// assert_eq!(run_time::remaining_ms(&tables, &step, &run, Millis(300), run_time::USUAL), 600);
/// ```
pub fn remaining_ms(tables: &Tables, step: &Step, run: &Run, now: Millis, quantile: f64) -> u64 {
    let gained = u64::from(run.percent.saturating_sub(run.first_percent));
    let worked_ms = now.since(run.seen_at.unwrap_or(run.since)).as_millis() as u64;
    if run.seen_at.is_some() && PACE_PERCENT < gained {
        return worked_ms * u64::from(100u32.saturating_sub(run.percent)) / gained;
    }
    let estimate_ms = rank::estimated_ms(step);
    let job = tables.jobs.get(&run.task.instance.job);
    let Some(job) = job.filter(|_| is_learnable(step)) else {
        return estimate_ms.saturating_sub(now.since(run.since).as_millis() as u64);
    };
    let scale_ms = estimate_ms as f64 * factor(tables, run.worker);
    let worked = worked_ms as f64 / scale_ms;
    let rest = match curve_of(tables, job).ratio_beyond(worked, quantile) {
        Some(whole) => whole - worked,
        None => {
            let quantile = quantile.clamp(0.0, MAX_QUANTILE);
            worked * quantile / (1.0 - quantile)
        }
    };
    ((scale_ms * rest).round() as u64).min(MAX_MS)
}

/// Multiplies a time by a ratio; the result is at most `MAX_MS` unless the ratio is 1.
pub(super) fn scale(ms: u64, ratio: f64) -> u64 {
    if ratio == 1.0 { ms } else { ((ms as f64 * ratio).round() as u64).min(MAX_MS) }
}

/// Records the end of a run that was current and has just been removed.
pub(super) fn observe_end(
    tables: &mut Tables,
    now: Millis,
    key: key::Run,
    run: &Run,
    ending: Ending,
) {
    forget_overdue(tables, key, run);
    match ending {
        Ending::Done => observe_done(tables, now, run),
        Ending::Over => observe_stopped(tables, now, key, run),
        // A failure is the worker's or the program's, and says nothing about the work.
        Ending::Failed => {}
    }
}

fn observe_done(tables: &mut Tables, now: Millis, run: &Run) {
    let Some((step, task_states)) = observable(tables, run) else { return };
    let Some(task_state) = task_states.get(run.task.index as usize) else { return };
    let may_have_resumed = 1 < run.number && !task_state.checkpoint.is_empty();
    if task_state.done || may_have_resumed || MAX_FIRST_PERCENT < run.first_percent {
        return;
    }
    let listed_ms = now.since(run.seen_at.unwrap_or(run.since)).as_millis() as f64;
    let worked_ms = listed_ms * 100.0 / f64::from(100 - run.first_percent);
    let weight = if step.gang { OBSERVATION } else { OBSERVATION / step.tasks.max(1) };
    let ratio = worked_ms / (step.estimate_ms as f64 * slowest(tables, run, task_states));
    record(tables, now, run, ratio, weight.max(1));
}

/// Records that the work of a run that was stopped or lost takes longer than the run had worked
/// when it last progressed.
///
/// Below the median this shows nothing. Beyond, the run counts at the median of the ratios that
/// are still possible, and at the time that it worked if that exceeds all of them.
pub(super) fn observe_stopped(tables: &mut Tables, now: Millis, key: key::Run, run: &Run) {
    forget_overdue(tables, key, run);
    let Some((step, task_states)) = observable(tables, run) else { return };
    let Some(job) = tables.jobs.get(&run.task.instance.job) else { return };
    let worked = progressed_ms(run) / (step.estimate_ms as f64 * slowest(tables, run, task_states));
    // Without the bounds of overdue runs, to which the run itself may have belonged.
    let row = tables.run_times.account(&job.record.queue.name, &job.record.account);
    let curve = row.map_or(Curve::default(), Account::known);
    if worked <= curve.ratio(USUAL) {
        return;
    }
    let ratio = curve.ratio_beyond(worked, USUAL).unwrap_or(worked);
    record(tables, now, run, ratio, (OBSERVATION / step.tasks.max(1)).max(1));
}

/// Records that a run that has just progressed takes longer than usual. Until it ends, the time that
/// it has worked counts as a lower bound of its run time.
pub(super) fn observe_progress(tables: &mut Tables, now: Millis, key: key::Run) {
    if !tables.policy.run_time_model {
        return;
    }
    let Some(run) = tables.runs.get(key) else { return };
    let Some(job) = tables.jobs.get(&run.task.instance.job) else { return };
    let Some(step) = job.steps().get(usize::from(run.task.instance.step)) else { return };
    if progressed_ms(run) <= step.estimate_ms as f64 {
        return;
    }
    let Some((_, task_states)) = observable(tables, run) else { return };
    let worked = progressed_ms(run) / (step.estimate_ms as f64 * slowest(tables, run, task_states));
    if worked <= curve_of(tables, job).ratio(USUAL) {
        return;
    }
    let weight = (OBSERVATION / step.tasks.max(1)).max(1);
    let overdue = Overdue { permille: permille(worked), weight };
    let (queue, account) = (&job.record.queue.name, &job.record.account);
    if let Some(row) = tables.run_times.account_mut(queue, account, now) {
        row.record_overdue(key, overdue, now);
        tables.run_times.has_changed = true;
    }
}

/// Discards the lower bound of a run that does not exist any more.
fn forget_overdue(tables: &mut Tables, key: key::Run, run: &Run) {
    let Some(job) = tables.jobs.get(&run.task.instance.job) else { return };
    let accounts = tables.run_times.queues.get_mut(&job.record.queue.name);
    let Some(row) = accounts.and_then(|accounts| accounts.get_mut(&job.record.account)) else {
        return;
    };
    if row.overdue.remove(&key).is_some() {
        row.has_changed = true;
        tables.run_times.has_changed = true;
    }
}

/// Returns the time that a run is known to have worked: to its last progress, in milliseconds.
fn progressed_ms(run: &Run) -> f64 {
    run.seen_at.map_or(0.0, |seen_at| run.progressed_at.since(seen_at).as_millis() as f64)
}

fn record(tables: &mut Tables, now: Millis, run: &Run, ratio: f64, weight: u32) {
    let Some(job) = tables.jobs.get(&run.task.instance.job) else { return };
    let (queue, account) = (&job.record.queue.name, &job.record.account);
    if let Some(row) = tables.run_times.account_mut(queue, account, now) {
        row.record(ratio, weight, now);
        tables.run_times.has_changed = true;
    }
}

/// Tells whether the run time of a step's tasks can be compared with an estimate.
fn is_learnable(step: &Step) -> bool {
    step.estimate_ms != 0 && !step.long_running && !step.best_effort
}

/// Returns a run's step and the states of its tasks, if the run time can be observed.
fn observable<'a>(tables: &'a Tables, run: &Run) -> Option<(&'a Step, &'a [TaskState])> {
    let instance = run.task.instance;
    let step = tables.step(instance)?;
    if !tables.policy.run_time_model || !is_learnable(step) || run.is_inherited() {
        return None;
    }
    let occurrence = tables.jobs.get(&instance.job)?.occurrences.get(&instance.occurrence)?;
    let task_states = occurrence.steps.get(usize::from(instance.step))?;
    let rack = &tables.workers.get(run.worker)?.rack;
    let is_far = !step.data_rack.is_empty() && step.data_rack != *rack;
    let is_split = step.same_rack
        && live_runs(tables, task_states)
            .filter_map(|other| tables.workers.get(other.worker))
            .any(|worker| worker.rack != *rack);
    (!is_far && !is_split).then_some((step, task_states))
}

fn live_runs<'a>(
    tables: &'a Tables,
    task_states: &'a [TaskState],
) -> impl Iterator<Item = &'a Run> {
    task_states.iter().filter_map(|task_state| tables.runs.get(task_state.live?))
}

/// Returns the factor of the slowest worker on which a run's gang works; that of its own worker for
/// a run outside a gang.
fn slowest(tables: &Tables, run: &Run, task_states: &[TaskState]) -> f64 {
    let own = factor(tables, run.worker);
    if !tables.step(run.task.instance).is_some_and(|step| step.gang) {
        return own;
    }
    live_runs(tables, task_states).map(|other| factor(tables, other.worker)).fold(own, f64::max)
}

fn curve_of(tables: &Tables, job: &Job) -> Curve {
    if !tables.policy.run_time_model {
        return Curve::default();
    }
    let row = tables.run_times.account(&job.record.queue.name, &job.record.account);
    row.map(|row| row.assumed).unwrap_or_default()
}

/// Ages what was learned, and replaces the ratios that decisions assume for accounts where they
/// differ by more than a tenth.
///
/// ```
/// use lavendergauge_lib::batch::run_time;
/// use lavendergauge_lib::clock::Millis;
/// let mut events = Vec::new();
/// run_time::refresh(&mut run_time::RunTimes::default(), Millis(0), &mut events);
/// assert!(events.is_empty());
/// ```
pub fn refresh(run_times: &mut RunTimes, now: Millis, events: &mut Vec<Event>) {
    let ages = run_times.ages_at <= now;
    if !run_times.has_changed && !ages {
        return;
    }
    if ages {
        run_times.ages_at = now + HALF_LIFE / 10;
    }
    run_times.has_changed = false;
    let mut changes = 0;
    for (queue, accounts) in &mut run_times.queues {
        for (name, row) in accounts {
            if ages {
                row.age(now);
            }
            if !row.has_changed {
                continue;
            }
            if MAX_CHANGES <= changes {
                run_times.has_changed = true;
                continue;
            }
            row.has_changed = false;
            let curve = row.expected();
            if !curve.has_moved(&row.assumed) {
                continue;
            }
            changes += 1;
            row.assumed = curve;
            events.push(Event::RunTime {
                queue: queue.clone(),
                account: name.clone(),
                median_permille: permille(curve.ratio(USUAL)).into(),
                tail_permille: permille(curve.ratio(TAIL)).into(),
                observations: row.observations(),
            });
        }
    }
}

/// Returns what was learned, in a compact form.
///
/// ```
/// use lavendergauge_lib::batch::run_time;
/// use lavendergauge_lib::clock::Millis;
/// assert!(run_time::export(&run_time::RunTimes::default(), Millis(0)).is_empty());
/// ```
pub fn export(run_times: &RunTimes, now: Millis) -> Vec<Summary> {
    let mut summaries = Vec::new();
    for (queue, accounts) in &run_times.queues {
        for (account, row) in accounts {
            let mut aged = row.clone();
            aged.age(now);
            let observations = aged.observations();
            if observations == 0 {
                continue;
            }
            summaries.push(Summary {
                queue: queue.clone(),
                account: account.clone(),
                observations,
                points: aged.curve([]).0,
            });
        }
    }
    summaries
}

/// Adds what an earlier planner learned and exported `age` ago. Later observations outweigh it as it
/// ages; values out of range are limited.
///
/// ```
/// use std::time::Duration;
/// use lavendergauge_lib::batch::run_time;
/// use lavendergauge_lib::batch::run_time::Summary;
/// use lavendergauge_lib::clock::Millis;
/// let points = [2000; 16];
/// let summary = Summary { queue: "q".into(), account: "brno".into(), observations: 64, points };
/// let mut run_times = run_time::RunTimes::default();
/// run_time::restore(&mut run_times, Millis(0), &[summary], Duration::ZERO);
/// assert_eq!(run_times.len(), 1);
/// ```
pub fn restore(run_times: &mut RunTimes, now: Millis, summaries: &[Summary], age: Duration) {
    let remaining = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
    for summary in summaries.iter().take(MAX_ACCOUNTS) {
        let observations = f64::from(summary.observations.min(MAX_RESTORED)) * remaining;
        let weight = (observations * f64::from(OBSERVATION) / POINTS as f64) as u32;
        if weight == 0 {
            continue;
        }
        let Some(row) = run_times.account_mut(&summary.queue, &summary.account, now) else {
            continue;
        };
        for point in summary.points {
            row.record(f64::from(point) / f64::from(UNIT_PERMILLE), weight, now);
        }
        run_times.has_changed = true;
    }
}
