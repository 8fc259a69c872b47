//! Texts for an embedded fleet: settings files of its processes and operations that change its
//! configuration.

use lavendergauge_derive::value;
use serde_json::Value;
use serde_json::json;

use crate::embedded::FleetSpec;

/// Location of a worker and the addresses that its agent connects to.
#[value]
pub struct AgentSite {
    /// Name of the worker.
    pub name: String,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Rack of the worker.
    pub rack: String,
    /// Control addresses of the entries.
    pub entries: Vec<String>,
    /// Address of the target.
    pub target_address: String,
    /// Address of the worker runtime.
    pub runtime_address: String,
}

/// Returns the text of an entry's settings file, with loopback addresses on the ports of
/// `fleet_spec`.
///
/// ```
/// use lavendergauge_daemon::embedded;
/// use lavendergauge_daemon::embedded::FleetSpec;
/// use lavendergauge_daemon::settings;
/// let text = embedded::entry_text(&FleetSpec::default(), "entry-1", "zilina-1", "127.0.0.1:2379");
/// assert!(settings::parse(&text).is_ok());
/// ```
pub fn entry_text(fleet_spec: &FleetSpec, name: &str, data_centre: &str, store: &str) -> String {
    format!(
        "[process]\nrole = entry\nname = {name}\ndata_centre = {data_centre}\n{}\n\
         [entry]\nservice_address = 127.0.0.1:{}\ncontrol_address = 127.0.0.1:{}\n\
         bootstrap_key_hash = {}\ntick_ms = {}\n[store]\naddress = {store}\n",
        access_line(fleet_spec),
        fleet_spec.service_port,
        fleet_spec.control_port,
        fleet_spec.bootstrap_hash,
        fleet_spec.tick_ms
    )
}

/// Returns the line of `[process]` with the fleet's key, or the one for a process without keys.
fn access_line(fleet_spec: &FleetSpec) -> String {
    if fleet_spec.fleet_key.is_empty() {
        return "open_access = yes".to_owned();
    }
    format!("fleet_key = {}", fleet_spec.fleet_key)
}

/// Returns the text of an agent's settings file, with a loopback address on a free port.
///
/// ```
/// use lavendergauge_daemon::embedded;
/// use lavendergauge_daemon::embedded::AgentSite;
/// use lavendergauge_daemon::embedded::FleetSpec;
/// use lavendergauge_daemon::settings;
/// let site = AgentSite {
///     name: "worker-1".to_owned(),
///     data_centre: "zilina-1".to_owned(),
///     rack: "rack-1".to_owned(),
///     entries: vec!["127.0.0.1:7001".to_owned()],
///     target_address: "127.0.0.1:8000".to_owned(),
///     runtime_address: "127.0.0.1:9000".to_owned(),
/// };
/// let text = embedded::agent_text(&FleetSpec::default(), &site);
/// assert!(settings::parse(&text).is_ok());
/// ```
pub fn agent_text(fleet_spec: &FleetSpec, site: &AgentSite) -> String {
    format!(
        "[process]\nrole = agent\nname = {}\ndata_centre = {}\n{}\n\
         [agent]\naddress = 127.0.0.1:0\nentries = {}\nannounce_ms = {}\n\
         [worker]\nrack = {}\naccelerators = {}\nprocessors = 64\nmemory_mb = 131072\n\
         [target]\naddress = {}\nslots = {}\nconnections = 64\n[runtime]\naddress = {}\n",
        site.name,
        site.data_centre,
        access_line(fleet_spec),
        site.entries.join(","),
        fleet_spec.announce_ms,
        site.rack,
        fleet_spec.accelerators,
        site.target_address,
        fleet_spec.slots,
        site.runtime_address
    )
}

/// Returns the operations that create client accounts, given as name and guarantees, and take data
/// centres in.
///
/// ```
/// use lavendergauge_daemon::embedded;
/// let operations = embedded::set_up(&[("brno", serde_json::json!([]))], &["zilina-1"]);
/// assert_eq!(operations.as_array().map(Vec::len), Some(2));
/// ```
pub fn set_up(accounts: &[(&str, Value)], data_centres: &[&str]) -> Value {
    let mut operations = Vec::new();
    for (name, guarantees) in accounts {
        operations.push(json!({"op": "put-account", "account": {"name": name, "quota": 0,
            "weight": 1, "guarantees": guarantees, "keys": []}}));
    }
    for name in data_centres {
        operations.push(put_data_centre(name, "in"));
    }
    Value::from(operations)
}

/// Returns the operation that takes a data centre in or out; `standing` is `in` or `out`.
///
/// ```
/// let operation = lavendergauge_daemon::embedded::put_data_centre("zilina-1", "out");
/// assert_eq!(operation["zone"]["standing"], "out");
/// ```
pub fn put_data_centre(name: &str, standing: &str) -> Value {
    json!({"op": "put-data-centre",
        "zone": {"name": name, "region": "zilina", "standing": standing}})
}
