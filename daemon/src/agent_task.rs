//! Runs the worker's gang members at its worker runtime.
//!
//! A member runs there under a short lease that never outlasts the gang's. A start whose answer was
//! lost is repeated under the same identity, and a member counts as ended only once the runtime
//! reports so or its lease has expired.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang::Effect;
use lavendergauge_lib::gang::MemberId;
use lavendergauge_lib::gang::Phase;
use lavendergauge_lib::gang::RUNTIME_LEASE;
use lavendergauge_lib::gang::Status;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::agent::Agent;
use crate::agent_service;
use crate::clock;
use crate::runtime;
use crate::runtime::State;

/// Pause between two checks of the members.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which a member's lease at the runtime is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a start or stop that has shown no effect at the runtime is repeated.
const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Longest time that an agent waits for its members when it shuts down.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// How a member ended.
#[value]
pub enum End {
    /// It completed.
    Done,
    /// It was stopped, or its lease expired.
    Stopped,
    /// It failed, for this reason.
    Failed(String),
}

/// What the agent keeps for one gang member.
#[value]
#[derive(Default)]
pub struct Task {
    /// Description of the work, which is sent to the runtime.
    pub payload: String,
    /// Reference of the checkpoint to resume from; empty for none.
    pub resume_from: String,
    /// Number of members of the gang.
    pub members: u32,
    /// How it ended; `None` before that.
    pub end: Option<End>,
    /// Reference of its newest checkpoint; empty for none.
    pub checkpoint: String,
    /// When the runtime first confirmed that it runs; `None` before that.
    confirmed_at: Option<Millis>,
    /// Whether the runtime has been asked to stop it.
    is_stop_requested: bool,
    /// When the runtime was last asked to start or stop it.
    requested_at: Millis,
    /// When its lease at the runtime was last renewed, or requested by a start.
    renewed_at: Millis,
}

/// State of the worker's gang members at the runtime.
#[derive(Debug, Default)]
pub struct Tasks {
    /// State of each member.
    pub by_member: HashMap<MemberId, Task>,
    /// Whether no task started by an earlier process of the agent can still run.
    pub is_swept: bool,
}

/// Returns a member's identity at the runtime.
pub fn task_id(member_id: &MemberId) -> String {
    format!("{}/{}/{}", member_id.job, member_id.attempt, member_id.member)
}

/// Makes the runtime call of an effect in the background.
pub fn spawn(agent: &Arc<Agent>, effect: Effect) {
    let agent = agent.clone();
    tokio::spawn(async move {
        match effect {
            Effect::Start(member_id) => start(&agent, &member_id).await,
            Effect::Checkpoint(member_id) => checkpoint(&agent, &member_id).await,
            Effect::Stop(member_id) => stop(&agent, &member_id).await,
        }
    });
}

/// Returns the lease that a member may have at the runtime from now on.
///
/// It ends with the gang's lease and is at most [`RUNTIME_LEASE`]. `None` if the member must not
/// run.
fn runtime_lease(agent: &Agent, member_id: &MemberId, now: Millis) -> Option<Duration> {
    let core = agent.core();
    let status = core.gang.statuses().into_iter().find(|status| status.member_id == *member_id)?;
    let is_live = matches!(status.phase, Phase::Running | Phase::Stopping);
    let remaining = status.until.since(now).min(RUNTIME_LEASE);
    (is_live && !remaining.is_zero()).then_some(remaining)
}

fn update(agent: &Agent, member_id: &MemberId, change: impl FnOnce(&mut Task)) {
    change(agent.core().tasks.by_member.entry(member_id.clone()).or_default());
}

/// Records the end of a member and frees its resources; only the first end of a member counts.
fn record_end(agent: &Agent, member_id: &MemberId, how: End) {
    log::info!("event=task-ended task={} end=\"{how:?}\"", task_id(member_id));
    let mut core = agent.core();
    core.tasks.by_member.entry(member_id.clone()).or_default().end.get_or_insert(how);
    core.gang.exit(member_id);
}

