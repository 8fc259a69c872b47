//! Reads what an earlier leader has learned, and writes what this one learns, for the next one.
//!
//! The value is a cache: a write that fails is not repeated, and nothing waits for a read. See
//! docs/design/learned-state.md.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use lavendergauge_lib::batch::learned;
use lavendergauge_lib::batch::learned::Digest;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use metrics::counter;
use metrics::histogram;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::event_log;
use crate::batch::keys;
use crate::batch::leader::Term;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Interval at which it is checked whether there is something to write. What is learned within it
/// is lost with the leader; at this interval all writes are a few thousandths of the store's.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Deadline of one write.
const WRITE_DEADLINE: Duration = Duration::from_millis(900);
/// Deadline of one read.
const READ_DEADLINE: Duration = Duration::from_millis(900);
/// Number of reads after which the value is given up.
const MAX_READS: u32 = 3;
/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// The encoded form: the digest with what shows that it is whole.
#[derive(Serialize, Deserialize)]
struct Envelope {
    /// Version of the digest, readable whatever its form is.
    version: u32,
    /// SHA-256 of `body`.
    checksum: Bytes,
    /// The digest.
    body: Bytes,
}

/// Why a value cannot be decoded.
#[token]
pub enum Fault {
    /// It is longer than [`learned::MAX_BYTES`].
    TooLarge,
    /// It is not in MessagePack, or not of the form.
    Unreadable,
    /// It is of another version.
    Version,
    /// Its checksum differs.
    Checksum,
}

impl Fault {
    /// Returns the fault's name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_daemon::batch::learned::Fault::TooLarge.name(), "too-large");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Fault::TooLarge => "too-large",
            Fault::Unreadable => "unreadable",
            Fault::Version => learned::Cause::Version.name(),
            Fault::Checksum => "checksum",
        }
    }
}

/// Encodes a digest.
///
/// # Errors
/// [`Fault::Unreadable`] when it cannot be encoded, [`Fault::TooLarge`] when the result is too long.
///
/// ```
/// use lavendergauge_daemon::batch::learned;
/// use lavendergauge_lib::batch::learned::Digest;
/// let digest = Digest { version: 1, fence: 7, written_ms: 0, workers: vec![], run_times: vec![] };
/// let bytes = learned::encode(&digest).unwrap();
/// assert_eq!(learned::decode(&bytes), Ok(digest));
/// ```
pub fn encode(digest: &Digest) -> Result<Bytes, Fault> {
    let body = codec::pack(digest).map_err(|_| Fault::Unreadable)?;
    let checksum = Bytes::copy_from_slice(&Sha256::digest(&body));
    let envelope = Envelope { version: digest.version, checksum, body };
    let bytes = codec::pack(&envelope).map_err(|_| Fault::Unreadable)?;
    if learned::MAX_BYTES < bytes.len() { Err(Fault::TooLarge) } else { Ok(bytes) }
}

/// Decodes a digest.
///
/// # Errors
/// Why the value cannot be used.
///
/// ```
/// use lavendergauge_daemon::batch::learned;
/// use lavendergauge_daemon::batch::learned::Fault;
/// assert_eq!(learned::decode(b"torn"), Err(Fault::Unreadable));
/// ```
pub fn decode(bytes: &[u8]) -> Result<Digest, Fault> {
    if learned::MAX_BYTES < bytes.len() {
        return Err(Fault::TooLarge);
    }
    let envelope: Envelope = codec::unpack(bytes).map_err(|_| Fault::Unreadable)?;
    if envelope.version != learned::VERSION {
        return Err(Fault::Version);
    }
    if envelope.checksum.as_ref() != Sha256::digest(&envelope.body).as_slice() {
        return Err(Fault::Checksum);
    }
    codec::unpack(&envelope.body).map_err(|_| Fault::Unreadable)
}

/// The key as this term knows it.
#[value]
#[derive(Default)]
struct Stored {
    /// Revision of the key; 0 when it does not exist or is not known.
    revision: u64,
    /// The digest that this term has written last.
    digest: Option<Digest>,
    /// Whether the newest write failed.
    has_failed: bool,
}

/// Reads the value once, then writes it whenever enough has changed, until the term ends.
pub async fn run(entry: Arc<Entry>, planner: Arc<Planner>, term: Arc<Term>) {
    let mut stored = Stored { revision: read(&entry, &planner).await, ..Stored::default() };
    loop {
        time::sleep(WRITE_INTERVAL).await;
        let digest = {
            let tables = planner.tables();
            learned::collect(&tables, clock::boot(), clock::wall_ms(), term.fence)
        };
        let is_news = match &stored.digest {
            Some(written) => learned::differs(written, &digest),
            None => !digest.workers.is_empty() || !digest.run_times.is_empty(),
        };
        if is_news && !write(&entry, &term, &mut stored, digest).await {
            return;
        }
    }
}

