//! The entries that may write the configuration, and what each has last said.
//!
//! An entry that cannot reach the store can still know that nothing newer has
//! been accepted: every writer has said so itself. A word that was asked for at a
//! moment and came later covers all that its speaker wrote before that moment.
//! `docs/design/configuration.md` has the proof.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::name::Name;

/// Time for which a writer that cannot reach the store promises to write nothing.
pub const QUIET: Duration = Duration::from_secs(5);
/// Silence after which a writer that has joined takes another out of the list.
pub const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Questions in a row without an answer before a writer counts as silent.
const MISSED_LIMIT: u32 = 10;
/// Age of the newest answered read after which the store counts as out of reach.
const STORE_SILENT_AFTER: Duration = Duration::from_millis(1500);

/// Identifier of one entry's process: its incarnation.
pub type Id = u64;

/// What one writer says of the configuration.
#[value]
#[derive(Default)]
pub struct Word {
    /// Serial number of the newest envelope that it knows.
    pub serial: u64,
    /// How long it will write nothing, from when it was asked.
    pub quiet: Duration,
    /// Whether it has stopped writing for good.
    pub left: bool,
    /// Data centres that a write of its own would close, of which it does not know the outcome.
    pub doubtful: SmallVec<[Name; 2]>,
}

/// Why an entry may not write now.
#[token]
pub enum Bar {
    /// Not every writer knows yet that this entry is one.
    NotJoined,
    /// It has promised to write nothing for this time.
    Quiet(Duration),
    /// It has left.
    Left,
}

#[value]
struct Row {
    id: Id,
    listed: Millis,
    heard: Option<(Millis, Word)>,
    missed: u32,
    knows_us: bool,
    ended: Option<Millis>,
}

/// The writers of the newest known envelope, as one entry knows them.
#[value]
pub struct Table {
    own: Id,
    is_listed: bool,
    listed_at: u64,
    others: Vec<Row>,
    read: Option<Millis>,
    quiet_until: Millis,
    doubtful: Option<SmallVec<[Name; 2]>>,
    left: bool,
}

/// A moment before which nothing newer was accepted.
#[value]
pub struct Moment {
    /// The moment.
    pub at: Millis,
    /// Data centres that may have been closed without anybody knowing.
    pub doubtful: SmallVec<[Name; 2]>,
}

impl Table {
    /// Makes the table of an entry that knows no envelope.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// assert_eq!(Table::new(1).moment(Millis(0), 0), None);
    /// ```
    pub fn new(own: Id) -> Self {
        Table {
            own,
            is_listed: false,
            listed_at: 0,
            others: Vec::new(),
            read: None,
            quiet_until: Millis(0),
            doubtful: None,
            left: false,
        }
    }

    /// Takes in the list of an envelope; what is known of writers that stay is kept.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.list(Millis(5), 1, &[1]);
    /// assert_eq!(table.moment(Millis(9), 1).map(|moment| moment.at), Some(Millis(9)));
    /// ```
    pub fn list(&mut self, now: Millis, serial: u64, ids: &[Id]) {
        let listed = ids.contains(&self.own);
        let knows_us = listed && self.is_listed;
        if listed && !self.is_listed {
            self.listed_at = serial;
            self.others.iter_mut().for_each(|row| row.knows_us = false);
        }
        self.is_listed = listed;
        self.others.retain(|row| ids.contains(&row.id));
        for &id in ids {
            if id != self.own && !self.others.iter().any(|row| row.id == id) {
                self.others.push(Row::new(id, now, knows_us));
            }
        }
    }

    /// Takes in that the store was read, by a question asked at `asked`.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// Table::new(1).read(Millis(5));
    /// ```
    pub fn read(&mut self, asked: Millis) {
        self.read = self.read.max(Some(asked));
    }

