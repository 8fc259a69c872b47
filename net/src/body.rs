//! Bodies of requests and responses.

use std::error::Error as StdError;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

use crate::budget::Budget;
use crate::budget::Charged;
use crate::budget::Exhausted;
use crate::budget::Share;
use crate::intake;

/// Any error from reading a body.
pub type Cause = Box<dyn StdError + Send + Sync>;

/// A body of any kind, whole or streamed.
pub type Body = BoxBody<Bytes, Cause>;

/// Makes a body from bytes in memory.
///
/// ```
/// use lavendergauge_net::body;
/// let _body = body::full("text");
/// ```
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// The sender's permission had ended before the body was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the permission to send it had ended")]
pub struct Withheld;

/// Makes a body from bytes in memory that fails with [`Withheld`] unless `is_permitted` returns true when
/// it is read.
///
/// A client reads a request's body once its connection is open, in the step in which it writes the
/// request, so that no wait comes after the check, and nothing of a withheld request is sent.
///
/// ```
/// use lavendergauge_net::body;
/// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// let withheld = body::collect(body::guarded("order", || false), 16);
/// assert!(runtime.block_on(withheld).unwrap_err().is::<body::Withheld>());
/// ```
pub fn guarded(
    bytes: impl Into<Bytes>,
    is_permitted: impl Fn() -> bool + Send + Sync + 'static,
) -> Body {
    Guarded { bytes: Some(bytes.into()), is_permitted: Box::new(is_permitted) }.boxed()
}

/// Body of [`guarded`].
struct Guarded {
    /// The bytes, until they are read.
    bytes: Option<Bytes>,
    is_permitted: Box<dyn Fn() -> bool + Send + Sync>,
}

impl HttpBody for Guarded {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        let frame =
            if (self.is_permitted)() { Ok(Frame::data(bytes)) } else { Err(Withheld.into()) };
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

/// Makes a body without bytes.
///
/// ```
/// use lavendergauge_net::body;
/// let _body = body::empty();
/// ```
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Number of frames that a streamed body buffers for its reader.
const CHANNEL_FRAMES: usize = 4;

/// Makes a streamed body and the sender that fills it.
///
/// The sender waits while the buffer is full, and fails once the body is dropped. The body ends
/// when the sender is dropped, after every frame that was sent.
///
/// ```
/// use lavendergauge_net::body;
/// let (_sender, _body) = body::channel();
/// ```
pub fn channel() -> (Sender, Body) {
    channel_with_buffer(CHANNEL_FRAMES)
}

/// Makes a streamed body like [`channel`] that buffers this number of frames, at least 1.
///
/// ```
/// use lavendergauge_net::body;
/// let (_sender, _body) = body::channel_with_buffer(16);
/// ```
pub fn channel_with_buffer(buffered_frames: usize) -> (Sender, Body) {
    let (frame_sender, frames) = mpsc::channel(buffered_frames);
    let (abort_sender, aborted) = oneshot::channel();
    (Sender { frames: frame_sender, abort: abort_sender }, Stream { frames, aborted }.boxed())
}

/// Fills a streamed body.
#[derive(Debug)]
pub struct Sender {
    frames: mpsc::Sender<Frame<Bytes>>,
    abort: oneshot::Sender<Cause>,
}

/// The body of a [`Sender`] was dropped, so nobody receives what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the body is no longer read")]
pub struct Dropped;

impl Sender {
    /// Sends data; waits while the buffer is full.
    ///
    /// # Errors
    /// [`Dropped`] when the body was dropped.
    ///
    /// ```
    /// use lavendergauge_net::body;
    /// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// let (mut sender, body) = body::channel();
    /// runtime.block_on(sender.send_data("text".into())).unwrap();
    /// drop(sender);
    /// assert_eq!(runtime.block_on(body::collect(body, 16)).unwrap().as_ref(), b"text");
    /// ```
    pub async fn send_data(&mut self, data: Bytes) -> Result<(), Dropped> {
        self.frames.send(Frame::data(data)).await.map_err(|_| Dropped)
    }

