//! Packing of guaranteed shapes onto workers.
//!
//! Shapes are packed by best fit. If one does not fit, all are packed again in other orders, and
//! at last by an exhaustive search with a bounded number of steps.

use std::ops::Range;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use smallvec::SmallVec;

use crate::resource::Resources;
use crate::shape::Adjacency;
use crate::shape::Shape;

/// Most attempts with another order, each with the shape that did not fit moved to the front.
const MAX_REORDERINGS: usize = 12;
/// Most steps of the exhaustive search before it is abandoned.
const MAX_SEARCH_STEPS: u32 = 20_000;
/// Most shapes for which the exhaustive search is tried.
const MAX_SEARCH_SHAPES: usize = 24;

/// A worker on which shapes are packed.
#[row]
pub(crate) struct Site {
    /// Number of the worker's data centre.
    pub(crate) data_centre: u32,
    /// Number of the worker's rack, unique in the fleet.
    pub(crate) rack: u32,
    /// Resources that are still free for shapes.
    pub(crate) free: Resources,
}

/// A shape to be packed, with the data centres where it may be.
#[row]
pub(crate) struct Demand {
    /// The shape.
    pub(crate) shape: Shape,
    /// Numbers of the allowed data centres; `None` for any.
    pub(crate) allowed: Option<SmallVec<[u32; 4]>>,
}

/// A number of a shape's members on one site.
#[token]
pub(crate) struct Load {
    /// Index of the site.
    pub(crate) site: usize,
    /// Number of members.
    pub(crate) members: u32,
}

/// The sites that one shape is packed on.
pub(crate) type Loads = SmallVec<[Load; 4]>;

/// Sites and the shapes that are packed on them.
#[row]
pub(crate) struct Packing {
    sites: Vec<Site>,
    racks: Vec<Range<usize>>,
    data_centres: Vec<Range<usize>>,
    demands: Vec<Demand>,
    placed: Vec<Option<Loads>>,
}

impl Packing {
    /// Makes an empty packing of sites, which must be sorted by data centre and rack.
    pub(crate) fn new(sites: Vec<Site>) -> Packing {
        let racks = group_ranges(&sites, |site| (site.data_centre, site.rack));
        let data_centres = group_ranges(&sites, |site| (site.data_centre, 0));
        Packing { sites, racks, data_centres, demands: Vec::new(), placed: Vec::new() }
    }

    /// Returns the sites of each shape, in the order in which shapes were added; `None` if it did
    /// not fit.
    pub(crate) fn placed(&self) -> &[Option<Loads>] {
        &self.placed
    }

    /// Adds a shape by best fit and repacks all shapes if it does not fit; returns whether it fits.
    pub(crate) fn insert(&mut self, demand: Demand) -> bool {
        self.add(demand);
        self.placed.last().is_some_and(Option::is_some) || self.repack()
    }

    /// Adds a shape by best fit without moving others.
    pub(crate) fn add(&mut self, demand: Demand) {
        let found = self.best(&demand);
        self.demands.push(demand);
        self.placed.push(None);
        if let Some(loads) = found {
            self.put(self.demands.len() - 1, loads);
        }
    }

    /// Packs all shapes on empty sites; `None` if one does not fit.
    pub(crate) fn pack(mut self, demands: Vec<Demand>) -> Option<Vec<Loads>> {
        self.placed = vec![None; demands.len()];
        self.demands = demands;
        if !self.repack() {
            return None;
        }
        self.placed.into_iter().collect()
    }

    /// Removes the shape that was added last.
    pub(crate) fn remove_last(&mut self) {
        self.take_off(self.demands.len() - 1);
        self.demands.pop();
        self.placed.pop();
    }

