//! How one worker stands with an entry that hears it, as a state machine.

use std::fmt;
use std::time::Duration;

use lavendergauge_derive::token;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::standing_state::State;
use crate::standing_state::Worker;

/// Silence after which a worker gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2000);
/// Silence after which a worker counts as lost, longer than any lease it holds.
pub const LOST_AFTER: Duration = Duration::from_secs(10);
/// Announcements after which a newcomer counts as alive.
pub(crate) const JOIN_COUNT: u32 = 3;

/// What happens to a worker.
#[token]
pub enum Event {
    /// It has announced itself.
    Heard(Millis),
    /// It has announced that it leaves.
    Leaving(Millis),
    /// Time has passed.
    Tick(Millis),
    /// The entry itself stood still for this time, in which it could hear nobody.
    Paused(Duration),
}

/// How a worker stands.
#[token]
pub enum Phase {
    /// Heard a few times only.
    Joining,
    /// Heard regularly.
    Alive,
    /// Silent; it gets no new work.
    Suspect,
    /// Silent for so long that what it held counts as lost.
    Lost,
    /// Leaving, as it has said itself.
    Left,
}

/// One worker's standing.
#[derive(Clone)]
pub struct Machine {
    machine: StateMachine<Worker>,
}

impl fmt::Debug for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Machine").field(&self.phase()).finish()
    }
}

impl Machine {
    /// Makes the standing of a worker that is heard for the first time.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::standing::{Event, Machine, Phase};
    /// let mut machine = Machine::new(Millis(0));
    /// assert_eq!(machine.phase(), Phase::Joining);
    /// machine.apply(Event::Tick(Millis(2500)));
    /// assert_eq!(machine.phase(), Phase::Suspect);
    /// ```
    pub fn new(now: Millis) -> Self {
        let mut machine = Worker::default().state_machine();
        machine.handle(&Event::Heard(now));
        Machine { machine }
    }

    /// Takes in what happened.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::standing::{Event, Machine, Phase};
    /// let mut machine = Machine::new(Millis(0));
    /// machine.apply(Event::Leaving(Millis(5)));
    /// assert_eq!(machine.phase(), Phase::Left);
    /// ```
    pub fn apply(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// Returns how the worker stands.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::standing::{Machine, Phase};
    /// assert_eq!(Machine::new(Millis(0)).phase(), Phase::Joining);
    /// ```
    pub fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Joining {} => Phase::Joining,
            State::Alive {} => Phase::Alive,
            State::Suspect {} => Phase::Suspect,
            State::Lost {} => Phase::Lost,
            State::Left {} => Phase::Left,
        }
    }

    /// Tells whether the worker may get new work.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// assert!(lavendergauge_lib::standing::Machine::new(Millis(0)).takes_work());
    /// ```
    pub fn takes_work(&self) -> bool {
        matches!(self.phase(), Phase::Joining | Phase::Alive)
    }
}
