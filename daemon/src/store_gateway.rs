//! One process's way to the key-value service: budget, backoff, deadline and counts.

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
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use tokio::time;

use crate::clock;
use crate::store::Error;

/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Deadline of a call about the configuration, well within a permit.
const CONFIG_DEADLINE: Duration = Duration::from_secs(1);
/// Longest wait for a place in the budget.
const BUDGET_WAIT: Duration = Duration::from_millis(500);
/// Reads that one process makes a second, and at once.
const READS: (u32, u32) = (150, 150);
/// Writes that one process makes a second, and at once.
const WRITES: (u32, u32) = (40, 60);

/// What a call does to the service.
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

/// The way to the service, shared by every part of the process.
#[derive(Debug)]
pub(crate) struct Gateway {
    address: String,
    client: Client,
    state: Mutex<State>,
}

impl Gateway {
    pub(crate) fn new(address: String) -> Self {
        let state = State {
            reads: Budget::new(READS.0, READS.1),
            writes: Budget::new(WRITES.0, WRITES.1),
            backoff: Backoff::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        };
        Gateway { address, client: Client::default(), state: Mutex::new(state) }
    }

    /// Makes one call and decodes its answer.
    pub(crate) async fn call(
        &self,
        kind: Kind,
        class: Class,
        path: &str,
        body: &Value,
    ) -> Result<Value, Error> {
        self.enter(kind, class).await?;
        let outcome = self.fetch(class, path, body).await;
        self.leave(class, path, outcome.is_ok());
        outcome
    }

    /// Opens a stream of answers; the deadline is for its head alone.
    pub(crate) async fn open(
        &self,
        class: Class,
        path: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, Error> {
        self.enter(Kind::Read, class).await?;
        let outcome = self.client.send(self.request(path, body)?, CONFIG_DEADLINE).await;
        self.leave(class, path, outcome.is_ok());
        let response = outcome?;
        if !response.status().is_success() {
            return Err(Error::Status(response.status().as_u16()));
        }
        Ok(response)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits for a place in the budget; the configuration is never held back by failures.
    async fn enter(&self, kind: Kind, class: Class) -> Result<(), Error> {
        let begun = clock::now();
        loop {
            let now = clock::now();
            let place = {
                let mut state = self.lock();
                if class != Class::Configuration {
                    state.backoff.enter(now).map_err(Error::Held)?;
                }
                match kind {
                    Kind::Read => state.reads.take(now, class),
                    Kind::Write => state.writes.take(now, class),
                }
            };
            let Err(wait) = place else { return Ok(()) };
            if BUDGET_WAIT < now.since(begun) + wait {
                metrics::counter!("store_held", "class" => class.label()).increment(1);
                return Err(Error::Held(wait));
            }
            time::sleep(wait).await;
        }
    }

    fn leave(&self, class: Class, path: &str, good: bool) {
        let outcome = if good { "good" } else { "failed" };
        let labels = [
            ("call", path.to_owned()),
            ("class", class.label().to_owned()),
            ("outcome", outcome.to_owned()),
        ];
        metrics::counter!("store_calls", &labels).increment(1);
        let now = clock::now();
        let mut state = self.lock();
        let state = &mut *state;
        if good {
            state.backoff.succeed();
        } else {
            state.backoff.fail(now, &mut state.rng);
        }
    }

    fn request(&self, path: &str, body: &Value) -> Result<Request<Body>, Error> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .body(body::full(body.to_string()))
            .map_err(|error| Error::Malformed(error.to_string()))
    }

    async fn fetch(&self, class: Class, path: &str, body: &Value) -> Result<Value, Error> {
        let deadline = if class == Class::Configuration { CONFIG_DEADLINE } else { DEADLINE };
        let response = self.client.fetch(self.request(path, body)?, deadline).await?;
        if !response.status().is_success() {
            return Err(Error::Status(response.status().as_u16()));
        }
        serde_json::from_slice(response.body()).map_err(|error| Error::Malformed(error.to_string()))
    }
}
