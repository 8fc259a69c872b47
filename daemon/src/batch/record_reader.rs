//! Reads the durable records of jobs from the store.

use std::time::Duration;

use lavendergauge_lib::batch::hold;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_platform::Error;
use lavendergauge_platform::store::Item;
use lavendergauge_wire::codec;
use metrics::gauge;
use serde::de::DeserializeOwned;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::planner::Planner;
use crate::batch::record_codec;
use crate::clock;
use crate::logs::Value;

/// Deadline of the read of one page of records.
const READ_DEADLINE: Duration = Duration::from_millis(1500);
/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Loads all records; returns the revision from which changes of the jobs have to be watched.
pub async fn load_all(entry: &Entry, planner: &Planner) -> u64 {
    let (jobs, revision) = list(entry, keys::JOBS).await;
    let (progress, _) = list(entry, keys::PROGRESS).await;
    let (now, wall_ms) = (clock::boot(), clock::wall_ms());
    let mut tables = planner.tables();
    for item in &jobs {
        let Some(id) = keys::id(keys::JOBS, &item.key) else { continue };
        match decode::<Record>(item) {
            Some(record) => {
                records::note_refused(&mut tables, id, &record, item.revision);
                records::load_record(&mut tables, now, wall_ms, id, record);
            }
            None => hold::hold(&mut tables, id),
        }
    }
    for item in &progress {
        let Some(id) = keys::id(keys::PROGRESS, &item.key) else { continue };
        match decode_progress(item) {
            Some(progress) => {
                records::load_progress(&mut tables, now, wall_ms, id, &progress);
            }
            None => hold::hold(&mut tables, id),
        }
    }
    gauge!("lavendergauge_jobs_held").set(tables.held.len() as f64);
    for id in &tables.held {
        log::error!("event=job-held job={id} cause=\"its record or progress cannot be read\"");
    }
    revision
}

/// Lists the items under a prefix and the store's revision, retrying until it succeeds.
pub async fn list(entry: &Entry, prefix: &str) -> (Vec<Item>, u64) {
    loop {
        match entry.store.list(prefix, READ_DEADLINE).await {
            Ok(found) => return found,
            Err(error) => {
                log::warn!("event=list-failed prefix={prefix} cause={}", Value(&error.to_string()));
                time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Decodes a record; one that cannot be decoded is logged.
pub fn decode<T: DeserializeOwned>(item: &Item) -> Option<T> {
    match codec::unpack(&item.value) {
        Ok(value) => Some(value),
        Err(cause) => {
            let cause = cause.to_string();
            log::error!("event=record-unreadable key={} cause={}", item.key, Value(&cause));
            None
        }
    }
}

/// Decodes a job's progress; one that cannot be decoded is logged.
fn decode_progress(item: &Item) -> Option<Progress> {
    match record_codec::decode_progress(&item.value) {
        Ok(progress) => Some(progress),
        Err(cause) => {
            let cause = cause.to_string();
            log::error!("event=record-unreadable key={} cause={}", item.key, Value(&cause));
            None
        }
    }
}

/// Reads a job's state and record from the store; used when no planner answers.
///
/// `None` when there is no such job.
///
/// # Errors
/// When the store refuses or gives no usable answer.
pub async fn state_from_store(
    entry: &Entry,
    id: Id,
    deadline: Duration,
) -> Result<Option<(State, Record)>, Error> {
    let Some(item) = entry.store.read(&keys::job(id), deadline).await? else { return Ok(None) };
    let unreadable = || Error::Malformed("the job's record or progress cannot be read".to_owned());
    let record: Record = decode(&item).ok_or_else(unreadable)?;
    let progress = match entry.store.read(&keys::progress(id), deadline).await? {
        Some(item) => Some(decode_progress(&item).ok_or_else(unreadable)?),
        None => None,
    };
    let mut tables = Tables::new(entry.settings.bounds, clock::boot());
    let (now, wall_ms) = (clock::boot(), clock::wall_ms());
    records::load_record(&mut tables, now, wall_ms, id, record.clone());
    if let Some(progress) = progress {
        records::load_progress(&mut tables, now, wall_ms, id, &progress);
    }
    if hold::is_held(&tables, id) {
        return Err(unreadable());
    }
    Ok(tables.jobs.get(&id).map(|job| (job.state(), record)))
}
