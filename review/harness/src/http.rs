//! A small HTTP/1.1 server and client: one thread a connection, bodies with a length.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// First port that a stand-in or process may get, and the number of them.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// A request as a stand-in receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub expected_instance: Option<String>,
    pub body: Value,
}

impl Request {
    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value.as_str())
    }
}

/// Status and body of a response; `None` closes the connection without one.
pub type Answer = Option<(u16, Value)>;

/// Answers requests.
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// Returns a loopback address whose port is free; it lies below the ports that systems give to
/// outgoing connections, and runs at the same time start at different ones.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let offset = std::process::id() * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = format!("127.0.0.1:{}", FIRST_PORT + offset % PORTS);
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

/// Serves an address until the program ends.
pub fn serve(address: &str, handler: Handler) {
    let listener = TcpListener::bind(address).expect("a free port");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut stream = stream;
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let expected_instance = header(&headers, "x-expect-instance");
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let request = Request { method, path: path.to_owned(), query, expected_instance, body };
        let Some((status, value)) = handler(request) else { return };
        let body = value.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn header(headers: &[(String, String)], name: &str) -> Option<String> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.clone())
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

/// Sends one request on a connection of its own; status 0 when there is no complete answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    deadline: Duration,
) -> (u16, Value) {
    let exchange = || -> Option<(u16, Value)> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(deadline)).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut writer = stream.try_clone().ok()?;
        writer.write_all((head + body).as_bytes()).ok()?;
        let (first, _, body) = read_message(&mut BufReader::new(stream))?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    };
    exchange().unwrap_or((0, Value::Null))
}
