//! Gang members in the agent's announcements, and the changes that entries' replies make to them.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::GANG_LEASE;
use lavendergauge_lib::gang::MemberId;
use lavendergauge_lib::gang::Status;
use lavendergauge_lib::name::Name;
use lavendergauge_wire::announce;
use lavendergauge_wire::announce::Reply;

use crate::agent::Agent;
use crate::agent::Core;
use crate::agent_task;
use crate::agent_task::End;
use crate::agent_task::Task;
use crate::clock;

/// Returns all gang members of the worker in their wire form.
pub fn announced_tasks(core: &Core) -> Vec<announce::Task> {
    core.gang.statuses().iter().map(|status| to_wire(core, status)).collect()
}

fn to_wire(core: &Core, status: &Status) -> announce::Task {
    let task = core.tasks.by_member.get(&status.member_id).cloned().unwrap_or_default();
    announce::Task {
        job: status.member_id.job.to_string(),
        attempt: status.member_id.attempt,
        member: status.member_id.member,
        members: task.members,
        phase: to_wire_phase(status.phase, task.end.as_ref()),
        accelerators: status.hold.accelerators.to_vec(),
        processors: status.hold.processors,
        memory_mb: status.hold.memory_mb,
        result: result_text(&status.member_id, &task),
        checkpoint: task.checkpoint,
    }
}

fn to_wire_phase(phase: gang::Phase, end: Option<&End>) -> announce::Phase {
    match (phase, end) {
        (gang::Phase::Held, _) => announce::Phase::Held,
        (gang::Phase::Armed, _) => announce::Phase::Armed,
        (gang::Phase::Running, _) => announce::Phase::Running,
        (gang::Phase::Stopping, _) => announce::Phase::Stopping,
        (gang::Phase::Ended, Some(End::Done)) => announce::Phase::Done,
        (gang::Phase::Ended, Some(End::Failed(_))) => announce::Phase::Failed,
        (gang::Phase::Ended, _) => announce::Phase::Stopped,
    }
}

/// Returns a failed member's reason or a finished member's result; empty in all other cases.
fn result_text(member_id: &MemberId, task: &Task) -> String {
    match &task.end {
        Some(End::Failed(reason)) => reason.clone(),
        Some(End::Done) => format!("result-of-{}", agent_task::task_id(member_id)),
        _ => String::new(),
    }
}

/// Applies an entry's reply to an announcement that was sent at `sent_at`.
///
/// Renews the gang leases that the entry extends, and drops the members whose end is on record.
/// A lease counts from `sent_at`, which is before the entry computed what remains of it, so that
/// the agent never takes it for longer than the entry does.
pub fn apply_reply(agent: &Arc<Agent>, sent_at: Millis, reply: &Reply) {
    let now = clock::now();
    let mut core = agent.core();
    let mut effects = Vec::new();
    for renewal in &reply.renewals {
        let member_id = MemberId {
            job: Name::from(&renewal.job),
            attempt: renewal.attempt,
            member: renewal.member,
        };
        let validity = Duration::from_millis(renewal.lasts_ms).min(GANG_LEASE);
        effects.extend(core.gang.renew(now, &member_id, sent_at + validity));
    }
    for settled in &reply.settled {
        let Some(member_id) = parse_member_id(settled) else { continue };
        core.gang.forget(now, &member_id);
    }
    let statuses = core.gang.statuses();
    core.tasks
        .by_member
        .retain(|member_id, _| statuses.iter().any(|status| status.member_id == *member_id));
    drop(core);
    for effect in effects {
        agent_task::spawn(agent, effect);
    }
}

/// Parses a member's identity, written as `job/attempt/member`.
fn parse_member_id(text: &str) -> Option<MemberId> {
    let mut parts = text.rsplitn(3, '/');
    let member = parts.next()?.parse().ok()?;
    let attempt = parts.next()?.parse().ok()?;
    Some(MemberId { job: Name::from(parts.next()?), attempt, member })
}
