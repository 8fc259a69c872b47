//! Order of the waiting steps.

use std::collections::BinaryHeap;
use std::time::Duration;

use lavendergauge_derive::token;
use smallvec::SmallVec;

use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::share;
use crate::batch::shortage::class::Class;
use crate::batch::shortage::supply;
use crate::batch::shortage::supply::Supply;
use crate::batch::table::Job;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::resource::Resources;

/// Work of a waiting step, in millionths of a worker times milliseconds.
#[token]
struct Work {
    /// Of the step's waiting tasks.
    step: u64,
    /// Of these and of the steps that follow.
    job: u64,
}

impl Work {
    fn of(job: &Job, candidate: &Candidate, worker: Resources) -> Work {
        let number = usize::from(candidate.instance.step);
        let critical_path = job.critical_paths[number];
        let work = |step: &Step, tasks: u64| {
            supply::size_of(step.resources(), worker) * tasks * rank::estimated_ms(step)
        };
        let own = work(&job.steps()[number], candidate.waiting.len() as u64);
        let following = job
            .steps()
            .iter()
            .zip(&job.critical_paths)
            .filter(|(_, path)| **path < critical_path)
            .map(|(step, _)| work(step, u64::from(step.tasks)));
        Work { step: own, job: own + following.sum::<u64>() }
    }
}

/// Sorts waiting steps, the first to be served first.
///
/// The order is by guarantee and priority, whether a job is worthless, and latest start, unless the
/// policy asks for more.
pub fn sort(tables: &Tables, candidates: &mut Vec<Candidate>, now: Millis) {
    sort_by_start(candidates);
    if tables.policy.account_shares {
        share::set_levels(tables, candidates, now);
    }
    if !tables.policy.shortage {
        if !tables.policy.account_shares {
            return;
        }
        candidates.sort_by_key(|candidate| {
            (
                !candidate.guaranteed,
                candidate.priority,
                candidate.is_worthless,
                if candidate.guaranteed { 0 } else { candidate.share_level },
            )
        });
        return;
    }
    let works = classify(tables, candidates, now);
    let raised = tables.shortage.raised;
    let mut keyed: Vec<_> = std::mem::take(candidates)
        .into_iter()
        .zip(works)
        .map(|(candidate, work)| {
            let key = if candidate.guaranteed {
                (false, false, candidate.priority, Class::InTime, 0, 0)
            } else {
                (
                    true,
                    raised != Some(candidate.instance),
                    candidate.priority,
                    candidate.class,
                    candidate.share_level,
                    order_in_class(&candidate, work, now),
                )
            };
            (key, candidate)
        })
        .collect();
    // The sort is stable: what is equal here stays in the order by latest start.
    keyed.sort_by_key(|(key, _)| *key);
    candidates.extend(keyed.into_iter().map(|(_, candidate)| candidate));
}

fn sort_by_start(candidates: &mut [Candidate]) {
    candidates.sort_by_key(|candidate| {
        (
            !candidate.guaranteed,
            candidate.priority,
            candidate.is_worthless,
            candidate.latest_start,
            candidate.instance,
        )
    });
}

/// Returns the place of a step within its class; lower is earlier.
fn order_in_class(candidate: &Candidate, work: Work, now: Millis) -> u64 {
    match candidate.class {
        Class::InTime | Class::Worthless => 0,
        Class::Deferred => work.job,
        // The credit stays the same until it ends, so the least work goes first; what is left of the
        // time until then brings the others forward.
        Class::Late => {
            let window = candidate.worthless_start.since(candidate.latest_start).as_millis();
            let left = candidate.worthless_start.since(now).as_millis();
            let scaled = u128::from(work.job) * left / window.max(1);
            u64::try_from(scaled).unwrap_or(u64::MAX)
        }
    }
}

/// A service while the waiting steps are examined.
struct Queue<'a> {
    name: &'a str,
    supply: Supply,
    /// Work of the steps of higher rank, and of those of this rank that can be in time.
    taken: u64,
    /// Work of the steps of this rank that follow those in time.
    behind: u64,
    /// Steps of this rank that can be in time: their order of deferral, work and index.
    kept: BinaryHeap<(u64, u64, usize)>,
}

/// Sets the class of each step of a list that is sorted by guarantee and priority, and returns the work
/// of each.
fn classify(tables: &Tables, candidates: &mut [Candidate], now: Millis) -> Vec<Work> {
    let mut queues: SmallVec<[Queue; 2]> = SmallVec::new();
    let mut works = vec![Work { step: 0, job: 0 }; candidates.len()];
    let jobs: Vec<Option<&Job>> =
        candidates.iter().map(|candidate| tables.jobs.get(&candidate.instance.job)).collect();
    let deadlines: Vec<Millis> = candidates
        .iter()
        .zip(&jobs)
        .map(|(candidate, job)| candidate.latest_start + step_time(*job, candidate.instance))
        .collect();
    let rank = |candidate: &Candidate| (!candidate.guaranteed, candidate.priority);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| (rank(&candidates[*index]), deadlines[*index]));
    let mut previous = None;
    for index in order {
        let candidate = &mut candidates[index];
        if previous.replace(rank(candidate)) != Some(rank(candidate)) {
            for queue in &mut queues {
                queue.kept.clear();
                queue.taken += std::mem::take(&mut queue.behind);
            }
        }
        let Some(job) = jobs[index] else { continue };
        let name = job.queue.service.as_str();
        let position = queues.iter().position(|queue| queue.name == name).unwrap_or_else(|| {
            let supply = Supply::of(tables, name, now);
            queues.push(Queue { name, supply, taken: 0, behind: 0, kept: BinaryHeap::new() });
            queues.len() - 1
        });
        let queue = &mut queues[position];
        let work = Work::of(job, candidate, queue.supply.worker);
        works[index] = work;
        candidate.class = if candidate.is_worthless {
            Class::Worthless
        } else {
            Class::at(now, candidate.latest_start, candidate.worthless_start)
        };
        if candidate.guaranteed || candidate.class != Class::InTime {
            queue.behind += work.step;
            continue;
        }
        queue.taken += work.step;
        // A step of an account that has used more is deferred before one of the same size.
        let claim = work.job.saturating_mul(1 + u64::from(candidate.share_level));
        queue.kept.push((claim, work.step, index));
        let Some(supply) = queue.supply.until(deadlines[index]) else { continue };
        while supply < queue.taken
            && let Some((_, work, deferred)) = queue.kept.pop()
        {
            queue.taken -= work;
            queue.behind += work;
            candidates[deferred].class = Class::Deferred;
        }
    }
    works
}

/// Returns the estimated run time of a step's tasks.
fn step_time(job: Option<&Job>, instance: StepInstance) -> Duration {
    let step = job.and_then(|job| job.steps().get(usize::from(instance.step)));
    Duration::from_millis(step.map_or(0, rank::estimated_ms))
}
