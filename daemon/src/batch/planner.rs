//! Runs the planner's ticks and sends orders to the agents while this entry is the leader.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lavendergauge_lib::batch::advice;
use lavendergauge_lib::batch::advice::Question;
use lavendergauge_lib::batch::dispatch;
use lavendergauge_lib::batch::dispatch::Dispatch;
use lavendergauge_lib::batch::hold;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::order;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::batch::table::Worker;
use lavendergauge_lib::batch::tick;
use lavendergauge_lib::clock::Millis;
use lavendergauge_net::client;
use lavendergauge_net::client::Client;
use metrics::histogram;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;

use crate::batch::admission;
use crate::batch::admission::Publisher;
use crate::batch::advise;
use crate::batch::entry::Entry;
use crate::batch::event_log;
use crate::batch::follow;
use crate::batch::leader::Term;
use crate::batch::learned;
use crate::batch::maintenance;
use crate::batch::message;
use crate::batch::message::Answers;
use crate::batch::message::Authority;
use crate::batch::message::Orders;
use crate::batch::message::Query;
use crate::batch::message::Reply;
use crate::batch::record_codec;
use crate::batch::record_reader;
use crate::batch::record_writer;
use crate::clock;
use crate::logs::Value;

/// Longest time from the end of one tick to the start of the next.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the rest after a tick, in which further changes are collected for the next one.
const TICK_REST: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(60));
/// Rest after a tick as a multiple of its duration, which bounds the processor's share that ticks
/// take from renewals of the lease and from answers to callers.
const TICK_REST_FACTOR: u32 = 2;
/// Length of the orders in one call from which the next one goes into another call, in bytes; agents
/// accept calls of a few megabytes.
const MAX_CALL_BYTES: usize = 1 << 20;
/// Most orders in one call, so that its answer does not wait for too many calls to the worker.
const MAX_CALL_ORDERS: usize = 64;
/// Length of an order beside its texts, in bytes.
const ORDER_FRAME_BYTES: usize = 256;
/// Deadline of an order: the agent's own deadline at its worker plus the round trip to the agent.
const ORDER_DEADLINE: Duration = Duration::from_millis(1500);
/// Time since a worker's last answer after which its agent is not used to query the advice service.
const ADVICE_AGENT_SILENCE: Duration = Duration::from_millis(2000);

/// The planner during one term of its entry.
pub struct Planner {
    /// Fencing token.
    pub fence: u64,
    /// Starts the next tick at once.
    pub wake: Notify,
    /// Notified when records have to be written.
    pub dirty: Notify,
    /// Addresses of the agents by name.
    pub agents: Mutex<HashMap<String, String>>,
    /// Names of the agents through which a query to the advice service is in progress.
    busy_agents: Mutex<BTreeSet<String>>,
    /// The digests of the queue.
    pub publisher: Publisher,
    /// Client for calls to agents.
    pub client: Client,
    /// When the newest explanation was begun; locked while one is made.
    pub explained_at: tokio::sync::Mutex<Millis>,
    name: String,
    tables: Mutex<Tables>,
}

impl Planner {
    /// Locks the planner's tables.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Loads a job's record into the tables, and starts a tick; a record of a job that has been removed
    /// changes nothing.
    pub fn load_record(&self, id: Id, record: Record) {
        let mut tables = self.tables();
        let is_known = tables.jobs.contains_key(&id);
        if !is_known && tables.removed.contains(id, record.accepted_ms) {
            log::info!("event=removed-job-ignored job={id}");
            return;
        }
        records::load_record(&mut tables, clock::boot(), clock::wall_ms(), id, record);
        drop(tables);
        self.wake.notify_one();
    }

    /// Reserves an agent for a query to the advice service; returns its name and address.
    ///
    /// Only an agent whose worker answers and that has no query in progress is eligible.
    pub fn reserve_agent(&self) -> Option<(String, String)> {
        let now = clock::boot();
        let answering: Vec<String> = {
            let tables = self.tables();
            let is_answering = |worker: &&Worker| {
                worker.last_answer.is_some_and(|at| now.since(at) < ADVICE_AGENT_SILENCE)
            };
            tables.workers.values().filter(is_answering).map(|worker| worker.node.clone()).collect()
        };
        let agents = self.agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut busy = self.busy_agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let node = answering.into_iter().find(|node| !busy.contains(node))?;
        let address = agents.get(&node)?.clone();
        busy.insert(node.clone());
        Some((node, address))
    }

