//! The planner's tables of data centres, workers, accounts, guarantees and jobs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::estimate;
use crate::fair;
use crate::fleet::Policy;
use crate::fragmentation;
use crate::key;
use crate::name::Name;
use crate::probation;
use crate::resource::Resources;
use crate::set::Set;
use crate::shape::Accelerators;
use crate::shape::Shape;

/// A data centre.
#[row]
pub struct DataCentre {
    /// Name that operators use.
    pub name: Name,
    /// Whether work may start there.
    pub is_open: bool,
    /// When it was reopened after being out of service; `None` if it never was.
    pub reopened: Option<Millis>,
    /// Accelerators that jobs started on since it was reopened.
    pub refilled: u32,
    /// Racks by name.
    pub racks: BTreeMap<Name, key::Rack>,
}

/// A rack of workers.
#[row]
pub struct Rack {
    /// Data centre of the rack.
    pub data_centre: key::DataCentre,
    /// Workers in the rack.
    pub workers: Vec<key::Worker>,
}

/// A worker with its capacity and the parts of it that are used or reserved.
#[row]
pub struct Worker {
    /// Name that operators use.
    pub name: Name,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// Rack of the worker.
    pub rack: key::Rack,
    /// All resources of the worker.
    pub capacity: Resources,
    /// Accelerators that placed jobs use.
    pub taken: Set,
    /// Resources that placed jobs use.
    pub used: Resources,
    /// Accelerators that its agent holds for attempts that the tables do not place here.
    pub foreign_accelerators: Set,
    /// Resources that its agent holds for attempts that the tables do not place here.
    pub foreign_resources: Resources,
    /// Resources that the guarantee plan reserves for guarantees.
    pub promised: Resources,
    /// Resources used by jobs that cannot be evicted and run in no guarantee's reservation.
    pub pinned: Resources,
    /// Resources reserved for claims that wait for borrowers to be stopped.
    pub claimed: Resources,
    /// Resources reserved for jobs that have waited long, until enough of them are free.
    pub draining: Resources,
    /// Jobs with a member on the worker.
    pub jobs: SmallVec<[key::Job; 8]>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Whether its agent is silent but not yet lost; nothing new is placed there.
    pub is_silent: bool,
    /// When it was lost; `None` while it announces itself.
    pub lost: Option<Millis>,
    /// Its record of failures and whether it is on probation.
    pub health: probation::Health,
}

impl Worker {
    /// Returns the free accelerators.
    pub fn free_accelerators(&self) -> Set {
        Set::first(self.capacity.accelerators).minus(self.taken).minus(self.foreign_accelerators)
    }

    /// Returns the free resources.
    pub fn free_resources(&self) -> Resources {
        let free = self.capacity.minus(self.used).minus(self.foreign_resources);
        Resources { accelerators: self.free_accelerators().count(), ..free }
    }

    /// Returns the capacity that is neither reserved for guarantees nor used by a pinned job.
    pub fn unpromised(&self) -> Resources {
        self.capacity.minus(self.promised).minus(self.pinned)
    }
}

/// A client account.
#[row]
pub struct Account {
    /// Name that operators and callers use.
    pub name: Name,
    /// Maximum number of accelerators held at a time; 0 for no limit.
    pub quota: u32,
    /// Share of spare capacity, relative to the weights of the other accounts.
    pub weight: u32,
    /// Accelerators held now.
    pub held: u32,
    /// Resources held now.
    pub held_resources: Resources,
    /// Decayed average of the share that it held.
    pub usage: fair::Usage,
    /// Whether it is in the configuration in force.
    pub is_configured: bool,
    /// Guarantees by name.
    pub guarantees: BTreeMap<Name, key::Guarantee>,
}

/// A worker and the number of members of a shape on it.
#[token]
pub struct Placement {
    /// The worker.
    pub worker: key::Worker,
    /// Number of members.
    pub members: u32,
}

/// The workers of one shape, each with its number of members.
pub type Placements = SmallVec<[Placement; 4]>;

/// A guarantee with its part of the guarantee plan.
#[row]
pub struct Guarantee {
    /// The client account that owns it.
    pub account: key::Account,
    /// Name within the client account.
    pub name: Name,
    /// Resources that can always be claimed.
    pub shape: Shape,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Capacity that the guarantee plan reserves for it; empty while it cannot be met.
    pub reserved: Placements,
    /// Why it cannot be met, as last reported; `None` while it is met.
    pub unmet: Option<String>,
    /// Placed jobs that claim it.
    pub claims: SmallVec<[key::Job; 4]>,
    /// Waiting jobs that claim it and have a reservation.
    pub waiting_claims: SmallVec<[key::Job; 4]>,
}

/// How long a job may wait, most urgent first.
#[token]
pub enum Class {
    /// Starts within seconds.
    Urgent,
    /// Starts in order of fair share and submission.
    Ordinary,
    /// Starts when there is free capacity.
    Patient,
}

