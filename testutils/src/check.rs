//! Decides the nine promises from a history alone.

use std::collections::HashMap;
use std::collections::HashSet;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::history::End;
use crate::history::Event;
use crate::history::Line;
use crate::history::Outcome;

/// Time in which a claimed guarantee starts, in milliseconds.
const RECLAIM_MS: u64 = 3_300;
/// Longest time for which a gang may run with only part of its members, in milliseconds:
/// a gang lease, a runtime lease, and the delay of one announcement.
const PART_MS: u64 = 11_000;
/// Time after which nothing starts in a data centre that is out, in milliseconds.
const OUT_MS: u64 = 3_000;
/// Time after which a leaving target gets nothing new, in milliseconds.
const LEAVE_MS: u64 = 3_000;
/// Time after which an accepted configuration is in force everywhere, in milliseconds.
const FORCE_MS: u64 = 10_000;

/// What must always hold.
#[token]
pub enum Promise {
    /// A guaranteed shape can always be reclaimed.
    Reclaim,
    /// No gang runs with only part of its members.
    Whole,
    /// No task starts in a data centre that is out.
    Out,
    /// A caller gets the whole answer to its own request.
    Answer,
    /// A refusal that says "not run" is true.
    NotRun,
    /// What is not idempotent runs at most once.
    Once,
    /// A leaving target gets no new work.
    Leave,
    /// A planned stop cuts off no request.
    Graceful,
    /// An accepted configuration is in force everywhere and never reverts.
    Config,
}

/// A promise that a history breaks.
#[value]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it was broken, in milliseconds.
    pub at: u64,
    /// What breaks it.
    pub text: String,
}

/// Decides one promise.
type Check = fn(&[Line]) -> Vec<Violation>;

/// Returns every violation in a history whose lines are in the order of time.
///
/// ```
/// assert!(lavendergauge_testutils::check::check(&[]).is_empty());
/// ```
pub fn check(lines: &[Line]) -> Vec<Violation> {
    let checks: [Check; 9] = [reclaim, whole, out, answer, not_run, once, leave, graceful, config];
    checks.iter().flat_map(|check| check(lines)).collect()
}

fn broken(promise: Promise, at: u64, text: String) -> Violation {
    Violation { promise, at, text }
}

fn end(lines: &[Line]) -> u64 {
    lines.last().map_or(0, |line| line.at)
}

fn reclaim(lines: &[Line]) -> Vec<Violation> {
    let mut waiting: HashMap<&str, (u64, usize)> = HashMap::new();
    let mut late = Vec::new();
    for line in lines {
        match &line.event {
            Event::Submit { job, members, claims: true, .. } => {
                waiting.insert(job, (line.at, *members));
            }
            Event::Start { job, .. } => {
                let Some((since, members)) = waiting.get_mut(job.as_str()) else { continue };
                *members -= 1;
                let (since, left) = (*since, *members);
                if left == 0 {
                    waiting.remove(job.as_str());
                }
                if left == 0 && RECLAIM_MS < line.at - since {
                    late.push((since, job.clone()));
                }
            }
            _ => {}
        }
    }
    let never = waiting.into_iter().filter(|(_, (since, _))| RECLAIM_MS < end(lines) - since);
    late.extend(never.map(|(job, (since, _))| (since, job.to_owned())));
    late.into_iter()
        .map(|(at, job)| broken(Promise::Reclaim, at, format!("{job} did not start in time")))
        .collect()
}

fn whole(lines: &[Line]) -> Vec<Violation> {
    let mut sizes = HashMap::new();
    let mut running: HashMap<(&str, u32), HashSet<usize>> = HashMap::new();
    let mut done: HashMap<(&str, u32), HashSet<usize>> = HashMap::new();
    let mut part: HashMap<(&str, u32), u64> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        let gang = match &line.event {
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
        let is_part = running != 0 && running + done < sizes.get(gang.0).copied().unwrap_or(0);
        if is_part {
            part.entry(gang).or_insert(line.at);
        } else if let Some(since) = part.remove(&gang).filter(|since| PART_MS < line.at - since) {
            found.push((gang, since));
        }
    }
    found.extend(part.into_iter().filter(|(_, since)| PART_MS < end(lines) - since));
    found
        .into_iter()
        .map(|((job, attempt), at)| {
            broken(Promise::Whole, at, format!("{job}/{attempt} ran with part of its members"))
        })
        .collect()
}

fn out(lines: &[Line]) -> Vec<Violation> {
    let mut closed: HashMap<&str, u64> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        let place = match &line.event {
            Event::Out(name) => {
                closed.insert(name, line.at);
                continue;
            }
            Event::In(name) => {
                closed.remove(name.as_str());
                continue;
            }
            Event::Start { data_centre, .. } | Event::Execute { data_centre, .. } => data_centre,
            _ => continue,
        };
        if closed.get(place.as_str()).is_some_and(|since| OUT_MS < line.at - since) {
            let text = format!("something started in {place}, which was out");
            found.push(broken(Promise::Out, line.at, text));
        }
    }
    found
}

