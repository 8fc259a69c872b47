//! Why a job waits, where it would go, or where it is.

use std::fmt;

use lavendergauge_derive::value;

use crate::backlog::Backlog;
use crate::clock::Millis;
use crate::ground::Ground;
use crate::key;
use crate::ledger;
use crate::name::Name;
use crate::place;
use crate::table::Purpose;
use crate::table::Spots;
use crate::table::State;
use crate::table::Tables;

/// Where a job stands in the planner's view.
#[value]
pub enum Explanation {
    /// Its account or guarantee is not in the configuration in force.
    Unconfigured {
        /// What is missing.
        reason: String,
    },
    /// It is being started.
    Starting {
        /// Its workers.
        workers: Vec<Name>,
    },
    /// It runs.
    Running {
        /// Its workers.
        workers: Vec<Name>,
        /// The guarantee whose hold it runs in; `None` while it borrows and can be evicted.
        guarantee: Option<Name>,
    },
    /// It was told to stop.
    Stopping {
        /// Its workers.
        workers: Vec<Name>,
    },
    /// It waits.
    Waiting {
        /// Jobs of its class that were submitted before it and wait as well.
        ahead: usize,
        /// What it waits for.
        cause: Wait,
    },
}

/// What a job waits for.
#[value]
pub enum Wait {
    /// The next tick, which starts it.
    Turn {
        /// Where it would go now.
        workers: Vec<Name>,
        /// Number of places that were weighed.
        alternatives: usize,
    },
    /// Its account's quota.
    Quota {
        /// Accelerators that the account may hold.
        quota: u32,
        /// Accelerators that it holds.
        held: u32,
        /// Accelerators that the job needs.
        needed: u32,
    },
    /// The pause after an attempt that never ran.
    Retry {
        /// Time until the next attempt, in milliseconds.
        in_ms: u64,
        /// Attempts in a row that never ran.
        aborted: u32,
    },
    /// Borrowers that leave its account's guarantee.
    Borrowers {
        /// The guarantee.
        guarantee: Name,
        /// Where it goes.
        workers: Vec<Name>,
        /// Jobs there that were told to stop.
        stopping: usize,
    },
    /// Space that drains for it.
    Drain {
        /// Where it goes.
        workers: Vec<Name>,
        /// Time until the space is expected to be free, in milliseconds.
        in_ms: u64,
    },
    /// Its guarantee, which the workers that are left cannot meet.
    Unmet {
        /// The guarantee.
        guarantee: Name,
        /// Why it cannot be met.
        reason: String,
    },
    /// Workers of a kind that is not there.
    Fleet {
        /// What is missing.
        reason: String,
    },
    /// Room beside what runs and what is kept for others.
    Room {
        /// Accelerators that the job needs.
        needed: u32,
        /// Accelerators that are free in all open data centres.
        free: u32,
        /// Most accelerators that are free on one worker.
        widest: u32,
    },
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Explanation::Unconfigured { reason } => write!(f, "waits: {reason}"),
            Explanation::Starting { workers } => write!(f, "starts on {}", list(workers)),
            Explanation::Running { workers, guarantee: Some(guarantee) } => {
                write!(f, "runs on {} under guarantee {guarantee}", list(workers))
            }
            Explanation::Running { workers, guarantee: None } => {
                write!(f, "runs on {}", list(workers))
            }
            Explanation::Stopping { workers } => write!(f, "stops on {}", list(workers)),
            Explanation::Waiting { ahead, cause } => {
                write!(f, "waits with {ahead} jobs of its class ahead: {cause}")
            }
        }
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wait::Turn { workers, alternatives } => {
                write!(f, "would go to {}, one of {alternatives} places", list(workers))
            }
            Wait::Quota { quota, held, needed } => {
                write!(f, "needs {needed} accelerators, its account holds {held} of {quota}")
            }
            Wait::Retry { in_ms, aborted } => {
                write!(f, "next attempt in {in_ms} ms, {aborted} in a row never ran")
            }
            Wait::Borrowers { guarantee, workers, stopping } => {
                write!(f, "{stopping} borrowers leave {} for guarantee {guarantee}", list(workers))
            }
            Wait::Drain { workers, in_ms } => {
                write!(f, "space drains on {}, expected in {in_ms} ms", list(workers))
            }
            Wait::Unmet { guarantee, reason } => {
                write!(f, "guarantee {guarantee} cannot be met: {reason}")
            }
            Wait::Fleet { reason } => write!(f, "no worker that is left could run it: {reason}"),
            Wait::Room { needed, free, widest } => write!(
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
    let workers = placed_on(tables, job);
    match row.state {
        State::Starting => Explanation::Starting { workers },
        State::Running => {
            let guarantee = row.claim.map(|claim| tables.guarantees[claim].name.clone());
            Explanation::Running { workers, guarantee }
        }
        State::Stopping => Explanation::Stopping { workers },
        State::Waiting => {
            let cause = wait(tables, backlog, now, job);
            Explanation::Waiting { ahead: backlog.ahead(tables, job), cause }
        }
    }
}

