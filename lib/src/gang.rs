//! An agent's side of gangs: what it is told, holds and answers.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;
use crate::name::Name;
use crate::shape::Accelerators;

pub use crate::gang_gate::Gate;

/// Time after which an unused hold ends by itself.
pub const HOLD: Duration = Duration::from_secs(5);
/// Validity of a gang lease from the start, until every member is known to run.
pub const START_LEASE: Duration = Duration::from_secs(4);
/// Validity of a gang lease from the oldest of its members' newest announcements.
pub const GANG_LEASE: Duration = Duration::from_secs(8);
/// Longest lease that an agent asks of its worker runtime.
pub const RUNTIME_LEASE: Duration = Duration::from_secs(2);
/// What the planner tells an agent to do with one member.
#[value]
pub enum Step {
    /// Hold accelerators for the member.
    Prepare {
        /// What is held.
        hold: Hold,
        /// Time after which an unused hold ends by itself.
        lasts: Duration,
    },
    /// Promise to start at the next word.
    Arm,
    /// Start, under a lease.
    Go {
        /// Validity of the lease.
        lease: Duration,
    },
    /// Extend the lease.
    Renew {
        /// Validity of the lease from now on.
        lease: Duration,
    },
    /// Stop after a notice.
    Stop {
        /// Time to checkpoint.
        notice: Duration,
    },
}

/// What one member takes up on its worker.
#[value]
#[derive(Default)]
pub struct Hold {
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Processor cores.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

/// One fenced command.
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
    /// What to do.
    pub step: Step,
}

/// What became of a command.
#[token]
pub enum Verdict {
    /// Carried out, now or before.
    Done,
    /// A newer planner has spoken.
    StaleEpoch,
    /// A newer attempt has been seen.
    StaleAttempt,
    /// The accelerators, processors or memory are not free.
    Busy,
    /// There is no fresh start permit.
    NoPermit,
    /// The worker takes no new work.
    Leaving,
    /// No such member is held here.
    UnknownTask,
}

/// Something the shell has to do at the worker runtime.
#[value]
pub enum Effect {
    /// Start the member.
    Start(Slot),
    /// Ask the member to checkpoint; it will be stopped when its notice ends.
    Checkpoint(Slot),
    /// Stop the member now.
    Stop(Slot),
}

/// Identity of one member of one attempt.
#[value]
#[derive(Hash, PartialOrd, Ord)]
pub struct Slot {
    /// Identifier of the job.
    pub job: Name,
    /// Attempt of the job.
    pub attempt: u32,
    /// Index of the member in the gang.
    pub member: u32,
}

/// Where a member is at its worker.
#[token]
pub enum Phase {
    /// Accelerators are held.
    Held,
    /// It will start at the next word.
    Armed,
    /// It runs.
    Running,
    /// It was given notice.
    Stopping,
    /// It is over, and its accelerators are free.
    Ended,
}

/// A member as the agent announces it.
#[value]
pub struct Standing {
    /// Identity of the member.
    pub slot: Slot,
    /// Where it is.
    pub phase: Phase,
    /// What it holds.
    pub hold: Hold,
    /// When its hold, lease or notice ends.
    pub until: Millis,
    /// Whether the worker runtime was ever asked to start it.
    pub started: bool,
}

/// What one worker has to give.
#[token]
#[derive(Default)]
pub struct Capacity {
    /// Accelerators.
    pub accelerators: u8,
    /// Processor cores.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}
