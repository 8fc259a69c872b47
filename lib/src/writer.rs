//! The entries that may write the configuration, and the newest statement of each.
//!
//! An entry that cannot reach the store can still determine that no newer configuration was
//! accepted, if every writer states so. A statement covers everything that its writer wrote
//! before the time at which the statement was requested. `docs/design/configuration.md` has
//! the proof.

use std::time::Duration;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::name::Name;

/// Time for which a writer that cannot reach the store promises not to write.
pub const QUIET: Duration = Duration::from_secs(5);
/// Time without a statement after which a joined writer may remove another one from the list.
pub const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Consecutive requests without a reply before a writer counts as silent.
const MISSED_LIMIT: u32 = 10;
/// Age of the newest answered read after which the store counts as unreachable.
const STORE_SILENT_AFTER: Duration = Duration::from_millis(1500);

/// Identifier of one entry's process: its incarnation.
pub type Id = u64;

/// Statement of one writer about the configuration.
#[value]
#[derive(Default)]
pub struct Statement {
    /// Serial number of the newest envelope that it knows.
    pub serial: u64,
    /// Time for which it will not write, from the time of the request.
    pub quiet: Duration,
    /// Whether it will never write again.
    pub left: bool,
    /// Data centres that would be closed by its own write that is in doubt.
    pub doubtful: SmallVec<[Name; 2]>,
}

/// Reason for which an entry may not write now.
#[token]
pub enum WriteBlock {
    /// Not every other writer is known to have this entry in its list of writers.
    NotJoined,
    /// It has promised not to write for this time.
    Quiet(Duration),
    /// It has stopped writing for good.
    Left,
}

/// State of another writer.
#[value]
struct Row {
    id: Id,
    /// When it was added to the list.
    listed_since: Millis,
    /// Its newest statement, with the time of the request.
    statement: Option<(Millis, Statement)>,
    /// Consecutive requests without a reply.
    missed: u32,
    /// Whether it is known to have this entry in its list of writers.
    has_us_listed: bool,
    /// When its process was found to have ended.
    ended: Option<Millis>,
}

/// The writers that the newest known envelope lists, as one entry knows them.
#[value]
pub struct Table {
    own: Id,
    is_listed: bool,
    /// Serial number of the envelope that added this entry to the list.
    listed_serial: u64,
    others: Vec<Row>,
    /// When the newest answered read of the store was requested.
    newest_read: Option<Millis>,
    quiet_until: Millis,
    /// Data centres that would be closed by a write of this entry that is in progress or in doubt.
    doubtful: Option<SmallVec<[Name; 2]>>,
    left: bool,
}

/// A time up to which no newer configuration was accepted, as if the store had been read then.
#[value]
pub struct ReadPoint {
    /// The time.
    pub at: Millis,
    /// Data centres that may have been closed by writes that are in doubt.
    pub doubtful: SmallVec<[Name; 2]>,
}

impl Table {
    /// Creates the table of an entry that knows no envelope.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// assert_eq!(Table::new(1).read_point(Millis(0), 0), None);
    /// ```
    pub fn new(own: Id) -> Self {
        Table {
            own,
            is_listed: false,
            listed_serial: 0,
            others: Vec::new(),
            newest_read: None,
            quiet_until: Millis(0),
            doubtful: None,
            left: false,
        }
    }

    /// Applies an envelope's list of writers; the state of writers that stay listed is kept.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(5), 1, &[1]);
    /// assert_eq!(table.read_point(Millis(9), 1).map(|point| point.at), Some(Millis(9)));
    /// ```
    pub fn set_writers(&mut self, now: Millis, serial: u64, ids: &[Id]) {
        let is_listed = ids.contains(&self.own);
        let has_us_listed = is_listed && self.is_listed;
        if is_listed && !self.is_listed {
            self.listed_serial = serial;
            self.others.iter_mut().for_each(|row| row.has_us_listed = false);
        }
        self.is_listed = is_listed;
        self.others.retain(|row| ids.contains(&row.id));
        for &id in ids {
            if id != self.own && !self.others.iter().any(|row| row.id == id) {
                self.others.push(Row::new(id, now, has_us_listed));
            }
        }
    }

    /// Records that the store answered a read that was requested at `requested_at`.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// Table::new(1).record_read(Millis(5));
    /// ```
    pub fn record_read(&mut self, requested_at: Millis) {
        self.newest_read = self.newest_read.max(Some(requested_at));
    }

