//! Carries maintenance waves out while this entry holds the planner's duty.
//!
//! What was ordered is recorded first, so that the next planner knows which machines may be down.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Slot;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::wave;
use lavendergauge_lib::batch::wave::Machine;
use lavendergauge_lib::batch::wave::Record;
use lavendergauge_lib::batch::wave::Step;
use lavendergauge_lib::batch::wave::Wave;
use lavendergauge_platform::Error;
use lavendergauge_platform::machine::Machines;
use lavendergauge_platform::machine::Ordered;
use lavendergauge_platform::operator;
use lavendergauge_platform::store::Committed;
use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Transaction;
use lavendergauge_wire::codec;
use tokio::time;

use crate::batch::entry::Entry;
use crate::batch::keys;
use crate::batch::lead::Tenure;
use crate::batch::planner::Planner;
use crate::clock;
use crate::logs::Value;

/// Interval at which waves are looked at while there are any.
const LOOK_EVERY: Duration = Duration::from_millis(700);
/// Deadline of one call to the store.
const DEADLINE: Duration = Duration::from_millis(900);

/// A wave with what is recorded of it.
struct Tracked {
    done: Record,
    revision: u64,
}

/// Carries waves out until the duty is lost.
pub async fn run(entry: Arc<Entry>, planner: Arc<Planner>, tenure: Arc<Tenure>) {
    if entry.settings.machines_address.is_empty() {
        return;
    }
    let service = Machines::new(&entry.settings.machines_address);
    let mut tracked: BTreeMap<u64, Tracked> = BTreeMap::new();
    loop {
        let waves: Vec<Wave> = entry.view.known().waves.values().cloned().collect();
        for wave in waves {
            if tracked.get(&wave.number).is_some_and(|wave| wave.done.completed) {
                continue;
            }
            if let Err(error) =
                advance(&entry, &planner, &tenure, &service, &wave, &mut tracked).await
            {
                log::warn!(
                    "event=wave-held-up wave={} cause={}",
                    wave.number,
                    Value(&error.to_string())
                );
            }
        }
        time::sleep(LOOK_EVERY).await;
    }
}

async fn advance(
    entry: &Entry,
    planner: &Planner,
    tenure: &Tenure,
    service: &Machines,
    wave: &Wave,
    tracked: &mut BTreeMap<u64, Tracked>,
) -> Result<(), Error> {
    let row = match tracked.entry(wave.number) {
        Slot::Occupied(slot) => slot.into_mut(),
        Slot::Vacant(slot) => slot.insert(read(entry, wave.number).await?),
    };
    if row.done.completed {
        return Ok(());
    }
    let listed = service.list().await?;
    let machines: BTreeMap<String, Machine> =
        listed.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
    let step = wave::next(&planner.tables(), clock::boot(), wave, &row.done, &machines);
    match step {
        Step::Wait => Ok(()),
        Step::Complete => {
            row.done.completed = true;
            let written = write(entry, tenure, wave.number, row).await;
            if written.is_err() {
                row.done.completed = false;
            } else {
                log::info!("event=wave-completed wave={}", wave.number);
            }
            written
        }
        Step::Order(names) => {
            row.done.ordered.extend(names.iter().cloned());
            write(entry, tenure, wave.number, row).await?;
            for name in names {
                let ordered = service.maintain(&entry.name, tenure.fence, &name, wave.number).await;
                log::info!(
                    "event=maintenance-ordered wave={} machine={name} fence={} outcome={ordered:?}",
                    wave.number,
                    tenure.fence
                );
                match ordered {
                    Ok(Ordered::Begun | Ordered::Unknown) => {
                        row.done.begun.insert(name);
                    }
                    Ok(Ordered::Refused(_)) => {
                        row.done.ordered.remove(&name);
                    }
                    Err(error) => return Err(error),
                }
            }
            Ok(())
        }
    }
}

async fn read(entry: &Entry, number: u64) -> Result<Tracked, Error> {
    let Some(item) = entry.store.read(&keys::wave(number), DEADLINE).await? else {
        return Ok(Tracked { done: Record::default(), revision: 0 });
    };
    let done = codec::unpack(&item.value).map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(Tracked { done, revision: item.revision })
}

/// Records a wave and tells the operators; only while this planner holds the duty.
async fn write(
    entry: &Entry,
    tenure: &Tenure,
    number: u64,
    row: &mut Tracked,
) -> Result<(), Error> {
    let key = keys::wave(number);
    let value = codec::pack(&row.done).map_err(|error| Error::NotDone(error.to_string()))?;
    let (status, told) = operator::wave_status(number, row.done.completed);
    let transaction = Transaction {
        conditions: vec![(keys::LEAD.to_owned(), tenure.revision), (key.clone(), row.revision)],
        puts: vec![
            Put { key: key.clone(), value: value.clone(), lease: 0 },
            Put { key: status, value: told, lease: 0 },
        ],
        removals: Vec::new(),
    };
    match entry.store.commit(&transaction, DEADLINE).await? {
        Committed::Done(revision) => {
            row.revision = revision;
            Ok(())
        }
        Committed::Conflict(items) => {
            let ours = items.iter().find(|item| item.key == key);
            match ours {
                Some(item) if item.value == value => {
                    row.revision = item.revision;
                    Ok(())
                }
                _ => Err(Error::NotDone("the wave's record has changed".to_owned())),
            }
        }
        Committed::NoLease => Err(Error::NotDone("no such lease".to_owned())),
    }
}
