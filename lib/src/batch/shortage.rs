//! Orders waiting steps and prices preemption by what callers lose when capacity is insufficient.
//!
//! The load that this answers: more work waits than can end within its objectives. By latest start
//! alone, jobs that are late already precede those that can still be in time, and one large job makes
//! several small ones late.

use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

use crate::batch::event::Event;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::preempt;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::share;
use crate::batch::table::Job;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::fair;
use crate::key;
use crate::resource::Resources;

/// Unit in which the size of a step or run is counted: millionths of a worker.
const WORKER_SIZE: u64 = 1_000_000;
/// Width of the buckets in which runs are counted by their expected end, in milliseconds. Finer than
/// the estimates are accurate.
const BUCKET_MS: u64 = 250;
/// Time from now for which expected ends are examined; it bounds the cost of a tick. Steps with later
/// deadlines are not short of capacity yet.
const HORIZON_MS: u64 = 60_000;
/// Multiple of its job's objective for which a step waits before it is raised: twice the time after
/// which it is worthless, so that a step is raised only when its order has failed it.
const RAISE_OBJECTIVES: u64 = 6;
/// Least time between two steps being raised. It bounds the work that is done without credit while
/// other work could earn some.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which another step is raised although this one has found no place: its workers may be
/// gone.
const RAISE_LIFETIME: Duration = Duration::from_secs(20);
/// Time after which the workers are counted again. Their number changes slowly, and a count visits all
/// of them.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Least time between two log lines about the same matter.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Factor between the weights of two adjacent priorities, as a power of two. No queue has a configured
/// worth; a level more urgent counts twice.
const WEIGHT_BITS: u32 = 1;
/// Priorities further apart than this count as this far apart.
const MAX_WEIGHT_LEVELS: u32 = 8;
/// Divisor of a late job's own work; the result is how much it may cost others.
const LATE_WORK_DIVISOR: u64 = 8;

/// What a job still earns for its caller if it starts now, in the order in which steps are served.
#[token]
pub enum Class {
    /// It can meet its objective.
    InTime,
    /// It could, but not together with the others that can; the capacity goes to smaller ones first.
    Deferred,
    /// It earns a part of its credit.
    Late,
    /// It earns nothing.
    Worthless,
}

impl Class {
    /// Returns the class of a job that starts at a time, given its latest start in time and the
    /// latest start of any worth.
    ///
    /// ```
    /// use lavendergauge_lib::batch::shortage::Class;
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(Class::at(Millis(5), Millis(5), Millis(9)), Class::InTime);
    /// assert_eq!(Class::at(Millis(6), Millis(5), Millis(9)), Class::Late);
    /// assert_eq!(Class::at(Millis(10), Millis(5), Millis(9)), Class::Worthless);
    /// ```
    pub fn at(start: Millis, latest_start: Millis, worthless_start: Millis) -> Class {
        if start <= latest_start {
            Class::InTime
        } else if start <= worthless_start {
            Class::Late
        } else {
            Class::Worthless
        }
    }

    /// Returns the credit of a job of this class; a late job earns half of one in time.
    fn credit(self) -> u64 {
        match self {
            Class::InTime | Class::Deferred => 2,
            Class::Late => 1,
            Class::Worthless => 0,
        }
    }
}

/// Numbers of waiting steps by class, guaranteed ones excluded.
#[value]
#[derive(Copy, Default)]
pub struct Summary {
    /// In time.
    pub in_time: usize,
    /// In time, but not together with the others.
    pub deferred: usize,
    /// Late.
    pub late: usize,
    /// Worthless.
    pub worthless: usize,
}

/// What was decided about a step for which other runs would have to be stopped.
#[token]
pub enum Verdict {
    /// The runs are stopped.
    Preempt,
    /// The step is as well served by capacity that comes free by itself.
    Wait,
    /// The other callers would lose more than this one gains.
    Decline,
}

