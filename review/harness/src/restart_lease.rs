//! TWICE: a worker restarts under its identifier, and its machine is cut off soon after.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Seen;

/// Workers, so many that one of them is within the shares of both disruptions.
const WORKERS: usize = 8;
/// Time for which the first life of the worker lasts.
const FIRST_LIFE: Duration = Duration::from_secs(12);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(1000);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5500);
/// Overlap from which two runs count as being at work at the same time, for the clock's grain.
const GRAIN_MS: u64 = 20;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(record.clone(), 2, WORKERS)?;
    thread::sleep(FIRST_LIFE);
    let only = std::env::var("ONLY").unwrap_or_default();
    if has_trouble && only != "cut" {
        fleet.sides[0].worker.crash();
    }
    thread::sleep(Duration::from_millis(300));
    // Tasks that need whole workers, on all others while the first is down.
    let filler = json!({"spec": "work-2500", "steps": [
        {"count": WORKERS - 1, "cpu": 8000, "mem_mb": 1000, "gpu": 8, "est_duration_ms": 2500}]});
    if !fleet.submit(0, "/batch/00000000000000f0", "key-of-south", &filler) {
        return None;
    }
    thread::sleep(DOWN - Duration::from_millis(300));
    if has_trouble && only != "cut" {
        fleet.sides[0].worker.restart();
    }
    thread::sleep(Duration::from_millis(800));
    let job = json!({"spec": "work-9000", "steps": [
        {"count": 1, "cpu": 8000, "mem_mb": 1000, "gpu": 8, "est_duration_ms": 9000}]});
    if !fleet.submit(1, "/batch/00000000000000a1", "key-of-south", &job) {
        return None;
    }
    let task = "00000000000000a1.0.0.0";
    let found = wait_for_start(&fleet, task)?;
    thread::sleep(Duration::from_millis(300));
    let side = fleet.sides.iter().find(|side| side.worker.id == found.worker)?;
    if has_trouble && only != "crash" {
        record.note(&format!("the machine of {} is cut off from all others", found.worker));
        side.paths.iter().for_each(|path| path.set_cut(true));
    }
    thread::sleep(CUT);
    if has_trouble && only != "crash" {
        record.note("the cut heals");
        side.paths.iter().for_each(|path| path.set_cut(false));
    }
    thread::sleep(Duration::from_secs(12));
    let runs: Vec<Seen> = fleet
        .ledger
        .lock()
        .expect("the ledger")
        .iter()
        .filter(|seen| seen.task == task)
        .cloned()
        .collect();
    let now = record.now_ms();
    let mut is_broken = false;
    for (index, first) in runs.iter().enumerate() {
        let ended = first.until_ms.unwrap_or(now);
        record.note(&format!(
            "judge: run {} on {} from {} to {ended} ms: {}",
            first.run, first.worker, first.from_ms, first.how
        ));
        for second in &runs[index + 1..] {
            let from = first.from_ms.max(second.from_ms);
            let until = ended.min(second.until_ms.unwrap_or(now));
            if from + GRAIN_MS < until {
                is_broken = true;
                record.note(&format!(
                    "judge: TWICE: runs {} on {} and {} on {} at the same time for {} ms",
                    first.run,
                    first.worker,
                    second.run,
                    second.worker,
                    until - from
                ));
            }
        }
    }
    Some(is_broken)
}

fn wait_for_start(fleet: &Fleet, task: &str) -> Option<Seen> {
    for _ in 0..400 {
        let found = {
            let ledger = fleet.ledger.lock().expect("the ledger");
            ledger.iter().find(|seen| seen.task == task).cloned()
        };
        if found.is_some() {
            return found;
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}
