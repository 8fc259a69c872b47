//! Jobs of which every start was refused count as started, so that the number of waiting jobs is wrong
//! (rule MIXED).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_stand_in::free_address;
use lavendergauge_stand_in::store::Store;
use lavendergauge_stand_in::worker::Event;
use lavendergauge_stand_in::worker::Profile;
use lavendergauge_stand_in::worker::Worker;
use serde_json::json;
use tokio::time;

use crate::Outcome;
use crate::fleet;
use crate::fleet::Addresses;
use crate::fleet::Caller;
use crate::fleet::Process;
use crate::record::Record;
use crate::shim;

/// Workers; one in seven is unhealthy.
const WORKERS: usize = 7;
/// Rack of the worker that becomes unhealthy, which its label names too.
const RACK: &str = "r-9";
const JOBS: u64 = 10;
/// Length of the disturbance.
const UNHEALTHY: Duration = Duration::from_millis(7000);
/// `visible_ms` + 2 s.
const VISIBLE: Duration = Duration::from_millis(5000);
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time limit for a job once the worker is healthy.
const DONE_LIMIT: Duration = Duration::from_secs(20);

/// Runs the case.
pub async fn run(directory: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let (store, endpoint) = Store::start().await;
    store.put("op/config", &fleet::config(1));
    let store_address = endpoint.server.address.to_string();
    let caller = Caller::new(record);
    let program = fleet::program();
    let entries = [Addresses::free(), Addresses::free()];
    let mut processes = Vec::new();
    for (index, addresses) in entries.iter().enumerate() {
        let name = format!("front-{}", index + 1);
        let settings = fleet::entry_settings(&name, addresses, &addresses.peer, &store_address, "");
        processes.push(Process::start(&program, directory, &name, &settings));
    }
    let is_unhealthy = Arc::new(AtomicBool::new(false));
    let begun: Arc<Mutex<BTreeSet<Id>>> = Arc::default();
    let mut workers = Vec::new();
    let mut servers = Vec::new();
    for index in 0..WORKERS {
        let is_special = index + 1 == WORKERS;
        let rack = if is_special { RACK.to_owned() } else { format!("r-{}", index / 3) };
        let profile = Profile {
            id: format!("i-{index}"),
            rack,
            data_centre: "kigali-hub".to_owned(),
            clock_permille: 1000,
        };
        let (known, shared) = (begun.clone(), record.clone());
        let watcher = Box::new(move |event: Event| {
            if let Event::Started { task, .. } = &event {
                known.lock().expect("the jobs").insert(task.instance.job);
            }
            shared.line(&format!("worker i-{index}: {event:?}"));
        });
        let (worker, server) = Worker::start(profile, watcher).await;
        let mut address = server.address.to_string();
        servers.push(server);
        if is_special {
            let relay = shim::start(address, is_unhealthy.clone(), record).await;
            address = relay.address.to_string();
            servers.push(relay);
        }
        let heartbeats = free_address();
        let name = format!("side-{index}");
        let settings = fleet::agent_settings(&name, &heartbeats, &store_address, &address);
        processes.push(Process::start(&program, directory, &name, &settings));
        worker.send_heartbeats(heartbeats);
        workers.push(worker);
    }
    for addresses in &entries {
        if !caller.wait_until_ready(&addresses.ready, READY_LIMIT).await {
            return Outcome::NotRun("an entry is not ready".to_owned());
        }
    }
    let job = json!({"spec": "300", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256,
        "est_duration_ms": 300, "requires": RACK}]})
    .to_string();
    // A first job shows that the fleet works and that the worker is known.
    let first = Id(0xa0);
    caller.call("POST", &entries[0].service, &format!("/plain/{first}"), &job).await;
    if !wait_until_completed(&caller, &entries[0].service, first).await {
        return Outcome::NotRun("the first job is not completed".to_owned());
    }

    is_unhealthy.store(has_trouble, Ordering::SeqCst);
    let trouble_since = Instant::now();
    if has_trouble {
        record.line("trouble: worker i-6 becomes unhealthy and answers starts with 503");
    }
    let mut accepted: BTreeMap<Id, Instant> = BTreeMap::new();
    for number in 0..JOBS {
        let id = Id(0xb0 + number);
        let entry = &entries[number as usize % 2].service;
        let (status, _) = caller.call("POST", entry, &format!("/plain/{id}"), &job).await;
        if (200..300).contains(&status) {
            accepted.insert(id, Instant::now());
        }
    }
    let mut broken = None;
    for at_ms in [2000, 5600, 6000, 6400] {
        let at = trouble_since + Duration::from_millis(at_ms);
        time::sleep(at.saturating_duration_since(Instant::now())).await;
        for addresses in &entries {
            let is_overdue = |id: &&Id| {
                VISIBLE <= accepted[*id].elapsed() && !begun.lock().expect("the jobs").contains(*id)
            };
            let (status, body) = caller.call("GET", &addresses.service, "/plain/", "").await;
            let overdue = accepted.keys().filter(is_overdue).count() as u64;
            record.line(&format!(
                "check: {overdue} jobs accepted over {} ms before have not begun",
                VISIBLE.as_millis()
            ));
            let waiting = body["waiting"].as_u64();
            if let Some(waiting) = waiting.filter(|waiting| status == 200 && 2 * waiting < overdue)
            {
                broken.get_or_insert(format!(
                    "MIXED: waiting is {waiting} while {overdue} jobs accepted over {} ms before have \
                     not begun",
                    VISIBLE.as_millis()
                ));
            }
        }
        for id in accepted.keys().take(1) {
            caller.call("GET", &entries[0].service, &format!("/plain/{id}"), "").await;
        }
    }
    let rest = (trouble_since + UNHEALTHY).saturating_duration_since(Instant::now());
    time::sleep(rest).await;
    is_unhealthy.store(false, Ordering::SeqCst);
    if has_trouble {
        record.line("trouble: worker i-6 is healthy again");
    }
    for id in accepted.keys() {
        let is_completed = wait_until_completed(&caller, &entries[0].service, *id).await;
        record.line(&format!("job {id} completed: {is_completed}"));
    }
    for process in &mut processes {
        process.close().await;
        record.line(&format!("ended {}", process.name));
    }
    if accepted.len() < JOBS as usize {
        return Outcome::NotRun("a job was not accepted".to_owned());
    }
    broken.map_or(Outcome::Held, Outcome::Broken)
}

async fn wait_until_completed(caller: &Caller, entry: &str, id: Id) -> bool {
    let until = Instant::now() + DONE_LIMIT;
    while Instant::now() < until {
        let (_, body) = caller.call_quietly("GET", entry, &format!("/plain/{id}"), "").await;
        if body["state"] == "completed" {
            return true;
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    false
}
