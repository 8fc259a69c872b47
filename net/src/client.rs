//! A pooled HTTP client with a deadline for every call.

use std::io;
use std::iter;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use lavendergauge_wire::codec;

use crate::abort;
use crate::body;
use crate::body::Body;
use crate::connector::Connector;
use crate::tls::Trust;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Header that carries the fleet's key in calls between the fleet's processes.
pub const FLEET_KEY_HEADER: &str = "lavendergauge-fleet-key";
/// Maximum length of a response body that is read whole, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// Nothing listens at the address, so the request was not sent.
    #[error("nothing listens: {0}")]
    NoListener(String),
    /// The permission to send the request had ended when it was to be written, see [`body::guarded`].
    #[error("withheld: {0}")]
    Withheld(body::Withheld),
    /// The deadline passed; the request may have been carried out.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The connection broke; the request may have been carried out.
    #[error("connection broke: {0}")]
    Broken(String),
    /// A body could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The response has an error status.
    #[error("status {status}: {text}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// The response's body as text.
        text: String,
    },
    /// The request could not be built.
    #[error("malformed request: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns true when the request certainly did not reach the peer.
    ///
    /// ```
    /// use lavendergauge_net::client::Error;
    /// assert!(Error::Connect("refused".to_owned()).never_sent());
    /// ```
    pub fn never_sent(&self) -> bool {
        match self {
            Error::Connect(_) | Error::NoListener(_) => true,
            Error::Withheld(_) | Error::Malformed(_) => true,
            Error::Timeout(_) | Error::Broken(_) | Error::Codec(_) | Error::Status { .. } => false,
        }
    }
}

/// Limits on a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of connections to all peers together, busy and idle.
    pub connections: usize,
    /// Maximum number of idle connections to one peer; 0 opens a new one for each request.
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
///
/// It speaks HTTP/1.1 only, so that no two calls use a connection at a time. When a call is given up,
/// at its deadline or as its future is dropped, its connection is reset: what a network partition
/// holds up of it does not arrive later.
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

    /// Makes a client that uses TLS if `trust` is given, and then accepts only certificates that
    /// this authority has signed.
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

    /// Makes a client that sends the fleet's key with every request; an empty key is not sent. It
    /// opens at most `connections` connections.
    ///
    /// Use it only for calls to the fleet's own processes: any other peer would receive the key.
    ///
    /// ```no_run
    /// let _client = lavendergauge_net::client::Client::for_fleet("0123456789abcdef", None, 64);
    /// ```
    pub fn for_fleet(key: &str, trust: Option<Trust>, connections: usize) -> Self {
        let options = Options { connections, ..Options::default() };
        Client { fleet_key: sensitive_value(key), ..Client::with_trust(options, trust) }
    }

    /// Makes a client that sends the fleet's key and keeps its connections as `options` say.
    ///
    /// ```
    /// use lavendergauge_net::client::{Client, Options};
    /// let _client = Client::for_fleet_with("0123456789abcdef", Options::default());
    /// ```
    pub fn for_fleet_with(key: &str, options: Options) -> Self {
        Client { fleet_key: sensitive_value(key), ..Client::new(options) }
    }

    /// Returns a client with the same key and trust that opens a new connection for each request,
    /// at most `connections` at a time.
    ///
    /// ```no_run
    /// let _unpooled = lavendergauge_net::client::Client::default().unpooled(64);
    /// ```
    pub fn unpooled(&self, connections: usize) -> Self {
        let options = Options { connections, idle: 0, ..Options::default() };
        let unpooled = Client::with_trust(options, self.trust.clone());
        Client { fleet_key: self.fleet_key.clone(), ..unpooled }
    }

    /// Sends a request and returns the response with its body still streaming.
    ///
    /// # Errors
    /// [`Error::Connect`], [`Error::NoListener`] or [`Error::Withheld`] when the request was not sent;
    /// [`Error::Timeout`] or [`Error::Broken`] when it is in doubt whether it was carried out.
    pub async fn send(
        &self,
        mut request: Request<Body>,
        deadline: Duration,
    ) -> Result<Response<Incoming>, Error> {
        if let Some(key) = &self.fleet_key {
            request.headers_mut().insert(FLEET_KEY_HEADER, key.clone());
        }
        let connection = connect::capture_connection(&mut request);
        let mut sending = pin!(self.pool.request(request));
        let guard = abort::Guard::new(connection);
        let Ok(outcome) = time::timeout(deadline, sending.as_mut()).await else {
            return Err(Error::Timeout(deadline));
        };
        guard.end();
        match outcome {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() && is_refused(&error) => {
                Err(Error::NoListener(describe(&error)))
            }
            Err(error) if error.is_connect() => Err(Error::Connect(describe(&error))),
            Err(error) => match withheld(&error) {
                Some(withheld) => Err(Error::Withheld(withheld)),
                None => Err(Error::Broken(describe(&error))),
            },
        }
    }

    /// Sends a request and reads the whole response, within one deadline.
    ///
    /// # Errors
    /// As [`Client::send`], and [`Error::Broken`] when the body breaks or is longer than
    /// [`MAX_RESPONSE_BYTES`]. A response with an error status is returned as any other.
    pub async fn fetch(
        &self,
        request: Request<Body>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let whole = async {
            let (head, body) = self.send(request, deadline).await?.into_parts();
            let bytes = body::collect(body, MAX_RESPONSE_BYTES)
                .await
                .map_err(|cause| Error::Broken(cause.to_string()))?;
            Ok(Response::from_parts(head, bytes))
        };
        time::timeout(deadline, whole).await.unwrap_or(Err(Error::Timeout(deadline)))
    }

    /// Posts a value as MessagePack and decodes the response from MessagePack.
    ///
    /// # Errors
    /// As [`Client::fetch`]; [`Error::Status`] when the status is not a success,
    /// [`Error::Malformed`] when the address or path is not valid, and [`Error::Codec`] when a body
    /// cannot be encoded or decoded.
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

/// Returns a key as a header value marked as sensitive, so that no log shows it.
///
/// `None` for a key that is empty or not a valid header value.
fn sensitive_value(key: &str) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_str(key).ok().filter(|key| !key.is_empty())?;
    value.set_sensitive(true);
    Some(value)
}

/// Tells whether an error was caused by a connection that the peer's system has refused.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let refused = |cause: &io::Error| cause.kind() == io::ErrorKind::ConnectionRefused;
    iter::successors(Some(error), |error| error.source())
        .any(|error| error.downcast_ref::<io::Error>().is_some_and(refused))
}

/// Finds the error of a request's body that was withheld among an error's sources.
fn withheld(error: &(dyn std::error::Error + 'static)) -> Option<body::Withheld> {
    iter::successors(Some(error), |error| error.source())
        .find_map(|error| error.downcast_ref().copied())
}

/// Returns an error's text followed by those of its sources.
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
