//! Calls that are given up while a network partition holds them up do not arrive when it ends.

use std::env;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::Version;
use lavendergauge_fakes::link::Link;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::client::Error;
use lavendergauge_net::client::Options;
use lavendergauge_net::server;
use lavendergauge_net::server::ResponseFuture;
use lavendergauge_net::tls::Acceptor;
use lavendergauge_net::tls::Trust;
use lavendergauge_testutils::certificate::Folder;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

/// Deadline of a call that is to be answered.
const LONG: Duration = Duration::from_secs(20);
/// Deadline of a call that is to be given up.
const SHORT: Duration = Duration::from_millis(300);
/// Length of a call that the kernel's buffers do not hold, in bytes.
const LARGE: usize = 24 << 20;
/// Time from the end of a call until that of the partition.
const PAUSE: Duration = Duration::from_millis(100);
/// Time after the partition in which what was held up arrives.
const OBSERVED: Duration = Duration::from_millis(500);
/// Tells the second process of [`killed_process`] where to send its call.
const PEER: &str = "GIVEN_UP_PEER";

/// A server behind a link.
struct Peer {
    link: Link,
    seen: Arc<Mutex<Seen>>,
    _stop: watch::Sender<bool>,
}

/// What has arrived at a server.
#[derive(Default)]
struct Seen {
    /// Version and path of each request, also of one that was not complete.
    requests: Vec<(Version, String)>,
    /// Number of complete requests.
    complete: usize,
}

impl Peer {
    async fn start(acceptor: Option<Acceptor>) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = seen.clone();
        let handler = move |request: Request<Body>, _: SocketAddr| -> ResponseFuture {
            let seen = shared.clone();
            let path = request.uri().path().to_owned();
            seen.lock().expect("requests").requests.push((request.version(), path));
            Box::pin(async move {
                if body::collect(request.into_body(), LARGE).await.is_ok() {
                    seen.lock().expect("requests").complete += 1;
                }
                Response::new(body::empty())
            })
        };
        tokio::spawn(server::serve_tls(listener, acceptor, Arc::new(handler), 8, stopped));
        Peer { link: Link::start(address.to_string()).await, seen, _stop: stop }
    }

    fn request(&self, path: &str) -> Request<Body> {
        request(&self.link.address(), path)
    }

    fn paths(&self) -> Vec<String> {
        let seen = self.seen.lock().expect("requests");
        seen.requests.iter().map(|(_, path)| path.clone()).collect()
    }

    /// Ends the partition a little later; returns the paths of the requests that have arrived some
    /// time after.
    async fn heal(&self) -> Vec<String> {
        time::sleep(PAUSE).await;
        eprintln!("HEAL {:?}", std::time::SystemTime::now());
        self.link.heal();
        time::sleep(OBSERVED).await;
        self.paths()
    }
}

fn request(address: &str, path: &str) -> Request<Body> {
    let body = body::full("an order");
    Request::post(format!("http://{address}{path}")).body(body).expect("a request")
}

#[tokio::test]
async fn patient_call() {
    // The call of a caller that still waits arrives.
    let peer = Peer::start(None).await;
    peer.link.cut_at_next_call();
    let request = peer.request("/order");
    let call = tokio::spawn(async move { Client::default().fetch(request, LONG).await });
    peer.link.wait_until_cut().await;
    time::sleep(SHORT).await;
    assert!(peer.paths().is_empty());
    assert_eq!(peer.heal().await, ["/order"]);
    assert_eq!(call.await.expect("joined").expect("an answer").status(), 200);
}

#[tokio::test]
async fn deadline() {
    let peer = Peer::start(None).await;
    peer.link.cut_at_next_call();
    let outcome = Client::default().fetch(peer.request("/order"), SHORT).await;
    assert!(matches!(outcome, Err(Error::Timeout(_))), "{outcome:?}");
    assert!(peer.heal().await.is_empty(), "the call arrived after its deadline");
}

