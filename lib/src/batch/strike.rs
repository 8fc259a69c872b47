//! Decides which tasks crash their workers, from the crashes that agents report.
//!
//! A crash is a strike against each task that had just started on the worker. Sound tasks that had
//! started beside the one at fault, and those on workers that crash for other reasons, get strikes
//! too. A task with strikes is therefore started again in [`quarantine`](crate::batch::quarantine),
//! where it loses them by staying at work for [`PROBATION`], while another crash shows that it is at
//! fault. A crash also counts, without a strike, against the tasks that had worked there for longer,
//! until another task turns out to be its cause. See docs/design/crashes.md.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::batch::change::Change;
use crate::batch::crash;
use crate::batch::crash::Crash;
use crate::batch::crash::PROBATION;
use crate::batch::job::Id;
use crate::batch::job::Step;
use crate::batch::job::Task;
use crate::batch::progress::Outcome;
use crate::batch::report::Report;
use crate::batch::table::Tables;
use crate::batch::table::TaskState;
use crate::clock::Millis;
use crate::key;

/// Strikes from which a task is given up, if workers have certainly crashed under it.
const MAX_STRIKES: u32 = 3;
/// Number of crashes under runs that certainly existed from which strikes count.
const MIN_CONFIRMED: u32 = 2;
/// Crashes that a task may have caused from which it is given up whatever its strikes. After three
/// crashes it may be started twice more, and one start may precede the report of the crash before it.
const MAX_CRASHES: u32 = 4;
/// Time for which a crash makes a worker's next one less conclusive.
const UNSTABLE: Duration = Duration::from_secs(10);
/// Number of crashes within [`UNSTABLE`] from which a worker counts as unstable.
const UNSTABLE_COUNT: usize = 2;
/// Longest time between the last signs of life of two workers that crash for a common cause: they are
/// listed at least every 500 ms.
const COINCIDENCE: Duration = Duration::from_secs(1);
/// Number of workers that crash at a time from which no task is the cause.
const COMMON_CAUSE_WORKERS: usize = 3;
/// Time for which a crash is remembered. Workers that crash together may return seconds apart.
const MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of a worker's incarnations whose crashes are remembered as applied; more than an
/// agent reports.
const MAX_CRASHED: usize = 8;
/// Maximum number of crashes that are remembered.
const MAX_INCIDENTS: usize = 64;

/// An earlier crash of a worker.
#[value]
struct Incident {
    worker: key::Worker,
    /// When the worker's agent noticed it.
    at: Millis,
    /// When the worker was last known to be up.
    last_up: Millis,
    /// Jobs of which tasks had just started there.
    suspects: SmallVec<[Id; 2]>,
    /// Tasks that had worked there for longer and against which the crash was counted.
    counted: SmallVec<[Task; 4]>,
}

impl Incident {
    fn new(now: Millis, worker: key::Worker, report: &Report, crash: &Crash) -> Incident {
        let to_own_clock = |at: u64| Millis(now.0.saturating_sub(report.clock.saturating_sub(at)));
        let mut suspects: SmallVec<[Id; 2]> = crash
            .runs
            .iter()
            .filter(|run| run.has_just_started())
            .map(|run| run.task.instance.job)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        Incident {
            worker,
            at: to_own_clock(crash.noticed_at),
            last_up: to_own_clock(crash.last_up_at),
            suspects,
            counted: SmallVec::new(),
        }
    }

    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at) < UNSTABLE
    }

    /// Tells whether no task had just started on the worker, so that it crashed by itself.
    fn is_unexplained(&self) -> bool {
        self.suspects.is_empty()
    }
}

/// What the recent crashes on all workers show.
#[row]
#[derive(Default)]
pub struct State {
    /// The newest crashes, in the order of the reports.
    incidents: VecDeque<Incident>,
    /// Workers that do not answer their agents.
    silent: BTreeSet<key::Worker>,
}

impl State {
    /// Tells whether a worker has crashed within the last seconds.
    pub(super) fn has_crashed(&self, worker: key::Worker, now: Millis) -> bool {
        self.recent_on(worker, now).next().is_some()
    }

    /// Records whether a worker answers its agent.
    pub(super) fn record_answer(&mut self, worker: key::Worker, answers: bool) {
        if answers {
            self.silent.remove(&worker);
        } else {
            self.silent.insert(worker);
        }
    }

    /// Returns the workers that do not answer their agents.
    pub fn silent(&self) -> &BTreeSet<key::Worker> {
        &self.silent
    }

