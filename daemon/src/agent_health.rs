//! Whether the target beside the agent takes connections.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lavendergauge_wire::announce::Health;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::agent::Agent;

/// Interval between two probes.
const PROBE_EVERY: Duration = Duration::from_millis(1000);
/// Deadline of one probe.
const PROBE_DEADLINE: Duration = Duration::from_millis(500);
/// Failed probes in a row after which the target counts as bad.
const FAILURES: u32 = 2;

/// Failed probes in a row.
#[derive(Debug, Default)]
pub struct Probe {
    failures: AtomicU32,
}

/// Returns the target's health by the newest probes.
pub fn read(agent: &Agent) -> Health {
    let failures = agent.probe.failures.load(Ordering::Relaxed);
    if failures < FAILURES { Health::Good } else { Health::Bad }
}

/// Probes the target until the agent stops.
pub async fn run(agent: Arc<Agent>, mut stopped: watch::Receiver<bool>) {
    loop {
        let opening = TcpStream::connect(&agent.settings.target_address);
        let good = matches!(time::timeout(PROBE_DEADLINE, opening).await, Ok(Ok(_)));
        let failures = match good {
            true => 0,
            false => agent.probe.failures.load(Ordering::Relaxed).saturating_add(1),
        };
        agent.probe.failures.store(failures, Ordering::Relaxed);
        if failures == FAILURES {
            log::warn!("event=target-bad address={}", agent.settings.target_address);
        }
        tokio::select! {
            () = time::sleep(PROBE_EVERY) => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}
