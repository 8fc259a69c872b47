//! Operators' changes of the configuration: each is atomic, and accepted at most once.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::writer::WriteBlock;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Envelope;
use lavendergauge_wire::config::Made;
use lavendergauge_wire::config::Writer;
use lavendergauge_wire::problem::Outcome;
use sha2::Digest;
use sha2::Sha256;
use tokio::time;

use crate::api;
use crate::api::Refusal;
use crate::api_config;
use crate::clock;
use crate::config;
use crate::config_peer;
use crate::config_sync;
use crate::config_write;
use crate::config_write::Written;
use crate::entry::Entry;
use crate::problem;

/// Number of accepted changes that are remembered by identifier.
const MAX_HISTORY: usize = 256;
/// Longest time that a change waits until this entry may write.
const WRITABLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Age of an entry's newest statement up to which the entry counts as responsive.
const RESPONSIVE_WITHIN: Duration = Duration::from_secs(5);
/// Pause between two checks whether this entry may write.
const WRITABLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of writes that may lose to other entries' writes before the operator is asked to retry.
const MAX_ATTEMPTS: usize = 8;

/// Makes an operator's change; returns the resulting document, or the one in force if the same
/// change was accepted before.
///
/// The change is made in a task of its own, so that it is finished even when the caller
/// disconnects in the meantime.
///
/// # Errors
/// The problem document that says why the change was not accepted, or that its outcome is unknown.
pub async fn submit(
    entry: &Arc<Entry>,
    change: &Change,
    author: &str,
) -> Result<Document, Refusal> {
    let (entry, change, author) = (entry.clone(), change.clone(), author.to_owned());
    let id = change.id.clone();
    let task = tokio::spawn(async move { make_change(&entry, &change, &author).await });
    task.await.unwrap_or_else(|error| Err(in_doubt(&error.to_string(), &id)))
}

/// Finds an accepted change.
///
/// # Errors
/// The problem document that says that the change has not been accepted so far, or that this is
/// unknown.
pub fn find(entry: &Entry, id: &str) -> Result<Made, Refusal> {
    let core = entry.core();
    if let Some(made) = core.config_view.find_change(id) {
        return Ok(made.clone());
    }
    if core.config_view.in_doubt.as_ref().is_some_and(|pending| pending.change == id) {
        return Err(in_doubt("it is not known yet whether the change was accepted", id));
    }
    Err(api::not_found("accepted change", id))
}

/// Returns the newest accepted changes, oldest first.
pub fn history(entry: &Entry) -> Vec<Made> {
    let core = entry.core();
    core.config_view.envelope().map(|envelope| envelope.changes.clone()).unwrap_or_default()
}

/// Removes an entry from the list of writers, because an operator states that it is gone for good.
///
/// The operator's statement must be true: an entry that still runs, partitioned from all others,
/// would go on to start work without knowing of later changes.
///
/// # Errors
/// The problem document: there is no such entry, it still answers, or the store does not answer.
pub async fn remove_writer(entry: &Arc<Entry>, name: &str) -> Result<(), Refusal> {
    let (entry, name) = (entry.clone(), name.to_owned());
    let task = tokio::spawn(async move { remove(&entry, &name).await });
    task.await.unwrap_or_else(|error| Err(retry_later(&error.to_string())))
}

async fn remove(entry: &Entry, name: &str) -> Result<(), Refusal> {
    for _ in 0..MAX_ATTEMPTS {
        let _writing = entry.config_write_lock.lock().await;
        let next = envelope_without(entry, name)?;
        match config_write::write(entry, next, "", &[]).await {
            Ok(Written::Done) => return Ok(()),
            Ok(Written::Lost) => {}
            Err(error) if error.never_sent() => return Err(retry_later(&error.to_string())),
            Err(error) => return Err(api::write_failed(&error)),
        }
    }
    Err(retry_later("other entries kept writing first"))
}

/// Makes the next envelope, without an entry that does not answer.
fn envelope_without(entry: &Entry, name: &str) -> Result<Envelope, Refusal> {
    let now = clock::now();
    let core = entry.core();
    let view = &core.config_view;
    let Some(known) = view.envelope() else { return Err(api::not_found("entry", name)) };
    let is_named = |writer: &Writer| writer.name == name && writer.incarnation != entry.incarnation;
    if !known.writers.iter().any(is_named) {
        return Err(api::not_found("other entry", name));
    }
    let answers = |writer: &Writer| {
        let newest = view.writers.statement_of(writer.incarnation);
        newest.is_some_and(|(sent_at, statement)| {
            now.since(*sent_at) < RESPONSIVE_WITHIN && !statement.left
        })
    };
    if known.writers.iter().any(|writer| is_named(writer) && answers(writer)) {
        return Err(api::conflict("entry answers", format!("entry `{name}` still answers")));
    }
    if view.writers.list_block(now).is_some() || view.in_doubt.is_some() || !view.is_stored() {
        return Err(retry_later("this entry may not write now"));
    }
    let mut writers = known.writers.clone();
    writers.retain(|writer| !is_named(writer));
    Ok(Envelope { serial: known.serial + 1, mark: rand::random(), writers, ..known.clone() })
}

/// Makes the refusal of a change that was certainly not made, and may be retried.
fn retry_later(text: &str) -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut detail = problem::detail(status, "store unavailable", Outcome::NotRun, text);
    detail.retry_after_s = 2;
    Box::new(detail)
}