impl Verdict {
    /// Returns the verdict's name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::shortage::Verdict::Wait.name(), "wait");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Preempt => "preempt",
            Verdict::Wait => "wait",
            Verdict::Decline => "decline",
        }
    }
}

/// A verdict with the figures that it was based on.
#[value]
pub struct Weighing {
    /// The step that needs capacity.
    pub instance: StepInstance,
    /// The verdict.
    pub verdict: Verdict,
    /// What the other callers would lose, in core-milliseconds.
    pub cost: u64,
    /// What this caller would gain, in core-milliseconds.
    pub gain: u64,
    /// Time after which capacity is expected to come free by itself, in milliseconds.
    pub wait_ms: Option<u64>,
}

/// Capacity in use by expected end, and what was decided about waiting steps before.
#[row]
#[derive(Default)]
pub struct State {
    held: SecondaryMap<key::Run, Held>,
    services: Vec<Service>,
    fleets: Vec<Fleet>,
    counted_at: Option<Millis>,
    raised: Option<StepInstance>,
    /// The step that was raised last, and since when it waited.
    raised_last: Option<(Millis, StepInstance)>,
    raised_at: Option<Millis>,
    summarised_at: Option<Millis>,
    weighed: BTreeMap<StepInstance, Millis>,
}

/// What a run occupies.
#[token]
struct Held {
    service: usize,
    bucket: u64,
    size: u64,
}

/// Sizes of the runs on the workers of one service.
#[row]
struct Service {
    name: String,
    total: u64,
    by_end: BTreeMap<u64, u64>,
}

/// Workers of one service that take work.
#[row]
struct Fleet {
    service: String,
    sum: Sum,
    count: u64,
}

/// Counts the workers, unless that was done a short while ago.
pub(super) fn count_workers(tables: &mut Tables, now: Millis) {
    let is_recent = tables.shortage.counted_at.is_some_and(|at| now.since(at) < COUNT_INTERVAL);
    if !tables.policy.shortage || is_recent {
        return;
    }
    tables.shortage.counted_at = Some(now);
    let fleets = &mut tables.shortage.fleets;
    fleets.clear();
    for worker in tables.workers.values().filter(|worker| worker.ready && worker.is_reachable) {
        let known = fleets.iter().position(|fleet| fleet.service == worker.service);
        let index = known.unwrap_or_else(|| {
            let service = worker.service.clone();
            fleets.push(Fleet { service, sum: Sum::default(), count: 0 });
            fleets.len() - 1
        });
        fleets[index].sum.add(worker.capacity);
        fleets[index].count += 1;
    }
}

/// Counts a run that was inserted.
pub(super) fn note_inserted(tables: &mut Tables, key: key::Run) {
    let Some(run) = tables.runs.get(key) else { return };
    let Some(step) = tables.step(run.task.instance) else { return };
    let Some(worker) = tables.workers.get(run.worker) else { return };
    let size = size_of(run.demand, worker.capacity);
    let bucket = (run.since.0 + rank::estimated_ms(step)) / BUCKET_MS;
    let name = &worker.service;
    let services = &mut tables.shortage.services;
    let service = services.iter().position(|service| service.name == *name).unwrap_or_else(|| {
        services.push(Service { name: name.clone(), total: 0, by_end: BTreeMap::new() });
        services.len() - 1
    });
    services[service].total += size;
    *services[service].by_end.entry(bucket).or_default() += size;
    tables.shortage.held.insert(key, Held { service, bucket, size });
}

/// Discounts a run that was removed.
pub(super) fn note_removed(state: &mut State, key: key::Run) {
    let Some(Held { service, bucket, size }) = state.held.remove(key) else { return };
    let service = &mut state.services[service];
    service.total -= size;
    if let Some(sum) = service.by_end.get_mut(&bucket) {
        *sum -= size;
        if *sum == 0 {
            service.by_end.remove(&bucket);
        }
    }
}

fn size_of(demand: Resources, worker: Resources) -> u64 {
    (fair::dominant(demand, worker) * WORKER_SIZE as f64) as u64
}

