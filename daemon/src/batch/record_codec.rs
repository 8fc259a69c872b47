//! Encodes the durable records of jobs, as values whose length the store limits.
//!
//! A short value has named fields. In a longer one most have none, which every version reads too.
//! Progress that is longer still has a packed form of its own.

use std::collections::BTreeMap;

use bytes::Bytes;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::Submission;
use lavendergauge_lib::batch::progress::Crashes;
use lavendergauge_lib::batch::progress::Occurrence;
use lavendergauge_lib::batch::progress::Outcome;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::progress::Task;
use lavendergauge_lib::batch::progress::WorkerIncarnation;
use lavendergauge_wire::codec;
use serde::Deserialize;
use serde::Serialize;

/// Number of tasks from which progress is encoded without names.
const NAMED_TASKS: usize = 1000;
/// Longest value that the named form may have, in bytes.
const NAMED_BYTES: usize = 256 << 10;
/// Length of the packed form beside its occurrences and workers, in bytes.
const PACKED_FRAME_BYTES: u64 = 100;
/// Length of an occurrence in the packed form beside its steps, in bytes.
const PACKED_OCCURRENCE_BYTES: u64 = 11;
/// Length of a task in the packed form without its checkpoint, in bytes: its numbers of runs and
/// failures have 16 bits.
const PACKED_TASK_BYTES: u64 = 22;
/// Length of a task that runs until it is cancelled, in bytes: its numbers have 32 bits.
const PACKED_LONG_RUNNING_BYTES: u64 = 34;
/// Divisor of a value's length that gives the room for the names of workers in it.
const WORKER_ROOM_DIVISOR: u64 = 8;
/// Length of a value for each task or step that may be open at a time, in bytes.
const BYTES_PER_OPEN_TASK: usize = 32;
/// When a job ended for versions that do not know the packed form: never, so that they keep it.
const FAR_FUTURE_MS: u64 = 1 << 52;

/// Why a record cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is longer than a value of the store may be.
    #[error("the value has {0} bytes, more than the store takes")]
    TooLong(usize),
    /// It is not a value of the type.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// It names a worker that it does not list.
    #[error("a task names an unknown worker")]
    UnknownWorker,
}

/// Progress as it is stored.
///
/// With `packed`, the other fields are for versions that do not know it: to them the job has
/// failed, so that they start none of its tasks again.
#[derive(Serialize, Deserialize)]
struct Envelope {
    from: u32,
    occurrences: Vec<Occurrence>,
    outcome: Option<Outcome>,
    ended_ms: u64,
    #[serde(default, skip_serializing_if = "Bytes::is_empty")]
    packed: Bytes,
    #[serde(default, skip_serializing_if = "is_false")]
    unstarted: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// Progress whose own fields have names in every form, so that earlier versions skip those that they do
/// not know; its occurrences have none in the form without names.
#[derive(Serialize)]
struct Outline<'a> {
    #[serde(flatten)]
    progress: &'a Progress,
}

/// The packed form: fields without names, and each worker once.
#[derive(Serialize, Deserialize)]
struct Packed {
    from: u32,
    outcome: Option<Outcome>,
    ended_ms: u64,
    workers: Vec<WorkerIncarnation>,
    /// Number and steps of each occurrence.
    occurrences: Vec<(u32, Vec<Vec<PackedTask>>)>,
}

#[derive(Serialize, Deserialize)]
struct PackedTask {
    run: u32,
    failures: u32,
    done: bool,
    checkpoint: String,
    /// Index of the worker.
    worker: Option<u32>,
    failed_run: u32,
    crashes: Option<Crashes>,
}

fn check_length(value: Bytes, limit: usize) -> Result<Bytes, Error> {
    if limit < value.len() { Err(Error::TooLong(value.len())) } else { Ok(value) }
}

/// Encodes a job's record as a value of at most `limit` bytes.
///
/// # Errors
/// [`Error::TooLong`] when the record is longer in every form.
pub fn encode_record(record: &Record, limit: usize) -> Result<Bytes, Error> {
    let named = codec::pack(record)?;
    if named.len() <= limit.min(NAMED_BYTES) {
        return Ok(named);
    }
    check_length(codec::pack_unnamed(record)?, limit)
}

/// Tells whether a job can be stored for its whole life: its steps and tasks can be numbered, and the
/// progress of an occurrence fits into a value of `limit` bytes whatever its tasks do.
///
/// Of a job with several occurrences, only as many begin as fit; see [`max_open_tasks`].
///
/// ```
/// use lavendergauge_daemon::batch::record_codec;
/// use lavendergauge_lib::batch::job::Step;
/// use lavendergauge_lib::batch::job::Submission;
/// let steps = vec![Step { tasks: 40_000, ..Step::default() }];
/// let job = Submission { steps, ..Submission::default() };
/// assert!(record_codec::fits(&job, 1 << 20) && !record_codec::fits(&job, 1 << 16));
/// ```
pub fn fits(submission: &Submission, limit: usize) -> bool {
    let step_bytes = |step: &Step| {
        let task = if step.long_running { PACKED_LONG_RUNNING_BYTES } else { PACKED_TASK_BYTES };
        array_header_bytes(step.tasks) + u64::from(step.tasks) * task
    };
    let steps: u64 = submission.steps.iter().map(step_bytes).sum();
    let bytes = PACKED_FRAME_BYTES + PACKED_OCCURRENCE_BYTES + steps;
    let limit = limit as u64;
    // A job with fewer tasks than the fleet has workers names fewer of them.
    let names = (limit / WORKER_ROOM_DIVISOR).min(2 * bytes);
    submission.is_valid() && bytes + names <= limit
}

