//! The agent's side of gang members: commands of the planner, and the worker runtime.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use lavendergauge_derive::value;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::Effect;
use lavendergauge_lib::gang::Hold;
use lavendergauge_lib::gang::Slot;
use lavendergauge_lib::name::Name;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::announce;
use lavendergauge_wire::codec;
use lavendergauge_wire::gang::Command;
use lavendergauge_wire::gang::Reply;
use lavendergauge_wire::gang::Step;
use lavendergauge_wire::gang::Verdict;
use tokio::sync::watch;
use tokio::time;

use crate::agent::Agent;
use crate::agent::Core;
use crate::clock;
use crate::problem;
use crate::runtime::State;

/// Interval at which the agent looks after its members.
const TICK: Duration = Duration::from_millis(100);
/// Lease that the agent asks of the runtime, renewed each tick while the gang lease holds.
const RUNTIME_LEASE: Duration = Duration::from_millis(2000);

/// How a member ended.
#[value]
pub enum End {
    /// It came to its own end.
    Done,
    /// It was stopped, or outlived its lease.
    Stopped,
    /// It failed, for this reason.
    Failed(String),
}

/// Carries out one command of the planner.
pub async fn command(agent: &Arc<Agent>, body: &Bytes) -> Response<Body> {
    let command: Command = match codec::unpack(body) {
        Ok(command) => command,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    let (verdict, epoch, effects) = decide(agent, &command);
    log::info!(
        "event=command job={} attempt={} member={} epoch={} verdict={verdict:?}",
        command.job,
        command.attempt,
        command.member,
        command.epoch
    );
    for effect in effects {
        carry_out(agent, effect).await;
    }
    let reply = Reply { verdict, epoch, detail: String::new() };
    Response::new(body::full(codec::pack(&reply).unwrap_or_default()))
}

fn decide(agent: &Agent, command: &Command) -> (Verdict, u64, Vec<Effect>) {
    let now = clock::now();
    let mut core = agent.core();
    if command.incarnation != agent.incarnation || command.worker != agent.name {
        return (Verdict::WrongIncarnation, core.gang.epoch(), Vec::new());
    }
    if core.leaving && matches!(command.step, Step::Prepare { .. }) {
        return (Verdict::Leaving, core.gang.epoch(), Vec::new());
    }
    let open = core.permit.is_open(now);
    let inner = to_gang(command);
    let (verdict, effects) = core.gang.command(now, &inner, open);
    if let (Step::Prepare { payload, .. }, gang::Verdict::Done) = (&command.step, verdict) {
        core.payloads.insert(slot(&inner), payload.clone());
    }
    let verdict = match verdict {
        gang::Verdict::Done => Verdict::Done,
        gang::Verdict::StaleEpoch => Verdict::StaleEpoch,
        gang::Verdict::StaleAttempt => Verdict::StaleAttempt,
        gang::Verdict::Busy => Verdict::Busy,
        gang::Verdict::NoPermit => Verdict::NoPermit,
        gang::Verdict::Leaving => Verdict::Leaving,
        gang::Verdict::UnknownTask => Verdict::UnknownTask,
    };
    (verdict, core.gang.epoch(), effects)
}

fn slot(command: &gang::Command) -> Slot {
    Slot { job: command.job.clone(), attempt: command.attempt, member: command.member }
}

fn to_gang(command: &Command) -> gang::Command {
    let millis = Duration::from_millis;
    let step = match &command.step {
        Step::Prepare { accelerators, processors, memory_mb, hold_ms, .. } => gang::Step::Prepare {
            hold: Hold {
                accelerators: accelerators.iter().copied().collect(),
                processors: *processors,
                memory_mb: *memory_mb,
            },
            lasts: millis(*hold_ms),
        },
        Step::Arm => gang::Step::Arm,
        Step::Go { lease_ms } => gang::Step::Go { lease: millis(*lease_ms) },
        Step::Renew { lease_ms } => gang::Step::Renew { lease: millis(*lease_ms) },
        Step::Stop { notice_ms, .. } => gang::Step::Stop { notice: millis(*notice_ms) },
    };
    gang::Command {
        epoch: command.epoch,
        job: Name::from(&command.job),
        attempt: command.attempt,
        member: command.member,
        step,
    }
}

/// Returns a member's identity at the runtime.
fn task_id(slot: &Slot) -> String {
    format!("{}/{}/{}", slot.job, slot.attempt, slot.member)
}

async fn carry_out(agent: &Agent, effect: Effect) {
    match effect {
        Effect::Start(slot) => {
            let payload = agent.core().payloads.get(&slot).cloned().unwrap_or_default();
            let started = agent.runtime.start(&task_id(&slot), &payload, RUNTIME_LEASE).await;
            if let Err(error) = started {
                log::warn!("event=start-failed task={} cause=\"{error}\"", task_id(&slot));
                let mut core = agent.core();
                core.ends.insert(slot.clone(), End::Failed(error.to_string()));
                core.gang.exit(&slot);
            }
        }
        Effect::Checkpoint(slot) => {
            if let Ok(checkpoint) = agent.runtime.checkpoint(&task_id(&slot)).await {
                agent.core().checkpoints.insert(slot, checkpoint);
            }
        }
        Effect::Stop(slot) => {
            if let Err(error) = agent.runtime.stop(&task_id(&slot)).await {
                log::warn!("event=stop-failed task={} cause=\"{error}\"", task_id(&slot));
            }
            agent.core().ends.entry(slot).or_insert(End::Stopped);
        }
    }
}

/// Looks after the members until the agent stops.
pub async fn run(agent: Arc<Agent>, stopped: watch::Receiver<bool>) {
    while !*stopped.borrow() {
        let effects = agent.core().gang.tick(clock::now());
        for effect in effects {
            carry_out(&agent, effect).await;
        }
        follow(&agent, clock::now()).await;
        time::sleep(TICK).await;
    }
}

/// Renews running members at the runtime and takes in those that ended.
async fn follow(agent: &Agent, now: Millis) {
    let running: Vec<Slot> = agent
        .core()
        .gang
        .standings()
        .into_iter()
        .filter(|standing| matches!(standing.phase, gang::Phase::Running | gang::Phase::Stopping))
        .map(|standing| standing.slot)
        .collect();
    agent.core().requests.tick(now);
    if running.is_empty() {
        return;
    }
    let Ok(tasks) = agent.runtime.tasks().await else { return };
    for slot in running {
        let id = task_id(&slot);
        let Some(task) = tasks.iter().find(|task| task.id == id) else { continue };
        let end = match &task.state {
            State::Running => {
                let _ = agent.runtime.renew(&id, RUNTIME_LEASE).await;
                continue;
            }
            State::Done => End::Done,
            State::Over(reason) if reason == "stopped" => End::Stopped,
            State::Over(reason) => End::Failed(reason.clone()),
        };
        let mut core = agent.core();
        core.ends.insert(slot.clone(), end);
        core.gang.exit(&slot);
    }
}

/// Returns the members as the agent announces them.
pub fn announced(core: &Core) -> Vec<announce::Task> {
    core.gang
        .standings()
        .into_iter()
        .map(|standing| {
            let end = core.ends.get(&standing.slot);
            let phase = match (standing.phase, end) {
                (gang::Phase::Held, _) => announce::Phase::Held,
                (gang::Phase::Armed, _) => announce::Phase::Armed,
                (gang::Phase::Running, _) => announce::Phase::Running,
                (gang::Phase::Stopping, _) => announce::Phase::Stopping,
                (gang::Phase::Ended, Some(End::Done)) => announce::Phase::Done,
                (gang::Phase::Ended, Some(End::Failed(_))) => announce::Phase::Failed,
                (gang::Phase::Ended, _) => announce::Phase::Stopped,
            };
            let result = match end {
                Some(End::Failed(reason)) => reason.clone(),
                Some(End::Done) => format!("result-of-{}", task_id(&standing.slot)),
                _ => String::new(),
            };
            announce::Task {
                job: standing.slot.job.to_string(),
                attempt: standing.slot.attempt,
                member: standing.slot.member,
                phase,
                accelerators: standing.hold.accelerators.to_vec(),
                processors: standing.hold.processors,
                memory_mb: standing.hold.memory_mb,
                result,
                checkpoint: core.checkpoints.get(&standing.slot).cloned().unwrap_or_default(),
            }
        })
        .collect()
}