    /// Tries to repack every shape; restores the earlier packing if that fails.
    fn repack(&mut self) -> bool {
        let previous = self.placed.clone();
        let mut order: Vec<usize> = (0..self.demands.len()).collect();
        order.sort_by_key(|&index| difficulty(&self.demands[index]));
        for _ in 0..MAX_REORDERINGS {
            self.clear();
            let Some(unplaced) = order.iter().position(|&index| !self.put_best(index)) else {
                return true;
            };
            if unplaced == 0 {
                break;
            }
            order[..=unplaced].rotate_right(1);
        }
        self.clear();
        if self.demands.len() <= MAX_SEARCH_SHAPES {
            order.sort_by_key(|&index| difficulty(&self.demands[index]));
            if self.search(&order, &mut MAX_SEARCH_STEPS.clone()) {
                return true;
            }
            self.clear();
        }
        for (index, loads) in previous.into_iter().enumerate() {
            if let Some(loads) = loads {
                self.put(index, loads);
            }
        }
        false
    }

    /// Takes every shape off its sites.
    fn clear(&mut self) {
        (0..self.demands.len()).for_each(|index| self.take_off(index));
    }

    /// Packs a shape by best fit; returns whether it fits.
    fn put_best(&mut self, index: usize) -> bool {
        let Some(loads) = self.best(&self.demands[index]) else { return false };
        self.put(index, loads);
        true
    }

    /// Packs a shape on the given sites.
    fn put(&mut self, index: usize, loads: Loads) {
        let member = self.demands[index].shape.member();
        for load in &loads {
            let free = &mut self.sites[load.site].free;
            *free = free.minus(member.times(load.members));
        }
        self.placed[index] = Some(loads);
    }

    /// Takes a shape off its sites.
    fn take_off(&mut self, index: usize) {
        let member = self.demands[index].shape.member();
        for load in self.placed[index].take().unwrap_or_default() {
            let free = &mut self.sites[load.site].free;
            *free = free.plus(member.times(load.members));
        }
    }

    /// Returns the ranges of sites within which a shape of this adjacency must lie.
    fn units(&self, adjacency: Adjacency) -> Vec<Range<usize>> {
        match adjacency {
            Adjacency::Worker => (0..self.sites.len()).map(|site| site..site + 1).collect(),
            Adjacency::Rack => self.racks.clone(),
            Adjacency::DataCentre => self.data_centres.clone(),
        }
    }

    /// Tells whether a shape may be in a unit's data centre.
    fn allows(&self, demand: &Demand, unit: &Range<usize>) -> bool {
        let data_centre = self.sites[unit.start].data_centre;
        demand.allowed.as_ref().is_none_or(|allowed| allowed.contains(&data_centre))
    }

    /// Finds the unit in which a shape leaves the fewest accelerators free.
    fn best(&self, demand: &Demand) -> Option<Loads> {
        let shape = demand.shape;
        if shape.adjacency == Adjacency::Worker {
            return self.best_site(demand);
        }
        let units = self.units(shape.adjacency);
        let fitting = units.iter().filter(|unit| self.allows(demand, unit));
        fitting
            .filter_map(|unit| self.fill(shape, unit.clone()))
            .min_by_key(|&(left_free, _)| left_free)
            .map(|(_, loads)| loads)
    }

    /// Finds the site with the least free resources that fits a whole shape.
    fn best_site(&self, demand: &Demand) -> Option<Loads> {
        let whole = demand.shape.member().times(demand.shape.members);
        let sites = self.sites.iter().enumerate();
        let fitting = sites
            .filter(|(site, row)| whole.fits(row.free) && self.allows(demand, &(*site..*site + 1)));
        let (site, _) = fitting.min_by_key(|(_, row)| row.free)?;
        Some(SmallVec::from_slice(&[Load { site, members: demand.shape.members }]))
    }

    /// Spreads a shape over a unit's sites; also returns the accelerators that stay free there.
    fn fill(&self, shape: Shape, unit: Range<usize>) -> Option<(u32, Loads)> {
        let mut total_free = 0;
        let mut fitting: Vec<(u32, usize)> = Vec::new();
        for site in unit {
            let free = self.sites[site].free;
            total_free += free.accelerators;
            let members = free.count_fitting(shape.member(), shape.members);
            if 0 < members {
                fitting.push((members, site));
            }
        }
        let loads = spread(fitting, shape.members)?;
        Some((total_free - shape.total().min(total_free), loads))
    }

