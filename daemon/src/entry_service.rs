//! The entry's side of requests: who runs one, and what the caller learns.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::LOCATION;
use hyper::header::RETRY_AFTER;
use lavendergauge_lib::route;
use lavendergauge_lib::route::Key;
use lavendergauge_net::body::Body;
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
use crate::entry_claim::Held;
use crate::entry_claim::Stake;
use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_follow;
use crate::entry_follow::Followed;
use crate::entry_outcome;
use crate::entry_route;
use crate::entry_route::Place;
use crate::problem;

pub use crate::entry_call::ACCOUNT_HEADER;
pub use crate::entry_call::KEY_HEADER;

/// Header that carries the key under which the outcome can be asked for.
pub const REQUEST_HEADER: &str = "lavendergauge-request";
/// Most turns that one request gets at agents.
const TURNS: u32 = 8;
/// Advice on when to come back, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Answers one caller's request.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if let Some(detail) = entry.unready() {
        return with_outcome(problem::response(&detail), Outcome::NotRun);
    }
    if let Err(detail) = prove(&entry, request.headers()) {
        return with_outcome(problem::response(&detail), Outcome::NotRun);
    }
    let mut call = match entry_call::read(request).await {
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

/// Checks that the caller's key acts for the client account, before the body is read.
fn prove(entry: &Entry, headers: &HeaderMap) -> Result<(), Box<Detail>> {
    let account = entry_call::text(headers, ACCOUNT_HEADER);
    let core = entry.core();
    let caller = access::identify(&entry.access, &core.document, headers, clock::wall_ms())?;
    access::check_account(&caller, account)
}

fn malformed(error: &entry_call::Error) -> Response<Body> {
    match error {
        entry_call::Error::Field(field, text) => problem::bad_input(field, *text),
        entry_call::Error::Late => {
            problem::not_run(StatusCode::REQUEST_TIMEOUT, "request timeout", error.to_string())
        }
    }
}

/// Says that a request's outcome is in doubt, and how to learn more.
pub fn in_doubt(call: &Call, text: &str) -> Response<Body> {
    let status = StatusCode::GATEWAY_TIMEOUT;
    let mut detail = problem::detail(status, "outcome unknown", Outcome::Unknown, text);
    detail.hint = match call.given {
        true => "repeat the request with the same Idempotency-Key".to_owned(),
        false => "ask for the outcome at the path in the Location header".to_owned(),
    };
    let mut response = problem::response(&detail);
    if let Ok(path) = HeaderValue::from_str(&format!("/v1/outcomes/{}", call.handle)) {
        response.headers_mut().insert(LOCATION, path);
    }
    with_outcome(response, Outcome::Unknown)
}

/// Puts the outcome into an answer's head, for callers that read no body.
pub fn with_outcome(mut response: Response<Body>, outcome: Outcome) -> Response<Body> {
    if let Ok(text) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, text);
    }
    response
}

/// How one turn of a request ended.
enum Turn {
    /// The caller has its answer.
    Over(Response<Body>),
    /// It did not run; another agent may be asked.
    NotRun(Refusal),
    /// Its outcome is in doubt.
    Doubt(String),
}

/// Gives a request turns at agents until one ends it.
async fn serve(entry: &Arc<Entry>, call: &mut Call, weight: u32) -> Response<Body> {
    let mut tried: SmallVec<[Key; 8]> = SmallVec::new();
    let mut standing: Option<Held> = None;
    let mut last = "no target could be reached".to_owned();
    for attempt in 0..TURNS {
        let place = match entry_route::acquire(&entry.router, call, weight, &tried).await {
            Ok(place) => place,
            Err(refusal) => return no_place(entry, call, refusal, standing.as_ref()).await,
        };
        let turn = if is_claimed(call) {
            claimed_turn(entry, call, place, attempt, &mut standing, &mut tried).await
        } else {
            tried.push(place.key());
            drawn_turn(entry, call, place, attempt).await
        };
        match turn {
            Turn::Over(response) => return response,
            Turn::NotRun(Refusal::Full | Refusal::Fenced | Refusal::Stale) => {}
            Turn::NotRun(_) if entry.router.take_retry() => {}
            Turn::NotRun(refusal) => {
                last = format!("refused: {refusal:?}");
                break;
            }
            Turn::Doubt(_) if may_repeat(call) && entry.router.take_retry() => {}
            Turn::Doubt(text) => return in_doubt(call, &text),
        }
        if call.left().is_zero() {
            last = "the deadline has passed".to_owned();
            break;
        }
    }
    refuse("no capacity", &last)
}

fn may_repeat(call: &Call) -> bool {
    call.idempotent && call.is_whole() && !call.left().is_zero()
}

fn refuse(title: &str, text: &str) -> Response<Body> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut detail = problem::detail(status, title, Outcome::NotRun, text);
    detail.retry_after_s = RETRY_AFTER_S;
    with_outcome(problem::response(&detail), Outcome::NotRun)
}

