//! Relays between a worker's agent and the entries, through which a test can break their
//! connections.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_fakes::http;
use lavendergauge_fakes::http::Call;
use lavendergauge_fakes::http::Server;
use lavendergauge_fakes::relay::Relay;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Reply;
use lavendergauge_wire::codec;

/// Deadline of one forwarded announcement.
const DEADLINE: Duration = Duration::from_secs(5);

/// The relays of one worker.
pub struct Relays {
    /// Relay from the entries to the agent; set once the agent listens.
    pub to_agent: Arc<OnceLock<Relay>>,
    /// Relays from the agent to each entry, in the order of the entries.
    pub to_entries: Vec<Relay>,
    _servers: Vec<Server>,
}

impl Relays {
    /// Starts a relay to each entry in `entries`, given by address.
    ///
    /// Announcements through them are rewritten to name the address of the relay to the agent, so
    /// that entries send their commands through that relay.
    pub async fn start(entries: &[String]) -> Self {
        let to_agent = Arc::new(OnceLock::new());
        let mut servers = Vec::new();
        let mut to_entries = Vec::new();
        for entry in entries {
            let server = start_forwarder(entry.clone(), to_agent.clone()).await;
            to_entries.push(Relay::start(server.address()).await);
            servers.push(server);
        }
        Relays { to_agent, to_entries, _servers: servers }
    }

    /// Starts the relay from the entries to the agent's address.
    pub async fn start_to_agent(&self, agent: String) {
        let _ = self.to_agent.set(Relay::start(agent).await);
    }

    /// Silences every connection that is open now, for good. New connections work.
    pub fn freeze(&self) {
        self.to_entries.iter().for_each(Relay::freeze);
        if let Some(to_agent) = self.to_agent.get() {
            to_agent.freeze();
        }
    }
}

/// Starts a server that forwards announcements to an entry, with the address of the relay to the
/// agent in place of the agent's own.
async fn start_forwarder(entry: String, to_agent: Arc<OnceLock<Relay>>) -> Server {
    let client = Client::default();
    http::start(move |call| {
        let (client, entry, to_agent) = (client.clone(), entry.clone(), to_agent.clone());
        async move {
            let forwarded = forward(&client, &entry, to_agent.get(), &call).await;
            forwarded.unwrap_or_else(|| http::status(StatusCode::SERVICE_UNAVAILABLE))
        }
    })
    .await
}

/// Forwards one announcement and returns the answer; `None` if it cannot be read, the relay to the
/// agent is not up yet, or the entry does not answer.
async fn forward(
    client: &Client,
    entry: &str,
    to_agent: Option<&Relay>,
    call: &Call,
) -> Option<Response<Body>> {
    let mut frame: Frame = codec::unpack(&call.body).ok()?;
    frame.address = to_agent?.address();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{}", call.path))
        .body(body::full(codec::pack(&frame).ok()?))
        .ok()?;
    let forwarded_headers = call
        .headers
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("lavendergauge") || *name == "authorization");
    request
        .headers_mut()
        .extend(forwarded_headers.map(|(name, value)| (name.clone(), value.clone())));
    let answer = client.fetch(request, DEADLINE).await.ok()?;
    let (head, bytes) = answer.into_parts();
    // Without the addresses of the entries, the agent keeps announcing itself through the relays.
    let bytes = match codec::unpack::<Reply>(&bytes) {
        Ok(reply) => codec::pack(&Reply { entries: Vec::new(), ..reply }).ok()?,
        Err(_) => bytes,
    };
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = head.status;
    Some(response)
}
