//! Messages between the fleet's processes about batch jobs, as MessagePack over HTTP.

use bytes::Bytes;
use lavendergauge_derive::value;
use lavendergauge_lib::batch::admission::Digest;
use lavendergauge_lib::batch::explain;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::StepInstance;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use serde::Deserialize;
use serde::Serialize;

/// Path at an agent: [`Poll`], answered by the agent's report.
pub const POLL: &str = "/batch/poll";
/// Path at an agent: [`Orders`], answered by [`Answers`].
pub const ORDERS: &str = "/batch/orders";
/// Path at an agent: [`AdviceRequest`], answered by [`AdviceReply`].
pub const ADVISE: &str = "/batch/advise";
/// Path at the planner's entry: [`RecordNotice`], answered by [`NoticeReply`].
pub const NOTICE: &str = "/batch/notice";
/// Path at the planner's entry: [`Query`], answered by [`Reply`].
pub const QUERY: &str = "/batch/query";

/// Path at the planner's entry: [`PresencePoll`], answered by [`PresenceReply`].
pub const PRESENCE: &str = "/batch/attend";
/// Path at an entry: [`LeadershipOffer`], answered by whether it has ended the lease.
pub const LEADERSHIP_OFFER: &str = "/batch/succeed";
/// Path at an entry: [`Forward`], answered by [`Forwarded`].
pub const FORWARD: &str = "/batch/forward";
/// Path at an entry: [`explain::Question`], answered by [`explain::Reply`].
pub const EXPLAIN: &str = explain::PATH;

/// The planner that sends a message, and its grant: the time until which tasks may run.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Authority {
    /// Name of the planner's entry.
    pub planner: String,
    /// Its fencing token.
    pub fence: u64,
    /// Session of the agent's process that the message is for; 0 before it is known.
    pub session: u64,
    /// Time of the agent's clock until which tasks may run, in milliseconds; 0 for no grant.
    pub grant: u64,
}

/// Long poll for an agent's report.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Poll {
    /// The planner that polls.
    pub authority: Authority,
    /// Version of the report that the planner has; the agent waits until its version differs.
    pub seen: u64,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
    /// Incarnation of the worker that `forget` applies to.
    pub incarnation: u64,
    /// Number of the newest ended run that the worker may forget.
    pub forget: u64,
    /// Highest epoch of calls to the worker that the agent's process with the session in `authority`
    /// has reported; 0 from a planner that does not tell.
    #[serde(default)]
    pub epoch: u64,
}

/// Orders for the worker on an agent's VM.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Orders {
    /// The planner that sends the orders.
    pub authority: Authority,
    /// The orders.
    pub orders: Vec<Order>,
}

/// The answers to [`Orders`], in the same sequence.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Answers {
    /// The answers.
    pub answers: Vec<Answer>,
}

/// Question to the advice service, which the agent forwards.
#[value]
#[derive(Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The planner that asks.
    pub authority: Authority,
    /// The step that is to be placed.
    #[serde(rename = "part")]
    pub instance: StepInstance,
    /// Identifiers of the workers that the question is about.
    pub workers: Vec<String>,
}

/// The advice service's answer.
#[value]
#[derive(Serialize, Deserialize)]
pub enum AdviceReply {
    /// The service answered.
    Good {
        /// Identifier and ticket of each worker that may run the step.
        good: Vec<(String, String)>,
        /// Lifetime of the tickets, in milliseconds.
        valid_ms: u64,
    },
    /// The service gave no answer; the cause.
    Failed(String),
}

/// A job's record, sent to the planner as soon as it is stored.
#[value]
#[derive(Serialize, Deserialize)]
pub struct RecordNotice {
    /// The job.
    pub id: Id,
    /// The job's record.
    pub record: Record,
}

/// Answer to a [`RecordNotice`]; an entry of an earlier version answers with an empty body.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct NoticeReply {
    /// The newest digest of the planner's queue.
    #[serde(default)]
    pub digest: Option<DatedDigest>,
}

/// A digest of the planner's queue, and its age when it was sent.
#[value]
#[derive(Serialize, Deserialize)]
pub struct DatedDigest {
    /// The digest.
    pub digest: Digest,
    /// Time since it was computed, in milliseconds.
    pub age_ms: u64,
}

/// The leader's term and number of a digest; zeros for none.
#[value]
#[derive(Copy, Default, Serialize, Deserialize)]
pub struct DigestNumber {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number within the term.
    pub number: u64,
}

/// Query of an entry to the planner.
#[value]
#[derive(Serialize, Deserialize)]
pub enum Query {
    /// State and owner of a job.
    Job(Id),
    /// Number of waiting jobs of the queue with this name.
    Waiting(String),
}

/// Answer to a [`Query`].
#[value]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// A job's state, and the client account and queue that it belongs to.
    Job {
        /// State of the job.
        state: State,
        /// Client account; empty for none.
        account: String,
        /// Name of its queue.
        queue: String,
        /// Host of its queue; empty from a planner of an earlier version.
        #[serde(default)]
        host: String,
        /// Path prefix of its queue; empty from a planner of an earlier version.
        #[serde(default)]
        prefix: String,
    },
    /// The planner does not know the job.
    Nothing,
    /// Number of waiting jobs.
    Waiting(u64),
    /// The queried entry does not run the planner.
    NotPlanner,
}

/// Presence poll: tells the planner that an entry is alive, and asks for the other entries.
///
/// The planner delays its answer while it knows the same entries as the sender.
#[value]
#[derive(Serialize, Deserialize)]
pub struct PresencePoll {
    /// Address at which the fleet's processes reach the entry.
    pub address: String,
    /// Strength of the entry's VM.
    #[serde(default)]
    pub strength: u32,
    /// The entries that the sender knows to be present.
    pub known: Vec<Presence>,
    /// The digest that the sender has; `None` for a sender that uses none.
    #[serde(default)]
    pub digest: Option<DigestNumber>,
}

/// An entry that is present.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Presence {
    /// Address at which the fleet's processes reach it.
    pub address: String,
    /// Strength of its VM.
    pub strength: u32,
}

/// Answer to a [`PresencePoll`].
#[value]
#[derive(Serialize, Deserialize)]
pub enum PresenceReply {
    /// The entries that poll the planner.
    Entries(Vec<Presence>),
    /// The polled entry does not run the planner.
    NotPlanner,
    /// The entries that poll the planner, and the digest of its queue, for senders that use it.
    Report {
        /// The entries.
        entries: Vec<Presence>,
        /// The newest digest.
        #[serde(default)]
        digest: Option<DatedDigest>,
        /// Time for which the answer was delayed, in milliseconds.
        #[serde(default)]
        held_ms: u64,
    },
}

/// Offer of leadership to another entry, from a leader that cannot renew its lease.
///
/// An entry that the store serves accepts by revoking the lease.
#[value]
#[derive(Serialize, Deserialize)]
pub struct LeadershipOffer {
    /// The store's lease that the leader's key is attached to.
    pub lease: u64,
}

/// A caller's call, forwarded by an entry that cannot serve it.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// HTTP method.
    pub method: String,
    /// Host name from the caller's request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// API key from the caller's request; empty for none.
    pub key: String,
    /// Time that remains for the answer, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Revision of the configuration that the sender knows.
    pub config: u64,
    /// Body.
    pub body: Bytes,
}

/// Answer to a [`Forward`].
#[value]
#[derive(Serialize, Deserialize)]
pub struct Forwarded {
    /// HTTP status.
    pub status: u16,
    /// Seconds after which the caller may retry; `None` if a retry would not help.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Bytes,
}
