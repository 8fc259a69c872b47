//! Validation of input to the administration API: names, shapes, guarantees and keys.
//!
//! A fault names the invalid field.

use std::collections::HashSet;

use hyper::StatusCode;
use lavendergauge_derive::value;
use lavendergauge_wire::config::Account;
use lavendergauge_wire::config::Adjacency;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Guarantee;
use lavendergauge_wire::config::Key;
use lavendergauge_wire::config::Policy;
use lavendergauge_wire::config::Role;
use lavendergauge_wire::job;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use lavendergauge_wire::strict;

use crate::problem;
use crate::settings_key::NAME_LENGTH;
use crate::settings_key::is_name;

/// Largest number of members of a gang.
pub const MAX_MEMBERS: u32 = 64;
/// Largest number of accelerators of one worker.
pub const MAX_WORKER_ACCELERATORS: u32 = 64;
/// Largest number of accelerators of a guarantee.
const MAX_GUARANTEE_ACCELERATORS: u32 = MAX_MEMBERS * MAX_WORKER_ACCELERATORS;
/// Largest weight of a client account.
const MAX_WEIGHT: u32 = 1000;
/// Largest payload of a job, which is sent to the worker runtime, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// Longest display name of a job, in bytes.
const MAX_LABEL_BYTES: usize = 200;
/// Largest number of keys in one list; several allow rotation with overlap.
const MAX_KEYS: usize = 16;

/// An invalid field.
#[value]
pub struct Fault {
    /// Path of the field.
    pub field: String,
    /// What is wrong.
    pub text: String,
    /// What would be valid.
    pub hint: String,
}

impl From<strict::Error> for Fault {
    fn from(fault: strict::Error) -> Self {
        Fault { field: fault.field, text: fault.text, hint: String::new() }
    }
}

impl Fault {
    /// Makes a fault of one field.
    ///
    /// ```
    /// use lavendergauge_daemon::valid::Fault;
    /// assert_eq!(Fault::new("members", "is 0", "1 to 64").field, "members");
    /// ```
    pub fn new(field: &str, text: impl Into<String>, hint: impl Into<String>) -> Self {
        Fault { field: field.to_owned(), text: text.into(), hint: hint.into() }
    }

    /// Prefixes the field with the path of the object that contains it.
    fn in_object(mut self, path: &str) -> Self {
        self.field = format!("{path}.{}", self.field);
        self
    }

    /// Makes the problem document.
    ///
    /// ```
    /// use lavendergauge_daemon::valid::Fault;
    /// assert_eq!(Fault::new("members", "is 0", "").problem().status, 400);
    /// ```
    pub fn problem(self) -> Box<Detail> {
        let text = format!("{} {}", self.field, self.text);
        let mut detail =
            problem::detail(StatusCode::BAD_REQUEST, "bad input", Outcome::NotRun, text);
        detail.field = self.field;
        detail.hint = self.hint;
        Box::new(detail)
    }
}

/// A job's specification that has been checked against the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Job(Spec);

