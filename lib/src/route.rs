//! Selection of a target for one request at an entry.
//!
//! The load of a target is the entry's own requests there plus an estimate of other entries'
//! requests, from the load that the target's agent reports.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;
use rand::Rng;
use rand::RngExt;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::name::Name;
use crate::outlier;

slotmap::new_key_type! {
    /// A target in a [`Table`].
    pub struct Key;
}

/// Time over which the usable slots of a new target grow to all of its slots.
pub const SLOW_START: Duration = Duration::from_secs(5);
/// Time for which a target is considered full after it refused a request as full.
pub const FULL_FOR: Duration = Duration::from_millis(5);
/// Divisor of the number of targets that gives the largest number of avoided ones.
const AVOIDED_DIVISOR: usize = 2;

/// The announcement of a target by its agent.
#[value]
pub struct Announced {
    /// Name of its worker.
    pub worker: Name,
    /// Address of the agent on the same worker.
    pub address: Name,
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// The agent's newest known clock value.
    pub clock: Millis,
    /// Number of requests that it serves at a time.
    pub slots: u32,
    /// Number of requests that it was serving.
    pub used: u32,
    /// Whether it accepts requests.
    pub ready: bool,
}

/// State of a target at an entry.
#[row]
pub struct Target {
    /// Its newest announcement.
    pub announced: Announced,
    /// Number of this entry's requests that it is serving.
    pub own: u32,
    /// Estimated number of other entries' requests that it was serving at its last report.
    others: u32,
    /// Most own requests since the last report.
    peak: u32,
    /// Most own requests between the two reports before.
    last_peak: u32,
    added_at: Millis,
    is_new: bool,
    full_until: Option<Millis>,
    outcomes: outlier::Record,
}

impl Target {
    /// Returns the number of usable slots: one for a target on trial, fewer than all for a new one.
    fn slots(&self, now: Millis) -> u32 {
        let slots = self.announced.slots;
        if self.outcomes.is_on_trial() {
            return slots.min(1);
        }
        let age = now.since(self.added_at);
        if !self.is_new || SLOW_START <= age {
            return slots;
        }
        let share = age.as_secs_f64() / SLOW_START.as_secs_f64();
        (f64::from(slots) * share).ceil().max(1.0) as u32
    }

    /// Applies a reported load. A report may be delayed and still count own requests that have
    /// ended, so the peak of own requests is subtracted.
    fn report(&mut self, used: u32) {
        self.others = used.saturating_sub(self.peak.max(self.last_peak));
        self.last_peak = self.peak;
        self.peak = self.own;
    }

    fn used(&self) -> u32 {
        self.own + self.others
    }

    fn has_free_slot(&self, now: Millis) -> bool {
        self.announced.ready
            && self.used() < self.slots(now)
            && self.full_until.is_none_or(|until| until <= now)
    }
}

/// Result of one request as evidence of its target's health.
#[value]
pub enum Result {
    /// The target answered without a server error.
    Good,
    /// The request failed.
    Failed,
    /// The target refused the request because all slots are taken.
    Full,
    /// No evidence of the health.
    Neither,
}

/// All targets that an entry knows.
#[row]
#[derive(Default)]
pub struct Table {
    targets: SlotMap<Key, Target>,
    by_worker: HashMap<Name, Key>,
    has_targets: bool,
}

impl Table {
    /// Applies the announcements of all targets, and removes targets without one.
    ///
    /// All slots of the targets in the first non-empty call are usable at once; later targets
    /// start slowly.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::route::Table;
    /// let mut table = Table::default();
    /// table.update(Millis(0), Vec::new());
    /// assert_eq!(table.free_slots(Millis(0)), 0);
    /// ```
    pub fn update(&mut self, now: Millis, announced: Vec<Announced>) {
        let is_new = self.has_targets;
        self.has_targets |= !announced.is_empty();
        let mut known = HashMap::with_capacity(announced.len());
        for announced in announced {
            let worker = announced.worker.clone();
            known.insert(worker, self.apply(now, announced, is_new));
        }
        self.targets.retain(|key, target| known.get(&target.announced.worker) == Some(&key));
        self.by_worker = known;
    }

