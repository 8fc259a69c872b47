//! An HTTP server loop with limits on what peers occupy, and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::MissedTickBehavior;

use crate::body;
use crate::body::Body;
use crate::budget::Budget;
use crate::intake;
use crate::occupancy::Caller;
use crate::occupancy::Closing;
use crate::occupancy::Connection;
use crate::occupancy::Occupancy;
use crate::pace::Paced;
use crate::tls::Acceptor;

/// Time limit for a client to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 64;
/// Maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time after the stop within which a connection that has not sent a request yet may still send its
/// first one.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// After the stop, connections that peers have already opened are accepted until none arrives for
/// this time.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);
/// Length of the queue of connections to be accepted. When it is full the kernel drops a peer's
/// first packet, and the peer retries only after a whole second.
const LISTEN_QUEUE: u32 = 4096;
/// Most bytes of a connection that the kernel keeps until they are read; it doubles this for its own
/// records.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Most streams of one HTTP/2 connection at a time.
const MAX_STREAMS: u32 = 32;
/// Bytes that a peer may send over one HTTP/2 connection, and over one of its streams, before they
/// are read.
const HTTP_2_WINDOWS: (u32, u32) = (64 << 10, 32 << 10);
/// Most bytes of answers that are buffered for one HTTP/2 stream.
const HTTP_2_SEND_BYTES: usize = 32 << 10;
/// Time for which a connection that is evicted may answer its calls.
const CLOSE_GRACE: Duration = Duration::from_millis(200);
/// Interval at which idle connections are closed.
const IDLE_CHECK: Duration = Duration::from_secs(5);
/// Time after which a refused caller should try again, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// Bytes of answers that the peers of a listener may leave unread, unless its limits say otherwise.
const ANSWER_BYTES: usize = 64 << 20;
/// Pause after a failed accept, e.g. for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The future of a handler's response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// A function that returns the response to a request from the peer at an address.
pub type Handler = Arc<dyn Fn(Request<Body>, SocketAddr) -> ResponseFuture + Send + Sync>;

/// Limits on what the peers of a listener occupy.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Name of the listener, for logs and metrics.
    pub listener: &'static str,
    /// Most open connections, and most calls in progress.
    ///
    /// Beyond it, a stalled connection or call is evicted for a new one. A call for which none can be
    /// evicted is refused with status 503 before its handler runs.
    pub connections: usize,
    /// Limits the bytes of answers that wait until their peers read them.
    pub answers: Arc<Budget>,
}

impl From<usize> for Limits {
    fn from(connections: usize) -> Self {
        Limits { listener: "other", connections, answers: Budget::new("answers", ANSWER_BYTES) }
    }
}

/// Listens on an IP address and port, with a queue long enough for a burst of new connections.
///
/// # Errors
/// When the address is malformed (host names are not resolved), is in use, or does not belong to
/// this VM.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE)
}

/// Serves connections without TLS; see [`serve_tls`].
pub async fn serve(
    listener: TcpListener,
    handler: Handler,
    limits: impl Into<Limits>,
    stop: watch::Receiver<bool>,
) {
    serve_tls(listener, None, handler, limits, stop).await;
}

/// Serves connections until `stop` turns true or its sender is dropped, then finishes every request
/// in flight.
///
/// With an acceptor, peers must use TLS. Connections are closed that exceed the limits, are idle for
/// too long, or whose peers take too long to send a request or to read an answer. Returns when the
/// last connection is closed.
pub async fn serve_tls(
    listener: TcpListener,
    acceptor: Option<Acceptor>,
    handler: Handler,
    limits: impl Into<Limits>,
    mut stop: watch::Receiver<bool>,
) {
    let limits = limits.into();
    let occupancy = Occupancy::new(limits.listener, limits.connections);
    let service = Service { acceptor, handler, answers: limits.answers, stop: stop.clone() };
    let mut connections = JoinSet::new();
    let mut idle_check = time::interval(IDLE_CHECK);
    idle_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            () = stopped(&mut stop) => break,
            _ = idle_check.tick(), if !connections.is_empty() => {
                occupancy.close_idle();
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            log::warn!("event=accept-failed");
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::select! {
            () = stopped(&mut stop) => {}
            () = occupancy.wait_for_room() => {}
        }
        connections.spawn(accept_stream(stream, peer, service.clone(), occupancy.connect()));
    }
    // Peers whose connections are still in the listen queue may have sent a request already.
    while let Ok(Ok((stream, peer))) = time::timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await {
        connections.spawn(accept_stream(stream, peer, service.clone(), occupancy.connect()));
    }
    drop(listener);
    while !connections.is_empty() {
        tokio::select! {
            _ = connections.join_next() => {}
            _ = idle_check.tick() => occupancy.close_idle(),
        }
    }
}

