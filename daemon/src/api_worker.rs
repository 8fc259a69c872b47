//! Workers and targets as resources, as their agents announce them.

use lavendergauge_wire::announce::Health;
use lavendergauge_wire::api::Target;
use lavendergauge_wire::config::Document;

use crate::api;
use crate::api::Call;
use crate::api::Reply;
use crate::clock;
use crate::config;
use crate::worker;
use crate::worker::Worker;

/// Lists the workers.
pub fn list(call: &Call) -> Reply {
    call.operator()?;
    call.page(call.frames(), |frame| &frame.worker)
}

/// Shows one worker.
pub fn show(call: &Call) -> Reply {
    call.operator()?;
    let name = call.name(0);
    let frame = call.frames().into_iter().find(|frame| frame.worker == name);
    Ok(api::json(&frame.ok_or_else(|| api::not_found("worker", name))?))
}

/// Lists the targets.
pub fn list_targets(call: &Call) -> Reply {
    call.operator()?;
    let core = call.entry.core();
    let mut targets: Vec<Target> =
        core.workers.iter().map(|worker| describe(worker, &core.document)).collect();
    drop(core);
    targets.sort_by(|one, other| one.worker.cmp(&other.worker));
    call.page(targets, |target| &target.worker)
}

fn describe(worker: &Worker, document: &Document) -> Target {
    let frame = &worker.frame;
    let reason = unready_reason(worker, document);
    Target {
        worker: frame.worker.clone(),
        data_centre: frame.data_centre.clone(),
        slots: frame.slots,
        slots_used: frame.load.slots_used,
        connections: frame.connections,
        connections_used: frame.load.connections_used,
        ready: reason.is_empty(),
        reason: reason.to_owned(),
        silent_ms: clock::now().since(worker.last_seen).as_millis() as u64,
    }
}

/// Returns why a target gets no new requests; empty when it gets them.
fn unready_reason(worker: &Worker, document: &Document) -> &'static str {
    let frame = &worker.frame;
    if !config::is_open(document, &frame.data_centre) {
        return "its data centre is out";
    }
    if frame.leaving {
        return "it is leaving";
    }
    if frame.health != Health::Good {
        return "it does not answer its agent";
    }
    if worker::SUSPECT_AFTER < clock::now().since(worker.last_seen) {
        return "its agent is silent";
    }
    ""
}
