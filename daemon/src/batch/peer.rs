//! Client and server helpers for calls between the fleet's processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::budget::Budget;
use lavendergauge_net::client::Client;
use lavendergauge_net::client::Options;
use lavendergauge_wire::codec;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a call's body, in bytes.
const CALL_LIMIT: usize = 8 << 20;
/// Maximum number of idle connections that a process keeps to each other process.
const IDLE_CONNECTIONS: usize = 2;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Creates a client for calls to the fleet's processes, authenticated by the fleet's key, with at
/// most `connections` connections to all of them together.
pub fn client(fleet_key: &str, connections: usize) -> Client {
    let options = Options { connections, idle: IDLE_CONNECTIONS, idle_timeout: IDLE_TIMEOUT };
    Client::for_fleet_with(fleet_key, options)
}

/// Reads and decodes the body of a call, which counts against a budget.
///
/// # Errors
/// A response with the status of [`body::Failure`] when the body cannot be read, and with status
/// 400 when it cannot be decoded.
pub async fn read<T: DeserializeOwned>(
    request: Request<Body>,
    bodies: &Arc<Budget>,
) -> Result<T, Response<Body>> {
    let receiving =
        body::receive(request.into_body(), CALL_LIMIT, bodies, body::RECEIVE_TIMEOUT).await;
    let bytes = receiving.map_err(|cause| {
        log::warn!("event=call-unreadable cause={}", crate::logs::Value(&cause.to_string()));
        status(cause.status())
    })?;
    codec::unpack(&bytes).map_err(|cause| {
        log::warn!("event=call-unreadable cause={}", crate::logs::Value(&cause.to_string()));
        status(StatusCode::BAD_REQUEST)
    })
}

/// Encodes the answer to a call; a value that cannot be encoded is answered by status 500.
pub fn answer<T: Serialize>(value: &T) -> Response<Body> {
    match codec::pack(value) {
        Ok(bytes) => {
            let mut response = Response::new(body::full(bytes));
            let media_type = HeaderValue::from_static(codec::MESSAGE_PACK);
            response.headers_mut().insert(CONTENT_TYPE, media_type);
            response
        }
        Err(cause) => {
            log::error!("event=answer-unwritable cause={}", crate::logs::Value(&cause.to_string()));
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Creates a response without a body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Creates a handler for the HTTP server from an async function.
pub fn handler<F, A>(answer: F) -> lavendergauge_net::server::Handler
where
    F: Fn(Request<Body>, SocketAddr) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    Arc::new(move |request, peer| Box::pin(answer(request, peer)))
}
