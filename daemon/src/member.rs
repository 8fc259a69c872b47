//! An entry's view of the agents that announce themselves to it.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::fleet::Report;
use lavendergauge_lib::fleet::Task;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::route::Announced;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Health;
use lavendergauge_wire::announce::Phase;

/// Silence after which a worker gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2000);
/// Silence after which a worker counts as lost, longer than any lease it holds.
pub const LOST_AFTER: Duration = Duration::from_secs(10);

/// One agent and what is known of it.
#[row]
pub struct Member {
    /// Its newest announcement.
    pub frame: Frame,
    /// When that came.
    pub seen: Millis,
}

/// All agents that announce themselves here.
#[row]
#[derive(Default)]
pub struct Table {
    members: HashMap<Name, Member>,
}

impl Table {
    /// Takes in an announcement; an older one than the last changes nothing.
    pub fn announce(&mut self, now: Millis, frame: Frame) {
        let name = Name::from(&frame.worker);
        let stale = self.members.get(&name).is_some_and(|known| {
            known.frame.incarnation == frame.incarnation && frame.sequence <= known.frame.sequence
        });
        if !stale {
            self.members.insert(name, Member { frame, seen: now });
        }
    }

    /// Removes and returns the workers that have been silent for [`LOST_AFTER`].
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        let lost: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, member)| LOST_AFTER < now.since(member.seen))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &lost {
            self.members.remove(name);
        }
        lost
    }

    /// Returns every member.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns one member.
    pub fn find(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the targets as routing sees them; `open` tells of each data centre.
    pub fn targets(&self, now: Millis, open: impl Fn(&str) -> bool) -> Vec<Announced> {
        self.members
            .iter()
            .map(|(name, member)| Announced {
                worker: name.clone(),
                address: Name::from(&member.frame.address),
                incarnation: member.frame.incarnation,
                sequence: member.frame.sequence,
                clock: Millis(member.frame.clock_ms),
                slots: member.frame.slots,
                used: member.frame.load.slots_used,
                ready: open(&member.frame.data_centre)
                    && !member.frame.leaving
                    && member.frame.health == Health::Good
                    && now.since(member.seen) <= SUSPECT_AFTER,
            })
            .collect()
    }
}

/// Turns an announcement into what the planner takes in.
pub fn report(frame: &Frame) -> Report {
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
                matches!(task.phase, Phase::Held | Phase::Armed | Phase::Running | Phase::Stopping)
            })
            .map(|task| Task {
                job: Name::from(&task.job),
                attempt: task.attempt,
                member: task.member,
                accelerators: task.accelerators.iter().copied().collect(),
                processors: task.processors,
                memory_mb: task.memory_mb,
                running: task.phase == Phase::Running,
            })
            .collect(),
    }
}
