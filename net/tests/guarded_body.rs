//! A request whose permission ends before it is written is not sent.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::client::Error;
use lavendergauge_net::client::Options;
use lavendergauge_net::server;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time;

const DEADLINE: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn request(listener: &TcpListener, body: Body) -> Request<Body> {
    let address = listener.local_addr().expect("an address");
    Request::post(format!("http://{address}/")).body(body).expect("a request")
}

#[tokio::test]
async fn permitted() {
    let listener = server::listen("127.0.0.1:0").await.expect("listener");
    let client = Client::default();
    let request = request(&listener, body::guarded("order", || true));
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"order") {
            assert_ne!(stream.read_buf(&mut received).await.expect("a request"), 0);
        }
        stream.write_all(ANSWER).await.expect("an answer");
        String::from_utf8(received).expect("text")
    };
    let (response, received) = tokio::join!(client.fetch(request, DEADLINE), serve);
    assert_eq!(response.expect("an answer").status(), 200);
    assert!(received.contains("content-length: 5"), "{received}");
}

#[tokio::test]
async fn withheld() {
    // Nothing of the request reaches the peer, not even its head.
    let listener = server::listen("127.0.0.1:0").await.expect("listener");
    let client = Client::default();
    let request = request(&listener, body::guarded("order", || false));
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.expect("the end of the connection");
        received
    };
    let (response, received) = tokio::join!(client.fetch(request, DEADLINE), serve);
    let error = response.expect_err("withheld");
    assert!(matches!(error, Error::Withheld(_)) && error.never_sent(), "{error}");
    assert_eq!(received, b"");
}

#[tokio::test]
async fn queued_request() {
    // A request that waited for a connection was sent after its permission had ended.
    let listener = server::listen("127.0.0.1:0").await.expect("listener");
    let client = Client::new(Options { connections: 1, idle: 0, ..Options::default() });
    let is_permitted = Arc::new(AtomicBool::new(true));
    let shared = is_permitted.clone();
    let first = request(&listener, body::full("first"));
    let second = request(&listener, body::guarded("second", move || shared.load(Ordering::SeqCst)));
    let sending = client.clone();
    let first = tokio::spawn(async move { sending.fetch(first, DEADLINE).await });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let second = tokio::spawn(async move { client.fetch(second, DEADLINE).await });
    time::sleep(Duration::from_millis(100)).await;
    is_permitted.store(false, Ordering::SeqCst);
    stream.write_all(ANSWER).await.expect("an answer");
    drop(stream);
    first.await.expect("joined").expect("an answer");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("the end of the connection");
    assert_eq!(received, b"");
    assert!(matches!(second.await.expect("joined"), Err(Error::Withheld(_))));
}
