//! Carries out the launch of a gang, and sends stop commands to its members.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::HOLD;
use lavendergauge_lib::gang::START_LEASE;
use lavendergauge_lib::launch::Event;
use lavendergauge_lib::launch::Machine;
use lavendergauge_lib::launch::Order;
use lavendergauge_lib::launch::Outcome;
use lavendergauge_lib::launch::RecordWrite;
use lavendergauge_lib::launch::Request;
use lavendergauge_lib::lifecycle::Change;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::shape::Assignments;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::gang::Command;
use lavendergauge_wire::gang::Reply;
use lavendergauge_wire::gang::Step;
use lavendergauge_wire::gang::Verdict;
use lavendergauge_wire::job::Adjacency;
use lavendergauge_wire::job::Class;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Seat;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::job::State;
use tokio::task::JoinSet;
use tokio::time;

use crate::clock;
use crate::entry::Entry;
use crate::record;
use crate::record::Changed;
use crate::record::ENDED_PREFIX;
use crate::record::JOBS_PREFIX;

/// Deadline of one command.
const COMMAND_DEADLINE: Duration = Duration::from_millis(1500);
/// Pause before a step is sent to the same member again, or a failed write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which a launch checks its time limits.
const TICK: Duration = Duration::from_millis(100);

/// The agent of one member.
#[value]
pub struct Agent {
    /// Name of the worker.
    pub worker: Name,
    /// Address of the agent; empty when it is not known.
    pub address: String,
    /// Random number that identifies the agent's process.
    pub incarnation: u64,
}

/// One attempt of a job, with the workers that it is assigned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Epoch of the planner that carries the attempt out.
    pub epoch: u64,
    /// Identifier of the job.
    pub job: Name,
    /// Number of the attempt.
    pub number: u32,
    /// The job's specification.
    pub spec: Spec,
    /// Reference of the checkpoint that each member resumes from, in member order.
    pub checkpoints: Vec<String>,
    /// Worker and accelerators of each member.
    pub assignments: Assignments,
    /// Agent of each member, as known when the attempt was made.
    pub agents: Vec<Agent>,
}

impl Attempt {
    /// Makes an attempt of which only one member is known, for a command that stops this member.
    pub fn for_stray_member(epoch: u64, job: Name, number: u32, member: u32, agent: Agent) -> Self {
        let spec = Spec {
            account: String::new(),
            accelerators: 0,
            adjacency: Adjacency::Worker,
            checkpoints: false,
            class: Class::Ordinary,
            data_centres: Vec::new(),
            declared_s: 0,
            guarantee: String::new(),
            idempotent: false,
            members: member + 1,
            memory_mb: 0,
            name: String::new(),
            payload: String::new(),
            processors: 0,
        };
        let agents = vec![agent; member as usize + 1];
        Attempt {
            epoch,
            job,
            number,
            spec,
            checkpoints: Vec::new(),
            assignments: Assignments::new(),
            agents,
        }
    }

    fn to_step(&self, member: usize, request: Request) -> Step {
        match request {
            Request::Prepare => Step::Prepare {
                accelerators: self.assignments[member].accelerators.to_vec(),
                processors: self.spec.processors,
                memory_mb: self.spec.memory_mb,
                payload: self.spec.payload.clone(),
                checkpoint: self.checkpoints.get(member).cloned().unwrap_or_default(),
                members: self.spec.members,
                hold_ms: HOLD.as_millis() as u64,
            },
            Request::Arm => Step::Arm,
            Request::Go => Step::Go { lease_ms: START_LEASE.as_millis() as u64 },
            Request::Stop => Step::Stop { notice_ms: 0, reason: "the launch failed".to_owned() },
        }
    }
}

/// Finds the agent of each assignment among the agents that announce themselves to this entry.
pub fn find_agents(entry: &Entry, assignments: &Assignments) -> Vec<Agent> {
    let core = entry.core();
    assignments
        .iter()
        .map(|assignment| {
            let known = core.workers.find(&assignment.worker).map(|known| &known.frame);
            Agent {
                worker: assignment.worker.clone(),
                address: known.map(|frame| frame.address.clone()).unwrap_or_default(),
                incarnation: known.map(|frame| frame.incarnation).unwrap_or_default(),
            }
        })
        .collect()
}

