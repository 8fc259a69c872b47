//! What comes to an entry's control address: agents' announcements and operators' calls.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
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
use serde_json::json;

use crate::access;
use crate::api;
use crate::api::Call;
use crate::api_route;
use crate::clock;
use crate::config;
use crate::entry::Core;
use crate::entry::Entry;
use crate::problem;

/// Most bytes of a request to the administration API.
const REQUEST_LIMIT: usize = 1 << 20;

/// Answers one request to the control address.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => api::json(&json!({"health": "good"})),
        (&Method::GET, "/ready") => ready(&entry),
        (_, path) if path.starts_with("/internal/") => internal(&entry, request).await,
        _ => {
            let reply = operate(entry, request).await;
            reply.unwrap_or_else(|detail| problem::response(&detail))
        }
    }
}

/// Tells the balancer whether the entry can take requests: it must know the configuration.
fn ready(entry: &Entry) -> Response<Body> {
    let core = entry.core();
    if core.confirmed.is_some() {
        return api::json(&json!({"ready": true, "revision": core.document.revision}));
    }
    let text = "the entry has not learnt the configuration yet";
    problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not ready", text)
}

/// Answers one call of an operator or caller; its key is looked at before its body is read.
async fn operate(entry: Arc<Entry>, request: Request<Incoming>) -> api::Reply {
    let (head, body) = request.into_parts();
    let (route, names) = api_route::find(&head.method, head.uri.path())?;
    let caller = {
        let core = entry.core();
        access::identify(&entry.access, &core.document, &head.headers, clock::wall_ms())?
    };
    let body = body::collect(body, REQUEST_LIMIT).await.map_err(|_| too_long())?;
    let call = Call { entry, caller, head, body, names };
    api_route::carry_out(&route.operation, &call).await
}

/// Answers one call of the fleet's own processes.
async fn internal(entry: &Entry, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    if !access::is_fleet(&entry.access, &head.headers) {
        return problem::response(&access::foreign());
    }
    let Ok(body) = body::collect(body, REQUEST_LIMIT).await else {
        return problem::response(&too_long());
    };
    match head.uri.path() {
        "/internal/announce" => announce(entry, &body),
        _ => problem::not_run(StatusCode::NOT_FOUND, "not found", "there is no such resource"),
    }
}

fn too_long() -> api::Refusal {
    let text = "the body cannot be read, or is longer than 1 MB";
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let outcome = lavendergauge_wire::problem::Outcome::NotRun;
    let mut detail = problem::detail(status, "bad input", outcome, text);
    detail.field = "body".to_owned();
    Box::new(detail)
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
