//! The entry's side of requests: picks a target, and recovers the outcome when it is in doubt.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::http::request::Parts;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::route;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::codec;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use lavendergauge_wire::request::Ticket;
use sha2::Digest;
use sha2::Sha256;

use crate::access;
use crate::agent_service::OUTCOME_HEADER;
use crate::agent_service::TICKET_HEADER;
use crate::clock;
use crate::config;
use crate::entry::Entry;
use crate::problem;

/// Header in which a caller names its request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header in which a caller marks a request as idempotent or not.
pub const IDEMPOTENT_HEADER: &str = "lavendergauge-idempotent";
/// Header in which a caller says how long it waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "lavendergauge-deadline-ms";
/// Header in which a caller names its client account.
pub const ACCOUNT_HEADER: &str = "lavendergauge-account";
/// Deadline of a request whose caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Most bytes of a request's body.
const REQUEST_LIMIT: usize = 4 << 20;
/// Most targets that one request is offered to.
const ATTEMPTS: u32 = 4;

/// Answers one caller's request.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let account = text(&head.headers, ACCOUNT_HEADER).to_owned();
    if let Err(detail) = prove(&entry, &head.headers, &account) {
        return problem::response(&detail);
    }
    let Ok(body) = body::collect(body, REQUEST_LIMIT).await else {
        return problem::bad_input("body", "cannot be read, or is longer than 4 MB");
    };
    if !entry.core().document.accounts.iter().any(|known| known.name == account) {
        let text = format!("there is no client account `{account}`");
        return problem::bad_input(ACCOUNT_HEADER, text);
    }
    let key = match text(&head.headers, KEY_HEADER) {
        "" => format!("{:032x}", rand::random::<u128>()),
        key => key.to_owned(),
    };
    for attempt in 0..ATTEMPTS {
        let Some(ticket) = draw(&entry, &head, &account, &key, attempt, &body) else {
            let text = "no target has a free slot";
            return problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no capacity", text);
        };
        match offer(&entry, &head, &body, ticket).await {
            Offer::Answer(response) => return response,
            Offer::NotRun => {}
        }
    }
    let text = "every target that was asked refused";
    problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no capacity", text)
}

/// Checks that the caller's key acts for the client account.
fn prove(entry: &Entry, headers: &HeaderMap, account: &str) -> Result<(), Box<Detail>> {
    let core = entry.core();
    let caller = access::identify(&entry.access, &core.document, headers, clock::wall_ms())?;
    access::check_account(&caller, account)
}

enum Offer {
    Answer(Response<Body>),
    NotRun,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Picks a target and makes out the ticket for it.
fn draw(
    entry: &Entry,
    head: &Parts,
    account: &str,
    key: &str,
    attempt: u32,
    body: &Bytes,
) -> Option<(String, Ticket)> {
    let mut core = entry.core();
    let document = core.document.clone();
    let targets = core.members.targets(clock::now(), |name| config::is_open(&document, name));
    let index = route::pick(&targets, &mut core.rng);
    let Some(index) = index else {
        log::info!(
            "event=route account={account} key={key} attempt={attempt} decision=refuse \
             alternatives={} revision={}",
            targets.len(),
            document.revision
        );
        return None;
    };
    let worker = targets[index].worker.clone();
    core.members.count_sent(&worker);
    let member = core.members.find(&worker)?;
    log::info!(
        "event=route account={account} key={key} attempt={attempt} decision=send worker={worker} \
         alternatives={} revision={}",
        targets.len(),
        document.revision
    );
    let marked = text(&head.headers, IDEMPOTENT_HEADER);
    let safe = !matches!(head.method, Method::POST | Method::PATCH);
    let deadline = text(&head.headers, DEADLINE_HEADER)
        .parse()
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let ticket = Ticket {
        version: VERSION,
        key: key.to_owned(),
        attempt,
        entry: entry.name.clone(),
        worker: worker.to_string(),
        incarnation: member.frame.incarnation,
        account: account.to_owned(),
        idempotent: if marked.is_empty() { safe } else { marked == "true" },
        deadline_ms: deadline.as_millis() as u64,
        digest: digest(head, body),
    };
    Some((member.frame.address.clone(), ticket))
}

/// Returns the SHA-256 of what makes a request this request.
fn digest(head: &Parts, body: &Bytes) -> String {
    let mut hash = Sha256::new();
    hash.update(head.method.as_str());
    hash.update([0]);
    hash.update(head.uri.path_and_query().map_or("", |path| path.as_str()));
    hash.update([0]);
    hash.update(body);
    hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Offers a request to one target and finds out what became of it.
async fn offer(
    entry: &Entry,
    head: &Parts,
    body: &Bytes,
    (address, ticket): (String, Ticket),
) -> Offer {
    let deadline = Duration::from_millis(ticket.deadline_ms);
    let Some(request) = forward(head, body, &address, &ticket) else { return Offer::NotRun };
    match entry.client.fetch(request, deadline).await {
        Ok(response) if text(response.headers(), OUTCOME_HEADER) == "not-run" => Offer::NotRun,
        Ok(response) => {
            let (mut head, body) = response.into_parts();
            head.headers.remove(OUTCOME_HEADER);
            Offer::Answer(Response::from_parts(head, body::full(body)))
        }
        Err(error) if error.never_sent() => Offer::NotRun,
        Err(error) => recover(&entry.client, &address, &ticket, &error).await,
    }
}

fn forward(head: &Parts, body: &Bytes, address: &str, ticket: &Ticket) -> Option<Request<Body>> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(format!("http://{address}{path}"))
        .header(TICKET_HEADER, STANDARD.encode(codec::pack(ticket).ok()?))
        .body(body::full(body.clone()))
        .ok()?;
    for (name, value) in &head.headers {
        if !matches!(*name, AUTHORIZATION | CONTENT_LENGTH | HOST) {
            request.headers_mut().append(name, value.clone());
        }
    }
    request.headers_mut().insert(KEY_HEADER, ticket.key.parse().ok()?);
    Some(request)
}

/// Asks the agent, over a new connection, what became of a request in doubt.
async fn recover(
    client: &client::Client,
    address: &str,
    ticket: &Ticket,
    error: &client::Error,
) -> Offer {
    log::warn!(
        "event=in-doubt key={} worker={} cause=\"{error}\"",
        Name::from(&ticket.key),
        ticket.worker
    );
    let fresh = client.fresh();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/internal/ask"))
        .header(TICKET_HEADER, STANDARD.encode(codec::pack(ticket).unwrap_or_default()))
        .body(body::empty());
    let Ok(request) = request else { return Offer::Answer(in_doubt()) };
    match fresh.fetch(request, Duration::from_secs(2)).await {
        Ok(response) if text(response.headers(), OUTCOME_HEADER) == "not-run" => Offer::NotRun,
        Ok(response) if text(response.headers(), OUTCOME_HEADER) == "ran" => {
            let (mut head, body) = response.into_parts();
            head.headers.remove(OUTCOME_HEADER);
            Offer::Answer(Response::from_parts(head, body::full(body)))
        }
        _ => Offer::Answer(in_doubt()),
    }
}

fn in_doubt() -> Response<Body> {
    problem::response(&problem::detail(
        StatusCode::GATEWAY_TIMEOUT,
        "outcome unknown",
        Outcome::Unknown,
        "the target gave no answer; repeat the request with the same Idempotency-Key to learn more",
    ))
}