    /// Takes in what a writer said to a question asked at `asked`.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Table, Word};
    /// let mut table = Table::new(1);
    /// table.list(Millis(0), 1, &[1, 2]);
    /// assert_eq!(table.moment(Millis(9), 1), None);
    /// table.hear(Millis(7), 2, Word { serial: 1, ..Word::default() });
    /// assert_eq!(table.moment(Millis(9), 1).map(|moment| moment.at), Some(Millis(7)));
    /// ```
    pub fn hear(&mut self, asked: Millis, id: Id, word: Word) {
        let listed_at = self.listed_at;
        let Some(row) = self.others.iter_mut().find(|row| row.id == id) else { return };
        row.missed = 0;
        row.knows_us |= word.left || (listed_at <= word.serial && word.quiet.is_zero());
        if row.heard.as_ref().is_none_or(|(known, _)| *known <= asked) {
            row.heard = Some((asked, word));
        }
    }

    /// Takes in that a writer gave no answer.
    ///
    /// ```
    /// lavendergauge_lib::writer::Table::new(1).miss(2);
    /// ```
    pub fn miss(&mut self, id: Id) {
        if let Some(row) = self.others.iter_mut().find(|row| row.id == id) {
            row.missed += 1;
        }
    }

    /// Answers another entry's question, and promises to be quiet while the store is out of reach.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Bar, QUIET, Table};
    /// let mut table = Table::new(1);
    /// table.list(Millis(0), 1, &[1]);
    /// assert_eq!(table.speak(Millis(5000), 1).quiet, QUIET);
    /// assert_eq!(table.bar(Millis(5000)), Some(Bar::Quiet(QUIET)));
    /// ```
    pub fn speak(&mut self, now: Millis, serial: u64) -> Word {
        let reaches_store = self.read.is_some() && !self.has_lost_store(now);
        if self.is_listed && !reaches_store && self.doubtful.is_none() {
            self.quiet_until = self.quiet_until.max(now + QUIET);
        }
        let quiet = self.quiet_until.since(now);
        let doubtful = self.doubtful.clone().unwrap_or_default();
        Word { serial, quiet, left: self.left && self.doubtful.is_none(), doubtful }
    }

    /// Tells whether the store answered this entry once and does so no longer.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// assert!(!table.has_lost_store(Millis(5000)));
    /// table.read(Millis(0));
    /// assert!(table.has_lost_store(Millis(5000)));
    /// ```
    pub fn has_lost_store(&self, now: Millis) -> bool {
        self.read.is_some_and(|read| STORE_SILENT_AFTER <= now.since(read))
    }

    /// Tells what keeps this entry from writing now; `None` when it may write.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Bar, Table};
    /// assert_eq!(Table::new(1).bar(Millis(0)), Some(Bar::NotJoined));
    /// ```
    pub fn bar(&self, now: Millis) -> Option<Bar> {
        if !self.has_joined() {
            return Some(Bar::NotJoined);
        }
        self.bar_listing(now)
    }

    /// Tells what keeps this entry from changing the list of writers; it need not have joined.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(lavendergauge_lib::writer::Table::new(1).bar_listing(Millis(0)), None);
    /// ```
    pub fn bar_listing(&self, now: Millis) -> Option<Bar> {
        if self.left {
            return Some(Bar::Left);
        }
        (now < self.quiet_until).then(|| Bar::Quiet(self.quiet_until.since(now)))
    }

    /// Takes in that a write begins, with the data centres that it would close.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.begin(&["zilina-1".into()]);
    /// assert_eq!(table.speak(Millis(0), 1).doubtful.len(), 1);
    /// ```
    pub fn begin(&mut self, closes: &[Name]) {
        self.doubtful = Some(closes.iter().cloned().collect());
    }

    /// Takes in that the outcome of the write is known.
    ///
    /// ```
    /// lavendergauge_lib::writer::Table::new(1).settle();
    /// ```
    pub fn settle(&mut self) {
        self.doubtful = None;
    }

    /// Takes in that this entry stops writing for good.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Bar, Table};
    /// let mut table = Table::new(1);
    /// table.leave();
    /// assert_eq!(table.bar_listing(Millis(0)), Some(Bar::Left));
    /// ```
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// Takes in that a writer's process has ended: another process answers at its address.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.list(Millis(0), 1, &[1, 2]);
    /// table.end(Millis(5), 2);
    /// table.read(Millis(6));
    /// assert!(table.moment(Millis(9), 1).is_some());
    /// ```
    pub fn end(&mut self, now: Millis, id: Id) {
        let Some(row) = self.others.iter_mut().find(|row| row.id == id) else { return };
        row.ended.get_or_insert(now);
    }