/// Capacity of a service that comes free over time.
#[row]
struct Supply {
    now: Millis,
    /// Mean worker.
    worker: Resources,
    /// Size of all workers.
    capacity: u64,
    /// Size held by runs.
    held: u64,
    /// Expected ends of runs after `now`, ascending: the time from now, the size that has ended by
    /// then, and the work until then of what has ended.
    ends: Vec<(u64, u64, u64)>,
}

impl Supply {
    fn of(tables: &Tables, name: &str, now: Millis) -> Supply {
        let fleet = tables.shortage.fleets.iter().find(|fleet| fleet.service == name);
        let count = fleet.map_or(0, |fleet| fleet.count);
        let worker = fleet.map(|fleet| fleet.sum.mean(count)).unwrap_or_default();
        let service = tables.shortage.services.iter().find(|service| service.name == name);
        let mut sizes: BTreeMap<u64, u64> = BTreeMap::new();
        let first = now.0.saturating_sub(HORIZON_MS) / BUCKET_MS;
        let last = (now.0 + HORIZON_MS) / BUCKET_MS;
        for (bucket, size) in service.iter().flat_map(|service| service.by_end.range(first..=last))
        {
            // A run past its estimate is expected to take as long again as it is overdue.
            let end = ((bucket + 1) * BUCKET_MS).abs_diff(now.0);
            *sizes.entry(end).or_default() += size;
        }
        let (mut ended, mut work) = (0, 0);
        let ends = sizes
            .into_iter()
            .map(|(end, size)| {
                ended += size;
                work += size * end;
                (end, ended, work)
            })
            .collect();
        let held = service.map_or(0, |service| service.total);
        Supply { now, worker, capacity: count * WORKER_SIZE, held, ends }
    }

    /// Returns the work that can be done until a time; `None` if that is too far away to tell.
    fn until(&self, time: Millis) -> Option<u64> {
        let ahead = time.0.saturating_sub(self.now.0);
        if HORIZON_MS < ahead {
            return None;
        }
        let index = self.ends.partition_point(|(end, _, _)| *end <= ahead);
        let (ended, work) = match index.checked_sub(1).map(|index| self.ends[index]) {
            Some((_, ended, work)) => (ended, work),
            None => (0, 0),
        };
        let occupied = work + self.held.saturating_sub(ended) * ahead;
        Some((self.capacity * ahead).saturating_sub(occupied))
    }
}

/// Sum of resources, in wide numbers.
#[row]
#[derive(Default)]
struct Sum {
    accelerators: u64,
    processors: u64,
    memory_mb: u64,
}

impl Sum {
    fn add(&mut self, resources: Resources) {
        self.accelerators += u64::from(resources.accelerators);
        self.processors += u64::from(resources.processors);
        self.memory_mb += resources.memory_mb;
    }

    /// Returns the mean of `count` summands, rounded up.
    fn mean(&self, count: u64) -> Resources {
        let count = count.max(1);
        Resources {
            accelerators: self.accelerators.div_ceil(count) as u32,
            processors: self.processors.div_ceil(count) as u32,
            memory_mb: self.memory_mb.div_ceil(count),
        }
    }
}

/// Work of a waiting step, in millionths of a worker times milliseconds.
#[token]
struct Work {
    /// Of the step's waiting tasks.
    step: u64,
    /// Of these and of the steps that follow.
    job: u64,
}

impl Work {
    fn of(job: &Job, candidate: &Candidate, worker: Resources) -> Work {
        let number = usize::from(candidate.instance.step);
        let critical_path = job.critical_paths[number];
        let work = |step: &Step, tasks: u64| {
            size_of(step.resources(), worker) * tasks * rank::estimated_ms(step)
        };
        let own = work(&job.steps()[number], candidate.waiting.len() as u64);
        let following = job
            .steps()
            .iter()
            .zip(&job.critical_paths)
            .filter(|(_, path)| **path < critical_path)
            .map(|(step, _)| work(step, u64::from(step.tasks)));
        Work { step: own, job: own + following.sum::<u64>() }
    }
}