fn wait(tables: &Tables, backlog: &Backlog, now: Millis, job: key::Job) -> Wait {
    let row = &tables.jobs[job];
    if let Some(until) = backlog.delayed_until(job) {
        let in_ms = until.since(now).as_millis() as u64;
        return Wait::Retry { in_ms, aborted: row.aborted };
    }
    if place::over_quota(tables, job) {
        let account = &tables.accounts[row.account];
        let (quota, held) = (account.quota, account.held);
        return Wait::Quota { quota, held, needed: row.shape.total() };
    }
    if let Some(target) = &row.target {
        let workers = names(tables, &target.spots);
        if target.purpose == Purpose::Drain {
            return Wait::Drain { workers, in_ms: target.ready.since(now).as_millis() as u64 };
        }
        let guarantee = row.guarantee.clone().unwrap_or_default();
        let stopping = stopping_on(tables, &target.spots);
        return Wait::Borrowers { guarantee, workers, stopping };
    }
    let found = place::find(tables, now, job);
    if let Some(spots) = found.spots {
        return Wait::Turn { workers: names(tables, &spots), alternatives: found.weighed };
    }
    if let Some(reason) = Ground::present(tables).impossible(row.shape, &row.data_centres) {
        return Wait::Fleet { reason: reason.to_string() };
    }
    if let Some(unmet) = unmet(tables, job) {
        return unmet;
    }
    let free = |row: &crate::table::Worker| row.free().count();
    let open = |row: &&crate::table::Worker| {
        row.lost.is_none() && tables.data_centres[tables.racks[row.rack].data_centre].open
    };
    Wait::Room {
        needed: row.shape.total(),
        free: tables.workers.values().filter(open).map(free).sum(),
        widest: tables.workers.values().filter(open).map(free).max().unwrap_or_default(),
    }
}

fn unmet(tables: &Tables, job: key::Job) -> Option<Wait> {
    let guarantee = &tables.guarantees[ledger::named(tables, job)?];
    let reason = guarantee.unmet.clone()?;
    Some(Wait::Unmet { guarantee: guarantee.name.clone(), reason })
}

fn placed_on(tables: &Tables, job: key::Job) -> Vec<Name> {
    let places = tables.jobs[job].places.iter();
    let mut workers: Vec<Name> =
        places.map(|place| tables.workers[place.worker].name.clone()).collect();
    workers.dedup();
    workers
}

fn names(tables: &Tables, spots: &Spots) -> Vec<Name> {
    spots.iter().map(|spot| tables.workers[spot.worker].name.clone()).collect()
}

fn stopping_on(tables: &Tables, spots: &Spots) -> usize {
    let mut jobs: Vec<key::Job> =
        spots.iter().flat_map(|spot| tables.workers[spot.worker].jobs.iter().copied()).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.into_iter().filter(|&job| tables.jobs[job].state == State::Stopping).count()
}
