//! A guarantee claimed while borrowers fill the fleet, and something fails at the same time.

use std::time::Duration;
use std::time::Instant;

use lavendergauge_fakes::kv;
use lavendergauge_fakes::runtime;
use lavendergauge_testutils::cluster;
use lavendergauge_testutils::cluster::Cluster;
use lavendergauge_wire::job::State;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

/// Time in which a claimed guarantee starts when nothing fails.
const URGENT: Duration = Duration::from_millis(3300);
/// Bound on a start or an end when nothing fails.
const SOON: Duration = Duration::from_secs(10);
/// Bound on a claim whose borrowers do not react: their lease, and a launch.
const LEASES: Duration = Duration::from_secs(15);
/// Bound on a claim that a new planner takes over: succession, reading, and a launch.
const SUCCESSION: Duration = Duration::from_secs(15);

fn claim() -> Value {
    json!({"account": "vrbovec", "members": 1, "accelerators": 2, "adjacency": "worker",
        "class": "urgent", "guarantee": "sweep"})
}

/// Starts a cluster that borrowers fill.
async fn filled(entries: usize) -> (Cluster, Vec<String>) {
    let cluster = Cluster::start(cluster::plan(entries, &["zilina-1"])).await;
    let account = json!([{"op": "put-account", "account": {"name": "vrbovec", "quota": 0,
        "weight": 1, "keys": [], "guarantees": [{"name": "sweep", "accelerators": 2,
        "adjacency": "worker", "data_centres": []}]}}]);
    assert!(cluster.change("vrbovec", &account).await);
    let mut borrowers = Vec::new();
    for _ in 0..2 {
        let spec = json!({"account": "brno", "members": 1, "accelerators": 2,
            "adjacency": "worker", "class": "patient", "checkpoints": true});
        borrowers.push(cluster.submit(0, &spec).await);
    }
    for id in &borrowers {
        cluster.wait_state(id, SOON, State::Running).await;
    }
    // Entries learn of the new account within a moment.
    time::sleep(Duration::from_secs(1)).await;
    (cluster, borrowers)
}

/// Checks that no two members ran on one worker at a time, since each takes it whole.
fn never_shared(cluster: &Cluster) {
    for worker in &cluster.workers {
        let mut executions = worker.runtime.executions();
        executions.sort_by_key(|execution| execution.started);
        for pair in executions.windows(2) {
            let ended = pair[0].ended.expect("the earlier one is over");
            assert!(ended <= pair[1].started, "accelerators are not given away twice: {pair:?}");
        }
    }
}

#[tokio::test]
async fn claim_slow_store() {
    let (cluster, _) = filled(1).await;
    let delay = Duration::from_millis(50);
    cluster.kv.set_fault(kv::Fault { delay, ..kv::Fault::default() });
    let begun = Instant::now();
    let id = cluster.submit(0, &claim()).await;
    cluster.wait_state(&id, URGENT, State::Running).await;
    assert!(begun.elapsed() <= URGENT);
    never_shared(&cluster);
}

#[tokio::test]
async fn checkpoint_hangs() {
    let (cluster, _) = filled(1).await;
    for worker in &cluster.workers {
        let delay = Duration::from_millis(800);
        worker.runtime.set_fault(runtime::Fault { delay, ..runtime::Fault::default() });
    }
    let id = cluster.submit(0, &claim()).await;
    cluster.wait_state(&id, LEASES, State::Running).await;
    never_shared(&cluster);
}

#[tokio::test]
async fn borrower_paused() {
    let (cluster, _) = filled(1).await;
    for worker in &cluster.workers {
        worker.process.pause(Duration::from_secs(4));
    }
    let id = cluster.submit(0, &claim()).await;
    cluster.wait_state(&id, LEASES, State::Running).await;
    never_shared(&cluster);
}

#[tokio::test]
async fn borrower_killed() {
    let (mut cluster, _) = filled(1).await;
    let id = cluster.submit(0, &claim()).await;
    cluster.workers[0].process.kill();
    cluster.wait_state(&id, LEASES, State::Running).await;
    never_shared(&cluster);
}

async fn planner_death(moment: Duration) {
    let (mut cluster, borrowers) = filled(2).await;
    let planner = cluster.wait_planner(SOON, None).await;
    let id = cluster.submit(1 - planner, &claim()).await;
    time::sleep(moment).await;
    cluster.entries[planner].process.kill();
    cluster.entries[planner].handle = None;
    cluster.wait_state(&id, SUCCESSION, State::Running).await;
    never_shared(&cluster);
    let running: usize = borrowers.iter().map(|borrower| cluster.running(borrower)).sum();
    assert!(running <= 1, "one worker is the owner's");
}

#[tokio::test]
async fn claim_inherited() {
    let mut runs = JoinSet::new();
    for moment in [0, 200, 400, 600] {
        runs.spawn(planner_death(Duration::from_millis(moment)));
    }
    while let Some(run) = runs.join_next().await {
        run.expect("the claim is met");
    }
}
