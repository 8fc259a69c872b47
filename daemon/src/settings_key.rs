//! The table of settings keys: the meaning, the allowed values and the default of each.
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

/// The processes that read a key, by their role.
#[token]
pub enum Audience {
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

impl Audience {
    /// Tells whether processes of `role` are among this audience; `role` is a single role, not
    /// [`Audience::Any`] or [`Audience::Batch`].
    ///
    /// ```
    /// use lavendergauge_daemon::settings_key::Audience;
    /// assert!(Audience::Batch.covers(Audience::BatchAgent));
    /// assert!(!Audience::Entry.covers(Audience::BatchEntry));
    /// ```
    pub fn covers(self, role: Audience) -> bool {
        match self {
            Audience::Any => true,
            Audience::Batch => matches!(role, Audience::BatchEntry | Audience::BatchAgent),
            _ => self == role,
        }
    }
}

/// The kind of values that a key allows.
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
    /// A number within a range, which may have decimals.
    Amount(RangeInclusive<u64>),
    /// One of a fixed list of words.
    Choice(&'static [&'static str]),
    /// The SHA-256 of a secret, in lower-case hexadecimal.
    Hash,
    /// A secret that processes share.
    Secret,
    /// The path of a PEM file.
    Path,
    /// A name given by another system: any text that is not empty.
    Label,
}

/// One settings key.
#[value]
pub struct Key {
    /// Section that the key belongs to.
    pub section: &'static str,
    /// Name of the key within its section.
    pub name: &'static str,
    /// The processes that read the key.
    pub audience: Audience,
    /// The kind of values that the key allows.
    pub kind: Kind,
    /// Value that applies when the key is not set; `None` when it must be set, empty when it is
    /// optional and has no default.
    pub default: Option<&'static str>,
    /// What the key means, for help texts and error messages.
    pub description: &'static str,
}

/// Default of a key that must be set.
const REQUIRED: Option<&str> = None;
const YES_NO: Kind = Kind::Choice(&["yes", "no"]);
const LEVELS: Kind = Kind::Choice(&["error", "warn", "info", "debug"]);

const fn key(
    section: &'static str,
    name: &'static str,
    audience: Audience,
    kind: Kind,
    default: Option<&'static str>,
    description: &'static str,
) -> Key {
    Key { section, name, audience, kind, default, description }
}

