//! From a team's answers to settings and policy, without any knob to turn by hand.
//!
//! Every derived value is a continuous, clamped function of the answers, so that answers
//! that differ a little give settings that differ a little.

use lavendergauge_derive::value;

/// Time within which urgent work starts, in milliseconds.
const URGENT_MS: u64 = 3300;
/// Part of the urgent bound that stopping a borrower and starting the owner take, in milliseconds.
const HANDOVER_MS: u64 = 1300;

/// What a team answers.
#[value]
pub struct Answers {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Region that they stand in.
    pub region: String,
    /// Workers in all data centres.
    pub workers: u64,
    /// Workers in a rack.
    pub workers_per_rack: u64,
    /// Accelerators of a worker.
    pub accelerators: u64,
    /// Processor cores of a worker.
    pub processors: u64,
    /// Memory of a worker, in megabytes.
    pub memory_mb: u64,
    /// Requests that a target takes at a time.
    pub slots: u64,
    /// Connections that a target takes.
    pub connections: u64,
    /// How much fragmentation weighs, of 100.
    pub fragmentation_percent: u64,
    /// How much completion time weighs, of 100.
    pub completion_percent: u64,
    /// How much work done while a data centre leaves and returns weighs, of 100.
    pub outage_percent: u64,
    /// Members of the largest job.
    pub largest_members: u64,
    /// Accelerators of each of its members.
    pub largest_accelerators: u64,
    /// Longest that a large job may wait, in seconds.
    pub large_wait_s: u64,
    /// Time that a job takes to write a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Longest that a request may wait before it runs, in milliseconds.
    pub request_wait_ms: u64,
    /// Client accounts.
    pub accounts: Vec<Account>,
}

/// What a team answers about a client account.
#[value]
pub struct Account {
    /// Name of the client account.
    pub name: String,
    /// Share of spare capacity.
    pub weight: u64,
    /// Accelerators that it can always claim; 0 for none.
    pub guaranteed: u64,
}

/// What is derived.
#[value]
pub struct Derived {
    /// Bound on the wait of a large job before a drain reservation, in seconds.
    pub large_wait_s: Reasoned,
    /// Weight of keeping free space whole against starting early, in percent.
    pub compactness_percent: Reasoned,
    /// Time that a borrower has to checkpoint, in milliseconds.
    pub notice_ms: Reasoned,
    /// Retry budget, as a percentage of first attempts.
    pub retry_percent: Reasoned,
    /// Longest time that a request waits at an entry, in milliseconds.
    pub queue_ms: Reasoned,
    /// Interval of the planner's ticks, in milliseconds.
    pub tick_ms: Reasoned,
    /// Interval between announcements, in milliseconds.
    pub announce_ms: Reasoned,
}

/// A derived value with the reason for it.
#[value]
pub struct Reasoned {
    /// The value.
    pub value: u64,
    /// Why it is so.
    pub reason: String,
}

/// Two answers that cannot both hold.
#[value]
pub struct Contradiction {
    /// The answer to change.
    pub answer: &'static str,
    /// Why it cannot hold.
    pub reason: String,
}

/// Derives policy and settings from answers.
///
/// # Errors
/// Every contradiction among the answers.
///
/// ```
/// use lavendergauge_lib::questionnaire;
/// let mut answers = questionnaire::example();
/// assert!(questionnaire::derive(&answers).is_ok());
/// answers.accounts[0].guaranteed = 1000;
/// assert_eq!(questionnaire::derive(&answers).unwrap_err()[0].answer, "guaranteed");
/// ```
pub fn derive(answers: &Answers) -> Result<Derived, Vec<Contradiction>> {
    let contradictions = contradictions(answers);
    if !contradictions.is_empty() {
        return Err(contradictions);
    }
    Ok(Derived {
        large_wait_s: large_wait(answers),
        compactness_percent: compactness(answers),
        notice_ms: notice(answers),
        retry_percent: retry(answers),
        queue_ms: queue(answers),
        tick_ms: tick(answers),
        announce_ms: announce(answers),
    })
}

/// Returns answers that contradict nothing, for a start.
///
/// ```
/// assert_eq!(lavendergauge_lib::questionnaire::example().accelerators, 8);
/// ```
pub fn example() -> Answers {
    Answers {
        data_centres: vec!["dc-1".to_owned(), "dc-2".to_owned()],
        region: "region-1".to_owned(),
        workers: 10,
        workers_per_rack: 3,
        accelerators: 8,
        processors: 64,
        memory_mb: 131_072,
        slots: 8,
        connections: 64,
        fragmentation_percent: 34,
        completion_percent: 33,
        outage_percent: 33,
        largest_members: 2,
        largest_accelerators: 8,
        large_wait_s: 600,
        checkpoint_ms: 1000,
        request_wait_ms: 4000,
        accounts: vec![Account { name: "first".to_owned(), weight: 1, guaranteed: 8 }],
    }
}