impl Job {
    /// Checks a job's specification against the configuration.
    ///
    /// # Errors
    /// The first fault.
    ///
    /// ```
    /// use lavendergauge_daemon::config;
    /// use lavendergauge_daemon::valid::Job;
    /// let spec = serde_json::from_str(r#"{"account": "brno", "members": 1, "accelerators": 1,
    ///     "adjacency": "worker", "class": "urgent"}"#).unwrap();
    /// assert_eq!(Job::check(spec, &config::empty()).unwrap_err().field, "account");
    /// ```
    pub fn check(spec: Spec, document: &Document) -> Result<Self, Fault> {
        let account = document.accounts.iter().find(|account| account.name == spec.account);
        let Some(account) = account else {
            let text = format!("names no client account: `{}`", spec.account);
            return Err(Fault::new("account", text, "name one that operators have created"));
        };
        check_range("members", u64::from(spec.members), 1, u64::from(MAX_MEMBERS))?;
        check_range(
            "accelerators",
            u64::from(spec.accelerators),
            0,
            u64::from(MAX_WORKER_ACCELERATORS),
        )?;
        if spec.accelerators == 0 && spec.processors == 0 {
            let text = "is 0, and so is processors";
            return Err(Fault::new("accelerators", text, "ask for accelerators or processors"));
        }
        let total = spec.members * spec.accelerators;
        if spec.adjacency == job::Adjacency::Worker && MAX_WORKER_ACCELERATORS < total {
            let text = format!("is worker, but no worker has {total} accelerators");
            return Err(Fault::new("adjacency", text, "ask for rack or data-centre"));
        }
        if account.quota != 0 && account.quota < total {
            let text =
                format!("add up to {total} over all members, above the quota of {}", account.quota);
            return Err(Fault::new("accelerators", text, "ask for less, or have the quota raised"));
        }
        let known = account.guarantees.iter().any(|known| known.name == spec.guarantee);
        if !spec.guarantee.is_empty() && !known {
            let text = format!("`{}` is not a guarantee of {}", spec.guarantee, spec.account);
            return Err(Fault::new(
                "guarantee",
                text,
                "leave it out, or name one of the account's guarantees",
            ));
        }
        check_data_centres(&spec.data_centres, document)?;
        check_at_most("payload", spec.payload.len(), MAX_PAYLOAD_BYTES)?;
        check_at_most("name", spec.name.len(), MAX_LABEL_BYTES)?;
        Ok(Job(spec))
    }

    /// Returns the job's specification.
    pub fn into_spec(self) -> Spec {
        self.0
    }
}

/// Checks the name of an entity.
///
/// # Errors
/// A fault of the field.
///
/// ```
/// use lavendergauge_daemon::valid;
/// assert!(valid::check_name("name", "zilina-1").is_ok());
/// assert!(valid::check_name("name", "Žilina").is_err());
/// ```
pub fn check_name(field: &str, text: &str) -> Result<(), Fault> {
    if is_name(text) {
        return Ok(());
    }
    let hint = format!("1 to {NAME_LENGTH} characters of a-z, 0-9, `-`, `_`, `.`");
    Err(Fault::new(field, format!("cannot be `{}`", text.escape_default()), hint))
}

/// Checks a whole configuration.
///
/// # Errors
/// The first fault.
///
/// ```
/// use lavendergauge_daemon::config;
/// use lavendergauge_daemon::valid;
/// assert_eq!(valid::check_document(&config::empty()), Ok(()));
/// ```
pub fn check_document(document: &Document) -> Result<(), Fault> {
    check_unique("data_centres", document.data_centres.iter().map(|zone| &zone.name))?;
    for (index, zone) in document.data_centres.iter().enumerate() {
        let path = format!("data_centres[{index}]");
        check_name("name", &zone.name).map_err(|fault| fault.in_object(&path))?;
        check_name("region", &zone.region).map_err(|fault| fault.in_object(&path))?;
    }
    check_unique("accounts", document.accounts.iter().map(|account| &account.name))?;
    for (index, known) in document.accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        check_account(known, document).map_err(|fault| fault.in_object(&path))?;
    }
    check_keys("operators", &document.operators, Role::Operator)?;
    let ids = document.accounts.iter().flat_map(|account| account.keys.iter());
    check_unique("keys", ids.chain(&document.operators).map(|key| &key.id))?;
    document.policy.as_ref().map_or(Ok(()), check_policy)
}

