//! Explains the state of a job: where it runs, or why it waits and where it would be placed.

use std::fmt;

use lavendergauge_derive::value;

use crate::allocation;
use crate::backlog::Backlog;
use crate::clock::Millis;
use crate::key;
use crate::name::Name;
use crate::place;
use crate::site::Sites;
use crate::table::Placements;
use crate::table::Purpose;
use crate::table::State;
use crate::table::Tables;

/// State of a job in the planner's tables, with its reason.
#[value]
pub enum Explanation {
    /// Its account or guarantee is not in the configuration in force.
    Unconfigured {
        /// What is missing.
        reason: String,
    },
    /// It is starting.
    Starting {
        /// Its workers.
        workers: Vec<Name>,
    },
    /// It runs.
    Running {
        /// Its workers.
        workers: Vec<Name>,
        /// The guarantee in whose reservation it runs as a claim; `None` while it does not.
        guarantee: Option<Name>,
    },
    /// It was ordered to stop.
    Stopping {
        /// Its workers.
        workers: Vec<Name>,
    },
    /// It waits.
    Waiting {
        /// Number of waiting jobs of its class that were submitted before it.
        ahead: usize,
        /// What it waits for.
        cause: WaitReason,
    },
}

/// What a job waits for.
#[value]
pub enum WaitReason {
    /// The next tick, which starts it.
    NextTick {
        /// Workers that it would be placed on now.
        workers: Vec<Name>,
        /// Number of alternative placements that were compared.
        alternatives: usize,
    },
    /// Its account's quota, which it would exceed.
    Quota {
        /// Accelerators that the account may hold.
        quota: u32,
        /// Accelerators that it holds.
        held: u32,
        /// Accelerators that the job needs.
        needed: u32,
    },
    /// The pause after an aborted attempt.
    Retry {
        /// Time until the next attempt, in milliseconds.
        in_ms: u64,
        /// Number of consecutive aborted attempts.
        aborted: u32,
    },
    /// Borrowers that are being stopped so that it can use its account's guarantee.
    Borrowers {
        /// The guarantee.
        guarantee: Name,
        /// Workers that are reserved for it.
        workers: Vec<Name>,
        /// Number of jobs on those workers that were ordered to stop.
        stopping: usize,
    },
    /// Reserved capacity that is not free yet.
    Drain {
        /// Workers that are reserved for it.
        workers: Vec<Name>,
        /// Time until the reserved capacity is expected to be free, in milliseconds.
        in_ms: u64,
    },
    /// Its guarantee, which the remaining workers cannot meet.
    Unmet {
        /// The guarantee.
        guarantee: Name,
        /// Why it cannot be met.
        reason: String,
    },
    /// Workers that could run it, since none of the remaining ones could.
    Fleet {
        /// What is missing.
        reason: String,
    },
    /// Free capacity that is not reserved for other jobs.
    Capacity {
        /// Accelerators that the job needs.
        needed: u32,
        /// Total of free accelerators in all open data centres.
        free: u32,
        /// Largest number of free accelerators on one worker.
        widest: u32,
    },
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Explanation::Unconfigured { reason } => write!(f, "waits: {reason}"),
            Explanation::Starting { workers } => write!(f, "is starting on {}", list(workers)),
            Explanation::Running { workers, guarantee: Some(guarantee) } => {
                write!(f, "runs on {} under guarantee {guarantee}", list(workers))
            }
            Explanation::Running { workers, guarantee: None } => {
                write!(f, "runs on {}", list(workers))
            }
            Explanation::Stopping { workers } => write!(f, "is stopping on {}", list(workers)),
            Explanation::Waiting { ahead, cause } => {
                write!(f, "waits behind {ahead} jobs of its class: {cause}")
            }
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitReason::NextTick { workers, alternatives } => {
                write!(
                    f,
                    "would be placed on {}, one of {alternatives} alternatives",
                    list(workers)
                )
            }
            WaitReason::Quota { quota, held, needed } => {
                write!(f, "needs {needed} accelerators, its account holds {held} of {quota}")
            }
            WaitReason::Retry { in_ms, aborted } => {
                write!(
                    f,
                    "next attempt in {in_ms} ms, after {aborted} consecutive aborted attempts"
                )
            }
            WaitReason::Borrowers { guarantee, workers, stopping } => {
                write!(
                    f,
                    "{stopping} borrowers are stopping on {} for guarantee {guarantee}",
                    list(workers)
                )
            }
            WaitReason::Drain { workers, in_ms } => {
                write!(
                    f,
                    "capacity is reserved on {}, expected to be free in {in_ms} ms",
                    list(workers)
                )
            }
            WaitReason::Unmet { guarantee, reason } => {
                write!(f, "guarantee {guarantee} cannot be met: {reason}")
            }
            WaitReason::Fleet { reason } => {
                write!(f, "none of the remaining workers could run it: {reason}")
            }
            WaitReason::Capacity { needed, free, widest } => write!(
                f,
                "needs {needed} accelerators, {free} are free, at most {widest} on one worker"
            ),
        }
    }
}

