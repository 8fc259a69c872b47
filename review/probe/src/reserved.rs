//! Large jobs come at once: some fill a part of the workers, and a gang needs more workers than are left. A
//! small gang, for which there is room three times over, comes after them.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_lib::batch::job::Id;
use lavendergauge_stand_in::worker::Event;
use lavendergauge_stand_in::worker::payload;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::QUEUE;
use crate::record::Record;

/// Number of workers.
const WORKERS: usize = 15;
/// Number of tasks that fill a worker each at the start, and their run time in milliseconds.
const LARGE: (u32, u64) = (6, 600_000);
/// The gang for which there is no room: its job and members, each of which fills a worker.
const WIDE: (Id, u32) = (Id(0x1de), 12);
/// The gang for which there is room: its job and members, each of which fills a worker.
const SMALL: (Id, u32) = (Id(0x5a11), 3);
/// Run time of a member of a gang, in milliseconds.
const GANG_MS: u64 = 10_000;
/// Time between the submissions of the gangs.
const PAUSE: Duration = Duration::from_secs(5);
/// Time from the last submission until the jobs are asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);

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
    let submit = async |id: Id, (tasks, work_ms): (u32, u64), gang: bool| {
        let body = format!(
            "{{\"spec\":\"{}\",\"steps\":[{{\"count\":{tasks},\"cpu\":8000,\"mem_mb\":8000,\"gpu\":8,\
             \"est_duration_ms\":{work_ms}{}}}]}}",
            payload(work_ms, false),
            if gang { ",\"gang\":true" } else { "" }
        );
        let status = post(&entry.service, id, &body).await;
        record.note(&format!("POST of job {id} {body}: {status}"));
        status == 200
    };
    if !submit(Id(1), LARGE, false).await {
        return Verdict::Unfit("a job was not accepted".to_owned());
    }
    time::sleep(Duration::from_secs(2)).await;
    let (small, members) = SMALL;
    if has_trouble && !submit(WIDE.0, (WIDE.1, GANG_MS), true).await {
        return Verdict::Unfit("the wide gang was not accepted".to_owned());
    }
    time::sleep(PAUSE).await;
    if !submit(small, (members, GANG_MS), true).await {
        return Verdict::Unfit("the small gang was not accepted".to_owned());
    }
    time::sleep(FINISH + IDLE).await;
    let answer = fleet::caller().query_state(&entry.service, QUEUE, small).await;
    record.note(&format!("GET of job {small}: {} {:?}", answer.status, answer.state));
    for line in fleet.nodes[entry.node].lines(&["event=step-waits", "event=space-kept"]) {
        record.note(&format!("log of entry-0: {line}"));
    }
    let (mut busy, mut started) = (0, 0);
    for seen in fleet.seen.lock().expect("a lock").iter() {
        match &seen.event {
            Event::Started { task, .. } if task.instance.job == small => started += 1,
            Event::Started { .. } => busy += 1,
            Event::Ended { .. } => busy -= 1,
            _ => {}
        }
    }
    let idle = WORKERS - busy;
    record.note(&format!(
        "of {WORKERS} workers {idle} run nothing; the small gang needs {members}; {started} of its members have \
         started"
    ));
    let has_room = 2 * members as usize <= idle && 2 * busy < WORKERS;
    match started {
        0 if has_room => Verdict::Broken,
        0 => Verdict::Unfit("there is no room".to_owned()),
        _ => Verdict::Held,
    }
}

/// Submits a job and returns the status of the answer; 0 for none.
async fn post(entry: &str, id: Id, body: &str) -> u16 {
    let call = async {
        let mut stream = TcpStream::connect(entry).await.ok()?;
        let request = format!(
            "POST /{QUEUE}/{id} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer {}\r\n\
             X-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            fleet::KEY,
            body.len()
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    };
    time::timeout(Duration::from_secs(4), call).await.ok().flatten().unwrap_or(0)
}
