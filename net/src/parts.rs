//! Reads the parts of a request or a response from a body as they arrive.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use lavendergauge_wire::codec;
use lavendergauge_wire::part;
use lavendergauge_wire::part::Decoder;
use lavendergauge_wire::part::Part;
use tokio::sync::oneshot;
use tokio::time;

use crate::body::Body;
use crate::body::Cause;
use crate::budget::Budget;
use crate::budget::Exhausted;
use crate::budget::Share;

/// Time without data after which a stream of parts counts as lost.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1300);
/// Interval at which [`Part::Mark`] is sent as a keep-alive while there is no other part to send.
pub const MARK_INTERVAL: Duration = Duration::from_millis(400);

/// Why no further part can be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No data arrived for [`SILENCE_LIMIT`].
    #[error("no data for {SILENCE_LIMIT:?}")]
    Silent,
    /// The connection broke, or the stream ended too early.
    #[error("stream broke: {0}")]
    Broken(String),
    /// There is no room for the bytes of an unfinished part beside others.
    #[error(transparent)]
    NoRoom(#[from] Exhausted),
    /// The bytes are not parts.
    #[error(transparent)]
    Malformed(#[from] codec::Error),
}

/// The parts of one body.
#[derive(Debug)]
pub struct Parts {
    body: Body,
    decoder: Decoder,
    /// Parts that were put back, next first.
    put_back: VecDeque<Part>,
    /// Room for bytes that have arrived and are not a whole part yet, if it is limited.
    room: Option<Room>,
}

/// Room for the bytes of unfinished parts.
#[derive(Debug)]
struct Room {
    share: Share,
    evicted: oneshot::Receiver<()>,
    bytes: usize,
}

impl Room {
    /// Makes room for a number of bytes, which is kept for later parts.
    async fn hold(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let added = bytes.saturating_sub(self.bytes);
        if added != 0 {
            self.share.grow(added).await?;
            self.bytes = bytes;
        }
        self.share.advance();
        Ok(())
    }
}

impl Parts {
    /// Starts reading a body.
    pub fn new<B>(body: B) -> Self
    where
        B: HttpBody<Data = Bytes> + Send + Sync + 'static,
        B::Error: Into<Cause>,
    {
        Parts {
            body: body.map_err(Into::into).boxed(),
            decoder: Decoder::default(),
            put_back: VecDeque::new(),
            room: None,
        }
    }

    /// Starts reading a body whose unfinished parts count against a budget.
    ///
    /// ```
    /// use lavendergauge_net::body;
    /// use lavendergauge_net::budget::Budget;
    /// use lavendergauge_net::parts::Parts;
    /// let _parts = Parts::with_budget(body::empty(), &Budget::new("bodies", 1 << 20));
    /// ```
    pub fn with_budget<B>(body: B, budget: &Arc<Budget>) -> Self
    where
        B: HttpBody<Data = Bytes> + Send + Sync + 'static,
        B::Error: Into<Cause>,
    {
        let (share, evicted) = budget.share();
        Parts { room: Some(Room { share, evicted, bytes: 0 }), ..Parts::new(body) }
    }

    /// Puts a part back, so that it is returned next.
    pub fn put_back(&mut self, part: Part) {
        self.put_back.push_front(part);
    }

    /// Returns the next part that has already arrived, if any; marks are skipped.
    ///
    /// # Errors
    /// [`Error::Malformed`] when the bytes are not a part.
    pub fn try_next(&mut self) -> Result<Option<Part>, Error> {
        if let Some(part) = self.put_back.pop_front() {
            return Ok(Some(part));
        }
        loop {
            match self.decoder.next()? {
                Some(Part::Mark) => {}
                part => return Ok(part),
            }
        }
    }

    /// Waits for the next part; marks are skipped, but restart [`SILENCE_LIMIT`] like any data.
    ///
    /// # Errors
    /// [`Error::Silent`] when no data arrives in time, [`Error::Broken`] when the connection breaks
    /// or the body ends, [`Error::NoRoom`] when the budget has no room, and [`Error::Malformed`]
    /// when the bytes are not a part.
    pub async fn next(&mut self) -> Result<Part, Error> {
        loop {
            if let Some(part) = self.try_next()? {
                return Ok(part);
            }
            let frame = tokio::select! {
                frame = time::timeout(SILENCE_LIMIT, self.body.frame()) => frame,
                () = evicted(&mut self.room) => return Err(Exhausted.into()),
            };
            match frame.map_err(|_| Error::Silent)? {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        if let Some(room) = &mut self.room {
                            room.hold(self.decoder.len() + bytes.len()).await?;
                        }
                        self.decoder.push(bytes);
                    }
                }
                Some(Err(error)) => return Err(Error::Broken(error.to_string())),
                None => return Err(Error::Broken("ended too early".to_owned())),
            }
        }
    }
}

/// Waits until room is taken away for others; for ever if it is not limited.
async fn evicted(room: &mut Option<Room>) {
    let evicted = match room {
        Some(room) => (&mut room.evicted).await.is_ok(),
        None => false,
    };
    if !evicted {
        std::future::pending().await
    }
}

/// Encodes parts, one after the other, into one buffer.
///
/// # Errors
/// When a part is longer than the protocol allows.
///
/// ```
/// use lavendergauge_net::parts;
/// use lavendergauge_wire::part::Part;
/// assert!(!parts::encode(&[Part::Mark]).unwrap().is_empty());
/// ```
pub fn encode(parts: &[Part]) -> Result<Bytes, codec::Error> {
    let mut buffer = BytesMut::new();
    for part in parts {
        part::encode(part, &mut buffer)?;
    }
    Ok(buffer.freeze())
}
