//! Explains where a job would be placed now, or why a job waits.
//!
//! The answer comes from a copy of the planner's tables on which the planner's own systems run, so
//! that it is the decision of the next tick. It names no key, no other client account and none of
//! their jobs; runs that would be stopped are counted by queue and size.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::advice;
use crate::batch::assign;
use crate::batch::event::Event;
use crate::batch::job::Id;
use crate::batch::job::Intent;
use crate::batch::job::Record;
use crate::batch::job::State;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Submission;
use crate::batch::job::Task;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::reservation;
use crate::batch::table::Job;
use crate::batch::table::Tables;
use crate::batch::tick;
use crate::batch::wait;
use crate::batch::wait::Obstacle;
use crate::batch::wait::Wait;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Path at an entry: [`Question`], answered by [`Reply`].
pub const PATH: &str = "/batch/explain";
/// Maximum number of workers that are named with what keeps a step from them; the counts cover all.
const MAX_NAMED_WORKERS: usize = 24;

/// Question about a job.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// Name of the queue.
    pub queue: String,
    /// Name of the client account; empty for none.
    pub account: String,
    /// The job.
    pub subject: Subject,
    /// Whether an entry passed the question on, so that it is not passed on again.
    pub is_passed_on: bool,
}

/// The job of a [`Question`].
#[value]
#[derive(Serialize, Deserialize)]
pub enum Subject {
    /// A job in the form that callers submit, which is not submitted.
    File(String),
    /// A submitted job.
    Submitted(Id),
}

/// Reply to a [`Question`].
#[value]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The explanation.
    Explained(Explanation),
    /// There is none.
    Refused(Refusal),
}

/// Why a [`Question`] gets no explanation.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Refusal {
    /// There is no such queue.
    UnknownQueue,
    /// There is no such client account.
    UnknownAccount,
    /// The queue and client account have no such job.
    UnknownJob,
    /// The job is malformed; the cause.
    Malformed(String),
    /// Another question is being answered, or one has been just now.
    Busy,
    /// The entry is not the leader and reaches none.
    NoLeader,
}

impl Refusal {
    /// Returns the refusal as text for people.
    ///
    /// ```
    /// use lavendergauge_lib::batch::explain::Refusal;
    /// assert_eq!(Refusal::UnknownQueue.text(), "there is no such queue");
    /// ```
    pub fn text(&self) -> String {
        match self {
            Refusal::UnknownQueue => "there is no such queue".to_owned(),
            Refusal::UnknownAccount => "there is no such client account".to_owned(),
            Refusal::UnknownJob => "the queue and client account have no such job".to_owned(),
            Refusal::Malformed(cause) => format!("the job is malformed: {cause}"),
            Refusal::Busy => "the leader is answering another question".to_owned(),
            Refusal::NoLeader => "no leader answers".to_owned(),
        }
    }
}

/// What would happen to a job now.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Its state; `Queued` for one that is not submitted.
    pub state: State,
    /// Why it would be refused; empty when it is accepted.
    pub refusal: String,
    /// Priority of its queue.
    pub priority: u32,
    /// Whether its client account's guarantee covers it.
    pub is_guaranteed: bool,
    /// Accelerators guaranteed to its client account.
    pub guaranteed_accelerators: u32,
    /// Accelerators that its client account uses, in all queues.
    pub used_accelerators: u32,
    /// Steps with tasks that wait to be placed. Steps that follow others are not among them.
    pub steps: Vec<StepExplanation>,
}

/// What would happen to a step with waiting tasks now.
#[value]
#[derive(Serialize, Deserialize)]
pub struct StepExplanation {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Number of tasks that wait.
    pub waiting: u32,
    /// Number of waiting steps that are placed before it.
    pub ahead: usize,
    /// Time from now until which it has to start to meet its objective, in milliseconds; negative
    /// when that has passed.
    pub latest_start_ms: i64,
    /// Whether it can no longer end in time to be of any worth.
    pub is_worthless: bool,
    /// Whether it waits for the advice service.
    pub needs_advice: bool,
    /// Numbers of workers by what keeps it from them.
    pub workers: Wait,
    /// Some of the workers that it cannot use, with the reason.
    pub excluded: Vec<Excluded>,
    /// Where its tasks would be placed now.
    pub placements: Vec<Placement>,
    /// Number of workers on which capacity would be reserved for it; 0 for no reservation.
    pub reserved: usize,
    /// Estimated time until it starts if nothing else is placed first, in milliseconds; `None` when
    /// the workers that answer cannot hold it.
    pub starts_in_ms: Option<u64>,
    /// Runs that would be stopped for it.
    pub stopped: Vec<Victims>,
}

/// A worker that a step cannot use.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Excluded {
    /// The worker's identifier.
    pub worker: String,
    /// What keeps the step from it.
    pub obstacle: Obstacle,
}

/// Tasks of a step that would be placed on a worker.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Placement {
    /// Name of the worker's agent.
    pub node: String,
    /// Number of tasks.
    pub tasks: u32,
}

