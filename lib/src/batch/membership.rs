//! Which worker runs on an agent's VM, and what proves it.
//!
//! Heartbeats and leave messages are claims: other writers can send them, networks can delay them, and
//! the start that they name is by a clock that may step back. Only what answers at the worker's own
//! address proves which incarnation runs there, or that one has ended:
//!
//! - an answer under an identifier that shows the incarnation proves that it runs, and that every other
//!   one has ended, since one worker at a time uses the address;
//! - a refusal of an identifier, or an answer that shows another incarnation, proves that one does not run;
//! - an address at which nothing listens proves that a worker has ended which had said that it leaves.
//!
//! Silence proves nothing. Each conclusion holds until the next proof, so nothing that was ruled out
//! before is ruled out for good.

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::batch::report::Announcement;

/// Most claims that are kept; a further one replaces the oldest.
const MAX_CLAIMS: usize = 4;
/// Time after its last heartbeat for which a claim is kept, in milliseconds.
const CLAIM_MEMORY_MS: u64 = 5_000;
/// Most ended incarnations that are kept.
const MAX_ENDED: usize = 8;
/// Time after a leave message in which a closed port proves that the worker has ended, in milliseconds.
const LEAVE_MEMORY_MS: u64 = 5_000;
/// Consecutive heartbeats with lower sequence numbers than the highest one that are dropped as late.
const MAX_LATE: u32 = 2;
/// Least time between two of them, in milliseconds; delayed ones may arrive together.
const LATE_INTERVAL_MS: u64 = 100;

/// The heartbeats' sequence numbers of one incarnation.
#[token]
struct Sequence {
    highest: u64,
    /// The newest one that was dropped, when it was received, and how many there were in a row.
    late: (u64, u64, u32),
}

impl Sequence {
    fn new(first: u64) -> Sequence {
        Sequence { highest: first, late: (0, 0, 0) }
    }

    /// Tells whether a heartbeat is newer than the ones before.
    ///
    /// The worker alone sends one heartbeat after the other, so several rising numbers in a row
    /// show that the highest one was not its own.
    fn accept(&mut self, now: u64, number: u64) -> bool {
        let (late, received_at, count) = self.late;
        let follows = late < number && received_at.saturating_add(LATE_INTERVAL_MS) <= now;
        let continues = follows && MAX_LATE <= count;
        if self.highest < number || continues {
            *self = Sequence::new(number);
            return true;
        }
        if number < self.highest {
            self.late = (number, now, if follows { count + 1 } else { 1 });
        }
        false
    }
}

/// An incarnation that a heartbeat has announced and nothing has proved yet.
#[value]
pub struct Claim {
    /// The announcement.
    pub announcement: Announcement,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// When it was received.
    heard_at: u64,
    /// Fencing token that the worker has refused; 0 for none.
    refused_fence: u64,
}

impl Claim {
    fn is_for(&self, id: &str, incarnation: u64) -> bool {
        self.announcement.id == id && self.announcement.incarnation == incarnation
    }
}

/// What a heartbeat changes.
#[token]
pub enum Heard {
    /// Nothing: it is late or repeats what is known.
    Nothing,
    /// The announcement of the worker that is known to run.
    Announcement,
    /// It announces another incarnation, which has to be proved.
    Claim,
}

/// What the agent knows about its worker. Times are by the agent's clock, in milliseconds.
#[row]
#[derive(Default)]
pub struct Membership {
    worker: Option<Announcement>,
    sequence: Option<Sequence>,
    leave_heard_at: Option<u64>,
    claims: SmallVec<[Claim; MAX_CLAIMS]>,
    ended: SmallVec<[u64; MAX_ENDED]>,
}

impl Membership {
    /// Returns the worker that was proved to run; `None` while none is known.
    pub fn worker(&self) -> Option<&Announcement> {
        self.worker.as_ref()
    }

    /// Returns the newest incarnations that were proved to have ended, the oldest first.
    pub fn ended(&self) -> &[u64] {
        &self.ended
    }

    /// Returns the newest of the incarnations that have ended, below the one that runs; 0 for none.
    pub fn all_ended_until(&self) -> u64 {
        let running = self.worker.as_ref().map_or(u64::MAX, |worker| worker.incarnation);
        self.ended.iter().copied().filter(|ended| *ended < running).max().unwrap_or(0)
    }

    /// Tells whether an incarnation is the one that was proved to run.
    pub fn is_running(&self, id: &str, incarnation: u64) -> bool {
        let is_same = |worker: &Announcement| worker.id == id && worker.incarnation == incarnation;
        self.worker.as_ref().is_some_and(is_same)
    }

    /// Tells whether the worker has lately said that it leaves.
    pub fn is_leaving(&self, now: u64) -> bool {
        self.leave_heard_at.is_some_and(|heard_at| now < heard_at + LEAVE_MEMORY_MS)
    }

