//! Learns how much longer each worker takes than usual, and chooses workers by it.
//!
//! The load that this answers: workers that need up to twice the time of others for the same work
//! without saying so, or turn slow for a while, under gangs that run at the pace of their slowest
//! member. The model is described in `docs/design/worker-speed.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use smallvec::SmallVec;
use smallvec::smallvec;

use crate::batch::event::Event;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::place;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;

/// Variance of the logarithm of workers' factors before anything is known: two of three workers are
/// within a factor of 1.6.
const WORKER_VARIANCE: f64 = 0.2;
/// Variance of the logarithm of the error of a step's estimate.
const ESTIMATE_VARIANCE: f64 = 0.25;
/// The same for a gang. There are no other tasks of the step to compare it with, so it has to cover
/// estimates that are wrong by a factor of two and more.
const GANG_ESTIMATE_VARIANCE: f64 = 0.8;
/// Variance of the logarithm of the run time among the tasks of one step.
const TASK_VARIANCE: f64 = 0.09;
/// Distance from the rest of its step at which a sample is cut off: a single task that takes many
/// times as long as the others says little about its worker.
const MAX_DISTANCE: f64 = 0.8;
/// Progress from which a sample is taken, in percentage points; values are whole points.
const SAMPLE_POINTS: u32 = 8;
/// Progress from which a sample is taken after [`SLOW_SAMPLE`].
const SLOW_SAMPLE_POINTS: u32 = 2;
/// Time after which little progress is enough for a sample.
const SLOW_SAMPLE: Duration = Duration::from_secs(1);
/// Time in which a sample's weight halves; a worker that turns slow does so for seconds.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Maximum number of samples that a worker keeps.
const MAX_SAMPLES: usize = 12;
/// Variance up to which a worker's factor counts as known.
const KNOWN_VARIANCE: f64 = 0.09;
/// Logarithm of the factor between workers from which they count as different.
const MIN_DIFFERENCE: f64 = 0.1;
/// Variance among the logarithms of the factors of a fleet's workers from which it counts as uneven: a
/// third of them takes 1.7 times as long as the others. Objectives cover smaller differences.
const UNEVEN_VARIANCE: f64 = 0.06;
/// Number of known workers from which the variance among them is judged.
const MIN_KNOWN: usize = 8;
/// Divisor of the number of workers; if fewer are known, the fleet does not count as uneven.
const MIN_KNOWN_DIVISOR: usize = 4;
/// Lead of one member's factor, as a logarithm, from which a gang's pace is taken as that member's.
const SLOWEST_LEAD: f64 = 0.3;
/// Change of a worker's factor, as a logarithm, from which it is logged again.
const LOGGED_DIFFERENCE: f64 = 0.25;
/// Factor by which a run may take longer than its estimate when its objective is checked.
const ESTIMATE_ERROR: f64 = 3.0;
/// Time that a start takes, in milliseconds, which a step's objective has to cover.
const START_MS: u64 = 150;
/// Divisor of the time in which guaranteed work must start; the result is how long it waits for fast
/// workers at most.
const RECLAIM_WAIT_DIVISOR: u64 = 3;

/// What is known about a worker's speed.
#[row]
pub struct Record {
    samples: SmallVec<[Sample; 4]>,
    /// Natural logarithm of the factor by which the worker takes longer than usual.
    log_factor: f64,
    /// Variance of `log_factor`.
    variance: f64,
    /// Earlier knowledge that the samples add to; loses weight like a sample.
    prior: Option<(f64, f64, Millis)>,
    /// Factor at its last log line, as a logarithm.
    logged: f64,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            samples: SmallVec::new(),
            log_factor: 0.0,
            variance: WORKER_VARIANCE,
            prior: None,
            logged: 0.0,
        }
    }
}

/// Pace of one run, as the logarithm of its whole time against its estimate.
#[row]
#[derive(Copy)]
struct Sample {
    instance: StepInstance,
    run: key::Run,
    log_ratio: f64,
    at: Millis,
}

/// Mean pace of a step's runs on one worker.
#[row]
#[derive(Copy)]
struct Group {
    worker: key::Worker,
    sum: f64,
    count: u32,
}

