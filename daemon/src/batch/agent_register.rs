//! Registers an agent's address in the store, where planners find it.

use std::sync::Arc;
use std::time::Duration;

use lavendergauge_platform::store::Put;
use lavendergauge_platform::store::Store;
use lavendergauge_platform::store::Transaction;
use tokio::time;

use crate::batch::agent::Agent;
use crate::batch::keys;
use crate::logs::Value;

/// Deadline of the call that registers the agent in the store.
const REGISTER_DEADLINE: Duration = Duration::from_secs(1);
/// First and longest pause between two attempts to register the agent.
const REGISTER_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// Interval at which it is checked whether the planner polls the agent.
const POLLED_CHECK: Duration = Duration::from_millis(500);
/// Consecutive checks without a poll after which the registered address is read.
const MAX_UNPOLLED_CHECKS: u32 = 3;

/// Keeps the agent's address in the store.
///
/// Another writer may replace or remove it, which matters to a planner that does not poll the agent
/// yet: the address is read again whenever no planner polls.
pub async fn keep_registered(agent: Arc<Agent>) {
    let store = Store::new(&agent.settings.store_address);
    let key = format!("{}{}", keys::AGENTS, agent.name);
    let address = &agent.settings.advertised_address;
    write_address(&store, &key, address).await;
    loop {
        wait_until_unpolled(&agent).await;
        match store.read(&key, REGISTER_DEADLINE).await {
            Ok(Some(item)) if item.value == *address => {}
            Ok(_) => {
                log::warn!("event=address-replaced key={key}");
                write_address(&store, &key, address).await;
            }
            Err(error) => {
                log::debug!("event=address-not-read cause={}", Value(&error.to_string()));
            }
        }
    }
}

/// Waits until no planner has polled the agent for a while.
async fn wait_until_unpolled(agent: &Agent) {
    let mut checks = 0;
    while checks < MAX_UNPOLLED_CHECKS {
        time::sleep(POLLED_CHECK).await;
        // A poll in progress waits for the report's version to change.
        let is_polled = agent.version.receiver_count() != 0;
        checks = if is_polled { 0 } else { checks + 1 };
    }
}

/// Writes the agent's address to the store, retrying until it succeeds.
async fn write_address(store: &Store, key: &str, address: &str) {
    let put = Put { key: key.to_owned(), value: address.to_owned().into(), lease: 0 };
    let transaction = Transaction { puts: vec![put], ..Transaction::default() };
    let (mut pause, longest) = REGISTER_PAUSE;
    loop {
        match store.commit(&transaction, REGISTER_DEADLINE).await {
            Ok(_) => {
                log::info!("event=registered address={address}");
                return;
            }
            Err(error) => {
                log::warn!("event=register-failed cause={}", Value(&error.to_string()));
            }
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(longest);
    }
}
