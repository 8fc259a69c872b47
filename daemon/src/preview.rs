//! Previews of the planner's decisions: a separate planner runs on a copy of the inputs, and
//! nothing is carried out.

use lavendergauge_derive::row;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::planner::Planner;
use lavendergauge_lib::planner::Submission;
use lavendergauge_lib::shape::Assignments;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::api::Decision;
use lavendergauge_wire::api::Explanation;
use lavendergauge_wire::api::Guarantee;
use lavendergauge_wire::api::Preview;
use lavendergauge_wire::api::Seat;
use lavendergauge_wire::api::Stop;
use lavendergauge_wire::api::Unmet;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;

use crate::clock;
use crate::config;
use crate::leader_records;
use crate::worker;

/// The inputs of a planner at one time.
#[row]
pub struct Snapshot {
    /// The configuration.
    pub document: Document,
    /// The agents' newest announcements.
    pub frames: Vec<Frame>,
    /// The jobs' records.
    pub records: Vec<Record>,
}

/// Returns a planner's decisions on a snapshot, including those it makes only once it considers the
/// fleet to be complete.
pub fn decide(snapshot: &Snapshot) -> Vec<Action> {
    run_planner(snapshot, clock::now()).1
}

/// Runs a planner on a snapshot; returns the planner and its decisions.
fn run_planner(snapshot: &Snapshot, now: Millis) -> (Planner, Vec<Action>) {
    let mut planner = Planner::default();
    planner.apply(now, Event::Configure(config::to_planner_config(&snapshot.document)));
    for frame in &snapshot.frames {
        planner.apply(now, Event::Announce(worker::to_report(frame)));
    }
    let is_live = |record: &&Record| {
        matches!(record.state, State::Waiting | State::Starting | State::Running)
    };
    let mut records: Vec<&Record> = snapshot.records.iter().filter(is_live).collect();
    records.sort_by_key(|record| record.submitted_ms);
    for record in records {
        planner.apply(now, Event::Submit(submission(record)));
    }
    let mut actions = planner.tick(now);
    actions.extend(planner.tick(now + planner::SETTLING_TIME));
    (planner, actions)
}

/// Converts a record to the planner's submission, with the assignments of a live attempt.
fn submission(record: &Record) -> Submission {
    let assignments = match record.state {
        State::Waiting => Assignments::new(),
        _ => leader_records::assignments(record),
    };
    leader_records::to_submission(record, assignments)
}

/// Lists what a change would do; the snapshot holds the configuration that the change produces.
pub fn preview_change(snapshot: &Snapshot) -> Preview {
    let mut preview = Preview {
        revision: snapshot.document.revision,
        unmet: Vec::new(),
        stops: Vec::new(),
        refused: Vec::new(),
    };
    for action in decide(snapshot) {
        match action {
            Action::Stop { job, cause, .. } => preview.stops.push(Stop {
                account: account_of(snapshot, &job),
                job: job.to_string(),
                reason: cause_in_words(&format!("{cause:?}")),
            }),
            Action::Unmet { account, guarantee, reason } => preview.unmet.push(Unmet {
                account: account.to_string(),
                guarantee: guarantee.to_string(),
                reason,
            }),
            Action::Refuse { job, .. } => preview.refused.push(job.to_string()),
            _ => {}
        }
    }
    preview
}