/// Samples of each step by worker; together they are the samples in the workers' records.
#[row]
#[derive(Default)]
pub struct Steps {
    groups: BTreeMap<StepInstance, SmallVec<[Group; 4]>>,
}

impl Steps {
    fn add(&mut self, instance: StepInstance, worker: key::Worker, log_ratio: f64) {
        let groups = self.groups.entry(instance).or_default();
        match groups.iter_mut().find(|group| group.worker == worker) {
            Some(group) => {
                group.sum += log_ratio;
                group.count += 1;
            }
            None => groups.push(Group { worker, sum: log_ratio, count: 1 }),
        }
    }

    fn remove(&mut self, worker: key::Worker, sample: &Sample) {
        let Some(groups) = self.groups.get_mut(&sample.instance) else { return };
        if let Some(group) = groups.iter_mut().find(|group| group.worker == worker) {
            group.sum -= sample.log_ratio;
            group.count -= 1;
        }
        groups.retain(|group| group.count != 0);
        if groups.is_empty() {
            self.groups.remove(&sample.instance);
        }
    }
}

/// Progress of a run at its last sample.
#[row]
#[derive(Copy)]
pub struct Mark {
    percent: u32,
    at: Millis,
    has_sample: bool,
}

/// A normal distribution.
#[row]
#[derive(Copy)]
struct Normal {
    mean: f64,
    variance: f64,
}

/// Returns the factor by which a worker takes longer than usual; 1 while nothing is known.
///
/// ```
/// use lavendergauge_lib::batch::speed;
/// use lavendergauge_lib::batch::speed::Record;
/// assert_eq!(speed::factor(&Record::default()), 1.0);
/// ```
pub fn factor(record: &Record) -> f64 {
    record.log_factor.exp()
}

/// Tells whether enough is known about a worker's speed to place work by it.
///
/// ```
/// use lavendergauge_lib::batch::speed;
/// use lavendergauge_lib::batch::speed::Record;
/// assert!(!speed::is_known(&Record::default()));
/// ```
pub fn is_known(record: &Record) -> bool {
    record.variance <= KNOWN_VARIANCE
}

/// Returns the logarithm of a worker's factor and its standard deviation, both in thousandths; `None`
/// while nothing is known.
///
/// ```
/// use lavendergauge_lib::batch::speed;
/// use lavendergauge_lib::batch::speed::Record;
/// use lavendergauge_lib::clock::Millis;
/// let mut record = Record::default();
/// assert_eq!(speed::export(&record), None);
/// speed::restore(&mut record, Millis(0), 531, 100);
/// assert_eq!(speed::export(&record), Some((531, 100)));
/// ```
pub fn export(record: &Record) -> Option<(i32, u32)> {
    let milli = |value: f64| (value * 1000.0).round();
    (record.variance < WORKER_VARIANCE)
        .then(|| (milli(record.log_factor) as i32, milli(record.variance.sqrt()) as u32))
}

/// Adds what an earlier leader has learned to a record.
pub fn restore(record: &mut Record, now: Millis, log_factor_milli: i32, deviation_milli: u32) {
    let mean = f64::from(log_factor_milli) / 1000.0;
    let variance = (f64::from(deviation_milli) / 1000.0).powi(2).clamp(0.001, WORKER_VARIANCE);
    record.prior = Some((mean, variance, now));
    if record.samples.is_empty() {
        (record.log_factor, record.variance) = (mean, variance);
    }
}

/// Discards what is known about a worker, whose next incarnation may run on other hardware.
pub fn forget(paces: &mut Steps, worker: key::Worker, record: &mut Record) {
    for sample in std::mem::take(record).samples {
        paces.remove(worker, &sample);
    }
}

/// Takes samples from the progress of a worker's runs, as its list told that it made at `at`.
pub fn observe_progress(tables: &mut Tables, worker: key::Worker, at: Millis) {
    if !tables.policy.worker_speed {
        return;
    }
    for key in tables.workers[worker].runs.clone() {
        observe_run(tables, key, at);
    }
}