/// Sorts waiting steps, the first to be served first.
///
/// The order is by guarantee and priority, whether a job is worthless, and latest start, unless the
/// policy asks for more.
pub fn sort(tables: &Tables, candidates: &mut Vec<Candidate>, now: Millis) {
    sort_by_start(candidates);
    if tables.policy.account_shares {
        share::set_levels(tables, candidates, now);
    }
    if !tables.policy.shortage {
        if !tables.policy.account_shares {
            return;
        }
        candidates.sort_by_key(|candidate| {
            (
                !candidate.guaranteed,
                candidate.priority,
                candidate.is_worthless,
                if candidate.guaranteed { 0 } else { candidate.share_level },
            )
        });
        return;
    }
    let works = classify(tables, candidates, now);
    let raised = tables.shortage.raised;
    let mut keyed: Vec<_> = std::mem::take(candidates)
        .into_iter()
        .zip(works)
        .map(|(candidate, work)| {
            let key = if candidate.guaranteed {
                (false, false, candidate.priority, Class::InTime, 0, 0)
            } else {
                (
                    true,
                    raised != Some(candidate.instance),
                    candidate.priority,
                    candidate.class,
                    candidate.share_level,
                    order_in_class(&candidate, work, now),
                )
            };
            (key, candidate)
        })
        .collect();
    // The sort is stable: what is equal here stays in the order by latest start.
    keyed.sort_by_key(|(key, _)| *key);
    candidates.extend(keyed.into_iter().map(|(_, candidate)| candidate));
}

fn sort_by_start(candidates: &mut [Candidate]) {
    candidates.sort_by_key(|candidate| {
        (
            !candidate.guaranteed,
            candidate.priority,
            candidate.is_worthless,
            candidate.latest_start,
            candidate.instance,
        )
    });
}

/// Returns the place of a step within its class; lower is earlier.
fn order_in_class(candidate: &Candidate, work: Work, now: Millis) -> u64 {
    match candidate.class {
        Class::InTime | Class::Worthless => 0,
        Class::Deferred => work.job,
        // The credit stays the same until it ends, so the least work goes first; what is left of the
        // time until then brings the others forward.
        Class::Late => {
            let window = candidate.worthless_start.since(candidate.latest_start).as_millis();
            let left = candidate.worthless_start.since(now).as_millis();
            let scaled = u128::from(work.job) * left / window.max(1);
            u64::try_from(scaled).unwrap_or(u64::MAX)
        }
    }
}

/// A service while the waiting steps are examined.
struct Queue<'a> {
    name: &'a str,
    supply: Supply,
    /// Work of the steps of higher rank, and of those of this rank that can be in time.
    taken: u64,
    /// Work of the steps of this rank that follow those in time.
    behind: u64,
    /// Steps of this rank that can be in time: their order of deferral, work and index.
    kept: BinaryHeap<(u64, u64, usize)>,
}

