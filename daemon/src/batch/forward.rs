//! Forwards calls to another entry when the entry that received them cannot serve them: the store
//! may refuse calls from one VM and serve the others.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use lavendergauge_lib::clock::Millis;
use lavendergauge_net::client;
use metrics::counter;

use crate::batch::entry::Entry;
use crate::batch::ingress;
use crate::batch::ingress::Call;
use crate::batch::ingress::Success;
use crate::batch::message;
use crate::batch::message::Forward;
use crate::batch::message::Forwarded;
use crate::batch::refusal::Refusal;
use crate::clock;
use crate::logs::Value;

/// Maximum number of entries that one call is forwarded to.
const MAX_TRIES: usize = 2;
/// Longest deadline of the call to one of them.
const TRY_DEADLINE: Duration = Duration::from_millis(1300);
/// Least remaining time with which a call is still forwarded.
const MIN_REMAINING: Duration = Duration::from_millis(150);

/// Forwards a call that this entry refused.
///
/// # Errors
/// The refusal to return to the caller when no other entry gives a final answer.
pub async fn forward_call(
    entry: &Entry,
    call: &Call,
    body: Bytes,
    refusal: Refusal,
) -> Result<Success, Refusal> {
    let mut refusal = refusal;
    for address in entry.roster.others(entry).into_iter().take(MAX_TRIES) {
        let remaining = call.deadline.since(clock::boot());
        if remaining < MIN_REMAINING {
            break;
        }
        let deadline = remaining.min(TRY_DEADLINE);
        // The message holds a copy of the body.
        let (mut share, _) = entry.quota.caller_bodies.share();
        share.complete();
        if share.grow(body.len()).await.is_err() {
            break;
        }
        let forward = Forward {
            method: call.method.to_string(),
            host: call.host.clone(),
            path: call.path.clone(),
            key: call.key.clone(),
            remaining_ms: deadline.as_millis() as u64,
            config: entry.config_view.state().revision,
            body: body.clone(),
        };
        let answer = entry
            .client
            .exchange::<Forward, Forwarded>(&address, message::FORWARD, &forward, deadline)
            .await;
        let outcome = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=call-passed-on path={} entry={address} cause={} outcome={}",
            Value(&call.path),
            Value(refusal.text()),
            Value(&outcome)
        );
        counter!("lavendergauge_calls_passed_on_total").increment(1);
        match answer {
            Ok(answer) if is_final(answer.status, refusal) => {
                return Ok(Success::Forwarded(answer));
            }
            Ok(answer) if answer.status == Refusal::InDoubt.status().as_u16() => {
                refusal = refusal_without_answer(call, refusal);
            }
            Err(client::Error::Timeout(_) | client::Error::Broken(_)) => {
                refusal = refusal_without_answer(call, refusal);
            }
            Ok(_) | Err(_) => {}
        }
    }
    Err(refusal)
}

/// Tells whether another entry's answer is final, given why the call was forwarded.
///
/// While this entry's write is in doubt, another entry's refusal does not prove that nothing was
/// written. One with status 429 does: its record keeps all earlier writes from taking effect. A status of 410 (no such job) is final all the same, since it answers a cancellation.
fn is_final(status: u16, refusal: Refusal) -> bool {
    match status {
        200..300 | 410 | 429 => true,
        502..=504 => false,
        _ => refusal != Refusal::InDoubt,
    }
}

/// Returns the refusal after a forwarded call got no usable answer.
///
/// A call that changes a job may have taken effect at the other entry, so it is in doubt.
fn refusal_without_answer(call: &Call, refusal: Refusal) -> Refusal {
    if call.method == Method::GET { refusal } else { Refusal::InDoubt }
}

/// Serves a call that another entry received and forwarded.
pub async fn on_forward(entry: &Arc<Entry>, forward: Forward) -> Forwarded {
    let started_at = clock::boot();
    let call = Call {
        method: Method::from_bytes(forward.method.as_bytes()).unwrap_or_default(),
        host: forward.host,
        path: forward.path,
        key: forward.key,
        deadline: started_at
            + Duration::from_millis(forward.remaining_ms).min(ingress::MAX_DEADLINE),
    };
    let outcome = if is_current(entry, forward.config).await {
        ingress::handle(entry, &call, forward.body).await
    } else {
        Err(Refusal::Unready)
    };
    let answer = ingress::make_answer(&outcome);
    log_call(&call, started_at, answer.status.as_u16(), answer.text);
    Forwarded {
        status: answer.status.as_u16(),
        retry_after_s: answer.retry_after_s,
        body: answer.body,
    }
}

/// Tells whether this entry's configuration is at least as new as that of the entry that forwarded
/// the call, reading it again if it is not.
async fn is_current(entry: &Entry, config: u64) -> bool {
    if config <= entry.config_view.state().revision {
        return true;
    }
    if let Err(error) = entry.config_view.refresh(&entry.store).await {
        log::info!("event=config-not-checked cause={}", Value(&error.to_string()));
    }
    config <= entry.config_view.state().revision
}

fn log_call(call: &Call, started_at: Millis, status: u16, outcome: &str) {
    log::info!(
        "event=call-for-another method={} path={} status={status} outcome={} ms={}",
        call.method,
        Value(&call.path),
        Value(outcome),
        clock::boot().since(started_at).as_millis()
    );
}
