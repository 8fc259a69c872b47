//! Which entry takes a free leadership, and when a leader hands over.

use std::time::Duration;

use lavendergauge_lib::batch::succession;
use lavendergauge_lib::batch::succession::Offers;
use lavendergauge_lib::batch::succession::Peer;
use lavendergauge_lib::batch::succession::Reason;
use lavendergauge_lib::batch::succession::Strength;
use lavendergauge_lib::batch::succession::Watch;
use lavendergauge_lib::clock::Millis;

const STRONG: u32 = 500;
const WEAK: u32 = 100;

fn peer(address: &str, strength: u32) -> Peer {
    Peer { address: address.to_owned(), strength: Strength(strength) }
}

/// Returns the peers without the one at `index`, and that one.
fn split(peers: &[Peer], index: usize) -> (Peer, Vec<Peer>) {
    let mut others = peers.to_vec();
    let own = others.remove(index);
    (own, others)
}

#[test]
fn strong_before_weak() {
    let peers =
        [peer("a", WEAK), peer("b", STRONG), peer("c", WEAK), peer("d", STRONG), peer("e", 480)];
    let delays: Vec<Duration> = (0..peers.len())
        .map(|index| {
            let (own, others) = split(&peers, index);
            succession::delay(&own, &others)
        })
        .collect();
    assert_eq!(delays[1], Duration::ZERO, "the first strong one does not wait");
    let last_strong = delays[1].max(delays[3]).max(delays[4]);
    assert!(last_strong < delays[0].min(delays[2]));
    assert!(delays.iter().all(|delay| *delay <= Duration::from_millis(250)));
}

#[test]
fn equally_weak() {
    // Where no entry is strong, nobody waits for one.
    let peers = [peer("a", WEAK), peer("b", WEAK)];
    let (own, others) = split(&peers, 0);
    assert_eq!(succession::delay(&own, &others), Duration::ZERO);
    let (own, others) = split(&peers, 1);
    assert!(succession::delay(&own, &others) < Duration::from_millis(20));
    assert!(succession::successors(own.strength, Reason::Weaker, others).is_empty());
}

#[test]
fn alone() {
    assert_eq!(succession::delay(&peer("a", STRONG), &[]), Duration::ZERO);
    assert!(succession::delay(&peer("a", WEAK), &[]) <= Duration::from_millis(300));
}

#[test]
fn strongest_is_offered_first() {
    let others = vec![peer("a", WEAK), peer("b", STRONG), peer("c", 490), peer("d", STRONG)];
    let order: Vec<String> =
        succession::offer_order(others).into_iter().map(|peer| peer.address).collect();
    assert_eq!(order, ["b", "d", "c", "a"]);
}

#[test]
fn weak_leader_waits_for_calm() {
    let mut watch = Watch::new(Millis(0));
    let no_lag = Duration::ZERO;
    assert_eq!(watch.hand_over(Millis(1000), no_lag, true), None, "the term has just begun");
    assert_eq!(watch.hand_over(Millis(4000), no_lag, false), None, "work waits");
    assert_eq!(watch.hand_over(Millis(4400), no_lag, true), Some(Reason::Weaker));
    assert_eq!(watch.hand_over(Millis(4800), no_lag, true), None, "not again at once");
}

#[test]
fn overloaded_leader_hands_over_once() {
    let mut watch = Watch::new(Millis(0));
    let lag = Duration::from_millis(400);
    let attempts = (0..60)
        .filter(|step| watch.hand_over(Millis(step * 500), lag, false) == Some(Reason::Overloaded));
    assert_eq!(attempts.count(), 2, "within 30 s");
    let mut watch = Watch::new(Millis(0));
    for step in 0..60 {
        // Single delays are no overload.
        let lag = if step % 3 == 0 { lag } else { Duration::ZERO };
        assert_eq!(watch.hand_over(Millis(step * 500), lag, false), None);
    }
}

#[test]
fn overloaded_among_equals() {
    let others = vec![peer("a", WEAK), peer("b", STRONG)];
    let chosen = succession::successors(Strength(STRONG), Reason::Overloaded, others.clone());
    assert_eq!(chosen, [peer("b", STRONG)], "never a weaker one");
    assert!(succession::successors(Strength(STRONG), Reason::Weaker, others).is_empty());
}

#[test]
fn offers_reach_everybody_without_a_storm() {
    // Load: the store is down for 6 s; the leader's renewals fail every 150 ms.
    let peers: Vec<Peer> = (0..20).map(|index| peer(&format!("{index:02}"), STRONG)).collect();
    let mut offers = Offers::default();
    let mut asked: Vec<String> = Vec::new();
    for step in 0..40 {
        let round = offers.round(Millis(1000 + step * 150), peers.clone());
        assert!(round.len() <= 6);
        asked.extend(round.into_iter().map(|peer| peer.address));
    }
    assert!(asked.len() <= 36, "{} offers", asked.len());
    let first_rounds: std::collections::BTreeSet<&String> = asked.iter().take(24).collect();
    assert_eq!(first_rounds.len(), 20, "everybody is asked in the first four rounds");
}
