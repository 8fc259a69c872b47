//! Writes the planner's records, many jobs per transaction, and retries writes that are in doubt.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::Error;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::MAX_TRANSACTION_ENTRIES;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use metrics::counter;
use tokio::time;

use crate::batch::chain;
use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::leader::Term;
use crate::batch::planner::Planner;
use crate::batch::record_codec;
use crate::clock;
use crate::logs::Value;

/// Maximum number of records in a transaction: its two conditions and its write of the chain's key
/// count against the store's limit too.
const MAX_RECORDS: usize = MAX_TRANSACTION_ENTRIES - 3;
/// Deadline of a short write.
const DEADLINE: Duration = Duration::from_millis(900);
/// Rate of the slowest link, in bytes of a value per millisecond; values are sent in base64.
const MIN_LINK_RATE: u64 = 500;
/// Length of the values from which no further record is added to a transaction, in bytes.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Time until a record that the store has refused is tried again.
const REFUSED_PAUSE: Duration = Duration::from_secs(10);
/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(120);
/// Interval of the searches for jobs that ended long ago.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of jobs that are removed at once: each has two keys.
const MAX_EXPIRED: usize = MAX_RECORDS / 2;

/// Contents of one write.
#[derive(Default)]
struct Batch {
    versions: Vec<(Id, u64)>,
    puts: Vec<Put>,
    removals: Vec<String>,
}

impl Batch {
    /// Returns the length of all values, in bytes.
    fn bytes(&self) -> usize {
        self.puts.iter().map(|put| put.value.len()).sum()
    }
}

/// Result of a write.
enum Outcome {
    /// The store has carried it out.
    Done,
    /// The store has refused its contents, and would refuse them again; with the cause.
    Refused(String),
}

/// Which records are written next.
struct Queue {
    /// The last job in the last batch: the next batch continues after it, so that a job that changes
    /// all the time leaves room to the others.
    last: Id,
    /// Jobs to write one by one, since the store has refused a batch with them.
    isolated: Vec<Id>,
    /// Jobs whose records the store has refused, with the time of the next attempt.
    refused: BTreeMap<Id, Millis>,
    /// Longest value that the store takes, in bytes.
    limit: usize,
}

/// Writes records until leadership is lost, and returns the cause of the loss.
///
/// A record that the store refuses for good holds up no other one: its job starts no further run,
/// and the record is tried again from time to time.
pub async fn run(entry: &Entry, planner: &Arc<Planner>, term: &Term) -> &'static str {
    let mut chain_revision = term.chain_revision;
    let mut serial = 0u64;
    let mut last_expiry = clock::boot();
    let mut queue = Queue {
        last: Id(0),
        isolated: Vec::new(),
        refused: BTreeMap::new(),
        limit: entry.settings.store_value_bytes,
    };
    loop {
        let mut batch = take_dirty(planner, &mut queue);
        if batch.puts.is_empty() {
            if EXPIRE_INTERVAL <= clock::boot().since(last_expiry) {
                last_expiry = clock::boot();
                batch.removals = expire(planner);
            }
            if batch.removals.is_empty() {
                if queue.isolated.is_empty() {
                    let _ = time::timeout(EXPIRE_INTERVAL, planner.dirty.notified()).await;
                }
                continue;
            }
        }
        serial += 1;
        let mark = chain::mark(term.lease, serial);
        let deadline = DEADLINE + Duration::from_millis(batch.bytes() as u64 / MIN_LINK_RATE);
        let Batch { versions, puts, removals } = batch;
        match write(entry, term, &mut chain_revision, &mark, puts, removals, deadline).await {
            Ok(Outcome::Done) => {
                let mut tables = planner.tables();
                for (id, version) in versions {
                    if queue.refused.remove(&id).is_some() {
                        log::info!("event=record-stored-again job={id}");
                    }
                    records::mark_stored(&mut tables, id, version);
                }
                drop(tables);
                planner.wake.notify_one();
            }
            Ok(Outcome::Refused(cause)) => match versions.as_slice() {
                [] => log::error!("event=removal-refused mark={mark} cause={}", Value(&cause)),
                [(id, _)] => defer(planner, &mut queue, *id, &cause),
                versions => queue.isolated.extend(versions.iter().map(|(id, _)| *id)),
            },
            Err(cause) => return cause,
        }
    }
}

