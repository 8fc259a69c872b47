//! An entry for batch jobs: it serves callers, and may be the leader that plans.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report as Failure;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lavendergauge_lib::batch::explain::Question;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::server;
use lavendergauge_platform::ingress::READY_PATH;
use lavendergauge_platform::store::Store;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::access;
use crate::batch::admission::Admission;
use crate::batch::config_view;
use crate::batch::config_view::View;
use crate::batch::explain;
use crate::batch::forward;
use crate::batch::ingress;
use crate::batch::leader;
use crate::batch::leader::Leader;
use crate::batch::message;
use crate::batch::message::Forward;
use crate::batch::message::LeadershipOffer;
use crate::batch::message::NoticeReply;
use crate::batch::message::PresencePoll;
use crate::batch::message::Query;
use crate::batch::message::RecordNotice;
use crate::batch::message::Reply;
use crate::batch::peer;
use crate::batch::planner::Planner;
use crate::batch::roster;
use crate::batch::roster::Roster;
use crate::limits::Quota;
use crate::settings::Access;
use crate::settings::BatchEntry;
use crate::settings::Settings;
use crate::startup;
use crate::telemetry;

/// Age of the configuration from which the entry reports itself as not ready.
const READY_AGE: Duration = Duration::from_millis(2500);
/// Share of the stop time during which callers can still use their connections, in percent.
const STOP_SERVE_PERCENT: u32 = 40;
/// Share of the stop time during which calls in progress are finished, in percent.
const STOP_FINISH_PERCENT: u32 = 40;

/// State of an entry.
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// Random number that identifies this process.
    pub session: u64,
    /// Settings.
    pub settings: BatchEntry,
    /// How the fleet's processes authenticate to each other.
    pub access: Access,
    /// Bounds on what callers and the fleet's processes occupy.
    pub quota: Quota,
    /// Client of the platform's store.
    pub store: Store,
    /// Client for calls to the fleet's processes.
    pub client: Client,
    /// The operators' configuration, as this entry has read it.
    pub config_view: Arc<View>,
    /// The other entries that are known to be alive.
    pub roster: Roster,
    /// What is known of the leader's queue.
    pub admission: Admission,
    /// The leader, as last read; `None` while none is known.
    pub leader: watch::Sender<Option<Leader>>,
    /// Whether the process is stopping.
    pub stopping: watch::Sender<bool>,
    planner: Mutex<Option<Arc<Planner>>>,
}

