//! Encodings of border types: MessagePack between our processes, JSON towards people.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Media type of MessagePack bodies.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Media type of JSON bodies.
pub const JSON: &str = "application/json";
/// Media type of problem documents after RFC 9457.
pub const PROBLEM: &str = "application/problem+json";

/// Why a body could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value has no MessagePack form.
    #[error("cannot encode as MessagePack: {0}")]
    Pack(#[from] rmp_serde::encode::Error),
    /// The bytes are not the MessagePack form of the type.
    #[error("malformed MessagePack: {0}")]
    Unpack(#[from] rmp_serde::decode::Error),
    /// The value has no JSON form, or the bytes are not the JSON form of the type.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A part of a stream is too long.
    #[error("malformed part: {0}")]
    Part(std::io::Error),
}

/// Encodes a value as MessagePack with named fields.
///
/// # Errors
/// [`Error::Pack`] when the value holds a map with non-string keys or the like.
///
/// ```
/// use lavendergauge_wire::codec;
/// let bytes = codec::pack(&vec![1_u32, 2]).unwrap();
/// assert_eq!(codec::unpack::<Vec<u32>>(&bytes).unwrap(), [1, 2]);
/// ```
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    Ok(Bytes::from(rmp_serde::to_vec_named(value)?))
}

/// Decodes a value from MessagePack.
///
/// # Errors
/// [`Error::Unpack`] when the bytes are not the type's MessagePack form.
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
/// [`Error::Json`] when the value has no JSON form.
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
/// [`Error::Json`] when the bytes are not the type's JSON form.
///
/// ```
/// use lavendergauge_wire::codec;
/// assert!(codec::from_json::<u32>(b"{").is_err());
/// ```
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    Ok(serde_json::from_slice(bytes)?)
}