/// Asks the runtime to start a member, unless its gang lease has expired meanwhile.
///
/// A refusal ends the member as failed. Without an answer the start is repeated later.
pub async fn start(agent: &Agent, member_id: &MemberId) {
    let now = clock::now();
    let Some(lease) = runtime_lease(agent, member_id, now) else { return };
    let (payload, resume_from) = {
        let mut core = agent.core();
        let task = core.tasks.by_member.entry(member_id.clone()).or_default();
        (task.requested_at, task.renewed_at) = (now, now);
        (task.payload.clone(), task.resume_from.clone())
    };
    match agent.runtime.start(&task_id(member_id), &payload, &resume_from, lease).await {
        Ok(()) => update(agent, member_id, |task| {
            task.confirmed_at.get_or_insert_with(clock::now);
        }),
        Err(runtime::Error::Status(status)) => {
            record_end(
                agent,
                member_id,
                End::Failed(format!("the worker runtime refused with {status}")),
            );
        }
        Err(error) => {
            log::warn!("event=start-unknown task={} cause=\"{error}\"", task_id(member_id));
        }
    }
}

/// Asks a member to checkpoint, and reports to the gang's gate once the checkpoint is saved.
async fn checkpoint(agent: &Arc<Agent>, member_id: &MemberId) {
    match agent.runtime.checkpoint(&task_id(member_id)).await {
        Ok(reference) => {
            update(agent, member_id, |task| task.checkpoint = reference);
            let effects = agent.core().gang.finish_checkpoint(clock::now(), member_id);
            for effect in effects {
                spawn(agent, effect);
            }
        }
        Err(error) => log::warn!("event=checkpoint-failed task={} {error}", task_id(member_id)),
    }
}

/// Asks the runtime to stop a member; its end is recorded once the runtime lists it as ended.
async fn stop(agent: &Agent, member_id: &MemberId) {
    update(agent, member_id, |task| {
        task.is_stop_requested = true;
        task.requested_at = clock::now();
    });
    if let Err(error) = agent.runtime.stop(&task_id(member_id)).await {
        log::warn!("event=stop-unknown task={} cause=\"{error}\"", task_id(member_id));
    }
}

/// Checks leases, requests and members periodically until the agent stops.
pub async fn run(agent: Arc<Agent>, stopped: watch::Receiver<bool>) {
    sweep(&agent).await;
    while !*stopped.borrow() {
        let now = clock::now();
        let effects = agent.core().gang.tick(now);
        for effect in effects {
            spawn(&agent, effect);
        }
        agent_service::tick(&agent, now);
        reconcile(&agent).await;
        time::sleep(TICK).await;
    }
}

/// Waits until the planner has moved every member or recorded its end, for at most `DRAIN_TIMEOUT`.
pub async fn drain(agent: &Agent) {
    let started_at = clock::now();
    while !agent.core().gang.statuses().is_empty() {
        if DRAIN_TIMEOUT <= clock::now().since(started_at) {
            log::warn!("event=drain-cut limit_ms={}", DRAIN_TIMEOUT.as_millis());
            return;
        }
        time::sleep(TICK).await;
    }
}

/// Stops the tasks that an earlier process of the agent started.
///
/// If the runtime does not answer, waits until the leases of these tasks must have expired.
async fn sweep(agent: &Agent) {
    let started_at = clock::now();
    while clock::now().since(started_at) < RUNTIME_LEASE {
        if stop_all(agent).await.is_ok() {
            break;
        }
        time::sleep(TICK).await;
    }
    agent.core().tasks.is_swept = true;
}

/// Stops every task that the runtime lists as running.
async fn stop_all(agent: &Agent) -> Result<(), runtime::Error> {
    for task in agent.runtime.tasks().await? {
        if task.state == State::Running {
            log::warn!("event=task-swept task={}", task.id);
            agent.runtime.stop(&task.id).await?;
        }
    }
    Ok(())
}

