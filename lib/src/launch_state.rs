//! States and transitions of a gang launch.

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
use crate::launch::Event;
use crate::launch::Order;
use crate::launch::Outcome;
use crate::launch::RecordWrite;
use crate::launch::Request;

/// Time in which all members have to be prepared, recorded and armed; shorter than their holds.
const PREPARE: Duration = Duration::from_secs(4);
/// Time in which all members have to confirm their start; shorter than the start lease.
const START: Duration = Duration::from_secs(2);
/// Time for which holds are released by message before they are left to expire.
const RELEASE: Duration = Duration::from_secs(1);
/// Time after the last preparation after which a member that never replied has certainly ended.
const ALL_EXPIRED_AFTER: Duration =
    HOLD.saturating_add(START_LEASE).saturating_add(RUNTIME_LEASE).saturating_add(RUNTIME_LEASE);

/// Known result of the newest request to one member.
#[token]
enum Reply {
    /// No usable reply so far.
    Pending,
    /// The request was carried out.
    Done,
    /// It was ordered to stop, and had started before.
    Started,
}

/// Input and output of a transition.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) now: Millis,
    pub(crate) orders: Vec<Order>,
}

/// Data of one launch, shared by all states.
#[derive(Clone, Debug)]
pub(crate) struct Launch {
    replies: Vec<Reply>,
    /// End of the current step.
    deadline: Millis,
    prepared_at: Millis,
    /// Whether `go` was sent, or may have been sent by another planner.
    is_go_sent: bool,
    failed_member: Option<usize>,
}

impl Launch {
    /// Creates the launch of a gang whose members are being requested to prepare.
    pub(crate) fn new(now: Millis, members: usize) -> Self {
        Launch {
            replies: vec![Reply::Pending; members],
            deadline: now + PREPARE,
            prepared_at: now,
            is_go_sent: false,
            failed_member: None,
        }
    }

    /// Creates a launch that may have reached any step, and that its first tick undoes.
    pub(crate) fn unfinished(now: Millis, members: usize) -> Self {
        Launch { is_go_sent: true, deadline: now, ..Launch::new(now, members) }
    }
}

#[state_machine(initial = "State::preparing()", state(derive(Clone, Debug, PartialEq)))]
impl Launch {
    #[state]
    fn preparing(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        if let Event::Reply { request: Request::Prepare, .. }
        | Event::Silent { request: Request::Prepare, .. } = event
        {
            self.prepared_at = context.now;
        }
        match self.collect(context, event, Request::Prepare) {
            Progress::Pending => Handled,
            Progress::Complete => {
                context.orders.push(Order::Record(self.deadline));
                Transition(State::recording())
            }
            Progress::Failed => self.undo(context),
        }
    }

    #[state]
    fn recording(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match event {
            Event::Recorded(RecordWrite::Done) if context.now < self.deadline => {
                self.request_all(context, Request::Arm);
                Transition(State::arming())
            }
            Event::Recorded(_) => self.undo(context),
            _ => Handled,
        }
    }

    #[state]
    fn arming(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match self.collect(context, event, Request::Arm) {
            Progress::Pending => Handled,
            Progress::Complete => {
                self.is_go_sent = true;
                self.deadline = context.now + START;
                self.request_all(context, Request::Go);
                Transition(State::starting())
            }
            Progress::Failed => self.undo(context),
        }
    }

    #[state]
    fn starting(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match self.collect(context, event, Request::Go) {
            Progress::Pending => Handled,
            Progress::Complete => {
                context.orders.push(Order::End(Outcome::Running));
                Transition(State::ended())
            }
            Progress::Failed => self.undo(context),
        }
    }

    /// All members are ordered to stop. Before any `go` was sent this releases the holds; after one
    /// it also determines which members started.
    #[state]
    fn undoing(&mut self, context: &mut Context, event: &Event) -> Next<State> {
        match event {
            Event::Reply { member, request: Request::Stop, verdict: Verdict::Done, started } => {
                self.replies[*member] = if *started { Reply::Started } else { Reply::Done };
            }
            Event::Reply { member, request: Request::Stop, .. }
            | Event::Silent { member, request: Request::Stop }
                if context.now < self.deadline =>
            {
                context.orders.push(Order::Send(*member, Request::Stop));
            }
            _ => {}
        }
        let is_unstarted = self.replies.iter().all(|&reply| reply == Reply::Done);
        let is_known = self.replies.iter().all(|&reply| reply != Reply::Pending);
        let is_late = self.deadline <= context.now;
        let outcome = match self.is_go_sent {
            _ if is_unstarted => Outcome::Withdrawn(self.failed_member),
            false if is_late => Outcome::Withdrawn(self.failed_member),
            true if is_late => Outcome::Doubt(self.failed_member),
            true if is_known => {
                // All members were ordered to stop; the runtime lease bounds how long those that
                // started can still run.
                self.deadline = self.deadline.min(context.now + RUNTIME_LEASE);
                return Handled;
            }
            _ => return Handled,
        };
        context.orders.push(Order::End(outcome));
        Transition(State::ended())
    }

    #[state]
    fn ended(&mut self, event: &Event) -> Next<State> {
        let _ = event;
        Handled
    }

    /// Collects the replies of all members to one request.
    fn collect(&mut self, context: &mut Context, event: &Event, expected: Request) -> Progress {
        match event {
            Event::Reply { member, request, verdict: Verdict::Done, .. }
                if *request == expected =>
            {
                self.replies[*member] = Reply::Done;
            }
            Event::Reply { member, request, .. } if *request == expected => {
                self.failed_member = Some(*member);
                return Progress::Failed;
            }
            Event::Silent { member, request }
                if *request == expected && context.now < self.deadline =>
            {
                context.orders.push(Order::Send(*member, expected));
            }
            _ => {}
        }
        if self.deadline <= context.now {
            self.failed_member = self.replies.iter().position(|&reply| reply == Reply::Pending);
            return Progress::Failed;
        }
        let is_complete = self.replies.iter().all(|&reply| reply == Reply::Done);
        if is_complete { Progress::Complete } else { Progress::Pending }
    }

    /// Sends a request to all members.
    fn request_all(&mut self, context: &mut Context, request: Request) {
        self.replies.fill(Reply::Pending);
        context.orders.extend((0..self.replies.len()).map(|member| Order::Send(member, request)));
    }

    /// Tells all members to stop, and sets how long to wait for their replies.
    fn undo(&mut self, context: &mut Context) -> Next<State> {
        context.orders.clear();
        self.request_all(context, Request::Stop);
        self.deadline = match self.is_go_sent {
            true => self.prepared_at + ALL_EXPIRED_AFTER,
            false => context.now + RELEASE,
        };
        Transition(State::undoing())
    }
}

/// Progress of a request to all members.
enum Progress {
    /// Replies are missing.
    Pending,
    /// All members have carried it out.
    Complete,
    /// A member refused, or the deadline has passed.
    Failed,
}
