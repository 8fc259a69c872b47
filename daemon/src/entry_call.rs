//! A caller's request as an entry takes it in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::queue::Class;
use lavendergauge_net::header;
use lavendergauge_wire::part::DATA_LIMIT;
use lavendergauge_wire::part::Headers;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Mutex;
use tokio::time;
use tokio::time::Instant;

/// Header in which a caller names its request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header in which a caller marks a request as idempotent or not.
pub const IDEMPOTENT_HEADER: &str = "lavendergauge-idempotent";
/// Header in which a caller says how long it waits for the answer's head, in milliseconds.
pub const DEADLINE_HEADER: &str = "lavendergauge-deadline-ms";
/// Header in which a caller names its client account.
pub const ACCOUNT_HEADER: &str = "lavendergauge-account";
/// Header in which a caller says how urgent a request is.
pub const CLASS_HEADER: &str = "lavendergauge-class";
/// Most characters of a key.
const KEY_LIMIT: usize = 200;
/// Deadline of a request whose caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest deadline.
const DEADLINE_LIMIT: Duration = Duration::from_secs(3600);
/// Time that a caller may take between two pieces of its body.
const CALLER_PATIENCE: Duration = Duration::from_secs(30);

/// Why a request is not taken in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A field is not what it should be.
    #[error("`{0}` {1}")]
    Field(&'static str, &'static str),
    /// The body did not come in time.
    #[error("the body did not come in time")]
    Late,
}

/// A caller's request; of a long body only the beginning has been read.
#[derive(Debug)]
pub struct Call {
    /// The caller's client account.
    pub account: Name,
    /// The request's key, given by the caller or drawn here.
    pub key: String,
    /// Whether the caller gave the key.
    pub given: bool,
    /// Whether running the request twice is as good as running it once.
    pub idempotent: bool,
    /// How urgent the request is.
    pub class: Class,
    /// Until when the caller waits for the answer's head.
    pub deadline: Instant,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header lines towards the target.
    pub headers: Headers,
    /// SHA-256 of method, path, declared length and the body's first part, in hexadecimal.
    pub digest: String,
    /// The body's first part.
    pub begun: Bytes,
    /// Trailer lines, when the body is whole.
    pub trailers: Headers,
    /// By what the outcome can be asked for, once the request was handed over.
    pub handle: String,
    /// The rest of a long body.
    pub rest: Option<Arc<Mutex<Incoming>>>,
}

impl Call {
    /// Tells whether the whole body has been read.
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns the time left until the caller's deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reads a request's head and the first part of its body.
///
/// # Errors
/// [`Error`] when the request is malformed or does not come in time.
pub async fn read(request: Request<Incoming>) -> Result<Call, Error> {
    let (head, mut body) = request.into_parts();
    let deadline = Instant::now() + deadline(&head.headers)?;
    let (key, given) = key(&head.headers)?;
    let (idempotent, class) = (idempotent(&head)?, class(&head.headers)?);
    let account = Name::from(text(&head.headers, ACCOUNT_HEADER));
    let (begun, trailers, whole) = read_begun(&mut body).await?;
    let handle = if given { key.clone() } else { String::new() };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    Ok(Call {
        account,
        given,
        idempotent,
        class,
        deadline,
        digest: digest(&head, &path, &begun),
        headers: headers(&head, &key, &begun, whole),
        key,
        method: head.method,
        path,
        begun,
        trailers,
        handle,
        rest: (!whole).then(|| Arc::new(Mutex::new(body))),
    })
}

/// Returns a header's text; empty when there is none.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn deadline(headers: &HeaderMap) -> Result<Duration, Error> {
    match text(headers, DEADLINE_HEADER) {
        "" => Ok(DEFAULT_DEADLINE),
        text => match text.parse().map(Duration::from_millis) {
            Ok(deadline) => Ok(deadline.min(DEADLINE_LIMIT)),
            Err(_) => Err(Error::Field(DEADLINE_HEADER, "is not a number of milliseconds")),
        },
    }
}

