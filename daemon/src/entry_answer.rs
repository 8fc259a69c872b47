//! Forwards a target's answer to the caller.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use lavendergauge_lib::route;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Sender;
use lavendergauge_net::header;
use lavendergauge_wire::part::Head;
use lavendergauge_wire::part::Headers;
use tokio::time;

use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_route::Slot;

/// Header that carries the outcome of a request, for callers that read no body.
pub const OUTCOME_HEADER: &str = "lavendergauge-outcome";
/// Time for which a caller may read nothing of its answer before the answer is aborted.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Makes the response to the caller from the answer's head and the events that follow it.
///
/// If the answer's end has already been received, the response has the whole body at once;
/// otherwise the body is forwarded as it arrives. The slot is released when the answer has ended.
pub async fn response(head: &Head, mut exchange: Exchange, slot: Option<Slot>) -> Response<Body> {
    let mut received = BytesMut::new();
    let mut trailers = None;
    while let Some(event) = exchange.try_next() {
        match event {
            Event::Data(data) => received.extend_from_slice(&data),
            Event::End(end) => trailers = Some(end.trailers),
            _ => break,
        }
    }
    let body = match trailers {
        Some(trailers) => {
            report_result(slot, head.status);
            full_body(received.freeze(), &trailers)
        }
        None => {
            let (sender, body) = body::channel();
            tokio::spawn(forward(received.freeze(), exchange, sender, slot, head.status));
            body
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = header::to_map(&head.headers);
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    response
}

fn report_result(slot: Option<Slot>, status: u16) {
    if let Some(mut slot) = slot {
        let is_failure = StatusCode::INTERNAL_SERVER_ERROR.as_u16() <= status;
        slot.result = if is_failure { route::Result::Failed } else { route::Result::Good };
    }
}

fn full_body(bytes: Bytes, trailers: &Headers) -> Body {
    if trailers.is_empty() {
        return body::full(bytes);
    }
    let trailers = header::to_map(trailers);
    let trailers = async move { Some(Ok(trailers)) };
    Full::new(bytes).with_trailers(trailers).map_err(|never| match never {}).boxed()
}

/// Forwards the body as it arrives; aborts it when it cannot be forwarded completely.
async fn forward(
    received: Bytes,
    mut exchange: Exchange,
    mut sender: Sender,
    slot: Option<Slot>,
    status: u16,
) {
    let mut data = received;
    loop {
        if !data.is_empty() {
            let sent = time::timeout(READ_TIMEOUT, sender.send_data(data)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return sender.abort("the caller does not read the answer".into());
            }
        }
        data = match exchange.next().await {
            Event::Data(data) => data,
            Event::End(end) => {
                if !end.trailers.is_empty() {
                    let _ = sender.send_trailers(header::to_map(&end.trailers)).await;
                }
                return report_result(slot, status);
            }
            Event::InDoubt(text) => return sender.abort(text.into()),
            _ => return sender.abort("the rest of the answer is no longer kept".into()),
        };
    }
}
