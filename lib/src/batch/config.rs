//! The operators' configuration of batch jobs: queues, services, client accounts.

use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

/// A queue of batch jobs: where callers submit them, and how they are run.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique in a configuration.
    pub name: String,
    /// Host name of the calls that belong to the queue.
    pub host: String,
    /// Path prefix of the calls that belong to the queue.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority; 0 is the most urgent, and its jobs may preempt others.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    pub attempts: u32,
    /// Part of the objective that is relative to the job's longest chain of steps, in thousandths.
    pub stretch_permille: u64,
    /// Part of the objective that is added to the relative one, in milliseconds.
    pub target_ms: u64,
    /// Bound on one call, in milliseconds.
    pub timeout_ms: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Validity of a ticket of the advice service, in milliseconds; 0 for queues that need none.
    pub advice_valid_ms: u64,
}

impl Queue {
    /// Tells whether `other` is this queue in another version of the configuration: it has the same
    /// name, or callers reach it by the same host and prefix.
    ///
    /// ```
    /// use lavendergauge_lib::batch::config::Queue;
    /// let queue = |name: &str, prefix: &str| Queue {
    ///     name: name.into(),
    ///     prefix: prefix.into(),
    ///     ..Queue::default()
    /// };
    /// assert!(queue("a", "/a/").is_same_route(&queue("a", "/b/")));
    /// assert!(queue("a", "/a/").is_same_route(&queue("b", "/a/")));
    /// assert!(!queue("a", "/a/").is_same_route(&queue("b", "/b/")));
    /// ```
    pub fn is_same_route(&self, other: &Queue) -> bool {
        let has_same_path =
            self.host.eq_ignore_ascii_case(&other.host) && self.prefix == other.prefix;
        self.name == other.name || has_same_path
    }
}

/// A client account.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Keys that authenticate calls of the account.
    pub keys: Vec<String>,
    /// Number of accelerators guaranteed to its most urgent jobs.
    pub guaranteed: u32,
}

/// One version of the configuration.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Config {
    /// Version; each is higher than the one before, but not always by 1.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Maximum size of a call's body, in bytes.
    pub body_limit: usize,
}

impl Config {
    /// Finds the queue of a call: the one of its host with the longest prefix that matches the
    /// path.
    ///
    /// ```
    /// use lavendergauge_lib::batch::config::Config;
    /// use lavendergauge_lib::batch::config::Queue;
    /// let queue = |prefix: &str| Queue { host: "a".into(), prefix: prefix.into(), ..Queue::default() };
    /// let config = Config { queues: vec![queue("/q/"), queue("/q/r/")], ..Config::default() };
    /// assert_eq!(config.route("a", "/q/r/1").unwrap().prefix, "/q/r/");
    /// assert!(config.route("b", "/q/1").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| {
                queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
            })
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Finds the client account that a key belongs to.
    ///
    /// ```
    /// use lavendergauge_lib::batch::config::Account;
    /// use lavendergauge_lib::batch::config::Config;
    /// let brno = Account { name: "brno".into(), keys: vec!["k".into()], guaranteed: 0 };
    /// let config = Config { accounts: vec![brno], ..Config::default() };
    /// assert_eq!(config.account_of("k").unwrap().name, "brno");
    /// assert!(config.account_of("").is_none());
    /// ```
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.keys.iter().any(|known| known == key))
    }

    /// Finds a queue by name.
    ///
    /// ```
    /// assert!(lavendergauge_lib::batch::config::Config::default().queue("q").is_none());
    /// ```
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}

/// Bounds that the deployment sets for the planner.
#[value]
#[derive(Copy)]
pub struct Bounds {
    /// Maximum time that a stopped task takes to end, in milliseconds.
    pub stop_grace_ms: u64,
    /// Factor by which a task runs slower away from its data or split over racks, in thousandths.
    pub remote_permille: u64,
    /// Time in which a guaranteed job must have started, in milliseconds.
    pub reclaim_ms: u64,
    /// Time for which an ended job's state is kept, in milliseconds.
    pub keep_ms: u64,
}
