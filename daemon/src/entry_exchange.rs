//! One request to one agent: sends it and receives the parts of the answer.
//!
//! When a connection fails or falls silent, the rest of the answer is requested over a new one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::parts;
use lavendergauge_net::parts::Parts;
use lavendergauge_net::parts::SILENCE_LIMIT;
use lavendergauge_wire::codec;
use lavendergauge_wire::part::End;
use lavendergauge_wire::part::Hello;
use lavendergauge_wire::part::Open;
use lavendergauge_wire::part::Part;
use lavendergauge_wire::part::Refusal;
use sha2::Digest;
use sha2::Sha256;
use tokio::time;
use tokio::time::Instant;

use crate::agent_service::ASK_PATH;
use crate::agent_service::CANCEL_PATH;
use crate::agent_service::RUN_PATH;
use crate::entry::Entry;
use crate::entry_call::Call;
use crate::entry_upload;

/// Time for which the rest of the answer is requested from an agent that gives no answer.
const RECOVERY_LIMIT: Duration = Duration::from_secs(4);
/// Pause between two such requests.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Deadline of the call that cancels a request.
const CANCEL_DEADLINE: Duration = Duration::from_secs(1);

/// The next event of a request at an agent.
#[derive(Debug)]
pub enum Event {
    /// The request did not run there, and this attempt never will.
    Refused(Refusal),
    /// The outcome is in doubt and will not be resolved; the cause.
    InDoubt(String),
    /// The request ran, but its answer is no longer kept.
    Dropped,
    /// The head of the answer.
    Head(lavendergauge_wire::part::Head),
    /// Bytes of the answer's body.
    Data(Bytes),
    /// The answer has ended, and all of it has been received.
    End(End),
}

/// The exchange of a request and its answer with an agent.
pub struct Exchange {
    entry: Arc<Entry>,
    address: String,
    open: Open,
    parts: Option<Parts>,
    /// Hash of the answer's body so far.
    hash: Sha256,
    /// Bytes of the answer's body so far.
    received: u64,
    has_head: bool,
    hello: Option<Hello>,
    admitted: entry_upload::Signal,
    /// Whether the request may already have reached the agent's process.
    may_have_arrived: bool,
    /// Whether the last event has been returned.
    is_ended: bool,
}

impl Exchange {
    /// Makes an exchange with the agent at an address, without sending anything.
    pub fn new(entry: &Arc<Entry>, address: &str, open: Open) -> Self {
        Exchange {
            entry: entry.clone(),
            address: address.to_owned(),
            open,
            parts: None,
            hash: Sha256::new(),
            received: 0,
            has_head: false,
            hello: None,
            admitted: entry_upload::Signal::default(),
            may_have_arrived: false,
            is_ended: false,
        }
    }

    /// Makes an exchange that receives the answer of a request that another entry may have sent.
    pub fn follow(entry: &Arc<Entry>, address: &str, open: Open) -> Self {
        let mut exchange = Exchange::new(entry, address, open);
        exchange.may_have_arrived = true;
        exchange
    }

    /// Returns the agent's description of itself, once it has been received.
    pub fn hello(&self) -> Option<&Hello> {
        self.hello.as_ref()
    }

    /// Sends the request and returns the first event.
    pub async fn run(&mut self, call: &mut Call) -> Event {
        fail::fail_point!("entry-before-send", |_| Event::Refused(Refusal::Unreachable));
        let (body, signal) = entry_upload::body(&self.open, call);
        self.admitted = signal;
        let sent = post(&self.entry.client, &self.address, RUN_PATH, body).await;
        fail::fail_point!("entry-after-send", |_| self.end_in_doubt("injected"));
        match sent {
            Ok(parts) => self.parts = Some(parts),
            Err(Failure::NeverSent) => {
                self.is_ended = true;
                return Event::Refused(Refusal::Unreachable);
            }
            Err(Failure::InDoubt(cause)) => self.mark_in_doubt(&cause),
        }
        self.next().await
    }