fn observe_run(tables: &mut Tables, key: key::Run, at: Millis) {
    let Some(run) = tables.runs.get_mut(key) else { return };
    if run.seen_at.is_none() || run.phase != Phase::Running {
        return;
    }
    let Some(mark) = run.pace_mark else {
        run.pace_mark = Some(Mark { percent: run.percent, at, has_sample: false });
        return;
    };
    let gained = run.percent.saturating_sub(mark.percent);
    let elapsed = at.since(mark.at);
    let is_enough =
        SAMPLE_POINTS <= gained || (SLOW_SAMPLE_POINTS <= gained && SLOW_SAMPLE <= elapsed);
    if !is_enough || elapsed.is_zero() {
        return;
    }
    let whole_ms = elapsed.as_millis() as f64 * 100.0 / f64::from(gained);
    run.pace_mark = Some(Mark { percent: run.percent, at, has_sample: true });
    observe(tables, key, at, whole_ms);
}

/// Takes a sample from a run that has just been done, if its progress gave none.
pub fn observe_end(tables: &mut Tables, key: key::Run, at: Millis) {
    if !tables.policy.worker_speed {
        return;
    }
    let Some(run) = tables.runs.get(key) else { return };
    let Some(seen_at) = run.seen_at else { return };
    if run.pace_mark.is_some_and(|mark| mark.has_sample) || run.first_percent != 0 || at <= seen_at
    {
        return;
    }
    observe(tables, key, at, at.since(seen_at).as_millis() as f64);
}

/// Adds a run's whole time, as far as it is known, to what is known about the workers.
fn observe(tables: &mut Tables, key: key::Run, at: Millis, whole_ms: f64) {
    let Some(run) = tables.runs.get(key) else { return };
    let (worker, instance) = (run.worker, run.task.instance);
    let Some(step) = tables.step(instance) else { return };
    if step.long_running || step.best_effort {
        return;
    }
    let mut log_ratio = (whole_ms / rank::estimated_ms(step) as f64).ln();
    if !step.data_rack.is_empty() && tables.workers[worker].rack != step.data_rack {
        log_ratio -= (tables.bounds.remote_permille as f64 / 1000.0).ln();
    }
    if !step.gang {
        add_sample(tables, worker, Sample { instance, run: key, log_ratio, at });
        return;
    }
    // All members advance together; one of them speaks for the gang.
    if run.task.index != 0 {
        return;
    }
    let same_rack = step.same_rack;
    let members = members(tables, instance, run.number);
    let rack = |key: key::Worker| &tables.workers[key].rack;
    if same_rack && members.iter().any(|(other, _)| rack(*other) != rack(worker)) {
        return;
    }
    for (worker, run) in paced_by(tables, &members, log_ratio) {
        add_sample(tables, worker, Sample { instance, run, log_ratio, at });
    }
}

/// Returns one run of a gang on each of its workers.
fn members(
    tables: &Tables,
    instance: StepInstance,
    number: u32,
) -> SmallVec<[(key::Worker, key::Run); 8]> {
    let mut members: SmallVec<[(key::Worker, key::Run); 8]> = SmallVec::new();
    let task_states = tables
        .jobs
        .get(&instance.job)
        .and_then(|job| job.occurrences.get(&instance.occurrence))
        .and_then(|row| row.steps.get(usize::from(instance.step)));
    for key in task_states.into_iter().flatten().filter_map(|state| state.live) {
        let Some(run) = tables.runs.get(key).filter(|run| run.number == number) else { continue };
        if members.iter().all(|(worker, _)| *worker != run.worker) {
            members.push((run.worker, key));
        }
    }
    members
}

/// Returns the members about whose workers a gang's pace says something: those that are known as
/// slower than it, and the one that is known as the slowest.
fn paced_by(
    tables: &Tables,
    members: &[(key::Worker, key::Run)],
    log_ratio: f64,
) -> SmallVec<[(key::Worker, key::Run); 8]> {
    let log_factor = |worker: key::Worker| tables.workers[worker].speed.log_factor;
    let leads = |worker: key::Worker| {
        members.iter().all(|(other, _)| {
            *other == worker || log_factor(*other) + SLOWEST_LEAD <= log_factor(worker)
        })
    };
    members
        .iter()
        .copied()
        .filter(|(worker, _)| log_ratio < log_factor(*worker) || leads(*worker))
        .collect()
}

