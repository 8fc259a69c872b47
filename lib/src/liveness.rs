//! Liveness of one worker, as an entry determines it from the worker's announcements.

use std::fmt;
use std::time::Duration;

use lavendergauge_derive::token;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::liveness_state::State;
use crate::liveness_state::Worker;

/// Time without an announcement after which a worker gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2000);
/// Time without an announcement after which a worker counts as lost; longer than any lease that it
/// holds.
pub const LOST_AFTER: Duration = Duration::from_secs(10);
/// Number of announcements after which a new worker counts as alive.
pub(crate) const JOIN_COUNT: u32 = 3;

/// An event of a worker.
#[token]
pub enum Event {
    /// The worker announced itself.
    Announced(Millis),
    /// The worker announced that it is leaving.
    Leaving(Millis),
    /// This is the current time.
    Tick(Millis),
    /// The entry itself was paused for this time, and could not receive announcements.
    Paused(Duration),
}

/// Phase of a worker's liveness.
#[token]
pub enum Phase {
    /// Only a few announcements were received so far.
    Joining,
    /// Announcements arrive regularly.
    Alive,
    /// Announcements are missing; the worker gets no new work.
    Suspect,
    /// Announcements are missing for so long that the work and leases of the worker count as lost.
    Lost,
    /// The worker announced that it is leaving.
    Left,
}

/// State machine of one worker's liveness.
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
    /// Creates the state machine of a worker whose first announcement was received.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::liveness::{Event, Machine, Phase};
    /// let mut machine = Machine::new(Millis(0));
    /// assert_eq!(machine.phase(), Phase::Joining);
    /// machine.apply(Event::Tick(Millis(2500)));
    /// assert_eq!(machine.phase(), Phase::Suspect);
    /// ```
    pub fn new(now: Millis) -> Self {
        let mut machine = Worker::default().state_machine();
        machine.handle(&Event::Announced(now));
        Machine { machine }
    }

    /// Applies an event.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::liveness::{Event, Machine, Phase};
    /// let mut machine = Machine::new(Millis(0));
    /// machine.apply(Event::Leaving(Millis(5)));
    /// assert_eq!(machine.phase(), Phase::Left);
    /// ```
    pub fn apply(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// Returns the phase of the worker.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::liveness::{Machine, Phase};
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
    /// assert!(lavendergauge_lib::liveness::Machine::new(Millis(0)).takes_work());
    /// ```
    pub fn takes_work(&self) -> bool {
        matches!(self.phase(), Phase::Joining | Phase::Alive)
    }
}
