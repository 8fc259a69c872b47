//! A request whose key another entry has claimed: its outcome is asked for, not run here.

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
use crate::entry_claim::Held;
use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_service;

/// Looks at the agent before a key that has not come there is fenced.
const LOOKS: u32 = 5;
/// Pause between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Deadline of one look.
const LOOK_DEADLINE: Duration = Duration::from_millis(1000);

/// What following another entry's claim came to.
pub enum Followed {
    /// The caller has its answer.
    Over(Response<Body>),
    /// The claimed agent says that it never ran the request and never will.
    NeverRan,
}

/// Asks the claimed agent for the request's answer.
///
/// The claim's entry is given a moment to hand the request over; after that the
/// agent is made to fence it, so that the claim can be replaced.
pub async fn follow(entry: &Arc<Entry>, call: &Call, attempt: u32, held: &Held) -> Followed {
    let ticket = entry_claim::ticket(entry, call, attempt, held);
    for _ in 0..LOOKS {
        let looked = look(entry, &held.claim.address, &ticket).await;
        if !matches!(looked, Some(Standing::Absent)) {
            break;
        }
        time::sleep(LOOK_EVERY).await;
    }
    let open =
        Open { ticket, method: String::new(), path: String::new(), headers: Vec::new(), from: 0 };
    let mut exchange = Exchange::follow(entry, &held.claim.address, open);
    match time::timeout(call.left(), exchange.next()).await {
        Ok(Event::Head(head)) => {
            Followed::Over(entry_answer::response(&head, exchange, None).await)
        }
        Ok(Event::Refused(_)) => Followed::NeverRan,
        Ok(Event::Dropped) => Followed::Over(entry_service::dropped()),
        Ok(Event::Doubt(text)) => Followed::Over(entry_service::in_doubt(call, &text)),
        Ok(_) => Followed::Over(entry_service::in_doubt(call, "the answer has no head")),
        Err(_) => {
            let text = "it is running, and there was no answer before the deadline";
            Followed::Over(entry_service::in_doubt(call, text))
        }
    }
}

/// Looks up what an agent knows of a request, changing nothing; `None` when it does not say.
pub async fn look(entry: &Entry, address: &str, ticket: &Ticket) -> Option<Standing> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{LOOK_PATH}"))
        .body(body::full(codec::pack(ticket).ok()?))
        .ok()?;
    let answer = entry.fresh.fetch(request, LOOK_DEADLINE).await.ok()?;
    Some(codec::unpack::<Status>(answer.body()).ok()?.standing)
}
