//! The search for workers that can run a shape.
//!
//! A unit is one worker, one rack or one data centre, as the shape's adjacency asks. Every unit
//! with enough capacity is considered, and the one with the lowest cost is chosen.

use crate::clock::Millis;
use crate::key;
use crate::name::Name;
use crate::pack;
use crate::resource::Resources;
use crate::shape::Adjacency;
use crate::shape::Shape;
use crate::table::Job;
use crate::table::Placement;
use crate::table::Placements;
use crate::table::Tables;
use crate::table::Worker;

/// Cost of a worker on which the job failed, or that aborted one of its latest attempts.
const FAILURE_COST: f64 = 1000.0;
/// Cost of each worker beyond the first that a gang is spread over.
const SPREAD_COST: f64 = 0.1;

/// Result of a search.
pub(crate) struct Found {
    /// Members on the workers of the cheapest unit; `None` if no unit has enough capacity.
    pub(crate) placements: Option<Placements>,
    /// Number of units that were considered.
    pub(crate) considered: usize,
}

/// A worker with the number of members that fit on it.
struct Candidate<'a> {
    worker: key::Worker,
    row: &'a Worker,
    max_members: u32,
}

/// Finds the cheapest unit that can run a shape.
///
/// `available` returns the resources that a worker offers, or `None` to exclude the worker.
/// `cost` returns the cost of placing a number of members on a worker.
/// An empty `allowed` admits every data centre.
pub(crate) fn find_cheapest(
    tables: &Tables,
    shape: Shape,
    allowed: &[Name],
    available: impl Fn(key::Worker, &Worker) -> Option<Resources>,
    cost: impl Fn(key::Worker, &Worker, u32) -> f64,
) -> Found {
    let mut best: Option<(f64, Placements)> = None;
    let mut considered = 0;
    let mut consider = |unit: &[Candidate<'_>]| {
        let Some((total_cost, placements)) = fill(unit, shape.members, &cost) else { return };
        considered += 1;
        if best.as_ref().is_none_or(|&(lowest, _)| total_cost < lowest) {
            best = Some((total_cost, placements));
        }
    };
    for data_centre in tables.data_centres.values() {
        if !data_centre.is_open || !(allowed.is_empty() || allowed.contains(&data_centre.name)) {
            continue;
        }
        let mut unit = Vec::new();
        for rack in data_centre.racks.values() {
            for &worker in &tables.racks[*rack].workers {
                let row = &tables.workers[worker];
                let Some(available) = available(worker, row) else { continue };
                let max_members = available.count_fitting(shape.member(), shape.members);
                if max_members == 0 {
                    continue;
                }
                let candidate = Candidate { worker, row, max_members };
                if shape.adjacency == Adjacency::Worker {
                    consider(&[candidate]);
                } else {
                    unit.push(candidate);
                }
            }
            if shape.adjacency == Adjacency::Rack {
                consider(&unit);
                unit.clear();
            }
        }
        if shape.adjacency == Adjacency::DataCentre {
            consider(&unit);
        }
    }
    Found { placements: best.map(|(_, placements)| placements), considered }
}

/// Spreads members over one unit's workers and returns the total cost.
///
/// Each step uses the cheapest worker that fits all remaining members; if there is none, the
/// cheapest of those that fit the most members.
fn fill(
    unit: &[Candidate<'_>],
    members: u32,
    cost: &impl Fn(key::Worker, &Worker, u32) -> f64,
) -> Option<(f64, Placements)> {
    let total: u64 = unit.iter().map(|candidate| u64::from(candidate.max_members)).sum();
    if total < u64::from(members) || members == 0 {
        return None;
    }
    let mut total_cost = 0.0;
    let mut placements = Placements::new();
    let mut remaining = members;
    let mut candidates: Vec<&Candidate<'_>> = unit.iter().collect();
    while 0 < remaining {
        let largest = candidates.iter().map(|candidate| candidate.max_members).max()?;
        let count = remaining.min(largest);
        let costs = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| count <= candidate.max_members)
            .map(|(index, candidate)| (cost(candidate.worker, candidate.row, count), index));
        let (lowest, index) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let chosen = candidates.swap_remove(index);
        total_cost += lowest + if placements.is_empty() { 0.0 } else { SPREAD_COST };
        placements.push(Placement { worker: chosen.worker, members: count });
        remaining -= count;
    }
    Some((total_cost, placements))
}

/// Tells whether a worker can be planned on for work that starts now or later.
///
/// Its data centre must be open, and it must be present, not leaving and not on probation.
pub(crate) fn is_usable(tables: &Tables, row: &Worker) -> bool {
    let data_centre = tables.racks[row.rack].data_centre;
    tables.data_centres[data_centre].is_open
        && row.lost.is_none()
        && !row.is_leaving
        && !row.health.is_on_probation()
}

/// Tells whether a worker accepts a job now, regardless of its free capacity.
pub(crate) fn admits(now: Millis, job: &Job, row: &Worker) -> bool {
    row.lost.is_none() && !row.is_leaving && !row.is_silent && row.health.admits(now, job)
}

/// Returns the extra cost of a worker on which the job failed, or that aborted one of its latest
/// attempts.
///
/// The cost is so high that such a worker is chosen only if no other fits.
pub(crate) fn failure_cost(job: &Job, worker: key::Worker) -> f64 {
    let is_avoided = job.failed_on.contains(&worker) || job.avoided.contains(&worker);
    if is_avoided { FAILURE_COST } else { 0.0 }
}

/// Spreads a job's members over workers with the given free resources.
///
/// Returns `None` if they do not fit, or if they must share one worker and none fits them all.
pub(crate) fn fit_within(
    shape: Shape,
    available: &[(key::Worker, Resources)],
) -> Option<Placements> {
    let max_members = |free: Resources| free.count_fitting(shape.member(), shape.members);
    let fitting =
        available.iter().enumerate().map(|(index, &(_, free))| (max_members(free), index));
    let fitting = fitting.filter(|&(max_members, _)| 0 < max_members).collect();
    let loads = pack::spread(fitting, shape.members)?;
    if shape.adjacency == Adjacency::Worker && 1 < loads.len() {
        return None;
    }
    Some(
        loads
            .into_iter()
            .map(|load| Placement { worker: available[load.site].0, members: load.members })
            .collect(),
    )
}
