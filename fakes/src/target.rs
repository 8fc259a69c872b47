//! A stand-in for a target: answers each request as its headers ask, and counts executions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::TRAILER;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::body::Sender;
use lavendergauge_net::server::ResponseFuture;
use tokio::time;

use crate::http;
use crate::http::Server;

/// Header that carries a request's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that sets how long the target works before it answers, in milliseconds.
pub const WORK_HEADER: &str = "work-ms";
/// Header that sets the answer's status.
pub const STATUS_HEADER: &str = "answer-status";
/// Header that requests an answer of a number of bytes instead of an echo.
pub const BYTES_HEADER: &str = "answer-bytes";
/// Header that sets the pause after each chunk of an answer made by [`BYTES_HEADER`], in
/// milliseconds.
pub const PAUSE_HEADER: &str = "answer-pause-ms";
/// Header that makes the target abort an answer made by [`BYTES_HEADER`] after a number of bytes,
/// rounded up to whole chunks.
pub const BREAK_HEADER: &str = "answer-break";
/// Header that requests the request body's length and checksum instead of an echo.
pub const SUM_HEADER: &str = "answer-sum";
/// Trailer with the length and checksum of an answer made by [`BYTES_HEADER`].
pub const SUM_TRAILER: &str = "answer-sum";
/// Maximum length of one chunk of an answer, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Counts of the requests that reached the target.
#[derive(Debug, Default)]
struct Counts {
    /// Number of executions by key.
    executions: HashMap<String, u32>,
    /// Key and start of each execution, in the order in which they started.
    execution_times: Vec<(String, Instant)>,
    running: u32,
    max_running: u32,
    is_failing: bool,
}

/// The stand-in for a target; clones share its counts.
#[derive(Clone, Debug, Default)]
pub struct Target {
    counts: Arc<Mutex<Counts>>,
}

impl Target {
    /// Starts a server; it echoes a request's path and body unless headers ask otherwise.
    pub async fn serve(&self) -> Server {
        let target = self.clone();
        http::start_raw(Arc::new(move |request: Request<Body>, _: SocketAddr| -> ResponseFuture {
            let target = target.clone();
            Box::pin(async move { target.answer(request).await })
        }))
        .await
    }

    /// Returns the number of executions of each key.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.lock().executions.clone()
    }

    /// Returns the key and the start of every execution so far.
    pub fn execution_times(&self) -> Vec<(String, Instant)> {
        self.lock().execution_times.clone()
    }

    /// Returns the maximum number of requests that were executed at a time.
    pub fn max_running(&self) -> u32 {
        self.lock().max_running
    }

    /// Sets whether the target answers every request at once with a server error.
    pub fn set_failing(&self, is_failing: bool) {
        self.lock().is_failing = is_failing;
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let (head, mut body) = request.into_parts();
        let running = Running::new(self.clone());
        let key = head.headers.get(KEY_HEADER).and_then(|value| value.to_str().ok());
        let is_failing = {
            let mut counts = self.lock();
            *counts.executions.entry(key.unwrap_or_default().to_owned()).or_default() += 1;
            counts.execution_times.push((key.unwrap_or_default().to_owned(), Instant::now()));
            counts.is_failing
        };
        if is_failing {
            return http::status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let mut bytes = Vec::new();
        let mut sum = Sum::default();
        let is_summed = head.headers.contains_key(SUM_HEADER);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return http::status(StatusCode::BAD_REQUEST) };
            if let Ok(data) = frame.into_data() {
                sum.add(&data);
                if !is_summed {
                    bytes.extend_from_slice(&data);
                }
            }
        }
        if let Some(work_ms) = header_number(&head.headers, WORK_HEADER) {
            time::sleep(Duration::from_millis(work_ms)).await;
        }
        let mut response = match header_number(&head.headers, BYTES_HEADER) {
            Some(length) => streamed_response(&head.headers, length as usize, running),
            None if is_summed => Response::new(body::full(sum.to_string())),
            None => {
                let echo = format!("{} {}", head.uri.path(), String::from_utf8_lossy(&bytes));
                Response::new(body::full(echo))
            }
        };
        if let Some(status) = header_number(&head.headers, STATUS_HEADER) {
            *response.status_mut() = StatusCode::from_u16(status as u16).unwrap_or_default();
        }
        response
    }
}

/// Returns a header's value as a number; `None` when it is absent or not a number.
fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Counts a request as running until it is dropped.
struct Running(Target);

impl Running {
    fn new(target: Target) -> Self {
        let mut counts = target.lock();
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
        drop(counts);
        Running(target)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// Length and checksum of a body, for comparing two bodies.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    length: u64,
    sum: u64,
}

impl Sum {
    /// Adds the next bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.sum = self.sum.wrapping_mul(31).wrapping_add(u64::from(byte));
        }
        self.length += bytes.len() as u64;
    }
}

impl std::fmt::Display for Sum {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{:016x}", self.length, self.sum)
    }
}

/// Returns the byte at `offset` of an answer made by [`BYTES_HEADER`].
pub fn byte_at(offset: usize) -> u8 {
    (offset % 251) as u8
}

/// Makes the answer that [`BYTES_HEADER`] requests.
fn streamed_response(headers: &HeaderMap, length: usize, running: Running) -> Response<Body> {
    let pause = Duration::from_millis(header_number(headers, PAUSE_HEADER).unwrap_or(0));
    let abort_at = header_number(headers, BREAK_HEADER).map(|bytes| bytes as usize);
    let (sender, body) = body::channel();
    tokio::spawn(send_chunks(sender, length, pause, abort_at, running));
    let mut response = Response::new(body);
    response.headers_mut().insert(TRAILER, HeaderValue::from_static(SUM_TRAILER));
    response
}

/// Sends the chunks and the trailer of a streamed answer.
async fn send_chunks(
    mut sender: Sender,
    length: usize,
    pause: Duration,
    abort_at: Option<usize>,
    running: Running,
) {
    let mut sum = Sum::default();
    for start in (0..length).step_by(CHUNK_BYTES) {
        if abort_at.is_some_and(|bytes| bytes <= start) {
            return sender.abort("answer aborted as requested".into());
        }
        let chunk: Vec<u8> = (start..length.min(start + CHUNK_BYTES)).map(byte_at).collect();
        sum.add(&chunk);
        if sender.send_data(chunk.into()).await.is_err() {
            return;
        }
        time::sleep(pause).await;
    }
    let mut trailers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&sum.to_string()) {
        trailers.insert(SUM_TRAILER, value);
    }
    let _ = sender.send_trailers(trailers).await;
    drop(running);
}
