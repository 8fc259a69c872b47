//! An agent's side of requests: slots, and what became of each key.
//!
//! A key runs at most once here because only [`Gate::admit`] lets it run, and it
//! does so only for a key that has no record. Records are forgotten in the order
//! of their time, and the time of the newest forgotten one is the horizon: a
//! ticket drawn after the horizon can't have a forgotten record, so the absence
//! of one proves that the key never ran here. For an older ticket it proves
//! nothing, and the gate says [`Standing::Forgotten`].

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::mem;
use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;

use crate::clock::Millis;
use crate::name::Name;

/// Time for which a finished key that a caller gave is remembered.
pub const CLAIMED_RETENTION: Duration = Duration::from_secs(600);
/// Time for which a finished key that an entry drew is remembered.
pub const DRAWN_RETENTION: Duration = Duration::from_secs(60);
/// Time for which no record is forgotten, however many there are.
pub const LEAST_RETENTION: Duration = Duration::from_millis(500);
/// Age from which a ticket starts nothing.
pub const TICKET_LIFE: Duration = Duration::from_secs(900);

/// Bounds on what a gate keeps.
#[value]
pub struct Limit {
    /// Most finished records of each kind.
    pub records: usize,
    /// Most kept answers.
    pub answers: usize,
    /// Most bytes of kept answers.
    pub bytes: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Limit { records: 16 << 10, answers: 2 << 10, bytes: 4 << 20 }
    }
}

/// What an entry says about a request that wants to run.
#[value]
pub struct Ticket {
    /// The key, unique within all client accounts.
    pub key: Name,
    /// Fingerprint of the request.
    pub digest: Name,
    /// This agent's clock when the entry chose it.
    pub drawn: Millis,
    /// Whether the caller gave the key, so that others may come with it.
    pub claimed: bool,
}

/// What the gate says to a request that wants to run.
#[token]
pub enum Admission {
    /// Run it; exactly one caller is told so for a key.
    Run,
    /// It is running, or ran: its answer is the answer.
    Known(Standing),
    /// It does not run here.
    Refused(Refusal),
}

/// Why a request does not run.
#[token]
pub enum Refusal {
    /// All slots are taken.
    Full,
    /// There is no fresh start permit.
    NoPermit,
    /// The target takes no new work.
    Leaving,
    /// The key was fenced when someone asked about it.
    Fenced,
    /// The key was used with another request.
    Mismatch,
    /// There is no room for one more record.
    Crowded,
}

/// What the gate knows of a key.
#[token]
pub enum Standing {
    /// It is running now.
    Running,
    /// It ran; its answer is kept.
    Ran,
    /// It ran; its answer is no longer kept.
    Dropped,
    /// It was sent to the target, and whether it ran is in doubt for good.
    Doubt,
    /// It never ran here, and from now on never will.
    Fenced,
    /// The record may have been forgotten.
    Forgotten,
}

#[value]
struct Record {
    digest: Name,
    standing: Standing,
    claimed: bool,
    serial: u64,
    size: usize,
}

#[value]
#[derive(Default)]
struct Shelf {
    /// Finished records by serial number, with their time.
    order: BTreeMap<u64, (Millis, Name)>,
    horizon: Option<Millis>,
}

/// The only giver of one target's slots.
#[value]
pub struct Gate {
    slots: u32,
    used: u32,
    limit: Limit,
    records: HashMap<Name, Record>,
    drawn: Shelf,
    claimed: Shelf,
    /// Kept answers by serial number, oldest first.
    answers: BTreeMap<u64, Name>,
    bytes: usize,
    serial: u64,
    /// Keys whose answers are no longer kept and have not been reported yet.
    dropped: Vec<Name>,
}

impl Gate {
    /// Makes a gate over a target's slots.
    ///
    /// ```
    /// use lavendergauge_lib::request::Gate;
    /// assert_eq!(Gate::new(8).used(), 0);
    /// ```
    pub fn new(slots: u32) -> Self {
        Gate::with_limit(slots, Limit::default())
    }

    /// Makes a gate with its own bounds on what it keeps.
    ///
    /// ```
    /// use lavendergauge_lib::request::{Gate, Limit};
    /// assert_eq!(Gate::with_limit(8, Limit { records: 1, answers: 1, bytes: 1 }).used(), 0);
    /// ```
    pub fn with_limit(slots: u32, limit: Limit) -> Self {
        Gate {
            slots,
            used: 0,
            limit,
            records: HashMap::new(),
            drawn: Shelf::default(),
            claimed: Shelf::default(),
            answers: BTreeMap::new(),
            bytes: 0,
            serial: 0,
            dropped: Vec::new(),
        }
    }