    /// Returns the newest moment at which every writer has said that it knows nothing above
    /// `serial`, the newest envelope known here.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Table, Word};
    /// let mut table = Table::new(1);
    /// table.list(Millis(0), 1, &[2]);
    /// table.hear(Millis(7), 2, Word { serial: 2, ..Word::default() });
    /// assert_eq!(table.moment(Millis(9), 1), None, "the envelope 2 is missing here");
    /// ```
    pub fn moment(&self, now: Millis, serial: u64) -> Option<Moment> {
        let is_stopped = |row: &Row| self.has_stopped(row, serial);
        if !self.is_listed && self.others.iter().all(is_stopped) {
            return None;
        }
        let own = self.doubtful.clone().unwrap_or_default();
        let mut moment = Moment { at: now, doubtful: own };
        for row in &self.others {
            if is_stopped(row) {
                continue;
            }
            let (asked, word) = row.heard.as_ref()?;
            if serial < word.serial {
                return None;
            }
            moment.at = moment.at.min(*asked);
            moment.doubtful.extend(word.doubtful.iter().cloned());
        }
        Some(moment)
    }

    /// Tells whether a writer wrote nothing that is unknown here and never will.
    fn has_stopped(&self, row: &Row, serial: u64) -> bool {
        if let Some((_, word)) = &row.heard
            && word.left
            && word.doubtful.is_empty()
            && word.serial <= serial
        {
            return true;
        }
        let Some(ended) = row.ended else { return false };
        let was_quiet = row.heard.as_ref().is_some_and(|(asked, word)| {
            word.serial <= serial && word.doubtful.is_empty() && ended < *asked + word.quiet
        });
        was_quiet || self.read.is_some_and(|read| ended <= read)
    }

    /// Tells whether this entry may write: it is listed, and every other writer knows so.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Table, Word};
    /// let mut table = Table::new(1);
    /// table.list(Millis(0), 3, &[1, 2]);
    /// assert!(!table.has_joined());
    /// table.hear(Millis(7), 2, Word { serial: 3, ..Word::default() });
    /// assert!(table.has_joined());
    /// ```
    pub fn has_joined(&self) -> bool {
        self.is_listed && self.others.iter().all(|row| row.knows_us || row.ended.is_some())
    }

    /// Tells whether this entry is in the list of writers.
    ///
    /// ```
    /// assert!(!lavendergauge_lib::writer::Table::new(1).is_listed());
    /// ```
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the writers that may be taken out of the list: they have left or ended, or, when
    /// this entry has joined, have long been silent.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.list(Millis(0), 1, &[1, 2]);
    /// table.end(Millis(5), 2);
    /// assert_eq!(table.gone(Millis(6)), [2]);
    /// ```
    pub fn gone(&self, now: Millis) -> Vec<Id> {
        let joined = self.has_joined();
        self.others
            .iter()
            .filter(|row| {
                let left = row.heard.as_ref().is_some_and(|(_, word)| word.left);
                let last = row.heard.as_ref().map_or(row.listed, |(asked, _)| *asked);
                let silent =
                    MISSED_LIMIT <= row.missed && SILENT_AFTER < now.since(last.max(row.listed));
                left || row.ended.is_some() || (joined && silent)
            })
            .map(|row| row.id)
            .collect()
    }

    /// Returns when a writer was last heard, for status pages.
    ///
    /// ```
    /// use lavendergauge_lib::writer::Table;
    /// assert_eq!(Table::new(1).heard(2), None);
    /// ```
    pub fn heard(&self, id: Id) -> Option<&(Millis, Word)> {
        self.others.iter().find(|row| row.id == id)?.heard.as_ref()
    }
}

impl Row {
    fn new(id: Id, listed: Millis, knows_us: bool) -> Self {
        Row { id, listed, heard: None, missed: 0, knows_us, ended: None }
    }
}
