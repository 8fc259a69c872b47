//! Loads durable records of jobs into the tables, and produces the records to write.

use std::sync::Arc;

use crate::batch::hold;
use crate::batch::job::Id;
use crate::batch::job::Intent;
use crate::batch::job::Record;
use crate::batch::job::StepInstance;
use crate::batch::job::Task;
use crate::batch::progress;
use crate::batch::progress::Progress;
use crate::batch::progress::WorkerIncarnation;
use crate::batch::table;
use crate::batch::table::Job;
use crate::batch::table::Phase;
use crate::batch::table::RefusedRecord;
use crate::batch::table::Run;
use crate::batch::table::Tables;
use crate::batch::table::TaskState;
use crate::clock::Millis;
use crate::key;

/// Applies a job's record as an entry wrote it; of a known job only the caller's intent changes.
///
/// A record of no accepted job changes nothing, see [`note_refused`]. `wall_ms` is the time of day at `now`,
/// in Unix milliseconds.
pub fn load_record(tables: &mut Tables, now: Millis, wall_ms: u64, id: Id, record: Record) {
    if !record.intent.is_of_accepted() {
        return;
    }
    tables.refused.remove(&id);
    if let Some(job) = tables.jobs.get_mut(&id) {
        if job.record.intent < record.intent {
            note_cancelled(job, &record, wall_ms);
            job.record = Arc::new(record);
            tables.unsettled.insert(id);
            if tables.held.contains(&id) {
                hold::release_ends(tables, id);
            }
        }
        return;
    }
    if tables.held.contains(&id) {
        return;
    }
    if !record.submission.is_valid() {
        hold::hold(tables, id);
        return;
    }
    let age = wall_ms.saturating_sub(record.accepted_ms);
    tables.add_job(id, Millis(now.0.saturating_sub(age)), record);
    if let Some(job) = tables.jobs.get_mut(&id) {
        let record = job.record.clone();
        note_cancelled(job, &record, wall_ms);
    }
}

/// Notes when a cancelled job ended: when this planner learned that, if nothing earlier is recorded.
fn note_cancelled(job: &mut Job, record: &Record, wall_ms: u64) {
    if record.intent == Intent::Cancelled {
        job.ended_ms = job.ended_ms.max(wall_ms);
    }
}

/// Restores the progress of a job that an earlier planner recorded. Call it right after the job's
/// record was applied.
///
/// Progress that is not of the job as it was submitted is not applied, and the job is held.
///
/// Runs that the earlier planner left may still exist. Their worker's next list shows whether they
/// do; without one they end when the last grant of an earlier planner has expired.
pub fn load_progress(tables: &mut Tables, now: Millis, wall_ms: u64, id: Id, progress: &Progress) {
    let Some(job) = tables.jobs.get(&id) else { return };
    if !hold::is_progress_of(job, progress) {
        hold::hold(tables, id);
        return;
    }
    let lease_until = tables.took_over + table::takeover_bound();
    let mut nodes = Vec::new();
    for worker in progress
        .occurrences
        .iter()
        .flat_map(|occurrence| occurrence.steps.iter().flatten())
        .filter_map(|task| task.worker.as_ref())
    {
        nodes.push((worker.node.clone(), tables.worker_at(&worker.node, lease_until)));
    }
    let Some(job) = tables.jobs.get_mut(&id) else { return };
    job.from = progress.from;
    job.next = progress.from;
    job.outcome = progress.outcome;
    job.recorded_outcome = progress.outcome;
    if progress.ended_ms != 0 {
        job.ended_ms = progress.ended_ms;
    }
    job.started = progress.from != 0 || progress.outcome.is_some();
    let mut inherited = Vec::new();
    for recorded in &progress.occurrences {
        job.next = job.next.max(recorded.number + 1);
        for (step, tasks) in recorded.steps.iter().enumerate() {
            let instance = StepInstance { job: id, occurrence: recorded.number, step: step as u16 };
            for (index, task) in tasks.iter().enumerate() {
                let Some(recorded) = &task.worker else { continue };
                let found = nodes.iter().find(|(node, _)| *node == recorded.node);
                let Some((_, worker)) = found else { continue };
                let name = Task { instance, index: index as u32 };
                inherited.push(inherited_run(now, name, task.run, recorded, *worker));
            }
        }
        let task_state = |task: &progress::Task| TaskState {
            run: task.run,
            failures: task.failures,
            failed_at: Millis::default(),
            failed_run: task.failed_run,
            done: task.done,
            checkpoint: task.checkpoint.clone(),
            crashes: task.crashes,
            crashed_at: Millis::default(),
            live: None,
            stalls: 0,
            avoid: Default::default(),
        };
        let steps: Vec<Vec<TaskState>> =
            recorded.steps.iter().map(|tasks| tasks.iter().map(task_state).collect()).collect();
        let has_run = steps.iter().flatten().any(|task_state| task_state.run != 0);
        job.started |= has_run && !progress.unstarted;
        let due = due(job, now, wall_ms, recorded.number);
        job.occurrences.insert(recorded.number, table::Occurrence { steps, due });
    }
    job.withdraw_excess();
    for run in inherited {
        tables.insert_run(run);
    }
    tables.unsettled.insert(id);
}

/// Rebuilds a run that an earlier planner left from what its record holds.
fn inherited_run(
    now: Millis,
    task: Task,
    number: u32,
    recorded: &WorkerIncarnation,
    worker: key::Worker,
) -> Run {
    Run {
        settled_at: Some(0),
        ..Run::new(task, number, worker, recorded.incarnation, Phase::Running, now)
    }
}

