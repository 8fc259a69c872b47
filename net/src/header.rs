//! Hop-by-hop and end-to-end header lines, and their conversion for the wire.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use lavendergauge_wire::part::Headers;

/// Prefix of the headers that lavendergauge itself defines.
pub const OWN_PREFIX: &str = "lavendergauge-";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the header lines that are forwarded to the other end of the path.
///
/// Left out are the hop-by-hop headers, those that `Connection` names, and lavendergauge's own,
/// so that no outside caller or target can forge them.
///
/// ```
/// use hyper::HeaderMap;
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("lavendergauge-outcome", "ran".parse().unwrap());
/// headers.insert("x-end", "2".parse().unwrap());
/// let lines = lavendergauge_net::header::end_to_end(&headers);
/// assert_eq!(lines, [("x-end".into(), "2".into())]);
/// ```
pub fn end_to_end(headers: &HeaderMap) -> Headers {
    let named: Vec<&str> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(name)
                && !name.as_str().starts_with(OWN_PREFIX)
                && !named.iter().any(|named| named.eq_ignore_ascii_case(name.as_str()))
        })
        .map(|(name, value)| to_line(name, value))
        .collect()
}

fn to_line(name: &HeaderName, value: &HeaderValue) -> (Bytes, Bytes) {
    (Bytes::copy_from_slice(name.as_str().as_bytes()), Bytes::copy_from_slice(value.as_bytes()))
}

/// Converts header lines to a map; lines that are not valid HTTP are left out.
///
/// ```
/// let map = lavendergauge_net::header::to_map(&vec![("x-end".into(), "2".into())]);
/// assert_eq!(map["x-end"], "2");
/// ```
pub fn to_map(lines: &Headers) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(lines.len());
    for (name, value) in lines {
        let name = HeaderName::from_bytes(name).ok();
        let value = HeaderValue::from_maybe_shared(value.clone()).ok();
        if let Some((name, value)) = name.zip(value) {
            map.append(name, value);
        }
    }
    map
}
