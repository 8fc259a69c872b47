//! A stand-in for the platform's key-value service, in the shape of the etcd v3 JSON gateway.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_net::body::Body;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time;
use tokio::time::Instant;

use crate::http;
use crate::http::Call;
use crate::http::Server;
use crate::kv_watch;

/// Most changes that a watch can start back from.
const LOG_LIMIT: usize = 10_000;

/// Leases below this lapse in [`Kv::lapse_leases`].
const SHORT_LEASE: Duration = Duration::from_secs(60);

/// Faults that a test can switch on.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Answers nothing but errors, and ends every watch.
    pub down: bool,
    /// Waits before each call is carried out.
    pub delay: Duration,
    /// Waits after each call is carried out, before its answer.
    pub delay_answers: Duration,
    /// Number of writes that take effect and whose answers are then lost.
    pub lose_answers: u32,
    /// Key and value that another client writes right after the next write whose answer is lost.
    pub overwrite: Option<(String, String)>,
    /// The next write takes effect, its answer is lost, and the service is down from then on.
    pub down_after_write: bool,
    /// Watches stay open and say nothing.
    pub stall_watches: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    value: Vec<u8>,
    created: i64,
    modified: i64,
    version: i64,
    lease: i64,
}

/// One change of one key; no entry when it was deleted.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    pub(crate) entry: Option<Entry>,
}

/// Contents at one moment, to be restored later.
#[derive(Clone, Debug)]
pub struct Snapshot {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    pub(crate) fault: Fault,
    calls: HashMap<String, u64>,
    read_bytes: u64,
    pub(crate) log: VecDeque<Event>,
    /// First revision that a watch can start from.
    pub(crate) compacted: i64,
    /// Grows with each restored snapshot, which ends the watches before it.
    pub(crate) restored: u64,
    changed: Arc<Notify>,
}

impl State {
    /// Keeps a change for the watches and wakes them.
    fn record(&mut self, key: Vec<u8>, entry: Option<Entry>) {
        if LOG_LIMIT <= self.log.len() {
            self.log.pop_front();
            self.compacted = self.log.front().map_or(0, |event| event.revision);
        }
        self.log.push_back(Event { revision: self.revision, key, entry });
        self.changed.notify_waiters();
    }
}

#[derive(Debug)]
struct Lease {
    lasts: Duration,
    until: Instant,
}

/// The stand-in's contents and faults; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Kv {
    state: Arc<Mutex<State>>,
}

impl Kv {
    /// Starts a server over the contents.
    pub async fn serve(&self) -> Server {
        let kv = self.clone();
        http::start(move |call| {
            let kv = kv.clone();
            async move { kv.answer(call).await }
        })
        .await
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        state.changed.notify_waiters();
    }

    /// Returns the contents as they are now.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.lock();
        Snapshot { revision: state.revision, entries: state.entries.clone() }
    }

    /// Puts back the contents and the revision of an earlier moment, as a restored backup does.
    pub fn restore(&self, snapshot: Snapshot) {
        let mut state = self.lock();
        state.revision = snapshot.revision;
        state.entries = snapshot.entries;
        state.leases.clear();
        state.log.clear();
        state.restored += 1;
        state.changed.notify_waiters();
    }

    /// Ends every lease of less than a minute at once, with the keys bound to them, as if
    /// their holders had been paused; a longer pause than that is no fault of seconds.
    pub fn lapse_leases(&self) {
        let mut state = self.lock();
        let short = state.leases.iter().filter(|(_, lease)| lease.lasts < SHORT_LEASE);
        let ids: Vec<i64> = short.map(|(&id, _)| id).collect();
        for id in ids {
            end_lease(&mut state, id);
        }
    }

    /// Returns how many calls of each path were made.
    pub fn calls(&self) -> HashMap<String, u64> {
        self.lock().calls.clone()
    }

    /// Returns the bytes of all values that were read, as they travel.
    pub fn read_bytes(&self) -> u64 {
        self.lock().read_bytes
    }

    /// Returns the revision of the newest change.
    pub fn revision(&self) -> i64 {
        self.lock().revision
    }

    /// Forgets the changes before a revision, so that no watch can start from them.
    pub fn compact(&self, revision: i64) {
        self.lock().compacted = revision;
    }

    /// Returns what tells the watches of a change.
    pub(crate) fn changed(&self) -> Arc<Notify> {
        self.lock().changed.clone()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn answer(&self, call: Call) -> Response<Body> {
        let fault = self.lock().fault.clone();
        time::sleep(fault.delay).await;
        if fault.down {
            *self.lock().calls.entry(call.path.clone()).or_default() += 1;
            return http::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = self.carry_out(&call);
        if !fault.delay_answers.is_zero() {
            time::sleep(fault.delay_answers).await;
        }
        answer
    }

    fn carry_out(&self, call: &Call) -> Response<Body> {
        let mut state = self.lock();
        *state.calls.entry(call.path.clone()).or_default() += 1;
        expire(&mut state);
        if call.path == "/v3/watch" {
            drop(state);
            return kv_watch::open(self, &call.json());
        }
        let before = state.revision;
        let answer = match call.path.as_str() {
            "/v3/kv/range" => {
                let answer = range(&state, &call.json());
                state.read_bytes += value_bytes(&answer);
                answer
            }
            "/v3/kv/txn" => txn(&mut state, &call.json()),
            "/v3/lease/grant" => grant(&mut state, &call.json()),
            "/v3/lease/keepalive" => keepalive(&mut state, &call.json()),
            "/v3/lease/revoke" => {
                end_lease(&mut state, number(&call.json()["ID"]));
                json!({"header": header(&state)})
            }
            _ => return http::status(StatusCode::NOT_FOUND),
        };
        if before != state.revision && state.fault.down_after_write {
            state.fault.down_after_write = false;
            state.fault.down = true;
            return http::status(StatusCode::GATEWAY_TIMEOUT);
        }
        if before != state.revision && 0 < state.fault.lose_answers {
            state.fault.lose_answers -= 1;
            if let Some((key, value)) = state.fault.overwrite.take() {
                store(&mut state, key.into_bytes(), value.into_bytes(), 0);
            }
            return http::status(StatusCode::GATEWAY_TIMEOUT);
        }
        http::json(&answer)
    }
}

pub(crate) fn header(state: &State) -> Value {
    json!({"revision": state.revision.to_string()})
}

fn expire(state: &mut State) {
    let now = Instant::now();
    let over: Vec<i64> =
        state.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(&id, _)| id).collect();
    for id in over {
        end_lease(state, id);
    }
}