    fn recent_on(&self, worker: key::Worker, now: Millis) -> impl Iterator<Item = &Incident> {
        self.incidents
            .iter()
            .filter(move |incident| incident.worker == worker && incident.is_recent(now))
    }

    fn remember(&mut self, now: Millis, incident: Incident) {
        self.incidents.retain(|earlier| now.since(earlier.at) < MEMORY);
        if self.incidents.len() == MAX_INCIDENTS {
            self.incidents.pop_front();
        }
        self.incidents.push_back(incident);
    }
}

/// Tells whether a task has crashed so many workers that it is given up.
///
/// ```
/// use lavendergauge_lib::batch::job::Step;
/// use lavendergauge_lib::batch::progress::Crashes;
/// use lavendergauge_lib::batch::strike;
/// use lavendergauge_lib::batch::table::TaskState;
/// let crashes = Crashes { count: 2, strikes: 3, run: 2, unconfirmed: 0 };
/// let task_state = TaskState { crashes, ..TaskState::default() };
/// assert!(strike::is_at_fault(&task_state, &Step::default()));
/// let crashes = Crashes { unconfirmed: 1, ..crashes };
/// let task_state = TaskState { crashes, ..TaskState::default() };
/// assert!(!strike::is_at_fault(&task_state, &Step::default()));
/// ```
pub fn is_at_fault(task_state: &TaskState, step: &Step) -> bool {
    let crashes = &task_state.crashes;
    let is_struck = MAX_STRIKES <= crashes.strikes && MIN_CONFIRMED <= crashes.confirmed();
    // A task that runs until it is cancelled sees workers crash for other reasons in time.
    is_struck || (MAX_CRASHES <= crashes.count && !step.long_running)
}

/// Tells whether a task may crash its worker.
pub(super) fn is_suspected(task_state: &TaskState) -> bool {
    task_state.crashes.strikes != 0
}

/// Applies the crashes in a report that were not reported before.
pub(super) fn apply_crashes(
    tables: &mut Tables,
    now: Millis,
    key: key::Worker,
    report: &Report,
    changes: &mut Vec<Change>,
) {
    for crash in &report.crashes {
        let worker = &mut tables.workers[key];
        if worker.crashed_incarnations.contains(&crash.incarnation) {
            continue;
        }
        if worker.crashed_incarnations.len() == MAX_CRASHED {
            worker.crashed_incarnations.remove(0);
        }
        worker.crashed_incarnations.push(crash.incarnation);
        let node = worker.node.clone();
        let mut incident = Incident::new(now, key, report, crash);
        let runs = one_for_each_task(crash);
        let evidence = evidence(tables, &incident);
        let suspects = runs.iter().filter(|run| run.has_just_started());
        changes.push(Change::Crashed {
            node,
            incarnation: crash.incarnation,
            runs: crash.runs.len(),
            suspects: suspects.map(|run| (run.task, run.number)).collect(),
            evidence,
        });
        for run in runs {
            if record_crash(tables, now, run, evidence) && !run.has_just_started() {
                incident.counted.push(run.task);
            }
        }
        tables.crashes.remember(now, incident);
    }
}

/// Returns the most certain run of each task.
///
/// A task has several if answers to its starts were lost, but the crash counts once against it.
fn one_for_each_task(crash: &Crash) -> Vec<&crash::Run> {
    let mut by_task: BTreeMap<Task, &crash::Run> = BTreeMap::new();
    for run in &crash.runs {
        let rank = |run: &crash::Run| (run.is_confirmed, run.number);
        let known = by_task.entry(run.task).or_insert(run);
        if rank(known) < rank(run) {
            *known = run;
        }
    }
    by_task.into_values().collect()
}

/// What a crash shows about the tasks that had just started on the worker.
#[token]
pub enum Evidence {
    /// The worker crashes for reasons of its own, or many crash for a common one.
    None,
    /// Tasks of several jobs had just started, or another worker crashes at the same time or for
    /// reasons of its own.
    Partial,
    /// Only tasks of one job had just started.
    Conclusive,
}

impl Evidence {
    /// Returns its name in log lines.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::strike::Evidence::None.name(), "none");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Evidence::None => "none",
            Evidence::Partial => "partial",
            Evidence::Conclusive => "conclusive",
        }
    }
}

fn evidence(tables: &Tables, incident: &Incident) -> Evidence {
    let together = crashed_together(tables, incident);
    let crashes_elsewhere = tables.crashes.incidents.iter().any(|earlier| {
        earlier.worker != incident.worker
            && earlier.is_recent(incident.at)
            && earlier.is_unexplained()
    });
    if COMMON_CAUSE_WORKERS <= together + 1 || is_unstable(tables, incident) {
        Evidence::None
    } else if incident.suspects.len() == 1 && together == 0 && !crashes_elsewhere {
        Evidence::Conclusive
    } else {
        Evidence::Partial
    }
}

