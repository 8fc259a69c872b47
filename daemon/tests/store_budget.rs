//! Calls are shared, held back and counted, and come back without a herd.

use std::time::Duration;

use lavendergauge_daemon::embedded;
use lavendergauge_daemon::embedded::Plan;
use lavendergauge_daemon::store::Error;
use lavendergauge_daemon::store::Store;
use lavendergauge_fakes::kv::Fault;
use lavendergauge_fakes::kv::Kv;
use tokio::time;

const RANGE: &str = "/v3/kv/range";

#[tokio::test]
async fn equal_reads_shared() {
    let kv = Kv::default();
    let server = kv.serve().await;
    let store = Store::new(server.address());
    kv.set_fault(Fault { delay: Duration::from_millis(100), ..Fault::default() });
    let reads: Vec<_> = (0..50)
        .map(|_| {
            let store = store.clone();
            tokio::spawn(async move { store.load("jobs/1").await })
        })
        .collect();
    for read in reads {
        assert_eq!(read.await.expect("joined").expect("read"), None);
    }
    assert!(kv.calls()[RANGE] <= 2, "{:?}", kv.calls());
}

#[tokio::test]
async fn read_not_older() {
    let kv = Kv::default();
    let server = kv.serve().await;
    let store = Store::new(server.address());
    kv.set_fault(Fault { delay_answers: Duration::from_millis(200), ..Fault::default() });
    let early = store.clone();
    let early = tokio::spawn(async move { early.load("k").await });
    while !kv.calls().contains_key(RANGE) {
        time::sleep(Duration::from_millis(1)).await;
    }
    let other = Store::new(server.address());
    other.swap("k", 0, b"1", 0).await.expect("written");
    assert!(store.load("k").await.expect("read").is_some());
    assert!(early.await.expect("joined").expect("read").is_none());
}

#[tokio::test]
async fn outage_holds_calls() {
    let kv = Kv::default();
    let server = kv.serve().await;
    let store = Store::new(server.address());
    kv.set_fault(Fault { down: true, ..Fault::default() });
    let begun = time::Instant::now();
    let mut held = 0;
    let mut made = 0;
    while begun.elapsed() < Duration::from_millis(1000) {
        match store.load("jobs/1").await {
            Err(Error::Shared(error)) if matches!(*error, Error::Held(_)) => held += 1,
            _ => made += 1,
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    assert!(made <= 10, "{made} calls in a second of outage");
    assert!(0 < held);
    assert!(matches!(store.load("config/current").await, Err(Error::Shared(error)) if
        matches!(*error, Error::Status(503))));
    kv.set_fault(Fault::default());
    store.load("config/current").await.expect("answered");
    store.load("jobs/1").await.expect("the backoff is over");
}

#[tokio::test]
async fn burst_leaves_room() {
    let kv = Kv::default();
    let server = kv.serve().await;
    let store = Store::new(server.address());
    let claims: Vec<_> = (0..200)
        .map(|index| {
            let store = store.clone();
            let key = format!("claims/{index}");
            tokio::spawn(async move { store.swap(&key, 0, b"", 0).await })
        })
        .collect();
    time::sleep(Duration::from_millis(50)).await;
    store.swap("config/current", 0, b"{}", 0).await.expect("the configuration goes first");
    let mut held = 0;
    for claim in claims {
        held += usize::from(claim.await.expect("joined").is_err_and(|error| error.never_sent()));
    }
    assert!(0 < held, "claims beyond the budget are held back, as never sent");
}

/// Returns the calls a second of a quiet fleet of one entry.
async fn quiet_calls(workers: usize) -> f64 {
    let plan = Plan { workers, ..Plan::default() };
    let fleet = embedded::start(&plan).await.expect("starts");
    fleet.change("first", embedded::set_up(&[], &["zilina-1", "zilina-2"])).await.expect("made");
    fleet.wait_in_force(1, Duration::from_secs(5)).await.expect("in force");
    let count = || fleet.kv.calls().values().sum::<u64>();
    let (before, begun) = (count(), time::Instant::now());
    time::sleep(Duration::from_secs(3)).await;
    (count() - before) as f64 / begun.elapsed().as_secs_f64()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_follow_entries() {
    let (few, many) = tokio::join!(quiet_calls(1), quiet_calls(8));
    println!("calls a second of one entry: {few:.1} with 2 workers, {many:.1} with 16");
    assert!(few <= 150.0 && many <= 150.0, "an entry's share of the reads");
    assert!(many < few * 2.0, "eight times the workers do not make twice the calls");
}
