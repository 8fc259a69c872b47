//! Shared parts of the administration API's resources: calls, refusals, revisions and paging.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::ETAG;
use hyper::header::HeaderValue;
use hyper::header::IF_MATCH;
use hyper::header::LINK;
use hyper::http::request::Parts;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::codec;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use lavendergauge_wire::strict;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smallvec::SmallVec;

use crate::access;
use crate::access::Caller;
use crate::entry::Entry;
use crate::entry_service::KEY_HEADER;
use crate::preview::Snapshot;
use crate::problem;
use crate::record::ENDED_PREFIX;
use crate::record::JOBS_PREFIX;
use crate::store;
use crate::valid::Fault;

/// Number of items on a page when the caller gives no `limit`.
pub const DEFAULT_PAGE_ITEMS: usize = 2000;
/// Largest `limit` that a caller may give.
const MAX_PAGE_ITEMS: usize = 5000;

/// The problem document of a refused call.
pub type Refusal = Box<Detail>;

/// The response to a call, or its refusal.
pub type Reply = Result<Response<Body>, Refusal>;

/// One call to a resource.
pub struct Call {
    /// The entry that was called.
    pub entry: Arc<Entry>,
    /// The authenticated caller.
    pub caller: Caller,
    /// Head of the request.
    pub head: Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Values of the path's parameters, in order.
    pub names: SmallVec<[String; 2]>,
}

impl Call {
    /// Returns the value of a path parameter; empty when there is none at `index`.
    pub fn name(&self, index: usize) -> &str {
        self.names.get(index).map_or("", String::as_str)
    }

