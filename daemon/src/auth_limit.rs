//! Limits the rate of calls that fail to authenticate.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::limit::Bucket;
use lavendergauge_net::body::Body;
use lavendergauge_wire::problem::Outcome;

use crate::problem;

/// Failed calls that a peer may make at once.
const MAX_BURST: u64 = 20;
/// Failed calls per second that a peer may make over a longer time.
const MAX_PER_S: u64 = 5;
/// Most peers whose failed calls are counted.
const MAX_PEERS: usize = 4096;

/// Counts the failed calls of each peer, by IP address.
///
/// Calls that authenticate are never refused, even if they come from a load balancer's address
/// together with failed ones.
#[derive(Debug, Default)]
pub struct Limiter {
    peers: Mutex<HashMap<IpAddr, Bucket>>,
}

impl Limiter {
    /// Returns the response to send to a peer.
    ///
    /// A response with status 401 counts as a failed call. Beyond the limit it is replaced by one
    /// with status 429, which also closes the connection.
    pub fn apply(&self, now: Millis, peer: IpAddr, response: Response<Body>) -> Response<Body> {
        if response.status() != StatusCode::UNAUTHORIZED || self.count_failure(now, peer) {
            return response;
        }
        let status = StatusCode::TOO_MANY_REQUESTS;
        let text = "too many calls without a valid key";
        let mut detail = problem::detail(status, "too many failures", Outcome::NotRun, text);
        detail.retry_after_s = 1;
        let mut response = problem::response(&detail);
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// Counts a failed call of a peer; `false` if the peer is over its limit.
    ///
    /// When `MAX_PEERS` peers are counted and all of them are over their limits, every new peer
    /// counts as over its limit too.
    fn count_failure(&self, now: Millis, peer: IpAddr) -> bool {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() == MAX_PEERS && !peers.contains_key(&peer) {
            // Peers below their limits may be forgotten, since they are not refused anyway.
            peers.retain(|_, bucket| !bucket.has(now));
            if peers.len() == MAX_PEERS {
                return false;
            }
        }
        peers.entry(peer).or_insert_with(|| Bucket::new(now, MAX_BURST, MAX_PER_S)).take(now)
    }
}
