//! A stand-in for the worker runtime: keeps tasks under leases and does no work for them.
//!
//! A task whose payload contains the word `run_ms=N` is done after N milliseconds. Any other task
//! runs until it is stopped or its lease expires.

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

/// Path of the call that starts a task.
const START_PATH: &str = "/v1/start";
/// Path of the call that lists the tasks.
const LIST_PATH: &str = "/v1/tasks";

/// Faults that a test can switch on.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Every start fails.
    pub fail_starts: bool,
    /// Delay before each call is carried out.
    pub delay: Duration,
    /// Further delay before a start is carried out.
    pub delay_starts: Duration,
    /// Delay between making a list of tasks and sending it.
    pub delay_lists: Duration,
}

/// One execution of a task, for tests to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name of the task, as `job/attempt/member`.
    pub task: String,
    /// When it started.
    pub started: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
    /// Whether it finished, rather than being stopped or losing its lease.
    pub done: bool,
    /// Reference of the checkpoint that it resumed from; empty for none.
    pub resumed_from: String,
}

/// A task that was started, in whatever state.
#[derive(Clone, Debug)]
struct Task {
    lease_until: Instant,
    /// When it finishes; `None` when it runs until it is stopped.
    done_at: Option<Instant>,
    state: &'static str,
    /// Reference of its newest checkpoint; empty for none.
    checkpoint: String,
    /// Index in [`State::executions`].
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
        end_due(&mut state);
        state.executions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn answer(&self, call: Call) -> Response<Body> {
        let fault = self.lock().fault.clone();
        time::sleep(fault.delay).await;
        if call.path == START_PATH {
            time::sleep(fault.delay_starts).await;
        }
        let response = self.carry_out(&call);
        if call.path == LIST_PATH {
            time::sleep(fault.delay_lists).await;
        }
        response
    }

    fn carry_out(&self, call: &Call) -> Response<Body> {
        let mut state = self.lock();
        end_due(&mut state);
        let request = call.json();
        let id = request["task"].as_str().unwrap_or_default().to_owned();
        match (&call.method, call.path.as_str()) {
            (&Method::GET, LIST_PATH) => http::json(&list_tasks(&state)),
            (&Method::POST, START_PATH) => start_task(&mut state, id, &request),
            (&Method::POST, "/v1/renew") => renew_lease(&mut state, &id, &request),
            (&Method::POST, "/v1/checkpoint") => write_checkpoint(&mut state, &id),
            (&Method::POST, "/v1/stop") => stop_task(&mut state, &id),
            _ => http::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Ends the running tasks that are done or whose lease has expired.
fn end_due(state: &mut State) {
    let now = Instant::now();
    for task in state.tasks.values_mut().filter(|task| task.state == "running") {
        let done = task.done_at.filter(|&done| done <= now && done <= task.lease_until);
        let expired = (task.lease_until <= now).then_some(task.lease_until);
        let Some(ended_at) = done.or(expired) else { continue };
        task.state = if done.is_some() { "done" } else { "lapsed" };
        let execution = &mut state.executions[task.execution];
        execution.ended = Some(ended_at);
        execution.done = done.is_some();
    }
}

fn list_tasks(state: &State) -> Value {
    let tasks: Vec<Value> = state
        .tasks
        .iter()
        .map(|(id, task)| json!({"task": id, "state": task.state, "checkpoint": task.checkpoint}))
        .collect();
    json!({"tasks": tasks})
}

fn lease_duration(request: &Value) -> Duration {
    Duration::from_millis(request["lease_ms"].as_u64().unwrap_or_default())
}

fn start_task(state: &mut State, id: String, request: &Value) -> Response<Body> {
    if state.fault.fail_starts {
        return http::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if state.tasks.contains_key(&id) {
        return http::json(&json!({}));
    }
    let now = Instant::now();
    let payload = request["payload"].as_str().unwrap_or_default();
    let run_ms = payload.split(' ').find_map(|word| word.strip_prefix("run_ms=")?.parse().ok());
    let resumed_from = request["checkpoint"].as_str().unwrap_or_default().to_owned();
    let execution =
        Execution { task: id.clone(), started: now, ended: None, done: false, resumed_from };
    state.executions.push(execution);
    let task = Task {
        lease_until: now + lease_duration(request),
        done_at: run_ms.map(|run_ms| now + Duration::from_millis(run_ms)),
        state: "running",
        checkpoint: String::new(),
        execution: state.executions.len() - 1,
    };
    state.tasks.insert(id, task);
    http::json(&json!({}))
}

fn renew_lease(state: &mut State, id: &str, request: &Value) -> Response<Body> {
    match state.tasks.get_mut(id).filter(|task| task.state == "running") {
        Some(task) => {
            task.lease_until = Instant::now() + lease_duration(request);
            http::json(&json!({}))
        }
        None => http::status(StatusCode::NOT_FOUND),
    }
}

fn write_checkpoint(state: &mut State, id: &str) -> Response<Body> {
    match state.tasks.get_mut(id).filter(|task| task.state == "running") {
        Some(task) => {
            task.checkpoint = format!("checkpoint-of-{id}");
            http::json(&json!({"checkpoint": task.checkpoint}))
        }
        None => http::status(StatusCode::NOT_FOUND),
    }
}

fn stop_task(state: &mut State, id: &str) -> Response<Body> {
    if let Some(task) = state.tasks.get_mut(id).filter(|task| task.state == "running") {
        task.state = "stopped";
        state.executions[task.execution].ended = Some(Instant::now());
    }
    http::json(&json!({}))
}
