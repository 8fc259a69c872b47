//! The project's processes, started with the command of the deploy file, and the platform's
//! stand-ins.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use lavendergauge_lib::batch::config::Account;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_stand_in::Server;
use lavendergauge_stand_in::caller;
use lavendergauge_stand_in::caller::Caller;
use lavendergauge_stand_in::free_address;
use lavendergauge_stand_in::store::Endpoint;
use lavendergauge_stand_in::store::Store;
use lavendergauge_stand_in::worker::Event;
use lavendergauge_stand_in::worker::Profile;
use lavendergauge_stand_in::worker::Worker;
use tokio::time;
use tokio::time::Instant;

use crate::gate::Gate;
use crate::record::Record;

/// Program and first arguments of both roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/lavendergauged";
/// Time limit for an entry to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Key of the only account.
pub const KEY: &str = "key-of-brno";
/// Queue of all jobs.
pub const QUEUE: &str = "plain";

/// A process with the gates to it and from it to the store.
pub struct Node {
    /// Name.
    pub name: String,
    /// Gate that the other processes use.
    pub gate: Gate,
    /// Gate that it uses to reach the store.
    pub store_gate: Gate,
    log: PathBuf,
    child: Child,
}

impl Node {
    /// Tells whether its log has a text.
    pub fn has_logged(&self, text: &str) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }

    /// Returns the lines of its log that have one of the texts.
    pub fn lines(&self, texts: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let is_chosen = |line: &&str| texts.iter().any(|text| line.contains(text));
        log.lines().filter(is_chosen).map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a worker has begun or ended.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Seconds since the start of the record.
    pub at: f64,
    /// Index of the worker.
    pub worker: usize,
    /// The event.
    pub event: Event,
}

/// A fleet.
pub struct Fleet {
    /// The store.
    pub store: Arc<Store>,
    /// All processes.
    pub nodes: Vec<Node>,
    /// The workers.
    pub workers: Vec<Arc<Worker>>,
    /// What the workers have begun and ended.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// The record.
    pub record: Arc<Record>,
    directory: PathBuf,
    servers: Vec<Server>,
    endpoints: Vec<Endpoint>,
}

/// Addresses of an entry.
pub struct Entry {
    /// Index of its process.
    pub node: usize,
    /// Address for callers.
    pub service: String,
    ready: String,
}

impl Fleet {
    /// Starts the store with a configuration of one queue and one account.
    pub async fn new(directory: &Path, record: Arc<Record>) -> Fleet {
        let (store, endpoint) = Store::start().await;
        let queue = Queue {
            name: QUEUE.to_owned(),
            priority: 1,
            attempts: 4,
            stretch_permille: 3000,
            target_ms: 1000,
            timeout_ms: 3000,
            ..Queue::default()
        };
        let account =
            Account { name: "brno".to_owned(), keys: vec![KEY.to_owned()], guaranteed: 0 };
        store.put(caller::CONFIG_KEY, &caller::encode_config(3, &[queue], &[account]));
        Fleet {
            store,
            nodes: Vec::new(),
            workers: Vec::new(),
            seen: Arc::default(),
            record,
            directory: directory.to_owned(),
            servers: Vec::new(),
            endpoints: vec![endpoint],
        }
    }

    async fn add_node(&mut self, name: &str, role: &str, zone: &str, rest: &str) -> usize {
        let endpoint = self.store.add_endpoint().await;
        let store_gate = Gate::open(&endpoint.server.address.to_string()).await;
        self.endpoints.push(endpoint);
        let peer = free_address();
        let gate = Gate::open(&peer).await;
        let settings = format!(
            "[process]\nrole = {role}\nname = {name}\ndata_centre = {zone}\nopen_access = yes\n\
             [log]\nlevel = info\nlines_per_s = 600\n[batch]\npeer_address = {peer}\n\
             advertised_address = {}\nstore_address = {}\n{rest}",
            gate.address, store_gate.address
        );
        let path = self.directory.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("a writable directory");
        let log = self.directory.join(format!("{name}.log"));
        let output = fs::File::create(&log).expect("a log");
        let errors = output.try_clone().expect("a log");
        let child = Command::new(PROGRAM)
            .args(["run", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        self.record.note(&format!("started {name} ({role}) in {zone}"));
        // The script ends these processes if this program does not come to it.
        let pids = fs::File::options().create(true).append(true).open(self.directory.join("pids"));
        writeln!(pids.expect("a list"), "{}", child.id()).expect("a list");
        self.nodes.push(Node { name: name.to_owned(), gate, store_gate, log, child });
        self.nodes.len() - 1
    }

    /// Starts an entry with the settings of `deploy/entry.ini`.
    pub async fn add_entry(&mut self, name: &str, zone: &str) -> Entry {
        let (service, ready) = (free_address(), free_address());
        let rest = format!(
            "service_address = {service}\nready_address = {ready}\nprocessor_share = 0.25\n\
             link_mbps = 1000\nstop_grace_ms = 400\nremote_factor = 3\nreclaim_ms = 2900\n\
             keep_s = 120\nworker_speed = yes\nworker_trust = yes\nshortage = yes\n\
             account_shares = yes\nlearned_state = yes\nrevoke_ms = 5000\nstop_s = 6\n"
        );
        let node = self.add_node(name, "batch-entry", zone, &rest).await;
        Entry { node, service, ready }
    }

    /// Waits until an entry takes calls; tells whether it does in time.
    pub async fn wait_ready(&self, entry: &Entry) -> bool {
        let caller = caller();
        let limit = Instant::now() + READY_LIMIT;
        while !caller.is_ready(&entry.ready).await {
            if limit < Instant::now() {
                return false;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        true
    }

    /// Starts a worker and its agent with the settings of `deploy/agent.ini`.
    pub async fn add_worker(&mut self, zone: &str) -> usize {
        self.add_worker_in(zone, &format!("r-{zone}")).await
    }

    /// Starts a worker in a rack, and its agent.
    pub async fn add_worker_in(&mut self, zone: &str, rack: &str) -> usize {
        let index = self.workers.len();
        let profile = Profile {
            id: format!("i-{index}"),
            rack: rack.to_owned(),
            data_centre: zone.to_owned(),
            clock_permille: 1000,
        };
        let (seen, record) = (self.seen.clone(), self.record.clone());
        let on_event = Box::new(move |event: Event| {
            record.note(&format!("worker {index}: {event:?}"));
            let at = record.seconds();
            seen.lock().expect("a lock").push(Seen { at, worker: index, event });
        });
        let (worker, server) = Worker::start(profile, on_event).await;
        let heartbeats = free_address();
        let rest = format!(
            "heartbeat_address = {heartbeats}\nworker_address = {}\nservice = sim\n\
             lease_max_ms = 10000\n",
            server.address
        );
        self.add_node(&format!("agent-{index}"), "batch-agent", zone, &rest).await;
        worker.send_heartbeats(heartbeats);
        self.workers.push(worker);
        self.servers.push(server);
        index
    }
}

/// Returns a client that waits 3 s for each answer.
pub fn caller() -> Caller {
    Caller::new(KEY, Duration::from_secs(3))
}
