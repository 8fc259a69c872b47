//! Encodings of wire types: MessagePack between lavendergauge's processes, JSON for people and
//! their tools.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Media type of MessagePack bodies.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Media type of JSON bodies.
pub const JSON: &str = "application/json";
/// Media type of problem documents as in RFC 9457.
pub const PROBLEM: &str = "application/problem+json";

/// Why a body could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value cannot be represented in MessagePack.
    #[error("cannot encode as MessagePack: {0}")]
    Pack(#[from] rmp_serde::encode::Error),
    /// The bytes are not a value of the type in MessagePack.
    #[error("malformed MessagePack: {0}")]
    Unpack(#[from] rmp_serde::decode::Error),
    /// The value cannot be represented in JSON, or the bytes are not a value of the type in JSON.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A part of a stream is longer than the protocol allows.
    #[error("malformed part: {0}")]
    Part(std::io::Error),
}

/// Encodes a value as MessagePack with named fields.
///
/// # Errors
/// [`Error::Pack`] when the value cannot be represented in MessagePack.
///
/// ```
/// use lavendergauge_wire::codec;
/// let bytes = codec::pack(&vec![1_u32, 2]).unwrap();
/// assert_eq!(codec::unpack::<Vec<u32>>(&bytes).unwrap(), [1, 2]);
/// ```
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    Ok(Bytes::from(rmp_serde::to_vec_named(value)?))
}

/// Encodes a value as MessagePack without the names of fields, for values whose length is limited;
/// [`unpack`] reads both forms.
///
/// # Errors
/// [`Error::Pack`] when the value cannot be represented in MessagePack.
///
/// ```
/// use lavendergauge_wire::codec;
/// let bytes = codec::pack_unnamed(&vec![1_u32, 2]).unwrap();
/// assert_eq!(codec::unpack::<Vec<u32>>(&bytes).unwrap(), [1, 2]);
/// ```
pub fn pack_unnamed<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    Ok(Bytes::from(rmp_serde::to_vec(value)?))
}

/// Decodes a value from MessagePack.
///
/// # Errors
/// [`Error::Unpack`] when the bytes are not a value of the type in MessagePack.
///
/// ```
/// use lavendergauge_wire::codec;
/// assert!(codec::unpack::<Vec<u32>>(b"\xc1").is_err());
/// ```
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Encodes a value as JSON.
///
/// # Errors
/// [`Error::Json`] when the value cannot be represented in JSON, such as a map with keys that are
/// not strings.
///
/// ```
/// use lavendergauge_wire::codec;
/// assert_eq!(codec::to_json(&[1, 2]).unwrap().as_ref(), b"[1,2]");
/// ```
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    Ok(Bytes::from(serde_json::to_vec(value)?))
}

/// Decodes a value from JSON.
///
/// # Errors
/// [`Error::Json`] when the bytes are not a value of the type in JSON.
///
/// ```
/// use lavendergauge_wire::codec;
/// assert!(codec::from_json::<u32>(b"{").is_err());
/// ```
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    Ok(serde_json::from_slice(bytes)?)
}
