//! Receives the heartbeats and leave messages of the worker on the agent's VM.

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_lib::batch::membership::Heard;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_platform::heartbeat;
use lavendergauge_platform::heartbeat::Message;

use crate::batch::agent::Agent;
use crate::batch::peer;
use crate::clock;
use crate::logs::Value;

/// Maximum size of a heartbeat's body, in bytes.
const HEARTBEAT_LIMIT: usize = 64 << 10;

/// Answers a heartbeat or a leave message of the worker.
pub async fn on_heartbeat(agent: Arc<Agent>, request: Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if request.method() != Method::POST {
        return peer::status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let bodies = &agent.quota.peer_bodies;
    let receiving =
        body::receive(request.into_body(), HEARTBEAT_LIMIT, bodies, body::RECEIVE_TIMEOUT);
    let bytes = match receiving.await {
        Ok(bytes) => bytes,
        Err(cause) => {
            log::info!(
                "event=heartbeat-unreadable path={path} cause={}",
                Value(&cause.to_string())
            );
            return peer::status(cause.status());
        }
    };
    match heartbeat::parse(&path, &bytes, clock::wall_ms()) {
        Some(Message::Heartbeat(heartbeat)) => {
            apply_heartbeat(&agent, heartbeat);
            peer::status(StatusCode::OK)
        }
        Some(Message::Leave(id, incarnation)) => {
            apply_leave(&agent, &id, incarnation);
            peer::status(StatusCode::OK)
        }
        None => {
            log::warn!("event=heartbeat-unreadable path={path}");
            peer::status(StatusCode::BAD_REQUEST)
        }
    }
}

fn apply_heartbeat(agent: &Agent, heartbeat: heartbeat::Heartbeat) {
    let announcement = heartbeat.announcement;
    if announcement.service != agent.settings.service {
        log::warn!(
            "event=heartbeat-foreign worker={} service={}",
            announcement.id,
            announcement.service
        );
        return;
    }
    let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
    let mut state = agent.state();
    match state.membership.hear(clock::boot().0, announcement, heartbeat.sequence) {
        Heard::Nothing => {}
        Heard::Claim => {
            drop(state);
            agent.claimed.notify_one();
        }
        Heard::Announcement => {
            if let Some(worker) = state.worker() {
                log::info!(
                    "event=worker-changed worker={id} incarnation={incarnation} ready={} \
                     accelerators={} processors={} memory_mb={}",
                    worker.ready,
                    worker.accelerators,
                    worker.processors,
                    worker.memory_mb
                );
            }
            drop(state);
            agent.notify_planner();
        }
    }
}

fn apply_leave(agent: &Agent, id: &str, incarnation: u64) {
    if agent.state().membership.hear_leave(clock::boot().0, id, incarnation) {
        log::info!("event=worker-leaving worker={id} incarnation={incarnation}");
        agent.wake.notify_one();
    }
}
