//! A call whose write had no answer: it is repeated until its outcome is known, or given up.

use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::Error;
use tokio::time;

use crate::batch::refusal::Refusal;
use crate::clock;
use crate::logs::Value;

/// First and longest pause before a call to the store is repeated.
const STORE_PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));
/// Time after which a call is in doubt here; another entry may settle it sooner.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// A write whose outcome is not known.
#[row]
#[derive(Default)]
pub struct Doubt {
    begun: Option<Millis>,
    tries: u32,
}

impl Doubt {
    /// Takes in that a try failed, and waits before the next.
    ///
    /// The same conditional write may be repeated: of all its tries one takes effect at most.
    pub async fn add(&mut self, id: Id, error: Error) -> Result<(), Refusal> {
        if self.begun.is_none() {
            log::info!("event=record-write-failed job={id} cause={}", Value(&error.to_string()));
            if matches!(error, Error::NotDone(_)) {
                return Err(Refusal::NotStored);
            }
        }
        self.begun.get_or_insert(clock::boot());
        let (first, longest) = STORE_PAUSE;
        time::sleep((first * (1 << self.tries.min(4))).min(longest)).await;
        self.tries += 1;
        Ok(())
    }

    /// Gives up once another entry had better try.
    pub fn check(&self, id: Id, until: Millis) -> Result<(), Refusal> {
        let Some(begun) = self.begun else {
            return if until <= clock::boot() { Err(Refusal::NotStored) } else { Ok(()) };
        };
        if until <= clock::boot() || SETTLE_TIME <= clock::boot().since(begun) {
            log::info!("event=record-in-doubt job={id} tries={}", self.tries);
            return Err(Refusal::InDoubt);
        }
        Ok(())
    }

    /// Says that the outcome is known after all.
    pub fn settled(&self, id: Id) {
        if self.begun.is_some() {
            log::info!("event=record-settled job={id} tries={}", self.tries);
        }
    }
}