/// Returns when an occurrence is due, on the planner's clock.
pub fn due(job: &Job, now: Millis, wall_ms: u64, occurrence: u32) -> Millis {
    let repeat = job.record.submission.repeat;
    if repeat.count == 0 {
        return job.accepted;
    }
    let elapsed_ms = u64::from(occurrence).saturating_mul(repeat.interval_ms);
    let due_ms = repeat.first_ms.saturating_add(elapsed_ms);
    Millis(now.0.saturating_add(due_ms).saturating_sub(wall_ms))
}

/// Returns the progress to record for a job, with the version of the job that it represents.
///
/// `None` for an unknown job.
pub fn snapshot(tables: &Tables, id: Id) -> Option<(u64, Progress)> {
    let job = tables.jobs.get(&id)?;
    let task = |task_state: &TaskState| progress::Task {
        run: task_state.run,
        failures: task_state.failures,
        failed_run: task_state.failed_run,
        done: task_state.done,
        crashes: task_state.crashes,
        checkpoint: if task_state.done { String::new() } else { task_state.checkpoint.clone() },
        worker: task_state.live.and_then(|key| {
            let run = tables.runs.get(key)?;
            let worker = tables.workers.get(run.worker)?;
            Some(WorkerIncarnation { node: worker.node.clone(), incarnation: run.incarnation })
        }),
    };
    let occurrences: Vec<progress::Occurrence> = job
        .occurrences
        .iter()
        .map(|(&number, occurrence)| progress::Occurrence {
            number,
            steps: occurrence
                .steps
                .iter()
                .map(|task_states| task_states.iter().map(task).collect())
                .collect(),
        })
        .collect();
    let has_run = |row: &progress::Occurrence| row.steps.iter().flatten().any(|task| task.run != 0);
    let progress = Progress {
        from: job.from,
        unstarted: !job.started && job.outcome.is_none() && occurrences.iter().any(has_run),
        occurrences,
        outcome: job.outcome,
        ended_ms: job.ended_ms,
    };
    Some((job.version, progress))
}

/// Records that a version of a job's progress is stored.
///
/// Workers may now discard the ends of runs that it contains, and the planned runs that it contains
/// may be ordered.
pub fn mark_stored(tables: &mut Tables, id: Id, version: u64) {
    let Some(job) = tables.jobs.get_mut(&id) else { return };
    job.recorded_version = job.recorded_version.max(version);
    if job.recorded_version == job.version {
        job.recorded_outcome = job.outcome;
    }
    let mut planned = std::mem::take(&mut job.planned);
    let unrecorded_at = std::mem::take(&mut job.unrecorded_at);
    planned.retain(|key| {
        let Some(run) = tables.runs.get_mut(*key) else { return false };
        if version < run.version {
            return true;
        }
        if run.phase == Phase::Planned {
            run.phase = Phase::Launching;
            tables.unsent.insert(*key);
        }
        false
    });
    job.planned = planned;
    for key in unrecorded_at {
        let Some(worker) = tables.workers.get_mut(key) else { continue };
        if worker.unrecorded.get(&id).is_some_and(|needed| *needed <= version) {
            worker.unrecorded.remove(&id);
        } else if worker.unrecorded.contains_key(&id) {
            job.unrecorded_at.push(key);
        }
        worker.acknowledge_recorded();
    }
}

/// Notes the stored record of a job that was refused, or cancelled before its submission, so that it is
/// removed when its time is over; its key last changed at `revision`. Any other record ends this.
pub fn note_refused(tables: &mut Tables, id: Id, record: &Record, revision: u64) {
    if !record.intent.is_of_accepted() && !tables.jobs.contains_key(&id) {
        tables.refused.insert(id, RefusedRecord { revision, written_ms: record.accepted_ms });
    }
}

/// Takes the refused jobs whose records have been kept long enough, at most `most` of them.
///
/// Their keys may be removed only on the condition of the revision: such a job may have been accepted
/// meanwhile.
pub fn expire_refused(tables: &mut Tables, wall_ms: u64, most: usize) -> Vec<(Id, RefusedRecord)> {
    let keep = tables.bounds.keep_ms;
    let is_expired = |(_, record): &(&Id, &RefusedRecord)| record.written_ms + keep < wall_ms;
    let expired: Vec<(Id, RefusedRecord)> = tables
        .refused
        .iter()
        .filter(is_expired)
        .map(|(id, record)| (*id, *record))
        .take(most)
        .collect();
    for (id, _) in &expired {
        tables.refused.remove(id);
    }
    expired
}

/// Removes jobs that ended longer ago than their state has to be kept, at most `most` of them, and
/// returns their identifiers.
pub fn expire(tables: &mut Tables, wall_ms: u64, most: usize) -> Vec<Id> {
    let keep = tables.bounds.keep_ms;
    let expired = |job: &Job| {
        let ended = match job.record.intent {
            Intent::Wanted | Intent::Cancelled => job.ended_ms,
            Intent::Unknown | Intent::Refused => job.record.accepted_ms,
        };
        let has_ended = job.recorded_outcome.is_some() || job.record.intent != Intent::Wanted;
        let idle = job.occurrences.values().all(|occurrence| {
            occurrence.steps.iter().flatten().all(|task_state| task_state.live.is_none())
        });
        has_ended && idle && ended + keep < wall_ms
    };
    let ids: Vec<Id> =
        tables.jobs.iter().filter(|(_, job)| expired(job)).map(|(id, _)| *id).take(most).collect();
    for id in &ids {
        tables.remove_job(*id);
    }
    ids
}
