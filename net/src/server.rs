//! An HTTP server loop with bounded connections and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
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
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::body::Body;
use crate::tls::Acceptor;

/// Time that a client has to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a client has for the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most header lines of a request.
const HEADER_LIMIT: usize = 64;
/// Most bytes buffered for a request's head.
const HEAD_BYTES: usize = 64 << 10;
/// Time in which a connection that has had no request yet may still send its first one
/// after the stop.
const FIRST_REQUEST: Duration = Duration::from_millis(500);
/// Time for which connections that peers have already opened are taken in after the stop.
const LAST_ACCEPT: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted; past it the kernel drops a peer's first packet, and the
/// peer tries again after a whole second.
const LISTEN_QUEUE: u32 = 4096;
/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The answer of a handler, still being worked on.
pub type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// A function that answers one request from one peer.
pub type Handler = Arc<dyn Fn(Request<Incoming>, SocketAddr) -> Answer + Send + Sync>;

/// Listens on an address, with room for a burst of peers that have not been accepted yet.
///
/// # Errors
/// When the address is not one, is taken, or is not this machine's.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE)
}

/// Serves connections without TLS; see [`serve_tls`].
pub async fn serve(
    listener: TcpListener,
    handler: Handler,
    limit: usize,
    stop: watch::Receiver<bool>,
) {
    serve_tls(listener, None, handler, limit, stop).await;
}

/// Serves connections until `stop` turns true, then finishes every request in flight.
///
/// With an acceptor, peers have to speak TLS. At most `limit` connections are open at a time;
/// further peers wait in the listen queue. Returns when the last connection is closed.
pub async fn serve_tls(
    listener: TcpListener,
    acceptor: Option<Acceptor>,
    handler: Handler,
    limit: usize,
    mut stop: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(limit));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let place = tokio::select! {
            () = stopped(&mut stop) => break,
            place = places.clone().acquire_owned() => place,
        };
        let Ok(place) = place else { break };
        let accepted = tokio::select! {
            () = stopped(&mut stop) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            log::warn!("event=accept-failed");
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        let acceptor = acceptor.clone();
        connections.spawn(async move {
            greet(stream, acceptor, peer, handler, stop).await;
            drop(place);
        });
    }
    // A peer whose connection is open may have sent its request already.
    while let Ok(Ok((stream, peer))) = time::timeout(LAST_ACCEPT, listener.accept()).await {
        let (handler, acceptor, stop) = (handler.clone(), acceptor.clone(), stop.clone());
        connections.spawn(greet(stream, acceptor, peer, handler, stop));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection, after the TLS handshake if there is an acceptor.
async fn greet(
    stream: TcpStream,
    acceptor: Option<Acceptor>,
    peer: SocketAddr,
    handler: Handler,
    stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let Some(acceptor) = acceptor else {
        return connection(stream, peer, handler, stop).await;
    };
    match time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => connection(stream, peer, handler, stop).await,
        Ok(Err(error)) => log::info!("event=handshake-failed peer={peer} cause=\"{error}\""),
        Err(_) => log::info!("event=handshake-failed peer={peer} cause=timeout"),
    }
}

/// Serves one connection to its end.
async fn connection<S>(
    stream: S,
    peer: SocketAddr,
    handler: Handler,
    mut stop: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (first, mut seen) = watch::channel(false);
    let service = service_fn(move |request| {
        let _ = first.send(true);
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(HEADER_LIMIT)
        .max_buf_size(HEAD_BYTES);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(HEAD_BYTES as u32);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = stopped(&mut stop) => {
            let begun = time::timeout(FIRST_REQUEST, seen.wait_for(|seen| *seen));
            let ended = tokio::select! {
                ended = serving.as_mut() => Some(ended),
                _ = begun => None,
            };
            match ended {
                Some(ended) => ended,
                None => {
                    serving.as_mut().graceful_shutdown();
                    serving.await
                }
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("event=connection-ended peer={peer} cause=\"{error}\"");
    }
}

/// Waits until `stop` turns true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
