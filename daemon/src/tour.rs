//! The tour: a whole fleet in one process runs through its main functions, and the promises that it
//! makes to callers are checked.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use lavendergauge_wire::job::State;
use serde_json::json;
use tokio::time;

use crate::embedded;
use crate::embedded::Fleet;
use crate::embedded::FleetSpec;
use crate::tour_measure::Meter;

/// Data centre that the tour takes out.
const OUTAGE_DATA_CENTRE: &str = "zilina-2";
/// Longest time that the tour waits for any one condition.
const STEP_LIMIT: Duration = Duration::from_secs(10);
/// Time in which a job that claims a guarantee must start.
const RECLAIM_LIMIT: Duration = Duration::from_millis(3300);
/// Time after which nothing may start any more in a data centre that was taken out.
const DATA_CENTRE_OUT_GRACE: Duration = Duration::from_secs(3);

/// Why the tour failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet could not be started or called, or an awaited condition did not hold in time.
    #[error(transparent)]
    Fleet(#[from] embedded::Error),
    /// A promise was broken.
    #[error("promise broken: {0}")]
    Broken(String),
}

/// Runs the tour and prints the result of each step and a table of measures.
///
/// # Errors
/// [`Error::Broken`] when a promise was broken, [`Error::Fleet`] when the tour could not go on.
pub async fn run() -> Result<(), Error> {
    let mut fleet = embedded::start(&FleetSpec::default()).await?;
    configure(&fleet).await?;
    let control = fleet.entries[0].control_address.to_string();
    let meter = Meter::start(fleet.client.clone(), control, OUTAGE_DATA_CENTRE);
    send_requests(&fleet, &meter).await?;
    run_short_jobs(&fleet, &meter).await?;
    let (first, second) = start_gangs(&fleet).await?;
    reclaim_guarantee(&fleet, &meter, &first).await?;
    take_data_centre_out(&fleet, &meter, &second).await?;
    stop_worker(&mut fleet, &meter).await?;
    let table = meter.table();
    drop(meter);
    fleet.stop().await;
    println!("\n{table}\ntour: every promise held");
    Ok(())
}

/// Fails with [`Error::Broken`] unless the promise holds.
fn ensure(holds: bool, promise: &str) -> Result<(), Error> {
    if holds { Ok(()) } else { Err(Error::Broken(promise.to_owned())) }
}

/// Creates a client account with a guarantee of one worker and one without, takes both data centres
/// in, and waits until the configuration is in force everywhere.
async fn configure(fleet: &Fleet) -> Result<(), Error> {
    let guarantee = json!([{"name": "sweep", "accelerators": 8, "adjacency": "worker",
        "data_centres": []}]);
    let accounts = [("vrbovec", guarantee), ("brno", json!([]))];
    let operations = embedded::set_up(&accounts, &["zilina-1", OUTAGE_DATA_CENTRE]);
    let document = fleet.change("tour-1", operations).await?;
    println!("config: revision {} accepted", document.revision);
    fleet.wait_in_force(document.revision, STEP_LIMIT).await?;
    println!("config: in force on {} workers", fleet.workers.len());
    Ok(())
}

/// Sends a request and returns the status and the body of the response.
async fn send_request(fleet: &Fleet, meter: &Meter, key: &str) -> Result<(u16, String), Error> {
    let started = Instant::now();
    let response = fleet.request(0, "vrbovec", key, &format!("noise check {key}")).await?;
    meter.record_request(started.elapsed());
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Ok((response.status().as_u16(), text))
}

/// Sends ten requests and checks that each is answered and executed once.
async fn send_requests(fleet: &Fleet, meter: &Meter) -> Result<(), Error> {
    for index in 0..10 {
        let key = format!("tour-request-{index}");
        let (status, text) = send_request(fleet, meter, &key).await?;
        println!("request {key}: {status} {text}");
        ensure(status == 200, "a request is answered")?;
        ensure(text == format!("/check noise check {key}"), "the answer is the request's own")?;
    }
    let mut executions = HashMap::new();
    for worker in &fleet.workers {
        for (key, count) in worker.target.executions() {
            *executions.entry(key).or_insert(0) += count;
        }
    }
    ensure(executions.values().all(|&count| count == 1), "each key is executed once")
}

