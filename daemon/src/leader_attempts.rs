//! Handles the jobs' attempts in the planner's ticks: inherits, submits, watches, starts and stops
//! them.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang_watch::Event as WatchEvent;
use lavendergauge_lib::gang_watch::Order;
use lavendergauge_lib::launch::Outcome;
use lavendergauge_lib::lifecycle::Change;
use lavendergauge_lib::lifecycle::Repeat;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Cause;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::shape::Assignments;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;

use crate::entry::Entry;
use crate::launch;
use crate::launch::Agent;
use crate::launch::Attempt;
use crate::leader::Leadership;
use crate::leader_records;
use crate::leader_run;
use crate::leader_run::RecordUpdate;
use crate::leader_run::Run;
use crate::leader_run::Stage;
use crate::leader_sync::Update;
use crate::record;
use crate::record::Changed;

/// Time in which the members of an inherited launch must announce that they run, before it is
/// undone.
const INHERIT_LIMIT: Duration = Duration::from_millis(2500);
/// Pause before an end is recorded again after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which ended members and unexpected tasks are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Takes over the live attempts on record that this planner does not watch yet, and undoes launches
/// that did not finish.
pub fn inherit(entry: &Arc<Entry>, leadership: &mut Leadership, now: Millis) {
    let unwatched: Vec<Record> = leadership
        .records
        .iter()
        .filter(|(name, record)| {
            let is_live =
                matches!(record.state, State::Starting | State::Running | State::Stopping);
            is_live && !leadership.runs.contains_key(*name)
        })
        .map(|(_, record)| record.clone())
        .collect();
    for record in unwatched {
        fail::fail_point!("duty-inherit", |_| ());
        let run = Run::inherit(entry, leadership.epoch, &record);
        leadership.runs.insert(Name::from(&record.id), run);
    }
    let inherited: Vec<Name> = leadership
        .runs
        .iter()
        .filter(|(_, run)| matches!(run.stage, Stage::Inherited))
        .map(|(name, _)| name.clone())
        .collect();
    for name in inherited {
        let Some(run) = leadership.runs.get_mut(&name) else { continue };
        if run.has_all_members(&entry.core()) {
            run.watch(now);
            record_running(entry, leadership, &name);
        } else if INHERIT_LIMIT <= now.since(run.since()) {
            run.stage = Stage::Launching;
            let (entry, attempt) = (entry.clone(), run.attempt.clone());
            let updates = leadership.updates.clone();
            leadership.launches.spawn(async move {
                let outcome = launch::undo(&entry, &attempt).await;
                let _ = updates.send(Update::Launched(attempt, outcome));
            });
        }
    }
}

/// Tells whether the outcome of an earlier planner's launch is still open.
pub fn is_inheriting(leadership: &Leadership) -> bool {
    leadership.runs.values().any(|run| matches!(run.stage, Stage::Inherited))
}

fn record_running(entry: &Arc<Entry>, leadership: &Leadership, job: &Name) {
    let Some(run) = leadership.runs.get(job) else { return };
    let change = Change::Launched(run.attempt.number);
    leader_run::write_update(
        entry,
        &leadership.updates,
        job,
        RecordUpdate::of_launch(change, None),
    );
}

/// Submits new jobs to the planner, marks runs of cancelled jobs to be stopped, and removes ended
/// jobs.
pub fn submit(entry: &Entry, leadership: &mut Leadership, now: Millis) {
    let mut new_jobs = Vec::new();
    for (name, record) in leadership.records.iter() {
        if record.state == State::Stopping
            && let Some(run) = leadership.runs.get_mut(name)
            && run.stop.is_none()
        {
            run.stop = Some((Duration::ZERO, record.reason.clone()));
        }
        if leadership.planner.tables().revision == 0 || leadership.records.submitted.contains(name)
        {
            continue;
        }
        let assignments = match leadership.runs.get(name) {
            Some(run) if are_workers_known(entry, &run.attempt.assignments) => {
                run.attempt.assignments.clone()
            }
            None if record.state == State::Waiting => Assignments::new(),
            _ => continue,
        };
        new_jobs.push((
            record.submitted_ms,
            name.clone(),
            leader_records::to_submission(record, assignments),
        ));
    }
    new_jobs.sort_by_key(|(submitted_ms, ..)| *submitted_ms);
    for (_, name, submission) in new_jobs {
        leadership.planner.apply(now, Event::Submit(submission));
        leadership.records.submitted.insert(name);
    }
    let ended: Vec<Name> = leadership
        .records
        .submitted
        .iter()
        .filter(|name| !leadership.runs.contains_key(*name))
        .filter(|name| {
            leadership
                .records
                .find(name)
                .is_some_and(|record| record::from_wire(record.state).is_final())
        })
        .cloned()
        .collect();
    for job in ended {
        remove_job(leadership, &job, now);
    }
    leadership.records.remove_ended();
}

fn are_workers_known(entry: &Entry, assignments: &Assignments) -> bool {
    let core = entry.core();
    assignments.iter().all(|assignment| core.workers.find(&assignment.worker).is_some())
}

