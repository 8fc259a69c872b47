//! TCP proxies whose links can be cut and healed together.
//!
//! A cut is silent: what is sent on an open connection is held, and delivered when the cut heals unless
//! its sender has reset the connection. A connection that is opened during the cut is never delivered,
//! as its first packet is lost.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_stand_in::free_address;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time;

/// Time after the last delivered bytes until the end of a connection is delivered.
const END_DELAY: Duration = Duration::from_millis(500);

/// Whether links are cut.
#[derive(Clone)]
pub struct Cut {
    is_cut: Arc<watch::Sender<bool>>,
}

impl Default for Cut {
    fn default() -> Self {
        Cut { is_cut: Arc::new(watch::Sender::new(false)) }
    }
}

impl Cut {
    /// Cuts or heals the links.
    pub fn set(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    async fn healed(&self) {
        let _ = self.is_cut.subscribe().wait_for(|is_cut| !is_cut).await;
    }
}

/// Called with the bytes that a client has sent, before they are delivered.
pub type Watcher = Arc<dyn Fn(&[u8]) + Send + Sync>;

/// Starts a proxy to an address; returns its own address.
pub async fn start(upstream: &str, cut: &Cut, watcher: Watcher) -> String {
    let address = free_address();
    let listener = TcpListener::bind(&address).await.expect("a free port");
    let (upstream, cut) = (upstream.to_owned(), cut.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(carry(stream, upstream.clone(), cut.clone(), watcher.clone()));
        }
    });
    address
}

/// A watcher that does nothing.
pub fn unwatched() -> Watcher {
    Arc::new(|_| {})
}

async fn carry(client: TcpStream, upstream: String, cut: Cut, watcher: Watcher) {
    if cut.is_cut() {
        // Nothing of it arrives, also after the cut.
        let mut client = client;
        let mut buffer = [0; 4096];
        while matches!(client.read(&mut buffer).await, Ok(count) if count != 0) {}
        return;
    }
    let Ok(server) = TcpStream::connect(&upstream).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let sent = tokio::spawn(pump(client_read, server_write, cut.clone(), watcher));
    let answered = tokio::spawn(pump(server_read, client_write, cut, unwatched()));
    let _ = sent.await;
    answered.abort();
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Cut, watcher: Watcher) {
    let mut held: Vec<u8> = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let mut has_ended = false;
    loop {
        if !cut.is_cut() {
            if !held.is_empty() && to.write_all(&held).await.is_err() {
                return;
            }
            held.clear();
            if has_ended {
                time::sleep(END_DELAY).await;
                let _ = to.shutdown().await;
                return;
            }
        }
        if has_ended {
            cut.healed().await;
            continue;
        }
        let read: io::Result<usize> = if cut.is_cut() {
            tokio::select! {
                read = from.read(&mut buffer) => read,
                () = cut.healed() => continue,
            }
        } else {
            from.read(&mut buffer).await
        };
        match read {
            Ok(0) => has_ended = true,
            Ok(count) => {
                watcher(&buffer[..count]);
                held.extend_from_slice(&buffer[..count]);
            }
            // A reset connection loses what is held.
            Err(_) => return,
        }
    }
}
