//! Renews the planner's lease, reads the job records that change, and archives those of ended jobs.
//!
//! Runs in a task of its own so that a slow store never delays the planner's ticks.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::launch::Outcome;
use lavendergauge_lib::name::Name;
use lavendergauge_wire::job::Record;
use tokio::sync::mpsc;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::launch::Attempt;
use crate::record;
use crate::record::Changed;
use crate::record::ENDED_PREFIX;
use crate::record::JOBS_PREFIX;
use crate::store;

/// Interval at which the lease is renewed and changed records are read.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the record of an ended job stays under [`JOBS_PREFIX`] before it is archived.
const ARCHIVE_AFTER: Duration = Duration::from_secs(60);
/// Most records archived per interval, which bounds the writes after many jobs were cancelled at
/// once.
const ARCHIVE_BATCH: usize = 10;
/// Time for which the archived record of an ended job is kept.
const RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);
/// Interval at which archived records older than [`RETENTION`] are looked for.
const REMOVE_INTERVAL: Duration = Duration::from_secs(3600);

/// What a background task reports to the planner's loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The store confirmed a renewal of the lease that was sent at this time.
    Confirmed(Millis),
    /// The lease has expired.
    Lost,
    /// Records that are new or changed, with their store revisions.
    Records(Vec<(Record, i64)>),
    /// A launch, or its undoing, has ended.
    Launched(Arc<Attempt>, Outcome),
    /// A change to a record was made or refused; `None` when the store gave no answer.
    Changed(Name, Option<Changed>),
}

/// Renews the lease and reads records until the lease is lost, or the task is aborted.
pub async fn run(entry: Arc<Entry>, lease: i64, updates: mpsc::UnboundedSender<Update>) {
    let mut since = 0;
    let mut ended = VecDeque::new();
    let mut last_removal = clock::now();
    loop {
        let sent_at = clock::now();
        match entry.store.renew(lease).await {
            Ok(true) => drop(updates.send(Update::Confirmed(sent_at))),
            Ok(false) => {
                let _ = updates.send(Update::Lost);
                return;
            }
            Err(error) => log::warn!("event=store-failed call=renew cause=\"{error}\""),
        }
        match entry.store.changes(JOBS_PREFIX, since).await {
            Ok((items, revision)) => {
                since = revision;
                let records: Vec<(Record, i64)> =
                    items.iter().filter_map(|item| record::parse(item).ok()).collect();
                let newly_ended =
                    records.iter().filter(|(one, _)| record::from_wire(one.state).is_final());
                ended.extend(newly_ended.map(|(one, _)| (one.id.clone(), sent_at)));
                let _ = updates.send(Update::Records(records));
            }
            Err(error) => log::warn!("event=store-failed call=jobs cause=\"{error}\""),
        }
        if let Err(error) = archive(&entry, &mut ended).await {
            log::warn!("event=store-failed call=put-away cause=\"{error}\"");
        }
        if REMOVE_INTERVAL <= sent_at.since(last_removal) {
            last_removal = sent_at;
            if let Err(error) = remove_old(&entry).await {
                log::warn!("event=store-failed call=clean cause=\"{error}\"");
            }
        }
        time::sleep(SYNC_INTERVAL).await;
    }
}

/// Archives the records of jobs that ended at least [`ARCHIVE_AFTER`] ago, at most
/// [`ARCHIVE_BATCH`] of them.
async fn archive(
    entry: &Entry,
    ended: &mut VecDeque<(String, Millis)>,
) -> Result<(), store::Error> {
    for _ in 0..ARCHIVE_BATCH {
        let now = clock::now();
        let Some((id, _)) = ended.front().filter(|(_, since)| ARCHIVE_AFTER <= now.since(*since))
        else {
            break;
        };
        record::archive(&entry.store, id).await?;
        ended.pop_front();
    }
    Ok(())
}

/// Removes the archived records of jobs that ended more than [`RETENTION`] ago.
async fn remove_old(entry: &Entry) -> Result<(), store::Error> {
    let oldest = clock::wall_ms().saturating_sub(RETENTION.as_millis() as u64);
    for item in entry.store.list(ENDED_PREFIX).await? {
        let is_old = record::parse(&item).is_ok_and(|(record, _)| record.ended_ms < oldest);
        if is_old {
            entry.store.remove(&item.key, item.version).await?;
        }
    }
    Ok(())
}