    fn apply(&mut self, now: Millis, announced: Announced, is_new: bool) -> Key {
        let key = self.by_worker.get(&announced.worker).copied();
        let known = key.and_then(|key| Some((key, self.targets.get_mut(key)?)));
        if let Some((key, target)) = known
            && target.announced.incarnation == announced.incarnation
        {
            if target.announced.sequence < announced.sequence {
                target.report(announced.used);
            }
            let clock = target.announced.clock.max(announced.clock);
            target.announced = Announced { clock, ..announced };
            return key;
        }
        self.targets.insert(Target {
            others: announced.used,
            peak: 0,
            last_peak: 0,
            announced,
            own: 0,
            added_at: now,
            is_new,
            full_until: None,
            outcomes: outlier::Record::default(),
        })
    }

    /// Returns a target.
    ///
    /// ```
    /// use lavendergauge_lib::route::{Key, Table};
    /// assert!(Table::default().target(Key::default()).is_none());
    /// ```
    pub fn target(&self, key: Key) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the number of targets that accept requests.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::route::Table::default().ready(), 0);
    /// ```
    pub fn ready(&self) -> usize {
        self.targets.values().filter(|target| target.announced.ready).count()
    }

    /// Returns the number of usable slots that are free by the current estimate.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(lavendergauge_lib::route::Table::default().free_slots(Millis(0)), 0);
    /// ```
    pub fn free_slots(&self, now: Millis) -> u32 {
        let free = self.targets.values().filter(|target| target.has_free_slot(now));
        free.map(|target| target.slots(now).saturating_sub(target.used())).sum()
    }

    /// Picks the less loaded of two random targets with a free slot that are not in `tried`.
    ///
    /// Targets that the outlier detection avoids are excluded, unless they are more than half
    /// of all targets.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::route::Table;
    /// use rand::SeedableRng;
    /// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    /// assert_eq!(Table::default().pick(Millis(0), &[], &mut rng), None);
    /// ```
    pub fn pick(&self, now: Millis, tried: &[Key], rng: &mut impl Rng) -> Option<Key> {
        let avoided =
            self.targets.values().filter(|target| target.outcomes.is_avoided(now)).count();
        let avoid = avoided * AVOIDED_DIVISOR <= self.targets.len();
        let free: SmallVec<[Key; 32]> = self
            .targets
            .iter()
            .filter(|(key, target)| {
                target.has_free_slot(now)
                    && !tried.contains(key)
                    && !(avoid && target.outcomes.is_avoided(now))
            })
            .map(|(key, _)| key)
            .collect();
        if free.is_empty() {
            return None;
        }
        let first = free[rng.random_range(0..free.len())];
        let second = free[rng.random_range(0..free.len())];
        Some(if self.load(now, second) < self.load(now, first) { second } else { first })
    }

    fn load(&self, now: Millis, key: Key) -> f64 {
        let target = &self.targets[key];
        f64::from(target.used()) / f64::from(target.slots(now).max(1))
    }

    /// Counts a request as sent to a target.
    ///
    /// ```
    /// use lavendergauge_lib::route::{Key, Table};
    /// Table::default().send(Key::default());
    /// ```
    pub fn send(&mut self, key: Key) {
        if let Some(target) = self.targets.get_mut(key) {
            target.own += 1;
            target.peak = target.peak.max(target.own);
        }
    }

    /// Applies the load and the clock that a target's agent reports in an answer.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::route::{Key, Table};
    /// Table::default().update_load(Key::default(), 3, Millis(0));
    /// ```
    pub fn update_load(&mut self, key: Key, used: u32, clock: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.announced.clock = target.announced.clock.max(clock);
            target.report(used);
        }
    }

    /// Records the end of a request that was sent to a target.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::route::{Key, Result, Table};
    /// Table::default().finish(Millis(0), Key::default(), Result::Good);
    /// ```
    pub fn finish(&mut self, now: Millis, key: Key, result: Result) {
        let peer_failure_rate = self.peer_failure_rate(key);
        let Some(target) = self.targets.get_mut(key) else { return };
        target.own = target.own.saturating_sub(1);
        match result {
            Result::Good => target.outcomes.observe(now, true, peer_failure_rate),
            Result::Failed => target.outcomes.observe(now, false, peer_failure_rate),
            Result::Full => target.full_until = Some(now + FULL_FOR),
            Result::Neither => {}
        }
    }

    /// Returns the mean failure rate of all other targets.
    fn peer_failure_rate(&self, key: Key) -> f64 {
        let others = self.targets.iter().filter(|(other, _)| *other != key);
        let (sum, count) = others.fold((0.0, 0_u32), |(sum, count), (_, target)| {
            (sum + target.outcomes.failure_rate(), count + 1)
        });
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}
