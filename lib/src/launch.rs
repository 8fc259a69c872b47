//! The launch of a gang as a state machine: prepare, record, arm, go, or undo.
//!
//! The machine says whom to tell what; the shell tells them and hands the
//! replies back. It ends with an [`Outcome`] that is true under any loss,
//! repetition, delay or reordering of messages: [`Outcome::Withdrawn`] only when
//! no member can ever have started, and [`Outcome::Doubt`] only once no member
//! can still run.

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::gang::Verdict;
use crate::launch_state::Context;
use crate::launch_state::Launch;

/// What one member is asked.
#[token]
pub enum Ask {
    /// Hold accelerators.
    Prepare,
    /// Promise to start.
    Arm,
    /// Start, under the start lease.
    Go,
    /// Never start, or stop at once.
    Stop,
}

/// What became of the write of the attempt's number.
#[token]
pub enum Stake {
    /// It is on record.
    Done,
    /// The record has moved on, or the store gave no answer in time.
    Failed,
}

/// What happens to a launch.
#[token]
pub enum Event {
    /// A member answered.
    Reply {
        /// Index of the member.
        member: usize,
        /// What it was asked.
        ask: Ask,
        /// What became of it.
        verdict: Verdict,
        /// Whether the member was ever started; counts with [`Verdict::Done`].
        started: bool,
    },
    /// A member gave no answer.
    Silent {
        /// Index of the member.
        member: usize,
        /// What it was asked.
        ask: Ask,
    },
    /// The record was written, or not.
    Staked(Stake),
    /// Time has passed.
    Tick,
}

/// What the shell has to do.
#[value]
pub enum Order {
    /// Ask one member.
    Tell(usize, Ask),
    /// Write the attempt's number into the job's record, by this time.
    Stake(Millis),
    /// The launch is over.
    End(Outcome),
}

/// How a launch ends.
#[token]
pub enum Outcome {
    /// All members run.
    Running,
    /// No member ever started, and none ever will; the member at fault, if one is.
    Withdrawn(Option<usize>),
    /// Some members may have started, and all are over; the member at fault, if one is.
    Doubt(Option<usize>),
}

/// A launch that takes events and gives orders.
pub struct Machine {
    machine: StateMachine<Launch>,
}

impl Machine {
    /// Makes the launch of a gang and returns it with its first orders.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::launch::{Ask, Machine, Order};
    /// let (_, orders) = Machine::new(Millis(0), 2);
    /// assert_eq!(orders, [Order::Tell(0, Ask::Prepare), Order::Tell(1, Ask::Prepare)]);
    /// ```
    pub fn new(now: Millis, members: usize) -> (Self, Vec<Order>) {
        let orders = (0..members).map(|member| Order::Tell(member, Ask::Prepare)).collect();
        (Machine { machine: Launch::new(now, members).state_machine() }, orders)
    }

    /// Makes the undoing of a launch that another planner left behind.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::launch::{Ask, Machine, Order};
    /// let (_, orders) = Machine::left_behind(Millis(0), 1);
    /// assert_eq!(orders, [Order::Tell(0, Ask::Stop)]);
    /// ```
    pub fn left_behind(now: Millis, members: usize) -> (Self, Vec<Order>) {
        let mut context = Context { now, orders: Vec::new() };
        let mut machine = Launch::left_behind(now, members).state_machine();
        machine.handle_with_context(&Event::Tick, &mut context);
        (Machine { machine }, context.orders)
    }

    /// Takes in an event and returns what is to be done.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::Verdict;
    /// use lavendergauge_lib::launch::{Ask, Event, Machine, Order};
    /// let (mut machine, _) = Machine::new(Millis(0), 1);
    /// let ready =
    ///     Event::Reply { member: 0, ask: Ask::Prepare, verdict: Verdict::Done, started: false };
    /// let orders = machine.handle(Millis(1), &ready);
    /// assert!(matches!(orders[..], [Order::Stake(_)]));
    /// ```
    pub fn handle(&mut self, now: Millis, event: &Event) -> Vec<Order> {
        let mut context = Context { now, orders: Vec::new() };
        self.machine.handle_with_context(event, &mut context);
        context.orders
    }
}
