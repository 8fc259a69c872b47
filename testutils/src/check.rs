//! Checks a history against the nine promises of the system. The history is its only input.

use std::collections::HashMap;
use std::collections::HashSet;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::history::End;
use crate::history::Event;
use crate::history::Outcome;
use crate::history::TimedEvent;

/// Longest time from the submission of a job that claims a guarantee to the start of all its
/// members, in milliseconds.
const RECLAIM_LIMIT_MS: u64 = 3_300;
/// Longest time for which a gang may run with only part of its members, in milliseconds:
/// a gang lease, a runtime lease and the delay of one announcement.
const PARTIAL_LIMIT_MS: u64 = 11_000;
/// Longest time for which work may still start in a data centre that was taken out, in
/// milliseconds.
const OUT_GRACE_MS: u64 = 3_000;
/// Longest time for which a target that announced that it is leaving may still get requests, in
/// milliseconds.
const LEAVE_GRACE_MS: u64 = 3_000;
/// Longest time until an accepted configuration is in force in every process, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 10_000;

/// A property that every run of the system must keep, whatever fails.
#[token]
pub enum Promise {
    /// A job that claims a guarantee starts in time.
    Reclaim,
    /// No gang runs with only part of its members for longer than the bound.
    CompleteGang,
    /// No task and no request starts in a data centre that is out.
    DataCentreOut,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// A request that the system stated not to have run did not run.
    NotRun,
    /// A request or job that is not idempotent runs at most once.
    AtMostOnce,
    /// A target that is leaving gets no new requests.
    LeavingTarget,
    /// A graceful stop breaks the connection of no request.
    GracefulStop,
    /// An accepted configuration comes into force in every process in time, and no process goes
    /// back to an older one.
    ConfigInForce,
}

/// A broken promise in a history.
#[value]
pub struct Violation {
    /// The promise that is broken.
    pub promise: Promise,
    /// Time at which it was broken, in milliseconds from the start of the history.
    pub at_ms: u64,
    /// The job, request, process, worker or data centre concerned, and what is wrong.
    pub text: String,
}

/// Returns the violations of one promise.
type Check = fn(&[TimedEvent]) -> Vec<Violation>;

/// Returns every violation in a history, whose events must be ordered by time.
///
/// ```
/// assert!(lavendergauge_testutils::check::check(&[]).is_empty());
/// ```
pub fn check(history: &[TimedEvent]) -> Vec<Violation> {
    let checks: [Check; 9] = [
        check_reclaims,
        check_gangs,
        check_data_centres,
        check_answers,
        check_not_run,
        check_at_most_once,
        check_leaving_targets,
        check_graceful_stops,
        check_configs,
    ];
    checks.iter().flat_map(|check| check(history)).collect()
}

fn violation(promise: Promise, at_ms: u64, text: String) -> Violation {
    Violation { promise, at_ms, text }
}

/// Returns the time of the last event, in milliseconds.
fn end_ms(history: &[TimedEvent]) -> u64 {
    history.last().map_or(0, |timed| timed.at_ms)
}

/// Checks that every job with a claim starts all its members in time.
///
/// A job that never starts counts as late if the history goes on for longer than the bound.
fn check_reclaims(history: &[TimedEvent]) -> Vec<Violation> {
    let mut waiting: HashMap<&str, (u64, usize)> = HashMap::new();
    let mut late = Vec::new();
    for timed in history {
        match &timed.event {
            Event::Submit { job, members, claims: true, .. } => {
                waiting.insert(job, (timed.at_ms, *members));
            }
            Event::Start { job, .. } => {
                let Some((since, members)) = waiting.get_mut(job.as_str()) else { continue };
                *members -= 1;
                let (since, missing) = (*since, *members);
                if missing == 0 {
                    waiting.remove(job.as_str());
                }
                if missing == 0 && RECLAIM_LIMIT_MS < timed.at_ms - since {
                    late.push((since, job.clone()));
                }
            }
            _ => {}
        }
    }
    let never =
        waiting.into_iter().filter(|(_, (since, _))| RECLAIM_LIMIT_MS < end_ms(history) - since);
    late.extend(never.map(|(job, (since, _))| (since, job.to_owned())));
    late.into_iter()
        .map(|(at_ms, job)| {
            violation(Promise::Reclaim, at_ms, format!("{job} did not start in time"))
        })
        .collect()
}

