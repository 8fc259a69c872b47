//! The agent's HTTP service: runs requests at the target, and reports the state of each key.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::request;
use lavendergauge_lib::request::Admission;
use lavendergauge_lib::request::KeyStatus;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Failure;
use lavendergauge_net::body::Sender;
use lavendergauge_net::client::Client;
use lavendergauge_net::client::Options;
use lavendergauge_net::parts;
use lavendergauge_net::parts::MARK_INTERVAL;
use lavendergauge_net::parts::Parts;
use lavendergauge_wire::codec;
use lavendergauge_wire::part::Hello;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::part::Part;
use lavendergauge_wire::part::Refusal;
use lavendergauge_wire::request::Standing as WireStanding;
use lavendergauge_wire::request::Status;
use lavendergauge_wire::request::Ticket;
use tokio::time;
use tokio::time::Instant;

use crate::access;
use crate::agent::Agent;
use crate::agent_answer::Answer;
use crate::agent_answer::Reader;
use crate::agent_command;
use crate::agent_run;
use crate::agent_run::Execution;
use crate::clock;
use crate::problem;
use crate::telemetry;

/// Path to run a request, or to attach to its answer if it runs or ran already.
pub const RUN_PATH: &str = "/internal/run";
/// Path to ask for a request's answer; a key not seen before is fenced and never runs here.
pub const ASK_PATH: &str = "/internal/ask";
/// Path to cancel a request that no caller waits for any more.
pub const CANCEL_PATH: &str = "/internal/cancel";
/// Path to look up the state of a key without changing it.
pub const LOOK_PATH: &str = "/internal/look";
/// Most bytes of the body of a command, a cancellation or a lookup.
const MAX_COMMAND_BYTES: usize = 4 << 20;
/// Time after which an idle connection to the target is closed.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers of running requests and kept answers of finished ones, by scoped key.
#[derive(Debug, Default)]
pub struct Answers {
    by_key: Mutex<HashMap<Name, Arc<Answer>>>,
}

impl Answers {
    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Arc<Answer>>> {
        self.by_key.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the answer of a key; `None` if there is none or it is no longer kept.
    fn find(&self, key: &Name) -> Option<Arc<Answer>> {
        self.lock().get(key).cloned()
    }

    /// Removes answers that are no longer kept.
    pub fn forget(&self, keys: &[Name]) {
        if keys.is_empty() {
            return;
        }
        let mut answers = self.lock();
        for key in keys {
            answers.remove(key);
        }
    }

    /// Returns the number of running and kept answers.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Tells whether there are no answers.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }
}

/// Makes the client for calls to a target that accepts this number of connections.
pub fn target_client(connections: u32) -> Client {
    let connections = connections as usize;
    Client::new(Options { connections, idle: connections, idle_timeout: TARGET_IDLE_TIMEOUT })
}

/// Forgets requests whose retention has ended, with their answers.
pub fn tick(agent: &Agent, now: Millis) {
    let dropped = agent.core().requests.tick(now);
    agent.answers.forget(&dropped);
}

/// Waits until every request in execution has ended.
pub async fn drain(agent: &Agent) {
    while 0 < agent.core().requests.used() {
        time::sleep(MARK_INTERVAL / 10).await;
    }
}

/// Answers one HTTP request of an entry, or a scrape of metrics.
pub async fn answer(agent: Arc<Agent>, request: Request<Body>) -> Response<Body> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/metrics" {
        return telemetry::scrape_agent(&agent);
    }
    if !access::is_from_fleet(&agent.access, &head.headers) {
        return problem::response(&access::missing_fleet_key());
    }
    match head.uri.path() {
        RUN_PATH => {
            let parts = Parts::with_budget(body, &agent.quota.peer_bodies);
            run(agent, parts).await
        }
        ASK_PATH => {
            let parts = Parts::with_budget(body, &agent.quota.peer_bodies);
            ask(agent, parts).await
        }
        "/internal/command" => match receive(&agent, body).await {
            Ok(body) => agent_command::answer(&agent, &body).await,
            Err(refused) => refused,
        },
        path @ (CANCEL_PATH | LOOK_PATH) => {
            let body = match receive(&agent, body).await {
                Ok(body) => body,
                Err(refused) => return refused,
            };
            match codec::unpack::<Ticket>(&body) {
                Ok(ticket) if path == CANCEL_PATH => cancel(&agent, &ticket),
                Ok(ticket) => look_up(&agent, &ticket),
                Err(error) => problem::bad_input("body", error.to_string()),
            }
        }
        _ => problem::not_run(StatusCode::NOT_FOUND, "not found", "there is no such resource"),
    }
}

