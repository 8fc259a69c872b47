//! The fleet of a run: the daemon's processes, the links between them, and the stand-ins for the
//! platform.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use lavendergauge_lib::batch::config::Account;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::resource::Resources;
use lavendergauge_stand_in::Server;
use lavendergauge_stand_in::caller;
use lavendergauge_stand_in::caller::Caller;
use lavendergauge_stand_in::free_address;
use lavendergauge_stand_in::store::Endpoint;
use lavendergauge_stand_in::store::Store;
use lavendergauge_stand_in::worker::Profile;
use lavendergauge_stand_in::worker::Worker;
use tokio::time;

use crate::fault::FleetSize;
use crate::judge::Judge;
use crate::judge::MAX_ATTEMPTS;
use crate::link::Link;
use crate::process;
use crate::process::Process;

/// Queue of urgent jobs, with the first priority.
pub const URGENT_QUEUE: &str = "urgent";
/// Queue of ordinary jobs.
pub const ORDINARY_QUEUE: &str = "plain";
/// Account with guaranteed accelerators.
pub const GUARANTEED_ACCOUNT: &str = "brno";
/// Account without a guarantee.
pub const OTHER_ACCOUNT: &str = "praha";
/// Number of accelerators guaranteed to [`GUARANTEED_ACCOUNT`].
pub const GUARANTEED_ACCELERATORS: u32 = 8;
/// Capacity of each worker, as its stand-in reports it.
pub const CAPACITY: Resources =
    Resources { accelerators: 8, processors: 64_000, memory_mb: 131_072 };
/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 3;
/// Number of data centres.
const DATA_CENTRES: usize = 2;
/// Optional decisions of the entries, as in `deploy/entry.ini`.
const SWITCHES: &str = "worker_speed = yes\nworker_trust = yes\nshortage = yes\n\
                        account_shares = yes\nlearned_state = yes\n";
/// Time that an entry has for a graceful stop, in seconds.
pub const STOP_S: u64 = 3;
/// Time limit for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that a caller waits for an answer.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// Returns the API key of an account.
///
/// ```
/// assert_eq!(lavendergauge_soak::fleet::key("brno"), "key-of-brno");
/// ```
pub fn key(account: &str) -> String {
    format!("key-of-{account}")
}

/// Addresses of an entry.
pub struct Entry {
    /// Address for callers.
    pub service: String,
    /// Address for the readiness check.
    ready: String,
}

/// A worker of the fleet: its stand-in, and the address of its agent.
pub struct FleetWorker {
    /// The stand-in.
    pub stand_in: Arc<Worker>,
    /// Address at which its agent receives heartbeats.
    pub heartbeat_address: String,
    /// Its data centre.
    pub data_centre: String,
    _server: Server,
}

/// A process with its links and its own endpoint of the store.
pub struct Node {
    /// The process.
    pub process: Process,
    /// Link from other processes to it.
    pub link: Link,
    /// Link from it to its endpoint of the store.
    pub store_link: Link,
    /// The store's endpoint for this process alone, so that faults can be set for it alone.
    pub store_endpoint: Endpoint,
}

/// The configuration that the run's operators have stored.
struct Operator {
    version: u64,
    /// Keys that are removed from their accounts.
    removed_keys: BTreeSet<String>,
}

/// A running fleet.
pub struct Fleet {
    /// The store.
    pub store: Arc<Store>,
    /// Entries, in the order of the first `nodes`.
    pub entries: Vec<Entry>,
    /// Workers, in the order of the `nodes` after the entries'.
    pub workers: Vec<FleetWorker>,
    /// Processes: the entries', then the agents'.
    pub nodes: Vec<Node>,
    /// Number of entries and workers.
    pub size: FleetSize,
    judge: Arc<Mutex<Judge>>,
    operator: Mutex<Operator>,
    started_at: Instant,
    _endpoint: Endpoint,
}

