//! A stand-in for a target: answers every request after a while and counts executions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Response;
use lavendergauge_net::body;
use tokio::time;

use crate::http;
use crate::http::Server;

/// Header in which a request's key reaches the target.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header by which a test sets how long the target works, in milliseconds.
pub const WORK_HEADER: &str = "work-ms";

/// The stand-in's counts; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Target {
    executions: Arc<Mutex<HashMap<String, u32>>>,
}

impl Target {
    /// Starts a server that echoes each request's path and body.
    pub async fn serve(&self) -> Server {
        let executions = self.executions.clone();
        http::start(move |call| {
            let executions = executions.clone();
            async move {
                let text = |name: &str| {
                    call.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
                };
                let key = text(KEY_HEADER).to_owned();
                let work_ms = text(WORK_HEADER).parse().unwrap_or(0);
                if let Ok(mut executions) = executions.lock() {
                    *executions.entry(key).or_default() += 1;
                }
                time::sleep(Duration::from_millis(work_ms)).await;
                let echo = format!("{} {}", call.path, String::from_utf8_lossy(&call.body));
                Response::new(body::full(echo))
            }
        })
        .await
    }

    /// Returns how often each key was executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.executions.lock().map(|executions| executions.clone()).unwrap_or_default()
    }
}
