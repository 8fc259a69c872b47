//! Authentication of callers by the keys of operators, client accounts and the fleet's processes.
//!
//! A caller sends its key as `Authorization: Bearer <id>.<secret>`. The configuration holds only
//! the secret's SHA-256, which is compared in constant time. A caller may have several valid keys
//! at once, so that a new one can be in use before the old one expires.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use lavendergauge_derive::value;
use lavendergauge_net::client::FLEET_KEY_HEADER;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Key;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::problem;
use crate::settings;

/// Identifier of the operator key that the settings name.
pub const BOOTSTRAP_ID: &str = "bootstrap";
/// Longest secret that is accepted, in bytes.
const MAX_SECRET_BYTES: usize = 256;
/// Operator identifier of callers without a key, while access is open.
pub const OPEN_ID: &str = "open";

/// An authenticated caller.
#[value]
pub enum Caller {
    /// An operator, with its key's identifier.
    Operator(String),
    /// A caller of one client account, with the account's name.
    Account(String),
}

impl Caller {
    /// Tells whether the caller may act for a client account.
    ///
    /// ```
    /// use lavendergauge_daemon::access::Caller;
    /// assert!(Caller::Account("brno".to_owned()).acts_for("brno"));
    /// assert!(!Caller::Account("brno".to_owned()).acts_for("vrbovec"));
    /// ```
    pub fn acts_for(&self, account: &str) -> bool {
        match self {
            Caller::Operator(_) => true,
            Caller::Account(own) => own == account,
        }
    }
}

/// Authenticates the caller of a request by its `Authorization` header.
///
/// # Errors
/// The problem document when the request has no key although access is not open, or when its key
/// is malformed, unknown or expired.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::access::Caller;
/// use lavendergauge_daemon::config;
/// use lavendergauge_daemon::settings::Access;
/// let open = Access { open: true, ..Access::default() };
/// let caller = access::identify(&open, &config::empty(), &Default::default(), 0);
/// assert_eq!(caller, Ok(Caller::Operator("open".to_owned())));
/// assert!(access::identify(&Access::default(), &config::empty(), &Default::default(), 0).is_err());
/// ```
pub fn identify(
    access: &settings::Access,
    document: &Document,
    headers: &HeaderMap,
    now_ms: u64,
) -> Result<Caller, Box<Detail>> {
    let Some(header) = headers.get(AUTHORIZATION) else {
        return if is_open(access, document) {
            Ok(Caller::Operator(OPEN_ID.to_owned()))
        } else {
            Err(unauthenticated("the call shows no key"))
        };
    };
    let Some((id, secret)) = header.to_str().ok().and_then(parse_key) else {
        return Err(unauthenticated("Authorization is not `Bearer <id>.<secret>`"));
    };
    if MAX_SECRET_BYTES < secret.len() {
        return Err(unauthenticated("the key is unknown or has expired"));
    }
    let hash = hash(&secret);
    let is_valid = |known: &str, expires_ms: u64| {
        let unexpired = expires_ms == 0 || now_ms < expires_ms;
        bool::from(known.as_bytes().ct_eq(hash.as_bytes())) && unexpired
    };
    let is_sent_key = |key: &&Key| key.id == id && is_valid(&key.hash, key.expires_ms);
    if id == BOOTSTRAP_ID
        && !access.bootstrap_hash.is_empty()
        && is_valid(&access.bootstrap_hash, 0)
    {
        return Ok(Caller::Operator(BOOTSTRAP_ID.to_owned()));
    }
    if let Some(key) = document.operators.iter().find(is_sent_key) {
        return Ok(Caller::Operator(key.id.clone()));
    }
    let account =
        document.accounts.iter().find(|account| account.keys.iter().any(|k| is_sent_key(&k)));
    match account {
        Some(account) => Ok(Caller::Account(account.name.clone())),
        None => Err(unauthenticated("the key is unknown or has expired")),
    }
}

