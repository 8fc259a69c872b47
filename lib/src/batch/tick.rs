//! One turn of the planner: the systems run over the tables in order.

use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::batch::advice;
use crate::batch::job::Id;
use crate::batch::job::Part;
use crate::batch::job::Step;
use crate::batch::job::Task;
use crate::batch::load;
use crate::batch::observe;
use crate::batch::observe::Change;
use crate::batch::order::Order;
use crate::batch::order::Verb;
use crate::batch::pace;
use crate::batch::place;
use crate::batch::place::Space;
use crate::batch::preempt;
use crate::batch::progress::Outcome;
use crate::batch::rank;
use crate::batch::rank::Candidate;
use crate::batch::table::Cause;
use crate::batch::table::Claim;
use crate::batch::table::Occurrence;
use crate::batch::table::Phase;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::Work;
use crate::clock::Millis;
use crate::key;

/// Shortest time without progress after which a run counts as stuck.
const STUCK: Duration = Duration::from_secs(4);
/// Part of a task's estimate without progress after which it counts as stuck.
const STUCK_SHARE: u64 = 10;
/// Time after which a stop order without an answer is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(700);
/// Least time between two orders on a filler's pace.
const PACE_AGAIN: Duration = Duration::from_millis(200);
/// Time for which a start order may be carried out; a later one is refused by the agent.
const START_VALID_MS: u64 = 1500;
/// Time for which space is kept for work that others were stopped for.
const CLAIM_KEPT: Duration = Duration::from_millis(2500);
/// Time for which space is kept for a large step while others run to their end.
const DRAIN_KEPT: Duration = Duration::from_secs(20);
/// Time beyond its word for which a leaving worker may well stay; work that is not saved at a stop
/// is left there if it could end in it.
const LEAVE_SLACK_MS: u64 = 1500;
/// Time that a step waits in vain before space is kept for it.
const DRAIN_AFTER: Duration = Duration::from_secs(3);
/// Gain in percent from which a run's progress tells when it will end.
const SURE_PERCENT: u32 = 10;
/// Part of the time for guaranteed work in which it may wait for others to end by themselves.
const RECLAIM_WAIT_PARTS: u64 = 4;
/// Part of its own work that a job which will be late anyway may cost others.
const LATE_SHARE: u64 = 8;
/// Most steps for which space is kept while others run to their end.
const DRAINS: usize = 2;

