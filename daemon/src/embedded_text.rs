//! What an embedded fleet's processes are given: settings files and configuration changes.

use lavendergauge_derive::value;
use serde_json::Value;
use serde_json::json;

use crate::embedded::Plan;

/// Where one worker stands and what its agent talks to.
#[value]
pub struct Place {
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

/// Writes the settings file of an entry on free loopback ports.
///
/// ```
/// use lavendergauge_daemon::embedded;
/// use lavendergauge_daemon::embedded::Plan;
/// use lavendergauge_daemon::settings;
/// let text = embedded::entry_text(&Plan::default(), "entry-1", "zilina-1", "127.0.0.1:2379");
/// assert!(settings::parse(&text).is_ok());
/// ```
pub fn entry_text(plan: &Plan, name: &str, data_centre: &str, store: &str) -> String {
    format!(
        "[process]\nrole = entry\nname = {name}\ndata_centre = {data_centre}\n{}\n\
         [entry]\nservice_address = 127.0.0.1:{}\ncontrol_address = 127.0.0.1:{}\n\
         bootstrap_key_hash = {}\ntick_ms = {}\n[store]\naddress = {store}\n",
        access_text(plan),
        plan.service_port,
        plan.control_port,
        plan.bootstrap_hash,
        plan.tick_ms
    )
}

fn access_text(plan: &Plan) -> String {
    if plan.fleet_key.is_empty() {
        return "open_access = yes".to_owned();
    }
    format!("fleet_key = {}", plan.fleet_key)
}

/// Writes the settings file of an agent on a free loopback port.
///
/// ```
/// use lavendergauge_daemon::embedded;
/// use lavendergauge_daemon::embedded::Place;
/// use lavendergauge_daemon::embedded::Plan;
/// use lavendergauge_daemon::settings;
/// let place = Place {
///     name: "worker-1".to_owned(),
///     data_centre: "zilina-1".to_owned(),
///     rack: "rack-1".to_owned(),
///     entries: vec!["127.0.0.1:7001".to_owned()],
///     target_address: "127.0.0.1:8000".to_owned(),
///     runtime_address: "127.0.0.1:9000".to_owned(),
/// };
/// let text = embedded::agent_text(&Plan::default(), &place);
/// assert!(settings::parse(&text).is_ok());
/// ```
pub fn agent_text(plan: &Plan, place: &Place) -> String {
    format!(
        "[process]\nrole = agent\nname = {}\ndata_centre = {}\n{}\n\
         [agent]\naddress = 127.0.0.1:0\nentries = {}\nannounce_ms = {}\n\
         [worker]\nrack = {}\naccelerators = {}\nprocessors = 64\nmemory_mb = 131072\n\
         [target]\naddress = {}\nslots = {}\nconnections = 64\n[runtime]\naddress = {}\n",
        place.name,
        place.data_centre,
        access_text(plan),
        place.entries.join(","),
        plan.announce_ms,
        place.rack,
        plan.accelerators,
        place.target_address,
        plan.slots,
        place.runtime_address
    )
}

/// Makes the operations that create client accounts and open data centres.
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

/// Makes the operation that takes a data centre `in` or `out`.
///
/// ```
/// let operation = lavendergauge_daemon::embedded::put_data_centre("zilina-1", "out");
/// assert_eq!(operation["zone"]["standing"], "out");
/// ```
pub fn put_data_centre(name: &str, standing: &str) -> Value {
    json!({"op": "put-data-centre",
        "zone": {"name": name, "region": "zilina", "standing": standing}})
}