impl Entry {
    /// Returns the planner while this entry is the leader.
    pub fn planner(&self) -> Option<Arc<Planner>> {
        self.planner.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Sets the planner of this entry's term; `None` when the term ends.
    pub fn set_planner(&self, planner: Option<Arc<Planner>>) {
        *self.planner.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = planner;
    }

    fn is_ready(&self) -> bool {
        !*self.stopping.borrow() && self.config_view.age().is_some_and(|age| age < READY_AGE)
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
    /// Tells whether this entry is the leader and has loaded its planner.
    pub fn is_planner(&self) -> bool {
        self.entry.planner().is_some()
    }

    /// Returns the number of other entries that this one knows to be alive.
    pub fn peer_count(&self) -> usize {
        self.entry.roster.others(&self.entry).len()
    }

    /// Stops at once, as a killed process does: calls are cut off and leadership is not released.
    pub async fn kill(mut self) {
        self.listeners.shutdown().await;
        self.loops.shutdown().await;
    }

    /// Stops in order: releases leadership, reports itself as not ready so that callers use other
    /// entries, and finishes calls in progress.
    pub async fn stop(mut self) {
        self.entry.stopping.send_replace(true);
        let total = self.entry.settings.stop;
        time::sleep(total * STOP_SERVE_PERCENT / 100).await;
        let _ = self.stop.send(true);
        let all_ended = async { while self.listeners.join_next().await.is_some() {} };
        if time::timeout(total * STOP_FINISH_PERCENT / 100, all_ended).await.is_err() {
            log::warn!("event=stop-cut-short cause=\"calls still in progress\"");
        }
        self.loops.shutdown().await;
    }
}

/// Starts an entry.
///
/// # Errors
/// When one of its addresses cannot be bound.
pub async fn start(
    settings: &Settings,
    role: &BatchEntry,
) -> Result<Handle, Failure<startup::Error>> {
    let service = startup::listen(&role.service_address).await?;
    let ready = startup::listen(&role.ready_address).await?;
    let peers = startup::listen(&role.peer_address).await?;
    let quota = Quota::new(settings.limits);
    let entry = Arc::new(Entry {
        name: settings.name.clone(),
        session: rand::random(),
        settings: role.clone(),
        access: settings.access.clone(),
        quota: quota.clone(),
        store: Store::new(&role.store_address),
        client: peer::client(&settings.access.fleet_key, quota.fleet_connections),
        config_view: Arc::default(),
        roster: Roster::default(),
        admission: Admission::default(),
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
    let handler = peer::handler(move |request, _| ingress::on_request(shared.clone(), request));
    listeners.spawn(server::serve(
        service,
        handler,
        quota.listener("service", quota.caller_connections),
        stopped.clone(),
    ));
    let shared = entry.clone();
    let handler = peer::handler(move |request, _| on_ready(shared.clone(), request));
    listeners.spawn(server::serve(
        ready,
        handler,
        quota.listener("ready", quota.probe_connections),
        stopped.clone(),
    ));
    let shared = entry.clone();
    let handler = peer::handler(move |request, _| on_call(shared.clone(), request));
    listeners.spawn(server::serve(
        peers,
        handler,
        quota.listener("peers", quota.peer_connections),
        stopped,
    ));
    loops.spawn(config_view::follow(entry.config_view.clone(), entry.store.clone()));
    loops.spawn(leader::follow(entry.clone()));
    loops.spawn(roster::follow(entry.clone()));
    Ok(Handle { entry, stop, listeners, loops })
}

async fn on_ready(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() != READY_PATH {
        return peer::status(StatusCode::NOT_FOUND);
    }
    let ready = entry.is_ready();
    peer::status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

async fn on_call(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() == telemetry::PATH {
        entry.admission.set_gauge();
        return telemetry::scrape();
    }
    if !access::is_from_fleet(&entry.access, request.headers()) {
        return peer::status(StatusCode::FORBIDDEN);
    }
    let bodies = &entry.quota.peer_bodies;
    match request.uri().path() {
        message::NOTICE => match peer::read::<RecordNotice>(request, bodies).await {
            Ok(notice) => {
                let Some(planner) = entry.planner() else { return peer::status(StatusCode::OK) };
                planner.load_record(notice.id, notice.record);
                peer::answer(&NoticeReply { digest: planner.publisher.dated() })
            }
            Err(refusal) => refusal,
        },
        message::QUERY => match peer::read::<Query>(request, bodies).await {
            Ok(query) => {
                let reply =
                    entry.planner().map_or(Reply::NotPlanner, |planner| planner.answer(&query));
                peer::answer(&reply)
            }
            Err(refusal) => refusal,
        },
        message::PRESENCE => match peer::read::<PresencePoll>(request, bodies).await {
            Ok(poll) => peer::answer(&roster::on_presence_poll(&entry, poll).await),
            Err(refusal) => refusal,
        },
        message::LEADERSHIP_OFFER => match peer::read::<LeadershipOffer>(request, bodies).await {
            Ok(offer) => peer::answer(&leader::on_leadership_offer(&entry, offer.lease).await),
            Err(refusal) => refusal,
        },
        message::FORWARD => match peer::read::<Forward>(request, bodies).await {
            Ok(call) => peer::answer(&forward::on_forward(&entry, call).await),
            Err(refusal) => refusal,
        },
        message::EXPLAIN => match peer::read::<Question>(request, bodies).await {
            Ok(question) => peer::answer(&explain::on_question(&entry, question).await),
            Err(refusal) => refusal,
        },
        _ => peer::status(StatusCode::NOT_FOUND),
    }
}
