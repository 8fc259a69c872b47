//! The callers of a run: they submit jobs, query their states, cancel some, and report every
//! outcome to the judge.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::clock::Millis;
use lavendergauge_stand_in::caller::Caller;
use lavendergauge_stand_in::caller::Outcome;
use lavendergauge_stand_in::worker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time;

use crate::fleet;
use crate::fleet::Fleet;

/// Maximum number of attempts to submit or cancel a job.
const MAX_ATTEMPTS: u32 = 5;
/// One in this many accepted jobs is cancelled.
const JOBS_PER_CANCEL: u32 = 10;
/// One in this many jobs without a guarantee has tasks that fail.
const JOBS_PER_FAILURE: u32 = 25;
/// Pause of a caller before each job, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1500;
/// Longest pause before another attempt, whatever the answer's `Retry-After` says, in seconds.
const MAX_RETRY_PAUSE_S: u64 = 3;

/// Counts of what callers got in one second.
#[row]
#[derive(Copy, Default)]
pub struct Second {
    /// Accepted jobs.
    pub accepted: u32,
    /// Refused attempts to submit a job.
    pub refused: u32,
    /// Attempts to submit a job without an answer, or with one that says the outcome is in doubt.
    pub in_doubt: u32,
    /// Jobs that were shown as ended for the first time.
    pub ended: u32,
}

/// Counts of what callers got in each second of a run.
#[derive(Default)]
pub struct Tally {
    seconds: Mutex<Vec<Second>>,
}

impl Tally {
    /// Updates the counts of the second that `now` is in.
    pub fn count(&self, now: Millis, add: impl FnOnce(&mut Second)) {
        let mut seconds = self.seconds.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let index = (now.0 / 1000) as usize;
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        add(&mut seconds[index]);
    }

