//! Waiting jobs in lines of equals, so that a tick looks at lines and not at every job.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::claim;
use crate::claim::Claimed;
use crate::clock::Millis;
use crate::drain;
use crate::fair;
use crate::key;
use crate::name::Name;
use crate::place;
use crate::planner::Action;
use crate::shape::Shape;
use crate::table::Class;
use crate::table::Job;
use crate::table::State;
use crate::table::Tables;

/// Workers that the searches of one tick look at, at most.
const LOOKS: usize = 400_000;
/// Interval at which wishes that found no place are tried again, since time alone admits some.
const RECHECK: Duration = Duration::from_secs(1);
/// Searches in one tick, at most.
const MOST_SEARCHES: usize = 256;
/// Searches in one tick, at least.
const LEAST_SEARCHES: usize = 16;

/// Jobs of a line that can be given drained space at a time.
const OVERDUE: usize = 1;
/// Urgent jobs of a line that can be given drained space at a time.
const OVERDUE_URGENT: usize = 16;

/// What jobs must have in common so that none finds a place where another found none.
#[value]
#[derive(PartialOrd, Ord, Hash)]
struct Wish {
    shape: Shape,
    data_centres: SmallVec<[Name; 4]>,
    evictable: bool,
    checkpoints: bool,
    claims: bool,
}

/// Jobs of one account and class with one wish.
#[value]
#[derive(PartialOrd, Ord)]
struct Line {
    class: Class,
    account: key::Account,
    wish: Wish,
}

/// Order in which the heads of lines are tried.
#[value]
#[derive(PartialOrd, Ord)]
struct Rank {
    in_time: bool,
    class: Class,
    standing: u64,
    submitted: Millis,
}

/// All waiting jobs.
#[row]
#[derive(Default)]
pub(crate) struct Backlog {
    lines: BTreeMap<Line, VecDeque<key::Job>>,
    claims: BTreeSet<(Class, Millis, key::Job)>,
    delayed: BTreeSet<(Millis, key::Job)>,
    blocked: HashSet<Wish>,
    version: u64,
    cleared: Millis,
}

impl Backlog {
    /// Puts a waiting job in its line, before those that were submitted later.
    pub(crate) fn push(&mut self, tables: &Tables, job: key::Job) {
        let row = &tables.jobs[job];
        if row.guarantee.is_some() {
            self.claims.insert((row.class, row.submitted, job));
        }
        let line = self.lines.entry(line(row)).or_default();
        let earlier = |&other: &key::Job| {
            let other = tables.jobs.get(other);
            other.is_none_or(|other| other.submitted <= row.submitted)
        };
        if line.back().is_none_or(earlier) {
            line.push_back(job);
        } else {
            line.insert(line.partition_point(earlier), job);
        }
    }

    /// Puts a waiting job aside until a time.
    pub(crate) fn delay(&mut self, until: Millis, job: key::Job) {
        self.delayed.insert((until, job));
    }

    /// Returns when a job that was put aside comes back.
    pub(crate) fn delayed_until(&self, job: key::Job) -> Option<Millis> {
        self.delayed.iter().find(|&&(_, other)| other == job).map(|&(until, _)| until)
    }

    /// Puts the jobs whose time has come back in their lines.
    pub(crate) fn wake(&mut self, tables: &Tables, now: Millis) {
        while let Some(&(until, job)) = self.delayed.first() {
            if now < until {
                return;
            }
            self.delayed.pop_first();
            if waits(tables, job) {
                self.push(tables, job);
            }
        }
    }

    /// Serves the claims of guarantees.
    pub(crate) fn serve_claims(
        &mut self,
        tables: &mut Tables,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let mut left = BTreeSet::new();
        for entry in std::mem::take(&mut self.claims) {
            let (_, _, job) = entry;
            if !waits(tables, job) {
                continue;
            }
            if place::over_quota(tables, job) {
                left.insert(entry);
                continue;
            }
            if claim::serve(tables, now, job, actions) == Claimed::Started {
                place::announce(tables, job, 1, actions);
            } else {
                left.insert(entry);
            }
        }
        self.claims = left;
    }

