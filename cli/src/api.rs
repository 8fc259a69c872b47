//! Client of an entry's administration API.

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

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Header that identifies a change or job, so that sending it again has no further effect.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Client of one entry.
#[derive(Clone, Debug)]
pub struct Api {
    address: String,
    key: String,
    client: Client,
}

/// A resource and the ETag of the revision that was read.
#[value]
pub struct Versioned<T> {
    /// The resource.
    pub value: T,
    /// ETag for the `If-Match` header of a change; empty when the response has none.
    pub etag: String,
}

/// Optional headers of a call.
#[value]
#[derive(Default)]
pub struct Headers {
    /// ETag of the revision that a change is based on, for `If-Match`; empty to leave it out.
    pub if_match: String,
    /// Identifier of the change or job, for `Idempotency-Key`; empty to leave it out.
    pub idempotency_key: String,
}

impl Api {
    /// Makes a client of the entry at a control address. An empty access key sends no credentials.
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
    /// When the entry cannot be reached or refuses the call.
    pub async fn read<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        Ok(self.read_with_etag(path).await?.value)
    }

    /// Reads a resource and its ETag.
    ///
    /// # Errors
    /// When the entry cannot be reached or refuses the call.
    pub async fn read_with_etag<A: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Versioned<A>, Error> {
        let response = self.call(Method::GET, path, &Headers::default(), Bytes::new()).await?;
        let etag = header(&response, ETAG.as_str()).to_owned();
        Ok(Versioned { value: decode(&response)?, etag })
    }

    /// Reads a whole list, following the link from each page to the next.
    ///
    /// # Errors
    /// When the entry cannot be reached or refuses the call.
    pub async fn list<A: DeserializeOwned>(&self, path: &str) -> Result<Vec<A>, Error> {
        let mut items = Vec::new();
        let mut next = path.to_owned();
        loop {
            let response = self.call(Method::GET, &next, &Headers::default(), Bytes::new()).await?;
            items.extend(decode::<Vec<A>>(&response)?);
            match next_page(header(&response, LINK.as_str()), path) {
                Some(path) => next = path,
                None => return Ok(items),
            }
        }
    }

    /// Sends a value as JSON and decodes the response.
    ///
    /// # Errors
    /// When the entry cannot be reached or refuses the call.
    pub async fn send<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        headers: &Headers,
        value: &impl Serialize,
    ) -> Result<A, Error> {
        let bytes = codec::to_json(value).map_err(codec_error)?;
        decode(&self.call(method, path, headers, bytes).await?)
    }

    /// Removes a resource and decodes the response.
    ///
    /// # Errors
    /// When the entry cannot be reached or refuses the call.
    pub async fn remove<A: DeserializeOwned>(
        &self,
        path: &str,
        headers: &Headers,
    ) -> Result<A, Error> {
        decode(&self.call(Method::DELETE, path, headers, Bytes::new()).await?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &Headers,
        bytes: Bytes,
    ) -> Result<Response<Bytes>, Error> {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        if !self.key.is_empty() {
            request = request.header(AUTHORIZATION, format!("Bearer {}", self.key));
        }
        if !headers.if_match.is_empty() {
            request = request.header(IF_MATCH, &headers.if_match);
        }
        if !headers.idempotency_key.is_empty() {
            request = request.header(IDEMPOTENCY_KEY, &headers.idempotency_key);
        }
        let request = request.body(body::full(bytes)).map_err(|error| {
            Error::with_code(error::USAGE, format!("invalid request: {error}"), "")
        })?;
        let response = self.client.fetch(request, CALL_TIMEOUT).await.map_err(|cause| {
            let code = if cause.never_sent() { error::UNREACHABLE } else { error::UNKNOWN };
            let text = format!("no answer from the entry at {}: {cause}", self.address);
            Error::with_code(code, text, "pass the control address of another entry with --entry")
        })?;
        if response.status().is_success() { Ok(response) } else { Err(read_error(&response)) }
    }
}

/// Converts a response with an error status into an error with the entry's message and hint.
///
/// A response without problem details leaves open whether the call took effect.
///
/// ```
/// use lavendergauge_cli::api;
/// let response = hyper::Response::builder().status(502).body(bytes::Bytes::new()).unwrap();
/// assert_eq!(api::read_error(&response).text, "the entry answered with status 502 Bad Gateway");
/// ```
pub fn read_error(response: &Response<Bytes>) -> Error {
    match codec::from_json::<Detail>(response.body()) {
        Ok(detail) => {
            let is_unknown = detail.outcome == Outcome::Unknown;
            let code = if is_unknown { error::UNKNOWN } else { error::REFUSED };
            Error { text: detail.detail, hint: detail.hint, code }
        }
        Err(_) => {
            let text = format!("the entry answered with status {}", response.status());
            Error::with_code(error::UNKNOWN, text, "")
        }
    }
}

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Returns the path of the next page from a `Link` header, with the query of the first page.
fn next_page(link: &str, first: &str) -> Option<String> {
    let next = link.strip_prefix('<')?.split_once('>')?.0;
    match first.split_once('?') {
        Some((_, query)) => Some(format!("{next}&{query}")),
        None => Some(next.to_owned()),
    }
}

fn decode<A: DeserializeOwned>(response: &Response<Bytes>) -> Result<A, Error> {
    codec::from_json(response.body()).map_err(codec_error)
}

fn codec_error(error: codec::Error) -> Error {
    Error::refused(error.to_string(), "the entry may run another version of lavendergauge")
}
