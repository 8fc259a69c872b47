//! What an agent knows about its worker and the planner.

use std::collections::VecDeque;

use lavendergauge_lib::batch::crash::Crash;
use lavendergauge_lib::batch::crash::Ledger;
use lavendergauge_lib::batch::ends;
use lavendergauge_lib::batch::epoch::Epoch;
use lavendergauge_lib::batch::lease::Reading;
use lavendergauge_lib::batch::lease::Tracker;
use lavendergauge_lib::batch::membership::Claim;
use lavendergauge_lib::batch::membership::Membership;
use lavendergauge_lib::batch::report::Announcement;
use lavendergauge_lib::batch::report::List;

use crate::clock;

/// Maximum number of crashes that are reported.
const MAX_CRASHES: usize = 4;
/// Time for which a crash is reported, in milliseconds; longer than any change of planner takes.
const CRASH_MEMORY_MS: u64 = 60_000;

/// State of an agent, guarded by one lock that is never held across an `await`.
pub struct State {
    /// Highest fencing token seen; 0 before any planner has called.
    pub fence: u64,
    /// Name of the planner that holds that token.
    pub planner: String,
    /// Time of this process's clock until which tasks may run, in milliseconds.
    pub grant_until: u64,
    /// Which worker runs on the VM.
    pub membership: Membership,
    /// The newest reading of the worker's clock; `None` when another incarnation may run by now.
    pub worker_clock: Option<Reading>,
    /// The epoch of the calls to the worker.
    pub epoch: Epoch,
    /// Until when the worker may hold a lease by the clock of an earlier incarnation.
    pub leases: Tracker,
    /// Identifier of the worker that received the newest lease; empty for none.
    pub leases_of: String,
    /// The worker's last list of running and ended runs.
    pub list: Option<List>,
    /// What was read of the worker's ends.
    pub ends: ends::Reader,
    /// Whether that list may omit runs or ends.
    pub is_list_partial: bool,
    /// Number of items of that list that could not be decoded.
    pub unreadable_items: usize,
    /// Number of the newest end that the worker may drop as far as the agent has read its list.
    pub last_readable_end: Option<u64>,
    /// Incarnation of the worker, and number of the newest ended run that it may forget.
    pub forgettable_ends: (u64, u64),
    /// Whether the worker answered the agent's last call.
    pub is_worker_responsive: bool,
    /// Whether this process is stopping.
    pub is_stopping: bool,
    /// Whether orders were executed since the worker was last polled for its runs.
    pub has_new_orders: bool,
    /// The runs on the worker's present incarnation.
    pub ledger: Ledger,
    /// The newest crashes of the worker, the oldest first.
    pub crashes: VecDeque<Crash>,
}

impl State {
    /// Discards crashes that every planner has had time to read.
    pub fn forget_old_crashes(&mut self, now: u64) {
        self.crashes.retain(|crash| now < crash.noticed_at + CRASH_MEMORY_MS);
    }

    /// Returns the worker that was proved to run; `None` while none is known.
    pub fn worker(&self) -> Option<&Announcement> {
        self.membership.worker()
    }

    /// Notes that the worker has restarted: its next incarnation may receive calls that were meant
    /// for the present one.
    fn note_restart(&mut self, id: &str) {
        self.raise_epoch(id, "worker restarted");
        // An earlier process of the agent may have sent calls to this identifier.
        if self.leases_of.is_empty() || self.leases_of == id {
            self.leases.restart(clock::boot().0, self.epoch.token(self.fence));
        }
        self.worker_clock = None;
        self.forget_list();
    }

    /// Begins an epoch, in which the worker refuses the calls that were sent before.
    pub fn raise_epoch(&mut self, id: &str, cause: &str) {
        if self.epoch.raise() {
            let number = self.epoch.number();
            log::info!("event=worker-epoch worker={id} epoch={number} cause=\"{cause}\"");
        }
    }

    /// Notes that a call to the worker got no answer: another incarnation may receive the next one,
    /// and the clock has to be read first.
    pub fn note_unanswered(&mut self, id: &str) {
        self.worker_clock = None;
        self.raise_epoch(id, "no answer");
    }

    /// Forgets the worker's list.
    pub fn forget_list(&mut self) {
        self.list = None;
        self.is_list_partial = false;
        self.unreadable_items = 0;
        self.last_readable_end = None;
    }

    /// Applies the proof that a claimed incarnation runs, which was read from the answer at its
    /// address to a call with the fencing token `token`: the one before has ended.
    pub fn admit(&mut self, claim: Claim, clock: Reading, token: u64) {
        let (id, incarnation) = (claim.announcement.id.clone(), claim.announcement.incarnation);
        let is_leaving = self.membership.is_leaving(clock::boot().0);
        let ended = self.membership.ended();
        // This process, or the one before it, may have read ends of an incarnation that ran before.
        let is_new = !ended.contains(&incarnation)
            && self.ends.incarnation() != incarnation
            && (!ended.is_empty() || self.membership.worker().is_some());
        let before = self.membership.admit(claim);
        log::info!(
            "event=worker-joined worker={id} incarnation={incarnation} known_worker={} before={}",
            before.as_ref().map_or("", |worker| &worker.id),
            before.as_ref().map_or(0, |worker| worker.incarnation)
        );
        if let Some(before) = &before {
            self.record_end(before, is_leaving);
        }
        let is_fenced = self.epoch.is_unused(token);
        self.note_restart(&id);
        if is_fenced {
            self.leases.answer(clock::boot().0, token);
        }
        let now = clock::boot().0;
        log::info!(
            "event=stale-lease worker={id} incarnation={incarnation} ms={}",
            self.leases.stale_until(now).saturating_sub(now)
        );
        if is_new {
            self.ends = ends::Reader::new(incarnation);
        }
        self.worker_clock = Some(clock);
        self.is_worker_responsive = true;
    }

    /// Applies a proof that an incarnation does not run; tells whether it was the one that is known to.
    pub fn end_worker(&mut self, id: &str, incarnation: u64, cause: &str) -> bool {
        let is_leaving = self.membership.is_leaving(clock::boot().0);
        let Some(worker) = self.membership.end(id, incarnation) else { return false };
        log::info!("event=worker-ended worker={id} incarnation={incarnation} cause=\"{cause}\"");
        self.record_end(&worker, is_leaving);
        self.note_restart(id);
        true
    }

    /// Records the end of an incarnation.
    ///
    /// A worker that had announced to leave has not crashed: it also ends when its message is lost.
    fn record_end(&mut self, worker: &Announcement, is_leaving: bool) {
        if !worker.ready || is_leaving {
            self.ledger.clear();
            return;
        }
        let crash = self.ledger.close(worker.incarnation, clock::boot().0);
        log::warn!(
            "event=worker-crash-noticed worker={} incarnation={} runs={}",
            worker.id,
            crash.incarnation,
            crash.runs.len()
        );
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
    }
}
