//! A cluster whose entries and agents run in simulated processes, with stand-ins of the platform
//! that outlive them.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use lavendergauge_daemon::agent;
use lavendergauge_daemon::embedded;
use lavendergauge_daemon::embedded::AgentSite;
use lavendergauge_daemon::embedded::FleetSpec;
use lavendergauge_daemon::entry;
use lavendergauge_daemon::settings;
use lavendergauge_daemon::settings::Role;
use lavendergauge_fakes::http::Server;
use lavendergauge_fakes::kv::Kv;
use lavendergauge_fakes::relay::Relay;
use lavendergauge_fakes::runtime::Execution;
use lavendergauge_fakes::runtime::Runtime;
use lavendergauge_fakes::target::Target;
use lavendergauge_lib::gang::START_LEASE;
use lavendergauge_net::body;
use lavendergauge_net::client::Client;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::process::Process;
use crate::relays::Relays;

/// Deadline of one call of the administration API.
const DEADLINE: Duration = Duration::from_secs(5);
/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An entry and its process.
pub struct Entry {
    /// Its process.
    pub process: Process,
    /// Address of its administration API.
    pub control: String,
    /// Address at which it takes callers' requests.
    pub service: String,
    /// Handle of the entry, with which it is stopped gracefully; `None` once it was stopped or
    /// killed.
    pub handle: Option<entry::Handle>,
}

/// A worker: its agent's process, and the stand-ins on it, which outlive the agent.
pub struct Worker {
    /// Name of the worker.
    pub name: String,
    /// Data centre of the worker.
    pub data_centre: String,
    /// The agent's process.
    pub process: Process,
    /// Handle of the agent, with which it is stopped gracefully; `None` once it was stopped.
    pub handle: Option<agent::Handle>,
    /// Stand-in of the worker runtime.
    pub runtime: Runtime,
    /// Stand-in of the target.
    pub target: Target,
    /// Relays between its agent and the entries, in a cluster that was started with relays.
    pub relays: Option<Relays>,
    /// Servers of the worker runtime and of the target, in this order.
    servers: [Server; 2],
}

/// A running cluster of entries, workers and a stand-in of the store.
pub struct Cluster {
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Its workers.
    pub workers: Vec<Worker>,
    /// Stand-in of the store.
    pub kv: Kv,
    fleet_spec: FleetSpec,
    has_relays: bool,
    client: Client,
    store: Server,
}

/// Returns the specification of a fleet: data centres with workers of two accelerators, and with
/// short intervals between announcements and between the planner's ticks.
///
/// ```
/// assert_eq!(lavendergauge_testutils::cluster::fleet_spec(2, &["a"]).entries, 2);
/// ```
pub fn fleet_spec(entries: usize, data_centres: &[&str]) -> FleetSpec {
    FleetSpec {
        entries,
        data_centres: data_centres.iter().map(|&name| name.to_owned()).collect(),
        accelerators: 2,
        announce_ms: 100,
        tick_ms: 50,
        ..FleetSpec::default()
    }
}

/// Returns the specification of a gang with two members of two accelerators each, with the fields
/// of `overrides` added or replaced.
///
/// ```
/// let spec = lavendergauge_testutils::cluster::gang(&serde_json::json!({"idempotent": true}));
/// assert_eq!(spec["members"], 2);
/// ```
pub fn gang(overrides: &Value) -> Value {
    let mut spec = json!({"account": "brno", "members": 2, "accelerators": 2,
        "adjacency": "rack", "class": "ordinary"});
    for (name, value) in overrides.as_object().into_iter().flatten() {
        spec[name] = value.clone();
    }
    spec
}

impl Cluster {
    /// Starts a cluster whose data centres are all in service, with the client account `brno`.
    ///
    /// # Panics
    /// When it is not ready within ten seconds.
    pub async fn start(fleet_spec: FleetSpec) -> Self {
        Cluster::start_with(fleet_spec, false).await
    }

    /// Starts a cluster like [`Cluster::start`] whose agents and entries communicate through
    /// relays.
    ///
    /// # Panics
    /// When it is not ready within ten seconds.
    pub async fn start_relayed(fleet_spec: FleetSpec) -> Self {
        Cluster::start_with(fleet_spec, true).await
    }

    async fn start_with(fleet_spec: FleetSpec, has_relays: bool) -> Self {
        let kv = Kv::default();
        let store = kv.serve().await;
        let mut cluster = Cluster {
            entries: Vec::new(),
            workers: Vec::new(),
            kv,
            fleet_spec,
            has_relays,
            client: Client::default(),
            store,
        };
        for _ in 0..cluster.fleet_spec.entries {
            cluster.add_entry().await;
        }
        for data_centre in cluster.fleet_spec.data_centres.clone() {
            for index in 0..cluster.fleet_spec.workers {
                cluster.add_worker(&format!("{data_centre}-{index}"), &data_centre).await;
            }
        }
        cluster.set_up().await;
        cluster
    }

