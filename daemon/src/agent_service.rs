//! The agent's side of requests: the gate before the target, and what became of each key.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::request::Admission;
use lavendergauge_lib::request::Answer;
use lavendergauge_lib::request::Refusal;
use lavendergauge_lib::request::Standing;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::FLEET_KEY_HEADER;
use lavendergauge_wire::codec;
use lavendergauge_wire::problem::Outcome;
use lavendergauge_wire::request::Ticket;

use crate::access;
use crate::agent::Agent;
use crate::agent_command;
use crate::clock;
use crate::problem;

/// Header that carries an entry's ticket, as MessagePack in base64.
pub const TICKET_HEADER: &str = "lavendergauge-ticket";
/// Header in which an agent says what became of a request.
pub const OUTCOME_HEADER: &str = "lavendergauge-outcome";
/// Most bytes of a request's body.
const REQUEST_LIMIT: usize = 4 << 20;
/// Bound on one execution at the target.
const TARGET_DEADLINE: Duration = Duration::from_secs(300);

/// Answers one request of an entry.
pub async fn answer(agent: Arc<Agent>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    if !access::is_fleet(&agent.access, &head.headers) {
        return refused(problem::response(&access::foreign()));
    }
    let Ok(body) = body::collect(body, REQUEST_LIMIT).await else {
        return refused(problem::bad_input("body", "cannot be read, or is longer than 4 MB"));
    };
    if head.uri.path() == "/internal/command" {
        return agent_command::answer(&agent, &body).await;
    }
    let Some(ticket) = ticket(&head) else {
        return refused(problem::bad_input(TICKET_HEADER, "is missing or malformed"));
    };
    if ticket.incarnation != agent.incarnation {
        return unknown("the process that was meant is gone");
    }
    if head.uri.path() == "/internal/ask" {
        return ask(&agent, &ticket).await;
    }
    let key = Name::from(&ticket.key);
    match admit(&agent, &ticket, &key) {
        Admission::Run => {
            let running = agent.clone();
            let task = tokio::spawn(async move { run(running, head, body, key).await });
            task.await.unwrap_or_else(|_| unknown("the execution broke off"))
        }
        Admission::Ran(answer) => ran(&answer),
        Admission::Running => ask(&agent, &ticket).await,
        Admission::Refused(Refusal::Mismatch) => {
            let text = "the Idempotency-Key was used with another request";
            problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key mismatch", text)
        }
        Admission::Refused(refusal) => {
            let text = format!("{refusal:?}");
            refused(problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused", text))
        }
    }
}

fn ticket(head: &Parts) -> Option<Ticket> {
    let text = head.headers.get(TICKET_HEADER)?.to_str().ok()?;
    codec::unpack(&STANDARD.decode(text).ok()?).ok()
}

fn admit(agent: &Agent, ticket: &Ticket, key: &Name) -> Admission {
    let now = clock::now();
    let mut core = agent.core();
    let open = match (core.leaving, core.permit.is_open(now)) {
        (true, _) => Err(Refusal::Leaving),
        (false, false) => Err(Refusal::NoPermit),
        (false, true) => Ok(()),
    };
    core.requests.admit(key, &Name::from(&ticket.digest), open)
}

/// Runs a request at the target; goes on to the end even when the entry hangs up.
async fn run(agent: Arc<Agent>, head: Parts, body: Bytes, key: Name) -> Response<Body> {
    let answer = match execute(&agent, &head, body).await {
        Ok(answer) => answer,
        Err(text) => Answer {
            status: StatusCode::BAD_GATEWAY.as_u16(),
            headers: Vec::new(),
            body: codec::to_json(&problem::detail(
                StatusCode::BAD_GATEWAY,
                "target failed",
                Outcome::Unknown,
                text,
            ))
            .unwrap_or_default(),
        },
    };
    agent.core().requests.finish(clock::now(), &key, answer.clone());
    ran(&answer)
}

async fn execute(agent: &Agent, head: &Parts, body: Bytes) -> Result<Answer, String> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(format!("http://{}{path}", agent.settings.target_address))
        .body(body::full(body))
        .map_err(|error| error.to_string())?;
    for (name, value) in &head.headers {
        let ours = name == TICKET_HEADER
            || name == FLEET_KEY_HEADER
            || name == hyper::header::HOST
            || name == hyper::header::CONTENT_LENGTH;
        if !ours {
            request.headers_mut().append(name, value.clone());
        }
    }
    let response = agent
        .target_client
        .fetch(request, TARGET_DEADLINE)
        .await
        .map_err(|error| error.to_string())?;
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            (Bytes::from(name.as_str().to_owned()), Bytes::copy_from_slice(value.as_bytes()))
        })
        .collect();
    Ok(Answer { status: response.status().as_u16(), headers, body: response.into_body() })
}

/// Says what became of a key, waiting for a running one; a key never seen is fenced.
async fn ask(agent: &Agent, ticket: &Ticket) -> Response<Body> {
    let key = Name::from(&ticket.key);
    let until = clock::now() + Duration::from_millis(ticket.deadline_ms);
    loop {
        let standing = agent.core().requests.ask(clock::now(), &key);
        match standing {
            Standing::Ran(answer) => return ran(&answer),
            Standing::Fenced => {
                let text = "the request never ran here and never will";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return refused(problem::not_run(status, "not run", text));
            }
            Standing::Running if until <= clock::now() => {
                return unknown("the request is still running");
            }
            Standing::Running => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

fn with_outcome(mut response: Response<Body>, outcome: &'static str) -> Response<Body> {
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    response
}

fn refused(response: Response<Body>) -> Response<Body> {
    with_outcome(response, "not-run")
}

fn unknown(text: &str) -> Response<Body> {
    let status = StatusCode::GATEWAY_TIMEOUT;
    let detail = problem::detail(status, "outcome unknown", Outcome::Unknown, text);
    with_outcome(problem::response(&detail), "unknown")
}

fn ran(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &answer.headers {
        let header = HeaderName::from_bytes(name).ok().zip(HeaderValue::from_bytes(value).ok());
        if let Some((name, value)) = header {
            response.headers_mut().append(name, value);
        }
    }
    with_outcome(response, "ran")
}
