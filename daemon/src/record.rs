//! Job records in the store, changed by compare-and-swap. A change whose answer was lost is
//! resolved by reading the record again.
//!
//! The store's key of a record is `jobs/` and the job's identifier. Soon after the job has ended,
//! the record is archived under `ended/`, so that the number of records that a new planner reads is
//! bounded by the number of jobs that have not ended.

use std::time::Duration;

use lavendergauge_lib::lifecycle;
use lavendergauge_lib::lifecycle::Change;
use lavendergauge_lib::lifecycle::Lifecycle;
use lavendergauge_lib::lifecycle::Verdict;
use lavendergauge_wire::codec;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use tokio::time;

use crate::store;
use crate::store::Item;
use crate::store::Store;
use crate::store::Swap;

/// Prefix of the records of jobs that have not ended, or ended a short while ago.
pub const JOBS_PREFIX: &str = "jobs/";
/// Prefix of the archived records of ended jobs.
pub const ENDED_PREFIX: &str = "ended/";
/// Tries of one change, after which its caller gets an error.
const MAX_TRIES: usize = 4;
/// Pause before a change is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of a change to a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Changed {
    /// The change has taken effect; the record and its store revision.
    Done(Record, i64),
    /// The record's state does not allow the change; the record and its store revision.
    Refused(Record, i64),
    /// There is no such record.
    Gone,
}

/// Reads a job's record and its store revision; `None` when there is none, or it has been archived.
///
/// # Errors
/// When the store gives no usable answer.
pub async fn load(store: &Store, id: &str) -> Result<Option<(Record, i64)>, store::Error> {
    let item = store.load(&format!("{JOBS_PREFIX}{id}")).await?;
    item.as_ref().map(parse).transpose()
}

/// Parses a stored record; returns it with its store revision.
///
/// # Errors
/// When the value is not a record.
pub fn parse(item: &Item) -> Result<(Record, i64), store::Error> {
    let record = codec::from_json(&item.value);
    let record = record.map_err(|error| store::Error::Malformed(error.to_string()))?;
    Ok((record, item.version))
}

/// Makes a change to a record; `edit` sets the fields that change with its state.
///
/// # Errors
/// When the store gives no usable answer; the change may then have taken effect.
pub async fn change(
    store: &Store,
    id: &str,
    change: Change,
    edit: impl Fn(&mut Record),
) -> Result<Changed, store::Error> {
    let mut failure = None;
    for _ in 0..MAX_TRIES {
        match try_change(store, id, change, &edit).await {
            Ok(Some(changed)) => return Ok(changed),
            Ok(None) => {}
            Err(error) => {
                failure = Some(error);
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    Err(failure.unwrap_or(store::Error::Malformed("the record changes too often".to_owned())))
}

/// Tries a change once; `None` when another writer changed the record in between.
async fn try_change(
    store: &Store,
    id: &str,
    change: Change,
    edit: impl Fn(&mut Record),
) -> Result<Option<Changed>, store::Error> {
    let Some((mut record, version)) = load(store, id).await? else {
        return Ok(Some(Changed::Gone));
    };
    let next = match lifecycle::apply(lifecycle_of(&record), change) {
        Verdict::Already => return Ok(Some(Changed::Done(record, version))),
        Verdict::Refused => return Ok(Some(Changed::Refused(record, version))),
        Verdict::Write(next) => next,
    };
    record.state = to_wire(next.state);
    record.attempt = next.attempt;
    record.epoch = next.epoch;
    edit(&mut record);
    let bytes =
        codec::to_json(&record).map_err(|error| store::Error::Malformed(error.to_string()))?;
    fail::fail_point!("record-before-swap");
    let swap = store.swap(&format!("{JOBS_PREFIX}{id}"), version, &bytes, 0).await?;
    Ok(matches!(swap, Swap::Done(_)).then_some(Changed::Done(record, version)))
}

fn lifecycle_of(record: &Record) -> Lifecycle {
    Lifecycle { state: from_wire(record.state), attempt: record.attempt, epoch: record.epoch }
}

/// Converts a job's state from the wire's type to the lifecycle's.
pub fn from_wire(state: State) -> lifecycle::State {
    match state {
        State::Waiting => lifecycle::State::Waiting,
        State::Starting => lifecycle::State::Starting,
        State::Running => lifecycle::State::Running,
        State::Stopping => lifecycle::State::Stopping,
        State::Done => lifecycle::State::Done,
        State::Failed => lifecycle::State::Failed,
        State::Cancelled => lifecycle::State::Cancelled,
        State::Refused => lifecycle::State::Refused,
        State::Unknown => lifecycle::State::Unknown,
    }
}

fn to_wire(state: lifecycle::State) -> State {
    match state {
        lifecycle::State::Waiting => State::Waiting,
        lifecycle::State::Starting => State::Starting,
        lifecycle::State::Running => State::Running,
        lifecycle::State::Stopping => State::Stopping,
        lifecycle::State::Done => State::Done,
        lifecycle::State::Failed => State::Failed,
        lifecycle::State::Cancelled => State::Cancelled,
        lifecycle::State::Refused => State::Refused,
        lifecycle::State::Unknown => State::Unknown,
    }
}

/// Archives the record of an ended job; does nothing for another job, or the second time.
///
/// The copy is written before the original is removed, so at least one of the two exists at any
/// time.
///
/// # Errors
/// When the store gives no usable answer; a second call then completes the move.
pub async fn archive(store: &Store, id: &str) -> Result<(), store::Error> {
    let Some((record, version)) = load(store, id).await? else { return Ok(()) };
    if !from_wire(record.state).is_final() {
        return Ok(());
    }
    let bytes =
        codec::to_json(&record).map_err(|error| store::Error::Malformed(error.to_string()))?;
    store.swap(&format!("{ENDED_PREFIX}{id}"), 0, &bytes, 0).await?;
    store.remove(&format!("{JOBS_PREFIX}{id}"), version).await?;
    Ok(())
}