fn remove_job(leadership: &mut Leadership, job: &Name, now: Millis) {
    leadership.runs.remove(job);
    leadership.records.submitted.remove(job);
    leadership.planner.apply(now, Event::Ended { job: job.clone() });
}

/// Observes the members of every run, stops a run that breaks or is to stop, and records the end of
/// a run that has ended.
pub fn watch_runs(entry: &Arc<Entry>, leadership: &mut Leadership, now: Millis) {
    let names: Vec<Name> = leadership.runs.keys().cloned().collect();
    for name in names {
        let failures = leadership.records.find(&name).map_or(0, |record| record.failures);
        let Some(run) = leadership.runs.get_mut(&name) else { continue };
        let observations = run.observe(&entry.core(), now);
        match &mut run.stage {
            Stage::Watching(machine) => {
                let mut orders = Vec::new();
                if let Some((notice, _)) = run.stop.as_mut().filter(|_| !run.is_stop_sent) {
                    orders.extend(machine.handle(now, &WatchEvent::Stop(*notice)));
                    run.is_stop_sent = true;
                }
                orders.extend(machine.handle(now, &WatchEvent::Observe(&observations)));
                for order in orders {
                    carry_out_order(entry, leadership, &name, order, failures);
                }
            }
            Stage::Recording { record_update, failed_at: Some(failed_at) }
                if RETRY_PAUSE <= now.since(*failed_at) =>
            {
                let record_update = record_update.clone();
                start_recording(entry, leadership, &name, record_update);
            }
            _ => {}
        }
    }
}

fn carry_out_order(
    entry: &Arc<Entry>,
    leadership: &mut Leadership,
    job: &Name,
    order: Order,
    failures: u32,
) {
    let Some(run) = leadership.runs.get(job) else { return };
    match order {
        Order::Stop(notice) => {
            let reason = run.stop.as_ref().map(|(_, reason)| reason.clone()).unwrap_or_default();
            log::info!(
                "event=stop job={job} attempt={} notice_ms={} cause=\"{reason}\"",
                run.attempt.number,
                notice.as_millis()
            );
            tokio::spawn(launch::stop(entry.clone(), run.attempt.clone(), notice, reason));
        }
        Order::End(end) => {
            let record_update = run.record_update(end, failures);
            start_recording(entry, leadership, job, record_update);
        }
    }
}

fn start_recording(
    entry: &Arc<Entry>,
    leadership: &mut Leadership,
    job: &Name,
    record_update: RecordUpdate,
) {
    leader_run::write_update(entry, &leadership.updates, job, record_update.clone());
    if let Some(run) = leadership.runs.get_mut(job) {
        run.stage = Stage::Recording { record_update, failed_at: None };
    }
}

/// Applies the outcome of a launch, or of its undoing.
pub fn apply_launch_outcome(
    entry: &Arc<Entry>,
    leadership: &mut Leadership,
    attempt: &Arc<Attempt>,
    outcome: Outcome,
    now: Millis,
) {
    let (job, number) = (attempt.job.clone(), attempt.number);
    let Some(run) = leadership.runs.get_mut(&job).filter(|run| run.attempt.number == number) else {
        return;
    };
    log::info!("event=launched job={job} attempt={number} outcome=\"{outcome:?}\"");
    let worker = |member: Option<usize>| {
        member
            .and_then(|member| attempt.assignments.get(member))
            .map(|assignment| assignment.worker.clone())
    };
    let record_update = match outcome {
        Outcome::Running => {
            run.watch(now);
            leadership.planner.apply(now, Event::Started { job: job.clone(), attempt: number });
            record_running(entry, leadership, &job);
            return;
        }
        Outcome::Withdrawn(member) => {
            RecordUpdate::of_launch(Change::Withdraw(number), worker(member))
        }
        Outcome::Doubt(member) => {
            let repeat = leader_run::repeat(&attempt.spec);
            RecordUpdate::of_launch(Change::Lose(number, repeat), worker(member))
        }
    };
    start_recording(entry, leadership, &job, record_update);
}

/// Applies the result of a change to a record; `None` when the store gave no answer.
pub fn apply_record_change(
    leadership: &mut Leadership,
    job: &Name,
    changed: Option<Changed>,
    now: Millis,
) {
    let record = match changed {
        Some(Changed::Done(record, version) | Changed::Refused(record, version)) => {
            leadership.records.put(record.clone(), version);
            record
        }
        Some(Changed::Gone) => return remove_job(leadership, job, now),
        None => {
            let run = leadership.runs.get_mut(job);
            if let Some(Stage::Recording { failed_at, .. }) = run.map(|run| &mut run.stage) {
                *failed_at = Some(now);
            }
            return;
        }
    };
    let Some(run) = leadership.runs.get(job) else { return };
    let Stage::Recording { record_update, .. } = &run.stage else { return };
    let (attempt, faulty_worker) = (run.attempt.number, record_update.faulty_worker.clone());
    let (is_withdrawn, is_failure) =
        (matches!(record_update.change, Change::Withdraw(_)), record_update.is_failure);
    log::info!("event=job-settled job={job} attempt={attempt} state={}", record.state);
    if record.state != State::Waiting {
        return remove_job(leadership, job, now);
    }
    leadership.runs.remove(job);
    let job = job.clone();
    if is_withdrawn {
        leadership.planner.apply(now, Event::Aborted { job, attempt, worker: faulty_worker });
        return;
    }
    if let Some(worker) = faulty_worker.filter(|_| is_failure) {
        leadership.planner.apply(now, Event::Failed { job: job.clone(), attempt, worker });
    }
    leadership.planner.apply(now, Event::Stopped { job, attempt });
}

