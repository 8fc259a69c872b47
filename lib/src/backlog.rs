//! Waiting jobs in queues of equal jobs, so that a tick visits each queue and not every job.

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
use crate::claim::Outcome;
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

/// Maximum number of workers that all searches of one tick visit together.
const MAX_WORKER_VISITS: usize = 400_000;
/// Interval at which requirements that found no workers are tried again even if no capacity was
/// freed, because some workers admit jobs again after a time.
const BLOCKED_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of searches in one tick.
const MAX_SEARCHES: usize = 256;
/// Number of searches that one tick may always do, however large the fleet.
const MIN_SEARCHES: usize = 16;

/// Maximum number of jobs of one queue that are offered a drain reservation at a time.
const MAX_OVERDUE: usize = 1;
/// Maximum number of jobs of one urgent queue that are offered a drain reservation at a time.
const MAX_OVERDUE_URGENT: usize = 16;

/// What decides where a job can be placed: if one job finds no workers, neither does any other
/// job with equal requirements.
#[value]
#[derive(PartialOrd, Ord, Hash)]
struct Requirements {
    shape: Shape,
    data_centres: SmallVec<[Name; 4]>,
    is_evictable: bool,
    checkpoints: bool,
    is_claim: bool,
}

/// Key of a queue: its jobs have one account, one class and equal requirements.
#[value]
#[derive(PartialOrd, Ord)]
struct QueueKey {
    class: Class,
    account: key::Account,
    requirements: Requirements,
}

/// Order in which the heads of the queues are tried.
#[value]
#[derive(PartialOrd, Ord)]
struct Rank {
    is_in_time: bool,
    class: Class,
    weighted_share: u64,
    submitted: Millis,
}

/// All waiting jobs.
#[row]
#[derive(Default)]
pub(crate) struct Backlog {
    queues: BTreeMap<QueueKey, VecDeque<key::Job>>,
    claims: BTreeSet<(Class, Millis, key::Job)>,
    delayed: BTreeSet<(Millis, key::Job)>,
    blocked: HashSet<Requirements>,
    capacity_version: u64,
    last_unblocked: Millis,
}

impl Backlog {
    /// Adds a waiting job to its queue, before those that were submitted later.
    pub(crate) fn push(&mut self, tables: &Tables, job: key::Job) {
        let row = &tables.jobs[job];
        if row.guarantee.is_some() {
            self.claims.insert((row.class, row.submitted, job));
        }
        let queue = self.queues.entry(queue_key(row)).or_default();
        let is_earlier = |&other: &key::Job| {
            let other = tables.jobs.get(other);
            other.is_none_or(|other| other.submitted <= row.submitted)
        };
        if queue.back().is_none_or(is_earlier) {
            queue.push_back(job);
        } else {
            queue.insert(queue.partition_point(is_earlier), job);
        }
    }

    /// Keeps a waiting job out of its queue until a time.
    pub(crate) fn delay(&mut self, until: Millis, job: key::Job) {
        self.delayed.insert((until, job));
    }

    /// Returns when a delayed job is put back in its queue; `None` if it is not delayed.
    pub(crate) fn delayed_until(&self, job: key::Job) -> Option<Millis> {
        self.delayed.iter().find(|&&(_, other)| other == job).map(|&(until, _)| until)
    }

    /// Puts the jobs whose delay has passed back in their queues.
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

    /// Starts the waiting claims of guarantees, or reserves capacity for them.
    pub(crate) fn serve_claims(
        &mut self,
        tables: &mut Tables,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let mut unserved = BTreeSet::new();
        for entry in std::mem::take(&mut self.claims) {
            let (_, _, job) = entry;
            if !waits(tables, job) {
                continue;
            }
            if place::exceeds_quota(tables, job) {
                unserved.insert(entry);
                continue;
            }
            if claim::serve(tables, now, job, actions) == Outcome::Started {
                place::report_start(tables, job, 1, actions);
            } else {
                unserved.insert(entry);
            }
        }
        self.claims = unserved;
    }

