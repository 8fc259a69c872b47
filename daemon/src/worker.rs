//! An entry's table of the workers whose agents announce themselves to it.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::fleet::Report;
use lavendergauge_lib::fleet::Task;
use lavendergauge_lib::liveness::Event;
use lavendergauge_lib::liveness::Machine;
use lavendergauge_lib::liveness::Phase;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::route::Announced;
use lavendergauge_wire::announce;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Health;

pub use lavendergauge_lib::liveness::LOST_AFTER;
pub use lavendergauge_lib::liveness::SUSPECT_AFTER;

/// Silence after which another process of the same worker name replaces the known one.
const REPLACE_AFTER: Duration = Duration::from_millis(1000);
/// Time between two ticks from which this entry itself counts as having been paused.
const PAUSED_AFTER: Duration = Duration::from_millis(1500);

/// One worker, as its agent announces it.
#[row]
pub struct Worker {
    /// Its newest announcement.
    pub frame: Frame,
    /// When the newest announcement was received.
    pub last_seen: Millis,
    /// Whether it counts as joining, alive, suspect, lost or leaving.
    pub liveness: Machine,
}

/// The workers that announce themselves to this entry, by name.
#[row]
#[derive(Default)]
pub struct Table {
    workers: HashMap<Name, Worker>,
    last_tick: Option<Millis>,
    /// Lost workers that [`Table::take_lost`] has not returned yet.
    lost: Vec<Name>,
}

impl Table {
    /// Records an announcement.
    ///
    /// One that is older than the newest known one changes nothing. Another process of the same
    /// name replaces the known process only if that one is leaving or has been silent for
    /// `REPLACE_AFTER`, so that a late announcement of a dead process does not replace the living
    /// one.
    pub fn apply(&mut self, now: Millis, frame: Frame) {
        let name = Name::from(&frame.worker);
        let event = if frame.leaving { Event::Leaving(now) } else { Event::Announced(now) };
        let Some(known) = self.workers.get_mut(&name) else {
            self.lost.retain(|lost| *lost != name);
            self.workers.insert(name, Worker::new(now, frame, event));
            return;
        };
        if known.frame.incarnation == frame.incarnation {
            if known.frame.sequence < frame.sequence {
                known.liveness.apply(event);
                known.last_seen = now;
                known.frame = frame;
            }
            return;
        }
        if known.frame.leaving || REPLACE_AFTER < now.since(known.last_seen) {
            log::info!("event=worker-replaced worker={name} incarnation={}", frame.incarnation);
            *known = Worker::new(now, frame, event);
        }
    }

    /// Updates the liveness of every worker and removes the lost ones.
    ///
    /// A time in which this entry itself was paused does not count as silence of the workers.
    pub fn tick(&mut self, now: Millis) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last_tick| now.since(last_tick));
        self.last_tick = Some(now);
        for (name, worker) in &mut self.workers {
            if PAUSED_AFTER < gap {
                worker.liveness.apply(Event::Paused(gap));
            }
            let before = worker.liveness.phase();
            worker.liveness.apply(Event::Tick(now));
            let after = worker.liveness.phase();
            if before != after {
                log::info!("event=worker-standing worker={name} from={before:?} to={after:?}");
            }
            if after == Phase::Lost && !self.lost.contains(name) {
                self.lost.push(name.clone());
            }
        }
        for name in &self.lost {
            self.workers.remove(name);
        }
    }

    /// Returns the workers that were lost since the last call and are no longer in the table.
    pub fn take_lost(&mut self, now: Millis) -> Vec<Name> {
        self.tick(now);
        std::mem::take(&mut self.lost)
    }

    /// Returns every worker.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the worker of a name.
    pub fn find(&self, name: &Name) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Returns the targets in the form that routing uses.
    ///
    /// `is_open` tells whether work may start in a data centre. A target is ready if its data
    /// centre is open, it is healthy, and its worker takes work and has announced itself within
    /// [`SUSPECT_AFTER`].
    pub fn targets(&self, now: Millis, is_open: impl Fn(&str) -> bool) -> Vec<Announced> {
        self.workers
            .iter()
            .map(|(name, worker)| Announced {
                worker: name.clone(),
                address: Name::from(&worker.frame.address),
                incarnation: worker.frame.incarnation,
                sequence: worker.frame.sequence,
                clock: Millis(worker.frame.clock_ms),
                slots: worker.frame.slots,
                used: worker.frame.load.slots_used,
                ready: is_open(&worker.frame.data_centre)
                    && worker.liveness.takes_work()
                    && worker.frame.health == Health::Good
                    && now.since(worker.last_seen) <= SUSPECT_AFTER,
            })
            .collect()
    }
}

impl Worker {
    fn new(now: Millis, frame: Frame, event: Event) -> Self {
        let mut liveness = Machine::new(now);
        liveness.apply(event);
        Worker { frame, last_seen: now, liveness }
    }
}

/// Converts an announcement to the planner's form, with only the tasks that still hold resources.
pub fn to_report(frame: &Frame) -> Report {
    Report {
        worker: Name::from(&frame.worker),
        incarnation: frame.incarnation,
        data_centre: Name::from(&frame.data_centre),
        rack: Name::from(&frame.rack),
        accelerators: frame.accelerators,
        processors: frame.processors,
        memory_mb: frame.memory_mb,
        leaving: frame.leaving,
        tasks: frame
            .tasks
            .iter()
            .filter(|task| {
                matches!(
                    task.phase,
                    announce::Phase::Held
                        | announce::Phase::Armed
                        | announce::Phase::Running
                        | announce::Phase::Stopping
                )
            })
            .map(|task| Task {
                job: Name::from(&task.job),
                attempt: task.attempt,
                member: task.member,
                accelerators: task.accelerators.iter().copied().collect(),
                processors: task.processors,
                memory_mb: task.memory_mb,
                running: task.phase == announce::Phase::Running,
            })
            .collect(),
    }
}
