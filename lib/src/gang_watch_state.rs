//! States and transitions of a running gang, as its planner observes it.

use std::time::Duration;

use statig::blocking::Outcome;
use statig::blocking::Outcome::Handled;
use statig::blocking::Outcome::Transition;
use statig::state_machine;

use crate::clock::Millis;
use crate::gang_watch::End;
use crate::gang_watch::Event;
use crate::gang_watch::Observation;
use crate::gang_watch::Order;

/// Interval at which the stop command is repeated while members are still running.
const STOP_INTERVAL: Duration = Duration::from_secs(1);

/// Input and output of a transition.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) now: Millis,
    pub(crate) orders: Vec<Order>,
}

/// Data of one running gang, shared by all states.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    end: Option<End>,
    stop_sent_at: Millis,
    notice_end: Millis,
}

#[state_machine(initial = "State::running()", state(derive(Clone, Debug, PartialEq)))]
impl Watch {
    #[state]
    fn running(&mut self, context: &mut Context, event: &Event<'_>) -> Outcome<State> {
        let observations = match event {
            Event::Stop(notice) => {
                self.send_stop(context, *notice);
                return Transition(State::stopping());
            }
            Event::Observe(observations) => *observations,
        };
        if observations.iter().all(|&observation| observation == Observation::Done) {
            context.orders.push(Order::End(End::Finished));
            return Transition(State::ended());
        }
        let Some(end) = failure(observations) else { return Handled };
        self.end = Some(end);
        self.send_stop(context, Duration::ZERO);
        Transition(State::breaking())
    }

    /// The planner stopped the gang with a notice period.
    #[state]
    fn stopping(&mut self, context: &mut Context, event: &Event<'_>) -> Outcome<State> {
        let observations = match event {
            Event::Stop(notice) => {
                self.send_stop(context, *notice);
                return Handled;
            }
            Event::Observe(observations) => *observations,
        };
        if !observations.iter().all(|observation| observation.has_ended()) {
            self.repeat_stop(context);
            return Handled;
        }
        let is_lost = |observation: &Observation| {
            matches!(observation, Observation::Missing | Observation::Expired)
        };
        let end = match observations.iter().position(is_lost) {
            _ if observations.iter().all(|&observation| observation == Observation::Done) => {
                End::Finished
            }
            Some(member) => End::Lost(member),
            None => End::Stopped,
        };
        context.orders.push(Order::End(end));
        Transition(State::ended())
    }

    /// A member failed or was lost, and the other members are being stopped.
    #[state]
    fn breaking(&mut self, context: &mut Context, event: &Event<'_>) -> Outcome<State> {
        let Event::Observe(observations) = event else { return Handled };
        if !observations.iter().all(|observation| observation.has_ended()) {
            self.repeat_stop(context);
            return Handled;
        }
        context.orders.extend(self.end.map(Order::End));
        Transition(State::ended())
    }

    #[state]
    fn ended(&mut self, event: &Event<'_>) -> Outcome<State> {
        let _ = event;
        Handled
    }

    /// Repeats the stop command when it is due, with the remaining notice period.
    fn repeat_stop(&mut self, context: &mut Context) {
        if STOP_INTERVAL <= context.now.since(self.stop_sent_at) {
            self.send_stop(context, self.notice_end.since(context.now));
        }
    }

    /// Commands all members to stop, with a notice period.
    fn send_stop(&mut self, context: &mut Context, notice: Duration) {
        self.stop_sent_at = context.now;
        self.notice_end = context.now + notice;
        context.orders.push(Order::Stop(notice));
    }
}

/// Returns how the gang fails: a member failed, or one was stopped, is silent or is missing.
fn failure(observations: &[Observation]) -> Option<End> {
    if let Some(member) =
        observations.iter().position(|&observation| observation == Observation::Failed)
    {
        return Some(End::Failed(member));
    }
    let is_lost =
        |observation: &Observation| !matches!(observation, Observation::Alive | Observation::Done);
    observations.iter().position(is_lost).map(End::Lost)
}
