//! State machine of a gang launch: prepare, record, arm, go, or undo.
//!
//! The machine returns the messages to send; the daemon sends them and passes the replies
//! back. The launch ends with an [`Outcome`] that is correct under any loss, duplication,
//! delay or reordering of messages: [`Outcome::Withdrawn`] only if no member has started
//! or ever can, and [`Outcome::Doubt`] only once no member can still be running.

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::gang::Verdict;
use crate::launch_state::Context;
use crate::launch_state::Launch;

/// A request to one member.
#[token]
pub enum Request {
    /// Hold accelerators.
    Prepare,
    /// Promise to start.
    Arm,
    /// Start under the start lease.
    Go,
    /// Never start, or stop at once.
    Stop,
}

/// Result of writing the attempt's number into the job's record.
#[token]
pub enum RecordWrite {
    /// The number is stored.
    Done,
    /// Another write has changed the record, or the store did not answer in time.
    Failed,
}

/// An event of a launch.
#[token]
pub enum Event {
    /// A member replied.
    Reply {
        /// Index of the member.
        member: usize,
        /// The request that it replies to.
        request: Request,
        /// Its reply.
        verdict: Verdict,
        /// Whether the member was ever started; only valid with [`Verdict::Done`].
        started: bool,
    },
    /// A member did not reply.
    Silent {
        /// Index of the member.
        member: usize,
        /// The request without a reply.
        request: Request,
    },
    /// The write of the job's record has ended.
    Recorded(RecordWrite),
    /// Time has passed; the current time is an argument of [`Machine::handle`].
    Tick,
}

/// An action that the daemon has to carry out.
#[value]
pub enum Order {
    /// Send a request to the member with this index.
    Send(usize, Request),
    /// Write the attempt's number into the job's record before this time.
    Record(Millis),
    /// The launch has ended.
    End(Outcome),
}

/// Outcome of a launch.
#[token]
pub enum Outcome {
    /// All members are running.
    Running,
    /// No member has started or ever will; the index of the member that failed, if one did.
    Withdrawn(Option<usize>),
    /// In doubt: members may have started, and all have ended; the index of the member that failed,
    /// if one did.
    Doubt(Option<usize>),
}

/// State machine of one launch.
pub struct Machine {
    machine: StateMachine<Launch>,
}

impl Machine {
    /// Starts the launch of a gang and returns it with its first actions.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::launch::{Machine, Order, Request};
    /// let (_, orders) = Machine::new(Millis(0), 2);
    /// assert_eq!(orders, [Order::Send(0, Request::Prepare), Order::Send(1, Request::Prepare)]);
    /// ```
    pub fn new(now: Millis, members: usize) -> (Self, Vec<Order>) {
        let orders = (0..members).map(|member| Order::Send(member, Request::Prepare)).collect();
        (Machine { machine: Launch::new(now, members).state_machine() }, orders)
    }

    /// Starts to undo a launch that another planner left unfinished, at an unknown step.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::launch::{Machine, Order, Request};
    /// let (_, orders) = Machine::undo(Millis(0), 1);
    /// assert_eq!(orders, [Order::Send(0, Request::Stop)]);
    /// ```
    pub fn undo(now: Millis, members: usize) -> (Self, Vec<Order>) {
        let mut context = Context { now, orders: Vec::new() };
        let mut machine = Launch::unfinished(now, members).state_machine();
        machine.handle_with_context(&Event::Tick, &mut context);
        (Machine { machine }, context.orders)
    }

    /// Applies an event and returns the actions to carry out.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::Verdict;
    /// use lavendergauge_lib::launch::{Event, Machine, Order, Request};
    /// let (mut machine, _) = Machine::new(Millis(0), 1);
    /// let ready =
    ///     Event::Reply {
    ///         member: 0, request: Request::Prepare, verdict: Verdict::Done, started: false,
    ///     };
    /// let orders = machine.handle(Millis(1), &ready);
    /// assert!(matches!(orders[..], [Order::Record(_)]));
    /// ```
    pub fn handle(&mut self, now: Millis, event: &Event) -> Vec<Order> {
        let mut context = Context { now, orders: Vec::new() };
        self.machine.handle_with_context(event, &mut context);
        context.orders
    }
}
