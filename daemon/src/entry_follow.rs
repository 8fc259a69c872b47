//! Requests whose key another entry has claimed: this entry asks for the answer, and does not run
//! them.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::codec;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::request::Standing;
use lavendergauge_wire::request::Status;
use lavendergauge_wire::request::Ticket;
use tokio::time;

use crate::agent_service::LOOK_PATH;
use crate::entry::Entry;
use crate::entry_answer;
use crate::entry_call::Call;
use crate::entry_claim;
use crate::entry_claim::StoredClaim;
use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_service;

/// Lookups of a key that has not arrived at its agent, before it is fenced there.
const LOOKUPS: u32 = 5;
/// Pause between two lookups.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of one lookup.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1000);

/// Result of following another entry's claim.
pub enum Followed {
    /// The response to the caller.
    Answered(Response<Body>),
    /// The claimed agent states that it never ran the request and never will.
    NeverRan,
}

/// Asks the claimed agent for the request's answer.
///
/// The claim's entry has a short time to send the request, `LOOKUPS` times `LOOKUP_INTERVAL`. After
/// that the agent fences the key, so that the claim can be replaced.
pub async fn follow(
    entry: &Arc<Entry>,
    call: &Call,
    attempt: u32,
    stored: &StoredClaim,
) -> Followed {
    let ticket = entry_claim::ticket(entry, call, attempt, stored);
    for _ in 0..LOOKUPS {
        let status = look_up(entry, &stored.claim.address, &ticket).await;
        if !matches!(status, Some(Standing::Absent)) {
            break;
        }
        time::sleep(LOOKUP_INTERVAL).await;
    }
    let open =
        Open { ticket, method: String::new(), path: String::new(), headers: Vec::new(), from: 0 };
    let mut exchange = Exchange::follow(entry, &stored.claim.address, open);
    match time::timeout(call.remaining(), exchange.next()).await {
        Ok(Event::Head(head)) => {
            Followed::Answered(entry_answer::response(&head, exchange, None).await)
        }
        Ok(Event::Refused(_)) => Followed::NeverRan,
        Ok(Event::Dropped) => Followed::Answered(entry_service::dropped()),
        Ok(Event::InDoubt(text)) => Followed::Answered(entry_service::in_doubt(call, &text)),
        Ok(_) => Followed::Answered(entry_service::in_doubt(call, "the answer has no head")),
        Err(_) => {
            let text = "it is running, and there was no answer before the deadline";
            Followed::Answered(entry_service::in_doubt(call, text))
        }
    }
}

/// Looks up what an agent knows of a request, without changing it; `None` when it gives no usable
/// answer.
pub async fn look_up(entry: &Entry, address: &str, ticket: &Ticket) -> Option<Standing> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{LOOK_PATH}"))
        .body(body::full(codec::pack(ticket).ok()?))
        .ok()?;
    let response = entry.fresh_client.fetch(request, LOOKUP_DEADLINE).await.ok()?;
    Some(codec::unpack::<Status>(response.body()).ok()?.standing)
}
