//! The life of one gang member at its worker, as a state machine.

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use statig::blocking::Outcome;
use statig::blocking::Outcome::Handled;
use statig::blocking::Outcome::Transition;
use statig::state_machine;

use crate::clock::Millis;
use crate::gang::Hold;
use crate::gang::Phase;

/// One member at its worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    hold: Hold,
    until: Millis,
}

impl Member {
    /// Makes a member that is held until a time.
    pub(crate) fn new(hold: Hold, until: Millis) -> Self {
        Member { hold, until }
    }

    /// Returns what the member takes up.
    pub(crate) fn hold(&self) -> &Hold {
        &self.hold
    }
}

/// What a transition asks of the worker runtime.
#[token]
pub(crate) enum Move {
    /// Start the member.
    Start,
    /// Ask it to checkpoint.
    Checkpoint,
    /// Stop it now.
    Stop,
}

/// What happens to one member.
#[value]
pub(crate) enum Event {
    /// The planner arms it.
    Arm,
    /// The planner starts it, until the lease's end.
    Go(Millis),
    /// The planner extends its lease.
    Renew(Millis),
    /// The planner stops it at a time.
    Stop(Millis),
    /// Time has passed.
    Tick(Millis),
    /// The worker runtime says that it is over.
    Exit,
}

#[state_machine(initial = "State::held()", state(derive(Clone, Debug, PartialEq)))]
impl Member {
    #[state]
    fn held(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Arm => Transition(State::armed()),
            Event::Stop(_) | Event::Exit => Transition(State::ended()),
            Event::Tick(now) if self.until <= *now => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn armed(&mut self, context: &mut Option<Move>, event: &Event) -> Outcome<State> {
        match event {
            Event::Go(until) => {
                self.until = *until;
                *context = Some(Move::Start);
                Transition(State::running())
            }
            Event::Stop(_) | Event::Exit => Transition(State::ended()),
            Event::Tick(now) if self.until <= *now => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn running(&mut self, context: &mut Option<Move>, event: &Event) -> Outcome<State> {
        match event {
            Event::Renew(until) => {
                self.until = self.until.max(*until);
                Handled
            }
            Event::Stop(until) => {
                self.until = *until;
                *context = Some(Move::Checkpoint);
                Transition(State::stopping())
            }
            Event::Tick(now) if self.until <= *now => halt(context),
            Event::Exit => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn stopping(&mut self, context: &mut Option<Move>, event: &Event) -> Outcome<State> {
        match event {
            Event::Tick(now) if self.until <= *now => halt(context),
            Event::Exit => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn ended(&mut self, event: &Event) -> Outcome<State> {
        let _ = event;
        Handled
    }
}

/// Stops a member now.
fn halt(context: &mut Option<Move>) -> Outcome<State> {
    *context = Some(Move::Stop);
    Transition(State::ended())
}

impl State {
    /// Returns the phase that is announced.
    pub(crate) fn phase(&self) -> Phase {
        match self {
            State::Held {} => Phase::Held,
            State::Armed {} => Phase::Armed,
            State::Running {} => Phase::Running,
            State::Stopping {} => Phase::Stopping,
            State::Ended {} => Phase::Ended,
        }
    }
}
