//! Starting and stopping a gang: prepare on all agents, record the attempt, arm, go.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::shape::Seats;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::codec;
use lavendergauge_wire::gang::Command;
use lavendergauge_wire::gang::Reply;
use lavendergauge_wire::gang::Step;
use lavendergauge_wire::gang::Verdict;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Seat;
use lavendergauge_wire::job::State;
use tokio::task::JoinSet;

use crate::clock;
use crate::entry::Entry;
use crate::entry_control::JOBS_PREFIX;
use crate::store::Swap;

/// Time after which an unused hold ends by itself.
pub const HOLD: Duration = Duration::from_secs(5);
/// Validity of a gang lease.
pub const GANG_LEASE: Duration = Duration::from_secs(8);
/// Deadline of one command.
const COMMAND_DEADLINE: Duration = Duration::from_millis(1500);

/// One attempt of a job on its seats.
#[value]
pub struct Attempt {
    /// The planner's epoch.
    pub epoch: u64,
    /// Identifier of the job.
    pub job: Name,
    /// Number of the attempt.
    pub number: u32,
    /// Where the members go.
    pub seats: Seats,
}

/// Why an attempt did not start.
#[value]
pub enum Failure {
    /// An agent refused or gave no answer.
    Agent(Name, String),
    /// The record was changed by someone else, or the store gave no answer.
    Record(String),
}

/// Starts an attempt; on failure nothing of it runs longer than its holds or leases.
///
/// # Errors
/// [`Failure`] says which step failed.
pub async fn start(entry: &Arc<Entry>, attempt: &Attempt) -> Result<Record, Failure> {
    let record = load(entry, &attempt.job).await?;
    let spec = record.0.spec.clone();
    tell_all(entry, attempt, |member| Step::Prepare {
        accelerators: attempt.seats[member].accelerators.to_vec(),
        processors: spec.processors,
        memory_mb: spec.memory_mb,
        payload: spec.payload.clone(),
        checkpoint: record.0.checkpoint.clone(),
        hold_ms: HOLD.as_millis() as u64,
    })
    .await?;
    let record = stake(entry, record, attempt).await?;
    tell_all(entry, attempt, |_| Step::Arm).await?;
    let lease_ms = GANG_LEASE.as_millis() as u64;
    tell_all(entry, attempt, |_| Step::Go { lease_ms }).await?;
    Ok(record)
}

/// Extends the gang lease on every member.
///
/// # Errors
/// [`Failure::Agent`] when a member's agent refuses or gives no answer.
pub async fn renew(entry: &Arc<Entry>, attempt: &Attempt) -> Result<(), Failure> {
    let lease_ms = GANG_LEASE.as_millis() as u64;
    tell_all(entry, attempt, |_| Step::Renew { lease_ms }).await
}

/// Stops every member after a notice.
///
/// # Errors
/// [`Failure::Agent`] when a member's agent refuses or gives no answer.
pub async fn stop(
    entry: &Arc<Entry>,
    attempt: &Attempt,
    notice: Duration,
    reason: &str,
) -> Result<(), Failure> {
    let notice_ms = notice.as_millis() as u64;
    tell_all(entry, attempt, |_| Step::Stop { notice_ms, reason: reason.to_owned() }).await
}

async fn load(entry: &Entry, job: &Name) -> Result<(Record, i64), Failure> {
    let item = entry
        .store
        .load(&format!("{JOBS_PREFIX}{job}"))
        .await
        .map_err(|error| Failure::Record(error.to_string()))?
        .ok_or_else(|| Failure::Record("the record is gone".to_owned()))?;
    let record =
        codec::from_json(&item.value).map_err(|error| Failure::Record(error.to_string()))?;
    Ok((record, item.version))
}

/// Writes the attempt's number into the job's record, which fences every older attempt.
async fn stake(
    entry: &Entry,
    (mut record, version): (Record, i64),
    attempt: &Attempt,
) -> Result<Record, Failure> {
    if attempt.number <= record.attempt {
        return Err(Failure::Record(format!("attempt {} is on record", record.attempt)));
    }
    record.attempt = attempt.number;
    record.state = State::Running;
    record.started_ms = clock::wall_ms();
    record.seats = attempt
        .seats
        .iter()
        .map(|seat| Seat {
            worker: seat.worker.to_string(),
            accelerators: seat.accelerators.to_vec(),
        })
        .collect();
    let bytes = codec::to_json(&record).map_err(|error| Failure::Record(error.to_string()))?;
    match entry.store.swap(&format!("{JOBS_PREFIX}{}", record.id), version, &bytes, 0).await {
        Ok(Swap::Done(_)) => Ok(record),
        Ok(Swap::Lost(_)) => Err(Failure::Record("another planner changed it".to_owned())),
        Err(error) => Err(Failure::Record(error.to_string())),
    }
}

/// Tells every member's agent one step, all at once.
async fn tell_all(
    entry: &Arc<Entry>,
    attempt: &Attempt,
    step: impl Fn(usize) -> Step,
) -> Result<(), Failure> {
    let mut calls = JoinSet::new();
    for (member, seat) in attempt.seats.iter().enumerate() {
        let known = entry
            .core()
            .members
            .find(&seat.worker)
            .map(|known| (known.frame.address.clone(), known.frame.incarnation));
        let worker = seat.worker.clone();
        let Some((address, incarnation)) = known else {
            return Err(Failure::Agent(worker, "is gone".to_owned()));
        };
        let command = Command {
            version: VERSION,
            epoch: attempt.epoch,
            worker: worker.to_string(),
            incarnation,
            job: attempt.job.to_string(),
            attempt: attempt.number,
            member: member as u32,
            step: step(member),
        };
        let client = entry.client.clone();
        calls.spawn(async move {
            let reply: Result<Reply, _> =
                client.exchange(&address, "/internal/command", &command, COMMAND_DEADLINE).await;
            match reply {
                Ok(Reply { verdict: Verdict::Done, .. }) => Ok(()),
                Ok(reply) => Err(Failure::Agent(worker, reply.verdict.to_string())),
                Err(error) => Err(Failure::Agent(worker, error.to_string())),
            }
        });
    }
    let mut outcome = Ok(());
    while let Some(call) = calls.join_next().await {
        let told = call.unwrap_or_else(|error| Err(Failure::Record(error.to_string())));
        outcome = outcome.and(told);
    }
    outcome
}
