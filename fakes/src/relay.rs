//! A TCP relay that can silence, close or delay connections at a chosen byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
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

/// A fault in one direction of a connection.
#[token]
pub enum Fault {
    /// From this byte on, data is discarded, but the connection stays open.
    Silent(u64),
    /// At this byte, the connection is closed in both directions.
    Close(u64),
    /// Each chunk that starts at or after the byte given by the first number is delayed by the
    /// second number, in milliseconds.
    Delay(u64, u64),
}

/// Direction in which bytes flow.
#[token]
pub enum Direction {
    /// From the peer that connected to the relay.
    Request,
    /// Back to the peer that connected.
    Answer,
}

#[derive(Debug, Default)]
struct State {
    /// Faults for the next connections, in the order of connections.
    planned: Vec<(Direction, Fault)>,
    /// Number of connections that are open now.
    open: u32,
    /// Maximum of `open` so far.
    max_open: u32,
    accepted: u32,
}

/// A running relay; dropping it stops accepting connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Number of calls of [`Relay::freeze`]; each change silences the open connections.
    freeze_count: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Relay {
    /// Starts a relay from a free loopback port to the address `upstream`.
    ///
    /// # Panics
    /// When no loopback port can be bound.
    pub async fn start(upstream: String) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let state = Arc::new(Mutex::new(State::default()));
        let (freeze_count, freezes) = watch::channel(0);
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, freezes) = (shared.clone(), freezes.clone());
                tokio::spawn(relay_connection(stream, upstream.clone(), state, freezes));
            }
        });
        Relay { address, state, freeze_count, task }
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Plans a fault for the next connection that has none planned yet.
    pub fn plan(&self, direction: Direction, fault: Fault) {
        lock(&self.state).planned.push((direction, fault));
    }

    /// Silences every open connection in both directions for good.
    pub fn freeze(&self) {
        self.freeze_count.send_modify(|count| *count += 1);
    }

    /// Returns the maximum number of connections that were open at a time.
    pub fn max_open(&self) -> u32 {
        lock(&self.state).max_open
    }

    /// Returns the number of accepted connections.
    pub fn accepted(&self) -> u32 {
        lock(&self.state).accepted
    }
}

/// Relays one connection, with the fault planned for it, if any, until either direction ends.
async fn relay_connection(
    stream: TcpStream,
    upstream: String,
    state: Arc<Mutex<State>>,
    freezes: watch::Receiver<u64>,
) {
    let planned = {
        let mut state = lock(&state);
        state.accepted += 1;
        state.open += 1;
        state.max_open = state.max_open.max(state.open);
        let is_planned = !state.planned.is_empty();
        is_planned.then(|| state.planned.remove(0))
    };
    if let Ok(server) = TcpStream::connect(upstream).await {
        let _ = (stream.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = stream.into_split();
        let (upstream_read, upstream_write) = server.into_split();
        let fault = |direction| planned.filter(|(planned, _)| *planned == direction);
        let request = copy(client_read, upstream_write, fault(Direction::Request), freezes.clone());
        let answer = copy(upstream_read, client_write, fault(Direction::Answer), freezes);
        tokio::select! {
            () = request => {}
            () = answer => {}
        }
    }
    lock(&state).open -= 1;
}

/// Copies one direction until it ends; the connection is closed when this returns.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: Option<(Direction, Fault)>,
    mut freezes: watch::Receiver<u64>,
) {
    freezes.borrow_and_update();
    let fault = fault.map(|(_, fault)| fault);
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded = 0;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = freezes.changed() => return discard(from, &mut buffer).await,
        };
        let Ok(read) = read else { return };
        if read == 0 {
            return;
        }
        let mut length = read;
        if let Some(Fault::Silent(at) | Fault::Close(at)) = fault {
            length = length.min(usize::try_from(at - forwarded).unwrap_or(length));
        }
        if let Some(Fault::Delay(at, delay_ms)) = fault
            && at <= forwarded
        {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        forwarded += length as u64;
        match fault {
            Some(Fault::Silent(at)) if at <= forwarded => return discard(from, &mut buffer).await,
            Some(Fault::Close(at)) if at <= forwarded => return,
            _ => {}
        }
    }
}

/// Reads and discards everything and never returns, so that neither end notices a fault.
async fn discard(mut from: OwnedReadHalf, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|read| 0 < read) {}
    std::future::pending().await
}
