//! Carries the digest of the leader's queue to the entries, and their refusals to the log and the
//! metrics.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use lavendergauge_derive::row;
use lavendergauge_lib::batch::admission;
use lavendergauge_lib::batch::admission::Digest;
use lavendergauge_lib::batch::gate::Gate;
use lavendergauge_lib::batch::gate::Newcomer;
use lavendergauge_lib::batch::gate::Refused;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::table::RefusedRecord;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::MAX_TRANSACTION_ENTRIES;
use lavendergauge_platform::store::Transaction;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use tokio::sync::watch;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::leader::Term;
use crate::batch::message::DatedDigest;
use crate::batch::message::DigestNumber;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Least time between two digests.
const INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the searches for refused records that have been kept long enough.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of refused records that are removed at once: each is a condition and a removal,
/// beside the condition that this entry is the leader.
const MAX_EXPIRED: usize = (MAX_TRANSACTION_ENTRIES - 1) / 2;
/// Deadline of the removal of refused records.
const DEADLINE: Duration = Duration::from_millis(900);

/// A digest as its leader published it.
#[row]
pub struct Published {
    digest: Arc<Digest>,
    at: Millis,
    /// Number of the last digest that changed the entries' decisions.
    news: u64,
}

/// The digests of one term.
pub struct Publisher {
    published: watch::Sender<Option<Published>>,
}

impl Default for Publisher {
    fn default() -> Self {
        Publisher { published: watch::Sender::new(None) }
    }
}

impl Publisher {
    /// Returns the newest digest with its age.
    pub fn dated(&self) -> Option<DatedDigest> {
        let published = self.published.borrow();
        let Published { digest, at, .. } = published.as_ref()?;
        let age_ms = clock::boot().since(*at).as_millis() as u64;
        Some(DatedDigest { digest: Digest::clone(digest), age_ms })
    }

    /// Tells whether an entry with the digest `known` would decide differently by the newest one.
    pub fn has_news_for(&self, known: DigestNumber) -> bool {
        self.published.borrow().as_ref().is_some_and(|published| {
            known.fence != published.digest.fence || known.number < published.news
        })
    }

    /// Returns a receiver that is notified of each digest.
    pub fn subscribe(&self) -> watch::Receiver<Option<Published>> {
        self.published.subscribe()
    }

    /// Publishes a digest; returns its number.
    fn publish(&self, fence: u64, at: Millis, compute: impl FnOnce(u64) -> Digest) -> Arc<Digest> {
        let previous = self.published.borrow().clone();
        let number = previous.as_ref().map_or(1, |previous| previous.digest.number + 1);
        let digest = Arc::new(compute(number));
        let news = match previous {
            Some(previous) if admission::is_alike(&previous.digest, &digest) => previous.news,
            _ => number,
        };
        log::debug!("event=digest fence={fence} number={number} news={news}");
        self.published.send_replace(Some(Published { digest: digest.clone(), at, news }));
        digest
    }
}

/// Publishes a digest if the last one is old enough and something waits, and an empty one when nothing
/// waits any more.
pub fn refresh(entry: &Entry, planner: &Planner) {
    let now = clock::boot();
    let (last, was_empty) = {
        let published = planner.publisher.published.borrow();
        let last = published.as_ref().map(|published| published.at);
        (last, published.as_ref().is_none_or(|published| published.digest.outlooks.is_empty()))
    };
    if !entry.settings.policy.admission || last.is_some_and(|last| now.since(last) < INTERVAL) {
        return;
    }
    let survey = {
        let tables = planner.tables();
        if tables.waiting.is_empty() && was_empty {
            return;
        }
        admission::survey(&tables, now)
    };
    let Some(survey) = survey else { return };
    let started_at = Instant::now();
    let digest = planner
        .publisher
        .publish(planner.fence, now, |number| admission::digest(&survey, planner.fence, number));
    histogram!("lavendergauge_digest_seconds").record(started_at.elapsed().as_secs_f64());
    entry.admission.gate().receive(Digest::clone(&digest), now);
}

/// What an entry knows of the leader's queue.
#[derive(Default)]
pub struct Admission {
    gate: Mutex<Gate>,
}

