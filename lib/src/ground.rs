//! Workers of the tables as sites on which shapes are packed.

use smallvec::SmallVec;

use crate::guarantee;
use crate::guarantee::Reason;
use crate::key;
use crate::name::Name;
use crate::pack::Demand;
use crate::pack::Loads;
use crate::pack::Site;
use crate::room::Room;
use crate::seat;
use crate::shape::Shape;
use crate::table::Spot;
use crate::table::Spots;
use crate::table::Tables;
use crate::table::Worker;

/// Workers as sites, in order of data centre and rack.
pub(crate) struct Ground {
    workers: Vec<key::Worker>,
    centres: Vec<Name>,
    /// The sites, one for each worker.
    pub(crate) sites: Vec<Site>,
}

impl Ground {
    /// Collects the workers that can be counted on, with the room that shapes may take.
    pub(crate) fn usable(tables: &Tables, room: impl Fn(key::Worker) -> Room) -> Ground {
        Ground::collect(tables, |row| seat::usable(tables, row), room)
    }

    /// Collects every worker that is known, also those that are lost or closed, as if empty.
    pub(crate) fn known(tables: &Tables) -> Ground {
        Ground::collect(tables, |_| true, |worker| tables.workers[worker].capacity)
    }

    /// Collects every worker that is present and in an open data centre, as if empty.
    pub(crate) fn present(tables: &Tables) -> Ground {
        let open = |row: &Worker| tables.data_centres[tables.racks[row.rack].data_centre].open;
        let present = |row: &Worker| row.lost.is_none() && open(row);
        Ground::collect(tables, present, |worker| tables.workers[worker].capacity)
    }

    fn collect(
        tables: &Tables,
        counts: impl Fn(&Worker) -> bool,
        room: impl Fn(key::Worker) -> Room,
    ) -> Ground {
        let mut ground = Ground { workers: Vec::new(), centres: Vec::new(), sites: Vec::new() };
        let mut rack = 0;
        for centre in tables.data_centres.values() {
            let data_centre = ground.centres.len() as u32;
            ground.centres.push(centre.name.clone());
            for &key in centre.racks.values() {
                rack += 1;
                for &worker in &tables.racks[key].workers {
                    if counts(&tables.workers[worker]) {
                        ground.workers.push(worker);
                        ground.sites.push(Site { data_centre, rack, room: room(worker) });
                    }
                }
            }
        }
        ground
    }

    /// Returns a shape as something to be packed here.
    pub(crate) fn demand(&self, shape: Shape, data_centres: &[Name]) -> Demand {
        let number = |name| self.centres.iter().position(|centre| centre == name);
        let allowed: SmallVec<[u32; 4]> =
            data_centres.iter().filter_map(number).map(|index| index as u32).collect();
        Demand { shape, allowed: (!data_centres.is_empty()).then_some(allowed) }
    }

    /// Returns a guarantee's shape as something to be packed here.
    pub(crate) fn guaranteed(&self, tables: &Tables, guarantee: key::Guarantee) -> Demand {
        let row = &tables.guarantees[guarantee];
        self.demand(row.shape, &row.data_centres)
    }

    /// Returns the workers of packed members.
    pub(crate) fn spots(&self, loads: &Loads) -> Spots {
        loads
            .iter()
            .map(|load| Spot { worker: self.workers[load.site], members: load.members })
            .collect()
    }

    /// Says why a job's shape fits nowhere here, even without any other job.
    pub(crate) fn impossible(&self, shape: Shape, data_centres: &[Name]) -> Option<Reason> {
        if 0 < shape.members && shape.member() == Room::default() {
            return self.sites.is_empty().then_some(Reason::NoDataCentre);
        }
        guarantee::alone(&self.sites, &self.demand(shape, data_centres)).err()
    }
}