fn list(workers: &[Name]) -> String {
    workers.iter().map(Name::as_str).collect::<Vec<_>>().join(", ")
}

/// Explains one job.
pub(crate) fn job(tables: &Tables, backlog: &Backlog, now: Millis, job: key::Job) -> Explanation {
    let row = &tables.jobs[job];
    let workers = assigned_workers(tables, job);
    match row.state {
        State::Starting => Explanation::Starting { workers },
        State::Running => {
            let guarantee = row.claim.map(|claim| tables.guarantees[claim].name.clone());
            Explanation::Running { workers, guarantee }
        }
        State::Stopping => Explanation::Stopping { workers },
        State::Waiting => {
            let cause = wait_reason(tables, backlog, now, job);
            Explanation::Waiting { ahead: backlog.count_ahead(tables, job), cause }
        }
    }
}

fn wait_reason(tables: &Tables, backlog: &Backlog, now: Millis, job: key::Job) -> WaitReason {
    let row = &tables.jobs[job];
    if let Some(until) = backlog.delayed_until(job) {
        let in_ms = until.since(now).as_millis() as u64;
        return WaitReason::Retry { in_ms, aborted: row.aborted };
    }
    if place::exceeds_quota(tables, job) {
        let account = &tables.accounts[row.account];
        let (quota, held) = (account.quota, account.held);
        return WaitReason::Quota { quota, held, needed: row.shape.total() };
    }
    if let Some(reservation) = &row.reservation {
        let workers = names(tables, &reservation.placements);
        if reservation.purpose == Purpose::Drain {
            return WaitReason::Drain {
                workers,
                in_ms: reservation.ready.since(now).as_millis() as u64,
            };
        }
        let guarantee = row.guarantee.clone().unwrap_or_default();
        let stopping = stopping_on(tables, &reservation.placements);
        return WaitReason::Borrowers { guarantee, workers, stopping };
    }
    let found = place::find(tables, now, job);
    if let Some(placements) = found.placements {
        return WaitReason::NextTick {
            workers: names(tables, &placements),
            alternatives: found.considered,
        };
    }
    if let Some(reason) = Sites::present(tables).explain_impossible(row.shape, &row.data_centres) {
        return WaitReason::Fleet { reason: reason.to_string() };
    }
    if let Some(unmet) = unmet_guarantee(tables, job) {
        return unmet;
    }
    let free = |row: &crate::table::Worker| row.free_accelerators().count();
    let is_open = |row: &&crate::table::Worker| {
        row.lost.is_none() && tables.data_centres[tables.racks[row.rack].data_centre].is_open
    };
    WaitReason::Capacity {
        needed: row.shape.total(),
        free: tables.workers.values().filter(is_open).map(free).sum(),
        widest: tables.workers.values().filter(is_open).map(free).max().unwrap_or_default(),
    }
}

fn unmet_guarantee(tables: &Tables, job: key::Job) -> Option<WaitReason> {
    let guarantee = &tables.guarantees[allocation::claimed_guarantee(tables, job)?];
    let reason = guarantee.unmet.clone()?;
    Some(WaitReason::Unmet { guarantee: guarantee.name.clone(), reason })
}

fn assigned_workers(tables: &Tables, job: key::Job) -> Vec<Name> {
    let assignments = tables.jobs[job].assignments.iter();
    let mut workers: Vec<Name> =
        assignments.map(|assignment| tables.workers[assignment.worker].name.clone()).collect();
    workers.dedup();
    workers
}

fn names(tables: &Tables, placements: &Placements) -> Vec<Name> {
    placements.iter().map(|placement| tables.workers[placement.worker].name.clone()).collect()
}

fn stopping_on(tables: &Tables, placements: &Placements) -> usize {
    let mut jobs: Vec<key::Job> = placements
        .iter()
        .flat_map(|placement| tables.workers[placement.worker].jobs.iter().copied())
        .collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.into_iter().filter(|&job| tables.jobs[job].state == State::Stopping).count()
}
