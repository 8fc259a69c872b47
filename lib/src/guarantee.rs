//! Checks whether a set of guarantees fits a fleet, and reports which do not fit and why.

use std::collections::BTreeMap;

use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::fleet;
use crate::fleet::Config;
use crate::fleet::Report;
use crate::name::Name;
use crate::pack::Demand;
use crate::pack::Packing;
use crate::pack::Site;
use crate::resource::Resources;
use crate::shape::Adjacency;
use crate::shape::Shape;

/// Why a guarantee does not fit.
#[derive(thiserror::Error)]
#[value]
pub enum Reason {
    /// The shape has no members, or its members need no resources.
    #[error("the shape has no accelerators")]
    Empty,
    /// No allowed data centre is open and has a worker.
    #[error("no allowed data centre is open with a worker that accepts work")]
    NoDataCentre,
    /// It would not fit even in an empty fleet.
    #[error("{needed} accelerators are needed in one {unit}, the widest allowed has {widest}")]
    TooWide {
        /// Accelerators of the whole shape.
        needed: u32,
        /// Unit that must contain all of them.
        unit: Unit,
        /// Largest number of accelerators in an allowed unit of that kind.
        widest: u32,
    },
    /// An allowed unit has enough accelerators, but none has the processors and memory for every
    /// member.
    #[error(
        "no allowed {unit} has {members} times {processors} processors and {memory_mb} MB in addition to the accelerators"
    )]
    TooHeavy {
        /// Unit that must contain all members.
        unit: Unit,
        /// Number of members of the shape.
        members: u32,
        /// Processor cores of each member.
        processors: u32,
        /// Memory of each member, in megabytes.
        memory_mb: u64,
    },
    /// It would fit in an empty fleet, but not in addition to the other guarantees.
    #[error(
        "{promised} of {total} accelerators are promised already, and no allowed {unit} keeps {needed} together"
    )]
    Promised {
        /// Accelerators promised in the allowed data centres.
        promised: u32,
        /// Accelerators in the allowed data centres.
        total: u32,
        /// Unit that must contain the whole shape.
        unit: Unit,
        /// Accelerators of the whole shape.
        needed: u32,
    },
}

/// A unit of adjacency, displayed as words.
#[value]
pub struct Unit(pub Adjacency);

impl std::fmt::Display for Unit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self.0 {
            Adjacency::Worker => "worker",
            Adjacency::Rack => "rack",
            Adjacency::DataCentre => "data centre",
        })
    }
}

/// A guarantee that does not fit in addition to those before it.
#[value]
pub struct Unfit {
    /// Name of the client account.
    pub account: Name,
    /// Name of the guarantee.
    pub guarantee: Name,
    /// Why it does not fit.
    pub reason: Reason,
}

/// Returns the guarantees that a fleet cannot meet in addition to all those before them.
///
/// Guarantees are checked in the order of the configuration. Leaving workers and those in closed
/// data centres are ignored. An empty result means that a plan for all guarantees exists.
///
/// ```
/// use lavendergauge_lib::fleet::Config;
/// use lavendergauge_lib::guarantee;
/// assert!(guarantee::find_unfit(&Config::default(), &[]).is_empty());
/// ```
pub fn find_unfit(config: &Config, fleet: &[Report]) -> Vec<Unfit> {
    let open_data_centres: BTreeMap<&Name, u32> = config
        .zones
        .iter()
        .filter(|zone| zone.open)
        .enumerate()
        .map(|(index, zone)| (&zone.name, index as u32))
        .collect();
    let sites = sites(&open_data_centres, fleet);
    let mut packing = Packing::new(sites.clone());
    let mut promised = Vec::new();
    let mut unfit = Vec::new();
    for account in &config.accounts {
        for guarantee in &account.guarantees {
            let demand = demand(&open_data_centres, guarantee);
            let reason = match check_alone(&sites, &demand) {
                Err(reason) => reason,
                Ok(()) if packing.insert(demand.clone()) => {
                    promised.push(demand);
                    continue;
                }
                Ok(()) => {
                    packing.remove_last();
                    explain_conflict(&sites, &promised, &demand)
                }
            };
            let (account, guarantee) = (account.name.clone(), guarantee.name.clone());
            unfit.push(Unfit { account, guarantee, reason });
        }
    }
    unfit
}

