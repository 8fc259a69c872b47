//! Callers' operations on durable jobs: submit, find and cancel.

use lavendergauge_lib::lifecycle::Change;
use lavendergauge_wire::codec;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::job::State;

use crate::clock;
use crate::entry::Entry;
use crate::record;
use crate::record::Changed;
use crate::record::ENDED_PREFIX;
use crate::record::JOBS_PREFIX;
use crate::store;
use crate::store::Swap;

/// Result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// The job is accepted, and its record is in the store.
    Accepted(Record),
    /// The same job was accepted before; its current record.
    Known(Record),
    /// The identifier is used by another job.
    Taken,
}

/// Accepts a job under an identifier, which its caller may choose and submit again.
///
/// # Errors
/// When the store gives no usable answer. The job may then have been accepted; the caller finds out
/// by submitting it again under the same identifier.
pub async fn submit(entry: &Entry, id: &str, spec: Spec) -> Result<Submitted, store::Error> {
    if let Some(item) = entry.store.load(&format!("{ENDED_PREFIX}{id}")).await? {
        return Ok(known(record::parse(&item)?.0, &spec));
    }
    let record = new_record(id, spec);
    let bytes =
        codec::to_json(&record).map_err(|error| store::Error::Malformed(error.to_string()))?;
    let key = format!("{JOBS_PREFIX}{id}");
    match entry.store.swap(&key, 0, &bytes, 0).await {
        Ok(Swap::Done(_)) => Ok(Submitted::Accepted(record)),
        Ok(Swap::Lost(Some(item))) => Ok(known(record::parse(&item)?.0, &record.spec)),
        Ok(Swap::Lost(None)) => Ok(Submitted::Taken),
        // The answer may have been lost after the write: the stored record decides.
        Err(error) => match record::load(&entry.store, id).await {
            Ok(Some((stored, _))) => Ok(known(stored, &record.spec)),
            _ => Err(error),
        },
    }
}

/// Makes the record of a job that has just been accepted.
pub fn new_record(id: &str, spec: Spec) -> Record {
    Record {
        id: id.to_owned(),
        spec,
        state: State::Waiting,
        attempt: 0,
        epoch: 0,
        seats: Vec::new(),
        submitted_ms: clock::wall_ms(),
        started_ms: 0,
        ended_ms: 0,
        checkpoint: String::new(),
        checkpoints: Vec::new(),
        result: String::new(),
        reason: String::new(),
        failures: 0,
    }
}

fn known(record: Record, spec: &Spec) -> Submitted {
    if record.spec == *spec { Submitted::Known(record) } else { Submitted::Taken }
}

/// Reads a job's record, archived or not; `None` when there is none.
///
/// # Errors
/// When the store gives no usable answer.
pub async fn find(entry: &Entry, id: &str) -> Result<Option<Record>, store::Error> {
    if let Some((record, _)) = record::load(&entry.store, id).await? {
        return Ok(Some(record));
    }
    let item = entry.store.load(&format!("{ENDED_PREFIX}{id}")).await?;
    Ok(item.as_ref().map(record::parse).transpose()?.map(|(record, _)| record))
}

/// Cancels a job and returns its record; `None` when there is none.
///
/// A waiting job is cancelled at once. A starting or running one gets the state `stopping`, until
/// the planner has stopped every member. A job that has ended stays as it is.
///
/// # Errors
/// When the store gives no usable answer; the job may then have been cancelled.
pub async fn cancel(entry: &Entry, id: &str) -> Result<Option<Record>, store::Error> {
    let edit = |record: &mut Record| {
        record.reason = "cancelled by its caller".to_owned();
        if record.state == State::Cancelled {
            record.ended_ms = clock::wall_ms();
        }
    };
    match record::change(&entry.store, id, Change::Cancel, edit).await? {
        Changed::Done(record, _) | Changed::Refused(record, _) => Ok(Some(record)),
        Changed::Gone => find(entry, id).await,
    }
}
