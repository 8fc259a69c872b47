//! Parts of a request or an answer on the stream between an entry and an agent.
//!
//! Unlike the other wire types these are written by hand: JSON Schema has no type for raw bytes,
//! and a body must not be encoded as a list of numbers.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder as _;
use tokio_util::codec::LengthDelimitedCodec;

use crate::codec;
use crate::request::Ticket;

/// Maximum length of the data in one part, in bytes.
pub const DATA_LIMIT: usize = 64 << 10;
/// Maximum length of one encoded part, in bytes.
const PART_LIMIT: usize = 256 << 10;

/// Header lines in order, as name and value.
pub type Headers = Vec<(Bytes, Bytes)>;

/// The first part of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// The entry's ticket for the request.
    pub ticket: Ticket,
    /// HTTP method for the target.
    pub method: String,
    /// Path and query for the target.
    pub path: String,
    /// Header lines for the target.
    pub headers: Headers,
    /// Number of bytes of the answer's body that the entry already has.
    pub from: u64,
}

/// The first part of an answer, which identifies the request and the agent that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The request's key.
    pub key: String,
    /// Number of the attempt that is answered.
    pub attempt: u32,
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Number of slots in use at the target.
    pub used: u32,
    /// The agent's own clock, in milliseconds.
    pub clock_ms: u64,
}

/// Why an agent did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// All slots are taken.
    Full,
    /// The agent has no valid start permit.
    NoPermit,
    /// The target takes no new work.
    Leaving,
    /// The key was fenced by an earlier query about it, so its request must not start here.
    Fenced,
    /// The key was used before with a different request.
    Mismatch,
    /// The target cannot be reached.
    Unreachable,
    /// The request did not arrive complete.
    Cut,
    /// The agent's process is not the incarnation that the request was addressed to.
    Replaced,
    /// The ticket is so old that the record of an earlier run may have been dropped.
    Stale,
    /// The agent's table of keys is full.
    Crowded,
}

/// The head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
}

/// The last part of a complete body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Length of the whole body, in bytes.
    pub length: u64,
    /// SHA-256 of the whole body.
    pub digest: Bytes,
    /// Trailer lines.
    pub trailers: Headers,
}

/// One part of a request or an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// Begins a request.
    Open(Box<Open>),
    /// Begins an answer.
    Hello(Hello),
    /// Keep-alive, sent while there is no other part to send.
    Mark,
    /// The request has a slot; its body may follow.
    Admitted,
    /// The request did not run here, for this reason; the last part.
    Refused(Refusal),
    /// It cannot be determined whether the request ran; the last part.
    Doubt(String),
    /// The request ran, but its answer is no longer kept; the last part.
    Dropped,
    /// The answer's head.
    Head(Head),
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete; the last part.
    End(End),
}

/// Returns the codec that puts each part's length in front of it.
fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(PART_LIMIT).new_codec()
}

/// Appends a part to a buffer.
///
/// # Errors
/// [`codec::Error::Part`] when the part is longer than the protocol allows.
///
/// ```
/// use bytes::BytesMut;
/// use lavendergauge_wire::part::{Decoder, Part, encode};
/// let mut buffer = BytesMut::new();
/// encode(&Part::Mark, &mut buffer).unwrap();
/// let mut decoder = Decoder::default();
/// decoder.push(buffer);
/// assert_eq!(decoder.next().unwrap(), Some(Part::Mark));
/// ```
pub fn encode(part: &Part, buffer: &mut BytesMut) -> Result<(), codec::Error> {
    framing().encode(codec::pack(part)?, buffer).map_err(codec::Error::Part)
}

/// Decodes parts from bytes as they arrive.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    framing: LengthDelimitedCodec,
}

impl Default for Decoder {
    fn default() -> Self {
        Decoder { buffer: BytesMut::new(), framing: framing() }
    }
}

impl Decoder {
    /// Appends bytes that have arrived.
    ///
    /// ```
    /// lavendergauge_wire::part::Decoder::default().push(&b"\0"[..]);
    /// ```
    pub fn push(&mut self, mut bytes: impl Buf) {
        while bytes.has_remaining() {
            let chunk = bytes.chunk();
            let length = chunk.len();
            self.buffer.extend_from_slice(chunk);
            bytes.advance(length);
        }
    }

    /// Returns the number of bytes that are not a complete part yet, or have not been taken.
    ///
    /// ```
    /// use lavendergauge_wire::part::Decoder;
    /// let mut decoder = Decoder::default();
    /// decoder.push(&b"\0"[..]);
    /// assert_eq!(decoder.len(), 1);
    /// ```
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Tells whether all bytes have been taken.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next complete part, or `None` when more bytes are needed.
    ///
    /// # Errors
    /// When the bytes are not a part, or the part is longer than the protocol allows.
    ///
    /// ```
    /// use lavendergauge_wire::part::Decoder;
    /// assert_eq!(Decoder::default().next().unwrap(), None);
    /// ```
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Part>, codec::Error> {
        match self.framing.decode(&mut self.buffer).map_err(codec::Error::Part)? {
            Some(bytes) => Ok(Some(codec::unpack(&bytes)?)),
            None => Ok(None),
        }
    }
}
