//! Places tasks that may crash their workers where a crash ends as little other work as possible.
//!
//! A task with strikes starts on a worker without other runs, and that worker takes no other work
//! until the task has shown that it does not crash it. Suspected tasks of one job are tried on one
//! worker at a time; a gang is tried as a whole.

use std::cmp::Reverse;
use std::time::Duration;

use lavendergauge_derive::row;
use smallvec::SmallVec;

use crate::batch::assign;
use crate::batch::event::Event;
use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::Task;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::preempt;
use crate::batch::rank::Candidate;
use crate::batch::strike;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::Worker;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;

/// Longest wait for a worker without other runs. A job has to have something running within 3 s if
/// there is capacity.
const PATIENCE: Duration = Duration::from_secs(2);

/// Tells whether a run is one by which its worker is in quarantine.
fn is_on_probation(tables: &Tables, run: &Run) -> bool {
    !matches!(run.phase, Phase::Stopping(_))
        && tables.task_state(run.task).is_some_and(strike::is_suspected)
}

/// Puts the worker of a new run into quarantine if the run's task may crash it.
pub(super) fn note_inserted(tables: &mut Tables, key: key::Run) {
    let Some(run) = tables.runs.get(key).filter(|run| is_on_probation(tables, run)) else { return };
    let (worker, job) = (run.worker, run.task.instance.job);
    if let Some(row) = tables.workers.get_mut(worker) {
        row.quarantine = Some(job);
        tables.quarantined.insert(worker);
    }
}

/// Releases the workers on which no suspected task runs any more.
pub(super) fn release(tables: &mut Tables) {
    let is_over = |key: &key::Worker| {
        tables.workers.get(*key).is_none_or(|worker| {
            let mut runs = worker.runs.iter().filter_map(|key| tables.runs.get(*key));
            !runs.any(|run| {
                worker.quarantine == Some(run.task.instance.job) && is_on_probation(tables, run)
            })
        })
    };
    let over: SmallVec<[key::Worker; 8]> =
        tables.quarantined.iter().copied().filter(is_over).collect();
    for key in over {
        tables.quarantined.remove(&key);
        if let Some(worker) = tables.workers.get_mut(key) {
            worker.quarantine = None;
        }
    }
}

/// Splits the waiting tasks of a candidate into those that may crash their workers and the others;
/// `None` if there are none of the former.
pub(super) fn split(tables: &Tables, candidate: &Candidate) -> Option<(Candidate, Candidate)> {
    let task_states = assign::task_states(tables, candidate.instance)?;
    let is_suspected =
        |index: &u32| task_states.get(*index as usize).is_some_and(strike::is_suspected);
    if !candidate.waiting.iter().any(is_suspected) {
        return None;
    }
    let (suspects, others) = candidate.waiting.iter().copied().partition(is_suspected);
    let part = |waiting: Vec<u32>| Candidate { waiting, ..candidate.clone() };
    Some((part(suspects), part(others)))
}

/// Returns the candidate without the tasks that still wait for a worker without other runs, for which
/// nothing is stopped or reserved.
pub(super) fn without_held_back(
    tables: &Tables,
    now: Millis,
    candidate: Candidate,
    step: &Step,
) -> Candidate {
    let Some((suspects, others)) = split(tables, &candidate) else { return candidate };
    if PATIENCE <= waited(tables, now, &suspects) {
        return candidate;
    }
    if step.gang { Candidate { waiting: Vec::new(), ..others } } else { others }
}

/// Returns for how long suspected tasks have waited.
fn waited(tables: &Tables, now: Millis, suspects: &Candidate) -> Duration {
    let crashed_at = |index: &u32| {
        let task = Task { instance: suspects.instance, index: *index };
        tables.task_state(task).map(|task_state| task_state.crashed_at)
    };
    let crashed_at = suspects.waiting.iter().filter_map(crashed_at).max().unwrap_or_default();
    // The time of a crash under an earlier planner is not known.
    now.since(crashed_at.max(tables.took_over))
}

/// Tells whether suspected tasks of a job are on probation.
fn has_probation(tables: &Tables, job: Id) -> bool {
    tables.quarantined.iter().any(|key| tables.workers[*key].quarantine == Some(job))
}

