//! The connections of a listener and the calls in progress on them.
//!
//! Both are limited. Beyond a limit, a stalled connection or call is evicted for a new one, so that
//! silent peers cannot keep others out.

use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

/// Time without a call after which a connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a connection is closed whose peer takes no more of an answer.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a call for which a connection is left to send its next one.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Time after which an answer that is not read keeps its connection from others.
const UNREAD_GRACE: Duration = Duration::from_secs(2);
/// Time without a byte after which a request counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(100);
/// Time in which a request arrives that is not sent byte by byte.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);
/// Interval at which a full listener looks for a connection to evict.
const ROOM_CHECK: Duration = Duration::from_millis(50);

new_key_type! {
    /// Key of a connection.
    struct ConnectionKey;
    /// Key of a call.
    struct CallKey;
}

/// Whether a connection has to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// It stays open.
    Open,
    /// It closes after its calls.
    Drain,
    /// It closes once the calls that have just been ended are answered.
    Evict,
    /// It closes without an answer, since none is due.
    Abort,
}

impl Closing {
    /// Tells whether the connection does not wait for its calls.
    pub fn is_urgent(self) -> bool {
        matches!(self, Closing::Evict | Closing::Abort)
    }
}

/// A connection's entry.
#[derive(Debug)]
struct ConnectionEntry {
    opened: Instant,
    /// Begin of the present state: without a call, or with calls.
    since: Instant,
    calls: usize,
    /// Time of the last write that the peer has taken, in milliseconds since the listener started.
    written_ms: Arc<AtomicU64>,
    closing: watch::Sender<Closing>,
}

impl ConnectionEntry {
    fn closing(&self) -> Closing {
        *self.closing.borrow()
    }
}

/// A call's entry.
#[derive(Debug)]
struct CallEntry {
    connection: ConnectionKey,
    began: Instant,
    /// Time when bytes of the body last arrived, or the call began.
    advanced: Instant,
    /// Whether it waits for its peer to send more of the body.
    is_receiving: bool,
    /// Ends the body; `None` once it has been ended.
    end: Option<oneshot::Sender<()>>,
    /// Time since when the peer has not taken more of the answer; `None` while there is no more.
    unread_since: Option<Instant>,
}

impl CallEntry {
    /// Tells whether the peer has stopped sending the body, or sends it too slowly.
    fn is_stalled(&self, now: Instant) -> bool {
        self.is_receiving && (self.advanced + STALL_TIME <= now || self.began + ARRIVAL_TIME <= now)
    }
}

#[derive(Debug, Default)]
struct State {
    connections: SlotMap<ConnectionKey, ConnectionEntry>,
    calls: SlotMap<CallKey, CallEntry>,
    /// Whether there has been no room, and at least half of it has not become free since.
    is_full: bool,
    /// Time of the last eviction of a connection.
    evicted_at: Option<Instant>,
}

impl State {
    /// Returns how many connections have to close and have not closed yet.
    fn closing(&self) -> usize {
        self.connections.values().filter(|entry| entry.closing() != Closing::Open).count()
    }