fn add_sample(tables: &mut Tables, worker: key::Worker, sample: Sample) {
    let error = estimate_error(tables, sample.instance, worker);
    let expected = error.mean + tables.workers[worker].speed.log_factor;
    let distance = MAX_DISTANCE + 2.0 * error.variance.sqrt();
    let log_ratio = sample.log_ratio.clamp(expected - distance, expected + distance);
    let sample = Sample { log_ratio, ..sample };
    let record = &mut tables.workers[worker].speed;
    let replaced = match record.samples.iter().position(|known| known.run == sample.run) {
        Some(index) => Some(record.samples.remove(index)),
        None if record.samples.len() == MAX_SAMPLES => Some(record.samples.remove(0)),
        None => None,
    };
    record.samples.push(sample);
    if let Some(replaced) = replaced {
        tables.paces.remove(worker, &replaced);
    }
    tables.paces.add(sample.instance, worker, log_ratio);
    estimate_factor(tables, worker, sample.at);
}

/// Estimates the error of a step's estimate from its runs on all workers but one.
fn estimate_error(tables: &Tables, instance: StepInstance, except: key::Worker) -> Normal {
    let is_gang = tables.step(instance).is_some_and(|step| step.gang);
    let variance = if is_gang { GANG_ESTIMATE_VARIANCE } else { ESTIMATE_VARIANCE };
    let (mut weights, mut sum) = (1.0 / variance, 0.0);
    if let Some(groups) = tables.paces.groups.get(&instance).filter(|_| !is_gang) {
        for group in groups.iter().filter(|group| group.worker != except) {
            let Some(row) = tables.workers.get(group.worker) else { continue };
            let count = f64::from(group.count);
            let weight = 1.0 / (row.speed.variance + TASK_VARIANCE / count);
            sum += weight * (group.sum / count - row.speed.log_factor);
            weights += weight;
        }
    }
    Normal { mean: sum / weights, variance: 1.0 / weights }
}

/// Estimates a worker's factor from its samples.
fn estimate_factor(tables: &mut Tables, worker: key::Worker, now: Millis) {
    let row = &tables.workers[worker].speed;
    let age = |at: Millis| (now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
    let (mut weights, mut sum) = (1.0 / WORKER_VARIANCE, 0.0);
    if let Some((mean, variance, at)) = row.prior {
        let weight = (1.0 / variance - 1.0 / WORKER_VARIANCE).max(0.0) / age(at);
        sum += weight * mean;
        weights += weight;
    }
    for (index, sample) in row.samples.iter().enumerate() {
        let instance = sample.instance;
        let is_same = |other: &&Sample| other.instance == instance;
        if row.samples[..index].iter().any(|other| is_same(&other)) {
            continue;
        }
        let (mut count, mut total, mut newest) = (0.0, 0.0, Millis(0));
        for other in row.samples[index..].iter().filter(is_same) {
            count += 1.0;
            total += other.log_ratio;
            newest = newest.max(other.at);
        }
        let error = estimate_error(tables, instance, worker);
        let weight = 1.0 / (error.variance + TASK_VARIANCE / count) / age(newest);
        sum += weight * (total / count - error.mean);
        weights += weight;
    }
    let record = &mut tables.workers[worker].speed;
    record.log_factor = sum / weights;
    record.variance = 1.0 / weights;
}

/// Group of workers that a step is placed on.
#[token]
pub enum Class {
    /// All workers.
    Any,
    /// Workers that are known to be fast.
    Fast,
    /// Workers that are not known to be too slow for the step.
    NotSlow,
    /// Workers of unknown speed.
    Unknown,
    /// Workers that are known to be slow.
    Slow,
}

impl Class {
    /// Returns the name of the class in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::speed::Class::NotSlow.name(), "not-slow");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Class::Any => "any",
            Class::Fast => "fast",
            Class::NotSlow => "not-slow",
            Class::Unknown => "unknown",
            Class::Slow => "slow",
        }
    }
}