/// Makes the refusal of a change whose outcome is unknown.
fn in_doubt(text: &str, id: &str) -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut detail = problem::detail(status, "store unavailable", Outcome::Unknown, text);
    detail.hint = format!("read /v1/config/changes/{id}, or send the same change again");
    detail.retry_after_s = 2;
    Box::new(detail)
}

async fn make_change(entry: &Entry, change: &Change, author: &str) -> Result<Document, Refusal> {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(document) = find_accepted(entry, change)? {
            return Ok(document);
        }
        let document = load_base(entry, change).await?;
        let next = api_config::apply(&document, change, author)?;
        wait_until_writable(entry).await?;
        let _writing = entry.config_write_lock.lock().await;
        if !may_write(entry) {
            continue;
        }
        let Some(envelope) = make_envelope(entry, &document, &next, change) else { continue };
        let closed = closed_data_centres(&document, &next);
        match config_write::write(entry, envelope, &change.id, &closed).await {
            Ok(Written::Done) => {
                log::info!(
                    "event=config-accepted revision={} change={} author={author}",
                    next.revision,
                    change.id
                );
                config_peer::push(entry).await;
                return Ok(next);
            }
            Ok(Written::Lost) => {}
            Err(error) if error.never_sent() => return Err(retry_later(&error.to_string())),
            Err(error) => return Err(in_doubt(&error.to_string(), &change.id)),
        }
    }
    Err(retry_later("other entries kept writing first"))
}

/// Returns the document in force if this change was accepted before.
///
/// # Errors
/// The problem document when another change was accepted under the same identifier.
fn find_accepted(entry: &Entry, change: &Change) -> Result<Option<Document>, Refusal> {
    let core = entry.core();
    let Some(made) = core.config_view.find_change(&change.id) else { return Ok(None) };
    if made.digest != digest(change) {
        let text = format!(
            "the identifier `{}` was used for another change, which made revision {}",
            change.id, made.revision
        );
        return Err(api::conflict("identifier reused", text));
    }
    Ok(Some(core.document.clone()))
}

/// Returns the document in force; reads it again if the change is based on another revision than
/// the one known here.
async fn load_base(entry: &Entry, change: &Change) -> Result<Document, Refusal> {
    let known = entry.core().document.clone();
    let is_known = entry.core().config_view.envelope().is_some();
    if change.base == known.revision && is_known {
        return Ok(known);
    }
    if let Err(error) = config_sync::read(entry).await {
        if !is_known {
            return Err(retry_later("no configuration has been read yet"));
        }
        log::warn!("event=store-failed call=config cause=\"{error}\"");
    }
    Ok(entry.core().document.clone())
}

/// Tells whether this entry may write now.
fn may_write(entry: &Entry) -> bool {
    let core = entry.core();
    let view = &core.config_view;
    view.writers.write_block(clock::now()).is_none() && view.in_doubt.is_none() && view.is_stored()
}

/// Waits until this entry may write.
///
/// # Errors
/// The problem document that says what keeps it from writing.
async fn wait_until_writable(entry: &Entry) -> Result<(), Refusal> {
    let started = clock::now();
    loop {
        let now = clock::now();
        let (block, in_doubt, stored, lost) = {
            let view = &entry.core().config_view;
            let lost = view.writers.has_lost_store(now);
            (view.writers.write_block(now), view.in_doubt.is_some(), view.is_stored(), lost)
        };
        let text = match block {
            _ if lost => "the store gives no answer",
            _ if in_doubt => "an earlier write of this entry is in doubt",
            None if stored => return Ok(()),
            None => "the store does not hold the newest configuration yet",
            Some(WriteBlock::NotJoined) => "not every entry knows this one yet; call another entry",
            Some(WriteBlock::Quiet(_)) => {
                "the store was unreachable until recently; this entry may not write yet"
            }
            Some(WriteBlock::Left) => "this entry is leaving; call another entry",
        };
        if lost
            || in_doubt
            || block == Some(WriteBlock::Left)
            || WRITABLE_TIMEOUT < now.since(started)
        {
            return Err(retry_later(text));
        }
        time::sleep(WRITABLE_CHECK_INTERVAL).await;
    }
}

/// Makes the envelope that accepts a change; `None` when `base` is no longer in force.
fn make_envelope(
    entry: &Entry,
    base: &Document,
    next: &Document,
    change: &Change,
) -> Option<Envelope> {
    let core = entry.core();
    if core.document.revision != base.revision || core.document.change != base.change {
        return None;
    }
    let known = core.config_view.envelope()?;
    let mut changes = known.changes.clone();
    changes.push(Made {
        id: change.id.clone(),
        revision: next.revision,
        author: next.author.clone(),
        digest: digest(change),
        accepted_ms: clock::wall_ms(),
    });
    let surplus = changes.len().saturating_sub(MAX_HISTORY);
    changes.drain(..surplus);
    Some(Envelope {
        serial: known.serial + 1,
        mark: rand::random(),
        document: next.clone(),
        changes,
        writers: known.writers.clone(),
    })
}

/// Returns the data centres that are open in `base` and no longer in `next`.
fn closed_data_centres(base: &Document, next: &Document) -> Vec<Name> {
    base.data_centres
        .iter()
        .map(|zone| &zone.name)
        .filter(|name| config::is_open(base, name) && !config::is_open(next, name))
        .map(Name::from)
        .collect()
}

/// Returns the SHA-256 of a change's operations; the revision it is based on does not count.
fn digest(change: &Change) -> String {
    let bytes = codec::to_json(&change.operations).unwrap_or_default();
    Sha256::digest(&bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
