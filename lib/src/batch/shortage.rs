//! Orders waiting steps and prices preemption by what callers lose when capacity is insufficient.
//!
//! The load that this answers: more work waits than can end within its objectives. By latest start
//! alone, jobs that are late already precede those that can still be in time, and one large job makes
//! several small ones late.

pub mod class;
pub mod measure;
pub mod order;
pub(super) mod supply;

use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;

use crate::batch::event::Event;
use crate::batch::job::StepInstance;
use crate::batch::rank::Candidate;
use crate::batch::share;
use crate::batch::shortage::class::Class;
use crate::batch::shortage::supply::Ledger;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Multiple of its job's objective for which a step waits before it is raised: twice the time after
/// which it is worthless, so that a step is raised only when its order has failed it.
const RAISE_OBJECTIVES: u64 = 6;
/// Least time between two steps being raised. It bounds the work that is done without credit while
/// other work could earn some.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which another step is raised although this one has found no place: its workers may be
/// gone.
const RAISE_LIFETIME: Duration = Duration::from_secs(20);
/// Least time between two log lines about the same matter.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of waiting steps by class, guaranteed ones excluded.
#[value]
#[derive(Copy, Default)]
pub struct Summary {
    /// In time.
    pub in_time: usize,
    /// In time, but not together with the others.
    pub deferred: usize,
    /// Late.
    pub late: usize,
    /// Worthless.
    pub worthless: usize,
}

/// Capacity in use by expected end, and what was decided about waiting steps before.
#[row]
#[derive(Default)]
pub struct State {
    /// Capacity in use by expected end.
    pub(super) ledger: Ledger,
    raised: Option<StepInstance>,
    /// The step that was raised last, and since when it waited.
    raised_last: Option<(Millis, StepInstance)>,
    raised_at: Option<Millis>,
    summarised_at: Option<Millis>,
    weighed: BTreeMap<StepInstance, Millis>,
}

/// Updates what depends on the order of the waiting steps: the step that is raised, and the log.
pub(super) fn note(
    tables: &mut Tables,
    now: Millis,
    candidates: &[Candidate],
    events: &mut Vec<Event>,
) {
    if tables.policy.account_shares {
        share::note(tables, now, candidates, events);
    }
    if !tables.policy.shortage {
        return;
    }
    let waits =
        |instance: StepInstance| candidates.iter().any(|candidate| candidate.instance == instance);
    let is_over = tables.shortage.raised_at.is_some_and(|at| RAISE_LIFETIME <= now.since(at));
    if is_over || !tables.shortage.raised.is_some_and(waits) {
        tables.shortage.raised = None;
    }
    if !tables.shortage.weighed.is_empty() {
        tables.shortage.weighed.retain(|_, at| now.since(*at) < LOG_INTERVAL);
    }
    raise(&mut tables.shortage, now, candidates, events);
    summarise(&mut tables.shortage, now, candidates, events);
}

/// Raises the step that has waited longest beyond its bound, unless another one is raised. Those that
/// waited longer than the one before come last, so that each has its turn.
fn raise(state: &mut State, now: Millis, candidates: &[Candidate], events: &mut Vec<Event>) {
    let is_due = state.raised_at.is_none_or(|at| RAISE_INTERVAL <= now.since(at));
    if state.raised.is_some() || !is_due {
        return;
    }
    let longest = candidates
        .iter()
        .filter(|candidate| !candidate.guaranteed && raise_after(candidate) <= now)
        .map(|candidate| (candidate.since, candidate.instance))
        .min_by_key(|waiting| (Some(*waiting) <= state.raised_last, *waiting));
    let Some((since, instance)) = longest else { return };
    state.raised = Some(instance);
    state.raised_last = longest;
    state.raised_at = Some(now);
    events.push(Event::Raised(instance, now.since(since)));
}

/// Returns when a waiting step may be raised.
fn raise_after(candidate: &Candidate) -> Millis {
    // From one objective to three.
    let two = candidate.worthless_start.since(candidate.latest_start);
    candidate.since + two * (RAISE_OBJECTIVES / 2) as u32
}

fn summarise(state: &mut State, now: Millis, candidates: &[Candidate], events: &mut Vec<Event>) {
    if state.summarised_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
        return;
    }
    let mut summary = Summary::default();
    for candidate in candidates.iter().filter(|candidate| !candidate.guaranteed) {
        let count = match candidate.class {
            Class::InTime => &mut summary.in_time,
            Class::Deferred => &mut summary.deferred,
            Class::Late => &mut summary.late,
            Class::Worthless => &mut summary.worthless,
        };
        *count += 1;
    }
    if summary.deferred + summary.late + summary.worthless == 0 {
        return;
    }
    state.summarised_at = Some(now);
    events.push(Event::Shortage(summary));
}

/// Tells whether capacity may be reserved for a step while other runs end.
///
/// Reserved capacity is idle for a while. A late step gets it only in the second half of the time until
/// it is worthless, and a worthless one only once it is raised, so that they don't delay what can still
/// be in time.
pub(super) fn may_reserve(tables: &Tables, now: Millis, candidate: &Candidate) -> bool {
    if !tables.policy.shortage
        || candidate.guaranteed
        || tables.shortage.raised == Some(candidate.instance)
    {
        return true;
    }
    match candidate.class {
        Class::InTime | Class::Deferred => true,
        Class::Late => {
            let window = candidate.worthless_start.since(candidate.latest_start);
            candidate.worthless_start.since(now) * 2 <= window
        }
        Class::Worthless => false,
    }
}
