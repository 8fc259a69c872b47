//! The body of a request as a server receives it, and the body of the answer as it sends it.

use std::mem;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::oneshot;

use crate::body::Body;
use crate::body::Cause;
use crate::budget::Budget;
use crate::budget::Charged;
use crate::budget::Exhausted;
use crate::budget::Share;
use crate::occupancy::Call;
use crate::pace::Meter;

/// Length from which a part of an answer takes a share of the budget, in bytes.
const MIN_CHARGED_BYTES: usize = 4 << 10;

/// Why the rest of a request's body is not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The peer sends too slowly.
    #[error("the body arrives too slowly")]
    Slow,
    /// The call is evicted in favour of others.
    #[error("the call is evicted in favour of others")]
    Evicted,
}

/// Wraps a request's body, so that it ends with an [`enum@Error`] when the peer sends too slowly or the
/// call is evicted.
pub fn request(body: Incoming, call: Arc<Call>, evicted: oneshot::Receiver<()>) -> Body {
    if body.is_end_stream() {
        call.set_receiving(false);
        return body.map_err(Into::into).boxed();
    }
    Request { body, meter: Meter::default(), call, evicted, error: None }.boxed()
}

/// Body of [`request`].
struct Request {
    body: Incoming,
    meter: Meter,
    call: Arc<Call>,
    evicted: oneshot::Receiver<()>,
    /// Why no more is received.
    error: Option<Error>,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.call.set_receiving(false);
    }
}

impl HttpBody for Request {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let this = &mut *self;
        if let Some(error) = this.error {
            return Poll::Ready(Some(Err(error.into())));
        }
        let polled = Pin::new(&mut this.body).poll_frame(context);
        this.call.set_receiving(polled.is_pending());
        if polled.is_pending() {
            if Pin::new(&mut this.evicted).poll(context) == Poll::Ready(Ok(())) {
                this.error = Some(Error::Evicted);
            } else if this.meter.poll_late(context) {
                this.error = Some(Error::Slow);
            }
        }
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                this.meter.advance(frame.data_ref().map_or(0, Bytes::len));
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(end) => Poll::Ready(end.map(|result| result.map_err(Into::into))),
            Poll::Pending => match this.error {
                Some(error) => Poll::Ready(Some(Err(error.into()))),
                None => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Wraps an answer's body, so that the call lasts until it is sent and its parts count against a
/// budget until the connection has written them.
pub fn answer(body: Body, call: Arc<Call>, budget: Arc<Budget>) -> Body {
    if !body.is_end_stream() {
        call.set_unread(true);
    }
    Answer { body, call, budget, waiting: None }.boxed()
}

/// A part of an answer that waits for its share of the budget.
struct Waiting {
    bytes: Bytes,
    share: Pin<Box<dyn Future<Output = Result<Share, Exhausted>> + Send + Sync>>,
}

/// Body of [`answer`].
struct Answer {
    body: Body,
    call: Arc<Call>,
    budget: Arc<Budget>,
    waiting: Option<Waiting>,
}

impl Answer {
    /// Polls for the share of the part that waits; `None` when none waits.
    fn poll_share(
        &mut self,
        context: &mut Context<'_>,
    ) -> Option<Poll<Result<Frame<Bytes>, Cause>>> {
        let waiting = self.waiting.as_mut()?;
        Some(match waiting.share.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(share)) => {
                let bytes = mem::take(&mut waiting.bytes);
                self.waiting = None;
                Poll::Ready(Ok(Frame::data(Bytes::from_owner(Charged { bytes, share }))))
            }
            Poll::Ready(Err(full)) => Poll::Ready(Err(full.into())),
        })
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let this = &mut *self;
        if this.waiting.is_none() {
            let polled = Pin::new(&mut this.body).poll_frame(context);
            this.call.set_unread(matches!(polled, Poll::Ready(Some(Ok(_)))));
            let frame = match polled {
                Poll::Ready(Some(Ok(frame))) => frame,
                other => return other,
            };
            match frame.into_data() {
                Ok(bytes) if MIN_CHARGED_BYTES <= bytes.len() => {
                    let share = Box::pin(this.budget.clone().take(bytes.len()));
                    this.waiting = Some(Waiting { bytes, share });
                }
                Ok(bytes) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Err(other) => return Poll::Ready(Some(Ok(other))),
            }
        }
        match this.poll_share(context) {
            Some(Poll::Ready(frame)) => Poll::Ready(Some(frame)),
            _ => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.waiting.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
