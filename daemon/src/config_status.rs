//! Where the configuration is in force.

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::writer::Statement;
use lavendergauge_wire::api::Behind;
use lavendergauge_wire::api::EntryPlace;
use lavendergauge_wire::api::Status;

use crate::clock;
use crate::entry::Core;
use crate::entry::Entry;

/// Returns where the configuration is in force, as far as an entry knows.
pub fn read(entry: &Entry) -> Status {
    let now = clock::now();
    let core = entry.core();
    let revision = core.document.revision;
    let mut behind: Vec<Behind> = core
        .workers
        .iter()
        .filter(|worker| worker.frame.revision < revision)
        .map(|known| {
            let worker = known.frame.worker.clone();
            Behind { worker, revision: known.frame.revision }
        })
        .collect();
    behind.sort_by(|one, other| one.worker.cmp(&other.worker));
    let entries = list_entries(entry, &core, now);
    Status {
        entry: entry.name.clone(),
        revision,
        change: core.document.change.clone(),
        author: core.document.author.clone(),
        confirmed_ms: core.config_view.basis(now).map(|point| elapsed_ms(now, point.at)),
        workers: u32::try_from(core.workers.iter().count()).unwrap_or(u32::MAX),
        everywhere: behind.is_empty() && entries.iter().all(|known| revision <= known.revision),
        in_doubt: core.config_view.in_doubt.is_some(),
        behind,
        entries,
    }
}

/// Returns this entry and every listed writer, each as of its newest statement.
fn list_entries(entry: &Entry, core: &Core, now: Millis) -> Vec<EntryPlace> {
    let mut entries = vec![EntryPlace {
        entry: entry.name.clone(),
        address: entry.control_address.clone(),
        revision: core.document.revision,
        heard_ms: Some(0),
        writes: core.config_view.writers.write_block(now).is_none()
            && core.config_view.in_doubt.is_none(),
    }];
    let listed = core.config_view.envelope().into_iter().flat_map(|envelope| &envelope.writers);
    for writer in listed.filter(|writer| writer.incarnation != entry.incarnation) {
        let newest = core.statements.get(&writer.incarnation);
        let writer_statement = core.config_view.writers.statement_of(writer.incarnation);
        entries.push(EntryPlace {
            entry: writer.name.clone(),
            address: writer.address.clone(),
            revision: newest.map_or(0, |(_, statement)| statement.revision),
            heard_ms: newest.map(|(sent_at, _)| elapsed_ms(now, *sent_at)),
            writes: writer_statement.is_some_and(|(_, statement)| may_write(statement)),
        });
    }
    entries
}

/// Tells whether a writer may write, by its newest statement.
fn may_write(statement: &Statement) -> bool {
    statement.quiet.is_zero() && !statement.left
}

/// Returns the milliseconds from `then` to `now`.
fn elapsed_ms(now: Millis, then: Millis) -> u64 {
    now.since(then).as_millis() as u64
}
