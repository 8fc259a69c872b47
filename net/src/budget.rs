//! A limit on the memory that the bodies at a listener occupy together.
//!
//! A body takes its share piece by piece as it arrives, and keeps it as long as its bytes are in
//! use. When there is no room left, stalled bodies are evicted, so that senders that stop short of
//! the end cannot keep the memory from others.

use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time;
use tokio::time::Instant;

/// Time without a byte after which a body counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(250);
/// Time for which a body waits for room before further ones are evicted for it.
const ROOM_WAIT: Duration = Duration::from_millis(250);
/// Number of such waits after which the body is refused.
const ROOM_WAITS: u32 = 4;

/// Longest wait for a share whose bytes are there already.
const TAKE_TIMEOUT: Duration = Duration::from_secs(40);

new_key_type! {
    /// Key of a share.
    pub struct Key;
}

/// There is no room for the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many bytes of bodies are held")]
pub struct Exhausted;

/// A share that may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the share.
    pub key: Key,
    /// Number of bytes that it holds.
    pub bytes: usize,
    /// Time since its body began to arrive.
    pub age: Duration,
    /// Time since the last bytes of its body arrived.
    pub quiet: Duration,
    /// Whether it waits for room itself.
    pub is_waiting: bool,
}

/// Returns the share to evict, if there is one.
///
/// That is the one whose sender has been quiet for the longest time; if all are active, the one that
/// has been arriving for the longest; and if all wait for room themselves, the last to begin.
///
/// ```
/// use std::time::Duration;
/// use lavendergauge_net::budget::{self, Candidate, Key};
/// let ms = Duration::from_millis;
/// let candidate = |bytes, age, quiet| {
///     Candidate { key: Key::default(), bytes, age: ms(age), quiet: ms(quiet), is_waiting: false }
/// };
/// let candidates = [candidate(8, 900, 10), candidate(4, 700, 600), candidate(0, 990, 990)];
/// assert_eq!(budget::select_victim(&candidates).map(|candidate| candidate.bytes), Some(4));
/// assert_eq!(budget::select_victim(&candidates[..1]).map(|candidate| candidate.bytes), Some(8));
/// ```
pub fn select_victim(candidates: &[Candidate]) -> Option<Candidate> {
    let holding = || candidates.iter().filter(|candidate| candidate.bytes != 0);
    let arriving = || holding().filter(|candidate| !candidate.is_waiting);
    arriving()
        .filter(|candidate| STALL_TIME <= candidate.quiet)
        .max_by_key(|candidate| candidate.quiet)
        .or_else(|| arriving().max_by_key(|candidate| candidate.age))
        .or_else(|| holding().min_by_key(|candidate| candidate.age))
        .copied()
}

/// A share's entry in the budget.
#[derive(Debug)]
struct Entry {
    bytes: usize,
    began: Instant,
    advanced: Instant,
    is_waiting: bool,
    stage: Stage,
}

/// How far a body is.
#[derive(Debug)]
enum Stage {
    /// It arrives; the sender evicts it.
    Arriving(oneshot::Sender<()>),
    /// It is evicted, and its owner has not dropped it yet.
    Evicted,
    /// It has arrived completely, and is in use.
    Complete,
}

#[derive(Debug, Default)]
struct State {
    used: usize,
    /// Whether there has been no room, and at least half of it has not become free since.
    is_full: bool,
    entries: SlotMap<Key, Entry>,
}

/// A limit on a number of bytes, which is divided into shares.
#[derive(Debug)]
pub struct Budget {
    name: &'static str,
    limit: usize,
    state: Mutex<State>,
    freed: Notify,
}

