//! Leadership: one entry at a time is the leader, by a lease in the store, and runs the planner.
//!
//! Each planner has an epoch of its own, which fences every command. The planner places new work
//! only while its lease is certain to hold. During an outage of the store it goes on watching and
//! stopping gangs: that is safe, since agents refuse the commands of an older epoch.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::liveness::SUSPECT_AFTER;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::planner::Planner;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::clock;
use crate::config;
use crate::entry::Entry;
use crate::epoch;
use crate::leader_attempts;
use crate::leader_records::Cache;
use crate::leader_run::Run;
use crate::leader_sync;
use crate::leader_sync::Update;
use crate::store::Swap;
use crate::worker;

/// Key of the planner's lease in the store.
pub const PLANNER_KEY: &str = "planner";
/// Validity of the planner's lease.
pub const PLANNER_LEASE: Duration = Duration::from_secs(5);
/// Interval at which an entry that is not the leader tries to acquire the lease.
const ACQUIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Time since the last confirmed renewal up to which new work is placed; shorter than
/// [`PLANNER_LEASE`].
const LEASE_CERTAIN: Duration = Duration::from_secs(4);
/// Time in which a new planner collects workers' announcements before it decides.
const COLLECTING_TIME: Duration = Duration::from_millis(1500);
/// Longest wait for launches under way when the entry stops.
const FINISH_LIMIT: Duration = Duration::from_secs(3);

/// State of this entry's leadership and of its planner, for as long as it is the leader.
pub struct Leadership {
    /// Epoch of this planner, from a counter in the store; it fences commands.
    pub epoch: u64,
    /// Decides what starts and stops.
    pub planner: Planner,
    /// The newest known job records.
    pub records: Cache,
    /// The attempts that are being launched, are running or have an end that is being recorded, by
    /// job.
    pub runs: HashMap<Name, Run>,
    /// Launches under way.
    pub launches: JoinSet<()>,
    /// Sender for the background tasks' updates, which the next tick applies.
    pub updates: mpsc::UnboundedSender<Update>,
    /// Incarnation and sequence of each worker's newest announcement that the planner has applied.
    pub announced: HashMap<String, (u64, u64)>,
    /// When ended members and unexpected tasks were last looked for.
    pub last_cleanup: Millis,
    /// When this entry became the leader.
    pub since: Millis,
    lease: i64,
    /// When the last renewal that the store confirmed was sent.
    confirmed: Millis,
    is_lost: bool,
    /// Receiver of the background tasks' updates.
    inbox: mpsc::UnboundedReceiver<Update>,
    sync_task: JoinHandle<()>,
}

impl Drop for Leadership {
    fn drop(&mut self) {
        self.sync_task.abort();
    }
}

/// Tries to become the leader, and plans while this entry is the leader, until the entry stops.
///
/// `tick` is the planner's interval.
pub async fn run(entry: Arc<Entry>, tick: Duration, stopped: watch::Receiver<bool>) {
    let mut leadership = None;
    while !*stopped.borrow() {
        leadership = match leadership.take() {
            Some(leadership) => run_tick(&entry, leadership),
            None => acquire(&entry).await,
        };
        entry.core().epoch = leadership.as_ref().map_or(0, |leadership| leadership.epoch);
        time::sleep(if leadership.is_some() { tick } else { ACQUIRE_INTERVAL }).await;
    }
    if let Some(leadership) = leadership {
        release(&entry, leadership).await;
    }
}

/// Waits for launches under way, and revokes the lease so that another entry can become the
/// leader.
async fn release(entry: &Entry, mut leadership: Leadership) {
    let finish = async { while leadership.launches.join_next().await.is_some() {} };
    let _ = time::timeout(FINISH_LIMIT, finish).await;
    match entry.store.revoke(leadership.lease).await {
        Ok(()) => log::info!("event=planner-released epoch={}", leadership.epoch),
        Err(error) => log::warn!("event=store-failed call=revoke cause=\"{error}\""),
    }
}

