//! Prices the runs that would be stopped for a step, and decides whether to stop them.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::batch::event::Event;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::preempt;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::shortage::LOG_INTERVAL;
use crate::batch::shortage::class::Class;
use crate::batch::table::Job;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Factor between the weights of two adjacent priorities, as a power of two. No queue has a configured
/// worth; a level more urgent counts twice.
const WEIGHT_BITS: u32 = 1;
/// Priorities further apart than this count as this far apart.
const MAX_WEIGHT_LEVELS: u32 = 8;
/// Divisor of a late job's own work; the result is how much it may cost others.
const LATE_WORK_DIVISOR: u64 = 8;

/// What was decided about a step for which other runs would have to be stopped.
#[token]
pub enum Verdict {
    /// The runs are stopped.
    Preempt,
    /// The step is as well served by capacity that comes free by itself.
    Wait,
    /// The other callers would lose more than this one gains.
    Decline,
}

impl Verdict {
    /// Returns the verdict's name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::shortage::measure::Verdict::Wait.name(), "wait");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Preempt => "preempt",
            Verdict::Wait => "wait",
            Verdict::Decline => "decline",
        }
    }
}

/// A verdict with the figures that it was based on.
#[value]
pub struct Weighing {
    /// The step that needs capacity.
    pub instance: StepInstance,
    /// The verdict.
    pub verdict: Verdict,
    /// What the other callers would lose, in core-milliseconds.
    pub cost: u64,
    /// What this caller would gain, in core-milliseconds.
    pub gain: u64,
    /// Time after which capacity is expected to come free by itself, in milliseconds.
    pub wait_ms: Option<u64>,
}

/// Measure of what callers lose and gain when runs are stopped for a step.
#[value]
pub struct Measure {
    instance: StepInstance,
    now: Millis,
    guaranteed: bool,
    priority: u32,
    class: Class,
    latest_start: Millis,
    worthless_start: Millis,
    /// Time from the stop of a run until it can start again, at the least.
    pause_ms: u64,
    /// Work of the waiting tasks, in core-milliseconds.
    own_work: u64,
}

impl Measure {
    /// Creates the measure for `count` tasks of a step, which could start when runs that are stopped
    /// now have ended.
    pub fn of(
        tables: &Tables,
        now: Millis,
        candidate: &Candidate,
        step: &Step,
        count: u32,
    ) -> Self {
        let grace_ms = tables.bounds.stop_grace_ms;
        let (latest_start, worthless_start) = (candidate.latest_start, candidate.worthless_start);
        let start = now + Duration::from_millis(grace_ms);
        Measure {
            instance: candidate.instance,
            now,
            guaranteed: candidate.guaranteed,
            priority: candidate.priority,
            class: Class::at(start, latest_start, worthless_start),
            latest_start,
            worthless_start,
            pause_ms: grace_ms + rank::estimated_ms(step),
            own_work: preempt::cores(step) * rank::estimated_ms(step) * u64::from(count),
        }
    }

    /// Tells whether any gain of the step's caller is worth a cost.
    pub fn may_pay(&self, cost: u64) -> bool {
        cost <= self.own_work
    }

    /// Returns what the caller of a run loses when it is stopped, in core-milliseconds; `None` if that
    /// is out of proportion whatever the gain.
    pub fn price(&self, tables: &Tables, step: &Step, run: &Run, remaining_ms: u64) -> Option<u64> {
        let job = tables.jobs.get(&run.task.instance.job)?;
        let lost = preempt::lost_work(step, run, self.now);
        if !self.guaranteed && !self.may_pay(lost) {
            // It is out of reach already; the rest of the price makes no difference.
            return Some(lost);
        }
        let (before, after) = self.credits(job, step, run, remaining_ms);
        let is_late = self.class != Class::InTime;
        if is_late && !self.guaranteed && after < before && self.class.credit() < before {
            return None;
        }
        let at_stake = (before - after) * job_work(job, run) / u64::from(step.tasks.max(1));
        let levels = job.queue.priority.saturating_sub(self.priority).min(MAX_WEIGHT_LEVELS);
        let price = lost + (at_stake >> (levels * WEIGHT_BITS));
        Some(price.saturating_mul(1 + u64::from(stops(tables, run))))
    }