    /// Records a heartbeat.
    ///
    /// ```
    /// use lavendergauge_lib::batch::membership::Heard;
    /// use lavendergauge_lib::batch::membership::Membership;
    /// use lavendergauge_lib::batch::report::Announcement;
    /// let announcement = Announcement { id: "i-1".into(), incarnation: 7, ..Default::default() };
    /// let mut membership = Membership::default();
    /// assert_eq!(membership.hear(0, announcement.clone(), 1), Heard::Claim);
    /// assert!(membership.worker().is_none());
    /// let claim = membership.take_claim(10, 5).unwrap();
    /// membership.admit(claim);
    /// assert_eq!(membership.worker(), Some(&announcement));
    /// assert_eq!(membership.hear(20, announcement, 1), Heard::Nothing);
    /// ```
    pub fn hear(&mut self, now: u64, announcement: Announcement, sequence: u64) -> Heard {
        if self.is_running(&announcement.id, announcement.incarnation) {
            let known = self.sequence.get_or_insert(Sequence::new(0));
            if !known.accept(now, sequence) {
                return Heard::Nothing;
            }
            if announcement.ready {
                self.leave_heard_at = None;
            }
            if self.worker.as_ref() == Some(&announcement) {
                return Heard::Nothing;
            }
            self.worker = Some(announcement);
            return Heard::Announcement;
        }
        let claim = Claim { announcement, sequence, heard_at: now, refused_fence: 0 };
        let (id, incarnation) = (&claim.announcement.id, claim.announcement.incarnation);
        match self.claims.iter().position(|known| known.is_for(id, incarnation)) {
            Some(index) if sequence < self.claims[index].sequence => {}
            Some(index) => {
                let refused_fence = self.claims[index].refused_fence;
                self.claims[index] = Claim { refused_fence, ..claim };
            }
            None => self.push_claim(claim),
        }
        Heard::Claim
    }

    fn push_claim(&mut self, claim: Claim) {
        if self.claims.len() == MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(claim);
    }

    /// Records a leave message; an `incarnation` of 0 is not known. Tells whether it names the worker,
    /// whose address then has to be examined.
    pub fn hear_leave(&mut self, now: u64, id: &str, incarnation: u64) -> bool {
        let is_named = |worker: &Announcement| {
            worker.id == id && (incarnation == 0 || incarnation == worker.incarnation)
        };
        let is_worker = self.worker.as_ref().is_some_and(is_named);
        if is_worker {
            self.leave_heard_at = Some(now);
        }
        is_worker
    }

    /// Takes a claim to examine with calls under the fencing token `fence`: the one that has waited
    /// longest. The caller has to conclude it with [`Membership::admit`], [`Membership::keep`] or
    /// [`Membership::keep_until_fence`], or drops it as refuted.
    pub fn take_claim(&mut self, now: u64, fence: u64) -> Option<Claim> {
        self.claims.retain(|claim| now < claim.heard_at + CLAIM_MEMORY_MS);
        let index = self.claims.iter().position(|claim| claim.refused_fence < fence)?;
        Some(self.claims.remove(index))
    }

    /// Keeps a claim that a call without an answer has neither proved nor refuted.
    pub fn keep(&mut self, claim: Claim) {
        let (id, incarnation) = (&claim.announcement.id, claim.announcement.incarnation);
        match self.claims.iter_mut().find(|known| known.is_for(id, incarnation)) {
            // Heard again during the examination.
            Some(known) => known.refused_fence = claim.refused_fence,
            None => self.push_claim(claim),
        }
    }

    /// Keeps a claim until calls carry a higher fencing token than `fence`, which was refused.
    pub fn keep_until_fence(&mut self, claim: Claim, fence: u64) {
        self.keep(Claim { refused_fence: fence, ..claim });
    }

    /// Records that the claim's incarnation has answered. The one that ran before has ended; returns it.
    pub fn admit(&mut self, claim: Claim) -> Option<Announcement> {
        let (id, incarnation) = (claim.announcement.id.clone(), claim.announcement.incarnation);
        let before = self.worker.take();
        if let Some(before) = &before {
            self.push_ended(before.incarnation);
        }
        self.ended.retain(|ended| *ended != incarnation);
        let newer = self.claims.iter().find(|known| known.is_for(&id, incarnation));
        let Claim { announcement, sequence, .. } = newer.cloned().unwrap_or(claim);
        self.claims.retain(|known| !known.is_for(&id, incarnation));
        self.sequence = Some(Sequence::new(sequence));
        self.leave_heard_at = None;
        self.worker = Some(announcement);
        before
    }

    /// Records a proof that an incarnation does not run; returns it if it was the one that is known to.
    pub fn end(&mut self, id: &str, incarnation: u64) -> Option<Announcement> {
        if !self.is_running(id, incarnation) {
            return None;
        }
        self.push_ended(incarnation);
        self.leave_heard_at = None;
        self.sequence = None;
        self.worker.take()
    }

    fn push_ended(&mut self, incarnation: u64) {
        self.ended.retain(|ended| *ended != incarnation);
        if self.ended.len() == MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push(incarnation);
    }
}
