//! One entry's view of the configuration: the newest known envelope, and the newest time up to
//! which the entry knows that nothing newer was accepted.

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::writer;
use lavendergauge_lib::writer::ReadPoint;
use lavendergauge_wire::config::Basis;
use lavendergauge_wire::config::Envelope;
use lavendergauge_wire::config::Made;
use lavendergauge_wire::config::Statement;
use lavendergauge_wire::config::Writer;

/// A write that is in doubt: it is not known whether it took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InDoubt {
    /// Version of the key that the compare-and-swap expects.
    pub version: i64,
    /// Identifier of the operator's change; empty when the write is not for an operator.
    pub change: String,
}

/// One entry's view of the configuration.
#[derive(Debug)]
pub struct View {
    /// Newest known envelope.
    envelope: Option<Envelope>,
    /// Version of the store's key, as last read or written.
    version: i64,
    /// Serial number of the envelope that the store holds at `version`.
    stored_serial: u64,
    /// Version of the key that the watch last reported.
    watched_version: i64,
    /// This entry's newest read of the store that found nothing newer.
    own_read: Option<ReadPoint>,
    /// The newest basis that another entry reported, converted to this entry's clock.
    reported_basis: Option<ReadPoint>,
    /// The entries that may write.
    pub writers: writer::Table,
    /// A write of this entry that is in doubt.
    pub in_doubt: Option<InDoubt>,
}

impl View {
    /// Makes the view of an entry that has just started.
    pub fn new(incarnation: writer::Id) -> Self {
        View {
            envelope: None,
            version: 0,
            stored_serial: 0,
            watched_version: 0,
            own_read: None,
            reported_basis: None,
            writers: writer::Table::new(incarnation),
            in_doubt: None,
        }
    }

    /// Returns the newest known envelope; `None` before any was read.
    pub fn envelope(&self) -> Option<&Envelope> {
        self.envelope.as_ref()
    }

    /// Returns the serial number of the newest known envelope, or 0.
    pub fn serial(&self) -> u64 {
        self.envelope.as_ref().map_or(0, |envelope| envelope.serial)
    }

    /// Returns the version of the store's key that a compare-and-swap has to expect.
    pub fn version(&self) -> i64 {
        self.version
    }

    /// Tells whether the store holds the newest known envelope, as of the newest read or write.
    pub fn is_stored(&self) -> bool {
        self.stored_serial == self.serial()
    }

    /// Applies an envelope if it is newer than the known one; tells whether it is.
    pub fn apply_envelope(&mut self, now: Millis, envelope: Envelope) -> bool {
        if let Some(known) = &self.envelope {
            if known.serial == envelope.serial && known.mark != envelope.mark {
                log::error!("event=config-forked serial={}", known.serial);
            }
            if (envelope.serial, envelope.mark) <= (known.serial, known.mark) {
                return false;
            }
        }
        let ids: Vec<writer::Id> =
            envelope.writers.iter().map(|writer| writer.incarnation).collect();
        self.writers.set_writers(now, envelope.serial, &ids);
        self.envelope = Some(envelope);
        true
    }

    /// Records the version of the store's key, and the serial number of the envelope in it.
    pub fn set_stored(&mut self, version: i64, serial: u64) {
        self.version = version;
        self.stored_serial = serial;
    }

    /// Records the version of the key that the watch reported.
    pub fn set_watched(&mut self, version: i64) {
        self.watched_version = version;
    }

    /// Tells whether the store holds a version that the watch has not reported.
    pub fn is_watch_behind(&self) -> bool {
        self.watched_version != self.version
    }

    /// Records that a read of the store sent at `sent_at` found nothing newer.
    pub fn confirm_read(&mut self, sent_at: Millis) {
        self.writers.record_read(sent_at);
        if self.own_read.as_ref().is_none_or(|known| known.at < sent_at) {
            self.own_read = Some(ReadPoint { at: sent_at, doubtful: Default::default() });
        }
    }

    /// Applies another entry's answer to a query sent at `sent_at`.
    pub fn apply_statement(&mut self, sent_at: Millis, statement: &Statement) {
        let received = writer::Statement {
            serial: statement.serial,
            quiet: std::time::Duration::from_millis(statement.quiet_ms).min(writer::QUIET),
            left: statement.left,
            doubtful: statement.doubtful.iter().map(Name::from).collect(),
        };
        self.writers.record_statement(sent_at, statement.writer.incarnation, received);
        let Some(basis) = &statement.basis else { return };
        let Some(at) = sent_at.0.checked_sub(basis.age_ms).map(Millis) else { return };
        if self.reported_basis.as_ref().is_none_or(|known| known.at < at) {
            let doubtful = basis.doubtful.iter().map(Name::from).collect();
            self.reported_basis = Some(ReadPoint { at, doubtful });
        }
    }

    /// Returns the newest time before which nothing newer than the known envelope was accepted;
    /// `None` when there is no such time or no envelope is known.
    ///
    /// Of equal times, the one without data centres in doubt is preferred.
    pub fn basis(&self, now: Millis) -> Option<ReadPoint> {
        self.envelope.as_ref()?;
        let stated = self.writers.read_point(now, self.serial());
        [self.own_read.clone(), self.reported_basis.clone(), stated]
            .into_iter()
            .flatten()
            .max_by_key(|point| (point.at, point.doubtful.is_empty()))
    }

    /// Makes the answer to another entry's query; `known_serial` is the serial number it has.
    pub fn make_statement(
        &mut self,
        now: Millis,
        own: Writer,
        revision: u64,
        known_serial: u64,
    ) -> Statement {
        let writer_statement = self.writers.make_statement(now, self.serial());
        let to_strings = |names: &[Name]| names.iter().map(Name::to_string).collect::<Vec<_>>();
        let basis = self.basis(now).map(|point| Basis {
            age_ms: now.since(point.at).as_millis() as u64,
            doubtful: to_strings(&point.doubtful),
        });
        Statement {
            version: lavendergauge_wire::VERSION,
            writer: own,
            serial: writer_statement.serial,
            revision,
            quiet_ms: writer_statement.quiet.as_millis() as u64,
            left: writer_statement.left,
            doubtful: to_strings(&writer_statement.doubtful),
            basis,
            envelope: self.envelope.clone().filter(|envelope| known_serial < envelope.serial),
        }
    }

    /// Finds an accepted change by its identifier.
    pub fn find_change(&self, id: &str) -> Option<&Made> {
        self.envelope.as_ref()?.changes.iter().rev().find(|made| made.id == id)
    }
}