    /// Returns the counts of each second.
    pub fn seconds(&self) -> Vec<Second> {
        self.seconds.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

/// A job to submit.
#[row]
pub struct Job {
    /// Identifier.
    pub id: Id,
    /// Queue to submit it to.
    pub queue: &'static str,
    /// Account that submits it.
    pub account: &'static str,
    /// Payload of its tasks.
    pub payload: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Whether the account's guarantee certainly covers it, so that it must start in time.
    pub is_guaranteed: bool,
}

/// Runs a caller, which submits jobs until `stop` turns true.
///
/// The first caller uses the account with a guarantee, and submits one job at a time.
pub async fn run_caller(
    fleet: Arc<Fleet>,
    tally: Arc<Tally>,
    seed: u64,
    index: usize,
    stop: watch::Receiver<bool>,
) {
    let mut rng =
        SmallRng::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let mut is_guarantee_free = true;
    while !*stop.borrow() {
        time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let has_guarantee = index == 0;
        let job = draw(&mut rng, has_guarantee, is_guarantee_free);
        let accepted = submit_job(&fleet, &tally, &mut rng, &job).await;
        // After an unsuccessful submission the job may run all the same, next to a later one, so
        // that the guarantee no longer certainly covers the later one.
        is_guarantee_free &= accepted || !has_guarantee;
        if accepted && rng.random_ratio(1, JOBS_PER_CANCEL) {
            cancel(&fleet, &mut rng, &job).await;
        } else if accepted && has_guarantee {
            wait_until_ended(&fleet, &tally, &mut rng, &job, &stop).await;
        } else if accepted {
            poll_state(&fleet, &tally, &mut rng, &job).await;
        }
    }
}

/// Draws a job. One of the account with a guarantee needs no more than the guarantee;
/// `is_guarantee_free` says that no other job can be using the guarantee.
pub fn draw(rng: &mut SmallRng, has_guarantee: bool, is_guarantee_free: bool) -> Job {
    let work_ms = rng.random_range(300..3000);
    let sizes: [u32; 4] = [1, 2, 4, 8];
    let accelerators = sizes[rng.random_range(0..4)];
    let max_tasks = if has_guarantee { fleet::GUARANTEED_ACCELERATORS / accelerators } else { 6 };
    let step = |tasks: u32| Step {
        tasks,
        accelerators,
        processors: 1000,
        memory_mb: 100,
        estimate_ms: work_ms,
        ..Step::default()
    };
    let mut first = step(rng.random_range(1..=max_tasks));
    first.gang = rng.random_bool(0.4);
    let mut steps = vec![first];
    if !has_guarantee && rng.random_bool(0.3) {
        let mut second = step(rng.random_range(1..4));
        second.after.push(0);
        steps.push(second);
    }
    let fails = !has_guarantee && rng.random_ratio(1, JOBS_PER_FAILURE);
    Job {
        id: Id(rng.random()),
        queue: if has_guarantee { fleet::URGENT_QUEUE } else { fleet::ORDINARY_QUEUE },
        account: if has_guarantee { fleet::GUARANTEED_ACCOUNT } else { fleet::OTHER_ACCOUNT },
        payload: worker::payload(work_ms, fails),
        steps,
        is_guaranteed: has_guarantee && is_guarantee_free,
    }
}

/// Submits a job, at another random entry for each attempt; returns true when it was accepted.
pub async fn submit_job(fleet: &Fleet, tally: &Tally, rng: &mut SmallRng, job: &Job) -> bool {
    let caller = fleet.caller(job.account);
    fleet.judge().record_submission(job.id, &job.payload, &job.steps, job.is_guaranteed);
    for _ in 0..MAX_ATTEMPTS {
        let entry = rng.random_range(0..fleet.entries.len());
        let sent = fleet.now();
        let service = &fleet.entries[entry].service;
        let outcome = caller.submit(service, job.queue, job.id, &job.payload, &job.steps).await;
        let now = fleet.now();
        fleet.judge().record_submit_outcome(now, sent, job.id, &fleet::key(job.account), &outcome);
        report_broken_call(fleet, entry, sent, &outcome);
        match outcome.status {
            200..300 => {
                tally.count(now, |second| second.accepted += 1);
                return true;
            }
            429 | 503 => {
                tally.count(now, |second| second.refused += 1);
                let pause = outcome.retry_after_s.unwrap_or(1).min(MAX_RETRY_PAUSE_S);
                time::sleep(Duration::from_secs(pause)).await;
            }
            400..500 => {
                tally.count(now, |second| second.refused += 1);
                return false;
            }
            _ => {
                tally.count(now, |second| second.in_doubt += 1);
                time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
    false
}

/// Reports a broken call to the judge if the call's entry was asked to stop before the call was
/// sent.
fn report_broken_call(fleet: &Fleet, entry: usize, sent: Millis, outcome: &Outcome) {
    let now = fleet.now();
    let Some(stop_requested_at) = fleet.nodes[entry].process.stop_requested_at() else { return };
    let duration = now.since(sent);
    if outcome.is_broken
        && duration <= stop_requested_at.elapsed()
        && fleet.judge().is_calm_except_planned(now)
    {
        fleet.judge().record_broken_call(now, duration);
    }
}

/// Cancels a job after a random pause.
async fn cancel(fleet: &Fleet, rng: &mut SmallRng, job: &Job) {
    time::sleep(Duration::from_millis(rng.random_range(0..1500))).await;
    fleet.judge().record_cancel_sent(job.id);
    for _ in 0..MAX_ATTEMPTS {
        let entry = rng.random_range(0..fleet.entries.len());
        let service = &fleet.entries[entry].service;
        let outcome = fleet.caller(job.account).cancel(service, job.queue, job.id).await;
        fleet.judge().record_cancel_outcome(fleet.now(), job.id, &outcome);
        if matches!(outcome.status, 200..300 | 410) {
            return;
        }
        time::sleep(Duration::from_millis(300)).await;
    }
}

/// Queries a job's state once; returns true when the job was shown as ended.
pub async fn query_state(
    fleet: &Fleet,
    tally: &Tally,
    caller: &Caller,
    entry: usize,
    queue: &str,
    id: Id,
) -> bool {
    let sent = fleet.now();
    let outcome = caller.query_state(&fleet.entries[entry].service, queue, id).await;
    let now = fleet.now();
    let mut judge = fleet.judge();
    let had_ended = judge.has_ended(id);
    judge.record_state_outcome(now, sent, id, &outcome);
    let has_ended = judge.has_ended(id);
    drop(judge);
    if has_ended && !had_ended {
        tally.count(now, |second| second.ended += 1);
    }
    has_ended
}

/// Queries a job's state a few times, at random entries.
async fn poll_state(fleet: &Fleet, tally: &Tally, rng: &mut SmallRng, job: &Job) {
    let caller = fleet.caller(job.account);
    for _ in 0..rng.random_range(0..3) {
        time::sleep(Duration::from_millis(rng.random_range(100..1200))).await;
        let entry = rng.random_range(0..fleet.entries.len());
        if query_state(fleet, tally, &caller, entry, job.queue, job.id).await {
            return;
        }
    }
}

/// Queries a job's state until the job has ended or `stop` turns true.
async fn wait_until_ended(
    fleet: &Fleet,
    tally: &Tally,
    rng: &mut SmallRng,
    job: &Job,
    stop: &watch::Receiver<bool>,
) {
    let caller = fleet.caller(job.account);
    while !*stop.borrow() {
        time::sleep(Duration::from_millis(300)).await;
        let entry = rng.random_range(0..fleet.entries.len());
        if query_state(fleet, tally, &caller, entry, job.queue, job.id).await {
            return;
        }
    }
}
