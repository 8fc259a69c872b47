//! One tick of the planner: runs the systems over the tables in order.

use std::time::Duration;

use smallvec::SmallVec;

use crate::batch::assign;
use crate::batch::event::Beginning;
use crate::batch::event::Event;
use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::pace;
use crate::batch::preempt;
use crate::batch::progress::Outcome;
use crate::batch::quarantine;
use crate::batch::rank;
use crate::batch::records;
use crate::batch::run_time;
use crate::batch::speed;
use crate::batch::strike;
use crate::batch::supervise;
use crate::batch::table::Cause;
use crate::batch::table::Job;
use crate::batch::table::Occurrence;
use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::batch::table::TaskState;
use crate::batch::table::WaitingStep;
use crate::batch::trust;
use crate::clock::Millis;
use crate::key;

/// Runs every system once; `wall_ms` is the time of day in Unix milliseconds.
///
/// Only the jobs and workers that changed since the last tick are visited, and those for which a
/// time has come.
pub fn run(tables: &mut Tables, now: Millis, wall_ms: u64) -> Vec<Event> {
    let mut events = Vec::new();
    prepare(tables, now, wall_ms, &mut events);
    assign::place_all(tables, now, &mut events);
    events
}

/// Runs every system that precedes placement, which determine the tasks that wait.
pub(super) fn prepare(tables: &mut Tables, now: Millis, wall_ms: u64, events: &mut Vec<Event>) {
    begin_due(tables, now, wall_ms, events);
    supervise::end_expired(tables, now, events);
    quarantine::release(tables);
    let changed_workers = std::mem::take(&mut tables.changed_workers);
    trust::judge(tables, now, &changed_workers, events);
    supervise::stop_stuck(tables, now, &changed_workers, events);
    supervise::stop_on_leaving_workers(tables, now, events);
    pace::adjust(tables, now, &changed_workers);
    settle(tables, wall_ms, events);
    if tables.policy.run_time_model {
        run_time::refresh(&mut tables.run_times, now, events);
    }
    speed::note_changes(tables, &changed_workers, events);
}

/// Begins occurrences that are due.
fn begin_due(tables: &mut Tables, now: Millis, wall_ms: u64, events: &mut Vec<Event>) {
    let ids: SmallVec<[Id; 16]> = tables.recurring.iter().copied().collect();
    for id in ids {
        let Some(job) = tables.jobs.get_mut(&id) else { continue };
        let repeat = job.record.submission.repeat;
        let is_settled = !tables.unsettled.contains(&id);
        let mut waiting = if is_settled { job.waiting.len() } else { waiting_steps(job).len() };
        while job.is_active() && job.is_recurring() && job.may_begin(waiting, tables.max_open_tasks)
        {
            let due = records::due(job, now, wall_ms, job.next);
            if now < due && repeat.count != 0 {
                break;
            }
            let steps = job
                .steps()
                .iter()
                .map(|step| (0..step.tasks).map(|_| TaskState::default()).collect())
                .collect();
            job.occurrences.insert(job.next, Occurrence { steps, due });
            events.push(Event::Begun(beginning(id, job, job.next, now.since(due))));
            job.next += 1;
            waiting += job.steps().len();
            tables.unsettled.insert(id);
        }
        if !job.is_active() || !job.is_recurring() {
            tables.recurring.remove(&id);
        }
    }
}

fn beginning(id: Id, job: &Job, occurrence: u32, waited: Duration) -> Beginning {
    let work =
        |step: &Step| preempt::cores(step) * rank::estimated_ms(step) * u64::from(step.tasks);
    Beginning {
        job: id,
        occurrence,
        queue: job.queue.name.clone(),
        priority: job.queue.priority,
        account: job.record.account.clone(),
        tasks: job.steps().iter().map(|step| step.tasks).sum(),
        work: job.steps().iter().map(work).sum(),
        objective_ms: rank::objective_ms(job),
        waited_ms: waited.as_millis() as u64,
    }
}

/// Decides which of the changed jobs have ended, stops the runs that are not needed any more, and
/// determines which tasks wait.
fn settle(tables: &mut Tables, wall_ms: u64, events: &mut Vec<Event>) {
    for id in std::mem::take(&mut tables.unsettled) {
        decide_outcome(tables, id, wall_ms, events);
        let Some(job) = tables.jobs.get_mut(&id) else { continue };
        if job.is_active() {
            job.waiting = waiting_steps(job);
            if job.waiting.is_empty() {
                tables.waiting.remove(&id);
            } else {
                tables.waiting.insert(id);
            }
        } else {
            job.waiting = Vec::new();
            let is_cancelled = job.outcome.is_none();
            tables.waiting.remove(&id);
            if tables.active.remove(&id) && is_cancelled {
                events.push(Event::Cancelled(id));
            }
            stop_unneeded(tables, id, events);
        }
        // What was decided here is settled.
        tables.unsettled.remove(&id);
    }
}

