//! Capacity of a service that comes free over time.

use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use slotmap::SecondaryMap;

use crate::batch::rank;
use crate::batch::table::Tables;
use crate::clock::Millis;
use crate::fair;
use crate::key;
use crate::resource::Resources;

/// Unit in which the size of a step or run is counted: millionths of a worker.
const WORKER_SIZE: u64 = 1_000_000;
/// Width of the buckets in which runs are counted by their expected end, in milliseconds. Finer than
/// the estimates are accurate.
const BUCKET_MS: u64 = 250;
/// Time from now for which expected ends are examined; it bounds the cost of a tick. Steps with later
/// deadlines are not short of capacity yet.
const HORIZON_MS: u64 = 60_000;
/// Time after which the workers are counted again. Their number changes slowly, and a count visits all
/// of them.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of the services, and what runs occupy of it by expected end.
#[row]
#[derive(Default)]
pub struct Ledger {
    held: SecondaryMap<key::Run, Held>,
    services: Vec<Service>,
    fleets: Vec<Fleet>,
    counted_at: Option<Millis>,
}

/// What a run occupies.
#[token]
struct Held {
    service: usize,
    bucket: u64,
    size: u64,
}

/// Sizes of the runs on the workers of one service.
#[row]
struct Service {
    name: String,
    total: u64,
    by_end: BTreeMap<u64, u64>,
}

/// Workers of one service that take work.
#[row]
struct Fleet {
    service: String,
    sum: Sum,
    count: u64,
}

/// Counts the workers, unless that was done a short while ago.
pub(in crate::batch) fn count_workers(tables: &mut Tables, now: Millis) {
    let is_recent =
        tables.shortage.ledger.counted_at.is_some_and(|at| now.since(at) < COUNT_INTERVAL);
    if !tables.policy.shortage || is_recent {
        return;
    }
    tables.shortage.ledger.counted_at = Some(now);
    let fleets = &mut tables.shortage.ledger.fleets;
    fleets.clear();
    for worker in tables.workers.values().filter(|worker| worker.ready && worker.is_reachable) {
        let known = fleets.iter().position(|fleet| fleet.service == worker.service);
        let index = known.unwrap_or_else(|| {
            let service = worker.service.clone();
            fleets.push(Fleet { service, sum: Sum::default(), count: 0 });
            fleets.len() - 1
        });
        fleets[index].sum.add(worker.capacity);
        fleets[index].count += 1;
    }
}

/// Counts a run that was inserted.
pub(in crate::batch) fn note_inserted(tables: &mut Tables, key: key::Run) {
    let Some(run) = tables.runs.get(key) else { return };
    let Some(step) = tables.step(run.task.instance) else { return };
    let Some(worker) = tables.workers.get(run.worker) else { return };
    let size = size_of(run.demand, worker.capacity);
    let bucket = (run.since.0 + rank::estimated_ms(step)) / BUCKET_MS;
    let name = &worker.service;
    let services = &mut tables.shortage.ledger.services;
    let service = services.iter().position(|service| service.name == *name).unwrap_or_else(|| {
        services.push(Service { name: name.clone(), total: 0, by_end: BTreeMap::new() });
        services.len() - 1
    });
    services[service].total += size;
    *services[service].by_end.entry(bucket).or_default() += size;
    tables.shortage.ledger.held.insert(key, Held { service, bucket, size });
}

/// Discounts a run that was removed.
pub(in crate::batch) fn note_removed(ledger: &mut Ledger, key: key::Run) {
    let Some(Held { service, bucket, size }) = ledger.held.remove(key) else { return };
    let service = &mut ledger.services[service];
    service.total -= size;
    if let Some(sum) = service.by_end.get_mut(&bucket) {
        *sum -= size;
        if *sum == 0 {
            service.by_end.remove(&bucket);
        }
    }
}

pub(super) fn size_of(demand: Resources, worker: Resources) -> u64 {
    (fair::dominant(demand, worker) * WORKER_SIZE as f64) as u64
}

/// Capacity of a service that comes free over time.
#[row]
pub(super) struct Supply {
    now: Millis,
    /// Mean worker.
    pub(super) worker: Resources,
    /// Size of all workers.
    capacity: u64,
    /// Size held by runs.
    held: u64,
    /// Expected ends of runs after `now`, ascending: the time from now, the size that has ended by
    /// then, and the work until then of what has ended.
    ends: Vec<(u64, u64, u64)>,
}

impl Supply {
    pub(super) fn of(tables: &Tables, name: &str, now: Millis) -> Supply {
        let fleet = tables.shortage.ledger.fleets.iter().find(|fleet| fleet.service == name);
        let count = fleet.map_or(0, |fleet| fleet.count);
        let worker = fleet.map(|fleet| fleet.sum.mean(count)).unwrap_or_default();
        let service = tables.shortage.ledger.services.iter().find(|service| service.name == name);
        let mut sizes: BTreeMap<u64, u64> = BTreeMap::new();
        let first = now.0.saturating_sub(HORIZON_MS) / BUCKET_MS;
        let last = (now.0 + HORIZON_MS) / BUCKET_MS;
        for (bucket, size) in service.iter().flat_map(|service| service.by_end.range(first..=last))
        {
            // A run past its estimate is expected to take as long again as it is overdue.
            let end = ((bucket + 1) * BUCKET_MS).abs_diff(now.0);
            *sizes.entry(end).or_default() += size;
        }
        let (mut ended, mut work) = (0, 0);
        let ends = sizes
            .into_iter()
            .map(|(end, size)| {
                ended += size;
                work += size * end;
                (end, ended, work)
            })
            .collect();
        let held = service.map_or(0, |service| service.total);
        Supply { now, worker, capacity: count * WORKER_SIZE, held, ends }
    }

    /// Returns the work that can be done until a time; `None` if that is too far away to tell.
    pub(super) fn until(&self, time: Millis) -> Option<u64> {
        let ahead = time.0.saturating_sub(self.now.0);
        if HORIZON_MS < ahead {
            return None;
        }
        let index = self.ends.partition_point(|(end, _, _)| *end <= ahead);
        let (ended, work) = match index.checked_sub(1).map(|index| self.ends[index]) {
            Some((_, ended, work)) => (ended, work),
            None => (0, 0),
        };
        let occupied = work + self.held.saturating_sub(ended) * ahead;
        Some((self.capacity * ahead).saturating_sub(occupied))
    }
}

/// Sum of resources, in wide numbers.
#[row]
#[derive(Default)]
struct Sum {
    accelerators: u64,
    processors: u64,
    memory_mb: u64,
}

impl Sum {
    fn add(&mut self, resources: Resources) {
        self.accelerators += u64::from(resources.accelerators);
        self.processors += u64::from(resources.processors);
        self.memory_mb += resources.memory_mb;
    }

    /// Returns the mean of `count` summands, rounded up.
    fn mean(&self, count: u64) -> Resources {
        let count = count.max(1);
        Resources {
            accelerators: self.accelerators.div_ceil(count) as u32,
            processors: self.processors.div_ceil(count) as u32,
            memory_mb: self.memory_mb.div_ceil(count),
        }
    }
}
