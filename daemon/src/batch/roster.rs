//! The other entries that are known to be alive: every entry sends presence polls to the planner's
//! entry, whose answers list the entries that do so.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lavendergauge_lib::batch::succession::Peer;
use lavendergauge_lib::batch::succession::Strength;
use lavendergauge_lib::clock::Millis;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::leader;
use crate::batch::leader::Leader;
use crate::batch::message;
use crate::batch::message::LeadershipOffer;
use crate::batch::message::Presence;
use crate::batch::message::PresencePoll;
use crate::batch::message::PresenceReply;
use crate::clock;
use crate::logs::Value;

/// Longest wait of one presence poll; it is short enough that a failure of the planner's VM is
/// detected by other means first.
const PRESENCE_WAIT: Duration = Duration::from_millis(2000);
/// Time beyond the wait after which a presence poll counts as unanswered, or a presence as expired.
const PRESENCE_SLACK: Duration = Duration::from_millis(800);
/// Pause while no other entry is known as the leader, or after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Deadline of the probe whether a process listens at the leader's address.
const PROBE_DEADLINE: Duration = Duration::from_millis(400);
/// Deadline of the call that revokes the lease of a leader whose process has ended.
const END_DEADLINE: Duration = Duration::from_millis(600);
/// Deadline of an offer of leadership, including the peer's own calls to the store.
const OFFER_DEADLINE: Duration = Duration::from_millis(700);
/// Time without an answer to an offer after which the next entry is asked too.
const NEXT_OFFER_AFTER: Duration = Duration::from_millis(250);