/// Takes the next records to write, and marks them as clean.
fn take_dirty(planner: &Planner, queue: &mut Queue) -> Batch {
    let now = clock::boot();
    let mut batch = Batch::default();
    let mut unwritable = Vec::new();
    {
        let mut tables = planner.tables();
        let ids: Vec<Id> = match queue.isolated.pop() {
            Some(id) => vec![id],
            None => {
                let after = tables.dirty.range((Bound::Excluded(queue.last), Bound::Unbounded));
                let all = after.chain(tables.dirty.range(..=queue.last));
                let is_deferred =
                    |id: &&Id| queue.refused.get(id).is_some_and(|until| now < *until);
                all.filter(|id| !is_deferred(id)).take(MAX_RECORDS).copied().collect()
            }
        };
        for id in ids {
            if MAX_BATCH_BYTES <= batch.bytes() {
                break;
            }
            tables.dirty.remove(&id);
            queue.last = id;
            let Some((version, progress)) = records::snapshot(&tables, id) else {
                queue.refused.remove(&id);
                continue;
            };
            match record_codec::encode_progress(&progress, queue.limit) {
                Ok(value) => {
                    batch.puts.push(Put { key: keys::progress(id), value, lease: 0 });
                    batch.versions.push((id, version));
                }
                Err(cause) => unwritable.push((id, cause.to_string())),
            }
        }
    }
    for (id, cause) in unwritable {
        defer(planner, queue, id, &cause);
    }
    batch
}

/// Defers a record that the store refuses.
fn defer(planner: &Planner, queue: &mut Queue, id: Id, cause: &str) {
    counter!("lavendergauge_records_refused_total").increment(1);
    if queue.refused.insert(id, clock::boot() + REFUSED_PAUSE).is_none() {
        log::error!("event=record-unwritable job={id} cause={}", Value(cause));
    }
    planner.tables().dirty.insert(id);
}

/// Removes jobs that ended long ago from the tables; returns their keys in the store.
fn expire(planner: &Planner) -> Vec<String> {
    let mut tables = planner.tables();
    let ids = records::expire(&mut tables, clock::wall_ms(), MAX_EXPIRED);
    ids.iter().flat_map(|id| [keys::job(*id), keys::progress(*id)]).collect()
}

/// Repeats a write until its outcome is known; each attempt ends after `deadline`.
///
/// Each write is conditional on the chain's key and replaces it, so that at most one attempt of a
/// write takes effect, however late the store executes it. The key's value, `mark`, identifies the
/// write, so that an earlier attempt that took effect is recognised.
///
/// # Errors
/// The cause for which leadership is lost.
async fn write(
    entry: &Entry,
    term: &Term,
    chain_revision: &mut u64,
    mark: &str,
    puts: Vec<Put>,
    removals: Vec<String>,
    deadline: Duration,
) -> Result<Outcome, &'static str> {
    let mut all_puts =
        vec![Put { key: keys::CHAIN.to_owned(), value: mark.to_owned().into(), lease: 0 }];
    all_puts.extend(puts);
    let conditions = vec![
        (keys::LEADER.to_owned(), term.leader_revision),
        (keys::CHAIN.to_owned(), *chain_revision),
    ];
    let transaction = Transaction { conditions, puts: all_puts, removals };
    let mut has_failed = false;
    loop {
        match entry.store.commit(&transaction, deadline).await {
            Ok(CommitOutcome::Done(revision)) => {
                *chain_revision = revision;
                if has_failed {
                    log::info!("event=record-written mark={mark}");
                }
                return Ok(Outcome::Done);
            }
            Ok(CommitOutcome::Conflict(items)) => {
                let own_write = items
                    .iter()
                    .find(|item| item.key == keys::CHAIN && item.value.as_ref() == mark.as_bytes());
                if let Some(item) = own_write {
                    log::info!(
                        "event=record-written mark={mark} cause=\"an earlier attempt took effect\""
                    );
                    *chain_revision = item.revision;
                    return Ok(Outcome::Done);
                }
                return Err("another planner has written");
            }
            Ok(CommitOutcome::NoLease) => return Err("lease has ended"),
            Err(Error::Refused(cause)) => return Ok(Outcome::Refused(cause)),
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    let has_no_effect = error.has_no_effect();
                    let cause = error.to_string();
                    log::warn!(
                        "event=record-not-written mark={mark} in_doubt={} cause={}",
                        !has_no_effect,
                        Value(&cause)
                    );
                    term.store_failed.notify_one();
                }
                time::sleep(PAUSE).await;
            }
        }
    }
}
