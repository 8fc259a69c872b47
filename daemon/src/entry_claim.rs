//! Claims of keys that callers give: the store records the one agent that may run a key's request.
//!
//! Only the entry whose claim is stored may send the request, and only to the claim's agent. An
//! entry that finds another claim only asks that agent for the outcome. A claim is replaced by
//! compare-and-swap on its version, and only in two cases: by an entry to which the agent has
//! stated that the claimed attempt never ran and never will, or by the claim's own entry while it
//! has not sent the request.

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
use crate::entry_route::Slot;
use crate::store;
use crate::store::Item;
use crate::store::Swap;

/// Prefix of claims in the store.
const PREFIX: &str = "claims/";
/// Time for which new claims are bound to the same lease. The lease lasts twice as long, so a claim
/// lasts at least this long.
pub const CLAIM_LIFE: Duration = Duration::from_secs(3600);

/// The lease that this entry's new claims are bound to.
#[derive(Debug, Default)]
pub struct Lease {
    /// The store's identifier of the lease, and when it was granted.
    current: Mutex<Option<(i64, Millis)>>,
}

/// A claim as the store holds it.
#[derive(Clone, Debug)]
pub struct StoredClaim {
    /// The claim.
    pub claim: Claim,
    /// Its version, for a compare-and-swap.
    pub version: i64,
}

/// Result of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimResult {
    /// This entry's claim is stored.
    Own(StoredClaim),
    /// Another claim is stored, for the same request.
    Other(StoredClaim),
    /// A claim for another request is stored under the same key.
    Mismatch,
    /// It is not known whether the claim is stored, so the request must not run by it; the cause.
    Unavailable(String),
}

/// Returns the store's key for the claim of a request's key.
pub fn store_key(account: &str, key: &str) -> String {
    let digest = hex(&Sha256::digest(key));
    format!("{PREFIX}{}/{digest}", hex(account.as_bytes()))
}

/// Claims a key for the agent of a slot; `version` is that of the claim to replace, or 0.
pub async fn claim_key(entry: &Entry, call: &Call, slot: &Slot, version: i64) -> ClaimResult {
    let claim = Claim {
        nonce: format!("{:032x}", rand::random::<u128>()),
        worker: slot.target.worker.to_string(),
        address: slot.target.address.to_string(),
        incarnation: slot.target.incarnation,
        drawn_ms: slot.target.clock.0,
        digest: call.digest.clone(),
    };
    let name = store_key(call.account.as_str(), &call.key);
    let written = write(entry, &name, version, &claim).await;
    let current = match written {
        Ok(Swap::Done(version)) => return ClaimResult::Own(StoredClaim { claim, version }),
        Ok(Swap::Lost(item)) => item,
        Err(error) => match entry.store.load(&name).await {
            Ok(item) => item,
            Err(_) => return ClaimResult::Unavailable(error.to_string()),
        },
    };
    match current.as_ref().map(read) {
        None => ClaimResult::Unavailable("the claim did not take effect".to_owned()),
        Some(Err(error)) => ClaimResult::Unavailable(error.to_string()),
        Some(Ok(stored)) if stored.claim.nonce == claim.nonce => ClaimResult::Own(stored),
        Some(Ok(stored)) if stored.claim.digest != claim.digest => ClaimResult::Mismatch,
        Some(Ok(stored)) if stored.version == version => {
            ClaimResult::Unavailable("the claim did not take effect".to_owned())
        }
        Some(Ok(stored)) => ClaimResult::Other(stored),
    }
}

/// Finds the claim of a request's key.
///
/// # Errors
/// When the store gives no usable answer.
pub async fn find(entry: &Entry, call: &Call) -> Result<Option<StoredClaim>, store::Error> {
    let item = entry.store.load(&store_key(call.account.as_str(), &call.key)).await?;
    let stored = item.as_ref().map(read).transpose();
    stored.map_err(|error| store::Error::Malformed(error.to_string()))
}

/// Makes the ticket with which a claimed request is sent.
pub fn ticket(entry: &Entry, call: &Call, attempt: u32, stored: &StoredClaim) -> Ticket {
    Ticket {
        attempt,
        deadline_ms: call.remaining().as_millis() as u64,
        whole: call.is_whole(),
        ..query_ticket(entry, call.account.as_str(), &call.key, stored)
    }
}

/// Makes the ticket with which an agent is asked for the outcome of a claimed request.
pub fn query_ticket(entry: &Entry, account: &str, key: &str, stored: &StoredClaim) -> Ticket {
    Ticket {
        version: VERSION,
        key: key.to_owned(),
        attempt: 0,
        entry: entry.name.clone(),
        worker: stored.claim.worker.clone(),
        incarnation: stored.claim.incarnation,
        account: account.to_owned(),
        idempotent: false,
        deadline_ms: 0,
        digest: stored.claim.digest.clone(),
        whole: true,
        nonce: stored.claim.nonce.clone(),
        drawn_ms: stored.claim.drawn_ms,
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
        *lock(&entry.claim_lease) = None;
    }
    written
}

fn lock(lease: &Lease) -> std::sync::MutexGuard<'_, Option<(i64, Millis)>> {
    lease.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns a lease that lasts at least [`CLAIM_LIFE`] more.
async fn lease(entry: &Entry) -> Result<i64, store::Error> {
    let now = clock::now();
    if let Some((lease, granted)) = *lock(&entry.claim_lease)
        && now.since(granted) < CLAIM_LIFE
    {
        return Ok(lease);
    }
    let lease = entry.store.grant(CLAIM_LIFE * 2).await?;
    *lock(&entry.claim_lease) = Some((lease, now));
    Ok(lease)
}

/// Reads a claim from the store.
///
/// # Errors
/// When the value is not a claim.
pub fn read(item: &Item) -> Result<StoredClaim, codec::Error> {
    Ok(StoredClaim { claim: codec::from_json(&item.value)?, version: item.version })
}