/// Returns the work that a crash of a worker would end, in core-milliseconds.
fn work_at_risk(tables: &Tables, now: Millis, worker: &Worker) -> u64 {
    let runs = worker.runs.iter().filter_map(|key| tables.runs.get(*key));
    runs.filter_map(|run| Some(preempt::lost_work(tables.step(run.task.instance)?, run, now))).sum()
}

/// Places suspected tasks that run on their own, at most `most`; returns how many were placed.
pub(super) fn place(
    tables: &mut Tables,
    now: Millis,
    availability: &Availability,
    suspects: &Candidate,
    step: &Step,
    most: u32,
    events: &mut Vec<Event>,
) -> usize {
    let chosen = choose(tables, now, availability, suspects, step, most);
    let Some((worker, count)) = chosen else { return 0 };
    let is_idle = tables.workers[worker].runs.is_empty();
    for &index in suspects.waiting.iter().take(count as usize) {
        let task = Task { instance: suspects.instance, index };
        let run = tables.task_state(task).map_or(1, |task_state| task_state.run + 1);
        assign::plan_run(tables, now, task, run, worker);
        events.push(assign::placed_event(tables, task, run, worker, 1, true));
        let node = tables.workers[worker].node.clone();
        events.push(Event::Quarantined { task, run, node, is_idle });
    }
    count as usize
}

/// Chooses the worker for suspected tasks that run on their own, and how many of them start there, at
/// most `most`; `None` to wait.
fn choose(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    suspects: &Candidate,
    step: &Step,
    most: u32,
) -> Option<(key::Worker, u32)> {
    let most = most.min(suspects.waiting.len() as u32);
    if most == 0 || has_probation(tables, suspects.instance.job) {
        return None;
    }
    let eligible = place::eligible(tables, now, availability, suspects.instance, step);
    let healthy = trust::healthy(tables, now, &eligible);
    let holding: Vec<(key::Worker, u32)> = healthy
        .iter()
        .map(|key| (*key, availability.holds(tables, suspects.instance, *key, step, most)))
        .filter(|(_, holds)| *holds != 0)
        .collect();
    let idle = holding
        .iter()
        .filter(|(key, _)| tables.workers[*key].runs.is_empty())
        .max_by_key(|(key, holds)| (!tables.crashes.has_crashed(*key, now), *holds, Reverse(*key)));
    if idle.is_some() || waited(tables, now, suspects) < PATIENCE {
        return idle.copied();
    }
    let risk = |key: key::Worker| work_at_risk(tables, now, &tables.workers[key]);
    holding.iter().min_by_key(|(key, holds)| (risk(*key), Reverse(*holds), *key)).copied()
}

/// Where a gang may be placed.
#[row]
pub(super) enum Pool {
    /// On any worker.
    Any,
    /// Only on these workers, which run nothing.
    Idle(Vec<key::Worker>),
    /// Nowhere yet.
    None,
}

/// Returns where a gang may be placed: if a member may crash its worker, on workers without other
/// runs.
pub(super) fn gang_pool(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    candidate: &Candidate,
    step: &Step,
) -> Pool {
    let Some((suspects, _)) = split(tables, candidate) else { return Pool::Any };
    let eligible = place::eligible(tables, now, availability, candidate.instance, step);
    let idle: Vec<key::Worker> = trust::healthy(tables, now, &eligible)
        .into_iter()
        .filter(|key| tables.workers[*key].runs.is_empty())
        .collect();
    let fits = |pool: &[key::Worker]| {
        let pool = pool.to_vec();
        let group = std::slice::from_ref(&pool);
        place::pack_gang(tables, availability, candidate.instance, step, group).is_some()
    };
    let steady: Vec<key::Worker> =
        idle.iter().copied().filter(|key| !tables.crashes.has_crashed(*key, now)).collect();
    if fits(&steady) {
        Pool::Idle(steady)
    } else if fits(&idle) {
        Pool::Idle(idle)
    } else if waited(tables, now, &suspects) < PATIENCE {
        Pool::None
    } else {
        Pool::Any
    }
}
