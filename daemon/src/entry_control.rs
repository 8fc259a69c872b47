//! The entry's administration API and the announcements of agents.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use lavendergauge_lib::permit;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Permit;
use lavendergauge_wire::announce::Reply;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::job::State;
use serde::Serialize;
use serde_json::json;

use crate::clock;
use crate::config;
use crate::entry::CONFIG_KEY;
use crate::entry::Entry;
use crate::problem;
use crate::store;
use crate::store::Swap;

/// Prefix of job records in the store.
pub const JOBS_PREFIX: &str = "jobs/";
/// Most bytes of a request to the administration API.
const REQUEST_LIMIT: usize = 1 << 20;

/// Answers one request to the control address.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = body::collect(body, REQUEST_LIMIT).await else {
        return problem::bad_input("body", "cannot be read, or is longer than 1 MB");
    };
    let path = head.uri.path().trim_matches('/').split('/').collect::<Vec<_>>();
    match (&head.method, path.as_slice()) {
        (&Method::GET, ["health"]) => json_answer(&json!({"health": "good"})),
        (&Method::POST, ["internal", "announce"]) => announce(&entry, &body),
        (&Method::GET, ["v1", "config"]) => json_answer(&entry.core().document),
        (&Method::POST, ["v1", "config", "changes"]) => change(&entry, &body).await,
        (&Method::GET, ["v1", "workers"]) => workers(&entry),
        (&Method::POST, ["v1", "jobs"]) => submit(&entry, &body).await,
        (&Method::GET, ["v1", "jobs"]) => list_jobs(&entry).await,
        (&Method::GET, ["v1", "jobs", id]) => show_job(&entry, id).await,
        _ => problem::not_run(StatusCode::NOT_FOUND, "not found", "there is no such resource"),
    }
}

/// Makes an answer with a JSON body.
pub fn json_answer<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(body::full(codec::to_json(value).unwrap_or_default()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(codec::JSON));
    response
}

fn announce(entry: &Entry, body: &Bytes) -> Response<Body> {
    let frame: Frame = match codec::unpack(body) {
        Ok(frame) => frame,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    let now = clock::now();
    let mut core = entry.core();
    let open = config::is_open(&core.document, &frame.data_centre);
    let left = core.confirmed.and_then(|confirmed| permit::left(now, confirmed));
    let permit = left.filter(|_| open).map(|left| Permit {
        data_centre: frame.data_centre.clone(),
        revision: core.document.revision,
        lasts_ms: left.as_millis() as u64,
    });
    let reply = Reply {
        version: VERSION,
        entry: entry.name.clone(),
        revision: core.document.revision,
        permit,
        entries: vec![entry.control_address.clone()],
        settled: Vec::new(),
    };
    core.members.announce(now, frame);
    drop(core);
    Response::new(body::full(codec::pack(&reply).unwrap_or_default()))
}

async fn change(entry: &Entry, body: &Bytes) -> Response<Body> {
    let change: Change = match codec::from_json(body) {
        Ok(change) => change,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    let (document, version) = {
        let core = entry.core();
        (core.document.clone(), core.version)
    };
    if document.change == change.id {
        return json_answer(&document);
    }
    let next = match config::apply(&document, &change, "operator") {
        Ok(next) => next,
        Err(config::Error::Invalid { field, text }) => return problem::bad_input(&field, text),
        Err(stale) => {
            return problem::not_run(StatusCode::CONFLICT, "stale revision", stale.to_string());
        }
    };
    if change.dry_run {
        return json_answer(&next);
    }
    let asked = clock::now();
    let bytes = codec::to_json(&next).unwrap_or_default();
    match entry.store.swap(CONFIG_KEY, version, &bytes, 0).await {
        Ok(Swap::Done(version)) => {
            let item = store::Item { key: CONFIG_KEY.to_owned(), value: bytes, version };
            entry.learn(asked, Some(&item));
            json_answer(&next)
        }
        Ok(Swap::Lost(item)) => {
            entry.learn(asked, item.as_ref());
            let text = "another change was accepted first";
            problem::not_run(StatusCode::CONFLICT, "stale revision", text)
        }
        Err(error) => unknown(&error),
    }
}

fn unknown(error: &store::Error) -> Response<Body> {
    problem::response(&problem::detail(
        StatusCode::SERVICE_UNAVAILABLE,
        "store unavailable",
        lavendergauge_wire::problem::Outcome::Unknown,
        error.to_string(),
    ))
}

fn workers(entry: &Entry) -> Response<Body> {
    let core = entry.core();
    let frames: Vec<&Frame> = core.members.iter().map(|member| &member.frame).collect();
    json_answer(&frames)
}

async fn submit(entry: &Entry, body: &Bytes) -> Response<Body> {
    let spec: Spec = match codec::from_json(body) {
        Ok(spec) => spec,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    if !entry.core().document.accounts.iter().any(|account| account.name == spec.account) {
        let text = format!("there is no client account `{}`", spec.account);
        return problem::bad_input("account", text);
    }
    let record = Record {
        id: format!("{:016x}", rand::random::<u64>()),
        spec,
        state: State::Waiting,
        attempt: 0,
        seats: Vec::new(),
        submitted_ms: clock::wall_ms(),
        started_ms: 0,
        ended_ms: 0,
        checkpoint: String::new(),
        result: String::new(),
        reason: String::new(),
    };
    let bytes = codec::to_json(&record).unwrap_or_default();
    match entry.store.swap(&format!("{JOBS_PREFIX}{}", record.id), 0, &bytes, 0).await {
        Ok(Swap::Done(_)) => json_answer(&record),
        Ok(Swap::Lost(_)) => {
            problem::not_run(StatusCode::CONFLICT, "job exists", "the identifier is taken")
        }
        Err(error) => unknown(&error),
    }
}

async fn list_jobs(entry: &Entry) -> Response<Body> {
    match entry.store.list(JOBS_PREFIX).await {
        Ok(items) => {
            let records: Vec<Record> =
                items.iter().filter_map(|item| codec::from_json(&item.value).ok()).collect();
            json_answer(&records)
        }
        Err(error) => unknown(&error),
    }
}

async fn show_job(entry: &Entry, id: &str) -> Response<Body> {
    match entry.store.load(&format!("{JOBS_PREFIX}{id}")).await {
        Ok(Some(item)) => Response::new(body::full(item.value)),
        Ok(None) => {
            problem::not_run(StatusCode::NOT_FOUND, "not found", format!("there is no job `{id}`"))
        }
        Err(error) => unknown(&error),
    }
}
