//! Keeps the planner's data current: the jobs' records and the agents' addresses from the store,
//! and the agents' reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::http::uri::Authority;
use lavendergauge_lib::batch::change::Change;
use lavendergauge_lib::batch::dispatch::Dispatch;
use lavendergauge_lib::batch::hold;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::report::Report;
use lavendergauge_net::client;
use lavendergauge_platform::store::Event;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::WatchOutcome;
use smallvec::SmallVec;
use tokio::task::JoinHandle;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::event_log;
use crate::batch::keys;
use crate::batch::leader::Term;
use crate::batch::message;
use crate::batch::message::Poll;
use crate::batch::planner;
use crate::batch::planner::Planner;
use crate::batch::record_reader;
use crate::clock;
use crate::logs::Value;

/// Longest wait of one watch; a dead connection is detected after this time.
const WATCH_WAIT: Duration = Duration::from_millis(3000);
/// Number of watches that fail in a row after which the keys are listed: the answer to a watch from
/// the same revision may be too long every time.
const MAX_FAILED_WATCHES: u32 = 3;
/// Deadline of the read of a job's progress.
const READ_DEADLINE: Duration = Duration::from_millis(900);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest long poll at an agent.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait after which a poll counts as unanswered.
const POLL_SLACK: Duration = Duration::from_millis(600);

/// Watches the jobs' records from a revision on, and loads each changed one.
pub async fn jobs(entry: Arc<Entry>, planner: Arc<Planner>, mut revision: u64) {
    loop {
        watch(&entry, keys::JOBS, revision, |item| load_item(&entry, &planner, item)).await;
        let (items, at) = record_reader::list(&entry, keys::JOBS).await;
        items.iter().for_each(|item| load_item(&entry, &planner, item));
        revision = at;
    }
}

