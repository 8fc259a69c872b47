//! Access keys: drawn here, so that the secret never leaves the person who asked for it.

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

/// A new key with its secret.
#[row]
pub struct Drawn {
    /// What the configuration keeps.
    pub key: Key,
    /// What the holder shows: `<id>.<secret>`.
    pub shown: String,
}

/// Draws a key that expires after some days; 0 for never.
///
/// ```
/// use lavendergauge_cli::secret;
/// use lavendergauge_wire::config::Role;
/// let drawn = secret::draw("laptop", Role::Operator, 0);
/// assert!(drawn.shown.starts_with("laptop."));
/// assert_eq!(drawn.key.hash.len(), 64);
/// ```
pub fn draw(id: &str, role: Role, days: u32) -> Drawn {
    let secret = format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    let hash = Sha256::digest(secret.as_bytes());
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let expires = if days == 0 { Duration::ZERO } else { now + DAY * days };
    let key = Key {
        id: id.to_owned(),
        hash: hash.iter().map(|byte| format!("{byte:02x}")).collect(),
        role,
        expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
    };
    Drawn { key, shown: format!("{id}.{secret}") }
}
