//! Planner epochs: numbers that are never used twice and never decrease.
//!
//! They come from a counter in the store. A store that was restored from a backup may hold an older
//! counter, so the next epoch is also greater than every epoch that an agent has announced to this
//! entry: agents refuse commands of a lower epoch.

use lavendergauge_wire::announce::Frame;

use crate::entry::Entry;
use crate::store;
use crate::store::Swap;

/// Key of the counter in the store.
const EPOCH_KEY: &str = "epoch/planner";
/// Most compare-and-swap writes that are tried while other entries change the counter.
const MAX_TRIES: usize = 5;

/// Returns the highest epoch that agents have announced to this entry, or 0.
pub fn highest_announced(entry: &Entry) -> u64 {
    let core = entry.core();
    let frames = core.workers.iter().map(|worker| &worker.frame);
    frames.map(|frame: &Frame| frame.epoch).max().unwrap_or(0)
}

/// Increments the counter in the store and returns the new epoch.
///
/// # Errors
/// When the store gives no usable answer, or other entries changed the counter at every try.
pub async fn next(entry: &Entry) -> Result<u64, store::Error> {
    for _ in 0..MAX_TRIES {
        let item = entry.store.load(EPOCH_KEY).await?;
        let version = item.as_ref().map_or(0, |item| item.version);
        let stored = item.as_ref().map_or(0, |item| parse(&item.value));
        let epoch = stored.max(highest_announced(entry)) + 1;
        // The random number makes the value unique, so a read after a lost answer shows whether
        // this write took effect.
        let value = format!("{epoch} {:016x}", rand::random::<u64>());
        let is_own = |item: &store::Item| item.value == value.as_bytes();
        match entry.store.swap_resolved(EPOCH_KEY, version, value.as_bytes(), 0, is_own).await? {
            Swap::Done(_) => return Ok(epoch),
            Swap::Lost(_) => {}
        }
    }
    Err(store::Error::InDoubt(EPOCH_KEY.to_owned()))
}

fn parse(value: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(value);
    text.split(' ').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}