impl Fleet {
    /// Starts a fleet with settings and logs in `directory`, and waits until its entries are ready.
    ///
    /// # Errors
    /// When an entry does not become ready within the time limit.
    pub async fn start(program: &Path, directory: &Path, size: FleetSize) -> Result<Fleet, String> {
        let (store, store_endpoint) = Store::start().await;
        let workers = (0..size.workers).map(|index| (CAPACITY, data_centre(index))).collect();
        let mut fleet = Fleet {
            store,
            entries: Vec::new(),
            workers: Vec::new(),
            nodes: Vec::new(),
            size,
            judge: Arc::new(Mutex::new(Judge::new(workers))),
            operator: Mutex::new(Operator { version: 0, removed_keys: BTreeSet::new() }),
            started_at: Instant::now(),
            _endpoint: store_endpoint,
        };
        fleet.put_config(|_| {});
        for index in 0..size.entries {
            fleet.add_entry(program, directory, index).await;
        }
        for index in 0..size.workers {
            fleet.add_worker(program, directory, index).await;
        }
        let caller = Caller::new(&key(GUARANTEED_ACCOUNT), CALL_DEADLINE);
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &fleet.entries {
            while !caller.is_ready(&entry.ready).await {
                if deadline < Instant::now() {
                    return Err(format!("{} is not ready", entry.ready));
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(fleet)
    }

    /// Returns the time since the fleet was created.
    pub fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// Locks the judge.
    pub fn judge(&self) -> MutexGuard<'_, Judge> {
        self.judge.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns a caller that uses an account's key.
    pub fn caller(&self, account: &str) -> Caller {
        Caller::new(&key(account), CALL_DEADLINE)
    }

    /// Stores the next version of the configuration, after `change` has updated the set of removed
    /// keys.
    pub fn put_config(&self, change: impl FnOnce(&mut BTreeSet<String>)) {
        let mut operator = self.operator.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        change(&mut operator.removed_keys);
        operator.version += 3;
        let account = |name: &str, guaranteed: u32| Account {
            name: name.to_owned(),
            keys: [key(name)]
                .into_iter()
                .filter(|key| !operator.removed_keys.contains(key))
                .collect(),
            guaranteed,
        };
        let accounts =
            [account(GUARANTEED_ACCOUNT, GUARANTEED_ACCELERATORS), account(OTHER_ACCOUNT, 0)];
        let queues = [queue(URGENT_QUEUE, 0, 1500), queue(ORDINARY_QUEUE, 1, 3000)];
        self.store
            .put(caller::CONFIG_KEY, &caller::encode_config(operator.version, &queues, &accounts));
        self.judge().record_config(self.now(), &operator.removed_keys);
    }

    /// Ends every process of the fleet.
    pub async fn close(&mut self) {
        for node in &mut self.nodes {
            node.process.close().await;
        }
    }

    async fn add_entry(&mut self, program: &Path, directory: &Path, index: usize) {
        let (service, ready) = (free_address(), free_address());
        let role_settings = format!(
            "service_address = {service}\nready_address = {ready}\nstop_s = {STOP_S}\n{SWITCHES}"
        );
        let name = format!("entry-{index}");
        self.add_node(
            program,
            directory,
            &name,
            "batch-entry",
            &data_centre(index),
            &role_settings,
        )
        .await;
        self.entries.push(Entry { service, ready });
    }

    async fn add_worker(&mut self, program: &Path, directory: &Path, index: usize) {
        let data_centre = data_centre(index);
        let profile = Profile {
            id: format!("i-{index}"),
            rack: format!("r-{}", index / WORKERS_PER_RACK),
            data_centre: data_centre.clone(),
            // Every third worker's clock is as slow as the platform allows.
            clock_permille: if index % 3 == 2 { 980 } else { 1000 },
        };
        let (judge, started_at) = (self.judge.clone(), self.started_at);
        let on_event = Box::new(move |event| {
            let now = Millis(started_at.elapsed().as_millis() as u64);
            let mut judge = judge.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            judge.record_event(now, index, &event);
        });
        let (stand_in, server) = Worker::start(profile, on_event).await;
        let heartbeat_address = free_address();
        let role_settings = format!(
            "heartbeat_address = {heartbeat_address}\nworker_address = {}\nservice = sim\n",
            server.address
        );
        let name = format!("agent-{index}");
        self.add_node(program, directory, &name, "batch-agent", &data_centre, &role_settings).await;
        stand_in.send_heartbeats(heartbeat_address.clone());
        self.workers.push(FleetWorker {
            stand_in,
            heartbeat_address,
            data_centre,
            _server: server,
        });
    }

    async fn add_node(
        &mut self,
        program: &Path,
        directory: &Path,
        name: &str,
        role: &str,
        data_centre: &str,
        role_settings: &str,
    ) {
        let store_endpoint = self.store.add_endpoint().await;
        let store_link = Link::start(store_endpoint.server.address.to_string()).await;
        let peer = free_address();
        let link = Link::start(peer.clone()).await;
        let settings = format!(
            "[process]\nrole = {role}\nname = {name}\ndata_centre = {data_centre}\n\
             open_access = yes\n[batch]\npeer_address = {peer}\nadvertised_address = {}\n\
             store_address = {}\n{role_settings}",
            link.address(),
            store_link.address()
        );
        let process = Process::start(process::Options {
            name: name.to_owned(),
            program: PathBuf::from(program),
            directory: PathBuf::from(directory),
            settings,
        });
        self.nodes.push(Node { process, link, store_link, store_endpoint });
    }
}

fn data_centre(index: usize) -> String {
    format!("z-{}", index % DATA_CENTRES)
}

fn queue(name: &str, priority: u32, stretch_permille: u64) -> Queue {
    Queue {
        name: name.to_owned(),
        priority,
        attempts: MAX_ATTEMPTS,
        stretch_permille,
        target_ms: 1000,
        timeout_ms: 3000,
        ..Queue::default()
    }
}
