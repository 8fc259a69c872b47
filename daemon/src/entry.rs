//! An entry: accepts callers' requests and operators' changes, and may be the leader, which runs
//! the planner.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use error_stack::Report;
use hyper::Request;
use hyper::StatusCode;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang_lease;
use lavendergauge_lib::name::Name;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_net::server::ResponseFuture;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Envelope;
use lavendergauge_wire::config::Statement;
use lavendergauge_wire::config::Writer;
use lavendergauge_wire::problem::Detail;
use lavendergauge_wire::problem::Outcome;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::auth_limit::Limiter;
use crate::clock;
use crate::config;
use crate::config_peer;
use crate::config_sync;
use crate::config_view::View;
use crate::entry_claim;
use crate::entry_control;
use crate::entry_route;
use crate::entry_route::Router;
use crate::entry_service;
use crate::leader;
use crate::limits::Quota;
use crate::problem;
use crate::settings;
use crate::settings::Settings;
use crate::startup;
use crate::startup::Security;
use crate::store::Item;
use crate::store::Store;
use crate::worker;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config/current";
/// Time for which a leaving entry still listens after it has announced that it leaves, so that
/// workers and callers turn to other entries.
const LEAVE_GRACE: Duration = Duration::from_millis(700);

/// State of an entry that changes, guarded by one lock that is never held across an `await`.
pub struct Core {
    /// The configuration in force.
    pub document: Document,
    /// What is known of the configuration's versions and of the entries that may write it.
    pub config_view: View,
    /// The newest statement of each other entry and when it was requested, by incarnation.
    pub statements: HashMap<u64, (Millis, Statement)>,
    /// Whether the entry is leaving.
    pub is_leaving: bool,
    /// The workers whose agents announce themselves to this entry.
    pub workers: worker::Table,
    /// The gangs whose members are announced to this entry.
    pub gangs: gang_lease::Table,
    /// Attempts whose end is on record, by job and number; agents may forget their members.
    pub recorded_ends: HashSet<(Name, u32)>,
    /// The planner's epoch while this entry is the leader, otherwise 0.
    pub epoch: u64,
    /// Source of random choices.
    pub rng: SmallRng,
}

/// An entry's identity, clients and state, shared by its handlers and tasks.
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// Address of the administration API.
    pub control_address: String,
    /// Keys by which callers and the fleet's processes are authenticated.
    pub access: settings::Access,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Addresses of other entries, which are queried while the configuration lists none.
    pub peer_addresses: Vec<String>,
    /// Locked while this entry writes the configuration.
    pub config_write_lock: tokio::sync::Mutex<()>,
    /// Bounds on what callers, operators and the fleet's processes occupy.
    pub quota: Quota,
    /// Client of the platform's key-value service.
    pub store: Store,
    /// Client for calls to agents and entries.
    pub client: Client,
    /// Client that opens a new connection for each call, for use after a connection failed or fell
    /// silent.
    pub fresh_client: Client,
    /// Random number that identifies this process, generated when it starts.
    pub incarnation: u64,
    /// The queue of requests and the state of the targets.
    pub router: Arc<Router>,
    /// The store's lease that new claims of keys are bound to.
    pub claim_lease: entry_claim::Lease,
    core: Mutex<Core>,
}

impl Entry {
    /// Locks the entry's changing state.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns this entry as the configuration lists it among its writers.
    pub fn writer(&self) -> Writer {
        Writer {
            name: self.name.clone(),
            address: self.control_address.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
        }
    }

    /// Applies an envelope of the configuration, unless a newer one is known.
    pub fn apply_envelope(&self, envelope: Envelope) {
        let mut core = self.core();
        let document = envelope.document.clone();
        if !core.config_view.apply_envelope(clock::now(), envelope) {
            return;
        }
        if core.document.revision != document.revision {
            log::info!("event=config-in-force revision={}", document.revision);
        }
        core.document = document;
        let listed: Vec<u64> = core.config_view.envelope().map_or_else(Vec::new, |envelope| {
            envelope.writers.iter().map(|writer| writer.incarnation).collect()
        });
        core.statements.retain(|incarnation, _| listed.contains(incarnation));
    }

    /// Applies the configuration that was read from the store, unless a newer one is known.
    pub fn apply_stored(&self, item: Option<&Item>) {
        let Some(item) = item else {
            self.core().config_view.set_stored(0, 0);
            return;
        };
        match codec::from_json::<Envelope>(&item.value) {
            Ok(envelope) => {
                let serial = envelope.serial;
                self.apply_envelope(envelope);
                self.core().config_view.set_stored(item.version, serial);
            }
            Err(error) => log::error!("event=config-unreadable cause=\"{error}\""),
        }
    }

