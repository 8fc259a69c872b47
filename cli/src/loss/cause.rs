//! What an occurrence spent its time on, along the tasks that ended last.

use std::collections::BTreeMap;

use lavendergauge_derive::token;
use lavendergauge_lib::batch::rank::WORTHLESS_FACTOR;

use crate::loss::history;
use crate::loss::history::History;
use crate::loss::history::Run;

/// How well an occurrence was served.
#[token]
pub enum Verdict {
    /// It ended within its objective.
    InTime,
    /// It ended late, but not too late to be of worth.
    Late,
    /// It ended too late, failed, or has not ended.
    Lost,
}

/// What took time besides the run that ended as done.
#[token]
pub enum Cause {
    /// The task waited for its first run.
    Wait,
    /// A run failed, or another member of its gang did.
    Failure,
    /// The run, or another member of its gang, was lost with its worker.
    LostRun,
    /// The run was stopped for other work.
    Preemption,
    /// The run was stopped as it made no progress.
    Stall,
    /// The run was stopped as its worker left.
    Leaving,
    /// The run was stopped for another cause.
    OtherStop,
    /// The run that ended as done took longer than the objective by itself.
    Slow,
}

impl Cause {
    /// Returns its name in the report.
    ///
    /// ```
    /// assert_eq!(lavendergauge_cli::loss::cause::Cause::LostRun.name(), "lost-run");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Cause::Wait => "wait",
            Cause::Failure => "failure",
            Cause::LostRun => "lost-run",
            Cause::Preemption => "preemption",
            Cause::Stall => "stall",
            Cause::Leaving => "leaving",
            Cause::OtherStop => "other-stop",
            Cause::Slow => "slow",
        }
    }

    fn of(run: &Run) -> Cause {
        match (run.stop_cause.as_str(), run.ending.as_str()) {
            ("preempted", _) => Cause::Preemption,
            ("no-progress", _) => Cause::Stall,
            ("worker-leaves", _) => Cause::Leaving,
            (_, "failed") => Cause::Failure,
            (_, "lost") => Cause::LostRun,
            _ => Cause::OtherStop,
        }
    }
}

/// Tells how well an occurrence was served.
pub fn verdict(history: &History) -> Verdict {
    match history.ended_ms() {
        Some(end) if end <= history.due_ms + history.objective_ms => Verdict::InTime,
        Some(end) if end <= history.due_ms + WORTHLESS_FACTOR * history.objective_ms => {
            Verdict::Late
        }
        _ => Verdict::Lost,
    }
}

/// Returns the cause that took most of an occurrence's time, and how long, in milliseconds.
///
/// The time of its last run counts as far as it exceeds the objective alone.
pub fn main_cause(history: &History) -> (Cause, u64) {
    let mut times: BTreeMap<Cause, u64> = BTreeMap::new();
    let mut before = (u16::MAX, u64::MAX);
    // The task that ended last, then the one of an earlier step for which that had to wait.
    while let Some((key, runs)) = decisive(history, before) {
        let earlier = history.runs.range(..(key.0, 0));
        let ready_ms = earlier
            .filter_map(|(_, runs)| history::done_ms(runs))
            .filter(|done| *done <= runs[0].placed_ms)
            .max();
        let since = ready_ms.unwrap_or(history.due_ms);
        *times.entry(Cause::Wait).or_default() += runs[0].placed_ms.saturating_sub(since);
        for pair in runs.windows(2) {
            let cause = attempt_cause(history, key.0, &pair[0]);
            *times.entry(cause).or_default() += pair[1].placed_ms.saturating_sub(pair[0].placed_ms);
        }
        let last = &runs[runs.len() - 1];
        if last.ending == "done" {
            let worked = last.over_ms.unwrap_or(last.placed_ms) - last.placed_ms;
            *times.entry(Cause::Slow).or_default() += worked;
        } else if last.over_ms.is_some() {
            // There was no further run.
            let cause = attempt_cause(history, key.0, last);
            *times.entry(cause).or_default() += history.objective_ms;
        }
        match ready_ms {
            Some(ready) => before = (key.0, ready),
            None => break,
        }
    }
    if let Some(slow) = times.get_mut(&Cause::Slow) {
        *slow = slow.saturating_sub(history.objective_ms);
    }
    let most = times.into_iter().max_by_key(|(_, ms)| *ms);
    most.unwrap_or((Cause::Wait, history.objective_ms))
}

/// Returns the task that ended last with its runs, or one that has not ended. `before` bounds the
/// number of its step, exclusively, and its end in Unix milliseconds.
fn decisive(history: &History, before: (u16, u64)) -> Option<((u16, u32), &Vec<Run>)> {
    let (step, end_ms) = before;
    history
        .runs
        .iter()
        .filter(|((number, _), runs)| *number < step && !runs.is_empty())
        .map(|(key, runs)| (history::done_ms(runs).unwrap_or(u64::MAX), *key, runs))
        .filter(|(end, ..)| *end <= end_ms)
        .max_by_key(|(end, key, _)| (*end, *key))
        .map(|(_, key, runs)| (key, runs))
}

/// Returns why a run ended; for a gang's member that was stopped with the others, why theirs did.
fn attempt_cause(history: &History, step: u16, run: &Run) -> Cause {
    let own = Cause::of(run);
    if own != Cause::OtherStop {
        return own;
    }
    history
        .runs
        .range((step, 0)..=(step, u32::MAX))
        .filter_map(|(_, runs)| runs.iter().find(|other| other.number == run.number))
        .filter(|other| other.over_ms.is_some() && other.ending != "done")
        .map(Cause::of)
        .min_by_key(|cause| *cause == Cause::OtherStop)
        .unwrap_or(own)
}
