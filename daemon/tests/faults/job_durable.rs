//! Jobs that outlive every process, are cancelled, submitted again, resumed, or left in doubt.

use std::time::Duration;

use hyper::Method;
use lavendergauge_daemon::embedded;
use lavendergauge_daemon::job;
use lavendergauge_daemon::job::Submitted;
use lavendergauge_fakes::kv;
use lavendergauge_testutils::cluster;
use lavendergauge_testutils::cluster::Cluster;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::job::State;
use serde_json::Value;
use serde_json::json;
use tokio::time;

/// Bound on a start or an end when nothing fails.
const SOON: Duration = Duration::from_secs(10);
/// Bound on a job's recovery from the loss of processes: leases, succession and a new launch.
const RECOVERY: Duration = Duration::from_secs(30);

fn spec(more: &Value) -> Spec {
    serde_json::from_value(cluster::gang(more)).expect("a spec")
}

#[tokio::test]
async fn cancelled_job() {
    let cluster = Cluster::start(cluster::plan(1, &["zilina-1"])).await;
    let running = cluster.submit(0, &cluster::gang(&json!({}))).await;
    cluster.wait_state(&running, SOON, State::Running).await;
    let waiting = cluster.submit(0, &cluster::gang(&json!({}))).await;
    for id in [&waiting, &running] {
        let path = format!("/v1/jobs/{id}");
        let answer = cluster.call(0, Method::DELETE, &path, &Value::Null).await;
        assert!(answer.is_some_and(|answer| answer.status().is_success()));
    }
    cluster.wait_state(&waiting, SOON, State::Cancelled).await;
    cluster.wait_state(&running, SOON, State::Cancelled).await;
    assert_eq!(cluster.running(&running), 0);
    assert_eq!(cluster.executions(&waiting).len(), 0);
    let next = cluster.submit(0, &cluster::gang(&json!({"payload": "run_ms=100"}))).await;
    cluster.wait_state(&next, SOON, State::Done).await;
    assert_eq!(cluster.executions(&next).len(), 2);
}

#[tokio::test]
async fn repeated_submit() {
    let cluster = Cluster::start(cluster::plan(1, &["zilina-1"])).await;
    let entry = cluster.entries[0].handle.as_ref().expect("an entry").entry.clone();
    let wanted = spec(&json!({"payload": "run_ms=100"}));
    cluster.kv.set_fault(kv::Fault { lose_answers: 1, ..kv::Fault::default() });
    let first = job::submit(&entry, "sheet-1", wanted.clone()).await.expect("an answer");
    assert!(matches!(first, Submitted::Known(_)), "the lost answer is found again");
    cluster.wait_state("sheet-1", SOON, State::Done).await;
    let again = job::submit(&entry, "sheet-1", wanted).await.expect("an answer");
    assert!(matches!(again, Submitted::Known(record) if record.state == State::Done));
    let other = job::submit(&entry, "sheet-1", spec(&json!({}))).await.expect("an answer");
    assert_eq!(other, Submitted::Taken);
    assert_eq!(cluster.executions("sheet-1").len(), 2);
}

#[tokio::test]
async fn store_answer_lost() {
    let cluster = Cluster::start(cluster::plan(1, &["zilina-1"])).await;
    let id = cluster.submit(0, &cluster::gang(&json!({"payload": "run_ms=1500"}))).await;
    cluster.kv.set_fault(kv::Fault { lose_answers: 3, ..kv::Fault::default() });
    let record = cluster.wait_state(&id, SOON, State::Done).await;
    assert_eq!(record.attempt, 1, "a write that took effect is not taken for a failure");
    assert_eq!(cluster.executions(&id).len(), 2);
}

#[tokio::test]
async fn all_processes_die() {
    let mut cluster = Cluster::start(cluster::plan(1, &["zilina-1", "zilina-2"])).await;
    let once = cluster.submit(0, &cluster::gang(&json!({}))).await;
    let again = cluster.submit(0, &cluster::gang(&json!({"idempotent": true}))).await;
    for id in [&once, &again] {
        cluster.wait_state(id, SOON, State::Running).await;
    }
    for worker in &mut cluster.workers {
        worker.process.kill();
    }
    cluster.entries[0].process.kill();
    cluster.entries.clear();
    cluster.add_entry().await;
    for index in 0..cluster.workers.len() {
        cluster.restart_agent(index).await;
    }
    cluster.wait_state(&once, RECOVERY, State::Unknown).await;
    let two = |record: &lavendergauge_wire::job::Record| {
        record.state == State::Running && record.attempt == 2
    };
    cluster.wait_job(&again, RECOVERY, two).await;
    assert!(cluster.executions(&once).iter().all(|&(attempt, _)| attempt == 1));
    assert_eq!(cluster.running(&again), 2);
    assert_eq!(cluster.running(&once), 0);
}

#[tokio::test]
async fn resumed_job() {
    let cluster = Cluster::start(cluster::plan(1, &["zilina-1", "zilina-2"])).await;
    let id = cluster.submit(0, &cluster::gang(&json!({"checkpoints": true}))).await;
    let record = cluster.wait_state(&id, SOON, State::Running).await;
    let first = record.seats[0].worker.clone();
    let left = &first[..first.len() - 2];
    let out = json!([embedded::put_data_centre(left, "out")]);
    assert!(cluster.change("out", &out).await);
    let moved = |record: &lavendergauge_wire::job::Record| {
        record.state == State::Running && record.attempt == 2
    };
    let record = cluster.wait_job(&id, SOON, moved).await;
    assert!(record.seats.iter().all(|seat| !seat.worker.starts_with(left)));
    let resumed: Vec<String> = cluster
        .executions(&id)
        .iter()
        .filter(|(attempt, _)| *attempt == 2)
        .map(|(_, execution)| execution.resumed.clone())
        .collect();
    let wanted = |member: usize| format!("checkpoint-of-{id}/1/{member}");
    assert_eq!(resumed.len(), 2);
    assert!((0..2).all(|member| resumed.contains(&wanted(member))), "{resumed:?}");
}

#[tokio::test]
async fn outage_of_store() {
    let cluster = Cluster::start(cluster::plan(1, &["zilina-1", "zilina-2"])).await;
    let id = cluster.submit(0, &cluster::gang(&json!({"payload": "run_ms=13000"}))).await;
    cluster.wait_state(&id, SOON, State::Running).await;
    cluster.kv.set_fault(kv::Fault { down: true, ..kv::Fault::default() });
    let answer = cluster.call(0, Method::POST, "/v1/jobs", &cluster::gang(&json!({}))).await;
    assert!(answer.is_none_or(|answer| !answer.status().is_success()));
    // Longer than any lease: the gang goes on, since its members are heard.
    time::sleep(Duration::from_secs(11)).await;
    assert_eq!(cluster.running(&id), 2);
    cluster.kv.set_fault(kv::Fault::default());
    let record = cluster.wait_state(&id, RECOVERY, State::Done).await;
    assert_eq!((record.attempt, cluster.executions(&id).len()), (1, 2));
}
