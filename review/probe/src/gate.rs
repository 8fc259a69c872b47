//! A loopback proxy in front of one process, which can refuse and reset connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

/// Size of the buffer for the first bytes of a connection.
const FIRST_BYTES: usize = 16 << 10;

/// Whom the gate lets pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Everybody.
    Open,
    /// Nobody: nothing listens, and open connections are reset.
    Refuse,
    /// Everybody but the process whose first request on a connection contains this name; its
    /// connections are reset.
    Except(String),
}

/// A running gate.
pub struct Gate {
    /// Address at which it listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    task: Mutex<Option<tokio::task::JoinHandle<()>>>,
    upstream: String,
}

impl Gate {
    /// Opens a gate to the address `upstream` on a free port.
    pub async fn open(upstream: &str) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(watch::Sender::new(Mode::Open));
        let task = tokio::spawn(accept(listener, upstream.to_owned(), mode.clone()));
        Gate { address, mode, task: Mutex::new(Some(task)), upstream: upstream.to_owned() }
    }

    /// Sets whom the gate lets pass.
    pub async fn set(&self, mode: Mode) {
        let listens = mode != Mode::Refuse;
        self.mode.send_replace(mode);
        let task = self.task.lock().expect("a lock").take();
        let task = match (task, listens) {
            (Some(task), false) => {
                task.abort();
                let _ = task.await;
                None
            }
            (None, true) => {
                let socket = TcpSocket::new_v4().expect("a socket");
                socket.set_reuseaddr(true).expect("an option");
                socket.bind(self.address).expect("the gate's own port");
                let listener = socket.listen(64).expect("a listener");
                Some(tokio::spawn(accept(listener, self.upstream.clone(), self.mode.clone())))
            }
            (task, _) => task,
        };
        *self.task.lock().expect("a lock") = task;
    }
}

async fn accept(listener: TcpListener, upstream: String, mode: Arc<watch::Sender<Mode>>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        tokio::spawn(relay(client, upstream.clone(), mode.subscribe()));
    }
}

/// Relays one connection until it ends or its client may not pass any more.
async fn relay(mut client: TcpStream, upstream: String, mut modes: watch::Receiver<Mode>) {
    let _ = client.set_nodelay(true);
    let mut first = vec![0; FIRST_BYTES];
    let Ok(length) = client.read(&mut first).await else { return };
    first.truncate(length);
    let text = String::from_utf8_lossy(&first).into_owned();
    let is_barred = |mode: &Mode| match mode {
        Mode::Open => false,
        Mode::Refuse => true,
        Mode::Except(name) => text.contains(name.as_str()),
    };
    if length == 0 || is_barred(&modes.borrow_and_update()) {
        reset(&client);
        return;
    }
    let Ok(mut server) = TcpStream::connect(&upstream).await else {
        reset(&client);
        return;
    };
    let _ = server.set_nodelay(true);
    if server.write_all(&first).await.is_err() {
        return;
    }
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => {}
        _ = modes.wait_for(is_barred) => {
            reset(&client);
            reset(&server);
        }
    }
}

/// Makes the system reset a connection when it is dropped.
fn reset(stream: &TcpStream) {
    #[allow(deprecated)]
    let _ = stream.set_linger(Some(Duration::ZERO));
}
