//! The gateway of one process to the key-value service: budget, backoff, deadlines and metrics.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use lavendergauge_lib::backoff::Backoff;
use lavendergauge_lib::budget::Budget;
use lavendergauge_lib::budget::Class;
use lavendergauge_net::body;
use lavendergauge_net::body::Body;
use lavendergauge_net::client::Client;
use lavendergauge_net::client::Options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use tokio::time;

use crate::clock;
use crate::store::Error;

/// Maximum number of connections to the store.
const CONNECTIONS: usize = 64;
/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Deadline of a call about the configuration, well below the validity of a permit.
const CONFIG_DEADLINE: Duration = Duration::from_secs(1);
/// Longest wait for the budget before a call fails unsent.
const BUDGET_WAIT: Duration = Duration::from_millis(500);
/// Budget of one process for reads: calls per second, and burst.
const READ_BUDGET: (u32, u32) = (150, 150);
/// Budget of one process for writes: calls per second, and burst.
const WRITE_BUDGET: (u32, u32) = (40, 60);

/// Kind of a call, which decides the budget it counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Reads.
    Read,
    /// Writes, or keeps a lease alive.
    Write,
}

#[derive(Debug)]
struct State {
    reads: Budget,
    writes: Budget,
    backoff: Backoff,
    rng: SmallRng,
}

/// Access to the service, shared by every part of the process.
#[derive(Debug)]
pub(crate) struct Gateway {
    address: String,
    client: Client,
    state: Mutex<State>,
}

impl Gateway {
    pub(crate) fn new(address: String) -> Self {
        let state = State {
            reads: Budget::new(READ_BUDGET.0, READ_BUDGET.1),
            writes: Budget::new(WRITE_BUDGET.0, WRITE_BUDGET.1),
            backoff: Backoff::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        };
        let options = Options { connections: CONNECTIONS, ..Options::default() };
        Gateway { address, client: Client::new(options), state: Mutex::new(state) }
    }

    /// Makes one call and decodes its answer.
    pub(crate) async fn call(
        &self,
        kind: Kind,
        class: Class,
        path: &str,
        body: &Value,
    ) -> Result<Value, Error> {
        self.admit(kind, class).await?;
        let outcome = self.fetch(class, path, body).await;
        self.record_outcome(class, path, outcome.is_ok());
        outcome
    }

    /// Opens a stream of answers; the deadline covers only the head of the response.
    pub(crate) async fn open(
        &self,
        class: Class,
        path: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, Error> {
        self.admit(Kind::Read, class).await?;
        let outcome = self.client.send(self.make_request(path, body)?, CONFIG_DEADLINE).await;
        self.record_outcome(class, path, outcome.is_ok());
        let response = outcome?;
        if !response.status().is_success() {
            return Err(Error::Status(response.status().as_u16()));
        }
        Ok(response)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits for the budget and checks the backoff, which does not apply to the configuration.
    async fn admit(&self, kind: Kind, class: Class) -> Result<(), Error> {
        let started = clock::now();
        loop {
            let now = clock::now();
            let admission = {
                let mut state = self.lock();
                if class != Class::Configuration {
                    state.backoff.enter(now).map_err(Error::Held)?;
                }
                match kind {
                    Kind::Read => state.reads.take(now, class),
                    Kind::Write => state.writes.take(now, class),
                }
            };
            let Err(wait) = admission else { return Ok(()) };
            if BUDGET_WAIT < now.since(started) + wait {
                metrics::counter!("store_held", "class" => class.label()).increment(1);
                return Err(Error::Held(wait));
            }
            time::sleep(wait).await;
        }
    }

    /// Counts a finished call and updates the backoff.
    fn record_outcome(&self, class: Class, path: &str, succeeded: bool) {
        let outcome = if succeeded { "good" } else { "failed" };
        let labels = [
            ("call", path.to_owned()),
            ("class", class.label().to_owned()),
            ("outcome", outcome.to_owned()),
        ];
        metrics::counter!("store_calls", &labels).increment(1);
        let now = clock::now();
        let mut state = self.lock();
        let state = &mut *state;
        if succeeded {
            state.backoff.succeed();
        } else {
            state.backoff.fail(now, &mut state.rng);
        }
    }

    fn make_request(&self, path: &str, body: &Value) -> Result<Request<Body>, Error> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .body(body::full(body.to_string()))
            .map_err(|error| Error::Malformed(error.to_string()))
    }

    async fn fetch(&self, class: Class, path: &str, body: &Value) -> Result<Value, Error> {
        let deadline = if class == Class::Configuration { CONFIG_DEADLINE } else { DEADLINE };
        let response = self.client.fetch(self.make_request(path, body)?, deadline).await?;
        if !response.status().is_success() {
            return Err(Error::Status(response.status().as_u16()));
        }
        serde_json::from_slice(response.body()).map_err(|error| Error::Malformed(error.to_string()))
    }
}
