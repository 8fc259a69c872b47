//! Which calls may read, cancel and submit again a job.

use lavendergauge_derive::value;

use crate::batch::config::Config;
use crate::batch::config::Queue;

/// Where a call came from.
#[value]
#[derive(Copy)]
pub struct Origin<'a> {
    /// Queue of its route.
    pub queue: &'a Queue,
    /// Client account of its key; empty for a call without one.
    pub account: &'a str,
}

/// Tells whether a call may access the job that another call has submitted.
///
/// A job belongs to the account of its submission, which accesses it over any queue, and to its queue:
/// while that is public, callers need no key. A job without an account whose queue is gone is accessed
/// over the public queues that remain.
///
/// ```
/// use lavendergauge_lib::batch::access;
/// use lavendergauge_lib::batch::access::Origin;
/// use lavendergauge_lib::batch::config::Config;
/// use lavendergauge_lib::batch::config::Queue;
/// let open = Queue { name: "open".into(), public: true, ..Queue::default() };
/// let own = Queue { name: "own".into(), prefix: "/own/".into(), ..Queue::default() };
/// let submission = Origin { queue: &own, account: "brno" };
/// let config = Config::default();
/// assert!(access::is_allowed(&config, Origin { queue: &open, account: "brno" }, submission));
/// assert!(!access::is_allowed(&config, Origin { queue: &open, account: "" }, submission));
/// ```
pub fn is_allowed(config: &Config, call: Origin<'_>, submission: Origin<'_>) -> bool {
    if !submission.account.is_empty() && call.account == submission.account {
        return true;
    }
    let is_gone = || !config.queues.iter().any(|queue| queue.is_same_route(submission.queue));
    call.queue.public
        && (call.queue.is_same_route(submission.queue)
            || (submission.account.is_empty() && is_gone()))
}
