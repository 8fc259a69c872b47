//! Opens connections, at most so many at a time to all peers of one client.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time;
use tokio_rustls::client::TlsStream;
use tower_service::Service;

use crate::body::Cause;
use crate::tls::Trust;

/// Bound on opening one connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Silence after which the kernel probes a connection.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel gives a connection up.
const PROBES: u32 = 1;

/// Opens connections within a bound on their number, over TLS when it trusts an authority.
#[derive(Clone, Debug)]
pub struct Connector {
    inner: HttpConnector,
    places: Arc<Semaphore>,
    trust: Option<Trust>,
}

impl Connector {
    /// Makes a connector for at most `limit` connections at a time, all over TLS if `trust` is given.
    ///
    /// ```
    /// let _connector = lavendergauge_net::connector::Connector::new(64, None);
    /// ```
    pub fn new(limit: usize, trust: Option<Trust>) -> Self {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(CONNECT_TIMEOUT));
        inner.set_keepalive(Some(PROBE_AFTER));
        inner.set_keepalive_interval(Some(PROBE_AFTER));
        inner.set_keepalive_retries(Some(PROBES));
        Connector { inner, places: Arc::new(Semaphore::new(limit)), trust }
    }
}

impl Service<Uri> for Connector {
    type Response = Stream;
    type Error = Cause;
    type Future = Pin<Box<dyn Future<Output = Result<Stream, Cause>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Cause>> {
        self.inner.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let mut inner = self.inner.clone();
        let places = self.places.clone();
        let trust = self.trust.clone();
        Box::pin(async move {
            let place = places.acquire_owned().await?;
            let plain = inner.call(uri).await?;
            let transport = match trust {
                None => Transport::Plain(plain),
                Some(trust) => Transport::Tls(Box::new(secure(&trust, plain).await?)),
            };
            Ok(Stream { transport, _place: place })
        })
    }
}

/// Speaks TLS over an open connection.
async fn secure(trust: &Trust, plain: TokioIo<TcpStream>) -> Result<Secured, Cause> {
    let stream = plain.into_inner();
    let address = stream.peer_addr()?.ip();
    let secured = time::timeout(CONNECT_TIMEOUT, trust.connect(address, stream)).await??;
    Ok(TokioIo::new(secured))
}

/// A connection over TLS.
type Secured = TokioIo<TlsStream<TcpStream>>;

/// How bytes travel on a connection.
#[derive(Debug)]
enum Transport {
    Plain(TokioIo<TcpStream>),
    Tls(Box<Secured>),
}

/// An open connection, which holds its place until it is closed.
#[derive(Debug)]
pub struct Stream {
    transport: Transport,
    _place: OwnedSemaphorePermit,
}

/// Calls one method of whichever transport there is.
macro_rules! transport {
    ($stream:expr, $method:ident($($argument:expr),*)) => {
        match &mut $stream.get_mut().transport {
            Transport::Plain(stream) => Pin::new(stream).$method($($argument),*),
            Transport::Tls(stream) => Pin::new(stream.as_mut()).$method($($argument),*),
        }
    };
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        match &self.transport {
            Transport::Plain(stream) => stream.connected(),
            Transport::Tls(stream) => {
                let (tcp, session) = stream.inner().get_ref();
                let connected = tcp.connected();
                match session.alpn_protocol() {
                    Some(b"h2") => connected.negotiated_h2(),
                    _ => connected,
                }
            }
        }
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        transport!(self, poll_read(cx, buffer))
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        transport!(self, poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        transport!(self, poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        transport!(self, poll_shutdown(cx))
    }

    fn is_write_vectored(&self) -> bool {
        match &self.transport {
            Transport::Plain(stream) => stream.is_write_vectored(),
            Transport::Tls(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        transport!(self, poll_write_vectored(cx, slices))
    }
}
