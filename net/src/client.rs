//! An HTTP client with a deadline on every call.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use lavendergauge_wire::codec;

use crate::body;
use crate::body::Body;
use crate::connector::Connector;
use crate::tls::Trust;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Header in which a process of the fleet shows the fleet's key.
pub const FLEET_KEY_HEADER: &str = "lavendergauge-fleet-key";
/// Most bytes of an answer that is read whole.
pub const ANSWER_LIMIT: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so the request never left.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The deadline passed; the request may have been carried out.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The connection broke; the request may have been carried out.
    #[error("connection broke: {0}")]
    Broken(String),
    /// A body could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The peer answered with an error status.
    #[error("status {status}: {text}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// The answer's body as text.
        text: String,
    },
    /// The request could not be built.
    #[error("malformed request: {0}")]
    Malformed(String),
}

impl Error {
    /// Tells whether the request certainly never reached the peer.
    ///
    /// ```
    /// use lavendergauge_net::client::Error;
    /// assert!(Error::Connect("refused".to_owned()).never_sent());
    /// ```
    pub fn never_sent(&self) -> bool {
        matches!(self, Error::Connect(_) | Error::Malformed(_))
    }
}

/// How a client keeps its connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most connections at a time, busy and idle, to all peers together.
    pub connections: usize,
    /// Most idle connections to one peer; 0 opens a fresh one for each request.
    pub idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options { connections: 4096, idle: 64, idle_timeout: IDLE_TIMEOUT }
    }
}

/// A pooled HTTP client.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<Connector, Body>,
    fleet_key: Option<HeaderValue>,
    trust: Option<Trust>,
}

impl Default for Client {
    fn default() -> Self {
        Client::new(Options::default())
    }
}

impl Client {
    /// Makes a client.
    ///
    /// ```
    /// use lavendergauge_net::client::{Client, Options};
    /// let _client = Client::new(Options { idle: 0, ..Options::default() });
    /// ```
    pub fn new(options: Options) -> Self {
        Client::with_trust(options, None)
    }

    /// Makes a client that speaks TLS with peers whose certificate an authority has signed.
    ///
    /// ```
    /// use lavendergauge_net::client::{Client, Options};
    /// let _client = Client::with_trust(Options::default(), None);
    /// ```
    pub fn with_trust(options: Options, trust: Option<Trust>) -> Self {
        let connector = Connector::new(options.connections, trust.clone());
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .pool_max_idle_per_host(options.idle)
            .retry_canceled_requests(true)
            .build(connector);
        Client { pool, fleet_key: None, trust }
    }

    /// Makes a client that shows the fleet's key with every request; an empty key shows nothing.
    ///
    /// It is for calls to the fleet's own processes and to nobody else.
    ///
    /// ```no_run
    /// let _client = lavendergauge_net::client::Client::for_fleet("0123456789abcdef", None);
    /// ```
    pub fn for_fleet(key: &str, trust: Option<Trust>) -> Self {
        Client { fleet_key: secret(key), ..Client::with_trust(Options::default(), trust) }
    }

    /// Makes a client that shows the fleet's key and keeps its connections by some options.
    ///
    /// ```
    /// use lavendergauge_net::client::{Client, Options};
    /// let _client = Client::for_fleet_with("0123456789abcdef", Options::default());
    /// ```
    pub fn for_fleet_with(key: &str, options: Options) -> Self {
        Client { fleet_key: secret(key), ..Client::new(options) }
    }

    /// Makes a client that shows the same key and opens a new connection for each request.
    ///
    /// ```no_run
    /// let _fresh = lavendergauge_net::client::Client::default().fresh();
    /// ```
    pub fn fresh(&self) -> Self {
        let options = Options { idle: 0, ..Options::default() };
        let fresh = Client::with_trust(options, self.trust.clone());
        Client { fleet_key: self.fleet_key.clone(), ..fresh }
    }

    /// Sends a request and returns the answer's head with its body still streaming.
    ///
    /// # Errors
    /// [`Error::Connect`] when it never left, [`Error::Timeout`] or [`Error::Broken`] when its
    /// fate is in doubt.
    pub async fn send(
        &self,
        mut request: Request<Body>,
        deadline: Duration,
    ) -> Result<Response<Incoming>, Error> {
        if let Some(key) = &self.fleet_key {
            request.headers_mut().insert(FLEET_KEY_HEADER, key.clone());
        }
        match time::timeout(deadline, self.pool.request(request)).await {
            Err(_) => Err(Error::Timeout(deadline)),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Error::Connect(describe(&error))),
            Ok(Err(error)) => Err(Error::Broken(describe(&error))),
        }
    }

    /// Sends a request and reads the whole answer, within one deadline.
    ///
    /// # Errors
    /// As [`Client::send`]; an error status is no error here.
    pub async fn fetch(
        &self,
        request: Request<Body>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let whole = async {
            let (head, body) = self.send(request, deadline).await?.into_parts();
            let bytes = body::collect(body, ANSWER_LIMIT)
                .await
                .map_err(|cause| Error::Broken(cause.to_string()))?;
            Ok(Response::from_parts(head, bytes))
        };
        time::timeout(deadline, whole).await.unwrap_or(Err(Error::Timeout(deadline)))
    }

    /// Posts a value as MessagePack and decodes the answer's MessagePack.
    ///
    /// # Errors
    /// As [`Client::fetch`], and [`Error::Status`] when the status is not a success.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        value: &Q,
        deadline: Duration,
    ) -> Result<A, Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, codec::MESSAGE_PACK)
            .body(body::full(codec::pack(value)?))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let response = self.fetch(request, deadline).await?;
        let status = response.status();
        if !status.is_success() {
            let text = String::from_utf8_lossy(response.body()).into_owned();
            return Err(Error::Status { status: status.as_u16(), text });
        }
        Ok(codec::unpack(response.body())?)
    }
}

/// Returns a header value that no log shows; `None` for an empty key.
fn secret(key: &str) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_str(key).ok().filter(|key| !key.is_empty())?;
    value.set_sensitive(true);
    Some(value)
}

/// Writes an error with its sources.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
