//! Switches of the planner's optional decisions.

use lavendergauge_derive::value;

/// Optional decisions that a deployment's settings enable; all are off by default.
///
/// ```
/// use lavendergauge_lib::batch::policy::Policy;
/// assert!(!Policy::default().worker_speed);
/// ```
#[value]
#[derive(Copy, Default)]
pub struct Policy {
    /// Corrects callers' estimates by what earlier runs took.
    pub run_time_model: bool,
    /// Learns how fast each worker is, and places work by it.
    pub worker_speed: bool,
    /// Places work by how certain it is that a worker runs what it starts.
    pub worker_trust: bool,
    /// Keeps what was learned in the store for the next leader.
    pub learned_state: bool,
    /// Weighs what callers lose when the waiting work exceeds the capacity.
    pub shortage: bool,
    /// Orders work beyond the guarantees by the use of each client account.
    pub account_shares: bool,
    /// Refuses jobs that cannot start in time to be of any worth.
    pub admission: bool,
}