    async fn set_up(&self) {
        let names: Vec<&str> = self.fleet_spec.data_centres.iter().map(String::as_str).collect();
        let operations = embedded::set_up(&[("brno", json!([]))], &names);
        let limit = Duration::from_secs(10);
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if self.change("set-up", &operations).await {
                self.wait_ready(limit).await;
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("the set-up change of the configuration was not accepted within {limit:?}");
    }

    /// Waits until every entry has a configuration and a current announcement of every worker.
    ///
    /// # Panics
    /// When that takes longer than `limit`.
    pub async fn wait_ready(&self, limit: Duration) {
        let started_at = Instant::now();
        loop {
            let mut ready = true;
            for entry in 0..self.entries.len() {
                let answer = self.call(entry, Method::GET, "/v1/workers", &Value::Null).await;
                let frames: Vec<Value> = answer
                    .and_then(|answer| serde_json::from_slice(answer.body()).ok())
                    .unwrap_or_default();
                let current =
                    frames.iter().filter(|frame| 0 < frame["revision"].as_u64().unwrap_or(0));
                ready &= self.workers.len() <= current.count();
                let answer = self.call(entry, Method::GET, "/v1/config", &Value::Null).await;
                let document =
                    answer.and_then(|answer| codec::from_json::<Document>(answer.body()).ok());
                ready &= document.is_some_and(|document| 0 < document.revision);
            }
            if ready {
                return;
            }
            assert!(
                started_at.elapsed() < limit,
                "after {limit:?}, an entry lacks a configuration or announcements of workers"
            );
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Submits a change to the configuration in force, through the first entry that answers.
    /// Returns whether the change was accepted.
    pub async fn change(&self, id: &str, operations: &Value) -> bool {
        for entry in 0..self.entries.len() {
            let Some(answer) = self.call(entry, Method::GET, "/v1/config", &Value::Null).await
            else {
                continue;
            };
            let Ok(document) = codec::from_json::<Document>(answer.body()) else { continue };
            let change = json!({"id": id, "base": document.revision, "operations": operations});
            let answer = self.call(entry, Method::POST, "/v1/config/changes", &change).await;
            return answer.is_some_and(|answer| answer.status().is_success());
        }
        false
    }

    /// Starts one more entry, and returns its index.
    ///
    /// # Panics
    /// When no socket can be opened.
    pub async fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let data_centre = &self.fleet_spec.data_centres[0];
        let name = format!("entry-{}", index + 1);
        let text =
            embedded::entry_text(&self.fleet_spec, &name, data_centre, &self.store.address());
        let settings = settings::parse(&text).expect("valid settings");
        let process = Process::start();
        let handle = process
            .run(async move {
                let Role::Entry(role) = &settings.role else {
                    panic!("not the settings of an entry")
                };
                entry::start(&settings, role).await.expect("a socket opens")
            })
            .await;
        let (control, service) =
            (handle.control_address.to_string(), handle.service_address.to_string());
        self.entries.push(Entry { process, control, service, handle: Some(handle) });
        index
    }

    /// Starts one more worker.
    ///
    /// # Panics
    /// When no socket can be opened.
    pub async fn add_worker(&mut self, name: &str, data_centre: &str) {
        let (runtime, target) = (Runtime::default(), Target::default());
        let servers = [runtime.serve().await, target.serve().await];
        self.workers.push(Worker {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            process: Process::start(),
            handle: None,
            runtime,
            target,
            relays: None,
            servers,
        });
        self.restart_agent(self.workers.len() - 1).await;
    }

    /// Kills a worker's agent, if it runs, and starts a new one in a new process.
    ///
    /// # Panics
    /// When no socket can be opened.
    pub async fn restart_agent(&mut self, index: usize) {
        let mut entries: Vec<String> =
            self.entries.iter().map(|entry| entry.control.clone()).collect();
        let relays = if self.has_relays { Some(Relays::start(&entries).await) } else { None };
        if let Some(relays) = &relays {
            entries = relays.to_entries.iter().map(Relay::address).collect();
        }
        let worker = &mut self.workers[index];
        let site = AgentSite {
            name: worker.name.clone(),
            data_centre: worker.data_centre.clone(),
            rack: "rack-0".to_owned(),
            entries,
            target_address: worker.servers[1].address(),
            runtime_address: worker.servers[0].address(),
        };
        let settings = settings::parse(&embedded::agent_text(&self.fleet_spec, &site))
            .expect("valid settings");
        worker.process = Process::start();
        let start = async move {
            let Role::Agent(role) = &settings.role else { panic!("not the settings of an agent") };
            agent::start(&settings, role).await.expect("a socket opens")
        };
        let handle = worker.process.run(start).await;
        if let Some(relays) = &relays {
            relays.start_to_agent(handle.address.to_string()).await;
        }
        worker.relays = relays;
        worker.handle = Some(handle);
    }

    /// Calls an entry's administration API; returns `None` when it does not answer.
    pub async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entries[entry].control))
            .body(body::full(body.to_string()))
            .ok()?;
        self.client.fetch(request, DEADLINE).await.ok()
    }

    /// Submits a job through an entry and returns the job's identifier.
    ///
    /// # Panics
    /// When the entry does not accept it.
    pub async fn submit(&self, entry: usize, spec: &Value) -> String {
        let answer = self.call(entry, Method::POST, "/v1/jobs", spec).await.expect("an answer");
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        assert!(answer.status().is_success(), "the job was not accepted: {text}");
        codec::from_json::<Record>(answer.body()).expect("a record").id
    }

    /// Returns a job's record from the first entry that has it.
    pub async fn job(&self, id: &str) -> Option<Record> {
        for entry in 0..self.entries.len() {
            let path = format!("/v1/jobs/{id}");
            if let Some(answer) = self.call(entry, Method::GET, &path, &Value::Null).await
                && let Ok(record) = codec::from_json(answer.body())
            {
                return Some(record);
            }
        }
        None
    }

    /// Waits until a job's record satisfies a condition, and returns it.
    ///
    /// # Panics
    /// When that takes longer than `limit`.
    pub async fn wait_job(
        &self,
        id: &str,
        limit: Duration,
        condition: impl Fn(&Record) -> bool,
    ) -> Record {
        let started_at = Instant::now();
        loop {
            let record = self.job(id).await;
            if let Some(record) = record.as_ref().filter(|record| condition(record)) {
                return record.clone();
            }
            assert!(
                started_at.elapsed() < limit,
                "the condition does not hold within {limit:?}: {record:?}"
            );
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a job is in a given state, and returns its record.
    ///
    /// # Panics
    /// When that takes longer than `limit`.
    pub async fn wait_state(&self, id: &str, limit: Duration, state: State) -> Record {
        self.wait_job(id, limit, |record| record.state == state).await
    }

    /// Waits until all `members` members of a job that is recorded as running do run.
    ///
    /// The record changes once every agent has confirmed the start; the calls to the worker
    /// runtimes follow.
    ///
    /// # Panics
    /// When that takes longer than the lease under which members start, or when more members run.
    pub async fn wait_members(&self, id: &str, members: usize) {
        let started_at = Instant::now();
        loop {
            let running = self.running(id);
            assert!(running <= members, "{running} members run instead of {members}");
            if running == members {
                return;
            }
            assert!(
                started_at.elapsed() < START_LEASE,
                "only {running} of {members} members run after {START_LEASE:?}"
            );
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the executions of a job's members at all workers, each with the number of its
    /// attempt.
    pub fn executions(&self, job: &str) -> Vec<(u32, Execution)> {
        let all = self.workers.iter().flat_map(|worker| worker.runtime.executions());
        all.filter_map(|execution| {
            let rest = execution.task.strip_prefix(job)?.strip_prefix('/')?;
            let attempt = rest.split('/').next()?.parse().ok()?;
            Some((attempt, execution))
        })
        .collect()
    }

    /// Returns the number of a job's members that are running.
    pub fn running(&self, job: &str) -> usize {
        self.executions(job).iter().filter(|(_, execution)| execution.ended.is_none()).count()
    }

    /// Returns the index of the entry that is the planner.
    pub fn planner(&self) -> Option<usize> {
        self.entries.iter().position(|entry| {
            entry.handle.as_ref().is_some_and(|handle| handle.entry.core().epoch != 0)
        })
    }

    /// Waits until an entry other than `excluded` is the planner, and returns its index.
    ///
    /// # Panics
    /// When that takes longer than `limit`.
    pub async fn wait_planner(&self, limit: Duration, excluded: Option<usize>) -> usize {
        let started_at = Instant::now();
        loop {
            let planner = (0..self.entries.len()).find(|&index| {
                let handle = self.entries[index].handle.as_ref();
                Some(index) != excluded
                    && handle.is_some_and(|handle| handle.entry.core().epoch != 0)
            });
            if let Some(planner) = planner {
                return planner;
            }
            assert!(started_at.elapsed() < limit, "no planner within {limit:?}");
            time::sleep(POLL_INTERVAL).await;
        }
    }
}
