//! Changes to the operators' configuration, and its conversion for the planner.

use std::time::Duration;

use lavendergauge_lib::fleet;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::shape;
use lavendergauge_lib::shape::Shape;
use lavendergauge_wire::config::Account;
use lavendergauge_wire::config::Adjacency;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Guarantee;
use lavendergauge_wire::config::Operation;
use lavendergauge_wire::config::Standing;

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another revision has been accepted since the change's base.
    #[error("the change was made on revision {base}, but revision {current} by `{author}` won")]
    Stale {
        /// Revision that the change is based on.
        base: u64,
        /// Revision in force.
        current: u64,
        /// Author of the revision in force.
        author: String,
    },
    /// The change names something that does not exist or is malformed.
    #[error("{field}: {text}")]
    Invalid {
        /// The invalid field.
        field: String,
        /// What is wrong.
        text: String,
    },
}

/// Returns the configuration before any change.
///
/// ```
/// assert_eq!(lavendergauge_daemon::config::empty().revision, 0);
/// ```
pub fn empty() -> Document {
    Document {
        revision: 0,
        change: String::new(),
        author: String::new(),
        accounts: Vec::new(),
        data_centres: Vec::new(),
        operators: Vec::new(),
        policy: None,
    }
}

/// Applies a change to the configuration that it is based on, and returns the next revision.
///
/// # Errors
/// [`Error::Stale`] when another revision is in force, [`Error::Invalid`] when an operation names
/// something that does not exist.
pub fn apply(document: &Document, change: &Change, author: &str) -> Result<Document, Error> {
    if change.base != document.revision {
        return Err(Error::Stale {
            base: change.base,
            current: document.revision,
            author: document.author.clone(),
        });
    }
    let mut next = document.clone();
    for operation in &change.operations {
        apply_operation(&mut next, operation)?;
    }
    next.revision = document.revision + 1;
    next.change = change.id.clone();
    next.author = author.to_owned();
    Ok(next)
}

fn apply_operation(document: &mut Document, operation: &Operation) -> Result<(), Error> {
    match operation {
        Operation::PutAccount { account } => {
            document.accounts.retain(|known| known.name != account.name);
            document.accounts.push(account.clone());
        }
        Operation::RemoveAccount { name } => {
            find(document, name)?;
            document.accounts.retain(|known| known.name != *name);
        }
        Operation::PutGuarantee { account, guarantee } => {
            let account = find(document, account)?;
            account.guarantees.retain(|known| known.name != guarantee.name);
            account.guarantees.push(guarantee.clone());
        }
        Operation::RemoveGuarantee { account, name } => {
            find(document, account)?.guarantees.retain(|known| known.name != *name);
        }
        Operation::PutDataCentre { zone } => {
            document.data_centres.retain(|known| known.name != zone.name);
            document.data_centres.push(zone.clone());
        }
        Operation::RemoveDataCentre { name } => {
            document.data_centres.retain(|known| known.name != *name);
        }
        Operation::PutOperator { key } => {
            document.operators.retain(|known| known.id != key.id);
            document.operators.push(key.clone());
        }
        Operation::RemoveOperator { name } => document.operators.retain(|key| key.id != *name),
        Operation::PutPolicy { policy } => document.policy = Some(policy.clone()),
        Operation::Replace { document: other } => {
            let revision = document.revision;
            *document = other.clone();
            document.revision = revision;
        }
    }
    Ok(())
}

fn find<'a>(document: &'a mut Document, name: &str) -> Result<&'a mut Account, Error> {
    document.accounts.iter_mut().find(|account| account.name == name).ok_or_else(|| {
        Error::Invalid {
            field: "account".to_owned(),
            text: format!("there is no client account `{name}`"),
        }
    })
}

/// Tells whether work may start in a data centre.
///
/// ```
/// use lavendergauge_daemon::config;
/// assert!(!config::is_open(&config::empty(), "zilina-1"));
/// ```
pub fn is_open(document: &Document, data_centre: &str) -> bool {
    document
        .data_centres
        .iter()
        .any(|zone| zone.name == data_centre && zone.standing == Standing::In)
}

/// Converts the configuration to the planner's form.
///
/// ```
/// use lavendergauge_daemon::config;
/// assert_eq!(config::to_planner_config(&config::empty()).revision, 0);
/// ```
pub fn to_planner_config(document: &Document) -> fleet::Config {
    let mut policy = fleet::Policy::default();
    if let Some(known) = &document.policy {
        policy.large_wait = Duration::from_secs(known.large_wait_s);
        policy.compactness_percent = known.compactness_percent;
        policy.notice = Duration::from_millis(known.notice_ms);
    }
    fleet::Config {
        revision: document.revision,
        accounts: document.accounts.iter().map(convert_account).collect(),
        zones: document
            .data_centres
            .iter()
            .map(|zone| fleet::Zone {
                name: Name::from(&zone.name),
                open: zone.standing == Standing::In,
            })
            .collect(),
        policy,
    }
}

fn convert_account(account: &Account) -> fleet::Account {
    fleet::Account {
        name: Name::from(&account.name),
        quota: account.quota,
        weight: account.weight.get(),
        guarantees: account.guarantees.iter().map(convert_guarantee).collect(),
    }
}

fn convert_guarantee(guarantee: &Guarantee) -> fleet::Guarantee {
    let on_one_worker = guarantee.adjacency == Adjacency::Worker;
    let members = if on_one_worker { 1 } else { guarantee.accelerators.max(1) };
    fleet::Guarantee {
        name: Name::from(&guarantee.name),
        shape: Shape {
            members,
            accelerators: guarantee.accelerators / members,
            processors: guarantee.processors / members,
            memory_mb: guarantee.memory_mb / u64::from(members),
            adjacency: match guarantee.adjacency {
                Adjacency::Worker => shape::Adjacency::Worker,
                Adjacency::Rack => shape::Adjacency::Rack,
                Adjacency::DataCentre => shape::Adjacency::DataCentre,
            },
        },
        data_centres: guarantee.data_centres.iter().map(Name::from).collect(),
    }
}
