//! The entry's side of requests: sends each to an agent, and answers the caller with its outcome.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::LOCATION;
use hyper::header::RETRY_AFTER;
use lavendergauge_lib::route;
use lavendergauge_lib::route::Key;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Failure;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::part::Refusal;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use lavendergauge_wire::request::Ticket;
use smallvec::SmallVec;
use tokio::time;

use crate::access;
use crate::clock;
use crate::entry::Entry;
use crate::entry_answer;
use crate::entry_answer::OUTCOME_HEADER;
use crate::entry_call;
use crate::entry_call::Call;
use crate::entry_claim;
use crate::entry_claim::ClaimResult;
use crate::entry_claim::StoredClaim;
use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_follow;
use crate::entry_follow::Followed;
use crate::entry_outcome;
use crate::entry_route;
use crate::entry_route::Slot;
use crate::problem;

pub use crate::entry_call::ACCOUNT_HEADER;
pub use crate::entry_call::KEY_HEADER;

/// Header that carries the key under which the outcome can be asked for.
pub const REQUEST_HEADER: &str = "lavendergauge-request";
/// Most attempts to run one request, each at one agent.
const MAX_ATTEMPTS: u32 = 8;
/// Time after which a refused caller should try again, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Answers one caller's request.
pub async fn answer(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    if let Some(detail) = entry.readiness_problem() {
        return with_outcome(problem::response(&detail), Outcome::NotRun);
    }
    if let Err(detail) = authorize(&entry, request.headers()) {
        return with_outcome(problem::response(&detail), Outcome::NotRun);
    }
    let mut call = match entry_call::read(request, &entry.quota.caller_bodies).await {
        Ok(call) => call,
        Err(error) => return with_outcome(malformed(&error), Outcome::NotRun),
    };
    let weight = {
        let core = entry.core();
        let mut accounts = core.document.accounts.iter();
        accounts.find(|known| known.name == call.account.as_str()).map(|known| known.weight)
    };
    let Some(weight) = weight else {
        let text = format!("there is no client account `{}`", call.account);
        let response = problem::bad_input(entry_call::ACCOUNT_HEADER, text);
        return with_outcome(response, Outcome::NotRun);
    };
    let mut response = serve(&entry, &mut call, weight.get()).await;
    if let Ok(key) = HeaderValue::from_str(&call.key) {
        response.headers_mut().insert(REQUEST_HEADER, key);
    }
    response
}

/// Checks that the caller's key may act for the client account, before the body is read.
fn authorize(entry: &Entry, headers: &HeaderMap) -> Result<(), Box<Detail>> {
    let account = entry_call::header_text(headers, ACCOUNT_HEADER);
    let core = entry.core();
    let caller = access::identify(&entry.access, &core.document, headers, clock::wall_ms())?;
    access::check_account(&caller, account)
}

/// Answers a request that is malformed or did not arrive in time.
fn malformed(error: &entry_call::Error) -> Response<Body> {
    match error {
        entry_call::Error::Field(field, text) => problem::bad_input(field, *text),
        entry_call::Error::NoRoom => problem::response(&problem::body_error(&Failure::NoRoom)),
        entry_call::Error::Late => {
            problem::not_run(StatusCode::REQUEST_TIMEOUT, "request timeout", error.to_string())
        }
    }
}

/// Answers that a request's outcome is in doubt, and how to ask for it later.
pub fn in_doubt(call: &Call, text: &str) -> Response<Body> {
    let status = StatusCode::GATEWAY_TIMEOUT;
    let mut detail = problem::detail(status, "outcome unknown", Outcome::Unknown, text);
    detail.hint = match call.has_caller_key {
        true => "repeat the request with the same Idempotency-Key".to_owned(),
        false => "ask for the outcome at the path in the Location header".to_owned(),
    };
    let mut response = problem::response(&detail);
    if let Ok(path) = HeaderValue::from_str(&format!("/v1/outcomes/{}", call.handle)) {
        response.headers_mut().insert(LOCATION, path);
    }
    with_outcome(response, Outcome::Unknown)
}

/// Adds the outcome to a response's headers, for callers that read no body.
pub fn with_outcome(mut response: Response<Body>, outcome: Outcome) -> Response<Body> {
    if let Ok(text) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, text);
    }
    response
}

