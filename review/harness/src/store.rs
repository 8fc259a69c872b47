//! Stand-in for the platform's store, by its published protocol.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::record::Record;

/// Longest value, `value_bytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;
/// Most items of a page, and most bytes of their values.
const PAGE: (usize, usize) = (500, 1_000_000);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: revision, key, and the value as it was written; `None` for a removal.
    history: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    too_long: usize,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn encode(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "rev": item.revision, "created": item.created,
        "lease": item.lease})
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: &str, record: Arc<Record>) -> Arc<Store> {
        let state = State { revision: 1, next_lease: 100, ..State::default() };
        let store = Arc::new(Store { state: Mutex::new(state), changed: Condvar::new(), record });
        let shared = store.clone();
        http::serve(address, Arc::new(move |request| shared.handle(&request)));
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                shared.expire();
                thread::sleep(Duration::from_millis(10));
            }
        });
        store
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().expect("the state");
        state.revision += 1;
        write(&mut state, key, base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns the number of transactions refused for a value that is too long.
    pub fn too_long(&self) -> usize {
        self.state.lock().expect("the state").too_long
    }

    fn expire(&self) {
        let mut state = self.state.lock().expect("the state");
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(&mut state, lease);
        }
    }

    fn end_lease(&self, state: &mut State, lease: u64) {
        state.leases.remove(&lease);
        let keys: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            remove(state, &key);
        }
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        thread::sleep(ANSWER_TIME);
        if request.path == "/kv-watch" {
            return Some(self.watch(request));
        }
        let mut state = self.state.lock().expect("the state");
        let tail = request.path.rsplit('/').next().unwrap_or_default();
        Some(match request.path.as_str() {
            "/kv-key" => match state.items.get(request.parameter("key")) {
                Some(item) => {
                    let mut value = encode(request.parameter("key"), item);
                    value["at"] = json!(state.revision);
                    (200, value)
                }
                None => (404, json!({})),
            },
            "/kv-range" => range(&state, request.parameter("prefix"), request.parameter("after")),
            "/kv-txn" => self.transact(&mut state, &request.body),
            "/kv-lease" => {
                let ttl_ms = request.body["ttl_ms"].as_u64().unwrap_or(1000).max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
            }
            _ => {
                let lease: u64 = tail.parse().unwrap_or(0);
                let Some((_, ttl)) = state.leases.get(&lease).copied() else {
                    return Some((404, json!({})));
                };
                if request.method == "DELETE" {
                    self.end_lease(&mut state, lease);
                } else {
                    state.leases.insert(lease, (Instant::now() + ttl, ttl));
                }
                (200, json!({"ttl_ms": ttl.as_millis() as u64}))
            }
        })
    }

    fn transact(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, puts, deletes) = (rows("precondition"), rows("puts"), rows("deletes"));
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        if 32 < conditions.len() + puts.len() + deletes.len() {
            return (400, json!({"error": "too many entries"}));
        }
        for put in &puts {
            let bytes = text(&put["value"]).len() / 4 * 3;
            if VALUE_BYTES < bytes {
                state.too_long += 1;
                self.record.note(&format!(
                    "store refuses a transaction: the value of {} has {bytes} bytes",
                    text(&put["key"])
                ));
                return (413, json!({"error": "a value is too long"}));
            }
        }
        let holds = conditions.iter().all(|row| {
            let known = state.items.get(&text(&row["key"])).map_or(0, |item| item.revision);
            row["rev"].as_u64() == Some(known)
        });
        if !holds {
            let items: Vec<Value> = conditions
                .iter()
                .map(|row| {
                    let key = text(&row["key"]);
                    let missing = || json!({"key": key, "rev": 0});
                    state.items.get(&key).map_or_else(missing, |item| encode(&key, item))
                })
                .collect();
            return (412, json!({ "items": items }));
        }
        let lease = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if puts.iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put))) {
            return (404, json!({}));
        }
        state.revision += 1;
        let revision = state.revision;
        for put in &puts {
            write(state, &text(&put["key"]), text(&put["value"]), lease(put));
        }
        for key in &deletes {
            state.items.remove(&text(key));
            state.history.push((revision, text(key), None));
        }
        self.changed.notify_all();
        (200, json!({"rev": revision}))
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let prefix = request.parameter("prefix");
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().expect("the state");
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| after < *revision && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => value.clone(),
                    None => json!({"key": key, "rev": revision, "removed": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "at": state.revision}));
            }
            state = self.changed.wait_timeout(state, left).expect("the state").0;
        }
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    let event = encode(key, &item);
    state.items.insert(key.to_owned(), item);
    state.history.push((revision, key.to_owned(), Some(event)));
}

fn remove(state: &mut State, key: &str) {
    state.revision += 1;
    state.items.remove(key);
    state.history.push((state.revision, key.to_owned(), None));
}

fn range(state: &State, prefix: &str, after: &str) -> (u16, Value) {
    let following: Vec<(&String, &Item)> = state
        .items
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .filter(|(key, _)| key.as_str() > after)
        .collect();
    let (most, most_bytes) = PAGE;
    let mut bytes = 0;
    let mut items = Vec::new();
    for (key, item) in &following {
        bytes += item.value.len();
        if !items.is_empty() && (most <= items.len() || most_bytes < bytes) {
            break;
        }
        items.push(encode(key, item));
    }
    let has_more = items.len() < following.len();
    (200, json!({"items": items, "has_more": has_more, "at": state.revision}))
}
