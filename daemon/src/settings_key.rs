//! The table of settings keys: what each means, what it may hold, and its default.
//!
//! A new key is one entry of [`KEYS`] and one line in [`crate::settings`] that reads it.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

/// Longest name of a process, data centre, rack or the like, in bytes.
pub const NAME_LENGTH: usize = 63;
/// Shortest fleet key, in bytes.
const SECRET_LENGTH: usize = 16;

/// The role of the processes that read a key.
#[token]
pub enum Reader {
    /// Every process.
    Any,
    /// Entries.
    Entry,
    /// Agents.
    Agent,
    /// Entries and agents of batch jobs.
    Batch,
    /// Entries of batch jobs.
    BatchEntry,
    /// Agents of batch jobs.
    BatchAgent,
}

impl Reader {
    /// Tells whether processes of a role read what is meant for this reader.
    ///
    /// ```
    /// use lavendergauge_daemon::settings_key::Reader;
    /// assert!(Reader::Batch.covers(Reader::BatchAgent));
    /// assert!(!Reader::Entry.covers(Reader::BatchEntry));
    /// ```
    pub fn covers(self, role: Reader) -> bool {
        match self {
            Reader::Any => true,
            Reader::Batch => matches!(role, Reader::BatchEntry | Reader::BatchAgent),
            _ => self == role,
        }
    }
}

/// What a key may hold.
#[value]
pub enum Kind {
    /// A name in lower-case letters, digits, `-`, `_` and `.`.
    Name,
    /// An IP address with a port.
    Address,
    /// IP addresses with ports, separated by commas.
    Addresses,
    /// A whole number within a range.
    Number(RangeInclusive<u64>),
    /// A number within a range, with decimals where they are wanted.
    Amount(RangeInclusive<u64>),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// The SHA-256 of a secret, in lower-case hexadecimal.
    Hash,
    /// A secret that processes share.
    Secret,
    /// A path of a file.
    Path,
    /// A text that another system chose.
    Label,
}

/// One settings key.
#[value]
pub struct Key {
    /// Section that the key belongs to.
    pub section: &'static str,
    /// The key.
    pub name: &'static str,
    /// Who reads it.
    pub reader: Reader,
    /// What it may hold.
    pub kind: Kind,
    /// What holds when it is not set; `None` when it must be set, empty when there is no default.
    pub default: Option<&'static str>,
    /// What it means.
    pub text: &'static str,
}

const MUST: Option<&str> = None;
const YES_NO: Kind = Kind::Choice(&["yes", "no"]);
const LEVELS: Kind = Kind::Choice(&["error", "warn", "info", "debug"]);

const fn key(
    section: &'static str,
    name: &'static str,
    reader: Reader,
    kind: Kind,
    default: Option<&'static str>,
    text: &'static str,
) -> Key {
    Key { section, name, reader, kind, default, text }
}

