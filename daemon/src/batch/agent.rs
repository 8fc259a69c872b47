//! The agent on a worker's VM: receives the worker's heartbeats and forwards the planner's orders.
//!
//! It enforces three rules on its own: it obeys only the planner with the highest fencing token, it
//! lets tasks run only under a grant of the planner, and it starts nothing on a worker that is
//! leaving.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use error_stack::Report as Failure;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_lib::batch::crash::Ledger;
use lavendergauge_lib::batch::ends;
use lavendergauge_lib::batch::epoch::Epoch;
use lavendergauge_lib::batch::lease::Tracker;
use lavendergauge_lib::batch::membership::Membership;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::report::Report;
use lavendergauge_net::body::Body;
use lavendergauge_net::server;
use lavendergauge_platform::advice::Advisor;
use lavendergauge_platform::worker::Worker;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::access;
use crate::batch::agent_claim;
use crate::batch::agent_heartbeat;
use crate::batch::agent_order;
use crate::batch::agent_register;
use crate::batch::agent_state::State;
use crate::batch::agent_worker;
use crate::batch::message;
use crate::batch::message::AdviceReply;
use crate::batch::message::AdviceRequest;
use crate::batch::message::Answers;
use crate::batch::message::Authority;
use crate::batch::message::Orders;
use crate::batch::message::Poll;
use crate::batch::peer;
use crate::clock;
use crate::limits::Quota;
use crate::logs::Value;
use crate::settings::Access;
use crate::settings::BatchAgent;
use crate::settings::Settings;
use crate::startup;
use crate::telemetry;

/// Longest wait of a planner's poll for a change.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);
/// Most starts in progress at the worker. More of them would delay one another, and polls and stops,
/// beyond their deadlines.
const MAX_STARTS: usize = 32;
/// Time by which a lease is shortened to allow for the duration of calls, in milliseconds.
const LEASE_MARGIN_MS: u64 = 50;
/// Longest wait for calls in progress at a stop; tasks keep running under their lease.
const STOP_WAIT: Duration = Duration::from_millis(500);

/// An agent, shared by its listeners and loops.
pub struct Agent {
    /// Name of the agent.
    pub name: String,
    /// Random number that identifies this process.
    pub session: u64,
    /// Settings.
    pub settings: BatchAgent,
    /// How the fleet's processes authenticate to each other.
    pub access: Access,
    /// Bounds on what the worker and the fleet's processes occupy.
    pub quota: Quota,
    /// Client of the worker.
    pub client: Worker,
    /// Client of the advice service, if there is one.
    pub advisor: Option<Advisor>,
    /// Version of the agent's report; it increases with each change that the planner should see.
    pub version: watch::Sender<u64>,
    /// Interrupts a long poll at the worker.
    pub wake: Notify,
    /// Notified when a claim may be examined.
    pub claimed: Notify,
    /// Permits for starts in progress at the worker.
    pub starts: Semaphore,
    state: Mutex<State>,
}

