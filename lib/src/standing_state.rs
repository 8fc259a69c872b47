//! The states of a worker's standing and what leads from one to the other.

use std::time::Duration;

use statig::blocking::Outcome;
use statig::blocking::Outcome::Handled;
use statig::blocking::Outcome::Transition;
use statig::state_machine;

use crate::clock::Millis;
use crate::standing::Event;
use crate::standing::JOIN_COUNT;
use crate::standing::LOST_AFTER;
use crate::standing::SUSPECT_AFTER;

/// What the machine keeps beside its state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    heard: Millis,
    count: u32,
}

impl Worker {
    fn hear(&mut self, now: Millis) {
        self.heard = self.heard.max(now);
        self.count = self.count.saturating_add(1);
    }

    fn is_silent(&self, now: Millis, limit: Duration) -> bool {
        limit < now.since(self.heard)
    }
}

#[state_machine(initial = "State::joining()", state(derive(Clone, Debug, PartialEq)))]
impl Worker {
    #[state]
    fn joining(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Heard(now) => {
                self.hear(*now);
                if self.count < JOIN_COUNT { Handled } else { Transition(State::alive()) }
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, SUSPECT_AFTER) => Transition(State::suspect()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => shift(self, *pause),
        }
    }

    #[state]
    fn alive(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Heard(now) => {
                self.hear(*now);
                Handled
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, SUSPECT_AFTER) => Transition(State::suspect()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => shift(self, *pause),
        }
    }

    #[state]
    fn suspect(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Heard(now) => {
                self.hear(*now);
                Transition(State::alive())
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, LOST_AFTER) => Transition(State::lost()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => shift(self, *pause),
        }
    }

    #[state]
    fn lost(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Heard(now) => {
                self.count = 0;
                self.hear(*now);
                Transition(State::joining())
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(_) | Event::Paused(_) => Handled,
        }
    }

    #[state]
    fn left(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Heard(now) => {
                self.count = 0;
                self.hear(*now);
                Transition(State::joining())
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, LOST_AFTER) => Transition(State::lost()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => shift(self, *pause),
        }
    }
}

fn leave(worker: &mut Worker, now: Millis) -> Outcome<State> {
    worker.hear(now);
    Transition(State::left())
}

fn shift(worker: &mut Worker, pause: Duration) -> Outcome<State> {
    worker.heard = worker.heard + pause;
    Handled
}
