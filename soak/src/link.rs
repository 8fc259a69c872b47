//! A TCP relay whose behaviour is switched while connections are open.

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

/// Bytes that are read at a time.
const CHUNK: usize = 16 << 10;

/// What happens to bytes.
#[token]
#[derive(Default)]
pub enum Mode {
    /// They pass.
    #[default]
    Open,
    /// They pass this many milliseconds later.
    Late(u64),
    /// They are held both ways, and new connections get nowhere, as behind a partition.
    Cut,
    /// What goes to whoever listens is held.
    CutTo,
    /// What comes back is held.
    CutFrom,
}

impl Mode {
    fn holds(self, to: bool) -> bool {
        matches!((self, to), (Mode::Cut, _) | (Mode::CutTo, true) | (Mode::CutFrom, false))
    }
}

/// What is done to the connections that are open.
#[token]
enum Blow {
    Reset,
    Silence,
}

/// A running relay; dropping it ends it.
pub struct Link {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    blows: watch::Sender<Option<Blow>>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a relay to an address.
    ///
    /// # Panics
    /// When no loopback port can be had.
    pub async fn start(to: String) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let (mode, modes) = watch::channel(Mode::Open);
        let (blows, struck) = watch::channel(None);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, to.clone(), modes.clone(), struck.clone()));
            }
        });
        Link { address, mode, blows, task }
    }

    /// Returns where it listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets what happens to bytes from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets every connection that is open.
    pub fn reset(&self) {
        self.blows.send_replace(Some(Blow::Reset));
    }

    /// Makes every connection that is open silent for good; new ones work.
    pub fn silence(&self) {
        self.blows.send_replace(Some(Blow::Silence));
    }
}

async fn relay(
    near: TcpStream,
    to: String,
    mut modes: watch::Receiver<Mode>,
    mut blows: watch::Receiver<Option<Blow>>,
) {
    blows.mark_unchanged();
    if modes.wait_for(|mode| *mode != Mode::Cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    // A relay that ends without lingering resets both connections.
    let _ = (near.set_zero_linger(), far.set_zero_linger());
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, modes.clone(), true) => {}
        () = pump(far_read, near_write, modes, false) => {}
        blow = blows.changed() => {
            let silent = blow.is_ok() && *blows.borrow() == Some(Blow::Silence);
            if silent {
                std::future::pending::<()>().await;
            }
        }
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    forward: bool,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(read) = from.read(&mut buffer).await {
        if modes.wait_for(|mode| !mode.holds(forward)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Late(ms) = mode {
            time::sleep(Duration::from_millis(ms)).await;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