/// Every settings key, in the order that they are documented in.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    key("process", "role", Reader::Any, Kind::Choice(&["entry", "agent", "batch-entry", "batch-agent"]), MUST, "what the process does"),
    key("process", "name", Reader::Any, Kind::Name, MUST, "name of the process, unique in the fleet; an agent's is its worker's"),
    key("process", "data_centre", Reader::Any, Kind::Name, MUST, "data centre that the process stands in"),
    key("process", "fleet_key", Reader::Any, Kind::Secret, Some(""), "secret by which the fleet's processes know one another"),
    key("process", "open_access", Reader::Any, YES_NO, Some("no"), "whether to run without keys, for trials on one machine"),
    key("tls", "certificate", Reader::Any, Kind::Path, Some(""), "PEM file with the process's certificate chain; read again when it changes"),
    key("tls", "key", Reader::Any, Kind::Path, Some(""), "PEM file with the certificate's key"),
    key("tls", "authority", Reader::Any, Kind::Path, Some(""), "PEM file with the authority that signs the fleet's certificates"),
    key("log", "level", Reader::Any, LEVELS, Some("info"), "least level of the lines that are written"),
    key("log", "lines_per_s", Reader::Any, Kind::Number(1..=100_000), Some("500"), "most lines a second; the rest are counted and dropped"),
    key("entry", "service_address", Reader::Entry, Kind::Address, MUST, "address that callers' requests come to"),
    key("entry", "control_address", Reader::Entry, Kind::Address, MUST, "address of the administration API and of announcements"),
    key("entry", "peers", Reader::Entry, Kind::Addresses, Some(""), "control addresses of other entries, or of the balancer before them, to learn from while the store is down"),
    key("entry", "tick_ms", Reader::Entry, Kind::Number(10..=10_000), Some("100"), "interval of the planner's ticks, in milliseconds"),
    key("entry", "bootstrap_key_hash", Reader::Entry, Kind::Hash, Some(""), "SHA-256 of the first operator key's secret; its id is `bootstrap`"),
    key("store", "address", Reader::Entry, Kind::Address, MUST, "address of the platform's key-value service"),
    key("agent", "address", Reader::Agent, Kind::Address, MUST, "address that entries reach the agent at"),
    key("agent", "entries", Reader::Agent, Kind::Addresses, MUST, "control addresses of entries, or of the balancer before them"),
    key("agent", "announce_ms", Reader::Agent, Kind::Number(20..=60_000), Some("1000"), "interval between announcements, in milliseconds"),
    key("worker", "rack", Reader::Agent, Kind::Name, MUST, "rack of the worker, unique within its data centre"),
    key("worker", "accelerators", Reader::Agent, Kind::Number(0..=64), MUST, "accelerators of the worker"),
    key("worker", "processors", Reader::Agent, Kind::Number(1..=4096), MUST, "processor cores of the worker"),
    key("worker", "memory_mb", Reader::Agent, Kind::Number(1..=67_108_864), MUST, "memory of the worker, in megabytes"),
    key("target", "address", Reader::Agent, Kind::Address, MUST, "address of the target beside the agent"),
    key("target", "slots", Reader::Agent, Kind::Number(1..=65_535), Some("8"), "requests that the target takes at a time"),
    key("target", "connections", Reader::Agent, Kind::Number(1..=65_535), Some("64"), "connections that the target takes"),
    key("runtime", "address", Reader::Agent, Kind::Address, MUST, "address of the worker runtime"),
    key("batch", "peer_address", Reader::Batch, Kind::Address, MUST, "address that calls of the fleet's processes come to; metrics are served there"),
    key("batch", "advertised_address", Reader::Batch, Kind::Address, Some(""), "address under which the fleet's processes are told to reach this one, if another than peer_address"),
    key("batch", "store_address", Reader::Batch, Kind::Address, MUST, "address of the platform's store"),
    key("batch", "service_address", Reader::BatchEntry, Kind::Address, MUST, "address that callers' requests come to"),
    key("batch", "ready_address", Reader::BatchEntry, Kind::Address, MUST, "address of the health check of callers' balancer"),
    key("batch", "machines_address", Reader::BatchEntry, Kind::Address, Some(""), "address of the platform's service of machines"),
    key("batch", "stop_grace_ms", Reader::BatchEntry, Kind::Amount(0..=600_000), Some("1000"), "longest time that a stopped task takes to end, in milliseconds"),
    key("batch", "remote_factor", Reader::BatchEntry, Kind::Amount(1..=1000), Some("3"), "factor by which a task away from its data is slowed"),
    key("batch", "reclaim_ms", Reader::BatchEntry, Kind::Amount(100..=3_600_000), Some("3300"), "time in which guaranteed jobs start, in milliseconds"),
    key("batch", "keep_s", Reader::BatchEntry, Kind::Amount(1..=864_000), Some("120"), "time for which the state of an ended job is kept, in seconds"),
    key("batch", "revoke_ms", Reader::BatchEntry, Kind::Amount(500..=600_000), Some("5000"), "time after which a removed key must not be taken any more, in milliseconds"),
    key("batch", "stop_s", Reader::BatchEntry, Kind::Amount(1..=600), Some("6"), "time that a stopped process is given to end, in seconds"),
    key("batch", "heartbeat_address", Reader::BatchAgent, Kind::Address, MUST, "address that the worker's heartbeats come to"),
    key("batch", "worker_address", Reader::BatchAgent, Kind::Address, MUST, "address of the worker"),
    key("batch", "service", Reader::BatchAgent, Kind::Label, MUST, "service that the worker belongs to"),
    key("batch", "advice_address", Reader::BatchAgent, Kind::Address, Some(""), "address of the service that names workers for a step"),
    key("batch", "lease_max_ms", Reader::BatchAgent, Kind::Amount(500..=600_000), Some("10000"), "longest lease that the worker grants, in milliseconds"),
];

