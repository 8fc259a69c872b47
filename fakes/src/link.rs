//! A TCP link that a network partition can cut off for a while.
//!
//! What is sent during the partition is held up and delivered when it ends, unless its sender has
//! reset the connection by then.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavendergauge_derive::token;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Bytes of one direction that a partition holds up; the sender keeps what follows.
const MAX_HELD_BYTES: usize = 64 << 10;
/// Time by which the end of a connection arrives after what was sent before it: a server may drop a
/// call whose connection has ended.
const END_DELAY: Duration = Duration::from_millis(100);

/// State of a link.
#[token]
enum State {
    /// What is sent is delivered.
    Whole,
    /// The partition begins with the next bytes that a client sends.
    Waiting,
    /// What is sent is held up.
    Cut,
}

/// A running link; dropping it stops accepting connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    accepted: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a link from a free loopback port to the address `upstream`.
    ///
    /// # Panics
    /// When no loopback port can be bound.
    pub async fn start(upstream: String) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let state = Arc::new(watch::Sender::new(State::Whole));
        let accepted = Arc::new(AtomicU32::new(0));
        let (shared, count) = (state.clone(), accepted.clone());
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(connect(client, upstream.clone(), shared.clone()));
            }
        });
        Link { address, state, accepted, task }
    }

    /// Returns the address that the link listens on.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Cuts the link off as soon as a client sends something, which is held up too.
    pub fn cut_at_next_call(&self) {
        self.state.send_replace(State::Waiting);
    }

    /// Waits until the link is cut off.
    pub async fn wait_until_cut(&self) {
        let _ = self.state.subscribe().wait_for(|state| *state == State::Cut).await;
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.state.send_replace(State::Whole);
    }

    /// Returns the number of accepted connections.
    pub fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }
}

/// Carries one connection until it has ended in both directions or is reset.
async fn connect(client: TcpStream, upstream: String, state: Arc<watch::Sender<State>>) {
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let _ = tokio::try_join!(
        carry(client_read, server_write, &state, true),
        carry(server_read, client_write, &state, false),
    );
}

/// Carries what one end sends to the other; what is held up is lost when its sender resets the
/// connection.
async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &watch::Sender<State>,
    is_client: bool,
) -> io::Result<()> {
    let mut changes = state.subscribe();
    let mut held = Vec::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut has_ended = false;
    loop {
        let is_cut = *changes.borrow_and_update() == State::Cut;
        if !is_cut {
            to.write_all(&held).await?;
            held.clear();
            if has_ended {
                time::sleep(END_DELAY).await;
                return to.shutdown().await;
            }
        }
        tokio::select! {
            changed = changes.changed() => changed.map_err(io::Error::other)?,
            read = from.read(&mut buffer), if !has_ended && held.len() < MAX_HELD_BYTES => {
                let length = read?;
                if length == 0 {
                    has_ended = true;
                } else if is_client && *state.borrow() == State::Waiting {
                    state.send_replace(State::Cut);
                }
                held.extend_from_slice(&buffer[..length]);
            }
        }
    }
}
