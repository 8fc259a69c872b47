//! Estimates of remaining run times from those observed, by account, class and size.
//!
//! The run times that callers declare are not trusted and not used.

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

/// Number of buckets of a histogram, two for each doubling of the run time from one second.
const BUCKETS: usize = 48;
/// Minimum number of run times for an estimate.
const MIN_COUNT: u32 = 5;
/// Number of run times at which a histogram halves its counts, so that newer ones weigh more.
const MAX_COUNT: u32 = 256;

/// Jobs that are expected to run for similar times.
#[token]
struct Kind {
    account: key::Account,
    class: Class,
    size: u32,
}

/// Counts of run times in buckets; the bucket limits double every two buckets.
#[row]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
}

/// Observed run times of ended jobs.
#[row]
#[derive(Default)]
pub struct History {
    histograms: HashMap<Kind, Histogram>,
}

impl History {
    /// Records how long a job ran, for its account and for all accounts together.
    fn record(&mut self, job: &Job, ran: Duration) {
        for account in [job.account, key::Account::null()] {
            let histogram = self
                .histograms
                .entry(kind(job, account))
                .or_insert(Histogram { counts: [0; BUCKETS], total: 0 });
            histogram.record(ran);
        }
    }

    /// Returns the `quantile` of the time that a job which has run for `elapsed` still needs;
    /// `None` when too few run times are known.
    ///
    /// The job runs longer than that with a probability of at most `1 - quantile`. The run times
    /// of its own account are used if there are enough, else those of all accounts.
    pub(crate) fn remaining(
        &self,
        job: &Job,
        elapsed: Duration,
        quantile: f64,
    ) -> Option<Duration> {
        let histogram = [job.account, key::Account::null()]
            .into_iter()
            .filter_map(|account| self.histograms.get(&kind(job, account)))
            .find(|histogram| MIN_COUNT <= histogram.total)?;
        Some(histogram.remaining(elapsed, quantile))
    }

    /// Removes the run times of an account.
    pub(crate) fn forget(&mut self, account: key::Account) {
        self.histograms.retain(|kind, _| kind.account != account);
    }
}

/// Records the run time of a job that has ended.
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

/// Returns the upper limit of a bucket.
fn upper_limit(bucket: usize) -> Duration {
    Duration::from_secs_f64(((bucket + 1) as f64 / 2.0).exp2())
}

impl Histogram {
    fn record(&mut self, ran: Duration) {
        self.counts[bucket(ran)] += 1;
        self.total += 1;
        if MAX_COUNT <= self.total {
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
                return upper_limit(index).saturating_sub(elapsed);
            }
        }
        elapsed
    }
}
