//! Keeps the planner's lease, and reads the job records that change.
//!
//! Runs beside the duty so that a slow store never holds it up.

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
const ROUND: Duration = Duration::from_millis(500);
/// Time for which the record of an ended job stays among those that live.
const LINGER: Duration = Duration::from_secs(60);
/// Records put away in one round, which bounds the writes of a cancellation wave.
const PUT_AWAY: usize = 10;
/// Time for which the record of an ended job is kept.
const KEEP: Duration = Duration::from_secs(7 * 24 * 3600);
/// Interval at which old records are looked for.
const CLEAN_EVERY: Duration = Duration::from_secs(3600);

/// What the duty learns from what runs beside it.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The lease held when it was asked for at this time.
    Confirmed(Millis),
    /// The lease has lapsed, or someone else has the duty.
    Lost,
    /// Records that are new or changed, with their store revisions.
    Records(Vec<(Record, i64)>),
    /// A launch, or its undoing, has ended.
    Launched(Arc<Attempt>, Outcome),
    /// A change to a record was made or refused; `None` when the store gave no answer.
    Changed(Name, Option<Changed>),
}

/// Keeps the lease and reads records until the lease is lost or the duty is dropped.
pub async fn run(entry: Arc<Entry>, lease: i64, notes: mpsc::UnboundedSender<Note>) {
    let mut since = 0;
    let mut ended = VecDeque::new();
    let mut cleaned = clock::now();
    loop {
        let asked = clock::now();
        match entry.store.renew(lease).await {
            Ok(true) => drop(notes.send(Note::Confirmed(asked))),
            Ok(false) => {
                let _ = notes.send(Note::Lost);
                return;
            }
            Err(error) => log::warn!("event=store-failed call=renew cause=\"{error}\""),
        }
        match entry.store.changes(JOBS_PREFIX, since).await {
            Ok((items, revision)) => {
                since = revision;
                let records: Vec<(Record, i64)> =
                    items.iter().filter_map(|item| record::parse(item).ok()).collect();
                let over = records.iter().filter(|(one, _)| record::from_wire(one.state).is_over());
                ended.extend(over.map(|(one, _)| (one.id.clone(), asked)));
                let _ = notes.send(Note::Records(records));
            }
            Err(error) => log::warn!("event=store-failed call=jobs cause=\"{error}\""),
        }
        if let Err(error) = put_away(&entry, &mut ended).await {
            log::warn!("event=store-failed call=put-away cause=\"{error}\"");
        }
        if CLEAN_EVERY <= asked.since(cleaned) {
            cleaned = asked;
            if let Err(error) = clean(&entry).await {
                log::warn!("event=store-failed call=clean cause=\"{error}\"");
            }
        }
        time::sleep(ROUND).await;
    }
}

/// Moves records of jobs that ended a while ago out of the way, a few at a time.
async fn put_away(
    entry: &Entry,
    ended: &mut VecDeque<(String, Millis)>,
) -> Result<(), store::Error> {
    for _ in 0..PUT_AWAY {
        let now = clock::now();
        let Some((id, _)) = ended.front().filter(|(_, since)| LINGER <= now.since(*since)) else {
            break;
        };
        record::put_away(&entry.store, id).await?;
        ended.pop_front();
    }
    Ok(())
}

/// Removes the records of jobs that ended long ago.
async fn clean(entry: &Entry) -> Result<(), store::Error> {
    let oldest = clock::wall_ms().saturating_sub(KEEP.as_millis() as u64);
    for item in entry.store.list(ENDED_PREFIX).await? {
        let old = record::parse(&item).is_ok_and(|(record, _)| record.ended_ms < oldest);
        if old {
            entry.store.remove(&item.key, item.version).await?;
        }
    }
    Ok(())
}
