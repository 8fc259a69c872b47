//! Value of the chain's key, which identifies a planner's newest write and the lease of its term.

/// Text before the lease; a value without it is of an earlier version or of another writer.
const PREFIX: &str = "lease-";

/// Returns the value for the write of a number in the term of a leader with a lease. The acquisition of
/// leadership is write 0.
///
/// ```
/// use lavendergauge_daemon::batch::chain;
/// assert_ne!(chain::mark(17, 1), chain::mark(17, 2));
/// ```
pub fn mark(lease: u64, write: u64) -> String {
    format!("{PREFIX}{lease}.{write}")
}

/// Returns the lease of the term in which a value was written; `None` if the value does not name one.
///
/// ```
/// use lavendergauge_daemon::batch::chain;
/// assert_eq!(chain::lease_of(chain::mark(17, 3).as_bytes()), Some(17));
/// assert_eq!(chain::lease_of(b"17.3"), None);
/// ```
pub fn lease_of(value: &[u8]) -> Option<u64> {
    let text = str::from_utf8(value).ok()?.strip_prefix(PREFIX)?;
    let (lease, _) = text.split_once('.')?;
    lease.parse().ok()
}
