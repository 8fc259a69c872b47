//! Commands to an agent about gang members, its replies, and the member states it announces.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;
use crate::name::Name;
use crate::shape::Accelerators;

pub use crate::gang_gate::Gate;

/// Time after which an unused hold expires.
pub const HOLD: Duration = Duration::from_secs(5);
/// Validity of the first lease of a gang, until every member is known to run.
pub const START_LEASE: Duration = Duration::from_secs(4);
/// Validity of a gang lease, counted from the oldest of its members' newest announcements.
pub const GANG_LEASE: Duration = Duration::from_secs(8);
/// Longest lease that an agent requests from its worker runtime.
pub const RUNTIME_LEASE: Duration = Duration::from_secs(2);

/// A step that the planner commands an agent to take for one member.
#[value]
pub enum Step {
    /// Hold accelerators for the member.
    Prepare {
        /// The resources to hold.
        hold: Hold,
        /// Time after which an unused hold expires.
        lasts: Duration,
    },
    /// Promise to start on the next command.
    Arm,
    /// Start the member under a lease.
    Go {
        /// Validity of the lease.
        lease: Duration,
    },
    /// Extend the lease.
    Renew {
        /// Validity of the lease from now on.
        lease: Duration,
    },
    /// Stop the member after a notice period.
    Stop {
        /// Time in which the member may checkpoint.
        notice: Duration,
    },
}

/// Resources that one member holds on its worker.
#[value]
#[derive(Default)]
pub struct Hold {
    /// Indexes of its accelerators.
    pub accelerators: Accelerators,
    /// Processor cores.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

/// A command about one member, fenced by the planner's epoch and the job's attempt.
#[value]
pub struct Command {
    /// The planner's epoch.
    pub epoch: u64,
    /// Identifier of the job.
    pub job: Name,
    /// Attempt of the job.
    pub attempt: u32,
    /// Index of the member in the gang.
    pub member: u32,
    /// The step to take.
    pub step: Step,
}

/// An agent's reply to a command.
#[token]
pub enum Verdict {
    /// Carried out, now or by an earlier copy of the command.
    Done,
    /// A command of a newer planner epoch was received before.
    StaleEpoch,
    /// A command about a newer attempt of the job was received before.
    StaleAttempt,
    /// The accelerators, processors or memory are not free.
    Busy,
    /// The agent has no valid start permit.
    NoPermit,
    /// The worker is leaving and accepts no new work.
    Leaving,
    /// The agent holds no such member.
    UnknownTask,
}

/// A call that the daemon has to make to the worker runtime.
#[value]
pub enum Effect {
    /// Start the member.
    Start(MemberId),
    /// Request a checkpoint of the member; it is stopped when its notice period ends.
    Checkpoint(MemberId),
    /// Stop the member now.
    Stop(MemberId),
}

/// Identity of one member of one attempt.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct MemberId {
    /// Identifier of the job.
    pub job: Name,
    /// Attempt of the job.
    pub attempt: u32,
    /// Index of the member in the gang.
    pub member: u32,
}

/// Phase of a member on its worker.
#[token]
pub enum Phase {
    /// Its resources are held.
    Held,
    /// It will start on the next command.
    Armed,
    /// It is running.
    Running,
    /// It was ordered to stop, with or without a notice period, and may still run.
    Stopping,
    /// It has ended, and its resources are free.
    Ended,
}

/// State of a member as the agent announces it.
#[value]
pub struct Status {
    /// Identity of the member.
    pub member_id: MemberId,
    /// Its phase.
    pub phase: Phase,
    /// The resources that it holds.
    pub hold: Hold,
    /// When its hold, lease or notice period ends.
    pub until: Millis,
    /// Whether a start of the member was ever requested from the worker runtime.
    pub started: bool,
}

/// Resources of one worker.
#[token]
#[derive(Default)]
pub struct Capacity {
    /// Number of accelerators.
    pub accelerators: u8,
    /// Processor cores.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}
