//! The configuration as a resource: shown, changed, and where it is in force.

use lavendergauge_wire::api::Behind;
use lavendergauge_wire::api::Status;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Operation;

use crate::api;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::clock;
use crate::config;
use crate::entry::CONFIG_KEY;
use crate::entry::Entry;
use crate::preview;
use crate::store;
use crate::store::Swap;
use crate::valid;
use crate::valid::Fault;

/// Longest identifier of a change, in bytes.
const ID_LENGTH: usize = 100;
/// Looks at the newest revision before the change counts as overtaken.
const WRITE_TRIES: u32 = 4;

/// Shows the configuration in force.
pub fn show(call: &Call) -> Reply {
    call.operator()?;
    let document = call.entry.core().document.clone();
    call.at_revision(document.revision, &document)
}

/// Makes a change, or says what it would do.
pub async fn change(call: &Call) -> Reply {
    let author = call.operator()?;
    let change: Change = call.decode()?;
    carry_out(call, &change, &author).await
}

/// Makes the change of one operation on the revision that the call names.
pub async fn submit(call: &Call, operation: Operation) -> Reply {
    let author = call.operator()?;
    let change = Change {
        id: call.change_id(),
        base: call.base()?,
        dry_run: call.parameter("dry_run") == Some("true"),
        operations: vec![operation],
    };
    carry_out(call, &change, &author).await
}

/// Tells where the configuration is in force, as this entry sees it.
pub fn status(call: &Call) -> Reply {
    call.operator()?;
    let frames = call.frames();
    let core = call.entry.core();
    let revision = core.document.revision;
    let late = frames.iter().filter(|frame| frame.revision < revision);
    let now = clock::now();
    let status = Status {
        entry: call.entry.name.clone(),
        revision,
        change: core.document.change.clone(),
        author: core.document.author.clone(),
        confirmed_ms: core.confirmed.map(|confirmed| now.since(confirmed).as_millis() as u64),
        workers: u32::try_from(frames.len()).unwrap_or(u32::MAX),
        behind: late
            .map(|frame| Behind { worker: frame.worker.clone(), revision: frame.revision })
            .collect(),
    };
    drop(core);
    call.at_revision(revision, &status)
}

async fn carry_out(call: &Call, change: &Change, author: &str) -> Reply {
    if change.id.is_empty() || ID_LENGTH < change.id.len() {
        let hint = format!("1 to {ID_LENGTH} bytes, chosen by you and new for each change");
        return Err(Fault::new("id", "is empty or too long", hint).problem());
    }
    if change.dry_run {
        let mut scene = call.scene().await?;
        scene.document = next(&scene.document, change, author)?;
        return call.at_revision(change.base, &preview::change(&scene));
    }
    let document = commit(&call.entry, change, author).await?;
    call.at_revision(document.revision, &document)
}

/// Returns the configuration that a change makes.
fn next(document: &Document, change: &Change, author: &str) -> Result<Document, Refusal> {
    let next = config::apply(document, change, author).map_err(|error| match error {
        config::Error::Invalid { field, text } => Fault::new(&field, text, "").problem(),
        stale => {
            let mut detail = api::conflict("stale revision", stale.to_string());
            detail.hint = "read the configuration again and decide anew".to_owned();
            detail
        }
    })?;
    valid::document(&next).map_err(Fault::problem)?;
    Ok(next)
}

/// Writes a change; a lost answer is resolved by reading back.
async fn commit(entry: &Entry, change: &Change, author: &str) -> Result<Document, Refusal> {
    let known = entry.core().document.revision;
    if known < change.base {
        // The caller heard of a newer revision at another entry.
        let asked = clock::now();
        let item = entry.store.load(CONFIG_KEY).await.map_err(|error| api::unread(&error))?;
        entry.learn(asked, item.as_ref());
    }
    for _ in 0..WRITE_TRIES {
        let (document, version) = {
            let core = entry.core();
            (core.document.clone(), core.version)
        };
        if document.change == change.id {
            return Ok(document);
        }
        let next = next(&document, change, author)?;
        let bytes = codec::to_json(&next).unwrap_or_default();
        let asked = clock::now();
        let own = |item: &store::Item| {
            codec::from_json::<Document>(&item.value).is_ok_and(|found| found.change == change.id)
        };
        let written = entry.store.swap_sure(CONFIG_KEY, version, &bytes, 0, own).await;
        match written.map_err(|error| api::unwritten(&error))? {
            Swap::Done(version) => {
                let item = store::Item { key: CONFIG_KEY.to_owned(), value: bytes, version };
                entry.learn(asked, Some(&item));
                return Ok(next);
            }
            Swap::Lost(item) => entry.learn(asked, item.as_ref()),
        }
    }
    Err(api::conflict("stale revision", "other changes were accepted first"))
}
