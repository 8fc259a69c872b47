//! The states of a running gang, as its planner sees it.

use std::time::Duration;

use statig::blocking::Outcome;
use statig::blocking::Outcome::Handled;
use statig::blocking::Outcome::Transition;
use statig::state_machine;

use crate::clock::Millis;
use crate::gang_watch::End;
use crate::gang_watch::Event;
use crate::gang_watch::Order;
use crate::gang_watch::Sight;

/// Interval at which members that still run are told again to stop.
const REPEAT: Duration = Duration::from_secs(1);

/// What a transition sees and gives.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) now: Millis,
    pub(crate) orders: Vec<Order>,
}

/// One running gang.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    end: Option<End>,
    told: Millis,
    until: Millis,
}

#[state_machine(initial = "State::running()", state(derive(Clone, Debug, PartialEq)))]
impl Watch {
    #[state]
    fn running(&mut self, context: &mut Context, event: &Event<'_>) -> Outcome<State> {
        let sights = match event {
            Event::Stop(notice) => {
                self.tell(context, *notice);
                return Transition(State::yielding());
            }
            Event::Look(sights) => *sights,
        };
        if sights.iter().all(|&sight| sight == Sight::Done) {
            context.orders.push(Order::End(End::Finished));
            return Transition(State::over());
        }
        let Some(end) = breakage(sights) else { return Handled };
        self.end = Some(end);
        self.tell(context, Duration::ZERO);
        Transition(State::breaking())
    }

    /// Stopped on the planner's word, with a notice.
    #[state]
    fn yielding(&mut self, context: &mut Context, event: &Event<'_>) -> Outcome<State> {
        let sights = match event {
            Event::Stop(notice) => {
                self.tell(context, *notice);
                return Handled;
            }
            Event::Look(sights) => *sights,
        };
        if !sights.iter().all(|sight| sight.is_over()) {
            self.repeat(context);
            return Handled;
        }
        let lost = |sight: &Sight| matches!(sight, Sight::Missing | Sight::Over);
        let end = match sights.iter().position(lost) {
            _ if sights.iter().all(|&sight| sight == Sight::Done) => End::Finished,
            Some(member) => End::Lost(member),
            None => End::Stopped,
        };
        context.orders.push(Order::End(end));
        Transition(State::over())
    }

    /// A member failed or was lost, and the others are being stopped.
    #[state]
    fn breaking(&mut self, context: &mut Context, event: &Event<'_>) -> Outcome<State> {
        let Event::Look(sights) = event else { return Handled };
        if !sights.iter().all(|sight| sight.is_over()) {
            self.repeat(context);
            return Handled;
        }
        context.orders.extend(self.end.map(Order::End));
        Transition(State::over())
    }

    #[state]
    fn over(&mut self, event: &Event<'_>) -> Outcome<State> {
        let _ = event;
        Handled
    }

    /// Tells members that still run again, with what is left of their notice.
    fn repeat(&mut self, context: &mut Context) {
        if REPEAT <= context.now.since(self.told) {
            self.tell(context, self.until.since(context.now));
        }
    }

    fn tell(&mut self, context: &mut Context, notice: Duration) {
        self.told = context.now;
        self.until = context.now + notice;
        context.orders.push(Order::Stop(notice));
    }
}

/// Returns how the gang breaks, if a member failed or is lost.
fn breakage(sights: &[Sight]) -> Option<End> {
    if let Some(member) = sights.iter().position(|&sight| sight == Sight::Failed) {
        return Some(End::Failed(member));
    }
    let lost = |sight: &Sight| !matches!(sight, Sight::Alive | Sight::Done);
    sights.iter().position(lost).map(End::Lost)
}
