//! Packing guaranteed shapes onto workers: best fit first, then reordering, then bounded search.

use std::ops::Range;

use lavendergauge_derive::row;
use lavendergauge_derive::token;
use smallvec::SmallVec;

use crate::room::Room;
use crate::shape::Adjacency;
use crate::shape::Shape;

/// Times that the shapes are reordered, with the one that did not fit in front.
const REORDERINGS: usize = 12;
/// Steps of the exact search before it gives up.
const SEARCH_STEPS: u32 = 20_000;
/// Most shapes for which the exact search is worth its steps.
const SEARCH_SHAPES: usize = 24;

/// A worker as a site for shapes.
#[row]
pub(crate) struct Site {
    /// Number of its data centre.
    pub(crate) data_centre: u32,
    /// Number of its rack, unique in the fleet.
    pub(crate) rack: u32,
    /// What shapes may take.
    pub(crate) room: Room,
}

/// A shape to be packed.
#[row]
pub(crate) struct Demand {
    /// The shape.
    pub(crate) shape: Shape,
    /// Numbers of the allowed data centres, in order; `None` for any.
    pub(crate) allowed: Option<SmallVec<[u32; 4]>>,
}

/// Members on one site.
#[token]
pub(crate) struct Load {
    /// Index of the site.
    pub(crate) site: usize,
    /// Number of members.
    pub(crate) members: u32,
}

/// Where one shape is packed.
pub(crate) type Loads = SmallVec<[Load; 4]>;

/// Sites and the shapes packed on them.
#[row]
pub(crate) struct Packing {
    sites: Vec<Site>,
    racks: Vec<Range<usize>>,
    centres: Vec<Range<usize>>,
    demands: Vec<Demand>,
    placed: Vec<Option<Loads>>,
}

impl Packing {
    /// Makes an empty packing of sites, which must stand in order of data centre and rack.
    pub(crate) fn new(sites: Vec<Site>) -> Packing {
        let racks = runs(&sites, |site| (site.data_centre, site.rack));
        let centres = runs(&sites, |site| (site.data_centre, 0));
        Packing { sites, racks, centres, demands: Vec::new(), placed: Vec::new() }
    }

    /// Returns where each shape is packed, in the order in which they were added.
    pub(crate) fn placed(&self) -> &[Option<Loads>] {
        &self.placed
    }

    /// Adds a shape where it fits best, moving others only if it must; tells whether it fits.
    pub(crate) fn insert(&mut self, demand: Demand) -> bool {
        self.add(demand);
        self.placed.last().is_some_and(Option::is_some) || self.repack()
    }

    /// Adds a shape where it fits best among those that stay where they are.
    pub(crate) fn add(&mut self, demand: Demand) {
        let found = self.best(&demand);
        self.demands.push(demand);
        self.placed.push(None);
        if let Some(loads) = found {
            self.put(self.demands.len() - 1, loads);
        }
    }

    /// Packs shapes on empty sites, all or none.
    pub(crate) fn pack(mut self, demands: Vec<Demand>) -> Option<Vec<Loads>> {
        self.placed = vec![None; demands.len()];
        self.demands = demands;
        if !self.repack() {
            return None;
        }
        self.placed.into_iter().collect()
    }

    /// Takes the newest shape out again.
    pub(crate) fn remove_last(&mut self) {
        self.lift(self.demands.len() - 1);
        self.demands.pop();
        self.placed.pop();
    }

    /// Tries to pack every shape anew; keeps the packing as it was if that fails.
    fn repack(&mut self) -> bool {
        let before = self.placed.clone();
        let mut order: Vec<usize> = (0..self.demands.len()).collect();
        order.sort_by_key(|&index| difficulty(&self.demands[index]));
        for _ in 0..REORDERINGS {
            self.clear();
            let Some(stuck) = order.iter().position(|&index| !self.put_best(index)) else {
                return true;
            };
            if stuck == 0 {
                break;
            }
            order[..=stuck].rotate_right(1);
        }
        self.clear();
        if self.demands.len() <= SEARCH_SHAPES {
            order.sort_by_key(|&index| difficulty(&self.demands[index]));
            if self.search(&order, &mut SEARCH_STEPS.clone()) {
                return true;
            }
            self.clear();
        }
        for (index, loads) in before.into_iter().enumerate() {
            if let Some(loads) = loads {
                self.put(index, loads);
            }
        }
        false
    }

    fn clear(&mut self) {
        (0..self.demands.len()).for_each(|index| self.lift(index));
    }

    fn put_best(&mut self, index: usize) -> bool {
        let Some(loads) = self.best(&self.demands[index]) else { return false };
        self.put(index, loads);
        true
    }

    fn put(&mut self, index: usize, loads: Loads) {
        let member = self.demands[index].shape.member();
        for load in &loads {
            let room = &mut self.sites[load.site].room;
            *room = room.minus(member.times(load.members));
        }
        self.placed[index] = Some(loads);
    }

    fn lift(&mut self, index: usize) {
        let member = self.demands[index].shape.member();
        for load in self.placed[index].take().unwrap_or_default() {
            let room = &mut self.sites[load.site].room;
            *room = room.plus(member.times(load.members));
        }
    }