impl Admission {
    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the number of the newest digest.
    pub fn known(&self) -> DigestNumber {
        let (fence, number) = self.gate().newest();
        DigestNumber { fence, number }
    }

    /// Takes a digest from the answer to a call that was sent at `sent_at`, and which the leader
    /// delayed by `held_ms`.
    ///
    /// Its age includes the rest of the time that the call took, so that it is not taken for newer than
    /// it is when the leader or the network pauses.
    pub fn receive(&self, dated: DatedDigest, sent_at: Millis, held_ms: u64) {
        let now = clock::boot();
        let transit = (now.since(sent_at).as_millis() as u64).saturating_sub(held_ms);
        let at = Millis(now.0.saturating_sub(dated.age_ms + transit));
        self.gate().receive(dated.digest, at);
    }

    /// Notes that a job was refused: the refusal is written.
    pub fn record_refusal(&self, id: Id) {
        self.gate().record_refusal(id, clock::boot());
    }

    /// Notes that a job was accepted.
    pub fn record_acceptance(&self, id: Id) {
        self.gate().record_acceptance(id);
    }

    /// Sets the gauge of the digest's age.
    pub fn set_gauge(&self) {
        let age = self.gate().age(clock::boot());
        gauge!("lavendergauge_digest_age_seconds")
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }
}

/// Decides whether a submission is refused; never without a leader.
pub fn decide(entry: &Entry, newcomer: &Newcomer<'_>) -> Option<Refused> {
    let has_leader = entry.planner().is_some() || entry.leader.borrow().is_some();
    if !entry.settings.policy.admission || !has_leader {
        return None;
    }
    entry.admission.gate().decide(clock::boot(), newcomer, &mut rand::rng())
}

/// Logs and counts a refusal that is written.
pub fn log_refused(id: Id, queue: &str, account: &str, refused: &Refused) {
    counter!("lavendergauge_refused_total", "reason" => "too-late").increment(1);
    log::info!(
        "event=refused job={id} queue={} account={} reason=too-late fence={} digest={} age_ms={} \
         start_ms={} worthless_ms={} waited_ms={} retry_after_s={}",
        Value(queue),
        Value(account),
        refused.fence,
        refused.number,
        refused.age_ms,
        refused.prospect.start_ms,
        refused.prospect.worthless_ms,
        refused.waited_ms,
        refused.retry_after_s
    );
}

/// Removes the records of refused jobs that have been kept long enough, while this entry is the leader.
///
/// Each removal is conditional on the record's revision, so that a job that was accepted meanwhile
/// stays.
pub async fn expire(entry: Arc<Entry>, planner: Arc<Planner>, term: Arc<Term>) {
    loop {
        time::sleep(EXPIRE_INTERVAL).await;
        loop {
            let expired =
                records::expire_refused(&mut planner.tables(), clock::wall_ms(), MAX_EXPIRED);
            if expired.is_empty() || !remove(&entry, &planner, &term, &expired).await {
                break;
            }
        }
    }
}

/// Removes refused records; returns whether it did.
async fn remove(
    entry: &Entry,
    planner: &Planner,
    term: &Term,
    expired: &[(Id, RefusedRecord)],
) -> bool {
    let mut conditions = vec![(keys::LEADER.to_owned(), term.leader_revision)];
    conditions.extend(expired.iter().map(|(id, record)| (keys::job(*id), record.revision)));
    let removals = expired.iter().map(|(id, _)| keys::job(*id)).collect();
    let transaction = Transaction { conditions, puts: Vec::new(), removals };
    let outcome = entry.store.commit(&transaction, DEADLINE).await;
    let changed = match &outcome {
        Ok(CommitOutcome::Done(_)) => return true,
        Ok(CommitOutcome::Conflict(items)) => items.as_slice(),
        Ok(CommitOutcome::NoLease) => &[],
        Err(error) => {
            log::info!("event=refused-not-removed cause={}", Value(&error.to_string()));
            &[]
        }
    };
    let mut tables = planner.tables();
    for (id, record) in expired {
        let key = keys::job(*id);
        let is_changed =
            changed.iter().any(|item| item.key == key && item.revision != record.revision);
        if !is_changed && !tables.jobs.contains_key(id) {
            tables.refused.entry(*id).or_insert(*record);
        }
    }
    false
}
