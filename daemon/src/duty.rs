//! The planner's duty: one entry at a time holds it, by a lease in the store.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::planner::Planner;
use lavendergauge_lib::planner::Submission;
use lavendergauge_lib::shape;
use lavendergauge_lib::shape::Seat;
use lavendergauge_lib::shape::Shape;
use lavendergauge_lib::table::Class;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::codec;
use lavendergauge_wire::job;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::config;
use crate::entry::Entry;
use crate::entry_control::JOBS_PREFIX;
use crate::launch;
use crate::launch::Attempt;
use crate::launch::Failure;
use crate::member;
use crate::store;
use crate::store::Swap;

/// Key of the planner's lease in the store.
const PLANNER_KEY: &str = "planner";
/// Validity of the planner's lease.
const PLANNER_LEASE: Duration = Duration::from_secs(5);
/// Interval at which the lease is renewed, or asked for.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// Interval at which job records are read.
const READ_EVERY: Duration = Duration::from_millis(500);
/// Interval at which gang leases are renewed.
const GANG_RENEW_EVERY: Duration = Duration::from_secs(2);
/// Time for announcements to come in before a new planner decides.
const SETTLE: Duration = Duration::from_millis(1500);

/// The planner's duty while it is held.
struct Duty {
    epoch: u64,
    lease: i64,
    since: Millis,
    planner: Planner,
    runs: HashMap<Name, Attempt>,
    known: HashSet<Name>,
    renewed: Millis,
    read: Option<Millis>,
    gangs_renewed: Millis,
    events: mpsc::UnboundedSender<Event>,
    inbox: mpsc::UnboundedReceiver<Event>,
}

/// Asks for the duty and carries it out, until the entry stops.
pub async fn run(entry: Arc<Entry>, tick: Duration, stopped: watch::Receiver<bool>) {
    let mut duty = None;
    while !*stopped.borrow() {
        duty = match duty.take() {
            Some(duty) => step(&entry, duty).await,
            None => acquire(&entry).await,
        };
        entry.core().epoch = duty.as_ref().map_or(0, |duty| duty.epoch);
        time::sleep(if duty.is_some() { tick } else { RENEW_EVERY }).await;
    }
    if let Some(duty) = duty {
        let _ = entry.store.revoke(duty.lease).await;
    }
}

/// Takes the duty if nobody has it.
async fn acquire(entry: &Entry) -> Option<Duty> {
    if entry.store.load(PLANNER_KEY).await.ok()?.is_some() {
        return None;
    }
    let lease = entry.store.grant(PLANNER_LEASE).await.ok()?;
    let value = entry.name.as_bytes();
    let Swap::Done(revision) = entry.store.swap(PLANNER_KEY, 0, value, lease).await.ok()? else {
        return None;
    };
    let epoch = u64::try_from(revision).unwrap_or_default();
    log::info!("event=planner-acquired epoch={epoch}");
    let now = clock::now();
    let (events, inbox) = mpsc::unbounded_channel();
    Some(Duty {
        epoch,
        lease,
        since: now,
        planner: Planner::default(),
        runs: HashMap::new(),
        known: HashSet::new(),
        renewed: now,
        read: None,
        gangs_renewed: now,
        events,
        inbox,
    })
}

/// One tick of the duty; `None` when it is lost.
async fn step(entry: &Arc<Entry>, mut duty: Duty) -> Option<Duty> {
    let now = clock::now();
    if RENEW_EVERY <= now.since(duty.renewed) {
        duty.renewed = now;
        if let Ok(false) = entry.store.renew(duty.lease).await {
            log::warn!("event=planner-lost epoch={}", duty.epoch);
            return None;
        }
    }
    take_in(entry, &mut duty, now);
    if now.since(duty.since) < SETTLE {
        return Some(duty);
    }
    if duty.read.is_none_or(|read| READ_EVERY <= now.since(read)) {
        duty.read = Some(now);
        read_jobs(entry, &mut duty, now).await;
    }
    follow(entry, &mut duty, now).await;
    for action in duty.planner.tick(now) {
        carry_out(entry, &mut duty, action).await;
    }
    Some(duty)
}

