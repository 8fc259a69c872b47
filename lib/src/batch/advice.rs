//! Start tickets for queues whose steps may run only on workers that an advice service approves.
//!
//! The service is slow, so it is asked early, about few workers at a time, and again when tickets
//! expire. Whether it approves a worker for a step does not change; a ticket ends at its expiry or
//! with the incarnation of its worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;

use crate::batch::job::Step;
use crate::batch::job::StepInstance;
use crate::batch::place;
use crate::batch::place::Availability;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;

/// Minimum number of workers in one question.
const MIN_ASKED_WORKERS: usize = 3;
/// Maximum number of workers in one question; the service accepts more, but then answers later.
const MAX_ASKED_WORKERS: usize = 16;
/// Time before a ticket's expiry from which it is no longer used, so that it is still valid when
/// the order arrives.
const TICKET_MARGIN: Duration = Duration::from_millis(400);
/// Pause after a question that got no answer.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a question without an answer counts as lost.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(8);

/// Permission to start a step on a worker.
#[row]
pub struct Ticket {
    /// Incarnation of the worker for which the ticket was issued.
    pub incarnation: u64,
    /// Text that the start order carries.
    pub text: String,
    /// When the ticket expires.
    pub expires_at: Millis,
}

/// Advice known for one step.
#[row]
#[derive(Default)]
pub struct StepAdvice {
    /// Tickets of the workers that may run the step.
    pub tickets: BTreeMap<key::Worker, Ticket>,
    /// Workers that may not run the step, each with the incarnation for which that was answered.
    pub rejected: BTreeMap<key::Worker, u64>,
    /// When the pending question was sent; `None` while none is pending.
    pub question_sent: Option<Millis>,
    /// Earliest time of the next question.
    pub paused_until: Millis,
}

/// A question to the advice service: which of some workers may run a step.
#[value]
pub struct Question {
    /// The step.
    pub instance: StepInstance,
    /// Workers: key, identifier and incarnation.
    pub workers: Vec<(key::Worker, String, u64)>,
}

/// Tells whether a step's queue needs advice.
pub fn is_needed(tables: &Tables, instance: StepInstance) -> bool {
    tables.jobs.get(&instance.job).is_some_and(|job| job.queue.advice_valid_ms != 0)
}

/// Returns a ticket that allows a step to start on a worker now.
pub fn ticket(
    tables: &Tables,
    now: Millis,
    instance: StepInstance,
    worker: key::Worker,
) -> Option<&Ticket> {
    let ticket = tables.advice.get(&instance)?.tickets.get(&worker)?;
    let same = tables.workers.get(worker)?.incarnation == ticket.incarnation;
    (same && now + TICKET_MARGIN < ticket.expires_at).then_some(ticket)
}

/// Returns the questions to send now and marks them as pending.
pub fn questions(tables: &mut Tables, now: Millis) -> Vec<Question> {
    let mut waiting_steps: Vec<(StepInstance, Step, u32)> = Vec::new();
    for id in &tables.active {
        let Some(job) = tables.jobs.get(id).filter(|job| job.queue.advice_valid_ms != 0) else {
            continue;
        };
        if !job.is_active() {
            continue;
        }
        for (&occurrence, row) in &job.occurrences {
            for (step, task_states) in row.steps.iter().enumerate() {
                let waiting = task_states
                    .iter()
                    .filter(|task_state| !task_state.done && task_state.live.is_none())
                    .count();
                if waiting != 0 {
                    let instance = StepInstance { job: *id, occurrence, step: step as u16 };
                    waiting_steps.push((instance, job.steps()[step].clone(), waiting as u32));
                }
            }
        }
    }
    if waiting_steps.is_empty() {
        tables.advice.clear();
        return Vec::new();
    }
    let known: BTreeSet<StepInstance> =
        waiting_steps.iter().map(|(instance, _, _)| *instance).collect();
    tables.advice.retain(|instance, _| known.contains(instance));
    let availability = Availability::of(tables, now);
    let mut questions = Vec::new();
    for (instance, step, waiting) in waiting_steps {
        if let Some(question) = question(tables, now, &availability, instance, &step, waiting) {
            let step_advice = tables.advice.entry(instance).or_default();
            step_advice.question_sent = Some(now);
            questions.push(question);
        }
    }
    questions
}

fn question(
    tables: &Tables,
    now: Millis,
    availability: &Availability,
    instance: StepInstance,
    step: &Step,
    waiting: u32,
) -> Option<Question> {
    let empty = StepAdvice::default();
    let step_advice = tables.advice.get(&instance).unwrap_or(&empty);
    let is_pending = step_advice.question_sent.is_some_and(|at| now.since(at) < QUESTION_TIMEOUT);
    if is_pending || now < step_advice.paused_until {
        return None;
    }
    let capable = place::capable(tables, availability, instance, step);
    let holds: u32 = capable
        .iter()
        .filter(|key| ticket(tables, now, instance, **key).is_some())
        .map(|key| availability.holds(tables, instance, *key, step, waiting))
        .sum();
    if waiting <= holds {
        return None;
    }
    let is_undecided = |key: &key::Worker| {
        let incarnation = tables.workers[*key].incarnation;
        ticket(tables, now, instance, *key).is_none()
            && step_advice.rejected.get(key) != Some(&incarnation)
    };
    let mut asked_workers: Vec<key::Worker> = capable.into_iter().filter(is_undecided).collect();
    asked_workers.sort_by_key(|key| {
        std::cmp::Reverse(availability.holds(tables, instance, *key, step, waiting))
    });
    asked_workers.truncate((waiting as usize).clamp(MIN_ASKED_WORKERS, MAX_ASKED_WORKERS));
    if asked_workers.is_empty() {
        return None;
    }
    let row = |key: key::Worker| {
        let worker = &tables.workers[key];
        (key, worker.id.clone(), worker.incarnation)
    };
    Some(Question { instance, workers: asked_workers.into_iter().map(row).collect() })
}

/// Applies an answer: the workers that may run the step, with their tickets. The other workers of
/// the question may not run it.
///
/// The tickets are valid for `valid` from `sent_at`, the time at which the question was sent.
pub fn apply_answer(
    tables: &mut Tables,
    sent_at: Millis,
    question: &Question,
    approved: &[(String, String)],
    valid: Duration,
) {
    let Some(step_advice) = tables.advice.get_mut(&question.instance) else { return };
    step_advice.question_sent = None;
    for (key, id, incarnation) in &question.workers {
        match approved.iter().find(|(named, _)| named == id) {
            Some((_, text)) => {
                let (incarnation, text) = (*incarnation, text.clone());
                step_advice
                    .tickets
                    .insert(*key, Ticket { incarnation, text, expires_at: sent_at + valid });
            }
            None => {
                step_advice.rejected.insert(*key, *incarnation);
            }
        }
    }
}

/// Records that a question got no answer.
pub fn record_failure(tables: &mut Tables, now: Millis, instance: StepInstance) {
    let Some(step_advice) = tables.advice.get_mut(&instance) else { return };
    step_advice.question_sent = None;
    step_advice.paused_until = now + FAILED_PAUSE;
}

/// Discards a ticket that a worker refused.
pub fn drop_ticket(tables: &mut Tables, instance: StepInstance, worker: key::Worker) {
    if let Some(step_advice) = tables.advice.get_mut(&instance) {
        step_advice.tickets.remove(&worker);
    }
}