/// Workers that a step is placed on if they have room, before the next tier is tried.
#[row]
pub struct Tier {
    /// What the workers have in common.
    pub class: Class,
    /// The workers.
    pub workers: Vec<key::Worker>,
    /// Whether each of them gets only one task, so that the tasks make many of them known.
    pub is_spread: bool,
}

/// Splits the workers that a step may use into the tiers in which they are tried.
///
/// The last tier has all workers, unless the step gains from waiting for fast ones.
pub fn tiers(
    tables: &Tables,
    now: Millis,
    candidate: &Candidate,
    step: &Step,
    pool: &[key::Worker],
) -> SmallVec<[Tier; 3]> {
    let any = |workers| Tier { class: Class::Any, workers, is_spread: false };
    if !tables.policy.worker_speed {
        return smallvec![any(pool.to_vec())];
    }
    let Split { fast, unknown, slow, fast_log_factor, slow_log_factor } = split(tables, pool);
    if slow.is_empty() {
        return smallvec![any(pool.to_vec())];
    }
    let time = Time::of(tables, now, candidate, step);
    let tier = |class, workers| Tier { class, workers, is_spread: class == Class::Unknown };
    let mut tiers = SmallVec::new();
    if time.suffices_at(slow_log_factor) {
        if step.gang {
            tiers.push(tier(Class::Slow, slow));
            tiers.push(tier(Class::NotSlow, [fast, unknown].concat()));
        } else {
            let mut unknown = unknown;
            unknown.retain(|worker| !is_explored(tables, *worker));
            tiers.push(tier(Class::Unknown, unknown));
            tiers.push(tier(Class::Slow, slow));
        }
        tiers.retain(|tier: &mut Tier| !tier.workers.is_empty());
        tiers.push(any(pool.to_vec()));
        return tiers;
    }
    let is_adequate = |key: &key::Worker| time.suffices_at(tables.workers[*key].speed.log_factor);
    let adequate: Vec<key::Worker> = slow.into_iter().filter(is_adequate).collect();
    let not_slow = [fast.as_slice(), &unknown, &adequate].concat();
    let reclaim_wait = Duration::from_millis(tables.bounds.reclaim_ms / RECLAIM_WAIT_DIVISOR);
    let waits = time.suffices_at(fast_log_factor)
        && !(candidate.guaranteed && reclaim_wait <= now.since(candidate.since))
        && place::fits_when_empty(tables, step, &not_slow);
    tiers.push(tier(Class::Fast, fast));
    tiers.push(tier(Class::NotSlow, not_slow));
    if !waits {
        tiers.push(any(pool.to_vec()));
    }
    tiers
}

/// Tells whether a worker runs a task that will tell its speed: one that is no member of a gang.
fn is_explored(tables: &Tables, worker: key::Worker) -> bool {
    let is_single = |key: &key::Run| {
        let step = tables.runs.get(*key).and_then(|run| tables.step(run.task.instance));
        step.is_some_and(|step| !step.gang && !step.long_running)
    };
    tables.workers[worker].runs.iter().any(is_single)
}

/// Time that a step has to meet its objective, and how much of it it needs.
struct Time {
    estimate_ms: f64,
    remaining_ms: f64,
    /// Growth of the objective with the true run time.
    stretch: f64,
}

impl Time {
    fn of(tables: &Tables, now: Millis, candidate: &Candidate, step: &Step) -> Time {
        let estimate_ms = rank::estimated_ms(step);
        let stretch_permille =
            tables.jobs.get(&candidate.instance.job).map_or(0, |job| job.queue.stretch_permille);
        Time {
            estimate_ms: estimate_ms as f64,
            remaining_ms: (candidate.latest_start.0 + estimate_ms) as f64
                - (now.0 + START_MS) as f64,
            stretch: stretch_permille as f64 / 1000.0,
        }
    }

    /// Tells whether a worker of a factor meets the objective, also if the run takes several times
    /// as long as estimated and the objective grows with it.
    fn suffices_at(&self, log_factor: f64) -> bool {
        let suffices = |error: f64| {
            let objective_growth = (error - 1.0) * self.estimate_ms * self.stretch;
            error * self.estimate_ms * log_factor.exp() <= self.remaining_ms + objective_growth
        };
        suffices(1.0) && suffices(ESTIMATE_ERROR)
    }
}

