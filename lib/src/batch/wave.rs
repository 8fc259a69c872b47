//! Maintenance waves: VMs that are taken down in turn, a limited number at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::preempt;
use crate::batch::table::Tables;
use crate::clock::Millis;

/// Time after a takeover in which no maintenance is ordered, since an earlier planner may still
/// act.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(3200);

/// A maintenance wave that operators requested.
#[value]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Names of the VMs.
    pub machines: Vec<String>,
    /// Maximum number of VMs that may be down for it at a time.
    pub max_away: usize,
    /// Whether it names VMs that cannot be read, so that it cannot be completed.
    pub is_partial: bool,
}

/// Whether a VM is in operation.
#[token]
pub enum Status {
    /// It runs.
    Up,
    /// It is down, going down or coming up, or in maintenance.
    Away,
}

/// A VM as the platform lists it.
#[value]
pub struct Machine {
    /// Name.
    pub name: String,
    /// Whether it is in operation.
    pub status: Status,
    /// Identifier of its worker; empty for none.
    pub worker: String,
}

/// Durable record of a wave.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Record {
    /// VMs whose maintenance was ordered or may have been.
    pub ordered: BTreeSet<String>,
    /// VMs whose maintenance is known to have begun.
    pub begun: BTreeSet<String>,
    /// Whether the completion was reported to the operators.
    pub completed: bool,
}

/// Next action for a wave.
#[value]
pub enum Step {
    /// Order the maintenance of these VMs, once they are recorded as ordered.
    Order(Vec<String>),
    /// Do nothing now.
    Wait,
    /// Every VM that the platform lists has had its maintenance and is up again.
    Complete,
}

/// Decides the next action for a wave.
///
/// VMs on which the least work would be lost go first. A VM whose order got no answer is
/// ordered again; a repeated order succeeds if it was carried out before.
pub fn next(
    tables: &Tables,
    now: Millis,
    wave: &Wave,
    record: &Record,
    machines: &BTreeMap<String, Machine>,
) -> Step {
    if now.since(tables.took_over) < TAKEOVER_PAUSE {
        return Step::Wait;
    }
    let present: Vec<&Machine> =
        wave.machines.iter().filter_map(|name| machines.get(name)).collect();
    let unconfirmed: Vec<String> = present
        .iter()
        .filter(|machine| record.ordered.contains(&machine.name))
        .filter(|machine| !record.begun.contains(&machine.name))
        .map(|machine| machine.name.clone())
        .collect();
    if !unconfirmed.is_empty() {
        return Step::Order(unconfirmed);
    }
    let away = present.iter().filter(|machine| machine.status == Status::Away).count();
    let mut waiting: Vec<&Machine> =
        present.iter().copied().filter(|machine| !record.ordered.contains(&machine.name)).collect();
    if waiting.is_empty() {
        return if away == 0 && !wave.is_partial { Step::Complete } else { Step::Wait };
    }
    waiting.retain(|machine| machine.status == Status::Up);
    waiting.sort_by_key(|machine| (lost_work(tables, now, &machine.worker), machine.name.clone()));
    let free = wave.max_away.saturating_sub(away);
    let chosen: Vec<String> =
        waiting.iter().take(free).map(|machine| machine.name.clone()).collect();
    if chosen.is_empty() { Step::Wait } else { Step::Order(chosen) }
}

/// Returns the work that is lost when a worker is stopped, in core-milliseconds.
fn lost_work(tables: &Tables, now: Millis, worker: &str) -> u64 {
    let Some((_, row)) = tables.workers.iter().find(|(_, row)| row.id == worker) else { return 0 };
    row.runs
        .iter()
        .filter_map(|key| {
            let run = tables.runs.get(*key)?;
            let step = tables.step(run.task.instance)?;
            // Callers depend on a task that runs until it is cancelled, so its VM goes last.
            let last = if step.long_running { u64::from(u32::MAX) } else { 0 };
            Some(preempt::lost_work(step, run, now) + last)
        })
        .sum()
}