    /// Returns the number of slots in use.
    ///
    /// ```
    /// use lavendergauge_lib::request::Gate;
    /// assert_eq!(Gate::new(8).used(), 0);
    /// ```
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Returns the number of bytes of kept answers.
    ///
    /// ```
    /// use lavendergauge_lib::request::Gate;
    /// assert_eq!(Gate::new(8).bytes(), 0);
    /// ```
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether a key is running.
    ///
    /// ```
    /// use lavendergauge_lib::request::Gate;
    /// assert!(!Gate::new(8).is_running(&"k".into()));
    /// ```
    pub fn is_running(&self, key: &Name) -> bool {
        self.records.get(key).is_some_and(|record| record.standing == Standing::Running)
    }

    /// Says what is known of a key and changes nothing; `None` when it has not come so far.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Gate, Ticket};
    /// let ticket =
    ///     Ticket { key: "k".into(), digest: "d".into(), drawn: Millis(1), claimed: false };
    /// assert_eq!(Gate::new(8).look(&ticket), None);
    /// ```
    pub fn look(&self, ticket: &Ticket) -> Option<Standing> {
        let record = self.records.get(&ticket.key);
        let forgotten = self.may_be_forgotten(ticket).then_some(Standing::Forgotten);
        record.map(|record| record.standing).or(forgotten)
    }

    /// Decides whether a request runs; `open` tells whether new work may start.
    ///
    /// A claimed key that is refused is fenced here too, so that the refusal
    /// entitles its receiver to claim the key for another agent.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Admission, Gate, Standing, Ticket};
    /// let ticket =
    ///     Ticket { key: "k".into(), digest: "d".into(), drawn: Millis(1), claimed: false };
    /// let mut gate = Gate::new(1);
    /// assert_eq!(gate.admit(Millis(1), &ticket, Ok(())), Admission::Run);
    /// let running = Admission::Known(Standing::Running);
    /// assert_eq!(gate.admit(Millis(1), &ticket, Ok(())), running);
    /// ```
    pub fn admit(&mut self, now: Millis, ticket: &Ticket, open: Result<(), Refusal>) -> Admission {
        if let Some(record) = self.records.get(&ticket.key) {
            return match record.standing {
                Standing::Fenced => Admission::Refused(Refusal::Fenced),
                _ if record.digest != ticket.digest => Admission::Refused(Refusal::Mismatch),
                standing => Admission::Known(standing),
            };
        }
        if self.may_be_forgotten(ticket) || TICKET_LIFE < now.since(ticket.drawn) {
            return Admission::Known(Standing::Forgotten);
        }
        let refusal = open.err().or_else(|| self.lacks_room(now, ticket.claimed));
        let Some(refusal) = refusal else {
            self.used += 1;
            self.insert(ticket, Standing::Running);
            return Admission::Run;
        };
        if ticket.claimed {
            self.fence(now, ticket);
        }
        Admission::Refused(refusal)
    }

    /// Says what became of a key, and fences it if it never ran here.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Admission, Gate, Refusal, Standing, Ticket};
    /// let ticket =
    ///     Ticket { key: "k".into(), digest: "d".into(), drawn: Millis(1), claimed: false };
    /// let mut gate = Gate::new(1);
    /// assert_eq!(gate.ask(Millis(1), &ticket), Standing::Fenced);
    /// let refused = Admission::Refused(Refusal::Fenced);
    /// assert_eq!(gate.admit(Millis(1), &ticket, Ok(())), refused);
    /// ```
    pub fn ask(&mut self, now: Millis, ticket: &Ticket) -> Standing {
        if let Some(record) = self.records.get(&ticket.key) {
            return record.standing;
        }
        if self.may_be_forgotten(ticket) {
            return Standing::Forgotten;
        }
        self.fence(now, ticket);
        Standing::Fenced
    }

    /// Records that a running request has ended with a whole answer of `size` bytes.
    ///
    /// Frees its slot and returns the keys whose answers are to be dropped for it.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Gate, Standing, Ticket};
    /// let ticket =
    ///     Ticket { key: "k".into(), digest: "d".into(), drawn: Millis(1), claimed: false };
    /// let mut gate = Gate::new(1);
    /// gate.admit(Millis(1), &ticket, Ok(()));
    /// assert!(gate.finish(Millis(2), &ticket.key, 100).is_empty());
    /// assert_eq!(gate.ask(Millis(3), &ticket), Standing::Ran);
    /// ```
    pub fn finish(&mut self, now: Millis, key: &Name, size: usize) -> Vec<Name> {
        let Some(serial) = self.settle(now, key, Standing::Ran) else { return Vec::new() };
        if let Some(record) = self.records.get_mut(key) {
            record.size = size;
        }
        self.bytes += size;
        self.answers.insert(serial, key.clone());
        while self.limit.bytes < self.bytes || self.limit.answers < self.answers.len() {
            let Some((_, key)) = self.answers.pop_first() else { break };
            self.drop_answer(&key);
            self.dropped.push(key);
        }
        mem::take(&mut self.dropped)
    }

