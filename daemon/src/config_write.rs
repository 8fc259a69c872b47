//! Writes of the configuration's key in the store; each entry makes one at a time.

use lavendergauge_lib::name::Name;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Envelope;

use crate::clock;
use crate::config_view::InDoubt;
use crate::entry::CONFIG_KEY;
use crate::entry::Entry;
use crate::store;
use crate::store::Item;
use crate::store::Swap;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The store holds the written envelope.
    Done,
    /// Another write came first; its envelope is known now.
    Lost,
}

/// Replaces the known envelope in the store; `closed` names the data centres that the new one takes
/// out of service.
///
/// The caller holds [`Entry::config_write_lock`] and has checked in the table of writers that this
/// entry may write.
///
/// # Errors
/// When the store gives no usable answer. Unless the error says that nothing was sent, the write
/// is then kept as [`InDoubt`] until [`resolve_in_doubt`] has resolved it.
pub async fn write(
    entry: &Entry,
    envelope: Envelope,
    change: &str,
    closed: &[Name],
) -> Result<Written, store::Error> {
    let mark = envelope.mark;
    let sent_at = clock::now();
    let version = {
        let mut core = entry.core();
        core.config_view.writers.begin_write(closed);
        core.config_view.version()
    };
    let is_own = |item: &Item| {
        codec::from_json::<Envelope>(&item.value).is_ok_and(|found| {
            let accepted = |id: &str| found.changes.iter().any(|made| made.id == id);
            found.mark == mark || (!change.is_empty() && accepted(change))
        })
    };
    let bytes = codec::to_json(&envelope).unwrap_or_default();
    let outcome = entry.store.swap_resolved(CONFIG_KEY, version, &bytes, 0, is_own).await;
    fail::fail_point!("config_written");
    if let Err(error) = &outcome
        && !error.never_sent()
    {
        entry.core().config_view.in_doubt = Some(InDoubt { version, change: change.to_owned() });
        return Err(store::Error::InDoubt(CONFIG_KEY.to_owned()));
    }
    let written = match &outcome {
        Ok(Swap::Done(version)) => {
            entry.apply_envelope(envelope.clone());
            let mut core = entry.core();
            core.config_view.set_stored(*version, envelope.serial);
            core.config_view.confirm_read(sent_at);
            Written::Done
        }
        Ok(Swap::Lost(item)) => {
            entry.apply_stored(item.as_ref());
            Written::Lost
        }
        Err(_) => Written::Lost,
    };
    entry.core().config_view.writers.end_write();
    outcome.map(|_| written)
}

/// Resolves a write in doubt, that is, finds out its outcome, once the store answers again.
///
/// As long as the key's version is unchanged, the write in doubt may still take effect; so this
/// writes the same content again, which changes the version. Returns whether nothing is in doubt
/// any more.
pub async fn resolve_in_doubt(entry: &Entry) -> bool {
    let (in_doubt, envelope, version, blocked) = {
        let core = entry.core();
        let blocked = core.config_view.writers.list_block(clock::now()).is_some();
        (
            core.config_view.in_doubt.clone(),
            core.config_view.envelope().cloned(),
            core.config_view.version(),
            blocked,
        )
    };
    let Some(pending) = in_doubt else { return true };
    if version == pending.version {
        let Some(envelope) = envelope.filter(|_| !blocked) else { return false };
        let next = Envelope { serial: envelope.serial + 1, mark: rand::random(), ..envelope };
        let bytes = codec::to_json(&next).unwrap_or_default();
        match entry.store.swap(CONFIG_KEY, version, &bytes, 0).await {
            Ok(Swap::Done(version)) => {
                let serial = next.serial;
                entry.apply_envelope(next);
                entry.core().config_view.set_stored(version, serial);
            }
            Ok(Swap::Lost(item)) => entry.apply_stored(item.as_ref()),
            Err(_) => return false,
        }
    }
    let mut core = entry.core();
    core.config_view.in_doubt = None;
    core.config_view.writers.end_write();
    let accepted = core.config_view.find_change(&pending.change).is_some();
    log::info!("event=config-doubt-settled change={} accepted={accepted}", pending.change);
    true
}