/// Reads and applies the value; returns the key's revision, 0 when it is not known.
async fn read(entry: &Entry, planner: &Planner) -> u64 {
    let mut reads = 0;
    let item = loop {
        reads += 1;
        match entry.store.read(keys::LEARNED, READ_DEADLINE).await {
            Ok(Some(item)) => break item,
            Ok(None) => return 0,
            Err(error) if reads < MAX_READS => {
                log::debug!("event=learned-not-read cause={}", Value(&error.to_string()));
                time::sleep(READ_PAUSE).await;
            }
            Err(error) => {
                counter!("lavendergauge_learned_loads_total", "outcome" => "not-read").increment(1);
                log::warn!("event=learned-ignored cause={}", Value(&error.to_string()));
                return 0;
            }
        }
    };
    apply(planner, &item);
    item.revision
}

/// Applies the value that was read.
fn apply(planner: &Planner, item: &Item) {
    let applied = decode(&item.value).map_err(Fault::name).and_then(|digest| {
        let mut tables = planner.tables();
        learned::apply(&mut tables, clock::boot(), clock::wall_ms(), digest)
            .map_err(learned::Cause::name)
    });
    match applied {
        Ok(outcome) => {
            counter!("lavendergauge_learned_loads_total", "outcome" => "loaded").increment(1);
            for (label, count) in [
                ("used", outcome.used),
                ("pending", outcome.pending),
                ("restarted", outcome.restarted),
                ("superseded", outcome.superseded),
                ("expired", outcome.expired),
            ] {
                counter!("lavendergauge_learned_entries_total", "outcome" => label)
                    .increment(count as u64);
            }
            log::info!(
                "event=learned-loaded workers={} ignored={} pending={} age_ms={}",
                outcome.used + outcome.pending,
                outcome.ignored(),
                outcome.pending,
                outcome.age_ms
            );
            outcome.changes.iter().for_each(event_log::log_change);
        }
        Err(cause) => {
            counter!("lavendergauge_learned_loads_total", "outcome" => cause).increment(1);
            log::warn!("event=learned-ignored cause={cause} bytes={}", item.value.len());
        }
    }
}

/// Tries one write; returns `false` when this entry is no longer the leader.
///
/// The condition on the leader's key makes a write of a deposed leader fail; the condition on the
/// value's own key makes an earlier write of this term fail that the store executes late.
async fn write(entry: &Entry, term: &Term, stored: &mut Stored, digest: Digest) -> bool {
    let value = match encode(&digest) {
        Ok(value) => value,
        Err(fault) => {
            report_failure(stored, fault.name());
            return true;
        }
    };
    let (workers, bytes) = (digest.workers.len(), value.len());
    let transaction = Transaction {
        conditions: vec![
            (keys::LEADER.to_owned(), term.leader_revision),
            (keys::LEARNED.to_owned(), stored.revision),
        ],
        puts: vec![Put { key: keys::LEARNED.to_owned(), value, lease: 0 }],
        removals: Vec::new(),
    };
    match entry.store.commit(&transaction, WRITE_DEADLINE).await {
        Ok(CommitOutcome::Done(revision)) => {
            *stored = Stored { revision, digest: Some(digest), has_failed: false };
            counter!("lavendergauge_learned_writes_total", "outcome" => "done").increment(1);
            histogram!("lavendergauge_learned_bytes").record(bytes as f64);
            log::info!("event=learned-written workers={workers} bytes={bytes}");
        }
        Ok(CommitOutcome::Conflict(items)) => {
            let revision_of =
                |key: &str| items.iter().find(|item| item.key == key).map(|item| item.revision);
            if revision_of(keys::LEADER).is_some_and(|revision| revision != term.leader_revision) {
                report_failure(stored, "not the leader any more");
                return false;
            }
            // The value was not read, or an unanswered write of this term has taken effect.
            stored.revision = revision_of(keys::LEARNED).unwrap_or(stored.revision);
            report_failure(stored, "the key has another revision");
        }
        Ok(CommitOutcome::NoLease) => report_failure(stored, "lease has ended"),
        Err(error) => report_failure(stored, &error.to_string()),
    }
    true
}

/// Counts a write that failed, and logs the first one of several in a row.
fn report_failure(stored: &mut Stored, cause: &str) {
    counter!("lavendergauge_learned_writes_total", "outcome" => "failed").increment(1);
    if !std::mem::replace(&mut stored.has_failed, true) {
        log::warn!("event=learned-not-written cause={}", Value(cause));
    }
}