    /// Packs the shapes of `order` by exhaustive search; `steps` is the remaining number of steps.
    ///
    /// For the last shape, workers with the same free resources as one tried before are skipped.
    fn search(&mut self, order: &[usize], steps: &mut u32) -> bool {
        let Some((&index, rest)) = order.split_first() else { return true };
        let shape = self.demands[index].shape;
        let mut tried: Vec<Vec<Resources>> = Vec::new();
        for unit in self.units(shape.adjacency) {
            if !self.allows(&self.demands[index], &unit) {
                continue;
            }
            let mut free: Vec<Resources> =
                self.sites[unit.clone()].iter().map(|s| s.free).collect();
            if shape.adjacency == Adjacency::Worker && rest.is_empty() {
                free.sort_unstable();
                if tried.contains(&free) {
                    continue;
                }
                tried.push(free);
            }
            if self.spread_all(index, unit, shape.members, &mut Loads::new(), rest, steps) {
                return true;
            }
        }
        false
    }

    /// Tries every way to spread members over the sites of one unit, then packs the shapes of
    /// `rest`.
    fn spread_all(
        &mut self,
        index: usize,
        unit: Range<usize>,
        members: u32,
        loads: &mut Loads,
        rest: &[usize],
        steps: &mut u32,
    ) -> bool {
        if *steps == 0 {
            return false;
        }
        *steps -= 1;
        if members == 0 {
            self.put(index, loads.clone());
            if self.search(rest, steps) {
                return true;
            }
            self.take_off(index);
            return false;
        }
        let member = self.demands[index].shape.member();
        let max_members = |site: usize| self.sites[site].free.count_fitting(member, members);
        let most: u64 = unit.clone().map(|site| u64::from(max_members(site))).sum();
        if most < u64::from(members) {
            return false;
        }
        let site = unit.start;
        for count in (0..=max_members(site)).rev() {
            if 0 < count {
                loads.push(Load { site, members: count });
            }
            let later = site + 1..unit.end;
            let done = self.spread_all(index, later, members - count, loads, rest, steps);
            if 0 < count {
                loads.pop();
            }
            if done {
                return true;
            }
        }
        false
    }
}

/// Spreads members over few sites by a greedy rule.
///
/// `fitting` lists how many members fit on a site, and the site. Each step uses the site that
/// fits all remaining members most tightly; if there is none, the one that fits the most.
pub(crate) fn spread(mut fitting: Vec<(u32, usize)>, members: u32) -> Option<Loads> {
    let total: u64 = fitting.iter().map(|&(max_members, _)| u64::from(max_members)).sum();
    if total < u64::from(members) {
        return None;
    }
    fitting.sort_unstable();
    let mut loads = Loads::new();
    let mut remaining = members;
    while 0 < remaining {
        let tightest = fitting.iter().position(|&(max_members, _)| remaining <= max_members);
        let (max_members, site) = fitting.remove(tightest.unwrap_or(fitting.len() - 1));
        loads.push(Load { site, members: max_members.min(remaining) });
        remaining -= max_members.min(remaining);
    }
    Some(loads)
}

/// Returns a sort key that puts the shapes that are hardest to place first.
fn difficulty(demand: &Demand) -> impl Ord + use<> {
    let choices = demand.allowed.as_ref().map_or(usize::MAX, |allowed| allowed.len());
    let shape = demand.shape;
    let width = match shape.adjacency {
        Adjacency::Worker => shape.total(),
        _ => shape.accelerators,
    };
    (std::cmp::Reverse(width), shape.adjacency, choices, std::cmp::Reverse(shape.total()))
}

/// Returns the ranges of consecutive sites with the same group.
fn group_ranges(sites: &[Site], group: impl Fn(&Site) -> (u32, u32)) -> Vec<Range<usize>> {
    let mut ranges: Vec<Range<usize>> = Vec::new();
    for (index, site) in sites.iter().enumerate() {
        match ranges.last_mut() {
            Some(last) if group(&sites[last.start]) == group(site) => last.end = index + 1,
            _ => ranges.push(index..index + 1),
        }
    }
    ranges
}