fn end_lease(state: &mut State, id: i64) {
    if state.leases.remove(&id).is_none() {
        return;
    }
    let bound = |(_, entry): &(&Vec<u8>, &Entry)| entry.lease == id;
    let keys: Vec<Vec<u8>> =
        state.entries.iter().filter(bound).map(|(key, _)| key.clone()).collect();
    if !keys.is_empty() {
        state.revision += 1;
    }
    for key in keys {
        state.entries.remove(&key);
        state.record(key, None);
    }
}

/// Reads a number that the gateway writes as a string.
pub(crate) fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or_default()
}

/// Reads bytes that the gateway writes in base64.
pub(crate) fn octets(value: &Value) -> Vec<u8> {
    value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

pub(crate) fn entry_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
        "lease": entry.lease.to_string(),
    })
}

/// Returns the length of the values in a range's answer, as they travel.
fn value_bytes(answer: &Value) -> u64 {
    let entries = answer["kvs"].as_array().map(Vec::as_slice).unwrap_or_default();
    entries.iter().filter_map(|entry| entry["value"].as_str()).map(|text| text.len() as u64).sum()
}

fn range(state: &State, request: &Value) -> Value {
    let key = octets(&request["key"]);
    let end = octets(&request["range_end"]);
    let oldest = number(&request["min_mod_revision"]);
    let limit = match number(&request["limit"]) {
        0 => usize::MAX,
        limit => usize::try_from(limit).unwrap_or_default(),
    };
    let mut entries: Vec<Value> = state
        .entries
        .range(key.clone()..)
        .take_while(|(known, _)| if end.is_empty() { **known == key } else { **known < end })
        .filter(|(_, entry)| oldest <= entry.modified)
        .map(|(known, entry)| entry_json(known, entry))
        .collect();
    if request["keys_only"] == true {
        entries.iter_mut().for_each(|entry| entry["value"] = json!(""));
    }
    let count = entries.len();
    entries.truncate(limit);
    json!({"header": header(state), "count": count.to_string(), "more": limit < count,
        "kvs": entries})
}

fn txn(state: &mut State, request: &Value) -> Value {
    let compares = request["compare"].as_array().cloned().unwrap_or_default();
    let holds = compares.iter().all(|compare| {
        let known = state.entries.get(&octets(&compare["key"]));
        known.map_or(0, |entry| entry.modified) == number(&compare["mod_revision"])
    });
    let branch = if holds { "success" } else { "failure" };
    let operations = request[branch].as_array().cloned().unwrap_or_default();
    let responses: Vec<Value> =
        operations.iter().map(|operation| operate(state, operation)).collect();
    json!({"header": header(state), "succeeded": holds, "responses": responses})
}

fn operate(state: &mut State, operation: &Value) -> Value {
    if operation["request_put"].is_object() {
        let put = &operation["request_put"];
        store(state, octets(&put["key"]), octets(&put["value"]), number(&put["lease"]));
        return json!({"response_put": {"header": header(state)}});
    }
    if operation["request_delete_range"].is_object() {
        let key = octets(&operation["request_delete_range"]["key"]);
        if state.entries.remove(&key).is_some() {
            state.revision += 1;
            state.record(key, None);
        }
        return json!({"response_delete_range": {"header": header(state)}});
    }
    json!({"response_range": range(state, &operation["request_range"])})
}

fn store(state: &mut State, key: Vec<u8>, value: Vec<u8>, lease: i64) {
    state.revision += 1;
    let revision = state.revision;
    let entry = state.entries.entry(key.clone()).or_insert(Entry {
        value: Vec::new(),
        created: revision,
        modified: 0,
        version: 0,
        lease: 0,
    });
    entry.value = value;
    entry.modified = revision;
    entry.version += 1;
    entry.lease = lease;
    let entry = entry.clone();
    state.record(key, Some(entry));
}

fn grant(state: &mut State, request: &Value) -> Value {
    let lasts = Duration::from_secs(number(&request["TTL"]).unsigned_abs());
    state.next_lease += 1;
    let id = state.next_lease;
    state.leases.insert(id, Lease { lasts, until: Instant::now() + lasts });
    json!({"header": header(state), "ID": id.to_string(), "TTL": lasts.as_secs().to_string()})
}

fn keepalive(state: &mut State, request: &Value) -> Value {
    let id = number(&request["ID"]);
    let lasts = match state.leases.get_mut(&id) {
        Some(lease) => {
            lease.until = Instant::now() + lease.lasts;
            lease.lasts.as_secs()
        }
        None => 0,
    };
    json!({"result": {"header": header(state), "ID": id.to_string(), "TTL": lasts.to_string()}})
}