    /// Records the statement of a writer that was requested at `requested_at`.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Statement, Table};
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(0), 1, &[1, 2]);
    /// assert_eq!(table.read_point(Millis(9), 1), None);
    /// table.record_statement(Millis(7), 2, Statement { serial: 1, ..Statement::default() });
    /// assert_eq!(table.read_point(Millis(9), 1).map(|point| point.at), Some(Millis(7)));
    /// ```
    pub fn record_statement(&mut self, requested_at: Millis, id: Id, statement: Statement) {
        let listed_serial = self.listed_serial;
        let Some(row) = self.others.iter_mut().find(|row| row.id == id) else { return };
        row.missed = 0;
        row.has_us_listed |=
            statement.left || (listed_serial <= statement.serial && statement.quiet.is_zero());
        if row.statement.as_ref().is_none_or(|(known, _)| *known <= requested_at) {
            row.statement = Some((requested_at, statement));
        }
    }

    /// Records that a writer did not reply to a request.
    ///
    /// ```
    /// lavendergauge_lib::writer::Table::new(1).record_miss(2);
    /// ```
    pub fn record_miss(&mut self, id: Id) {
        if let Some(row) = self.others.iter_mut().find(|row| row.id == id) {
            row.missed += 1;
        }
    }

    /// Returns this entry's statement for another entry.
    ///
    /// While the store is unreachable, the statement includes a promise not to write for a time.
    /// [`Table::write_block`] enforces the promise.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{QUIET, Table, WriteBlock};
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(0), 1, &[1]);
    /// assert_eq!(table.make_statement(Millis(5000), 1).quiet, QUIET);
    /// assert_eq!(table.write_block(Millis(5000)), Some(WriteBlock::Quiet(QUIET)));
    /// ```
    pub fn make_statement(&mut self, now: Millis, serial: u64) -> Statement {
        let reaches_store = self.newest_read.is_some() && !self.has_lost_store(now);
        if self.is_listed && !reaches_store && self.doubtful.is_none() {
            self.quiet_until = self.quiet_until.max(now + QUIET);
        }
        let quiet = self.quiet_until.since(now);
        let doubtful = self.doubtful.clone().unwrap_or_default();
        Statement { serial, quiet, left: self.left && self.doubtful.is_none(), doubtful }
    }

    /// Tells whether the store has answered this entry before but no longer does.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// assert!(!table.has_lost_store(Millis(5000)));
    /// table.record_read(Millis(0));
    /// assert!(table.has_lost_store(Millis(5000)));
    /// ```
    pub fn has_lost_store(&self, now: Millis) -> bool {
        self.newest_read.is_some_and(|read| STORE_SILENT_AFTER <= now.since(read))
    }

    /// Returns the reason for which this entry may not write now; `None` when it may.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Table, WriteBlock};
    /// assert_eq!(Table::new(1).write_block(Millis(0)), Some(WriteBlock::NotJoined));
    /// ```
    pub fn write_block(&self, now: Millis) -> Option<WriteBlock> {
        if !self.has_joined() {
            return Some(WriteBlock::NotJoined);
        }
        self.list_block(now)
    }

    /// Returns the reason for which this entry may not change the list of writers now; `None` when
    /// it may. For this it need not have joined.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(lavendergauge_lib::writer::Table::new(1).list_block(Millis(0)), None);
    /// ```
    pub fn list_block(&self, now: Millis) -> Option<WriteBlock> {
        if self.left {
            return Some(WriteBlock::Left);
        }
        (now < self.quiet_until).then(|| WriteBlock::Quiet(self.quiet_until.since(now)))
    }

    /// Records that a write begins that would close these data centres.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.begin_write(&["zilina-1".into()]);
    /// assert_eq!(table.make_statement(Millis(0), 1).doubtful.len(), 1);
    /// ```
    pub fn begin_write(&mut self, closes: &[Name]) {
        self.doubtful = Some(closes.iter().cloned().collect());
    }

    /// Records that the write has ended and its outcome is known.
    ///
    /// ```
    /// lavendergauge_lib::writer::Table::new(1).end_write();
    /// ```
    pub fn end_write(&mut self) {
        self.doubtful = None;
    }

    /// Records that this entry stops writing for good.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Table, WriteBlock};
    /// let mut table = Table::new(1);
    /// table.leave();
    /// assert_eq!(table.list_block(Millis(0)), Some(WriteBlock::Left));
    /// ```
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// Records that a writer's process has ended: another process answers at its address.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(0), 1, &[1, 2]);
    /// table.end(Millis(5), 2);
    /// table.record_read(Millis(6));
    /// assert!(table.read_point(Millis(9), 1).is_some());
    /// ```
    pub fn end(&mut self, now: Millis, id: Id) {
        let Some(row) = self.others.iter_mut().find(|row| row.id == id) else { return };
        row.ended.get_or_insert(now);
    }

    /// Returns the newest time for which every writer has stated that it knows no envelope above
    /// `serial`, the newest one known here; `None` when there is no such time.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Statement, Table};
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(0), 1, &[2]);
    /// table.record_statement(Millis(7), 2, Statement { serial: 2, ..Statement::default() });
    /// assert_eq!(table.read_point(Millis(9), 1), None, "the envelope 2 is missing here");
    /// ```
    pub fn read_point(&self, now: Millis, serial: u64) -> Option<ReadPoint> {
        let has_stopped = |row: &Row| self.has_stopped(row, serial);
        if !self.is_listed && self.others.iter().all(has_stopped) {
            return None;
        }
        let own = self.doubtful.clone().unwrap_or_default();
        let mut point = ReadPoint { at: now, doubtful: own };
        for row in &self.others {
            if has_stopped(row) {
                continue;
            }
            let (requested_at, statement) = row.statement.as_ref()?;
            if serial < statement.serial {
                return None;
            }
            point.at = point.at.min(*requested_at);
            point.doubtful.extend(statement.doubtful.iter().cloned());
        }
        Some(point)
    }

    /// Tells whether a writer has written nothing that is unknown here and never will.
    fn has_stopped(&self, row: &Row, serial: u64) -> bool {
        if let Some((_, statement)) = &row.statement
            && statement.left
            && statement.doubtful.is_empty()
            && statement.serial <= serial
        {
            return true;
        }
        let Some(ended) = row.ended else { return false };
        let was_quiet = row.statement.as_ref().is_some_and(|(requested_at, statement)| {
            statement.serial <= serial
                && statement.doubtful.is_empty()
                && ended < *requested_at + statement.quiet
        });
        was_quiet || self.newest_read.is_some_and(|read| ended <= read)
    }

    /// Tells whether this entry is listed and every other writer knows that. Only then it may
    /// write.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::{Statement, Table};
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(0), 3, &[1, 2]);
    /// assert!(!table.has_joined());
    /// table.record_statement(Millis(7), 2, Statement { serial: 3, ..Statement::default() });
    /// assert!(table.has_joined());
    /// ```
    pub fn has_joined(&self) -> bool {
        self.is_listed && self.others.iter().all(|row| row.has_us_listed || row.ended.is_some())
    }

    /// Tells whether this entry is in the list of writers.
    ///
    /// ```
    /// assert!(!lavendergauge_lib::writer::Table::new(1).is_listed());
    /// ```
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the writers that may be removed from the list: those that have left or ended and,
    /// if this entry has joined, those that have been silent for long.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::writer::Table;
    /// let mut table = Table::new(1);
    /// table.set_writers(Millis(0), 1, &[1, 2]);
    /// table.end(Millis(5), 2);
    /// assert_eq!(table.removable(Millis(6)), [2]);
    /// ```
    pub fn removable(&self, now: Millis) -> Vec<Id> {
        let has_joined = self.has_joined();
        self.others
            .iter()
            .filter(|row| {
                let has_left = row.statement.as_ref().is_some_and(|(_, statement)| statement.left);
                let last = row
                    .statement
                    .as_ref()
                    .map_or(row.listed_since, |(requested_at, _)| *requested_at);
                let is_silent = MISSED_LIMIT <= row.missed
                    && SILENT_AFTER < now.since(last.max(row.listed_since));
                has_left || row.ended.is_some() || (has_joined && is_silent)
            })
            .map(|row| row.id)
            .collect()
    }

    /// Returns the newest statement of a writer, with the time of its request, for status pages.
    ///
    /// ```
    /// use lavendergauge_lib::writer::Table;
    /// assert_eq!(Table::new(1).statement_of(2), None);
    /// ```
    pub fn statement_of(&self, id: Id) -> Option<&(Millis, Statement)> {
        self.others.iter().find(|row| row.id == id)?.statement.as_ref()
    }
}

impl Row {
    fn new(id: Id, listed_since: Millis, has_us_listed: bool) -> Self {
        Row { id, listed_since, statement: None, missed: 0, has_us_listed, ended: None }
    }
}
