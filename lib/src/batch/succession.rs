//! Which entry becomes the leader, and when a leader hands over while its lease is still valid.
//!
//! Entries run on VMs of different sizes, and the leader's work is more than a small one can do in a
//! large fleet. Entries are therefore grouped into tiers by their strength, the strongest first. A
//! free leadership is taken by the first tier that has an entry alive, and a leader of a lower tier
//! hands over when that costs nobody anything. A deployment of equally weak entries is one tier.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;

/// Strengths above this percentage of the greatest one count as equal to it.
const SAME_TIER_PERCENT: u32 = 75;
/// Link that is needed for each thousandth of a core, in kilobits per second.
const LINK_KBPS_PER_PERMILLE: u64 = 200;
/// Strength from which an entry that knows no other one takes a free leadership at once.
const STRONG: Strength = Strength(250);
/// Time for which a weak entry that knows no other one leaves the leadership to strong ones.
const UNKNOWN_DELAY: Duration = Duration::from_millis(300);
/// Time for which the entries of a tier leave a free leadership to those of the tier above.
const TIER_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of tiers that wait for one another; all lower ones are one.
const MAX_TIERS: u32 = 3;
/// Time between the attempts of two entries of a tier, so that few of them compete.
const STAGGER: Duration = Duration::from_millis(8);
/// Longest time for which an entry waits for others of its tier.
const MAX_STAGGER: Duration = Duration::from_millis(80);
/// Time from the start of a term, and after an attempt, before a weak leader hands over.
const HAND_OVER_INTERVAL: Duration = Duration::from_secs(3);
/// Time from the start of a term, and after an attempt, before an overloaded leader hands over. Where
/// every entry is overloaded, leadership changes no more often than that.
const OVERLOAD_INTERVAL: Duration = Duration::from_secs(10);
/// Number of entries to which leadership is offered in one round.
const OFFERS_PER_ROUND: usize = 6;
/// Time from the start of the first round of offers to the next one; it doubles with each round.
const OFFER_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of times that [`OFFER_PAUSE`] is doubled.
const MAX_OFFER_DOUBLINGS: u32 = 3;
/// Delay of a leader's timers from which it counts as overloaded.
const OVERLOAD_LAG: Duration = Duration::from_millis(150);
/// Consecutive delays after which an overloaded leader hands over.
const OVERLOAD_COUNT: u32 = 3;

/// How much work an entry can do: thousandths of a core, less where its link is too narrow for them.
#[token]
pub struct Strength(pub u32);

impl Strength {
    /// Returns the strength of a VM with a share of a core, in thousandths, and a link.
    ///
    /// ```
    /// use lavendergauge_lib::batch::succession::Strength;
    /// assert_eq!(Strength::new(500, 200), Strength(500));
    /// assert_eq!(Strength::new(500, 20), Strength(100));
    /// ```
    pub fn new(processor_permille: u64, link_mbps: u64) -> Strength {
        let by_link = link_mbps * 1000 / LINK_KBPS_PER_PERMILLE;
        Strength(u32::try_from(processor_permille.min(by_link)).unwrap_or(u32::MAX))
    }
}

/// An entry that is known to be alive.
#[value]
pub struct Peer {
    /// Address at which the fleet's processes reach it.
    pub address: String,
    /// Its strength.
    pub strength: Strength,
}

/// Returns the tier of an entry among others: 0 for the strongest.
///
/// ```
/// use lavendergauge_lib::batch::succession;
/// use lavendergauge_lib::batch::succession::Strength;
/// let others = [Strength(500), Strength(480), Strength(120)];
/// assert_eq!(succession::tier(Strength(490), &others), 0);
/// assert_eq!(succession::tier(Strength(120), &others), 1);
/// ```
pub fn tier(own: Strength, others: &[Strength]) -> u32 {
    let mut tier = 0;
    let mut limit = u64::from(u32::MAX);
    while tier < MAX_TIERS {
        let below = others.iter().copied().chain([own]).map(|strength| u64::from(strength.0));
        let Some(greatest) = below.filter(|strength| *strength < limit).max() else { break };
        limit = greatest * u64::from(SAME_TIER_PERCENT) / 100;
        if limit <= u64::from(own.0) {
            break;
        }
        tier += 1;
    }
    tier
}

