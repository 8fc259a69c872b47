//! A burst of peers finds room before anyone accepts them.

use std::time::Duration;

use lavendergauge_net::server;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

/// Peers that come at once, to be accepted by nobody for now.
const PEERS: usize = 400;
/// Time in which all must be connected; a peer whose first packet was dropped tries again only
/// after a whole second.
const BOUND: Duration = Duration::from_millis(900);

#[tokio::test]
async fn burst_fits() {
    let listener = server::listen("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let mut peers = JoinSet::new();
    for _ in 0..PEERS {
        peers.spawn(TcpStream::connect(address));
    }
    let connected = time::timeout(BOUND, peers.join_all()).await.expect("nobody is dropped");
    assert!(connected.iter().all(Result::is_ok));
}

#[tokio::test]
async fn malformed_address() {
    assert!(server::listen("localhost").await.is_err());
}
