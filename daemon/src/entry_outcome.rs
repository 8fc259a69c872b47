//! What became of a request, for a caller that asks later and at any entry.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hyper::StatusCode;
use lavendergauge_lib::name::Name;
use lavendergauge_wire::codec;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::request::Outcome;
use lavendergauge_wire::request::Report;
use lavendergauge_wire::request::Standing;
use lavendergauge_wire::request::Ticket;
use tokio::time;

use crate::access;
use crate::api;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::entry_answer;
use crate::entry_call::ACCOUNT_HEADER;
use crate::entry_call::text;
use crate::entry_claim;
use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_follow;
use crate::entry_service;
use crate::problem;

/// Bound on waiting for the answer of a request that is still running.
const ANSWER_DEADLINE: Duration = Duration::from_secs(30);

/// Writes what any entry needs to ask for the outcome of a request whose key was drawn.
pub fn handle(ticket: &Ticket) -> String {
    URL_SAFE_NO_PAD.encode(codec::pack(ticket).unwrap_or_default())
}

/// Answers what became of a request, by its key or the handle that its caller was given.
pub async fn show(call: &Call) -> Reply {
    let (ticket, address) = locate(call).await?;
    let standing = entry_follow::look(&call.entry, &address, &ticket).await;
    let (outcome, detail) = match standing {
        Some(Standing::Ran) => (Outcome::Ran, "it ran"),
        Some(Standing::Running) => (Outcome::Unknown, "it is running"),
        Some(Standing::Fenced) => (Outcome::NotRun, "it did not run and never will"),
        Some(Standing::Absent) => (Outcome::Unknown, "it has not come to its target so far"),
        Some(Standing::Unknown) => (Outcome::Unknown, "it is in doubt for good"),
        None => (Outcome::Unknown, "its target's agent gives no answer"),
    };
    Ok(api::json(&Report {
        key: ticket.key,
        outcome,
        running: standing == Some(Standing::Running),
        detail: detail.to_owned(),
    }))
}

/// Answers with the answer of a request itself, waiting for one that is running.
pub async fn answer(call: &Call) -> Reply {
    let (ticket, address) = locate(call).await?;
    let standing = entry_follow::look(&call.entry, &address, &ticket).await;
    if !matches!(standing, Some(Standing::Ran | Standing::Running)) {
        return Err(doubt("there is no answer; ask for the outcome"));
    }
    let open =
        Open { ticket, method: String::new(), path: String::new(), headers: Vec::new(), from: 0 };
    let mut exchange = Exchange::follow(&call.entry, &address, open);
    match time::timeout(ANSWER_DEADLINE, exchange.next()).await {
        Ok(Event::Head(head)) => Ok(entry_answer::response(&head, exchange, None).await),
        Ok(Event::Dropped) => Ok(entry_service::dropped()),
        _ => Err(doubt("the answer cannot be had now")),
    }
}

/// Says that no claim of a key stands: it was never made, or it has lapsed with its lease.
fn unclaimed(key: &str) -> Refusal {
    Box::new(problem::detail(
        StatusCode::NOT_FOUND,
        "not found",
        lavendergauge_wire::problem::Outcome::Unknown,
        format!("the key `{key}` was never claimed, or its claim has lapsed"),
    ))
}

fn doubt(text: &str) -> Refusal {
    let status = StatusCode::CONFLICT;
    Box::new(problem::detail(
        status,
        "outcome unknown",
        lavendergauge_wire::problem::Outcome::Unknown,
        text,
    ))
}

/// Finds the ticket of a request and the address of the agent that has it.
async fn locate(call: &Call) -> Result<(Ticket, String), Refusal> {
    let (entry, key) = (&call.entry, call.name(0));
    let account = text(&call.head.headers, ACCOUNT_HEADER);
    access::check_account(&call.caller, account)?;
    let decoded = URL_SAFE_NO_PAD.decode(key).ok();
    if let Some(ticket) = decoded.and_then(|bytes| codec::unpack::<Ticket>(&bytes).ok()) {
        let core = entry.core();
        let member = core.members.find(&Name::from(&ticket.worker));
        return match member {
            Some(member) if ticket.account == account => Ok((ticket, member.frame.address.clone())),
            Some(_) => Err(api::missing("request", key)),
            None => Err(doubt("the request's worker is gone")),
        };
    }
    let item = entry.store.load(&entry_claim::name(account, key)).await;
    let held = match item.as_ref().map(|item| item.as_ref().map(entry_claim::read)) {
        Ok(Some(Ok(held))) => held,
        Ok(None) => return Err(unclaimed(key)),
        _ => return Err(doubt("the store gives no answer")),
    };
    let address = held.claim.address.clone();
    Ok((entry_claim::ticket_of(entry, account, key, &held), address))
}