fn check_account(account: &Account, document: &Document) -> Result<(), Fault> {
    check_name("name", &account.name)?;
    check_range("weight", u64::from(account.weight.get()), 1, u64::from(MAX_WEIGHT))?;
    check_unique("guarantees", account.guarantees.iter().map(|known| &known.name))?;
    for (index, known) in account.guarantees.iter().enumerate() {
        let path = format!("guarantees[{index}]");
        check_guarantee(known, document).map_err(|fault| fault.in_object(&path))?;
    }
    let promised: u64 = account.guarantees.iter().map(|known| u64::from(known.accelerators)).sum();
    if account.quota != 0 && u64::from(account.quota) < promised {
        let text = format!("is {}, but the guarantees add up to {promised}", account.quota);
        return Err(Fault::new("quota", text, "raise it, or set 0 for no limit"));
    }
    check_keys("keys", &account.keys, Role::Caller)
}

fn check_guarantee(guarantee: &Guarantee, document: &Document) -> Result<(), Fault> {
    check_name("name", &guarantee.name)?;
    let most = match guarantee.adjacency {
        Adjacency::Worker => MAX_WORKER_ACCELERATORS,
        Adjacency::Rack | Adjacency::DataCentre => MAX_GUARANTEE_ACCELERATORS,
    };
    check_range("accelerators", u64::from(guarantee.accelerators), 1, u64::from(most))?;
    check_data_centres(&guarantee.data_centres, document)
}

fn check_data_centres(names: &[String], document: &Document) -> Result<(), Fault> {
    for (index, name) in names.iter().enumerate() {
        if !document.data_centres.iter().any(|zone| zone.name == *name) {
            let field = format!("data_centres[{index}]");
            let text = format!("names no data centre: `{}`", name.escape_default());
            return Err(Fault::new(&field, text, "name one that the configuration lists"));
        }
    }
    Ok(())
}

fn check_keys(field: &str, keys: &[Key], role: Role) -> Result<(), Fault> {
    check_at_most(field, keys.len(), MAX_KEYS)?;
    for (index, key) in keys.iter().enumerate() {
        let path = format!("{field}[{index}]");
        let id = check_name("id", &key.id);
        id.map_err(|fault| fault.in_object(&path))?;
        // The first dot ends the identifier in `Bearer <id>.<secret>`.
        if key.id.contains('.') || key.id == crate::access::BOOTSTRAP_ID {
            let text = format!("cannot be `{}`", key.id);
            return Err(Fault::new("id", text, "a name without dots").in_object(&path));
        }
        let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.hash.len() != 64 || !key.hash.bytes().all(hex) {
            let hint = "the secret's SHA-256 as 64 lower-case hexadecimal digits";
            return Err(Fault::new("hash", "is not a SHA-256", hint).in_object(&path));
        }
        if key.role != role {
            let text = format!("is {}, but only {role} is allowed here", key.role);
            return Err(Fault::new("role", text, "").in_object(&path));
        }
    }
    Ok(())
}

fn check_policy(policy: &Policy) -> Result<(), Fault> {
    let bounds = [
        ("large_wait_s", policy.large_wait_s, 1, 86_400),
        ("compactness_percent", u64::from(policy.compactness_percent), 0, 100),
        ("notice_ms", policy.notice_ms, 0, 60_000),
        ("retry_percent", u64::from(policy.retry_percent), 0, 100),
        ("queue_ms", policy.queue_ms, 0, 600_000),
    ];
    for (field, number, least, most) in bounds {
        check_range(field, number, least, most).map_err(|fault| fault.in_object("policy"))?;
    }
    Ok(())
}

fn check_range(field: &str, number: u64, least: u64, most: u64) -> Result<(), Fault> {
    if (least..=most).contains(&number) {
        return Ok(());
    }
    Err(Fault::new(field, format!("is {number}"), format!("from {least} to {most}")))
}

fn check_at_most(field: &str, length: usize, most: usize) -> Result<(), Fault> {
    if length <= most {
        return Ok(());
    }
    Err(Fault::new(field, format!("has {length}"), format!("at most {most}")))
}

fn check_unique<'a>(field: &str, names: impl Iterator<Item = &'a String>) -> Result<(), Fault> {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Fault::new(field, format!("has `{name}` twice"), "name each once"));
        }
    }
    Ok(())
}