/// What all connections of a listener share.
#[derive(Clone)]
struct Service {
    acceptor: Option<Acceptor>,
    handler: Handler,
    answers: Arc<Budget>,
    stop: watch::Receiver<bool>,
}

/// Performs the TLS handshake if there is an acceptor, then serves the connection until it is
/// closed or evicted.
async fn accept_stream(
    stream: TcpStream,
    peer: SocketAddr,
    service: Service,
    connection: Connection,
) {
    let _ = stream.set_nodelay(true);
    let stream = Paced::new(stream, connection.progress());
    let Some(acceptor) = service.acceptor.clone() else {
        return serve_connection(stream, peer, service, connection).await;
    };
    let accepting = time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream));
    let mut closing = connection.closing();
    let accepted = tokio::select! {
        accepted = accepting => accepted,
        _ = closing.wait_for(|closing| *closing != Closing::Open) => return,
    };
    match accepted {
        Ok(Ok(stream)) => serve_connection(stream, peer, service, connection).await,
        Ok(Err(error)) => log::info!("event=handshake-failed peer={peer} cause=\"{error}\""),
        Err(_) => log::info!("event=handshake-failed peer={peer} cause=timeout"),
    }
}

/// Serves a connection until it is closed.
///
/// After the stop, a connection is shut down gracefully once it has sent its first request, or
/// [`FIRST_REQUEST_TIMEOUT`] later. One that is evicted ends within [`CLOSE_GRACE`].
async fn serve_connection<S>(stream: S, peer: SocketAddr, service: Service, connection: Connection)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (seen_sender, mut request_seen) = watch::channel(None);
    let Service { handler, answers, mut stop, .. } = service;
    let caller = connection.caller();
    let answer_closing = connection.closing();
    let hyper_service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let _ = seen_sender.send(Some(version));
        let answer = handle(&caller, &handler, answers.clone(), request, peer);
        let closing = answer_closing.clone();
        async move {
            let mut answer = answer.await;
            // Tells the peer not to send another request, which may be lost on its way.
            if version < Version::HTTP_2 && *closing.borrow() != Closing::Open {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    let (connection_window, stream_window) = HTTP_2_WINDOWS;
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_connection_window_size(connection_window)
        .initial_stream_window_size(stream_window)
        .max_send_buf_size(HTTP_2_SEND_BYTES);
    let serving = builder.serve_connection(TokioIo::new(stream), hyper_service);
    tokio::pin!(serving);
    let mut closing = connection.closing();
    let mut closing_now = connection.closing();
    let seen = request_seen.clone();
    let stopping = async {
        stopped(&mut stop).await;
        let _ = time::timeout(FIRST_REQUEST_TIMEOUT, request_seen.wait_for(Option::is_some)).await;
    };
    let ended = tokio::select! {
        ended = serving.as_mut() => Some(ended),
        () = must_close(&mut closing, seen) => None,
        () = stopping => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                ended = serving.as_mut() => ended,
                () = grace_over(&mut closing_now) => Ok(()),
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("event=connection-ended peer={peer} cause=\"{error}\"");
    }
}

/// Waits until a connection has to close.
///
/// One of HTTP/1.1 that is to close after its calls does so with the next answer.
async fn must_close(
    closing: &mut watch::Receiver<Closing>,
    seen: watch::Receiver<Option<Version>>,
) {
    let is_told = |closing: &Closing| match closing {
        Closing::Open => false,
        Closing::Drain => *seen.borrow() == Some(Version::HTTP_2),
        Closing::Evict | Closing::Abort => true,
    };
    if closing.wait_for(is_told).await.is_err() {
        std::future::pending().await
    }
}

/// Waits until [`CLOSE_GRACE`] after a connection has been evicted.
async fn grace_over(closing: &mut watch::Receiver<Closing>) {
    match closing.wait_for(|closing| closing.is_urgent()).await.map(|closing| *closing) {
        Ok(Closing::Abort) => {}
        Ok(_) => time::sleep(CLOSE_GRACE).await,
        Err(_) => std::future::pending().await,
    }
}

/// Calls the handler, unless there are too many calls.
fn handle(
    caller: &Caller,
    handler: &Handler,
    answers: Arc<Budget>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> ResponseFuture {
    let Some((call, ended)) = caller.begin() else {
        return Box::pin(async { busy() });
    };
    let request = request.map(|body| intake::request(body, call.clone(), ended));
    let answering = handler(request, peer);
    Box::pin(async move { answering.await.map(|body| intake::answer(body, call, answers)) })
}

/// Makes the response to a call that is refused because there are too many.
fn busy() -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}

/// Waits until `stop` turns true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