#[tokio::test]
async fn large_call() {
    // The client itself held a part of the call, and went on sending it after the partition.
    let (peer, other) = (Peer::start(None).await, Peer::start(None).await);
    let client = Client::new(Options { connections: 1, idle: 0, ..Options::default() });
    peer.link.cut_at_next_call();
    let mut request = peer.request("/order");
    *request.body_mut() = body::full(vec![b'x'; LARGE]);
    let outcome = client.fetch(request, SHORT).await;
    assert!(matches!(outcome, Err(Error::Timeout(_))), "{outcome:?}");
    let outcome = client.fetch(other.request("/"), LONG).await;
    assert!(outcome.is_ok(), "the only connection is still in use: {outcome:?}");
    peer.heal().await;
    assert_eq!(peer.seen.lock().expect("requests").complete, 0);
}

#[tokio::test]
async fn cancelled() {
    let peer = Peer::start(None).await;
    peer.link.cut_at_next_call();
    let (client, request) = (Client::default(), peer.request("/order"));
    let sending = client.clone();
    let call = tokio::spawn(async move { sending.fetch(request, LONG).await });
    peer.link.wait_until_cut().await;
    call.abort();
    assert!(call.await.expect_err("cancelled").is_cancelled());
    assert!(peer.heal().await.is_empty(), "the call arrived after it was cancelled");
}

#[tokio::test]
async fn pooled_connection() {
    let peer = Peer::start(None).await;
    let client = Client::default();
    client.fetch(peer.request("/first"), LONG).await.expect("an answer");
    peer.link.cut_at_next_call();
    client.fetch(peer.request("/second"), SHORT).await.expect_err("a partition");
    assert_eq!(peer.link.accepted(), 1, "both calls use one connection");
    assert_eq!(peer.heal().await, ["/first"]);
}

#[tokio::test]
async fn concurrent_call() {
    // Giving up one call ends no other one to the same peer.
    let peer = Peer::start(None).await;
    let client = Client::default();
    peer.link.cut_at_next_call();
    let (sending, request) = (client.clone(), peer.request("/patient"));
    let patient = tokio::spawn(async move { sending.fetch(request, LONG).await });
    peer.link.wait_until_cut().await;
    client.fetch(peer.request("/order"), SHORT).await.expect_err("a partition");
    assert_eq!(peer.heal().await, ["/patient"]);
    assert_eq!(patient.await.expect("joined").expect("an answer").status(), 200);
}

#[tokio::test]
async fn tls_connection() {
    // The listener offers HTTP/2, over which calls would share a connection.
    let folder = Folder::new("given-up");
    let peer = Peer::start(Some(Acceptor::load(folder.files()).expect("files"))).await;
    let trust = Trust::load(folder.authority()).expect("an authority");
    let client = Client::with_trust(Options::default(), Some(trust));
    client.fetch(peer.request("/first"), LONG).await.expect("an answer");
    assert_eq!(peer.seen.lock().expect("requests").requests[0].0, Version::HTTP_11);
    peer.link.cut_at_next_call();
    client.fetch(peer.request("/second"), SHORT).await.expect_err("a partition");
    assert_eq!(peer.link.accepted(), 1, "both calls use one connection");
    assert_eq!(peer.heal().await, ["/first"]);
}

#[tokio::test]
async fn killed_process() {
    if let Ok(address) = env::var(PEER) {
        let _ = Client::default().fetch(request(&address, "/order"), LONG).await;
        return;
    }
    let peer = Peer::start(None).await;
    peer.link.cut_at_next_call();
    let mut process = Command::new(env::current_exe().expect("a path"))
        .args(["--exact", "killed_process"])
        .env(PEER, peer.link.address())
        .stdout(Stdio::null())
        .spawn()
        .expect("a process");
    peer.link.wait_until_cut().await;
    process.kill().expect("killed");
    process.wait().expect("ended");
    assert!(peer.heal().await.is_empty(), "the call arrived after its sender was killed");
}
