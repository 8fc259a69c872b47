//! Receives the bodies of callers' calls: refuses what the head suffices for, and makes room.

use bytes::Bytes;
use hyper::Method;
use hyper::body::Body as _;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Failure;
use lavendergauge_net::budget::Share;
use lavendergauge_platform::ingress::max_job_bytes;

use crate::batch::entry::Entry;
use crate::batch::ingress;
use crate::batch::ingress::Call;
use crate::batch::refusal::Refusal;
use crate::clock;
use crate::logs::Value;

/// Maximum size of a call's body while no configuration is known, in bytes: the store's limit for a
/// value. Such a call is refused as not accepted, so that its caller may retry.
const UNKNOWN_BODY_LIMIT: usize = 1 << 20;

/// Returns the refusal of a call that has a body, if its head suffices for one.
///
/// The call is admitted again once its body has arrived, since the configuration may change
/// meanwhile.
pub async fn refuse_early(entry: &Entry, call: &Call, body: &Body) -> Option<Refusal> {
    if body.is_end_stream() {
        return None;
    }
    if !matches!(call.method, Method::POST | Method::GET | Method::DELETE) {
        return Some(Refusal::Method);
    }
    let is_admitted = {
        let view = entry.config_view.state();
        view.revision == 0 || ingress::find_account(&view, call).is_ok()
    };
    if is_admitted {
        return None;
    }
    ingress::admit(entry, call).await.err().filter(|refusal| !refusal.is_local())
}

/// Receives the body of a call before the call's deadline.
///
/// # Errors
/// The refusal of a call whose body is too long, late or incomplete, or for which there is no room.
pub async fn receive(entry: &Entry, call: &Call, body: Body) -> Result<Bytes, Refusal> {
    let timeout = call.deadline.since(clock::boot());
    let received =
        body::receive(body, body_limit(entry), &entry.quota.caller_bodies, timeout).await;
    received.map_err(|cause| {
        log::info!(
            "event=body-unreceived path={} cause={}",
            Value(&call.path),
            Value(&cause.to_string())
        );
        match cause {
            Failure::TooLong(_) => Refusal::TooLong,
            Failure::Late => Refusal::Late,
            Failure::NoRoom => Refusal::NoRoom,
            Failure::Broken(_) => Refusal::Malformed,
        }
    })
}

/// Returns the maximum size of a call's body, in bytes.
fn body_limit(entry: &Entry) -> usize {
    let view = entry.config_view.state();
    if view.revision == 0 { UNKNOWN_BODY_LIMIT } else { view.config.body_limit }
}

/// Takes the room that the job of a body occupies, beside the body, until it is stored.
///
/// A job takes at most half of all room, so that one of the largest legal size is served while there is no other.
///
/// # Errors
/// [`Refusal::NoRoom`] when there is no room in time.
pub async fn hold_room(entry: &Entry, body: &[u8]) -> Result<Share, Refusal> {
    let budget = &entry.quota.caller_bodies;
    let (mut share, _) = budget.share();
    share.complete();
    let bytes = max_job_bytes(body).min(budget.limit() / 2);
    share.grow(bytes).await.map_err(|_| Refusal::NoRoom)?;
    Ok(share)
}
