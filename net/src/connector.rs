//! Opens a client's connections, up to a limit on their number to all peers together.

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

use crate::abort;
use crate::body::Cause;
use crate::tls::Trust;

/// Time limit for opening a TCP connection, and again for its TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest wait until another connection is closed.
///
/// The pool goes on opening a connection in the background after the request that wanted one has
/// found another, so that without this limit each such request would leave a waiting task behind.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Idle time after which the kernel probes a connection, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes a connection.
const MAX_PROBES: u32 = 1;

/// Opens connections up to a limit on their number, over TLS when an authority is trusted.
#[derive(Clone, Debug)]
pub struct Connector {
    inner: HttpConnector,
    permits: Arc<Semaphore>,
    trust: Option<Trust>,
}

impl Connector {
    /// Makes a connector for at most `limit` connections at a time, all over TLS if `trust` is
    /// given.
    ///
    /// Past the limit, a new connection waits until another is closed, and fails after a second.
    ///
    /// ```
    /// let _connector = lavendergauge_net::connector::Connector::new(64, None);
    /// ```
    pub fn new(limit: usize, trust: Option<Trust>) -> Self {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(CONNECT_TIMEOUT));
        inner.set_keepalive(Some(PROBE_INTERVAL));
        inner.set_keepalive_interval(Some(PROBE_INTERVAL));
        inner.set_keepalive_retries(Some(MAX_PROBES));
        Connector { inner, permits: Arc::new(Semaphore::new(limit)), trust }
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
        let permits = self.permits.clone();
        let trust = self.trust.clone();
        Box::pin(async move {
            let permit = time::timeout(PERMIT_TIMEOUT, permits.acquire_owned()).await??;
            let plain = inner.call(uri).await?;
            let transport = match trust {
                None => Transport::Plain(plain),
                Some(trust) => Transport::Tls(Box::new(start_tls(&trust, plain).await?)),
            };
            Ok(Stream { transport, abort: abort::Flag::default(), resets: false, _permit: permit })
        })
    }
}

/// Performs the TLS handshake on an open connection.
async fn start_tls(trust: &Trust, plain: TokioIo<TcpStream>) -> Result<SecureStream, Cause> {
    let stream = plain.into_inner();
    let address = stream.peer_addr()?.ip();
    let secure = time::timeout(CONNECT_TIMEOUT, trust.connect(address, stream)).await??;
    Ok(TokioIo::new(secure))
}

/// A connection over TLS.
type SecureStream = TokioIo<TlsStream<TcpStream>>;

/// The transport of a connection.
#[derive(Debug)]
enum Transport {
    Plain(TokioIo<TcpStream>),
    Tls(Box<SecureStream>),
}

/// An open connection, which counts against the connector's limit until it is dropped.
///
/// From the first write on, closing it resets it, also when the process is killed. A call that is
/// given up closes its connection; the kernel would otherwise go on sending what it holds of the
/// call, which would arrive at the end of a network partition.
#[derive(Debug)]
pub struct Stream {
    transport: Transport,
    abort: abort::Flag,
    /// Whether the connection is reset when it is closed.
    resets: bool,
    _permit: OwnedSemaphorePermit,
}

impl Stream {
    fn tcp(&self) -> &TcpStream {
        match &self.transport {
            Transport::Plain(stream) => stream.inner(),
            Transport::Tls(stream) => stream.inner().get_ref().0,
        }
    }

    /// Makes the kernel reset the connection when it is closed; fails once it is aborted.
    fn prepare_write(&mut self) -> io::Result<()> {
        self.abort.check()?;
        if !self.resets {
            self.tcp().set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }
}

/// Calls a method of a stream's transport.
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
        // Without HTTP/2: the pool would let several calls share the connection.
        self.tcp().connected().extra(self.abort.clone())
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        transport!(self, poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.abort.check()?;
        transport!(self, poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets {
            // The end of the stream would follow what the kernel still holds.
            return Poll::Ready(Ok(()));
        }
        transport!(self, poll_shutdown(cx))
    }

    fn is_write_vectored(&self) -> bool {
        match &self.transport {
            Transport::Plain(stream) => stream.is_write_vectored(),
            Transport::Tls(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        transport!(self, poll_write_vectored(cx, slices))
    }
}
