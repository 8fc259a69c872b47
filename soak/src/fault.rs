//! Which faults a seed draws, and when they strike.

use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_stand_in::store;
use lavendergauge_stand_in::worker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::link::Mode;

/// Mean time between two faults.
const BETWEEN_MS: u64 = 1100;
/// Faults of which one is followed by a lull.
const LULL_EACH: u32 = 7;
/// A lull: long enough for the bounds in time to hold and to be judged.
const LULL: Duration = Duration::from_millis(9000);
/// Chance that a fault is followed by the same one again at once, in percent.
const SERIES_PERCENT: u32 = 15;

/// How many of each there are.
#[value]
#[derive(Copy)]
pub struct Shape {
    /// Entries.
    pub entries: usize,
    /// Workers, each with an agent.
    pub workers: usize,
}

impl Shape {
    /// Returns the number of processes; entries come first.
    pub fn processes(self) -> usize {
        self.entries + self.workers
    }
}

/// Something that goes wrong.
#[value]
#[derive(Copy)]
pub enum Fault {
    /// A process is killed and comes back after a while.
    Kill(usize, Duration),
    /// A process is asked to end.
    Stop(usize),
    /// A process stands still for a while.
    Pause(usize, Duration),
    /// A process is told that its settings have changed.
    Reload(usize),
    /// All processes are killed.
    Dark,
    /// The path to a process is disturbed for a while.
    Path(usize, Mode, Duration),
    /// The path of a process to the store is disturbed for a while.
    StorePath(usize, Mode, Duration),
    /// The connections to a process and of it to the store are reset.
    Reset(usize),
    /// They go silent for good.
    Silence(usize),
    /// The store misbehaves towards all for a while.
    Store(store::Fault, Duration),
    /// The store misbehaves towards one process for a while.
    StoreFor(usize, store::Fault, Duration),
    /// The store forgets its history.
    Compact,
    /// The store is down while leases run out.
    Lapse(Duration),
    /// A worker crashes and comes back after a while.
    Crash(usize, Duration),
    /// A worker misbehaves for a while.
    Worker(usize, worker::Fault, Duration),
    /// A worker drains, leaves, and comes back.
    Leave(usize),
    /// The configuration changes.
    Config,
    /// A key is taken away, and given back after a while.
    Revoke(Duration),
    /// A data centre is taken out for a while.
    Evacuate(usize, Duration),
    /// Many jobs come at once.
    Burst,
}

impl Fault {
    /// Returns what a report calls it.
    pub fn kind(self) -> &'static str {
        match self {
            Fault::Kill(..) => "process killed",
            Fault::Stop(_) => "process stopped gracefully",
            Fault::Pause(..) => "process paused",
            Fault::Reload(_) => "settings reloaded",
            Fault::Dark => "all processes killed",
            Fault::Path(..) => "path to a process disturbed",
            Fault::StorePath(..) => "path to the store disturbed",
            Fault::Reset(_) => "connections reset",
            Fault::Silence(_) => "connections gone silent",
            Fault::Store(..) => "store misbehaves",
            Fault::StoreFor(..) => "store misbehaves towards one",
            Fault::Compact => "history of the store gone",
            Fault::Lapse(_) => "leases lapsed",
            Fault::Crash(..) => "worker crashed",
            Fault::Worker(..) => "worker misbehaves",
            Fault::Leave(_) => "worker left",
            Fault::Config => "configuration changed",
            Fault::Revoke(_) => "key taken away",
            Fault::Evacuate(..) => "data centre taken out",
            Fault::Burst => "burst of jobs",
        }
    }

    /// Returns how long it lasts.
    pub fn span(self) -> Duration {
        match self {
            Fault::Kill(_, span)
            | Fault::Pause(_, span)
            | Fault::Path(_, _, span)
            | Fault::StorePath(_, _, span)
            | Fault::Store(_, span)
            | Fault::StoreFor(_, _, span)
            | Fault::Lapse(span)
            | Fault::Crash(_, span)
            | Fault::Worker(_, _, span)
            | Fault::Revoke(span)
            | Fault::Evacuate(_, span) => span,
            _ => Duration::ZERO,
        }
    }
}

/// A fault and when it strikes, from the start of the load.
#[value]
#[derive(Copy)]
pub struct Planned {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// Draws the faults of a seed; all of them are over after `length`.
///
/// ```
/// use lavendergauge_soak::fault;
/// use lavendergauge_soak::fault::Shape;
/// use std::time::Duration;
/// let shape = Shape { entries: 3, workers: 4 };
/// let plan = fault::plan(7, shape, Duration::from_secs(20));
/// assert_eq!(plan, fault::plan(7, shape, Duration::from_secs(20)));
/// ```
pub fn plan(seed: u64, shape: Shape, length: Duration) -> Vec<Planned> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(500..BETWEEN_MS));
    while at < length {
        let fault = draw(&mut rng, shape);
        if at + fault.span() < length {
            plan.push(Planned { at, fault });
        }
        if rng.random_ratio(1, LULL_EACH) {
            at += fault.span() + LULL;
        } else if !rng.random_ratio(SERIES_PERCENT, 100) {
            at += Duration::from_millis(rng.random_range(50..2 * BETWEEN_MS));
        } else if at + fault.span() < length {
            plan.push(Planned { at: at + fault.span(), fault });
        }
    }
    plan.retain(|planned| planned.at + planned.fault.span() < length);
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn draw(rng: &mut SmallRng, shape: Shape) -> Fault {
    let any = rng.random_range(0..shape.processes());
    // Entries hold the planner's duty, so they are struck more often than their share.
    let process = if rng.random_bool(0.5) { rng.random_range(0..shape.entries) } else { any };
    let worker = rng.random_range(0..shape.workers);
    let span = Duration::from_millis(rng.random_range(300..5000));
    match rng.random_range(0..24) {
        0..=2 => Fault::Kill(process, span),
        3 | 4 => Fault::Stop(process),
        5 | 6 => Fault::Pause(process, span),
        7 => Fault::Reload(process),
        8 => Fault::Dark,
        9 | 10 => Fault::Path(process, mode(rng), span),
        11 => Fault::StorePath(process, mode(rng), span),
        12 => Fault::Reset(process),
        13 => Fault::Silence(process),
        14 => Fault::Store(store_fault(rng), span),
        15 => Fault::StoreFor(process, store_fault(rng), span),
        16 => Fault::Compact,
        17 => Fault::Lapse(span),
        18 => Fault::Crash(worker, span),
        19 => Fault::Worker(worker, worker_fault(rng), span),
        20 => Fault::Leave(worker),
        21 => Fault::Config,
        22 => Fault::Revoke(span),
        _ if rng.random_bool(0.5) => Fault::Evacuate(worker, span),
        _ => Fault::Burst,
    }
}

fn mode(rng: &mut SmallRng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Late(rng.random_range(20..900)),
        1 => Mode::CutTo,
        2 => Mode::CutFrom,
        _ => Mode::Cut,
    }
}

fn store_fault(rng: &mut SmallRng) -> store::Fault {
    match rng.random_range(0..5) {
        0 => store::Fault::Busy,
        1 => store::Fault::Silent,
        2 => store::Fault::Lost,
        3 => store::Fault::Late,
        _ => store::Fault::Slow(rng.random_range(50..700)),
    }
}

fn worker_fault(rng: &mut SmallRng) -> worker::Fault {
    match rng.random_range(0..5) {
        0 => worker::Fault::Silent,
        1 => worker::Fault::Mute,
        2 => worker::Fault::Late,
        3 => worker::Fault::Hangs,
        _ => worker::Fault::Fails,
    }
}
