//! The three measures of the brief, taken while the tour runs.
//!
//! Fragmentation is the share of free accelerators that the widest shape of the tour cannot use,
//! and work done in an outage is the share of the remaining data centres' accelerators in use.

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

/// Interval between two looks at the workers.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);
/// Deadline of one look.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(1);
/// Accelerators of the widest shape of the tour.
const WIDEST: usize = 8;

/// What one look at the workers showed.
#[row]
struct Sample {
    free: usize,
    stranded: usize,
    used_in_survivors: usize,
    survivors: usize,
    outage: bool,
}

/// Everything that is measured during the tour.
#[row]
#[derive(Default)]
struct Log {
    samples: Vec<Sample>,
    requests: Vec<Duration>,
    jobs: Vec<Duration>,
    outage: bool,
}

/// Takes the measures until it is dropped.
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
    /// Starts to look at the workers through an entry's control address; `leaving` is the data
    /// centre that the outage will take.
    pub fn start(client: Client, control: String, leaving: &'static str) -> Self {
        let log = Arc::new(Mutex::new(Log::default()));
        let task = tokio::spawn(watch(client, control, leaving, log.clone()));
        Meter { log, task }
    }

    /// Counts a request by the time from its sending to its whole answer.
    pub fn request(&self, took: Duration) {
        with(&self.log, |log| log.requests.push(took));
    }

    /// Counts a job that is done, by the time from its acceptance to its end.
    pub fn job(&self, record: &Record) {
        let took = Duration::from_millis(record.ended_ms.saturating_sub(record.submitted_ms));
        with(&self.log, |log| log.jobs.push(took));
    }

    /// Tells whether the data centre is out from now on.
    pub fn set_outage(&self, outage: bool) {
        with(&self.log, |log| log.outage = outage);
    }

    /// Returns the measures as a small table.
    pub fn table(&self) -> String {
        let log = with(&self.log, |log| log.clone());
        let free: usize = log.samples.iter().map(|sample| sample.free).sum();
        let stranded: usize = log.samples.iter().map(|sample| sample.stranded).sum();
        let outage: Vec<&Sample> = log.samples.iter().filter(|sample| sample.outage).collect();
        let used: usize = outage.iter().map(|sample| sample.used_in_survivors).sum();
        let whole: usize = outage.iter().map(|sample| sample.survivors).sum();
        let rows = [
            ("job completion time, mean", millis(&log.jobs)),
            ("request completion time, mean", millis(&log.requests)),
            ("fragmentation", share(stranded, free)),
            ("work done in the outage", share(used, whole)),
        ];
        rows.iter().map(|(name, value)| format!("{name:30} {value:>9}\n")).collect()
    }
}

fn with<T>(log: &Mutex<Log>, change: impl FnOnce(&mut Log) -> T) -> T {
    change(&mut log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

fn millis(times: &[Duration]) -> String {
    let count = u32::try_from(times.len()).unwrap_or(u32::MAX).max(1);
    format!("{:.1} ms", times.iter().sum::<Duration>().as_secs_f64() * 1000.0 / f64::from(count))
}

fn share(part: usize, whole: usize) -> String {
    format!("{:.1} %", 100.0 * part as f64 / whole.max(1) as f64)
}

async fn watch(client: Client, control: String, leaving: &'static str, log: Arc<Mutex<Log>>) {
    loop {
        if let Some(frames) = look(&client, &control).await {
            with(&log, |log| {
                let sample = sample(&frames, leaving, log.outage);
                log.samples.push(sample);
            });
        }
        time::sleep(SAMPLE_EVERY).await;
    }
}

async fn look(client: &Client, control: &str) -> Option<Vec<Frame>> {
    let uri = format!("http://{control}/v1/workers");
    let request = Request::builder().uri(uri).body(body::empty()).ok()?;
    let answer = client.fetch(request, SAMPLE_DEADLINE).await.ok()?;
    codec::from_json(answer.body()).ok()
}

fn sample(frames: &[Frame], leaving: &str, outage: bool) -> Sample {
    let mut sample = Sample { free: 0, stranded: 0, used_in_survivors: 0, survivors: 0, outage };
    for frame in frames {
        let whole = usize::from(frame.accelerators);
        let free = whole.saturating_sub(used(frame));
        sample.free += free;
        sample.stranded += free % WIDEST;
        if frame.data_centre != leaving {
            sample.survivors += whole;
            sample.used_in_survivors += whole - free;
        }
    }
    sample
}

/// Returns the accelerators that an agent holds for members.
fn used(frame: &Frame) -> usize {
    let over = |phase| matches!(phase, Phase::Done | Phase::Failed | Phase::Stopped);
    frame.tasks.iter().filter(|task| !over(task.phase)).map(|task| task.accelerators.len()).sum()
}
