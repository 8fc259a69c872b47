//! Who a caller is: keys of operators, client accounts and the fleet's own processes.
//!
//! A key is shown as `Authorization: Bearer <id>.<secret>`. The configuration holds only the
//! secret's SHA-256, which is compared in constant time. Several keys may stand side by side, so
//! that a new one is taken into use before the old one expires.

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
pub const BOOTSTRAP: &str = "bootstrap";
/// Longest secret that is looked at, in bytes.
const SECRET_LENGTH: usize = 256;
/// Author of changes while no keys are configured.
pub const OPEN: &str = "open";

/// Who makes a call.
#[value]
pub enum Caller {
    /// An operator, by the key's identifier.
    Operator(String),
    /// A caller of one client account, by the account's name.
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

/// Finds out who makes a call.
///
/// # Errors
/// The problem document when the call shows no key, or one that is unknown or has expired.
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
            Ok(Caller::Operator(OPEN.to_owned()))
        } else {
            Err(unproven("the call shows no key"))
        };
    };
    let Some((id, secret)) = header.to_str().ok().and_then(shown) else {
        return Err(unproven("Authorization is not `Bearer <id>.<secret>`"));
    };
    if SECRET_LENGTH < secret.len() {
        return Err(unproven("the key is unknown or has expired"));
    }
    let hash = hash(&secret);
    let fits = |known: &str, expires_ms: u64| {
        let live = expires_ms == 0 || now_ms < expires_ms;
        bool::from(known.as_bytes().ct_eq(hash.as_bytes())) && live
    };
    let holds = |key: &&Key| key.id == id && fits(&key.hash, key.expires_ms);
    if id == BOOTSTRAP && !access.bootstrap_hash.is_empty() && fits(&access.bootstrap_hash, 0) {
        return Ok(Caller::Operator(BOOTSTRAP.to_owned()));
    }
    if let Some(key) = document.operators.iter().find(holds) {
        return Ok(Caller::Operator(key.id.clone()));
    }
    let account = document.accounts.iter().find(|account| account.keys.iter().any(|k| holds(&k)));
    match account {
        Some(account) => Ok(Caller::Account(account.name.clone())),
        None => Err(unproven("the key is unknown or has expired")),
    }
}

/// Reads the key's identifier and secret; browsers show them as a user and a password.
fn shown(text: &str) -> Option<(String, String)> {
    if let Some(key) = text.strip_prefix("Bearer ") {
        let (id, secret) = key.trim().split_once('.')?;
        return Some((id.to_owned(), secret.to_owned()));
    }
    let decoded = STANDARD.decode(text.strip_prefix("Basic ")?.trim()).ok()?;
    let decoded = String::from_utf8(decoded).ok()?;
    let (id, secret) = decoded.split_once(':')?;
    Some((id.to_owned(), secret.to_owned()))
}

/// Tells whether callers need no key: the settings allow it and no operator has one.
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

/// Tells whether a call comes from one of the fleet's own processes.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::settings::Access;
/// let closed = Access { fleet_key: "0123456789abcdef".to_owned(), ..Access::default() };
/// assert!(!access::is_fleet(&closed, &Default::default()));
/// ```
pub fn is_fleet(access: &settings::Access, headers: &HeaderMap) -> bool {
    if access.fleet_key.is_empty() {
        return access.open;
    }
    let shown = headers.get(FLEET_KEY_HEADER).map_or(&[][..], |value| value.as_bytes());
    // Hashes are compared so that not even the length of the key shows in the time taken.
    bool::from(Sha256::digest(shown).ct_eq(&Sha256::digest(access.fleet_key.as_bytes())))
}

/// Makes the problem document for a process that does not show the fleet key.
pub fn foreign() -> Box<Detail> {
    let text = "the call does not show the fleet key";
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
/// The problem document when it is not.
///
/// ```
/// use lavendergauge_daemon::access;
/// use lavendergauge_daemon::access::Caller;
/// assert!(access::check_operator(&Caller::Account("a".to_owned())).is_err());
/// ```
pub fn check_operator(caller: &Caller) -> Result<&str, Box<Detail>> {
    match caller {
        Caller::Operator(id) => Ok(id),
        Caller::Account(_) => Err(forbidden("this takes an operator's key")),
    }
}

fn forbidden(text: &str) -> Box<Detail> {
    Box::new(problem::detail(StatusCode::FORBIDDEN, "not allowed", Outcome::NotRun, text))
}

fn unproven(text: &str) -> Box<Detail> {
    let mut detail = problem::detail(StatusCode::UNAUTHORIZED, "not proven", Outcome::NotRun, text);
    detail.hint = "send `Authorization: Bearer <id>.<secret>`".to_owned();
    Box::new(detail)
}
