//! Refusals of callers' calls: status, message, and when to retry.

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use lavendergauge_derive::value;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;

/// Time after which a caller may retry when the entry knows too little to answer, in seconds.
const RETRY_UNREADY_S: u32 = 1;
/// Time after which a caller may retry when too many calls are in progress, in seconds.
const RETRY_CROWDED_S: u32 = 1;
/// Time after which a caller may retry when the store refuses, in seconds.
const RETRY_STORE_S: u32 = 2;

/// Why a call is refused.
#[value]
#[derive(Copy)]
pub enum Refusal {
    /// The entry has no configuration, or one that is too old to trust a key by.
    Unready,
    /// The configuration changed during the call, and the older one has decided a later call.
    Overtaken,
    /// There is no queue for the host and path.
    NoQueue,
    /// The key belongs to no client account.
    UnknownKey,
    /// The job belongs to another client account.
    Foreign,
    /// The body is not a valid job.
    Malformed,
    /// The body is too long.
    TooLong,
    /// The body did not arrive in time.
    Late,
    /// There is no room for the call beside others.
    NoRoom,
    /// The method is not allowed.
    Method,
    /// There is no such job.
    NoJob,
    /// The store refused the write, and nothing was written.
    NotStored,
    /// The store never takes the job's record, or the job's progress would be too long for it.
    Unstorable,
    /// The store gave no usable answer, so it is not known whether the write took effect.
    InDoubt,
    /// Neither the planner nor the store answered.
    Unanswered,
    /// The job cannot start in time; a record keeps earlier attempts from taking effect.
    Overloaded {
        /// Time after which the caller may retry, in seconds.
        retry_after_s: u32,
    },
}

impl Refusal {
    /// Returns the HTTP status of the answer.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::refusal::Refusal;
    /// assert_eq!(Refusal::InDoubt.status(), 504);
    /// ```
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::Unready
            | Refusal::Overtaken
            | Refusal::NotStored
            | Refusal::Unanswered
            | Refusal::Late
            | Refusal::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NoQueue => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::Foreign => StatusCode::FORBIDDEN,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::TooLong | Refusal::Unstorable => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::NoJob => StatusCode::GONE,
            Refusal::InDoubt => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Overloaded { .. } => StatusCode::TOO_MANY_REQUESTS,
        }
    }

    /// Returns the message for the caller.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::refusal::Refusal;
    /// assert!(Refusal::NotStored.text().starts_with("not accepted"));
    /// ```
    pub fn text(self) -> &'static str {
        match self {
            Refusal::Unready => "not accepted: the configuration is not known well enough",
            Refusal::Overtaken => "not accepted: the configuration changed during the call",
            Refusal::NoQueue => "no such queue",
            Refusal::UnknownKey => "unknown key",
            Refusal::Foreign => "the job belongs to another client account",
            Refusal::Malformed => "not accepted: the body is not a valid job",
            Refusal::TooLong => "not accepted: the body is too long",
            Refusal::Late => "not accepted: the body did not arrive in time",
            Refusal::NoRoom => "not accepted: too many calls are in progress",
            Refusal::Method => "method not allowed",
            Refusal::NoJob => "no such job",
            Refusal::NotStored => "not accepted: the store refused",
            Refusal::Unstorable => "not accepted: the job cannot be stored",
            Refusal::InDoubt => "in doubt: repeat the call with the same job",
            Refusal::Unanswered => "the job's state cannot be read now",
            Refusal::Overloaded { .. } => "not accepted: the job could not start in time",
        }
    }

    /// Returns the seconds after which the caller may retry; `None` when that would not help.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::refusal::Refusal;
    /// assert_eq!(Refusal::NoQueue.retry_after_s(), None);
    /// ```
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Refusal::Unready | Refusal::Overtaken | Refusal::Unanswered | Refusal::InDoubt => {
                Some(RETRY_UNREADY_S)
            }
            Refusal::Late | Refusal::NoRoom => Some(RETRY_CROWDED_S),
            Refusal::NotStored => Some(RETRY_STORE_S),
            Refusal::Overloaded { retry_after_s } => Some(retry_after_s),
            _ => None,
        }
    }

    /// Tells whether the cause is local to this entry, so that another one may serve the call.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::refusal::Refusal;
    /// assert!(Refusal::NotStored.is_local() && !Refusal::UnknownKey.is_local());
    /// ```
    pub fn is_local(self) -> bool {
        matches!(
            self,
            Refusal::Unready | Refusal::NotStored | Refusal::InDoubt | Refusal::Unanswered
        )
    }
}

/// Creates a response with a JSON body.
pub fn response(status: StatusCode, bytes: Bytes, retry_after_s: Option<u32>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    if let Some(seconds) = retry_after_s {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
