//! The tables of entities that systems run over.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::adjacency;
use crate::clock::Millis;
use crate::estimate;
use crate::fair;
use crate::fleet::Policy;
use crate::key;
use crate::name::Name;
use crate::probation;
use crate::room::Room;
use crate::set::Set;
use crate::shape::Accelerators;
use crate::shape::Shape;

/// A data centre.
#[row]
pub struct DataCentre {
    /// Name at the border.
    pub name: Name,
    /// Whether work may start there.
    pub open: bool,
    /// When it was opened again after having been out; `None` if it never was out.
    pub returned: Option<Millis>,
    /// Accelerators started since it was opened again.
    pub refilled: u32,
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

/// A worker with what is taken and promised of it.
#[row]
pub struct Worker {
    /// Name at the border.
    pub name: Name,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// The rack it stands in.
    pub rack: key::Rack,
    /// What it has.
    pub capacity: Room,
    /// Accelerators that placed jobs take.
    pub taken: Set,
    /// Capacity that placed jobs take.
    pub used: Room,
    /// Accelerators that its agent holds for attempts the tables do not know.
    pub foreign: Set,
    /// Capacity that its agent holds for attempts the tables do not know.
    pub foreign_room: Room,
    /// Capacity that the witness plan sets aside for guarantees.
    pub promised: Room,
    /// Capacity taken by jobs that cannot be evicted.
    pub pinned: Room,
    /// Free capacity kept for claims that wait for borrowers to leave.
    pub claimed: Room,
    /// Free capacity kept for large jobs that wait for it to drain.
    pub draining: Room,
    /// Jobs with a place here.
    pub jobs: SmallVec<[key::Job; 8]>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether its agent has been silent for a moment; nothing new is placed there.
    pub silent: bool,
    /// When it was lost; `None` while it announces itself.
    pub lost: Option<Millis>,
    /// Its record of failures.
    pub health: probation::Health,
}

impl Worker {
    /// Returns the accelerators that nothing holds.
    pub fn free(&self) -> Set {
        Set::first(self.capacity.accelerators).minus(self.taken).minus(self.foreign)
    }

    /// Returns the capacity that nothing holds.
    pub fn room(&self) -> Room {
        let room = self.capacity.minus(self.used).minus(self.foreign_room);
        Room { accelerators: self.free().count(), ..room }
    }

    /// Returns the capacity that neither the witness plan nor a pinned job takes.
    pub fn unpromised(&self) -> Room {
        self.capacity.minus(self.promised).minus(self.pinned)
    }
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
    /// Capacity held now.
    pub room: Room,
    /// What it held lately.
    pub usage: fair::Usage,
    /// Whether it is in the configuration in force.
    pub configured: bool,
    /// Guarantees by name.
    pub guarantees: BTreeMap<Name, key::Guarantee>,
}

/// Members of a shape on one worker.
#[token]
pub struct Spot {
    /// The worker.
    pub worker: key::Worker,
    /// Number of members.
    pub members: u32,
}

/// The workers of one shape.
pub type Spots = SmallVec<[Spot; 4]>;

/// A guarantee with its part of the witness plan.
#[row]
pub struct Guarantee {
    /// The client account that owns it.
    pub account: key::Account,
    /// Name within the client account.
    pub name: Name,
    /// What can always be claimed.
    pub shape: Shape,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Where the witness plan has it; empty while it cannot be met.
    pub holds: Spots,
    /// Why it cannot be met, as last told; `None` while it is met.
    pub unmet: Option<String>,
    /// Placed jobs that claim it.
    pub claims: SmallVec<[key::Job; 4]>,
    /// Waiting jobs that claim it and for which space is kept.
    pub kept: SmallVec<[key::Job; 4]>,
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
    /// Incarnation of the worker's agent when the member was placed.
    pub incarnation: u64,
    /// Accelerators on it.
    pub accelerators: Accelerators,
}

/// The places of a gang's members, in member order.
pub type Places = SmallVec<[Place; 4]>;

/// Why free capacity is kept for a waiting job.
#[token]
pub enum Purpose {
    /// Borrowers are told to leave for a guarantee's claim.
    Claim,
    /// The space drains for a job that has waited long.
    Drain,
}

/// Capacity that is kept for a waiting job.
#[row]
pub struct Target {
    /// Where the job is to go.
    pub spots: Spots,
    /// Why it is kept.
    pub purpose: Purpose,
    /// When it is expected to be free.
    pub ready: Millis,
    /// When it was last looked whether stops would free it.
    pub cleared: Option<Millis>,
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
    /// Guarantee whose hold it runs in; `None` while it borrows.
    pub claim: Option<key::Guarantee>,
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
    pub places: Places,
    /// Capacity kept for it while it waits.
    pub target: Option<Target>,
    /// The job whose drained space it fills until that job can start.
    pub backfills: Option<key::Job>,
    /// When it was submitted.
    pub submitted: Millis,
    /// When it began to wait.
    pub waiting: Millis,
    /// When it was last started.
    pub started: Millis,
    /// How long its earlier attempts ran.
    pub ran: Duration,
    /// When it was told to stop.
    pub stopped: Millis,
    /// Attempts that never ran, in a row.
    pub aborted: u32,
    /// Attempts of it that failed.
    pub failures: u32,
    /// Workers that failed it.
    pub failed_on: SmallVec<[key::Worker; 4]>,
    /// Workers that lately refused to start it.
    pub avoided: SmallVec<[key::Worker; 2]>,
    /// Whether its caller has been told that no known worker could run it.
    pub stranded: bool,
    /// When a task of it was first seen above its declaration.
    pub over: Option<Millis>,
    /// What each member is declared to need from the next attempt on.
    pub grown: Option<Room>,
}

impl Job {
    /// Tells whether it can be stopped and started again without breaking a promise.
    pub fn evictable(&self) -> bool {
        self.checkpoints || self.idempotent
    }

    /// Returns how long it has run in all its attempts.
    pub fn run_time(&self, now: Millis) -> Duration {
        let runs = matches!(self.state, State::Running | State::Stopping);
        self.ran + if runs { now.since(self.started) } else { Duration::ZERO }
    }

    /// Tells whether it occupies accelerators.
    pub fn placed(&self) -> bool {
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
    /// What run times have been seen.
    pub estimates: estimate::Book,
    /// What widths of free space are asked for.
    pub demand: adjacency::Demand,
    /// Waiting jobs for which space drains, longest wait first.
    pub drains: Vec<key::Job>,
    /// Jobs that were told to stop and have not been heard of since.
    pub stopping: Vec<key::Job>,
    /// Capacity of all workers that are present.
    pub fleet: Room,
    /// Grows whenever capacity may have become free.
    pub version: u64,
    /// Value of `version` when drained space was last looked at.
    pub drained: u64,
    /// Whether the witness plan has to be looked at again.
    pub replan: bool,
}
