//! What the reports of agents change, for the log.

use lavendergauge_derive::value;

use crate::batch::job::Task;
use crate::batch::strike::Evidence;
use crate::resource::Resources;

/// What a report changed, for the log.
#[value]
pub enum Change {
    /// A worker was reported for the first time, or with another incarnation.
    Joined(String),
    /// A worker takes no more new work.
    Leaving(String),
    /// A worker has crashed.
    Crashed {
        /// Name of the agent.
        node: String,
        /// The incarnation that ended.
        incarnation: u64,
        /// Number of runs that the crash has ended.
        runs: usize,
        /// Runs that had just started, and so may have caused the crash.
        suspects: Vec<(Task, u32)>,
        /// What the crash shows about them.
        evidence: Evidence,
    },
    /// A worker announces another capacity.
    Resized {
        /// Name of the agent.
        node: String,
        /// The earlier capacity.
        before: Resources,
        /// The present one.
        after: Resources,
        /// Whether its runs need more than that.
        is_overcommitted: bool,
    },
    /// A worker is avoided because of what an earlier leader has learned.
    Recalled {
        /// The worker's identifier.
        worker: String,
        /// Time for which it is avoided, in milliseconds.
        avoided_ms: u64,
    },
    /// A worker listed a run for the first time.
    Began(Task, u32),
    /// A worker listed the end of a run.
    Ended(Task, u32, String),
    /// A run has ended although no worker listed its end, for a reason.
    Lost(Task, u32, &'static str),
    /// A run that was listed is neither listed nor among the ends any more: its worker has dropped its
    /// end before it was read, so it is not known how the run ended.
    EndUnread(Task, u32),
    /// A task that may have crashed workers has shown that it does not.
    Cleared(Task, u32),
    /// A worker has a run that is not expected there.
    Unexpected(Task, u32),
    /// A worker listed a run, or the end of one, with a number that was never ordered.
    NeverOrdered(Task, u32),
}
