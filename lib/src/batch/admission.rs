//! Decides which submissions are refused because they cannot start in time to be of any worth.
//!
//! The leader surveys its tables and publishes a [`Digest`] of the times to start; the entries decide
//! by it. Where the digest simplifies, it underestimates these times, so that a refusal is certain.

use std::collections::BTreeMap;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::config::Queue;
use crate::batch::job::Step;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::clock::Millis;
use crate::resource::Resources;

/// Time to which starts are simulated, in milliseconds. No start is announced to be later.
const HORIZON_MS: u64 = 240_000;
/// Sizes for which times to start are announced, in thousandths of a service's capacity.
const SIZES_PERMILLE: [u32; 9] = [1, 5, 10, 20, 50, 100, 200, 350, 500];
/// Critical paths of jobs for which times to start are announced, in milliseconds. A job with a longer
/// one has more time, and ranks behind more of the waiting work.
const CRITICAL_PATHS_MS: [u64; 4] = [0, 2000, 6000, 16_000];
/// Time since a worker's newest list for which it counts as capacity, in milliseconds: a leader that
/// does not reach its workers for a moment must not conclude that there are none.
const CAPACITY_SILENCE_MS: u64 = 10_000;
/// Time after a takeover without a digest, in milliseconds: not all workers have reported yet.
const SETTLE_MS: u64 = 4000;
/// Steps that are considered for overtaking one that does not fit. Neglecting those behind them leaves
/// more capacity for a newcomer.
const MAX_OVERTAKING: usize = 64;
/// Precision of the end of a long run in the simulation, in milliseconds.
const PRECISION_MS: u64 = 100;
/// Runs of a queue whose progress has to be known before it corrects the queue's estimates.
const MIN_PACE_RUNS: u64 = 8;
/// Least progress, in percent, from which the end of a run is extrapolated.
const MIN_PROGRESS: u32 = 10;
/// Bounds of the correction of a queue's estimates, in thousandths.
const PACE_BOUNDS: (u64, u64) = (250, 4000);
/// Maximum number of accounts of a queue whose waiting work is announced.
const MAX_ACCOUNTS: usize = 16;
/// Least difference of two times to start that changes the entries' decisions, in milliseconds.
const NOTABLE_MS: u64 = 1000;

/// Dimension of a service's capacity by which a step is sized: accelerators if it needs any.
#[token]
pub enum Dimension {
    /// Accelerators.
    Accelerators,
    /// Processors.
    Processors,
}

impl Dimension {
    /// Returns the dimension of a need; `None` if it needs neither accelerators nor processors.
    fn of(need: Resources) -> Option<Dimension> {
        if need.accelerators != 0 {
            return Some(Dimension::Accelerators);
        }
        (need.processors != 0).then_some(Dimension::Processors)
    }

    fn amount(self, resources: Resources) -> u32 {
        match self {
            Dimension::Accelerators => resources.accelerators,
            Dimension::Processors => resources.processors,
        }
    }
}

/// What the leader tells the entries about its queue.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Digest {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number of the digest in the leader's term; each is higher than the one before.
    pub number: u64,
    /// The services with waiting work.
    pub pools: Vec<Pool>,
    /// The queues of these services.
    pub outlooks: Vec<Outlook>,
}

/// The capacity of a service.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Pool {
    /// Service.
    pub service: String,
    /// Accelerators of all its workers.
    pub accelerators: u32,
    /// Processors of all its workers, in thousandths of a core.
    pub processors: u32,
    /// Workers by the number of their free accelerators.
    pub free: Vec<Room>,
}

/// Workers with the same number of free accelerators.
#[value]
#[derive(Copy, Default, Serialize, Deserialize)]
pub struct Room {
    /// Number of workers.
    pub workers: u32,
    /// Free accelerators of each.
    pub accelerators: u32,
    /// Most free processors of one of them, in thousandths of a core.
    pub processors: u32,
    /// Most free memory of one of them, in megabytes.
    pub memory_mb: u64,
}

/// What a newcomer to a queue has to expect.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Outlook {
    /// Name of the queue.
    pub queue: String,
    /// Service of the queue.
    pub service: String,
    /// Priority of the queue that the times assume.
    pub priority: u32,
    /// Waiting work by account, the largest first; bounded.
    pub backlogs: Vec<Backlog>,
    /// Times to start by the critical path of the newcomer, the shortest first.
    pub starts: Vec<Start>,
}

/// Waiting work of an account in a queue.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Backlog {
    /// Account; empty for none.
    pub account: String,
    /// Tasks times accelerators times expected run time.
    pub accelerator_ms: u64,
}