/// Launches an attempt, and undoes the launch if it fails; returns the outcome.
pub async fn start(entry: &Arc<Entry>, attempt: &Arc<Attempt>) -> Outcome {
    let (machine, orders) = Machine::new(clock::now(), attempt.assignments.len());
    drive(entry, attempt, machine, orders).await
}

/// Undoes a launch that an earlier planner recorded and did not finish.
///
/// The outcome names no member at fault.
pub async fn undo(entry: &Arc<Entry>, attempt: &Arc<Attempt>) -> Outcome {
    let (machine, orders) = Machine::undo(clock::now(), attempt.assignments.len());
    match drive(entry, attempt, machine, orders).await {
        Outcome::Withdrawn(_) => Outcome::Withdrawn(None),
        Outcome::Doubt(_) => Outcome::Doubt(None),
        Outcome::Running => Outcome::Running,
    }
}

/// Carries out the state machine's orders and reports the results to it, until the launch has
/// ended.
async fn drive(
    entry: &Arc<Entry>,
    attempt: &Arc<Attempt>,
    mut machine: Machine,
    mut orders: Vec<Order>,
) -> Outcome {
    let mut calls = JoinSet::new();
    let mut tick = time::interval(TICK);
    let mut last_sent = vec![None; attempt.assignments.len()];
    loop {
        for order in orders.drain(..) {
            match order {
                Order::End(outcome) => return outcome,
                Order::Record(until) => {
                    let (entry, attempt) = (entry.clone(), attempt.clone());
                    calls.spawn(async move {
                        Event::Recorded(record_attempt(&entry, &attempt, until).await)
                    });
                }
                Order::Send(member, request) => {
                    let is_repeat = last_sent[member].replace(request) == Some(request);
                    let (entry, attempt) = (entry.clone(), attempt.clone());
                    calls.spawn(async move {
                        time::sleep(if is_repeat { RETRY_PAUSE } else { Duration::ZERO }).await;
                        request_step(&entry, &attempt, member, request).await
                    });
                }
            }
        }
        let event = tokio::select! {
            Some(Ok(event)) = calls.join_next(), if !calls.is_empty() => event,
            _ = tick.tick() => Event::Tick,
        };
        orders = machine.handle(clock::now(), &event);
    }
}

async fn request_step(entry: &Entry, attempt: &Attempt, member: usize, request: Request) -> Event {
    let no_answer = Event::Silent { member, request };
    match request {
        Request::Prepare => fail::fail_point!("launch-prepare", |_| no_answer),
        Request::Arm => fail::fail_point!("launch-arm", |_| no_answer),
        Request::Go => fail::fail_point!("launch-go", |_| no_answer),
        Request::Stop => fail::fail_point!("launch-stop", |_| no_answer),
    }
    match send(entry, attempt, member, attempt.to_step(member, request)).await {
        Some(reply) => {
            let (verdict, started) = (from_wire(reply.verdict), reply.started);
            Event::Reply { member, request, verdict, started }
        }
        None => no_answer,
    }
}

fn from_wire(verdict: Verdict) -> gang::Verdict {
    match verdict {
        Verdict::Done => gang::Verdict::Done,
        Verdict::StaleEpoch => gang::Verdict::StaleEpoch,
        Verdict::StaleAttempt => gang::Verdict::StaleAttempt,
        Verdict::Busy => gang::Verdict::Busy,
        Verdict::NoPermit => gang::Verdict::NoPermit,
        Verdict::Leaving => gang::Verdict::Leaving,
        Verdict::UnknownTask | Verdict::WrongIncarnation | Verdict::Failed => {
            gang::Verdict::UnknownTask
        }
    }
}

