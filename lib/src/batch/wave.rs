//! Maintenance waves: machines that are to be taken down in turn, at most so many at a time.

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

/// Time after a takeover in which no machine is touched: an earlier holder may still act.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(3200);

/// What operators ask for.
#[value]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// Most machines that may be down for it at a time.
    pub most: usize,
}

/// Where a machine is.
#[token]
pub enum Standing {
    /// It runs.
    Up,
    /// It is down, on its way, or in maintenance.
    Away,
}

/// A machine as the platform lists it.
#[value]
pub struct Machine {
    /// Name.
    pub name: String,
    /// Where it is.
    pub standing: Standing,
    /// Identifier of its worker; empty for none.
    pub worker: String,
}

/// What is recorded of a wave.
#[value]
#[derive(Default, Serialize, Deserialize)]
pub struct Record {
    /// Machines whose maintenance was ordered or may have been.
    pub ordered: BTreeSet<String>,
    /// Machines whose maintenance is known to have begun.
    pub begun: BTreeSet<String>,
    /// Whether operators were told that it is over.
    pub completed: bool,
}

/// What to do for a wave.
#[value]
pub enum Step {
    /// Order the maintenance of these machines, once they are recorded as ordered.
    Order(Vec<String>),
    /// Nothing now.
    Wait,
    /// Every machine that is there has had its maintenance and is back.
    Complete,
}

/// Decides the next step of a wave.
///
/// Machines on which the least work would be lost go first. One whose order had no answer is
/// ordered again; that is answered well when it was carried out before.
pub fn next(
    tables: &Tables,
    now: Millis,
    wave: &Wave,
    done: &Record,
    machines: &BTreeMap<String, Machine>,
) -> Step {
    if now.since(tables.took_over) < TAKEOVER_PAUSE {
        return Step::Wait;
    }
    let present: Vec<&Machine> =
        wave.machines.iter().filter_map(|name| machines.get(name)).collect();
    let unsure: Vec<String> = present
        .iter()
        .filter(|machine| done.ordered.contains(&machine.name))
        .filter(|machine| !done.begun.contains(&machine.name))
        .map(|machine| machine.name.clone())
        .collect();
    if !unsure.is_empty() {
        return Step::Order(unsure);
    }
    let away = present.iter().filter(|machine| machine.standing == Standing::Away).count();
    let mut waiting: Vec<&Machine> =
        present.iter().copied().filter(|machine| !done.ordered.contains(&machine.name)).collect();
    if waiting.is_empty() {
        return if away == 0 { Step::Complete } else { Step::Wait };
    }
    waiting.retain(|machine| machine.standing == Standing::Up);
    waiting.sort_by_key(|machine| (loss(tables, now, &machine.worker), machine.name.clone()));
    let free = wave.most.saturating_sub(away);
    let chosen: Vec<String> =
        waiting.iter().take(free).map(|machine| machine.name.clone()).collect();
    if chosen.is_empty() { Step::Wait } else { Step::Order(chosen) }
}

/// Returns the core-milliseconds of work that stopping a worker throws away.
fn loss(tables: &Tables, now: Millis, worker: &str) -> u64 {
    let on_it = |task: &crate::batch::job::Task| {
        let run = tables.work(*task).and_then(|work| work.live.as_ref())?;
        let here = tables.workers.get(run.worker).is_some_and(|row| row.id == worker);
        let step = tables.step(task.part)?;
        // A task that lasts is missed by those it serves; it goes last.
        here.then(|| {
            preempt::loss(step, run, now) + if step.lasts { u64::from(u32::MAX) } else { 0 }
        })
    };
    tables.live().iter().filter_map(on_it).sum()
}
