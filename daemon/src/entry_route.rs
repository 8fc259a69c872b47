//! Slots at targets: queues the requests that wait for one, and chooses the target of each.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::queue;
use lavendergauge_lib::queue::Queue;
use lavendergauge_lib::queue::Waiting;
use lavendergauge_lib::retry;
use lavendergauge_lib::route;
use lavendergauge_lib::route::Announced;
use lavendergauge_lib::route::Key;
use lavendergauge_lib::route::Table;
use lavendergauge_wire::part::Hello;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::config;
use crate::entry::Entry;
use crate::entry_call::Call;

/// Interval at which announcements are applied and waiting requests are expired or given slots.
const TICK: Duration = Duration::from_millis(20);
/// Largest part of the time until its deadline for which a request waits, as a divisor.
const WAIT_DIVISOR: u32 = 2;
/// Most waiting requests.
const QUEUE_LIMIT: usize = 1024;

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target accepts requests.
    NoTarget,
    /// The queue is full.
    Full,
    /// The request would not start before its deadline.
    Late,
    /// The request waited for as long as it may.
    Waited,
}

struct State {
    table: Table,
    queue: Queue<oneshot::Sender<Slot>>,
    retry: retry::Budget,
    longest_wait: Duration,
    rng: SmallRng,
}

/// The entry's queue and the state of the targets as the entry knows it.
pub struct Router {
    state: Mutex<State>,
}

impl Default for Router {
    fn default() -> Self {
        let policy = lavendergauge_wire::config::Policy::default();
        Router {
            state: Mutex::new(State {
                table: Table::default(),
                queue: Queue::new(QUEUE_LIMIT),
                retry: retry::Budget::new(policy.retry_percent),
                longest_wait: Duration::from_millis(policy.queue_ms),
                rng: SmallRng::from_rng(&mut rand::rng()),
            }),
        }
    }
}

/// A request's slot at a target, released when it is dropped.
pub struct Slot {
    router: Arc<Router>,
    key: Key,
    account: Name,
    /// The target's newest announcement.
    pub target: Announced,
    /// What the end of the request shows about the target.
    pub result: route::Result,
}

impl Slot {
    /// Applies the load that the target's agent reports in its answer.
    pub fn update_load(&self, hello: &Hello) {
        if hello.incarnation == self.target.incarnation {
            let clock = Millis(hello.clock_ms);
            self.router.lock().table.update_load(self.key, hello.used, clock);
        }
    }

    /// Returns the target's key.
    pub fn key(&self) -> Key {
        self.key
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::now();
        let abandoned = {
            let mut state = self.router.lock();
            state.table.finish(now, self.key, self.result.clone());
            state.queue.finish(&self.account);
            dispatch(&self.router, &mut state, now)
        };
        drop(abandoned);
    }
}

impl Router {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes one retry from the budget; `false` when none is left.
    pub fn take_retry(&self) -> bool {
        self.lock().retry.take()
    }

    /// Returns the number of targets that accept requests.
    pub fn ready_targets(&self) -> usize {
        self.lock().table.ready()
    }

    /// Returns the number of waiting requests.
    pub fn waiting_requests(&self) -> usize {
        self.lock().queue.len()
    }
}

/// Gets a slot for a request, at a target that has not been tried if there is one.
///
/// # Errors
/// [`Refusal`] when there is no slot in time.
pub async fn acquire(
    router: &Arc<Router>,
    call: &Call,
    weight: u32,
    tried: &[Key],
) -> Result<Slot, Refusal> {
    let now = clock::now();
    let waiting = {
        let mut state = router.lock();
        let state = &mut *state;
        if tried.is_empty() {
            state.retry.earn();
        }
        state.queue.set_weight(&call.account, weight);
        if state.queue.is_empty()
            && let Some(key) = state.table.pick(now, tried, &mut state.rng)
        {
            state.queue.start(&call.account);
            state.table.send(key);
            return slot(router, &state.table, key, &call.account).ok_or(Refusal::NoTarget);
        }
        if state.table.ready() == 0 {
            return Err(Refusal::NoTarget);
        }
        let (sender, receiver) = oneshot::channel();
        let until = now + (call.remaining() / WAIT_DIVISOR).min(state.longest_wait);
        let waiting = Waiting { account: call.account.clone(), until, item: sender };
        let displaced =
            state.queue.push(now, call.class, waiting).map_err(|refusal| match refusal {
                queue::Refusal::Full => Refusal::Full,
                queue::Refusal::Late => Refusal::Late,
            })?;
        drop(displaced);
        receiver
    };
    waiting.await.map_err(|_| Refusal::Waited)
}

fn slot(router: &Arc<Router>, table: &Table, key: Key, account: &Name) -> Option<Slot> {
    Some(Slot {
        router: router.clone(),
        key,
        account: account.clone(),
        target: table.target(key)?.announced.clone(),
        result: route::Result::Neither,
    })
}

/// Gives free slots to waiting requests.
///
/// Returns the slots whose request no longer waits. The caller drops them after it has unlocked the
/// router, since dropping a slot locks it.
#[must_use]
fn dispatch(router: &Arc<Router>, state: &mut State, now: Millis) -> Vec<Slot> {
    let mut abandoned = Vec::new();
    while !state.queue.is_empty() {
        let Some(key) = state.table.pick(now, &[], &mut state.rng) else { break };
        let Some(waiting) = state.queue.pop(now) else { break };
        state.table.send(key);
        if let Some(slot) = slot(router, &state.table, key, &waiting.account)
            && let Err(slot) = waiting.item.send(slot)
        {
            abandoned.push(slot);
        }
    }
    abandoned
}

/// Applies announcements and serves waiting requests, until the entry stops and no request waits.
pub async fn run(entry: Arc<Entry>, stopped: watch::Receiver<bool>) {
    while !*stopped.borrow() || 0 < entry.router.waiting_requests() {
        tick(&entry, clock::now());
        time::sleep(TICK).await;
    }
}

fn tick(entry: &Entry, now: Millis) {
    let (announced, policy) = {
        let core = entry.core();
        let document = &core.document;
        let announced = core.workers.targets(now, |name| config::is_open(document, name));
        (announced, document.policy.clone())
    };
    let (expired, abandoned) = {
        let mut state = entry.router.lock();
        if let Some(policy) = policy {
            state.retry.set_percent(policy.retry_percent);
            state.longest_wait = Duration::from_millis(policy.queue_ms);
        }
        state.table.update(now, announced);
        let expired = state.queue.expire(now, oneshot::Sender::is_closed);
        (expired, dispatch(&entry.router, &mut state, now))
    };
    drop((expired, abandoned));
}