    /// Starts what there is room for, the lines with the best standing first.
    pub(crate) fn serve_lines(
        &mut self,
        tables: &mut Tables,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.version != tables.version || RECHECK <= now.since(self.cleared) {
            self.version = tables.version;
            self.cleared = now;
            self.blocked.clear();
        }
        let mut heap = BinaryHeap::new();
        let blocked = &self.blocked;
        self.lines.retain(|line, jobs| {
            advance(tables, jobs);
            let ranked = rank(tables, now, jobs).filter(|_| !blocked.contains(&line.wish));
            heap.extend(ranked.map(|rank| Reverse((rank, line.clone()))));
            !jobs.is_empty()
        });
        let searches = LOOKS / tables.workers.len().max(1);
        let mut searches = searches.clamp(LEAST_SEARCHES, MOST_SEARCHES);
        while let Some(Reverse((ranked, line))) = heap.pop() {
            if searches == 0 {
                return;
            }
            let Some(jobs) = self.lines.get_mut(&line) else { continue };
            advance(tables, jobs);
            let Some(rank) = rank(tables, now, jobs) else { continue };
            if self.blocked.contains(&line.wish) {
                continue;
            }
            if ranked < rank {
                heap.push(Reverse((rank, line)));
                continue;
            }
            let job = jobs[0];
            if place::over_quota(tables, job) {
                continue;
            }
            searches -= 1;
            if place::start(tables, now, job, actions) {
                jobs.pop_front();
                heap.push(Reverse((rank, line)));
            } else {
                self.blocked.insert(line.wish);
            }
        }
    }

    /// Returns the longest waiting jobs of each line that are past their bound.
    pub(crate) fn overdue(&self, tables: &Tables, now: Millis) -> Vec<key::Job> {
        let late =
            |job: &key::Job| ready(tables, *job) && drain::overdue(tables, now, &tables.jobs[*job]);
        let mut overdue = Vec::new();
        for (line, jobs) in &self.lines {
            let most = if line.class == Class::Urgent { OVERDUE_URGENT } else { OVERDUE };
            overdue.extend(jobs.iter().copied().take(most).filter(late));
        }
        overdue
    }

    /// Returns the waiting jobs of one wish for each of the lines, with a shape and data centres.
    pub(crate) fn wishes(&self) -> impl Iterator<Item = (&Shape, &[Name], &VecDeque<key::Job>)> {
        self.lines.iter().map(|(line, jobs)| (&line.wish.shape, &line.wish.data_centres[..], jobs))
    }

    /// Returns the number of jobs that wait in front of one of the same class.
    pub(crate) fn ahead(&self, tables: &Tables, job: key::Job) -> usize {
        let row = &tables.jobs[job];
        let before = |other: &&key::Job| {
            let other = tables.jobs.get(**other);
            other.is_some_and(|other| {
                other.state == State::Waiting && other.submitted < row.submitted
            })
        };
        let lines = self.lines.iter().filter(|(line, _)| line.class == row.class);
        lines.flat_map(|(_, jobs)| jobs).filter(before).count()
    }
}

fn line(row: &Job) -> Line {
    Line {
        class: row.class,
        account: row.account,
        wish: Wish {
            shape: row.shape,
            data_centres: row.data_centres.clone(),
            evictable: row.evictable(),
            checkpoints: row.checkpoints,
            claims: row.guarantee.is_some(),
        },
    }
}

/// Tells whether a job waits and nothing is kept for it.
fn ready(tables: &Tables, job: key::Job) -> bool {
    let row = tables.jobs.get(job);
    row.is_some_and(|row| row.state == State::Waiting && row.target.is_none())
}

fn waits(tables: &Tables, job: key::Job) -> bool {
    tables.jobs.get(job).is_some_and(|row| row.state == State::Waiting)
}

/// Drops what no longer waits from the front of a line, and puts a job that nothing is kept for first.
fn advance(tables: &Tables, jobs: &mut VecDeque<key::Job>) {
    while jobs.front().is_some_and(|&job| !waits(tables, job)) {
        jobs.pop_front();
    }
    let head = jobs.iter().position(|&job| ready(tables, job)).unwrap_or_default();
    if 0 < head
        && let Some(job) = jobs.remove(head)
    {
        jobs.push_front(job);
    }
}

/// Ranks a line by its first job, if that one is ready.
fn rank(tables: &Tables, now: Millis, jobs: &VecDeque<key::Job>) -> Option<Rank> {
    let job = jobs.front().copied().filter(|&job| ready(tables, job))?;
    let row = &tables.jobs[job];
    Some(Rank {
        in_time: !drain::overdue(tables, now, row),
        class: row.class,
        standing: fair::standing(tables, now, row.account).to_bits(),
        submitted: row.submitted,
    })
}
