//! A TCP relay whose behaviour can be changed while connections are open.

use std::net::SocketAddr;
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

/// How a relay treats the bytes that pass through it.
#[token]
#[derive(Default)]
pub enum Mode {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Each chunk is delayed by this many milliseconds.
    Delay(u64),
    /// Bytes are held in both directions, and new connections are not forwarded, as in a network
    /// partition.
    Partition,
    /// Bytes to the upstream address are held; those from it are forwarded.
    HoldForward,
    /// Bytes from the upstream address are held; those to it are forwarded.
    HoldBackward,
}

impl Mode {
    /// Returns true when bytes are held in a direction; `forward` means the one to the upstream
    /// address.
    fn is_holding(self, forward: bool) -> bool {
        matches!(
            (self, forward),
            (Mode::Partition, _) | (Mode::HoldForward, true) | (Mode::HoldBackward, false)
        )
    }
}

/// A disruption of the open connections.
#[token]
enum Disruption {
    /// They are reset.
    Reset,
    /// They stay open, but nothing is forwarded any more.
    Silence,
}

/// A running relay; dropping it stops accepting connections.
pub struct Link {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    disruptions: watch::Sender<Option<Disruption>>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a relay from a free loopback port to the address `upstream`.
    ///
    /// # Panics
    /// When no loopback port can be bound.
    pub async fn start(upstream: String) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let (mode, modes) = watch::channel(Mode::Open);
        let (disruptions, received) = watch::channel(None);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, upstream.clone(), modes.clone(), received.clone()));
            }
        });
        Link { address, mode, disruptions, task }
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets how bytes are treated from now on, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.disruptions.send_replace(Some(Disruption::Reset));
    }

    /// Silences every open connection for good; new ones work.
    pub fn silence(&self) {
        self.disruptions.send_replace(Some(Disruption::Silence));
    }
}

/// Relays one connection until it ends or is disrupted.
async fn relay(
    client: TcpStream,
    upstream: String,
    mut modes: watch::Receiver<Mode>,
    mut disruptions: watch::Receiver<Option<Disruption>>,
) {
    disruptions.mark_unchanged();
    if modes.wait_for(|mode| *mode != Mode::Partition).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    // Without lingering, both connections are reset when this function returns.
    let _ = (client.set_zero_linger(), server.set_zero_linger());
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = copy(client_read, server_write, modes.clone(), true) => {}
        () = copy(server_read, client_write, modes, false) => {}
        disruption = disruptions.changed() => {
            let is_silence =
                disruption.is_ok() && *disruptions.borrow() == Some(Disruption::Silence);
            if is_silence {
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Copies one direction until it ends, as the mode says at the time of each chunk.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    forward: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        if modes.wait_for(|mode| !mode.is_holding(forward)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(delay_ms) = mode {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
