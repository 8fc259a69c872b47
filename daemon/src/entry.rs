//! An entry: takes callers' requests and operators' changes, and may hold the planner's duty.

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
use hyper::body::Incoming;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang_lease;
use lavendergauge_lib::name::Name;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_net::server::Answer;
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

use crate::clock;
use crate::config;
use crate::config_peer;
use crate::config_sync;
use crate::config_view::View;
use crate::duty;
use crate::entry_claim;
use crate::entry_control;
use crate::entry_route;
use crate::entry_route::Router;
use crate::entry_service;
use crate::guard::Guard;
use crate::member;
use crate::problem;
use crate::settings;
use crate::settings::Settings;
use crate::startup;
use crate::startup::Security;
use crate::store::Item;
use crate::store::Store;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config/current";
/// Time between the word that an entry leaves and the end of listening.
const LEAVE_GRACE: Duration = Duration::from_millis(700);
/// Most connections of callers at a time.
const SERVICE_CONNECTIONS: usize = 4096;
/// Most connections to the administration API at a time.
const CONTROL_CONNECTIONS: usize = 4096;

/// What an entry knows, guarded by one lock that is never held over a wait.
pub struct Core {
    /// The configuration in force.
    pub document: Document,
    /// What is known of the configuration's order and of the entries that may write it.
    pub view: View,
    /// What other entries last said, by incarnation, and when they were asked.
    pub peers: HashMap<u64, (Millis, Statement)>,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// The agents that announce themselves here.
    pub members: member::Table,
    /// The gangs whose members announce themselves here.
    pub gangs: gang_lease::Table,
    /// Attempts whose end is on record, so that agents may forget their members.
    pub settled: HashSet<(Name, u32)>,
    /// Planner epoch that this entry holds, or 0.
    pub epoch: u64,
    /// Source of random choices.
    pub rng: SmallRng,
}

/// State of an entry that its handlers share.
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// Address of the administration API.
    pub control_address: String,
    /// How callers and processes prove themselves.
    pub access: settings::Access,
    /// Data centre that the entry stands in.
    pub data_centre: String,
    /// Addresses to ask for other entries while none is known.
    pub peers: Vec<String>,
    /// Held while the configuration is written.
    pub writing: tokio::sync::Mutex<()>,
    /// Client of the platform's key-value service.
    pub store: Store,
    /// Client towards agents and entries.
    pub client: Client,
    /// Client that opens a new connection for each call, for when old ones are in doubt.
    pub fresh: Client,
    /// Random number drawn at the start, which no other process has.
    pub incarnation: u64,
    /// The queue of requests and the view of the targets.
    pub router: Arc<Router>,
    /// The lease of claimed keys.
    pub lease: entry_claim::Lease,
    core: Mutex<Core>,
}

impl Entry {
    /// Locks what the entry knows.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns this entry as others know it.
    pub fn writer(&self) -> Writer {
        Writer {
            name: self.name.clone(),
            address: self.control_address.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
        }
    }

    /// Takes in an envelope of the configuration; an older one changes nothing.
    pub fn learn(&self, envelope: Envelope) {
        let mut core = self.core();
        let document = envelope.document.clone();
        if !core.view.learn(clock::now(), envelope) {
            return;
        }
        if core.document.revision != document.revision {
            log::info!("event=config-in-force revision={}", document.revision);
        }
        core.document = document;
        let listed: Vec<u64> = core.view.envelope().map_or_else(Vec::new, |envelope| {
            envelope.writers.iter().map(|writer| writer.incarnation).collect()
        });
        core.peers.retain(|incarnation, _| listed.contains(incarnation));
    }

    /// Takes in what the store holds; an older configuration than the known one changes nothing.
    pub fn learn_item(&self, item: Option<&Item>) {
        let Some(item) = item else {
            self.core().view.see_stored(0, 0);
            return;
        };
        match codec::from_json::<Envelope>(&item.value) {
            Ok(envelope) => {
                let serial = envelope.serial;
                self.learn(envelope);
                self.core().view.see_stored(item.version, serial);
            }
            Err(error) => log::error!("event=config-unreadable cause=\"{error}\""),
        }
    }

