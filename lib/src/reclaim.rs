//! The choice of jobs to evict: least work lost, fewest jobs, least capacity freed beyond the need.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::clock::Millis;
use crate::key;
use crate::planner::Action;
use crate::planner::Cause;
use crate::resource::Resources;
use crate::table::Job;
use crate::table::Placement;
use crate::table::State;
use crate::table::Tables;

/// Most run time that a checkpointed job loses on each of its accelerators when it is stopped.
const CHECKPOINT_LOSS: Duration = Duration::from_secs(5);
/// Cost of stopping one more job, in accelerator-seconds.
const JOB_COST: f64 = 10.0;
/// Cost of an accelerator that is freed and not needed, in accelerator-seconds.
const EXCESS_COST: f64 = 2.0;

/// Resources that are missing on one worker.
#[row]
pub(crate) struct Shortage {
    /// The worker.
    pub(crate) worker: key::Worker,
    /// Resources that must be freed there.
    pub(crate) missing: Resources,
}

/// Returns what must be freed on each worker in addition to what is free or being freed.
///
/// `reserved` returns the resources of a worker that are reserved for others.
pub(crate) fn shortages(
    tables: &Tables,
    member: Resources,
    placements: &[Placement],
    reserved: impl Fn(key::Worker) -> Resources,
) -> Vec<Shortage> {
    let mut shortages = Vec::new();
    for placement in placements {
        let row = &tables.workers[placement.worker];
        let available = row.free_resources().plus(stopping(tables, placement.worker));
        let missing =
            member.times(placement.members).minus(available.minus(reserved(placement.worker)));
        if missing != Resources::default() {
            shortages.push(Shortage { worker: placement.worker, missing });
        }
    }
    shortages
}

/// Returns the resources that the stopping jobs will free on a worker.
fn stopping(tables: &Tables, worker: key::Worker) -> Resources {
    let jobs = tables.workers[worker].jobs.iter();
    let stopping_jobs = jobs.filter(|&&job| tables.jobs[job].state == State::Stopping);
    stopping_jobs.fold(Resources::default(), |sum, &job| sum.plus(held_on(tables, job, worker)))
}

/// Returns the resources that a job holds on a worker.
pub(crate) fn held_on(tables: &Tables, job: key::Job, worker: key::Worker) -> Resources {
    let row = &tables.jobs[job];
    let members = row.assignments.iter().filter(|assignment| assignment.worker == worker).count();
    row.shape.member().times(members as u32)
}

/// Chooses cheap jobs that cover every shortage when they stop; `None` if there are not enough.
///
/// The choice is greedy, by cost for the covered part of the shortages. `can_evict` excludes jobs.
pub(crate) fn choose_victims(
    tables: &Tables,
    now: Millis,
    shortages: &[Shortage],
    can_evict: impl Fn(key::Job, &Job) -> bool,
) -> Option<Vec<key::Job>> {
    let mut missing = shortages.to_vec();
    let mut chosen: Vec<key::Job> = Vec::new();
    while missing.iter().any(|shortage| shortage.missing != Resources::default()) {
        let mut best: Option<(f64, key::Job)> = None;
        for shortage in missing.iter().filter(|shortage| shortage.missing != Resources::default()) {
            for &job in &tables.workers[shortage.worker].jobs {
                let row = &tables.jobs[job];
                let is_stoppable = matches!(row.state, State::Running | State::Starting);
                if !is_stoppable || chosen.contains(&job) || !can_evict(job, row) {
                    continue;
                }
                let coverage = covered(tables, job, &missing);
                let relative_cost = cost(tables, now, job, &missing) / coverage;
                if 0.0 < coverage && best.is_none_or(|(lowest, _)| relative_cost < lowest) {
                    best = Some((relative_cost, job));
                }
            }
        }
        let (_, job) = best?;
        chosen.push(job);
        for shortage in &mut missing {
            shortage.missing = shortage.missing.minus(held_on(tables, job, shortage.worker));
        }
    }
    Some(drop_unneeded(tables, now, shortages, chosen))
}

/// Drops chosen jobs that the others make unnecessary, those with the most lost work first.
fn drop_unneeded(
    tables: &Tables,
    now: Millis,
    shortages: &[Shortage],
    mut chosen: Vec<key::Job>,
) -> Vec<key::Job> {
    let mut by_lost_work = chosen.clone();
    by_lost_work.sort_by(|&a, &b| lost_work(tables, now, b).total_cmp(&lost_work(tables, now, a)));
    for job in by_lost_work {
        let is_unneeded = shortages.iter().all(|shortage| {
            let others = chosen.iter().filter(|&&other| other != job);
            let freed = others.fold(Resources::default(), |sum, &other| {
                sum.plus(held_on(tables, other, shortage.worker))
            });
            shortage.missing.fits(freed)
        });
        if is_unneeded {
            chosen.retain(|&other| other != job);
        }
    }
    chosen
}

/// Returns how much of the shortages a job covers; each dimension of each worker counts at most 1.
fn covered(tables: &Tables, job: key::Job, missing: &[Shortage]) -> f64 {
    let share = |freed: f64, missing: f64| {
        if missing <= 0.0 { 0.0 } else { (freed / missing).min(1.0) }
    };
    missing
        .iter()
        .map(|shortage| {
            let freed = held_on(tables, job, shortage.worker);
            let missing = shortage.missing;
            share(f64::from(freed.accelerators), f64::from(missing.accelerators))
                + share(f64::from(freed.processors), f64::from(missing.processors))
                + share(freed.memory_mb as f64, missing.memory_mb as f64)
        })
        .sum()
}

/// Returns the cost of stopping a job, in accelerator-seconds.
fn cost(tables: &Tables, now: Millis, job: key::Job, missing: &[Shortage]) -> f64 {
    let needed: u32 = missing
        .iter()
        .map(|shortage| {
            let freed = held_on(tables, job, shortage.worker).accelerators;
            freed.min(shortage.missing.accelerators)
        })
        .sum();
    let held = tables.jobs[job].shape.total();
    let excess = f64::from(held.saturating_sub(needed));
    JOB_COST + lost_work(tables, now, job) + EXCESS_COST * excess
}

/// Returns the work that must be repeated if a job stops now, in accelerator-seconds.
pub(crate) fn lost_work(tables: &Tables, now: Millis, job: key::Job) -> f64 {
    let row = &tables.jobs[job];
    let ran = now.since(row.started);
    let lost = if row.checkpoints { ran.min(CHECKPOINT_LOSS) } else { ran };
    lost.as_secs_f64() * f64::from(row.shape.total().max(1))
}

/// Stops a job; its agents end it after the policy's notice.
pub(crate) fn stop(
    tables: &mut Tables,
    now: Millis,
    job: key::Job,
    cause: Cause,
    actions: &mut Vec<Action>,
) {
    let notice = tables.policy.notice;
    let row = &mut tables.jobs[job];
    row.state = State::Stopping;
    row.stop_requested = now;
    row.backfills = None;
    tables.stopping.push(job);
    let row = &tables.jobs[job];
    actions.push(Action::Stop { job: row.name.clone(), attempt: row.attempt, notice, cause });
}