/// How one attempt to run a request ended.
enum AttemptEnd {
    /// The response to the caller.
    Answered(Response<Body>),
    /// The request did not run; it may be sent to another agent.
    NotRun(Refusal),
    /// The outcome is in doubt; the cause.
    InDoubt(String),
}

/// Sends a request to one agent after another until an attempt gives the caller an answer.
async fn serve(entry: &Arc<Entry>, call: &mut Call, weight: u32) -> Response<Body> {
    let mut tried: SmallVec<[Key; 8]> = SmallVec::new();
    let mut replaceable: Option<StoredClaim> = None;
    let mut last_failure = "no target could be reached".to_owned();
    for attempt in 0..MAX_ATTEMPTS {
        let slot = match entry_route::acquire(&entry.router, call, weight, &tried).await {
            Ok(slot) => slot,
            Err(refusal) => return no_slot(entry, call, refusal, replaceable.as_ref()).await,
        };
        let end = if needs_claim(call) {
            attempt_claimed(entry, call, slot, attempt, &mut replaceable, &mut tried).await
        } else {
            tried.push(slot.key());
            attempt_unclaimed(entry, call, slot, attempt).await
        };
        match end {
            AttemptEnd::Answered(response) => return response,
            AttemptEnd::NotRun(Refusal::Full | Refusal::Fenced | Refusal::Stale) => {}
            AttemptEnd::NotRun(_) if entry.router.take_retry() => {}
            AttemptEnd::NotRun(refusal) => {
                last_failure = format!("refused: {refusal:?}");
                break;
            }
            AttemptEnd::InDoubt(_) if may_repeat(call) && entry.router.take_retry() => {}
            AttemptEnd::InDoubt(text) => return in_doubt(call, &text),
        }
        if call.remaining().is_zero() {
            last_failure = "the deadline has passed".to_owned();
            break;
        }
    }
    refuse("no capacity", &last_failure)
}

/// Tells whether a request whose outcome is in doubt may be sent again.
fn may_repeat(call: &Call) -> bool {
    call.is_idempotent && call.is_whole() && !call.remaining().is_zero()
}

/// Answers that a request did not run, and when to try again.
fn refuse(title: &str, text: &str) -> Response<Body> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut detail = problem::detail(status, title, Outcome::NotRun, text);
    detail.retry_after_s = RETRY_AFTER_S;
    with_outcome(problem::response(&detail), Outcome::NotRun)
}

/// Answers a request for which there is no slot.
///
/// If the caller gave the key, the request may have run before, at this entry or another. Then the
/// claim in the store is read and followed.
async fn no_slot(
    entry: &Arc<Entry>,
    call: &Call,
    refusal: entry_route::Refusal,
    replaceable: Option<&StoredClaim>,
) -> Response<Body> {
    log::info!(
        "event=route account={} key={} decision=refuse reason={refusal:?}",
        call.account,
        call.key
    );
    let text = match refusal {
        entry_route::Refusal::NoTarget => "no target accepts requests",
        entry_route::Refusal::Full => "too many requests wait",
        entry_route::Refusal::Late => "it would not start before its deadline",
        entry_route::Refusal::Waited => "no target had a free slot in time",
    };
    if !needs_claim(call) || replaceable.is_some() {
        return refuse("no capacity", text);
    }
    match entry_claim::find(entry, call).await {
        Ok(None) => refuse("no capacity", text),
        Ok(Some(stored)) if stored.claim.digest != call.digest => mismatch(),
        Ok(Some(stored)) => match entry_follow::follow(entry, call, 0, &stored).await {
            Followed::Answered(response) => response,
            Followed::NeverRan => refuse("no capacity", text),
        },
        Err(error) => claim_unavailable(call, &error.to_string()),
    }
}

/// Tells whether a request needs a claim: it must run at most once, and others may send it with the
/// same key.
fn needs_claim(call: &Call) -> bool {
    call.has_caller_key && !call.is_idempotent
}

/// Answers a request that did not run, while it is not known whether an earlier one with its key
/// did.
fn claim_unavailable(call: &Call, cause: &str) -> Response<Body> {
    let text = format!("this attempt did not run, and an earlier one may have: {cause}");
    let mut response = in_doubt(call, &text);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}