/// Sends one step to a member's agent; `None` when it gives no answer.
async fn send(entry: &Entry, attempt: &Attempt, member: usize, step: Step) -> Option<Reply> {
    let agent = attempt.agents.get(member)?;
    let address = address(entry, agent)?;
    let command = Command {
        version: VERSION,
        epoch: attempt.epoch,
        worker: agent.worker.to_string(),
        incarnation: agent.incarnation,
        job: attempt.job.to_string(),
        attempt: attempt.number,
        member: member as u32,
        step,
    };
    let reply = entry.client.exchange(&address, "/internal/command", &command, COMMAND_DEADLINE);
    match reply.await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::warn!("event=command-silent worker={} cause=\"{error}\"", agent.worker);
            None
        }
    }
}

/// Returns the address of an agent; if it was not known when the attempt was made, the agent may
/// have announced itself since.
fn address(entry: &Entry, agent: &Agent) -> Option<String> {
    if !agent.address.is_empty() {
        return Some(agent.address.clone());
    }
    let core = entry.core();
    let known = core.workers.find(&agent.worker)?;
    (known.frame.incarnation == agent.incarnation).then(|| known.frame.address.clone())
}

/// Sends a command to stop one member at once.
pub async fn stop_member(entry: Arc<Entry>, attempt: Attempt, member: usize) {
    let step = Step::Stop { notice_ms: 0, reason: "the attempt has ended".to_owned() };
    let _ = send(&entry, &attempt, member, step).await;
}

/// Sends a command to stop after a notice to every member.
///
/// Commands that are lost are not repeated here, but by the caller.
pub async fn stop(entry: Arc<Entry>, attempt: Arc<Attempt>, notice: Duration, reason: String) {
    let mut calls = JoinSet::new();
    for member in 0..attempt.assignments.len() {
        let (entry, attempt) = (entry.clone(), attempt.clone());
        let step = Step::Stop { notice_ms: notice.as_millis() as u64, reason: reason.clone() };
        calls.spawn(async move { send(&entry, &attempt, member, step).await });
    }
    while calls.join_next().await.is_some() {}
}

/// Writes the attempt into the job's record, before any member may start; tries until `until`.
async fn record_attempt(entry: &Entry, attempt: &Attempt, until: Millis) -> RecordWrite {
    fail::fail_point!("launch-stake", |_| RecordWrite::Failed);
    let change = Change::Start { attempt: attempt.number, epoch: attempt.epoch };
    while clock::now() < until {
        // A repeated submission can make a new record for a job that has ended.
        let ended = entry.store.load(&format!("{ENDED_PREFIX}{}", attempt.job)).await;
        let written = match ended {
            Ok(Some(_)) => {
                remove_resubmission(entry, attempt).await;
                return RecordWrite::Failed;
            }
            Ok(None) => {
                let edit = |record: &mut Record| write_assignments(record, attempt);
                record::change(&entry.store, attempt.job.as_str(), change, edit).await
            }
            Err(error) => Err(error),
        };
        match written {
            Ok(Changed::Done(..)) => return RecordWrite::Done,
            Ok(_) => return RecordWrite::Failed,
            Err(error) => log::warn!("event=store-failed call=stake cause=\"{error}\""),
        }
        time::sleep(RETRY_PAUSE).await;
    }
    RecordWrite::Failed
}

/// Removes the waiting record of a job that already has an archived record.
async fn remove_resubmission(entry: &Entry, attempt: &Attempt) {
    if let Ok(Some((record, version))) = record::load(&entry.store, attempt.job.as_str()).await
        && record.state == State::Waiting
        && let Err(error) =
            entry.store.remove(&format!("{JOBS_PREFIX}{}", attempt.job), version).await
    {
        log::warn!("event=store-failed call=remove cause=\"{error}\"");
    }
}

fn write_assignments(record: &mut Record, attempt: &Attempt) {
    record.started_ms = clock::wall_ms();
    record.reason = String::new();
    record.seats = attempt
        .assignments
        .iter()
        .zip(&attempt.agents)
        .map(|(assignment, agent)| Seat {
            worker: assignment.worker.to_string(),
            incarnation: agent.incarnation,
            accelerators: assignment.accelerators.to_vec(),
        })
        .collect();
}
