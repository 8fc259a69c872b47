//! Stand-in for the platform's service that lists machines and takes them down for upkeep, where
//! `require_fence` is false.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_stand_in::Server;
use lavendergauge_stand_in::answer_text;
use lavendergauge_stand_in::serve;
use serde_json::Value;
use serde_json::json;

use crate::record::Record;

/// `upkeep_s` of a small deployment.
const UPKEEP: Duration = Duration::from_secs(2);

/// An order for the upkeep of a machine, as received.
#[derive(Clone, Debug)]
pub struct Order {
    /// Name of the machine.
    pub machine: String,
    /// Name of the process that gave it.
    pub holder: String,
    /// Its fence number.
    pub fence: u64,
}

/// The stand-in.
pub struct Cloud {
    names: Vec<String>,
    /// When the upkeep of each machine began, by wave and name.
    begun: Mutex<BTreeMap<(u64, String), Instant>>,
    orders: Mutex<Vec<Order>>,
    record: Record,
}

impl Cloud {
    /// Starts the service with machines of these names.
    pub async fn start(names: &[&str], record: &Record) -> (Arc<Cloud>, Server) {
        let cloud = Arc::new(Cloud {
            names: names.iter().map(|name| (*name).to_owned()).collect(),
            begun: Mutex::default(),
            orders: Mutex::default(),
            record: record.clone(),
        });
        let shared = cloud.clone();
        let server = serve(Arc::new(move |request, _| {
            let cloud = shared.clone();
            Box::pin(async move { cloud.handle(request).await })
        }))
        .await;
        (cloud, server)
    }

    /// Returns the orders received so far.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().expect("the orders").clone()
    }

    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/machines") => answer_text(200, self.list().to_string()),
            (&Method::POST, "/machine-upkeep") => {
                let (holder, fence) = (header("X-Lease-Holder"), header("X-Fencing-Token"));
                let bytes = body::collect(request.into_body(), 4096).await.unwrap_or_default();
                let order: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
                let machine = order["machine"].as_str().unwrap_or_default().to_owned();
                let wave = order["wave"].as_u64().unwrap_or_default();
                let fence = fence.parse().unwrap_or_default();
                let (status, what) = self.carry_out(wave, &machine);
                self.record.line(&format!(
                    "platform: upkeep of {machine} ordered by {holder} with fence {fence} -> \
                     {status} {what}"
                ));
                self.orders.lock().expect("the orders").push(Order { machine, holder, fence });
                answer_text(status, "{}")
            }
            _ => answer_text(404, "{}"),
        }
    }

    fn list(&self) -> Value {
        let begun = self.begun.lock().expect("the machines");
        let is_away = |name: &String| {
            begun.iter().any(|((_, known), at)| known == name && at.elapsed() < UPKEEP)
        };
        let row = |name: &String| {
            json!({"machine": name, "pool": "sim",
                "state": if is_away(name) { "upkeep" } else { "up" }, "zone": "kigali-hub",
                "labels": ["a", "r-9"], "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 8},
                "id": ""})
        };
        json!({"machines": self.names.iter().map(row).collect::<Vec<Value>>(), "next_token": ""})
    }

    fn carry_out(&self, wave: u64, machine: &str) -> (u16, &'static str) {
        if !self.names.iter().any(|name| name == machine) {
            return (400, "no such machine");
        }
        let mut begun = self.begun.lock().expect("the machines");
        let key = (wave, machine.to_owned());
        if begun.contains_key(&key) {
            return (200, "already done");
        }
        begun.insert(key, Instant::now());
        (200, "begins")
    }
}