/// Runs short jobs with different numbers of accelerators to their ends.
async fn run_short_jobs(fleet: &Fleet, meter: &Meter) -> Result<(), Error> {
    let mut ids = Vec::new();
    for accelerators in [1, 2, 3, 4, 2, 1] {
        let spec = json!({"account": "vrbovec", "members": 1, "accelerators": accelerators,
            "adjacency": "worker", "class": "ordinary", "payload": "run_ms=800"});
        ids.push(fleet.submit(&spec).await?);
    }
    for id in &ids {
        let done = fleet.wait_job(id, STEP_LIMIT, |record| record.state == State::Done).await?;
        meter.record_job(&done);
    }
    println!("jobs: {} short jobs are done", ids.len());
    Ok(())
}

/// Starts two gangs that together fill the fleet, and returns their identifiers.
async fn start_gangs(fleet: &Fleet) -> Result<(String, String), Error> {
    let spec = json!({"account": "brno", "members": 2, "accelerators": 8,
        "adjacency": "rack", "class": "ordinary", "checkpoints": true});
    let first = fleet.submit(&spec).await?;
    let second = fleet.submit(&spec).await?;
    for id in [&first, &second] {
        let record =
            fleet.wait_job(id, STEP_LIMIT, |record| record.state == State::Running).await?;
        let workers: Vec<&str> = record.seats.iter().map(|seat| seat.worker.as_str()).collect();
        println!("gang {id}: runs on {}", workers.join(" and "));
    }
    Ok((first, second))
}

/// Claims a guarantee while borrowers fill the fleet; the job must start in time, and the borrower
/// must run again after it.
async fn reclaim_guarantee(fleet: &Fleet, meter: &Meter, borrower: &str) -> Result<(), Error> {
    let started = Instant::now();
    let spec = json!({"account": "vrbovec", "members": 1, "accelerators": 8,
        "adjacency": "worker", "class": "urgent", "guarantee": "sweep",
        "payload": "run_ms=1500"});
    let claim = fleet.submit(&spec).await?;
    fleet.wait_job(&claim, STEP_LIMIT, |record| record.state == State::Running).await?;
    let took = started.elapsed();
    println!("guarantee: claimed by {claim}, runs after {} ms", took.as_millis());
    ensure(took <= RECLAIM_LIMIT, "a claimed guarantee starts within 3.3 s")?;
    let done = fleet.wait_job(&claim, STEP_LIMIT, |record| record.state == State::Done).await?;
    meter.record_job(&done);
    println!("guarantee: {claim} is done, its accelerators are free again");
    fleet.wait_job(borrower, STEP_LIMIT, |record| record.state == State::Running).await?;
    println!("gang {borrower}: runs again");
    Ok(())
}

/// Takes a data centre out and in again; nothing may start there meanwhile, and requests must be
/// answered by the other data centre.
async fn take_data_centre_out(fleet: &Fleet, meter: &Meter, gang: &str) -> Result<(), Error> {
    let set_standing =
        |standing: &str| json!([embedded::put_data_centre(OUTAGE_DATA_CENTRE, standing)]);
    fleet.change("tour-out", set_standing("out")).await?;
    meter.set_outage(true);
    time::sleep(DATA_CENTRE_OUT_GRACE).await;
    let before = count_executions(fleet, OUTAGE_DATA_CENTRE);
    for index in 0..10 {
        let (status, _) = send_request(fleet, meter, &format!("tour-out-{index}")).await?;
        ensure(status == 200, "requests are served by the other data centre")?;
    }
    ensure(
        before == count_executions(fleet, OUTAGE_DATA_CENTRE),
        "nothing starts in a data centre that is out",
    )?;
    println!("data centre {OUTAGE_DATA_CENTRE}: out, and nothing started there");
    fleet.change("tour-in", set_standing("in")).await?;
    meter.set_outage(false);
    fleet.wait_job(gang, STEP_LIMIT, |record| record.state == State::Running).await?;
    println!("data centre {OUTAGE_DATA_CENTRE}: in again, gang {gang} runs");
    Ok(())
}

/// Counts the tasks and requests executed in a data centre so far.
fn count_executions(fleet: &Fleet, data_centre: &str) -> usize {
    let workers = fleet.workers.iter().filter(|worker| worker.data_centre == data_centre);
    workers.map(|worker| worker.runtime.executions().len() + worker.target.executions().len()).sum()
}

/// Stops the agent of one worker gracefully; a request after that must still be answered.
async fn stop_worker(fleet: &mut Fleet, meter: &Meter) -> Result<(), Error> {
    let Some(worker) = fleet.workers.last_mut() else { return Ok(()) };
    let name = worker.name.clone();
    if let Some(agent) = worker.agent.take() {
        agent.stop().await;
    }
    println!("worker {name}: stopped gracefully");
    let (status, _) = send_request(fleet, meter, "tour-after-stop").await?;
    ensure(status == 200, "a request is answered after a worker has stopped")
}
