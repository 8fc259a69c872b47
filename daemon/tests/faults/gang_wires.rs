//! Gangs over connections that go silent, break or lag, in either direction, and in great numbers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use lavendergauge_daemon::embedded::Plan;
use lavendergauge_fakes::relay::Direction;
use lavendergauge_fakes::relay::Fault;
use lavendergauge_testutils::cluster;
use lavendergauge_testutils::cluster::Cluster;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

/// Bound on a start or an end when nothing fails.
const SOON: Duration = Duration::from_secs(10);
/// Bound on a recovery: leases and a new launch.
const RECOVERY: Duration = Duration::from_secs(40);

/// Launches a job that may run once while the next command connections to an agent fail.
async fn faulty_wire(direction: Direction, fault: Fault) {
    let cluster = Cluster::start_relayed(cluster::plan(1, &["zilina-1"])).await;
    let front = cluster.workers[0].lines.as_ref().and_then(|lines| lines.front.get());
    front.expect("a relay").plan(direction, fault);
    let id = cluster.submit(0, &cluster::gang(&json!({"payload": "run_ms=200"}))).await;
    let over = |record: &Record| matches!(record.state, State::Done | State::Unknown);
    let record = cluster.wait_job(&id, RECOVERY, over).await;
    assert_eq!(cluster.running(&id), 0);
    let ran: Vec<u32> = cluster.executions(&id).iter().map(|(attempt, _)| *attempt).collect();
    assert!(ran.iter().all(|&attempt| attempt == record.attempt), "{fault:?}: one attempt ran");
    if record.state == State::Done {
        assert_eq!(ran.len(), 2, "{fault:?}: a job that is done ran whole");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn command_wires() {
    let mut cases = JoinSet::new();
    for direction in [Direction::Request, Direction::Answer] {
        // Prepare, arm and go share a connection: the bytes fall into each of them.
        for at in [0, 200, 500, 800, 1100] {
            cases.spawn(faulty_wire(direction, Fault::Silent(at)));
            cases.spawn(faulty_wire(direction, Fault::Cut(at)));
        }
        cases.spawn(faulty_wire(direction, Fault::Late(0, 300)));
    }
    while let Some(case) = cases.join_next().await {
        case.expect("the case holds");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_wires() {
    let cluster = Cluster::start_relayed(cluster::plan(1, &["zilina-1"])).await;
    let id = cluster.submit(0, &cluster::gang(&json!({"payload": "run_ms=12000"}))).await;
    cluster.wait_state(&id, SOON, State::Running).await;
    for _ in 0..3 {
        for worker in &cluster.workers {
            worker.lines.as_ref().expect("relays").freeze();
        }
        time::sleep(Duration::from_secs(3)).await;
    }
    let record = cluster.wait_state(&id, SOON, State::Done).await;
    assert_eq!((record.attempt, cluster.executions(&id).len()), (1, 2), "the gang went on");
    let next = cluster.submit(0, &cluster::gang(&json!({}))).await;
    cluster.wait_state(&next, SOON, State::Running).await;
    for worker in &cluster.workers {
        worker.lines.as_ref().expect("relays").freeze();
    }
    let path = format!("/v1/jobs/{next}");
    let _ = cluster.call(0, Method::DELETE, &path, &Value::Null).await;
    cluster.wait_state(&next, SOON, State::Cancelled).await;
    assert_eq!(cluster.running(&next), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn sixty_four() {
    let plan = Plan { workers: 8, accelerators: 8, ..cluster::plan(1, &["zilina-1"]) };
    let mut cluster = Cluster::start(plan).await;
    let spec = json!({"account": "brno", "members": 64, "accelerators": 1,
        "adjacency": "data-centre", "class": "ordinary", "idempotent": true});
    let id = cluster.submit(0, &spec).await;
    cluster.wait_state(&id, SOON, State::Running).await;
    assert_eq!(cluster.running(&id), 64);
    let fault = Instant::now();
    cluster.workers[3].process.kill();
    while 0 < cluster.running(&id) {
        assert!(fault.elapsed() < Duration::from_secs(12), "the others end in time");
        time::sleep(Duration::from_millis(50)).await;
    }
    let waits = |record: &Record| record.state == State::Waiting;
    cluster.wait_job(&id, SOON, waits).await;
    cluster.restart_agent(3).await;
    cluster.wait_state(&id, SOON, State::Running).await;
    assert_eq!(cluster.running(&id), 64);
}

/// Calls until the entry takes it: a burst is refused as not run, to be tried again.
async fn insist(cluster: Arc<Cluster>, method: Method, path: String, body: Value) -> Value {
    let begun = Instant::now();
    loop {
        let answer = cluster.call(0, method.clone(), &path, &body).await.expect("an answer");
        let value: Value = serde_json::from_slice(answer.body()).expect("JSON");
        if answer.status().is_success() {
            return value;
        }
        assert!(answer.status() == 503 && begun.elapsed() < SOON, "refused: {value}");
        time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cancellation_wave() {
    let cluster = Arc::new(Cluster::start(cluster::plan(1, &["zilina-1"])).await);
    let first = cluster.submit(0, &cluster::gang(&json!({}))).await;
    cluster.wait_state(&first, SOON, State::Running).await;
    let mut submits = JoinSet::new();
    for _ in 0..150 {
        let spec = cluster::gang(&json!({}));
        submits.spawn(insist(cluster.clone(), Method::POST, "/v1/jobs".to_owned(), spec));
    }
    let accepted = submits.join_all().await;
    let waiting: Vec<&str> = accepted.iter().filter_map(|job| job["id"].as_str()).collect();
    assert_eq!(waiting.len(), 150);
    let mut cancels = JoinSet::new();
    for id in &waiting {
        let path = format!("/v1/jobs/{id}");
        cancels.spawn(insist(cluster.clone(), Method::DELETE, path, Value::Null));
    }
    cancels.join_all().await;
    let path = format!("/v1/jobs/{first}");
    insist(cluster.clone(), Method::DELETE, path, Value::Null).await;
    let next = insist(
        cluster.clone(),
        Method::POST,
        "/v1/jobs".to_owned(),
        cluster::gang(&json!({"payload": "run_ms=50"})),
    )
    .await;
    cluster.wait_state(next["id"].as_str().expect("a job"), SOON, State::Done).await;
    cluster.wait_state(&first, SOON, State::Cancelled).await;
    for id in waiting {
        assert_eq!(cluster.executions(id).len(), 0, "a job cancelled while it waits never ran");
    }
}
