//! States and transitions of a worker's liveness.

use std::time::Duration;

use statig::blocking::Outcome;
use statig::blocking::Outcome::Handled;
use statig::blocking::Outcome::Transition;
use statig::state_machine;

use crate::clock::Millis;
use crate::liveness::Event;
use crate::liveness::JOIN_COUNT;
use crate::liveness::LOST_AFTER;
use crate::liveness::SUSPECT_AFTER;

/// Data of one worker, shared by all states.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    announced_at: Millis,
    announcements: u32,
}

impl Worker {
    fn record_announcement(&mut self, now: Millis) {
        self.announced_at = self.announced_at.max(now);
        self.announcements = self.announcements.saturating_add(1);
    }

    fn is_silent(&self, now: Millis, limit: Duration) -> bool {
        limit < now.since(self.announced_at)
    }
}

#[state_machine(initial = "State::joining()", state(derive(Clone, Debug, PartialEq)))]
impl Worker {
    #[state]
    fn joining(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Announced(now) => {
                self.record_announcement(*now);
                if self.announcements < JOIN_COUNT { Handled } else { Transition(State::alive()) }
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, SUSPECT_AFTER) => Transition(State::suspect()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => exclude_pause(self, *pause),
        }
    }

    #[state]
    fn alive(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Announced(now) => {
                self.record_announcement(*now);
                Handled
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, SUSPECT_AFTER) => Transition(State::suspect()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => exclude_pause(self, *pause),
        }
    }

    #[state]
    fn suspect(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Announced(now) => {
                self.record_announcement(*now);
                Transition(State::alive())
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, LOST_AFTER) => Transition(State::lost()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => exclude_pause(self, *pause),
        }
    }

    #[state]
    fn lost(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Announced(now) => {
                self.announcements = 0;
                self.record_announcement(*now);
                Transition(State::joining())
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(_) | Event::Paused(_) => Handled,
        }
    }

    #[state]
    fn left(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Announced(now) => {
                self.announcements = 0;
                self.record_announcement(*now);
                Transition(State::joining())
            }
            Event::Leaving(now) => leave(self, *now),
            Event::Tick(now) if self.is_silent(*now, LOST_AFTER) => Transition(State::lost()),
            Event::Tick(_) => Handled,
            Event::Paused(pause) => exclude_pause(self, *pause),
        }
    }
}

/// Records an announcement that the worker is leaving.
fn leave(worker: &mut Worker, now: Millis) -> Outcome<State> {
    worker.record_announcement(now);
    Transition(State::left())
}

/// Excludes a pause of the entry from the time without an announcement.
fn exclude_pause(worker: &mut Worker, pause: Duration) -> Outcome<State> {
    worker.announced_at = worker.announced_at + pause;
    Handled
}
