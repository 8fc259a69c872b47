//! Slow clients at the listeners of an agent of batch jobs.

use std::sync::Arc;

use lavendergauge_daemon::batch::message;
use lavendergauge_daemon::batch::message::Authority;
use lavendergauge_daemon::batch::message::Poll;
use lavendergauge_stand_in::Server;
use lavendergauge_stand_in::free_address;
use lavendergauge_stand_in::store::Endpoint;
use lavendergauge_stand_in::store::Store;
use lavendergauge_stand_in::worker::Profile;
use lavendergauge_stand_in::worker::Worker;
use lavendergauge_wire::codec;

use crate::clients::CLIENTS;
use crate::clients::Clients;
use crate::clients::Framing;
use crate::clients::JOB_BYTES;
use crate::listener::Call;
use crate::listener::Listener;
use crate::process;
use crate::process::Process;

/// Longest legal body of a heartbeat, in bytes.
const HEARTBEAT_BYTES: usize = 64 << 10;
/// Longest legal body of a call between the fleet's processes, in bytes.
const PEER_BYTES: usize = 8 << 20;
/// Number of connections that send such bodies.
const PEER_CLIENTS: usize = 30;

/// An agent, its listeners, its worker and the store.
pub struct Fixture {
    pub process: Process,
    pub heartbeats: Listener,
    pub peers: Listener,
    worker: Arc<Worker>,
    _servers: (Server, Endpoint, Arc<Store>),
}

impl Fixture {
    /// Starts the stand-ins and the agent, and waits until the agent answers.
    pub async fn start() -> Fixture {
        let (store, endpoint) = Store::start().await;
        let profile = Profile {
            id: "i-0".to_owned(),
            rack: "r-1".to_owned(),
            data_centre: "z-1".to_owned(),
            clock_permille: 1000,
        };
        let (worker, server) = Worker::start(profile, Box::new(|_| {})).await;
        let (heartbeats, peers) = (free_address(), free_address());
        let process = Process::start(&format!(
            "[process]\nrole = batch-agent\nname = side-0\ndata_centre = z-1\n\
             open_access = yes\n[batch]\npeer_address = {peers}\nstore_address = {}\n\
             heartbeat_address = {heartbeats}\nworker_address = {}\nservice = sim\n",
            endpoint.server.address, server.address
        ));
        let mut fixture = Fixture {
            process,
            heartbeats: Listener::plain(&heartbeats),
            peers: Listener::plain(&peers),
            worker,
            _servers: (server, endpoint, store),
        };
        fixture.check().await;
        fixture
    }

    /// Checks the process, that a heartbeat is acknowledged, and that the planner's poll is
    /// answered.
    pub async fn check(&mut self) {
        self.process.settle().await;
        self.check_now().await;
    }

    /// As `check`, without waiting until the process has read what was sent to it.
    pub async fn check_now(&mut self) {
        self.process.check();
        let heartbeat = self.worker.heartbeat().to_string();
        self.heartbeats.expect(&Call::post("/instances/i-0/heartbeat", heartbeat), 200).await;
        self.peers.expect(&poll(0, 0), 200).await;
        self.process.check();
    }
}

/// Returns a planner's poll that waits up to this number of milliseconds for another version.
pub fn poll(seen: u64, wait_ms: u64) -> Call {
    let authority = Authority { planner: "entry-0".to_owned(), fence: 1, session: 0, grant: 0 };
    let poll = Poll { authority, seen, wait_ms, incarnation: 0, forget: 0, epoch: 0 };
    Call::post(message::POLL, codec::pack(&poll).expect("a message"))
}

async fn many_heartbeats(framing: Framing) {
    let _alone = process::run_alone().await;
    let mut fixture = Fixture::start().await;
    let call = Call::post("/instances/i-0/heartbeat", " ".repeat(HEARTBEAT_BYTES));
    let mut clients = Clients::unfinished(&fixture.heartbeats, CLIENTS, &call, framing);
    clients.wait_until_sent().await;
    fixture.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_heartbeats() {
    many_heartbeats(Framing::Whole).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_piecewise() {
    many_heartbeats(Framing::Pieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_heartbeat_chunks() {
    many_heartbeats(Framing::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tiny_heartbeat_chunks() {
    many_heartbeats(Framing::TinyChunks).await;
}

async fn clients_at_peers(framing: Framing) {
    let _alone = process::run_alone().await;
    let mut fixture = Fixture::start().await;
    let bytes = if framing == Framing::TinyChunks { JOB_BYTES } else { PEER_BYTES };
    let call = Call::post(message::ORDERS, vec![0x81; bytes]);
    let mut clients = Clients::unfinished(&fixture.peers, PEER_CLIENTS, &call, framing);
    clients.wait_until_sent().await;
    fixture.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_orders() {
    clients_at_peers(Framing::Whole).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_piecewise() {
    clients_at_peers(Framing::Pieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_order_chunks() {
    clients_at_peers(Framing::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tiny_order_chunks() {
    clients_at_peers(Framing::TinyChunks).await;
}
