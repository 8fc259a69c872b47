//! The HTTP server that each stand-in runs on.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::server;
use lavendergauge_net::server::Handler;
use lavendergauge_net::server::ResponseFuture;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum number of open connections of one stand-in.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum length of a request body, in bytes.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// A running stand-in; dropping it stops the server and closes every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl Server {
    /// Returns the loopback address that the stand-in listens on.
    pub fn address(&self) -> String {
        self.address.to_string()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request with its body read to the end.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Header lines.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Returns the body as JSON, or null when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Starts a server on a free loopback port that answers each request with `answer`.
///
/// A request whose body cannot be read is answered with status 400.
///
/// # Panics
/// When no loopback port can be bound.
pub async fn start<F, R>(answer: F) -> Server
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let answer = Arc::new(answer);
    let handler = move |request: Request<Body>, _peer: SocketAddr| -> ResponseFuture {
        let answer = answer.clone();
        Box::pin(async move {
            let (head, body) = request.into_parts();
            match body::collect(body, MAX_REQUEST_BYTES).await {
                Ok(body) => {
                    let path = head.uri.path().to_owned();
                    answer(Call { method: head.method, path, headers: head.headers, body }).await
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            }
        })
    };
    start_raw(Arc::new(handler)).await
}

/// Starts a server on a free loopback port; `handler` reads the request bodies itself.
///
/// # Panics
/// When no loopback port can be bound.
pub async fn start_raw(handler: Handler) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(server::serve(listener, handler, MAX_CONNECTIONS, stopped));
    Server { address, task, _stop: stop }
}

/// Makes a response with a status and without a body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Makes a response with status 200 and a JSON body.
pub fn json(value: &Value) -> Response<Body> {
    Response::new(body::full(value.to_string()))
}