/// What a turn decided, for the log.
#[value]
pub enum Note {
    /// Something changed without a decision.
    Changed(Change),
    /// A task was given a worker.
    Placed {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// Name of the agent.
        node: String,
        /// Workers that could have been chosen.
        choices: usize,
        /// Whether the worker is near the task's data and its gang.
        near: bool,
    },
    /// A run is told to stop.
    Stopped(Task, u32, &'static str),
    /// A run is told to stop for a more pressing job.
    Preempted {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u32,
        /// The job that takes its place.
        by: Id,
    },
    /// Space is kept for a step.
    Claimed(Part, usize),
    /// A job has ended.
    Ended(Id, Outcome),
}

/// An order and the agent that it goes to.
#[row]
pub struct Dispatch {
    /// The worker.
    pub worker: key::Worker,
    /// Name of the agent.
    pub node: String,
    /// Process of the agent.
    pub session: u64,
    /// The order.
    pub order: Order,
}

/// Runs every system once; `wall_ms` is the time of day in Unix milliseconds.
pub fn run(tables: &mut Tables, now: Millis, wall_ms: u64) -> Vec<Note> {
    let mut notes = Vec::new();
    begin(tables, now, wall_ms);
    lapse(tables, now, &mut notes);
    judge(tables, wall_ms, &mut notes);
    unwanted(tables, &mut notes);
    stuck(tables, now, &mut notes);
    move_away(tables, now, &mut notes);
    pace::adjust(tables, now);
    place_all(tables, now, &mut notes);
    notes
}

/// Begins occurrences that are due.
fn begin(tables: &mut Tables, now: Millis, wall_ms: u64) {
    for job in tables.jobs.values_mut() {
        let repeat = job.record.submission.repeat;
        let count = repeat.count.max(1);
        while job.wanted() && job.next < count {
            let due = load::due(job, now, wall_ms, job.next);
            if now < due && repeat.count != 0 {
                break;
            }
            let steps = job
                .steps()
                .iter()
                .map(|step| (0..step.tasks).map(|_| Work::default()).collect())
                .collect();
            job.occurrences.insert(job.next, Occurrence { steps, due });
            job.next += 1;
        }
    }
}

/// Gives up runs on workers whose grants are over.
fn lapse(tables: &mut Tables, now: Millis, notes: &mut Vec<Note>) {
    let over: Vec<key::Worker> =
        tables.workers.iter().filter(|(_, worker)| worker.over < now).map(|(key, _)| key).collect();
    for key in over {
        let mut changes = Vec::new();
        observe::over_where(tables, key, &mut changes, "lease over", |_| true);
        notes.extend(changes.into_iter().map(Note::Changed));
    }
}

/// Decides which jobs have ended.
fn judge(tables: &mut Tables, wall_ms: u64, notes: &mut Vec<Note>) {
    let ids: Vec<Id> = tables.jobs.keys().copied().collect();
    for id in ids {
        let job = &tables.jobs[&id];
        if !job.wanted() {
            continue;
        }
        let attempts = tables.queue(job).attempts.max(1);
        let count = job.record.submission.repeat.count.max(1);
        let steps = job.steps();
        let failed = job.occurrences.values().any(|row| {
            row.steps.iter().zip(steps).any(|(works, step)| {
                !step.lasts && works.iter().any(|work| !work.done && attempts <= work.failures)
            })
        });
        let over = |row: &Occurrence| row.steps.iter().flatten().all(|work| work.done);
        let from = (job.from..job.next)
            .find(|number| job.occurrences.get(number).is_some_and(|row| !over(row)))
            .unwrap_or(job.next);
        let outcome = match (failed, from == count) {
            (true, _) => Some(Outcome::Failed),
            (_, true) => Some(Outcome::Completed),
            _ => None,
        };
        if outcome.is_none() && from == job.from {
            continue;
        }
        let Some(job) = tables.jobs.get_mut(&id) else { continue };
        job.from = from;
        if outcome.is_none() {
            job.occurrences.retain(|number, row| {
                from <= *number || row.steps.iter().flatten().any(|work| work.live.is_some())
            });
        }
        if let Some(outcome) = outcome {
            job.outcome = Some(outcome);
            job.ended_ms = wall_ms;
            notes.push(Note::Ended(id, outcome));
        }
        tables.touch(id);
    }
}

/// Stops what runs for jobs that are over, and gives their claims back.
fn unwanted(tables: &mut Tables, notes: &mut Vec<Note>) {
    for (id, job) in &mut tables.jobs {
        if job.wanted() {
            continue;
        }
        let cause = match job.outcome {
            None => Cause::Cancelled,
            Some(Outcome::Failed) => Cause::Failed,
            // The members of a gang that is done end by themselves.
            Some(Outcome::Completed) => continue,
        };
        for (&occurrence, row) in &mut job.occurrences {
            for (step, works) in row.steps.iter_mut().enumerate() {
                for (index, work) in works.iter_mut().enumerate() {
                    let Some(run) = &work.live else { continue };
                    if matches!(run.phase, Phase::Stopping(_)) {
                        continue;
                    }
                    let part = Part { job: *id, occurrence, step: step as u16 };
                    let task = Task { part, index: index as u32 };
                    notes.push(Note::Stopped(task, run.number, cause.word()));
                    load::stop(work, cause);
                }
            }
        }
    }
    let jobs = &tables.jobs;
    tables.claims.retain(|part, _| jobs.get(&part.job).is_some_and(|job| job.wanted()));
}

/// Stops runs that make no progress, so that they go on elsewhere.
fn stuck(tables: &mut Tables, now: Millis, notes: &mut Vec<Note>) {
    for task in tables.live() {
        let Some(step) = tables.step(task.part).cloned() else { continue };
        let Some(work) = tables.work_mut(task) else { continue };
        let Some(run) = &work.live else { continue };
        let limit = STUCK.max(Duration::from_millis(rank::estimate(&step) / STUCK_SHARE));
        let working = run.phase == Phase::Running && run.seen.is_some() && !step.lasts;
        if !working || 100 <= run.percent || now.since(run.moved) < limit {
            continue;
        }
        let key = run.worker;
        notes.push(Note::Stopped(task, run.number, Cause::Stuck.word()));
        if !work.avoid.contains(&key) {
            work.avoid.push(key);
        }
        load::stop(work, Cause::Stuck);
        observe::break_gang(tables, task);
        if let Some(worker) = tables.workers.get_mut(key) {
            worker.health.failed(now, task.part.job, STUCK);
        }
    }
}

/// Stops runs that cannot end before their worker leaves, so that they go on elsewhere sooner.
fn move_away(tables: &mut Tables, now: Millis, notes: &mut Vec<Note>) {
    for task in tables.live() {
        let Some(step) = tables.step(task.part).cloned() else { continue };
        let Some(run) = tables.work(task).and_then(|work| work.live.as_ref()) else { continue };
        let Some(leaves) = tables.workers.get(run.worker).and_then(|w| w.leaves) else { continue };
        let need = left_ms(&step, run, now);
        let stays = leaves.since(now).as_millis() as u64;
        let patience = if step.checkpoints { 0 } else { LEAVE_SLACK_MS };
        if run.phase != Phase::Running || run.seen.is_none() || need <= stays + patience {
            continue;
        }
        notes.push(Note::Stopped(task, run.number, Cause::Leaving.word()));
        if let Some(work) = tables.work_mut(task) {
            load::stop(work, Cause::Leaving);
        }
        observe::break_gang(tables, task);
    }
}

/// Places what waits, the most pressing first.
fn place_all(tables: &mut Tables, now: Millis, notes: &mut Vec<Note>) {
    let kept = |claim: &Claim| if claim.guaranteed { CLAIM_KEPT } else { DRAIN_KEPT };
    tables.claims.retain(|_, claim| now.since(claim.since) < kept(claim));
    let candidates = rank::candidates(tables, now);
    if candidates.is_empty() {
        tables.claims.clear();
        return;
    }
    let waiting: Vec<Part> = candidates.iter().map(|candidate| candidate.part).collect();
    tables.claims.retain(|part, _| waiting.contains(part));
    let mut space = Space::of(tables);
    for candidate in &candidates {
        let Some(step) = tables.step(candidate.part).cloned() else { continue };
        if let Some(claim) = tables.claims.get(&candidate.part) {
            space.release(&step, &claim.spots);
        }
        let placed = if step.gang {
            place_gang(tables, now, &mut space, candidate, &step, notes)
        } else {
            place_tasks(tables, now, &mut space, candidate, &step, notes)
        };
        let claim = match placed {
            Placed::All => {
                tables.claims.remove(&candidate.part);
                continue;
            }
            // What was kept for all of them is too much for the rest.
            Placed::Some => {
                tables.claims.remove(&candidate.part);
                None
            }
            Placed::None => tables.claims.get(&candidate.part),
        };
        if let Some(claim) = claim {
            space.keep(&step, &claim.spots);
            continue;
        }
        let rest = waiting_of(tables, candidate);
        make_room(tables, now, &mut space, &rest, &step, notes);
    }
}

/// How much of what waits was placed.
#[token]
enum Placed {
    None,
    Some,
    All,
}

/// Returns a candidate with the tasks that still wait.
fn waiting_of(tables: &Tables, candidate: &Candidate) -> Candidate {
    let waits = |index: &u32| {
        let task = Task { part: candidate.part, index: *index };
        tables.work(task).is_some_and(|work| !work.done && work.live.is_none())
    };
    let waiting = candidate.waiting.iter().copied().filter(waits).collect();
    Candidate { waiting, ..candidate.clone() }
}

/// Returns the workers that a step may go to now, those in good standing unless there are none.
fn pool(tables: &Tables, now: Millis, candidate: &Candidate, step: &Step) -> Vec<key::Worker> {
    let all = place::eligible(tables, now, candidate.part, step);
    let sound = place::sound(tables, now, &all);
    let fresh: Vec<key::Worker> =
        sound.iter().copied().filter(|key| !place::failed_here(tables, candidate, *key)).collect();
    let enough = |pool: &[key::Worker]| {
        if step.gang { place::could_hold(tables, step, pool) } else { !pool.is_empty() }
    };
    if enough(&fresh) {
        fresh
    } else if enough(&sound) {
        sound
    } else {
        all
    }
}

/// Tells whether a step that found no place at its full speed may be slowed.
fn may_go_far(
    tables: &Tables,
    now: Millis,
    candidate: &Candidate,
    step: &Step,
    groups: &[Vec<key::Worker>],
) -> bool {
    let one = Step { tasks: if step.gang { step.tasks } else { 1 }, ..step.clone() };
    if !groups.iter().any(|group| place::could_hold(tables, &one, group)) {
        return true;
    }
    // Waiting for as long as the slowdown costs gains nothing; half of it is where the two are even
    // when nothing is known of when the place comes free.
    let slowed = rank::estimate(step) * tables.bounds.remote_permille.saturating_sub(1000) / 1000;
    let mut patience = Duration::from_millis(slowed / 2);
    if candidate.guaranteed {
        patience = patience.min(Duration::from_millis(tables.bounds.reclaim_ms / 3));
    }
    patience <= now.since(candidate.since)
}

fn place_gang(
    tables: &mut Tables,
    now: Millis,
    space: &mut Space,
    candidate: &Candidate,
    step: &Step,
    notes: &mut Vec<Note>,
) -> Placed {
    let pool = pool(tables, now, candidate, step);
    let (groups, slows) = place::near(tables, &pool, step);
    let part = candidate.part;
    let mut near = true;
    let mut spots = place::gang(space, part, step, &groups);
    if spots.is_none() && slows && may_go_far(tables, now, candidate, step, &groups) {
        near = false;
        spots = place::gang(space, part, step, std::slice::from_ref(&pool));
    }
    let Some(spots) = spots else { return Placed::None };
    let Some(works) = works(tables, part) else { return Placed::None };
    let number = works.iter().map(|work| work.run).max().unwrap_or(0) + 1;
    let mut index = 0;
    for (worker, count) in spots {
        space.take(part, worker, step, count);
        for _ in 0..count {
            let task = Task { part, index };
            start(tables, now, task, number, worker);
            notes.push(placed(tables, task, number, worker, pool.len(), near));
            index += 1;
        }
    }
    Placed::All
}

/// Places as many tasks as there is room for.
fn place_tasks(
    tables: &mut Tables,
    now: Millis,
    space: &mut Space,
    candidate: &Candidate,
    step: &Step,
    notes: &mut Vec<Note>,
) -> Placed {
    let pool = pool(tables, now, candidate, step);
    let (groups, slows) = place::near(tables, &pool, step);
    let far = !slows || may_go_far(tables, now, candidate, step, &groups);
    let part = candidate.part;
    let mut placed_any = Placed::None;
    for index in &candidate.waiting {
        let task = Task { part, index: *index };
        let one = Step { tasks: 1, ..step.clone() };
        let mut near = true;
        let mut spots = place::gang(space, part, &one, &groups);
        if spots.is_none() && slows && far {
            near = false;
            spots = place::gang(space, part, &one, std::slice::from_ref(&pool));
        }
        let Some((worker, _)) = spots.and_then(|spots| spots.first().copied()) else {
            return placed_any;
        };
        placed_any = Placed::Some;
        space.take(part, worker, step, 1);
        let number = tables.work(task).map_or(1, |work| work.run + 1);
        start(tables, now, task, number, worker);
        notes.push(placed(tables, task, number, worker, pool.len(), near));
    }
    Placed::All
}

fn works(tables: &Tables, part: Part) -> Option<&Vec<Work>> {
    tables.jobs.get(&part.job)?.occurrences.get(&part.occurrence)?.steps.get(usize::from(part.step))
}

fn placed(
    tables: &Tables,
    task: Task,
    run: u32,
    worker: key::Worker,
    choices: usize,
    near: bool,
) -> Note {
    Note::Placed { task, run, node: tables.workers[worker].node.clone(), choices, near }
}

fn start(tables: &mut Tables, now: Millis, task: Task, number: u32, worker: key::Worker) {
    let incarnation = tables.workers[worker].incarnation;
    let Some(job) = tables.jobs.get_mut(&task.part.job) else { return };
    job.touch();
    job.started = true;
    let version = job.version;
    tables.dirty.insert(task.part.job);
    let Some(work) = tables.work_mut(task) else { return };
    work.run = number;
    work.live = Some(Run {
        number,
        worker,
        incarnation,
        phase: Phase::Planned,
        since: now,
        version,
        settled: None,
        ordered: None,
        percent: 0,
        first_percent: 0,
        seen: None,
        moved: now,
        stop_heard: false,
        measure: 0,
        paced: 100,
    });
}

/// Makes room for a step that found none: by stopping less pressing work, or by keeping space.
fn make_room(
    tables: &mut Tables,
    now: Millis,
    space: &mut Space,
    candidate: &Candidate,
    step: &Step,
    notes: &mut Vec<Note>,
) {
    let count = if step.gang { step.tasks } else { candidate.waiting.len() as u32 };
    let all = pool(tables, now, candidate, step);
    let (groups, _) = place::near(tables, &all, step);
    if candidate.priority == 0 && preempt(tables, now, space, candidate, step, &groups, &all, notes)
    {
        return;
    }
    let drains = tables.claims.values().filter(|claim| !claim.guaranteed).count();
    if !step.gang || DRAINS <= drains || now.since(candidate.since) < DRAIN_AFTER {
        return;
    }
    let remaining = |_: Task, step: &Step, run: &Run| Some(left_ms(step, run, now));
    let Some(clearing) =
        preempt::cheapest(tables, space, candidate.part, count, &groups, remaining)
    else {
        return;
    };
    keep(tables, now, space, candidate, step, clearing.spots, notes);
}

/// Estimates how long a run will still take, in milliseconds.
fn left_ms(step: &Step, run: &Run, now: Millis) -> u64 {
    let estimate = rank::estimate(step);
    let gained = u64::from(run.percent.saturating_sub(run.first_percent));
    match run.seen {
        Some(seen) if 2 < gained => {
            let elapsed = now.since(seen).as_millis() as u64;
            elapsed * u64::from(100u32.saturating_sub(run.percent)) / gained
        }
        _ => estimate.saturating_sub(now.since(run.since).as_millis() as u64),
    }
}

#[allow(clippy::too_many_arguments)]
fn preempt(
    tables: &mut Tables,
    now: Millis,
    space: &mut Space,
    candidate: &Candidate,
    step: &Step,
    groups: &[Vec<key::Worker>],
    all: &[key::Worker],
    notes: &mut Vec<Note>,
) -> bool {
    let count = if step.gang { step.tasks } else { candidate.waiting.len() as u32 };
    let covered = rank::covered(tables);
    let slack = slack(tables, now, candidate);
    if candidate.guaranteed {
        // Space that is only kept for others is theirs no longer.
        let kept: Vec<Part> = tables
            .claims
            .iter()
            .filter(|(_, claim)| !claim.guaranteed)
            .map(|(part, _)| *part)
            .collect();
        for part in kept {
            let claim = tables.claims.remove(&part);
            if let (Some(claim), Some(step)) = (claim, tables.step(part)) {
                space.release(step, &claim.spots);
            }
        }
    }
    let price = |task: Task, step: &Step, run: &Run| {
        let job = tables.jobs.get(&task.part.job)?;
        let priority = tables.queue(job).priority;
        let yields = candidate.priority < priority
            || (candidate.guaranteed && covered.binary_search(&task.part.job).is_err());
        if ends_within(step, run, now, slack) {
            return Some(0);
        }
        (yields && !step.lasts).then(|| preempt::loss(step, run, now))
    };
    let part = candidate.part;
    let clearing = preempt::cheapest(tables, space, part, count, groups, price).or_else(|| {
        preempt::cheapest(tables, space, part, count, std::slice::from_ref(&all.to_vec()), price)
    });
    let Some(clearing) = clearing else { return false };
    let cores = u64::from(step.processors) / 1000 + 8 * u64::from(step.accelerators);
    let own = cores.max(1) * rank::estimate(step) * u64::from(count);
    // Beyond its guarantee a job may cost others as much work as it brings, if it comes in time.
    let late = candidate.latest < now + Duration::from_millis(tables.bounds.stop_grace_ms);
    let most = if late { own / LATE_SHARE } else { own };
    if !candidate.guaranteed && most < clearing.cost {
        return false;
    }
    for task in &clearing.victims {
        let Some(victim) = tables.step(task.part).cloned() else { continue };
        let Some(work) = tables.work_mut(*task) else { continue };
        let Some(run) = &work.live else { continue };
        if place::leaves(run.phase) || ends_within(&victim, run, now, slack) {
            continue;
        }
        notes.push(Note::Preempted { task: *task, run: run.number, by: candidate.part.job });
        load::stop(work, Cause::Preempted);
        observe::break_gang(tables, *task);
    }
    keep(tables, now, space, candidate, step, clearing.spots, notes);
    if let Some(claim) = tables.claims.get_mut(&part) {
        claim.guaranteed = true;
    }
    true
}

/// Returns the time for which a pressing step can wait for others to end by themselves.
fn slack(tables: &Tables, now: Millis, candidate: &Candidate) -> Duration {
    let grace = Duration::from_millis(tables.bounds.stop_grace_ms);
    let spare = candidate.latest.since(now).saturating_sub(grace);
    if !candidate.guaranteed {
        return spare;
    }
    let bound = Duration::from_millis(tables.bounds.reclaim_ms / RECLAIM_WAIT_PARTS);
    spare.min(bound.saturating_sub(now.since(candidate.since)))
}

/// Tells whether a run will end by itself within a time, by its progress so far.
fn ends_within(step: &Step, run: &Run, now: Millis, time: Duration) -> bool {
    let gained = run.percent.saturating_sub(run.first_percent);
    run.phase == Phase::Running
        && !step.lasts
        && SURE_PERCENT <= gained
        && left_ms(step, run, now) <= time.as_millis() as u64
}

fn keep(
    tables: &mut Tables,
    now: Millis,
    space: &mut Space,
    candidate: &Candidate,
    step: &Step,
    spots: place::Spots,
    notes: &mut Vec<Note>,
) {
    space.keep(step, &spots);
    notes.push(Note::Claimed(candidate.part, spots.len()));
    tables.claims.insert(candidate.part, Claim { spots, since: now, guaranteed: false });
}

/// Tells whether a filler works at another share than it should.
fn is_off_pace(tables: &Tables, task: Task, run: &Run) -> bool {
    tables.step(task.part).is_some_and(|step| step.fills)
        && run.paced != pace::wanted(tables, run.worker)
}

/// Returns the orders that are to be sent now and marks them as sent.
///
/// A start leaves only once its run is recorded.
pub fn orders(tables: &mut Tables, now: Millis) -> Vec<Dispatch> {
    let mut dispatches = Vec::new();
    for task in tables.live() {
        let Some(job) = tables.jobs.get(&task.part.job) else { continue };
        let record = job.record.clone();
        let Some(work) = tables.work(task) else { continue };
        let Some(run) = &work.live else { continue };
        let Some(worker) = tables.workers.get(run.worker) else { continue };
        let verb = match run.phase {
            Phase::Launching if run.ordered.is_none() => {
                let age = now.since(worker.clock_read).as_millis() as u64;
                Verb::Start {
                    payload: record.submission.payload.clone(),
                    checkpoint: work.checkpoint.clone(),
                    ticket: advice::ticket(tables, now, task.part, run.worker)
                        .map_or_else(String::new, |ticket| ticket.text.clone()),
                    expires: worker.agent_clock + age + START_VALID_MS,
                }
            }
            Phase::Stopping(_) if !run.stop_heard => {
                if run.ordered.is_some_and(|sent| now.since(sent) < STOP_AGAIN) {
                    continue;
                }
                Verb::Stop
            }
            Phase::Running if is_off_pace(tables, task, run) => {
                if run.ordered.is_some_and(|sent| now.since(sent) < PACE_AGAIN) {
                    continue;
                }
                Verb::Pace(pace::wanted(tables, run.worker))
            }
            _ => continue,
        };
        let order = Order { task, run: run.number, incarnation: run.incarnation, verb };
        let (node, session) = (worker.node.clone(), worker.session);
        dispatches.push(Dispatch { worker: run.worker, node, session, order });
        if let Some(run) = tables.work_mut(task).and_then(|work| work.live.as_mut()) {
            run.ordered = Some(now);
        }
    }
    dispatches
}
