//! What a leader may do as its lease runs out.

use std::time::Duration;

use lavendergauge_lib::batch::config::Bounds;
use lavendergauge_lib::batch::leadership;
use lavendergauge_lib::batch::leadership::Lease;
use lavendergauge_lib::batch::table;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::batch::wave;
use lavendergauge_lib::batch::wave::Machine;
use lavendergauge_lib::batch::wave::Record;
use lavendergauge_lib::batch::wave::Status;
use lavendergauge_lib::batch::wave::Step;
use lavendergauge_lib::batch::wave::Wave;
use lavendergauge_lib::clock::Millis;

const SENT_AT: Millis = Millis(10_000);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn orders_within_lease() {
    // An order was sent seconds after the lease, since nothing limited it to the lease.
    let lease = Lease::confirmed(SENT_AT);
    assert!(lease.can_order(SENT_AT));
    let ends_at = SENT_AT + leadership::LEASE;
    let last = (SENT_AT.0..ends_at.0 + 10_000).rfind(|ms| lease.can_order(Millis(*ms)));
    let last = last.map(Millis).expect("a time at which it may order");
    assert!(last < ends_at, "{last:?}");
    let margin = ends_at.since(last);
    assert!(margin < leadership::LEASE / 2, "most of the lease can be used: {margin:?}");
}

#[test]
fn renewal_extends() {
    let (first, renewed) = (Lease::confirmed(SENT_AT), Lease::confirmed(SENT_AT + SECOND));
    let later = SENT_AT + leadership::LEASE;
    assert!(!first.can_order(later) && renewed.can_order(later));
}

#[test]
fn grants_outlast_orders() {
    let lease = Lease::confirmed(SENT_AT);
    let after_lease = SENT_AT + leadership::LEASE;
    assert!(lease.can_grant(after_lease) && !lease.can_order(after_lease));
    assert!(!lease.can_grant(SENT_AT + table::GRANT_AFTER_RENEWAL));
}

#[test]
fn early_end() {
    // A leader whose lease ended right after a renewal, and which could not learn that, granted beyond
    // the time at which its successor started the tasks again.
    let lease = Lease::confirmed(SENT_AT);
    let last = (SENT_AT.0..SENT_AT.0 + 60_000).rfind(|ms| lease.can_grant(Millis(*ms)));
    let last = last.map(Millis).expect("a time at which it may grant");
    let took_over = SENT_AT;
    assert!(last + table::grant_bound() <= took_over + table::takeover_bound(), "{last:?}");
}

#[test]
fn successor_orders_later() {
    // A planner whose lease another entry revoked may not know it, and order until the lease would have
    // ended.
    let wave = Wave { number: 1, machines: vec!["m-1".into()], max_away: 1, is_partial: false };
    let (name, status) = ("m-1".to_owned(), Status::Up);
    let machine = Machine { name: name.clone(), status, worker: String::new() };
    let machines = [(name, machine)].into_iter().collect();
    let bounds =
        Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 3000, keep_ms: 120_000 };
    let tables = Tables::new(bounds, SENT_AT);
    let lease = Lease::confirmed(tables.took_over);
    let step = |now| wave::next(&tables, now, &wave, &Record::default(), &machines);
    let is_ordered = |ms: &u64| step(Millis(*ms)) != Step::Wait;
    let first = (tables.took_over.0..).find(is_ordered).map(Millis).expect("an order");
    assert!(!lease.can_order(first));
}
