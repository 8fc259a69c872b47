//! The configuration as a resource: reads, changes, and where it is in force.

use lavendergauge_wire::config::Change;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Operation;

use crate::api;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::config;
use crate::config_change;
use crate::config_status;
use crate::preview;
use crate::valid;
use crate::valid::Fault;

/// Longest identifier of a change, in bytes.
const MAX_ID_BYTES: usize = 100;

/// Shows the configuration in force.
pub fn show(call: &Call) -> Reply {
    call.operator()?;
    let document = call.entry.core().document.clone();
    call.at_revision(document.revision, &document)
}

/// Makes a change, or previews its effects if it is a dry run.
pub async fn change(call: &Call) -> Reply {
    let author = call.operator()?;
    let change: Change = call.decode()?;
    carry_out(call, &change, &author).await
}

/// Makes a change of one operation, based on the revision that the call names.
pub async fn submit(call: &Call, operation: Operation) -> Reply {
    let author = call.operator()?;
    let change = Change {
        id: call.change_id(),
        base: call.base_revision()?,
        dry_run: call.parameter("dry_run") == Some("true"),
        operations: vec![operation],
    };
    carry_out(call, &change, &author).await
}

/// Shows an accepted change.
pub fn show_change(call: &Call) -> Reply {
    call.operator()?;
    Ok(api::json(&config_change::find(&call.entry, call.name(0))?))
}

/// Lists the newest accepted changes, oldest first.
pub fn list_changes(call: &Call) -> Reply {
    call.operator()?;
    Ok(api::json(&config_change::history(&call.entry)))
}

/// Shows where the configuration is in force, as far as this entry knows.
pub fn status(call: &Call) -> Reply {
    call.operator()?;
    let status = config_status::read(&call.entry);
    call.at_revision(status.revision, &status)
}

/// Removes an entry from the list of writers; the operator states that it is gone for good.
pub async fn remove_entry(call: &Call) -> Reply {
    let author = call.operator()?;
    config_change::remove_writer(&call.entry, call.name(0)).await?;
    log::info!("event=writer-removed entry={} author={author}", call.name(0));
    status(call)
}

async fn carry_out(call: &Call, change: &Change, author: &str) -> Reply {
    if change.id.is_empty() || MAX_ID_BYTES < change.id.len() {
        let hint = format!("1 to {MAX_ID_BYTES} bytes, chosen by you and new for each change");
        return Err(Fault::new("id", "is empty or too long", hint).problem());
    }
    if change.dry_run {
        let mut snapshot = call.snapshot().await?;
        snapshot.document = apply(&snapshot.document, change, author)?;
        return call.at_revision(change.base, &preview::preview_change(&snapshot));
    }
    let document = config_change::submit(&call.entry, change, author).await?;
    call.at_revision(document.revision, &document)
}

/// Applies a change to a configuration, and checks the resulting one.
///
/// # Errors
/// The problem document that names the author of the revision in force, or the invalid field.
pub fn apply(document: &Document, change: &Change, author: &str) -> Result<Document, Refusal> {
    let next = config::apply(document, change, author).map_err(|error| match error {
        config::Error::Invalid { field, text } => Fault::new(&field, text, "").problem(),
        stale => {
            let mut detail = api::conflict("stale revision", stale.to_string());
            detail.hint =
                "read the configuration again, then decide whether to repeat the change".to_owned();
            detail
        }
    })?;
    valid::check_document(&next).map_err(Fault::problem)?;
    Ok(next)
}
