//! A relay in front of a worker's stand-in that makes it an unhealthy worker: it answers starts with
//! 503 and does nothing for them.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_stand_in::Server;
use lavendergauge_stand_in::answer_text;
use lavendergauge_stand_in::serve;

use crate::record::Record;

/// Deadline of a relayed call; longer than its caller waits.
const DEADLINE: Duration = Duration::from_secs(5);

/// Starts a relay to a worker; while `is_unhealthy` is set, starts are refused.
pub async fn start(worker: String, is_unhealthy: Arc<AtomicBool>, record: &Record) -> Server {
    let client = Client::default();
    let record = record.clone();
    serve(Arc::new(move |request: Request<Body>, _| {
        let (client, worker) = (client.clone(), worker.clone());
        let (is_unhealthy, record) = (is_unhealthy.clone(), record.clone());
        Box::pin(async move { relay(request, &client, &worker, &is_unhealthy, &record).await })
    }))
    .await
}

async fn relay(
    request: Request<Body>,
    client: &Client,
    worker: &str,
    is_unhealthy: &AtomicBool,
    record: &Record,
) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    let bytes = body::collect(incoming, 1 << 20).await.unwrap_or_default();
    let path = head.uri.path().to_owned();
    if path == "/run-start" && is_unhealthy.load(Ordering::SeqCst) {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        record.line(&format!("worker: start {text} -> 503, not done"));
        return answer_text(503, "{}");
    }
    let mut onward = Request::builder().method(head.method).uri(format!("http://{worker}{path}"));
    if let Some(value) = head.headers.get("X-Expect-Instance") {
        onward = onward.header("X-Expect-Instance", value);
    }
    let onward = onward.body(body::full(bytes)).expect("a request");
    match client.fetch(onward, DEADLINE).await {
        Ok(response) => answer_text(response.status().as_u16(), response.into_body()),
        Err(_) => answer_text(503, "{}"),
    }
}
