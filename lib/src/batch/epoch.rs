//! Fencing tokens of the calls that an agent sends to its worker.
//!
//! A worker that restarts under its identifier carries out calls that were meant for its earlier
//! incarnation: their numbers of ends and times of its clock then mean something else. It refuses
//! calls with a lower fencing token than the highest that it has seen, and has seen none after a
//! restart. The agent therefore divides the term of a planner into epochs. The token contains the
//! planner's token and, in its low bits, the epoch, which the agent raises before the first call that
//! another incarnation may receive. Once that call has been carried out, those of earlier
//! epochs are refused, however late they arrive.

use lavendergauge_derive::token;

/// Bits of a token that contain the epoch.
const BITS: u32 = 20;
/// Highest epoch of a planner's term.
const MAX_NUMBER: u64 = (1 << BITS) - 1;
/// Most epochs that a process begins after its last report.
const MAX_UNREPORTED: u64 = 64;

/// The present epoch.
#[token]
#[derive(Default)]
pub struct Epoch {
    /// Fencing token of the planner whose term it belongs to.
    fence: u64,
    number: u64,
    /// Whether calls of this epoch were sent that have an effect on a worker.
    is_used: bool,
}

impl Epoch {
    /// Returns its number within the planner's term.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::epoch::Epoch::default().number(), 0);
    /// ```
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns the token of a call on behalf of the planner with the token `fence`.
    ///
    /// The token of an earlier planner is lower than any of the present one's.
    ///
    /// ```
    /// use lavendergauge_lib::batch::epoch::Epoch;
    /// let mut epoch = Epoch::default();
    /// epoch.begin_term(7);
    /// let before = epoch.token(7);
    /// epoch.mark_used();
    /// assert!(epoch.raise());
    /// assert!(before < epoch.token(7));
    /// assert!(epoch.token(6) < before);
    /// ```
    pub fn token(self, fence: u64) -> u64 {
        let number = if fence == self.fence { self.number } else { 0 };
        fence.saturating_mul(1 << BITS).saturating_add(number)
    }

    /// Begins the first epoch of the term of a planner with a higher token than the one before.
    pub fn begin_term(&mut self, fence: u64) {
        if self.fence < fence {
            *self = Epoch { fence, number: 0, is_used: false };
        }
    }

    /// Begins an epoch after those of an earlier process of the agent, which has reported `number`.
    pub fn succeed(&mut self, number: u64) {
        let next = number.saturating_add(MAX_UNREPORTED).min(MAX_NUMBER);
        if self.number < next {
            *self = Epoch { number: next, is_used: false, ..*self };
        }
    }

    /// Records that a call is sent which has an effect on the worker.
    pub fn mark_used(&mut self) {
        self.is_used = true;
    }

    /// Tells whether no call that has an effect was sent with a token.
    pub fn is_unused(self, token: u64) -> bool {
        !self.is_used && self.token(self.fence) == token
    }

    /// Begins the next epoch, unless no call of the present one has an effect. Returns whether it did.
    pub fn raise(&mut self) -> bool {
        if !self.is_used || self.number == MAX_NUMBER {
            return false;
        }
        *self = Epoch { number: self.number + 1, is_used: false, ..*self };
        true
    }

    /// Records that the worker has refused a token since it has seen a higher one. Returns whether
    /// a call with the present token may be tried.
    ///
    /// The epochs of the agent's earlier process may not be known. They grow by twice here, so that
    /// a few calls find a higher one.
    pub fn overtake(&mut self, refused: u64) -> bool {
        if refused != self.token(self.fence) {
            return refused < self.token(self.fence);
        }
        if self.number == MAX_NUMBER {
            return false;
        }
        let number = (2 * self.number + 1).min(MAX_NUMBER);
        *self = Epoch { number, is_used: false, ..*self };
        true
    }
}