/// Takes the configuration, announcements and outcomes of launches into the planner.
fn take_in(entry: &Entry, duty: &mut Duty, now: Millis) {
    let mut core = entry.core();
    let lost = core.members.expire(now);
    let reports: Vec<_> = core.members.iter().map(|member| member::report(&member.frame)).collect();
    let fleet = config::fleet(&core.document);
    drop(core);
    if duty.planner.tables().revision != fleet.revision {
        duty.planner.apply(now, Event::Configure(fleet));
    }
    for report in reports {
        duty.planner.apply(now, Event::Announce(report));
    }
    for worker in lost {
        log::warn!("event=worker-lost worker={worker}");
        duty.planner.apply(now, Event::Lose(worker));
    }
    while let Ok(event) = duty.inbox.try_recv() {
        duty.planner.apply(now, event);
    }
}

async fn read_jobs(entry: &Entry, duty: &mut Duty, now: Millis) {
    let items = match entry.store.list(JOBS_PREFIX).await {
        Ok(items) => items,
        Err(error) => {
            log::warn!("event=store-failed call=jobs cause=\"{error}\"");
            return;
        }
    };
    for item in items {
        let Ok(record) = codec::from_json::<Record>(&item.value) else { continue };
        let live = matches!(record.state, State::Waiting | State::Running);
        let name = Name::from(&record.id);
        if !live || !duty.known.insert(name.clone()) {
            continue;
        }
        let submission = submission(&record);
        if !submission.seats.is_empty() {
            let seats = submission.seats.clone();
            let (epoch, number) = (duty.epoch, record.attempt);
            duty.runs.insert(name.clone(), Attempt { epoch, job: name, number, seats });
        }
        duty.planner.apply(now, Event::Submit(submission));
    }
}

fn submission(record: &Record) -> Submission {
    let spec = &record.spec;
    let seats = match record.state {
        State::Running => record.seats.as_slice(),
        _ => &[],
    };
    Submission {
        job: Name::from(&record.id),
        account: Name::from(&spec.account),
        shape: Shape {
            members: spec.members,
            accelerators: spec.accelerators,
            processors: spec.processors,
            memory_mb: spec.memory_mb,
            adjacency: match spec.adjacency {
                job::Adjacency::Worker => shape::Adjacency::Worker,
                job::Adjacency::Rack => shape::Adjacency::Rack,
                job::Adjacency::DataCentre => shape::Adjacency::DataCentre,
            },
        },
        class: match spec.class {
            job::Class::Urgent => Class::Urgent,
            job::Class::Ordinary => Class::Ordinary,
            job::Class::Patient => Class::Patient,
        },
        guarantee: (!spec.guarantee.is_empty()).then(|| Name::from(&spec.guarantee)),
        data_centres: spec.data_centres.iter().map(Name::from).collect(),
        checkpoints: spec.checkpoints,
        idempotent: spec.idempotent,
        declared_s: spec.declared_s,
        attempt: record.attempt,
        seats: seats
            .iter()
            .map(|seat| Seat {
                worker: Name::from(&seat.worker),
                accelerators: seat.accelerators.iter().copied().collect(),
            })
            .collect(),
    }
}

/// Where an attempt stands, by its members' newest announcements.
enum Progress {
    Running,
    Done,
    Stopped,
    Failed(String),
}

/// Ends the attempts that are over and renews the leases of those that run.
async fn follow(entry: &Arc<Entry>, duty: &mut Duty, now: Millis) {
    let renew = GANG_RENEW_EVERY <= now.since(duty.gangs_renewed);
    if renew {
        duty.gangs_renewed = now;
    }
    for attempt in duty.runs.values().cloned().collect::<Vec<_>>() {
        let event = match progress(entry, &attempt) {
            Progress::Running if renew => {
                let entry = entry.clone();
                tokio::spawn(async move { launch::renew(&entry, &attempt).await });
                continue;
            }
            Progress::Running => continue,
            Progress::Done => settle(entry, &attempt, State::Done, "").await,
            Progress::Failed(reason) => {
                let _ = launch::stop(entry, &attempt, Duration::ZERO, &reason).await;
                settle(entry, &attempt, State::Failed, &reason).await
            }
            Progress::Stopped => settle(entry, &attempt, State::Waiting, "").await,
        };
        if let Some(event) = event {
            duty.runs.remove(&attempt.job);
            duty.planner.apply(now, event);
        }
    }
}