    /// Tells a connection to close; returns why it was chosen, or `None` when there is none.
    ///
    /// The first choice is the one that has been without a call for the longest time, if that is
    /// [`IDLE_GRACE`]; the next one the oldest of those without a call for [`STALL_TIME`], or whose
    /// calls are all stalled; then one whose peer does not read an answer. The last choice is the
    /// connection that has been open for the longest time, which closes after its calls.
    fn evict_connection(&mut self) -> Option<&'static str> {
        let now = Instant::now();
        let is_open = |entry: &ConnectionEntry| !entry.closing().is_urgent();
        let idle_for = |limit: Duration| {
            self.connections
                .iter()
                .filter(|(_, entry)| is_open(entry) && entry.calls == 0)
                .filter(move |(_, entry)| entry.since + limit <= now)
                .map(|(key, entry)| (entry.since, key))
        };
        if let Some((_, key)) = idle_for(IDLE_GRACE).min() {
            self.close(key);
            return Some("idle");
        }
        let mut stalled: SecondaryMap<ConnectionKey, usize> = SecondaryMap::new();
        for call in self.calls.values().filter(|call| call.is_stalled(now)) {
            if let Some(count) = stalled.entry(call.connection) {
                *count.or_default() += 1;
            }
        }
        let all_stalled = stalled.iter().filter_map(|(key, count)| {
            let entry = self.connections.get(key)?;
            (is_open(entry) && entry.calls == *count).then_some((entry.since, key))
        });
        if let Some((_, key)) = all_stalled.chain(idle_for(STALL_TIME)).min() {
            self.close(key);
            return Some("stalled");
        }
        let unread = self.calls.values().filter_map(|call| {
            let since = call.unread_since.filter(|since| *since + UNREAD_GRACE <= now)?;
            let entry = self.connections.get(call.connection)?;
            is_open(entry).then_some((since, call.connection))
        });
        if let Some((_, key)) = unread.min() {
            self.close(key);
            return Some("unread");
        }
        let oldest_in_use = self
            .connections
            .values()
            .filter(|entry| entry.closing() == Closing::Open && entry.opened + IDLE_GRACE <= now)
            .min_by_key(|entry| entry.opened);
        oldest_in_use?.closing.send_replace(Closing::Drain);
        Some("oldest")
    }

    fn close(&mut self, key: ConnectionKey) {
        let Some(entry) = self.connections.get(key) else { return };
        let closing = if entry.calls == 0 { Closing::Abort } else { Closing::Evict };
        entry.closing.send_replace(closing);
        for call in self.calls.values_mut().filter(|call| call.connection == key) {
            evict_body(call);
        }
    }

    /// Ends the stalled call whose body has been arriving for the longest time; returns false when
    /// there is none.
    fn evict_call(&mut self) -> bool {
        let now = Instant::now();
        let stalled =
            self.calls.values_mut().filter(|call| call.end.is_some() && call.is_stalled(now));
        stalled.min_by_key(|call| call.began).is_some_and(evict_body)
    }
}

/// Ends the body of a call; returns false when that has been done before.
fn evict_body(call: &mut CallEntry) -> bool {
    call.end.take().is_some_and(|end| end.send(()).is_ok())
}

/// The connections of a listener and the calls in progress on them.
#[derive(Debug)]
pub struct Occupancy {
    listener: &'static str,
    limit: usize,
    started: Instant,
    state: Mutex<State>,
    freed: Notify,
}

impl Occupancy {
    /// Makes the occupancy of a listener with at most `limit` connections, and as many calls.
    pub fn new(listener: &'static str, limit: usize) -> Arc<Occupancy> {
        let (state, freed) = (Mutex::default(), Notify::new());
        Arc::new(Occupancy { listener, limit, started: Instant::now(), state, freed })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until there is room for one more connection, and makes room if necessary.
    pub async fn wait_for_room(&self) {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            {
                let mut state = self.lock();
                let open = state.connections.len();
                if open < self.limit {
                    return;
                }
                self.note_full(&mut state);
                let now = Instant::now();
                let is_due = state.evicted_at.is_none_or(|evicted| evicted + STALL_TIME <= now);
                let is_needed = is_due || self.limit <= open - state.closing();
                if let Some(cause) = is_needed.then(|| state.evict_connection()).flatten() {
                    state.evicted_at = Some(now);
                    counter!("lavendergauge_connections_evicted_total",
                        "listener" => self.listener, "cause" => cause)
                    .increment(1);
                }
            }
            let _ = time::timeout(ROOM_CHECK, freed).await;
        }
    }

    /// Logs that the listener has become full.
    fn note_full(&self, state: &mut State) {
        if !mem::replace(&mut state.is_full, true) {
            log::warn!("event=listener-full listener={} limit={}", self.listener, self.limit);
        }
    }

    /// Logs that a full listener has room again, once half of it is free.
    fn note_relieved(&self, state: &mut State) {
        let used = state.connections.len().max(state.calls.len());
        if state.is_full && used <= self.limit / 2 {
            state.is_full = false;
            log::info!("event=listener-relieved listener={} open={used}", self.listener);
        }
    }

    /// Adds a connection.
    pub fn connect(self: &Arc<Self>) -> Connection {
        let (closing, closed) = watch::channel(Closing::Open);
        let written_ms = Arc::default();
        let now = Instant::now();
        let key = self.lock().connections.insert(ConnectionEntry {
            opened: now,
            since: now,
            calls: 0,
            written_ms: Arc::clone(&written_ms),
            closing,
        });
        Connection { occupancy: self.clone(), key, written_ms, closing: closed }
    }