/// Makes one attempt at a request that needs no claim.
async fn attempt_unclaimed(
    entry: &Arc<Entry>,
    call: &mut Call,
    slot: Slot,
    attempt: u32,
) -> AttemptEnd {
    let ticket = Ticket {
        version: VERSION,
        key: call.key.clone(),
        attempt,
        entry: entry.name.clone(),
        worker: slot.target.worker.to_string(),
        incarnation: slot.target.incarnation,
        account: call.account.to_string(),
        idempotent: call.is_idempotent,
        deadline_ms: call.remaining().as_millis() as u64,
        digest: call.digest.clone(),
        whole: call.is_whole(),
        nonce: format!("{}-{attempt}", entry.incarnation),
        drawn_ms: slot.target.clock.0,
        claimed: false,
    };
    send(entry, call, slot, ticket).await
}

/// Makes one attempt at a request that needs a claim.
///
/// `replaceable` is the claim that this entry may replace, if there is one.
async fn attempt_claimed(
    entry: &Arc<Entry>,
    call: &mut Call,
    mut slot: Slot,
    attempt: u32,
    replaceable: &mut Option<StoredClaim>,
    tried: &mut SmallVec<[Key; 8]>,
) -> AttemptEnd {
    let version = replaceable.as_ref().map_or(0, |stored| stored.version);
    match entry_claim::claim_key(entry, call, &slot, version).await {
        ClaimResult::Own(stored) => {
            let ticket = entry_claim::ticket(entry, call, attempt, &stored);
            *replaceable = Some(stored);
            tried.push(slot.key());
            send(entry, call, slot, ticket).await
        }
        ClaimResult::Other(stored) => {
            slot.result = route::Result::Neither;
            drop(slot);
            match entry_follow::follow(entry, call, attempt, &stored).await {
                Followed::Answered(response) => AttemptEnd::Answered(response),
                Followed::NeverRan => {
                    *replaceable = Some(stored);
                    AttemptEnd::NotRun(Refusal::Fenced)
                }
            }
        }
        ClaimResult::Mismatch => AttemptEnd::Answered(mismatch()),
        ClaimResult::Unavailable(text) => AttemptEnd::Answered(claim_unavailable(call, &text)),
    }
}

/// Answers that the key was used with another request.
pub fn mismatch() -> Response<Body> {
    let text = "the key was used with another request";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let mut detail = problem::detail(status, "key mismatch", Outcome::NotRun, text);
    detail.field = KEY_HEADER.to_owned();
    detail.hint = "use a new key for each request".to_owned();
    with_outcome(problem::response(&detail), Outcome::NotRun)
}

/// Sends a request to the agent of its slot.
async fn send(entry: &Arc<Entry>, call: &mut Call, mut slot: Slot, ticket: Ticket) -> AttemptEnd {
    log::info!(
        "event=route account={} key={} attempt={} decision=send worker={}",
        ticket.account,
        ticket.key,
        ticket.attempt,
        ticket.worker
    );
    if !call.has_caller_key {
        call.handle = entry_outcome::encode_handle(&ticket);
    }
    let open = Open {
        ticket,
        method: call.method.to_string(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        from: 0,
    };
    let mut exchange = Exchange::new(entry, slot.target.address.as_str(), open);
    let remaining = call.remaining();
    let event = time::timeout(remaining, exchange.run(call)).await;
    if let Some(hello) = exchange.hello() {
        slot.update_load(hello);
    }
    match event {
        Ok(Event::Head(head)) => {
            AttemptEnd::Answered(entry_answer::response(&head, exchange, Some(slot)).await)
        }
        Ok(Event::Refused(refusal)) => {
            slot.result = match refusal {
                Refusal::Full => route::Result::Full,
                Refusal::Unreachable => route::Result::Failed,
                _ => route::Result::Neither,
            };
            match refusal {
                Refusal::Mismatch => AttemptEnd::Answered(mismatch()),
                refusal => AttemptEnd::NotRun(refusal),
            }
        }
        Ok(Event::Dropped) => AttemptEnd::Answered(dropped()),
        Ok(Event::InDoubt(text)) => {
            slot.result = route::Result::Failed;
            AttemptEnd::InDoubt(text)
        }
        Ok(_) => AttemptEnd::InDoubt("the answer has no head".to_owned()),
        Err(_) => AttemptEnd::InDoubt("no answer before the deadline".to_owned()),
    }
}

/// Answers that a request ran and that its answer is no longer kept.
pub fn dropped() -> Response<Body> {
    let text = "the request ran, and its answer is no longer kept";
    let detail = problem::detail(StatusCode::GONE, "answer not kept", Outcome::Ran, text);
    with_outcome(problem::response(&detail), Outcome::Ran)
}
