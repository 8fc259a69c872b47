//! The tour: a whole fleet in one process does its main jobs, and each promise is checked.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use lavendergauge_wire::job::State;
use serde_json::json;
use tokio::time;

use crate::embedded;
use crate::embedded::Fleet;
use crate::embedded::Plan;
use crate::tour_measure::Meter;

/// Data centre that the tour takes out.
const TAKEN_OUT: &str = "zilina-2";
/// Bound on each step of the tour.
const STEP_LIMIT: Duration = Duration::from_secs(10);
/// Time in which a claimed guarantee starts.
const URGENT: Duration = Duration::from_millis(3300);
/// Time after which nothing starts in a data centre that was taken out.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// Why the tour broke off.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet could not be started or called, or something came too late.
    #[error(transparent)]
    Fleet(#[from] embedded::Error),
    /// A promise was broken.
    #[error("promise broken: {0}")]
    Broken(String),
}

/// Runs the tour and prints what each caller learnt.
///
/// # Errors
/// [`Error::Broken`] when a promise was broken; otherwise what kept the tour from going on.
pub async fn run() -> Result<(), Error> {
    let mut fleet = embedded::start(&Plan::default()).await?;
    configure(&fleet).await?;
    let control = fleet.entries[0].control_address.to_string();
    let meter = Meter::start(fleet.client.clone(), control, TAKEN_OUT);
    requests(&fleet, &meter).await?;
    small_jobs(&fleet, &meter).await?;
    let (first, second) = gangs(&fleet).await?;
    reclaim(&fleet, &meter, &first).await?;
    data_centre_out(&fleet, &meter, &second).await?;
    stop_target(&mut fleet, &meter).await?;
    let table = meter.table();
    drop(meter);
    fleet.stop().await;
    println!("\n{table}\ntour: every promise held");
    Ok(())
}

fn ensure(holds: bool, promise: &str) -> Result<(), Error> {
    if holds { Ok(()) } else { Err(Error::Broken(promise.to_owned())) }
}

async fn configure(fleet: &Fleet) -> Result<(), Error> {
    let guarantee = json!([{"name": "sweep", "accelerators": 8, "adjacency": "worker",
        "data_centres": []}]);
    let accounts = [("vrbovec", guarantee), ("brno", json!([]))];
    let operations = embedded::set_up(&accounts, &["zilina-1", TAKEN_OUT]);
    let document = fleet.change("tour-1", operations).await?;
    println!("config: revision {} accepted", document.revision);
    fleet.wait_in_force(document.revision, STEP_LIMIT).await?;
    println!("config: in force on {} workers", fleet.workers.len());
    Ok(())
}

async fn request(fleet: &Fleet, meter: &Meter, key: &str) -> Result<(u16, String), Error> {
    let begun = Instant::now();
    let answer = fleet.request(0, "vrbovec", key, &format!("noise check {key}")).await?;
    meter.request(begun.elapsed());
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    Ok((answer.status().as_u16(), text))
}

async fn requests(fleet: &Fleet, meter: &Meter) -> Result<(), Error> {
    for index in 0..10 {
        let key = format!("tour-request-{index}");
        let (status, text) = request(fleet, meter, &key).await?;
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

/// Short jobs of different widths run to their ends.
async fn small_jobs(fleet: &Fleet, meter: &Meter) -> Result<(), Error> {
    let mut ids = Vec::new();
    for accelerators in [1, 2, 3, 4, 2, 1] {
        let spec = json!({"account": "vrbovec", "members": 1, "accelerators": accelerators,
            "adjacency": "worker", "class": "ordinary", "payload": "run_ms=800"});
        ids.push(fleet.submit(&spec).await?);
    }
    for id in &ids {
        let done = fleet.wait_job(id, STEP_LIMIT, |record| record.state == State::Done).await?;
        meter.job(&done);
    }
    println!("jobs: {} short ones are done", ids.len());
    Ok(())
}

async fn gangs(fleet: &Fleet) -> Result<(String, String), Error> {
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

/// The guarantee's owner claims it while borrowers fill the fleet.
async fn reclaim(fleet: &Fleet, meter: &Meter, borrower: &str) -> Result<(), Error> {
    let begun = Instant::now();
    let spec = json!({"account": "vrbovec", "members": 1, "accelerators": 8,
        "adjacency": "worker", "class": "urgent", "guarantee": "sweep",
        "payload": "run_ms=1500"});
    let claim = fleet.submit(&spec).await?;
    fleet.wait_job(&claim, STEP_LIMIT, |record| record.state == State::Running).await?;
    let took = begun.elapsed();
    println!("guarantee: claimed by {claim}, runs after {} ms", took.as_millis());
    ensure(took <= URGENT, "a claimed guarantee starts within 3.3 s")?;
    let done = fleet.wait_job(&claim, STEP_LIMIT, |record| record.state == State::Done).await?;
    meter.job(&done);
    println!("guarantee: {claim} is done, its accelerators go back");
    fleet.wait_job(borrower, STEP_LIMIT, |record| record.state == State::Running).await?;
    println!("gang {borrower}: runs again");
    Ok(())
}

async fn data_centre_out(fleet: &Fleet, meter: &Meter, gang: &str) -> Result<(), Error> {
    let standing = |standing: &str| json!([embedded::put_data_centre(TAKEN_OUT, standing)]);
    fleet.change("tour-out", standing("out")).await?;
    meter.set_outage(true);
    time::sleep(OUT_GRACE).await;
    let before = executions(fleet, TAKEN_OUT);
    for index in 0..10 {
        let (status, _) = request(fleet, meter, &format!("tour-out-{index}")).await?;
        ensure(status == 200, "requests go on in the other data centre")?;
    }
    ensure(before == executions(fleet, TAKEN_OUT), "nothing starts in a closed data centre")?;
    println!("data centre {TAKEN_OUT}: out, and nothing started there");
    fleet.change("tour-in", standing("in")).await?;
    meter.set_outage(false);
    fleet.wait_job(gang, STEP_LIMIT, |record| record.state == State::Running).await?;
    println!("data centre {TAKEN_OUT}: in again, gang {gang} runs");
    Ok(())
}

/// Counts what was executed in a data centre.
fn executions(fleet: &Fleet, data_centre: &str) -> usize {
    let workers = fleet.workers.iter().filter(|worker| worker.data_centre == data_centre);
    workers.map(|worker| worker.runtime.executions().len() + worker.target.executions().len()).sum()
}

async fn stop_target(fleet: &mut Fleet, meter: &Meter) -> Result<(), Error> {
    let Some(worker) = fleet.workers.last_mut() else { return Ok(()) };
    let name = worker.name.clone();
    if let Some(agent) = worker.agent.take() {
        agent.stop().await;
    }
    println!("worker {name}: stopped gracefully");
    let (status, _) = request(fleet, meter, "tour-after-stop").await?;
    ensure(status == 200, "a stopped target cuts off no request")
}
