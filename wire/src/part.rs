//! Parts of one request or answer on the stream between an entry and an agent.
//!
//! Unlike the other border types these are written by hand: a JSON Schema has no
//! form for raw bytes, and a body must not be written as a list of numbers.

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

/// Most bytes of data in one part.
pub const DATA_LIMIT: usize = 64 << 10;
/// Most bytes of one encoded part.
const PART_LIMIT: usize = 256 << 10;

/// Header lines in order, as name and value.
pub type Headers = Vec<(Bytes, Bytes)>;

/// The first part of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// What the entry says about the request.
    pub ticket: Ticket,
    /// HTTP method towards the target.
    pub method: String,
    /// Path and query towards the target.
    pub path: String,
    /// Header lines towards the target.
    pub headers: Headers,
    /// Number of the answer's body bytes that the entry already has.
    pub from: u64,
}

/// The first part of an answer, which says whose answer it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The request's key.
    pub key: String,
    /// The attempt that is answered.
    pub attempt: u32,
    /// The agent's process.
    pub incarnation: u64,
    /// Slots in use at the target.
    pub used: u32,
    /// The agent's own clock, in milliseconds.
    pub clock_ms: u64,
}

/// Why an agent did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// All slots are taken.
    Full,
    /// There is no fresh start permit.
    NoPermit,
    /// The target takes no new work.
    Leaving,
    /// The key was fenced here when someone asked about it.
    Fenced,
    /// The key was used with another request.
    Mismatch,
    /// The target cannot be reached.
    Unreachable,
    /// The request did not arrive whole.
    Cut,
    /// Another process has taken the place of the agent that was meant.
    Replaced,
    /// The ticket is so old that a record of it may have been forgotten.
    Stale,
    /// The agent has no room to remember one more key.
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

/// The last part of a body that is whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Bytes of the whole body.
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
    /// The sender is alive and has nothing to say yet.
    Mark,
    /// The request holds a slot; its body may follow.
    Admitted,
    /// The request did not run here; the last part.
    Refused(Refusal),
    /// The request's outcome is in doubt for good; the last part.
    Doubt(String),
    /// The request ran, but its answer is no longer kept; the last part.
    Dropped,
    /// The answer's head.
    Head(Head),
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole; the last part.
    End(End),
}

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

/// Takes parts out of bytes as they arrive.
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
    /// Takes in bytes.
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

    /// Returns the next whole part, or `None` while more bytes are needed.
    ///
    /// # Errors
    /// When the bytes are not a part.
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
