//! A stand-in for the worker runtime: runs tasks under leases by doing nothing for a while.
//!
//! A task's payload may hold `run_ms=N`, after which it is done.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_net::body::Body;
use serde_json::Value;
use serde_json::json;
use tokio::time;
use tokio::time::Instant;

use crate::http;
use crate::http::Call;
use crate::http::Server;

/// Faults that a test can switch on.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Fails every start.
    pub fail_starts: bool,
    /// Waits before each answer.
    pub delay: Duration,
}

/// One execution of a task, for histories.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Identity of the task, as `job/attempt/member`.
    pub task: String,
    /// When it started.
    pub started: Instant,
    /// When it was over, if it is.
    pub ended: Option<Instant>,
    /// Whether it came to its own end.
    pub done: bool,
    /// Reference of the checkpoint that it was resumed from; empty for none.
    pub resumed: String,
}

#[derive(Clone, Debug)]
struct Task {
    until: Instant,
    done_at: Option<Instant>,
    state: &'static str,
    checkpoint: String,
    execution: usize,
}

#[derive(Debug, Default)]
struct State {
    tasks: HashMap<String, Task>,
    executions: Vec<Execution>,
    fault: Fault,
}

/// The stand-in's tasks and faults; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Runtime {
    state: Arc<Mutex<State>>,
}

impl Runtime {
    /// Starts a server over the tasks.
    pub async fn serve(&self) -> Server {
        let runtime = self.clone();
        http::start(move |call| {
            let runtime = runtime.clone();
            async move { runtime.answer(call).await }
        })
        .await
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns every execution so far.
    pub fn executions(&self) -> Vec<Execution> {
        let mut state = self.lock();
        advance(&mut state);
        state.executions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn answer(&self, call: Call) -> Response<Body> {
        let delay = self.lock().fault.delay;
        time::sleep(delay).await;
        let mut state = self.lock();
        advance(&mut state);
        let request = call.json();
        let id = request["task"].as_str().unwrap_or_default().to_owned();
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/v1/tasks") => http::json(&list(&state)),
            (&Method::POST, "/v1/start") => start(&mut state, id, &request),
            (&Method::POST, "/v1/renew") => renew(&mut state, &id, &request),
            (&Method::POST, "/v1/checkpoint") => checkpoint(&mut state, &id),
            (&Method::POST, "/v1/stop") => stop(&mut state, &id),
            _ => http::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Ends what is done or has outlived its lease.
fn advance(state: &mut State) {
    let now = Instant::now();
    for task in state.tasks.values_mut().filter(|task| task.state == "running") {
        let done = task.done_at.filter(|&done| done <= now && done <= task.until);
        let lapsed = (task.until <= now).then_some(task.until);
        let Some(at) = done.or(lapsed) else { continue };
        task.state = if done.is_some() { "done" } else { "lapsed" };
        let execution = &mut state.executions[task.execution];
        execution.ended = Some(at);
        execution.done = done.is_some();
    }
}

fn list(state: &State) -> Value {
    let tasks: Vec<Value> = state
        .tasks
        .iter()
        .map(|(id, task)| json!({"task": id, "state": task.state, "checkpoint": task.checkpoint}))
        .collect();
    json!({"tasks": tasks})
}

fn lease(request: &Value) -> Duration {
    Duration::from_millis(request["lease_ms"].as_u64().unwrap_or_default())
}

fn start(state: &mut State, id: String, request: &Value) -> Response<Body> {
    if state.fault.fail_starts {
        return http::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if state.tasks.contains_key(&id) {
        return http::json(&json!({}));
    }
    let now = Instant::now();
    let payload = request["payload"].as_str().unwrap_or_default();
    let run_ms = payload.split(' ').find_map(|word| word.strip_prefix("run_ms=")?.parse().ok());
    let resumed = request["checkpoint"].as_str().unwrap_or_default().to_owned();
    let execution = Execution { task: id.clone(), started: now, ended: None, done: false, resumed };
    state.executions.push(execution);
    let task = Task {
        until: now + lease(request),
        done_at: run_ms.map(|run_ms| now + Duration::from_millis(run_ms)),
        state: "running",
        checkpoint: String::new(),
        execution: state.executions.len() - 1,
    };
    state.tasks.insert(id, task);
    http::json(&json!({}))
}

fn renew(state: &mut State, id: &str, request: &Value) -> Response<Body> {
    match state.tasks.get_mut(id).filter(|task| task.state == "running") {
        Some(task) => {
            task.until = Instant::now() + lease(request);
            http::json(&json!({}))
        }
        None => http::status(StatusCode::NOT_FOUND),
    }
}

fn checkpoint(state: &mut State, id: &str) -> Response<Body> {
    match state.tasks.get_mut(id).filter(|task| task.state == "running") {
        Some(task) => {
            task.checkpoint = format!("checkpoint-of-{id}");
            http::json(&json!({"checkpoint": task.checkpoint}))
        }
        None => http::status(StatusCode::NOT_FOUND),
    }
}

fn stop(state: &mut State, id: &str) -> Response<Body> {
    if let Some(task) = state.tasks.get_mut(id).filter(|task| task.state == "running") {
        task.state = "stopped";
        state.executions[task.execution].ended = Some(Instant::now());
    }
    http::json(&json!({}))
}
