//! The settings of one process, read from an INI file and checked.

use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::batch::config::Bounds;
use lavendergauge_lib::batch::policy::Policy;
use lavendergauge_lib::batch::succession::Strength;
use lavendergauge_net::client;
use log::LevelFilter;

use crate::limits::Limits;
use crate::settings_file;
use crate::settings_file::Fault;
use crate::settings_file::File;
use crate::settings_key;
use crate::settings_key::Audience;

/// Length of an answer of the store beside its value, in bytes.
const ANSWER_FRAME_BYTES: usize = 64 << 10;
/// Longest value that an entry can read again: the store answers with it in base64.
const MAX_VALUE_BYTES: usize = (client::MAX_RESPONSE_BYTES - ANSWER_FRAME_BYTES) / 4 * 3;

/// Settings of one process.
#[value]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Data centre that the process runs in.
    pub data_centre: String,
    /// How callers and processes authenticate.
    pub access: Access,
    /// What the VM gives to the process.
    pub limits: Limits,
    /// TLS files for connections.
    pub tls: Tls,
    /// Level and rate of the log.
    pub log: Log,
    /// Role of the process, with the role's own settings.
    pub role: Role,
}

/// TLS files for connections; without them connections are plain.
#[value]
#[derive(Default)]
pub struct Tls {
    /// PEM file with the process's certificate chain; empty for plain listeners.
    pub certificate: String,
    /// PEM file with the certificate's key.
    pub key: String,
    /// PEM file with the certificate of the authority that signs the fleet's certificates; empty for
    /// plain outgoing connections.
    pub authority: String,
}

/// How callers and processes authenticate.
#[value]
#[derive(Default)]
pub struct Access {
    /// Secret by which the fleet's processes authenticate each other; empty for none.
    pub fleet_key: String,
    /// SHA-256 of the first operator key's secret, in hexadecimal; empty for none.
    pub bootstrap_hash: String,
    /// Whether callers and processes need no key as long as none is configured.
    pub open: bool,
}

/// Level and rate of the log.
#[value]
pub struct Log {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Most lines a second.
    pub lines_per_s: u64,
}

/// The role of a process, with the role's own settings.
#[value]
pub enum Role {
    /// Serves callers' requests and operators' configuration changes.
    Entry(Entry),
    /// Runs on the same VM as a target and allocates its worker's capacity.
    Agent(Agent),
    /// Accepts callers' batch jobs, and may be their planner.
    BatchEntry(BatchEntry),
    /// Runs on the same VM as a worker that runs tasks of batch jobs.
    BatchAgent(BatchAgent),
}

/// Settings of an entry of batch jobs.
#[value]
pub struct BatchEntry {
    /// Address at which callers' requests are received.
    pub service_address: String,
    /// Address of the health check for callers' load balancer.
    pub ready_address: String,
    /// Address at which calls of the fleet's processes are received.
    pub peer_address: String,
    /// Address at which the fleet's processes reach this one.
    pub advertised_address: String,
    /// Address of the platform's store.
    pub store_address: String,
    /// Longest value that the platform's store takes and an entry can read again, in bytes.
    pub store_value_bytes: usize,
    /// Address of the platform's VM service; empty for none.
    pub machines_address: String,
    /// Limits that the planner works with.
    pub bounds: Bounds,
    /// Optional decisions of the planner.
    pub policy: Policy,
    /// How much work the VM can do.
    pub strength: Strength,
    /// Time after which a removed key must no longer be accepted.
    pub revoke: Duration,
    /// Time in which a process must end after it is ordered to stop.
    pub stop: Duration,
}

/// Settings of an agent of batch jobs.
#[value]
pub struct BatchAgent {
    /// Address at which the worker's heartbeats are received.
    pub heartbeat_address: String,
    /// Address at which calls of the fleet's processes are received.
    pub peer_address: String,
    /// Address at which the fleet's processes reach this one.
    pub advertised_address: String,
    /// Address of the platform's store.
    pub store_address: String,
    /// Address of the worker.
    pub worker_address: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Address of the advice service; empty for none.
    pub advice_address: String,
    /// Longest lease that the worker grants.
    pub lease_max: Duration,
}

/// Settings of an entry.
#[value]
pub struct Entry {
    /// Address at which callers' requests are received.
    pub service_address: String,
    /// Address at which the administration API is served and announcements are received.
    pub control_address: String,
    /// Control addresses of other entries, or of the load balancer in front of them; may be empty.
    pub peers: Vec<String>,
    /// Address of the platform's key-value service.
    pub store_address: String,
    /// Interval of the planner's ticks.
    pub tick: Duration,
}

