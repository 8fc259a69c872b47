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
use crate::gang::RUNTIME_LEASE;

/// One member at its worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    hold: Hold,
    until: Millis,
    started: bool,
}

impl Member {
    /// Makes a member that is held until a time.
    pub(crate) fn new(hold: Hold, until: Millis) -> Self {
        Member { hold, until, started: false }
    }

    /// Returns when the hold, lease or notice ends.
    pub(crate) fn until(&self) -> Millis {
        self.until
    }

    /// Tells whether the worker runtime was ever asked to start the member.
    pub(crate) fn started(&self) -> bool {
        self.started
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
    /// The planner stops it, at the latest at a time.
    Stop {
        /// Now.
        now: Millis,
        /// When the notice ends.
        until: Millis,
    },
    /// Its checkpoint is taken, so the rest of its notice is not needed.
    Saved(Millis),
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
            Event::Stop { .. } | Event::Exit => Transition(State::ended()),
            Event::Tick(now) if self.until <= *now => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn armed(&mut self, context: &mut Option<Move>, event: &Event) -> Outcome<State> {
        match event {
            Event::Go(until) => {
                self.until = *until;
                self.started = true;
                *context = Some(Move::Start);
                Transition(State::running())
            }
            Event::Stop { .. } | Event::Exit => Transition(State::ended()),
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
            Event::Stop { now, until } if now < until => {
                self.until = *until;
                *context = Some(Move::Checkpoint);
                Transition(State::stopping())
            }
            Event::Stop { now, .. } => self.halt(*now, context),
            Event::Tick(now) if self.until <= *now => self.halt(*now, context),
            Event::Exit => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn stopping(&mut self, context: &mut Option<Move>, event: &Event) -> Outcome<State> {
        match event {
            Event::Saved(now) => self.halt(*now, context),
            Event::Stop { now, until } if until <= now => self.halt(*now, context),
            Event::Stop { until, .. } => {
                self.until = self.until.min(*until);
                Handled
            }
            Event::Tick(now) if self.until <= *now => self.halt(*now, context),
            Event::Exit => Transition(State::ended()),
            _ => Handled,
        }
    }

    /// The runtime was told to stop it; its accelerators are free once that is known or certain.
    #[state]
    fn halting(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Tick(now) if self.until <= *now => Transition(State::ended()),
            Event::Exit => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn ended(&mut self, event: &Event) -> Outcome<State> {
        let _ = event;
        Handled
    }

    /// Stops the member now; its runtime lease bounds how long that can take.
    fn halt(&mut self, now: Millis, context: &mut Option<Move>) -> Outcome<State> {
        self.until = now + RUNTIME_LEASE;
        *context = Some(Move::Stop);
        Transition(State::halting())
    }
}

impl State {
    /// Returns the phase that is announced.
    pub(crate) fn phase(&self) -> Phase {
        match self {
            State::Held {} => Phase::Held,
            State::Armed {} => Phase::Armed,
            State::Running {} => Phase::Running,
            State::Stopping {} | State::Halting {} => Phase::Stopping,
            State::Ended {} => Phase::Ended,
        }
    }
}
