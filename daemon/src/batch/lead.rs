//! The planner's duty: one entry at a time holds it by a lease in the store.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::batch::table;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::Error;
use lavendergauge_platform::store::Committed;
use lavendergauge_platform::store::Event;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Store;
use lavendergauge_platform::store::Transaction;
use lavendergauge_platform::store::Watched;
use lavendergauge_wire::codec;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::planner;
use crate::batch::roster;
use crate::clock;
use crate::logs::Value;

/// Lease of the duty: the time in which nobody plans after its holder's machine went dark. It holds
/// through a store that takes half a second for each answer.
const LEASE: Duration = Duration::from_millis(1500);
/// Part of the lease that its holder does not rely on.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// Interval of renewals.
const RENEW_EVERY: Duration = Duration::from_millis(400);
/// Deadline of a renewal.
const RENEW_DEADLINE: Duration = Duration::from_millis(600);
/// Pause after a renewal that failed.
const RENEW_AGAIN: Duration = Duration::from_millis(150);
/// Time for which renewals fail before the duty is offered to others: longer than a hiccup.
const OFFER_AFTER: Duration = Duration::from_millis(200);
/// Deadline of the look by which an entry tells whether the store serves it well.
const PROBE_DEADLINE: Duration = Duration::from_millis(200);
/// Deadline of the call that ends another entry's lease.
const SUCCEED_DEADLINE: Duration = Duration::from_millis(300);
/// Longest wait of one watch of the duty.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Deadline of other calls.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);

/// Who holds the duty.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// Name of the entry.
    pub name: String,
    /// Address that the fleet's processes reach it at.
    pub address: String,
    /// Drawn anew by each process.
    pub session: u64,
    /// The store's lease that the duty is held by.
    pub lease: u64,
}

/// One time of holding the duty.
pub struct Tenure {
    /// Fencing token.
    pub fence: u64,
    /// Revision of the duty's key.
    pub revision: u64,
    /// Revision of the chain's key.
    pub chain: u64,
    /// Tells that an agent knows a higher fencing token.
    pub deposed: Notify,
    /// Tells that the store has failed the planner, so that the lease is looked at at once.
    pub doubt: Notify,
    lease: u64,
    sure_until: AtomicU64,
}

impl Tenure {
    /// Tells whether a worker's tasks may still be let run on.
    pub fn may_grant(&self) -> bool {
        clock::boot() < Millis(self.sure_until.load(Ordering::Relaxed)) + table::GRANT_UNSURE
    }

    fn confirm(&self, asked: Millis) {
        let until = asked + (LEASE - LEASE_MARGIN);
        self.sure_until.store(until.0, Ordering::Relaxed);
    }
}

