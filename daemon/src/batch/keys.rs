//! Keys of this system in the platform's store.

use lavendergauge_lib::batch::job::Id;

/// Key of the leader, attached to the leader's lease; its creation revision is the fencing token.
pub const LEADER: &str = "lavendergauge/lead";
/// Key that each write of a planner replaces, so that a write that the store executes late fails; see
/// [`crate::batch::chain`].
pub const CHAIN: &str = "lavendergauge/chain";
/// Key of what the leader has learned, for the next leader.
pub const LEARNED: &str = "lavendergauge/learned";
/// Prefix of the jobs' records, which entries write.
pub const JOBS: &str = "lavendergauge/job/";
/// Prefix of the jobs' progress records, which the planner writes.
pub const PROGRESS: &str = "lavendergauge/progress/";
/// Prefix of the agents' addresses.
pub const AGENTS: &str = "lavendergauge/agent/";

/// Returns the key of a job's record.
///
/// ```
/// use lavendergauge_daemon::batch::keys;
/// use lavendergauge_lib::batch::job::Id;
/// assert_eq!(keys::job(Id(255)), "lavendergauge/job/00000000000000ff");
/// ```
pub fn job(id: Id) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of a job's progress record.
///
/// ```
/// use lavendergauge_daemon::batch::keys;
/// use lavendergauge_lib::batch::job::Id;
/// assert_eq!(keys::progress(Id(1)), "lavendergauge/progress/0000000000000001");
/// ```
pub fn progress(id: Id) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the key of a maintenance wave's record.
///
/// ```
/// assert_eq!(lavendergauge_daemon::batch::keys::wave(1), "lavendergauge/wave/1");
/// ```
pub fn wave(number: u64) -> String {
    format!("lavendergauge/wave/{number}")
}

/// Returns the job that a key under a prefix belongs to.
///
/// ```
/// use lavendergauge_daemon::batch::keys;
/// use lavendergauge_lib::batch::job::Id;
/// assert_eq!(keys::id(keys::JOBS, "lavendergauge/job/00000000000000ff"), Some(Id(255)));
/// ```
pub fn id(prefix: &str, key: &str) -> Option<Id> {
    Id::parse(key.strip_prefix(prefix)?)
}