/// The other entries that are known to be alive.
#[derive(Default)]
pub struct Roster {
    /// At the planner: the entries that poll it by their address, with their strength and when
    /// their presence expires.
    present: Mutex<BTreeMap<String, (u32, Millis)>>,
    /// The entries in the planner's last answer.
    received: Mutex<Vec<Presence>>,
    /// Increases with each entry that becomes present.
    version: watch::Sender<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Roster {
    /// Returns the entries whose presence has not expired.
    fn present(&self) -> Vec<Presence> {
        let now = clock::boot();
        let mut present = lock(&self.present);
        present.retain(|_, (_, until)| now < *until);
        let presence = |(address, (strength, _)): (&String, &(u32, Millis))| Presence {
            address: address.clone(),
            strength: *strength,
        };
        present.iter().map(presence).collect()
    }

    /// Returns the other entries that are known to be present.
    pub fn peers(&self, entry: &Entry) -> Vec<Peer> {
        let known =
            if entry.planner().is_some() { self.present() } else { lock(&self.received).clone() };
        known
            .into_iter()
            .filter(|presence| presence.address != entry.settings.advertised_address)
            .map(|Presence { address, strength }| Peer { address, strength: Strength(strength) })
            .collect()
    }

    /// Returns the addresses of the other entries, starting with the planner's.
    pub fn others(&self, entry: &Entry) -> Vec<String> {
        let own = &entry.settings.advertised_address;
        let mut others: Vec<String> = match entry.planner() {
            Some(_) => Vec::new(),
            None => entry.leader.borrow().iter().map(|leader| leader.address.clone()).collect(),
        };
        for Peer { address, .. } in self.peers(entry) {
            if address != *own && !others.contains(&address) {
                others.push(address);
            }
        }
        others
    }

    /// Keeps the entries that are present as the known ones, when a term of this entry ends.
    pub fn keep_present(&self) {
        let present = self.present();
        *lock(&self.received) = present;
    }

    fn mark_present(&self, address: &str, strength: u32) {
        let until = clock::boot() + (PRESENCE_WAIT + PRESENCE_SLACK);
        let is_known = lock(&self.present).insert(address.to_owned(), (strength, until)).is_some();
        if !is_known {
            self.version.send_modify(|version| *version += 1);
        }
    }
}

/// Answers a presence poll.
///
/// The answer is sent at once when the sender's list of entries differs, else when the list changes
/// or the longest wait is over; also when a digest changes the decisions of a sender that uses it.
pub async fn on_presence_poll(entry: &Entry, poll: PresencePoll) -> PresenceReply {
    let Some(planner) = entry.planner() else { return PresenceReply::NotPlanner };
    let received_at = clock::boot();
    entry.roster.mark_present(&poll.address, poll.strength);
    let mut version = entry.roster.version.subscribe();
    let mut digests = planner.publisher.subscribe();
    let until = time::Instant::now() + PRESENCE_WAIT;
    loop {
        version.borrow_and_update();
        digests.borrow_and_update();
        let entries = entry.roster.present();
        let has_news = poll.digest.is_some_and(|known| planner.publisher.has_news_for(known));
        if entries != poll.known || has_news || until <= time::Instant::now() {
            if poll.digest.is_none() {
                return PresenceReply::Entries(entries);
            }
            return PresenceReply::Report {
                entries,
                digest: planner.publisher.dated(),
                held_ms: clock::boot().since(received_at).as_millis() as u64,
            };
        }
        tokio::select! {
            _ = version.changed() => {}
            _ = digests.changed(), if poll.digest.is_some() => {}
            () = time::sleep_until(until) => {}
        }
        if entry.planner().is_none() {
            return PresenceReply::NotPlanner;
        }
    }
}

/// Sends presence polls to the planner's entry for as long as the process runs.
pub async fn follow(entry: Arc<Entry>) {
    loop {
        let leader = entry.leader.borrow().clone();
        let Some(leader) = leader.filter(|_| entry.planner().is_none()) else {
            time::sleep(PAUSE).await;
            continue;
        };
        let poll = PresencePoll {
            address: entry.settings.advertised_address.clone(),
            strength: entry.settings.strength.0,
            known: lock(&entry.roster.received).clone(),
            digest: entry.settings.policy.admission.then(|| entry.admission.known()),
        };
        let sent_at = clock::boot();
        let deadline = PRESENCE_WAIT + PRESENCE_SLACK;
        let reply = entry
            .client
            .exchange::<PresencePoll, PresenceReply>(
                &leader.address,
                message::PRESENCE,
                &poll,
                deadline,
            )
            .await;
        match reply {
            Ok(PresenceReply::Entries(entries)) => *lock(&entry.roster.received) = entries,
            Ok(PresenceReply::Report { entries, digest, held_ms }) => {
                *lock(&entry.roster.received) = entries;
                if let Some(digest) = digest {
                    entry.admission.receive(digest, sent_at, held_ms);
                }
            }
            Ok(PresenceReply::NotPlanner) => time::sleep(PAUSE).await,
            Err(error) => {
                log::info!(
                    "event=planner-silent planner={} cause={}",
                    leader.name,
                    Value(&error.to_string())
                );
                if has_ended(&leader).await {
                    end_leadership(&entry, &leader).await;
                }
                time::sleep(PAUSE).await;
            }
        }
    }
}

/// Tells whether the leader's process has ended: its address refuses connections.
///
/// An entry listens there for as long as it is the leader.
async fn has_ended(leader: &Leader) -> bool {
    let Ok(address) = leader.address.parse::<SocketAddr>() else { return false };
    match time::timeout(PROBE_DEADLINE, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Revokes the lease of a leader whose process has ended.
async fn end_leadership(entry: &Entry, leader: &Leader) {
    if entry.leader.borrow().as_ref() != Some(leader) {
        return;
    }
    if leader::end_lease(&entry.store, leader.lease, END_DEADLINE).await {
        log::info!("event=planner-ended planner={} cause=\"nothing listens\"", leader.name);
    }
}

/// Offers leadership to entries, one after the other, until one of them accepts.
///
/// The next entry is asked when one declines or is silent for a while. Tells whether one of them has
/// revoked the lease, after which any entry may acquire leadership.
pub async fn offer(entry: Arc<Entry>, lease: u64, peers: Vec<Peer>) -> bool {
    let mut offers = JoinSet::new();
    for Peer { address, .. } in peers {
        offers.spawn(offer_to(entry.clone(), lease, address));
        let answer = time::timeout(NEXT_OFFER_AFTER, offers.join_next()).await;
        if let Ok(Some(Ok(true))) = answer {
            return true;
        }
    }
    while let Some(accepted) = offers.join_next().await {
        if matches!(accepted, Ok(true)) {
            return true;
        }
    }
    false
}

/// Offers leadership to one entry; returns whether it has accepted.
async fn offer_to(entry: Arc<Entry>, lease: u64, address: String) -> bool {
    let offer = LeadershipOffer { lease };
    let reply = entry
        .client
        .exchange::<LeadershipOffer, bool>(
            &address,
            message::LEADERSHIP_OFFER,
            &offer,
            OFFER_DEADLINE,
        )
        .await;
    match reply {
        Ok(accepted) => accepted,
        Err(error) => {
            log::info!("event=offer-failed entry={address} cause={}", Value(&error.to_string()));
            false
        }
    }
}
