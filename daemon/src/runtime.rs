//! Client of the worker runtime.
//!
//! The runtime runs tasks under leases: it ends a task whose lease is not renewed in time.

use std::time::Duration;

use hyper::Method;
use hyper::Request;
use lavendergauge_derive::value;
use lavendergauge_net::body;
use lavendergauge_net::client;
use lavendergauge_net::client::Client;
use serde_json::Value;
use serde_json::json;

/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(1);

/// Why a call to the worker runtime failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No complete answer arrived; the call may have taken effect.
    #[error("no answer from the worker runtime: {0}")]
    NoAnswer(#[from] client::Error),
    /// The runtime refused the call with this HTTP status.
    #[error("worker runtime answered with status {0}")]
    Status(u16),
    /// The request cannot be built, or the answer does not follow the protocol.
    #[error("malformed message to or from the worker runtime: {0}")]
    Malformed(String),
}

/// State of a task at the runtime.
#[value]
pub enum State {
    /// It is running.
    Running,
    /// It completed.
    Done,
    /// It ended in another way, as the runtime names it, e.g. `stopped`, `lapsed` or a failure.
    Ended(String),
}

/// One task as the runtime lists it.
#[value]
pub struct Task {
    /// Identity, written as `job/attempt/member`.
    pub id: String,
    /// Its state.
    pub state: State,
    /// Reference of its newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A client of the worker runtime.
#[derive(Clone, Debug)]
pub struct Runtime {
    address: String,
    client: Client,
}

impl Runtime {
    /// Makes a client of the runtime at an address.
    ///
    /// ```no_run
    /// let _runtime = lavendergauge_daemon::runtime::Runtime::new("127.0.0.1:9000".to_owned());
    /// ```
    pub fn new(address: String) -> Self {
        Runtime { address, client: Client::default() }
    }

    /// Starts a task under a lease, from the checkpoint `resume_from` unless that is empty.
    ///
    /// A repeated start of the same task changes nothing.
    ///
    /// # Errors
    /// If the runtime refuses or gives no usable answer. Without an answer the task may have
    /// started.
    pub async fn start(
        &self,
        task: &str,
        payload: &str,
        resume_from: &str,
        lease: Duration,
    ) -> Result<(), Error> {
        let lease_ms = lease.as_millis() as u64;
        let request = json!({"task": task, "payload": payload, "checkpoint": resume_from,
            "lease_ms": lease_ms});
        self.call(Method::POST, "/v1/start", &request).await?;
        Ok(())
    }

    /// Extends a task's lease.
    ///
    /// # Errors
    /// If the task has ended, or the runtime gives no usable answer.
    pub async fn renew(&self, task: &str, lease: Duration) -> Result<(), Error> {
        let request = json!({"task": task, "lease_ms": lease.as_millis() as u64});
        self.call(Method::POST, "/v1/renew", &request).await?;
        Ok(())
    }

    /// Asks a task to checkpoint and returns the checkpoint's reference.
    ///
    /// # Errors
    /// If the task has ended, or the runtime gives no usable answer.
    pub async fn checkpoint(&self, task: &str) -> Result<String, Error> {
        let answer = self.call(Method::POST, "/v1/checkpoint", &json!({"task": task})).await?;
        Ok(answer["checkpoint"].as_str().unwrap_or_default().to_owned())
    }

    /// Stops a task at once.
    ///
    /// # Errors
    /// If the runtime refuses or gives no usable answer. A task that was not stopped ends with its
    /// lease.
    pub async fn stop(&self, task: &str) -> Result<(), Error> {
        self.call(Method::POST, "/v1/stop", &json!({"task": task})).await?;
        Ok(())
    }

    /// Lists all tasks that the runtime knows, also ended ones.
    ///
    /// # Errors
    /// If the runtime gives no usable answer.
    pub async fn tasks(&self) -> Result<Vec<Task>, Error> {
        let answer = self.call(Method::GET, "/v1/tasks", &Value::Null).await?;
        let tasks = answer["tasks"].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        Ok(tasks
            .iter()
            .map(|task| Task {
                id: text(&task["task"]),
                state: match task["state"].as_str().unwrap_or_default() {
                    "running" => State::Running,
                    "done" => State::Done,
                    other => State::Ended(other.to_owned()),
                },
                checkpoint: text(&task["checkpoint"]),
            })
            .collect())
    }

    async fn call(&self, method: Method, path: &str, request: &Value) -> Result<Value, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(body::full(request.to_string()))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let response = self.client.fetch(request, DEADLINE).await?;
        if !response.status().is_success() {
            return Err(Error::Status(response.status().as_u16()));
        }
        serde_json::from_slice(response.body()).map_err(|error| Error::Malformed(error.to_string()))
    }
}
