//! Orders waiting steps by how much of the fleet their client accounts have used.
//!
//! The load that this answers: one account submits a burst, and the jobs of all other accounts wait
//! behind it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::value;
use slotmap::SecondaryMap;

use crate::batch::event::Event;
use crate::batch::rank::Candidate;
use crate::batch::table::Job;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::fair;
use crate::fair::Usage;
use crate::key;
use crate::resource::Resources;

/// Half-life of past use. Jobs last for seconds, so that one job counts and a burst is forgotten some
/// jobs later.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of levels into which an account's equal share is divided. Differences within a level do not
/// override deadlines.
const LEVELS: f64 = 4.0;
/// Weight of an account. The configuration has none, so all are equal.
const WEIGHT: f64 = 1.0;
/// Share below which an account without runs and waiting work does not take part.
const MIN_SHARE: f64 = 0.001;
/// Time after which the workers are counted again. Their number changes slowly, and a count visits all
/// of them.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Least time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What each account holds and has used.
#[row]
#[derive(Default)]
pub struct State {
    /// Places of the accounts in `accounts`, by name.
    places: BTreeMap<String, usize>,
    accounts: Vec<Account>,
    /// Runs that are counted, with the place of their account.
    runs: SecondaryMap<key::Run, (usize, Resources)>,
    /// Places of the accounts whose held resources changed since the last tick.
    changed: BTreeSet<usize>,
    /// Resources of all workers that take work.
    fleet: Resources,
    counted_at: Option<Millis>,
    noted_at: Option<Millis>,
}

/// Use of one account.
#[row]
#[derive(Default)]
struct Account {
    held: Resources,
    /// Dominant share held since the last update of `usage`.
    share: f64,
    usage: Usage,
}

impl Account {
    /// Returns the larger of the present and the past share: jobs that start at a time also end at a
    /// time, and their account has used what they held.
    fn used(&self, now: Millis) -> f64 {
        self.usage.average_over(now, self.share, HALF_LIFE).max(self.share)
    }
}

/// The account whose steps were put behind those of others, for the log.
#[value]
pub struct Summary {
    /// The account.
    pub account: String,
    /// Highest level of its waiting steps, in quarters of its equal share.
    pub level: u32,
    /// Lowest level of any account's waiting steps.
    pub lowest: u32,
    /// Number of its waiting steps.
    pub steps: usize,
}

/// Counts a run that was inserted.
pub(super) fn note_inserted(tables: &mut Tables, key: key::Run) {
    let Some(run) = tables.runs.get(key) else { return };
    let Some(job) = tables.jobs.get(&run.task.instance.job) else { return };
    let state = &mut tables.shares;
    let place = state.places.get(&job.record.account).copied().unwrap_or_else(|| {
        state.accounts.push(Account::default());
        state.places.insert(job.record.account.clone(), state.accounts.len() - 1);
        state.accounts.len() - 1
    });
    let row = &mut state.accounts[place];
    row.held = row.held.plus(run.demand);
    state.changed.insert(place);
    state.runs.insert(key, (place, run.demand));
}

/// Discounts a run that was removed.
pub(super) fn note_removed(state: &mut State, key: key::Run) {
    let Some((place, demand)) = state.runs.remove(key) else { return };
    let row = &mut state.accounts[place];
    row.held = row.held.minus(demand);
    state.changed.insert(place);
}

/// Updates the use of the accounts that changed since the last tick.
pub(super) fn settle(tables: &mut Tables, now: Millis) {
    if !tables.policy.account_shares {
        return;
    }
    if tables.shares.counted_at.is_none_or(|at| COUNT_INTERVAL <= now.since(at)) {
        tables.shares.counted_at = Some(now);
        tables.shares.fleet = fleet(tables);
    }
    let state = &mut tables.shares;
    for place in std::mem::take(&mut state.changed) {
        let row = &mut state.accounts[place];
        row.usage.settle_over(now, row.share, HALF_LIFE);
        row.share = fair::dominant(row.held, state.fleet);
    }
}

/// Returns the resources of all workers that take work.
fn fleet(tables: &Tables) -> Resources {
    tables
        .workers
        .values()
        .filter(|worker| worker.ready && worker.is_reachable)
        .fold(Resources::default(), |sum, worker| sum.plus(worker.capacity))
}

/// Returns the level of an account that uses a share of the fleet: the number of whole quarters of its
/// equal share.
///
/// ```
/// use lavendergauge_lib::batch::share;
/// assert_eq!(share::level(0.1, 1.0, 2.0), 0);
/// assert_eq!(share::level(0.3, 1.0, 2.0), 2);
/// assert_eq!(share::level(0.3, 2.0, 2.0), 1);
/// ```
pub fn level(used: f64, weight: f64, total_weight: f64) -> u32 {
    (used * LEVELS * total_weight / weight) as u32
}

/// Sets the level of each step of a list that is sorted otherwise.
///
/// The steps of an account that precede a step count as use, so that the work of a burst is spread over
/// the levels even before any of it runs.
pub(super) fn set_levels(tables: &Tables, candidates: &mut [Candidate], now: Millis) {
    let state = &tables.shares;
    let mut used: HashMap<&str, f64> = state
        .places
        .iter()
        .map(|(name, place)| (name.as_str(), state.accounts[*place].used(now)))
        .filter(|(_, used)| MIN_SHARE <= *used)
        .collect();
    let jobs: Vec<Option<&Job>> =
        candidates.iter().map(|candidate| tables.jobs.get(&candidate.instance.job)).collect();
    for job in jobs.iter().flatten() {
        used.entry(&job.record.account).or_default();
    }
    let total_weight = WEIGHT * used.len() as f64;
    for (candidate, job) in candidates.iter_mut().zip(jobs) {
        let Some(job) = job else { continue };
        let Some(used) = used.get_mut(job.record.account.as_str()) else { continue };
        candidate.share_level = level(*used, WEIGHT, total_weight);
        let step = &job.steps()[usize::from(candidate.instance.step)];
        let demand = step.resources().times(candidate.waiting.len() as u32);
        *used += fair::dominant(demand, state.fleet);
    }
}

/// Records for the log which account's steps are put behind those of others.
pub(super) fn note(
    tables: &mut Tables,
    now: Millis,
    candidates: &[Candidate],
    events: &mut Vec<Event>,
) {
    if tables.shares.noted_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
        return;
    }
    let shared = || candidates.iter().filter(|candidate| !candidate.guaranteed);
    let Some(highest) = shared().max_by_key(|candidate| candidate.share_level) else { return };
    let lowest = shared().map(|candidate| candidate.share_level).min().unwrap_or(0);
    if highest.share_level == lowest {
        return;
    }
    let account = |candidate: &Candidate| {
        tables.jobs.get(&candidate.instance.job).map(|job| &job.record.account)
    };
    let Some(name) = account(highest) else { return };
    let summary = Summary {
        account: name.clone(),
        level: highest.share_level,
        lowest,
        steps: shared().filter(|candidate| account(candidate) == Some(name)).count(),
    };
    tables.shares.noted_at = Some(now);
    events.push(Event::Shares(summary));
}
