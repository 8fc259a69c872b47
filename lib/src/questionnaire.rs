//! Derives settings and policy from a team's answers, so that nobody has to tune them by hand.
//!
//! Every derived value is a continuous, clamped function of the answers, so that small
//! differences between answers give small differences between settings.

use lavendergauge_derive::value;

/// Time within which urgent work starts, in milliseconds.
const URGENT_MS: u64 = 3300;
/// Part of `URGENT_MS` that stopping a borrower and starting the owner take, in milliseconds.
const HANDOVER_MS: u64 = 1300;

/// A team's answers.
#[value]
pub struct Answers {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Region of the data centres.
    pub region: String,
    /// Workers in all data centres.
    pub workers: u64,
    /// Workers in a rack.
    pub workers_per_rack: u64,
    /// Accelerators of each worker.
    pub accelerators: u64,
    /// Processor cores of each worker.
    pub processors: u64,
    /// Memory of each worker, in megabytes.
    pub memory_mb: u64,
    /// Requests that a target handles at a time.
    pub slots: u64,
    /// Connections that a target accepts.
    pub connections: u64,
    /// Weight of low fragmentation, out of 100 for the three weights.
    pub fragmentation_percent: u64,
    /// Weight of short completion times, out of 100 for the three weights.
    pub completion_percent: u64,
    /// Weight of the work done while a data centre is taken out and back in, out of 100 for the
    /// three weights.
    pub outage_percent: u64,
    /// Members of the largest job.
    pub largest_members: u64,
    /// Accelerators of each member of the largest job.
    pub largest_accelerators: u64,
    /// Longest acceptable wait of a large job, in seconds.
    pub large_wait_s: u64,
    /// Time that a job needs to write a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Longest acceptable wait of a request before it runs, in milliseconds.
    pub request_wait_ms: u64,
    /// Client accounts.
    pub accounts: Vec<Account>,
}

/// A team's answers about one client account.
#[value]
pub struct Account {
    /// Name of the client account.
    pub name: String,
    /// Share of spare capacity.
    pub weight: u64,
    /// Number of accelerators that it can always claim; 0 for none.
    pub guaranteed: u64,
}

/// Settings and policy that are derived from answers.
#[value]
pub struct Derived {
    /// Wait of a large job after which it gets a drain reservation, in seconds.
    pub large_wait_s: Reasoned,
    /// Weight of low fragmentation against early starts, in percent.
    pub compactness_percent: Reasoned,
    /// Time that a borrower has to write a checkpoint before it is stopped, in milliseconds.
    pub notice_ms: Reasoned,
    /// Retry budget, as a percentage of first attempts.
    pub retry_percent: Reasoned,
    /// Longest time that a request waits at an entry, in milliseconds.
    pub queue_ms: Reasoned,
    /// Interval of the planner's ticks, in milliseconds.
    pub tick_ms: Reasoned,
    /// Interval between two announcements of an agent, in milliseconds.
    pub announce_ms: Reasoned,
}

/// A derived value with the reason for it.
#[value]
pub struct Reasoned {
    /// The value.
    pub value: u64,
    /// Why the answers lead to this value.
    pub reason: String,
}

/// An answer that contradicts others.
#[value]
pub struct Contradiction {
    /// The answer to change.
    pub answer: &'static str,
    /// Why it contradicts the others.
    pub reason: String,
}

/// Derives policy and settings from answers.
///
/// # Errors
/// Returns every contradiction among the answers.
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

/// Returns consistent answers, as a starting point.
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

/// Checks the answers against each other.
fn contradictions(answers: &Answers) -> Vec<Contradiction> {
    let mut found = Vec::new();
    let mut require = |holds: bool, answer, reason: String| {
        if !holds {
            found.push(Contradiction { answer, reason });
        }
    };
    let total = answers.workers * answers.accelerators;
    let promised: u64 = answers.accounts.iter().map(|account| account.guaranteed).sum();
    require(
        promised <= total,
        "guaranteed",
        format!("{promised} accelerators are promised, but there are {total}"),
    );
    let weights =
        answers.fragmentation_percent + answers.completion_percent + answers.outage_percent;
    require(
        weights == 100,
        "fragmentation_percent",
        format!("the three weights sum to {weights}, not 100"),
    );
    require(!answers.data_centres.is_empty(), "data_centres", "there is no data centre".to_owned());
    require(!answers.accounts.is_empty(), "accounts", "there is no client account".to_owned());
    require(answers.workers != 0, "workers", "there is no worker".to_owned());
    let data_centre_count = answers.data_centres.len().max(1) as u64;
    let per_data_centre = answers.workers.div_ceil(data_centre_count) * answers.accelerators;
    let largest = answers.largest_members * answers.largest_accelerators;
    require(
        largest <= per_data_centre,
        "largest_members",
        format!(
            "the largest job needs {largest} accelerators, but a data centre has {per_data_centre}"
        ),
    );
    require(
        answers.largest_accelerators <= answers.accelerators,
        "largest_accelerators",
        format!("a worker has only {} accelerators", answers.accelerators),
    );
    let bound = URGENT_MS - HANDOVER_MS;
    require(
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
        "half of the {} s that a large job may wait: the other half is left for running jobs to end",
        answers.large_wait_s
    );
    reasoned(value, reason)
}

fn compactness(answers: &Answers) -> Reasoned {
    // Half of the outage's weight counts on either side, since evacuated gangs need free capacity
    // that is not fragmented.
    let doubled = 2 * answers.fragmentation_percent + answers.outage_percent;
    let reason = format!(
        "fragmentation weighs {} % and completion time {} %; the outage's {} % count half for each",
        answers.fragmentation_percent, answers.completion_percent, answers.outage_percent
    );
    reasoned((doubled / 2).min(100), reason)
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
        "5 % plus a fifth of the {} % that completion time weighs",
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
        "100 ms minus half a millisecond for each of the {} % that completion time weighs",
        answers.completion_percent
    );
    reasoned(value, reason)
}

fn announce(answers: &Answers) -> Reasoned {
    let value = (500 + answers.workers / 2).clamp(500, 1400);
    let reason = format!(
        "500 ms plus half a millisecond for each of {} workers, so that an entry's load stays bounded",
        answers.workers
    );
    reasoned(value, reason)
}