    /// Records that a running request's outcome is in doubt for good, and frees its slot.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Gate, Standing, Ticket};
    /// let ticket =
    ///     Ticket { key: "k".into(), digest: "d".into(), drawn: Millis(1), claimed: false };
    /// let mut gate = Gate::new(1);
    /// gate.admit(Millis(1), &ticket, Ok(()));
    /// gate.doubt(Millis(2), &ticket.key);
    /// assert_eq!(gate.ask(Millis(3), &ticket), Standing::Doubt);
    /// ```
    pub fn doubt(&mut self, now: Millis, key: &Name) {
        self.settle(now, key, Standing::Doubt);
    }

    /// Takes back a permission to run of which nothing reached the target, and fences the key.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::{Gate, Standing, Ticket};
    /// let ticket =
    ///     Ticket { key: "k".into(), digest: "d".into(), drawn: Millis(1), claimed: false };
    /// let mut gate = Gate::new(1);
    /// gate.admit(Millis(1), &ticket, Ok(()));
    /// gate.release(Millis(2), &ticket.key);
    /// assert_eq!(gate.used(), 0);
    /// assert_eq!(gate.ask(Millis(3), &ticket), Standing::Fenced);
    /// ```
    pub fn release(&mut self, now: Millis, key: &Name) {
        self.settle(now, key, Standing::Fenced);
    }

    /// Forgets what is past its retention and returns the keys whose answers are to be dropped.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::request::Gate;
    /// assert!(Gate::new(1).tick(Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<Name> {
        for (claimed, retention) in [(false, DRAWN_RETENTION), (true, CLAIMED_RETENTION)] {
            while let Some(time) = self.oldest(claimed)
                && retention < now.since(time)
            {
                self.forget_oldest(claimed);
            }
        }
        mem::take(&mut self.dropped)
    }

    fn shelf(&mut self, claimed: bool) -> &mut Shelf {
        if claimed { &mut self.claimed } else { &mut self.drawn }
    }

    fn oldest(&mut self, claimed: bool) -> Option<Millis> {
        self.shelf(claimed).order.first_key_value().map(|(_, (time, _))| *time)
    }

    fn may_be_forgotten(&self, ticket: &Ticket) -> bool {
        let shelf = if ticket.claimed { &self.claimed } else { &self.drawn };
        shelf.horizon.is_some_and(|horizon| ticket.drawn <= horizon)
    }

    /// Says what one more running record lacks.
    fn lacks_room(&mut self, now: Millis, claimed: bool) -> Option<Refusal> {
        if self.slots <= self.used {
            return Some(Refusal::Full);
        }
        let full = self.limit.records <= self.shelf(claimed).order.len();
        let young = self.oldest(claimed).is_some_and(|oldest| now.since(oldest) < LEAST_RETENTION);
        (full && young).then_some(Refusal::Crowded)
    }

    fn insert(&mut self, ticket: &Ticket, standing: Standing) -> u64 {
        self.serial += 1;
        let record = Record {
            digest: ticket.digest.clone(),
            standing,
            claimed: ticket.claimed,
            serial: self.serial,
            size: 0,
        };
        self.records.insert(ticket.key.clone(), record);
        self.serial
    }

    fn fence(&mut self, now: Millis, ticket: &Ticket) {
        let serial = self.insert(ticket, Standing::Fenced);
        self.put_on_shelf(now, &ticket.key, ticket.claimed, serial);
    }

    /// Ends a running record and returns its new serial number.
    fn settle(&mut self, now: Millis, key: &Name, standing: Standing) -> Option<u64> {
        let record = self.records.get_mut(key)?;
        if record.standing != Standing::Running {
            return None;
        }
        self.serial += 1;
        record.standing = standing;
        record.serial = self.serial;
        let (claimed, serial) = (record.claimed, record.serial);
        self.used -= 1;
        self.put_on_shelf(now, key, claimed, serial);
        Some(serial)
    }

    fn put_on_shelf(&mut self, now: Millis, key: &Name, claimed: bool, serial: u64) {
        self.shelf(claimed).order.insert(serial, (now, key.clone()));
        let limit = self.limit.records;
        if limit < self.shelf(claimed).order.len() {
            self.forget_oldest(claimed);
        }
    }

    /// Forgets the oldest record and moves the horizon to its time.
    fn forget_oldest(&mut self, claimed: bool) {
        let shelf = self.shelf(claimed);
        let Some((_, (time, key))) = shelf.order.pop_first() else { return };
        shelf.horizon = shelf.horizon.max(Some(time));
        let Some(record) = self.records.remove(&key) else { return };
        self.bytes -= record.size;
        if self.answers.remove(&record.serial).is_some() {
            self.dropped.push(key);
        }
    }

    fn drop_answer(&mut self, key: &Name) {
        let Some(record) = self.records.get_mut(key) else { return };
        record.standing = Standing::Dropped;
        self.bytes -= record.size;
        record.size = 0;
    }
}
