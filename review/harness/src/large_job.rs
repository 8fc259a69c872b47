//! LOST: one job with many tasks is accepted, and no job of anyone runs any more.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker;

/// Tasks of the large job.
const TASKS: u32 = 20_000;
/// Small jobs of the other tenant, one a second.
const SMALL_JOBS: u64 = 24;
/// Number of small jobs before the large one.
const BEFORE: u64 = 6;
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which nothing of a job runs, as in the rule.
const IDLE: Duration = Duration::from_secs(3);
const WORKERS: usize = 3;

/// Returns a job of one task each second, the first of which was due six hours ago.
fn recurring() -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    let first_ms = (now - Duration::from_secs(6 * 3600)).as_millis() as u64;
    json!({"spec": "work-20", "repeat_count": 86_400, "first_run_ms": first_ms,
        "interval_ms": 1000,
        "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "est_duration_ms": 20}]})
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(record.clone(), 2, WORKERS)?;
    thread::sleep(Duration::from_secs(2));
    let small = json!({"spec": "work-500", "steps": [
        {"count": 1, "cpu": 1000, "mem_mb": 500, "gpu": 1, "est_duration_ms": 500}]});
    // 20,000 tasks of 20 ms on a tenth of a core: half a minute of work for the three workers.
    let large = json!({"spec": "work-20", "steps": [
        {"count": TASKS, "cpu": 100, "mem_mb": 10, "est_duration_ms": 20}]});
    let is_recurring = std::env::var("VARIANT").as_deref() == Ok("recurring");
    let large = if is_recurring { recurring() } else { large };
    let mut accepted = Vec::new();
    for number in 0..SMALL_JOBS {
        if has_trouble && number == BEFORE {
            record.note("the large job is handed in");
            fleet.submit(0, "/batch/00000000000f0000", "key-of-south", &large);
        }
        let id = format!("{:016x}", 0xa0 + number);
        if fleet.submit(number as usize, &format!("/urgent/{id}"), "key-of-north", &small) {
            accepted.push(id);
        }
        thread::sleep(Duration::from_secs(1));
    }
    record.note("the traffic ends");
    thread::sleep(FINISH);
    let from_ms = record.now_ms();
    thread::sleep(IDLE);
    let until_ms = record.now_ms();
    let runs = fleet.ledger.lock().expect("the ledger").clone();
    let in_use = runs
        .iter()
        .filter(|seen| from_ms < seen.until_ms.unwrap_or(until_ms))
        .filter(|seen| seen.from_ms < until_ms)
        .count() as u64
        * 1000;
    let capacity = worker::PROCESSORS * WORKERS as u64;
    record.note(&format!(
        "judge: from {from_ms} to {until_ms} ms at most {in_use} of {capacity} thousandths of a \
         core are in use"
    ));
    let mut lost = 0;
    for id in &accepted {
        let has_run = runs.iter().any(|seen| seen.task.starts_with(id.as_str()));
        let (status, state) = fleet.call(0, "GET", &format!("/urgent/{id}"), "key-of-north", "");
        let is_completed = state["state"] == "completed";
        let is_idle = !has_run && 2 * in_use < capacity;
        if status != 200 || (!is_completed && is_idle) {
            lost += 1;
            record.note(&format!("judge: LOST: job {id} was accepted, has run: {has_run}"));
        }
    }
    record.note(&format!(
        "judge: {lost} of {} small jobs are lost; the store refused {} transactions",
        accepted.len(),
        fleet.store.too_long()
    ));
    Some(lost != 0)
}
