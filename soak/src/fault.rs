//! Draws the faults of a seed and their times.

use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_stand_in::store;
use lavendergauge_stand_in::worker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::link::Mode;

/// Mean time between two faults, in milliseconds.
const MEAN_GAP_MS: u64 = 1100;
/// One in this many faults is followed by a lull, a time without faults.
const FAULTS_PER_LULL: u32 = 7;
/// Length of a lull; long enough for the time bounds to apply and be checked.
const LULL: Duration = Duration::from_millis(9000);
/// Mean time between two faults of capacity or demand, in milliseconds.
const MEAN_DEMAND_GAP_MS: u64 = 2500;
/// One in this many faults of capacity or demand is a job that crashes workers.
const SHRINKS_PER_CRASHING_JOB: u32 = 5;
/// Probability that a fault is repeated as soon as it ends, in percent.
const REPEAT_PERCENT: u32 = 15;

/// Number of entries and workers of a fleet.
#[value]
#[derive(Copy)]
pub struct FleetSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with an agent.
    pub workers: usize,
}

impl FleetSize {
    /// Returns the number of processes; in their numbering the entries come first.
    pub fn processes(self) -> usize {
        self.entries + self.workers
    }
}

/// A fault. A number is the index of the process or worker that it affects; a duration says how
/// long it lasts.
#[value]
#[derive(Copy)]
pub enum Fault {
    /// A process is killed, and started again after the duration.
    Kill(usize, Duration),
    /// A process is asked to stop gracefully, and started again.
    Stop(usize),
    /// A process is paused by a signal.
    Pause(usize, Duration),
    /// A process reloads its settings on a signal.
    Reload(usize),
    /// All processes are killed, and started again.
    KillAll,
    /// The connections to a process are delayed or partitioned.
    Link(usize, Mode, Duration),
    /// The connections from a process to the store are delayed or partitioned.
    StoreLink(usize, Mode, Duration),
    /// The open connections to a process, and from it to the store, are reset.
    Reset(usize),
    /// The open connections to a process, and from it to the store, go silent for good.
    Silence(usize),
    /// The store misbehaves for all processes.
    Store(store::Fault, Duration),
    /// The store misbehaves for one process.
    StoreForOne(usize, store::Fault, Duration),
    /// The store discards its history of changes.
    Compact,
    /// The store is silent, and every lease has expired when it answers again.
    ExpireLeases(Duration),
    /// A worker crashes, and restarts after the duration.
    Crash(usize, Duration),
    /// A worker misbehaves.
    Worker(usize, worker::Fault, Duration),
    /// A worker drains, leaves, and restarts.
    Leave(usize),
    /// A new version of the configuration is stored.
    Config,
    /// An account's key is removed, and restored after the duration.
    Revoke(Duration),
    /// A worker's data centre is taken out, and back in after the duration.
    Evacuate(usize, Duration),
    /// Many jobs are submitted at once.
    Burst,
    /// A worker has fewer accelerators for the duration.
    Shrink(usize, u32, Duration),
    /// A job is submitted whose tasks crash the workers that start them.
    CrashingJob,
}

impl Fault {
    /// Returns its name in reports.
    pub fn kind(self) -> &'static str {
        match self {
            Fault::Kill(..) => "process killed",
            Fault::Stop(_) => "process stopped gracefully",
            Fault::Pause(..) => "process paused",
            Fault::Reload(_) => "settings reloaded",
            Fault::KillAll => "all processes killed",
            Fault::Link(..) => "path to a process disturbed",
            Fault::StoreLink(..) => "path to the store disturbed",
            Fault::Reset(_) => "connections reset",
            Fault::Silence(_) => "connections gone silent",
            Fault::Store(..) => "store misbehaves",
            Fault::StoreForOne(..) => "store misbehaves towards one",
            Fault::Compact => "history of the store gone",
            Fault::ExpireLeases(_) => "leases lapsed",
            Fault::Crash(..) => "worker crashed",
            Fault::Worker(..) => "worker misbehaves",
            Fault::Leave(_) => "worker left",
            Fault::Config => "configuration changed",
            Fault::Revoke(_) => "key taken away",
            Fault::Evacuate(..) => "data centre taken out",
            Fault::Burst => "burst of jobs",
            Fault::Shrink(..) => "worker shrunk",
            Fault::CrashingJob => "job that crashes workers",
        }
    }

    /// Returns its duration; zero for a fault that happens at one moment.
    pub fn duration(self) -> Duration {
        match self {
            Fault::Kill(_, duration)
            | Fault::Pause(_, duration)
            | Fault::Link(_, _, duration)
            | Fault::StoreLink(_, _, duration)
            | Fault::Store(_, duration)
            | Fault::StoreForOne(_, _, duration)
            | Fault::ExpireLeases(duration)
            | Fault::Crash(_, duration)
            | Fault::Worker(_, _, duration)
            | Fault::Revoke(duration)
            | Fault::Evacuate(_, duration)
            | Fault::Shrink(_, _, duration) => duration,
            _ => Duration::ZERO,
        }
    }
}

