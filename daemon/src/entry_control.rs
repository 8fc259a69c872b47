//! Answers requests to an entry's control address: agents' announcements and calls of operators and
//! callers.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use serde_json::json;

use crate::access;
use crate::announcement;
use crate::api;
use crate::api::Call;
use crate::api_route;
use crate::clock;
use crate::config_peer;
use crate::entry::Entry;
use crate::problem;
use crate::telemetry;

/// Most bytes of a request to the administration API.
const REQUEST_LIMIT: usize = 1 << 20;

/// Answers one request to the control address.
pub async fn answer(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => api::json(&json!({"health": "good"})),
        (&Method::GET, "/ready") => ready(&entry),
        (&Method::GET, "/metrics") => telemetry::scrape_entry(&entry),
        (_, path) if path.starts_with("/internal/") => internal(&entry, request).await,
        _ => {
            let reply = operate(entry, request).await;
            reply.unwrap_or_else(|detail| problem::response(&detail))
        }
    }
}

/// Answers a load balancer whether the entry accepts requests: it knows the configuration and is
/// not leaving.
fn ready(entry: &Entry) -> Response<Body> {
    if let Some(detail) = entry.readiness_problem() {
        return problem::response(&detail);
    }
    let core = entry.core();
    if core.is_leaving {
        let text = "the entry is leaving";
        return problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving", text);
    }
    api::json(&json!({"ready": true, "revision": core.document.revision}))
}

/// Answers one call of an operator or caller, whose key is checked before the body is read.
async fn operate(entry: Arc<Entry>, request: Request<Body>) -> api::Reply {
    let (head, body) = request.into_parts();
    let (route, names) = api_route::find(&head.method, head.uri.path())?;
    if let Some(detail) = entry.readiness_problem() {
        return Err(detail);
    }
    let caller = {
        let core = entry.core();
        access::identify(&entry.access, &core.document, &head.headers, clock::wall_ms())?
    };
    let body = receive(&entry, body).await?;
    let call = Call { entry, caller, head, body, names };
    api_route::carry_out(&route.operation, &call).await
}

/// Answers one call of the fleet's own processes.
async fn internal(entry: &Entry, request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    if !access::is_from_fleet(&entry.access, &head.headers) {
        return problem::response(&access::missing_fleet_key());
    }
    let body = match receive(entry, body).await {
        Ok(body) => body,
        Err(detail) => return problem::response(&detail),
    };
    match head.uri.path() {
        "/internal/announce" => announcement::answer(entry, &body),
        config_peer::QUERY_PATH => config_peer::answer_query(entry, &body),
        config_peer::PUSH_PATH => config_peer::answer_push(entry, &body),
        _ => problem::not_run(StatusCode::NOT_FOUND, "not found", "there is no such resource"),
    }
}

/// Receives the body of a call.
///
/// # Errors
/// The problem document when the body is too long or incomplete, or there is no room for it.
async fn receive(entry: &Entry, body: Body) -> Result<Bytes, api::Refusal> {
    let bodies = &entry.quota.peer_bodies;
    let received = body::receive(body, REQUEST_LIMIT, bodies, body::RECEIVE_TIMEOUT).await;
    received.map_err(|cause| Box::new(problem::body_error(&cause)))
}