/// Kind of run that would be stopped, without whose it is.
#[token]
pub struct VictimSize {
    /// Accelerators of one run.
    pub accelerators: u32,
    /// Processors of one run, in thousandths of a core.
    pub processors: u32,
}

/// Runs of one queue and size that would be stopped.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Victims {
    /// Name of the queue.
    pub queue: String,
    /// Accelerators of one run.
    pub accelerators: u32,
    /// Processors of one run, in thousandths of a core.
    pub processors: u32,
    /// Number of runs.
    pub runs: u32,
}

/// The job to explain.
#[value]
pub enum Target {
    /// A job that is not submitted.
    New(Submission),
    /// A submitted job.
    Submitted(Id),
}

/// Explains a job of a queue and a client account; `tables` is a copy, which this changes.
///
/// # Errors
/// When there is no such queue, client account or job.
///
/// ```
/// use lavendergauge_lib::batch::config::Bounds;
/// use lavendergauge_lib::batch::explain;
/// use lavendergauge_lib::batch::explain::Refusal;
/// use lavendergauge_lib::batch::explain::Target;
/// use lavendergauge_lib::batch::job::Id;
/// use lavendergauge_lib::batch::table::Tables;
/// use lavendergauge_lib::clock::Millis;
/// let bounds = Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 };
/// let tables = Tables::new(bounds, Millis(0));
/// let explained = explain::explain(tables, Millis(0), 0, "q", "brno", Target::Submitted(Id(1)));
/// assert_eq!(explained, Err(Refusal::UnknownQueue));
/// ```
pub fn explain(
    mut tables: Tables,
    now: Millis,
    wall_ms: u64,
    queue: &str,
    account: &str,
    target: Target,
) -> Result<Explanation, Refusal> {
    let queue = tables.config.queue(queue).cloned().ok_or(Refusal::UnknownQueue)?;
    let known = tables.config.accounts.iter().find(|known| known.name == account);
    let guaranteed_accelerators = known.map_or(0, |known| known.guaranteed);
    if known.is_none() && !(account.is_empty() && queue.public) {
        return Err(Refusal::UnknownAccount);
    }
    let id = match target {
        Target::Submitted(id) => {
            let job = tables.jobs.get(&id).ok_or(Refusal::UnknownJob)?;
            let record = &job.record;
            // The same answer as for an unknown job does not show that another account has it.
            if record.account != account || record.queue.name != queue.name {
                return Err(Refusal::UnknownJob);
            }
            id
        }
        Target::New(submission) => {
            let id = unused_id(&tables);
            let (account, intent) = (account.to_owned(), Intent::Wanted);
            let record = Record { submission, queue, account, accepted_ms: wall_ms, intent };
            tables.add_job(id, now, record);
            id
        }
    };
    let mut events = Vec::new();
    tick::prepare(&mut tables, now, wall_ms, &mut events);
    let covered = rank::covered(&tables);
    let candidates = rank::candidates(&tables, &covered, now);
    let own: Vec<(usize, Candidate)> = candidates
        .into_iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.instance.job == id)
        .collect();
    let mut steps: Vec<StepExplanation> =
        own.iter().filter_map(|(ahead, own)| describe(&tables, now, *ahead, own)).collect();
    let job = tables.jobs.get(&id).ok_or(Refusal::UnknownJob)?;
    let mut explanation = Explanation {
        state: job.state(),
        refusal: String::new(),
        priority: job.queue.priority,
        is_guaranteed: covered.binary_search(&id).is_ok(),
        guaranteed_accelerators,
        used_accelerators: used_accelerators(&tables, account),
        steps: Vec::new(),
    };
    events.clear();
    assign::place_all(&mut tables, now, &mut events);
    for (row, (_, candidate)) in steps.iter_mut().zip(&own) {
        apply_events(row, &tables, candidate.instance, &events);
    }
    explanation.steps = steps;
    Ok(explanation)
}

/// Returns an identifier that no job has. It is the highest one, so that a job of the same rank that
/// has been submitted comes first.
fn unused_id(tables: &Tables) -> Id {
    let mut id = Id(u64::MAX);
    while tables.jobs.contains_key(&id) {
        id.0 -= 1;
    }
    id
}

fn used_accelerators(tables: &Tables, account: &str) -> u32 {
    let is_own = |job: &Job| job.record.account == account;
    tables
        .runs
        .values()
        .filter(|run| tables.jobs.get(&run.task.instance.job).is_some_and(is_own))
        .map(|run| run.demand.accelerators)
        .sum()
}