/// Sets the class of each step of a list that is sorted by guarantee and priority, and returns the work
/// of each.
fn classify(tables: &Tables, candidates: &mut [Candidate], now: Millis) -> Vec<Work> {
    let mut queues: SmallVec<[Queue; 2]> = SmallVec::new();
    let mut works = vec![Work { step: 0, job: 0 }; candidates.len()];
    let jobs: Vec<Option<&Job>> =
        candidates.iter().map(|candidate| tables.jobs.get(&candidate.instance.job)).collect();
    let deadlines: Vec<Millis> = candidates
        .iter()
        .zip(&jobs)
        .map(|(candidate, job)| candidate.latest_start + step_time(*job, candidate.instance))
        .collect();
    let rank = |candidate: &Candidate| (!candidate.guaranteed, candidate.priority);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| (rank(&candidates[*index]), deadlines[*index]));
    let mut previous = None;
    for index in order {
        let candidate = &mut candidates[index];
        if previous.replace(rank(candidate)) != Some(rank(candidate)) {
            for queue in &mut queues {
                queue.kept.clear();
                queue.taken += std::mem::take(&mut queue.behind);
            }
        }
        let Some(job) = jobs[index] else { continue };
        let name = job.queue.service.as_str();
        let position = queues.iter().position(|queue| queue.name == name).unwrap_or_else(|| {
            let supply = Supply::of(tables, name, now);
            queues.push(Queue { name, supply, taken: 0, behind: 0, kept: BinaryHeap::new() });
            queues.len() - 1
        });
        let queue = &mut queues[position];
        let work = Work::of(job, candidate, queue.supply.worker);
        works[index] = work;
        candidate.class = if candidate.is_worthless {
            Class::Worthless
        } else {
            Class::at(now, candidate.latest_start, candidate.worthless_start)
        };
        if candidate.guaranteed || candidate.class != Class::InTime {
            queue.behind += work.step;
            continue;
        }
        queue.taken += work.step;
        // A step of an account that has used more is deferred before one of the same size.
        let claim = work.job.saturating_mul(1 + u64::from(candidate.share_level));
        queue.kept.push((claim, work.step, index));
        let Some(supply) = queue.supply.until(deadlines[index]) else { continue };
        while supply < queue.taken
            && let Some((_, work, deferred)) = queue.kept.pop()
        {
            queue.taken -= work;
            queue.behind += work;
            candidates[deferred].class = Class::Deferred;
        }
    }
    works
}

/// Returns the estimated run time of a step's tasks.
fn step_time(job: Option<&Job>, instance: StepInstance) -> Duration {
    let step = job.and_then(|job| job.steps().get(usize::from(instance.step)));
    Duration::from_millis(step.map_or(0, rank::estimated_ms))
}

/// Updates what depends on the order of the waiting steps: the step that is raised, and the log.
pub(super) fn note(
    tables: &mut Tables,
    now: Millis,
    candidates: &[Candidate],
    events: &mut Vec<Event>,
) {
    if tables.policy.account_shares {
        share::note(tables, now, candidates, events);
    }
    if !tables.policy.shortage {
        return;
    }
    let waits =
        |instance: StepInstance| candidates.iter().any(|candidate| candidate.instance == instance);
    let is_over = tables.shortage.raised_at.is_some_and(|at| RAISE_LIFETIME <= now.since(at));
    if is_over || !tables.shortage.raised.is_some_and(waits) {
        tables.shortage.raised = None;
    }
    if !tables.shortage.weighed.is_empty() {
        tables.shortage.weighed.retain(|_, at| now.since(*at) < LOG_INTERVAL);
    }
    raise(&mut tables.shortage, now, candidates, events);
    summarise(&mut tables.shortage, now, candidates, events);
}

/// Raises the step that has waited longest beyond its bound, unless another one is raised. Those that
/// waited longer than the one before come last, so that each has its turn.
fn raise(state: &mut State, now: Millis, candidates: &[Candidate], events: &mut Vec<Event>) {
    let is_due = state.raised_at.is_none_or(|at| RAISE_INTERVAL <= now.since(at));
    if state.raised.is_some() || !is_due {
        return;
    }
    let longest = candidates
        .iter()
        .filter(|candidate| !candidate.guaranteed && raise_after(candidate) <= now)
        .map(|candidate| (candidate.since, candidate.instance))
        .min_by_key(|waiting| (Some(*waiting) <= state.raised_last, *waiting));
    let Some((since, instance)) = longest else { return };
    state.raised = Some(instance);
    state.raised_last = longest;
    state.raised_at = Some(now);
    events.push(Event::Raised(instance, now.since(since)));
}

/// Returns when a waiting step may be raised.
fn raise_after(candidate: &Candidate) -> Millis {
    // From one objective to three.
    let two = candidate.worthless_start.since(candidate.latest_start);
    candidate.since + two * (RAISE_OBJECTIVES / 2) as u32
}