    /// Decodes the body.
    ///
    /// # Errors
    /// The problem document that names the invalid field.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        strict::from_json(&self.body).map_err(|fault| Fault::from(fault).problem())
    }

    /// Returns the identifier of the calling operator's key.
    ///
    /// # Errors
    /// The problem document when the caller is not an operator.
    pub fn operator(&self) -> Result<String, Refusal> {
        access::check_operator(&self.caller).map(str::to_owned)
    }

    /// Returns a header's text; empty when the header is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.head.uri.query().unwrap_or_default();
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        })
    }

    /// Returns the change's identifier: the caller's Idempotency-Key, or a random one.
    pub fn change_id(&self) -> String {
        match self.header(KEY_HEADER) {
            "" => format!("change-{:016x}", rand::random::<u64>()),
            key => key.to_owned(),
        }
    }

    /// Returns the revision that a change is based on, from If-Match; `*` stands for the newest.
    ///
    /// # Errors
    /// The problem document when If-Match is missing or is not a revision.
    pub fn base_revision(&self) -> Result<u64, Refusal> {
        let if_match = self.header(IF_MATCH.as_str());
        if if_match.is_empty() {
            let text = "a change needs If-Match with the revision that it is based on";
            let status = StatusCode::PRECONDITION_REQUIRED;
            let mut detail = problem::detail(status, "revision missing", Outcome::NotRun, text);
            detail.field = "if-match".to_owned();
            detail.hint = "send the ETag of the resource, or `*` for the newest".to_owned();
            return Err(Box::new(detail));
        }
        if if_match == "*" {
            return Ok(self.entry.core().document.revision);
        }
        if_match.trim_start_matches("W/").trim_matches('"').parse().map_err(|_| {
            let hint = "send the ETag of the resource, or `*` for the newest";
            Fault::new("if-match", "is not a revision", hint).problem()
        })
    }

    /// Answers with a value, and with its revision as the ETag.
    pub fn at_revision<T: Serialize>(&self, revision: u64, value: &T) -> Reply {
        let mut response = json(value);
        if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
            response.headers_mut().insert(ETAG, tag);
        }
        Ok(response)
    }

    /// Answers with one page of a list that is sorted by `key`, and a link to the next page.
    ///
    /// # Errors
    /// The problem document when `limit` is not a number, or is out of range.
    pub fn page<T: Serialize>(&self, items: Vec<T>, key: impl Fn(&T) -> &str) -> Reply {
        let limit = match self.parameter("limit") {
            None => DEFAULT_PAGE_ITEMS,
            Some(text) => match text.parse() {
                Ok(limit) if (1..=MAX_PAGE_ITEMS).contains(&limit) => limit,
                _ => {
                    let hint = format!("from 1 to {MAX_PAGE_ITEMS}");
                    return Err(Fault::new("limit", format!("is `{text}`"), hint).problem());
                }
            },
        };
        let after = self.parameter("after").unwrap_or_default();
        let mut rest = items.into_iter().filter(|item| after < key(item));
        let page: Vec<T> = rest.by_ref().take(limit).collect();
        let mut response = json(&page);
        if rest.next().is_some()
            && let Some(last) = page.last()
        {
            let path = self.head.uri.path();
            let link = format!("<{path}?after={}&limit={limit}>; rel=\"next\"", key(last));
            if let Ok(link) = HeaderValue::from_str(&link) {
                response.headers_mut().insert(LINK, link);
            }
        }
        Ok(response)
    }

    /// Returns the agents' newest announcements, sorted by worker name.
    pub fn frames(&self) -> Vec<Frame> {
        let mut frames: Vec<Frame> =
            self.entry.core().workers.iter().map(|worker| worker.frame.clone()).collect();
        frames.sort_by(|one, other| one.worker.cmp(&other.worker));
        frames
    }

    /// Reads every job's record from the store, sorted by identifier.
    ///
    /// # Errors
    /// The problem document when the store gives no answer.
    pub async fn records(&self) -> Result<Vec<Record>, Refusal> {
        let mut records = BTreeMap::new();
        // A job that ends between the two reads moves from the first prefix to the second, so that
        // this order of reads does not miss it.
        for prefix in [JOBS_PREFIX, ENDED_PREFIX] {
            let items = self.entry.store.list(prefix).await.map_err(|error| read_failed(&error))?;
            for item in items {
                if let Ok(record) = codec::from_json::<Record>(&item.value) {
                    records.insert(record.id.clone(), record);
                }
            }
        }
        Ok(records.into_values().collect())
    }

    /// Returns the inputs that a planner would decide from now.
    ///
    /// # Errors
    /// The problem document when the store gives no answer.
    pub async fn snapshot(&self) -> Result<Snapshot, Refusal> {
        let records = self.records().await?;
        let document = self.entry.core().document.clone();
        Ok(Snapshot { document, frames: self.frames(), records })
    }
}

/// Makes a response with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(body::full(codec::to_json(value).unwrap_or_default()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(codec::JSON));
    response
}

/// Makes the refusal of a call for something that does not exist.
pub fn not_found(what: &str, name: &str) -> Refusal {
    let text = format!("there is no {what} `{name}`");
    Box::new(problem::detail(StatusCode::NOT_FOUND, "not found", Outcome::NotRun, text))
}

/// Makes the refusal of a call that conflicts with the current state.
pub fn conflict(title: &str, text: impl Into<String>) -> Refusal {
    Box::new(problem::detail(StatusCode::CONFLICT, title, Outcome::NotRun, text))
}

/// Makes the refusal of a read that the store did not answer.
pub fn read_failed(error: &store::Error) -> Refusal {
    store_unavailable(error, Outcome::NotRun)
}

/// Makes the refusal of a write that failed; unless it was never sent, it may have taken effect.
pub fn write_failed(error: &store::Error) -> Refusal {
    if error.never_sent() {
        return read_failed(error);
    }
    let mut detail = store_unavailable(error, Outcome::Unknown);
    detail.hint =
        "repeat the call with the same Idempotency-Key to find out its outcome".to_owned();
    detail
}

fn store_unavailable(error: &store::Error, outcome: Outcome) -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut detail = problem::detail(status, "store unavailable", outcome, error.to_string());
    detail.retry_after_s = 1;
    Box::new(detail)
}