    /// Releases an agent that was reserved for a query.
    pub fn release_agent(&self, node: &str) {
        self.busy_agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).remove(node);
    }

    /// Answers a query of an entry.
    pub fn answer(&self, query: &Query) -> Reply {
        let tables = self.tables();
        match query {
            Query::Job(id) => match tables.jobs.get(id) {
                None => Reply::Nothing,
                Some(_) if hold::is_held(&tables, *id) => Reply::Nothing,
                Some(job) => Reply::Job {
                    state: job.state(),
                    account: job.record.account.clone(),
                    queue: job.record.queue.name.clone(),
                    host: job.record.queue.host.clone(),
                    prefix: job.record.queue.prefix.clone(),
                },
            },
            Query::Waiting(queue) => {
                let is_waiting = |job: &&lavendergauge_lib::batch::table::Job| {
                    job.state() == State::Queued
                        && job.record.queue.name == *queue
                        && job.record.submission.repeat.count == 0
                };
                Reply::Waiting(tables.jobs.values().filter(is_waiting).count() as u64)
            }
        }
    }

    /// Returns the authority for a message to an agent, with a grant if the planner may give one.
    pub fn authority(&self, term: &Term, session: u64, granted: u64) -> Authority {
        let grant = if term.can_grant() { granted } else { 0 };
        Authority { planner: self.name.clone(), fence: self.fence, session, grant }
    }
}

/// Plans until leadership is lost, and returns the cause of the loss.
pub async fn run(entry: &Arc<Entry>, term: &Arc<Term>) -> &'static str {
    let mut tables = Tables::new(entry.settings.bounds, clock::boot());
    tables.policy = entry.settings.policy;
    tables.max_open_tasks = record_codec::max_open_tasks(entry.settings.store_value_bytes);
    let planner = Arc::new(Planner {
        fence: term.fence,
        wake: Notify::new(),
        dirty: Notify::new(),
        agents: Mutex::new(HashMap::new()),
        busy_agents: Mutex::new(BTreeSet::new()),
        publisher: Publisher::default(),
        client: entry.client.clone(),
        explained_at: tokio::sync::Mutex::new(Millis::default()),
        name: entry.name.clone(),
        tables: Mutex::new(tables),
    });
    let mut tasks = JoinSet::new();
    if entry.settings.policy.learned_state {
        tasks.spawn(learned::run(entry.clone(), planner.clone(), term.clone()));
    }
    let revision = record_reader::load_all(entry, &planner).await;
    entry.set_planner(Some(planner.clone()));
    {
        let tables = planner.tables();
        log::info!(
            "event=records-loaded fence={} jobs={} runs={}",
            term.fence,
            tables.jobs.len(),
            tables.runs.len()
        );
    }
    tasks.spawn(follow::jobs(entry.clone(), planner.clone(), revision));
    tasks.spawn(follow::agents(entry.clone(), planner.clone(), term.clone()));
    tasks.spawn(maintenance::run(entry.clone(), planner.clone(), term.clone()));
    tasks.spawn(admission::expire(entry.clone(), planner.clone(), term.clone()));
    tasks.spawn(run_ticks(entry.clone(), planner.clone(), term.clone()));
    record_writer::run(entry, &planner, term).await
}

/// Runs a tick when something has changed, and at least every [`TICK_INTERVAL`].
///
/// The first change after a quiet time causes a tick at once; the changes during a tick and the
/// rest after it are merged into the next one.
async fn run_ticks(entry: Arc<Entry>, planner: Arc<Planner>, term: Arc<Term>) {
    loop {
        let started_at = time::Instant::now();
        let (dispatches, questions) = run_tick(&entry, &planner);
        send(&planner, &term, dispatches);
        advise::send(&planner, &term, questions);
        admission::refresh(&entry, &planner);
        let duration = started_at.elapsed();
        histogram!("lavendergauge_tick_seconds").record(duration.as_secs_f64());
        let rest = rest_after(duration);
        time::sleep(rest).await;
        let _ = time::timeout(TICK_INTERVAL - rest, planner.wake.notified()).await;
    }
}

/// Returns the rest after a tick that took `duration`.
fn rest_after(duration: Duration) -> Duration {
    let (shortest, longest) = TICK_REST;
    (duration * TICK_REST_FACTOR).clamp(shortest, longest)
}