    fn units(&self, adjacency: Adjacency) -> Vec<Range<usize>> {
        match adjacency {
            Adjacency::Worker => (0..self.sites.len()).map(|site| site..site + 1).collect(),
            Adjacency::Rack => self.racks.clone(),
            Adjacency::DataCentre => self.centres.clone(),
        }
    }

    fn allows(&self, demand: &Demand, unit: &Range<usize>) -> bool {
        let centre = self.sites[unit.start].data_centre;
        demand.allowed.as_ref().is_none_or(|allowed| allowed.contains(&centre))
    }

    /// Finds the unit that a shape leaves fullest.
    fn best(&self, demand: &Demand) -> Option<Loads> {
        let shape = demand.shape;
        if shape.adjacency == Adjacency::Worker {
            return self.best_site(demand);
        }
        let units = self.units(shape.adjacency);
        let fitting = units.iter().filter(|unit| self.allows(demand, unit));
        fitting
            .filter_map(|unit| self.fill(shape, unit.clone()))
            .min_by_key(|&(left, _)| left)
            .map(|(_, loads)| loads)
    }

    fn best_site(&self, demand: &Demand) -> Option<Loads> {
        let whole = demand.shape.member().times(demand.shape.members);
        let sites = self.sites.iter().enumerate();
        let fitting = sites
            .filter(|(site, row)| whole.fits(row.room) && self.allows(demand, &(*site..*site + 1)));
        let (site, _) = fitting.min_by_key(|(_, row)| row.room)?;
        Some(SmallVec::from_slice(&[Load { site, members: demand.shape.members }]))
    }

    /// Fills a unit, whole workers first; returns what is left of the unit.
    fn fill(&self, shape: Shape, unit: Range<usize>) -> Option<(u32, Loads)> {
        let mut free = 0;
        let mut fitting: Vec<(u32, usize)> = Vec::new();
        for site in unit {
            let room = self.sites[site].room;
            free += room.accelerators;
            let members = room.holds(shape.member(), shape.members);
            if 0 < members {
                fitting.push((members, site));
            }
        }
        let loads = spread(fitting, shape.members)?;
        Some((free - shape.total().min(free), loads))
    }

    /// Places the shapes of `order` by exhaustive search within `steps`.
    fn search(&mut self, order: &[usize], steps: &mut u32) -> bool {
        let Some((&index, rest)) = order.split_first() else { return true };
        let shape = self.demands[index].shape;
        let mut tried: Vec<Vec<Room>> = Vec::new();
        for unit in self.units(shape.adjacency) {
            if !self.allows(&self.demands[index], &unit) {
                continue;
            }
            let mut rooms: Vec<Room> = self.sites[unit.clone()].iter().map(|s| s.room).collect();
            if shape.adjacency == Adjacency::Worker && rest.is_empty() {
                rooms.sort_unstable();
                if tried.contains(&rooms) {
                    continue;
                }
                tried.push(rooms);
            }
            if self.spread_all(index, unit, shape.members, &mut Loads::new(), rest, steps) {
                return true;
            }
        }
        false
    }

    /// Tries every way to spread members over the sites of one unit.
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
            self.lift(index);
            return false;
        }
        let member = self.demands[index].shape.member();
        let holds = |site: usize| self.sites[site].room.holds(member, members);
        let most: u64 = unit.clone().map(|site| u64::from(holds(site))).sum();
        if most < u64::from(members) {
            return false;
        }
        let site = unit.start;
        for count in (0..=holds(site)).rev() {
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

/// Spreads members over as few sites as greed finds: the tightest that takes all, else the widest.
pub(crate) fn spread(mut fitting: Vec<(u32, usize)>, members: u32) -> Option<Loads> {
    let all: u64 = fitting.iter().map(|&(holds, _)| u64::from(holds)).sum();
    if all < u64::from(members) {
        return None;
    }
    fitting.sort_unstable();
    let mut loads = Loads::new();
    let mut left = members;
    while 0 < left {
        let whole = fitting.iter().position(|&(holds, _)| left <= holds);
        let (holds, site) = fitting.remove(whole.unwrap_or(fitting.len() - 1));
        loads.push(Load { site, members: holds.min(left) });
        left -= holds.min(left);
    }
    Some(loads)
}

/// Orders shapes by how hard they are to place, hardest first.
fn difficulty(demand: &Demand) -> impl Ord + use<> {
    let choices = demand.allowed.as_ref().map_or(usize::MAX, |allowed| allowed.len());
    let shape = demand.shape;
    let wide = match shape.adjacency {
        Adjacency::Worker => shape.total(),
        _ => shape.accelerators,
    };
    (std::cmp::Reverse(wide), shape.adjacency, choices, std::cmp::Reverse(shape.total()))
}

/// Returns the ranges of neighbouring sites that share a group.
fn runs(sites: &[Site], group: impl Fn(&Site) -> (u32, u32)) -> Vec<Range<usize>> {
    let mut ranges: Vec<Range<usize>> = Vec::new();
    for (index, site) in sites.iter().enumerate() {
        match ranges.last_mut() {
            Some(last) if group(&sites[last.start]) == group(site) => last.end = index + 1,
            _ => ranges.push(index..index + 1),
        }
    }
    ranges
}