    /// Refuses a call as long as no configuration is known; `None` once one is.
    pub fn unready(&self) -> Option<Box<Detail>> {
        if self.core().view.envelope().is_some() {
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
    /// Address that callers' requests come to.
    pub service_address: SocketAddr,
    /// Address of the administration API.
    pub control_address: SocketAddr,
    /// The shared state.
    pub entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Leaves: tells the other entries, finishes what is in flight and returns.
    ///
    /// Workers and callers are given a short while to turn to other entries.
    pub async fn stop(self) {
        self.entry.core().leaving = true;
        config_sync::leave(&self.entry).await;
        time::sleep(LEAVE_GRACE).await;
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = task.await;
        }
    }

    /// Ends at once, as a killed process does: nothing is finished and nobody is told.
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
    let client = Client::for_fleet(&settings.access.fleet_key, security.trust);
    let incarnation = rand::random();
    let entry = Arc::new(Entry {
        name: settings.name.clone(),
        control_address: control_address.to_string(),
        access: settings.access.clone(),
        data_centre: settings.data_centre.clone(),
        peers: role.peers.clone(),
        writing: tokio::sync::Mutex::new(()),
        store: Store::new(role.store_address.clone()),
        client: client.clone(),
        fresh: client.fresh(),
        incarnation,
        router: Arc::default(),
        lease: entry_claim::Lease::default(),
        core: Mutex::new(Core {
            document: config::empty(),
            view: View::new(incarnation),
            peers: HashMap::new(),
            leaving: false,
            members: member::Table::default(),
            gangs: gang_lease::Table::default(),
            settled: HashSet::new(),
            epoch: 0,
            rng: SmallRng::from_rng(&mut rand::rng()),
        }),
    });
    let (stop, stopped) = watch::channel(false);
    let on_service = entry.clone();
    let on_control = entry.clone();
    let guard = Arc::new(Guard::default());
    let on_control_guard = guard.clone();
    let service_handler = move |request: Request<Incoming>, peer: SocketAddr| -> Answer {
        let (entry, guard) = (on_service.clone(), guard.clone());
        Box::pin(async move {
            let answer = entry_service::answer(entry, request).await;
            guard.screen(clock::now(), peer.ip(), answer)
        })
    };
    let control_handler = move |request: Request<Incoming>, peer: SocketAddr| -> Answer {
        let (entry, guard) = (on_control.clone(), on_control_guard.clone());
        Box::pin(async move {
            let answer = entry_control::answer(entry, request).await;
            guard.screen(clock::now(), peer.ip(), answer)
        })
    };
    let tasks = vec![
        tokio::spawn(server::serve_tls(
            service,
            security.acceptor.clone(),
            Arc::new(service_handler),
            SERVICE_CONNECTIONS,
            stopped.clone(),
        )),
        tokio::spawn(server::serve_tls(
            control,
            security.acceptor.clone(),
            Arc::new(control_handler),
            CONTROL_CONNECTIONS,
            stopped.clone(),
        )),
        tokio::spawn(startup::renew(security.acceptor, stopped.clone())),
        tokio::spawn(entry_route::run(entry.clone(), stopped.clone())),
        tokio::spawn(config_sync::run(entry.clone(), stopped.clone())),
        tokio::spawn(config_sync::watch(entry.clone(), stopped.clone())),
        tokio::spawn(config_peer::run(entry.clone(), stopped.clone())),
        tokio::spawn(duty::run(entry.clone(), role.tick, stopped)),
    ];
    log::info!("event=started role=entry service={service_address} control={control_address}");
    Ok(Handle { service_address, control_address, entry, stop, tasks })
}