fn answer(lines: &[Line]) -> Vec<Violation> {
    let wrong = lines.iter().filter_map(|line| match &line.event {
        Event::Told { request, outcome: Outcome::Ran { of, whole } } if of != request || !whole => {
            let text = format!("{request} got the answer to {of}, whole: {whole}");
            Some(broken(Promise::Answer, line.at, text))
        }
        _ => None,
    });
    wrong.collect()
}

/// Counts executions by key.
fn executions(lines: &[Line]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for line in lines {
        if let Event::Execute { key, .. } = &line.event {
            *counts.entry(key.as_str()).or_default() += 1;
        }
    }
    counts
}

fn not_run(lines: &[Line]) -> Vec<Violation> {
    let mut keys = HashMap::new();
    let mut possible: HashMap<&str, usize> = HashMap::new();
    let mut denied = HashMap::new();
    for line in lines {
        match &line.event {
            Event::Invoke { request, key, .. } => {
                keys.insert(request.as_str(), key.as_str());
                *possible.entry(key).or_default() += 1;
            }
            Event::Told { request, outcome: Outcome::NotRun } => {
                let Some(key) = keys.get(request.as_str()) else { continue };
                *possible.entry(key).or_default() -= 1;
                denied.insert(*key, line.at);
            }
            _ => {}
        }
    }
    let executions = executions(lines);
    denied
        .into_iter()
        .filter(|(key, _)| {
            possible.get(key).copied().unwrap_or(0) == 0 && executions.contains_key(key)
        })
        .map(|(key, at)| broken(Promise::NotRun, at, format!("{key} ran, and was denied")))
        .collect()
}

fn once(lines: &[Line]) -> Vec<Violation> {
    let mut single = HashSet::new();
    let mut jobs = HashSet::new();
    let mut attempts: HashMap<&str, HashSet<u32>> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        match &line.event {
            Event::Invoke { key, idempotent: false, .. } => drop(single.insert(key.as_str())),
            Event::Submit { job, repeatable: false, .. } => drop(jobs.insert(job.as_str())),
            Event::Start { job, attempt, .. } if jobs.contains(job.as_str()) => {
                let attempts = attempts.entry(job).or_default();
                attempts.insert(*attempt);
                if 1 < attempts.len() {
                    let text = format!("{job} ran in {} attempts", attempts.len());
                    found.push(broken(Promise::Once, line.at, text));
                }
            }
            _ => {}
        }
    }
    let twice =
        executions(lines).into_iter().filter(|(key, count)| 1 < *count && single.contains(key));
    found.extend(
        twice.map(|(key, count)| {
            broken(Promise::Once, end(lines), format!("{key} ran {count} times"))
        }),
    );
    found
}

fn leave(lines: &[Line]) -> Vec<Violation> {
    let mut leaving: HashMap<&str, u64> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        match &line.event {
            Event::Leave(worker) => drop(leaving.insert(worker, line.at)),
            Event::Execute { worker, .. }
                if leaving.get(worker.as_str()).is_some_and(|at| LEAVE_MS < line.at - at) =>
            {
                let text = format!("{worker} was leaving and got new work");
                found.push(broken(Promise::Leave, line.at, text));
            }
            _ => {}
        }
    }
    found
}

fn graceful(lines: &[Line]) -> Vec<Violation> {
    let mut stopping = HashSet::new();
    let mut sent = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        match &line.event {
            Event::Stopping(process) => drop(stopping.insert(process.as_str())),
            Event::Killed(process) => drop(stopping.remove(process.as_str())),
            Event::Invoke { request, process, .. } => {
                sent.insert(request.as_str(), process.as_str());
            }
            Event::Told { request, outcome: Outcome::Cut } => {
                let process = sent.get(request.as_str()).copied().unwrap_or_default();
                if stopping.contains(process) {
                    let text = format!("{request} was cut off by the stop of {process}");
                    found.push(broken(Promise::Graceful, line.at, text));
                }
            }
            _ => {}
        }
    }
    found
}

fn config(lines: &[Line]) -> Vec<Violation> {
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut seen: HashMap<&str, u64> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        match &line.event {
            Event::Accepted(revision) => accepted.push((line.at, *revision)),
            Event::InForce { process, revision } => {
                let newest = seen.entry(process).or_default();
                let due = accepted
                    .iter()
                    .filter(|(at, _)| FORCE_MS < line.at - at)
                    .map(|&(_, revision)| revision)
                    .max()
                    .unwrap_or(0);
                if *revision < *newest || *revision < due {
                    let text = format!("{process} is at {revision}, after {newest}, due {due}");
                    found.push(broken(Promise::Config, line.at, text));
                }
                *newest = (*newest).max(*revision);
            }
            _ => {}
        }
    }
    found
}