/// Checks that no attempt of a gang runs with only part of its members for longer than the bound.
/// Members that ran to their end count as present.
fn check_gangs(history: &[TimedEvent]) -> Vec<Violation> {
    let mut sizes = HashMap::new();
    let mut running: HashMap<(&str, u32), HashSet<usize>> = HashMap::new();
    let mut done: HashMap<(&str, u32), HashSet<usize>> = HashMap::new();
    let mut partial_since: HashMap<(&str, u32), u64> = HashMap::new();
    let mut violations = Vec::new();
    for timed in history {
        let gang = match &timed.event {
            Event::Submit { job, members, .. } => {
                sizes.insert(job.as_str(), *members);
                continue;
            }
            Event::Start { job, attempt, member, .. } => {
                let gang = (job.as_str(), *attempt);
                running.entry(gang).or_default().insert(*member);
                gang
            }
            Event::Stop { job, attempt, member, end } => {
                let gang = (job.as_str(), *attempt);
                running.entry(gang).or_default().remove(member);
                if *end == End::Done {
                    done.entry(gang).or_default().insert(*member);
                }
                gang
            }
            _ => continue,
        };
        let running = running.get(&gang).map_or(0, HashSet::len);
        let done = done.get(&gang).map_or(0, HashSet::len);
        let is_partial = running != 0 && running + done < sizes.get(gang.0).copied().unwrap_or(0);
        if is_partial {
            partial_since.entry(gang).or_insert(timed.at_ms);
        } else if let Some(since) =
            partial_since.remove(&gang).filter(|since| PARTIAL_LIMIT_MS < timed.at_ms - since)
        {
            violations.push((gang, since));
        }
    }
    violations.extend(
        partial_since.into_iter().filter(|(_, since)| PARTIAL_LIMIT_MS < end_ms(history) - since),
    );
    violations
        .into_iter()
        .map(|((job, attempt), at_ms)| {
            violation(
                Promise::CompleteGang,
                at_ms,
                format!("{job}/{attempt} ran with only part of its members"),
            )
        })
        .collect()
}

/// Checks that nothing starts in a data centre that is out.
fn check_data_centres(history: &[TimedEvent]) -> Vec<Violation> {
    let mut out_since: HashMap<&str, u64> = HashMap::new();
    let mut violations = Vec::new();
    for timed in history {
        let data_centre = match &timed.event {
            Event::DataCentreOut(name) => {
                out_since.insert(name, timed.at_ms);
                continue;
            }
            Event::DataCentreIn(name) => {
                out_since.remove(name.as_str());
                continue;
            }
            Event::Start { data_centre, .. } | Event::Execute { data_centre, .. } => data_centre,
            _ => continue,
        };
        if out_since
            .get(data_centre.as_str())
            .is_some_and(|since| OUT_GRACE_MS < timed.at_ms - since)
        {
            let text = format!("work started in data centre {data_centre}, which was out");
            violations.push(violation(Promise::DataCentreOut, timed.at_ms, text));
        }
    }
    violations
}

/// Checks that every answer is whole and belongs to the request that got it.
fn check_answers(history: &[TimedEvent]) -> Vec<Violation> {
    let violations = history.iter().filter_map(|timed| match &timed.event {
        Event::Complete { request, outcome: Outcome::Ran { answer_to, is_whole } }
            if answer_to != request || !is_whole =>
        {
            let text = format!("{request} got the answer to {answer_to}, whole: {is_whole}");
            Some(violation(Promise::OwnAnswer, timed.at_ms, text))
        }
        _ => None,
    });
    violations.collect()
}

/// Returns the number of executions by idempotency key.
fn executions(history: &[TimedEvent]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for timed in history {
        if let Event::Execute { key, .. } = &timed.event {
            *counts.entry(key.as_str()).or_default() += 1;
        }
    }
    counts
}

/// Checks that a key was not executed when all requests with it were stated not to have run.
///
/// If another request with the key may have run, an execution of the key is no violation.
fn check_not_run(history: &[TimedEvent]) -> Vec<Violation> {
    let mut keys = HashMap::new();
    let mut maybe_run: HashMap<&str, usize> = HashMap::new();
    let mut not_run = HashMap::new();
    for timed in history {
        match &timed.event {
            Event::Invoke { request, key, .. } => {
                keys.insert(request.as_str(), key.as_str());
                *maybe_run.entry(key).or_default() += 1;
            }
            Event::Complete { request, outcome: Outcome::NotRun } => {
                let Some(key) = keys.get(request.as_str()) else { continue };
                *maybe_run.entry(key).or_default() -= 1;
                not_run.insert(*key, timed.at_ms);
            }
            _ => {}
        }
    }
    let executions = executions(history);
    not_run
        .into_iter()
        .filter(|(key, _)| {
            maybe_run.get(key).copied().unwrap_or(0) == 0 && executions.contains_key(key)
        })
        .map(|(key, at_ms)| {
            violation(
                Promise::NotRun,
                at_ms,
                format!("{key} ran although its callers were told that it did not run"),
            )
        })
        .collect()
}

