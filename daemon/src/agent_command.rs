//! Handles the planner's commands to gang members of this worker.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::Effect;
use lavendergauge_lib::gang::Hold;
use lavendergauge_lib::gang::MemberId;
use lavendergauge_lib::name::Name;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::codec;
use lavendergauge_wire::gang::Command;
use lavendergauge_wire::gang::Reply;
use lavendergauge_wire::gang::Step;
use lavendergauge_wire::gang::Verdict;

use crate::agent::Agent;
use crate::agent_task;
use crate::clock;
use crate::problem;

/// Answers one command of the planner.
///
/// A start at the worker runtime is awaited before the reply is sent; checkpoints and stops run in
/// the background.
pub async fn answer(agent: &Arc<Agent>, body: &Bytes) -> Response<Body> {
    let command: Command = match codec::unpack(body) {
        Ok(command) => command,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    let (reply, effects) = decide(agent, &command);
    log::info!(
        "event=command job={} attempt={} member={} epoch={} verdict={}",
        command.job,
        command.attempt,
        command.member,
        command.epoch,
        reply.verdict
    );
    for effect in effects {
        match effect {
            Effect::Start(member_id) => agent_task::start(agent, &member_id).await,
            other => agent_task::spawn(agent, other),
        }
    }
    fail::fail_point!("agent-reply", |_| problem::bad_input("reply", "is lost"));
    Response::new(body::full(codec::pack(&reply).unwrap_or_default()))
}

/// Applies a command to the agent's state and returns the reply and the runtime calls that follow.
///
/// The reply names the highest planner epoch seen so far. Members can be prepared only once no task
/// of an earlier agent process can still run.
fn decide(agent: &Agent, command: &Command) -> (Reply, Vec<Effect>) {
    let mut core = agent.core();
    let now = clock::now();
    let epoch = core.gang.epoch();
    let refuse = |verdict| Reply { verdict, epoch, started: false, detail: String::new() };
    if command.incarnation != agent.incarnation || command.worker != agent.name {
        return (refuse(Verdict::WrongIncarnation), Vec::new());
    }
    let is_prepare = matches!(command.step, Step::Prepare { .. });
    if core.is_leaving && is_prepare {
        return (refuse(Verdict::Leaving), Vec::new());
    }
    if !core.tasks.is_swept && is_prepare {
        return (refuse(Verdict::Busy), Vec::new());
    }
    let is_permitted = core.permit.is_open(now);
    let gang_command = to_gang(command);
    let member_id = MemberId {
        job: gang_command.job.clone(),
        attempt: gang_command.attempt,
        member: gang_command.member,
    };
    let (verdict, effects) = core.gang.command(now, &gang_command, is_permitted);
    if let (Step::Prepare { payload, checkpoint, members, .. }, gang::Verdict::Done) =
        (&command.step, verdict)
    {
        let task = core.tasks.by_member.entry(member_id.clone()).or_default();
        task.payload.clone_from(payload);
        task.resume_from.clone_from(checkpoint);
        task.members = *members;
    }
    let started = core.gang.has_started(&member_id);
    let verdict = to_wire(verdict);
    (Reply { verdict, epoch: core.gang.epoch(), started, detail: String::new() }, effects)
}

fn to_wire(verdict: gang::Verdict) -> Verdict {
    match verdict {
        gang::Verdict::Done => Verdict::Done,
        gang::Verdict::StaleEpoch => Verdict::StaleEpoch,
        gang::Verdict::StaleAttempt => Verdict::StaleAttempt,
        gang::Verdict::Busy => Verdict::Busy,
        gang::Verdict::NoPermit => Verdict::NoPermit,
        gang::Verdict::Leaving => Verdict::Leaving,
        gang::Verdict::UnknownTask => Verdict::UnknownTask,
    }
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
