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
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang::Slot;
use lavendergauge_lib::gang_lease::Vital;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::permit;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Permit;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::announce::Renewal;
use lavendergauge_wire::announce::Reply;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Spec;
use serde::Serialize;
use serde_json::json;

use crate::clock;
use crate::config;
use crate::entry::CONFIG_KEY;
use crate::entry::Core;
use crate::entry::Entry;
use crate::job;
use crate::job::Submitted;
use crate::problem;
use crate::record::JOBS_PREFIX;
use crate::store;
use crate::store::Swap;

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
        (&Method::DELETE, ["v1", "jobs", id]) => cancel_job(&entry, id).await,
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
        renewals: Vec::new(),
        settled: Vec::new(),
    };
    let reply = gang_words(&mut core, now, &frame, reply);
    core.members.announce(now, frame);
    drop(core);
    Response::new(body::full(codec::pack(&reply).unwrap_or_default()))
}

/// Takes in the gang members of an announcement, and extends the leases of whole gangs.
fn gang_words(core: &mut Core, now: Millis, frame: &Frame, mut reply: Reply) -> Reply {
    for task in &frame.tasks {
        let slot = Slot { job: Name::from(&task.job), attempt: task.attempt, member: task.member };
        let vital = match task.phase {
            Phase::Running | Phase::Done => Vital::Good,
            _ => Vital::Bad,
        };
        core.gangs.see(now, &slot, task.members, vital);
        let running = task.phase == Phase::Running;
        if let Some(left) = core.gangs.left(now, &slot).filter(|_| running) {
            reply.renewals.push(Renewal {
                job: task.job.clone(),
                attempt: task.attempt,
                member: task.member,
                lasts_ms: left.as_millis() as u64,
            });
        }
        if core.settled.contains(&(slot.job, slot.attempt)) {
            reply.settled.push(format!("{}/{}/{}", task.job, task.attempt, task.member));
        }
    }
    reply
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
    let id = format!("{:016x}", rand::random::<u64>());
    match job::submit(entry, &id, spec).await {
        Ok(Submitted::Accepted(record) | Submitted::Known(record)) => json_answer(&record),
        Ok(Submitted::Taken) => {
            problem::not_run(StatusCode::CONFLICT, "job exists", "the identifier is taken")
        }
        Err(error) => unknown(&error),
    }
}

async fn cancel_job(entry: &Entry, id: &str) -> Response<Body> {
    match job::cancel(entry, id).await {
        Ok(Some(record)) => json_answer(&record),
        Ok(None) => {
            problem::not_run(StatusCode::NOT_FOUND, "not found", format!("there is no job `{id}`"))
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
    match job::find(entry, id).await {
        Ok(Some(record)) => json_answer(&record),
        Ok(None) => {
            problem::not_run(StatusCode::NOT_FOUND, "not found", format!("there is no job `{id}`"))
        }
        Err(error) => unknown(&error),
    }
}