    /// Starts the jobs that free capacity allows, from the queues with the lowest rank first.
    pub(crate) fn serve_queues(
        &mut self,
        tables: &mut Tables,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.capacity_version != tables.capacity_version
            || BLOCKED_RETRY_INTERVAL <= now.since(self.last_unblocked)
        {
            self.capacity_version = tables.capacity_version;
            self.last_unblocked = now;
            self.blocked.clear();
        }
        let mut heap = BinaryHeap::new();
        let blocked = &self.blocked;
        self.queues.retain(|queue, jobs| {
            advance(tables, jobs);
            let ranked = rank(tables, now, jobs).filter(|_| !blocked.contains(&queue.requirements));
            heap.extend(ranked.map(|rank| Reverse((rank, queue.clone()))));
            !jobs.is_empty()
        });
        let searches = MAX_WORKER_VISITS / tables.workers.len().max(1);
        let mut searches = searches.clamp(MIN_SEARCHES, MAX_SEARCHES);
        while let Some(Reverse((ranked, queue))) = heap.pop() {
            if searches == 0 {
                return;
            }
            let Some(jobs) = self.queues.get_mut(&queue) else { continue };
            advance(tables, jobs);
            let Some(rank) = rank(tables, now, jobs) else { continue };
            if self.blocked.contains(&queue.requirements) {
                continue;
            }
            if ranked < rank {
                heap.push(Reverse((rank, queue)));
                continue;
            }
            let job = jobs[0];
            if place::exceeds_quota(tables, job) {
                continue;
            }
            searches -= 1;
            if place::start(tables, now, job, actions) {
                jobs.pop_front();
                heap.push(Reverse((rank, queue)));
            } else {
                self.blocked.insert(queue.requirements);
            }
        }
    }

    /// Returns the longest waiting jobs of each queue whose wait exceeds their class's bound.
    pub(crate) fn overdue(&self, tables: &Tables, now: Millis) -> Vec<key::Job> {
        let is_late = |job: &key::Job| {
            ready(tables, *job) && drain::is_overdue(tables, now, &tables.jobs[*job])
        };
        let mut overdue = Vec::new();
        for (queue, jobs) in &self.queues {
            let most = if queue.class == Class::Urgent { MAX_OVERDUE_URGENT } else { MAX_OVERDUE };
            overdue.extend(jobs.iter().copied().take(most).filter(is_late));
        }
        overdue
    }

    /// Returns the shape, the allowed data centres and the jobs of every queue.
    pub(crate) fn requirements(
        &self,
    ) -> impl Iterator<Item = (&Shape, &[Name], &VecDeque<key::Job>)> {
        self.queues.iter().map(|(queue, jobs)| {
            (&queue.requirements.shape, &queue.requirements.data_centres[..], jobs)
        })
    }

    /// Returns the number of waiting jobs of the same class that were submitted before a job.
    pub(crate) fn count_ahead(&self, tables: &Tables, job: key::Job) -> usize {
        let row = &tables.jobs[job];
        let is_before = |other: &&key::Job| {
            let other = tables.jobs.get(**other);
            other.is_some_and(|other| {
                other.state == State::Waiting && other.submitted < row.submitted
            })
        };
        let queues = self.queues.iter().filter(|(queue, _)| queue.class == row.class);
        queues.flat_map(|(_, jobs)| jobs).filter(is_before).count()
    }
}

fn queue_key(row: &Job) -> QueueKey {
    QueueKey {
        class: row.class,
        account: row.account,
        requirements: Requirements {
            shape: row.shape,
            data_centres: row.data_centres.clone(),
            is_evictable: row.is_evictable(),
            checkpoints: row.checkpoints,
            is_claim: row.guarantee.is_some(),
        },
    }
}

/// Tells whether a job waits and has no reservation.
fn ready(tables: &Tables, job: key::Job) -> bool {
    let row = tables.jobs.get(job);
    row.is_some_and(|row| row.state == State::Waiting && row.reservation.is_none())
}

fn waits(tables: &Tables, job: key::Job) -> bool {
    tables.jobs.get(job).is_some_and(|row| row.state == State::Waiting)
}

/// Removes jobs that no longer wait from the front of a queue, and moves its first job without a
/// reservation to the front.
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

/// Ranks a queue by its first job, if that one is ready.
fn rank(tables: &Tables, now: Millis, jobs: &VecDeque<key::Job>) -> Option<Rank> {
    let job = jobs.front().copied().filter(|&job| ready(tables, job))?;
    let row = &tables.jobs[job];
    Some(Rank {
        is_in_time: !drain::is_overdue(tables, now, row),
        class: row.class,
        weighted_share: fair::weighted_share(tables, now, row.account).to_bits(),
        submitted: row.submitted,
    })
}
