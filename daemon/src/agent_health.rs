//! Health probes of the target: checks periodically that it accepts TCP connections.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavendergauge_wire::announce::Health;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::agent::Agent;

/// Time between the end of one probe and the start of the next.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Deadline of one probe.
const PROBE_DEADLINE: Duration = Duration::from_millis(500);
/// Consecutive failed probes after which the target counts as bad.
const BAD_AFTER: u32 = 2;

/// Number of consecutive failed probes.
#[derive(Debug, Default)]
pub struct Probe {
    failures: AtomicU32,
}

/// Returns the target's health according to the newest probes.
pub fn target_health(agent: &Agent) -> Health {
    let failures = agent.probe.failures.load(Ordering::Relaxed);
    if failures < BAD_AFTER { Health::Good } else { Health::Bad }
}

/// Probes the target until the agent stops.
pub async fn run(agent: Arc<Agent>, mut stopped: watch::Receiver<bool>) {
    loop {
        let connecting = TcpStream::connect(&agent.settings.target_address);
        let is_reachable = matches!(time::timeout(PROBE_DEADLINE, connecting).await, Ok(Ok(_)));
        let failures = match is_reachable {
            true => 0,
            false => agent.probe.failures.load(Ordering::Relaxed).saturating_add(1),
        };
        agent.probe.failures.store(failures, Ordering::Relaxed);
        if failures == BAD_AFTER {
            log::warn!("event=target-bad address={}", agent.settings.target_address);
        }
        tokio::select! {
            () = time::sleep(PROBE_INTERVAL) => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}
