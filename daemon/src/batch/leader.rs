//! Leadership: one entry at a time is the leader, by a lease in the store, and runs the planner.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::batch::leadership;
use lavendergauge_lib::batch::leadership::Lease;
use lavendergauge_lib::batch::succession;
use lavendergauge_lib::batch::succession::Peer;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::Error;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::Event;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Store;
use lavendergauge_platform::store::Transaction;
use lavendergauge_platform::store::WatchOutcome;
use lavendergauge_wire::codec;
use metrics::histogram;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;

use crate::batch::chain;
use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::planner;
use crate::batch::roster;
use crate::clock;
use crate::logs::Value;

/// Interval of renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Deadline of a renewal.
const RENEW_DEADLINE: Duration = Duration::from_millis(600);
/// Pause after a renewal that failed.
const RENEW_PAUSE: Duration = Duration::from_millis(150);
/// Time for which renewals fail before leadership is offered to other entries; a brief disturbance
/// of the store is shorter.
const OFFER_AFTER: Duration = Duration::from_millis(200);
/// Deadline of the read by which an entry checks whether the store serves it well.
const PROBE_DEADLINE: Duration = Duration::from_millis(200);
/// Deadline of the call that ends another entry's lease.
const REVOKE_DEADLINE: Duration = Duration::from_millis(300);
/// Longest wait of one watch of the leader's key.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Time for which a key of another writer is left in place of the leader's: a leader whose key it
/// has replaced detects that by its watch, and ends its term, before that.
const FOREIGN_WAIT: Duration = Duration::from_millis(4000);
/// Deadline of other calls.
const DEADLINE: Duration = Duration::from_millis(900);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);

/// The value of the leader's key: the entry that is the leader.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// Name of the entry.
    pub name: String,
    /// Address at which the fleet's processes reach it.
    pub address: String,
    /// Random number that identifies its process.
    pub session: u64,
    /// The store's lease that the leader's key is attached to.
    pub lease: u64,
}

/// One term of this entry as the leader.
pub struct Term {
    /// Fencing token.
    pub fence: u64,
    /// Revision of the leader's key.
    pub leader_revision: u64,
    /// Revision of the chain's key at the start of the term.
    pub chain_revision: u64,
    /// Notified when an agent that has followed this term refuses it.
    pub deposed: Notify,
    /// Notified when a write of the planner failed, so that the lease is renewed at once.
    pub store_failed: Notify,
    /// The lease that the leader's key is attached to.
    pub lease: u64,
    /// [`Lease::confirmed_at`], in milliseconds.
    lease_confirmed_at: AtomicU64,
}

impl Term {
    /// Tells whether the planner may still give grants, see [`Lease::can_grant`].
    pub fn can_grant(&self) -> bool {
        self.lease().can_grant(clock::boot())
    }

    /// Tells whether the planner may still give orders to the platform, see [`Lease::can_order`].
    ///
    /// Check it after the last wait before an order is sent.
    pub fn can_order(&self) -> bool {
        self.lease().can_order(clock::boot())
    }

    fn lease(&self) -> Lease {
        Lease { confirmed_at: Millis(self.lease_confirmed_at.load(Ordering::Relaxed)) }
    }

    /// Extends the validity of the lease by a grant or renewal that was sent at `sent_at`.
    fn confirm_lease(&self, sent_at: Millis) {
        let lease = Lease::confirmed(sent_at);
        self.lease_confirmed_at.store(lease.confirmed_at.0, Ordering::Relaxed);
    }
}

