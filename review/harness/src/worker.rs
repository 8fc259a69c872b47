//! Stand-in for a worker, by the platform's published protocol.
//!
//! It may crash and start again under its identifier; its clock, its numbers and its lists then
//! start anew. It sends heartbeats at a fixed interval from its start on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::record::Record;

/// Interval of heartbeats, `heartbeat_ms` of the settings.
pub const HEARTBEAT_MS: u64 = 1500;
/// Time from a worker's start to its first heartbeat.
const FIRST_HEARTBEAT_MS: u64 = 500;
/// Longest lease, `hold_max_ms` of the bounds.
pub const HOLD_MAX_MS: u64 = 10_000;
/// Processors of a worker, in thousandths of a core.
pub const PROCESSORS: u64 = 64_000;
/// Accelerators of a worker.
pub const ACCELERATORS: u64 = 8;

/// One run as the worker saw it, in milliseconds of the record.
#[derive(Clone)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from_ms: u64,
    pub until_ms: Option<u64>,
    pub how: String,
}

struct Run {
    number: u64,
    started_at: Instant,
    work: Duration,
    index: usize,
}

struct Life {
    born: u64,
    started_at: Instant,
    is_up: bool,
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    refused: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, String)>,
    last_end: u64,
    sequence: u64,
}

impl Life {
    fn new() -> Life {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        Life {
            born: born as u64,
            started_at: Instant::now(),
            is_up: true,
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            refused: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            sequence: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

/// The runs of all workers.
pub type Ledger = Arc<Mutex<Vec<Seen>>>;

/// The worker.
pub struct Worker {
    pub id: String,
    zone: String,
    rack: String,
    life: Mutex<Life>,
    ledger: Ledger,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker at `address` that sends heartbeats to `agent`.
    pub fn start(
        id: &str,
        zone: &str,
        address: &str,
        agent: &str,
        ledger: Ledger,
        record: Arc<Record>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            zone: zone.to_owned(),
            rack: format!("r-{zone}"),
            life: Mutex::new(Life::new()),
            ledger,
            record,
        });
        let shared = worker.clone();
        http::serve(address, Arc::new(move |request| shared.handle(&request)));
        let shared = worker.clone();
        thread::spawn(move || {
            loop {
                shared.advance(&mut shared.life.lock().expect("the life"));
                thread::sleep(Duration::from_millis(5));
            }
        });
        let (shared, agent) = (worker.clone(), agent.to_owned());
        thread::spawn(move || shared.send_heartbeats(&agent));
        worker
    }

    /// Crashes; the worker answers nothing until it starts again.
    pub fn crash(&self) {
        let mut life = self.life.lock().expect("the life");
        self.advance(&mut life);
        let tasks: Vec<String> = life.runs.keys().cloned().collect();
        for task in tasks {
            self.end(&mut life, &task, "crash");
        }
        life.is_up = false;
        self.record.note(&format!("worker {} crashes", self.id));
    }

    /// Starts again under the same identifier.
    pub fn restart(&self) {
        *self.life.lock().expect("the life") = Life::new();
        self.record.note(&format!("worker {} starts again under its id", self.id));
    }

    fn send_heartbeats(&self, agent: &str) {
        let mut last_sent: Option<(u64, Instant)> = None;
        loop {
            thread::sleep(Duration::from_millis(10));
            let beat = {
                let mut life = self.life.lock().expect("the life");
                let is_due = match last_sent {
                    Some((born, at)) if born == life.born => {
                        Duration::from_millis(HEARTBEAT_MS) <= at.elapsed()
                    }
                    _ => FIRST_HEARTBEAT_MS <= life.clock(),
                };
                if !life.is_up || !is_due {
                    continue;
                }
                life.sequence += 1;
                last_sent = Some((life.born, Instant::now()));
                json!({"service": "sim", "address": "127.0.0.1:1", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": PROCESSORS, "mem_mb": 131_072, "gpu": ACCELERATORS},
                    "labels": ["a", self.rack], "clock_ms": life.clock(), "seq": life.sequence,
                    "born": life.born})
            };
            let path = format!("/instances/{}/heartbeat", self.id);
            let (status, _) = http::call(
                agent,
                "POST",
                &path,
                "Host: agent\r\n",
                &beat.to_string(),
                Duration::from_secs(1),
            );
            if beat["seq"] == 1 {
                self.record.note(&format!(
                    "worker {} born {} sends its first heartbeat: {status}",
                    self.id, beat["born"]
                ));
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &str) {
        let Some(run) = life.runs.remove(task) else { return };
        let refused = life.refused.entry(task.to_owned()).or_default();
        *refused = (*refused).max(run.number);
        life.last_end += 1;
        let number = life.last_end;
        life.ends.push((number, task.to_owned(), run.number, how.to_owned()));
        let mut ledger = self.ledger.lock().expect("the ledger");
        ledger[run.index].until_ms = Some(self.record.now_ms());
        ledger[run.index].how = how.to_owned();
        self.record.note(&format!("worker {}: run {} of {task} ends: {how}", self.id, run.number));
    }

    fn advance(&self, life: &mut Life) {
        if !life.is_up {
            return;
        }
        let has_lapsed = life.lease_until < life.clock();
        let due: Vec<(String, &str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let is_done = run.work <= run.started_at.elapsed();
                let how = if is_done { "done" } else { "lapsed" };
                (is_done || has_lapsed).then(|| (task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(life, &task, how);
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let (born, is_up) = {
            let life = self.life.lock().expect("the life");
            (life.born, life.is_up)
        };
        if !is_up {
            return None;
        }
        if request.expected_instance.as_ref().is_some_and(|id| *id != self.id) {
            return Some((421, json!({})));
        }
        let wait = Duration::from_millis(request.body["wait_ms"].as_u64().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        let mut is_first = true;
        loop {
            {
                let mut life = self.life.lock().expect("the life");
                if life.born != born || !life.is_up {
                    return None;
                }
                self.advance(&mut life);
                let may_wait = Instant::now() < until;
                if let Some(answer) = self.call(&mut life, request, is_first, may_wait) {
                    return Some(answer);
                }
            }
            is_first = false;
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn call(
        &self,
        life: &mut Life,
        request: &Request,
        is_first: bool,
        may_wait: bool,
    ) -> Option<(u16, Value)> {
        let body = &request.body;
        let clock = life.clock();
        let refusal = |reason: &str| (409, json!({"clock_ms": clock, "reason": reason}));
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return Some(refusal("fence"));
        }
        life.fence = fence;
        let until = body["until_ms"].as_u64();
        if let Some(until) = until.filter(|_| is_first) {
            let longest = clock + HOLD_MAX_MS;
            if longest < until {
                self.record.note(&format!(
                    "worker {}: {} asks for a lease until {until} at {clock} of its clock; \
                     shortened to {longest}",
                    self.id, request.path
                ));
            }
            life.lease_until = life.lease_until.max(until.min(longest));
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    return Some((200, json!({"clock_ms": clock, "born": life.born})));
                }
                if until.is_some_and(|until| until < clock) {
                    return Some(refusal("late"));
                }
                let refused = life.refused.get(&task).copied().unwrap_or(0);
                if number <= refused || life.runs.contains_key(&task) {
                    return Some(refusal("old"));
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                let work_ms = spec.strip_prefix("work-").and_then(|text| text.parse().ok());
                let mut ledger = self.ledger.lock().expect("the ledger");
                let index = ledger.len();
                ledger.push(Seen {
                    task: task.clone(),
                    run: number,
                    worker: self.id.clone(),
                    from_ms: self.record.now_ms(),
                    until_ms: None,
                    how: String::new(),
                });
                drop(ledger);
                let work = Duration::from_millis(work_ms.unwrap_or(500));
                let run = Run { number, started_at: Instant::now(), work, index };
                life.runs.insert(task.clone(), run);
                self.record.note(&format!(
                    "worker {}: run {number} of {task} starts, fence {fence}",
                    self.id
                ));
                Some((200, json!({"clock_ms": clock, "born": life.born})))
            }
            "/run-stop" => {
                let refused = life.refused.entry(task.clone()).or_default();
                *refused = (*refused).max(number);
                if life.runs.get(&task).is_some_and(|run| run.number <= number) {
                    self.end(life, &task, "stopped");
                }
                Some((200, json!({"clock_ms": clock, "born": life.born})))
            }
            "/hold" => {
                let seen = body["last_seen"].as_u64().unwrap_or(0);
                life.ends.retain(|(end, ..)| seen < *end);
                if life.ends.is_empty() && may_wait {
                    return None;
                }
                let running: Vec<Value> = life
                    .runs
                    .iter()
                    .map(|(task, run)| {
                        let done = run.started_at.elapsed().as_millis() as f64;
                        let percent = (done * 100.0 / run.work.as_millis().max(1) as f64).floor();
                        json!([task, run.number, "", percent, 1000])
                    })
                    .collect();
                let ended: Vec<Value> = life
                    .ends
                    .iter()
                    .take(500)
                    .map(|(end, task, run, how)| json!([end, task, run, how, ""]))
                    .collect();
                Some((
                    200,
                    json!({"clock_ms": clock, "born": life.born, "running": running,
                        "ended": ended}),
                ))
            }
            _ => Some((404, json!({}))),
        }
    }
}
