//! Connections that go silent, break or come late, at every step of a request.

mod request_support;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::StatusCode;
use lavendergauge_fakes::relay::Direction;
use lavendergauge_fakes::relay::Fault;
use lavendergauge_fakes::target::BYTES_HEADER;
use lavendergauge_fakes::target::PAUSE_HEADER;
use lavendergauge_fakes::target::WORK_HEADER;
use lavendergauge_fakes::target::byte_at;
use request_support::Env;
use request_support::Sent;
use request_support::outcome;
use tokio::task::JoinSet;

/// Time within which a silent connection is noticed.
const NOTICE: Duration = Duration::from_secs(2);
/// Bytes of a longer answer.
const LONG: usize = 300_000;

/// Sends one request over a connection with a fault; returns the time it took.
async fn through(env: &Env, direction: Direction, fault: Fault, key: &str) -> Duration {
    env.workers[0].front.plan(direction, fault);
    let begun = Instant::now();
    let answer = env.send(0, Sent::default().key(key).header(BYTES_HEADER, LONG)).await;
    let took = begun.elapsed();
    assert_eq!((answer.status(), outcome(&answer)), (StatusCode::OK, "ran"), "{fault:?}");
    let whole: Bytes = (0..LONG).map(byte_at).collect();
    assert!(answer.body() == &whole, "{direction:?} {fault:?}: the answer is whole");
    took
}

async fn every_byte(fault: fn(u64) -> Fault, limit: Duration) {
    let mut cases = JoinSet::new();
    for direction in [Direction::Request, Direction::Answer] {
        for at in [0, 1, 60, 300, 2_000, 70_000, 299_000] {
            cases.spawn(async move {
                let env = request_support::start(1, 1).await;
                let key = format!("{direction:?}-{at}");
                let took = through(&env, direction, fault(at), &key).await;
                assert!(took < limit, "{direction:?} at byte {at} took {took:?}");
                assert_eq!(env.executions(&key), 1, "{direction:?} at byte {at}");
                env.stop().await;
            });
        }
    }
    while let Some(case) = cases.join_next().await {
        case.expect("the case holds");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_every_byte() {
    every_byte(Fault::Silent, NOTICE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_every_byte() {
    every_byte(Fault::Cut, NOTICE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_every_byte() {
    every_byte(|at| Fault::Late(at, 20), Duration::from_secs(10)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_pool_frozen() {
    let env = request_support::start(1, 1).await;
    for round in 0..3 {
        let key = format!("idle-{round}");
        assert_eq!(outcome(&env.send(0, Sent::default().key(&key)).await), "ran");
        env.workers[0].front.freeze();
        let key = format!("after-{round}");
        let begun = Instant::now();
        let answer = env.send(0, Sent::default().key(&key)).await;
        assert_eq!(outcome(&answer), "ran");
        assert!(begun.elapsed() < NOTICE, "took {:?}", begun.elapsed());
        assert_eq!(env.executions(&key), 1);
    }
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn running_frozen() {
    let env = request_support::start(1, 1).await;
    let begun = Instant::now();
    let sent = Sent::default().key("running").header(WORK_HEADER, 500);
    let (answer, ()) = tokio::join!(env.send(0, sent), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        env.workers[0].front.freeze();
    });
    assert_eq!(outcome(&answer), "ran");
    assert!(begun.elapsed() < Duration::from_millis(200) + NOTICE);
    assert_eq!(env.executions("running"), 1);
    env.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_work_lives() {
    let env = request_support::start(1, 1).await;
    let working = Sent::default().key("working").header(WORK_HEADER, 3000);
    let dripping =
        Sent::default().key("dripping").header(BYTES_HEADER, 48 << 10).header(PAUSE_HEADER, 1500);
    let (working, dripping) = tokio::join!(env.send(0, working), env.send(0, dripping));
    assert_eq!((outcome(&working), outcome(&dripping)), ("ran", "ran"));
    assert_eq!(dripping.body().len(), 48 << 10);
    assert_eq!((env.executions("working"), env.executions("dripping")), (1, 1));
    assert!(env.workers[0].front.accepted() <= 4, "no connection was replaced");
    env.stop().await;
}
