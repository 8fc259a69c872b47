//! Sites for packing: workers of the tables with the resources that shapes may use there.

use smallvec::SmallVec;

use crate::guarantee;
use crate::guarantee::Reason;
use crate::key;
use crate::name::Name;
use crate::pack::Demand;
use crate::pack::Loads;
use crate::pack::Site;
use crate::resource::Resources;
use crate::search;
use crate::shape::Shape;
use crate::table::Placement;
use crate::table::Placements;
use crate::table::Tables;
use crate::table::Worker;

/// Sites of a set of workers, in order of data centre and rack.
pub(crate) struct Sites {
    workers: Vec<key::Worker>,
    data_centre_names: Vec<Name>,
    /// One site for each worker.
    pub(crate) list: Vec<Site>,
}

impl Sites {
    /// Collects the usable workers, each with the resources that `free` returns for it.
    pub(crate) fn usable(tables: &Tables, free: impl Fn(key::Worker) -> Resources) -> Sites {
        Sites::collect(tables, |row| search::is_usable(tables, row), free)
    }

    /// Collects every known worker with its whole capacity, including lost workers and those in
    /// closed data centres.
    pub(crate) fn known(tables: &Tables) -> Sites {
        Sites::collect(tables, |_| true, |worker| tables.workers[worker].capacity)
    }

    /// Collects every present worker in an open data centre with its whole capacity.
    pub(crate) fn present(tables: &Tables) -> Sites {
        let is_open =
            |row: &Worker| tables.data_centres[tables.racks[row.rack].data_centre].is_open;
        let is_present = |row: &Worker| row.lost.is_none() && is_open(row);
        Sites::collect(tables, is_present, |worker| tables.workers[worker].capacity)
    }

    fn collect(
        tables: &Tables,
        is_included: impl Fn(&Worker) -> bool,
        free: impl Fn(key::Worker) -> Resources,
    ) -> Sites {
        let mut sites =
            Sites { workers: Vec::new(), data_centre_names: Vec::new(), list: Vec::new() };
        let mut rack = 0;
        for row in tables.data_centres.values() {
            let data_centre = sites.data_centre_names.len() as u32;
            sites.data_centre_names.push(row.name.clone());
            for &key in row.racks.values() {
                rack += 1;
                for &worker in &tables.racks[key].workers {
                    if is_included(&tables.workers[worker]) {
                        sites.workers.push(worker);
                        sites.list.push(Site { data_centre, rack, free: free(worker) });
                    }
                }
            }
        }
        sites
    }

    /// Returns the demand of a shape on these sites.
    pub(crate) fn demand(&self, shape: Shape, data_centres: &[Name]) -> Demand {
        let index_of = |name| self.data_centre_names.iter().position(|known| known == name);
        let allowed: SmallVec<[u32; 4]> =
            data_centres.iter().filter_map(index_of).map(|index| index as u32).collect();
        Demand { shape, allowed: (!data_centres.is_empty()).then_some(allowed) }
    }

    /// Returns the demand of a guarantee on these sites.
    pub(crate) fn guarantee_demand(&self, tables: &Tables, guarantee: key::Guarantee) -> Demand {
        let row = &tables.guarantees[guarantee];
        self.demand(row.shape, &row.data_centres)
    }

    /// Returns the workers and numbers of members of a packing.
    pub(crate) fn placements(&self, loads: &Loads) -> Placements {
        loads
            .iter()
            .map(|load| Placement { worker: self.workers[load.site], members: load.members })
            .collect()
    }

    /// Returns why a shape fits on none of these sites, even without any other job; `None` if it
    /// fits.
    pub(crate) fn explain_impossible(&self, shape: Shape, data_centres: &[Name]) -> Option<Reason> {
        if 0 < shape.members && shape.member() == Resources::default() {
            return self.list.is_empty().then_some(Reason::NoDataCentre);
        }
        guarantee::check_alone(&self.list, &self.demand(shape, data_centres)).err()
    }
}
