//! The built program as real processes on the loopback interface that receive SIGKILL, SIGSTOP with
//! SIGCONT, or SIGTERM.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use lavendergauge_daemon::embedded;
use lavendergauge_daemon::embedded::AgentSite;
use lavendergauge_daemon::embedded::FleetSpec;
use lavendergauge_daemon::entry_service::ACCOUNT_HEADER;
use lavendergauge_daemon::entry_service::KEY_HEADER;
use lavendergauge_fakes::http::Server;
use lavendergauge_fakes::kv::Kv;
use lavendergauge_fakes::runtime::Execution;
use lavendergauge_fakes::runtime::Runtime;
use lavendergauge_fakes::target::Target;
use lavendergauge_net::body;
use lavendergauge_net::client;
use lavendergauge_net::client::Client;
use lavendergauge_testutils::cluster;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

/// Bound on a start or an end when nothing fails.
const NORMAL_LIMIT: Duration = Duration::from_secs(15);
/// Bound on a recovery: leases, succession and a new launch.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);
/// Bound on the time until a gang that lost a member has ended: a gang lease, a runtime lease and
/// the delay of a message.
const PARTIAL_LIMIT: Duration = Duration::from_secs(11);
/// Longer than any lease.
const PAUSE: Duration = Duration::from_secs(13);
/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(10);
/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process of the built program. Dropping it kills it.
struct Daemon {
    child: Child,
    /// Fields of its log line `event=started`.
    started: HashMap<String, String>,
}

