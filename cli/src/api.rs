//! Calls to an entry's administration API.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use lavendergauge_net::body;
use lavendergauge_net::client::Client;
use lavendergauge_wire::codec;
use lavendergauge_wire::problem::Detail;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::REFUSED;
use crate::error::UNREACHABLE;

/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(10);

/// A client of one entry.
#[derive(Clone, Debug)]
pub struct Api {
    address: String,
    client: Client,
}

impl Api {
    /// Makes a client of the entry at a control address.
    ///
    /// ```no_run
    /// let _api = lavendergauge_cli::api::Api::new("127.0.0.1:7001".to_owned());
    /// ```
    pub fn new(address: String) -> Self {
        Api { address, client: Client::default() }
    }

    /// Reads a resource.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn read<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts a value and reads the answer.
    ///
    /// # Errors
    /// When no entry can be reached, or it refuses.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        value: &Q,
    ) -> Result<A, Error> {
        self.call(Method::POST, path, codec::to_json(value).map_err(malformed)?).await
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
    ) -> Result<A, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(body::full(bytes))
            .map_err(|error| refused(error.to_string()))?;
        let answer = self.client.fetch(request, DEADLINE).await.map_err(|error| Error {
            text: format!("no entry answers at {}: {error}", self.address),
            hint: "name another entry's control address with --entry".to_owned(),
            code: UNREACHABLE,
        })?;
        if answer.status().is_success() {
            return codec::from_json(answer.body()).map_err(malformed);
        }
        match codec::from_json::<Detail>(answer.body()) {
            Ok(detail) => Err(Error { text: detail.detail, hint: detail.hint, code: REFUSED }),
            Err(_) => Err(refused(format!("the entry answered with status {}", answer.status()))),
        }
    }
}

fn refused(text: String) -> Error {
    Error { text, hint: String::new(), code: REFUSED }
}

fn malformed(error: codec::Error) -> Error {
    refused(error.to_string())
}
