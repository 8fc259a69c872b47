//! Failpoints at each step of launch, settlement and takeover, driven by one table.

use std::time::Duration;

use fail::FailScenario;
use lavendergauge_testutils::cluster;
use lavendergauge_testutils::cluster::Cluster;
use lavendergauge_wire::job::State;
use serde_json::json;

/// Bound on a job of a tenth of a second under one fault that passes.
const LIMIT: Duration = Duration::from_secs(15);

/// One cell of the matrix.
struct Cell {
    /// The step.
    point: &'static str,
    /// What happens there.
    fault: &'static str,
    /// Attempts that the job needs.
    attempts: u32,
}

const fn cell(point: &'static str, fault: &'static str, attempts: u32) -> Cell {
    Cell { point, fault, attempts }
}

const CELLS: [Cell; 12] = [
    cell("launch-prepare", "1*return", 1),
    cell("launch-prepare", "1*sleep(400)", 1),
    cell("launch-stake", "1*return", 2),
    cell("launch-stake", "1*sleep(400)", 1),
    cell("launch-arm", "1*return", 1),
    cell("launch-go", "1*return", 1),
    cell("launch-go", "2*return", 1),
    cell("record-before-swap", "1*sleep(400)", 1),
    cell("agent-reply", "1*return", 1),
    cell("agent-reply", "4*return", 1),
    cell("duty-settle", "1*return", 1),
    cell("duty-settle", "1*sleep(400)", 1),
];

#[tokio::test(flavor = "multi_thread")]
async fn launch_matrix() {
    let scenario = FailScenario::setup();
    let cluster = Cluster::start(cluster::plan(1, &["zilina-1"])).await;
    cluster.wait_planner(LIMIT, None).await;
    for Cell { point, fault, attempts } in CELLS {
        fail::cfg(point, fault).expect("a failpoint");
        let id = cluster.submit(0, &cluster::gang(&json!({"payload": "run_ms=100"}))).await;
        let record = cluster.wait_state(&id, LIMIT, State::Done).await;
        fail::remove(point);
        let executions = cluster.executions(&id);
        assert_eq!(record.attempt, attempts, "{point} {fault}");
        assert_eq!(executions.len(), 2, "{point} {fault}: every member ran once");
        assert!(executions.iter().all(|(attempt, one)| *attempt == attempts && one.done));
    }
    scenario.teardown();
}
