//! Measures of the scheduler's quality, taken while the tour runs: mean completion times of jobs and
//! requests, fragmentation, and work done in an outage.
//!
//! Fragmentation is the share of free accelerators that are left over when every worker is filled
//! with members of the tour's largest shape. Work done in an outage is the share of accelerators in
//! use in the data centres that stay in.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Request;
use lavendergauge_derive::row;
use lavendergauge_net::body;
use lavendergauge_net::client::Client;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Phase;
use lavendergauge_wire::codec;
use lavendergauge_wire::job::Record;
use tokio::task::JoinHandle;
use tokio::time;

/// Interval between two samples of the workers.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of the call that reads the workers' states for a sample.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(1);
/// Accelerators of a member of the tour's largest shape.
const MAX_MEMBER_ACCELERATORS: usize = 8;

/// Numbers of accelerators of all workers at one time.
#[row]
struct Sample {
    free: usize,
    /// Free accelerators left over when workers are filled with members of
    /// [`MAX_MEMBER_ACCELERATORS`] each.
    stranded: usize,
    /// Accelerators in use in the data centres that stay in.
    used_in_remaining: usize,
    /// All accelerators in the data centres that stay in.
    remaining: usize,
    /// Whether the other data centre was out.
    is_outage: bool,
}

/// Everything recorded during the tour.
#[row]
#[derive(Default)]
struct Log {
    samples: Vec<Sample>,
    /// Completion time of each request.
    requests: Vec<Duration>,
    /// Completion time of each job.
    jobs: Vec<Duration>,
    /// Whether the data centre is out now.
    is_outage: bool,
}

/// Records measures; samples the workers in the background until it is dropped.
pub struct Meter {
    log: Arc<Mutex<Log>>,
    task: JoinHandle<()>,
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Meter {
    /// Starts to sample the workers through an entry's control address; `outage_data_centre` is the
    /// one that will be taken out.
    pub fn start(client: Client, control: String, outage_data_centre: &'static str) -> Self {
        let log = Arc::new(Mutex::new(Log::default()));
        let task = tokio::spawn(sample_regularly(client, control, outage_data_centre, log.clone()));
        Meter { log, task }
    }

    /// Records the time of a request from its sending to its complete answer.
    pub fn record_request(&self, took: Duration) {
        with_lock(&self.log, |log| log.requests.push(took));
    }

    /// Records the time of a job that is done, from its acceptance to its end.
    pub fn record_job(&self, record: &Record) {
        let took = Duration::from_millis(record.ended_ms.saturating_sub(record.submitted_ms));
        with_lock(&self.log, |log| log.jobs.push(took));
    }

    /// Sets whether the data centre is out from now on.
    pub fn set_outage(&self, is_outage: bool) {
        with_lock(&self.log, |log| log.is_outage = is_outage);
    }

    /// Returns the measures as a table, with one line for each measure.
    pub fn table(&self) -> String {
        let log = with_lock(&self.log, |log| log.clone());
        let free: usize = log.samples.iter().map(|sample| sample.free).sum();
        let stranded: usize = log.samples.iter().map(|sample| sample.stranded).sum();
        let in_outage: Vec<&Sample> =
            log.samples.iter().filter(|sample| sample.is_outage).collect();
        let used: usize = in_outage.iter().map(|sample| sample.used_in_remaining).sum();
        let total: usize = in_outage.iter().map(|sample| sample.remaining).sum();
        let rows = [
            ("job completion time, mean", mean_ms(&log.jobs)),
            ("request completion time, mean", mean_ms(&log.requests)),
            ("fragmentation", percent(stranded, free)),
            ("work done in the outage", percent(used, total)),
        ];
        rows.iter().map(|(name, value)| format!("{name:30} {value:>9}\n")).collect()
    }
}

fn with_lock<T>(log: &Mutex<Log>, change: impl FnOnce(&mut Log) -> T) -> T {
    change(&mut log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

fn mean_ms(times: &[Duration]) -> String {
    let count = u32::try_from(times.len()).unwrap_or(u32::MAX).max(1);
    format!("{:.1} ms", times.iter().sum::<Duration>().as_secs_f64() * 1000.0 / f64::from(count))
}

fn percent(part: usize, whole: usize) -> String {
    format!("{:.1} %", 100.0 * part as f64 / whole.max(1) as f64)
}

async fn sample_regularly(
    client: Client,
    control: String,
    outage_data_centre: &'static str,
    log: Arc<Mutex<Log>>,
) {
    loop {
        if let Some(frames) = fetch_frames(&client, &control).await {
            with_lock(&log, |log| {
                let sample = sample(&frames, outage_data_centre, log.is_outage);
                log.samples.push(sample);
            });
        }
        time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Fetches the last announcement of each worker; `None` when the call fails.
async fn fetch_frames(client: &Client, control: &str) -> Option<Vec<Frame>> {
    let uri = format!("http://{control}/v1/workers");
    let request = Request::builder().uri(uri).body(body::empty()).ok()?;
    let response = client.fetch(request, SAMPLE_DEADLINE).await.ok()?;
    codec::from_json(response.body()).ok()
}

fn sample(frames: &[Frame], outage_data_centre: &str, is_outage: bool) -> Sample {
    let mut sample = Sample { free: 0, stranded: 0, used_in_remaining: 0, remaining: 0, is_outage };
    for frame in frames {
        let total = usize::from(frame.accelerators);
        let free = total.saturating_sub(used(frame));
        sample.free += free;
        sample.stranded += free % MAX_MEMBER_ACCELERATORS;
        if frame.data_centre != outage_data_centre {
            sample.remaining += total;
            sample.used_in_remaining += total - free;
        }
    }
    sample
}

/// Returns the number of accelerators that a worker's tasks hold.
fn used(frame: &Frame) -> usize {
    let has_ended = |phase| matches!(phase, Phase::Done | Phase::Failed | Phase::Stopped);
    frame
        .tasks
        .iter()
        .filter(|task| !has_ended(task.phase))
        .map(|task| task.accelerators.len())
        .sum()
}