/// Settings of an agent.
#[value]
pub struct Agent {
    /// Address at which entries reach the agent.
    pub address: String,
    /// Control addresses of entries, or of the load balancer in front of them.
    pub entries: Vec<String>,
    /// Interval between announcements.
    pub announce: Duration,
    /// Rack of the worker.
    pub rack: String,
    /// Number of accelerators of the worker.
    pub accelerators: u8,
    /// Number of processor cores of the worker.
    pub processors: u32,
    /// Memory of the worker, in megabytes.
    pub memory_mb: u64,
    /// Address of the target.
    pub target_address: String,
    /// Number of requests that the target serves at a time.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Address of the worker runtime.
    pub runtime_address: String,
}

/// Reads and checks settings from the text of an INI file.
///
/// # Errors
/// All faults found, sorted by line.
///
/// ```
/// use lavendergauge_daemon::settings;
/// assert!(settings::parse("[process]\nrole = cook\n").is_err());
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let mut file = settings_file::read(text);
    let role = match file.value("process", "role") {
        Some("entry") => Some(Audience::Entry),
        Some("agent") => Some(Audience::Agent),
        Some("batch-entry") => Some(Audience::BatchEntry),
        Some("batch-agent") => Some(Audience::BatchAgent),
        _ => None,
    };
    file.check(role);
    check_access(&mut file, role);
    check_tls(&mut file);
    if !file.faults.is_empty() {
        file.faults.sort_by_key(|fault| fault.line);
        return Err(file.faults);
    }
    Ok(Settings {
        name: text_of(&file, "process", "name"),
        data_centre: text_of(&file, "process", "data_centre"),
        access: Access {
            fleet_key: text_of(&file, "process", "fleet_key"),
            bootstrap_hash: text_of(&file, "entry", "bootstrap_key_hash"),
            open: text_of(&file, "process", "open_access") == "yes",
        },
        limits: Limits {
            memory_mb: number::<f64>(&file, "process", "memory_mb") as usize,
            max_descriptors: number::<f64>(&file, "process", "max_descriptors") as usize,
        },
        tls: Tls {
            certificate: text_of(&file, "tls", "certificate"),
            key: text_of(&file, "tls", "key"),
            authority: text_of(&file, "tls", "authority"),
        },
        log: Log {
            level: text_of(&file, "log", "level").parse().unwrap_or(LevelFilter::Info),
            lines_per_s: number(&file, "log", "lines_per_s"),
        },
        role: match role {
            Some(Audience::Agent) => Role::Agent(agent(&file)),
            Some(Audience::BatchEntry) => Role::BatchEntry(batch_entry(&file)),
            Some(Audience::BatchAgent) => Role::BatchAgent(batch_agent(&file)),
            _ => Role::Entry(entry(&file)),
        },
    })
}

/// Returns the text of a settings file for a role: each key with a comment that explains it.
///
/// Keys with a default are commented out, so that the default applies; required keys have no value.
///
/// ```
/// use lavendergauge_daemon::settings;
/// use lavendergauge_daemon::settings_key::Audience;
/// assert!(settings::explain(Audience::Entry).contains("#tick_ms = 100"));
/// ```
pub fn explain(role: Audience) -> String {
    let mut text = String::new();
    let mut section = "";
    let keys = settings_key::KEYS.iter();
    for key in keys.filter(|key| key.audience.covers(role)) {
        if key.section != section {
            section = key.section;
            let blank_line = if text.is_empty() { "" } else { "\n" };
            text.push_str(&format!("{blank_line}[{section}]\n"));
        }
        text.push_str(&format!("# {}: {}\n", key.description, key.kind.expected()));
        match key.default {
            None => text.push_str(&format!("{} =\n", key.name)),
            Some(default) => text.push_str(&format!("#{} = {default}\n", key.name)),
        }
    }
    text
}

/// Checks that the required keys are set, unless the file says that the process runs without keys.
fn check_access(file: &mut File, role: Option<Audience>) {
    if file.value("process", "open_access") == Some("yes") {
        return;
    }
    let expected = "set it, or `open_access = yes` in [process] for trials on one machine";
    if file.value("process", "fleet_key").is_none() {
        file.fault("process", "fleet_key", "is missing", expected);
    }
    if role == Some(Audience::Entry) && file.value("entry", "bootstrap_key_hash").is_none() {
        file.fault("entry", "bootstrap_key_hash", "is missing", expected);
    }
}

/// Checks that either all files of TLS are set or none: a listener needs the certificate and its
/// key, and outgoing connections need the authority.
fn check_tls(file: &mut File) {
    let names = ["certificate", "key", "authority"];
    if names.iter().all(|name| file.value("tls", name).is_none()) {
        return;
    }
    for name in names {
        if file.value("tls", name).is_none() {
            file.fault("tls", name, "is missing", "set all of `certificate`, `key`, `authority`");
        }
    }
}

