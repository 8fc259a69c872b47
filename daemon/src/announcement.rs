//! Handles workers' announcements at an entry.
//!
//! The reply grants a start permit, extends the leases of running gangs and lists the entries that
//! the worker should announce itself to.

use bytes::Bytes;
use hyper::Response;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang::MemberId;
use lavendergauge_lib::gang_lease::Health;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::permit;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Permit;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::announce::Renewal;
use lavendergauge_wire::announce::Reply;
use lavendergauge_wire::codec;

use crate::clock;
use crate::config;
use crate::entry::Core;
use crate::entry::Entry;
use crate::problem;

/// Answers an announcement and records it.
pub fn answer(entry: &Entry, body: &Bytes) -> Response<Body> {
    let frame: Frame = match codec::unpack(body) {
        Ok(frame) => frame,
        Err(error) => return problem::bad_input("body", error.to_string()),
    };
    let now = clock::now();
    let mut core = entry.core();
    let reply = Reply {
        version: VERSION,
        entry: entry.name.clone(),
        revision: core.document.revision,
        permit: make_permit(&core, now, &frame.data_centre),
        entries: entry_addresses(entry, &core),
        renewals: Vec::new(),
        settled: Vec::new(),
    };
    let reply = apply_tasks(&mut core, now, &frame, reply);
    core.workers.apply(now, frame);
    drop(core);
    Response::new(body::full(codec::pack(&reply).unwrap_or_default()))
}

/// Makes a start permit for a data centre.
///
/// `None` if work must not start there, if a change to the data centre is in doubt, or if the
/// configuration was read too long ago.
fn make_permit(core: &Core, now: Millis, data_centre: &str) -> Option<Permit> {
    if !config::is_open(&core.document, data_centre) {
        return None;
    }
    let basis = core.config_view.basis(now)?;
    if basis.doubtful.contains(&Name::from(data_centre)) {
        return None;
    }
    let remaining = permit::remaining(now, basis.at)?;
    fail::fail_point!("permit_made");
    Some(Permit {
        data_centre: data_centre.to_owned(),
        revision: core.document.revision,
        lasts_ms: remaining.as_millis() as u64,
    })
}

/// Returns the addresses of the entries that a worker should announce itself to.
///
/// These are the entries listed in the configuration and this entry, unless it is shutting down.
fn entry_addresses(entry: &Entry, core: &Core) -> Vec<String> {
    let writers = core.config_view.envelope().into_iter().flat_map(|envelope| &envelope.writers);
    let mut addresses: Vec<String> = writers.map(|writer| writer.address.clone()).collect();
    if !addresses.contains(&entry.control_address) && !core.is_leaving {
        addresses.push(entry.control_address.clone());
    }
    addresses
}

/// Records the announced gang members and adds to the reply what concerns them.
///
/// A running member's lease is extended while every member of its gang is known to run or to have
/// completed. Members whose end is on record are listed in `settled`.
fn apply_tasks(core: &mut Core, now: Millis, frame: &Frame, mut reply: Reply) -> Reply {
    for task in &frame.tasks {
        let member_id =
            MemberId { job: Name::from(&task.job), attempt: task.attempt, member: task.member };
        let health = match task.phase {
            Phase::Running | Phase::Done => Health::Good,
            _ => Health::Bad,
        };
        core.gangs.record(now, &member_id, task.members, health);
        let is_running = task.phase == Phase::Running;
        if let Some(remaining) = core.gangs.remaining(now, &member_id).filter(|_| is_running) {
            reply.renewals.push(Renewal {
                job: task.job.clone(),
                attempt: task.attempt,
                member: task.member,
                lasts_ms: remaining.as_millis() as u64,
            });
        }
        if core.recorded_ends.contains(&(member_id.job, member_id.attempt)) {
            reply.settled.push(format!("{}/{}/{}", task.job, task.attempt, task.member));
        }
    }
    reply
}