fn summarise(state: &mut State, now: Millis, candidates: &[Candidate], events: &mut Vec<Event>) {
    if state.summarised_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
        return;
    }
    let mut summary = Summary::default();
    for candidate in candidates.iter().filter(|candidate| !candidate.guaranteed) {
        let count = match candidate.class {
            Class::InTime => &mut summary.in_time,
            Class::Deferred => &mut summary.deferred,
            Class::Late => &mut summary.late,
            Class::Worthless => &mut summary.worthless,
        };
        *count += 1;
    }
    if summary.deferred + summary.late + summary.worthless == 0 {
        return;
    }
    state.summarised_at = Some(now);
    events.push(Event::Shortage(summary));
}

/// Tells whether capacity may be reserved for a step while other runs end.
///
/// Reserved capacity is idle for a while. A late step gets it only in the second half of the time until
/// it is worthless, and a worthless one only once it is raised, so that they don't delay what can still
/// be in time.
pub(super) fn may_reserve(tables: &Tables, now: Millis, candidate: &Candidate) -> bool {
    if !tables.policy.shortage
        || candidate.guaranteed
        || tables.shortage.raised == Some(candidate.instance)
    {
        return true;
    }
    match candidate.class {
        Class::InTime | Class::Deferred => true,
        Class::Late => {
            let window = candidate.worthless_start.since(candidate.latest_start);
            candidate.worthless_start.since(now) * 2 <= window
        }
        Class::Worthless => false,
    }
}

/// Measure of what callers lose and gain when runs are stopped for a step.
#[value]
pub struct Measure {
    instance: StepInstance,
    now: Millis,
    guaranteed: bool,
    priority: u32,
    class: Class,
    latest_start: Millis,
    worthless_start: Millis,
    /// Time from the stop of a run until it can start again, at the least.
    pause_ms: u64,
    /// Work of the waiting tasks, in core-milliseconds.
    own_work: u64,
}

impl Measure {
    /// Creates the measure for `count` tasks of a step, which could start when runs that are stopped
    /// now have ended.
    pub fn of(
        tables: &Tables,
        now: Millis,
        candidate: &Candidate,
        step: &Step,
        count: u32,
    ) -> Self {
        let grace_ms = tables.bounds.stop_grace_ms;
        let (latest_start, worthless_start) = (candidate.latest_start, candidate.worthless_start);
        let start = now + Duration::from_millis(grace_ms);
        Measure {
            instance: candidate.instance,
            now,
            guaranteed: candidate.guaranteed,
            priority: candidate.priority,
            class: Class::at(start, latest_start, worthless_start),
            latest_start,
            worthless_start,
            pause_ms: grace_ms + rank::estimated_ms(step),
            own_work: preempt::cores(step) * rank::estimated_ms(step) * u64::from(count),
        }
    }

    /// Tells whether any gain of the step's caller is worth a cost.
    pub fn may_pay(&self, cost: u64) -> bool {
        cost <= self.own_work
    }

    /// Returns what the caller of a run loses when it is stopped, in core-milliseconds; `None` if that
    /// is out of proportion whatever the gain.
    pub fn price(&self, tables: &Tables, step: &Step, run: &Run, remaining_ms: u64) -> Option<u64> {
        let job = tables.jobs.get(&run.task.instance.job)?;
        let lost = preempt::lost_work(step, run, self.now);
        if !self.guaranteed && !self.may_pay(lost) {
            // It is out of reach already; the rest of the price makes no difference.
            return Some(lost);
        }
        let (before, after) = self.credits(job, step, run, remaining_ms);
        let is_late = self.class != Class::InTime;
        if is_late && !self.guaranteed && after < before && self.class.credit() < before {
            return None;
        }
        let at_stake = (before - after) * job_work(job, run) / u64::from(step.tasks.max(1));
        let levels = job.queue.priority.saturating_sub(self.priority).min(MAX_WEIGHT_LEVELS);
        let price = lost + (at_stake >> (levels * WEIGHT_BITS));
        Some(price.saturating_mul(1 + u64::from(stops(tables, run))))
    }

