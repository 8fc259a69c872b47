//! Receives the heartbeats and leave messages of the worker on the agent's VM.

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_platform::heartbeat;
use lavendergauge_platform::heartbeat::Message;

use crate::batch::agent::Agent;
use crate::batch::peer;
use crate::clock;

/// Maximum size of a heartbeat's body, in bytes.
const HEARTBEAT_LIMIT: usize = 64 << 10;

/// Answers a heartbeat or a leave message of the worker.
pub async fn on_heartbeat(agent: Arc<Agent>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if request.method() != Method::POST {
        return peer::status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let Ok(bytes) = body::receive(request.into_body(), HEARTBEAT_LIMIT).await else {
        return peer::status(StatusCode::BAD_REQUEST);
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
    let mut state = agent.state();
    let known_incarnation = state.worker.as_ref().map_or(0, |worker| worker.incarnation);
    let known_id = state.worker.as_ref().map(|worker| worker.id.clone()).unwrap_or_default();
    if announcement.incarnation < known_incarnation
        || announcement.incarnation <= state.ended_incarnation
    {
        log::info!(
            "event=heartbeat-late worker={} incarnation={} known_worker={known_id} \
             known={known_incarnation} over={}",
            announcement.id,
            announcement.incarnation,
            state.ended_incarnation
        );
        return;
    }
    if announcement.incarnation == known_incarnation {
        if heartbeat.sequence <= state.heartbeat_sequence {
            return;
        }
        state.heartbeat_sequence = heartbeat.sequence;
        if state.worker.as_ref() == Some(&announcement) {
            return;
        }
        log::info!(
            "event=worker-changed worker={} ready={} accelerators={} processors={} memory_mb={}",
            announcement.id,
            announcement.ready,
            announcement.accelerators,
            announcement.processors,
            announcement.memory_mb
        );
    } else {
        log::info!(
            "event=worker-joined worker={} incarnation={} known_worker={known_id} \
             before={known_incarnation} rack={} ready={}",
            announcement.id,
            announcement.incarnation,
            announcement.rack,
            announcement.ready
        );
        state.record_end();
        state.note_restart(&announcement.id);
        state.heartbeat_sequence = heartbeat.sequence;
        state.is_worker_responsive = true;
        agent.wake.notify_one();
    }
    state.worker = Some(announcement);
    drop(state);
    agent.notify_planner();
}

fn apply_leave(agent: &Agent, id: &str, incarnation: u64) {
    let mut state = agent.state();
    let worker = state.worker.as_ref().filter(|worker| worker.id == id);
    let Some(known_incarnation) = worker.map(|worker| worker.incarnation) else { return };
    if incarnation != 0 && incarnation < known_incarnation {
        return;
    }
    log::info!("event=worker-left worker={id} incarnation={known_incarnation}");
    state.ended_incarnation = state.ended_incarnation.max(known_incarnation);
    state.ledger.clear();
    state.worker = None;
    state.forget_list();
    state.worker_clock = None;
    drop(state);
    agent.notify_planner();
}
