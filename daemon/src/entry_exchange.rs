//! One request at one agent: its parts, recovered over fresh connections when one goes silent.

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

/// Time for which an agent that gives no answer is asked again.
const GIVE_UP: Duration = Duration::from_secs(4);
/// Pause between two questions to an agent that gives no answer.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Deadline of saying that nobody waits any more.
const CANCEL_DEADLINE: Duration = Duration::from_secs(1);

/// What an agent says next about a request.
#[derive(Debug)]
pub enum Event {
    /// It did not run there, and this entry's turn of it never will.
    Refused(Refusal),
    /// Its outcome is in doubt for good.
    Doubt(String),
    /// It ran, but its answer is no longer kept.
    Dropped,
    /// The head of its answer.
    Head(lavendergauge_wire::part::Head),
    /// Bytes of its answer's body.
    Data(Bytes),
    /// Its answer is whole.
    End(End),
}

/// A request at an agent.
pub struct Exchange {
    entry: Arc<Entry>,
    address: String,
    open: Open,
    parts: Option<Parts>,
    hash: Sha256,
    received: u64,
    headed: bool,
    heard: Option<Hello>,
    admitted: entry_upload::Signal,
    /// Whether the request may have reached the agent's process before.
    suspected: bool,
    over: bool,
}

impl Exchange {
    /// Makes an exchange with the agent at an address; nothing is sent yet.
    pub fn new(entry: &Arc<Entry>, address: &str, open: Open) -> Self {
        Exchange {
            entry: entry.clone(),
            address: address.to_owned(),
            open,
            parts: None,
            hash: Sha256::new(),
            received: 0,
            headed: false,
            heard: None,
            admitted: entry_upload::Signal::default(),
            suspected: false,
            over: false,
        }
    }

    /// Makes an exchange about a request that another entry may have handed over.
    pub fn follow(entry: &Arc<Entry>, address: &str, open: Open) -> Self {
        let mut exchange = Exchange::new(entry, address, open);
        exchange.suspected = true;
        exchange
    }

    /// Returns what the agent said of itself.
    pub fn heard(&self) -> Option<&Hello> {
        self.heard.as_ref()
    }

    /// Hands the request over and returns what the agent says first.
    pub async fn run(&mut self, call: &mut Call) -> Event {
        fail::fail_point!("entry-before-send", |_| Event::Refused(Refusal::Unreachable));
        let (body, signal) = entry_upload::body(&self.open, call);
        self.admitted = signal;
        let sent = post(&self.entry.client, &self.address, RUN_PATH, body).await;
        fail::fail_point!("entry-after-send", |_| self.doubt("injected"));
        match sent {
            Ok(parts) => self.parts = Some(parts),
            Err(Failure::NeverSent) => {
                self.over = true;
                return Event::Refused(Refusal::Unreachable);
            }
            Err(Failure::InDoubt(cause)) => self.suspect(&cause),
        }
        self.next().await
    }

    /// Waits for what the agent says next, recovering it when the connection fails.
    pub async fn next(&mut self) -> Event {
        let mut failing: Option<Instant> = None;
        loop {
            if let Some(parts) = &mut self.parts {
                match parts.next().await {
                    Ok(part) => match self.take(part) {
                        Some(event) => return event,
                        None => continue,
                    },
                    Err(error) => self.suspect(&error.to_string()),
                }
            }
            self.parts = None;
            if GIVE_UP < failing.get_or_insert_with(Instant::now).elapsed() {
                return self.doubt("the agent gives no answer");
            }
            if self.is_replaced() {
                return self.doubt("the agent's process is gone");
            }
            match self.ask().await {
                Ok(parts) => self.parts = Some(parts),
                Err(_) => time::sleep(ASK_AGAIN).await,
            }
        }
    }

    /// Returns what the agent has already said.
    pub fn try_next(&mut self) -> Option<Event> {
        loop {
            let part = self.parts.as_mut()?.try_next().ok()??;
            if let Some(event) = self.take(part) {
                return Some(event);
            }
        }
    }

    /// Takes in one part; the parts of another request or attempt are dropped.
    fn take(&mut self, part: Part) -> Option<Event> {
        match part {
            Part::Hello(hello) if self.is_own(&hello) => {
                self.heard = Some(hello);
                None
            }
            Part::Admitted => {
                self.admitted.send();
                None
            }
            Part::Refused(Refusal::Replaced) if self.suspected || self.headed => {
                Some(self.doubt("the agent's process is gone"))
            }
            Part::Refused(Refusal::Stale) if self.suspected => {
                Some(self.doubt("the record may have been forgotten"))
            }
            Part::Refused(refusal) if !self.headed => {
                self.over = true;
                Some(Event::Refused(refusal))
            }
            Part::Head(_) if self.headed => None,
            Part::Head(head) => {
                self.headed = true;
                Some(Event::Head(head))
            }
            Part::Data(data) => {
                self.hash.update(&data);
                self.received += data.len() as u64;
                Some(Event::Data(data))
            }
            Part::End(end) if self.is_whole(&end) => {
                self.over = true;
                Some(Event::End(end))
            }
            Part::Doubt(text) => Some(self.doubt(&text)),
            Part::Dropped => {
                self.over = true;
                Some(Event::Dropped)
            }
            Part::Hello(_) => {
                self.suspect("the answer belongs to another request");
                self.parts = None;
                None
            }
            _ => Some(self.doubt("the answer is not whole")),
        }
    }

    fn is_own(&self, hello: &Hello) -> bool {
        let ticket = &self.open.ticket;
        hello.key == ticket.key
            && hello.attempt == ticket.attempt
            && hello.incarnation == ticket.incarnation
            || hello.incarnation != ticket.incarnation && !self.headed
    }

    fn is_whole(&self, end: &End) -> bool {
        self.headed
            && end.length == self.received
            && end.digest[..] == self.hash.clone().finalize()[..]
    }

    fn doubt(&mut self, text: &str) -> Event {
        self.over = true;
        Event::Doubt(text.to_owned())
    }

    fn suspect(&mut self, cause: &str) {
        self.suspected = true;
        log::warn!(
            "event=in-doubt key={} worker={} received={} cause=\"{cause}\"",
            self.open.ticket.key,
            self.open.ticket.worker,
            self.received
        );
    }

    /// Tells whether another process has taken the place of the agent.
    fn is_replaced(&self) -> bool {
        let worker = lavendergauge_lib::name::Name::from(&self.open.ticket.worker);
        let core = self.entry.core();
        let known = core.members.find(&worker);
        known.is_some_and(|member| member.frame.incarnation != self.open.ticket.incarnation)
    }

    /// Asks for the rest of the answer over a fresh connection.
    async fn ask(&self) -> Result<Parts, Failure> {
        let open = Open { headers: Vec::new(), from: self.received, ..self.open.clone() };
        let bytes = parts::encode(&[Part::Open(Box::new(open))]).unwrap_or_default();
        post(&self.entry.fresh, &self.address, ASK_PATH, body::full(bytes)).await
    }
}

impl Drop for Exchange {
    /// Tells the agent that nobody waits any more for an idempotent request.
    fn drop(&mut self) {
        if self.over || !self.open.ticket.idempotent {
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
    NeverSent,
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
