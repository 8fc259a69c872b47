//! Executes one request at the target.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::TE;
use lavendergauge_lib::name::Name;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Sender;
use lavendergauge_net::client;
use lavendergauge_net::header;
use lavendergauge_net::parts::Parts;
use lavendergauge_wire::part::DATA_LIMIT;
use lavendergauge_wire::part::End;
use lavendergauge_wire::part::Head;
use lavendergauge_wire::part::Headers;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::part::Part;
use lavendergauge_wire::part::Refusal;
use sha2::Digest;
use sha2::Sha256;
use tokio::time;

use crate::agent::Agent;
use crate::agent_answer::Answer;
use crate::clock;

/// Shortest time limit of one execution at the target.
const MIN_TIME_LIMIT: Duration = Duration::from_secs(300);
/// Longest time limit of one execution at the target.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3600);
/// Time after which an idempotent execution without a reader is aborted.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(2500);

/// How an execution ended.
enum Outcome {
    /// The target's answer arrived completely; its trailers.
    Complete(Headers),
    /// The request did not reach the target, for this reason.
    NotRun(Refusal),
    /// The target may have executed some or all of the request; what went wrong.
    InDoubt(String),
}

/// Executes an admitted request and records its outcome.
///
/// The execution goes on when the entry closes its connection. Only an idempotent request is
/// aborted, once it is cancelled or its answer has had no reader for `ORPHAN_TIMEOUT`.
pub async fn run(open: Open, parts: Parts, execution: Execution) {
    let answer = execution.answer.clone();
    let time_limit = Duration::from_millis(open.ticket.deadline_ms);
    let time_limit = time_limit.clamp(MIN_TIME_LIMIT, MAX_TIME_LIMIT);
    let is_idempotent = open.ticket.idempotent;
    let aborted = async {
        match is_idempotent {
            true => answer.wait_for_abort(ORPHAN_TIMEOUT).await,
            false => std::future::pending().await,
        }
    };
    let outcome = tokio::select! {
        outcome = time::timeout(time_limit, execute(&execution, open, parts)) =>
            outcome.unwrap_or_else(|_| Outcome::InDoubt("the target took too long".to_owned())),
        () = aborted => Outcome::InDoubt("no caller waits for the answer any more".to_owned()),
    };
    execution.record_outcome(outcome);
}

/// An admitted request that holds a slot.
///
/// Its outcome is recorded when it is dropped, if that has not happened before, so that the slot is
/// freed even when the task that executes it panics or is cancelled.
pub struct Execution {
    agent: Arc<Agent>,
    key: Name,
    answer: Arc<Answer>,
    /// Whether any part of the request may have reached the target.
    may_have_reached_target: AtomicBool,
}

impl Execution {
    /// Makes an execution of a request that the gate has just admitted.
    pub fn new(agent: Arc<Agent>, key: Name, answer: Arc<Answer>) -> Self {
        Execution { agent, key, answer, may_have_reached_target: AtomicBool::new(false) }
    }

    /// Records the outcome.
    ///
    /// The slot is freed before readers see the end of the answer, so that a caller that has its
    /// answer finds the slot free.
    fn record_outcome(&self, outcome: Outcome) {
        let now = clock::now();
        let dropped = {
            let mut core = self.agent.core();
            match &outcome {
                Outcome::Complete(_) => {
                    core.requests.finish(now, &self.key, self.answer.kept_bytes())
                }
                Outcome::NotRun(_) => {
                    core.requests.release(now, &self.key);
                    vec![self.key.clone()]
                }
                Outcome::InDoubt(_) => {
                    core.requests.mark_in_doubt(now, &self.key);
                    vec![self.key.clone()]
                }
            }
        };
        self.agent.answers.forget(&dropped);
        match outcome {
            Outcome::Complete(trailers) => self.answer.finish(trailers),
            Outcome::NotRun(refusal) => self.answer.refuse(refusal),
            Outcome::InDoubt(text) => self.answer.mark_in_doubt(text),
        }
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        let is_running = self.agent.core().requests.is_running(&self.key);
        if !is_running {
            return;
        }
        self.record_outcome(match self.may_have_reached_target.load(Ordering::Acquire) {
            true => Outcome::InDoubt("the execution was interrupted".to_owned()),
            false => Outcome::NotRun(Refusal::Cut),
        });
    }
}

/// Sends the request to the target and receives its answer.
///
/// The target is called only once the body has arrived completely or its first [`DATA_LIMIT`]
/// bytes have; a request that is cut off before that has certainly not run.
async fn execute(execution: &Execution, open: Open, mut parts: Parts) -> Outcome {
    let (agent, answer) = (&execution.agent, &execution.answer);
    let prefix = match read_prefix(&mut parts).await {
        Ok(prefix) => prefix,
        Err(refusal) => return Outcome::NotRun(refusal),
    };
    fail::fail_point!("agent-before-target", |_| Outcome::NotRun(Refusal::Cut));
    let (body, upload) = match prefix {
        Prefix::Complete(body, end) => (complete_body(body, &end), None),
        Prefix::Partial(prefix, hash) => {
            let (sender, body) = body::channel();
            (body, Some(Upload { parts, sender, prefix, hash }))
        }
    };
    let Some(request) = target_request(agent, &open, body) else {
        return Outcome::NotRun(Refusal::Cut);
    };
    execution.may_have_reached_target.store(true, Ordering::Release);
    let sending = agent.target_client.send(request, MAX_TIME_LIMIT);
    let response = match upload {
        None => sending.await,
        Some(upload) => send_streamed(sending, upload).await,
    };
    fail::fail_point!("agent-after-target", |_| Outcome::InDoubt("injected".to_owned()));
    match response {
        Ok(response) => receive(response, answer).await,
        Err(error) if error.never_sent() => Outcome::NotRun(Refusal::Unreachable),
        Err(error) => Outcome::InDoubt(error.to_string()),
    }
}

