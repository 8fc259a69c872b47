//! The tables of entities that systems run over.

use std::collections::BTreeMap;
use std::collections::HashMap;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::fleet::Guarantee;
use crate::fleet::Policy;
use crate::key;
use crate::name::Name;
use crate::shape::Accelerators;
use crate::shape::Shape;

/// A data centre.
#[row]
pub struct DataCentre {
    /// Name at the border.
    pub name: Name,
    /// Whether work may start there.
    pub open: bool,
    /// Racks by name.
    pub racks: BTreeMap<Name, key::Rack>,
}

/// A rack of workers.
#[row]
pub struct Rack {
    /// The data centre it stands in.
    pub data_centre: key::DataCentre,
    /// Workers in the rack.
    pub workers: Vec<key::Worker>,
}

/// A worker with what is free on it.
#[row]
pub struct Worker {
    /// Name at the border.
    pub name: Name,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// The rack it stands in.
    pub rack: key::Rack,
    /// Number of accelerators.
    pub accelerators: u8,
    /// Bit set of free accelerators.
    pub free: u64,
    /// Free processor cores.
    pub processors: u32,
    /// Free memory, in megabytes.
    pub memory_mb: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A client account.
#[row]
pub struct Account {
    /// Name at the border.
    pub name: Name,
    /// Most accelerators held at a time; 0 for no limit.
    pub quota: u32,
    /// Share of spare capacity.
    pub weight: u32,
    /// Accelerators held now.
    pub held: u32,
    /// Guarantees by name.
    pub guarantees: BTreeMap<Name, Guarantee>,
}

/// How long a job may wait, most pressing first.
#[token]
pub enum Class {
    /// Starts within seconds.
    Urgent,
    /// Starts in turn.
    Ordinary,
    /// Starts when there is room.
    Patient,
}

/// Where a job is in the planner's view.
#[token]
pub enum State {
    /// Not placed.
    Waiting,
    /// Placed, not yet confirmed by all agents.
    Starting,
    /// Confirmed by all agents.
    Running,
    /// Told to stop.
    Stopping,
}

/// One member's place.
#[row]
pub struct Place {
    /// The worker.
    pub worker: key::Worker,
    /// Accelerators on it.
    pub accelerators: Accelerators,
}

/// A job.
#[row]
pub struct Job {
    /// Identifier at the border.
    pub name: Name,
    /// The client account it runs for.
    pub account: key::Account,
    /// What it needs.
    pub shape: Shape,
    /// How long it may wait.
    pub class: Class,
    /// Guarantee that it claims, if any.
    pub guarantee: Option<Name>,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Whether it can be checkpointed and resumed.
    pub checkpoints: bool,
    /// Whether it may run again after its outcome was lost.
    pub idempotent: bool,
    /// Run time the caller declared, in seconds; 0 for none.
    pub declared_s: u64,
    /// Number of the newest attempt.
    pub attempt: u32,
    /// Where it is in its life.
    pub state: State,
    /// Its members' places, unless it waits.
    pub places: SmallVec<[Place; 4]>,
    /// When it was submitted.
    pub submitted: Millis,
    /// When it was last started.
    pub started: Millis,
}

/// All tables, with indices from names to keys.
#[row]
#[derive(Default)]
pub struct Tables {
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Placement policy in force.
    pub policy: Policy,
    /// Data centres.
    pub data_centres: SlotMap<key::DataCentre, DataCentre>,
    /// Racks.
    pub racks: SlotMap<key::Rack, Rack>,
    /// Workers.
    pub workers: SlotMap<key::Worker, Worker>,
    /// Client accounts.
    pub accounts: SlotMap<key::Account, Account>,
    /// Jobs that have not ended.
    pub jobs: SlotMap<key::Job, Job>,
    /// Data centre keys by name.
    pub data_centre_names: HashMap<Name, key::DataCentre>,
    /// Worker keys by name.
    pub worker_names: HashMap<Name, key::Worker>,
    /// Client account keys by name.
    pub account_names: HashMap<Name, key::Account>,
    /// Job keys by identifier.
    pub job_names: HashMap<Name, key::Job>,
}
