//! The project's processes, started as on the platform, and a caller.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use lavendergauge_net::body;
use lavendergauge_net::client::Client;
use lavendergauge_stand_in::free_address;
use serde_json::Value;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time;

use crate::record::Record;

/// Host name of the queue.
pub const HOST: &str = "jobs.example";
/// API key of the only client account.
pub const API_KEY: &str = "key-of-brno";
/// Time for which a caller waits for an answer.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// A process of the daemon, which is killed when this is dropped.
pub struct Process {
    /// Name of the process.
    pub name: String,
    child: Child,
}

impl Process {
    /// Writes the settings of a process and starts it with the command of the deploy file, except for
    /// the path of the settings.
    pub fn start(program: &Path, directory: &Path, name: &str, settings: &str) -> Process {
        let path = directory.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("a writable directory");
        let log = fs::File::create(directory.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(program)
            .arg("run")
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .expect("the daemon's program");
        Process { name: name.to_owned(), child }
    }

    /// Ends the process and waits for its end.
    pub async fn close(&mut self) {
        let _ = self.child.kill().await;
    }
}

/// Addresses of an entry.
#[derive(Clone)]
pub struct Addresses {
    /// For callers.
    pub service: String,
    /// For the readiness check.
    pub ready: String,
    /// For the fleet's processes.
    pub peer: String,
}

impl Addresses {
    /// Chooses free addresses.
    pub fn free() -> Addresses {
        Addresses { service: free_address(), ready: free_address(), peer: free_address() }
    }
}

/// Returns the settings of an entry, as deploy/entry.ini makes them from those of a small deployment.
pub fn entry_settings(
    name: &str,
    addresses: &Addresses,
    advertised: &str,
    store: &str,
    machines: &str,
) -> String {
    let Addresses { service, ready, peer } = addresses;
    format!(
        "[process]\nrole = batch-entry\nname = {name}\ndata_centre = kigali-hub\n\
         open_access = yes\nmemory_mb = 260\nmax_descriptors = 4100\n\
         [log]\nlevel = info\nlines_per_s = 600\n\
         [batch]\npeer_address = {peer}\nadvertised_address = {advertised}\n\
         store_address = {store}\nstore_value_bytes = 1048576\nservice_address = {service}\n\
         ready_address = {ready}\nmachines_address = {machines}\nprocessor_share = 0.25\n\
         link_mbps = 1000.0\nstop_grace_ms = 900\nremote_factor = 3\nreclaim_ms = 3400\n\
         keep_s = 120\nworker_speed = yes\nworker_trust = yes\nshortage = yes\n\
         account_shares = yes\nlearned_state = yes\nrevoke_ms = 5000\nstop_s = 6\n"
    )
}

/// Returns the settings of an agent, as deploy/agent.ini makes them.
pub fn agent_settings(name: &str, heartbeats: &str, store: &str, worker: &str) -> String {
    let peer = free_address();
    format!(
        "[process]\nrole = batch-agent\nname = {name}\ndata_centre = kigali-hub\n\
         open_access = yes\nmemory_mb = 128\nmax_descriptors = 4096\n\
         [log]\nlevel = info\nlines_per_s = 100\n\
         [batch]\npeer_address = {peer}\nstore_address = {store}\n\
         heartbeat_address = {heartbeats}\nworker_address = {worker}\nservice = sim\n\
         lease_max_ms = 10000\n"
    )
}

/// Returns the operator's configuration: the queue `plain` and one client account.
pub fn config(version: u64) -> Value {
    json!({"version": version,
        "routes": [{"name": "plain", "host": HOST, "prefix": "/plain/", "service": "sim",
            "timeout_ms": 3000, "target_duration_ms": 1000, "priority": 1, "max_attempts": 3,
            "stretch": 3.0, "public": false}],
        "services": [{"name": "sim", "enforces_capacity": false}],
        "limits": {"max_body_bytes": 262144},
        "tenants": [{"name": "brno", "api_keys": [API_KEY], "guaranteed": {"gpu": 8}}]})
}

/// A caller, which records its calls.
pub struct Caller {
    client: Client,
    record: Record,
}

impl Caller {
    /// Makes a caller.
    pub fn new(record: &Record) -> Caller {
        Caller { client: Client::default(), record: record.clone() }
    }

    /// Sends a call; returns the status, 0 for none, and the body.
    pub async fn call(&self, method: &str, address: &str, path: &str, body: &str) -> (u16, Value) {
        let outcome = self.call_quietly(method, address, path, body).await;
        self.record.line(&format!("call {method} {path} {body} -> {} {}", outcome.0, outcome.1));
        outcome
    }

    /// Sends a call that is not recorded.
    pub async fn call_quietly(
        &self,
        method: &str,
        address: &str,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("Host", HOST)
            .header("Authorization", format!("Bearer {API_KEY}"))
            .header("X-Deadline-Ms", CALL_DEADLINE.as_millis().to_string())
            .header("Content-Type", "application/json")
            .body(body::full(body.to_owned()))
            .expect("a request");
        let fetched = self.client.fetch(request, CALL_DEADLINE + Duration::from_millis(500)).await;
        match fetched {
            Ok(response) => {
                let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
                (response.status().as_u16(), value)
            }
            Err(error) => {
                self.record.line(&format!("call {method} {path} broke: {error}"));
                (0, Value::Null)
            }
        }
    }

    /// Waits until an entry is ready; returns whether it is within the time limit.
    pub async fn wait_until_ready(&self, ready: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.call_quietly("GET", ready, "/ready", "").await.0 == 200 {
                return true;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
        false
    }
}

/// Returns the path of the daemon's program, as the build of the deploy file leaves it.
pub fn program() -> PathBuf {
    PathBuf::from("target/release/lavendergauged")
}
