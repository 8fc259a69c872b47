//! A TCP relay that can hold all bytes in both directions, as a network partition does.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The relay.
#[derive(Clone)]
pub struct Relay {
    is_cut: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay from one address to another.
    pub fn start(from: &str, to: &str) -> Relay {
        let listener = TcpListener::bind(from).expect("a free port");
        let relay = Relay { is_cut: Arc::new(AtomicBool::new(false)) };
        let (shared, to) = (relay.clone(), to.to_owned());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (shared, to) = (shared.clone(), to.clone());
                thread::spawn(move || {
                    shared.wait();
                    let Ok(server) = TcpStream::connect(&to) else { return };
                    let pair = |stream: &TcpStream| stream.try_clone();
                    let (Ok(client_end), Ok(server_end)) = (pair(&client), pair(&server)) else {
                        return;
                    };
                    let forward = shared.clone();
                    thread::spawn(move || forward.copy(client, server));
                    shared.copy(server_end, client_end);
                });
            }
        });
        relay
    }

    /// Cuts or heals the path.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let mut buffer = [0; 16 << 10];
        loop {
            let Ok(count) = from.read(&mut buffer) else { break };
            self.wait();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(std::net::Shutdown::Read);
        let _ = to.shutdown(std::net::Shutdown::Write);
    }
}
