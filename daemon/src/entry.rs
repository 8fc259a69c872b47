//! An entry: takes callers' requests and operators' changes, and may hold the planner's duty.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang_lease;
use lavendergauge_lib::name::Name;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_net::server::Answer;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Document;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::clock;
use crate::config;
use crate::duty;
use crate::entry_claim;
use crate::entry_control;
use crate::entry_route;
use crate::entry_route::Router;
use crate::entry_service;
use crate::member;
use crate::settings;
use crate::settings::Settings;
use crate::store::Item;
use crate::store::Store;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config/current";
/// Interval at which an entry asks the store for the configuration.
const CONFIRM_EVERY: Duration = Duration::from_millis(500);
/// Most connections of callers at a time.
const SERVICE_CONNECTIONS: usize = 4096;
/// Most connections to the administration API at a time.
const CONTROL_CONNECTIONS: usize = 4096;

/// What an entry knows, guarded by one lock that is never held over a wait.
pub struct Core {
    /// The configuration in force.
    pub document: Document,
    /// The configuration's version in the store, which a compare-and-swap names.
    pub version: i64,
    /// When the newest answered question for the configuration was asked.
    pub confirmed: Option<Millis>,
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
    /// Client of the platform's key-value service.
    pub store: Store,
    /// Client towards agents and entries.
    pub client: Client,
    /// Client that opens a new connection for each call, for when old ones are in doubt.
    pub fresh: Client,
    /// Number of this process.
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

    /// Takes in a configuration read from the store at `asked`; a lower revision changes nothing.
    pub fn learn(&self, asked: Millis, item: Option<&Item>) {
        let document = match item {
            None => config::empty(),
            Some(item) => match codec::from_json::<Document>(&item.value) {
                Ok(document) => document,
                Err(error) => {
                    log::error!("event=config-unreadable cause=\"{error}\"");
                    return;
                }
            },
        };
        let mut core = self.core();
        if document.revision < core.document.revision {
            log::error!(
                "event=config-reverted revision={} stored={}",
                core.document.revision,
                document.revision
            );
            return;
        }
        if core.document.revision < document.revision {
            log::info!("event=config-in-force revision={}", document.revision);
        }
        core.document = document;
        core.version = item.map_or(0, |item| item.version);
        core.confirmed = core.confirmed.max(Some(asked));
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
    /// Stops taking work, finishes what is in flight and returns.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Starts an entry.
///
/// # Errors
/// When an address cannot be listened on.
pub async fn start(settings: &Settings, role: &settings::Entry) -> io::Result<Handle> {
    let service = TcpListener::bind(&role.service_address).await?;
    let control = TcpListener::bind(&role.control_address).await?;
    let service_address = service.local_addr()?;
    let control_address = control.local_addr()?;
    let client = Client::for_fleet(&settings.access.fleet_key, None);
    let entry = Arc::new(Entry {
        name: settings.name.clone(),
        control_address: control_address.to_string(),
        access: settings.access.clone(),
        store: Store::new(role.store_address.clone()),
        client: client.clone(),
        fresh: client.fresh(),
        incarnation: rand::random(),
        router: Arc::default(),
        lease: entry_claim::Lease::default(),
        core: Mutex::new(Core {
            document: config::empty(),
            version: 0,
            confirmed: None,
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
    let service_handler = move |request: Request<Incoming>, _: SocketAddr| -> Answer {
        Box::pin(entry_service::answer(on_service.clone(), request))
    };
    let control_handler = move |request: Request<Incoming>, _: SocketAddr| -> Answer {
        Box::pin(entry_control::answer(on_control.clone(), request))
    };
    let tasks = vec![
        tokio::spawn(server::serve(
            service,
            Arc::new(service_handler),
            SERVICE_CONNECTIONS,
            stopped.clone(),
        )),
        tokio::spawn(server::serve(
            control,
            Arc::new(control_handler),
            CONTROL_CONNECTIONS,
            stopped.clone(),
        )),
        tokio::spawn(confirm(entry.clone(), stopped.clone())),
        tokio::spawn(entry_route::run(entry.clone(), stopped.clone())),
        tokio::spawn(duty::run(entry.clone(), role.tick, stopped)),
    ];
    log::info!("event=started role=entry service={service_address} control={control_address}");
    Ok(Handle { service_address, control_address, entry, stop, tasks })
}

/// Asks the store for the configuration again and again.
async fn confirm(entry: Arc<Entry>, stopped: watch::Receiver<bool>) {
    while !*stopped.borrow() {
        let asked = clock::now();
        match entry.store.load(CONFIG_KEY).await {
            Ok(item) => entry.learn(asked, item.as_ref()),
            Err(error) => log::warn!("event=store-failed call=config cause=\"{error}\""),
        }
        time::sleep(CONFIRM_EVERY).await;
    }
}