/// Estimates the variance among the logarithms of workers' factors by the method of moments: what their
/// estimates vary beyond the errors of these.
fn variance_among<'a>(records: impl Iterator<Item = &'a Record>) -> f64 {
    let (mut count, mut sum, mut squares, mut errors, mut kept) = (0, 0.0, 0.0, 0.0, 0.0);
    for record in records.filter(|record| is_known(record)) {
        // An estimate is the samples' mean, shrunk towards the prior; its error is shrunk alike.
        let shrinkage = 1.0 - record.variance / WORKER_VARIANCE;
        count += 1;
        sum += record.log_factor;
        squares += record.log_factor.powi(2);
        errors += shrinkage * record.variance;
        kept += shrinkage.powi(2);
    }
    if count < MIN_KNOWN {
        return 0.0;
    }
    let number = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let observed = (squares - sum.powi(2) / number) / (number - 1.0);
    (observed - errors / number) / (kept / number)
}

/// Workers by what is known about their speed.
struct Split {
    fast: Vec<key::Worker>,
    unknown: Vec<key::Worker>,
    slow: Vec<key::Worker>,
    /// Typical factor of the fast workers, as a logarithm.
    fast_log_factor: f64,
    /// Highest factor of the slow workers, as a logarithm.
    slow_log_factor: f64,
}

/// Splits workers by what is known about their speed.
fn split(tables: &Tables, pool: &[key::Worker]) -> Split {
    let record = |key: key::Worker| &tables.workers[key].speed;
    let mut known: SmallVec<[f64; 64]> = pool
        .iter()
        .map(|key| record(*key))
        .filter(|record| is_known(record))
        .map(|record| record.log_factor)
        .collect();
    let lower_quartile = known.len() / 4;
    let fast_log_factor = match known.is_empty() {
        true => 0.0,
        false => *known.select_nth_unstable_by(lower_quartile, f64::total_cmp).1,
    };
    // A few workers that differ say little about a fleet.
    let is_uneven = pool.len() <= MIN_KNOWN_DIVISOR * known.len()
        && UNEVEN_VARIANCE <= variance_among(pool.iter().map(|key| record(*key)));
    let is_slow = |record: &Record| {
        is_uneven && fast_log_factor + MIN_DIFFERENCE < record.log_factor - record.variance.sqrt()
    };
    let mut split = Split {
        fast: Vec::new(),
        unknown: Vec::new(),
        slow: Vec::new(),
        fast_log_factor,
        slow_log_factor: f64::NEG_INFINITY,
    };
    for key in pool.iter().copied() {
        let record = record(key);
        if !is_known(record) {
            split.unknown.push(key);
        } else if is_slow(record) {
            split.slow.push(key);
            split.slow_log_factor = split.slow_log_factor.max(record.log_factor);
        } else {
            split.fast.push(key);
        }
    }
    split
}

/// Returns the workers of a pool on which capacity is obtained for a step that found none: those that
/// it waits for, or all.
pub fn targets(
    tables: &Tables,
    now: Millis,
    candidate: &Candidate,
    step: &Step,
    pool: &[key::Worker],
) -> Vec<key::Worker> {
    let mut tiers = tiers(tables, now, candidate, step, pool);
    tiers.pop().map(|tier| tier.workers).unwrap_or_default()
}

/// Adds an event for each worker whose factor has become known or has changed considerably.
pub fn note_changes(tables: &mut Tables, workers: &BTreeSet<key::Worker>, events: &mut Vec<Event>) {
    for worker in workers {
        let Some(row) = tables.workers.get_mut(*worker) else { continue };
        let record = &mut row.speed;
        if !is_known(record) || (record.log_factor - record.logged).abs() < LOGGED_DIFFERENCE {
            continue;
        }
        record.logged = record.log_factor;
        let permille = (factor(record) * 1000.0).round() as u32;
        events.push(Event::Speed(row.node.clone(), permille));
    }
}
