//! Generates access keys in the user's process, so that creating a key sends the entry only the
//! hash of the secret.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lavendergauge_derive::row;
use lavendergauge_wire::config::Key;
use lavendergauge_wire::config::Role;
use sha2::Digest;
use sha2::Sha256;

/// Length of a day.
const DAY: Duration = Duration::from_secs(86_400);

/// A new access key and its record.
#[row]
pub struct GeneratedKey {
    /// Record for the configuration, with the SHA-256 hash of the secret.
    pub record: Key,
    /// The access key that its holder sends with calls: `<id>.<secret>`.
    pub access_key: String,
}

/// Generates a key with a random secret of 256 bits. It expires after `days`, or never for 0.
///
/// ```
/// use lavendergauge_cli::access_key;
/// use lavendergauge_wire::config::Role;
/// let generated = access_key::generate("laptop", Role::Operator, 0);
/// assert!(generated.access_key.starts_with("laptop."));
/// assert_eq!(generated.record.hash.len(), 64);
/// ```
pub fn generate(id: &str, role: Role, days: u32) -> GeneratedKey {
    let secret = format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    let hash = Sha256::digest(secret.as_bytes());
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let expires_at = if days == 0 { Duration::ZERO } else { now + DAY * days };
    let record = Key {
        id: id.to_owned(),
        hash: hash.iter().map(|byte| format!("{byte:02x}")).collect(),
        role,
        expires_ms: u64::try_from(expires_at.as_millis()).unwrap_or(u64::MAX),
    };
    GeneratedKey { record, access_key: format!("{id}.{secret}") }
}
