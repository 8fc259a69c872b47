//! An entry's view of the operators' configuration, data centres and waves, and its age.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::wave::Wave;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::Error;
use lavendergauge_platform::operator;
use lavendergauge_platform::store::Event;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Store;
use lavendergauge_platform::store::WatchOutcome;
use tokio::sync::watch;
use tokio::time;

use crate::batch::arrival::Arrivals;
use crate::clock;
use crate::logs::Value;

/// Longest wait of one watch; the view is confirmed as current at least this often.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Deadline of a read.
const READ_DEADLINE: Duration = Duration::from_millis(900);
/// First deadline of the reads that detect the return of an unreachable store; each failure doubles
/// it up to [`READ_DEADLINE`]. A healthy store answers in far less time.
const PROBE_DEADLINE: Duration = Duration::from_millis(300);
/// Number of watches that fail in a row after which the keys are listed: the answer to a watch from
/// the same revision may be too long every time.
const MAX_FAILED_WATCHES: u32 = 2;
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// State of a view: the operators' data, as last read.
pub struct State {
    /// The configuration.
    pub config: Arc<Config>,
    /// Revision of the configuration's key; 0 before it is first read.
    pub revision: u64,
    /// Data centres that operators have taken out of service.
    pub evacuated: BTreeSet<String>,
    /// Maintenance waves by their key in the store.
    pub waves: BTreeMap<String, Wave>,
    /// Time at which the configuration was last confirmed to be current.
    pub confirmed: Option<Millis>,
    /// The callers' calls that the configuration decides.
    pub arrivals: Arrivals,
}

impl State {
    /// Returns the time since the configuration was last confirmed; `None` before it is first read.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed.filter(|_| self.revision != 0).map(|at| clock::boot().since(at))
    }
}

/// One entry's view of the configuration, shared by its tasks.
pub struct View {
    state: Mutex<State>,
    /// Increases with each change of the configuration or of the data centres out of service.
    pub version: watch::Sender<u64>,
}

impl Default for View {
    fn default() -> Self {
        let state = State {
            config: Arc::default(),
            revision: 0,
            evacuated: BTreeSet::new(),
            waves: BTreeMap::new(),
            confirmed: None,
            arrivals: Arrivals::default(),
        };
        View { state: Mutex::new(state), version: watch::Sender::new(0) }
    }
}

impl View {
    /// Locks the view's state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the time since the configuration was last confirmed; `None` before it is first read.
    pub fn age(&self) -> Option<Duration> {
        self.state().age()
    }

    fn confirm(&self, sent_at: Millis) {
        let mut state = self.state();
        state.confirmed = Some(state.confirmed.map_or(sent_at, |before| before.max(sent_at)));
    }

    /// Applies the configuration's key as returned by a read, a watch or a conflicting write.
    ///
    /// An older revision or version than the known one is ignored.
    pub fn apply_config(&self, item: &Item) {
        let mut state = self.state();
        if item.revision <= state.revision {
            return;
        }
        match operator::parse_config(&item.value) {
            Ok(config) if config.version < state.config.version => {
                log::warn!(
                    "event=config-older version={} known={}",
                    config.version,
                    state.config.version
                );
            }
            Ok(config) => {
                log::info!(
                    "event=config-in-force version={} revision={} queues={} accounts={}",
                    config.version,
                    item.revision,
                    config.queues.len(),
                    config.accounts.len()
                );
                state.config = Arc::new(config);
                state.revision = item.revision;
                state.arrivals.supersede();
                drop(state);
                self.version.send_modify(|version| *version += 1);
            }
            Err(cause) => {
                log::error!("event=config-unreadable cause={}", Value(&cause.to_string()));
            }
        }
    }

    fn apply_event(&self, event: Event) {
        let (key, is_put) = match &event {
            Event::Put(item) => (item.key.as_str(), true),
            Event::Removed(key) => (key.as_str(), false),
        };
        if let Some(data_centre) = operator::evacuated_data_centre(key) {
            let mut state = self.state();
            let has_changed = match is_put {
                true => state.evacuated.insert(data_centre.to_owned()),
                false => state.evacuated.remove(data_centre),
            };
            drop(state);
            if has_changed {
                log::info!("event=data-centre data_centre={data_centre} evacuated={is_put}");
                self.version.send_modify(|version| *version += 1);
            }
        }
        match &event {
            Event::Put(item) => self.apply_wave(item),
            Event::Removed(key) => {
                self.state().waves.remove(key);
            }
        }
        if let Event::Put(item) = &event
            && item.key == operator::CONFIG_KEY
        {
            self.apply_config(item);
        }
    }