/// Checks that no key of a request that is not idempotent is executed twice, and that no job that
/// may run only once starts in two attempts.
fn check_at_most_once(history: &[TimedEvent]) -> Vec<Violation> {
    let mut once_keys = HashSet::new();
    let mut once_jobs = HashSet::new();
    let mut attempts: HashMap<&str, HashSet<u32>> = HashMap::new();
    let mut violations = Vec::new();
    for timed in history {
        match &timed.event {
            Event::Invoke { key, idempotent: false, .. } => drop(once_keys.insert(key.as_str())),
            Event::Submit { job, repeatable: false, .. } => drop(once_jobs.insert(job.as_str())),
            Event::Start { job, attempt, .. } if once_jobs.contains(job.as_str()) => {
                let attempts = attempts.entry(job).or_default();
                attempts.insert(*attempt);
                if 1 < attempts.len() {
                    let text = format!("{job} ran in {} attempts", attempts.len());
                    violations.push(violation(Promise::AtMostOnce, timed.at_ms, text));
                }
            }
            _ => {}
        }
    }
    let repeated = executions(history)
        .into_iter()
        .filter(|(key, count)| 1 < *count && once_keys.contains(key));
    violations.extend(repeated.map(|(key, count)| {
        violation(Promise::AtMostOnce, end_ms(history), format!("{key} ran {count} times"))
    }));
    violations
}

/// Checks that no target executes a new request after it has announced that it is leaving.
fn check_leaving_targets(history: &[TimedEvent]) -> Vec<Violation> {
    let mut leaving_since: HashMap<&str, u64> = HashMap::new();
    let mut violations = Vec::new();
    for timed in history {
        match &timed.event {
            Event::TargetLeaving(worker) => drop(leaving_since.insert(worker, timed.at_ms)),
            Event::Execute { worker, .. }
                if leaving_since
                    .get(worker.as_str())
                    .is_some_and(|since| LEAVE_GRACE_MS < timed.at_ms - since) =>
            {
                let text = format!("{worker} was leaving and got a new request");
                violations.push(violation(Promise::LeavingTarget, timed.at_ms, text));
            }
            _ => {}
        }
    }
    violations
}

/// Checks that no caller of a process that stops gracefully loses its connection.
/// A process that is killed afterwards is exempt.
fn check_graceful_stops(history: &[TimedEvent]) -> Vec<Violation> {
    let mut stopping = HashSet::new();
    let mut processes = HashMap::new();
    let mut violations = Vec::new();
    for timed in history {
        match &timed.event {
            Event::Stopping(process) => drop(stopping.insert(process.as_str())),
            Event::Killed(process) => drop(stopping.remove(process.as_str())),
            Event::Invoke { request, process, .. } => {
                processes.insert(request.as_str(), process.as_str());
            }
            Event::Complete { request, outcome: Outcome::Disconnected } => {
                let process = processes.get(request.as_str()).copied().unwrap_or_default();
                if stopping.contains(process) {
                    let text =
                        format!("{request} lost its connection in the graceful stop of {process}");
                    violations.push(violation(Promise::GracefulStop, timed.at_ms, text));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks that the revision in force in a process never decreases, and is at least as new as every
/// revision that was accepted longer ago than the bound.
fn check_configs(history: &[TimedEvent]) -> Vec<Violation> {
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut newest_in_force: HashMap<&str, u64> = HashMap::new();
    let mut violations = Vec::new();
    for timed in history {
        match &timed.event {
            Event::ConfigAccepted(revision) => accepted.push((timed.at_ms, *revision)),
            Event::ConfigInForce { process, revision } => {
                let newest = newest_in_force.entry(process).or_default();
                let due = accepted
                    .iter()
                    .filter(|(at_ms, _)| IN_FORCE_LIMIT_MS < timed.at_ms - at_ms)
                    .map(|&(_, revision)| revision)
                    .max()
                    .unwrap_or(0);
                if *revision < *newest || *revision < due {
                    let text = format!(
                        "{process} has revision {revision} in force, after {newest}; {due} is due"
                    );
                    violations.push(violation(Promise::ConfigInForce, timed.at_ms, text));
                }
                *newest = (*newest).max(*revision);
            }
            _ => {}
        }
    }
    violations
}