/// Parses the identifier and secret of a key from the text of an `Authorization` header.
///
/// Browsers send them as the user and password of Basic authentication.
fn parse_key(text: &str) -> Option<(String, String)> {
    if let Some(key) = text.strip_prefix("Bearer ") {
        let (id, secret) = key.trim().split_once('.')?;
        return Some((id.to_owned(), secret.to_owned()));
    }
    let decoded = STANDARD.decode(text.strip_prefix("Basic ")?.trim()).ok()?;
    let decoded = String::from_utf8(decoded).ok()?;
    let (id, secret) = decoded.split_once(':')?;
    Some((id.to_owned(), secret.to_owned()))
}

/// Tells whether callers need no key: the settings allow it, and there is neither a bootstrap key
/// nor an operator's key.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::config;
/// use lavendergauge_daemon::settings::Access;
/// assert!(!access::is_open(&Access::default(), &config::empty()));
/// ```
pub fn is_open(access: &settings::Access, document: &Document) -> bool {
    access.open && access.bootstrap_hash.is_empty() && document.operators.is_empty()
}

/// Tells whether a call comes from one of the fleet's own processes, by its fleet key.
///
/// If the settings name no fleet key, their open access alone decides.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::settings::Access;
/// let closed = Access { fleet_key: "0123456789abcdef".to_owned(), ..Access::default() };
/// assert!(!access::is_from_fleet(&closed, &Default::default()));
/// ```
pub fn is_from_fleet(access: &settings::Access, headers: &HeaderMap) -> bool {
    if access.fleet_key.is_empty() {
        return access.open;
    }
    let sent = headers.get(FLEET_KEY_HEADER).map_or(&[][..], |value| value.as_bytes());
    // Compares hashes, so that the time taken does not even reveal the key's length.
    bool::from(Sha256::digest(sent).ct_eq(&Sha256::digest(access.fleet_key.as_bytes())))
}

/// Makes the problem document for a call that does not carry the fleet key.
pub fn missing_fleet_key() -> Box<Detail> {
    let text = "the call does not carry the fleet key";
    let mut detail =
        problem::detail(StatusCode::UNAUTHORIZED, "not of the fleet", Outcome::NotRun, text);
    detail.hint = "set the same fleet_key on every process".to_owned();
    Box::new(detail)
}

/// Returns the SHA-256 of a secret, in lower-case hexadecimal.
///
/// ```
/// use lavendergauge_daemon::access;
/// assert!(access::hash("hello").starts_with("2cf24dba"));
/// ```
pub fn hash(secret: &str) -> String {
    Sha256::digest(secret.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a caller may act for a client account.
///
/// # Errors
/// The problem document when the key belongs to another account.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::access::Caller;
/// assert!(access::check_account(&Caller::Account("a".to_owned()), "b").is_err());
/// ```
pub fn check_account(caller: &Caller, account: &str) -> Result<(), Box<Detail>> {
    if caller.acts_for(account) {
        return Ok(());
    }
    Err(forbidden(&format!("the key does not act for client account `{account}`")))
}

/// Checks that a caller is an operator.
///
/// # Errors
/// The problem document when the caller is not an operator.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::access::Caller;
/// assert!(access::check_operator(&Caller::Account("a".to_owned())).is_err());
/// ```
pub fn check_operator(caller: &Caller) -> Result<&str, Box<Detail>> {
    match caller {
        Caller::Operator(id) => Ok(id),
        Caller::Account(_) => Err(forbidden("this call needs an operator's key")),
    }
}

fn forbidden(text: &str) -> Box<Detail> {
    Box::new(problem::detail(StatusCode::FORBIDDEN, "not allowed", Outcome::NotRun, text))
}

fn unauthenticated(text: &str) -> Box<Detail> {
    let mut detail = problem::detail(StatusCode::UNAUTHORIZED, "not proven", Outcome::NotRun, text);
    detail.hint = "send `Authorization: Bearer <id>.<secret>`".to_owned();
    Box::new(detail)
}