/// Least times to start for jobs whose critical path is at least as long.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Start {
    /// The critical path, in milliseconds.
    pub critical_path_ms: u64,
    /// For steps sized by accelerators, by size, in milliseconds.
    pub by_accelerators: Vec<u64>,
    /// For steps sized by processors, by size, in milliseconds.
    pub by_processors: Vec<u64>,
}

/// Copy of what a digest is computed from.
#[row]
pub struct Survey {
    services: BTreeMap<String, Service>,
    queues: Vec<Queue>,
    at: Millis,
}

/// Capacity and work of one service.
#[row]
#[derive(Default)]
struct Service {
    capacity: Resources,
    free: Resources,
    rooms: BTreeMap<u32, Room>,
    /// Resources that runs release, by the priority of their queue and the time.
    releases: BTreeMap<(u32, u64), Resources>,
    waiting: Vec<Waiting>,
}

/// A waiting step, in the order of rank.
#[row]
struct Waiting {
    queue: String,
    account: String,
    guaranteed: bool,
    priority: u32,
    is_worthless: bool,
    latest_start: Millis,
    /// Resources that it takes at a time: of the gang, or of one task.
    unit: Resources,
    units: u32,
    /// `None` for tasks that do not end by themselves.
    run_ms: Option<u64>,
}

/// Returns what a step needs to start: the whole gang, or one task.
fn unit(step: &Step) -> Resources {
    step.resources().times(if step.gang { step.tasks } else { 1 })
}

/// Copies from the tables what a digest is computed from; `None` while too little is known, since the
/// planner has just taken over.
///
/// ```
/// use lavendergauge_lib::batch::admission;
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let tables = Tables::new(bounds, Millis(0));
/// assert!(admission::survey(&tables, Millis(100)).is_none());
/// assert!(admission::survey(&tables, Millis(60_000)).is_some());
/// ```
pub fn survey(tables: &Tables, now: Millis) -> Option<Survey> {
    if now.0 < tables.took_over.0 + SETTLE_MS {
        return None;
    }
    let mut services: BTreeMap<String, Service> = BTreeMap::new();
    let paces = paces(tables);
    let pace = |queue: &str| paces.get(queue).copied().unwrap_or(1000);
    let availability = Availability::of(tables, now);
    for (key, worker) in &tables.workers {
        if !counts(tables, worker, now) {
            continue;
        }
        let service = services.entry(worker.service.clone()).or_default();
        service.capacity = service.capacity.plus(worker.capacity);
        service.free = service.free.plus(worker.free());
        // Capacity reserved for a waiting step is no room for a newcomer.
        let free = availability.unreserved(tables, key);
        let room = service.rooms.entry(free.accelerators).or_default();
        *room = Room {
            workers: room.workers + 1,
            accelerators: free.accelerators,
            processors: room.processors.max(free.processors),
            memory_mb: room.memory_mb.max(free.memory_mb),
        };
        for run in worker.runs.iter().filter_map(|key| tables.runs.get(*key)) {
            if run.incarnation != worker.incarnation {
                continue;
            }
            let Some(job) = tables.jobs.get(&run.task.instance.job) else { continue };
            let step = &job.steps()[usize::from(run.task.instance.step)];
            let expected = rank::estimated_ms(step) * pace(&job.queue.name) / 1000;
            if step.long_running && !matches!(run.phase, Phase::Stopping(_)) {
                continue;
            }
            let key = (job.queue.priority, rounded(remaining_ms(run, expected, now)));
            let sum = service.releases.entry(key).or_default();
            *sum = sum.plus(run.demand);
        }
    }
    for Candidate { instance, guaranteed, priority, is_worthless, latest_start, waiting, .. } in
        rank::candidates(tables, &rank::covered(tables), now)
    {
        let Some(job) = tables.jobs.get(&instance.job) else { continue };
        let Some(service) = services.get_mut(&job.queue.service) else { continue };
        let step = &job.steps()[usize::from(instance.step)];
        service.waiting.push(Waiting {
            queue: job.queue.name.clone(),
            account: job.record.account.clone(),
            guaranteed,
            priority,
            is_worthless,
            latest_start,
            unit: unit(step),
            units: if step.gang { 1 } else { waiting.len() as u32 },
            run_ms: (!step.long_running)
                .then(|| rank::estimated_ms(step) * pace(&job.queue.name) / 1000),
        });
    }
    Some(Survey { services, queues: tables.config.queues.clone(), at: now })
}

