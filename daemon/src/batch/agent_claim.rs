//! Examines which worker runs at the worker's address when a heartbeat announces an unknown one.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::lease::Reading;
use lavendergauge_lib::batch::membership::Claim;
use lavendergauge_platform::worker::Poll;
use metrics::counter;
use tokio::time;

use crate::batch::agent::Agent;
use crate::clock;
use crate::logs::Value;

/// Pause after a call without an answer, and while a refused claim waits for a new planner.
const PAUSE: Duration = Duration::from_millis(250);

/// Examines claims one after the other, for as long as the process runs.
pub async fn follow(agent: Arc<Agent>) {
    loop {
        let (claim, fence) = {
            let mut state = agent.state();
            let fence = state.fence;
            (state.membership.take_claim(clock::boot().0, fence), fence)
        };
        match claim {
            Some(claim) => examine(&agent, claim, fence).await,
            None => agent.claimed.notified().await,
        }
    }
}

/// Calls the worker's address under the claimed identifier, and admits the claimed incarnation if it
/// answers.
///
/// The call extends no lease and acknowledges no end.
async fn examine(agent: &Agent, claim: Claim, fence: u64) {
    let (id, incarnation) = (claim.announcement.id.clone(), claim.announcement.incarnation);
    let token = {
        let mut state = agent.state();
        // No call that was meant for another incarnation may follow this one.
        state.raise_epoch(&id, "claim examined");
        state.epoch.token(fence)
    };
    let answer = agent.client.poll(&id, token, 0, None, Duration::ZERO).await;
    let outcome = match answer {
        Ok(Poll::Lists(snapshot)) if snapshot.incarnation == incarnation => {
            let clock = Reading { clock_ms: snapshot.clock_ms, read_at: clock::now().0 };
            agent.state().admit(claim, clock, token);
            agent.wake.notify_one();
            agent.notify_planner();
            "proved"
        }
        Ok(Poll::Lists(snapshot)) => {
            let found = snapshot.incarnation;
            log::warn!(
                "event=worker-claim-refuted worker={id} incarnation={incarnation} found={found}"
            );
            "refuted"
        }
        Ok(Poll::Gone) => {
            log::warn!(
                "event=worker-claim-refuted worker={id} incarnation={incarnation} \
                 cause=\"another worker answers at its address\""
            );
            "refuted"
        }
        Ok(Poll::Fenced) => {
            let mut state = agent.state();
            if state.epoch.overtake(token) {
                state.membership.keep(claim);
            } else {
                state.membership.keep_until_fence(claim, fence);
            }
            "fenced"
        }
        Err(error) => {
            log::info!(
                "event=worker-claim-unanswered worker={id} incarnation={incarnation} cause={}",
                Value(&error.to_string())
            );
            agent.state().membership.keep(claim);
            time::sleep(PAUSE).await;
            "unanswered"
        }
    };
    counter!("lavendergauge_worker_claims_total", "outcome" => outcome).increment(1);
}
