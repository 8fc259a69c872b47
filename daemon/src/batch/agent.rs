//! The agent beside a worker: takes its heartbeats, and passes the planner's orders on.
//!
//! It decides nothing but this: it follows the highest fencing token alone, lets tasks run only
//! under a grant of the planner, and starts nothing on a worker that is leaving.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use error_stack::Report as Failure;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use lavendergauge_lib::batch::observe::Announcement;
use lavendergauge_lib::batch::observe::List;
use lavendergauge_lib::batch::observe::Report;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::server;
use lavendergauge_platform::advice::Advisor;
use lavendergauge_platform::heartbeat;
use lavendergauge_platform::heartbeat::Message;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Store;
use lavendergauge_platform::store::Transaction;
use lavendergauge_platform::worker::Worker;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::access;
use crate::batch::agent_order;
use crate::batch::agent_worker;
use crate::batch::keys;
use crate::batch::message;
use crate::batch::message::Advised;
use crate::batch::message::Answers;
use crate::batch::message::AskAdvice;
use crate::batch::message::Authority;
use crate::batch::message::Orders;
use crate::batch::message::Poll;
use crate::batch::peer;
use crate::clock;
use crate::logs::Value;
use crate::settings::Access;
use crate::settings::BatchAgent;
use crate::settings::Settings;
use crate::startup;
use crate::telemetry;

/// Most bytes of a heartbeat.
const HEARTBEAT_LIMIT: usize = 64 << 10;
/// Most connections to one listener.
const CONNECTIONS: usize = 512;
/// Part of a lease that is given up for the time that calls take, in milliseconds.
const LEASE_MARGIN_MS: u64 = 50;
/// Deadline of the call that makes the agent known.
const REGISTER_DEADLINE: Duration = Duration::from_secs(1);
/// First and longest pause between two tries to make the agent known.
const REGISTER_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// Longest time that calls under way are given at a stop; tasks run on under their lease.
const STOP_WAIT: Duration = Duration::from_millis(500);

/// What an agent knows, guarded by one lock that is never held over a wait.
pub struct Core {
    /// Highest fencing token.
    pub fence: u64,
    /// Name of its holder.
    pub planner: String,
    /// Time of this process's clock until which tasks may run.
    pub grant: u64,
    /// The worker.
    pub worker: Option<Announcement>,
    /// Number of its newest heartbeat.
    pub sequence: u64,
    /// Newest incarnation of the worker that is over.
    pub over: u64,
    /// The worker's clock, and the agent's when it was read.
    pub worker_clock: Option<(u64, u64)>,
    /// What the worker said last.
    pub list: Option<List>,
    /// Incarnation of the worker, and number of the newest end that it may forget.
    pub forget: (u64, u64),
    /// Whether the worker answered the last call.
    pub answers: bool,
    /// Whether orders were carried out since the worker was last asked what it runs.
    pub ordered: bool,
}

/// An agent.
pub struct Agent {
    /// Name.
    pub name: String,
    /// Drawn anew by each process.
    pub session: u64,
    /// Settings.
    pub settings: BatchAgent,
    /// How the fleet's processes prove themselves.
    pub access: Access,
    /// Client of the worker.
    pub client: Worker,
    /// Client of the advice service, if there is one.
    pub advisor: Option<Advisor>,
    /// Grows with each change that the planner should hear of.
    pub version: watch::Sender<u64>,
    /// Cuts a wait at the worker short.
    pub nudge: Notify,
    core: Mutex<Core>,
}

impl Agent {
    /// Locks what the agent knows.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Tells the planner that something changed.
    pub fn changed(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns the time of the worker's clock until which its tasks may run.
    pub fn lease_until(&self) -> Option<u64> {
        let core = self.core();
        let (worker_clock, read_at) = core.worker_clock?;
        let now = clock::boot().0;
        // The worker's clock is at least what it said plus what has passed here since.
        let left = core.grant.checked_sub(now + LEASE_MARGIN_MS)?;
        let longest = self.settings.lease_max.as_millis() as u64;
        Some(worker_clock + (now - read_at) + left.min(longest))
    }

    /// Takes in who speaks; false when a higher fencing token is known.
    fn obey(&self, authority: &Authority) -> bool {
        let mut core = self.core();
        if authority.fence < core.fence {
            log::warn!(
                "event=order-refused planner={} fence={} known_fence={}",
                authority.planner,
                authority.fence,
                core.fence
            );
            return false;
        }
        if core.fence < authority.fence {
            log::info!(
                "event=planner-changed planner={} fence={} before={}",
                authority.planner,
                authority.fence,
                core.fence
            );
            core.fence = authority.fence;
            core.planner = authority.planner.clone();
            self.nudge.notify_one();
        }
        if authority.session == self.session {
            core.grant = core.grant.max(authority.grant);
        }
        true
    }

    fn report(&self) -> Report {
        let version = *self.version.borrow();
        let core = self.core();
        Report {
            node: self.name.clone(),
            clock: clock::boot().0,
            session: self.session,
            fence: core.fence,
            version,
            over: core.over,
            answers: core.answers,
            worker: core.worker.clone(),
            list: core.list.clone(),
        }
    }
}

/// A running agent.
pub struct Handle {
    agent: Arc<Agent>,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
    loops: JoinSet<()>,
}

impl Handle {
    /// Ends what is under way; the worker's tasks run on under their lease.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        self.agent.changed();
        let ended = async { while self.listeners.join_next().await.is_some() {} };
        if time::timeout(STOP_WAIT, ended).await.is_err() {
            log::info!("event=stop-cut-short cause=\"calls under way\"");
        }
        self.loops.shutdown().await;
    }
}

