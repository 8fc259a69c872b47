//! Calls that the entry they came to cannot carry out are passed on to another entry: the store may
//! turn one machine away and serve the others.

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

/// Most entries that one call is passed on to.
const TRIES: usize = 2;
/// Longest time that one of them is given.
const TRY_TIME: Duration = Duration::from_millis(1300);
/// Time that is left to a call below which it is not passed on any more.
const LEAST_LEFT: Duration = Duration::from_millis(150);

/// Passes a call on that was refused here; returns the refusal that is true in the end.
pub async fn pass_on(
    entry: &Entry,
    call: &Call,
    body: Bytes,
    refusal: Refusal,
) -> Result<Success, Refusal> {
    let mut refusal = refusal;
    for address in entry.roster.others(entry).into_iter().take(TRIES) {
        let left = call.until.since(clock::boot());
        if left < LEAST_LEFT {
            break;
        }
        let deadline = left.min(TRY_TIME);
        let forward = Forward {
            method: call.method.to_string(),
            host: call.host.clone(),
            path: call.path.clone(),
            key: call.key.clone(),
            left_ms: deadline.as_millis() as u64,
            config: entry.view.known().revision,
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
                refusal = in_doubt(call, refusal);
            }
            Err(client::Error::Timeout(_) | client::Error::Broken(_)) => {
                refusal = in_doubt(call, refusal);
            }
            Ok(_) | Err(_) => {}
        }
    }
    Err(refusal)
}

/// Tells whether an answer stands, given why the call was passed on.
///
/// While a write may have been done, nobody's refusal says that it was not; that the job is not
/// known answers a cancellation all the same.
fn is_final(status: u16, refusal: Refusal) -> bool {
    match status {
        200..300 | 410 => true,
        429 | 502..=504 => false,
        _ => refusal != Refusal::InDoubt,
    }
}

/// A call that changes something may have been carried out by the entry that it was passed on to.
fn in_doubt(call: &Call, refusal: Refusal) -> Refusal {
    if call.method == Method::GET { refusal } else { Refusal::InDoubt }
}

/// Carries a call out that came to another entry.
pub async fn on_forward(entry: &Arc<Entry>, forward: Forward) -> Forwarded {
    let begun = clock::boot();
    let call = Call {
        method: Method::from_bytes(forward.method.as_bytes()).unwrap_or_default(),
        host: forward.host,
        path: forward.path,
        key: forward.key,
        until: begun + Duration::from_millis(forward.left_ms),
    };
    let outcome = if is_current(entry, forward.config).await {
        ingress::handle(entry, &call, forward.body).await
    } else {
        Err(Refusal::Unready)
    };
    let told = ingress::told(&outcome);
    log_call(&call, begun, told.status.as_u16(), told.text);
    Forwarded { status: told.status.as_u16(), retry_after_s: told.retry_after_s, body: told.body }
}

/// Tells whether this entry knows a configuration at least as new as the one of the first entry.
async fn is_current(entry: &Entry, config: u64) -> bool {
    if config <= entry.view.known().revision {
        return true;
    }
    if let Err(error) = entry.view.refresh(&entry.store).await {
        log::info!("event=config-not-checked cause={}", Value(&error.to_string()));
    }
    config <= entry.view.known().revision
}

fn log_call(call: &Call, begun: Millis, status: u16, outcome: &str) {
    log::info!(
        "event=call-for-another method={} path={} status={status} outcome={} ms={}",
        call.method,
        Value(&call.path),
        Value(outcome),
        clock::boot().since(begun).as_millis()
    );
}
