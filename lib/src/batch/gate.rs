//! Decides at an entry whether a submission is refused, by the newest digest of the leader's queue and
//! the earlier refusals of this entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use rand::Rng;
use rand::RngExt;

use crate::batch::admission;
use crate::batch::admission::Digest;
use crate::batch::admission::Prospect;
use crate::batch::config::Queue;
use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::Submission;
use crate::batch::rank;
use crate::clock::Millis;

/// Age from which a digest decides nothing: two presence polls and a slow answer.
const MAX_AGE: Duration = Duration::from_secs(4);
/// Time to start from which jobs of a class are refused, in percent of the time after which a start is
/// worthless. Callers' estimates are wrong by a half and more, which moves both times; at 150 percent,
/// some of the refused jobs would have been in time.
const BEGIN_PERCENT: u64 = 200;
/// Time to start below which jobs of a class that was refused are accepted again, in percent. The distance
/// from [`BEGIN_PERCENT`] keeps entries with different digests from alternating.
const END_PERCENT: u64 = 160;
/// Time after its last refusal for which a class counts as refused.
const LINGER: Duration = Duration::from_secs(5);
/// Refusals of one job in a row, after which it is accepted.
const MAX_REFUSALS: u32 = 4;
/// Maximum number of refused jobs that are remembered.
const MAX_JOBS: usize = 4096;
/// Maximum number of classes that are remembered.
const MAX_CLASSES: usize = 256;
/// Time after its last refusal for which a job is remembered: its caller has given up by then.
const MEMORY: Duration = Duration::from_secs(300);
/// Bounds of the time after which a caller may return, in seconds. A later return could miss capacity
/// that becomes free because others give up.
const RETRY_AFTER_S: (u64, u64) = (1, 30);
/// Most jitter, in percent of the time after which a caller may return.
const JITTER_PERCENT: u64 = 25;

/// A submission that has not been accepted before.
#[row]
pub struct Newcomer<'a> {
    /// The job.
    pub id: Id,
    /// Its queue, as configured now.
    pub queue: &'a Queue,
    /// Accelerators that are guaranteed to its account.
    pub guaranteed: u32,
    /// What its caller submits.
    pub submission: &'a Submission,
}

/// The decision that a job is refused, and what it is based on.
#[value]
#[derive(Copy)]
pub struct Refused {
    /// Fencing token of the digest.
    pub fence: u64,
    /// Number of the digest.
    pub number: u64,
    /// Age of the digest, in milliseconds.
    pub age_ms: u64,
    /// When the job would start, and when that is worthless.
    pub prospect: Prospect,
    /// Time since the first attempt of the same job at this entry, in milliseconds.
    pub waited_ms: u64,
    /// Time after which the caller may return, in seconds.
    pub retry_after_s: u32,
}

/// Jobs for which decisions are alike.
#[token]
struct Shape {
    /// Magnitude of the critical path: the number of its binary digits.
    critical_path: u32,
    /// Magnitude of the accelerators that the job needs at a time.
    accelerators: u32,
}

/// Earlier refusals of one job.
#[row]
struct Attempts {
    first: Millis,
    last: Millis,
    refusals: u32,
}

/// What an entry remembers for its decisions.
#[row]
#[derive(Default)]
pub struct Gate {
    newest: Option<(Digest, Millis)>,
    attempts: BTreeMap<Id, Attempts>,
    /// The remembered jobs, in the order of their first refusal.
    order: VecDeque<Id>,
    /// When each class of jobs was refused last.
    refused: BTreeMap<(String, Shape), Millis>,
}

impl Gate {
    /// Takes a digest that was computed at `at` by this entry's clock or later, unless it has a newer
    /// one.
    ///
    /// ```
    /// use lavendergauge_lib::batch::admission::Digest;
    /// use lavendergauge_lib::batch::gate::Gate;
    /// use lavendergauge_lib::clock::Millis;
    /// let mut gate = Gate::default();
    /// gate.receive(Digest { fence: 8, number: 1, ..Digest::default() }, Millis(20));
    /// gate.receive(Digest { fence: 7, number: 5, ..Digest::default() }, Millis(30));
    /// assert_eq!(gate.newest(), (8, 1));
    /// ```
    pub fn receive(&mut self, digest: Digest, at: Millis) {
        if let Some((newest, newest_at)) = &self.newest {
            let (known, other) = ((newest.fence, newest.number), (digest.fence, digest.number));
            if other < known || other == known && at <= *newest_at {
                return;
            }
        }
        self.newest = Some((digest, at));
    }