    /// Returns the problem with which calls are refused while no configuration is known.
    ///
    /// `None` once a configuration is known.
    pub fn readiness_problem(&self) -> Option<Box<Detail>> {
        if self.core().config_view.envelope().is_some() {
            return None;
        }
        let text = "the entry has not learnt the configuration yet";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut detail = problem::detail(status, "not ready", Outcome::NotRun, text);
        detail.retry_after_s = 1;
        Some(Box::new(detail))
    }
}

/// A running entry.
pub struct Handle {
    /// Address for callers' requests.
    pub service_address: SocketAddr,
    /// Address of the administration API.
    pub control_address: SocketAddr,
    /// The shared state.
    pub entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Stops the entry: announces to the other entries that it leaves, then finishes requests and
    /// launches under way and returns.
    ///
    /// Workers and callers have a short time to turn to other entries in between.
    pub async fn stop(self) {
        self.entry.core().is_leaving = true;
        config_sync::deregister(&self.entry).await;
        time::sleep(LEAVE_GRACE).await;
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = task.await;
        }
    }

    /// Ends at once, as a killed process does: nothing is finished and other entries are not
    /// informed.
    pub async fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Starts an entry.
///
/// # Errors
/// When an address cannot be listened on, or a file of `[tls]` cannot be used.
pub async fn start(
    settings: &Settings,
    role: &settings::Entry,
) -> Result<Handle, Report<startup::Error>> {
    let security = Security::load(&settings.tls)?;
    let service = startup::listen(&role.service_address).await?;
    let control = startup::listen(&role.control_address).await?;
    let service_address = startup::address(&service)?;
    let control_address = startup::address(&control)?;
    let quota = Quota::new(settings.limits);
    let client =
        Client::for_fleet(&settings.access.fleet_key, security.trust, quota.fleet_connections);
    let incarnation = rand::random();
    let entry = Arc::new(Entry {
        name: settings.name.clone(),
        control_address: control_address.to_string(),
        access: settings.access.clone(),
        data_centre: settings.data_centre.clone(),
        peer_addresses: role.peers.clone(),
        config_write_lock: tokio::sync::Mutex::new(()),
        quota: quota.clone(),
        store: Store::new(role.store_address.clone()),
        client: client.clone(),
        fresh_client: client.unpooled(quota.fresh_connections),
        incarnation,
        router: Arc::default(),
        claim_lease: entry_claim::Lease::default(),
        core: Mutex::new(Core {
            document: config::empty(),
            config_view: View::new(incarnation),
            statements: HashMap::new(),
            is_leaving: false,
            workers: worker::Table::default(),
            gangs: gang_lease::Table::default(),
            recorded_ends: HashSet::new(),
            epoch: 0,
            rng: SmallRng::from_rng(&mut rand::rng()),
        }),
    });
    let (stop, stopped) = watch::channel(false);
    let service_entry = entry.clone();
    let control_entry = entry.clone();
    let limiter = Arc::new(Limiter::default());
    let control_limiter = limiter.clone();
    let service_handler = move |request: Request<Body>, peer: SocketAddr| -> ResponseFuture {
        let (entry, limiter) = (service_entry.clone(), limiter.clone());
        Box::pin(async move {
            let response = entry_service::answer(entry, request).await;
            limiter.apply(clock::now(), peer.ip(), response)
        })
    };
    let control_handler = move |request: Request<Body>, peer: SocketAddr| -> ResponseFuture {
        let (entry, limiter) = (control_entry.clone(), control_limiter.clone());
        Box::pin(async move {
            let response = entry_control::answer(entry, request).await;
            limiter.apply(clock::now(), peer.ip(), response)
        })
    };
    let tasks = vec![
        tokio::spawn(server::serve_tls(
            service,
            security.acceptor.clone(),
            Arc::new(service_handler),
            quota.listener("service", quota.caller_connections),
            stopped.clone(),
        )),
        tokio::spawn(server::serve_tls(
            control,
            security.acceptor.clone(),
            Arc::new(control_handler),
            quota.listener("control", quota.peer_connections),
            stopped.clone(),
        )),
        tokio::spawn(startup::reload_certificate(security.acceptor, stopped.clone())),
        tokio::spawn(entry_route::run(entry.clone(), stopped.clone())),
        tokio::spawn(config_sync::run(entry.clone(), stopped.clone())),
        tokio::spawn(config_sync::watch(entry.clone(), stopped.clone())),
        tokio::spawn(config_peer::run(entry.clone(), stopped.clone())),
        tokio::spawn(leader::run(entry.clone(), role.tick, stopped)),
    ];
    log::info!("event=started role=entry service={service_address} control={control_address}");
    Ok(Handle { service_address, control_address, entry, stop, tasks })
}