/// Returns a key's value, its default, or an empty text if it has neither.
fn text_of(file: &File, section: &str, name: &str) -> String {
    let default = settings_key::find(section, name).and_then(|key| key.default);
    file.value(section, name).or(default).unwrap_or_default().to_owned()
}

fn number<T: std::str::FromStr + Default>(file: &File, section: &str, name: &str) -> T {
    text_of(file, section, name).parse().unwrap_or_default()
}

fn millis(file: &File, section: &str, name: &str) -> Duration {
    Duration::from_millis(number(file, section, name))
}

fn entry(file: &File) -> Entry {
    Entry {
        service_address: text_of(file, "entry", "service_address"),
        control_address: text_of(file, "entry", "control_address"),
        peers: addresses(file, "entry", "peers"),
        store_address: text_of(file, "store", "address"),
        tick: millis(file, "entry", "tick_ms"),
    }
}

fn addresses(file: &File, section: &str, name: &str) -> Vec<String> {
    let text = text_of(file, section, name);
    text.split(',').map(|part| part.trim().to_owned()).filter(|part| !part.is_empty()).collect()
}

fn agent(file: &File) -> Agent {
    Agent {
        address: text_of(file, "agent", "address"),
        entries: addresses(file, "agent", "entries"),
        announce: millis(file, "agent", "announce_ms"),
        rack: text_of(file, "worker", "rack"),
        accelerators: number(file, "worker", "accelerators"),
        processors: number(file, "worker", "processors"),
        memory_mb: number(file, "worker", "memory_mb"),
        target_address: text_of(file, "target", "address"),
        slots: number(file, "target", "slots"),
        connections: number(file, "target", "connections"),
        runtime_address: text_of(file, "runtime", "address"),
    }
}

/// Returns the number of a key of `[batch]` times `scale`, rounded to a whole number.
fn scaled(file: &File, name: &str, scale: f64) -> u64 {
    (number::<f64>(file, "batch", name) * scale).round() as u64
}

/// Tells whether a switch of `[batch]` is on.
fn is_enabled(file: &File, name: &str) -> bool {
    text_of(file, "batch", name) == "yes"
}

/// Returns the address at which other processes reach this one: `advertised_address`, or
/// `peer_address` if it is not set.
fn advertised(file: &File) -> String {
    let configured = text_of(file, "batch", "advertised_address");
    if configured.is_empty() { text_of(file, "batch", "peer_address") } else { configured }
}

fn batch_entry(file: &File) -> BatchEntry {
    BatchEntry {
        service_address: text_of(file, "batch", "service_address"),
        ready_address: text_of(file, "batch", "ready_address"),
        peer_address: text_of(file, "batch", "peer_address"),
        advertised_address: advertised(file),
        store_address: text_of(file, "batch", "store_address"),
        store_value_bytes: (scaled(file, "store_value_bytes", 1.0) as usize).min(MAX_VALUE_BYTES),
        machines_address: text_of(file, "batch", "machines_address"),
        bounds: Bounds {
            stop_grace_ms: scaled(file, "stop_grace_ms", 1.0),
            remote_permille: scaled(file, "remote_factor", 1000.0),
            reclaim_ms: scaled(file, "reclaim_ms", 1.0),
            keep_ms: scaled(file, "keep_s", 1000.0),
        },
        policy: Policy {
            run_time_model: is_enabled(file, "run_time_model"),
            worker_speed: is_enabled(file, "worker_speed"),
            worker_trust: is_enabled(file, "worker_trust"),
            learned_state: is_enabled(file, "learned_state"),
            shortage: is_enabled(file, "shortage"),
            account_shares: is_enabled(file, "account_shares"),
            admission: is_enabled(file, "admission"),
        },
        strength: Strength::new(
            scaled(file, "processor_share", 1000.0),
            scaled(file, "link_mbps", 1.0),
        ),
        revoke: Duration::from_millis(scaled(file, "revoke_ms", 1.0)),
        stop: Duration::from_millis(scaled(file, "stop_s", 1000.0)),
    }
}

fn batch_agent(file: &File) -> BatchAgent {
    BatchAgent {
        heartbeat_address: text_of(file, "batch", "heartbeat_address"),
        peer_address: text_of(file, "batch", "peer_address"),
        advertised_address: advertised(file),
        store_address: text_of(file, "batch", "store_address"),
        worker_address: text_of(file, "batch", "worker_address"),
        service: text_of(file, "batch", "service"),
        advice_address: text_of(file, "batch", "advice_address"),
        lease_max: Duration::from_millis(scaled(file, "lease_max_ms", 1.0)),
    }
}
