//! A stand-in for the platform's key-value service, with the interface of the etcd v3 JSON gateway.

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

/// Number of past changes that are kept for watches that start at an earlier revision.
const LOG_EVENTS: usize = 10_000;

/// [`Kv::expire_short_leases`] ends the leases whose time to live is shorter than this.
const SHORT_LEASE_TTL: Duration = Duration::from_secs(60);

/// Faults that a test can switch on.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Answers every call with an error, and ends every watch.
    pub down: bool,
    /// Delay before each call is carried out.
    pub delay: Duration,
    /// Delay between carrying out a call and answering it.
    pub delay_answers: Duration,
    /// Key whose writes `lose_answers` and `down_after_write` apply to; every key if `None`.
    ///
    /// The entries of a fleet write keys of their own at any time, such as the planner's lease.
    pub written_key: Option<&'static str>,
    /// Number of next writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Key and value written, as if by another client, right after the next write whose answer is
    /// lost.
    pub overwrite: Option<(String, String)>,
    /// The next write takes effect, its answer is lost, and the service is down afterwards.
    pub down_after_write: bool,
    /// Watches stay open and send nothing.
    pub stall_watches: bool,
}

/// The value of a key with its revisions and lease, as etcd reports them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    value: Vec<u8>,
    created: i64,
    modified: i64,
    version: i64,
    lease: i64,
}

/// A change of one key; `entry` is `None` when the key was deleted.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    pub(crate) entry: Option<Entry>,
}

/// The contents at one revision, for [`Kv::restore`].
#[derive(Clone, Debug)]
pub struct Snapshot {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
}

/// Contents, faults and call counts of the stand-in.
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
    /// Oldest revision that a watch can start from.
    pub(crate) compacted: i64,
    /// Number of restored snapshots; a watch ends when it changes.
    pub(crate) restores: u64,
    changed: Arc<Notify>,
}

impl State {
    /// Appends a change to the log and wakes the watches.
    fn record(&mut self, key: Vec<u8>, entry: Option<Entry>) {
        if LOG_EVENTS <= self.log.len() {
            self.log.pop_front();
            self.compacted = self.log.front().map_or(0, |event| event.revision);
        }
        self.log.push_back(Event { revision: self.revision, key, entry });
        self.changed.notify_waiters();
    }

    /// Tells whether a change after `revision` is one that the faults of writes apply to.
    fn has_faulty_write_since(&self, revision: i64) -> bool {
        let key = self.fault.written_key.map(str::as_bytes);
        let mut changes = self.log.iter().rev().take_while(|event| revision < event.revision);
        changes.any(|event| key.is_none_or(|key| event.key == key))
    }
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
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

    /// Resets the contents and the revision to a snapshot, as restoring a backup does.
    pub fn restore(&self, snapshot: Snapshot) {
        let mut state = self.lock();
        state.revision = snapshot.revision;
        state.entries = snapshot.entries;
        state.leases.clear();
        state.log.clear();
        state.restores += 1;
        state.changed.notify_waiters();
    }

    /// Ends every lease shorter than a minute at once, and deletes its keys, as if the holders had
    /// been paused.
    ///
    /// Longer leases stay: they only expire in pauses longer than the few seconds that this fault
    /// stands for.
    pub fn expire_short_leases(&self) {
        let mut state = self.lock();
        let short = state.leases.iter().filter(|(_, lease)| lease.ttl < SHORT_LEASE_TTL);
        let ids: Vec<i64> = short.map(|(&id, _)| id).collect();
        for id in ids {
            end_lease(&mut state, id);
        }
    }

    /// Returns the number of calls to each path.
    pub fn calls(&self) -> HashMap<String, u64> {
        self.lock().calls.clone()
    }

    /// Returns the total length of all values that were read, in base64 as sent.
    pub fn read_bytes(&self) -> u64 {
        self.lock().read_bytes
    }

    /// Returns the revision of the newest change.
    pub fn revision(&self) -> i64 {
        self.lock().revision
    }

    /// Refuses watches that start before a revision, as after a compaction in etcd.
    pub fn compact(&self, revision: i64) {
        self.lock().compacted = revision;
    }

    /// Returns the notification that wakes the watches on a change.
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
        end_expired_leases(&mut state);
        if call.path == "/v3/watch" {
            drop(state);
            return kv_watch::open(self, &call.json());
        }
        let before = state.revision;
        let answer = match call.path.as_str() {
            "/v3/kv/range" => {
                let answer = read_range(&state, &call.json());
                state.read_bytes += value_length(&answer);
                answer
            }
            "/v3/kv/txn" => run_transaction(&mut state, &call.json()),
            "/v3/lease/grant" => grant_lease(&mut state, &call.json()),
            "/v3/lease/keepalive" => renew_lease(&mut state, &call.json()),
            "/v3/lease/revoke" => {
                end_lease(&mut state, parse_number(&call.json()["ID"]));
                json!({"header": header(&state)})
            }
            _ => return http::status(StatusCode::NOT_FOUND),
        };
        let is_faulty_write = state.has_faulty_write_since(before);
        if is_faulty_write && state.fault.down_after_write {
            state.fault.down_after_write = false;
            state.fault.down = true;
            return http::status(StatusCode::GATEWAY_TIMEOUT);
        }
        if is_faulty_write && 0 < state.fault.lose_answers {
            state.fault.lose_answers -= 1;
            if let Some((key, value)) = state.fault.overwrite.take() {
                store(&mut state, key.into_bytes(), value.into_bytes(), 0);
            }
            return http::status(StatusCode::GATEWAY_TIMEOUT);
        }
        http::json(&answer)
    }
}