    fn apply_wave(&self, item: &Item) {
        if !operator::is_wave_key(&item.key) {
            return;
        }
        match operator::parse_wave(&item.value) {
            Ok(wave) => {
                let previous = self.state().waves.insert(item.key.clone(), wave.clone());
                if previous.as_ref() != Some(&wave) {
                    log::info!(
                        "event=wave wave={} machines={} most={}",
                        wave.number,
                        wave.machines.len(),
                        wave.max_away
                    );
                }
            }
            Err(cause) => {
                let cause = cause.to_string();
                log::error!("event=wave-unreadable key={} cause={}", item.key, Value(&cause));
            }
        }
    }

    fn replace(&self, items: Vec<Item>) {
        let evacuated: BTreeSet<String> = items
            .iter()
            .filter_map(|item| operator::evacuated_data_centre(&item.key))
            .map(str::to_owned)
            .collect();
        let mut state = self.state();
        let has_changed = state.evacuated != evacuated;
        state.evacuated = evacuated;
        state.waves.retain(|key, _| items.iter().any(|item| item.key == *key));
        drop(state);
        items.iter().for_each(|item| self.apply_wave(item));
        if has_changed {
            self.version.send_modify(|version| *version += 1);
        }
        for item in items.iter().filter(|item| item.key == operator::CONFIG_KEY) {
            self.apply_config(item);
        }
    }

    /// Reads the configuration from the store now.
    ///
    /// # Errors
    /// When the store refuses or gives no usable answer.
    pub async fn refresh(&self, store: &Store) -> Result<(), Error> {
        self.read(store, READ_DEADLINE).await
    }

    async fn read(&self, store: &Store, deadline: Duration) -> Result<(), Error> {
        let sent_at = clock::boot();
        if let Some(item) = store.read(operator::CONFIG_KEY, deadline).await? {
            self.apply_config(&item);
        }
        self.confirm(sent_at);
        Ok(())
    }
}

/// Waits until an unreachable store answers again.
///
/// A watch that was started while the store did not respond is never answered, so that short reads
/// detect its return sooner.
async fn wait_for_store(view: &View, store: &Store) {
    let mut deadline = PROBE_DEADLINE;
    while let Err(error) = view.read(store, deadline).await {
        log::debug!("event=store-still-lost cause={}", Value(&error.to_string()));
        deadline = (deadline * 2).min(READ_DEADLINE);
        time::sleep(PAUSE).await;
    }
    log::info!("event=store-regained");
}

/// Watches the operators' keys for as long as the process runs, and applies each change.
pub async fn follow(view: Arc<View>, store: Store) {
    let mut revision_seen: Option<u64> = None;
    let mut failed_watches = 0;
    loop {
        let sent_at = clock::boot();
        let outcome = match revision_seen {
            None => match store.list(operator::PREFIX, READ_DEADLINE).await {
                Ok((items, revision)) => {
                    view.replace(items);
                    Ok(Some(revision))
                }
                Err(error) => Err(error),
            },
            Some(revision) => match store.watch(operator::PREFIX, revision, WATCH_WAIT).await {
                Ok(WatchOutcome::Events(events, at)) => {
                    events.into_iter().for_each(|event| view.apply_event(event));
                    Ok(Some(at))
                }
                Ok(WatchOutcome::Compacted) => {
                    log::info!("event=watch-compacted prefix={}", operator::PREFIX);
                    Ok(None)
                }
                Err(error) => Err(error),
            },
        };
        match outcome {
            Ok(next) => {
                if next.is_some() {
                    view.confirm(sent_at);
                }
                revision_seen = next;
                failed_watches = 0;
            }
            Err(error) => {
                log::warn!("event=store-lost cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
                wait_for_store(&view, &store).await;
                failed_watches += 1;
                if MAX_FAILED_WATCHES <= failed_watches {
                    revision_seen = None;
                }
            }
        }
    }
}