/// Receives the body of a command, a cancellation or a lookup.
///
/// # Errors
/// The response when the body is too long or incomplete, or there is no room for it.
async fn receive(agent: &Agent, body: Body) -> Result<Bytes, Response<Body>> {
    let bodies = &agent.quota.peer_bodies;
    let received = body::receive(body, MAX_COMMAND_BYTES, bodies, body::RECEIVE_TIMEOUT).await;
    received.map_err(|cause| problem::response(&problem::body_error(&cause)))
}

/// Returns the name of a key that is unique among all client accounts and uses of the key.
pub fn scoped_key(ticket: &Ticket) -> Name {
    Name::from(format!("{}\n{}\n{}", ticket.account, ticket.key, ticket.nonce))
}

fn to_gate_ticket(ticket: &Ticket) -> request::Ticket {
    request::Ticket {
        key: scoped_key(ticket),
        digest: Name::from(&ticket.digest),
        issued: Millis(ticket.drawn_ms),
        claimed: ticket.claimed,
    }
}

/// Reads the first part of a request.
///
/// # Errors
/// The response when it is not [`Part::Open`], or there is no room for it.
async fn read_open(parts: &mut Parts) -> Result<Open, Response<Body>> {
    match parts.next().await {
        Ok(Part::Open(open)) => Ok(*open),
        Err(parts::Error::NoRoom(_)) => {
            Err(problem::response(&problem::body_error(&Failure::NoRoom)))
        }
        _ => Err(problem::bad_input("body", "does not begin with a ticket")),
    }
}

/// Makes the first part of every answer.
fn hello_part(agent: &Agent, ticket: &Ticket) -> Part {
    Part::Hello(Hello {
        key: ticket.key.clone(),
        attempt: ticket.attempt,
        incarnation: agent.incarnation,
        used: agent.core().requests.used(),
        clock_ms: clock::now().0,
    })
}

/// Makes a complete answer that consists of the hello part and one more.
fn final_response(agent: &Agent, ticket: &Ticket, part: Part) -> Response<Body> {
    let bytes = parts::encode(&[hello_part(agent, ticket), part]).unwrap_or_default();
    Response::new(body::full(bytes))
}

/// Makes the refusal of a ticket that names another process of this agent.
///
/// This process does not know what the other one has run.
fn replaced_part() -> Part {
    Part::Refused(Refusal::Replaced)
}

/// Runs a request, or answers with what is known of its key.
async fn run(agent: Arc<Agent>, mut parts: Parts) -> Response<Body> {
    let open = match read_open(&mut parts).await {
        Ok(open) => open,
        Err(refused) => return refused,
    };
    fail::fail_point!("agent-before-admit");
    let ticket = open.ticket.clone();
    if ticket.incarnation != agent.incarnation {
        return final_response(&agent, &ticket, replaced_part());
    }
    let key = scoped_key(&ticket);
    let admission = admit(&agent, &ticket, &key);
    log::debug!(
        "event=admit key={} attempt={} verdict={:?}",
        ticket.key,
        ticket.attempt,
        admission.0
    );
    match admission {
        (Admission::Run, Some(answer)) => {
            let execution = Execution::new(agent.clone(), key, answer.clone());
            fail::fail_point!("agent-after-admit");
            let is_streamed = !ticket.whole;
            answer.admit();
            let reader = Reader::new(answer, open.from);
            tokio::spawn(agent_run::run(open, parts, execution));
            respond(&agent, &ticket, reader, is_streamed).await
        }
        (Admission::Known(KeyStatus::Running | KeyStatus::Ran), Some(answer)) => {
            respond(&agent, &ticket, Reader::new(answer, open.from), false).await
        }
        (Admission::Known(KeyStatus::Forgotten), _) => {
            final_response(&agent, &ticket, Part::Refused(Refusal::Stale))
        }
        (Admission::Known(status), _) => final_response(&agent, &ticket, status_part(status)),
        (Admission::Refused(refusal), _) => final_response(&agent, &ticket, refusal_part(refusal)),
        (Admission::Run, None) => final_response(&agent, &ticket, replaced_part()),
    }
}

/// Asks the gate whether a request may run, and makes or finds its answer under the same lock.
fn admit(agent: &Agent, ticket: &Ticket, key: &Name) -> (Admission, Option<Arc<Answer>>) {
    let now = clock::now();
    let mut core = agent.core();
    let permission = match (core.is_leaving, core.permit.is_open(now)) {
        (true, _) => Err(request::Refusal::Leaving),
        (false, false) => Err(request::Refusal::NoPermit),
        (false, true) => Ok(()),
    };
    let admission = core.requests.admit(now, &to_gate_ticket(ticket), permission);
    if admission == Admission::Run {
        agent.answers.lock().insert(key.clone(), Arc::default());
    }
    (admission, agent.answers.find(key))
}