/// Watches the keys of a prefix from a revision on, and applies each item that is written, until the
/// keys have to be listed.
async fn watch(entry: &Entry, prefix: &str, mut revision: u64, mut apply: impl FnMut(&Item)) {
    let mut failed_watches = 0;
    while failed_watches < MAX_FAILED_WATCHES {
        match entry.store.watch(prefix, revision, WATCH_WAIT).await {
            Ok(WatchOutcome::Events(events, at)) => {
                (revision, failed_watches) = (at, 0);
                for event in &events {
                    if let Event::Put(item) = event {
                        apply(item);
                    }
                }
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!("event=watch-compacted prefix={prefix}");
                return;
            }
            Err(error) => {
                failed_watches += 1;
                log::debug!("event=watch-failed cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
            }
        }
    }
    log::info!("event=watch-given-up prefix={prefix}");
}

fn load_item(entry: &Arc<Entry>, planner: &Arc<Planner>, item: &Item) {
    let Some(id) = keys::id(keys::JOBS, &item.key) else { return };
    match record_reader::decode::<Record>(item) {
        Some(record) => {
            let is_held = {
                let mut tables = planner.tables();
                records::note_refused(&mut tables, id, &record, item.revision);
                tables.held.contains(&id) && !tables.jobs.contains_key(&id)
            };
            if is_held {
                tokio::spawn(release(entry.clone(), planner.clone(), id, record));
            } else {
                planner.load_record(id, record);
            }
        }
        // A job that is known already goes on as it was.
        None => {
            let mut tables = planner.tables();
            if !tables.jobs.contains_key(&id) {
                hold::hold(&mut tables, id);
            }
        }
    }
}

/// Loads the record of a held job that can be read now, if the job has no progress.
///
/// Progress is recorded before a run is ordered, so that nothing of such a job has run. A job with
/// progress stays held during this term, which has skipped the ends of its runs.
async fn release(entry: Arc<Entry>, planner: Arc<Planner>, id: Id, record: Record) {
    let is_planner = || entry.planner().is_some_and(|current| Arc::ptr_eq(&current, &planner));
    while is_planner() {
        match entry.store.read(&keys::progress(id), READ_DEADLINE).await {
            Ok(None) => {
                log::info!("event=job-released job={id}");
                hold::release(&mut planner.tables(), id);
                planner.load_record(id, record);
                return;
            }
            Ok(Some(_)) => {
                log::warn!("event=job-still-held job={id} cause=\"it has progress\"");
                return;
            }
            Err(error) => {
                log::debug!("event=progress-unknown cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
            }
        }
    }
}

/// Handle of a spawned task that aborts it when dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The polls of one agent, each with its address: at the address where it answers, and at one that
/// has been registered for it since.
type Polls = SmallVec<[(String, AbortOnDrop); 2]>;

/// Watches the agents' addresses, and polls each agent.
pub async fn agents(entry: Arc<Entry>, planner: Arc<Planner>, term: Arc<Term>) {
    let mut polls: HashMap<String, Polls> = HashMap::new();
    loop {
        let (items, revision) = record_reader::list(&entry, keys::AGENTS).await;
        items.iter().for_each(|item| start_polling(&planner, &term, &mut polls, item));
        watch(&entry, keys::AGENTS, revision, |item| {
            start_polling(&planner, &term, &mut polls, item);
        })
        .await;
    }
}

/// Polls an agent at the address that is registered for it.
///
/// Another writer may have registered that address. An agent that is polled at another one already
/// is polled there too, until it answers at the new one.
fn start_polling(
    planner: &Arc<Planner>,
    term: &Arc<Term>,
    polls: &mut HashMap<String, Polls>,
    item: &Item,
) {
    let Some(node) = item.key.strip_prefix(keys::AGENTS) else { return };
    let Some(address) = agent_address(&item.value) else {
        let length = item.value.len();
        log::warn!("event=agent-unreadable worker={} bytes={length}", Value(node));
        return;
    };
    let used = {
        let mut agents = planner.agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        agents.entry(node.to_owned()).or_insert_with(|| address.clone()).clone()
    };
    let polls = polls.entry(node.to_owned()).or_default();
    polls.retain(|(known, task)| !task.0.is_finished() && (*known == used || *known == address));
    if polls.iter().any(|(known, _)| *known == address) {
        return;
    }
    log::info!("event=agent-known worker={node} address={address}");
    let task = tokio::spawn(poll(planner.clone(), term.clone(), node.to_owned(), address.clone()));
    polls.push((address, AbortOnDrop(task)));
}

/// Longest address of an agent, in bytes: a host name, a colon and a port.
const MAX_ADDRESS_BYTES: usize = 260;

/// Returns the address of an agent as it has registered it; `None` if it cannot be one.
fn agent_address(value: &[u8]) -> Option<String> {
    let address = str::from_utf8(value).ok().filter(|text| text.len() <= MAX_ADDRESS_BYTES)?;
    let authority: Authority = address.parse().ok()?;
    let has_port = authority.port_u16().is_some_and(|port| port != 0);
    (has_port && !address.contains('@')).then(|| address.to_owned())
}

/// Polls one agent for its reports at an address, until the agent has answered at another one.
async fn poll(planner: Arc<Planner>, term: Arc<Term>, node: String, address: String) {
    let mut seen = 0;
    let mut is_lost = false;
    let mut was_used = false;
    // Until the agent has answered here, anything may answer.
    let mut has_answered = false;
    loop {
        let poll = next_poll(&planner, &term, &node, seen);
        let deadline = POLL_WAIT + POLL_SLACK;
        let reply =
            planner.client.exchange::<Poll, Report>(&address, message::POLL, &poll, deadline).await;
        let is_agent = reply.as_ref().is_ok_and(|report| report.node == node);
        let is_used = {
            let mut agents = planner.agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let used = agents.entry(node.clone()).or_default();
            if is_agent && !was_used && *used != address {
                log::info!("event=agent-moved worker={node} address={address} before={used}");
                used.clone_from(&address);
            }
            *used == address
        };
        if was_used && !is_used {
            return;
        }
        was_used = is_used;
        has_answered |= is_agent;
        match reply {
            Ok(report) if is_agent => {
                if std::mem::take(&mut is_lost) {
                    log::info!("event=agent-regained worker={node} session={}", report.session);
                }
                seen = report.version;
                apply_report(&planner, &term, &report);
            }
            Ok(report) => {
                log::warn!("event=agent-foreign worker={node} found={}", report.node);
                time::sleep(POLL_WAIT).await;
            }
            Err(client::Error::Status { status: 409, .. }) if has_answered => {
                term.deposed.notify_one();
                time::sleep(PAUSE).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let cause = error.to_string();
                    log::warn!("event=agent-lost worker={node} cause={}", Value(&cause));
                }
                seen = 0;
                if is_used {
                    observe::mark_unreachable(&mut planner.tables(), &node);
                }
                time::sleep(PAUSE).await;
            }
        }
    }
}

fn next_poll(planner: &Planner, term: &Term, node: &str, seen: u64) -> Poll {
    let tables = planner.tables();
    let worker = tables.nodes.get(node).map(|key| &tables.workers[*key]);
    let session = worker.map_or(0, |worker| worker.session);
    let granted = worker.map_or(0, |worker| worker.grant_until);
    Poll {
        authority: planner.authority(term, session, granted),
        seen,
        wait_ms: POLL_WAIT.as_millis() as u64,
        incarnation: worker.map_or(0, |worker| worker.incarnation),
        forget: worker.map_or(0, |worker| worker.acknowledged),
        epoch: worker.map_or(0, |worker| worker.epoch),
    }
}

fn apply_report(planner: &Arc<Planner>, term: &Arc<Term>, report: &Report) {
    let mut tables = planner.tables();
    let changes = observe::apply_report(&mut tables, clock::boot(), planner.fence, report);
    let worker = tables.nodes.get(&report.node).map(|key| (*key, tables.workers[*key].incarnation));
    drop(tables);
    let mut stops = Vec::new();
    for change in &changes {
        event_log::log_change(change);
        if let (Change::Unexpected(task, run), Some((worker, incarnation))) = (change, worker) {
            let order = Order { task: *task, run: *run, incarnation, verb: Verb::Stop };
            let (node, session) = (report.node.clone(), report.session);
            stops.push(Dispatch { worker, node, session, order });
        }
    }
    planner::send(planner, term, stops);
    if !changes.is_empty() {
        planner.wake.notify_one();
    }
}
