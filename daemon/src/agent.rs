//! The agent of one worker.
//!
//! It alone allocates the worker's accelerators, processors and memory to gang members, and the
//! target's slots to requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use error_stack::Report;
use hyper::Request;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::Capacity;
use lavendergauge_lib::permit;
use lavendergauge_lib::request;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_net::server::ResponseFuture;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::agent_announce;
use crate::agent_health;
use crate::agent_service;
use crate::agent_task;
use crate::limits::Quota;
use crate::runtime::Runtime;
use crate::settings;
use crate::settings::Settings;
use crate::startup;
use crate::startup::Security;

/// Mutable state of an agent, behind one lock that is never held across an `await`.
pub struct Core {
    /// Permission to start new work, which entries grant.
    pub permit: permit::Gate,
    /// Allocates accelerators, processors and memory to gang members.
    pub gang: gang::Gate,
    /// Allocates the target's slots to requests.
    pub requests: request::Gate,
    /// State of the gang members at the worker runtime.
    pub tasks: agent_task::Tasks,
    /// Whether the agent is shutting down, so that the worker takes no new work.
    pub is_leaving: bool,
    /// Sequence number of the newest announcement.
    pub sequence: u64,
}

/// An agent's state, shared by its handlers and background tasks.
pub struct Agent {
    /// Name of the worker.
    pub name: String,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Settings of the agent, with the address that it really listens on.
    pub settings: settings::Agent,
    /// Random number that identifies this process among all agents of the worker.
    pub incarnation: u64,
    /// Bounds on what entries occupy.
    pub quota: Quota,
    /// Client of the worker runtime.
    pub runtime: Runtime,
    /// Keys by which entries authenticate.
    pub access: settings::Access,
    /// Client for calls to entries, which sends the fleet key.
    pub client: Client,
    /// Client for calls to the target, which must not receive the fleet key.
    pub target_client: Client,
    /// Answers of running requests, and of finished ones as long as they are kept.
    pub answers: agent_service::Answers,
    /// Triggers an announcement before the next regular one.
    pub announce_now: Notify,
    /// Results of the newest health probes of the target.
    pub probe: agent_health::Probe,
    core: Mutex<Core>,
}

impl Agent {
    /// Locks the mutable state.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running agent.
pub struct Handle {
    /// Address at which entries reach the agent.
    pub address: SocketAddr,
    /// The shared state.
    pub agent: Arc<Agent>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Time for entries to receive the announcement that the worker leaves, before the agent waits for
/// its work to end.
const LEAVE_GRACE: Duration = Duration::from_millis(500);

impl Handle {
    /// Shuts the agent down.
    ///
    /// Announces that the worker leaves, waits until its requests have ended and, for a limited
    /// time, until the planner has moved its gang members, and closes the listener.
    pub async fn stop(self) {
        self.agent.core().is_leaving = true;
        self.agent.announce_now.notify_one();
        time::sleep(LEAVE_GRACE).await;
        agent_service::drain(&self.agent).await;
        agent_task::drain(&self.agent).await;
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Starts an agent.
///
/// # Errors
/// If the agent cannot listen on its address, or a file named in `[tls]` cannot be used.
pub async fn start(
    settings: &Settings,
    role: &settings::Agent,
) -> Result<Handle, Report<startup::Error>> {
    let security = Security::load(&settings.tls)?;
    let listener = startup::listen(&role.address).await?;
    let address = startup::address(&listener)?;
    let capacity = Capacity {
        accelerators: role.accelerators,
        processors: role.processors,
        memory_mb: role.memory_mb,
    };
    let quota = Quota::new(settings.limits);
    let agent = Arc::new(Agent {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        settings: settings::Agent { address: address.to_string(), ..role.clone() },
        incarnation: rand::random(),
        quota: quota.clone(),
        runtime: Runtime::new(role.runtime_address.clone()),
        access: settings.access.clone(),
        client: Client::for_fleet(
            &settings.access.fleet_key,
            security.trust,
            quota.fleet_connections,
        ),
        target_client: agent_service::target_client(role.connections),
        answers: agent_service::Answers::default(),
        announce_now: Notify::new(),
        probe: agent_health::Probe::default(),
        core: Mutex::new(Core {
            permit: permit::Gate::default(),
            gang: gang::Gate::new(capacity),
            requests: request::Gate::new(role.slots),
            tasks: agent_task::Tasks::default(),
            is_leaving: false,
            sequence: 0,
        }),
    });
    let (stop, stopped) = watch::channel(false);
    let handler_agent = agent.clone();
    let handler = move |request: Request<Body>, _: SocketAddr| -> ResponseFuture {
        Box::pin(agent_service::answer(handler_agent.clone(), request))
    };
    let tasks = vec![
        tokio::spawn(server::serve_tls(
            listener,
            security.acceptor.clone(),
            Arc::new(handler),
            quota.listener("agent", quota.peer_connections),
            stopped.clone(),
        )),
        tokio::spawn(startup::reload_certificate(security.acceptor, stopped.clone())),
        tokio::spawn(agent_announce::run(agent.clone(), stopped.clone())),
        tokio::spawn(agent_health::run(agent.clone(), stopped.clone())),
        tokio::spawn(agent_task::run(agent.clone(), stopped)),
    ];
    log::info!("event=started role=agent address={address}");
    Ok(Handle { address, agent, stop, tasks })
}
