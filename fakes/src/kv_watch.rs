//! Watches of the key-value stand-in: one line of JSON for each batch of changes.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use hyper::Response;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Cause;
use serde_json::Value;
use serde_json::json;

use crate::kv::Event;
use crate::kv::Kv;
use crate::kv::State;
use crate::kv::entry_json;
use crate::kv::header;
use crate::kv::number;
use crate::kv::octets;

/// Batches that wait for a slow reader before the watch does.
const BUFFER: usize = 16;

/// What a watch looks at.
struct Range {
    key: Vec<u8>,
    end: Vec<u8>,
    next: i64,
    restored: u64,
}

impl Range {
    fn covers(&self, event: &Event) -> bool {
        let within = if self.end.is_empty() {
            event.key == self.key
        } else {
            self.key <= event.key && event.key < self.end
        };
        within && self.next <= event.revision
    }
}

/// What a watch does next.
enum Step {
    Send(Value),
    Wait,
    End,
}

/// Opens a watch and returns the answer that streams it.
pub(crate) fn open(kv: &Kv, request: &Value) -> Response<Body> {
    let create = &request["create_request"];
    let state = kv.lock();
    let start = number(&create["start_revision"]);
    let range = Range {
        key: octets(&create["key"]),
        end: octets(&create["range_end"]),
        next: if start == 0 { state.revision + 1 } else { start },
        restored: state.restored,
    };
    let compacted = state.compacted;
    let first = if 0 < start && start < compacted {
        json!({"result": {"header": header(&state), "canceled": true,
            "compact_revision": compacted.to_string()}})
    } else {
        json!({"result": {"header": header(&state), "watch_id": "0", "created": true}})
    };
    drop(state);
    let (sender, body) = Channel::<Bytes, Cause>::new(BUFFER);
    tokio::spawn(run(kv.clone(), range, sender, first));
    Response::new(body.boxed())
}

async fn run(kv: Kv, mut range: Range, mut sender: Sender<Bytes, Cause>, first: Value) {
    let canceled = first["result"]["canceled"] == true;
    if sender.send_data(line(&first)).await.is_err() || canceled {
        return;
    }
    let changed = kv.changed();
    loop {
        let woken = changed.notified();
        tokio::pin!(woken);
        woken.as_mut().enable();
        let step = step(&kv.lock(), &mut range);
        match step {
            Step::Send(batch) if sender.send_data(line(&batch)).await.is_err() => return,
            Step::Send(_) => {}
            Step::Wait => woken.await,
            Step::End => {
                sender.abort("the watch has ended".into());
                return;
            }
        }
    }
}

fn step(state: &State, range: &mut Range) -> Step {
    if state.fault.down || state.restored != range.restored {
        return Step::End;
    }
    if state.fault.stall_watches {
        return Step::Wait;
    }
    let events: Vec<Value> =
        state.log.iter().filter(|event| range.covers(event)).map(event_json).collect();
    range.next = range.next.max(state.revision + 1);
    if events.is_empty() {
        return Step::Wait;
    }
    Step::Send(json!({"result": {"header": header(state), "events": events}}))
}

fn event_json(event: &Event) -> Value {
    match &event.entry {
        Some(entry) => json!({"type": "PUT", "kv": entry_json(&event.key, entry)}),
        None => json!({"type": "DELETE", "kv": {
            "key": entry_json(&event.key, &Default::default())["key"],
            "mod_revision": event.revision.to_string()}}),
    }
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}
