//! Compare-and-swap that is resolved when its answer is lost.
//!
//! A call without a usable answer may have taken effect, and may even take effect later. The writer
//! reads the key back and looks for its own mark. As long as the key's version is unchanged, it
//! writes the same value again, which can succeed at most once.

use std::time::Duration;

use tokio::time;

use crate::store::Error;
use crate::store::Item;
use crate::store::Store;
use crate::store::Swap;

/// Longest time spent on a write, including the attempts to resolve it.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest pause before the first attempt to resolve a write; later pauses double.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the pause between two attempts to resolve a write.
const MAX_PAUSE: Duration = Duration::from_millis(400);

impl Store {
    /// Writes a key if its version is still `version`, and resolves the write if it is in doubt.
    ///
    /// `is_own` recognises this writer's value, and also later values if they carry its mark.
    /// The value must hold a mark that no other write has, such as a random identifier.
    ///
    /// # Errors
    /// One for which [`Error::never_sent`] is true when the write certainly has not taken and
    /// will not take effect; [`Error::InDoubt`] when it could not be resolved.
    pub async fn swap_resolved(
        &self,
        key: &str,
        version: i64,
        value: &[u8],
        lease: i64,
        is_own: impl Fn(&Item) -> bool,
    ) -> Result<Swap, Error> {
        let swapped = async {
            let mut cause = match self.swap(key, version, value, lease).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) if error.never_sent() => return Err(error),
                Err(error) => error,
            };
            let mut pause = FIRST_PAUSE;
            loop {
                log::warn!("event=store-in-doubt key={key} cause=\"{cause}\"");
                time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
                cause = match self.try_resolve(key, version, value, lease, &is_own).await {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => error,
                };
            }
        };
        let outcome = time::timeout(RESOLVE_TIMEOUT, swapped).await;
        outcome.unwrap_or_else(|_| Err(Error::InDoubt(key.to_owned())))
    }

    /// Reads a key back after a write in doubt, and writes again if the version is unchanged.
    async fn try_resolve(
        &self,
        key: &str,
        version: i64,
        value: &[u8],
        lease: i64,
        is_own: &impl Fn(&Item) -> bool,
    ) -> Result<Swap, Error> {
        let item = self.load(key).await?;
        if let Some(outcome) = outcome_of(item, version, is_own) {
            return Ok(outcome);
        }
        match self.swap(key, version, value, lease).await? {
            Swap::Lost(item) => {
                let lost = Swap::Lost(item.clone());
                Ok(outcome_of(item, version, is_own).unwrap_or(lost))
            }
            done => Ok(done),
        }
    }
}

/// Returns the outcome of a write in doubt, given the key's item; `None` if the write may still
/// take effect.
fn outcome_of(item: Option<Item>, version: i64, is_own: &impl Fn(&Item) -> bool) -> Option<Swap> {
    let current = item.as_ref().map_or(0, |item| item.version);
    match item {
        Some(item) if is_own(&item) => Some(Swap::Done(item.version)),
        item if current != version => Some(Swap::Lost(item)),
        _ => None,
    }
}