    /// Sends trailers, which come after all data; waits while the buffer is full.
    ///
    /// # Errors
    /// [`Dropped`] when the body was dropped.
    ///
    /// ```
    /// use lavendergauge_net::body;
    /// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// let (mut sender, body) = body::channel();
    /// drop(body);
    /// let trailers = hyper::HeaderMap::new();
    /// assert_eq!(runtime.block_on(sender.send_trailers(trailers)), Err(body::Dropped));
    /// ```
    pub async fn send_trailers(&mut self, trailers: HeaderMap) -> Result<(), Dropped> {
        self.frames.send(Frame::trailers(trailers)).await.map_err(|_| Dropped)
    }

    /// Ends the body with an error, after the frames that were sent.
    ///
    /// ```
    /// use lavendergauge_net::body;
    /// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// let (sender, body) = body::channel();
    /// sender.abort("the source is gone".into());
    /// assert!(runtime.block_on(body::collect(body, 16)).is_err());
    /// ```
    pub fn abort(self, cause: Cause) {
        // Fails only when the body was dropped, and then nobody needs the cause.
        let _ = self.abort.send(cause);
    }
}

/// Receiving end of [`channel`].
///
/// The channel body of http-body-util 0.1 may lose the last frames: it ends without them when the
/// sender sends them and is dropped between its check for frames and its check for the end. This
/// body ends only once the channel of frames is closed and empty.
struct Stream {
    frames: mpsc::Receiver<Frame<Bytes>>,
    aborted: oneshot::Receiver<Cause>,
}

impl HttpBody for Stream {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        self.frames.poll_recv(context).map(|frame| match frame {
            Some(frame) => Some(Ok(frame)),
            // `Sender::abort` sends the cause before it closes the channel of frames.
            None => self.aborted.try_recv().ok().map(Err),
        })
    }
}

/// Maximum number of bytes that are read and discarded of the rest of a body that is refused.
const DISCARD_BYTES: usize = 8 << 20;
/// Maximum time for which the rest of such a body is read and discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Longest time in which a body may arrive.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Room for the beginning of a body, in bytes; it grows as the body arrives.
const FIRST_ROOM_BYTES: usize = 4 << 10;

/// A buffer whose memory counts against a budget.
///
/// Bytes are copied to it, since a short part of a body may keep a whole read buffer of its
/// connection.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    share: Share,
}

impl Buffer {
    /// Makes an empty buffer, and the receiver that tells its owner to drop it.
    ///
    /// ```
    /// use lavendergauge_net::body::Buffer;
    /// use lavendergauge_net::budget::Budget;
    /// let budget = Budget::new("bodies", 8);
    /// let (mut buffer, _evicted) = Buffer::new(&budget);
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// runtime.block_on(buffer.push(b"text", 4)).unwrap();
    /// let bytes = buffer.freeze();
    /// assert_eq!((bytes.as_ref(), budget.used()), (&b"text"[..], 4));
    /// ```
    pub fn new(budget: &Arc<Budget>) -> (Buffer, oneshot::Receiver<()>) {
        let (share, evicted) = budget.share();
        (Buffer { bytes: Vec::new(), share }, evicted)
    }