/// Watches the leader's key, acquires leadership when it is free, and plans while it lasts.
pub async fn follow(entry: Arc<Entry>) {
    let mut has_waited = false;
    // When a key of another writer was first found in place of the leader's.
    let mut foreign_since: Option<Millis> = None;
    // Fencing token of this entry's last term, once its lease has ended.
    let mut ended_fence: Option<u64> = None;
    loop {
        // A list also returns the store's revision; the key's own may already be compacted away.
        let (found, revision) = match entry.store.list(keys::LEADER, DEADLINE).await {
            Ok((items, revision)) => {
                // Another writer may have added a key that begins with this one.
                (items.into_iter().find(|item| item.key == keys::LEADER), revision)
            }
            Err(error) => {
                log::debug!("event=lead-unknown cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
                continue;
            }
        };
        match found {
            Some(item) => match leader_of(&item) {
                Some(leader) => {
                    (has_waited, foreign_since) = (false, None);
                    if let Some(lease) = update_leader(&entry, leader, item.created_revision) {
                        end_predecessor(&entry, lease).await;
                    }
                    wait_for_vacancy(&entry.store, revision).await;
                }
                None => {
                    let since = *foreign_since.get_or_insert_with(clock::boot);
                    // A key that this entry's last term created has had no other leader since.
                    let is_own = ended_fence == Some(item.created_revision);
                    if is_own || FOREIGN_WAIT <= clock::boot().since(since) {
                        remove_foreign(&entry, &item).await;
                    } else {
                        time::sleep(PAUSE).await;
                    }
                }
            },
            None if *entry.stopping.borrow() => time::sleep(PAUSE).await,
            // Entries on stronger VMs go first.
            None if !std::mem::replace(&mut has_waited, true) => {
                let own = Peer {
                    address: entry.settings.advertised_address.clone(),
                    strength: entry.settings.strength,
                };
                time::sleep(succession::delay(&own, &entry.roster.peers(&entry))).await;
            }
            // Another writer may have removed the key, which leaves the lease of its leader valid.
            None if !end_earlier_leases(&entry).await => {}
            None => match acquire(&entry).await {
                Ok(Some(term)) => {
                    let fence = term.fence;
                    ended_fence = serve_term(&entry, Arc::new(term)).await.then_some(fence);
                    (has_waited, foreign_since) = (false, None);
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!("event=lead-not-taken cause={}", Value(&error.to_string()));
                    time::sleep(PAUSE).await;
                }
            },
        }
    }
}

/// Ends the lease of this entry's previous process, so that leadership is free before it expires.
async fn end_predecessor(entry: &Entry, lease: u64) {
    if end_lease(&entry.store, lease, DEADLINE).await {
        log::info!("event=predecessor-ended planner={} lease={lease}", entry.name);
    }
}

/// Ends the leases of the leader that was known last and of the newest one, which this entry may never
/// have known; returns whether they have ended and leadership is still free. Pauses after a failure.
///
/// A leader that can still renew its lease would grant beside its successor.
async fn end_earlier_leases(entry: &Entry) -> bool {
    let known = entry.leader.borrow().as_ref().map(|leader| leader.lease);
    let newest = match newest_vacant_lease(&entry.store).await {
        Ok(Vacancy::Taken) => return false,
        Ok(Vacancy::After(lease)) => lease,
        Err(error) => {
            log::warn!("event=chain-unknown cause={}", Value(&error.to_string()));
            time::sleep(PAUSE).await;
            return false;
        }
    };
    for lease in known.into_iter().chain(newest.filter(|lease| known != Some(*lease))) {
        if !end_lease(&entry.store, lease, DEADLINE).await {
            time::sleep(PAUSE).await;
            return false;
        }
    }
    true
}

/// Whether leadership is free.
enum Vacancy {
    /// It is not: there is a leader's key.
    Taken,
    /// It is, after the term with this lease; `None` if the chain's key names none.
    After(Option<u64>),
}

/// Reads the lease of the newest term, if that term is over.
///
/// An acquisition writes the leader's and the chain's key together. The chain's is read first: a leader's
/// key that is absent afterwards is absent after the term that the chain names, and the lease is not that
/// of an entry that has taken over meanwhile.
async fn newest_vacant_lease(store: &Store) -> Result<Vacancy, Error> {
    let chain = store.read(keys::CHAIN, DEADLINE).await?;
    if store.read(keys::LEADER, DEADLINE).await?.is_some() {
        return Ok(Vacancy::Taken);
    }
    Ok(Vacancy::After(chain.and_then(|item| chain::lease_of(&item.value))))
}

/// Revokes a leader's lease; returns whether it has ended.
pub async fn end_lease(store: &Store, lease: u64, deadline: Duration) -> bool {
    match store.revoke(lease, deadline).await {
        Ok(()) => true,
        Err(error) => {
            log::warn!("event=lease-not-revoked cause={}", Value(&error.to_string()));
            false
        }
    }
}

/// Returns the leader that the leader's key names; `None` for a value of another writer.
///
/// An entry attaches the key to the lease that its value names, so that the key ends with the lease.
/// No lease ends any other value, and nothing shows that its writer leads.
fn leader_of(item: &Item) -> Option<Leader> {
    match codec::unpack::<Leader>(&item.value) {
        Ok(leader) if leader.lease != 0 && leader.lease == item.lease => Some(leader),
        Ok(leader) => {
            let (named, lease) = (leader.lease, item.lease);
            log::warn!("event=lead-foreign named_lease={named} lease={lease}");
            None
        }
        Err(cause) => {
            log::error!("event=lead-unreadable cause={}", Value(&cause.to_string()));
            None
        }
    }
}

/// Removes a key that another writer has put in place of the leader's, unless it has changed.
async fn remove_foreign(entry: &Entry, item: &Item) {
    let transaction = Transaction {
        conditions: vec![(keys::LEADER.to_owned(), item.revision)],
        removals: vec![keys::LEADER.to_owned()],
        ..Transaction::default()
    };
    match entry.store.commit(&transaction, DEADLINE).await {
        Ok(CommitOutcome::Done(_)) => {
            log::warn!("event=lead-foreign-removed revision={}", item.revision);
        }
        Ok(_) => time::sleep(PAUSE).await,
        Err(error) => {
            log::warn!("event=lead-foreign-kept cause={}", Value(&error.to_string()));
            time::sleep(PAUSE).await;
        }
    }
}

/// Updates the known leader; returns its lease when the leader's process has certainly ended.
///
/// That is so when it has this entry's own address, where only one process can listen, and another
/// session.
fn update_leader(entry: &Entry, leader: Leader, fence: u64) -> Option<u64> {
    let has_changed = entry.leader.borrow().as_ref() != Some(&leader);
    let is_predecessor =
        leader.address == entry.settings.advertised_address && leader.session != entry.session;
    let lease = leader.lease;
    if has_changed {
        log::info!("event=planner-known planner={} fence={fence}", leader.name);
        entry.leader.send_replace(Some(leader));
    }
    is_predecessor.then_some(lease)
}

/// Waits until leadership may be free; the caller reads the key again after each wait.
async fn wait_for_vacancy(store: &Store, mut revision: u64) {
    loop {
        match store.watch(keys::LEADER, revision, WATCH_WAIT).await {
            Ok(WatchOutcome::Events(events, _))
                if events.iter().any(|event| *event == Event::Removed(keys::LEADER.to_owned())) =>
            {
                return;
            }
            Ok(WatchOutcome::Events(events, at)) if events.is_empty() => revision = at,
            Ok(WatchOutcome::Events(..)) => return,
            Ok(WatchOutcome::Compacted) => {
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

/// Tries to acquire leadership; `None` when another entry was faster.
async fn acquire(entry: &Entry) -> Result<Option<Term>, Error> {
    let sent_at = clock::boot();
    let lease = entry.store.grant(leadership::LEASE, DEADLINE).await?;
    let leader = Leader {
        name: entry.name.clone(),
        address: entry.settings.advertised_address.clone(),
        session: entry.session,
        lease,
    };
    let value = codec::pack(&leader).map_err(|error| Error::NotDone(error.to_string()))?;
    let transaction = Transaction {
        conditions: vec![(keys::LEADER.to_owned(), 0)],
        puts: vec![
            Put { key: keys::LEADER.to_owned(), value, lease },
            Put { key: keys::CHAIN.to_owned(), value: chain::mark(lease, 0).into(), lease: 0 },
        ],
        removals: Vec::new(),
    };
    let revision = match entry.store.commit(&transaction, DEADLINE).await {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(_) => {
            entry.store.revoke(lease, DEADLINE).await?;
            return Ok(None);
        }
        Err(error) => {
            // The key may exist by now or appear later; it cannot outlive its lease.
            entry.store.revoke(lease, DEADLINE).await?;
            return Err(error);
        }
    };
    let term = Term {
        fence: revision,
        leader_revision: revision,
        chain_revision: revision,
        deposed: Notify::new(),
        store_failed: Notify::new(),
        lease,
        lease_confirmed_at: AtomicU64::new(0),
    };
    term.confirm_lease(sent_at);
    entry.leader.send_replace(Some(leader));
    Ok(Some(term))
}

/// Plans until leadership is lost or the process stops; returns whether the lease has ended.
async fn serve_term(entry: &Arc<Entry>, term: Arc<Term>) -> bool {
    log::info!("event=duty-taken planner={} fence={}", entry.name, term.fence);
    let mut stopping = entry.stopping.subscribe();
    let cause = tokio::select! {
        cause = renew_lease(entry, &term) => cause,
        cause = planner::run(entry, &term) => cause,
        cause = watch_key(entry, &term) => cause,
        () = term.deposed.notified() => "an agent follows a newer planner",
        _ = stopping.wait_for(|stopping| *stopping) => "process stops",
    };
    // Without them, this entry would not know that it has to leave the leadership to a stronger one.
    entry.roster.keep_present();
    entry.set_planner(None);
    entry.leader.send_replace(None);
    log::info!("event=duty-lost planner={} fence={} cause=\"{cause}\"", entry.name, term.fence);
    end_lease(&entry.store, term.lease, DEADLINE).await
}

/// Waits until the leader's key is no longer the one that this term has written; returns the cause.
///
/// The other entries believe the key: a lease that can still be renewed proves nothing once the key
/// has been replaced or removed.
async fn watch_key(entry: &Entry, term: &Term) -> &'static str {
    let mut revision = term.leader_revision;
    loop {
        match entry.store.watch(keys::LEADER, revision, WATCH_WAIT).await {
            Ok(WatchOutcome::Events(events, at)) => {
                if events.iter().any(|event| event.key() == keys::LEADER) {
                    return "the leader's key has changed";
                }
                revision = at;
                continue;
            }
            Ok(WatchOutcome::Compacted) => {}
            Err(error) => {
                log::debug!("event=watch-failed cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
            }
        }
        match entry.store.list(keys::LEADER, DEADLINE).await {
            Ok((items, at)) => {
                let is_own =
                    |item: &Item| item.key == keys::LEADER && item.revision == term.leader_revision;
                if !items.iter().any(is_own) {
                    return "the leader's key has changed";
                }
                revision = at;
            }
            Err(error) => {
                log::debug!("event=lead-unknown cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
            }
        }
    }
}

async fn renew_lease(entry: &Arc<Entry>, term: &Term) -> &'static str {
    let mut failing_since: Option<Millis> = None;
    let mut offers = succession::Offers::default();
    let mut watch = succession::Watch::new(clock::boot());
    let mut lag = Duration::ZERO;
    // Offers go on beside the renewals: one that waits for a silent entry must not cost the lease.
    let mut offering = JoinSet::new();
    loop {
        let sent_at = clock::boot();
        histogram!("lavendergauge_lease_renewal_delay_seconds").record(lag.as_secs_f64());
        if let Some(reason) = watch.hand_over(sent_at, lag, is_calm(entry)) {
            let (own, peers) = (entry.settings.strength, entry.roster.peers(entry));
            let successors = succession::successors(own, reason, peers);
            if !successors.is_empty() {
                let (fence, lag_ms) = (term.fence, lag.as_millis());
                log::info!("event=lead-offered fence={fence} reason={reason:?} lag_ms={lag_ms}");
                offering.spawn(roster::offer(entry.clone(), term.lease, successors));
            }
        }
        match entry.store.renew(term.lease, RENEW_DEADLINE).await {
            Ok(true) => {
                term.confirm_lease(sent_at);
                offers = succession::Offers::default();
                if failing_since.take().is_some() {
                    log::info!("event=lease-renewed fence={}", term.fence);
                    offering.abort_all();
                }
                let pause_started_at = time::Instant::now();
                tokio::select! {
                    _ = time::timeout(RENEW_INTERVAL, term.store_failed.notified()) => {}
                    Some(Ok(true)) = offering.join_next() => return "handed over to another entry",
                }
                lag = pause_started_at.elapsed().saturating_sub(RENEW_INTERVAL);
            }
            Ok(false) => return "lease has ended",
            Err(error) => {
                if failing_since.is_none() {
                    let cause = error.to_string();
                    log::warn!(
                        "event=lease-not-renewed fence={} cause={}",
                        term.fence,
                        Value(&cause)
                    );
                }
                let since = *failing_since.get_or_insert(sent_at);
                if !term.can_grant() {
                    return "lease not renewed for too long";
                }
                if OFFER_AFTER <= clock::boot().since(since) && offering.is_empty() {
                    let asked = offers.round(clock::boot(), entry.roster.peers(entry));
                    if !asked.is_empty() {
                        offering.spawn(roster::offer(entry.clone(), term.lease, asked));
                    }
                }
                tokio::select! {
                    () = time::sleep(RENEW_PAUSE) => {}
                    Some(Ok(true)) = offering.join_next() => return "handed over to another entry",
                }
            }
        }
    }
}

/// Tells whether nothing waits to be placed, recorded or ordered, so that a hand-over delays no job.
fn is_calm(entry: &Entry) -> bool {
    entry.planner().is_some_and(|planner| {
        let tables = planner.tables();
        tables.waiting.is_empty() && tables.dirty.is_empty() && tables.unsent.is_empty()
    })
}

/// Answers an offer of leadership from a leader that cannot renew its lease.
///
/// If the store serves this entry well, it revokes the leader's lease; returns whether it has.
pub async fn on_leadership_offer(entry: &Entry, lease: u64) -> bool {
    if *entry.stopping.borrow() {
        return false;
    }
    if let Err(error) = entry.store.read(keys::LEADER, PROBE_DEADLINE).await {
        log::info!("event=offer-declined cause={}", Value(&error.to_string()));
        return false;
    }
    let has_ended = end_lease(&entry.store, lease, REVOKE_DEADLINE).await;
    if has_ended {
        log::info!("event=offer-taken lease={lease}");
    }
    has_ended
}
