//! A small deployment: the project's own processes beside stand-ins, on loopback addresses.

use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;
use crate::worker::Ledger;
use crate::worker::Worker;

/// Host name of the queues.
const HOST: &str = "jobs.example";
/// Time budget of a call, in milliseconds.
pub const BUDGET_MS: u64 = 3000;
const ZONES: [&str; 4] = ["kigali-hub", "huye-depot", "musanze-depot", "rubavu-depot"];

/// An agent with its worker.
pub struct Side {
    pub worker: Arc<Worker>,
    /// Paths between the machine and all others: to its agent, and from its agent to the store.
    pub paths: Vec<Relay>,
}

/// The deployment; dropping it ends its processes.
pub struct Fleet {
    pub store: Arc<Store>,
    pub entries: Vec<String>,
    pub sides: Vec<Side>,
    pub ledger: Ledger,
    pub record: Arc<Record>,
    processes: Vec<Child>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let logs = std::env::var("KEEP_LOGS").unwrap_or_default();
        if logs.is_empty() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts the deployment and waits until its entries are ready; `None` when they are not.
    pub fn start(record: Arc<Record>, entries: usize, workers: usize) -> Option<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store_address = http::free_address();
        let store = Store::start(&store_address, record.clone());
        let mut fleet = Fleet {
            store,
            entries: Vec::new(),
            sides: Vec::new(),
            ledger: Ledger::default(),
            record,
            processes: Vec::new(),
            folder,
        };
        fleet.store.put("op/config", &config());
        let mut ready = Vec::new();
        for index in 0..entries {
            let (service, ready_address) = (http::free_address(), http::free_address());
            // The template of deploy/entry.ini, filled in as for the site.
            let settings = format!(
                "[process]\nrole = batch-entry\nname = front-{index}\ndata_centre = {}\n\
                 open_access = yes\n[log]\nlevel = info\nlines_per_s = 600\n[batch]\n\
                 peer_address = {}\nstore_address = {store_address}\nservice_address = {service}\n\
                 ready_address = {ready_address}\nprocessor_share = 0.25\nlink_mbps = 1000.0\n\
                 stop_grace_ms = 900\nremote_factor = 3\nreclaim_ms = 3400\nkeep_s = 120\n\
                 worker_speed = yes\nworker_trust = yes\nshortage = yes\naccount_shares = yes\n\
                 learned_state = yes\nrevoke_ms = 5000\nstop_s = 6\n",
                ZONES[index % ZONES.len()],
                http::free_address(),
            );
            fleet.spawn(&format!("front-{index}"), &settings)?;
            fleet.entries.push(service);
            ready.push(ready_address);
        }
        for index in 0..workers {
            let zone = ZONES[index % ZONES.len()];
            let (peer, advertised) = (http::free_address(), http::free_address());
            let (heartbeats, app) = (http::free_address(), http::free_address());
            let store_path = http::free_address();
            let paths =
                vec![Relay::start(&advertised, &peer), Relay::start(&store_path, &store_address)];
            let settings = format!(
                "[process]\nrole = batch-agent\nname = side-{index}\ndata_centre = {zone}\n\
                 open_access = yes\n[log]\nlevel = info\nlines_per_s = 100\n[batch]\n\
                 peer_address = {peer}\nadvertised_address = {advertised}\n\
                 store_address = {store_path}\nheartbeat_address = {heartbeats}\n\
                 worker_address = {app}\nservice = sim\nlease_max_ms = 10000\n"
            );
            fleet.spawn(&format!("side-{index}"), &settings)?;
            let id = format!("i-{index}");
            let (ledger, record) = (fleet.ledger.clone(), fleet.record.clone());
            let worker = Worker::start(&id, zone, &app, &heartbeats, ledger, record);
            fleet.sides.push(Side { worker, paths });
        }
        let until = Instant::now() + Duration::from_secs(15);
        for address in ready {
            loop {
                let second = Duration::from_secs(1);
                let (status, _) = http::call(&address, "GET", "/ready", "Host: x\r\n", "", second);
                if status == 200 {
                    break;
                }
                if until < Instant::now() {
                    return None;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        fleet.record.note("the entries are ready");
        Some(fleet)
    }

    fn spawn(&mut self, name: &str, settings: &str) -> Option<()> {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).ok()?;
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new("target/release/lavendergauged")
            .args(["run", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        self.processes.push(child);
        Some(())
    }

    /// Sends a call to an entry with an account's key, and records it.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> (u16, Value) {
        let address = &self.entries[entry % self.entries.len()];
        let authorization =
            if key.is_empty() { String::new() } else { format!("Authorization: Bearer {key}\r\n") };
        let headers = format!("Host: {HOST}\r\n{authorization}X-Deadline-Ms: {BUDGET_MS}\r\n");
        let budget = Duration::from_millis(BUDGET_MS);
        let sent_ms = self.record.now_ms();
        let (status, value) = http::call(address, method, path, &headers, body, budget);
        let shown = if status == 0 { "no answer".to_owned() } else { status.to_string() };
        let taken = self.record.now_ms() - sent_ms;
        let short: String = body.chars().take(120).collect();
        self.record.note(&format!(
            "client: {method} {path} {short} -> {shown} {value} after {taken} ms (entry {entry})"
        ));
        (status, value)
    }

    /// Submits a job, at the other entries too until it is accepted; returns whether it was.
    pub fn submit(&self, entry: usize, path: &str, key: &str, job: &Value) -> bool {
        for attempt in 0..5 {
            let (status, _) = self.call(entry + attempt, "POST", path, key, &job.to_string());
            if (200..300).contains(&status) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

fn config() -> Value {
    let route = |name: &str, priority: u32, public: bool| {
        json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "service": "sim",
            "timeout_ms": 3000, "target_duration_ms": 1000, "priority": priority,
            "max_attempts": 4, "stretch": 3.0, "public": public})
    };
    json!({"version": 7,
        "routes": [route("urgent", 0, false), route("batch", 2, false), route("open", 2, true)],
        "services": [{"name": "sim", "enforces_capacity": false}],
        "limits": {"max_body_bytes": 262_144},
        "tenants": [
            {"name": "north", "api_keys": ["key-of-north"], "guaranteed": {"gpu": 4}},
            {"name": "south", "api_keys": ["key-of-south"], "guaranteed": {"gpu": 0}}]})
}
