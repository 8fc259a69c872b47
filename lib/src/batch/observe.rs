//! Applies the reports of agents.

use std::time::Duration;

use crate::batch::change::Change;
use crate::batch::ending;
use crate::batch::gang;
use crate::batch::hold;
use crate::batch::learned;
use crate::batch::omission;
use crate::batch::report::List;
use crate::batch::report::Report;
use crate::batch::run_time;
use crate::batch::speed;
use crate::batch::strike;
use crate::batch::table;
use crate::batch::table::Phase;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::key;
use crate::resource::Resources;

/// Most earlier processes of an agent whose late reports are recognised.
const MAX_EARLIER_SESSIONS: usize = 4;

/// Applies a report that was received at `now` under this planner's fencing token.
///
/// Returns the changes; the run of a [`Change::Unexpected`] has to be stopped. A report that a newer one
/// of the agent has overtaken changes nothing.
pub fn apply_report(tables: &mut Tables, now: Millis, fence: u64, report: &Report) -> Vec<Change> {
    let mut changes = Vec::new();
    let inherited_bound = tables.took_over + table::takeover_bound();
    let key = tables.worker_at(&report.node, inherited_bound);
    if is_overtaken(&tables.workers[key], report) {
        return changes;
    }
    strike::apply_crashes(tables, now, key, report, &mut changes);
    apply_announcement(tables, now, key, report, &mut changes);
    if report.ended_incarnation != 0 || !report.ended_incarnations.is_empty() {
        // A run that was not listed yet may be on the next incarnation, see `carry_over`.
        let has_ended =
            |run: &table::Run| report.has_ended(run.incarnation) && run.seen_at.is_some();
        end_runs_where(tables, now, key, &mut changes, "worker has ended", has_ended);
    }
    let worker = &mut tables.workers[key];
    let has_new_session = worker.session != report.session;
    worker.agent_clock = report.clock;
    worker.clock_read = now;
    worker.is_responsive = report.is_worker_responsive;
    tables.crashes.record_answer(key, report.is_worker_responsive);
    worker.is_reachable = !report.is_stopping;
    worker.epoch = worker.epoch.max(report.epoch);
    let before = std::mem::replace(&mut worker.session, report.session);
    if has_new_session && before != 0 {
        if worker.earlier_sessions.len() == MAX_EARLIER_SESSIONS {
            worker.earlier_sessions.remove(0);
        }
        worker.earlier_sessions.push(before);
    }
    tables.changed_workers.insert(key);
    let worker = &mut tables.workers[key];
    if has_new_session {
        worker.grant_until = 0;
        restart_clock(tables, key);
    }
    let stale_lease = report.stale_lease_until.saturating_sub(report.clock);
    let stale_lease_until = now + Duration::from_millis(stale_lease);
    let worker = &mut tables.workers[key];
    if stale_lease != 0 {
        worker.lease_until = worker.lease_until.max(stale_lease_until);
    }
    let worker = &tables.workers[key];
    let is_partial = report.list.is_none();
    let Some(list) = report.list.as_ref().or(report.partial_list.as_ref()) else { return changes };
    if list.fence != fence || list.incarnation != worker.incarnation {
        return changes;
    }
    let worker = &mut tables.workers[key];
    // A grant counts from the time at which the list was requested, by the agent's clock. By the
    // planner's clock, that time is at least `age` before the report was received.
    let age = report.clock.saturating_sub(list.sent_at);
    let requested_at = Millis(now.0.saturating_sub(age));
    let bound = requested_at + table::grant_bound();
    // Grants of an earlier planner count from earlier requests, so they expire before this bound.
    // Until the first list, their own bound is not known.
    worker.lease_until =
        if worker.last_answer.is_none() { bound } else { worker.lease_until.max(bound) };
    worker.lease_until = worker.lease_until.max(stale_lease_until);
    worker.last_answer = Some(requested_at);
    worker.grant_until = list.sent_at.saturating_add(table::GRANT.as_millis() as u64);
    worker.has_partial_list = is_partial;
    ending::apply(tables, now, key, list, &mut changes);
    apply_running(tables, now, key, list, &mut changes);
    if list.received_at != 0 {
        let age = report.clock.saturating_sub(list.received_at);
        speed::observe_progress(tables, key, Millis(now.0.saturating_sub(age)));
    }
    omission::end_missing_runs(tables, now, key, list, &mut changes);
    changes
}

