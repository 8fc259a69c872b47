//! What the processes of the fleet say to one another about batch jobs, as MessagePack over HTTP.

use bytes::Bytes;
use lavendergauge_derive::value;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Part;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use serde::Deserialize;
use serde::Serialize;

/// Path at an agent: [`Poll`], answered by a report.
pub const POLL: &str = "/batch/poll";
/// Path at an agent: [`Orders`], answered by [`Answers`].
pub const ORDERS: &str = "/batch/orders";
/// Path at an agent: [`AskAdvice`], answered by [`Advised`].
pub const ADVISE: &str = "/batch/advise";
/// Path at the planner's entry: [`Notice`], answered by nothing.
pub const NOTICE: &str = "/batch/notice";
/// Path at the planner's entry: [`Query`], answered by [`Reply`].
pub const QUERY: &str = "/batch/query";

/// Path at the planner's entry: [`Attend`], answered by [`Attended`].
pub const ATTEND: &str = "/batch/attend";
/// Path at an entry: [`Succeed`], answered by whether it has ended the lease.
pub const SUCCEED: &str = "/batch/succeed";
/// Path at an entry: [`Forward`], answered by [`Forwarded`].
pub const FORWARD: &str = "/batch/forward";

/// Who speaks, and until when tasks may run.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Authority {
    /// Name of the planner's entry.
    pub planner: String,
    /// Its fencing token.
    pub fence: u64,
    /// The agent's process that this is meant for; 0 before it is known.
    pub session: u64,
    /// Time of the agent's clock until which tasks may run; 0 for no grant.
    pub grant: u64,
}

/// Asks an agent for its report.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Poll {
    /// Who asks.
    pub authority: Authority,
    /// Version of the report that the planner has; the answer waits for another one.
    pub seen: u64,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
    /// Incarnation of the worker that may forget ends.
    pub incarnation: u64,
    /// Number of the newest end that it may forget.
    pub forget: u64,
}

/// Orders for the worker beside an agent.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Orders {
    /// Who orders.
    pub authority: Authority,
    /// The orders.
    pub orders: Vec<Order>,
}

/// What became of orders, in their order.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Answers {
    /// The answers.
    pub answers: Vec<Answer>,
}

/// Asks the advice service through an agent.
#[value]
#[derive(Serialize, Deserialize)]
pub struct AskAdvice {
    /// Who asks.
    pub authority: Authority,
    /// The step.
    pub part: Part,
    /// Identifiers of workers.
    pub workers: Vec<String>,
}

/// What the advice service said.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Advised {
    /// The workers that may run the step.
    Good {
        /// Identifier and ticket of each.
        good: Vec<(String, String)>,
        /// Life of the tickets, in milliseconds.
        valid_ms: u64,
    },
    /// It gave no answer.
    Failed(String),
}

/// Tells the planner of a job's record as soon as it is stored.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// The job.
    pub id: Id,
    /// Its record.
    pub record: Record,
}

/// Asks the planner.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Query {
    /// What is told of a job.
    Job(Id),
    /// How many jobs of a queue wait.
    Waiting(String),
}

/// What the planner tells.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// A job's state, and the client account and queue that it belongs to.
    Job {
        /// State.
        state: State,
        /// Client account; empty for none.
        account: String,
        /// Name of its queue.
        queue: String,
    },
    /// The planner does not know the job.
    Nothing,
    /// Jobs that wait.
    Waiting(u64),
    /// The entry that was asked does not hold the duty.
    NotPlanner,
}

/// Tells the planner that an entry lives; the answer waits while nothing is new.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Attend {
    /// Address at which the fleet's processes reach the entry.
    pub address: String,
    /// Addresses of the entries that it knows to attend.
    pub known: Vec<String>,
}

/// What an entry that attends is told.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Attended {
    /// Addresses of the entries that attend.
    Entries(Vec<String>),
    /// The entry does not hold the duty.
    NotPlanner,
}

/// Offers the duty to an entry that the store serves.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Succeed {
    /// The store's lease that the duty is held by.
    pub lease: u64,
}

/// A caller's call that the entry it came to cannot carry out.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// Method.
    pub method: String,
    /// Host name that the caller gave.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key that the caller showed.
    pub key: String,
    /// Time that is left for the answer, in milliseconds.
    pub left_ms: u64,
    /// Revision of the configuration that the first entry knows.
    pub config: u64,
    /// Body.
    pub body: Bytes,
}

/// The answer to a call that was forwarded.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Forwarded {
    /// Status.
    pub status: u16,
    /// Seconds after which the caller may come back, if that would help.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Bytes,
}