/// Starts an agent.
///
/// # Errors
/// When an address cannot be listened on.
pub async fn start(
    settings: &Settings,
    role: &BatchAgent,
) -> Result<Handle, Failure<startup::Error>> {
    let heartbeats = startup::listen(&role.heartbeat_address).await?;
    let peers = startup::listen(&role.peer_address).await?;
    let agent = Arc::new(Agent {
        name: settings.name.clone(),
        session: rand::random(),
        settings: role.clone(),
        access: settings.access.clone(),
        client: Worker::new(&role.worker_address),
        advisor: Some(&role.advice_address)
            .filter(|address| !address.is_empty())
            .map(|address| Advisor::new(address)),
        version: watch::Sender::new(1),
        nudge: Notify::new(),
        core: Mutex::new(Core {
            fence: 0,
            planner: String::new(),
            grant: 0,
            worker: None,
            sequence: 0,
            over: 0,
            worker_clock: None,
            list: None,
            forget: (0, 0),
            answers: true,
            ordered: false,
        }),
    });
    log::info!(
        "event=started role=batch-agent name={} session={} peer_address={} worker_address={}",
        agent.name,
        agent.session,
        role.peer_address,
        role.worker_address
    );
    let (stop, stopped) = watch::channel(false);
    let mut listeners = JoinSet::new();
    let mut loops = JoinSet::new();
    let shared = agent.clone();
    let handler = peer::handler(move |request, _| on_heartbeat(shared.clone(), request));
    listeners.spawn(server::serve(heartbeats, handler, CONNECTIONS, stopped.clone()));
    let shared = agent.clone();
    let handler = peer::handler(move |request, _| on_call(shared.clone(), request));
    listeners.spawn(server::serve(peers, handler, CONNECTIONS, stopped));
    loops.spawn(register(agent.clone()));
    loops.spawn(agent_worker::follow(agent.clone()));
    Ok(Handle { agent, stop, listeners, loops })
}