/// Tells whether a worker is part of its service's capacity.
fn counts(tables: &Tables, worker: &Worker, now: Millis) -> bool {
    let is_silent = worker.last_answer.is_none_or(|at| at.0 + CAPACITY_SILENCE_MS <= now.0);
    (place::takes_work(worker, now) || worker.ready && !is_silent)
        && !tables.evacuated.contains(&worker.data_centre)
}

/// Returns the time after which a run is expected to end, in milliseconds.
fn remaining_ms(run: &Run, expected_ms: u64, now: Millis) -> u64 {
    if matches!(run.phase, Phase::Stopping(_)) {
        return 0;
    }
    let idle = now.since(run.progressed_at).as_millis() as u64;
    match extrapolated_ms(run) {
        Some(whole) => (whole * u64::from(100 - run.percent.min(100)) / 100).saturating_sub(idle),
        None => expected_ms.saturating_sub(now.since(run.since).as_millis() as u64),
    }
}

/// Returns the time that a run takes in all at its present progress, in milliseconds.
fn extrapolated_ms(run: &Run) -> Option<u64> {
    let gained = run.percent.saturating_sub(run.first_percent);
    let worked = run.progressed_at.since(run.seen_at?).as_millis() as u64;
    (MIN_PROGRESS <= gained).then(|| worked * 100 / u64::from(gained))
}

/// Returns for each queue the ratio of the run times that the progress of its runs shows to their
/// estimates, in thousandths.
fn paces(tables: &Tables) -> BTreeMap<&str, u64> {
    let mut sums: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    for run in tables.runs.values() {
        let (Some(whole), Some(job)) =
            (extrapolated_ms(run), tables.jobs.get(&run.task.instance.job))
        else {
            continue;
        };
        let step = &job.steps()[usize::from(run.task.instance.step)];
        let (runs, shown, estimated) = sums.entry(job.queue.name.as_str()).or_default();
        *runs += 1;
        *shown += whole;
        *estimated += rank::estimated_ms(step);
    }
    let (least, most) = PACE_BOUNDS;
    sums.into_iter()
        .filter(|(_, (runs, ..))| MIN_PACE_RUNS <= *runs)
        .map(|(queue, (_, shown, estimated))| {
            (queue, (shown * 1000 / estimated.max(1)).clamp(least, most))
        })
        .collect()
}

/// Computes a digest.
///
/// ```
/// use lavendergauge_lib::batch::admission;
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let survey = admission::survey(&Tables::new(bounds, Millis(0)), Millis(60_000)).unwrap();
/// assert!(admission::digest(&survey, 1, 1).outlooks.is_empty(), "nothing waits");
/// ```
pub fn digest(survey: &Survey, fence: u64, number: u64) -> Digest {
    let mut digest = Digest { fence, number, ..Digest::default() };
    for (name, service) in survey.services.iter().filter(|(_, service)| !service.waiting.is_empty())
    {
        digest.pools.push(Pool {
            service: name.clone(),
            accelerators: service.capacity.accelerators,
            processors: service.capacity.processors,
            free: service.rooms.values().copied().collect(),
        });
        for queue in survey.queues.iter().filter(|queue| queue.service == *name) {
            digest.outlooks.push(Outlook {
                queue: queue.name.clone(),
                service: name.clone(),
                priority: queue.priority,
                backlogs: backlogs(service, &queue.name),
                starts: CRITICAL_PATHS_MS
                    .iter()
                    .map(|critical_path_ms| start(service, queue, *critical_path_ms, survey.at))
                    .collect(),
            });
        }
    }
    digest
}

/// Returns the waiting work of a queue by account.
fn backlogs(service: &Service, queue: &str) -> Vec<Backlog> {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for row in service.waiting.iter().filter(|row| row.queue == queue) {
        let accelerators = u64::from(row.unit.accelerators) * u64::from(row.units);
        *sums.entry(&row.account).or_default() += accelerators * row.run_ms.unwrap_or(HORIZON_MS);
    }
    let mut backlogs: Vec<Backlog> = sums
        .into_iter()
        .map(|(account, accelerator_ms)| Backlog { account: account.to_owned(), accelerator_ms })
        .collect();
    backlogs.sort_by_key(|backlog| std::cmp::Reverse(backlog.accelerator_ms));
    backlogs.truncate(MAX_ACCOUNTS);
    backlogs
}

