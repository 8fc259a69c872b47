//! Writes the planner's records, many jobs a transaction, and settles writes without an answer.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::load;
use lavendergauge_platform::Error;
use lavendergauge_platform::store::Committed;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::TRANSACTION_ENTRIES;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::lead::Tenure;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Most records in a transaction; the two conditions and the chain's key are entries too.
const RECORDS: usize = TRANSACTION_ENTRIES - 3;
/// Deadline of one write.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause after a write that was not done.
const PAUSE: Duration = Duration::from_millis(120);
/// Interval at which jobs that ended long ago are looked for.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);
/// Most jobs that are forgotten at once: each has two keys.
const EXPIRE_MOST: usize = RECORDS / 2;

/// What one write holds.
struct Batch {
    versions: Vec<(Id, u64)>,
    puts: Vec<Put>,
    removals: Vec<String>,
}

/// Writes records until the duty is lost.
pub async fn run(entry: &Entry, planner: &Arc<Planner>, tenure: &Tenure) -> &'static str {
    let mut chain = tenure.chain;
    let mut serial = 0u64;
    let mut expired = clock::boot();
    loop {
        let mut batch = gather(planner);
        if batch.puts.is_empty() {
            if EXPIRE_EVERY <= clock::boot().since(expired) {
                expired = clock::boot();
                batch.removals = expire(planner);
            }
            if batch.removals.is_empty() {
                let _ = time::timeout(EXPIRE_EVERY, planner.dirty.notified()).await;
                continue;
            }
        }
        serial += 1;
        let mark = format!("{}.{serial}", tenure.fence);
        match write(entry, tenure, &mut chain, &mark, batch.puts, batch.removals).await {
            Ok(()) => {
                let mut tables = planner.tables();
                for (id, version) in batch.versions {
                    load::stored(&mut tables, id, version);
                }
                drop(tables);
                planner.wake.notify_one();
            }
            Err(cause) => return cause,
        }
    }
}

/// Takes the records that have to be written next.
fn gather(planner: &Planner) -> Batch {
    let mut tables = planner.tables();
    let ids: Vec<Id> = tables.dirty.iter().take(RECORDS).copied().collect();
    let mut batch = Batch { versions: Vec::new(), puts: Vec::new(), removals: Vec::new() };
    for id in ids {
        tables.dirty.remove(&id);
        let Some((version, progress)) = load::snapshot(&tables, id) else { continue };
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

/// Forgets jobs that ended long ago.
fn expire(planner: &Planner) -> Vec<String> {
    let mut tables = planner.tables();
    let ids = load::expire(&mut tables, clock::wall_ms(), EXPIRE_MOST);
    ids.iter().flat_map(|id| [keys::job(*id), keys::progress(*id)]).collect()
}

/// Writes until the outcome is certain; each write replaces the chain's key, so that of the tries
/// of one write at most one is carried out, however late.
async fn write(
    entry: &Entry,
    tenure: &Tenure,
    chain: &mut u64,
    mark: &str,
    puts: Vec<Put>,
    removals: Vec<String>,
) -> Result<(), &'static str> {
    let mut all =
        vec![Put { key: keys::CHAIN.to_owned(), value: mark.to_owned().into(), lease: 0 }];
    all.extend(puts);
    let conditions =
        vec![(keys::LEAD.to_owned(), tenure.revision), (keys::CHAIN.to_owned(), *chain)];
    let transaction = Transaction { conditions, puts: all, removals };
    let mut failed = false;
    loop {
        match entry.store.commit(&transaction, DEADLINE).await {
            Ok(Committed::Done(revision)) => {
                *chain = revision;
                if failed {
                    log::info!("event=record-written mark={mark}");
                }
                return Ok(());
            }
            Ok(Committed::Conflict(items)) => {
                let ours = items
                    .iter()
                    .find(|item| item.key == keys::CHAIN && item.value.as_ref() == mark.as_bytes());
                if let Some(item) = ours {
                    log::info!(
                        "event=record-written mark={mark} cause=\"an earlier try was done\""
                    );
                    *chain = item.revision;
                    return Ok(());
                }
                return Err("another planner has written");
            }
            Ok(Committed::NoLease) => return Err("lease has ended"),
            Err(error) => {
                if !std::mem::replace(&mut failed, true) {
                    let known = matches!(error, Error::NotDone(_));
                    let cause = error.to_string();
                    log::warn!(
                        "event=record-not-written mark={mark} in_doubt={} cause={}",
                        !known,
                        Value(&cause)
                    );
                    tenure.doubt.notify_one();
                }
                time::sleep(PAUSE).await;
            }
        }
    }
}
