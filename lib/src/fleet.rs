//! The operators' configuration and the workers' announcements, as input of the planner.

use std::time::Duration;

use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::name::Name;
use crate::shape::Accelerators;
use crate::shape::Shape;

/// A guarantee as configured.
#[value]
pub struct Guarantee {
    /// Name within the client account.
    pub name: Name,
    /// Resources that can always be claimed.
    pub shape: Shape,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
}

/// A client account as configured.
#[value]
pub struct Account {
    /// Name of the client account.
    pub name: Name,
    /// Maximum number of accelerators held at a time; 0 for no limit.
    pub quota: u32,
    /// Share of spare capacity, relative to the weights of the other accounts.
    pub weight: u32,
    /// Guarantees of the account.
    pub guarantees: Vec<Guarantee>,
}

/// A data centre as configured.
#[value]
pub struct Zone {
    /// Name of the data centre.
    pub name: Name,
    /// Whether work may start there.
    pub open: bool,
}

/// Parameters of placement and eviction.
#[value]
pub struct Policy {
    /// Wait after which a large job gets a drain reservation.
    pub large_wait: Duration,
    /// Weight of low fragmentation against an early start, in percent.
    pub compactness_percent: u32,
    /// Time that a job has to checkpoint before it is stopped.
    pub notice: Duration,
    /// Validity of a gang lease; after it, members that did not report have stopped themselves.
    pub lease: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            large_wait: Duration::from_secs(120),
            compactness_percent: 50,
            notice: Duration::from_secs(1),
            lease: Duration::from_secs(8),
        }
    }
}

/// The configuration at one revision.
#[value]
#[derive(Default)]
pub struct Config {
    /// Number of the configuration; each accepted one has a higher number than those before it.
    pub revision: u64,
    /// All client accounts.
    pub accounts: Vec<Account>,
    /// All data centres.
    pub zones: Vec<Zone>,
    /// Placement policy.
    pub policy: Policy,
}

/// Announcement of a worker by its agent.
#[value]
pub struct Report {
    /// Name of the worker.
    pub worker: Name,
    /// Incarnation of the agent's process; a new process has no record of what the old one held.
    pub incarnation: u64,
    /// Data centre of the worker.
    pub data_centre: Name,
    /// Rack of the worker, unique within its data centre.
    pub rack: Name,
    /// Accelerators of the worker.
    pub accelerators: u8,
    /// Processor cores of the worker.
    pub processors: u32,
    /// Memory of the worker, in megabytes.
    pub memory_mb: u64,
    /// Whether the worker takes no new work.
    pub leaving: bool,
    /// Members for which the agent holds resources.
    pub tasks: Vec<Task>,
}

/// A member for which an agent holds resources.
#[value]
pub struct Task {
    /// Identifier of the job.
    pub job: Name,
    /// Attempt of the job.
    pub attempt: u32,
    /// Index of the member in the gang.
    pub member: u32,
    /// Accelerators held.
    pub accelerators: Accelerators,
    /// Processor cores held.
    pub processors: u32,
    /// Memory held, in megabytes.
    pub memory_mb: u64,
    /// Whether the member runs; `false` while it is being prepared or stopped.
    pub running: bool,
}