    /// Tells the connections to close that have been idle for [`IDLE_TIMEOUT`], or on which an
    /// answer has not been read for [`UNREAD_TIMEOUT`].
    ///
    /// A connection without a call is not idle while the peer takes what was written to it.
    pub fn close_idle(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let is_idle = |entry: &ConnectionEntry| {
            let written_ms = entry.written_ms.load(Ordering::Relaxed);
            let written = self.started + Duration::from_millis(written_ms);
            entry.calls == 0 && entry.since.max(written) + IDLE_TIMEOUT <= now
        };
        let is_unread = |call: &&CallEntry| {
            call.unread_since.is_some_and(|since| since + UNREAD_TIMEOUT <= now)
        };
        let idle = state.connections.iter().filter(|(_, entry)| is_idle(entry)).map(|(key, _)| key);
        let unread = state.calls.values().filter(is_unread).map(|call| call.connection);
        let closing: Vec<ConnectionKey> = idle.chain(unread).collect();
        for key in closing {
            state.close(key);
        }
    }

    fn end_call(&self, key: CallKey) {
        let mut state = self.lock();
        let Some(call) = state.calls.remove(key) else { return };
        if let Some(connection) = state.connections.get_mut(call.connection) {
            connection.calls -= 1;
            if connection.calls == 0 {
                connection.since = Instant::now();
            }
        }
    }
}

/// An open connection; dropping it frees its place.
#[derive(Debug)]
pub struct Connection {
    occupancy: Arc<Occupancy>,
    key: ConnectionKey,
    written_ms: Arc<AtomicU64>,
    closing: watch::Receiver<Closing>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.occupancy.lock();
        state.connections.remove(self.key);
        self.occupancy.note_relieved(&mut state);
        drop(state);
        self.occupancy.freed.notify_one();
    }
}

impl Connection {
    /// Returns whether the connection has to close, and when that changes.
    pub fn closing(&self) -> watch::Receiver<Closing> {
        self.closing.clone()
    }

    /// Returns a function that records that the peer has taken bytes.
    pub fn progress(&self) -> Arc<dyn Fn() + Send + Sync> {
        let (started, written_ms) = (self.occupancy.started, self.written_ms.clone());
        Arc::new(move || {
            written_ms.store(started.elapsed().as_millis() as u64, Ordering::Relaxed);
        })
    }

    /// Returns what begins calls on the connection.
    pub fn caller(&self) -> Caller {
        Caller { occupancy: self.occupancy.clone(), connection: self.key }
    }
}

/// Begins calls on a connection.
#[derive(Clone, Debug)]
pub struct Caller {
    occupancy: Arc<Occupancy>,
    connection: ConnectionKey,
}

impl Caller {
    /// Begins a call whose body arrives, and returns the receiver by which that is ended.
    ///
    /// `None` when there are too many calls and none of them can be evicted. Evicted ones that have not
    /// ended yet count only beyond twice the limit.
    pub fn begin(&self) -> Option<(Arc<Call>, oneshot::Receiver<()>)> {
        let (end, ended) = oneshot::channel();
        let mut state = self.occupancy.lock();
        let (limit, open) = (self.occupancy.limit, state.calls.len());
        if limit <= open {
            self.occupancy.note_full(&mut state);
            if 2 * limit <= open || !state.evict_call() {
                counter!("lavendergauge_calls_refused_total",
                    "listener" => self.occupancy.listener)
                .increment(1);
                return None;
            }
        }
        let now = Instant::now();
        let call = CallEntry {
            connection: self.connection,
            began: now,
            advanced: now,
            is_receiving: true,
            end: Some(end),
            unread_since: None,
        };
        let key = state.calls.insert(call);
        if let Some(connection) = state.connections.get_mut(self.connection) {
            if connection.calls == 0 {
                connection.since = now;
            }
            connection.calls += 1;
        }
        Some((Arc::new(Call { occupancy: self.occupancy.clone(), key }), ended))
    }
}

/// A call in progress, which ends when it is dropped.
#[derive(Debug)]
pub struct Call {
    occupancy: Arc<Occupancy>,
    key: CallKey,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.occupancy.end_call(self.key);
    }
}

impl Call {
    /// Records whether the call waits for its peer to send more of the body.
    pub fn set_receiving(&self, is_receiving: bool) {
        if let Some(call) = self.occupancy.lock().calls.get_mut(self.key) {
            call.is_receiving = is_receiving;
            if !is_receiving {
                call.advanced = Instant::now();
            }
        }
    }

    /// Records whether the peer has to take a part of the answer before more can be sent.
    pub fn set_unread(&self, is_unread: bool) {
        if let Some(call) = self.occupancy.lock().calls.get_mut(self.key) {
            call.unread_since = is_unread.then(Instant::now);
        }
    }
}