    /// Waits for the next event; requests the rest of the answer again when the connection fails.
    pub async fn next(&mut self) -> Event {
        let mut failing_since: Option<Instant> = None;
        loop {
            if let Some(parts) = &mut self.parts {
                match parts.next().await {
                    Ok(part) => match self.apply(part) {
                        Some(event) => return event,
                        None => continue,
                    },
                    Err(error) => self.mark_in_doubt(&error.to_string()),
                }
            }
            self.parts = None;
            if RECOVERY_LIMIT < failing_since.get_or_insert_with(Instant::now).elapsed() {
                return self.end_in_doubt("the agent gives no answer");
            }
            if self.is_replaced() {
                return self.end_in_doubt("the agent's process is gone");
            }
            match self.request_rest().await {
                Ok(parts) => self.parts = Some(parts),
                Err(_) => time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Returns the next event if it has already been received.
    pub fn try_next(&mut self) -> Option<Event> {
        loop {
            let part = self.parts.as_mut()?.try_next().ok()??;
            if let Some(event) = self.apply(part) {
                return Some(event);
            }
        }
    }

    /// Applies one part and returns the event that it makes, if any.
    ///
    /// When the answer belongs to another request, its connection is dropped.
    fn apply(&mut self, part: Part) -> Option<Event> {
        match part {
            Part::Hello(hello) if self.is_own(&hello) => {
                self.hello = Some(hello);
                None
            }
            Part::Admitted => {
                self.admitted.send();
                None
            }
            Part::Refused(Refusal::Replaced) if self.may_have_arrived || self.has_head => {
                Some(self.end_in_doubt("the agent's process is gone"))
            }
            Part::Refused(Refusal::Stale) if self.may_have_arrived => {
                Some(self.end_in_doubt("the record may have been forgotten"))
            }
            Part::Refused(refusal) if !self.has_head => {
                self.is_ended = true;
                Some(Event::Refused(refusal))
            }
            Part::Head(_) if self.has_head => None,
            Part::Head(head) => {
                self.has_head = true;
                Some(Event::Head(head))
            }
            Part::Data(data) => {
                self.hash.update(&data);
                self.received += data.len() as u64;
                Some(Event::Data(data))
            }
            Part::End(end) if self.is_whole(&end) => {
                self.is_ended = true;
                Some(Event::End(end))
            }
            Part::Doubt(text) => Some(self.end_in_doubt(&text)),
            Part::Dropped => {
                self.is_ended = true;
                Some(Event::Dropped)
            }
            Part::Hello(_) => {
                self.mark_in_doubt("the answer belongs to another request");
                self.parts = None;
                None
            }
            _ => Some(self.end_in_doubt("the answer is not whole")),
        }
    }

    fn is_own(&self, hello: &Hello) -> bool {
        let ticket = &self.open.ticket;
        hello.key == ticket.key
            && hello.attempt == ticket.attempt
            && hello.incarnation == ticket.incarnation
            || hello.incarnation != ticket.incarnation && !self.has_head
    }

    fn is_whole(&self, end: &End) -> bool {
        self.has_head
            && end.length == self.received
            && end.digest[..] == self.hash.clone().finalize()[..]
    }

    fn end_in_doubt(&mut self, text: &str) -> Event {
        self.is_ended = true;
        Event::InDoubt(text.to_owned())
    }

    fn mark_in_doubt(&mut self, cause: &str) {
        self.may_have_arrived = true;
        log::warn!(
            "event=in-doubt key={} worker={} received={} cause=\"{cause}\"",
            self.open.ticket.key,
            self.open.ticket.worker,
            self.received
        );
    }

    /// Tells whether the agent's process has been replaced by another one on its worker.
    fn is_replaced(&self) -> bool {
        let worker = lavendergauge_lib::name::Name::from(&self.open.ticket.worker);
        let core = self.entry.core();
        let known = core.workers.find(&worker);
        known.is_some_and(|agent| agent.frame.incarnation != self.open.ticket.incarnation)
    }

    /// Requests the rest of the answer over a new connection.
    async fn request_rest(&self) -> Result<Parts, Failure> {
        let open = Open { headers: Vec::new(), from: self.received, ..self.open.clone() };
        let bytes = parts::encode(&[Part::Open(Box::new(open))]).unwrap_or_default();
        post(&self.entry.fresh_client, &self.address, ASK_PATH, body::full(bytes)).await
    }
}

impl Drop for Exchange {
    /// Cancels an idempotent request that has not ended, since no caller waits for it any more.
    fn drop(&mut self) {
        if self.is_ended || !self.open.ticket.idempotent {
            return;
        }
        let client = self.entry.client.clone();
        let address = self.address.clone();
        let ticket = self.open.ticket.clone();
        tokio::spawn(async move {
            let body = body::full(codec::pack(&ticket).unwrap_or_default());
            if let Ok(request) = request(&address, CANCEL_PATH, body) {
                let _ = client.fetch(request, CANCEL_DEADLINE).await;
            }
        });
    }
}

/// Why an agent gave no answer.
enum Failure {
    /// The request cannot have reached the agent.
    NeverSent,
    /// The request may have reached the agent; the cause.
    InDoubt(String),
}

fn request(address: &str, path: &str, body: Body) -> hyper::http::Result<Request<Body>> {
    Request::builder().method(Method::POST).uri(format!("http://{address}{path}")).body(body)
}

async fn post(client: &Client, address: &str, path: &str, body: Body) -> Result<Parts, Failure> {
    let request = request(address, path, body).map_err(|_| Failure::NeverSent)?;
    match client.send(request, SILENCE_LIMIT).await {
        Ok(response) if response.status().is_success() => Ok(Parts::new(response.into_body())),
        Ok(response) => Err(Failure::InDoubt(format!("status {}", response.status()))),
        Err(error) if error.never_sent() => Err(Failure::NeverSent),
        Err(error) => Err(Failure::InDoubt(error.to_string())),
    }
}
