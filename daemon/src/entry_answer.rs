//! A target's answer on its way to the caller.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::channel::Sender;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use lavendergauge_lib::route;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Cause;
use lavendergauge_net::header;
use lavendergauge_wire::part::Head;
use lavendergauge_wire::part::Headers;
use tokio::time;

use crate::entry_exchange::Event;
use crate::entry_exchange::Exchange;
use crate::entry_route::Place;

/// Header that says what became of a request.
pub const OUTCOME_HEADER: &str = "lavendergauge-outcome";
/// Time for which a caller may take nothing of its answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(60);

/// Answers the caller with a head and what follows it.
pub async fn response(head: &Head, mut exchange: Exchange, place: Option<Place>) -> Response<Body> {
    let mut begun = BytesMut::new();
    let mut trailers = None;
    while let Some(event) = exchange.try_next() {
        match event {
            Event::Data(data) => begun.extend_from_slice(&data),
            Event::End(end) => trailers = Some(end.trailers),
            _ => break,
        }
    }
    let body = match trailers {
        Some(trailers) => {
            settle(place, head.status);
            whole(begun.freeze(), &trailers)
        }
        None => {
            let (sender, body) = body::channel();
            tokio::spawn(pump(begun.freeze(), exchange, sender, place, head.status));
            body
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = header::map(&head.headers);
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    response
}

fn settle(place: Option<Place>, status: u16) {
    if let Some(mut place) = place {
        let failed = StatusCode::INTERNAL_SERVER_ERROR.as_u16() <= status;
        place.result = if failed { route::Result::Failed } else { route::Result::Good };
    }
}

fn whole(bytes: Bytes, trailers: &Headers) -> Body {
    if trailers.is_empty() {
        return body::full(bytes);
    }
    let trailers = header::map(trailers);
    let trailers = async move { Some(Ok(trailers)) };
    Full::new(bytes).with_trailers(trailers).map_err(|never| match never {}).boxed()
}

/// Hands on the body as it comes; one that can't be had whole is broken off.
async fn pump(
    begun: Bytes,
    mut exchange: Exchange,
    mut sender: Sender<Bytes, Cause>,
    place: Option<Place>,
    status: u16,
) {
    let mut data = begun;
    loop {
        if !data.is_empty() {
            let sent = time::timeout(CALLER_PATIENCE, sender.send_data(data)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return sender.abort("the caller takes nothing".into());
            }
        }
        data = match exchange.next().await {
            Event::Data(data) => data,
            Event::End(end) => {
                if !end.trailers.is_empty() {
                    let _ = sender.send_trailers(header::map(&end.trailers)).await;
                }
                return settle(place, status);
            }
            Event::Doubt(text) => return sender.abort(text.into()),
            _ => return sender.abort("the rest of the answer is no longer kept".into()),
        };
    }
}