impl Budget {
    /// Makes a budget of this number of bytes; its name is for logs and metrics.
    ///
    /// ```
    /// let budget = lavendergauge_net::budget::Budget::new("bodies", 1 << 20);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn new(name: &'static str, limit: usize) -> Arc<Budget> {
        Arc::new(Budget { name, limit, state: Mutex::default(), freed: Notify::new() })
    }

    /// Returns the number of bytes that all shares together may hold.
    ///
    /// ```
    /// use lavendergauge_net::budget::Budget;
    /// assert_eq!(Budget::new("bodies", 10).limit(), 10);
    /// ```
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that all shares hold.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Makes a share of no bytes yet, and the receiver that tells its owner to drop it.
    ///
    /// ```
    /// use lavendergauge_net::budget::{Budget, Exhausted};
    /// let budget = Budget::new("bodies", 10);
    /// let (mut share, _evicted) = budget.share();
    /// assert_eq!(share.try_grow(8), Ok(()));
    /// assert_eq!(share.try_grow(8), Err(Exhausted));
    /// drop(share);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn share(self: &Arc<Self>) -> (Share, oneshot::Receiver<()>) {
        let (evict, evicted) = oneshot::channel();
        let now = Instant::now();
        let entry = Entry {
            bytes: 0,
            began: now,
            advanced: now,
            is_waiting: false,
            stage: Stage::Arriving(evict),
        };
        let key = self.lock().entries.insert(entry);
        (Share { budget: self.clone(), key }, evicted)
    }

    /// Takes a share of this number of bytes, or of the whole budget if they are more, and waits
    /// for room.
    ///
    /// # Errors
    /// [`Exhausted`] when there is no room within 40 s.
    ///
    /// ```
    /// use lavendergauge_net::budget::Budget;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// let budget = Budget::new("bodies", 10);
    /// let share = runtime.block_on(budget.clone().take(1000)).unwrap();
    /// assert_eq!(budget.used(), 10);
    /// drop(share);
    /// ```
    pub async fn take(self: Arc<Self>, bytes: usize) -> Result<Share, Exhausted> {
        let (mut share, _) = self.share();
        share.complete();
        let bytes = bytes.min(self.limit);
        let taking = async {
            loop {
                let freed = self.freed.notified();
                tokio::pin!(freed);
                freed.as_mut().enable();
                if share.try_grow(bytes).is_ok() {
                    return;
                }
                freed.await;
            }
        };
        time::timeout(TAKE_TIMEOUT, taking).await.map_err(|_| Exhausted)?;
        Ok(share)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Tells shares to make room for this number of bytes, as far as there are any that can.
    fn make_room(&self, bytes: usize) {
        let now = Instant::now();
        let mut state = self.lock();
        if !mem::replace(&mut state.is_full, true) {
            log::warn!("event=budget-full budget={} bytes={}", self.name, self.limit);
        }
        let mut candidates: Vec<Candidate> = Vec::new();
        let mut evicted_bytes = 0;
        for (key, entry) in &state.entries {
            match entry.stage {
                Stage::Complete => {}
                Stage::Evicted => evicted_bytes += entry.bytes,
                Stage::Arriving(_) => candidates.push(Candidate {
                    key,
                    bytes: entry.bytes,
                    age: now - entry.began,
                    quiet: now - entry.advanced,
                    is_waiting: entry.is_waiting,
                }),
            }
        }
        while self.limit + evicted_bytes < state.used + bytes {
            let Some(candidate) = select_victim(&candidates) else { return };
            candidates.retain(|other| other.key != candidate.key);
            evicted_bytes += candidate.bytes;
            let entry = &mut state.entries[candidate.key];
            if let Stage::Arriving(evict) = mem::replace(&mut entry.stage, Stage::Evicted) {
                // Fails only when the body is being dropped, which makes room as well.
                let _ = evict.send(());
            }
            counter!("lavendergauge_bodies_evicted_total", "budget" => self.name).increment(1);
        }
    }
}

/// A part of a [`Budget`]; dropping it returns its bytes.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    key: Key,
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(entry) = state.entries.remove(self.key) {
            state.used -= entry.bytes;
        }
        if state.is_full && state.used <= self.budget.limit / 2 {
            state.is_full = false;
            log::info!("event=budget-relieved budget={} bytes={}", self.budget.name, state.used);
        }
        drop(state);
        self.budget.freed.notify_waiters();
    }
}

impl Share {
    /// Adds bytes to the share if there is room for them now.
    ///
    /// # Errors
    /// [`Exhausted`] when there is no room.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let limit = self.budget.limit;
        let mut state = self.budget.lock();
        let used = state.used.saturating_add(bytes);
        if limit < used {
            return Err(Exhausted);
        }
        state.used = used;
        if let Some(entry) = state.entries.get_mut(self.key) {
            entry.bytes += bytes;
        }
        Ok(())
    }

    /// Adds bytes to the share; waits for room, which other shares may have to make.
    ///
    /// # Errors
    /// [`Exhausted`] when there is no room in time.
    ///
    /// ```
    /// use lavendergauge_net::budget::Budget;
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// let budget = Budget::new("bodies", 10);
    /// let (mut share, _evicted) = budget.share();
    /// assert!(runtime.block_on(share.grow(10)).is_ok() && runtime.block_on(share.grow(11)).is_err());
    /// ```
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if self.budget.limit < bytes {
            return Err(Exhausted);
        }
        if self.try_grow(bytes).is_ok() {
            return Ok(());
        }
        self.update(|entry| entry.is_waiting = true);
        let grown = self.wait_for_room(bytes).await;
        self.update(|entry| {
            entry.is_waiting = false;
            entry.advanced = Instant::now();
        });
        grown
    }

    async fn wait_for_room(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let budget = self.budget.clone();
        for _ in 0..ROOM_WAITS {
            budget.make_room(bytes);
            let wait_until = Instant::now() + ROOM_WAIT;
            loop {
                let freed = budget.freed.notified();
                tokio::pin!(freed);
                freed.as_mut().enable();
                if self.try_grow(bytes).is_ok() {
                    return Ok(());
                }
                if time::timeout_at(wait_until, freed).await.is_err() {
                    break;
                }
            }
        }
        Err(Exhausted)
    }

    /// Records that bytes of the body have arrived.
    ///
    /// ```
    /// let (mut share, _evicted) = lavendergauge_net::budget::Budget::new("bodies", 10).share();
    /// share.advance();
    /// ```
    pub fn advance(&mut self) {
        self.update(|entry| entry.advanced = Instant::now());
    }

    /// Records that the body has arrived completely, so that it no longer has to make room.
    ///
    /// ```
    /// let (mut share, _evicted) = lavendergauge_net::budget::Budget::new("bodies", 10).share();
    /// share.complete();
    /// ```
    pub fn complete(&mut self) {
        self.update(|entry| entry.stage = Stage::Complete);
    }

    fn update(&mut self, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.budget.lock().entries.get_mut(self.key) {
            change(entry);
        }
    }
}

/// Bytes and the share of a budget that they occupy, as the owner of a [`bytes::Bytes`].
#[derive(Debug)]
pub struct Charged {
    /// The bytes.
    pub bytes: Bytes,
    /// Their share.
    pub share: Share,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