/// Returns the workers that accept work, in order of data centre and rack.
fn sites(open_data_centres: &BTreeMap<&Name, u32>, fleet: &[Report]) -> Vec<Site> {
    let mut racks = BTreeMap::new();
    let mut sites: Vec<Site> = fleet
        .iter()
        .filter(|report| !report.leaving)
        .filter_map(|report| {
            let &data_centre = open_data_centres.get(&report.data_centre)?;
            let next = racks.len() as u32;
            let rack = *racks.entry((data_centre, &report.rack)).or_insert(next);
            let capacity = Resources {
                accelerators: u32::from(report.accelerators),
                processors: report.processors,
                memory_mb: report.memory_mb,
            };
            Some(Site { data_centre, rack, free: capacity })
        })
        .collect();
    sites.sort_by_key(|site| (site.data_centre, site.rack));
    sites
}

fn demand(open_data_centres: &BTreeMap<&Name, u32>, guarantee: &fleet::Guarantee) -> Demand {
    let allowed: SmallVec<[u32; 4]> = guarantee
        .data_centres
        .iter()
        .filter_map(|name| open_data_centres.get(name).copied())
        .collect();
    let allowed = (!guarantee.data_centres.is_empty()).then_some(allowed);
    Demand { shape: guarantee.shape, allowed }
}

fn allows(demand: &Demand, site: &Site) -> bool {
    demand.allowed.as_ref().is_none_or(|allowed| allowed.contains(&site.data_centre))
}

/// Checks that a shape fits an empty fleet; returns the reason if it does not.
pub(crate) fn check_alone(sites: &[Site], demand: &Demand) -> Result<(), Reason> {
    let shape = demand.shape;
    if shape.members == 0 || shape.member() == Resources::default() {
        return Err(Reason::Empty);
    }
    let allowed: Vec<&Site> = sites.iter().filter(|site| allows(demand, site)).collect();
    if allowed.is_empty() {
        return Err(Reason::NoDataCentre);
    }
    let whole = shape.member().times(shape.members);
    if allowed.iter().any(|site| whole.fits(site.free)) {
        return Ok(());
    }
    let mut units: BTreeMap<(u32, u32, usize), (u32, u64, u64)> = BTreeMap::new();
    for (index, site) in allowed.into_iter().enumerate() {
        let unit = match shape.adjacency {
            Adjacency::Worker => (site.data_centre, site.rack, index),
            Adjacency::Rack => (site.data_centre, site.rack, 0),
            Adjacency::DataCentre => (site.data_centre, 0, 0),
        };
        let (accelerators_in_unit, members_by_accelerators, members_by_all) =
            units.entry(unit).or_default();
        let accelerators_only =
            Resources { accelerators: shape.accelerators, ..Resources::default() };
        *accelerators_in_unit += site.free.accelerators;
        *members_by_accelerators +=
            u64::from(site.free.count_fitting(accelerators_only, shape.members));
        *members_by_all += u64::from(site.free.count_fitting(shape.member(), shape.members));
    }
    let members = u64::from(shape.members);
    if units.values().any(|&(_, _, all)| members <= all) {
        return Ok(());
    }
    let unit = Unit(shape.adjacency);
    if units.values().any(|&(_, accelerators, _)| members <= accelerators) {
        let Shape { members, processors, memory_mb, .. } = shape;
        return Err(Reason::TooHeavy { unit, members, processors, memory_mb });
    }
    let widest = units
        .values()
        .map(|&(accelerators_in_unit, ..)| accelerators_in_unit)
        .max()
        .unwrap_or_default();
    Err(Reason::TooWide { needed: shape.total(), unit, widest })
}

/// Returns the reason for a shape that fits an empty fleet but not in addition to `promised`.
pub(crate) fn explain_conflict(sites: &[Site], promised: &[Demand], demand: &Demand) -> Reason {
    let shares_site =
        |other: &Demand| sites.iter().any(|site| allows(demand, site) && allows(other, site));
    let allowed = sites.iter().filter(|site| allows(demand, site));
    Reason::Promised {
        promised: promised.iter().filter(|other| shares_site(other)).map(|o| o.shape.total()).sum(),
        total: allowed.map(|site| site.free.accelerators).sum(),
        unit: Unit(demand.shape.adjacency),
        needed: demand.shape.total(),
    }
}