fn contradictions(answers: &Answers) -> Vec<Contradiction> {
    let mut found = Vec::new();
    let mut refuse = |holds: bool, answer, reason: String| {
        if !holds {
            found.push(Contradiction { answer, reason });
        }
    };
    let all = answers.workers * answers.accelerators;
    let promised: u64 = answers.accounts.iter().map(|account| account.guaranteed).sum();
    refuse(
        promised <= all,
        "guaranteed",
        format!("{promised} accelerators are promised, but there are {all}"),
    );
    let weights =
        answers.fragmentation_percent + answers.completion_percent + answers.outage_percent;
    refuse(
        weights == 100,
        "fragmentation_percent",
        format!("the three weights make {weights}, not 100"),
    );
    refuse(!answers.data_centres.is_empty(), "data_centres", "there is no data centre".to_owned());
    refuse(!answers.accounts.is_empty(), "accounts", "there is no client account".to_owned());
    refuse(answers.workers != 0, "workers", "there is no worker".to_owned());
    let centres = answers.data_centres.len().max(1) as u64;
    let here = answers.workers.div_ceil(centres) * answers.accelerators;
    let largest = answers.largest_members * answers.largest_accelerators;
    refuse(
        largest <= here,
        "largest_members",
        format!("the largest job needs {largest} accelerators, but a data centre has {here}"),
    );
    refuse(
        answers.largest_accelerators <= answers.accelerators,
        "largest_accelerators",
        format!("a worker has only {} accelerators", answers.accelerators),
    );
    let bound = URGENT_MS - HANDOVER_MS;
    refuse(
        promised == 0 || answers.checkpoint_ms <= bound,
        "checkpoint_ms",
        format!("a guarantee starts within {URGENT_MS} ms, which leaves a borrower {bound} ms"),
    );
    found
}

fn reasoned(value: u64, reason: impl Into<String>) -> Reasoned {
    Reasoned { value, reason: reason.into() }
}

fn large_wait(answers: &Answers) -> Reasoned {
    let value = (answers.large_wait_s / 2).clamp(1, 86_400);
    let reason = format!(
        "half of the {} s that a large job may wait: the other half is left for what runs to end",
        answers.large_wait_s
    );
    reasoned(value, reason)
}

fn compactness(answers: &Answers) -> Reasoned {
    // Half of the outage's weight counts on either side: whole space lets evacuated gangs in.
    let whole = 2 * answers.fragmentation_percent + answers.outage_percent;
    let reason = format!(
        "fragmentation weighs {} % and completion time {} %, with the outage's {} % on both sides",
        answers.fragmentation_percent, answers.completion_percent, answers.outage_percent
    );
    reasoned((whole / 2).min(100), reason)
}

fn notice(answers: &Answers) -> Reasoned {
    let value = answers.checkpoint_ms.min(URGENT_MS - HANDOVER_MS);
    let reason = format!(
        "a checkpoint takes {} ms, and urgent work starts within {URGENT_MS} ms",
        answers.checkpoint_ms
    );
    reasoned(value, reason)
}

fn retry(answers: &Answers) -> Reasoned {
    let value = 5 + answers.completion_percent / 5;
    let reason = format!(
        "5 % and a fifth of the {} % that completion time weighs",
        answers.completion_percent
    );
    reasoned(value.min(25), reason)
}

fn queue(answers: &Answers) -> Reasoned {
    let value = (answers.request_wait_ms / 2).clamp(50, 600_000);
    let reason = format!(
        "half of the {} ms that a request may wait: the other half is left to try another target",
        answers.request_wait_ms
    );
    reasoned(value, reason)
}

fn tick(answers: &Answers) -> Reasoned {
    let value = (100 - answers.completion_percent.min(100) / 2).max(50);
    let reason = format!(
        "100 ms less half of the {} % that completion time weighs",
        answers.completion_percent
    );
    reasoned(value, reason)
}

fn announce(answers: &Answers) -> Reasoned {
    let value = (500 + answers.workers / 2).clamp(500, 1400);
    let reason = format!(
        "500 ms and half a millisecond for each of {} workers, so that an entry's load stays bounded",
        answers.workers
    );
    reasoned(value, reason)
}