    /// Returns the credits that a run's job earns if the run goes on, and if it is stopped now.
    fn credits(&self, job: &Job, step: &Step, run: &Run, remaining_ms: u64) -> (u64, u64) {
        let instance = run.task.instance;
        let Some(occurrence) = job.occurrences.get(&instance.occurrence) else { return (0, 0) };
        let critical_path = job.critical_paths[usize::from(instance.step)];
        let rest = critical_path.saturating_sub(rank::estimated_ms(step));
        let has_waiting = job
            .waiting
            .iter()
            .any(|row| row.occurrence == instance.occurrence && row.step == instance.step);
        // A step with waiting tasks does not end before these.
        let left = if has_waiting { critical_path } else { remaining_ms + rest };
        let again = if step.checkpoints { remaining_ms + rest } else { critical_path };
        let objective = rank::objective_ms(job);
        let credit = |ends_in: u64| {
            let end = self.now + Duration::from_millis(ends_in);
            let latest = occurrence.due + Duration::from_millis(objective);
            let worthless =
                occurrence.due + Duration::from_millis(rank::WORTHLESS_FACTOR * objective);
            Class::at(end, latest, worthless).credit()
        };
        let before = credit(left);
        (before, credit(self.pause_ms + again).min(before))
    }

    /// Decides whether to stop runs at a cost, given the time in which capacity is expected to come
    /// free by itself.
    pub fn weigh(&self, cost: u64, wait_ms: Option<u64>) -> Weighing {
        let later = wait_ms.map_or(Class::Worthless, |ms| {
            let start = self.now + Duration::from_millis(ms);
            Class::at(start, self.latest_start, self.worthless_start)
        });
        let gain = match self.class {
            class if later <= class => 0,
            Class::InTime | Class::Deferred => self.own_work,
            Class::Late | Class::Worthless => self.own_work / LATE_WORK_DIVISOR,
        };
        let verdict = if 0 < gain && cost <= gain {
            Verdict::Preempt
        } else if gain == 0 && self.class == Class::InTime {
            Verdict::Wait
        } else {
            Verdict::Decline
        };
        Weighing { instance: self.instance, verdict, cost, gain, wait_ms }
    }
}

/// Returns the work of a run's step and of those that follow, in core-milliseconds.
fn job_work(job: &Job, run: &Run) -> u64 {
    let number = usize::from(run.task.instance.step);
    let critical_path = job.critical_paths[number];
    job.steps()
        .iter()
        .zip(&job.critical_paths)
        .enumerate()
        .filter(|(index, (_, path))| *index == number || **path < critical_path)
        .map(|(_, (step, _))| {
            preempt::cores(step) * rank::estimated_ms(step) * u64::from(step.tasks)
        })
        .sum()
}

/// Returns how often a run's task was stopped before, judging by its runs that did not fail.
fn stops(tables: &Tables, run: &Run) -> u32 {
    if run.number <= 1 {
        return 0;
    }
    let failures = tables.task_state(run.task).map_or(0, |task_state| task_state.failures);
    (run.number - 1).saturating_sub(failures)
}

/// Records a weighing for the log, unless one of the same step was recorded a short while ago.
pub(in crate::batch) fn record(
    tables: &mut Tables,
    now: Millis,
    weighing: Weighing,
    events: &mut Vec<Event>,
) {
    let known = tables.shortage.weighed.get(&weighing.instance);
    let is_recent = known.is_some_and(|at| now.since(*at) < LOG_INTERVAL);
    if is_recent && weighing.verdict != Verdict::Preempt {
        return;
    }
    tables.shortage.weighed.insert(weighing.instance, now);
    events.push(Event::Weighed(weighing));
}