impl Agent {
    /// Locks the agent's state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Increments the report's version, so that the planner's long poll is answered.
    pub fn notify_planner(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns the lease that a call to the worker may carry: the time of the worker's clock until
    /// which its tasks may run, in milliseconds.
    ///
    /// `None` while the worker's clock is not known or the grant has expired.
    pub fn next_lease(&self) -> Option<u64> {
        let mut state = self.state();
        let reading = state.worker_clock?;
        let id = state.worker()?.id.clone();
        let now = clock::boot().0;
        let remaining = state.grant_until.checked_sub(now.saturating_add(LEASE_MARGIN_MS))?;
        let longest = self.settings.lease_max.as_millis() as u64;
        let worker_clock = reading.least_clock_ms(clock::now().0);
        state.leases_of = id;
        state.epoch.mark_used();
        Some(worker_clock.saturating_add(remaining.min(longest)))
    }

    /// Checks a caller's fencing token and applies its token and grant.
    ///
    /// Returns false when a higher fencing token is known; nothing is applied then.
    fn accept_authority(&self, authority: &Authority) -> bool {
        let mut state = self.state();
        if authority.fence < state.fence {
            log::warn!(
                "event=order-refused planner={} fence={} known_fence={}",
                authority.planner,
                authority.fence,
                state.fence
            );
            return false;
        }
        if state.fence < authority.fence {
            log::info!(
                "event=planner-changed planner={} fence={} before={}",
                authority.planner,
                authority.fence,
                state.fence
            );
            state.fence = authority.fence;
            state.epoch.begin_term(authority.fence);
            state.planner = authority.planner.clone();
            self.wake.notify_one();
            self.claimed.notify_one();
        }
        if authority.session == self.session {
            state.grant_until = state.grant_until.max(authority.grant);
        }
        true
    }

    fn report(&self) -> Report {
        let version = *self.version.borrow();
        let mut state = self.state();
        let clock = clock::boot().0;
        state.forget_old_crashes(clock);
        let list = state.list.clone();
        let (list, partial_list) = if state.is_list_partial { (None, list) } else { (list, None) };
        Report {
            node: self.name.clone(),
            clock,
            session: self.session,
            fence: state.fence,
            version,
            ended_incarnation: state.membership.all_ended_until(),
            ended_incarnations: state.membership.ended().into(),
            is_worker_responsive: state.is_worker_responsive,
            is_stopping: state.is_stopping,
            worker: state.worker().cloned(),
            list,
            partial_list,
            stale_lease_until: state.leases.stale_until(clock),
            epoch: state.epoch.number(),
            crashes: state.crashes.iter().cloned().collect(),
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
    /// Stops the agent, after a bounded wait for calls in progress.
    ///
    /// The worker's tasks keep running under their lease.
    pub async fn stop(mut self) {
        self.agent.state().is_stopping = true;
        self.agent.notify_planner();
        let _ = self.stop.send(true);
        let all_ended = async { while self.listeners.join_next().await.is_some() {} };
        if time::timeout(STOP_WAIT, all_ended).await.is_err() {
            log::info!("event=stop-cut-short cause=\"calls still in progress\"");
        }
        self.loops.shutdown().await;
    }
}

/// Starts an agent.
///
/// # Errors
/// When one of its addresses cannot be bound.
pub async fn start(
    settings: &Settings,
    role: &BatchAgent,
) -> Result<Handle, Failure<startup::Error>> {
    let heartbeats = startup::listen(&role.heartbeat_address).await?;
    let peers = startup::listen(&role.peer_address).await?;
    let quota = Quota::new(settings.limits);
    let agent = Arc::new(Agent {
        name: settings.name.clone(),
        session: rand::random(),
        settings: role.clone(),
        access: settings.access.clone(),
        quota: quota.clone(),
        client: Worker::new(&role.worker_address),
        advisor: Some(&role.advice_address)
            .filter(|address| !address.is_empty())
            .map(|address| Advisor::new(address)),
        version: watch::Sender::new(1),
        wake: Notify::new(),
        claimed: Notify::new(),
        starts: Semaphore::new(MAX_STARTS),
        state: Mutex::new(State {
            fence: 0,
            planner: String::new(),
            grant_until: 0,
            membership: Membership::default(),
            worker_clock: None,
            epoch: Epoch::default(),
            leases: Tracker::new(clock::boot().0, role.lease_max.as_millis() as u64),
            leases_of: String::new(),
            list: None,
            ends: ends::Reader::default(),
            is_list_partial: false,
            unreadable_items: 0,
            last_readable_end: None,
            forgettable_ends: (0, 0),
            is_worker_responsive: true,
            is_stopping: false,
            has_new_orders: false,
            ledger: Ledger::default(),
            crashes: VecDeque::new(),
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
    let handler =
        peer::handler(move |request, _| agent_heartbeat::on_heartbeat(shared.clone(), request));
    listeners.spawn(server::serve(
        heartbeats,
        handler,
        quota.listener("heartbeats", quota.probe_connections),
        stopped.clone(),
    ));
    let shared = agent.clone();
    let handler = peer::handler(move |request, _| on_call(shared.clone(), request));
    listeners.spawn(server::serve(
        peers,
        handler,
        quota.listener("peers", quota.peer_connections),
        stopped,
    ));
    loops.spawn(agent_register::keep_registered(agent.clone()));
    loops.spawn(agent_worker::follow(agent.clone()));
    loops.spawn(agent_claim::follow(agent.clone()));
    Ok(Handle { agent, stop, listeners, loops })
}

async fn on_call(agent: Arc<Agent>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() == telemetry::PATH {
        return telemetry::scrape();
    }
    if !access::is_from_fleet(&agent.access, request.headers()) {
        return peer::status(StatusCode::FORBIDDEN);
    }
    let bodies = &agent.quota.peer_bodies;
    match request.uri().path() {
        message::POLL => match peer::read(request, bodies).await {
            Ok(poll) => on_poll(&agent, poll).await,
            Err(refusal) => refusal,
        },
        message::ADVISE => match peer::read(request, bodies).await {
            Ok(request) => on_advise(&agent, request).await,
            Err(refusal) => refusal,
        },
        message::ORDERS => match peer::read(request, bodies).await {
            Ok(orders) => on_orders(&agent, orders).await,
            Err(refusal) => refusal,
        },
        _ => peer::status(StatusCode::NOT_FOUND),
    }
}

async fn on_poll(agent: &Agent, poll: Poll) -> Response<Body> {
    if !agent.accept_authority(&poll.authority) {
        return peer::status(StatusCode::CONFLICT);
    }
    let has_newer_acknowledgement = {
        let mut state = agent.state();
        let session = poll.authority.session;
        if session != 0 && session != agent.session && poll.authority.fence == state.fence {
            state.epoch.succeed(poll.epoch);
        }
        let (incarnation, number) = state.forgettable_ends;
        // The number of a later incarnation may be lower.
        let is_newer = incarnation != poll.incarnation || number < poll.forget;
        if is_newer {
            state.forgettable_ends = (poll.incarnation, poll.forget);
        }
        is_newer
    };
    if has_newer_acknowledgement {
        agent.wake.notify_one();
    }
    let mut version = agent.version.subscribe();
    let changed = version.wait_for(|version| *version != poll.seen);
    let wait = Duration::from_millis(poll.wait_ms).min(MAX_POLL_WAIT);
    let _ = time::timeout(wait, changed).await;
    peer::answer(&agent.report())
}

async fn on_orders(agent: &Arc<Agent>, orders: Orders) -> Response<Body> {
    if !agent.accept_authority(&orders.authority) || orders.authority.session != agent.session {
        return peer::status(StatusCode::CONFLICT);
    }
    let fence = orders.authority.fence;
    let mut calls = JoinSet::new();
    let count = orders.orders.len();
    for (index, order) in orders.orders.into_iter().enumerate() {
        let agent = agent.clone();
        calls.spawn(async move { (index, agent_order::execute(&agent, fence, &order).await) });
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
    agent.state().has_new_orders = true;
    agent.wake.notify_one();
    peer::answer(&Answers { answers })
}

async fn on_advise(agent: &Agent, request: AdviceRequest) -> Response<Body> {
    if !agent.accept_authority(&request.authority) {
        return peer::status(StatusCode::CONFLICT);
    }
    let Some(advisor) = &agent.advisor else {
        return peer::answer(&AdviceReply::Failed("no advice_address is set".to_owned()));
    };
    let advised = match advisor.query(request.instance, &request.workers).await {
        Ok(advice) => AdviceReply::Good { good: advice.allowed, valid_ms: advice.valid_ms },
        Err(error) => AdviceReply::Failed(error.to_string()),
    };
    peer::answer(&advised)
}