/// Length of the header of an array in MessagePack, in bytes.
fn array_header_bytes(items: u32) -> u64 {
    match items {
        0..16 => 1,
        16..65_536 => 3,
        _ => 5,
    }
}

/// Returns how many tasks and steps of one job may be in occurrences that have begun, where values
/// have at most `limit` bytes.
///
/// ```
/// assert_eq!(lavendergauge_daemon::batch::record_codec::max_open_tasks(1 << 20), 32_768);
/// ```
pub fn max_open_tasks(limit: usize) -> usize {
    limit / BYTES_PER_OPEN_TASK
}

/// Encodes a job's progress as a value of at most `limit` bytes.
///
/// Checkpoints are left out if it does not fit otherwise: after a change of planner, the tasks then
/// start anew.
///
/// # Errors
/// [`Error::TooLong`] when the progress is longer in every form.
///
/// ```
/// use lavendergauge_daemon::batch::record_codec;
/// use lavendergauge_lib::batch::progress::Occurrence;
/// use lavendergauge_lib::batch::progress::Progress;
/// use lavendergauge_lib::batch::progress::Task;
/// let steps = vec![vec![Task::default(); 20_000]];
/// let occurrences = vec![Occurrence { number: 0, steps }];
/// let progress = Progress { occurrences, ..Progress::default() };
/// let value = record_codec::encode_progress(&progress, 1 << 20).unwrap();
/// assert_eq!(record_codec::decode_progress(&value).unwrap(), progress);
/// ```
pub fn encode_progress(progress: &Progress, limit: usize) -> Result<Bytes, Error> {
    let steps = progress.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
    let tasks: usize = steps.map(Vec::len).sum();
    if tasks <= NAMED_TASKS {
        let named = codec::pack(progress)?;
        if named.len() <= limit.min(NAMED_BYTES) {
            return Ok(named);
        }
    }
    let unnamed = codec::pack_unnamed(&Outline { progress })?;
    if unnamed.len() <= limit {
        return Ok(unnamed);
    }
    match check_length(encode_packed(progress, true)?, limit) {
        Err(Error::TooLong(_)) => check_length(encode_packed(progress, false)?, limit),
        value => value,
    }
}

fn encode_packed(progress: &Progress, has_checkpoints: bool) -> Result<Bytes, Error> {
    let mut workers: Vec<WorkerIncarnation> = Vec::new();
    let mut indices: BTreeMap<(&str, u64), u32> = BTreeMap::new();
    let pack_task = |task: &Task, index: Option<u32>| PackedTask {
        run: task.run,
        failures: task.failures,
        done: task.done,
        checkpoint: if has_checkpoints { task.checkpoint.clone() } else { String::new() },
        worker: index,
        failed_run: task.failed_run,
        crashes: (!task.crashes.is_none()).then_some(task.crashes),
    };
    let mut occurrences = Vec::new();
    for occurrence in &progress.occurrences {
        let mut steps = Vec::new();
        for tasks in &occurrence.steps {
            let mut packed = Vec::new();
            for task in tasks {
                let index = task.worker.as_ref().map(|worker| {
                    let key = (worker.node.as_str(), worker.incarnation);
                    *indices.entry(key).or_insert_with(|| {
                        workers.push(worker.clone());
                        workers.len() as u32 - 1
                    })
                });
                packed.push(pack_task(task, index));
            }
            steps.push(packed);
        }
        occurrences.push((occurrence.number, steps));
    }
    let packed = Packed {
        from: progress.from,
        outcome: progress.outcome,
        ended_ms: progress.ended_ms,
        workers,
        occurrences,
    };
    Ok(codec::pack(&Envelope {
        from: progress.from,
        occurrences: Vec::new(),
        outcome: Some(Outcome::Failed),
        ended_ms: FAR_FUTURE_MS,
        packed: codec::pack_unnamed(&packed)?,
        unstarted: progress.unstarted,
    })?)
}

/// Decodes a job's progress.
///
/// # Errors
/// When the value is malformed.
pub fn decode_progress(value: &[u8]) -> Result<Progress, Error> {
    let Envelope { from, occurrences, outcome, ended_ms, packed, unstarted } =
        codec::unpack(value)?;
    if packed.is_empty() {
        return Ok(Progress { from, occurrences, outcome, ended_ms, unstarted });
    }
    let Packed { from, outcome, ended_ms, workers, occurrences } = codec::unpack(&packed)?;
    let unpack_task = |task: PackedTask| -> Result<Task, Error> {
        let find = |index: u32| workers.get(index as usize).cloned().ok_or(Error::UnknownWorker);
        Ok(Task {
            run: task.run,
            failures: task.failures,
            done: task.done,
            checkpoint: task.checkpoint,
            worker: task.worker.map(find).transpose()?,
            failed_run: task.failed_run,
            crashes: task.crashes.unwrap_or_default(),
        })
    };
    let unpack_step = |tasks: Vec<PackedTask>| -> Result<Vec<Task>, Error> {
        tasks.into_iter().map(unpack_task).collect()
    };
    let unpack_occurrence = |(number, steps): (u32, Vec<Vec<PackedTask>>)| {
        let steps: Result<Vec<Vec<Task>>, Error> = steps.into_iter().map(unpack_step).collect();
        Ok(Occurrence { number, steps: steps? })
    };
    let occurrences: Result<Vec<Occurrence>, Error> =
        occurrences.into_iter().map(unpack_occurrence).collect();
    Ok(Progress { from, occurrences: occurrences?, outcome, ended_ms, unstarted })
}