/// Returns how long an entry waits before it takes a free leadership, given the other entries that
/// it knows to be alive.
pub fn delay(own: &Peer, others: &[Peer]) -> Duration {
    if others.is_empty() {
        return if STRONG <= own.strength { Duration::ZERO } else { UNKNOWN_DELAY };
    }
    let strengths: Vec<Strength> = others.iter().map(|peer| peer.strength).collect();
    let own_tier = tier(own.strength, &strengths);
    let all: Vec<Strength> = strengths.iter().copied().chain([own.strength]).collect();
    let before = others
        .iter()
        .filter(|peer| peer.address < own.address && tier(peer.strength, &all) == own_tier)
        .count() as u32;
    TIER_DELAY * own_tier + (STAGGER * before).min(MAX_STAGGER)
}

/// Returns the entries to which leadership is offered, in that order: the strongest first.
pub fn offer_order(mut others: Vec<Peer>) -> Vec<Peer> {
    others.sort_by(|a, b| b.strength.cmp(&a.strength).then_with(|| a.address.cmp(&b.address)));
    others
}

/// Returns the entries to which a leader hands over for a reason, the strongest first: those of a
/// higher tier, or, for an overloaded leader, of its own tier too.
pub fn successors(own: Strength, reason: Reason, others: Vec<Peer>) -> Vec<Peer> {
    let strengths: Vec<Strength> = others.iter().map(|peer| peer.strength).collect();
    let own_tier = tier(own, &strengths);
    let all: Vec<Strength> = strengths.iter().copied().chain([own]).collect();
    let is_chosen = |peer: &Peer| {
        let tier = tier(peer.strength, &all);
        tier < own_tier || (reason == Reason::Overloaded && tier == own_tier)
    };
    offer_order(others.into_iter().filter(is_chosen).collect())
}

/// Rounds of offers of a leader that the store does not serve.
///
/// A round asks a few entries, the strongest first; the next round asks those after them. When the
/// store is down for all, nobody accepts, so the pause between rounds doubles.
#[value]
#[derive(Default)]
pub struct Offers {
    /// No round before this time.
    not_before: Millis,
    /// Number of rounds since the store served the leader.
    rounds: u32,
}

impl Offers {
    /// Returns the entries to ask now; none before the next round is due.
    pub fn round(&mut self, now: Millis, others: Vec<Peer>) -> Vec<Peer> {
        if now < self.not_before || others.is_empty() {
            return Vec::new();
        }
        let mut asked = offer_order(others);
        let first = self.rounds as usize * OFFERS_PER_ROUND % asked.len();
        asked.rotate_left(first);
        asked.truncate(OFFERS_PER_ROUND);
        self.not_before = now + OFFER_PAUSE * (1 << self.rounds.min(MAX_OFFER_DOUBLINGS));
        self.rounds += 1;
        asked
    }
}

/// A leader's view of whether it should hand over during its term.
#[value]
pub struct Watch {
    /// No hand-over for weakness before this time.
    weaker_from: Millis,
    /// No hand-over for overload before this time.
    overloaded_from: Millis,
    /// Consecutive delays of its timers.
    delays: u32,
}

/// Why a leader hands over although it could renew its lease.
#[token]
pub enum Reason {
    /// A stronger entry is alive, and nothing waits to be decided.
    Weaker,
    /// The leader's own timers are late.
    Overloaded,
}

impl Watch {
    /// Starts to watch a term.
    pub fn new(now: Millis) -> Watch {
        let (weaker_from, overloaded_from) = (now + HAND_OVER_INTERVAL, now + OVERLOAD_INTERVAL);
        Watch { weaker_from, overloaded_from, delays: 0 }
    }

    /// Tells whether to offer leadership now. `lag` is the delay of the leader's last timer, and
    /// `is_calm` tells whether nothing waits to be decided, recorded or sent.
    ///
    /// An attempt, whether or not another entry accepts, is the last one for a while.
    pub fn hand_over(&mut self, now: Millis, lag: Duration, is_calm: bool) -> Option<Reason> {
        self.delays = if OVERLOAD_LAG <= lag { self.delays + 1 } else { 0 };
        let is_overloaded = OVERLOAD_COUNT <= self.delays;
        let reason = if is_overloaded && self.overloaded_from <= now {
            Reason::Overloaded
        } else if is_calm && self.weaker_from <= now {
            Reason::Weaker
        } else {
            return None;
        };
        *self = Watch { delays: self.delays, ..Watch::new(now) };
        Some(reason)
    }
}
