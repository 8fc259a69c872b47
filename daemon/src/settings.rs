//! Settings of one process, read from an INI file.

use std::time::Duration;

use ini::Ini;
use lavendergauge_derive::value;

/// Settings of one process.
#[value]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Data centre that the process stands in.
    pub data_centre: String,
    /// What the process does.
    pub role: Role,
}

/// What a process does.
#[value]
pub enum Role {
    /// Takes callers' requests and operators' changes.
    Entry(Entry),
    /// Stands beside a target and gives away its worker's capacity.
    Agent(Agent),
}

/// Settings of an entry.
#[value]
pub struct Entry {
    /// Address that callers' requests come to.
    pub service_address: String,
    /// Address that the administration API and announcements come to.
    pub control_address: String,
    /// Address of the platform's key-value service.
    pub store_address: String,
    /// Interval of the planner's ticks.
    pub tick: Duration,
}

/// Settings of an agent.
#[value]
pub struct Agent {
    /// Address that entries reach the agent at.
    pub address: String,
    /// Control addresses of entries, or of the balancer before them.
    pub entries: Vec<String>,
    /// Interval between announcements.
    pub announce: Duration,
    /// Rack of the worker.
    pub rack: String,
    /// Accelerators of the worker.
    pub accelerators: u8,
    /// Processor cores of the worker.
    pub processors: u32,
    /// Memory of the worker, in megabytes.
    pub memory_mb: u64,
    /// Address of the target.
    pub target_address: String,
    /// Requests that the target takes at a time.
    pub slots: u32,
    /// Connections that the target takes.
    pub connections: u32,
    /// Address of the worker runtime.
    pub runtime_address: String,
}

/// Something wrong in a settings file.
#[value]
pub struct Fault {
    /// Section that the key belongs to.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is wrong and what would be right.
    pub text: String,
}

/// Reads settings from the text of an INI file.
///
/// # Errors
/// Every fault found, not only the first.
///
/// ```
/// use lavendergauge_daemon::settings;
/// assert!(settings::parse("[process]\nrole = cook\n").is_err());
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        vec![Fault { section: String::new(), key: String::new(), text: error.to_string() }]
    })?;
    let mut reader = Reader { ini, faults: Vec::new() };
    let name = reader.text("process", "name");
    let data_centre = reader.text("process", "data_centre");
    let role = match reader.text("process", "role").as_str() {
        "entry" => Some(Role::Entry(reader.entry())),
        "agent" => Some(Role::Agent(reader.agent())),
        other => {
            reader.fault("process", "role", format!("`{other}` is not `entry` or `agent`"));
            None
        }
    };
    match role {
        Some(role) if reader.faults.is_empty() => Ok(Settings { name, data_centre, role }),
        _ => Err(reader.faults),
    }
}

struct Reader {
    ini: Ini,
    faults: Vec<Fault>,
}

impl Reader {
    fn fault(&mut self, section: &str, key: &str, text: String) {
        self.faults.push(Fault { section: section.to_owned(), key: key.to_owned(), text });
    }

    fn text(&mut self, section: &str, key: &str) -> String {
        match self.ini.get_from(Some(section), key) {
            Some(text) if !text.is_empty() => text.to_owned(),
            _ => {
                self.fault(section, key, "is missing".to_owned());
                String::new()
            }
        }
    }

    fn number<T: std::str::FromStr + Default>(&mut self, section: &str, key: &str) -> T {
        let text = self.text(section, key);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.fault(section, key, format!("`{text}` is not a number in range"));
            }
            T::default()
        })
    }

    fn entry(&mut self) -> Entry {
        Entry {
            service_address: self.text("entry", "service_address"),
            control_address: self.text("entry", "control_address"),
            store_address: self.text("store", "address"),
            tick: Duration::from_millis(self.number("entry", "tick_ms")),
        }
    }

    fn agent(&mut self) -> Agent {
        let entries = self.text("agent", "entries");
        Agent {
            address: self.text("agent", "address"),
            entries: entries.split(',').map(|entry| entry.trim().to_owned()).collect(),
            announce: Duration::from_millis(self.number("agent", "announce_ms")),
            rack: self.text("worker", "rack"),
            accelerators: self.number("worker", "accelerators"),
            processors: self.number("worker", "processors"),
            memory_mb: self.number("worker", "memory_mb"),
            target_address: self.text("target", "address"),
            slots: self.number("target", "slots"),
            connections: self.number("target", "connections"),
            runtime_address: self.text("runtime", "address"),
        }
    }
}