    /// Returns the credits that a run's job earns if the run goes on, and if it is stopped now.
    fn credits(&self, job: &Job, step: &Step, run: &Run, remaining_ms: u64) -> (u64, u64) {
        let instance = run.task.instance;
        let Some(occurrence) = job.occurrences.get(&instance.occurrence) else { return (0, 0) };
        let critical_path = job.critical_paths[usize::from(instance.step)];
        let rest = critical_path.saturating_sub(rank::estimated_ms(step));
        let has_waiting = job
            .waiting
            .iter()
            .any(|row| row.occurrence == instance.occurrence && row.step == instance.step);
        // A step with waiting tasks does not end before these.
        let left = if has_waiting { critical_path } else { remaining_ms + rest };
        let again = if step.checkpoints { remaining_ms + rest } else { critical_path };
        let objective = rank::objective_ms(job);
        let credit = |ends_in: u64| {
            let end = self.now + Duration::from_millis(ends_in);
            let latest = occurrence.due + Duration::from_millis(objective);
            let worthless =
                occurrence.due + Duration::from_millis(rank::WORTHLESS_FACTOR * objective);
            Class::at(end, latest, worthless).credit()
        };
        let before = credit(left);
        (before, credit(self.pause_ms + again).min(before))
    }

    /// Decides whether to stop runs at a cost, given the time in which capacity is expected to come
    /// free by itself.
    pub fn weigh(&self, cost: u64, wait_ms: Option<u64>) -> Weighing {
        let later = wait_ms.map_or(Class::Worthless, |ms| {
            let start = self.now + Duration::from_millis(ms);
            Class::at(start, self.latest_start, self.worthless_start)
        });
        let gain = match self.class {
            class if later <= class => 0,
            Class::InTime | Class::Deferred => self.own_work,
            Class::Late | Class::Worthless => self.own_work / LATE_WORK_DIVISOR,
        };
        let verdict = if 0 < gain && cost <= gain {
            Verdict::Preempt
        } else if gain == 0 && self.class == Class::InTime {
            Verdict::Wait
        } else {
            Verdict::Decline
        };
        Weighing { instance: self.instance, verdict, cost, gain, wait_ms }
    }
}

/// Returns the work of a run's step and of those that follow, in core-milliseconds.
fn job_work(job: &Job, run: &Run) -> u64 {
    let number = usize::from(run.task.instance.step);
    let critical_path = job.critical_paths[number];
    job.steps()
        .iter()
        .zip(&job.critical_paths)
        .enumerate()
        .filter(|(index, (_, path))| *index == number || **path < critical_path)
        .map(|(_, (step, _))| {
            preempt::cores(step) * rank::estimated_ms(step) * u64::from(step.tasks)
        })
        .sum()
}

/// Returns how often a run's task was stopped before, judging by its runs that did not fail.
fn stops(tables: &Tables, run: &Run) -> u32 {
    if run.number <= 1 {
        return 0;
    }
    let failures = tables.task_state(run.task).map_or(0, |task_state| task_state.failures);
    (run.number - 1).saturating_sub(failures)
}

/// Records a weighing for the log, unless one of the same step was recorded a short while ago.
pub(super) fn record(
    tables: &mut Tables,
    now: Millis,
    weighing: Weighing,
    events: &mut Vec<Event>,
) {
    let known = tables.shortage.weighed.get(&weighing.instance);
    let is_recent = known.is_some_and(|at| now.since(*at) < LOG_INTERVAL);
    if is_recent && weighing.verdict != Verdict::Preempt {
        return;
    }
    tables.shortage.weighed.insert(weighing.instance, now);
    events.push(Event::Weighed(weighing));
}
