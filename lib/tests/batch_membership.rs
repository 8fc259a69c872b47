//! What proves which worker runs on an agent's VM.

use lavendergauge_lib::batch::membership::Claim;
use lavendergauge_lib::batch::membership::Heard;
use lavendergauge_lib::batch::membership::Membership;
use lavendergauge_lib::batch::report::Announcement;

const FENCE: u64 = 5;

fn announcement(id: &str, incarnation: u64) -> Announcement {
    Announcement { id: id.into(), incarnation, ready: true, ..Announcement::default() }
}

fn take(membership: &mut Membership, now: u64) -> Claim {
    membership.take_claim(now, FENCE).expect("a claim")
}

/// Returns a membership in which i-1 with incarnation 100 runs; its newest heartbeat is number 10.
fn running() -> Membership {
    let mut membership = Membership::default();
    membership.hear(0, announcement("i-1", 100), 10);
    let claim = take(&mut membership, 0);
    membership.admit(claim);
    membership
}

#[test]
fn unproved_claim() {
    let mut membership = running();
    for claimed in [("i-2", 200), ("i-1", 200), ("i-1", 50)] {
        let heard = membership.hear(1, announcement(claimed.0, claimed.1), 1);
        assert_eq!(heard, Heard::Claim);
        assert!(membership.is_running("i-1", 100), "{claimed:?}");
        assert!(membership.ended().is_empty(), "{claimed:?}");
        take(&mut membership, 1);
    }
    assert_eq!(membership.take_claim(1, FENCE), None);
}

#[test]
fn proved_claim() {
    let mut membership = running();
    membership.hear(1, announcement("i-2", 50), 1);
    let claim = take(&mut membership, 1);
    let before = membership.admit(claim).expect("a worker before");
    assert_eq!((before.id.as_str(), before.incarnation), ("i-1", 100));
    assert!(membership.is_running("i-2", 50));
    assert_eq!(membership.ended(), [100]);
}

#[test]
fn ended_returns() {
    // An incarnation that was ruled out once was ignored for good.
    let mut membership = running();
    assert!(membership.end("i-1", 100).is_some());
    assert_eq!(membership.ended(), [100]);
    membership.hear(1, announcement("i-1", 100), 11);
    let claim = take(&mut membership, 1);
    membership.admit(claim);
    assert!(membership.is_running("i-1", 100));
    assert!(membership.ended().is_empty());
}

#[test]
fn late_refusal() {
    // A refusal of an earlier incarnation says nothing about the present one.
    let mut membership = running();
    membership.hear(1, announcement("i-2", 200), 1);
    let claim = take(&mut membership, 1);
    membership.admit(claim);
    assert!(membership.end("i-1", 100).is_none());
    assert!(membership.is_running("i-2", 200));
}

#[test]
fn claims_crowd() {
    // Other writers' claims must not keep out the worker's own for longer than until its next one.
    let mut membership = running();
    membership.hear(1, announcement("i-own", 200), 1);
    for number in 0..10 {
        membership.hear(2, announcement("i-other", 300 + number), 1);
    }
    membership.hear(3, announcement("i-own", 200), 2);
    let mut found = false;
    while let Some(claim) = membership.take_claim(3, FENCE) {
        found |= claim.announcement.id == "i-own";
    }
    assert!(found);
}

#[test]
fn refused_fence() {
    let mut membership = Membership::default();
    membership.hear(0, announcement("i-1", 100), 1);
    assert_eq!(membership.take_claim(0, 0), None, "no planner has called yet");
    let claim = take(&mut membership, 0);
    membership.keep_until_fence(claim, FENCE);
    assert_eq!(membership.take_claim(1, FENCE), None);
    membership.hear(1, announcement("i-1", 100), 2);
    assert_eq!(membership.take_claim(1, FENCE), None, "heard again");
    let claim = membership.take_claim(1, FENCE + 1).expect("a claim");
    membership.hear(2, announcement("i-1", 100), 3);
    membership.keep_until_fence(claim, FENCE + 1);
    assert_eq!(membership.take_claim(2, FENCE + 1), None, "heard during the examination");
}

#[test]
fn forgotten_claim() {
    let mut membership = Membership::default();
    membership.hear(0, announcement("i-1", 100), 1);
    let claim = take(&mut membership, 0);
    membership.keep(claim);
    assert_eq!(membership.take_claim(60_000, FENCE), None);
}

#[test]
fn late_heartbeats() {
    let mut membership = running();
    let draining = Announcement { ready: false, ..announcement("i-1", 100) };
    assert_eq!(membership.hear(1, draining.clone(), 12), Heard::Announcement);
    for late in [11, 8, 10, 7] {
        assert_eq!(membership.hear(2, announcement("i-1", 100), late), Heard::Nothing);
        assert_eq!(membership.worker(), Some(&draining));
    }
}

#[test]
fn delayed_heartbeats() {
    // Heartbeats that had waited while the agent was suspended made a draining worker ready.
    let mut membership = running();
    let draining = Announcement { ready: false, ..announcement("i-1", 100) };
    membership.hear(1, draining.clone(), 20);
    for number in 11..20 {
        assert_eq!(membership.hear(5000, announcement("i-1", 100), number), Heard::Nothing);
    }
    assert_eq!(membership.worker(), Some(&draining));
}

#[test]
fn foreign_sequence() {
    // One heartbeat with a high number hid all later ones.
    let mut membership = running();
    let draining = Announcement { ready: false, ..announcement("i-1", 100) };
    membership.hear(1, draining, u64::MAX);
    let heard: Vec<Heard> =
        (11..16).map(|n| membership.hear(n * 1500, announcement("i-1", 100), n)).collect();
    assert!(heard.contains(&Heard::Announcement), "{heard:?}");
    assert!(membership.worker().is_some_and(|worker| worker.ready));
}

#[test]
fn leave_message() {
    let mut membership = running();
    assert!(!membership.hear_leave(1, "i-2", 0));
    assert!(!membership.hear_leave(1, "i-1", 99));
    assert!(!membership.is_leaving(1));
    assert!(membership.hear_leave(1, "i-1", 100));
    assert!(membership.is_leaving(2) && membership.is_running("i-1", 100));
    membership.hear(3, announcement("i-1", 100), 11);
    assert!(!membership.is_leaving(4), "it goes on");
}
