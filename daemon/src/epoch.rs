//! Planner epochs: numbers that never come twice and never go back.
//!
//! A counter in the store gives them. A store that was restored from a backup may
//! hold an older counter, so the next epoch also lies above every one that an
//! agent has announced; agents refuse commands of a lower one.

use lavendergauge_wire::announce::Frame;

use crate::entry::Entry;
use crate::store;
use crate::store::Swap;

/// Key of the counter in the store.
const EPOCH_KEY: &str = "epoch/planner";
/// Writes that other entries' own may overtake.
const TRIES: usize = 5;

/// Returns the highest epoch that agents have announced here.
pub fn heard(entry: &Entry) -> u64 {
    let core = entry.core();
    let frames = core.members.iter().map(|member| &member.frame);
    frames.map(|frame: &Frame| frame.epoch).max().unwrap_or(0)
}

/// Takes the next epoch.
///
/// # Errors
/// When the store gives no usable answer, or other entries kept taking epochs first.
pub async fn next(entry: &Entry) -> Result<u64, store::Error> {
    for _ in 0..TRIES {
        let item = entry.store.load(EPOCH_KEY).await?;
        let version = item.as_ref().map_or(0, |item| item.version);
        let stored = item.as_ref().map_or(0, |item| parse(&item.value));
        let epoch = stored.max(heard(entry)) + 1;
        // The mark tells this writer's own value after a lost answer.
        let value = format!("{epoch} {:016x}", rand::random::<u64>());
        let own = |item: &store::Item| item.value == value.as_bytes();
        match entry.store.swap_sure(EPOCH_KEY, version, value.as_bytes(), 0, own).await? {
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
