//! A watch on one key of the key-value service.

use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lavendergauge_derive::value;
use lavendergauge_lib::budget::Class;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::store::Error;
use crate::store::Item;
use crate::store::Store;
use crate::store::encode;
use crate::store::item;
use crate::store::number;

/// Largest size of one batch of changes, in bytes.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// A change of one key, as a watch reports it.
#[value]
pub enum Change {
    /// The key has a new value.
    Put(Item),
    /// The key was deleted, at this store revision.
    Deleted(String, i64),
}

/// An open watch; it counts as one call, however long it is open.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffer: BytesMut,
}

impl Store {
    /// Opens a watch on one key, starting at the store revision `start`; 0 means from now on.
    ///
    /// # Errors
    /// When the store gives no usable answer.
    pub async fn watch(&self, key: &str, start: i64) -> Result<Watch, Error> {
        let request = json!({"create_request": {
            "key": encode(key), "start_revision": start.to_string()}});
        let response = self.gateway().open(Class::of(key), "/v3/watch", &request).await?;
        Ok(Watch { body: response.into_body(), buffer: BytesMut::new() })
    }
}

impl Watch {
    /// Waits at most `limit` for the next batch of changes.
    ///
    /// The batch is empty when nothing came in this time, or when the service only sent a progress
    /// message.
    ///
    /// # Errors
    /// When the watch has ended, was cancelled, or sent a malformed batch; it is unusable then.
    pub async fn next(&mut self, limit: Duration) -> Result<Vec<Change>, Error> {
        match time::timeout(limit, self.line()).await {
            Ok(line) => decode_batch(&line?),
            Err(_) => Ok(Vec::new()),
        }
    }

    /// Reads one line; the part received so far is kept when the caller drops this future.
    async fn line(&mut self) -> Result<Bytes, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                return Ok(line);
            }
            if MAX_BATCH_BYTES < self.buffer.len() {
                return Err(Error::Malformed("a batch of changes is too long".to_owned()));
            }
            let frame = self.body.frame().await.ok_or(Error::Ended)?;
            let frame = frame.map_err(|error| Error::Malformed(error.to_string()))?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}

/// Decodes the changes of one batch.
fn decode_batch(line: &[u8]) -> Result<Vec<Change>, Error> {
    let batch: Value =
        serde_json::from_slice(line).map_err(|error| Error::Malformed(error.to_string()))?;
    let result = &batch["result"];
    if result["canceled"] == true || batch["error"].is_object() {
        return Err(Error::Ended);
    }
    let Some(events) = result["events"].as_array() else { return Ok(Vec::new()) };
    events
        .iter()
        .map(|event| {
            let item = item(&event["kv"])?;
            if event["type"] == "DELETE" {
                return Ok(Change::Deleted(item.key, number(&event["kv"]["mod_revision"])?));
            }
            Ok(Change::Put(item))
        })
        .collect()
}
