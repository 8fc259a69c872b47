//! What an entry knows of the operators' configuration, and how old that knowledge is.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lavendergauge_lib::batch::site::Config;
use lavendergauge_lib::batch::wave::Wave;
use lavendergauge_lib::clock::Millis;
use lavendergauge_platform::Error;
use lavendergauge_platform::operator;
use lavendergauge_platform::store::Event;
use lavendergauge_platform::store::Item;
use lavendergauge_platform::store::Store;
use lavendergauge_platform::store::Watched;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::logs::Value;

/// Longest wait of one watch; the knowledge is confirmed this often.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Deadline of a read.
const READ_DEADLINE: Duration = Duration::from_millis(900);
/// First deadline of the reads by which a lost store is found again; each failure doubles it up to
/// [`READ_DEADLINE`]. It is far longer than a healthy store takes.
const PROBE_DEADLINE: Duration = Duration::from_millis(300);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// What is known.
pub struct Known {
    /// The configuration.
    pub config: Arc<Config>,
    /// Revision of its key; 0 while none is known.
    pub revision: u64,
    /// Data centres that are taken out.
    pub evacuated: BTreeSet<String>,
    /// Maintenance waves by key.
    pub waves: BTreeMap<String, Wave>,
    /// Moment up to which nothing newer was there.
    pub confirmed: Option<Millis>,
}

/// The view of one entry.
pub struct View {
    known: Mutex<Known>,
    /// Grows with each change.
    pub version: watch::Sender<u64>,
}

impl Default for View {
    fn default() -> Self {
        let known = Known {
            config: Arc::default(),
            revision: 0,
            evacuated: BTreeSet::new(),
            waves: BTreeMap::new(),
            confirmed: None,
        };
        View { known: Mutex::new(known), version: watch::Sender::new(0) }
    }
}

impl View {
    /// Locks what is known.
    pub fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns how old the knowledge is; `None` while there is none.
    pub fn age(&self) -> Option<Duration> {
        let known = self.known();
        known.confirmed.filter(|_| known.revision != 0).map(|at| clock::boot().since(at))
    }

    fn confirm(&self, asked: Millis) {
        let mut known = self.known();
        known.confirmed = Some(known.confirmed.map_or(asked, |before| before.max(asked)));
    }

    /// Takes in the configuration's key as a read or a write has shown it; never an older one.
    pub fn learn(&self, item: &Item) {
        let mut known = self.known();
        if item.revision <= known.revision {
            return;
        }
        match operator::config(&item.value) {
            Ok(config) if config.version < known.config.version => {
                log::warn!(
                    "event=config-older version={} known={}",
                    config.version,
                    known.config.version
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
                known.config = Arc::new(config);
                known.revision = item.revision;
                drop(known);
                self.version.send_modify(|version| *version += 1);
            }
            Err(cause) => {
                log::error!("event=config-unreadable cause={}", Value(&cause.to_string()));
            }
        }
    }

    fn apply(&self, event: Event) {
        let (key, put) = match &event {
            Event::Put(item) => (item.key.as_str(), true),
            Event::Removed(key) => (key.as_str(), false),
        };
        if let Some(data_centre) = operator::evacuated(key) {
            let mut known = self.known();
            let changed = match put {
                true => known.evacuated.insert(data_centre.to_owned()),
                false => known.evacuated.remove(data_centre),
            };
            drop(known);
            if changed {
                log::info!("event=data-centre data_centre={data_centre} evacuated={put}");
                self.version.send_modify(|version| *version += 1);
            }
        }
        match &event {
            Event::Put(item) => self.learn_wave(item),
            Event::Removed(key) => {
                self.known().waves.remove(key);
            }
        }
        if let Event::Put(item) = &event
            && item.key == operator::CONFIG
        {
            self.learn(item);
        }
    }

    fn learn_wave(&self, item: &Item) {
        if !operator::is_wave(&item.key) {
            return;
        }
        match operator::wave(&item.value) {
            Ok(wave) => {
                let known = self.known().waves.insert(item.key.clone(), wave.clone());
                if known.as_ref() != Some(&wave) {
                    log::info!(
                        "event=wave wave={} machines={} most={}",
                        wave.number,
                        wave.machines.len(),
                        wave.most
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
            .filter_map(|item| operator::evacuated(&item.key))
            .map(str::to_owned)
            .collect();
        let mut known = self.known();
        let changed = known.evacuated != evacuated;
        known.evacuated = evacuated;
        known.waves.retain(|key, _| items.iter().any(|item| item.key == *key));
        drop(known);
        items.iter().for_each(|item| self.learn_wave(item));
        if changed {
            self.version.send_modify(|version| *version += 1);
        }
        for item in items.iter().filter(|item| item.key == operator::CONFIG) {
            self.learn(item);
        }
    }

    /// Reads the configuration now.
    ///
    /// # Errors
    /// When the store refuses or gives no usable answer.
    pub async fn refresh(&self, store: &Store) -> Result<(), Error> {
        self.read(store, READ_DEADLINE).await
    }

    async fn read(&self, store: &Store, deadline: Duration) -> Result<(), Error> {
        let asked = clock::boot();
        if let Some(item) = store.read(operator::CONFIG, deadline).await? {
            self.learn(&item);
        }
        self.confirm(asked);
        Ok(())
    }
}

/// Waits until a store that was lost answers again.
///
/// A watch that began while the store was silent is never answered, so that short reads find its
/// return sooner.
async fn find_again(view: &View, store: &Store) {
    let mut deadline = PROBE_DEADLINE;
    while let Err(error) = view.read(store, deadline).await {
        log::debug!("event=store-still-lost cause={}", Value(&error.to_string()));
        deadline = (deadline * 2).min(READ_DEADLINE);
        time::sleep(PAUSE).await;
    }
    log::info!("event=store-regained");
}

/// Follows what operators write for as long as the process runs.
pub async fn follow(view: Arc<View>, store: Store) {
    let mut from: Option<u64> = None;
    loop {
        let asked = clock::boot();
        let outcome = match from {
            None => match store.list(operator::PREFIX, READ_DEADLINE).await {
                Ok((items, revision)) => {
                    view.replace(items);
                    Ok(Some(revision))
                }
                Err(error) => Err(error),
            },
            Some(revision) => match store.watch(operator::PREFIX, revision, WATCH_WAIT).await {
                Ok(Watched::Events(events, at)) => {
                    events.into_iter().for_each(|event| view.apply(event));
                    Ok(Some(at))
                }
                Ok(Watched::Compacted) => {
                    log::info!("event=watch-compacted prefix={}", operator::PREFIX);
                    Ok(None)
                }
                Err(error) => Err(error),
            },
        };
        match outcome {
            Ok(next) => {
                if next.is_some() {
                    view.confirm(asked);
                }
                from = next;
            }
            Err(error) => {
                log::warn!("event=store-lost cause={}", Value(&error.to_string()));
                time::sleep(PAUSE).await;
                find_again(&view, &store).await;
            }
        }
    }
}