impl Daemon {
    fn start(test: &str, name: &str, settings: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{name}.ini"));
        fs::write(&path, settings).expect("the settings file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_lavendergauged"))
            .arg("run")
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("its output is piped");
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let line =
            lines.find(|line| line.contains("event=started")).expect("it logs that it has started");
        thread::spawn(move || lines.for_each(drop));
        let fields = line.split(' ').filter_map(|field| field.split_once('='));
        let started = fields.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        Daemon { child, started }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("the process id fits");
        signal::kill(Pid::from_raw(id), signal).expect("the process runs");
    }

    /// Waits until the process exits by itself. Returns whether it exited successfully within
    /// `limit`.
    async fn exits_successfully(&mut self, limit: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("its status is readable") {
                return status.success();
            }
            time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A worker: its agent's process and the stand-ins on it.
struct Worker {
    name: String,
    site: AgentSite,
    agent: Daemon,
    runtime: Runtime,
    target: Target,
    _servers: [Server; 2],
}

/// Two entries and two workers in one rack.
struct Fleet {
    test: &'static str,
    fleet_spec: FleetSpec,
    entries: Vec<Daemon>,
    workers: Vec<Worker>,
    _kv: Kv,
    _store: Server,
}

impl Fleet {
    async fn start(test: &'static str) -> Self {
        let fleet_spec = cluster::fleet_spec(2, &["zilina-1"]);
        let kv = Kv::default();
        let store = kv.serve().await;
        let entries: Vec<Daemon> = ["entry-1", "entry-2"]
            .iter()
            .map(|name| {
                let text = embedded::entry_text(&fleet_spec, name, "zilina-1", &store.address());
                Daemon::start(test, name, &text)
            })
            .collect();
        let mut fleet =
            Fleet { test, fleet_spec, entries, workers: Vec::new(), _kv: kv, _store: store };
        for index in 0..2 {
            fleet.add_worker(&format!("worker-{index}")).await;
        }
        fleet.set_up().await;
        fleet
    }

    async fn add_worker(&mut self, name: &str) {
        let (runtime, target) = (Runtime::default(), Target::default());
        let servers = [runtime.serve().await, target.serve().await];
        let site = AgentSite {
            name: name.to_owned(),
            data_centre: "zilina-1".to_owned(),
            rack: "rack-0".to_owned(),
            entries: self.entries.iter().map(|entry| entry.started["control"].clone()).collect(),
            target_address: servers[1].address(),
            runtime_address: servers[0].address(),
        };
        let agent = Daemon::start(self.test, name, &embedded::agent_text(&self.fleet_spec, &site));
        let name = name.to_owned();
        self.workers.push(Worker { name, site, agent, runtime, target, _servers: servers });
    }

    fn restart_agent(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let text = embedded::agent_text(&self.fleet_spec, &worker.site);
        worker.agent = Daemon::start(self.test, &worker.name, &text);
    }

    async fn set_up(&self) {
        let operations = embedded::set_up(&[("brno", json!([]))], &["zilina-1"]);
        let change = json!({"id": "set-up", "base": 0, "operations": operations});
        let started_at = Instant::now();
        loop {
            let _ = self.call(0, Method::POST, "/v1/config/changes", &change).await;
            let mut ready = true;
            for entry in 0..self.entries.len() {
                let config = self.call(entry, Method::GET, "/v1/config", &Value::Null).await;
                ready &= config["revision"] == 1;
                let workers = self.call(entry, Method::GET, "/v1/workers", &Value::Null).await;
                let frames = workers.as_array().into_iter().flatten();
                ready &= frames.filter(|frame| frame["revision"] == 1).count() == 2;
            }
            if ready {
                return;
            }
            assert!(started_at.elapsed() < NORMAL_LIMIT, "the fleet is ready in time");
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Calls an entry's administration API; returns null when it does not answer.
    async fn call(&self, entry: usize, method: Method, path: &str, body: &Value) -> Value {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entries[entry].started["control"]))
            .body(body::full(body.to_string()))
            .expect("a request");
        match Client::default().fetch(request, DEADLINE).await {
            Ok(answer) => serde_json::from_slice(answer.body()).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    async fn submit(&self, entry: usize, overrides: &Value) -> String {
        let answer = self.call(entry, Method::POST, "/v1/jobs", &cluster::gang(overrides)).await;
        answer["id"].as_str().expect("an accepted job").to_owned()
    }

    async fn wait_job(
        &self,
        entry: usize,
        id: &str,
        limit: Duration,
        condition: impl Fn(&Record) -> bool,
    ) -> Record {
        let started_at = Instant::now();
        loop {
            let path = format!("/v1/jobs/{id}");
            let answer = self.call(entry, Method::GET, &path, &Value::Null).await;
            if let Ok(record) = serde_json::from_value::<Record>(answer.clone())
                && condition(&record)
            {
                return record;
            }
            assert!(
                started_at.elapsed() < limit,
                "the condition does not hold within {limit:?}: {answer}"
            );
            time::sleep(POLL_INTERVAL).await;
        }
    }

    fn executions(&self, job: &str) -> Vec<Execution> {
        let all = self.workers.iter().flat_map(|worker| worker.runtime.executions());
        all.filter(|execution| execution.task.starts_with(job)).collect()
    }
}

fn has_state(state: State) -> impl Fn(&Record) -> bool {
    move |record| record.state == state
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_and_agent_killed() {
    let mut fleet = Fleet::start("killed").await;
    let id = fleet.submit(1, &json!({"idempotent": true, "payload": "run_ms=9000"})).await;
    fleet.wait_job(1, &id, NORMAL_LIMIT, has_state(State::Running)).await;
    // The first entry to start is probably the planner; if so, the other entry succeeds it.
    fleet.entries[0].signal(Signal::SIGKILL);
    let done = fleet.wait_job(1, &id, RECOVERY_LIMIT, has_state(State::Done)).await;
    assert_eq!((done.attempt, fleet.executions(&id).len()), (1, 2), "the gang was not interrupted");
    let id = fleet.submit(1, &json!({"idempotent": true})).await;
    fleet.wait_job(1, &id, NORMAL_LIMIT, has_state(State::Running)).await;
    let fault = Instant::now();
    fleet.workers[0].agent.signal(Signal::SIGKILL);
    time::sleep(Duration::from_secs(1)).await;
    fleet.restart_agent(0);
    let is_second_attempt_running =
        |record: &Record| record.state == State::Running && record.attempt == 2;
    fleet.wait_job(1, &id, RECOVERY_LIMIT, is_second_attempt_running).await;
    for execution in fleet.executions(&id) {
        if execution.task.starts_with(&format!("{id}/1/")) {
            let ended = execution.ended.expect("the first attempt has ended").into_std();
            assert!(
                ended.saturating_duration_since(fault) <= PARTIAL_LIMIT,
                "the member ended within the bound"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_and_continued() {
    let fleet = Fleet::start("stopped").await;
    let id = fleet.submit(0, &json!({})).await;
    fleet.wait_job(0, &id, NORMAL_LIMIT, has_state(State::Running)).await;
    let fault = Instant::now();
    fleet.workers[0].agent.signal(Signal::SIGSTOP);
    fleet.entries[1].signal(Signal::SIGSTOP);
    time::sleep(PAUSE).await;
    fleet.workers[0].agent.signal(Signal::SIGCONT);
    fleet.entries[1].signal(Signal::SIGCONT);
    fleet.wait_job(0, &id, RECOVERY_LIMIT, has_state(State::Unknown)).await;
    let executions = fleet.executions(&id);
    assert_eq!(executions.len(), 2, "a job that may run only once is not run again");
    for execution in executions {
        let ended = execution.ended.expect("all members have ended").into_std();
        assert!(
            ended.saturating_duration_since(fault) <= PARTIAL_LIMIT,
            "the member ended within the bound"
        );
    }
    let next = fleet.submit(1, &json!({"payload": "run_ms=50"})).await;
    fleet.wait_job(1, &next, RECOVERY_LIMIT, has_state(State::Done)).await;
}

async fn request(service: String, key: String) -> Result<Response<Bytes>, client::Error> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{service}/check"))
        .header(ACCOUNT_HEADER, "brno")
        .header(KEY_HEADER, &key)
        .header("work-ms", "300")
        .body(body::full(key))
        .expect("a request");
    Client::default().fetch(request, DEADLINE).await
}

/// Polls the health of the entries, and marks those that failed once as unhealthy for good, as the
/// platform's load balancer does with entries that stop.
async fn poll_health(controls: Vec<String>, healthy: watch::Sender<Vec<bool>>) {
    loop {
        for (index, control) in controls.iter().enumerate() {
            let request = Request::builder()
                .uri(format!("http://{control}/health"))
                .body(body::empty())
                .expect("a request");
            let is_healthy = match Client::default().fetch(request, DEADLINE).await {
                Ok(answer) => answer.status().is_success(),
                Err(_) => false,
            };
            healthy.send_modify(|healthy| healthy[index] &= is_healthy);
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends 80 requests, terminates a process after the first 30, and returns the errors of the
/// requests that broke.
async fn terminate_under_load(fleet: &Fleet, daemon: &Daemon) -> Vec<String> {
    let (sender, healthy) = watch::channel(vec![true; fleet.entries.len()]);
    let controls = fleet.entries.iter().map(|entry| entry.started["control"].clone()).collect();
    let balancer = tokio::spawn(poll_health(controls, sender));
    let mut calls = JoinSet::new();
    for index in 0..80 {
        if index == 30 {
            daemon.signal(Signal::SIGTERM);
        }
        let entry = healthy.borrow().iter().position(|&healthy| healthy).expect("an entry");
        let service = fleet.entries[entry].started["service"].clone();
        calls.spawn(request(service, format!("load-{index}")));
        time::sleep(Duration::from_millis(15)).await;
    }
    let mut broken = Vec::new();
    while let Some(call) = calls.join_next().await {
        match call.expect("a call") {
            Ok(_) | Err(client::Error::Connect(_) | client::Error::NoListener(_)) => {}
            Err(error) => broken.push(error.to_string()),
        }
    }
    balancer.abort();
    broken
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_entry() {
    let mut fleet = Fleet::start("entry-term").await;
    let broken = terminate_under_load(&fleet, &fleet.entries[0]).await;
    assert_eq!(broken, Vec::<String>::new(), "a graceful stop breaks no request");
    assert!(fleet.entries[0].exits_successfully(NORMAL_LIMIT).await, "it exits successfully");
    assert_executed_once(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_agent() {
    let mut fleet = Fleet::start("agent-term").await;
    let broken = terminate_under_load(&fleet, &fleet.workers[0].agent).await;
    assert_eq!(broken, Vec::<String>::new(), "a graceful stop breaks no request");
    assert!(fleet.workers[0].agent.exits_successfully(NORMAL_LIMIT).await, "it exits successfully");
    assert_executed_once(&fleet);
}

fn assert_executed_once(fleet: &Fleet) {
    let keys: Vec<String> = fleet
        .workers
        .iter()
        .flat_map(|worker| worker.target.execution_times())
        .map(|(key, _)| key)
        .collect();
    let unique_keys: HashSet<&String> = keys.iter().collect();
    assert_eq!(unique_keys.len(), keys.len(), "every key ran at most once");
    assert!(!keys.is_empty());
}
