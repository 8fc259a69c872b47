//! Compare-and-swap whose outcome is found out when its answer is lost.
//!
//! A call that got no usable answer may have taken effect, and may even take
//! effect later. The writer reads back and looks for its own mark; as long as the
//! version has not moved it writes the same value again, which can succeed at
//! most once.

use std::time::Duration;

use tokio::time;

use crate::store::Error;
use crate::store::Item;
use crate::store::Store;
use crate::store::Swap;

/// Time in which an outcome is looked for.
const PERSIST: Duration = Duration::from_secs(4);
/// Longest first pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

impl Store {
    /// Writes a key if its version is still `version`, and finds out what became of the write.
    ///
    /// `own` recognises this writer's value, also under later values when those carry its mark.
    /// The value must hold a mark that no other write has, such as a random identifier.
    ///
    /// # Errors
    /// One for which [`Error::never_sent`] is true when the write certainly has not taken and
    /// will not take effect; [`Error::InDoubt`] when that could not be found out.
    pub async fn swap_sure(
        &self,
        key: &str,
        version: i64,
        value: &[u8],
        lease: i64,
        own: impl Fn(&Item) -> bool,
    ) -> Result<Swap, Error> {
        let seek = async {
            let mut cause = match self.swap(key, version, value, lease).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) if error.never_sent() => return Err(error),
                Err(error) => error,
            };
            let mut pause = PAUSE;
            loop {
                log::warn!("event=store-in-doubt key={key} cause=\"{cause}\"");
                time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                cause = match self.seek(key, version, value, lease, &own).await {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) => error,
                };
            }
        };
        let sought = time::timeout(PERSIST, seek).await;
        sought.unwrap_or_else(|_| Err(Error::InDoubt(key.to_owned())))
    }

    /// Reads a key back after a write in doubt, and writes again if nothing has changed.
    async fn seek(
        &self,
        key: &str,
        version: i64,
        value: &[u8],
        lease: i64,
        own: &impl Fn(&Item) -> bool,
    ) -> Result<Swap, Error> {
        let item = self.load(key).await?;
        if let Some(outcome) = settled(item, version, own) {
            return Ok(outcome);
        }
        match self.swap(key, version, value, lease).await? {
            Swap::Lost(item) => {
                let lost = Swap::Lost(item.clone());
                Ok(settled(item, version, own).unwrap_or(lost))
            }
            done => Ok(done),
        }
    }
}

/// Tells the outcome of a write in doubt from what stands there now; `None` if it may still come.
fn settled(item: Option<Item>, version: i64, own: &impl Fn(&Item) -> bool) -> Option<Swap> {
    let found = item.as_ref().map_or(0, |item| item.version);
    match item {
        Some(item) if own(&item) => Some(Swap::Done(item.version)),
        item if found != version => Some(Swap::Lost(item)),
        _ => None,
    }
}
