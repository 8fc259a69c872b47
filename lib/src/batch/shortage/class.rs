//! What a job still earns for its caller.

use lavendergauge_derive::token;

use crate::clock::Millis;

/// What a job still earns for its caller if it starts now, in the order in which steps are served.
#[token]
pub enum Class {
    /// It can meet its objective.
    InTime,
    /// It could, but not together with the others that can; the capacity goes to smaller ones first.
    Deferred,
    /// It earns a part of its credit.
    Late,
    /// It earns nothing.
    Worthless,
}

impl Class {
    /// Returns the class of a job that starts at a time, given its latest start in time and the
    /// latest start of any worth.
    ///
    /// ```
    /// use lavendergauge_lib::batch::shortage::class::Class;
    /// use lavendergauge_lib::clock::Millis;
    /// assert_eq!(Class::at(Millis(5), Millis(5), Millis(9)), Class::InTime);
    /// assert_eq!(Class::at(Millis(6), Millis(5), Millis(9)), Class::Late);
    /// assert_eq!(Class::at(Millis(10), Millis(5), Millis(9)), Class::Worthless);
    /// ```
    pub fn at(start: Millis, latest_start: Millis, worthless_start: Millis) -> Class {
        if start <= latest_start {
            Class::InTime
        } else if start <= worthless_start {
            Class::Late
        } else {
            Class::Worthless
        }
    }

    /// Returns the credit of a job of this class; a late job earns half of one in time.
    pub(super) fn credit(self) -> u64 {
        match self {
            Class::InTime | Class::Deferred => 2,
            Class::Late => 1,
            Class::Worthless => 0,
        }
    }
}
