//! An order of a leader that is cut off reaches the platform after its successor has ordered the same
//! machine (rule ONE, where fences are not checked).

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lavendergauge_stand_in::store::Store;
use serde_json::json;
use tokio::time;

use crate::Outcome;
use crate::cloud::Cloud;
use crate::cloud::Order;
use crate::fleet;
use crate::fleet::Addresses;
use crate::fleet::Caller;
use crate::fleet::Process;
use crate::proxy;
use crate::proxy::Cut;
use crate::record::Record;

const NAMES: [&str; 3] = ["m-1", "m-2", "m-3"];
/// Length of the cut; the site has cuts of up to 12 s.
const CUT: Duration = Duration::from_secs(8);
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time limit for the first order of the wave.
const ORDER_LIMIT: Duration = Duration::from_secs(20);
/// Time after the cut for which orders are observed.
const OBSERVED: Duration = Duration::from_secs(12);

/// Runs the case.
pub async fn run(directory: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let (store, endpoint) = Store::start().await;
    store.put("op/config", &fleet::config(1));
    let store_address = endpoint.server.address.to_string();
    let (cloud, cloud_server) = Cloud::start(&NAMES, record).await;
    let cloud_address = cloud_server.address.to_string();
    let caller = Caller::new(record);

    // All links of the first entry can be cut together: to the store, to the platform's machines, from
    // and to the second entry.
    let cut = Cut::default();
    let was_cut = Arc::new(AtomicBool::new(false));
    let first_order = {
        let (cut, was_cut, record) = (cut.clone(), was_cut.clone(), record.clone());
        Arc::new(move |bytes: &[u8]| {
            let is_order = String::from_utf8_lossy(bytes).contains("/machine-upkeep");
            if is_order && has_trouble && !was_cut.swap(true, Ordering::SeqCst) {
                record.line("trouble: front-1 is cut off from all as its order is on its way");
                cut.set(true);
            }
        })
    };
    let store_link = proxy::start(&store_address, &cut, proxy::unwatched()).await;
    let cloud_link = proxy::start(&cloud_address, &cut, first_order).await;
    let addresses = [Addresses::free(), Addresses::free()];
    let peer_link_1 = proxy::start(&addresses[0].peer, &cut, proxy::unwatched()).await;
    let peer_link_2 = proxy::start(&addresses[1].peer, &cut, proxy::unwatched()).await;

    let program = fleet::program();
    let settings =
        fleet::entry_settings("front-1", &addresses[0], &peer_link_1, &store_link, &cloud_link);
    let mut processes = vec![Process::start(&program, directory, "front-1", &settings)];
    if !caller.wait_until_ready(&addresses[0].ready, READY_LIMIT).await {
        return Outcome::NotRun("front-1 is not ready".to_owned());
    }
    // Alone, it becomes the leader.
    time::sleep(Duration::from_secs(2)).await;
    let settings = fleet::entry_settings(
        "front-2",
        &addresses[1],
        &peer_link_2,
        &store_address,
        &cloud_address,
    );
    processes.push(Process::start(&program, directory, "front-2", &settings));
    if !caller.wait_until_ready(&addresses[1].ready, READY_LIMIT).await {
        return Outcome::NotRun("front-2 is not ready".to_owned());
    }
    // A new leader orders nothing for 3.2 s, so the wave is requested after that.
    time::sleep(Duration::from_secs(3)).await;
    let wave = json!({"wave": 1, "machines": NAMES, "deadline_s": 60, "max_count": 1});
    record.line(&format!("operator: op/wave/1 = {wave}"));
    store.put("op/wave/1", &wave);

    let until = Instant::now() + ORDER_LIMIT;
    while cloud.orders().is_empty() && !was_cut.load(Ordering::SeqCst) {
        if until < Instant::now() {
            return Outcome::NotRun("no machine was ordered".to_owned());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    time::sleep(CUT).await;
    if has_trouble {
        record.line("trouble: the cut heals");
        cut.set(false);
    }
    time::sleep(OBSERVED).await;
    for process in &mut processes {
        process.close().await;
        record.line(&format!("ended {}", process.name));
    }
    let orders = cloud.orders();
    if has_trouble && orders.iter().all(|order| order.holder != "front-2") {
        return Outcome::NotRun("front-2 has ordered nothing".to_owned());
    }
    judge(&orders)
}

/// ONE, where fences are not checked: no order for a machine with a lower fence after a higher one.
fn judge(orders: &[Order]) -> Outcome {
    for name in NAMES {
        let mut highest: Option<&Order> = None;
        for order in orders.iter().filter(|order| order.machine == name) {
            if let Some(before) = highest.filter(|before| order.fence < before.fence) {
                return Outcome::Broken(format!(
                    "ONE: {name} was ordered by {} with fence {} after {} had ordered it with fence {}",
                    order.holder, order.fence, before.holder, before.fence
                ));
            }
            highest = Some(order);
        }
    }
    Outcome::Held
}