/// Carries out one decision of the planner.
pub fn carry_out(entry: &Arc<Entry>, leadership: &mut Leadership, action: Action) {
    match action {
        Action::Start { job, attempt, assignments, alternatives } => {
            let workers: Vec<&str> =
                assignments.iter().map(|assignment| assignment.worker.as_str()).collect();
            log::info!(
                "event=place job={job} attempt={attempt} workers={} alternatives={alternatives} \
                 revision={}",
                workers.join(","),
                leadership.planner.tables().revision
            );
            start_attempt(entry, leadership, job, attempt, assignments);
        }
        Action::Stop { job, attempt, notice, cause } => {
            log::info!("event=stop-decided job={job} attempt={attempt} cause=\"{cause:?}\"");
            let Some(run) = leadership.runs.get_mut(&job).filter(|run| run.stop.is_none()) else {
                return;
            };
            // A job that must not run again would be lost by a move that its owner has not asked
            // for.
            let is_move = matches!(cause, Cause::DataCentreOut(_) | Cause::WorkerLeaving(_));
            if is_move && leader_run::repeat(&run.attempt.spec) == Repeat::Never {
                log::info!("event=stop-waived job={job} attempt={attempt}");
                return;
            }
            let notice = if run.attempt.spec.checkpoints { notice } else { Duration::ZERO };
            run.stop = Some((notice, format!("{cause:?}")));
        }
        Action::Refuse { job, reason } | Action::Fail { job, reason } => {
            log::info!("event=refuse job={job} reason=\"{reason}\"");
            let record_update =
                RecordUpdate { reason, ..RecordUpdate::of_launch(Change::Refuse, None) };
            leader_run::write_update(entry, &leadership.updates, &job, record_update);
        }
        Action::Stranded { job, reason } => {
            log::info!("event=stranded job={job} reason=\"{reason}\"");
        }
        Action::Throttle { job, attempt, worker, processors, memory_mb } => log::info!(
            "event=throttle job={job} attempt={attempt} worker={worker} processors={processors} \
             memory_mb={memory_mb}"
        ),
        Action::Met { account, guarantee } => {
            log::info!("event=guarantee-met account={account} guarantee={guarantee}");
        }
        Action::Unmet { account, guarantee, reason } => log::warn!(
            "event=guarantee-unmet account={account} guarantee={guarantee} reason=\"{reason}\""
        ),
    }
}

fn start_attempt(
    entry: &Arc<Entry>,
    leadership: &mut Leadership,
    job: Name,
    number: u32,
    assignments: Assignments,
) {
    let Some(record) = leadership.records.find(&job) else { return };
    let attempt = Arc::new(Attempt {
        epoch: leadership.epoch,
        job: job.clone(),
        number,
        spec: record.spec.clone(),
        checkpoints: record.checkpoints.clone(),
        agents: launch::find_agents(entry, &assignments),
        assignments,
    });
    leadership.runs.insert(job, Run::new(attempt.clone(), Stage::Launching));
    let (entry, updates) = (entry.clone(), leadership.updates.clone());
    leadership.launches.spawn(async move {
        let outcome = launch::start(&entry, &attempt).await;
        let _ = updates.send(Update::Launched(attempt, outcome));
    });
}

/// Lists the attempts whose members agents may forget, since their end is on record, and stops
/// members that still run after the recorded end of their attempt.
pub fn clean_up(entry: &Arc<Entry>, leadership: &mut Leadership, now: Millis) {
    if now.since(leadership.last_cleanup) < CLEANUP_INTERVAL {
        return;
    }
    leadership.last_cleanup = now;
    let mut core = entry.core();
    let mut recorded_ends = std::mem::take(&mut core.recorded_ends);
    recorded_ends.clear();
    for worker in core.workers.iter() {
        for task in &worker.frame.tasks {
            let job = Name::from(&task.job);
            let is_watched =
                leadership.runs.get(&job).is_some_and(|run| run.attempt.number == task.attempt);
            if is_watched || !leadership.records.is_end_recorded(&job, task.attempt) {
                continue;
            }
            if task.phase != Phase::Running {
                recorded_ends.insert((job, task.attempt));
                continue;
            }
            log::warn!("event=task-stray job={job} attempt={} is stopped", task.attempt);
            let agent = Agent {
                worker: Name::from(&worker.frame.worker),
                address: worker.frame.address.clone(),
                incarnation: worker.frame.incarnation,
            };
            let attempt =
                Attempt::for_stray_member(leadership.epoch, job, task.attempt, task.member, agent);
            tokio::spawn(launch::stop_member(entry.clone(), attempt, task.member as usize));
        }
    }
    core.recorded_ends = recorded_ends;
}
