//! The states of a gang's launch.

use std::time::Duration;

use lavendergauge_derive::token;
use statig::blocking::Outcome as Next;
use statig::blocking::Outcome::Handled;
use statig::blocking::Outcome::Transition;
use statig::state_machine;

use crate::clock::Millis;
use crate::gang::HOLD;
use crate::gang::RUNTIME_LEASE;
use crate::gang::START_LEASE;
use crate::gang::Verdict;
use crate::launch::Ask;
use crate::launch::Event;
use crate::launch::Order;
use crate::launch::Outcome;
use crate::launch::Stake;

/// Time in which every member has to be prepared, recorded and armed, within its hold.
const PREPARE: Duration = Duration::from_secs(4);
/// Time in which every member has to confirm its start, within the start lease.
const START: Duration = Duration::from_secs(2);
/// Time for which holds are given back by message before they are left to expire.
const RELEASE: Duration = Duration::from_secs(1);
/// Time after the last preparation at which a member that never answered is over for certain.
const CERTAIN: Duration =
    HOLD.saturating_add(START_LEASE).saturating_add(RUNTIME_LEASE).saturating_add(RUNTIME_LEASE);

/// What is known of one member.
#[token]
enum Mark {
    Asked,
    Done,
    Started,
}

/// What a transition sees and gives.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) now: Millis,
    pub(crate) orders: Vec<Order>,
}

/// One launch.
#[derive(Clone, Debug)]
pub(crate) struct Launch {
    marks: Vec<Mark>,
    until: Millis,
    prepared: Millis,
    gone: bool,
    culprit: Option<usize>,
}

impl Launch {
    /// Makes the launch of a gang whose members are being asked to prepare.
    pub(crate) fn new(now: Millis, members: usize) -> Self {
        Launch {
            marks: vec![Mark::Asked; members],
            until: now + PREPARE,
            prepared: now,
            gone: false,
            culprit: None,
        }
    }

    /// Makes a launch that may have come to any step, and whose first tick undoes it.
    pub(crate) fn left_behind(now: Millis, members: usize) -> Self {
        Launch { gone: true, until: now, ..Launch::new(now, members) }
    }
}

#[state_machine(initial = "State::preparing()", state(derive(Clone, Debug, PartialEq)))]
impl Launch {
    #[state]
    fn preparing(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        if let Event::Reply { ask: Ask::Prepare, .. } | Event::Silent { ask: Ask::Prepare, .. } =
            event
        {
            self.prepared = context.now;
        }
        match self.gather(context, event, Ask::Prepare) {
            Gathered::More => Handled,
            Gathered::All => {
                context.orders.push(Order::Stake(self.until));
                Transition(State::staking())
            }
            Gathered::Broken => self.undo(context),
        }
    }

    #[state]
    fn staking(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match event {
            Event::Staked(Stake::Done) if context.now < self.until => {
                self.ask_all(context, Ask::Arm);
                Transition(State::arming())
            }
            Event::Staked(_) => self.undo(context),
            _ => Handled,
        }
    }

    #[state]
    fn arming(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match self.gather(context, event, Ask::Arm) {
            Gathered::More => Handled,
            Gathered::All => {
                self.gone = true;
                self.until = context.now + START;
                self.ask_all(context, Ask::Go);
                Transition(State::starting())
            }
            Gathered::Broken => self.undo(context),
        }
    }

    #[state]
    fn starting(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match self.gather(context, event, Ask::Go) {
            Gathered::More => Handled,
            Gathered::All => {
                context.orders.push(Order::End(Outcome::Running));
                Transition(State::over())
            }
            Gathered::Broken => self.undo(context),
        }
    }

    /// Before any `go` the holds are given back; after one, it is found out what ran.
    #[state]
    fn undoing(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match event {
            Event::Reply { member, ask: Ask::Stop, verdict: Verdict::Done, started } => {
                self.marks[*member] = if *started { Mark::Started } else { Mark::Done };
            }
            Event::Reply { member, ask: Ask::Stop, .. }
            | Event::Silent { member, ask: Ask::Stop }
                if context.now < self.until =>
            {
                context.orders.push(Order::Tell(*member, Ask::Stop));
            }
            _ => {}
        }
        let never = self.marks.iter().all(|&mark| mark == Mark::Done);
        let known = self.marks.iter().all(|&mark| mark != Mark::Asked);
        let late = self.until <= context.now;
        let outcome = match self.gone {
            _ if never => Outcome::Withdrawn(self.culprit),
            false if late => Outcome::Withdrawn(self.culprit),
            true if late => Outcome::Doubt(self.culprit),
            true if known => {
                // All were told; the runtime lease bounds the stop of those that ran.
                self.until = self.until.min(context.now + RUNTIME_LEASE);
                return Handled;
            }
            _ => return Handled,
        };
        context.orders.push(Order::End(outcome));
        Transition(State::over())
    }

    #[state]
    fn over(&mut self, event: &Event) -> Next<State> {
        let _ = event;
        Handled
    }

    /// Takes in the answers to one question to all members.
    fn gather(&mut self, context: &mut Context, event: &Event, asked: Ask) -> Gathered {
        match event {
            Event::Reply { member, ask, verdict: Verdict::Done, .. } if *ask == asked => {
                self.marks[*member] = Mark::Done;
            }
            Event::Reply { member, ask, .. } if *ask == asked => {
                self.culprit = Some(*member);
                return Gathered::Broken;
            }
            Event::Silent { member, ask } if *ask == asked && context.now < self.until => {
                context.orders.push(Order::Tell(*member, asked));
            }
            _ => {}
        }
        if self.until <= context.now {
            self.culprit = self.marks.iter().position(|&mark| mark == Mark::Asked);
            return Gathered::Broken;
        }
        let all = self.marks.iter().all(|&mark| mark == Mark::Done);
        if all { Gathered::All } else { Gathered::More }
    }

    fn ask_all(&mut self, context: &mut Context, ask: Ask) {
        self.marks.fill(Mark::Asked);
        context.orders.extend((0..self.marks.len()).map(|member| Order::Tell(member, ask)));
    }

    fn undo(&mut self, context: &mut Context) -> Next<State> {
        context.orders.clear();
        self.ask_all(context, Ask::Stop);
        self.until = match self.gone {
            true => self.prepared + CERTAIN,
            false => context.now + RELEASE,
        };
        Transition(State::undoing())
    }
}

/// Where a question to all members stands.
enum Gathered {
    More,
    All,
    Broken,
}
