//! Calls to an entry's administration API.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::AUTHORIZATION;
use hyper::header::ETAG;
use hyper::header::IF_MATCH;
use hyper::header::LINK;
use lavendergauge_derive::value;
use lavendergauge_net::body;
use lavendergauge_net::client::Client;
use lavendergauge_wire::codec;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error;
use crate::error::Error;

/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(10);
/// Header that identifies a change or job, so that a repeat is the same.
const KEY_HEADER: &str = "idempotency-key";

/// A client of one entry.
#[derive(Clone, Debug)]
pub struct Api {
    address: String,
    key: String,
    client: Client,
}

/// A resource with the revision it was read at.
#[value]
pub struct Tagged<T> {
    /// The resource.
    pub value: T,
    /// Tag that a change of it names.
    pub tag: String,
}

/// What a change of a resource says besides its body.
#[value]
#[derive(Default)]
pub struct Terms {
    /// Revision that the change is made on; empty when the call needs none.
    pub tag: String,
    /// Identifier of the change; empty for a random one.
    pub id: String,
}

impl Api {
    /// Makes a client of the entry at a control address, with an access key or none.
    ///
    /// ```no_run
    /// use lavendergauge_net::client::Client;
    /// let _api = lavendergauge_cli::api::Api::new("127.0.0.1:7001", "", Client::default());
    /// ```
    pub fn new(address: &str, key: &str, client: Client) -> Self {
        Api { address: address.to_owned(), key: key.to_owned(), client }
    }

    /// Returns the entry's control address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Reads a resource.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn read<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        Ok(self.read_tagged(path).await?.value)
    }

    /// Reads a resource with its revision.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn read_tagged<A: DeserializeOwned>(&self, path: &str) -> Result<Tagged<A>, Error> {
        let answer = self.call(Method::GET, path, &Terms::default(), Bytes::new()).await?;
        let tag = header(&answer, ETAG.as_str()).to_owned();
        Ok(Tagged { value: decode(&answer)?, tag })
    }

    /// Reads a whole list, page by page.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn list<A: DeserializeOwned>(&self, path: &str) -> Result<Vec<A>, Error> {
        let mut items = Vec::new();
        let mut next = path.to_owned();
        loop {
            let answer = self.call(Method::GET, &next, &Terms::default(), Bytes::new()).await?;
            items.extend(decode::<Vec<A>>(&answer)?);
            match following(header(&answer, LINK.as_str()), path) {
                Some(path) => next = path,
                None => return Ok(items),
            }
        }
    }

    /// Sends a value and reads the answer.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn send<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        terms: &Terms,
        value: &impl Serialize,
    ) -> Result<A, Error> {
        let bytes = codec::to_json(value).map_err(malformed)?;
        decode(&self.call(method, path, terms, bytes).await?)
    }

    /// Removes a resource and reads the answer.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn remove<A: DeserializeOwned>(&self, path: &str, terms: &Terms) -> Result<A, Error> {
        decode(&self.call(Method::DELETE, path, terms, Bytes::new()).await?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        terms: &Terms,
        bytes: Bytes,
    ) -> Result<Response<Bytes>, Error> {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        if !self.key.is_empty() {
            request = request.header(AUTHORIZATION, format!("Bearer {}", self.key));
        }
        if !terms.tag.is_empty() {
            request = request.header(IF_MATCH, &terms.tag);
        }
        if !terms.id.is_empty() {
            request = request.header(KEY_HEADER, &terms.id);
        }
        let request = request.body(body::full(bytes)).map_err(|error| {
            Error::coded(error::USAGE, format!("the call cannot be made: {error}"), "")
        })?;
        let answer = self.client.fetch(request, DEADLINE).await.map_err(|cause| {
            let code = if cause.never_sent() { error::UNREACHABLE } else { error::UNKNOWN };
            let text = format!("no answer from the entry at {}: {cause}", self.address);
            Error::coded(code, text, "name another entry's control address with --entry")
        })?;
        if answer.status().is_success() { Ok(answer) } else { Err(refusal(&answer)) }
    }
}

/// Turns an error answer into what a person reads.
///
/// ```
/// use lavendergauge_cli::api;
/// let answer = hyper::Response::builder().status(502).body(bytes::Bytes::new()).unwrap();
/// assert_eq!(api::refusal(&answer).text, "the entry answered with status 502 Bad Gateway");
/// ```
pub fn refusal(answer: &Response<Bytes>) -> Error {
    match codec::from_json::<Detail>(answer.body()) {
        Ok(detail) => {
            let unknown = detail.outcome == Outcome::Unknown;
            let code = if unknown { error::UNKNOWN } else { error::REFUSED };
            Error { text: detail.detail, hint: detail.hint, code }
        }
        Err(_) => {
            let text = format!("the entry answered with status {}", answer.status());
            Error::coded(error::UNKNOWN, text, "")
        }
    }
}

fn header<'a>(answer: &'a Response<Bytes>, name: &str) -> &'a str {
    answer.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Returns the path of the next page; the filters of the first one go on.
fn following(link: &str, first: &str) -> Option<String> {
    let next = link.strip_prefix('<')?.split_once('>')?.0;
    match first.split_once('?') {
        Some((_, query)) => Some(format!("{next}&{query}")),
        None => Some(next.to_owned()),
    }
}

fn decode<A: DeserializeOwned>(answer: &Response<Bytes>) -> Result<A, Error> {
    codec::from_json(answer.body()).map_err(malformed)
}

fn malformed(error: codec::Error) -> Error {
    Error::refused(error.to_string(), "the entry may run another version")
}
