//! Follows what the planner has to know: the jobs' records, the agents, and their reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::dispatch::Dispatch;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::observe::Change;
use lavendergauge_lib::batch::observe::Report;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_net::client;
use lavendergauge_platform::store::Event;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Watched;
use tokio::task::JoinHandle;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::lead::Tenure;
use crate::batch::message;
use crate::batch::message::Poll;
use crate::batch::planner;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Longest wait of one watch; a connection that went silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_millis(3000);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest wait at an agent for news.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait after which a poll counts as unanswered.
const POLL_SLACK: Duration = Duration::from_millis(600);

/// Follows the jobs' records from a revision on.
pub async fn jobs(entry: Arc<Entry>, planner: Arc<Planner>, mut revision: u64) {
    loop {
        match entry.store.watch(keys::JOBS, revision, WATCH_WAIT).await {
            Ok(Watched::Events(events, at)) => {
                revision = at;
                for event in &events {
                    if let Event::Put(item) = event {
                        learn(&planner, item);
                    }
                }
            }
            Ok(Watched::Compacted) => {
                log::info!("event=watch-compacted prefix={}", keys::JOBS);
                let (items, at) = planner::list(&entry, keys::JOBS).await;
                items.iter().for_each(|item| learn(&planner, item));
                revision = at;
            }
            Err(error) => {
                log::debug!("event=watch-failed cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
            }
        }
    }
}

fn learn(planner: &Planner, item: &Item) {
    if let Some((id, record)) = planner::decode::<Record>(keys::JOBS, item) {
        planner.learn(id, record);
    }
}

/// A task that ends with its handle.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Finds the agents, and polls each of them.
pub async fn agents(entry: Arc<Entry>, planner: Arc<Planner>, tenure: Arc<Tenure>) {
    let mut polls: HashMap<String, (String, Task)> = HashMap::new();
    loop {
        let (items, mut revision) = planner::list(&entry, keys::AGENTS).await;
        items.iter().for_each(|item| meet(&planner, &tenure, &mut polls, item));
        loop {
            match entry.store.watch(keys::AGENTS, revision, WATCH_WAIT).await {
                Ok(Watched::Events(events, at)) => {
                    revision = at;
                    for event in &events {
                        if let Event::Put(item) = event {
                            meet(&planner, &tenure, &mut polls, item);
                        }
                    }
                }
                Ok(Watched::Compacted) => break,
                Err(error) => {
                    log::debug!("event=watch-failed cause={}", Value(&error.to_string()));
                    time::sleep(PAUSE).await;
                }
            }
        }
    }
}

fn meet(
    planner: &Arc<Planner>,
    tenure: &Arc<Tenure>,
    polls: &mut HashMap<String, (String, Task)>,
    item: &Item,
) {
    let Some(node) = item.key.strip_prefix(keys::AGENTS) else { return };
    let address = String::from_utf8_lossy(&item.value).into_owned();
    if polls.get(node).is_some_and(|(known, _)| *known == address) {
        return;
    }
    log::info!("event=agent-known worker={node} address={address}");
    {
        let mut agents = planner.agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        agents.insert(node.to_owned(), address.clone());
    }
    let task =
        tokio::spawn(poll(planner.clone(), tenure.clone(), node.to_owned(), address.clone()));
    polls.insert(node.to_owned(), (address, Task(task)));
}

/// Asks one agent for its reports.
async fn poll(planner: Arc<Planner>, tenure: Arc<Tenure>, node: String, address: String) {
    let mut seen = 0;
    let mut lost = false;
    loop {
        let poll = question(&planner, &tenure, &node, seen);
        let deadline = POLL_WAIT + POLL_SLACK;
        let asked =
            planner.client.exchange::<Poll, Report>(&address, message::POLL, &poll, deadline);
        match asked.await {
            Ok(report) if report.node == node => {
                if std::mem::take(&mut lost) {
                    log::info!("event=agent-regained worker={node} session={}", report.session);
                }
                seen = report.version;
                take(&planner, &tenure, &report);
            }
            Ok(report) => {
                log::warn!("event=agent-foreign worker={node} found={}", report.node);
                time::sleep(POLL_WAIT).await;
            }
            Err(client::Error::Status { status: 409, .. }) => {
                tenure.deposed.notify_one();
                time::sleep(PAUSE).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    let cause = error.to_string();
                    log::warn!("event=agent-lost worker={node} cause={}", Value(&cause));
                }
                seen = 0;
                time::sleep(PAUSE).await;
            }
        }
    }
}

fn question(planner: &Planner, tenure: &Tenure, node: &str, seen: u64) -> Poll {
    let tables = planner.tables();
    let row = tables.nodes.get(node).map(|key| &tables.workers[*key]);
    let session = row.map_or(0, |row| row.session);
    let granted = row.map_or(0, |row| row.granted);
    Poll {
        authority: planner.authority(tenure, session, granted),
        seen,
        wait_ms: POLL_WAIT.as_millis() as u64,
        incarnation: row.map_or(0, |row| row.incarnation),
        forget: row.map_or(0, |row| row.acknowledged),
    }
}

fn take(planner: &Arc<Planner>, tenure: &Arc<Tenure>, report: &Report) {
    let mut tables = planner.tables();
    let changes = observe::report(&mut tables, clock::boot(), planner.fence, report);
    let row = tables.nodes.get(&report.node).map(|key| (*key, tables.workers[*key].incarnation));
    drop(tables);
    let mut strays = Vec::new();
    for change in &changes {
        planner::log_change(change);
        if let (Change::Stray(task, run), Some((worker, incarnation))) = (change, row) {
            let order = Order { task: *task, run: *run, incarnation, verb: Verb::Stop };
            let (node, session) = (report.node.clone(), report.session);
            strays.push(Dispatch { worker, node, session, order });
        }
    }
    planner::send(planner, tenure, strays);
    if !changes.is_empty() {
        planner.wake.notify_one();
    }
}
