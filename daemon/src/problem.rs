//! Error responses: RFC 9457 problem documents that also tell the request's outcome.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Failure;
use lavendergauge_wire::codec;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;

/// Time after which a caller should try again for whose body there was no room, in seconds.
const RETRY_BUSY_S: u64 = 1;

/// Makes a problem document; its type is derived from the title.
///
/// ```
/// use hyper::StatusCode;
/// use lavendergauge_daemon::problem;
/// use lavendergauge_wire::problem::Outcome;
/// let detail = problem::detail(StatusCode::CONFLICT, "stale", Outcome::NotRun, "another won");
/// assert_eq!(detail.status, 409);
/// ```
pub fn detail(
    status: StatusCode,
    title: &str,
    outcome: Outcome,
    text: impl Into<String>,
) -> Detail {
    Detail {
        type_: format!("/problems/{}", title.replace(' ', "-")),
        title: title.to_owned(),
        status: status.as_u16(),
        detail: text.into(),
        outcome,
        field: String::new(),
        hint: String::new(),
        retry_after_s: 0,
    }
}

/// Makes the response that carries a problem document.
pub fn response(detail: &Detail) -> Response<Body> {
    let bytes = codec::to_json(detail).unwrap_or_default();
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() =
        StatusCode::from_u16(detail.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(codec::PROBLEM));
    if detail.status == StatusCode::UNAUTHORIZED.as_u16() {
        let schemes = HeaderValue::from_static("Bearer, Basic realm=\"lavendergauge\"");
        headers.insert(WWW_AUTHENTICATE, schemes);
    }
    if detail.retry_after_s != 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(detail.retry_after_s));
    }
    response
}

/// Makes the error response to a request that was not run.
pub fn not_run(status: StatusCode, title: &str, text: impl Into<String>) -> Response<Body> {
    response(&detail(status, title, Outcome::NotRun, text))
}

/// Makes the problem document of a request whose body was not received, and that was not run.
///
/// ```
/// use lavendergauge_daemon::problem;
/// use lavendergauge_net::body::Failure;
/// assert_eq!(problem::body_error(&Failure::NoRoom).retry_after_s, 1);
/// ```
pub fn body_error(cause: &Failure) -> Detail {
    let title = match cause {
        Failure::TooLong(_) | Failure::Broken(_) => "bad input",
        Failure::Late => "request timeout",
        Failure::NoRoom => "busy",
    };
    let mut detail = detail(cause.status(), title, Outcome::NotRun, cause.to_string());
    detail.field = "body".to_owned();
    if matches!(cause, Failure::NoRoom) {
        detail.retry_after_s = RETRY_BUSY_S;
    }
    detail
}

/// Makes the error response to input with one invalid field.
pub fn bad_input(field: &str, text: impl Into<String>) -> Response<Body> {
    let mut detail = detail(StatusCode::BAD_REQUEST, "bad input", Outcome::NotRun, text);
    detail.field = field.to_owned();
    response(&detail)
}