/// Tells whether a newer report of the agent was applied before.
///
/// An agent is polled at two addresses while it moves, so that reports may overtake each other.
fn is_overtaken(worker: &table::Worker, report: &Report) -> bool {
    let is_earlier = worker.session == report.session && report.clock < worker.agent_clock;
    is_earlier || worker.earlier_sessions.contains(&report.session)
}

/// Records that an agent did not answer: its worker gets no new work until the next report. What
/// runs there continues under its grant.
pub fn mark_unreachable(tables: &mut Tables, node: &str) {
    if let Some(key) = tables.nodes.get(node) {
        tables.workers[*key].is_reachable = false;
    }
}

/// Discards times by the clock of an agent's earlier process.
fn restart_clock(tables: &mut Tables, key: key::Worker) {
    for run_key in &tables.workers[key].runs {
        if let Some(run) = tables.runs.get_mut(*run_key)
            && run.settled_at.is_some()
        {
            run.settled_at = Some(0);
        }
    }
}

fn apply_announcement(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    report: &Report,
    changes: &mut Vec<Change>,
) {
    let worker = &mut tables.workers[key];
    let Some(announcement) = &report.worker else {
        if worker.ready {
            worker.ready = false;
            changes.push(Change::Leaving(worker.id.clone()));
        }
        return;
    };
    let has_new_incarnation = worker.incarnation != announcement.incarnation;
    if has_new_incarnation {
        worker.newest_end_seen = 0;
        worker.last_readable_end = None;
        worker.acknowledged = 0;
        worker.unrecorded.clear();
        worker.health = Default::default();
        worker.trust = Default::default();
        worker.paused_until = Millis(0);
        worker.refusals = 0;
        worker.last_answer = None;
        worker.stray = Resources::default();
        speed::forget(&mut tables.paces, key, &mut worker.speed);
        changes.push(Change::Joined(announcement.id.clone()));
    } else if worker.ready && !announcement.ready {
        changes.push(Change::Leaving(announcement.id.clone()));
    }
    worker.id = announcement.id.clone();
    worker.incarnation = announcement.incarnation;
    worker.service = announcement.service.clone();
    worker.data_centre = announcement.data_centre.clone();
    worker.rack = announcement.rack.clone();
    worker.labels = announcement.labels.clone();
    let before = std::mem::replace(&mut worker.capacity, announcement.capacity());
    if !has_new_incarnation && before != worker.capacity {
        changes.push(Change::Resized {
            node: worker.node.clone(),
            before,
            after: worker.capacity,
            is_overcommitted: worker.is_overcommitted(),
        });
    }
    if worker.ready || has_new_incarnation {
        worker.leaves_at = None;
    }
    worker.ready = announcement.ready;
    if !announcement.ready && worker.leaves_at.is_none() {
        worker.leaves_at = Some(now + Duration::from_millis(announcement.leaves_ms));
    }
    if has_new_incarnation {
        let incarnation = announcement.incarnation;
        let ended = |run: &table::Run| run.incarnation != incarnation && run.seen_at.is_some();
        end_runs_where(tables, now, key, changes, "worker restarted", ended);
        carry_over(tables, key, incarnation);
    }
    if !tables.learned.is_empty() {
        learned::settle(tables, now, key, changes);
    }
}