/// Builds the request to the target; `None` if its method or path is malformed.
fn target_request(agent: &Agent, open: &Open, body: Body) -> Option<Request<Body>> {
    let mut request = Request::builder()
        .method(open.method.as_str())
        .uri(format!("http://{}{}", agent.settings.target_address, open.path))
        .body(body)
        .ok()?;
    *request.headers_mut() = header::to_map(&open.headers);
    request.headers_mut().insert(TE, HeaderValue::from_static("trailers"));
    Some(request)
}

/// The part of a request's body that is received before the target is called.
enum Prefix {
    /// The whole body, and its last part.
    Complete(Bytes, End),
    /// The beginning of a longer body, and the state of its hash.
    Partial(Bytes, Sha256),
}

/// Reads a body to its end or to [`DATA_LIMIT`], whichever comes first.
async fn read_prefix(parts: &mut Parts) -> Result<Prefix, Refusal> {
    let mut hash = Sha256::new();
    let mut prefix = BytesMut::new();
    loop {
        match parts.next().await {
            Ok(Part::Data(data)) => {
                hash.update(&data);
                prefix.extend_from_slice(&data);
                if DATA_LIMIT <= prefix.len() {
                    return Ok(Prefix::Partial(prefix.freeze(), hash));
                }
            }
            Ok(Part::End(end)) if is_complete(&end, prefix.len() as u64, hash.clone()) => {
                return Ok(Prefix::Complete(prefix.freeze(), end));
            }
            _ => return Err(Refusal::Cut),
        }
    }
}

/// Tells whether the received body has the length and SHA-256 digest that its sender states.
fn is_complete(end: &End, length: u64, hash: Sha256) -> bool {
    end.length == length && end.digest[..] == hash.finalize()[..]
}

/// Makes the request body of data that has arrived completely.
fn complete_body(body: Bytes, end: &End) -> Body {
    if end.trailers.is_empty() {
        return body::full(body);
    }
    let trailers = header::to_map(&end.trailers);
    let trailers = async move { Some(Ok(trailers)) };
    http_body_util::Full::new(body).with_trailers(trailers).map_err(|never| match never {}).boxed()
}

/// A request's body that is forwarded to the target while it arrives.
struct Upload {
    parts: Parts,
    sender: Sender,
    /// The data received before the target was called, which `hash` includes.
    prefix: Bytes,
    hash: Sha256,
}

/// Sends a request while its body still arrives.
///
/// The upload goes on after the head of the answer has come, and is aborted if the call fails.
async fn send_streamed(
    sending: impl Future<Output = Result<Response<Incoming>, client::Error>>,
    upload: Upload,
) -> Result<Response<Incoming>, client::Error> {
    tokio::pin!(sending);
    let uploading = tokio::spawn(forward_body(upload));
    let response = sending.await;
    if response.is_err() {
        uploading.abort();
    }
    response
}

/// Forwards a body to the target; aborts the request if the body does not arrive completely.
async fn forward_body(mut upload: Upload) {
    let mut length = upload.prefix.len() as u64;
    let mut next = Ok(Part::Data(upload.prefix.clone()));
    let mut is_prefix = true;
    loop {
        match next {
            Ok(Part::Data(data)) => {
                if !is_prefix {
                    upload.hash.update(&data);
                    length += data.len() as u64;
                }
                is_prefix = false;
                if upload.sender.send_data(data).await.is_err() {
                    return;
                }
            }
            Ok(Part::End(end)) if is_complete(&end, length, upload.hash.clone()) => {
                if !end.trailers.is_empty() {
                    let _ = upload.sender.send_trailers(header::to_map(&end.trailers)).await;
                }
                return;
            }
            _ => return upload.sender.abort("the request's body is incomplete".into()),
        }
        next = upload.parts.next().await;
    }
}

/// Stores the target's answer as it arrives.
async fn receive(response: Response<Incoming>, answer: &Answer) -> Outcome {
    let (head, mut body) = response.into_parts();
    let headers = header::end_to_end(&head.headers);
    answer.set_head(Head { status: head.status.as_u16(), headers });
    let mut trailers = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => answer.push(data).await,
            Ok(Err(other)) => {
                let trailer_lines = other.into_trailers().unwrap_or_default();
                trailers = header::end_to_end(&trailer_lines);
            }
            Err(error) => {
                return Outcome::InDoubt(format!("the target's answer is incomplete: {error}"));
            }
        }
    }
    Outcome::Complete(trailers)
}
