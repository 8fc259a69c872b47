//! Run times as they were seen, by account, class and size; what callers declare is not believed.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::Key as _;

use crate::clock::Millis;
use crate::key;
use crate::table::Class;
use crate::table::Job;
use crate::table::Tables;

/// Number of buckets of a spread, two for each doubling from one second.
const BUCKETS: usize = 48;
/// Run times below which a spread says nothing.
const ENOUGH: u32 = 5;
/// Run times after which a spread halves its counts, so that newer ones weigh more.
const FULL: u32 = 256;

/// Jobs that are expected to run for similar times.
#[token]
struct Kind {
    account: key::Account,
    class: Class,
    size: u32,
}

/// Counts of run times in buckets that double every second one.
#[row]
struct Spread {
    counts: [u16; BUCKETS],
    total: u32,
}

/// What has been learnt of run times.
#[row]
#[derive(Default)]
pub struct Book {
    spreads: HashMap<Kind, Spread>,
}

impl Book {
    /// Takes in how long a job ran, for its account and for all accounts together.
    fn record(&mut self, job: &Job, ran: Duration) {
        for account in [job.account, key::Account::null()] {
            let spread = self
                .spreads
                .entry(kind(job, account))
                .or_insert(Spread { counts: [0; BUCKETS], total: 0 });
            spread.record(ran);
        }
    }

    /// Returns the time that a job which has run for `elapsed` goes on with probability
    /// `1 - quantile` at most; `None` when too little is known.
    pub(crate) fn remaining(
        &self,
        job: &Job,
        elapsed: Duration,
        quantile: f64,
    ) -> Option<Duration> {
        let spread = [job.account, key::Account::null()]
            .into_iter()
            .filter_map(|account| self.spreads.get(&kind(job, account)))
            .find(|spread| ENOUGH <= spread.total)?;
        Some(spread.remaining(elapsed, quantile))
    }

    /// Forgets what was learnt of an account.
    pub(crate) fn forget(&mut self, account: key::Account) {
        self.spreads.retain(|kind, _| kind.account != account);
    }
}

/// Takes in the run time of a job that has come to its end.
pub(crate) fn record(tables: &mut Tables, now: Millis, job: key::Job) {
    let row = &tables.jobs[job];
    tables.estimates.record(row, row.run_time(now));
}

fn kind(job: &Job, account: key::Account) -> Kind {
    Kind { account, class: job.class, size: job.shape.total().max(1).ilog2() }
}

fn bucket(ran: Duration) -> usize {
    let doublings = ran.as_secs_f64().max(1.0).log2();
    ((doublings * 2.0) as usize).min(BUCKETS - 1)
}

/// Returns the upper end of a bucket.
fn upper(bucket: usize) -> Duration {
    Duration::from_secs_f64(((bucket + 1) as f64 / 2.0).exp2())
}

impl Spread {
    fn record(&mut self, ran: Duration) {
        self.counts[bucket(ran)] += 1;
        self.total += 1;
        if FULL <= self.total {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|&count| u32::from(count)).sum();
        }
    }

    fn remaining(&self, elapsed: Duration, quantile: f64) -> Duration {
        let longer = bucket(elapsed)..BUCKETS;
        let total: u32 = self.counts[longer.clone()].iter().map(|&count| u32::from(count)).sum();
        let wanted = (f64::from(total) * quantile).ceil() as u32;
        let mut seen = 0;
        for index in longer {
            seen += u32::from(self.counts[index]);
            if 0 < total && wanted <= seen {
                return upper(index).saturating_sub(elapsed);
            }
        }
        elapsed
    }
}