    /// Returns the fencing token and the number of the newest digest; zeros for none.
    pub fn newest(&self) -> (u64, u64) {
        self.newest.as_ref().map_or((0, 0), |(digest, _)| (digest.fence, digest.number))
    }

    /// Returns the age of the newest digest.
    pub fn age(&self, now: Millis) -> Option<Duration> {
        self.newest.as_ref().map(|(_, at)| now.since(*at))
    }

    /// Decides whether a job is refused; `None` to accept it.
    pub fn decide(
        &mut self,
        now: Millis,
        newcomer: &Newcomer<'_>,
        rng: &mut impl Rng,
    ) -> Option<Refused> {
        let (digest, at) = self.newest.as_ref()?;
        let Newcomer { id, queue, guaranteed, submission } = newcomer;
        let needed = accelerators_needed(submission);
        let is_covered = queue.priority == 0 && needed <= *guaranteed;
        if MAX_AGE <= now.since(*at) || submission.repeat.count != 0 || is_covered {
            return None;
        }
        let Prospect { start_ms, worthless_ms } =
            admission::prospect(digest, queue, &submission.steps)?;
        let attempts = self
            .attempts
            .get(id)
            .filter(|attempts| now.since(attempts.last) < MEMORY)
            .cloned()
            .unwrap_or(Attempts { first: now, last: now, refusals: 0 });
        if MAX_REFUSALS <= attempts.refusals {
            return None;
        }
        // A caller that returns has the rank of its first attempt.
        let waited_ms = now.since(attempts.first).as_millis() as u64;
        let age_ms = now.since(*at).as_millis() as u64;
        let start_ms = start_ms.saturating_sub(age_ms).saturating_sub(waited_ms);
        let critical_path = rank::critical_paths(&submission.steps).into_iter().max().unwrap_or(0);
        let shape = Shape {
            critical_path: u64::BITS - critical_path.leading_zeros(),
            accelerators: u32::BITS - needed.leading_zeros(),
        };
        let class = (queue.name.clone(), shape);
        let is_refused = self.refused.get(&class).is_some_and(|last| now.since(*last) < LINGER);
        let percent = if is_refused { END_PERCENT } else { BEGIN_PERCENT };
        if start_ms * 100 < worthless_ms * percent {
            return None;
        }
        let (fence, number) = (digest.fence, digest.number);
        self.refused.retain(|_, last| now.since(*last) < LINGER);
        if self.refused.len() < MAX_CLASSES {
            self.refused.insert(class, now);
        }
        Some(Refused {
            fence,
            number,
            age_ms,
            prospect: Prospect { start_ms, worthless_ms },
            waited_ms,
            retry_after_s: retry_after_s(start_ms.saturating_sub(worthless_ms), rng),
        })
    }

    /// Notes that a job was refused: the refusal is written.
    pub fn record_refusal(&mut self, id: Id, now: Millis) {
        let attempts =
            self.attempts.entry(id).or_insert(Attempts { first: now, last: now, refusals: 0 });
        if MEMORY <= now.since(attempts.last) {
            *attempts = Attempts { first: now, last: now, refusals: 0 };
        }
        attempts.last = now;
        attempts.refusals += 1;
        if attempts.refusals == 1 {
            self.order.retain(|known| *known != id);
            self.order.push_back(id);
        }
        while MAX_JOBS < self.order.len() {
            if let Some(oldest) = self.order.pop_front() {
                self.attempts.remove(&oldest);
            }
        }
    }

    /// Forgets the refusals of a job that was accepted.
    pub fn record_acceptance(&mut self, id: Id) {
        if self.attempts.remove(&id).is_some() {
            self.order.retain(|known| *known != id);
        }
    }
}

/// Returns the number of accelerators that a job needs at a time.
fn accelerators_needed(submission: &Submission) -> u32 {
    let needed = |step: &Step| step.accelerators.saturating_mul(step.tasks);
    submission.steps.iter().map(needed).max().unwrap_or(0)
}

/// Returns the time after which a caller may return, given by how much a start now is too late.
fn retry_after_s(excess_ms: u64, rng: &mut impl Rng) -> u32 {
    let jitter = excess_ms * rng.random_range(0..JITTER_PERCENT) / 100;
    let (least, most) = RETRY_AFTER_S;
    // The bound has jitter too, so that callers do not return at once when it applies to all.
    let most = most * (100 - rng.random_range(0..JITTER_PERCENT)) / 100;
    (excess_ms + jitter).div_ceil(1000).clamp(least, most) as u32
}
