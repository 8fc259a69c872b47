//! The planner's side of a running gang: notices its end or breakage, and stops the rest.
//!
//! The shell hands in what it sees of every member, and carries out the orders.
//! A gang is reported over only once no member can still run.

use std::time::Duration;

use lavendergauge_derive::token;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::gang_watch_state::Context;
use crate::gang_watch_state::Watch;

/// What the planner sees of one member.
#[token]
pub enum Sight {
    /// Its agent says that it runs, or has been heard too recently to tell otherwise.
    Alive,
    /// It came to its own end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or outlived a lease.
    Stopped,
    /// Its agent does not know it.
    Missing,
    /// Its agent has been silent for as long as a gang lease.
    Silent,
    /// Its agent has been silent for longer than any lease lasts.
    Over,
}

impl Sight {
    /// Tells whether the member can no longer run.
    pub(crate) fn is_over(self) -> bool {
        !matches!(self, Sight::Alive | Sight::Silent)
    }
}

/// What happens to a running gang.
#[token]
pub enum Event<'a> {
    /// The members as they are seen now, in member order.
    Look(&'a [Sight]),
    /// The planner wants the gang stopped, with this notice.
    Stop(Duration),
}

/// What the shell has to do.
#[token]
pub enum Order {
    /// Tell every member to stop, with this notice.
    Stop(Duration),
    /// The gang is over.
    End(End),
}

/// How a gang ended.
#[token]
pub enum End {
    /// Every member came to its own end.
    Finished,
    /// A member failed, by its index.
    Failed(usize),
    /// It was stopped on the planner's word, and every member said so.
    Stopped,
    /// A member was lost, by its index; what it did is not known.
    Lost(usize),
}

/// A running gang that takes events and gives orders.
pub struct Machine {
    machine: StateMachine<Watch>,
}

impl Default for Machine {
    fn default() -> Self {
        Machine { machine: Watch::default().state_machine() }
    }
}

impl Machine {
    /// Takes in an event and returns what is to be done.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang_watch::{End, Event, Machine, Order, Sight};
    /// let mut machine = Machine::default();
    /// let orders = machine.handle(Millis(0), &Event::Look(&[Sight::Done, Sight::Done]));
    /// assert_eq!(orders, [Order::End(End::Finished)]);
    /// ```
    pub fn handle(&mut self, now: Millis, event: &Event<'_>) -> Vec<Order> {
        let mut context = Context { now, orders: Vec::new() };
        self.machine.handle_with_context(event, &mut context);
        context.orders
    }
}
