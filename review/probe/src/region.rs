//! Two regions lose each other, and the network between them refuses connections.
//!
//! The leader and one worker are in one region; the store, the other entry and two workers are in the
//! other.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_stand_in::worker::Event;
use lavendergauge_stand_in::worker::payload;
use tokio::time;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::QUEUE;
use crate::gate::Mode;
use crate::record::Record;
use crate::twice;

/// Number of long jobs of one accelerator: a worker holds eight.
const LONG_JOBS: u64 = 4;
/// Run time of a long job, in milliseconds.
const LONG_MS: u64 = 60_000;
/// Number and run time of the tasks of the short job.
const SHORT: (u32, u64) = (12, 2500);
/// How long the regions lose each other.
const CUT: Duration = Duration::from_secs(17);

/// Plays the case.
pub async fn play(directory: &Path, record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::new(directory, record.clone()).await;
    let first = fleet.add_entry("entry-west", "west-1").await;
    if !fleet.wait_ready(&first).await {
        return Verdict::Unfit("entry-west is not ready".to_owned());
    }
    time::sleep(Duration::from_millis(500)).await;
    fleet.add_worker("west-1").await;
    let second = fleet.add_entry("entry-east", "east-1").await;
    if !fleet.wait_ready(&second).await || !fleet.nodes[first.node].has_logged("event=duty-taken") {
        return Verdict::Unfit("entry-west does not lead".to_owned());
    }
    time::sleep(Duration::from_secs(3)).await;
    let caller = fleet::caller();
    let step = |tasks, estimate_ms| Step {
        tasks,
        processors: 1000,
        memory_mb: 1000,
        accelerators: 1,
        estimate_ms,
        ..Step::default()
    };
    let submit = async |id: u64, step: Step| {
        let text = payload(step.estimate_ms, false);
        let answer =
            caller.submit(&second.service, QUEUE, Id(id), &text, std::slice::from_ref(&step)).await;
        record.note(&format!(
            "POST of job {} with {} tasks: {}",
            Id(id),
            step.tasks,
            answer.status
        ));
        answer.status == 200
    };
    for id in 1..=LONG_JOBS {
        if !submit(id, step(1, LONG_MS)).await {
            return Verdict::Unfit("a job was not accepted".to_owned());
        }
    }
    time::sleep(Duration::from_millis(500)).await;
    fleet.add_worker("east-1").await;
    fleet.add_worker("east-1").await;
    time::sleep(Duration::from_secs(1)).await;
    if !submit(100, step(SHORT.0, SHORT.1)).await {
        return Verdict::Unfit("a job was not accepted".to_owned());
    }
    time::sleep(Duration::from_secs(1)).await;
    let long_runs = |worker: usize| {
        let seen = fleet.seen.lock().expect("a lock");
        let is_long = |event: &Event| matches!(event, Event::Started { task, .. } if task.instance.job.0 <= LONG_JOBS);
        seen.iter().filter(|seen| seen.worker == worker && is_long(&seen.event)).count()
    };
    record.note(&format!("long jobs in the west: {}", long_runs(0)));
    if long_runs(0) == 0 {
        return Verdict::Unfit("no long job runs in the west".to_owned());
    }
    if has_trouble {
        record.note("the regions lose each other: connections between them are reset and refused");
        // What crosses the border: calls of each entry to the other, of the west to the store, and of
        // each entry to the agents of the other region.
        for (index, node) in fleet.nodes.iter().enumerate() {
            let is_west = matches!(node.name.as_str(), "entry-west" | "agent-0");
            if index == first.node || index == second.node {
                node.gate.set(Mode::Refuse).await;
            } else {
                let barred = if is_west { "entry-east" } else { "entry-west" };
                node.gate.set(Mode::Except(barred.to_owned())).await;
            }
            if is_west {
                node.store_gate.set(Mode::Refuse).await;
            }
        }
    }
    time::sleep(CUT).await;
    let found = {
        let seen = fleet.seen.lock().expect("a lock");
        twice::overlaps(&seen, record.seconds())
    };
    for node in [first.node, second.node] {
        let node = &fleet.nodes[node];
        let texts = ["duty-", "planner-ended", "lease-not-", "planner-silent", "lease expired"];
        for line in node.lines(&texts) {
            record.note(&format!("log of {}: {line}", node.name));
        }
    }
    for line in &found {
        record.note(line);
    }
    if found.is_empty() { Verdict::Held } else { Verdict::Broken }
}
