//! The other entries, as far as they are known to live: every entry attends at the planner's, and
//! learns there who else does.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use rand::seq::SliceRandom;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::lead;
use crate::batch::lead::Leader;
use crate::batch::message;
use crate::batch::message::Attend;
use crate::batch::message::Attended;
use crate::batch::message::Succeed;
use crate::clock;
use crate::logs::Value;

/// Longest wait of one attendance; it is short enough for a dead planner's machine to be noticed
/// by other means first.
const ATTEND_WAIT: Duration = Duration::from_millis(2000);
/// Time beyond the wait after which an attendance counts as unanswered, or as over.
const ATTEND_SLACK: Duration = Duration::from_millis(800);
/// Pause while there is nobody to attend at, or after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Deadline of the probe that tells whether anything listens.
const PROBE_DEADLINE: Duration = Duration::from_millis(400);
/// Deadline of the call that ends a dead planner's lease.
const END_DEADLINE: Duration = Duration::from_millis(600);
/// Entries that the duty is offered to at a time; the next offer goes to others.
const OFFERS: usize = 3;
/// Deadline of an offer to take the duty over, the peer's own calls to the store counted in.
const OFFER_DEADLINE: Duration = Duration::from_millis(700);

/// The other entries.
#[derive(Default)]
pub struct Roster {
    /// Addresses of the entries that attend here, and until when that counts.
    attending: Mutex<BTreeMap<String, Millis>>,
    /// Addresses of the other entries, as the planner told them.
    told: Mutex<Vec<String>>,
    /// Grows with each entry that comes or goes.
    version: watch::Sender<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Roster {
    /// Returns the addresses of the entries that attend here.
    fn attending(&self) -> Vec<String> {
        let now = clock::boot();
        let mut attending = lock(&self.attending);
        attending.retain(|_, until| now < *until);
        attending.keys().cloned().collect()
    }

    /// Returns the addresses of the other entries, the planner's first.
    pub fn others(&self, entry: &Entry) -> Vec<String> {
        let own = &entry.settings.advertised_address;
        let mut others: Vec<String> = match entry.planner() {
            Some(_) => Vec::new(),
            None => entry.leader.borrow().iter().map(|leader| leader.address.clone()).collect(),
        };
        let known =
            if entry.planner().is_some() { self.attending() } else { lock(&self.told).clone() };
        for address in known {
            if address != *own && !others.contains(&address) {
                others.push(address);
            }
        }
        others
    }

    fn admit(&self, address: &str) {
        let until = clock::boot() + (ATTEND_WAIT + ATTEND_SLACK);
        let known = lock(&self.attending).insert(address.to_owned(), until).is_some();
        if !known {
            self.version.send_modify(|version| *version += 1);
        }
    }
}

/// Answers an entry that attends: at once when it does not know all others, else after a while.
pub async fn on_attend(entry: &Entry, attend: Attend) -> Attended {
    if entry.planner().is_none() {
        return Attended::NotPlanner;
    }
    entry.roster.admit(&attend.address);
    let mut version = entry.roster.version.subscribe();
    let until = time::Instant::now() + ATTEND_WAIT;
    loop {
        version.borrow_and_update();
        let entries = entry.roster.attending();
        if entries != attend.known || until <= time::Instant::now() {
            return Attended::Entries(entries);
        }
        let _ = time::timeout_at(until, version.changed()).await;
        if entry.planner().is_none() {
            return Attended::NotPlanner;
        }
    }
}

/// Attends at the planner's entry for as long as the process runs.
pub async fn follow(entry: Arc<Entry>) {
    loop {
        let leader = entry.leader.borrow().clone();
        let Some(leader) = leader.filter(|_| entry.planner().is_none()) else {
            time::sleep(PAUSE).await;
            continue;
        };
        let attend = Attend {
            address: entry.settings.advertised_address.clone(),
            known: lock(&entry.roster.told).clone(),
        };
        let deadline = ATTEND_WAIT + ATTEND_SLACK;
        let attended = entry
            .client
            .exchange::<Attend, Attended>(&leader.address, message::ATTEND, &attend, deadline)
            .await;
        match attended {
            Ok(Attended::Entries(entries)) => *lock(&entry.roster.told) = entries,
            Ok(Attended::NotPlanner) => time::sleep(PAUSE).await,
            Err(error) => {
                log::info!(
                    "event=planner-silent planner={} cause={}",
                    leader.name,
                    Value(&error.to_string())
                );
                if is_gone(&leader).await {
                    end(&entry, &leader).await;
                }
                time::sleep(PAUSE).await;
            }
        }
    }
}

/// Tells whether nothing listens at the planner's address: its process has ended then, since it
/// listens for as long as it holds the duty.
async fn is_gone(leader: &Leader) -> bool {
    let Ok(address) = leader.address.parse::<SocketAddr>() else { return false };
    match time::timeout(PROBE_DEADLINE, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Ends the lease of a planner whose process has ended.
async fn end(entry: &Entry, leader: &Leader) {
    if entry.leader.borrow().as_ref() != Some(leader) {
        return;
    }
    if lead::end_lease(&entry.store, leader.lease, END_DEADLINE).await {
        log::info!("event=planner-ended planner={} cause=\"nothing listens\"", leader.name);
    }
}

/// Offers the duty to the entries that attend here; tells whether one of them has taken the lease
/// away, so that any of them may take the duty.
pub async fn offer(entry: &Arc<Entry>, lease: u64) -> bool {
    let mut offers = JoinSet::new();
    let mut attending = entry.roster.attending();
    attending.shuffle(&mut rand::rng());
    for address in attending.into_iter().take(OFFERS) {
        let entry = entry.clone();
        offers.spawn(async move {
            let offer = Succeed { lease };
            let told = entry
                .client
                .exchange::<Succeed, bool>(&address, message::SUCCEED, &offer, OFFER_DEADLINE)
                .await;
            match told {
                Ok(taken) => taken,
                Err(error) => {
                    let cause = error.to_string();
                    log::info!("event=offer-failed entry={address} cause={}", Value(&cause));
                    false
                }
            }
        });
    }
    while let Some(taken) = offers.join_next().await {
        if matches!(taken, Ok(true)) {
            return true;
        }
    }
    false
}