/// Makes the agent's address known in the store, until it is.
async fn register(agent: Arc<Agent>) {
    let store = Store::new(&agent.settings.store_address);
    let put = Put {
        key: format!("{}{}", keys::AGENTS, agent.name),
        value: agent.settings.advertised_address.clone().into(),
        lease: 0,
    };
    let transaction = Transaction { puts: vec![put], ..Transaction::default() };
    let (mut pause, longest) = REGISTER_PAUSE;
    loop {
        match store.commit(&transaction, REGISTER_DEADLINE).await {
            Ok(_) => {
                log::info!("event=registered address={}", agent.settings.advertised_address);
                return;
            }
            Err(error) => {
                log::warn!("event=register-failed cause={}", Value(&error.to_string()));
            }
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(longest);
    }
}

async fn on_heartbeat(agent: Arc<Agent>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if request.method() != Method::POST {
        return peer::status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let Ok(bytes) = body::receive(request.into_body(), HEARTBEAT_LIMIT).await else {
        return peer::status(StatusCode::BAD_REQUEST);
    };
    match heartbeat::read(&path, &bytes) {
        Some(Message::Heartbeat(beat)) => {
            take_heartbeat(&agent, beat);
            peer::status(StatusCode::OK)
        }
        Some(Message::Leave(id, incarnation)) => {
            take_leave(&agent, &id, incarnation);
            peer::status(StatusCode::OK)
        }
        None => {
            log::warn!("event=heartbeat-unreadable path={path}");
            peer::status(StatusCode::BAD_REQUEST)
        }
    }
}

fn take_heartbeat(agent: &Agent, beat: heartbeat::Heartbeat) {
    let word = beat.announcement;
    if word.service != agent.settings.service {
        log::warn!("event=heartbeat-foreign worker={} service={}", word.id, word.service);
        return;
    }
    let mut core = agent.core();
    let known = core.worker.as_ref().map_or(0, |worker| worker.incarnation);
    if word.incarnation < known || word.incarnation <= core.over {
        log::info!(
            "event=heartbeat-late worker={} incarnation={} known={known} over={}",
            word.id,
            word.incarnation,
            core.over
        );
        return;
    }
    if word.incarnation == known {
        if beat.sequence <= core.sequence {
            return;
        }
        core.sequence = beat.sequence;
        if core.worker.as_ref() == Some(&word) {
            return;
        }
        log::info!("event=worker-changed worker={} ready={}", word.id, word.ready);
    } else {
        log::info!(
            "event=worker-joined worker={} incarnation={} before={known} rack={} ready={}",
            word.id,
            word.incarnation,
            word.rack,
            word.ready
        );
        core.over = core.over.max(known);
        core.sequence = beat.sequence;
        core.worker_clock = None;
        core.list = None;
        core.answers = true;
        agent.nudge.notify_one();
    }
    core.worker = Some(word);
    drop(core);
    agent.changed();
}

fn take_leave(agent: &Agent, id: &str, incarnation: u64) {
    let mut core = agent.core();
    let known = core.worker.as_ref().filter(|worker| worker.id == id);
    let Some(known) = known.map(|worker| worker.incarnation) else { return };
    if incarnation != 0 && incarnation < known {
        return;
    }
    log::info!("event=worker-left worker={id} incarnation={known}");
    core.over = core.over.max(known);
    core.worker = None;
    core.list = None;
    core.worker_clock = None;
    drop(core);
    agent.changed();
}

async fn on_call(agent: Arc<Agent>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == telemetry::PATH {
        return telemetry::scrape();
    }
    if !access::is_fleet(&agent.access, request.headers()) {
        return peer::status(StatusCode::FORBIDDEN);
    }
    match request.uri().path() {
        message::POLL => match peer::read(request).await {
            Ok(poll) => on_poll(&agent, poll).await,
            Err(refusal) => refusal,
        },
        message::ADVISE => match peer::read(request).await {
            Ok(question) => on_advise(&agent, question).await,
            Err(refusal) => refusal,
        },
        message::ORDERS => match peer::read(request).await {
            Ok(orders) => on_orders(&agent, orders).await,
            Err(refusal) => refusal,
        },
        _ => peer::status(StatusCode::NOT_FOUND),
    }
}

async fn on_poll(agent: &Agent, poll: Poll) -> Response<Body> {
    if !agent.obey(&poll.authority) {
        return peer::status(StatusCode::CONFLICT);
    }
    let forgets = {
        let mut core = agent.core();
        let newer = core.forget < (poll.incarnation, poll.forget);
        if newer {
            core.forget = (poll.incarnation, poll.forget);
        }
        newer
    };
    if forgets {
        agent.nudge.notify_one();
    }
    let mut version = agent.version.subscribe();
    let changed = version.wait_for(|version| *version != poll.seen);
    let _ = time::timeout(Duration::from_millis(poll.wait_ms), changed).await;
    peer::answer(&agent.report())
}

async fn on_orders(agent: &Arc<Agent>, orders: Orders) -> Response<Body> {
    if !agent.obey(&orders.authority) || orders.authority.session != agent.session {
        return peer::status(StatusCode::CONFLICT);
    }
    let fence = orders.authority.fence;
    let mut calls = JoinSet::new();
    let count = orders.orders.len();
    for (index, order) in orders.orders.into_iter().enumerate() {
        let agent = agent.clone();
        calls.spawn(async move { (index, agent_order::carry_out(&agent, fence, &order).await) });
    }
    let mut answers = vec![Answer::Unknown; count];
    while let Some(ended) = calls.join_next().await {
        match ended {
            Ok((index, answer)) => answers[index] = answer,
            Err(cause) => {
                log::error!("event=order-broken cause={}", Value(&cause.to_string()));
            }
        }
    }
    agent.core().ordered = true;
    agent.nudge.notify_one();
    peer::answer(&Answers { answers })
}

async fn on_advise(agent: &Agent, question: AskAdvice) -> Response<Body> {
    if !agent.obey(&question.authority) {
        return peer::status(StatusCode::CONFLICT);
    }
    let Some(advisor) = &agent.advisor else {
        return peer::answer(&Advised::Failed("no advice_address is set".to_owned()));
    };
    let advised = match advisor.ask(question.part, &question.workers).await {
        Ok(advice) => Advised::Good { good: advice.good, valid_ms: advice.valid_ms },
        Err(error) => Advised::Failed(error.to_string()),
    };
    peer::answer(&advised)
}