fn key(headers: &HeaderMap) -> Result<(String, bool), Error> {
    if headers.get(KEY_HEADER).is_none() {
        return Ok((format!("{:032x}", rand::random::<u128>()), false));
    }
    let key = text(headers, KEY_HEADER).trim();
    let key = key.strip_prefix('"').and_then(|key| key.strip_suffix('"')).unwrap_or(key);
    let plain = key.bytes().all(|byte| byte.is_ascii_graphic() && !b"\"#%/?".contains(&byte));
    if key.is_empty() || KEY_LIMIT < key.len() || !plain {
        let text = "is not 1 to 200 visible ASCII characters other than \" # % / ?";
        return Err(Error::Field(KEY_HEADER, text));
    }
    Ok((key.to_owned(), true))
}

fn idempotent(head: &Parts) -> Result<bool, Error> {
    match text(&head.headers, IDEMPOTENT_HEADER) {
        "" => Ok(head.method.is_idempotent()),
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(Error::Field(IDEMPOTENT_HEADER, "is neither `true` nor `false`")),
    }
}

fn class(headers: &HeaderMap) -> Result<Class, Error> {
    match text(headers, CLASS_HEADER) {
        "urgent" => Ok(Class::Urgent),
        "" | "ordinary" => Ok(Class::Ordinary),
        "batch" => Ok(Class::Batch),
        _ => Err(Error::Field(CLASS_HEADER, "is not `urgent`, `ordinary` or `batch`")),
    }
}

/// Reads a body to its end or to [`DATA_LIMIT`], whichever comes first.
async fn read_begun(body: &mut Incoming) -> Result<(Bytes, Headers, bool), Error> {
    let mut begun = BytesMut::new();
    let mut trailers = Vec::new();
    while !body.is_end_stream() && begun.len() < DATA_LIMIT {
        let frame = time::timeout(CALLER_PATIENCE, body.frame()).await;
        match frame {
            Ok(None) => return Ok((begun.freeze(), trailers, true)),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => begun.extend_from_slice(&data),
                Err(other) => trailers = trailer_lines(other),
            },
            Ok(Some(Err(_))) => return Err(Error::Field("body", "broke off")),
            Err(_) => return Err(Error::Late),
        }
    }
    let whole = body.is_end_stream();
    Ok((begun.freeze(), trailers, whole))
}

/// Returns the lines of a trailer frame.
pub fn trailer_lines(frame: Frame<Bytes>) -> Headers {
    header::end_to_end(&frame.into_trailers().unwrap_or_default())
}

/// Returns the header lines towards the target, with the key and the body's true length.
fn headers(head: &Parts, key: &str, begun: &Bytes, whole: bool) -> Headers {
    let mut lines = header::end_to_end(&head.headers);
    let is = |name: &Bytes, header: HeaderName| name == header.as_str().as_bytes();
    lines.retain(|(name, _)| {
        let replaced = name == KEY_HEADER.as_bytes() || whole && is(name, CONTENT_LENGTH);
        !(replaced || is(name, AUTHORIZATION) || is(name, HOST) || is(name, EXPECT))
    });
    lines.push((Bytes::from_static(KEY_HEADER.as_bytes()), Bytes::from(key.to_owned())));
    if whole && !begun.is_empty() {
        let length = Bytes::from(begun.len().to_string());
        lines.push((Bytes::from_static(CONTENT_LENGTH.as_str().as_bytes()), length));
    }
    lines
}

/// Returns the SHA-256 of what makes a request this request.
fn digest(head: &Parts, path: &str, begun: &Bytes) -> String {
    let mut hash = Sha256::new();
    for part in [head.method.as_str(), path, text(&head.headers, CONTENT_LENGTH.as_str())] {
        hash.update(part);
        hash.update([0]);
    }
    hash.update(begun);
    hex(&hash.finalize())
}

/// Writes bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
