//! Announces the worker to every known entry.
//!
//! The calls run concurrently, each with its own deadline, so that an entry that does not answer
//! delays no other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_wire::VERSION;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Load;
use lavendergauge_wire::announce::Reply;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::agent::Agent;
use crate::agent_health;
use crate::agent_report;
use crate::clock;

/// Deadline of one announcement.
const DEADLINE: Duration = Duration::from_millis(1000);
/// Time for which the worker announces itself to an address after an entry has last listed it.
const LISTING_TTL: Duration = Duration::from_secs(15);
/// Most listed addresses that are kept; those of the settings are not counted.
const MAX_LISTED: usize = 64;
/// Rounds after a failed announcement before the entry is tried again.
const RETRY_ROUNDS: u64 = 4;

/// Addresses of entries, with the state of the announcements to them.
#[derive(Debug, Default)]
struct Entries {
    /// Time at which an entry last listed each address.
    listed: HashMap<String, Millis>,
    /// Round of the last failure, for addresses whose newest announcement failed.
    failed_rounds: HashMap<String, u64>,
    /// Addresses with an announcement that is not yet answered.
    in_flight: HashSet<String>,
}

impl Entries {
    /// Records the addresses that an entry listed in its reply.
    fn record_listed(&mut self, now: Millis, addresses: &[String]) {
        self.listed.retain(|_, listed_at| now.since(*listed_at) <= LISTING_TTL);
        for address in addresses {
            if self.listed.len() < MAX_LISTED || self.listed.contains_key(address) {
                self.listed.insert(address.clone(), now);
            }
        }
    }

    /// Returns the addresses to announce to in this round and marks them as in flight.
    ///
    /// The addresses of the settings are always included, also when no entry lists them.
    fn start_round(&mut self, now: Millis, round: u64, settings: &[String]) -> Vec<String> {
        let listed =
            self.listed.iter().filter(|(_, listed_at)| now.since(**listed_at) <= LISTING_TTL);
        let mut due: Vec<String> = listed.map(|(address, _)| address.clone()).collect();
        due.extend(settings.iter().filter(|address| !self.listed.contains_key(*address)).cloned());
        due.retain(|address| {
            let last_failure = self.failed_rounds.get(address);
            let is_backing_off = last_failure.is_some_and(|last| round < last + RETRY_ROUNDS);
            !is_backing_off && !self.in_flight.contains(address)
        });
        self.in_flight.extend(due.iter().cloned());
        due
    }

    /// Records the result of an announcement that was sent in `round`.
    fn record_result(&mut self, address: &str, round: u64, is_ok: bool) {
        self.in_flight.remove(address);
        if is_ok {
            self.failed_rounds.remove(address);
        } else {
            self.failed_rounds.insert(address.to_owned(), round);
        }
    }
}

/// Announces the worker periodically, and at once when asked to, until the agent stops.
pub async fn run(agent: Arc<Agent>, mut stopped: watch::Receiver<bool>) {
    let mut entries = Entries::default();
    let mut calls = JoinSet::new();
    let mut ticks = time::interval(agent.settings.announce);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        tokio::select! {
            _ = stopped.wait_for(|stopped| *stopped) => return,
            Some(Ok(result)) = calls.join_next() => {
                let (address, round, reply): (String, u64, Option<Reply>) = result;
                entries.record_result(&address, round, reply.is_some());
                if let Some(reply) = reply {
                    entries.record_listed(clock::now(), &reply.entries);
                }
                continue;
            }
            _ = ticks.tick() => {}
            () = agent.announce_now.notified() => {}
        }
        round += 1;
        let frame = Arc::new(next_frame(&agent));
        for address in entries.start_round(clock::now(), round, &agent.settings.entries) {
            let (agent, frame) = (agent.clone(), frame.clone());
            calls.spawn(async move {
                let reply = announce(&agent, &address, &frame).await;
                (address, round, reply)
            });
        }
    }
}

/// Announces the worker to one entry and applies its reply; `None` if the call failed.
async fn announce(agent: &Arc<Agent>, address: &str, frame: &Frame) -> Option<Reply> {
    let sent_at = clock::now();
    let reply: Result<Reply, _> =
        agent.client.exchange(address, "/internal/announce", frame, DEADLINE).await;
    match reply {
        Ok(reply) => {
            let permit = reply.permit.as_ref();
            let permit = permit.filter(|permit| permit.data_centre == agent.data_centre);
            let validity = permit.map(|permit| Duration::from_millis(permit.lasts_ms));
            agent.core().permit.update(sent_at, reply.revision, validity);
            agent_report::apply_reply(agent, sent_at, &reply);
            Some(reply)
        }
        Err(error) => {
            log::warn!("event=announce-failed entry={address} cause=\"{error}\"");
            None
        }
    }
}

/// Makes the next announcement, with a new sequence number.
fn next_frame(agent: &Agent) -> Frame {
    let health = agent_health::target_health(agent);
    let mut core = agent.core();
    core.sequence += 1;
    Frame {
        version: VERSION,
        worker: agent.name.clone(),
        address: agent.settings.address.clone(),
        incarnation: agent.incarnation,
        clock_ms: clock::now().0,
        sequence: core.sequence,
        data_centre: agent.data_centre.clone(),
        rack: agent.settings.rack.clone(),
        accelerators: agent.settings.accelerators,
        processors: agent.settings.processors,
        memory_mb: agent.settings.memory_mb,
        slots: agent.settings.slots,
        connections: agent.settings.connections,
        load: Load { slots_used: core.requests.used(), connections_used: core.requests.used() },
        health,
        leaving: core.is_leaving,
        revision: core.permit.revision(),
        epoch: core.gang.epoch(),
        tasks: agent_report::announced_tasks(&core),
    }
}
