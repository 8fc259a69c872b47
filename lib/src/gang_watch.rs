//! Monitoring of a running gang by the planner, as a state machine.
//!
//! The machine detects the end of the gang. When a member failed or is lost, it stops the others.
//!
//! The daemon passes in observations of all members and carries out the returned orders.
//! A gang is reported as ended only once no member can still be running.

use std::time::Duration;

use lavendergauge_derive::token;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::gang_watch_state::Context;
use crate::gang_watch_state::Watch;

/// State of one member as the planner observes it.
#[token]
pub enum Observation {
    /// Its agent reports that it is running, or reported too recently to assume otherwise.
    Alive,
    /// It finished successfully.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease expired.
    Stopped,
    /// Its agent reports without it.
    Missing,
    /// Its agent has been silent for at least the duration of a gang lease.
    Silent,
    /// Its agent has been silent for so long that every lease of the member has expired.
    Expired,
}

impl Observation {
    /// Tells whether the member can no longer be running.
    pub(crate) fn has_ended(self) -> bool {
        !matches!(self, Observation::Alive | Observation::Silent)
    }
}

/// An event of a running gang.
#[token]
pub enum Event<'a> {
    /// Current observations of all members, in member order.
    Observe(&'a [Observation]),
    /// The planner stops the gang with this notice period.
    Stop(Duration),
}

/// An action that the daemon has to carry out.
#[token]
pub enum Order {
    /// Command every member to stop, with this notice period.
    Stop(Duration),
    /// The gang has ended.
    End(End),
}

/// How a gang ended.
#[token]
pub enum End {
    /// Every member finished successfully.
    Finished,
    /// The member with this index failed.
    Failed(usize),
    /// The planner stopped it, and the agent of every member reported its end.
    Stopped,
    /// The member with this index was lost, so its result is unknown.
    Lost(usize),
}

/// State machine of a running gang.
pub struct Machine {
    machine: StateMachine<Watch>,
}

impl Default for Machine {
    fn default() -> Self {
        Machine { machine: Watch::default().state_machine() }
    }
}

impl Machine {
    /// Applies an event and returns the actions to carry out.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang_watch::{End, Event, Machine, Observation, Order};
    /// let mut machine = Machine::default();
    /// let orders =
    ///     machine.handle(Millis(0), &Event::Observe(&[Observation::Done, Observation::Done]));
    /// assert_eq!(orders, [Order::End(End::Finished)]);
    /// ```
    pub fn handle(&mut self, now: Millis, event: &Event<'_>) -> Vec<Order> {
        let mut context = Context { now, orders: Vec::new() };
        self.machine.handle_with_context(event, &mut context);
        context.orders
    }
}
