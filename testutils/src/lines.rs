//! A worker's connections to and from entries, led through relays that can break them.

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

/// Deadline of one announcement that is passed on.
const DEADLINE: Duration = Duration::from_secs(5);

/// The relays of one worker.
pub struct Lines {
    /// From entries to the agent, once that listens.
    pub front: Arc<OnceLock<Relay>>,
    /// From the agent to each entry.
    pub up: Vec<Relay>,
    _servers: Vec<Server>,
}

impl Lines {
    /// Leads announcements to entries through relays; they will name the front relay's address.
    pub async fn start(entries: &[String]) -> Self {
        let front = Arc::new(OnceLock::new());
        let mut servers = Vec::new();
        let mut up = Vec::new();
        for entry in entries {
            let server = announcer(entry.clone(), front.clone()).await;
            up.push(Relay::start(server.address()).await);
            servers.push(server);
        }
        Lines { front, up, _servers: servers }
    }

    /// Leads commands through a relay to the agent's address.
    pub async fn lead(&self, agent: String) {
        let _ = self.front.set(Relay::start(agent).await);
    }

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn freeze(&self) {
        self.up.iter().for_each(Relay::freeze);
        if let Some(front) = self.front.get() {
            front.freeze();
        }
    }
}

/// Starts a server that passes announcements on with the front relay's address in them.
async fn announcer(entry: String, front: Arc<OnceLock<Relay>>) -> Server {
    let client = Client::default();
    http::start(move |call| {
        let (client, entry, front) = (client.clone(), entry.clone(), front.clone());
        async move {
            let passed = pass_on(&client, &entry, front.get(), &call).await;
            passed.unwrap_or_else(|| http::status(StatusCode::SERVICE_UNAVAILABLE))
        }
    })
    .await
}

async fn pass_on(
    client: &Client,
    entry: &str,
    front: Option<&Relay>,
    call: &Call,
) -> Option<Response<Body>> {
    let mut frame: Frame = codec::unpack(&call.body).ok()?;
    frame.address = front?.address();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{}", call.path))
        .body(body::full(codec::pack(&frame).ok()?))
        .ok()?;
    let own = call
        .headers
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("lavendergauge") || *name == "authorization");
    request.headers_mut().extend(own.map(|(name, value)| (name.clone(), value.clone())));
    let answer = client.fetch(request, DEADLINE).await.ok()?;
    let (head, bytes) = answer.into_parts();
    // The agent goes on announcing itself through the relays.
    let bytes = match codec::unpack::<Reply>(&bytes) {
        Ok(reply) => codec::pack(&Reply { entries: Vec::new(), ..reply }).ok()?,
        Err(_) => bytes,
    };
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = head.status;
    Some(response)
}