/// Returns the least times to start for a newcomer to a queue.
fn start(service: &Service, queue: &Queue, critical_path_ms: u64, now: Millis) -> Start {
    let latest_start =
        Millis((now.0 + objective_ms(queue, critical_path_ms)).saturating_sub(critical_path_ms));
    let is_ahead = |row: &&Waiting| {
        row.guaranteed
            || row.priority < queue.priority
            || row.priority == queue.priority
                && !row.is_worthless
                && row.latest_start <= latest_start
    };
    let ahead: Vec<&Waiting> = service.waiting.iter().filter(is_ahead).collect();
    let mut starts = simulate(service, &ahead, queue.priority, 0);
    for (row, dimension) in starts.iter_mut().zip([Dimension::Accelerators, Dimension::Processors])
    {
        let is_sized = |row: &Waiting| Dimension::of(row.unit) == Some(dimension);
        if !service.waiting.iter().any(is_sized) {
            // There is no evidence for steps of this kind.
            *row = Default::default();
            continue;
        }
        for (size, start) in row.iter_mut().enumerate() {
            // Larger steps may find no place in fragments of capacity that hold a small one.
            let amount = amount_of(service.capacity, dimension, SIZES_PERMILLE[size]);
            let is_no_larger = |row: &&&Waiting| u64::from(dimension.amount(row.unit)) <= amount;
            let rivals: Vec<&Waiting> = ahead.iter().filter(is_no_larger).copied().collect();
            let overtaking = simulate(service, &rivals, queue.priority, MAX_OVERTAKING);
            *start = (*start).min(overtaking[dimension as usize][size]);
        }
    }
    let [by_accelerators, by_processors] = starts.map(Vec::from);
    Start { critical_path_ms, by_accelerators, by_processors }
}

/// Returns the amount of a size: a share of a capacity, at least one.
fn amount_of(capacity: Resources, dimension: Dimension, permille: u32) -> u64 {
    (u64::from(dimension.amount(capacity)) * u64::from(permille) / 1000).max(1)
}

/// Simulates the service as one pool of capacity; returns when there is room for a step of each size,
/// by dimension, after the steps `ahead` have taken theirs.
///
/// Up to `overtaking` steps may start before one that does not fit; 0 for strict order. Runs of less
/// urgent queues count as free, since they can be preempted.
fn simulate(
    service: &Service,
    ahead: &[&Waiting],
    priority: u32,
    overtaking: usize,
) -> [[u64; SIZES_PERMILLE.len()]; 2] {
    let mut starts = [[HORIZON_MS; SIZES_PERMILLE.len()]; 2];
    let mut releases: BTreeMap<u64, Resources> = BTreeMap::new();
    let mut free = service.free;
    for ((of_priority, at_ms), demand) in &service.releases {
        if priority < *of_priority {
            free = free.plus(*demand);
        } else {
            release(&mut releases, *at_ms, *demand);
        }
    }
    let mut waiting: Vec<(&Waiting, u32)> = ahead.iter().map(|row| (*row, row.units)).collect();
    let mut at = 0;
    while at < HORIZON_MS {
        let mut blocked = 0;
        waiting.retain_mut(|(row, units)| {
            if overtaking < blocked {
                return true;
            }
            let count = free.count_fitting(row.unit, *units);
            free = free.minus(row.unit.times(count));
            if let Some(run_ms) = row.run_ms.filter(|_| count != 0) {
                release(&mut releases, at + run_ms.max(1), row.unit.times(count));
            }
            *units -= count;
            blocked += usize::from(*units != 0);
            *units != 0
        });
        if overtaking != 0 || waiting.is_empty() {
            note_room(&mut starts, free, service.capacity, at);
        }
        if starts.iter().flatten().all(|start| *start < HORIZON_MS) {
            break;
        }
        let Some((next, demand)) = releases.pop_first() else { break };
        at = at.max(next);
        free = free.plus(demand);
    }
    starts
}

/// Schedules a release.
fn release(releases: &mut BTreeMap<u64, Resources>, at_ms: u64, demand: Resources) {
    let sum = releases.entry(rounded(at_ms)).or_default();
    *sum = sum.plus(demand);
}

/// Rounds the time of a release down, unless it is near, so that the simulation has fewer steps.
fn rounded(at_ms: u64) -> u64 {
    if at_ms < PRECISION_MS * 10 { at_ms } else { at_ms / PRECISION_MS * PRECISION_MS }
}

/// Notes the time for the sizes for which there is room.
fn note_room(
    starts: &mut [[u64; SIZES_PERMILLE.len()]; 2],
    free: Resources,
    capacity: Resources,
    at: u64,
) {
    for (row, dimension) in starts.iter_mut().zip([Dimension::Accelerators, Dimension::Processors])
    {
        for (start, size) in row.iter_mut().zip(SIZES_PERMILLE) {
            let needed = amount_of(capacity, dimension, size);
            if *start == HORIZON_MS && needed <= u64::from(dimension.amount(free)) {
                *start = at;
            }
        }
    }
}