/// State of a job in the planner's tables.
#[token]
pub enum State {
    /// Not placed.
    Waiting,
    /// Placed, not yet confirmed by all agents.
    Starting,
    /// Confirmed by all agents.
    Running,
    /// Ordered to stop, and not yet reported as stopped.
    Stopping,
}

/// The worker and accelerators of one member.
#[row]
pub struct Assignment {
    /// The worker.
    pub worker: key::Worker,
    /// Incarnation of the worker's agent when the member was placed.
    pub incarnation: u64,
    /// Accelerators of the worker that the member uses.
    pub accelerators: Accelerators,
}

/// The assignments of a gang's members, in member order.
pub type Assignments = SmallVec<[Assignment; 4]>;

/// Why capacity is reserved for a waiting job.
#[token]
pub enum Purpose {
    /// The job claims a guarantee, and borrowers are stopped for it.
    Claim,
    /// The job has waited long; until the capacity is free, only jobs that can be stopped for it
    /// start there.
    Drain,
}

/// Capacity that is reserved for a waiting job.
#[row]
pub struct Reservation {
    /// Workers that the job is to be placed on.
    pub placements: Placements,
    /// Why it is reserved.
    pub purpose: Purpose,
    /// When it is expected to be free.
    pub ready: Millis,
    /// When it was last checked whether stopping jobs would free it.
    pub last_eviction_check: Option<Millis>,
}

/// A job.
#[row]
pub struct Job {
    /// Identifier that callers use.
    pub name: Name,
    /// The client account it runs for.
    pub account: key::Account,
    /// Resources that it needs.
    pub shape: Shape,
    /// How long it may wait.
    pub class: Class,
    /// Guarantee that it claims, if any.
    pub guarantee: Option<Name>,
    /// Guarantee in whose reservation it runs as a claim; `None` while it does not.
    pub claim: Option<key::Guarantee>,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Whether it can be checkpointed and resumed.
    pub checkpoints: bool,
    /// Whether it may run again when the outcome of an earlier attempt is not known.
    pub idempotent: bool,
    /// Run time the caller declared, in seconds; 0 for none.
    pub declared_s: u64,
    /// Number of the newest attempt.
    pub attempt: u32,
    /// State of the job.
    pub state: State,
    /// Its members' assignments; empty while it waits.
    pub assignments: Assignments,
    /// Capacity reserved for it while it waits.
    pub reservation: Option<Reservation>,
    /// The job in whose drain reservation it runs until that job can start.
    pub backfills: Option<key::Job>,
    /// When it was submitted.
    pub submitted: Millis,
    /// When it began to wait.
    pub waiting_since: Millis,
    /// When it was last started.
    pub started: Millis,
    /// Total run time of its earlier attempts.
    pub earlier_run_time: Duration,
    /// When it was last ordered to stop.
    pub stop_requested: Millis,
    /// Number of consecutive aborted attempts.
    pub aborted: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Workers on which it failed.
    pub failed_on: SmallVec<[key::Worker; 4]>,
    /// Workers that aborted its latest attempts.
    pub avoided: SmallVec<[key::Worker; 2]>,
    /// Whether its caller was informed that none of the remaining workers could run it.
    pub is_stranded: bool,
    /// When one of its members was first reported to use more than declared.
    pub overuse_since: Option<Millis>,
    /// Usage of each member that the declaration is raised to at the next attempt.
    pub observed_use: Option<Resources>,
}

impl Job {
    /// Tells whether it can be stopped and started again without breaking a promise to its
    /// caller: it is checkpointed or idempotent.
    pub fn is_evictable(&self) -> bool {
        self.checkpoints || self.idempotent
    }

    /// Returns the total run time of all its attempts.
    pub fn run_time(&self, now: Millis) -> Duration {
        let is_running = matches!(self.state, State::Running | State::Stopping);
        self.earlier_run_time + if is_running { now.since(self.started) } else { Duration::ZERO }
    }

    /// Tells whether it is placed on workers.
    pub fn is_placed(&self) -> bool {
        self.state != State::Waiting
    }
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
    /// Guarantees.
    pub guarantees: SlotMap<key::Guarantee, Guarantee>,
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
    /// Observed run times.
    pub estimates: estimate::History,
    /// Demand by accelerators needed on one worker.
    pub demand: fragmentation::WidthDemand,
    /// Waiting jobs with a drain reservation, longest wait first.
    pub drains: Vec<key::Job>,
    /// Jobs that were ordered to stop and have not been reported as stopped.
    pub stopping: Vec<key::Job>,
    /// Capacity of all workers that are present.
    pub fleet: Resources,
    /// Counter that grows whenever capacity may have become free.
    pub capacity_version: u64,
    /// Value of `capacity_version` when the drain reservations were last checked.
    pub drains_version: u64,
    /// Whether the guarantee plan has to be checked again.
    pub needs_replan: bool,
}