/// Watches the duty, takes it when nobody holds it, and plans while this entry does.
pub async fn follow(entry: Arc<Entry>) {
    loop {
        // A list tells the store's revision too; the key's own may be older than the history.
        let (found, revision) = match entry.store.list(keys::LEAD, DEADLINE).await {
            Ok((items, revision)) => (items.into_iter().next(), revision),
            Err(error) => {
                log::debug!("event=lead-unknown cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
                continue;
            }
        };
        match found {
            Some(item) => {
                if let Some(lease) = note(&entry, &item) {
                    end_predecessor(&entry, lease).await;
                }
                wait_for_end(&entry.store, revision).await;
            }
            None if *entry.stopping.borrow() => time::sleep(PAUSE).await,
            None => match take(&entry).await {
                Ok(Some(tenure)) => hold(&entry, Arc::new(tenure)).await,
                Ok(None) => {}
                Err(error) => {
                    log::warn!("event=lead-not-taken cause={}", Value(&error.to_string()));
                    time::sleep(PAUSE).await;
                }
            },
        }
    }
}

/// Ends the lease of this entry's last process, so that nobody has to wait for it to run out.
async fn end_predecessor(entry: &Entry, lease: u64) {
    if end_lease(&entry.store, lease, DEADLINE).await {
        log::info!("event=predecessor-ended planner={} lease={lease}", entry.name);
    }
}

/// Ends a lease of the duty; tells whether it has ended.
pub async fn end_lease(store: &Store, lease: u64, deadline: Duration) -> bool {
    match store.revoke(lease, deadline).await {
        Ok(()) => true,
        Err(error) => {
            log::warn!("event=lease-not-revoked cause={}", Value(&error.to_string()));
            false
        }
    }
}

/// Takes in who holds the duty; returns its lease when the holder is dead for certain.
///
/// It is when it was reached at this entry's own address, where only one process listens.
fn note(entry: &Entry, item: &Item) -> Option<u64> {
    match codec::unpack::<Leader>(&item.value) {
        Ok(leader) => {
            let changed = entry.leader.borrow().as_ref() != Some(&leader);
            if changed {
                log::info!("event=planner-known planner={} fence={}", leader.name, item.created);
                entry.leader.send_replace(Some(leader.clone()));
            }
            let predecessor = leader.address == entry.settings.advertised_address
                && leader.session != entry.session;
            predecessor.then_some(leader.lease)
        }
        Err(cause) => {
            log::error!("event=lead-unreadable cause={}", Value(&cause.to_string()));
            None
        }
    }
}

/// Waits until the duty may be free; it is read again after each wait.
async fn wait_for_end(store: &Store, mut revision: u64) {
    loop {
        match store.watch(keys::LEAD, revision, WATCH_WAIT).await {
            Ok(Watched::Events(events, _))
                if events.iter().any(|event| matches!(event, Event::Removed(_))) =>
            {
                return;
            }
            Ok(Watched::Events(events, at)) if events.is_empty() => revision = at,
            Ok(Watched::Events(..)) => return,
            Ok(Watched::Compacted) => {
                time::sleep(PAUSE).await;
                return;
            }
            Err(error) => {
                log::debug!("event=watch-failed cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
                return;
            }
        }
    }
}

/// Tries to take the duty; `None` when another entry was faster.
async fn take(entry: &Entry) -> Result<Option<Tenure>, Error> {
    let asked = clock::boot();
    let lease = entry.store.grant(LEASE, DEADLINE).await?;
    let leader = Leader {
        name: entry.name.clone(),
        address: entry.settings.advertised_address.clone(),
        session: entry.session,
        lease,
    };
    let value = codec::pack(&leader).map_err(|error| Error::NotDone(error.to_string()))?;
    let transaction = Transaction {
        conditions: vec![(keys::LEAD.to_owned(), 0)],
        puts: vec![
            Put { key: keys::LEAD.to_owned(), value, lease },
            Put { key: keys::CHAIN.to_owned(), value: lease.to_string().into(), lease: 0 },
        ],
        removals: Vec::new(),
    };
    let revision = match entry.store.commit(&transaction, DEADLINE).await {
        Ok(Committed::Done(revision)) => revision,
        Ok(_) => {
            entry.store.revoke(lease, DEADLINE).await?;
            return Ok(None);
        }
        Err(error) => {
            // The key may be there by now, or come later; with its lease gone it cannot stay.
            entry.store.revoke(lease, DEADLINE).await?;
            return Err(error);
        }
    };
    let tenure = Tenure {
        fence: revision,
        revision,
        chain: revision,
        deposed: Notify::new(),
        doubt: Notify::new(),
        lease,
        sure_until: AtomicU64::new(0),
    };
    tenure.confirm(asked);
    entry.leader.send_replace(Some(leader));
    Ok(Some(tenure))
}

/// Plans until the duty is lost or the process stops.
async fn hold(entry: &Arc<Entry>, tenure: Arc<Tenure>) {
    log::info!("event=duty-taken planner={} fence={}", entry.name, tenure.fence);
    let mut stopping = entry.stopping.subscribe();
    let cause = tokio::select! {
        cause = renew(entry, &tenure) => cause,
        cause = planner::run(entry, &tenure) => cause,
        () = tenure.deposed.notified() => "an agent follows a newer planner",
        _ = stopping.wait_for(|stopping| *stopping) => "process stops",
    };
    entry.set_planner(None);
    entry.leader.send_replace(None);
    log::info!("event=duty-lost planner={} fence={} cause=\"{cause}\"", entry.name, tenure.fence);
    end_lease(&entry.store, tenure.lease, DEADLINE).await;
}

async fn renew(entry: &Arc<Entry>, tenure: &Tenure) -> &'static str {
    let mut unsure: Option<Millis> = None;
    loop {
        let asked = clock::boot();
        match entry.store.renew(tenure.lease, RENEW_DEADLINE).await {
            Ok(true) => {
                tenure.confirm(asked);
                if unsure.take().is_some() {
                    log::info!("event=lease-renewed fence={}", tenure.fence);
                }
                let _ = time::timeout(RENEW_EVERY, tenure.doubt.notified()).await;
            }
            Ok(false) => return "lease has ended",
            Err(error) => {
                if unsure.is_none() {
                    let cause = error.to_string();
                    log::warn!(
                        "event=lease-not-renewed fence={} cause={}",
                        tenure.fence,
                        Value(&cause)
                    );
                }
                let since = *unsure.get_or_insert(asked);
                if !tenure.may_grant() {
                    return "lease not renewed for too long";
                }
                if OFFER_AFTER <= clock::boot().since(since)
                    && roster::offer(entry, tenure.lease).await
                {
                    return "handed over to an entry that the store serves";
                }
                time::sleep(RENEW_AGAIN).await;
            }
        }
    }
}

/// Ends the lease of a planner that the store turns away, if the store serves this entry well.
pub async fn on_succeed(entry: &Entry, lease: u64) -> bool {
    if *entry.stopping.borrow() {
        return false;
    }
    if let Err(error) = entry.store.read(keys::LEAD, PROBE_DEADLINE).await {
        log::info!("event=offer-declined cause={}", Value(&error.to_string()));
        return false;
    }
    let ended = end_lease(&entry.store, lease, SUCCEED_DEADLINE).await;
    if ended {
        log::info!("event=offer-taken lease={lease}");
    }
    ended
}
