//! Data centres as resources.

use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::api;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Operation;
use lavendergauge_wire::config::Standing;
use lavendergauge_wire::config::Zone;

use crate::api as common;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::api_account;
use crate::api_config;
use crate::preview;

/// Lists the data centres, each with the totals of its workers.
pub fn list(call: &Call) -> Reply {
    let document = call.entry.core().document.clone();
    let frames = call.frames();
    let mut data_centres: Vec<api::DataCentre> =
        document.data_centres.iter().map(|zone| describe(zone, &frames)).collect();
    data_centres.sort_by(|one, other| one.name.cmp(&other.name));
    call.page(data_centres, |data_centre| &data_centre.name)
}

/// Shows one data centre.
pub fn show(call: &Call) -> Reply {
    let document = call.entry.core().document.clone();
    let zone = find(&document, call.name(0))?;
    call.at_revision(document.revision, &describe(zone, &call.frames()))
}

/// Creates or replaces a data centre; this also takes it into or out of service.
pub async fn put(call: &Call) -> Reply {
    call.operator()?;
    let zone: Zone = call.decode()?;
    api_account::check_name(&zone.name, call.name(0))?;
    api_config::submit(call, Operation::PutDataCentre { zone }).await
}

/// Removes a data centre.
pub async fn remove(call: &Call) -> Reply {
    call.operator()?;
    let document = call.entry.core().document.clone();
    let name = find(&document, call.name(0))?.name.clone();
    if call.frames().iter().any(|frame| frame.data_centre == name) {
        let text = format!("workers announce themselves from data centre `{name}`");
        return Err(common::conflict("data centre in use", text));
    }
    api_config::submit(call, Operation::RemoveDataCentre { name }).await
}

fn find<'a>(document: &'a Document, name: &str) -> Result<&'a Zone, Refusal> {
    let zone = document.data_centres.iter().find(|zone| zone.name == name);
    zone.ok_or_else(|| common::not_found("data centre", name))
}

fn describe(zone: &Zone, frames: &[Frame]) -> api::DataCentre {
    let mut data_centre = api::DataCentre {
        name: zone.name.clone(),
        region: zone.region.clone(),
        standing: match zone.standing {
            Standing::In => api::Standing::In,
            Standing::Out => api::Standing::Out,
        },
        workers: 0,
        accelerators: 0,
        free_accelerators: 0,
        tasks: 0,
        requests: 0,
    };
    for frame in frames.iter().filter(|frame| frame.data_centre == zone.name) {
        let tasks = frame.tasks.iter().filter(|task| preview::holds_accelerators(task.phase));
        data_centre.workers += 1;
        data_centre.accelerators += u32::from(frame.accelerators);
        data_centre.free_accelerators += preview::free_accelerators(frame) as u32;
        data_centre.tasks += tasks.count() as u32;
        data_centre.requests += frame.load.slots_used;
    }
    data_centre
}
