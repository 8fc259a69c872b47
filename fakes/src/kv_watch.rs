//! Watches of the key-value stand-in: a stream with one line of JSON per batch of changes.

use bytes::Bytes;
use hyper::Response;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Sender;
use serde_json::Value;
use serde_json::json;

use crate::kv::Event;
use crate::kv::Kv;
use crate::kv::State;
use crate::kv::decode_bytes;
use crate::kv::entry_json;
use crate::kv::header;
use crate::kv::parse_number;

/// Number of batches buffered for a slow reader; past it the watch waits.
const BUFFERED_BATCHES: usize = 16;

/// Keys and revisions that a watch reports.
struct Range {
    key: Vec<u8>,
    /// End of the range, exclusive; empty for the single `key`.
    end: Vec<u8>,
    /// Oldest revision that has not been reported.
    next: i64,
    /// [`State::restores`] when the watch was opened.
    restores: u64,
}

impl Range {
    fn covers(&self, event: &Event) -> bool {
        let is_in_range = if self.end.is_empty() {
            event.key == self.key
        } else {
            self.key <= event.key && event.key < self.end
        };
        is_in_range && self.next <= event.revision
    }
}

/// The next action of a watch.
enum Step {
    Send(Value),
    Wait,
    End,
}

/// Opens a watch and returns the response that streams its events.
pub(crate) fn open(kv: &Kv, request: &Value) -> Response<Body> {
    let create = &request["create_request"];
    let state = kv.lock();
    let start = parse_number(&create["start_revision"]);
    let range = Range {
        key: decode_bytes(&create["key"]),
        end: decode_bytes(&create["range_end"]),
        next: if start == 0 { state.revision + 1 } else { start },
        restores: state.restores,
    };
    let compacted = state.compacted;
    let first = if 0 < start && start < compacted {
        json!({"result": {"header": header(&state), "canceled": true,
            "compact_revision": compacted.to_string()}})
    } else {
        json!({"result": {"header": header(&state), "watch_id": "0", "created": true}})
    };
    drop(state);
    let (sender, body) = body::channel_with_buffer(BUFFERED_BATCHES);
    tokio::spawn(run(kv.clone(), range, sender, first));
    Response::new(body)
}

async fn run(kv: Kv, mut range: Range, mut sender: Sender, first: Value) {
    let canceled = first["result"]["canceled"] == true;
    if sender.send_data(encode_line(&first)).await.is_err() || canceled {
        return;
    }
    let changed = kv.changed();
    loop {
        let notified = changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let step = next_step(&kv.lock(), &mut range);
        match step {
            Step::Send(batch) if sender.send_data(encode_line(&batch)).await.is_err() => return,
            Step::Send(_) => {}
            Step::Wait => notified.await,
            Step::End => {
                sender.abort("watch ended".into());
                return;
            }
        }
    }
}

/// Returns the next action of a watch and advances `range` past the events it takes.
fn next_step(state: &State, range: &mut Range) -> Step {
    if state.fault.down || state.restores != range.restores {
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

fn encode_line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}
