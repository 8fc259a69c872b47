//! One worker goes down and up by turns while a sound job waits for it.
//!
//! The other workers are busy. The job is submitted right after the worker has gone down, so that the order to
//! start it gets no answer; the worker goes down once more while the job is at work.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_stand_in::worker::Event;
use lavendergauge_stand_in::worker::payload;
use tokio::time;
use tokio::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::QUEUE;
use crate::record::Record;

/// Number of workers, one of which goes down and up.
const WORKERS: usize = 10;
/// Time for which it stays down, and then up.
const TURN: Duration = Duration::from_millis(1500);
/// Number of times that it goes down.
const TURNS: u32 = 2;
/// The job that is watched.
const JOB: Id = Id(0x51);
/// Run time of the job, in milliseconds.
const WORK_MS: u64 = 3000;
/// Run time of the jobs that keep the other workers busy, in milliseconds.
const BUSY_MS: u64 = 60_000;
/// Time limit for the job to end.
const END_LIMIT: Duration = Duration::from_secs(25);

/// Plays the case.
pub async fn play(directory: &Path, record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::new(directory, record.clone()).await;
    let entry = fleet.add_entry("entry-0", "east-1").await;
    if !fleet.wait_ready(&entry).await {
        return Verdict::Unfit("the entry is not ready".to_owned());
    }
    for _ in 1..WORKERS {
        fleet.add_worker("east-1").await;
    }
    time::sleep(Duration::from_secs(4)).await;
    let caller = fleet::caller();
    let submit = async |id: Id, work_ms: u64| {
        let step = Step {
            tasks: 1,
            processors: 1000,
            memory_mb: 1000,
            accelerators: 8,
            estimate_ms: work_ms,
            ..Step::default()
        };
        let text = payload(work_ms, false);
        let answer =
            caller.submit(&entry.service, QUEUE, id, &text, std::slice::from_ref(&step)).await;
        record.note(&format!("POST of job {id} with 1 task of {work_ms} ms: {}", answer.status));
        answer.status == 200
    };
    for index in 1..WORKERS {
        if !submit(Id(0x100 + index as u64), BUSY_MS).await {
            return Verdict::Unfit("a job was not accepted".to_owned());
        }
    }
    time::sleep(Duration::from_millis(1500)).await;
    let index = fleet.add_worker("east-1").await;
    time::sleep(Duration::from_secs(3)).await;
    let worker = fleet.workers[index].clone();
    let flapping = has_trouble.then(|| {
        let record = record.clone();
        tokio::spawn(async move {
            for _ in 0..TURNS {
                record.note(&format!("worker {index} goes down"));
                worker.crash();
                time::sleep(TURN).await;
                record.note(&format!("worker {index} comes up"));
                worker.restart();
                time::sleep(TURN).await;
            }
        })
    });
    time::sleep(Duration::from_millis(100)).await;
    if !submit(JOB, WORK_MS).await {
        return Verdict::Unfit("the job was not accepted".to_owned());
    }
    let limit = Instant::now() + END_LIMIT;
    let mut state = None;
    while Instant::now() < limit {
        let answer = caller.query_state(&entry.service, QUEUE, JOB).await;
        if answer.state != state {
            record.note(&format!("GET of job {JOB}: {} {:?}", answer.status, answer.state));
            state = answer.state;
        }
        if matches!(state, Some(State::Completed | State::Failed | State::Cancelled)) {
            break;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    if let Some(flapping) = flapping {
        let _ = flapping.await;
    }
    for line in fleet.nodes[entry.node].lines(&["worker-crashed", "task-given-up", "job-ended"]) {
        record.note(&format!("log of entry-0: {line}"));
    }
    let (starts, crashes, failures) = count(&fleet);
    record.note(&format!(
        "the task was started {starts} times, {crashes} workers crashed under it, {failures} of its runs \
         ended failed; the job is shown as {state:?}"
    ));
    match state {
        Some(State::Failed) if crashes < 2 && failures == 0 => Verdict::Broken,
        Some(State::Completed | State::Failed) => Verdict::Held,
        _ => Verdict::Unfit("the job did not end".to_owned()),
    }
}

/// Returns how often the job's task was started, how many workers crashed under it, and how many of its
/// runs failed.
fn count(fleet: &Fleet) -> (u32, u32, u32) {
    let (mut starts, mut crashes, mut failures) = (0, 0, 0);
    let mut runs_on = None;
    for seen in fleet.seen.lock().expect("a lock").iter() {
        match &seen.event {
            Event::Started { task, .. } if task.instance.job == JOB => {
                starts += 1;
                runs_on = Some(seen.worker);
            }
            Event::Ended { task, how, .. } if task.instance.job == JOB => {
                failures += u32::from(*how == "failed");
                runs_on = None;
            }
            Event::Crashed if runs_on == Some(seen.worker) => {
                crashes += 1;
                runs_on = None;
            }
            _ => {}
        }
    }
    (starts, crashes, failures)
}