/// All settings keys, in the order in which [`crate::settings::explain`] lists them.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    key("process", "role", Audience::Any, Kind::Choice(&["entry", "agent", "batch-entry", "batch-agent"]), REQUIRED, "what the process does"),
    key("process", "name", Audience::Any, Kind::Name, REQUIRED, "name of the process, unique in the fleet; an agent's is its worker's"),
    key("process", "data_centre", Audience::Any, Kind::Name, REQUIRED, "data centre that the process runs in"),
    key("process", "fleet_key", Audience::Any, Kind::Secret, Some(""), "secret by which the fleet's processes authenticate each other"),
    key("process", "open_access", Audience::Any, YES_NO, Some("no"), "whether to run without keys, for trials on one machine"),
    key("process", "memory_mb", Audience::Any, Kind::Amount(32..=16_777_216), Some("1024"), "memory that the VM gives to the process, in megabytes; connections, bodies and answers are limited to parts of it"),
    key("process", "max_descriptors", Audience::Any, Kind::Amount(256..=16_777_216), Some("8192"), "file descriptors that the VM gives to the process; connections are limited to parts of them"),
    key("tls", "certificate", Audience::Any, Kind::Path, Some(""), "PEM file with the process's certificate chain; read again when it changes"),
    key("tls", "key", Audience::Any, Kind::Path, Some(""), "PEM file with the certificate's key"),
    key("tls", "authority", Audience::Any, Kind::Path, Some(""), "PEM file with the certificate of the authority that signs the fleet's certificates"),
    key("log", "level", Audience::Any, LEVELS, Some("info"), "least severe level that is written"),
    key("log", "lines_per_s", Audience::Any, Kind::Number(1..=100_000), Some("500"), "most lines a second; lines beyond that are dropped and counted"),
    key("entry", "service_address", Audience::Entry, Kind::Address, REQUIRED, "address at which callers' requests are received"),
    key("entry", "control_address", Audience::Entry, Kind::Address, REQUIRED, "address of the administration API and of announcements"),
    key("entry", "peers", Audience::Entry, Kind::Addresses, Some(""), "control addresses of other entries, or of the load balancer in front of them, to read the configuration from while the store is down"),
    key("entry", "tick_ms", Audience::Entry, Kind::Number(10..=10_000), Some("100"), "interval of the planner's ticks, in milliseconds"),
    key("entry", "bootstrap_key_hash", Audience::Entry, Kind::Hash, Some(""), "SHA-256 of the first operator key's secret; the key's id is `bootstrap`"),
    key("store", "address", Audience::Entry, Kind::Address, REQUIRED, "address of the platform's key-value service"),
    key("agent", "address", Audience::Agent, Kind::Address, REQUIRED, "address at which entries reach the agent"),
    key("agent", "entries", Audience::Agent, Kind::Addresses, REQUIRED, "control addresses of entries, or of the load balancer in front of them"),
    key("agent", "announce_ms", Audience::Agent, Kind::Number(20..=60_000), Some("1000"), "interval between announcements, in milliseconds"),
    key("worker", "rack", Audience::Agent, Kind::Name, REQUIRED, "rack of the worker, unique within its data centre"),
    key("worker", "accelerators", Audience::Agent, Kind::Number(0..=64), REQUIRED, "number of accelerators of the worker"),
    key("worker", "processors", Audience::Agent, Kind::Number(1..=4096), REQUIRED, "number of processor cores of the worker"),
    key("worker", "memory_mb", Audience::Agent, Kind::Number(1..=67_108_864), REQUIRED, "memory of the worker, in megabytes"),
    key("target", "address", Audience::Agent, Kind::Address, REQUIRED, "address of the target on the same VM as the agent"),
    key("target", "slots", Audience::Agent, Kind::Number(1..=65_535), Some("8"), "number of requests that the target serves at a time"),
    key("target", "connections", Audience::Agent, Kind::Number(1..=65_535), Some("64"), "number of connections that the target accepts"),
    key("runtime", "address", Audience::Agent, Kind::Address, REQUIRED, "address of the worker runtime"),
    key("batch", "peer_address", Audience::Batch, Kind::Address, REQUIRED, "address at which calls of the fleet's processes are received and metrics are served"),
    key("batch", "advertised_address", Audience::Batch, Kind::Address, Some(""), "address at which the fleet's processes are told to reach this one, if it differs from peer_address"),
    key("batch", "store_address", Audience::Batch, Kind::Address, REQUIRED, "address of the platform's store"),
    key("batch", "store_value_bytes", Audience::BatchEntry, Kind::Amount(1024..=1_073_741_824), Some("1048576"), "longest value that the platform's store takes, in bytes"),
    key("batch", "service_address", Audience::BatchEntry, Kind::Address, REQUIRED, "address at which callers' requests are received"),
    key("batch", "ready_address", Audience::BatchEntry, Kind::Address, REQUIRED, "address of the health check for callers' load balancer"),
    key("batch", "machines_address", Audience::BatchEntry, Kind::Address, Some(""), "address of the platform's VM service"),
    key("batch", "processor_share", Audience::BatchEntry, Kind::Amount(0..=1024), Some("1"), "processor cores that the VM gives to the process; entries with more are preferred as the leader"),
    key("batch", "link_mbps", Audience::BatchEntry, Kind::Amount(0..=1_000_000), Some("1000"), "bandwidth of the VM's link, in megabits per second; a narrow one makes a worse leader"),
    key("batch", "stop_grace_ms", Audience::BatchEntry, Kind::Amount(0..=600_000), Some("1000"), "longest time that a stopped task takes to end, in milliseconds"),
    key("batch", "remote_factor", Audience::BatchEntry, Kind::Amount(1..=1000), Some("3"), "factor by which a task away from its data or split over racks is slowed"),
    key("batch", "reclaim_ms", Audience::BatchEntry, Kind::Amount(100..=3_600_000), Some("3300"), "time in which guaranteed jobs must start, in milliseconds"),
    key("batch", "keep_s", Audience::BatchEntry, Kind::Amount(1..=864_000), Some("120"), "time for which the state of an ended job is kept, in seconds"),
    key("batch", "revoke_ms", Audience::BatchEntry, Kind::Amount(500..=600_000), Some("5000"), "time after which a removed key must no longer be accepted, in milliseconds"),
    key("batch", "stop_s", Audience::BatchEntry, Kind::Amount(1..=600), Some("6"), "time in which a process that is told to stop must end, in seconds"),
    key("batch", "run_time_model", Audience::BatchEntry, YES_NO, Some("no"), "whether the planner corrects callers' estimates by what earlier runs took"),
    key("batch", "worker_speed", Audience::BatchEntry, YES_NO, Some("no"), "whether the planner learns how fast each worker is and places work by it"),
    key("batch", "worker_trust", Audience::BatchEntry, YES_NO, Some("no"), "whether the planner places work by how certain it is that a worker runs what it starts"),
    key("batch", "learned_state", Audience::BatchEntry, YES_NO, Some("no"), "whether what the planner has learned is kept in the store for the next leader"),
    key("batch", "shortage", Audience::BatchEntry, YES_NO, Some("no"), "whether the planner weighs what callers lose when the waiting work exceeds the capacity"),
    key("batch", "account_shares", Audience::BatchEntry, YES_NO, Some("no"), "whether work beyond the guarantees is ordered by the use of each client account"),
    key("batch", "admission", Audience::BatchEntry, YES_NO, Some("no"), "whether jobs that cannot start in time to be of any worth are refused"),
    key("batch", "heartbeat_address", Audience::BatchAgent, Kind::Address, REQUIRED, "address at which the worker's heartbeats are received"),
    key("batch", "worker_address", Audience::BatchAgent, Kind::Address, REQUIRED, "address of the worker"),
    key("batch", "service", Audience::BatchAgent, Kind::Label, REQUIRED, "service that the worker belongs to"),
    key("batch", "advice_address", Audience::BatchAgent, Kind::Address, Some(""), "address of the service that names workers for a step"),
    key("batch", "lease_max_ms", Audience::BatchAgent, Kind::Amount(500..=600_000), Some("10000"), "longest lease that the worker grants, in milliseconds"),
];

/// Returns the key of that section and name, if there is one.
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
    /// Tells whether a value is of this kind.
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

    /// Describes the allowed values, for help texts and error messages.
    ///
    /// ```
    /// use lavendergauge_daemon::settings_key::Kind;
    /// assert_eq!(Kind::Number(1..=5).expected(), "a whole number from 1 to 5");
    /// ```
    pub fn expected(&self) -> String {
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

/// Tells whether a text is a valid name of a process, data centre, rack, client account or the
/// like.
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
