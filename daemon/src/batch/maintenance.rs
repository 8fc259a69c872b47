//! Executes maintenance waves while this entry is the leader.
//!
//! VMs are recorded before their maintenance is ordered, so that the next planner knows which VMs
//! may be down.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as MapEntry;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::wave;
use lavendergauge_lib::batch::wave::Machine;
use lavendergauge_lib::batch::wave::Record;
use lavendergauge_lib::batch::wave::Status;
use lavendergauge_lib::batch::wave::Step;
use lavendergauge_lib::batch::wave::Wave;
use lavendergauge_platform::Error;
use lavendergauge_platform::machine::Holder;
use lavendergauge_platform::machine::Machines;
use lavendergauge_platform::machine::Reply;
use lavendergauge_platform::operator;
use lavendergauge_platform::store::CommitOutcome;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::leader::Term;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Interval at which waves are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Deadline of one call to the store.
const DEADLINE: Duration = Duration::from_millis(900);

/// A wave's record, and its revision in the store; 0 before it is stored.
struct StoredRecord {
    record: Record,
    revision: u64,
}

/// Executes waves until leadership is lost.
pub async fn run(entry: Arc<Entry>, planner: Arc<Planner>, term: Arc<Term>) {
    if entry.settings.machines_address.is_empty() {
        return;
    }
    let service = Machines::new(&entry.settings.machines_address);
    let mut stored_records: BTreeMap<u64, StoredRecord> = BTreeMap::new();
    loop {
        let waves: Vec<Wave> = entry.config_view.state().waves.values().cloned().collect();
        for wave in waves {
            if stored_records.get(&wave.number).is_some_and(|stored| stored.record.completed) {
                continue;
            }
            if let Err(error) =
                advance(&entry, &planner, &term, &service, &wave, &mut stored_records).await
            {
                log::warn!(
                    "event=wave-held-up wave={} cause={}",
                    wave.number,
                    Value(&error.to_string())
                );
            }
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

async fn advance(
    entry: &Entry,
    planner: &Planner,
    term: &Arc<Term>,
    service: &Machines,
    wave: &Wave,
    stored_records: &mut BTreeMap<u64, StoredRecord>,
) -> Result<(), Error> {
    let stored = match stored_records.entry(wave.number) {
        MapEntry::Occupied(slot) => slot.into_mut(),
        MapEntry::Vacant(slot) => slot.insert(read_record(entry, wave.number).await?),
    };
    if stored.record.completed {
        return Ok(());
    }
    let listed = service.list().await?;
    let mut machines: BTreeMap<String, Machine> =
        listed.machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
    if listed.nameless != 0 {
        // Each VM of the wave that is not listed may be one whose name cannot be read.
        for name in &wave.machines {
            let (status, worker) = (Status::Away, String::new());
            let unknown = || Machine { name: name.clone(), status, worker };
            machines.entry(name.clone()).or_insert_with(unknown);
        }
    }
    let step = wave::next(&planner.tables(), clock::boot(), wave, &stored.record, &machines);
    match step {
        Step::Wait => Ok(()),
        Step::Complete => {
            stored.record.completed = true;
            let written = write_record(entry, term, wave.number, stored).await;
            if written.is_err() {
                stored.record.completed = false;
            } else {
                log::info!("event=wave-completed wave={}", wave.number);
            }
            written
        }
        Step::Order(names) => {
            stored.record.ordered.extend(names.iter().cloned());
            write_record(entry, term, wave.number, stored).await?;
            let mut failure = None;
            for name in names {
                if !term.can_order() {
                    return Err(Error::Unsent("the lease may have ended".to_owned()));
                }
                let holder = Holder { name: &entry.name, fencing_token: term.fence };
                let shared = term.clone();
                let ordered =
                    service.maintain(holder, &name, wave.number, move || shared.can_order()).await;
                log::info!(
                    "event=maintenance-ordered wave={} machine={name} fence={} outcome={ordered:?}",
                    wave.number,
                    term.fence
                );
                match ordered {
                    Ok(Reply::Begun | Reply::Unknown) => {
                        stored.record.begun.insert(name);
                    }
                    Ok(Reply::Refused(_)) => {
                        stored.record.ordered.remove(&name);
                    }
                    // It is ordered again at the next check, and the others need not wait for it.
                    Err(error) => failure = Some(error),
                }
            }
            failure.map_or(Ok(()), Err)
        }
    }
}

async fn read_record(entry: &Entry, number: u64) -> Result<StoredRecord, Error> {
    let Some(item) = entry.store.read(&keys::wave(number), DEADLINE).await? else {
        return Ok(StoredRecord { record: Record::default(), revision: 0 });
    };
    // A VM whose maintenance is ordered again is not taken down twice, so that without the record
    // the wave starts anew.
    let record = codec::unpack(&item.value).unwrap_or_else(|cause| {
        log::error!("event=record-unreadable key={} cause={}", item.key, Value(&cause.to_string()));
        Record::default()
    });
    Ok(StoredRecord { record, revision: item.revision })
}

/// Writes a wave's record and the status that operators read, if this planner is still the leader.
async fn write_record(
    entry: &Entry,
    term: &Term,
    number: u64,
    stored: &mut StoredRecord,
) -> Result<(), Error> {
    let key = keys::wave(number);
    let value = codec::pack(&stored.record).map_err(|error| Error::NotDone(error.to_string()))?;
    let (status_key, status) = operator::encode_wave_status(number, stored.record.completed);
    let transaction = Transaction {
        conditions: vec![
            (keys::LEADER.to_owned(), term.leader_revision),
            (key.clone(), stored.revision),
        ],
        puts: vec![
            Put { key: key.clone(), value: value.clone(), lease: 0 },
            Put { key: status_key, value: status, lease: 0 },
        ],
        removals: Vec::new(),
    };
    match entry.store.commit(&transaction, DEADLINE).await? {
        CommitOutcome::Done(revision) => {
            stored.revision = revision;
            Ok(())
        }
        CommitOutcome::Conflict(items) => {
            let revision_of =
                |key: &str| items.iter().find(|item| item.key == key).map(|item| item.revision);
            if revision_of(keys::LEADER) != Some(term.leader_revision) {
                return Err(Error::NotDone("another planner leads".to_owned()));
            }
            // Only the leader writes the record: this is an earlier attempt of this term, or the
            // value of another writer, which the next check replaces.
            stored.revision = revision_of(&key).unwrap_or(0);
            match items.iter().any(|item| item.key == key && item.value == value) {
                true => Ok(()),
                false => Err(Error::NotDone("the wave's record has changed".to_owned())),
            }
        }
        CommitOutcome::NoLease => Err(Error::NotDone("no such lease".to_owned())),
    }
}
