//! An entry of batch jobs: takes callers' calls, and may hold the planner's duty.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report as Failure;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_platform::ingress::READY_PATH;
use lavendergauge_platform::store::Store;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::access;
use crate::batch::forward;
use crate::batch::ingress;
use crate::batch::lead;
use crate::batch::lead::Leader;
use crate::batch::message;
use crate::batch::message::Attend;
use crate::batch::message::Forward;
use crate::batch::message::Notice;
use crate::batch::message::Query;
use crate::batch::message::Reply;
use crate::batch::message::Succeed;
use crate::batch::peer;
use crate::batch::planner::Planner;
use crate::batch::roster;
use crate::batch::roster::Roster;
use crate::batch::view;
use crate::batch::view::View;
use crate::settings::Access;
use crate::settings::BatchEntry;
use crate::settings::Settings;
use crate::startup;
use crate::telemetry;

/// Most connections of callers at a time; the machine's descriptors bound it.
const SERVICE_CONNECTIONS: usize = 3000;
/// Most connections to one of the other listeners.
const CONNECTIONS: usize = 512;
/// Age of the configuration from which the entry asks for no more callers.
const READY_AGE: Duration = Duration::from_millis(2500);
/// Part of the stop time in which callers still use their connections, in percent.
const STOP_SERVE_PERCENT: u32 = 40;
/// Part of the stop time in which what is under way is finished, in percent.
const STOP_FINISH_PERCENT: u32 = 40;

/// State of an entry.
pub struct Entry {
    /// Name.
    pub name: String,
    /// Drawn anew by each process.
    pub session: u64,
    /// Settings.
    pub settings: BatchEntry,
    /// How the fleet's processes prove themselves.
    pub access: Access,
    /// Client of the platform's store.
    pub store: Store,
    /// Client towards the fleet's processes.
    pub client: Client,
    /// What is known of the operators' configuration.
    pub view: Arc<View>,
    /// The other entries.
    pub roster: Roster,
    /// Who holds the planner's duty, as far as known.
    pub leader: watch::Sender<Option<Leader>>,
    /// Whether the process stops.
    pub stopping: watch::Sender<bool>,
    planner: Mutex<Option<Arc<Planner>>>,
}

impl Entry {
    /// Returns the planner, while this entry holds the duty.
    pub fn planner(&self) -> Option<Arc<Planner>> {
        self.planner.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Sets the planner of this entry's tenure.
    pub fn set_planner(&self, planner: Option<Arc<Planner>>) {
        *self.planner.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = planner;
    }

    fn is_ready(&self) -> bool {
        !*self.stopping.borrow() && self.view.age().is_some_and(|age| age < READY_AGE)
    }
}

/// A running entry.
pub struct Handle {
    entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
    loops: JoinSet<()>,
}

impl Handle {
    /// Tells whether this entry holds the planner's duty.
    pub fn plans(&self) -> bool {
        self.entry.planner().is_some()
    }

    /// Returns how many other entries this one knows to live.
    pub fn peers(&self) -> usize {
        self.entry.roster.others(&self.entry).len()
    }

    /// Ends at once, as a killed process does: nothing is finished and nobody is told.
    pub async fn kill(mut self) {
        self.listeners.shutdown().await;
        self.loops.shutdown().await;
    }

    /// Hands the duty over, lets callers go elsewhere, and finishes what is under way.
    pub async fn stop(mut self) {
        self.entry.stopping.send_replace(true);
        let total = self.entry.settings.stop;
        time::sleep(total * STOP_SERVE_PERCENT / 100).await;
        let _ = self.stop.send(true);
        let ended = async { while self.listeners.join_next().await.is_some() {} };
        if time::timeout(total * STOP_FINISH_PERCENT / 100, ended).await.is_err() {
            log::warn!("event=stop-cut-short cause=\"calls under way\"");
        }
        self.loops.shutdown().await;
    }
}

/// Starts an entry.
///
/// # Errors
/// When an address cannot be listened on.
pub async fn start(
    settings: &Settings,
    role: &BatchEntry,
) -> Result<Handle, Failure<startup::Error>> {
    let service = startup::listen(&role.service_address).await?;
    let ready = startup::listen(&role.ready_address).await?;
    let peers = startup::listen(&role.peer_address).await?;
    let entry = Arc::new(Entry {
        name: settings.name.clone(),
        session: rand::random(),
        settings: role.clone(),
        access: settings.access.clone(),
        store: Store::new(&role.store_address),
        client: peer::client(&settings.access.fleet_key),
        view: Arc::default(),
        roster: Roster::default(),
        leader: watch::Sender::new(None),
        stopping: watch::Sender::new(false),
        planner: Mutex::new(None),
    });
    log::info!(
        "event=started role=batch-entry name={} session={} service_address={} peer_address={}",
        entry.name,
        entry.session,
        role.service_address,
        role.peer_address
    );
    let (stop, stopped) = watch::channel(false);
    let mut listeners = JoinSet::new();
    let mut loops = JoinSet::new();
    let shared = entry.clone();
    let handler = peer::handler(move |request, _| ingress::answer(shared.clone(), request));
    listeners.spawn(server::serve(service, handler, SERVICE_CONNECTIONS, stopped.clone()));
    let shared = entry.clone();
    let handler = peer::handler(move |request, _| on_ready(shared.clone(), request));
    listeners.spawn(server::serve(ready, handler, CONNECTIONS, stopped.clone()));
    let shared = entry.clone();
    let handler = peer::handler(move |request, _| on_call(shared.clone(), request));
    listeners.spawn(server::serve(peers, handler, CONNECTIONS, stopped));
    loops.spawn(view::follow(entry.view.clone(), entry.store.clone()));
    loops.spawn(lead::follow(entry.clone()));
    loops.spawn(roster::follow(entry.clone()));
    Ok(Handle { entry, stop, listeners, loops })
}

async fn on_ready(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != READY_PATH {
        return peer::status(StatusCode::NOT_FOUND);
    }
    let ready = entry.is_ready();
    peer::status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

async fn on_call(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == telemetry::PATH {
        return telemetry::scrape();
    }
    if !access::is_fleet(&entry.access, request.headers()) {
        return peer::status(StatusCode::FORBIDDEN);
    }
    match request.uri().path() {
        message::NOTICE => match peer::read::<Notice>(request).await {
            Ok(notice) => {
                if let Some(planner) = entry.planner() {
                    planner.learn(notice.id, notice.record);
                }
                peer::status(StatusCode::OK)
            }
            Err(refusal) => refusal,
        },
        message::QUERY => match peer::read::<Query>(request).await {
            Ok(query) => {
                let told =
                    entry.planner().map_or(Reply::NotPlanner, |planner| planner.tell(&query));
                peer::answer(&told)
            }
            Err(refusal) => refusal,
        },
        message::ATTEND => match peer::read::<Attend>(request).await {
            Ok(attend) => peer::answer(&roster::on_attend(&entry, attend).await),
            Err(refusal) => refusal,
        },
        message::SUCCEED => match peer::read::<Succeed>(request).await {
            Ok(offer) => peer::answer(&lead::on_succeed(&entry, offer.lease).await),
            Err(refusal) => refusal,
        },
        message::FORWARD => match peer::read::<Forward>(request).await {
            Ok(call) => peer::answer(&forward::on_forward(&entry, call).await),
            Err(refusal) => refusal,
        },
        _ => peer::status(StatusCode::NOT_FOUND),
    }
}
