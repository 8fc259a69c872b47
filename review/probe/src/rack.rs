//! Large jobs come at once, one in each rack, and a gang that runs best on one rack comes after them.

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

/// Number of racks, and of workers in each.
const RACKS: (usize, usize) = (5, 3);
/// The gang: its job, its members, each of which fills a worker, and their run time in milliseconds.
const GANG: (Id, u32, u64) = (Id(0x6a), 3, 60_000);
/// Run time of the large jobs, in milliseconds.
const LARGE_MS: u64 = 600_000;
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
    for rack in 0..RACKS.0 {
        for _ in 0..RACKS.1 {
            fleet.add_worker_in("east-1", &format!("r-{rack}")).await;
        }
    }
    time::sleep(Duration::from_secs(4)).await;
    let submit = async |id: Id, work_ms: u64, step: String| {
        let body = format!("{{\"spec\":\"{}\",\"steps\":[{step}]}}", payload(work_ms, false));
        let status = post(&entry.service, id, &body).await;
        record.note(&format!("POST of job {id} {step}: {status}"));
        status == 200
    };
    if has_trouble {
        for rack in 0..RACKS.0 {
            let step = format!(
                "{{\"count\":1,\"cpu\":8000,\"mem_mb\":8000,\"gpu\":8,\"est_duration_ms\":{LARGE_MS},\
                 \"affinity\":\"r-{rack}\"}}"
            );
            if !submit(Id(1 + rack as u64), LARGE_MS, step).await {
                return Verdict::Unfit("a job was not accepted".to_owned());
            }
        }
    }
    time::sleep(Duration::from_secs(2)).await;
    let (gang, members, work_ms) = GANG;
    let step = format!(
        "{{\"count\":{members},\"cpu\":8000,\"mem_mb\":8000,\"gpu\":8,\"est_duration_ms\":{work_ms},\
         \"gang\":true,\"same_rack\":true}}"
    );
    if !submit(gang, work_ms, step).await {
        return Verdict::Unfit("the gang was not accepted".to_owned());
    }
    time::sleep(FINISH + IDLE).await;
    let answer = fleet::caller().query_state(&entry.service, QUEUE, gang).await;
    record.note(&format!("GET of job {gang}: {} {:?}", answer.status, answer.state));
    for line in fleet.nodes[entry.node].lines(&["event=step-waits", "event=reserved"]) {
        record.note(&format!("log of entry-0: {line}"));
    }
    let (mut busy, mut started) = (0, 0);
    for seen in fleet.seen.lock().expect("a lock").iter() {
        match &seen.event {
            Event::Started { task, .. } if task.instance.job == gang => started += 1,
            Event::Started { .. } => busy += 1,
            Event::Ended { .. } => busy -= 1,
            _ => {}
        }
    }
    let workers = RACKS.0 * RACKS.1;
    let idle = workers - busy;
    record.note(&format!(
        "of {workers} workers {idle} run nothing; the gang needs {members}; {started} of its members have \
         started"
    ));
    let has_room = 2 * members as usize <= idle && 2 * busy < workers;
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