fn progress(entry: &Entry, attempt: &Attempt) -> Progress {
    let core = entry.core();
    let mut done = 0;
    let mut stopped = 0;
    for (index, seat) in attempt.seats.iter().enumerate() {
        let Some(member) = core.members.find(&seat.worker) else {
            return Progress::Failed(format!("worker {} is gone", seat.worker));
        };
        let task = member.frame.tasks.iter().find(|task| {
            task.job == attempt.job.as_str()
                && task.attempt == attempt.number
                && task.member as usize == index
        });
        match task.map(|task| task.phase) {
            Some(Phase::Done) => done += 1,
            Some(Phase::Stopped) => stopped += 1,
            Some(Phase::Failed) => {
                return Progress::Failed(task.map(|task| task.result.clone()).unwrap_or_default());
            }
            _ => {}
        }
    }
    match attempt.seats.len() {
        all if done == all => Progress::Done,
        all if done + stopped == all => Progress::Stopped,
        _ => Progress::Running,
    }
}

/// Records how an attempt ended and returns what the planner is told; `None` to try again.
async fn settle(entry: &Entry, attempt: &Attempt, state: State, reason: &str) -> Option<Event> {
    let key = format!("{JOBS_PREFIX}{}", attempt.job);
    let item: store::Item = entry.store.load(&key).await.ok()??;
    let mut record: Record = codec::from_json(&item.value).ok()?;
    if record.attempt == attempt.number && record.state == State::Running {
        record.state = state;
        record.reason = reason.to_owned();
        if state == State::Waiting {
            record.seats.clear();
        } else {
            record.ended_ms = clock::wall_ms();
            record.result = format!("result-of-{}/{}", attempt.job, attempt.number);
        }
        let bytes = codec::to_json(&record).ok()?;
        let Swap::Done(_) = entry.store.swap(&key, item.version, &bytes, 0).await.ok()? else {
            return None;
        };
        log::info!("event=job-settled job={} state={state}", attempt.job);
    }
    let job = attempt.job.clone();
    Some(match state {
        State::Waiting => Event::Stopped { job, attempt: attempt.number },
        _ => Event::Ended { job },
    })
}

async fn carry_out(entry: &Arc<Entry>, duty: &mut Duty, action: Action) {
    match action {
        Action::Start { job, attempt, seats, alternatives } => {
            let workers: Vec<&str> = seats.iter().map(|seat| seat.worker.as_str()).collect();
            log::info!(
                "event=place job={job} attempt={attempt} workers={} alternatives={alternatives} \
                 revision={}",
                workers.join(","),
                duty.planner.tables().revision
            );
            let attempt = Attempt { epoch: duty.epoch, job, number: attempt, seats };
            let (entry, events) = (entry.clone(), duty.events.clone());
            duty.runs.insert(attempt.job.clone(), attempt.clone());
            tokio::spawn(async move {
                let _ = events.send(begin(&entry, attempt).await);
            });
        }
        Action::Stop { job, attempt, notice, cause } => {
            log::info!("event=stop job={job} attempt={attempt} cause=\"{cause:?}\"");
            let Some(run) = duty.runs.get(&job).cloned() else { return };
            let entry = entry.clone();
            tokio::spawn(async move {
                let _ = launch::stop(&entry, &run, notice, &format!("{cause:?}")).await;
            });
        }
        Action::Refuse { job, reason } => log::info!("event=refuse job={job} reason=\"{reason}\""),
        Action::Unmet { account, guarantee, reason } => log::warn!(
            "event=guarantee-unmet account={account} guarantee={guarantee} reason=\"{reason}\""
        ),
    }
}

/// Starts an attempt and returns what the planner is told.
async fn begin(entry: &Arc<Entry>, attempt: Attempt) -> Event {
    let (job, number) = (attempt.job.clone(), attempt.number);
    match launch::start(entry, &attempt).await {
        Ok(_) => Event::Started { job, attempt: number },
        Err(failure) => {
            log::warn!("event=launch-failed job={job} attempt={number} cause=\"{failure:?}\"");
            let _ = launch::stop(entry, &attempt, Duration::ZERO, "launch failed").await;
            let worker = match failure {
                Failure::Agent(worker, _) => Some(worker),
                Failure::Record(_) => None,
            };
            Event::Aborted { job, attempt: number, worker }
        }
    }
}
