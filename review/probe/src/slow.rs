//! A task crashes each worker that starts it, a moment after its start, in a fleet with ordinary traffic.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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

/// Number of workers.
const WORKERS: usize = 8;
/// The job with the task at fault.
const JOB: Id = Id(0xdead);
/// Run time of its task if it crashed nothing, in milliseconds.
const WORK_MS: u64 = 20_000;
/// Time from the start of the task until its worker crashes.
const CRASH_AFTER: Duration = Duration::from_millis(1500);
/// Time from such a crash until the worker is back.
const DOWN: Duration = Duration::from_millis(4500);
/// Interval between ordinary jobs, each with one short task on each of several workers.
const INTERVAL: Duration = Duration::from_millis(400);
/// Number and run time of their tasks.
const SHORT: (u32, u64) = (6, 500);
/// How long the case plays.
const LENGTH: Duration = Duration::from_secs(36);
/// Workers that have crashed under the task, and starts after that with which the rule is broken.
const ALLOWED: (usize, usize) = (3, 3);

/// Plays the case.
pub async fn play(directory: &Path, record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::new(directory, record.clone()).await;
    let entry = fleet.add_entry("entry-0", "east-1").await;
    if !fleet.wait_ready(&entry).await {
        return Verdict::Unfit("the entry is not ready".to_owned());
    }
    for _ in 0..WORKERS {
        fleet.add_worker("east-1").await;
    }
    time::sleep(Duration::from_secs(4)).await;
    let caller = fleet::caller();
    let submit = async |id: Id, (tasks, work_ms): (u32, u64), max_per_worker: u32| {
        let step = Step {
            tasks,
            processors: 1000,
            memory_mb: 1000,
            accelerators: 1,
            estimate_ms: work_ms,
            max_per_worker,
            ..Step::default()
        };
        let text = payload(work_ms, false);
        let answer =
            caller.submit(&entry.service, QUEUE, id, &text, std::slice::from_ref(&step)).await;
        record.note(&format!(
            "POST of job {id} with {tasks} tasks of {work_ms} ms: {}",
            answer.status
        ));
        answer.status == 200
    };
    if !submit(JOB, (1, WORK_MS), 0).await {
        return Verdict::Unfit("the job was not accepted".to_owned());
    }
    let until = Instant::now() + LENGTH;
    let mut next_ordinary = Instant::now();
    let mut ordinary = 0;
    let mut handled = 0;
    while Instant::now() < until {
        if next_ordinary <= Instant::now() {
            next_ordinary += INTERVAL;
            ordinary += 1;
            submit(Id(ordinary), SHORT, 1).await;
        }
        let starts = starts_of_job(&fleet);
        for (_, worker) in &starts[handled..] {
            if !has_trouble {
                continue;
            }
            let (worker, record, index) = (fleet.workers[*worker].clone(), record.clone(), *worker);
            tokio::spawn(async move {
                time::sleep(CRASH_AFTER).await;
                record.note(&format!("the task crashes worker {index}"));
                worker.crash();
                time::sleep(DOWN).await;
                // What comes back is another worker, under an identifier of its own.
                let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
                let born = born.as_millis() as u64;
                record.note(&format!("worker {index} is back as i-{index}-{born}"));
                worker.restart_as(&format!("i-{index}-{born}"), born);
            });
        }
        handled = starts.len();
        time::sleep(Duration::from_millis(10)).await;
    }
    let answer = caller.query_state(&entry.service, QUEUE, JOB).await;
    record.note(&format!("GET of job {JOB}: {} {:?}", answer.status, answer.state));
    let starts = starts_of_job(&fleet);
    // Each start but those of the last moments has crashed its worker.
    let crashes = crashes_under_job(&fleet);
    let later = crashes
        .get(ALLOWED.0 - 1)
        .map_or(0, |third| starts.iter().filter(|(at, _)| third < at).count());
    for line in fleet.nodes[entry.node].lines(&["worker-crashed", "task-given-up"]) {
        record.note(&format!("log of entry-0: {line}"));
    }
    record.note(&format!(
        "the task was started {} times, {} workers crashed under it, it was started {later} times after the \
         third crash; the job is shown as {:?}",
        starts.len(),
        crashes.len(),
        answer.state
    ));
    match (has_trouble, answer.state) {
        (true, _) if ALLOWED.1 <= later => Verdict::Broken,
        (true, _) if crashes.is_empty() => Verdict::Unfit("nothing crashed".to_owned()),
        (false, state) if state != Some(State::Completed) => {
            Verdict::Unfit("the job did not end".to_owned())
        }
        _ => Verdict::Held,
    }
}

/// Returns when and on which workers the job's task was started.
fn starts_of_job(fleet: &Fleet) -> Vec<(f64, usize)> {
    let seen = fleet.seen.lock().expect("a lock");
    let start = |seen: &fleet::Seen| match &seen.event {
        Event::Started { task, .. } if task.instance.job == JOB => Some((seen.at, seen.worker)),
        _ => None,
    };
    seen.iter().filter_map(start).collect()
}

/// Returns when workers crashed under the job's task.
fn crashes_under_job(fleet: &Fleet) -> Vec<f64> {
    let mut crashes = Vec::new();
    let mut runs_on = None;
    for seen in fleet.seen.lock().expect("a lock").iter() {
        match &seen.event {
            Event::Started { task, .. } if task.instance.job == JOB => runs_on = Some(seen.worker),
            Event::Ended { task, .. } if task.instance.job == JOB => runs_on = None,
            Event::Crashed if runs_on == Some(seen.worker) => {
                crashes.push(seen.at);
                runs_on = None;
            }
            _ => {}
        }
    }
    crashes
}