/// Explains why a job of the snapshot waits, or where it would be placed.
pub fn explain(snapshot: &Snapshot, record: &Record) -> Explanation {
    let ahead = snapshot
        .records
        .iter()
        .filter(|other| other.state == State::Waiting && other.submitted_ms < record.submitted_ms);
    let mut explanation = Explanation {
        job: record.id.clone(),
        decision: Decision::None,
        reason: record.reason.clone(),
        seats: record
            .seats
            .iter()
            .map(|seat| Seat {
                worker: seat.worker.clone(),
                accelerators: seat.accelerators.clone(),
            })
            .collect(),
        alternatives: 0,
        ahead: u32::try_from(ahead.count()).unwrap_or(u32::MAX),
        revision: snapshot.document.revision,
    };
    if record.state != State::Waiting {
        let text =
            if record.reason.is_empty() { String::new() } else { format!(": {}", record.reason) };
        explanation.reason = format!("it is {}{text}", record.state);
        return explanation;
    }
    explanation.decision = Decision::Wait;
    let now = clock::now();
    let (planner, actions) = run_planner(snapshot, now);
    let wait_reason = planner.explain(now + planner::SETTLING_TIME, &Name::from(&record.id));
    explanation.reason = wait_reason.map(|reason| reason.to_string()).unwrap_or_default();
    for action in actions {
        match action {
            Action::Start { job, assignments: chosen, alternatives, .. }
                if job.as_str() == record.id =>
            {
                explanation.decision = Decision::Start;
                explanation.reason = "there is free capacity for it now".to_owned();
                explanation.seats = to_wire_seats(&chosen);
                explanation.alternatives = alternatives as u64;
            }
            Action::Refuse { job, reason } if job.as_str() == record.id => {
                explanation.decision = Decision::Refuse;
                explanation.reason = reason;
            }
            _ => {}
        }
    }
    explanation
}

/// Lists the guarantees, each with its claims and whether it can be met.
pub fn list_guarantees(snapshot: &Snapshot) -> Vec<Guarantee> {
    let actions = decide(snapshot);
    let unmet = |account: &str, name: &str| {
        actions.iter().find_map(|action| match action {
            Action::Unmet { account: a, guarantee, reason }
                if a.as_str() == account && guarantee.as_str() == name =>
            {
                Some(reason.clone())
            }
            _ => None,
        })
    };
    let mut rows = Vec::new();
    for account in &snapshot.document.accounts {
        for guarantee in &account.guarantees {
            let reason = unmet(&account.name, &guarantee.name);
            let claims = snapshot.records.iter().filter(|record| {
                record.spec.account == account.name
                    && record.spec.guarantee == guarantee.name
                    && matches!(record.state, State::Waiting | State::Starting | State::Running)
            });
            rows.push(Guarantee {
                account: account.name.clone(),
                name: guarantee.name.clone(),
                accelerators: guarantee.accelerators,
                claimed_by: claims.map(|record| record.id.clone()).collect(),
                met: reason.is_none(),
                reason: reason.unwrap_or_default(),
            });
        }
    }
    rows
}

/// Returns the number of a worker's accelerators that no task holds.
pub fn free_accelerators(frame: &Frame) -> usize {
    let held: usize = frame
        .tasks
        .iter()
        .filter(|task| holds_accelerators(task.phase))
        .map(|task| task.accelerators.len())
        .sum();
    usize::from(frame.accelerators).saturating_sub(held)
}

/// Tells whether a gang member in this phase holds its accelerators.
///
/// ```
/// use lavendergauge_daemon::preview;
/// use lavendergauge_wire::announce::Phase;
/// assert!(preview::holds_accelerators(Phase::Running));
/// assert!(!preview::holds_accelerators(Phase::Done));
/// ```
pub fn holds_accelerators(phase: Phase) -> bool {
    !matches!(phase, Phase::Done | Phase::Failed | Phase::Stopped)
}

fn to_wire_seats(assignments: &Assignments) -> Vec<Seat> {
    let seat = |assignment: &lavendergauge_lib::shape::Assignment| Seat {
        worker: assignment.worker.to_string(),
        accelerators: assignment.accelerators.to_vec(),
    };
    assignments.iter().map(seat).collect()
}

fn account_of(snapshot: &Snapshot, job: &Name) -> String {
    let record = snapshot.records.iter().find(|record| record.id == job.as_str());
    record.map(|record| record.spec.account.clone()).unwrap_or_default()
}

/// Converts a cause such as `DataCentreOut("zilina-1")` into lower-case words.
fn cause_in_words(cause: &str) -> String {
    let mut text = String::new();
    for letter in cause.chars() {
        match letter {
            '(' => text.push(' '),
            ')' | '"' => {}
            upper if upper.is_ascii_uppercase() => {
                if !text.is_empty() {
                    text.push(' ');
                }
                text.push(upper.to_ascii_lowercase());
            }
            other => text.push(other),
        }
    }
    text
}
