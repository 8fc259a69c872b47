//! The embedded default: entry, agents, targets and a stand-in platform in one process.
//!
//! Everything talks over loopback HTTP by the same code as separate processes do.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use lavendergauge_fakes::http::Server;
use lavendergauge_fakes::kv::Kv;
use lavendergauge_fakes::runtime::Runtime;
use lavendergauge_fakes::target::Target;
use lavendergauge_net::body;
use lavendergauge_net::client;
use lavendergauge_net::client::Client;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::codec;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::agent;
use crate::entry;
use crate::entry_service::ACCOUNT_HEADER;
use crate::entry_service::KEY_HEADER;
use crate::settings;
use crate::settings::Role;
use crate::settings::Settings;

/// Data centres of the tour.
const DATA_CENTRES: [&str; 2] = ["zilina-1", "zilina-2"];
/// Workers in each data centre, all in one rack.
const WORKERS: usize = 2;
/// Accelerators of each worker.
const ACCELERATORS: u32 = 8;
/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(10);
/// Bound on each step of the tour.
const STEP_LIMIT: Duration = Duration::from_secs(10);
/// Time in which a claimed guarantee starts.
const URGENT: Duration = Duration::from_millis(3300);
/// Time after which nothing starts in a data centre that was taken out.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// Why the tour broke off.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call failed.
    #[error("a call failed: {0}")]
    Call(#[from] client::Error),
    /// A body was not what it should be.
    #[error("{0}")]
    Codec(#[from] codec::Error),
    /// A socket could not be had.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// A promise was broken.
    #[error("promise broken: {0}")]
    Broken(String),
}

/// One worker of the tour with its stand-ins.
struct Worker {
    name: String,
    data_centre: &'static str,
    handle: agent::Handle,
    runtime: Runtime,
    target: Target,
    _servers: [Server; 2],
}

/// The whole system in one process.
struct Tour {
    entry: entry::Handle,
    workers: Vec<Worker>,
    client: Client,
    _store: Server,
}

/// Runs the tour and prints what each caller learnt.
///
/// # Errors
/// [`Error::Broken`] when a promise was broken; otherwise what kept the tour from going on.
pub async fn run() -> Result<(), Error> {
    let tour = start().await?;
    tour.configure().await?;
    tour.requests().await?;
    let (first, second) = tour.gangs().await?;
    tour.reclaim(&first).await?;
    tour.data_centre_out(&second).await?;
    tour.stop().await
}

fn parse(text: &str) -> Result<Settings, Error> {
    settings::parse(text).map_err(|faults| Error::Broken(format!("{faults:?}")))
}

async fn start() -> Result<Tour, Error> {
    let kv = Kv::default();
    let store = kv.serve().await;
    let settings = parse(&format!(
        "[process]\nrole = entry\nname = entry-1\ndata_centre = {}\n\
         [entry]\nservice_address = 127.0.0.1:0\ncontrol_address = 127.0.0.1:0\ntick_ms = 100\n\
         [store]\naddress = {}\n",
        DATA_CENTRES[0],
        store.address()
    ))?;
    let Role::Entry(role) = &settings.role else {
        return Err(Error::Broken("not an entry".to_owned()));
    };
    let entry = entry::start(&settings, role).await?;
    let mut workers = Vec::new();
    for data_centre in DATA_CENTRES {
        for index in 0..WORKERS {
            let name = format!("{data_centre}-worker-{index}");
            workers.push(worker(name, data_centre, &entry.control_address.to_string()).await?);
        }
    }
    Ok(Tour { entry, workers, client: Client::default(), _store: store })
}

async fn worker(name: String, data_centre: &'static str, entry: &str) -> Result<Worker, Error> {
    let runtime = Runtime::default();
    let target = Target::default();
    let servers = [runtime.serve().await, target.serve().await];
    let settings = parse(&format!(
        "[process]\nrole = agent\nname = {name}\ndata_centre = {data_centre}\n\
         [agent]\naddress = 127.0.0.1:0\nentries = {entry}\nannounce_ms = 200\n\
         [worker]\nrack = rack-1\naccelerators = {ACCELERATORS}\nprocessors = 64\n\
         memory_mb = 131072\n\
         [target]\naddress = {}\nslots = 8\nconnections = 64\n\
         [runtime]\naddress = {}\n",
        servers[1].address(),
        servers[0].address()
    ))?;
    let Role::Agent(role) = &settings.role else {
        return Err(Error::Broken("not an agent".to_owned()));
    };
    let handle = agent::start(&settings, role).await?;
    Ok(Worker { name, data_centre, handle, runtime, target, _servers: servers })
}

fn ensure(holds: bool, promise: &str) -> Result<(), Error> {
    if holds { Ok(()) } else { Err(Error::Broken(promise.to_owned())) }
}

impl Tour {
    async fn api(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Response<bytes::Bytes>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry.control_address))
            .body(body::full(body.to_string()))
            .map_err(|error| client::Error::Malformed(error.to_string()))?;
        Ok(self.client.fetch(request, DEADLINE).await?)
    }

    async fn change(&self, id: &str, operations: Value) -> Result<Document, Error> {
        let answer = self.api(Method::GET, "/v1/config", &Value::Null).await?;
        let document: Document = codec::from_json(answer.body())?;
        let change = json!({"id": id, "base": document.revision, "operations": operations});
        let answer = self.api(Method::POST, "/v1/config/changes", &change).await?;
        Ok(codec::from_json(answer.body())?)
    }

    async fn submit(&self, spec: Value) -> Result<String, Error> {
        let answer = self.api(Method::POST, "/v1/jobs", &spec).await?;
        let record: Record = codec::from_json(answer.body())?;
        Ok(record.id)
    }

    async fn job(&self, id: &str) -> Result<Record, Error> {
        let answer = self.api(Method::GET, &format!("/v1/jobs/{id}"), &Value::Null).await?;
        Ok(codec::from_json(answer.body())?)
    }

    /// Waits until a job satisfies a condition.
    async fn wait(&self, id: &str, holds: impl Fn(&Record) -> bool) -> Result<Record, Error> {
        let begun = Instant::now();
        loop {
            let record = self.job(id).await?;
            if holds(&record) {
                return Ok(record);
            }
            if STEP_LIMIT <= begun.elapsed() {
                return Err(Error::Broken(format!("job {id} is still {}", record.state)));
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn configure(&self) -> Result<(), Error> {
        let account = |name: &str, guarantees: Value| {
            json!({"op": "put-account", "account": {"name": name, "quota": 0, "weight": 1,
                "guarantees": guarantees, "keys": []}})
        };
        let guarantee = json!([{"name": "sweep", "accelerators": 8, "adjacency": "worker",
            "data_centres": []}]);
        let mut operations = vec![account("vrbovec", guarantee), account("brno", json!([]))];
        for name in DATA_CENTRES {
            operations.push(json!({"op": "put-data-centre",
                "zone": {"name": name, "region": "zilina", "standing": "in"}}));
        }
        let document = self.change("tour-1", json!(operations)).await?;
        println!("config: revision {} accepted", document.revision);
        let begun = Instant::now();
        loop {
            let answer = self.api(Method::GET, "/v1/workers", &Value::Null).await?;
            let frames: Vec<Frame> = codec::from_json(answer.body())?;
            let current = frames.iter().filter(|frame| document.revision <= frame.revision);
            if current.count() == self.workers.len() {
                println!("config: in force on {} workers", frames.len());
                return Ok(());
            }
            ensure(begun.elapsed() < STEP_LIMIT, "a configuration is in force within seconds")?;
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn request(&self, key: &str) -> Result<(u16, String), Error> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/check", self.entry.service_address))
            .header(ACCOUNT_HEADER, "vrbovec")
            .header(KEY_HEADER, key)
            .body(body::full(format!("noise check {key}")))
            .map_err(|error| client::Error::Malformed(error.to_string()))?;
        let answer = self.client.fetch(request, DEADLINE).await?;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        Ok((answer.status().as_u16(), text))
    }

    async fn requests(&self) -> Result<(), Error> {
        for index in 0..10 {
            let key = format!("tour-request-{index}");
            let (status, text) = self.request(&key).await?;
            println!("request {key}: {status} {text}");
            ensure(status == 200, "a request is answered")?;
            ensure(text == format!("/check noise check {key}"), "the answer is the request's own")?;
        }
        let mut executions = std::collections::HashMap::new();
        for worker in &self.workers {
            for (key, count) in worker.target.executions() {
                *executions.entry(key).or_insert(0) += count;
            }
        }
        ensure(executions.values().all(|&count| count == 1), "each key is executed once")
    }

    async fn gangs(&self) -> Result<(String, String), Error> {
        let spec = |members: u32| {
            json!({"account": "brno", "members": members, "accelerators": 8,
                "adjacency": "rack", "class": "ordinary", "checkpoints": true})
        };
        let first = self.submit(spec(2)).await?;
        let second = self.submit(spec(2)).await?;
        for id in [&first, &second] {
            let record = self.wait(id, |record| record.state == State::Running).await?;
            let workers: Vec<&str> = record.seats.iter().map(|seat| seat.worker.as_str()).collect();
            println!("gang {id}: runs on {}", workers.join(" and "));
        }
        Ok((first, second))
    }

    /// The guarantee's owner claims it while borrowers fill the fleet.
    async fn reclaim(&self, borrower: &str) -> Result<(), Error> {
        let begun = Instant::now();
        let spec = json!({"account": "vrbovec", "members": 1, "accelerators": 8,
            "adjacency": "worker", "class": "urgent", "guarantee": "sweep",
            "payload": "run_ms=1500"});
        let claim = self.submit(spec).await?;
        self.wait(&claim, |record| record.state == State::Running).await?;
        let took = begun.elapsed();
        println!("guarantee: claimed by {claim}, runs after {} ms", took.as_millis());
        ensure(took <= URGENT, "a claimed guarantee starts within 3.3 s")?;
        self.wait(&claim, |record| record.state == State::Done).await?;
        println!("guarantee: {claim} is done, its accelerators go back");
        self.wait(borrower, |record| record.state == State::Running).await?;
        println!("gang {borrower}: runs again");
        Ok(())
    }

    async fn data_centre_out(&self, gang: &str) -> Result<(), Error> {
        let standing = |standing: &str| {
            json!([{"op": "put-data-centre", "zone": {"name": DATA_CENTRES[1],
                "region": "zilina", "standing": standing}}])
        };
        self.change("tour-out", standing("out")).await?;
        time::sleep(OUT_GRACE).await;
        let before = self.executions(DATA_CENTRES[1]);
        for index in 0..10 {
            let (status, _) = self.request(&format!("tour-out-{index}")).await?;
            ensure(status == 200, "requests go on in the other data centre")?;
        }
        ensure(
            before == self.executions(DATA_CENTRES[1]),
            "nothing starts in a closed data centre",
        )?;
        println!("data centre {}: out, and nothing started there", DATA_CENTRES[1]);
        self.change("tour-in", standing("in")).await?;
        self.wait(gang, |record| record.state == State::Running).await?;
        println!("data centre {}: in again, gang {gang} runs", DATA_CENTRES[1]);
        Ok(())
    }

    /// Counts what was executed in a data centre.
    fn executions(&self, data_centre: &str) -> usize {
        let workers = self.workers.iter().filter(|worker| worker.data_centre == data_centre);
        workers
            .map(|worker| worker.runtime.executions().len() + worker.target.executions().len())
            .sum()
    }

    async fn stop(mut self) -> Result<(), Error> {
        let Some(worker) = self.workers.pop() else { return Ok(()) };
        worker.handle.stop().await;
        println!("worker {}: stopped gracefully", worker.name);
        let (status, _) = self.request("tour-after-stop").await?;
        ensure(status == 200, "a stopped target cuts off no request")?;
        for worker in self.workers {
            worker.handle.stop().await;
        }
        self.entry.stop().await;
        println!("tour: every promise held");
        Ok(())
    }
}