    /// Returns the number of bytes in the buffer.
    ///
    /// ```
    /// use lavendergauge_net::body::Buffer;
    /// use lavendergauge_net::budget::Budget;
    /// let (buffer, _evicted) = Buffer::new(&Budget::new("bodies", 8));
    /// assert!(buffer.is_empty() && buffer.len() == 0);
    /// ```
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Tells whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes; waits for room if there is none.
    ///
    /// The buffer is expected to hold `expected` bytes in the end.
    ///
    /// # Errors
    /// [`Exhausted`] when there is no room in time.
    pub async fn push(&mut self, data: &[u8], expected: usize) -> Result<(), Exhausted> {
        let (length, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if capacity < length {
            let wanted = (2 * capacity).max(FIRST_ROOM_BYTES).min(expected).max(length);
            self.share.grow(wanted - capacity).await?;
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.share.advance();
        Ok(())
    }

    /// Returns the bytes, which count against the budget as long as any part of them is in use.
    pub fn freeze(mut self) -> Bytes {
        self.share.complete();
        Bytes::from_owner(Charged { bytes: self.bytes.into(), share: self.share })
    }
}

/// Why a body is not received.
#[derive(Debug, Error)]
pub enum Failure {
    /// It is longer than the limit.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    Late,
    /// There is no room for it beside other bodies.
    #[error("there is no room for the body")]
    NoRoom,
    /// The transport failed, or the peer broke off.
    #[error("the body broke off: {0}")]
    Broken(Cause),
}

impl Failure {
    /// Tells why the body of a request cannot be read to its end.
    ///
    /// ```
    /// use lavendergauge_net::body::Failure;
    /// assert!(matches!(Failure::of("reset".into()), Failure::Broken(_)));
    /// ```
    pub fn of(cause: Cause) -> Failure {
        match cause.downcast_ref::<intake::Error>() {
            Some(intake::Error::Slow) => Failure::Late,
            Some(intake::Error::Evicted) => Failure::NoRoom,
            None => Failure::Broken(cause),
        }
    }

    /// Returns the HTTP status with which the request is refused.
    ///
    /// ```
    /// assert_eq!(lavendergauge_net::body::Failure::NoRoom.status(), 503);
    /// ```
    pub fn status(&self) -> StatusCode {
        match self {
            Failure::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::Late => StatusCode::REQUEST_TIMEOUT,
            Failure::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Failure::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole request body of at most `limit` bytes, within `timeout`, and discards the rest of a
/// longer one.
///
/// Its bytes are copied to memory that counts against `budget` as long as they are in use. If the
/// connection closes while the peer is still writing, the peer may not receive the response that
/// gives the reason. Therefore a bounded part of the rest is read, for a bounded time, before this
/// returns [`Failure::TooLong`].
///
/// # Errors
/// [`Failure`] when the body is too long, late or incomplete, or when the budget has no room.
///
/// ```
/// use std::time::Duration;
/// use lavendergauge_net::body;
/// use lavendergauge_net::budget::Budget;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// let budget = Budget::new("bodies", 64);
/// let receive = |limit| body::receive(body::full("text"), limit, &budget, Duration::from_secs(1));
/// assert_eq!(runtime.block_on(receive(4)).unwrap().as_ref(), b"text");
/// assert!(runtime.block_on(receive(3)).is_err());
/// ```
pub async fn receive<B>(
    body: B,
    limit: usize,
    budget: &Arc<Budget>,
    timeout: Duration,
) -> Result<Bytes, Failure>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Cause>,
{
    let mut body = pin!(body);
    if body.size_hint().upper() == Some(0) {
        return Ok(Bytes::new());
    }
    let (mut buffer, evicted) = Buffer::new(budget);
    let received = tokio::select! {
        received = time::timeout(timeout, fill(body.as_mut(), limit, &mut buffer)) => {
            received.unwrap_or(Err(Failure::Late))
        }
        Ok(()) = evicted => Err(Failure::NoRoom),
    };
    match received {
        Ok(()) => Ok(buffer.freeze()),
        Err(error) => {
            drop(buffer);
            if let Failure::TooLong(_) = error {
                discard(body).await;
            }
            Err(error)
        }
    }
}

/// Copies a body to a buffer, which grows as the body arrives.
async fn fill<B>(mut body: Pin<&mut B>, limit: usize, buffer: &mut Buffer) -> Result<(), Failure>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Cause>,
{
    let declared = body.size_hint().exact().unwrap_or(limit as u64);
    if (limit as u64) < declared {
        return Err(Failure::TooLong(limit));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::of(error.into()))?;
        let Ok(data) = frame.into_data() else { continue };
        if limit < buffer.len() + data.len() {
            return Err(Failure::TooLong(limit));
        }
        buffer.push(&data, declared as usize).await.map_err(|_| Failure::NoRoom)?;
    }
    Ok(())
}

/// Reads and drops a part of a body that nobody wants, so that its sender receives the answer.
///
/// ```
/// use lavendergauge_net::body;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(body::discard(body::full("unwanted")));
/// ```
pub async fn discard<B>(body: B)
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Cause>,
{
    let mut body = pin!(body);
    let mut bytes = 0;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if DISCARD_BYTES < bytes {
                return;
            }
        }
    };
    let _ = time::timeout(DISCARD_TIME, reading).await;
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// The transport's error, or a length error when the body is longer than `limit`.
///
/// ```
/// use lavendergauge_net::body;
/// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// let bytes = runtime.block_on(body::collect(body::full("text"), 16)).unwrap();
/// assert_eq!(bytes.as_ref(), b"text");
/// ```
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, Cause>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Cause>,
{
    let mut body = pin!(Limited::new(body, limit));
    // The frames are copied, since a short one may keep a whole read buffer of the connection.
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}