/// Tells whether two digests lead to the same decisions, apart from small differences.
///
/// ```
/// use lavendergauge_lib::batch::admission;
/// use lavendergauge_lib::batch::admission::Digest;
/// let later = Digest { number: 2, ..Digest::default() };
/// assert!(admission::is_alike(&Digest::default(), &later));
/// ```
pub fn is_alike(one: &Digest, other: &Digest) -> bool {
    let key = |outlook: &Outlook| (outlook.queue.clone(), outlook.priority);
    let times = |digest: &Digest| -> Vec<u64> {
        let starts = digest.outlooks.iter().flat_map(|outlook| &outlook.starts);
        starts
            .flat_map(|row| [&row.by_accelerators, &row.by_processors])
            .flatten()
            .copied()
            .collect()
    };
    one.fence == other.fence
        && one.outlooks.iter().map(key).eq(other.outlooks.iter().map(key))
        && times(one).iter().zip(&times(other)).all(|(a, b)| a.abs_diff(*b) < NOTABLE_MS)
}

/// Returns the time in which a job with a critical path should end, in milliseconds.
fn objective_ms(queue: &Queue, critical_path_ms: u64) -> u64 {
    critical_path_ms * queue.stretch_permille / 1000 + queue.target_ms
}

/// Returns the least time to start for a step of a job with a critical path, by an outlook.
fn start_of(pool: &Pool, outlook: &Outlook, step: &Step, critical_path_ms: u64) -> Option<u64> {
    let need = unit(step);
    let dimension = Dimension::of(need)?;
    let capacity = Resources {
        accelerators: pool.accelerators,
        processors: pool.processors,
        ..Resources::default()
    };
    let is_smaller =
        |size: &u32| amount_of(capacity, dimension, *size) <= u64::from(dimension.amount(need));
    let size = SIZES_PERMILLE.iter().rposition(is_smaller)?;
    let start = outlook.starts.iter().rfind(|row| row.critical_path_ms <= critical_path_ms)?;
    let row = match dimension {
        Dimension::Accelerators => &start.by_accelerators,
        Dimension::Processors => &start.by_processors,
    };
    row.get(size).copied()
}

/// Tells whether the free workers have room for the first tasks of a step: all of a gang, else one.
fn has_room(pool: &Pool, step: &Step) -> bool {
    let needed = if step.gang { step.tasks } else { 1 };
    let fitting = |room: &Room| {
        let free = Resources {
            accelerators: room.accelerators,
            processors: room.processors,
            memory_mb: room.memory_mb,
        };
        free.count_fitting(step.resources(), needed) * room.workers
    };
    needed <= pool.free.iter().map(fitting).sum::<u32>()
}

/// When a job is expected to start, and when that becomes worthless.
#[value]
#[derive(Copy)]
pub struct Prospect {
    /// Least time to start by the digest, in milliseconds.
    pub start_ms: u64,
    /// Time after which a start is of no worth to the caller, in milliseconds.
    pub worthless_ms: u64,
}

/// Returns what a digest says about a job of a queue; `None` if it says nothing, or if there is room
/// for a first step of the job.
///
/// ```
/// use lavendergauge_lib::batch::admission;
/// use lavendergauge_lib::batch::admission::Digest;
/// use lavendergauge_lib::batch::config::Queue;
/// assert_eq!(admission::prospect(&Digest::default(), &Queue::default(), &[]), None);
/// ```
pub fn prospect(digest: &Digest, queue: &Queue, steps: &[Step]) -> Option<Prospect> {
    let outlook = digest.outlooks.iter().find(|outlook| {
        // The times hold for the queue as the leader knows it.
        outlook.queue == queue.name
            && outlook.priority == queue.priority
            && outlook.service == queue.service
    })?;
    let pool = digest.pools.iter().find(|pool| pool.service == queue.service)?;
    let critical_path_ms = rank::critical_paths(steps).into_iter().max()?;
    let mut start_ms: Option<u64> = None;
    for step in steps.iter().filter(|step| step.after.is_empty()) {
        if has_room(pool, step) {
            return None;
        }
        let start = start_of(pool, outlook, step, critical_path_ms)?;
        start_ms = Some(start_ms.map_or(start, |known| known.min(start)));
    }
    let worthless_ms = (rank::WORTHLESS_FACTOR * objective_ms(queue, critical_path_ms))
        .saturating_sub(critical_path_ms);
    Some(Prospect { start_ms: start_ms?, worthless_ms })
}