/// A fault with its time.
#[value]
#[derive(Copy)]
pub struct Planned {
    /// Time since the start of the load.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a seed, ordered by time; all of them have ended by `length`.
///
/// ```
/// use lavendergauge_soak::fault;
/// use lavendergauge_soak::fault::FleetSize;
/// use std::time::Duration;
/// let size = FleetSize { entries: 3, workers: 4 };
/// let plan = fault::plan(7, size, Duration::from_secs(20));
/// assert_eq!(plan, fault::plan(7, size, Duration::from_secs(20)));
/// ```
pub fn plan(seed: u64, size: FleetSize, length: Duration) -> Vec<Planned> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(500..MEAN_GAP_MS));
    while at < length {
        let fault = draw(&mut rng, size);
        if at + fault.duration() < length {
            plan.push(Planned { at, fault });
        }
        if rng.random_ratio(1, FAULTS_PER_LULL) {
            at += fault.duration() + LULL;
        } else if !rng.random_ratio(REPEAT_PERCENT, 100) {
            at += Duration::from_millis(rng.random_range(50..2 * MEAN_GAP_MS));
        } else if at + fault.duration() < length {
            plan.push(Planned { at: at + fault.duration(), fault });
        }
    }
    plan.extend(plan_demand(seed, size, length));
    plan.retain(|planned| planned.at + planned.fault.duration() < length);
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Draws the faults of capacity and demand of a seed, from random numbers of their own, so that the other
/// faults of the seed do not depend on them.
fn plan_demand(seed: u64, size: FleetSize, length: Duration) -> Vec<Planned> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(500..2 * MEAN_DEMAND_GAP_MS));
        if length <= at {
            return plan;
        }
        let duration = Duration::from_millis(rng.random_range(1000..8000));
        let worker = rng.random_range(0..size.workers);
        let fault = if rng.random_ratio(1, SHRINKS_PER_CRASHING_JOB) {
            Fault::CrashingJob
        } else {
            Fault::Shrink(worker, rng.random_range(0..8), duration)
        };
        plan.push(Planned { at, fault });
    }
}

/// Draws one fault.
fn draw(rng: &mut SmallRng, size: FleetSize) -> Fault {
    let any_process = rng.random_range(0..size.processes());
    // One of the entries is the planner, so entries get more than their share of the faults.
    let process =
        if rng.random_bool(0.5) { rng.random_range(0..size.entries) } else { any_process };
    let worker = rng.random_range(0..size.workers);
    let duration = Duration::from_millis(rng.random_range(300..5000));
    match rng.random_range(0..24) {
        0..=2 => Fault::Kill(process, duration),
        3 | 4 => Fault::Stop(process),
        5 | 6 => Fault::Pause(process, duration),
        7 => Fault::Reload(process),
        8 => Fault::KillAll,
        9 | 10 => Fault::Link(process, draw_mode(rng), duration),
        11 => Fault::StoreLink(process, draw_mode(rng), duration),
        12 => Fault::Reset(process),
        13 => Fault::Silence(process),
        14 => Fault::Store(draw_store_fault(rng), duration),
        15 => Fault::StoreForOne(process, draw_store_fault(rng), duration),
        16 => Fault::Compact,
        17 => Fault::ExpireLeases(duration),
        18 => Fault::Crash(worker, duration),
        19 => Fault::Worker(worker, draw_worker_fault(rng), duration),
        20 => Fault::Leave(worker),
        21 => Fault::Config,
        22 => Fault::Revoke(duration),
        _ if rng.random_bool(0.5) => Fault::Evacuate(worker, duration),
        _ => Fault::Burst,
    }
}

fn draw_mode(rng: &mut SmallRng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Delay(rng.random_range(20..900)),
        1 => Mode::HoldForward,
        2 => Mode::HoldBackward,
        _ => Mode::Partition,
    }
}

fn draw_store_fault(rng: &mut SmallRng) -> store::Fault {
    match rng.random_range(0..5) {
        0 => store::Fault::Busy,
        1 => store::Fault::Silent,
        2 => store::Fault::Lost,
        3 => store::Fault::Late,
        _ => store::Fault::Slow(rng.random_range(50..700)),
    }
}

fn draw_worker_fault(rng: &mut SmallRng) -> worker::Fault {
    match rng.random_range(0..5) {
        0 => worker::Fault::Silent,
        1 => worker::Fault::Mute,
        2 => worker::Fault::Late,
        3 => worker::Fault::Hangs,
        _ => worker::Fault::Fails,
    }
}