/// Compares the started members with the tasks that the runtime lists, and makes the calls due.
async fn reconcile(agent: &Arc<Agent>) {
    let is_live = |status: &Status| {
        status.started && matches!(status.phase, Phase::Running | Phase::Stopping)
    };
    let statuses: Vec<Status> = agent.core().gang.statuses().into_iter().filter(is_live).collect();
    if statuses.is_empty() {
        return;
    }
    let listed_at = clock::now();
    let listed = agent.runtime.tasks().await;
    let mut calls = JoinSet::new();
    for status in statuses {
        let found = match &listed {
            Ok(tasks) => {
                let id = task_id(&status.member_id);
                Some(tasks.iter().find(|task| task.id == id))
            }
            Err(_) => None,
        };
        if let Some(call) = reconcile_member(agent, &status.member_id, found, listed_at) {
            let agent = agent.clone();
            calls.spawn(async move { make_call(&agent, &status.member_id, call).await });
        }
    }
    while calls.join_next().await.is_some() {}
}

/// A call to the runtime that is due for a member.
enum Call {
    Renew,
    Start,
    Stop,
}

/// Applies the state of a member at the runtime, and returns the call that is due.
///
/// `found` is `None` if the runtime gave no usable answer, and `Some(None)` if it does not list the
/// member. The list was requested at `listed_at`.
fn reconcile_member(
    agent: &Agent,
    member_id: &MemberId,
    found: Option<Option<&runtime::Task>>,
    listed_at: Millis,
) -> Option<Call> {
    let now = clock::now();
    let task = agent.core().tasks.by_member.get(member_id).cloned().unwrap_or_default();
    let is_retry_due = RETRY_AFTER <= now.since(task.requested_at);
    match found {
        None if task.confirmed_at.is_some() && RUNTIME_LEASE < now.since(task.renewed_at) => {
            record_end(agent, member_id, End::Stopped);
            None
        }
        None => None,
        Some(Some(listed)) => {
            if !listed.checkpoint.is_empty() {
                update(agent, member_id, |task| task.checkpoint = listed.checkpoint.clone());
            }
            match &listed.state {
                State::Running if task.is_stop_requested => is_retry_due.then_some(Call::Stop),
                State::Running => {
                    update(agent, member_id, |task| {
                        task.confirmed_at.get_or_insert(now);
                    });
                    (RENEW_INTERVAL <= now.since(task.renewed_at)).then_some(Call::Renew)
                }
                State::Done => {
                    record_end(agent, member_id, End::Done);
                    None
                }
                State::Ended(reason) => {
                    let is_stopped = reason == "stopped" || reason == "lapsed";
                    let how = if is_stopped { End::Stopped } else { End::Failed(reason.clone()) };
                    record_end(agent, member_id, how);
                    None
                }
            }
        }
        // The list may have been made before the runtime carried out the start, which it confirmed
        // while the list was under way.
        Some(None) if listed_at <= task.requested_at.max(task.confirmed_at.unwrap_or_default()) => {
            None
        }
        Some(None) if task.confirmed_at.is_some() || task.is_stop_requested => {
            record_end(agent, member_id, End::Stopped);
            None
        }
        Some(None) => is_retry_due.then_some(Call::Start),
    }
}

async fn make_call(agent: &Agent, member_id: &MemberId, call: Call) {
    match call {
        Call::Start => start(agent, member_id).await,
        Call::Stop => stop(agent, member_id).await,
        Call::Renew => {
            let now = clock::now();
            let Some(lease) = runtime_lease(agent, member_id, now) else { return };
            if agent.runtime.renew(&task_id(member_id), lease).await.is_ok() {
                update(agent, member_id, |task| task.renewed_at = now);
            }
        }
    }
}
