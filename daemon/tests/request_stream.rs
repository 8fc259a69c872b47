//! Bodies in both directions: streamed, whole, with trailers, and no faster than they are read.

mod request_support;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use lavendergauge_fakes::target::BREAK_HEADER;
use lavendergauge_fakes::target::BYTES_HEADER;
use lavendergauge_fakes::target::PAUSE_HEADER;
use lavendergauge_fakes::target::SUM_HEADER;
use lavendergauge_fakes::target::SUM_TRAILER;
use lavendergauge_fakes::target::Sum;
use lavendergauge_fakes::target::WORK_HEADER;
use lavendergauge_fakes::target::byte_at;
use lavendergauge_net::body::Body;
use lavendergauge_net::client;
use request_support::DEADLINE;
use request_support::Env;
use request_support::Sent;
use request_support::outcome;
use tokio::net::TcpStream;
use tokio::time;

/// Bytes of a long body.
const LONG: usize = 6 << 20;

fn long() -> Bytes {
    (0..LONG).map(byte_at).collect()
}

fn sum(bytes: &[u8]) -> String {
    let mut sum = Sum::default();
    sum.add(bytes);
    sum.to_string()
}

/// Sends one request over HTTP/2.
async fn send_h2(env: &Env, sent: Sent) -> hyper::Response<hyper::body::Incoming> {
    let address = env.address(0);
    let stream = TcpStream::connect(&address).await.expect("connects");
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .expect("speaks HTTP/2");
    tokio::spawn(connection);
    let request: hyper::Request<Body> = sent.request(&address);
    time::timeout(DEADLINE, sender.send_request(request)).await.expect("in time").expect("answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_long() {
    let env = request_support::start(1, 1).await;
    let sent = || Sent::default().header(BYTES_HEADER, LONG).header("te", "trailers");
    let one = env.send(0, sent()).await;
    assert!(one.body() == &long(), "HTTP/1.1");
    let other = send_h2(&env, sent()).await.into_body().collect().await.expect("whole");
    let trailer = other.trailers().and_then(|lines| lines.get(SUM_TRAILER)).cloned();
    assert!(other.to_bytes() == long(), "HTTP/2");
    assert_eq!(trailer.expect("a trailer"), sum(&long()).as_str());
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_long() {
    let env = request_support::start(1, 1).await;
    let sent = || Sent { body: long(), ..Sent::default() }.header(SUM_HEADER, "yes");
    let one = env.send(0, sent()).await;
    assert_eq!(one.body(), sum(&long()).as_str());
    let other = send_h2(&env, sent()).await.into_body().collect().await.expect("whole");
    assert_eq!(other.to_bytes(), sum(&long()).as_str());
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_streamed() {
    let env = request_support::start(1, 1).await;
    let sent = Sent::default().header(BYTES_HEADER, 64 << 10).header(PAUSE_HEADER, 300);
    let begun = Instant::now();
    let request = sent.request(&env.address(0));
    let mut response = env.client.send(request, DEADLINE).await.expect("an answer");
    let first = response.body_mut().frame().await.expect("a frame").expect("data");
    assert!(begun.elapsed() < Duration::from_millis(900), "the first bytes come at once");
    assert!(first.is_data());
    let rest = response.into_body().collect().await.expect("whole").to_bytes();
    assert!(Duration::from_millis(900) <= begun.elapsed(), "the last ones when they are made");
    assert!(!rest.is_empty());
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_bounded() {
    let env = request_support::start(1, 1).await;
    let length: usize = 64 << 20;
    let request = Sent::default().header(BYTES_HEADER, length).request(&env.address(0));
    let mut response = env.client.send(request, DEADLINE).await.expect("an answer");
    time::sleep(Duration::from_millis(800)).await;
    let agent = &env.workers[0].agent.as_ref().expect("an agent").agent;
    assert_eq!(agent.core().requests.used(), 1, "the target waits for the reader");
    let quick = time::timeout(DEADLINE, env.send(0, Sent::default())).await;
    assert_eq!(quick.expect("in time").status(), StatusCode::OK, "others go on");
    let mut read = 0;
    while let Some(frame) = response.body_mut().frame().await {
        read += frame.expect("whole").data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(read, length);
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_breaks_off() {
    let env = request_support::start(2, 1).await;
    let sent = || Sent::default().key("broken").header(BYTES_HEADER, LONG);
    let broken = env.try_send(0, sent().header(BREAK_HEADER, 1 << 20)).await;
    match &broken {
        Ok(answer) => assert_eq!(outcome(answer), "unknown", "nothing of it was handed on"),
        Err(error) => assert!(matches!(error, client::Error::Broken(_)), "{error}"),
    }
    let after = env.send(1, sent()).await;
    assert_eq!(outcome(&after), "unknown");
    assert_eq!(env.executions("broken"), 1);
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let env = request_support::start(1, 1).await;
    let agent = env.workers[0].agent.as_ref().expect("an agent").agent.clone();
    let sent = Sent { method: hyper::Method::PUT, ..Sent::default() }.header(WORK_HEADER, 15_000);
    let request = sent.request(&env.address(0));
    let client = client::Client::default();
    let arrived = async {
        while agent.core().requests.used() != 1 {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        answer = client.send(request, DEADLINE) => panic!("it works for long: {answer:?}"),
        arrived = time::timeout(DEADLINE, arrived) => arrived.expect("it comes to the target"),
    }
    drop(client);
    let begun = Instant::now();
    while 0 < agent.core().requests.used() && begun.elapsed() < Duration::from_secs(3) {
        time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(agent.core().requests.used(), 0, "its slot is free again");
    env.stop().await;
}
