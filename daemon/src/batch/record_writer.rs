//! Writes the planner's records, many jobs per transaction, and retries writes that are in doubt.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::records;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::MAX_TRANSACTION_ENTRIES;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::leader::Term;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Maximum number of records in a transaction: its two conditions and its write of the chain's key
/// count against the store's limit too.
const MAX_RECORDS: usize = MAX_TRANSACTION_ENTRIES - 3;
/// Deadline of one write.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(120);
/// Interval of the searches for jobs that ended long ago.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of jobs that are removed at once: each has two keys.
const MAX_EXPIRED: usize = MAX_RECORDS / 2;

/// Contents of one write.
struct Batch {
    versions: Vec<(Id, u64)>,
    puts: Vec<Put>,
    removals: Vec<String>,
}

/// Writes records until leadership is lost, and returns the cause of the loss.
pub async fn run(entry: &Entry, planner: &Arc<Planner>, term: &Term) -> &'static str {
    let mut chain_revision = term.chain_revision;
    let mut serial = 0u64;
    let mut last_expiry = clock::boot();
    loop {
        let mut batch = take_dirty(planner);
        if batch.puts.is_empty() {
            if EXPIRE_INTERVAL <= clock::boot().since(last_expiry) {
                last_expiry = clock::boot();
                batch.removals = expire(planner);
            }
            if batch.removals.is_empty() {
                let _ = time::timeout(EXPIRE_INTERVAL, planner.dirty.notified()).await;
                continue;
            }
        }
        serial += 1;
        let mark = format!("{}.{serial}", term.fence);
        match write(entry, term, &mut chain_revision, &mark, batch.puts, batch.removals).await {
            Ok(()) => {
                let mut tables = planner.tables();
                for (id, version) in batch.versions {
                    records::mark_stored(&mut tables, id, version);
                }
                drop(tables);
                planner.wake.notify_one();
            }
            Err(cause) => return cause,
        }
    }
}

/// Takes the next records to write, and marks them as clean.
fn take_dirty(planner: &Planner) -> Batch {
    let mut tables = planner.tables();
    let ids: Vec<Id> = tables.dirty.iter().take(MAX_RECORDS).copied().collect();
    let mut batch = Batch { versions: Vec::new(), puts: Vec::new(), removals: Vec::new() };
    for id in ids {
        tables.dirty.remove(&id);
        let Some((version, progress)) = records::snapshot(&tables, id) else { continue };
        match codec::pack(&progress) {
            Ok(value) => {
                batch.puts.push(Put { key: keys::progress(id), value, lease: 0 });
                batch.versions.push((id, version));
            }
            Err(cause) => {
                log::error!("event=record-unwritable job={id} cause={}", Value(&cause.to_string()));
            }
        }
    }
    batch
}

/// Removes jobs that ended long ago from the tables; returns their keys in the store.
fn expire(planner: &Planner) -> Vec<String> {
    let mut tables = planner.tables();
    let ids = records::expire(&mut tables, clock::wall_ms(), MAX_EXPIRED);
    ids.iter().flat_map(|id| [keys::job(*id), keys::progress(*id)]).collect()
}

/// Repeats a write until its outcome is known.
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
) -> Result<(), &'static str> {
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
        match entry.store.commit(&transaction, DEADLINE).await {
            Ok(CommitOutcome::Done(revision)) => {
                *chain_revision = revision;
                if has_failed {
                    log::info!("event=record-written mark={mark}");
                }
                return Ok(());
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
                    return Ok(());
                }
                return Err("another planner has written");
            }
            Ok(CommitOutcome::NoLease) => return Err("lease has ended"),
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
