//! A bound on the calls of peers that do not prove who they are.

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

/// Failed calls that a peer may make in a burst.
const BURST: u64 = 20;
/// Failed calls a second that a peer may go on with.
const PER_S: u64 = 5;
/// Most peers that are kept in mind.
const PEERS: usize = 4096;

/// Counts the failed calls of each peer.
///
/// Calls that prove themselves are never held up, also when they come from a balancer's
/// address together with failed ones.
#[derive(Debug, Default)]
pub struct Guard {
    peers: Mutex<HashMap<IpAddr, Bucket>>,
}

impl Guard {
    /// Lets an answer pass; a peer that has failed too often loses its connection with it.
    pub fn screen(&self, now: Millis, peer: IpAddr, answer: Response<Body>) -> Response<Body> {
        if answer.status() != StatusCode::UNAUTHORIZED || self.admits(now, peer) {
            return answer;
        }
        let status = StatusCode::TOO_MANY_REQUESTS;
        let text = "too many calls without a good key";
        let mut detail = problem::detail(status, "too many failures", Outcome::NotRun, text);
        detail.retry_after_s = 1;
        let mut answer = problem::response(&detail);
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        answer
    }

    fn admits(&self, now: Millis, peer: IpAddr) -> bool {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() == PEERS && !peers.contains_key(&peer) {
            // Those with tokens left are the least of the trouble.
            peers.retain(|_, bucket| !bucket.has(now));
            if peers.len() == PEERS {
                return false;
            }
        }
        peers.entry(peer).or_insert_with(|| Bucket::new(now, BURST, PER_S)).take(now)
    }
}