/// Describes a waiting step before anything is placed.
fn describe(
    tables: &Tables,
    now: Millis,
    ahead: usize,
    candidate: &Candidate,
) -> Option<StepExplanation> {
    let instance = candidate.instance;
    let job = tables.jobs.get(&instance.job)?;
    let step = tables.step(instance)?;
    let mut availability = Availability::of(tables, now);
    if let Some(reservation) = tables.reservations.get(&instance) {
        availability.cancel_reservation(step, &reservation.placements);
    }
    let mut workers = Wait::default();
    let mut excluded = Vec::new();
    for (key, worker) in &tables.workers {
        if worker.service != job.queue.service {
            continue;
        }
        let obstacle = wait::obstacle(tables, now, &availability, key, step);
        workers.add(obstacle);
        if obstacle != Obstacle::None && excluded.len() < MAX_NAMED_WORKERS {
            excluded.push(Excluded { worker: worker.id.clone(), obstacle });
        }
    }
    let pool = place::capable(tables, &availability, instance, step);
    let count = if step.gang { step.tasks } else { 1 };
    let needs_advice = advice::is_needed(tables, instance)
        && place::eligible(tables, now, &availability, instance, step).is_empty();
    Some(StepExplanation {
        occurrence: instance.occurrence,
        step: instance.step,
        waiting: candidate.waiting.len() as u32,
        ahead,
        latest_start_ms: candidate.latest_start.0 as i64 - now.0 as i64,
        is_worthless: candidate.is_worthless,
        needs_advice,
        workers,
        excluded,
        placements: Vec::new(),
        reserved: 0,
        starts_in_ms: starts_in_ms(tables, now, &pool, step, count),
        stopped: Vec::new(),
    })
}

/// Estimates when a number of tasks fit on the workers of a pool, by the remaining times of the runs
/// there. Reservations are ignored: runs may use what is reserved.
fn starts_in_ms(
    tables: &Tables,
    now: Millis,
    pool: &[key::Worker],
    step: &Step,
    count: u32,
) -> Option<u64> {
    let demand = step.resources();
    let most = if step.max_per_worker == 0 { count } else { step.max_per_worker.min(count) };
    let mut free: BTreeMap<key::Worker, Resources> = BTreeMap::new();
    let mut ends: Vec<(u64, key::Worker, Resources)> = Vec::new();
    let mut fitting = 0;
    for key in pool {
        let worker = &tables.workers[*key];
        free.insert(*key, worker.free());
        fitting += worker.free().count_fitting(demand, most);
        for run in worker.runs.iter().filter_map(|run| tables.runs.get(*run)) {
            let Some(own) = tables.step(run.task.instance) else { continue };
            let remaining_ms = if place::is_ending(run.phase) {
                tables.bounds.stop_grace_ms
            } else if own.long_running {
                continue;
            } else {
                reservation::remaining_ms(tables, own, run, now)
            };
            ends.push((remaining_ms, *key, run.demand));
        }
    }
    if count <= fitting {
        return Some(0);
    }
    ends.sort_unstable_by_key(|(remaining_ms, key, _)| (*remaining_ms, *key));
    for (remaining_ms, key, freed) in ends {
        let Some(room) = free.get_mut(&key) else { continue };
        fitting -= room.count_fitting(demand, most);
        *room = room.plus(freed);
        fitting += room.count_fitting(demand, most);
        if count <= fitting {
            return Some(remaining_ms);
        }
    }
    None
}

/// Adds what placement decided for a step.
fn apply_events(
    row: &mut StepExplanation,
    tables: &Tables,
    instance: StepInstance,
    events: &[Event],
) {
    let mut placements: BTreeMap<&str, u32> = BTreeMap::new();
    let mut victims: BTreeSet<Task> = BTreeSet::new();
    // The runs that are stopped for a step precede the step's reservation.
    let mut stopped: BTreeSet<Task> = BTreeSet::new();
    for event in events {
        match event {
            Event::Placed { task, node, .. } if task.instance == instance => {
                *placements.entry(node).or_default() += 1;
            }
            Event::Preempted { task, by, .. } if *by == instance.job => {
                // The other members of a gang stop with it.
                let step = tables.step(task.instance).filter(|step| step.gang);
                let members = step.map_or(0, |step| step.tasks);
                stopped.insert(*task);
                stopped.extend((0..members).map(|index| Task { index, ..*task }));
            }
            Event::Reserved(reserved, workers) => {
                let victims_of_step = std::mem::take(&mut stopped);
                if *reserved == instance {
                    row.reserved = *workers;
                    victims.extend(victims_of_step);
                }
            }
            _ => {}
        }
    }
    let mut runs: BTreeMap<(&str, VictimSize), u32> = BTreeMap::new();
    for task in victims {
        let Some(run) = tables.run_of(task) else { continue };
        let Some(job) = tables.jobs.get(&task.instance.job) else { continue };
        let Resources { accelerators, processors, .. } = run.demand;
        let size = VictimSize { accelerators, processors };
        *runs.entry((job.queue.name.as_str(), size)).or_default() += 1;
    }
    row.placements = placements
        .into_iter()
        .map(|(node, tasks)| Placement { node: node.to_owned(), tasks })
        .collect();
    row.stopped = runs
        .into_iter()
        .map(|((queue, VictimSize { accelerators, processors }), runs)| Victims {
            queue: queue.to_owned(),
            accelerators,
            processors,
            runs,
        })
        .collect();
    if !row.placements.is_empty() {
        row.starts_in_ms = Some(0);
    } else if !row.stopped.is_empty() {
        row.starts_in_ms = Some(tables.bounds.stop_grace_ms);
    }
}