/// Answers a request for which there is no place.
///
/// With a key that the caller gave, only a look at the claims tells whether the
/// request ran before, at this entry or another.
async fn no_place(
    entry: &Arc<Entry>,
    call: &Call,
    refusal: entry_route::Refusal,
    standing: Option<&Held>,
) -> Response<Body> {
    log::info!(
        "event=route account={} key={} decision=refuse reason={refusal:?}",
        call.account,
        call.key
    );
    let text = match refusal {
        entry_route::Refusal::NoTarget => "no target takes requests",
        entry_route::Refusal::Full => "too many requests wait",
        entry_route::Refusal::Late => "it would not start before its deadline",
        entry_route::Refusal::Waited => "no target had a free slot in time",
    };
    if !is_claimed(call) || standing.is_some() {
        return refuse("no capacity", text);
    }
    match entry_claim::find(entry, call).await {
        Ok(None) => refuse("no capacity", text),
        Ok(Some(held)) if held.claim.digest != call.digest => mismatch(),
        Ok(Some(held)) => match entry_follow::follow(entry, call, 0, &held).await {
            Followed::Over(response) => response,
            Followed::NeverRan => refuse("no capacity", text),
        },
        Err(error) => unclaimed(call, &error.to_string()),
    }
}

/// Tells whether others may come with a request that must run once.
fn is_claimed(call: &Call) -> bool {
    call.given && !call.idempotent
}

/// Answers a request of whose key nobody can tell now whether it ran before.
fn unclaimed(call: &Call, cause: &str) -> Response<Body> {
    let text = format!("this attempt was not run, and an earlier one may have been: {cause}");
    let mut response = in_doubt(call, &text);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}

/// A turn of a request whose key nobody else knows.
async fn drawn_turn(entry: &Arc<Entry>, call: &mut Call, place: Place, attempt: u32) -> Turn {
    let ticket = Ticket {
        version: VERSION,
        key: call.key.clone(),
        attempt,
        entry: entry.name.clone(),
        worker: place.target.worker.to_string(),
        incarnation: place.target.incarnation,
        account: call.account.to_string(),
        idempotent: call.idempotent,
        deadline_ms: call.left().as_millis() as u64,
        digest: call.digest.clone(),
        whole: call.is_whole(),
        nonce: format!("{}-{attempt}", entry.incarnation),
        drawn_ms: place.target.clock.0,
        claimed: false,
    };
    hand_over(entry, call, place, ticket).await
}

/// A turn of a request whose key the caller gave, and may have given to others too.
async fn claimed_turn(
    entry: &Arc<Entry>,
    call: &mut Call,
    mut place: Place,
    attempt: u32,
    standing: &mut Option<Held>,
    tried: &mut SmallVec<[Key; 8]>,
) -> Turn {
    let version = standing.as_ref().map_or(0, |held| held.version);
    match entry_claim::stake(entry, call, &place, version).await {
        Stake::Mine(held) => {
            let ticket = entry_claim::ticket(entry, call, attempt, &held);
            *standing = Some(held);
            tried.push(place.key());
            hand_over(entry, call, place, ticket).await
        }
        Stake::Theirs(held) => {
            place.result = route::Result::Neither;
            drop(place);
            match entry_follow::follow(entry, call, attempt, &held).await {
                Followed::Over(response) => Turn::Over(response),
                Followed::NeverRan => {
                    *standing = Some(held);
                    Turn::NotRun(Refusal::Fenced)
                }
            }
        }
        Stake::Mismatch => Turn::Over(mismatch()),
        Stake::Unavailable(text) => Turn::Over(unclaimed(call, &text)),
    }
}

/// Says that the key was used with another request.
pub fn mismatch() -> Response<Body> {
    let text = "the key was used with another request";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let mut detail = problem::detail(status, "key mismatch", Outcome::NotRun, text);
    detail.field = KEY_HEADER.to_owned();
    detail.hint = "use a new key for each request".to_owned();
    with_outcome(problem::response(&detail), Outcome::NotRun)
}

/// Hands a request over to the agent of its place.
async fn hand_over(entry: &Arc<Entry>, call: &mut Call, mut place: Place, ticket: Ticket) -> Turn {
    log::info!(
        "event=route account={} key={} attempt={} decision=send worker={}",
        ticket.account,
        ticket.key,
        ticket.attempt,
        ticket.worker
    );
    if !call.given {
        call.handle = entry_outcome::handle(&ticket);
    }
    let open = Open {
        ticket,
        method: call.method.to_string(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        from: 0,
    };
    let mut exchange = Exchange::new(entry, place.target.address.as_str(), open);
    let left = call.left();
    let event = time::timeout(left, exchange.run(call)).await;
    if let Some(hello) = exchange.heard() {
        place.hear(hello);
    }
    match event {
        Ok(Event::Head(head)) => {
            Turn::Over(entry_answer::response(&head, exchange, Some(place)).await)
        }
        Ok(Event::Refused(refusal)) => {
            place.result = match refusal {
                Refusal::Full => route::Result::Full,
                Refusal::Unreachable => route::Result::Failed,
                _ => route::Result::Neither,
            };
            match refusal {
                Refusal::Mismatch => Turn::Over(mismatch()),
                refusal => Turn::NotRun(refusal),
            }
        }
        Ok(Event::Dropped) => Turn::Over(dropped()),
        Ok(Event::Doubt(text)) => {
            place.result = route::Result::Failed;
            Turn::Doubt(text)
        }
        Ok(_) => Turn::Doubt("the answer has no head".to_owned()),
        Err(_) => Turn::Doubt("no answer before the deadline".to_owned()),
    }
}

/// Says that a request ran and that its answer is no longer kept.
pub fn dropped() -> Response<Body> {
    let text = "the request ran, and its answer is no longer kept";
    let detail = problem::detail(StatusCode::GONE, "answer not kept", Outcome::Ran, text);
    with_outcome(problem::response(&detail), Outcome::Ran)
}
