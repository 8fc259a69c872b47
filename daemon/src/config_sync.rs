//! Keeps an entry's view of the configuration current, and the store's list of writers correct.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_wire::codec;
use lavendergauge_wire::config::Envelope;
use lavendergauge_wire::config::Writer;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::config;
use crate::config_write;
use crate::config_write::Written;
use crate::entry::CONFIG_KEY;
use crate::entry::Entry;
use crate::store;
use crate::store_watch::Change;

/// Interval at which an entry reads the configuration's version from the store.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the watch between two checks whether it is behind.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest pause before a watch is opened again.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Longest time spent on removing this entry from the list of writers when it leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the configuration and maintains the list of writers, until the entry stops.
pub async fn run(entry: Arc<Entry>, mut stopped: watch::Receiver<bool>) {
    loop {
        match read(&entry).await {
            Ok(()) => update_store(&entry).await,
            Err(error) => log::warn!("event=store-failed call=config cause=\"{error}\""),
        }
        let pause = READ_INTERVAL.mul_f64(rand::random_range(0.8..1.0));
        tokio::select! {
            () = time::sleep(pause) => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

/// Reads the configuration from the store once, and applies it.
///
/// The value is read only if its version is not the known one, since it can have hundreds of
/// kilobytes and every entry reads twice a second.
///
/// # Errors
/// When the store gives no usable answer, or the stored value cannot be decoded.
pub async fn read(entry: &Entry) -> Result<(), store::Error> {
    let sent_at = clock::now();
    let known = entry.core().config_view.version();
    if known == 0 || entry.store.version(CONFIG_KEY).await? != Some(known) {
        load(entry).await?;
    }
    let mut core = entry.core();
    if core.config_view.is_stored() && core.config_view.envelope().is_some() {
        core.config_view.confirm_read(sent_at);
    }
    Ok(())
}

/// Reads the configuration's value and applies it.
async fn load(entry: &Entry) -> Result<(), store::Error> {
    let item = entry.store.load(CONFIG_KEY).await?;
    fail::fail_point!("config_read");
    if let Some(item) = &item
        && let Err(error) = codec::from_json::<Envelope>(&item.value)
    {
        return Err(store::Error::Malformed(error.to_string()));
    }
    entry.apply_stored(item.as_ref());
    Ok(())
}

/// Corrects the stored value: resolves a write in doubt, restores a newer known envelope, adds this
/// entry to the list of writers, and removes writers that are gone.
async fn update_store(entry: &Entry) {
    let Ok(_writing) = entry.config_write_lock.try_lock() else { return };
    if !config_write::resolve_in_doubt(entry).await {
        return;
    }
    let now = clock::now();
    let next = {
        let core = entry.core();
        if core.config_view.writers.list_block(now).is_some() {
            return;
        }
        let known = core.config_view.envelope().cloned();
        let stored = core.config_view.is_stored();
        let removable = core.config_view.writers.removable(now);
        next_envelope(known, stored, &removable, entry.writer())
    };
    let Some(next) = next else { return };
    let serial = next.serial;
    match config_write::write(entry, next, "", &[]).await {
        Ok(Written::Done) => log::info!("event=writers-changed serial={serial}"),
        Ok(Written::Lost) => {}
        Err(error) => log::warn!("event=store-failed call=writers cause=\"{error}\""),
    }
}

/// Makes the envelope that the store should hold; `None` if it holds that already.
///
/// `stored` tells whether the store holds the known envelope, and `removable` lists the
/// incarnations to remove from the list of writers.
fn next_envelope(
    known: Option<Envelope>,
    stored: bool,
    removable: &[u64],
    own: Writer,
) -> Option<Envelope> {
    let known = known.unwrap_or_else(empty_envelope);
    let mut writers = known.writers.clone();
    writers.retain(|writer| {
        let replaced = writer.address == own.address && writer.incarnation != own.incarnation;
        !replaced && !removable.contains(&writer.incarnation)
    });
    if !writers.contains(&own) {
        writers.push(own);
    }
    if stored && writers == known.writers {
        return None;
    }
    if !stored && known.serial != 0 {
        log::warn!(
            "event=config-put-back serial={} revision={}",
            known.serial,
            known.document.revision
        );
    }
    Some(Envelope { serial: known.serial + 1, mark: rand::random(), writers, ..known })
}

/// Makes the envelope before any was written.
fn empty_envelope() -> Envelope {
    Envelope {
        serial: 0,
        mark: 0,
        document: config::empty(),
        changes: Vec::new(),
        writers: Vec::new(),
    }
}

/// Keeps one watch on the configuration open, until the entry stops.
pub async fn watch(entry: Arc<Entry>, mut stopped: watch::Receiver<bool>) {
    loop {
        let watching = async {
            if let Err(error) = follow_watch(&entry).await {
                log::info!("event=watch-ended cause=\"{error}\"");
            }
            time::sleep(MAX_WATCH_PAUSE.mul_f64(rand::random_range(0.5..1.0))).await;
        };
        tokio::select! {
            () = watching => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

/// Applies the changes from one watch, until it ends or stays behind the reads.
async fn follow_watch(entry: &Entry) -> Result<(), store::Error> {
    let version = entry.core().config_view.version();
    let mut watch = entry.store.watch(CONFIG_KEY, version + 1).await?;
    entry.core().config_view.set_watched(version);
    loop {
        let behind = entry.core().config_view.is_watch_behind();
        let changes = watch.next(WATCH_CHECK_INTERVAL).await?;
        for change in &changes {
            let Change::Put(item) = change else { continue };
            entry.core().config_view.set_watched(item.version);
            if entry.core().config_view.version() < item.version {
                entry.apply_stored(Some(item));
            }
        }
        if behind && changes.is_empty() && entry.core().config_view.is_watch_behind() {
            return Err(store::Error::Ended);
        }
    }
}

/// Removes this entry from the list of writers for good, if the store can be reached in time.
///
/// In any case the entry writes nothing more.
pub async fn deregister(entry: &Entry) {
    let removal = async {
        let _writing = entry.config_write_lock.lock().await;
        let next = {
            let core = entry.core();
            let blocked = core.config_view.writers.list_block(clock::now()).is_some();
            core.config_view
                .envelope()
                .filter(|_| !blocked && core.config_view.is_stored())
                .cloned()
        };
        if let Some(known) = next {
            let own = entry.writer();
            let mut writers = known.writers.clone();
            writers.retain(|writer| *writer != own);
            let (serial, mark) = (known.serial + 1, rand::random());
            let next = Envelope { serial, mark, writers, ..known };
            let _ = config_write::write(entry, next, "", &[]).await;
        }
        entry.core().config_view.writers.leave();
    };
    let _ = time::timeout(LEAVE_TIMEOUT, removal).await;
    entry.core().config_view.writers.leave();
}