/// Returns the header of an answer, which holds the current revision.
pub(crate) fn header(state: &State) -> Value {
    json!({"revision": state.revision.to_string()})
}

/// Ends the leases whose time has run out.
fn end_expired_leases(state: &mut State) {
    let now = Instant::now();
    let expired: Vec<i64> = state
        .leases
        .iter()
        .filter(|(_, lease)| lease.expires_at <= now)
        .map(|(&id, _)| id)
        .collect();
    for id in expired {
        end_lease(state, id);
    }
}

/// Removes a lease and deletes the keys bound to it, in one revision.
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
pub(crate) fn parse_number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or_default()
}

/// Reads bytes that the gateway writes in base64.
pub(crate) fn decode_bytes(value: &Value) -> Vec<u8> {
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

/// Returns the total length of the values in a range's answer, in base64 as sent.
fn value_length(answer: &Value) -> u64 {
    let entries = answer["kvs"].as_array().map(Vec::as_slice).unwrap_or_default();
    entries.iter().filter_map(|entry| entry["value"].as_str()).map(|text| text.len() as u64).sum()
}

fn read_range(state: &State, request: &Value) -> Value {
    let key = decode_bytes(&request["key"]);
    let end = decode_bytes(&request["range_end"]);
    let min_revision = parse_number(&request["min_mod_revision"]);
    let limit = match parse_number(&request["limit"]) {
        0 => usize::MAX,
        limit => usize::try_from(limit).unwrap_or_default(),
    };
    let mut entries: Vec<Value> = state
        .entries
        .range(key.clone()..)
        .take_while(|(stored, _)| if end.is_empty() { **stored == key } else { **stored < end })
        .filter(|(_, entry)| min_revision <= entry.modified)
        .map(|(stored, entry)| entry_json(stored, entry))
        .collect();
    if request["keys_only"] == true {
        entries.iter_mut().for_each(|entry| entry["value"] = json!(""));
    }
    let count = entries.len();
    entries.truncate(limit);
    json!({"header": header(state), "count": count.to_string(), "more": limit < count,
        "kvs": entries})
}

fn run_transaction(state: &mut State, request: &Value) -> Value {
    let compares = request["compare"].as_array().cloned().unwrap_or_default();
    let matches = compares.iter().all(|compare| {
        let stored = state.entries.get(&decode_bytes(&compare["key"]));
        stored.map_or(0, |entry| entry.modified) == parse_number(&compare["mod_revision"])
    });
    let branch = if matches { "success" } else { "failure" };
    let operations = request[branch].as_array().cloned().unwrap_or_default();
    let responses: Vec<Value> =
        operations.iter().map(|operation| apply_operation(state, operation)).collect();
    json!({"header": header(state), "succeeded": matches, "responses": responses})
}

fn apply_operation(state: &mut State, operation: &Value) -> Value {
    if operation["request_put"].is_object() {
        let put = &operation["request_put"];
        store(
            state,
            decode_bytes(&put["key"]),
            decode_bytes(&put["value"]),
            parse_number(&put["lease"]),
        );
        return json!({"response_put": {"header": header(state)}});
    }
    if operation["request_delete_range"].is_object() {
        let key = decode_bytes(&operation["request_delete_range"]["key"]);
        if state.entries.remove(&key).is_some() {
            state.revision += 1;
            state.record(key, None);
        }
        return json!({"response_delete_range": {"header": header(state)}});
    }
    json!({"response_range": read_range(state, &operation["request_range"])})
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

fn grant_lease(state: &mut State, request: &Value) -> Value {
    let ttl = Duration::from_secs(parse_number(&request["TTL"]).unsigned_abs());
    state.next_lease += 1;
    let id = state.next_lease;
    state.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
    json!({"header": header(state), "ID": id.to_string(), "TTL": ttl.as_secs().to_string()})
}

fn renew_lease(state: &mut State, request: &Value) -> Value {
    let id = parse_number(&request["ID"]);
    let ttl = match state.leases.get_mut(&id) {
        Some(lease) => {
            lease.expires_at = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        }
        None => 0,
    };
    json!({"result": {"header": header(state), "ID": id.to_string(), "TTL": ttl.to_string()}})
}
