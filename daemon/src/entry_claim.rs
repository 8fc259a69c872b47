//! Claims of keys that callers give: which agent alone may run a key, as the store keeps it.
//!
//! Only the entry whose claim stands may hand the request over, and it hands it to
//! the claim's agent alone. An entry that finds another's claim only asks that
//! agent. A claim is replaced, by compare-and-swap on its version, only by an entry
//! that has the agent's word that the claimed turn never ran and never will, or by
//! its own entry while that has handed nothing over.

use std::sync::Mutex;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::codec;
use lavendergauge_wire::request::Claim;
use lavendergauge_wire::request::Ticket;
use sha2::Digest;
use sha2::Sha256;

use crate::clock;
use crate::entry::Entry;
use crate::entry_call::Call;
use crate::entry_call::hex;
use crate::entry_route::Place;
use crate::store;
use crate::store::Item;
use crate::store::Swap;

/// Prefix of claims in the store.
const PREFIX: &str = "claims/";
/// Time for which new claims are bound to one lease; a claim lasts at least as long.
pub const CLAIM_LIFE: Duration = Duration::from_secs(3600);

/// The lease that this entry's new claims are bound to.
#[derive(Debug, Default)]
pub struct Lease {
    current: Mutex<Option<(i64, Millis)>>,
}

/// A claim and its version in the store.
#[derive(Clone, Debug)]
pub struct Held {
    /// The claim.
    pub claim: Claim,
    /// Version that a compare-and-swap names.
    pub version: i64,
}

/// What became of an attempt to claim a key.
#[derive(Debug)]
pub enum Stake {
    /// This entry's claim stands.
    Mine(Held),
    /// Another claim stands, for the same request.
    Theirs(Held),
    /// Another claim stands, for another request.
    Mismatch,
    /// The store gave no answer, so nobody may run the key by this claim.
    Unavailable(String),
}

/// Returns a key's name in the store.
pub fn name(account: &str, key: &str) -> String {
    let digest = hex(&Sha256::digest(key));
    format!("{PREFIX}{}/{digest}", hex(account.as_bytes()))
}

/// Claims a key for the agent of a place; `version` is that of the claim to replace, or 0.
pub async fn stake(entry: &Entry, call: &Call, place: &Place, version: i64) -> Stake {
    let claim = Claim {
        nonce: format!("{:032x}", rand::random::<u128>()),
        worker: place.target.worker.to_string(),
        address: place.target.address.to_string(),
        incarnation: place.target.incarnation,
        drawn_ms: place.target.clock.0,
        digest: call.digest.clone(),
    };
    let name = name(call.account.as_str(), &call.key);
    let written = write(entry, &name, version, &claim).await;
    let standing = match written {
        Ok(Swap::Done(version)) => return Stake::Mine(Held { claim, version }),
        Ok(Swap::Lost(item)) => item,
        Err(error) => match entry.store.load(&name).await {
            Ok(item) => item,
            Err(_) => return Stake::Unavailable(error.to_string()),
        },
    };
    match standing.as_ref().map(read) {
        None => Stake::Unavailable("the claim did not take effect".to_owned()),
        Some(Err(error)) => Stake::Unavailable(error.to_string()),
        Some(Ok(held)) if held.claim.nonce == claim.nonce => Stake::Mine(held),
        Some(Ok(held)) if held.claim.digest != claim.digest => Stake::Mismatch,
        Some(Ok(held)) if held.version == version => {
            Stake::Unavailable("the claim did not take effect".to_owned())
        }
        Some(Ok(held)) => Stake::Theirs(held),
    }
}

/// Finds the claim of a request's key.
///
/// # Errors
/// When the store gives no usable answer.
pub async fn find(entry: &Entry, call: &Call) -> Result<Option<Held>, store::Error> {
    let item = entry.store.load(&name(call.account.as_str(), &call.key)).await?;
    let held = item.as_ref().map(read).transpose();
    held.map_err(|error| store::Error::Malformed(error.to_string()))
}

/// Makes the ticket of a claimed request.
pub fn ticket(entry: &Entry, call: &Call, attempt: u32, held: &Held) -> Ticket {
    Ticket {
        attempt,
        deadline_ms: call.left().as_millis() as u64,
        whole: call.is_whole(),
        ..ticket_of(entry, call.account.as_str(), &call.key, held)
    }
}

/// Makes the ticket with which a claimed request is asked about.
pub fn ticket_of(entry: &Entry, account: &str, key: &str, held: &Held) -> Ticket {
    Ticket {
        version: VERSION,
        key: key.to_owned(),
        attempt: 0,
        entry: entry.name.clone(),
        worker: held.claim.worker.clone(),
        incarnation: held.claim.incarnation,
        account: account.to_owned(),
        idempotent: false,
        deadline_ms: 0,
        digest: held.claim.digest.clone(),
        whole: true,
        nonce: held.claim.nonce.clone(),
        drawn_ms: held.claim.drawn_ms,
        claimed: true,
    }
}

async fn write(
    entry: &Entry,
    name: &str,
    version: i64,
    claim: &Claim,
) -> Result<Swap, store::Error> {
    let lease = lease(entry).await?;
    let bytes = codec::to_json(claim).unwrap_or_default();
    fail::fail_point!("entry-before-claim", |_| Err(store::Error::Status(503)));
    let written = entry.store.swap(name, version, &bytes, lease).await;
    fail::fail_point!("entry-after-claim", |_| Err(store::Error::Status(504)));
    if matches!(written, Err(store::Error::Status(_))) {
        *lock(&entry.lease) = None;
    }
    written
}

fn lock(lease: &Lease) -> std::sync::MutexGuard<'_, Option<(i64, Millis)>> {
    lease.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns a lease that lasts at least [`CLAIM_LIFE`] more.
async fn lease(entry: &Entry) -> Result<i64, store::Error> {
    let now = clock::now();
    if let Some((lease, granted)) = *lock(&entry.lease)
        && now.since(granted) < CLAIM_LIFE
    {
        return Ok(lease);
    }
    let lease = entry.store.grant(CLAIM_LIFE * 2).await?;
    *lock(&entry.lease) = Some((lease, now));
    Ok(lease)
}

/// Reads a claim from the store.
///
/// # Errors
/// When the value is not a claim.
pub fn read(item: &Item) -> Result<Held, codec::Error> {
    Ok(Held { claim: codec::from_json(&item.value)?, version: item.version })
}
