//! Limits the time for which a transfer waits for its peer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Longest time that a transfer waits for the peer until [`MIN_BYTES`] more have been transferred.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
/// Least number of bytes that the peer has to transfer within [`MAX_WAIT`] of waiting.
pub const MIN_BYTES: usize = 1 << 10;

/// Measures how long a transfer has waited for the peer.
///
/// Only time during which the transfer could have gone on counts, so that a peer is not blamed for
/// pauses on this side.
#[derive(Debug, Default)]
pub struct Meter {
    /// Total of the finished waits since the last [`MIN_BYTES`].
    waited: Duration,
    /// Bytes transferred in that time.
    bytes: usize,
    /// Begin of the current wait.
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Meter {
    /// Records that the peer has transferred bytes.
    pub fn advance(&mut self, bytes: usize) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += since.elapsed();
        }
        self.bytes = self.bytes.saturating_add(bytes);
        if MIN_BYTES <= self.bytes {
            (self.waited, self.bytes) = (Duration::ZERO, 0);
        }
    }

    /// Tells whether the transfer waits for the peer.
    pub fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// Records that the transfer waits for the peer; true once it has waited for too long.
    ///
    /// The task is woken when that time has come.
    pub fn poll_late(&mut self, context: &mut Context<'_>) -> bool {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let deadline = now + MAX_WAIT.saturating_sub(self.waited);
            match &mut self.timer {
                Some(timer) => timer.as_mut().reset(deadline),
                None => self.timer = Some(Box::pin(time::sleep_until(deadline))),
            }
        }
        let Some(timer) = &mut self.timer else { return false };
        timer.as_mut().poll(context).is_ready()
    }
}

/// A connection that fails once the peer takes too long to read what is written.
pub struct Paced<S> {
    stream: S,
    meter: Meter,
    /// Called whenever the peer has taken bytes.
    on_progress: Arc<dyn Fn() + Send + Sync>,
}

impl<S> Paced<S> {
    /// Wraps a connection; `on_progress` is called whenever the peer has taken bytes.
    pub fn new(stream: S, on_progress: Arc<dyn Fn() + Send + Sync>) -> Self {
        Paced { stream, meter: Meter::default(), on_progress }
    }

    fn judge(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                // Bytes that the kernel takes at once, such as answers to pings, prove nothing.
                if self.meter.is_waiting() {
                    (self.on_progress)();
                }
                self.meter.advance(bytes);
                written
            }
            Poll::Pending if self.meter.poll_late(context) => {
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the peer does not read")))
            }
            written => written,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.judge(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.judge(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
