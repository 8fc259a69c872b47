//! Ranks waiting steps by urgency.

use std::collections::HashMap;

use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::run_time;
use crate::batch::shortage;
use crate::batch::shortage::class::Class;
use crate::batch::table::Job;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Multiple of its objective after which a job has no value to its caller any more.
pub const WORTHLESS_FACTOR: u64 = 3;
/// Estimate for a task whose caller gave none, in milliseconds.
const UNKNOWN_ESTIMATE_MS: u64 = 5000;

/// A step with waiting tasks, and the criteria by which it is ranked.
#[value]
pub struct Candidate {
    /// The step.
    pub instance: StepInstance,
    /// Whether its client account's guarantee covers the job.
    pub guaranteed: bool,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether the job will be so late that it has no value to its caller any more.
    pub is_worthless: bool,
    /// Latest start at which the job still meets its objective.
    pub latest_start: Millis,
    /// Latest start at which the job still has any value to its caller.
    pub worthless_start: Millis,
    /// What the job still earns if it starts now.
    pub class: Class,
    /// How much its account has used, in quarters of its equal share.
    pub share_level: u32,
    /// When it began to wait: when its occurrence was due.
    pub since: Millis,
    /// Indices of the waiting tasks.
    pub waiting: Vec<u32>,
}

/// Returns the estimated run time of a task of a step, in milliseconds.
///
/// ```
/// use lavendergauge_lib::batch::job::Step;
/// use lavendergauge_lib::batch::rank;
/// assert_eq!(rank::estimated_ms(&Step { estimate_ms: 900, ..Step::default() }), 900);
/// ```
pub fn estimated_ms(step: &Step) -> u64 {
    if step.estimate_ms == 0 { UNKNOWN_ESTIMATE_MS } else { step.estimate_ms }
}

/// Returns for each step the estimated time from its start to the end of its job, along the longest
/// chain of steps, in milliseconds.
///
/// ```
/// use lavendergauge_lib::batch::job::Step;
/// use lavendergauge_lib::batch::rank;
/// let first = Step { estimate_ms: 300, ..Step::default() };
/// let second = Step { estimate_ms: 500, after: [0].into_iter().collect(), ..Step::default() };
/// assert_eq!(rank::critical_paths(&[first, second]).as_slice(), [800, 500]);
/// ```
pub fn critical_paths(steps: &[Step]) -> SmallVec<[u64; 4]> {
    let mut critical_paths: SmallVec<[u64; 4]> = steps.iter().map(estimated_ms).collect();
    for index in (0..steps.len()).rev() {
        for before in steps[index].after.iter().map(|before| usize::from(*before)) {
            if before < index {
                critical_paths[before] = critical_paths[before]
                    .max(estimated_ms(&steps[before]) + critical_paths[index]);
            }
        }
    }
    critical_paths
}

/// Returns the time from its due time in which a job should end, in milliseconds.
pub(super) fn objective_ms(job: &Job) -> u64 {
    let longest = job.critical_paths.iter().max().copied().unwrap_or(0);
    longest * job.queue.stretch_permille / 1000 + job.queue.target_ms
}

/// Returns the number of accelerators that a job needs at a time.
pub(super) fn accelerators_needed(job: &Job) -> u32 {
    let needed = |step: &Step| step.accelerators.saturating_mul(step.tasks);
    job.steps().iter().map(needed).max().unwrap_or(0)
}

/// Returns the jobs that are covered by their client account's guarantee, sorted by identifier.
///
/// Where the jobs of an account need more than its guarantee, the oldest ones are covered first.
pub fn covered(tables: &Tables) -> Vec<Id> {
    let mut remaining: HashMap<&str, u32> = tables
        .config
        .accounts
        .iter()
        .map(|account| (account.name.as_str(), account.guaranteed))
        .collect();
    let mut jobs: Vec<(Millis, Id, &Job)> = tables
        .active
        .iter()
        .filter_map(|id| Some((*id, tables.jobs.get(id)?)))
        .filter(|(_, job)| job.is_active() && job.queue.priority == 0)
        .filter(|(_, job)| job.record.submission.repeat.count == 0)
        .map(|(id, job)| (job.accepted, id, job))
        .collect();
    jobs.sort_unstable_by_key(|(accepted, id, _)| (*accepted, *id));
    let mut covered = Vec::new();
    for (_, id, job) in jobs {
        let Some(rest) = remaining.get_mut(job.record.account.as_str()) else { continue };
        if accelerators_needed(job) <= *rest {
            *rest -= accelerators_needed(job);
            covered.push(id);
        }
    }
    covered.sort_unstable();
    covered
}

/// Tells whether all steps that have to precede a step are done.
pub fn follows_done_steps(job: &Job, occurrence: u32, step: usize) -> bool {
    let Some(tasks) = job.occurrences.get(&occurrence) else { return false };
    let done = |step: &u16| {
        tasks
            .steps
            .get(usize::from(*step))
            .is_some_and(|task_states| task_states.iter().all(|task_state| task_state.done))
    };
    job.steps()[step].after.iter().all(done)
}

/// Returns the steps with waiting tasks, the most urgent first; `covered` are the jobs that are
/// covered by their client account's guarantee.
pub fn candidates(tables: &Tables, covered: &[Id], now: Millis) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for &id in &tables.waiting {
        let Some(job) = tables.jobs.get(&id).filter(|job| job.is_active()) else { continue };
        let objective = objective_ms(job);
        let ratio = run_time::ratio(tables, job, run_time::USUAL);
        let longest = job.critical_paths.iter().max().copied().unwrap_or(0);
        let expected = run_time::scale(longest, ratio);
        // An account whose estimates are too short has no earlier latest start by that.
        let allowed =
            objective.max(expected * job.queue.stretch_permille / 1000 + job.queue.target_ms);
        for row in &job.waiting {
            let Some(occurrence) = job.occurrences.get(&row.occurrence) else { continue };
            if now < occurrence.due {
                continue;
            }
            let start = occurrence.due;
            let critical_path = run_time::scale(job.critical_paths[usize::from(row.step)], ratio);
            let worthless_at = start.0 + WORTHLESS_FACTOR * objective;
            candidates.push(Candidate {
                instance: StepInstance { job: id, occurrence: row.occurrence, step: row.step },
                guaranteed: covered.binary_search(&id).is_ok(),
                priority: job.queue.priority,
                is_worthless: worthless_at < now.0 + critical_path,
                latest_start: Millis((start.0 + allowed).saturating_sub(critical_path)),
                worthless_start: Millis(worthless_at.saturating_sub(critical_path)),
                class: Class::InTime,
                share_level: 0,
                since: start,
                waiting: row.tasks.clone(),
            });
        }
    }
    shortage::order::sort(tables, &mut candidates, now);
    candidates
}
