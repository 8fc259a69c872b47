//! Retries of a call's write that has no usable answer, until it is resolved or time is up.

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
/// Time after which the call is reported as in doubt; another entry may resolve it sooner.
const IN_DOUBT_AFTER: Duration = Duration::from_millis(700);

/// The failed attempts of one write, whose outcome is in doubt after the first of them.
#[row]
#[derive(Default)]
pub struct InDoubt {
    first_failure: Option<Millis>,
    tries: u32,
}

impl InDoubt {
    /// Records a failed attempt, and waits before the next.
    ///
    /// The same conditional write may be repeated: at most one of its attempts takes effect.
    ///
    /// # Errors
    /// [`Refusal::NotStored`] when the first attempt certainly wrote nothing, [`Refusal::Unstorable`]
    /// when no attempt ever will.
    pub async fn record_failure(&mut self, id: Id, error: Error) -> Result<(), Refusal> {
        if self.first_failure.is_none() {
            log::info!("event=record-write-failed job={id} cause={}", Value(&error.to_string()));
            match error {
                Error::Refused(_) => return Err(Refusal::Unstorable),
                error if error.has_no_effect() => return Err(Refusal::NotStored),
                _ => {}
            }
        }
        self.first_failure.get_or_insert(clock::boot());
        let (first, longest) = STORE_PAUSE;
        time::sleep((first * (1 << self.tries.min(4))).min(longest)).await;
        self.tries += 1;
        Ok(())
    }

    /// Tells whether an attempt has failed.
    pub fn has_failed(&self) -> bool {
        self.first_failure.is_some()
    }

    /// Ends the retries when the deadline has passed, or when another entry should try instead.
    ///
    /// # Errors
    /// [`Refusal::InDoubt`] when an attempt may have taken effect, else [`Refusal::NotStored`].
    pub fn check(&self, id: Id, deadline: Millis) -> Result<(), Refusal> {
        let Some(first_failure) = self.first_failure else {
            return if deadline <= clock::boot() { Err(Refusal::NotStored) } else { Ok(()) };
        };
        if deadline <= clock::boot() || IN_DOUBT_AFTER <= clock::boot().since(first_failure) {
            log::info!("event=record-in-doubt job={id} tries={}", self.tries);
            return Err(Refusal::InDoubt);
        }
        Ok(())
    }

    /// Logs that a write is resolved, if it was in doubt.
    pub fn log_resolved(&self, id: Id) {
        if self.first_failure.is_some() {
            log::info!("event=record-settled job={id} tries={}", self.tries);
        }
    }
}