fn refusal_part(refusal: request::Refusal) -> Part {
    Part::Refused(match refusal {
        request::Refusal::Full => Refusal::Full,
        request::Refusal::NoPermit => Refusal::NoPermit,
        request::Refusal::Leaving => Refusal::Leaving,
        request::Refusal::Fenced => Refusal::Fenced,
        request::Refusal::Mismatch => Refusal::Mismatch,
        request::Refusal::Crowded => Refusal::Crowded,
    })
}

/// Makes the part that reports the state of a key whose answer is not kept.
fn status_part(status: KeyStatus) -> Part {
    match status {
        KeyStatus::Fenced => Part::Refused(Refusal::Fenced),
        KeyStatus::Dropped | KeyStatus::Ran => Part::Dropped,
        KeyStatus::Doubt => Part::Doubt("the target did not answer completely".to_owned()),
        KeyStatus::Running => Part::Doubt("the execution was interrupted".to_owned()),
        KeyStatus::Forgotten => {
            Part::Doubt("the record of the key may have been forgotten".to_owned())
        }
    }
}

/// Answers with a request's answer or the state of its key; a key not seen before is fenced.
async fn ask(agent: Arc<Agent>, mut parts: Parts) -> Response<Body> {
    let open = match read_open(&mut parts).await {
        Ok(open) => open,
        Err(refused) => return refused,
    };
    fail::fail_point!("agent-before-ask");
    let ticket = open.ticket;
    if ticket.incarnation != agent.incarnation {
        return final_response(&agent, &ticket, replaced_part());
    }
    let (status, answer) = {
        let mut core = agent.core();
        let status = core.requests.resolve(clock::now(), &to_gate_ticket(&ticket));
        (status, agent.answers.find(&scoped_key(&ticket)))
    };
    match (status, answer) {
        (KeyStatus::Running | KeyStatus::Ran, Some(answer)) => {
            respond(&agent, &ticket, Reader::new(answer, open.from), false).await
        }
        (status, _) => final_response(&agent, &ticket, status_part(status)),
    }
}

/// Cancels a request if it is idempotent and still running; otherwise changes nothing.
fn cancel(agent: &Agent, ticket: &Ticket) -> Response<Body> {
    let answer = agent.answers.find(&scoped_key(ticket));
    if let Some(answer) = answer.filter(|_| ticket.incarnation == agent.incarnation) {
        answer.cancel();
    }
    Response::new(body::empty())
}

/// Answers with the state of a key and changes nothing.
fn look_up(agent: &Agent, ticket: &Ticket) -> Response<Body> {
    let key_status = match ticket.incarnation == agent.incarnation {
        true => agent.core().requests.peek(&to_gate_ticket(ticket)),
        false => Some(KeyStatus::Forgotten),
    };
    let standing = match key_status {
        Some(KeyStatus::Running) => WireStanding::Running,
        Some(KeyStatus::Ran | KeyStatus::Dropped) => WireStanding::Ran,
        Some(KeyStatus::Fenced) => WireStanding::Fenced,
        None => WireStanding::Absent,
        Some(KeyStatus::Doubt | KeyStatus::Forgotten) => WireStanding::Unknown,
    };
    let status = Status { standing, worker: agent.name.clone(), incarnation: agent.incarnation };
    Response::new(body::full(codec::pack(&status).unwrap_or_default()))
}

/// Answers with the parts of a request's answer as they arrive.
///
/// Waits for up to [`MARK_INTERVAL`] so that a short answer is sent whole. With `is_immediate` the
/// response begins at once, because the entry sends the rest of a request's body only after
/// [`Part::Admitted`].
async fn respond(
    agent: &Agent,
    ticket: &Ticket,
    mut reader: Reader,
    is_immediate: bool,
) -> Response<Body> {
    let wait_until = Instant::now() + MARK_INTERVAL;
    while !is_immediate && !reader.is_complete() {
        if time::timeout_at(wait_until, reader.wait_for_change()).await.is_err() {
            break;
        }
    }
    fail::fail_point!("agent-before-answer");
    let mut first_parts = vec![hello_part(agent, ticket)];
    first_parts.extend(reader.take());
    if reader.is_finished() {
        return Response::new(body::full(parts::encode(&first_parts).unwrap_or_default()));
    }
    let (sender, body) = body::channel();
    tokio::spawn(send_parts(first_parts, reader, sender));
    Response::new(body)
}

/// Sends the parts of an answer as they arrive, and [`Part::Mark`] at intervals without any.
async fn send_parts(mut parts: Vec<Part>, mut reader: Reader, mut sender: Sender) {
    loop {
        if !parts.is_empty() {
            let bytes = parts::encode(&parts).unwrap_or_default();
            if sender.send_data(bytes).await.is_err() {
                return;
            }
        }
        if reader.is_finished() {
            return;
        }
        parts = reader.take();
        if parts.is_empty() {
            let change = time::timeout(MARK_INTERVAL, reader.wait_for_change()).await;
            parts = if change.is_ok() { reader.take() } else { vec![Part::Mark] };
        }
    }
}
