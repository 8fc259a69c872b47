//! The encoded form of what a leader has learned.

use lavendergauge_daemon::batch::learned;
use lavendergauge_daemon::batch::learned::Fault;
use lavendergauge_lib::batch::config::Bounds;
use lavendergauge_lib::batch::learned::Digest;
use lavendergauge_lib::batch::learned::MAX_BYTES;
use lavendergauge_lib::batch::learned::VERSION;
use lavendergauge_lib::batch::learned::Worker;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::clock::Millis;

fn digest(workers: usize) -> Digest {
    let worker = |index: usize| Worker {
        node: format!("side-{index}"),
        incarnation: u64::MAX,
        log_factor_milli: i32::MIN,
        deviation_milli: u32::MAX,
        failures: u32::MAX,
        avoided_ms: u64::MAX,
    };
    let workers = (0..workers).map(worker).collect();
    Digest { version: VERSION, fence: 7, written_ms: 1, workers, run_times: Vec::new() }
}

#[test]
fn torn_values() {
    // Guards against the use of a value that is cut off or altered anywhere.
    let bytes = learned::encode(&digest(2)).expect("a value");
    for length in 0..bytes.len() {
        assert!(learned::decode(&bytes[..length]).is_err(), "cut off after {length} bytes");
    }
    for index in 0..bytes.len() {
        let mut altered = bytes.to_vec();
        altered[index] ^= 1;
        // The names of the fields may be altered into others, which fails too.
        assert!(learned::decode(&altered).is_err(), "altered at {index}");
    }
}

#[test]
fn foreign_values() {
    // Guards against the use of a value of another version, and names the reason.
    let other = Digest { version: VERSION + 1, ..digest(1) };
    let bytes = learned::encode(&other).expect("a value");
    assert_eq!(learned::decode(&bytes), Err(Fault::Version));
    assert_eq!(learned::decode(&vec![0; MAX_BYTES + 1]), Err(Fault::TooLarge));
    assert_eq!(learned::encode(&digest(5000)), Err(Fault::TooLarge));
}

#[test]
fn largest_digest() {
    // Guards against an estimate of the encoded size that lets a digest become too large.
    let mut tables = Tables::new(
        Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 },
        Millis(0),
    );
    for worker in digest(5000).workers {
        let key = tables.worker_at(&worker.node, Millis(0));
        tables.workers[key].incarnation = worker.incarnation;
        tables.workers[key].health.failures = worker.failures;
        tables.workers[key].health.avoided_until = Millis(worker.avoided_ms);
    }
    let full = lavendergauge_lib::batch::learned::collect(&tables, Millis(0), u64::MAX, u64::MAX);
    let bytes = learned::encode(&full).expect("a value that fits");
    assert!(1000 < full.workers.len() && bytes.len() <= MAX_BYTES, "{}", full.workers.len());
}