/// Tells whether the worker of an incident crashes for reasons of its own.
fn is_unstable(tables: &Tables, incident: &Incident) -> bool {
    let earlier = || tables.crashes.recent_on(incident.worker, incident.at);
    let independent = earlier().filter(|earlier| is_independent(tables, earlier, incident));
    UNSTABLE_COUNT <= independent.count() || earlier().any(Incident::is_unexplained)
}

/// Tells whether an earlier crash had another cause than the suspects of an incident. One whose suspects
/// include a job that has failed since is explained by that.
fn is_independent(tables: &Tables, earlier: &Incident, incident: &Incident) -> bool {
    let has_failed =
        |id: &Id| tables.jobs.get(id).is_some_and(|job| job.outcome == Some(Outcome::Failed));
    !earlier.suspects.iter().any(|id| incident.suspects.contains(id) || has_failed(id))
}

/// Returns the number of other workers that crashed at the time of an incident, or became silent then,
/// and where none of the suspected jobs can be the cause.
fn crashed_together(tables: &Tables, incident: &Incident) -> usize {
    let is_near =
        |at: Millis| at.since(incident.last_up).max(incident.last_up.since(at)) < COINCIDENCE;
    let crashed = tables
        .crashes
        .incidents
        .iter()
        .filter(|earlier| is_near(earlier.last_up) && is_independent(tables, earlier, incident))
        .map(|earlier| earlier.worker);
    let silent = tables.crashes.silent.iter().copied().filter(|key| {
        tables
            .workers
            .get(*key)
            .is_some_and(|worker| worker.is_reachable && worker.last_answer.is_some_and(is_near))
    });
    let workers: BTreeSet<key::Worker> =
        crashed.chain(silent).filter(|worker| *worker != incident.worker).collect();
    workers.len()
}

/// Counts a crash against a task, once for each run; tells whether it was counted.
fn record_crash(tables: &mut Tables, now: Millis, run: &crash::Run, evidence: Evidence) -> bool {
    let newest_run = tables.task_state(run.task).map_or(0, |task_state| task_state.run);
    if run.is_confirmed && run.number <= newest_run {
        tables.note_started(run.task.instance.job);
    }
    let Some(task_state) = tables.task_state_mut(run.task) else { return false };
    let crashes = &mut task_state.crashes;
    if task_state.done || run.number <= crashes.run {
        return false;
    }
    if run.has_just_started() {
        crashes.strikes = match evidence {
            // An unconfirmed start may not have happened, so it is reason for caution only.
            _ if !run.is_confirmed => crashes.strikes.max(1),
            Evidence::None => crashes.strikes.max(1),
            Evidence::Conclusive if crashes.strikes != 0 => crashes.strikes + 2,
            Evidence::Partial | Evidence::Conclusive => crashes.strikes + 1,
        };
        task_state.crashed_at = now;
    }
    crashes.run = run.number;
    crashes.count += 1;
    crashes.unconfirmed += u32::from(!run.is_confirmed);
    tables.touch(run.task.instance.job);
    true
}

/// Takes back what crashes count against tasks that had worked for longer, where a task of a job that is
/// given up had just started or worked beside them: that one was the cause.
pub(super) fn explain(tables: &mut Tables, id: Id) {
    let mut explained: SmallVec<[Task; 8]> = SmallVec::new();
    for incident in &mut tables.crashes.incidents {
        let is_of_job = |task: &Task| task.instance.job == id;
        if incident.suspects.contains(&id) || incident.counted.iter().any(is_of_job) {
            let counted = std::mem::take(&mut incident.counted);
            explained.extend(counted.into_iter().filter(|task| !is_of_job(task)));
        }
    }
    for task in explained {
        let Some(task_state) = tables.task_state_mut(task) else { continue };
        task_state.crashes.count = task_state.crashes.count.saturating_sub(1);
        tables.touch(task.instance.job);
    }
}

/// Clears a suspected task of its strikes if its run has stayed at work since it was first listed;
/// `reported_at` is when the newest list was requested. Returns whether it did.
pub(super) fn clear(
    task_state: &mut TaskState,
    seen_at: Option<Millis>,
    reported_at: Millis,
) -> bool {
    let has_survived = seen_at.is_some_and(|seen_at| PROBATION <= reported_at.since(seen_at));
    if has_survived {
        task_state.crashes.strikes = 0;
    }
    has_survived
}