/// Finds a key.
///
/// ```
/// use lavendergauge_daemon::settings_key;
/// assert!(settings_key::find("entry", "tick_ms").is_some());
/// assert!(settings_key::find("entry", "tick").is_none());
/// ```
pub fn find(section: &str, name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.section == section && key.name == name)
}

impl Kind {
    /// Tells whether a text is of this kind.
    ///
    /// ```
    /// use lavendergauge_daemon::settings_key::Kind;
    /// assert!(Kind::Number(1..=5).allows("5"));
    /// assert!(!Kind::Number(1..=5).allows("6"));
    /// ```
    pub fn allows(&self, text: &str) -> bool {
        match self {
            Kind::Name => is_name(text),
            Kind::Address => text.parse::<SocketAddr>().is_ok(),
            Kind::Addresses => {
                text.split(',').all(|part| part.trim().parse::<SocketAddr>().is_ok())
            }
            Kind::Number(range) => text.parse().is_ok_and(|number| range.contains(&number)),
            Kind::Amount(range) => text.parse::<f64>().is_ok_and(|number| {
                *range.start() as f64 <= number && number <= *range.end() as f64
            }),
            Kind::Choice(words) => words.contains(&text),
            Kind::Path | Kind::Label => !text.is_empty(),
            Kind::Hash => text.len() == 64 && text.bytes().all(is_lower_hex),
            Kind::Secret => {
                SECRET_LENGTH <= text.len() && text.bytes().all(|b| b.is_ascii_graphic())
            }
        }
    }

    /// Says what would be right.
    ///
    /// ```
    /// use lavendergauge_daemon::settings_key::Kind;
    /// assert_eq!(Kind::Number(1..=5).wanted(), "a whole number from 1 to 5");
    /// ```
    pub fn wanted(&self) -> String {
        match self {
            Kind::Name => {
                format!("a name of 1 to {NAME_LENGTH} characters of a-z, 0-9, `-`, `_`, `.`")
            }
            Kind::Address => "an IP address with a port, such as 10.0.0.5:7001".to_owned(),
            Kind::Addresses => {
                "IP addresses with ports, such as 10.0.0.5:7001, 10.0.0.6:7001".to_owned()
            }
            Kind::Number(range) => {
                format!("a whole number from {} to {}", range.start(), range.end())
            }
            Kind::Amount(range) => format!("a number from {} to {}", range.start(), range.end()),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
            Kind::Path => "the path of a PEM file".to_owned(),
            Kind::Label => "a text".to_owned(),
            Kind::Hash => "64 lower-case hexadecimal digits".to_owned(),
            Kind::Secret => format!("at least {SECRET_LENGTH} printable characters without blanks"),
        }
    }
}

/// Tells whether a text can name a process, data centre, rack, client account or the like.
///
/// ```
/// use lavendergauge_daemon::settings_key;
/// assert!(settings_key::is_name("zilina-1"));
/// assert!(!settings_key::is_name("Žilina 1"));
/// ```
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    !text.is_empty() && text.len() <= NAME_LENGTH && text.bytes().all(allowed)
}

fn is_lower_hex(byte: u8) -> bool {
    byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte)
}