/// Decides whether a job has ended.
fn decide_outcome(tables: &mut Tables, id: Id, wall_ms: u64, events: &mut Vec<Event>) {
    let Some(job) = tables.jobs.get(&id).filter(|job| job.is_active()) else { return };
    let count = job.record.submission.repeat.count.max(1);
    let failed = failed_task(id, job);
    let has_ended = |row: &Occurrence| row.steps.iter().flatten().all(|task_state| task_state.done);
    let from = (job.from..job.next)
        .find(|number| job.occurrences.get(number).is_some_and(|row| !has_ended(row)))
        .unwrap_or(job.next);
    let outcome = match (failed.is_some(), from == count) {
        (true, _) => Some(Outcome::Failed),
        (_, true) => Some(Outcome::Completed),
        _ => None,
    };
    // The newest occurrence is kept, since it shows which ones have begun.
    let newest = job.next.saturating_sub(1);
    let is_unneeded = |(number, row): &(&u32, &Occurrence)| {
        (**number < from || **number < newest && has_ended(row))
            && row.steps.iter().flatten().all(|task_state| task_state.live.is_none())
    };
    let unneeded: SmallVec<[u32; 8]> = match outcome {
        Some(_) => SmallVec::new(),
        None => job.occurrences.iter().filter(is_unneeded).map(|(number, _)| *number).collect(),
    };
    if outcome.is_none() && from == job.from && unneeded.is_empty() {
        return;
    }
    let Some(job) = tables.jobs.get_mut(&id) else { return };
    job.from = from;
    for number in unneeded {
        job.occurrences.remove(&number);
    }
    if let Some(outcome) = outcome {
        job.outcome = Some(outcome);
        job.ended_ms = wall_ms;
        let given_up = failed.and_then(|task| {
            let (task_state, step) = (tables.task_state(task)?, tables.step(task.instance)?);
            // A task that has used up its attempts may have seen crashes of other causes.
            strike::is_at_fault(task_state, step).then_some((task, task_state.crashes))
        });
        if let Some((task, crashes)) = given_up {
            events.push(Event::GivenUp(task, crashes));
            strike::explain(tables, id);
        }
        events.push(Event::Ended(id, outcome));
    }
    tables.touch(id);
}

/// Returns the first task that makes its job fail: it has used up its attempts, or crashes its workers.
fn failed_task(id: Id, job: &Job) -> Option<Task> {
    let attempts = job.queue.attempts.max(1);
    for (&occurrence, row) in &job.occurrences {
        for (number, task_states) in row.steps.iter().enumerate() {
            let step = &job.steps()[number];
            let fails = |task_state: &TaskState| {
                let is_exhausted = !step.long_running && attempts <= task_state.failures;
                !task_state.done && (is_exhausted || strike::is_at_fault(task_state, step))
            };
            let Some(index) = task_states.iter().position(fails) else { continue };
            let instance = StepInstance { job: id, occurrence, step: number as u16 };
            return Some(Task { instance, index: index as u32 });
        }
    }
    None
}

/// Returns the steps of a job with waiting tasks whose preceding steps are done.
fn waiting_steps(job: &Job) -> Vec<WaitingStep> {
    let mut waiting = Vec::new();
    for (&occurrence, row) in &job.occurrences {
        for (step, task_states) in row.steps.iter().enumerate() {
            let definition = &job.steps()[step];
            let is_running = |task_state: &TaskState| task_state.live.is_some();
            if definition.gang && task_states.iter().any(is_running)
                || !rank::follows_done_steps(job, occurrence, step)
            {
                continue;
            }
            let tasks: Vec<u32> = task_states
                .iter()
                .enumerate()
                .filter(|(_, task_state)| !task_state.done && task_state.live.is_none())
                .map(|(index, _)| index as u32)
                .collect();
            if !tasks.is_empty() {
                waiting.push(WaitingStep { occurrence, step: step as u16, tasks });
            }
        }
    }
    waiting
}

/// Stops the runs of a cancelled or failed job, and releases the reservations of a job that needs
/// no more runs.
fn stop_unneeded(tables: &mut Tables, id: Id, events: &mut Vec<Event>) {
    tables.reservations.retain(|instance, _| instance.job != id);
    let Some(job) = tables.jobs.get(&id) else { return };
    let cause = match job.outcome {
        None => Cause::Cancelled,
        Some(Outcome::Failed) => Cause::Failed,
        // The members of a gang that is done end by themselves.
        Some(Outcome::Completed) => return,
    };
    let live: Vec<key::Run> = job
        .occurrences
        .values()
        .flat_map(|row| row.steps.iter().flatten())
        .filter_map(|task_state| task_state.live)
        .collect();
    for key in live {
        let Some(run) = tables.runs.get(key) else { continue };
        if matches!(run.phase, Phase::Stopping(_)) {
            continue;
        }
        events.push(Event::Stopped(run.task, run.number, cause.name()));
        tables.stop_run(key, cause);
    }
}