/// Moves runs that no worker has listed yet to the next incarnation of their worker.
///
/// A start order reaches whichever incarnation runs at the worker's address, and the agent may
/// notice a restart only after the order arrived. The next list shows whether the run exists.
fn carry_over(tables: &mut Tables, key: key::Worker, incarnation: u64) {
    for run_key in tables.workers[key].runs.clone() {
        let Some(run) = tables.runs.get_mut(run_key) else { continue };
        if run.phase == Phase::Planned || run.incarnation == incarnation {
            continue;
        }
        run.incarnation = incarnation;
        if matches!(run.phase, Phase::Stopping(_)) {
            run.is_stop_acknowledged = false;
            run.settled_at = None;
            run.ordered = None;
            tables.unsent.insert(run_key);
        }
    }
    tables.recount(key);
}

/// Ends every run on a worker that a predicate selects, except planned ones.
pub fn end_runs_where(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    changes: &mut Vec<Change>,
    cause: &'static str,
    pick: impl Fn(&table::Run) -> bool,
) {
    for run_key in tables.workers[key].runs.clone() {
        let Some(run) = tables.runs.get(run_key) else { continue };
        if run.phase == Phase::Planned || !pick(run) {
            continue;
        }
        let task = run.task;
        changes.push(Change::Lost(task, run.number, cause));
        if let Some(run) = tables.remove_run(run_key) {
            run_time::observe_stopped(tables, now, run_key, &run);
        }
        tables.touch(task.instance.job);
        gang::break_up(tables, task);
    }
}

fn apply_running(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    list: &List,
    changes: &mut Vec<Change>,
) {
    let reported_at = tables.workers[key].last_answer.unwrap_or_default();
    let mut stray = Resources::default();
    for row in &list.running {
        let task_state = tables.task_state(row.task);
        let live = task_state.and_then(|task_state| task_state.live);
        let is_suspected = task_state.is_some_and(strike::is_suspected);
        let newest_run = task_state.map_or(u32::MAX, |task_state| task_state.run);
        if task_state.is_some() && row.run <= newest_run {
            tables.note_started(row.task.instance.job);
        }
        let found = live.and_then(|live| tables.runs.get_mut(live)).filter(|run| {
            run.number == row.run && run.worker == key && run.incarnation == list.incarnation
        });
        let Some(run) = found else {
            if let Some(step) = tables.step(row.task.instance) {
                stray = stray.plus(step.resources());
            }
            if hold::is_held(tables, row.task.instance.job) {
                continue;
            }
            // A stop of a run that was never ordered would forbid the ones that are still to come.
            changes.push(if row.run <= newest_run {
                Change::Unexpected(row.task, row.run)
            } else {
                Change::NeverOrdered(row.task, row.run)
            });
            continue;
        };
        if matches!(run.phase, Phase::Launching) {
            run.phase = Phase::Running;
            run.ordered = None;
        }
        if run.settled_at.is_none() && run.phase == Phase::Running {
            run.settled_at = Some(list.sent_at);
        }
        if run.seen_at.is_none() {
            run.seen_at = Some(now);
            run.progressed_at = now;
            run.first_percent = row.percent;
            run.percent = row.percent;
            changes.push(Change::Began(row.task, row.run));
            tables.workers[key].refusals = 0;
        }
        run.measure = row.measure;
        let mut has_progressed = false;
        if run.percent < row.percent {
            run.percent = row.percent;
            run.progressed_at = now;
            has_progressed = true;
        }
        tables.workers[key].trust.observe_run(run, reported_at);
        let seen_at = run.seen_at;
        if is_suspected
            && let Some(task_state) = tables.task_state_mut(row.task)
            && strike::clear(task_state, seen_at, reported_at)
        {
            changes.push(Change::Cleared(row.task, row.run));
            tables.touch(row.task.instance.job);
        }
        if let Some(live) = live.filter(|_| has_progressed) {
            run_time::observe_progress(tables, now, live);
        }
        if row.checkpoint.is_empty() {
            continue;
        }
        if let Some(task_state) = tables.task_state_mut(row.task)
            && task_state.checkpoint != row.checkpoint
        {
            task_state.checkpoint.clone_from(&row.checkpoint);
            gang::share_checkpoint(tables, row.task);
        }
    }
    tables.workers[key].stray = stray;
}