fn run_tick(entry: &Entry, planner: &Planner) -> (Vec<Dispatch>, Vec<Question>) {
    let (config, evacuated) = {
        let view = entry.config_view.state();
        (view.config.clone(), view.evacuated.clone())
    };
    let mut tables = planner.tables();
    tables.set_config(config);
    tables.evacuated = evacuated;
    let (now, wall_ms) = (clock::boot(), clock::wall_ms());
    let mut events = tick::run(&mut tables, now, wall_ms);
    let dispatches = dispatch::orders(&mut tables, now, &mut events);
    let questions = advice::questions(&mut tables, now);
    let version = tables.config.version;
    let has_dirty_records = !tables.dirty.is_empty();
    drop(tables);
    for event in &events {
        event_log::log_event(event, version);
    }
    if has_dirty_records {
        planner.dirty.notify_one();
    }
    (dispatches, questions)
}

/// Sends orders in the background, in calls of limited length to each agent.
pub fn send(planner: &Arc<Planner>, term: &Arc<Term>, dispatches: Vec<Dispatch>) {
    // The orders for each agent that are not sent yet, and their length.
    let mut by_node: HashMap<String, (Vec<Dispatch>, usize)> = HashMap::new();
    let spawn = |node: String, dispatches: Vec<Dispatch>| {
        let (planner, term) = (planner.clone(), term.clone());
        tokio::spawn(async move { deliver(&planner, &term, &node, dispatches).await });
    };
    for dispatch in dispatches {
        let (pending, bytes) = by_node.entry(dispatch.node.clone()).or_default();
        let length = order_bytes(&dispatch.order);
        let is_full = pending.len() == MAX_CALL_ORDERS || MAX_CALL_BYTES < *bytes + length;
        if !pending.is_empty() && is_full {
            spawn(dispatch.node.clone(), std::mem::take(pending));
            *bytes = 0;
        }
        *bytes += length;
        pending.push(dispatch);
    }
    for (node, (dispatches, _)) in by_node {
        spawn(node, dispatches);
    }
}

/// Returns the length of an order in a call, in bytes, rounded up.
fn order_bytes(order: &Order) -> usize {
    let texts = match &order.verb {
        Verb::Start { payload, checkpoint, ticket, .. } => {
            payload.len() + checkpoint.len() + ticket.len()
        }
        Verb::Stop | Verb::Pace(_) => 0,
    };
    texts + ORDER_FRAME_BYTES
}

async fn deliver(planner: &Planner, term: &Term, node: &str, dispatches: Vec<Dispatch>) {
    let address = {
        let agents = planner.agents.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        agents.get(node).cloned()
    };
    let session = dispatches.first().map_or(0, |dispatch| dispatch.session);
    let granted = {
        let tables = planner.tables();
        tables.nodes.get(node).map_or(0, |key| tables.workers[*key].grant_until)
    };
    let orders: Vec<Order> = dispatches.into_iter().map(|dispatch| dispatch.order).collect();
    let count = orders.len();
    let call = Orders { authority: planner.authority(term, session, granted), orders };
    let answers = match address {
        None => vec![Answer::Refused("agent-unknown".to_owned()); count],
        Some(address) => {
            let reply = planner.client.exchange::<Orders, Answers>(
                &address,
                message::ORDERS,
                &call,
                ORDER_DEADLINE,
            );
            match reply.await {
                Ok(answers) if answers.answers.len() == count => answers.answers,
                Ok(_) => vec![Answer::Unknown; count],
                Err(error) => vec![answer_to_failed_call(node, &error); count],
            }
        }
    };
    let now = clock::boot();
    let mut tables = planner.tables();
    for (order, answer) in call.orders.iter().zip(&answers) {
        order::apply_answer(&mut tables, now, order, answer);
    }
    drop(tables);
    for (order, answer) in call.orders.iter().zip(&answers) {
        if !matches!(answer, Answer::Done(_)) {
            log::info!(
                "event=order-answered task={} run={} worker={node} outcome={answer:?}",
                order.task,
                order.run
            );
        }
    }
    planner.wake.notify_one();
}

/// Converts a failed call to an agent into the answer to each of its orders.
fn answer_to_failed_call(node: &str, error: &client::Error) -> Answer {
    log::warn!("event=agent-silent worker={node} cause={}", Value(&error.to_string()));
    match error {
        // The agent obeys a newer planner, or is another process: it has executed no order.
        client::Error::Status { status: 409, .. } => Answer::Refused("agent-refused".to_owned()),
        error if error.never_sent() => Answer::Refused("agent-unreachable".to_owned()),
        _ => Answer::Unknown,
    }
}
