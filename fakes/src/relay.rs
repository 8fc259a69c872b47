//! A TCP relay that can go silent, cut or delay connections at a chosen byte.

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

/// Bytes that are read at a time.
const CHUNK: usize = 16 << 10;

/// What happens to a connection in one direction.
#[token]
pub enum Fault {
    /// From this byte on, what is sent vanishes and the connection stays open.
    Silent(u64),
    /// At this byte, both directions are closed.
    Cut(u64),
    /// From this byte on, each piece comes this many milliseconds late.
    Late(u64, u64),
}

/// Which way the bytes go.
#[token]
pub enum Direction {
    /// From whoever connects to the relay.
    Request,
    /// Back to whoever connected.
    Answer,
}

#[derive(Debug, Default)]
struct State {
    /// Faults of the next connections, first one first.
    planned: Vec<(Direction, Fault)>,
    open: u32,
    most_open: u32,
    accepted: u32,
}

/// A running relay; dropping it ends it.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    frozen: watch::Sender<u64>,
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
    /// Starts a relay to an address.
    ///
    /// # Panics
    /// When no loopback port can be had.
    pub async fn start(upstream: String) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let state = Arc::new(Mutex::new(State::default()));
        let (frozen, freezes) = watch::channel(0);
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, freezes) = (shared.clone(), freezes.clone());
                tokio::spawn(connection(stream, upstream.clone(), state, freezes));
            }
        });
        Relay { address, state, frozen, task }
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Gives a fault to the next connection that has none planned yet.
    pub fn plan(&self, direction: Direction, fault: Fault) {
        lock(&self.state).planned.push((direction, fault));
    }

    /// Makes every connection that is open now silent for good, in both directions.
    pub fn freeze(&self) {
        self.frozen.send_modify(|count| *count += 1);
    }

    /// Returns the most connections that were open at a time.
    pub fn most_open(&self) -> u32 {
        lock(&self.state).most_open
    }

    /// Returns the number of connections that were accepted.
    pub fn accepted(&self) -> u32 {
        lock(&self.state).accepted
    }
}

async fn connection(
    stream: TcpStream,
    upstream: String,
    state: Arc<Mutex<State>>,
    freezes: watch::Receiver<u64>,
) {
    let planned = {
        let mut state = lock(&state);
        state.accepted += 1;
        state.open += 1;
        state.most_open = state.most_open.max(state.open);
        let any = !state.planned.is_empty();
        any.then(|| state.planned.remove(0))
    };
    if let Ok(other) = TcpStream::connect(upstream).await {
        let _ = (stream.set_nodelay(true), other.set_nodelay(true));
        let (here_read, here_write) = stream.into_split();
        let (there_read, there_write) = other.into_split();
        let fault = |direction| planned.filter(|(planned, _)| *planned == direction);
        let request = pump(here_read, there_write, fault(Direction::Request), freezes.clone());
        let answer = pump(there_read, here_write, fault(Direction::Answer), freezes);
        tokio::select! {
            () = request => {}
            () = answer => {}
        }
    }
    lock(&state).open -= 1;
}

/// Copies one direction until it ends; returning closes both.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: Option<(Direction, Fault)>,
    mut freezes: watch::Receiver<u64>,
) {
    freezes.borrow_and_update();
    let fault = fault.map(|(_, fault)| fault);
    let mut buffer = vec![0; CHUNK];
    let mut passed = 0;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = freezes.changed() => return swallow(from, &mut buffer).await,
        };
        let Ok(read) = read else { return };
        if read == 0 {
            return;
        }
        let mut length = read;
        if let Some(Fault::Silent(at) | Fault::Cut(at)) = fault {
            length = length.min(usize::try_from(at - passed).unwrap_or(length));
        }
        if let Some(Fault::Late(at, late_ms)) = fault
            && at <= passed
        {
            time::sleep(Duration::from_millis(late_ms)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        passed += length as u64;
        match fault {
            Some(Fault::Silent(at)) if at <= passed => return swallow(from, &mut buffer).await,
            Some(Fault::Cut(at)) if at <= passed => return,
            _ => {}
        }
    }
}

/// Takes everything and hands on nothing, so that neither end learns that it is lost.
async fn swallow(mut from: OwnedReadHalf, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|read| 0 < read) {}
    std::future::pending().await
}
