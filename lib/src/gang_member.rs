//! State machine of one gang member on its worker.

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

/// Data of one member, shared by all states.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    hold: Hold,
    until: Millis,
    started: bool,
}

impl Member {
    /// Creates a member whose resources are held until `until`.
    pub(crate) fn new(hold: Hold, until: Millis) -> Self {
        Member { hold, until, started: false }
    }

    /// Returns when the hold, lease or notice period ends.
    pub(crate) fn until(&self) -> Millis {
        self.until
    }

    /// Tells whether a start of the member was ever requested from the worker runtime.
    pub(crate) fn has_started(&self) -> bool {
        self.started
    }

    /// Returns the resources that the member holds.
    pub(crate) fn hold(&self) -> &Hold {
        &self.hold
    }
}

/// A call to the worker runtime that a transition requires.
#[token]
pub(crate) enum Action {
    /// Start the member.
    Start,
    /// Request a checkpoint.
    Checkpoint,
    /// Stop the member now.
    Stop,
}

/// An event of one member.
#[value]
pub(crate) enum Event {
    /// The planner arms the member.
    Arm,
    /// The planner starts the member under a lease that ends then.
    Go(Millis),
    /// The lease is extended to this time.
    Renew(Millis),
    /// The planner stops the member with a notice period.
    Stop {
        /// Current time.
        now: Millis,
        /// End of the notice period.
        until: Millis,
    },
    /// The checkpoint is saved at this time, so the rest of the notice period is not needed.
    CheckpointSaved(Millis),
    /// This is the current time.
    Tick(Millis),
    /// The worker runtime reports that the member has ended.
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
    fn armed(&mut self, context: &mut Option<Action>, event: &Event) -> Outcome<State> {
        match event {
            Event::Go(until) => {
                self.until = *until;
                self.started = true;
                *context = Some(Action::Start);
                Transition(State::running())
            }
            Event::Stop { .. } | Event::Exit => Transition(State::ended()),
            Event::Tick(now) if self.until <= *now => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn running(&mut self, context: &mut Option<Action>, event: &Event) -> Outcome<State> {
        match event {
            Event::Renew(until) => {
                self.until = self.until.max(*until);
                Handled
            }
            Event::Stop { now, until } if now < until => {
                self.until = *until;
                *context = Some(Action::Checkpoint);
                Transition(State::stopping())
            }
            Event::Stop { now, .. } => self.halt(*now, context),
            Event::Tick(now) if self.until <= *now => self.halt(*now, context),
            Event::Exit => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn stopping(&mut self, context: &mut Option<Action>, event: &Event) -> Outcome<State> {
        match event {
            Event::CheckpointSaved(now) => self.halt(*now, context),
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

    /// The runtime was ordered to stop the member. Its resources become free once the runtime
    /// reports the end or the runtime lease has expired.
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

    /// Stops the member now; its runtime lease bounds how long this can take.
    fn halt(&mut self, now: Millis, context: &mut Option<Action>) -> Outcome<State> {
        self.until = now + RUNTIME_LEASE;
        *context = Some(Action::Stop);
        Transition(State::halting())
    }
}

impl State {
    /// Returns the phase to announce.
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
