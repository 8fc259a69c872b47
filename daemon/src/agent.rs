//! An agent: the only giver of its worker's accelerators and its target's slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use error_stack::Report;
use hyper::Request;
use hyper::body::Incoming;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::Capacity;
use lavendergauge_lib::permit;
use lavendergauge_lib::request;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_net::server::Answer;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::agent_announce;
use crate::agent_health;
use crate::agent_service;
use crate::agent_task;
use crate::runtime::Runtime;
use crate::settings;
use crate::settings::Settings;
use crate::startup;
use crate::startup::Security;

/// Most connections of entries at a time.
const CONNECTIONS: usize = 1024;

/// What an agent knows, guarded by one lock that is never held over a wait.
pub struct Core {
    /// Leave to start work.
    pub permit: permit::Gate,
    /// Giver of accelerators.
    pub gang: gang::Gate,
    /// Giver of slots.
    pub requests: request::Gate,
    /// Gang members at the worker runtime.
    pub tasks: agent_task::Tasks,
    /// Whether the worker takes no new work.
    pub leaving: bool,
    /// Number of the newest announcement.
    pub sequence: u64,
}

/// State of an agent that its handlers share.
pub struct Agent {
    /// Name of the worker.
    pub name: String,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Settings of the agent, with the address it listens on.
    pub settings: settings::Agent,
    /// Number of this process.
    pub incarnation: u64,
    /// Client of the worker runtime.
    pub runtime: Runtime,
    /// How entries prove themselves.
    pub access: settings::Access,
    /// Client towards entries, which shows the fleet's key.
    pub client: Client,
    /// Client towards the target, which must not see the fleet's key.
    pub target_client: Client,
    /// Answers of requests that are being made or kept.
    pub answers: agent_service::Answers,
    /// Told when an announcement should not wait for its time.
    pub changed: Notify,
    /// How the target answered the newest probes.
    pub probe: agent_health::Probe,
    core: Mutex<Core>,
}

impl Agent {
    /// Locks what the agent knows.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running agent.
pub struct Handle {
    /// Address that entries reach the agent at.
    pub address: SocketAddr,
    /// The shared state.
    pub agent: Arc<Agent>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Time between the announcement that the worker leaves and the end of listening.
const LEAVE_GRACE: Duration = Duration::from_millis(500);

impl Handle {
    /// Announces that the worker leaves, finishes what is in flight and returns.
    pub async fn stop(self) {
        self.agent.core().leaving = true;
        self.agent.changed.notify_one();
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
/// When its address cannot be listened on, or a file of `[tls]` cannot be used.
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
    let agent = Arc::new(Agent {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        settings: settings::Agent { address: address.to_string(), ..role.clone() },
        incarnation: rand::random(),
        runtime: Runtime::new(role.runtime_address.clone()),
        access: settings.access.clone(),
        client: Client::for_fleet(&settings.access.fleet_key, security.trust),
        target_client: agent_service::target_client(role.connections),
        answers: agent_service::Answers::default(),
        changed: Notify::new(),
        probe: agent_health::Probe::default(),
        core: Mutex::new(Core {
            permit: permit::Gate::default(),
            gang: gang::Gate::new(capacity),
            requests: request::Gate::new(role.slots),
            tasks: agent_task::Tasks::default(),
            leaving: false,
            sequence: 0,
        }),
    });
    let (stop, stopped) = watch::channel(false);
    let on_request = agent.clone();
    let handler = move |request: Request<Incoming>, _: SocketAddr| -> Answer {
        Box::pin(agent_service::answer(on_request.clone(), request))
    };
    let tasks = vec![
        tokio::spawn(server::serve_tls(
            listener,
            security.acceptor.clone(),
            Arc::new(handler),
            CONNECTIONS,
            stopped.clone(),
        )),
        tokio::spawn(startup::renew(security.acceptor, stopped.clone())),
        tokio::spawn(agent_announce::run(agent.clone(), stopped.clone())),
        tokio::spawn(agent_health::run(agent.clone(), stopped.clone())),
        tokio::spawn(agent_task::run(agent.clone(), stopped)),
    ];
    log::info!("event=started role=agent address={address}");
    Ok(Handle { address, agent, stop, tasks })
}
