//! Reports of agents: which worker is on their VM, what it runs, and which runs ended.

use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::batch::crash::Crash;
use crate::batch::job::Task;
use crate::resource::Resources;

/// Most accelerators, thousandths of a core or megabytes of a worker.
pub const MAX_CAPACITY: u32 = 1_000_000_000;

/// A worker as it announces itself to the agent on its VM.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Announcement {
    /// Identifier.
    pub id: String,
    /// Incarnation: Unix milliseconds of its start.
    pub incarnation: u64,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Labels, the rack among them.
    pub labels: Vec<String>,
    /// Accelerators.
    pub accelerators: u32,
    /// Processors, in thousandths of a core.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Minimum time for which a worker that takes no new work stays up, in milliseconds.
    pub leaves_ms: u64,
}

impl Announcement {
    /// Returns the total resources; none when one of them is beyond what a worker can have.
    ///
    /// ```
    /// use lavendergauge_lib::batch::report::Announcement;
    /// use lavendergauge_lib::resource::Resources;
    /// let impossible = Announcement { memory_mb: u64::MAX, processors: 1000, ..Announcement::default() };
    /// assert_eq!(impossible.capacity(), Resources::default());
    /// ```
    pub fn capacity(&self) -> Resources {
        let most = u64::from(self.accelerators.max(self.processors)).max(self.memory_mb);
        if u64::from(MAX_CAPACITY) < most {
            return Resources::default();
        }
        Resources {
            accelerators: self.accelerators,
            processors: self.processors,
            memory_mb: self.memory_mb,
        }
    }
}

/// How a run ended.
#[value]
#[derive(Copy, Serialize, Deserialize)]
pub enum Ending {
    /// It completed its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, its lease expired, or its gang broke.
    Over,
}

/// The end of a run, listed by its worker until the planner acknowledges it.
#[value]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// Sequence number; starts at 1 in each incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub ending: Ending,
    /// How it ended, in the worker's terms.
    pub how: String,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A run that exists on a worker.
#[value]
#[derive(Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Completed share of its work, in percent.
    pub percent: u32,
    /// The worker's measurement over the last half second: tail latency in milliseconds of a
    /// serving task, processors in use of any other; 0 when it gave none.
    pub measure: u32,
}

/// A worker's list of its runs and of the ends that are not acknowledged.
#[value]
#[derive(Serialize, Deserialize)]
pub struct List {
    /// Incarnation of the worker that sent the list.
    pub incarnation: u64,
    /// Fencing token of the request for the list.
    pub fence: u64,
    /// Agent's clock when the request was sent, in milliseconds.
    #[serde(rename = "asked")]
    pub sent_at: u64,
    /// Agent's clock when the list was received, in milliseconds; 0 from an agent that does not tell.
    /// The worker may take some hundred milliseconds to answer, so progress is measured by this time.
    #[serde(default)]
    pub received_at: u64,
    /// Runs that exist.
    pub running: Vec<ListedRun>,
    /// Ends of runs that the worker still has to list.
    pub ends: Vec<End>,
    /// Number of the newest end before the first one that cannot be decoded: the worker must not drop
    /// later ones. `None` if all can be decoded, and from an agent that does not tell.
    #[serde(default)]
    pub last_readable_end: Option<u64>,
}

/// Report of an agent.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Name of the agent.
    pub node: String,
    /// The agent's clock, in milliseconds.
    pub clock: u64,
    /// Random identifier of the agent's process; its clock may restart with the process.
    pub session: u64,
    /// Highest fencing token that the agent has received.
    pub fence: u64,
    /// Version of the fields below; grows with each change of them.
    pub version: u64,
    /// Newest incarnation of the worker that has certainly ended, with all before it; 0 for none. Only
    /// an earlier version needs it, which does not know [`Report::ended_incarnations`].
    #[serde(rename = "over")]
    pub ended_incarnation: u64,
    /// The newest incarnations that have certainly ended.
    #[serde(default, rename = "ended")]
    pub ended_incarnations: SmallVec<[u64; 8]>,
    /// Whether the worker answered the agent's last call.
    #[serde(rename = "answers")]
    pub is_worker_responsive: bool,
    /// Whether the agent's process is stopping, so that it will soon take no orders.
    #[serde(default)]
    pub is_stopping: bool,
    /// The worker; `None` before it has announced itself and after it has left.
    pub worker: Option<Announcement>,
    /// The worker's newest list; `None` before the first.
    pub list: Option<List>,
    /// The worker's newest list if it may omit runs or ends; [`Report::list`] is then `None`, since
    /// an earlier version takes every run that is not listed for one that has ended.
    #[serde(default)]
    pub partial_list: Option<List>,
    /// Time of the agent's clock until which the worker may hold a lease by the clock of an earlier
    /// incarnation, in milliseconds; 0 from an agent that does not tell.
    #[serde(default)]
    pub stale_lease_until: u64,
    /// Epoch of the agent's calls to the worker in the term of the planner with the fencing token
    /// above, see [`epoch`](crate::batch::epoch); 0 from an agent that does not tell.
    #[serde(default)]
    pub epoch: u64,
    /// The newest crashes of the worker that the agent noticed, the oldest first.
    #[serde(default)]
    pub crashes: Vec<Crash>,
}

impl Report {
    /// Tells whether an incarnation of the worker has certainly ended.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        if self.ended_incarnations.is_empty() {
            return incarnation <= self.ended_incarnation;
        }
        self.ended_incarnations.contains(&incarnation)
    }
}