/// Tries to become the leader; `None` while another entry is the leader, or when the store gives no
/// usable answer.
async fn acquire(entry: &Arc<Entry>) -> Option<Leadership> {
    if entry.store.load(PLANNER_KEY).await.ok()?.is_some() {
        return None;
    }
    let sent_at = clock::now();
    let lease = entry.store.grant(PLANNER_LEASE).await.ok()?;
    // The lease makes the value unique, so a read after a lost answer shows whether this write took
    // effect.
    let value = format!("{} {lease}", entry.name);
    match entry.store.swap(PLANNER_KEY, 0, value.as_bytes(), lease).await {
        Ok(Swap::Done(_)) => {}
        Ok(Swap::Lost(_)) => {
            let _ = entry.store.revoke(lease).await;
            return None;
        }
        Err(_) => {
            let item = entry.store.load(PLANNER_KEY).await.ok()??;
            (item.value == value.as_bytes()).then_some(())?;
        }
    }
    let Ok(epoch) = epoch::next(entry).await else {
        let _ = entry.store.revoke(lease).await;
        return None;
    };
    log::info!("event=planner-acquired epoch={epoch}");
    let now = clock::now();
    let (updates, inbox) = mpsc::unbounded_channel();
    let sync_task = tokio::spawn(leader_sync::run(entry.clone(), lease, updates.clone()));
    Some(Leadership {
        epoch,
        planner: Planner::default(),
        records: Cache::default(),
        runs: HashMap::new(),
        launches: JoinSet::new(),
        updates,
        announced: HashMap::new(),
        last_cleanup: now,
        since: now,
        lease,
        confirmed: sent_at,
        is_lost: false,
        inbox,
        sync_task,
    })
}

/// Runs one tick of the planner; `None` when this entry is no longer the leader.
fn run_tick(entry: &Arc<Entry>, mut leadership: Leadership) -> Option<Leadership> {
    let now = clock::now();
    apply_updates(entry, &mut leadership, now);
    if leadership.is_lost {
        log::warn!("event=planner-lost epoch={}", leadership.epoch);
        return None;
    }
    if !leadership.records.is_complete || now.since(leadership.since) < COLLECTING_TIME {
        return Some(leadership);
    }
    leader_attempts::inherit(entry, &mut leadership, now);
    leader_attempts::submit(entry, &mut leadership, now);
    leader_attempts::watch_runs(entry, &mut leadership, now);
    leader_attempts::clean_up(entry, &mut leadership, now);
    while leadership.launches.try_join_next().is_some() {}
    let is_inheriting = leader_attempts::is_inheriting(&leadership);
    if now.since(leadership.confirmed) < LEASE_CERTAIN && !is_inheriting {
        for action in leadership.planner.tick(now) {
            leader_attempts::carry_out(entry, &mut leadership, action);
        }
    }
    Some(leadership)
}

/// Applies changes of the configuration, workers' announcements and silence, and the background
/// tasks' updates.
fn apply_updates(entry: &Arc<Entry>, leadership: &mut Leadership, now: Millis) {
    let mut core = entry.core();
    let lost = core.workers.take_lost(now);
    let newest_epoch = core.workers.iter().map(|worker| worker.frame.epoch).max();
    leadership.is_lost |= newest_epoch.is_some_and(|newest_epoch| leadership.epoch < newest_epoch);
    core.gangs.expire(now);
    let is_new = |worker: &&worker::Worker| {
        let announcement = (worker.frame.incarnation, worker.frame.sequence);
        leadership.announced.get(worker.frame.worker.as_str()) != Some(&announcement)
    };
    let silent: Vec<Name> = core
        .workers
        .iter()
        .filter(|worker| SUSPECT_AFTER < now.since(worker.last_seen))
        .map(|worker| Name::from(&worker.frame.worker))
        .collect();
    let frames: Vec<_> =
        core.workers.iter().filter(is_new).map(|worker| worker.frame.clone()).collect();
    let is_changed = leadership.planner.tables().revision != core.document.revision;
    let fleet = is_changed.then(|| config::to_planner_config(&core.document));
    drop(core);
    if let Some(fleet) = fleet {
        leadership.planner.apply(now, Event::Configure(fleet));
    }
    let mut reports = Vec::new();
    for frame in frames {
        reports.push(worker::to_report(&frame));
        leadership.announced.insert(frame.worker, (frame.incarnation, frame.sequence));
    }
    for report in reports {
        leadership.planner.apply(now, Event::Announce(report));
    }
    for worker in silent {
        leadership.planner.apply(now, Event::Silence(worker));
    }
    for worker in lost {
        log::warn!("event=worker-lost worker={worker}");
        leadership.announced.remove(worker.as_str());
        leadership.planner.apply(now, Event::Lose(worker));
    }
    while let Ok(update) = leadership.inbox.try_recv() {
        match update {
            Update::Confirmed(sent_at) => leadership.confirmed = leadership.confirmed.max(sent_at),
            Update::Lost => leadership.is_lost = true,
            Update::Records(records) => {
                leadership.records.is_complete = true;
                for (record, version) in records {
                    leadership.records.put(record, version);
                }
            }
            Update::Launched(attempt, outcome) => {
                leader_attempts::apply_launch_outcome(entry, leadership, &attempt, outcome, now);
            }
            Update::Changed(job, changed) => {
                leader_attempts::apply_record_change(leadership, &job, changed, now)
            }
        }
    }
}
