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
use tower_service::Service;

use crate::body::Cause;

/// Bound on opening one connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Silence after which the kernel probes a connection.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel gives a connection up.
const PROBES: u32 = 1;

/// Opens connections within a bound on their number.
#[derive(Clone, Debug)]
pub struct Connector {
    inner: HttpConnector,
    places: Arc<Semaphore>,
}

impl Connector {
    /// Makes a connector for at most `limit` connections at a time.
    ///
    /// ```
    /// let _connector = lavendergauge_net::connector::Connector::new(64);
    /// ```
    pub fn new(limit: usize) -> Self {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(CONNECT_TIMEOUT));
        inner.set_keepalive(Some(PROBE_AFTER));
        inner.set_keepalive_interval(Some(PROBE_AFTER));
        inner.set_keepalive_retries(Some(PROBES));
        Connector { inner, places: Arc::new(Semaphore::new(limit)) }
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
        Box::pin(async move {
            let place = places.acquire_owned().await?;
            let stream = inner.call(uri).await?;
            Ok(Stream { stream, _place: place })
        })
    }
}

/// An open connection, which holds its place until it is closed.
#[derive(Debug)]
pub struct Stream {
    stream: TokioIo<TcpStream>,
    _place: OwnedSemaphorePermit,
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
