//! Measures ticks of the batch planner at two sizes of the fleet.
//!
//! `cargo bench -p lavendergauge-lib --bench batch_scale` prints a table.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use lavendergauge_lib::batch::config::Account;
use lavendergauge_lib::batch::config::Bounds;
use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_lib::batch::dispatch;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Intent;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::Submission;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::order;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::report::Announcement;
use lavendergauge_lib::batch::report::List;
use lavendergauge_lib::batch::report::ListedRun;
use lavendergauge_lib::batch::report::Report;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::batch::tick;
use lavendergauge_lib::clock::Millis;
use smallvec::SmallVec;

/// Number of ticks that are timed.
const TICKS: usize = 2000;
/// Number of steps that wait while nothing is free.
const WAITING_STEPS: u64 = 50;
/// Time of day at the start, in Unix milliseconds.
const WALL_MS: u64 = 1_700_000_000_000;
/// Fencing token of the planner.
const FENCE: u64 = 1;

/// A fleet whose workers are full.
struct Fleet {
    tables: Tables,
    now: u64,
    next_job: u64,
}

fn main() {
    println!(
        "| workers | jobs | live tasks | one report p50/p99 (us) | 50 steps wait p50/p99 (us) |"
    );
    println!("|---:|---:|---:|---:|---:|");
    for (workers, jobs, tasks) in [(240, 250, 4000), (1800, 940, 15_000)] {
        let mut fleet = Fleet::new(workers, jobs, tasks);
        let live = fleet.tables.runs.len();
        let one_report = fleet.time_reports(workers);
        let waiting = fleet.time_waiting(workers);
        println!(
            "| {workers} | {jobs} | {live} | {} | {} |",
            percentiles(&one_report),
            percentiles(&waiting)
        );
    }
}

fn percentiles(histogram: &Histogram<u64>) -> String {
    let micros = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    format!("{:.0} / {:.0}", micros(0.5), micros(0.99))
}

fn record(histogram: &mut Histogram<u64>, elapsed: Duration) {
    histogram.record(elapsed.as_nanos() as u64).expect("a duration within the histogram's range");
}

impl Fleet {
    fn new(workers: usize, jobs: usize, tasks: usize) -> Fleet {
        let bounds = Bounds {
            stop_grace_ms: 400,
            remote_permille: 3000,
            reclaim_ms: 2900,
            keep_ms: 120_000,
        };
        let mut fleet = Fleet { tables: Tables::new(bounds, Millis(0)), now: 1000, next_job: 1 };
        let queue = |name: &str, priority| Queue {
            name: name.to_owned(),
            service: "sim".to_owned(),
            priority,
            attempts: 3,
            stretch_permille: 3000,
            target_ms: 1000,
            ..Queue::default()
        };
        fleet.tables.set_config(
            Config {
                version: 1,
                queues: vec![queue("urgent", 0), queue("plain", 1)],
                accounts: vec![Account {
                    name: "brno".into(),
                    guaranteed: 64,
                    ..Account::default()
                }],
                body_limit: 1 << 18,
            }
            .into(),
        );
        for index in 0..workers {
            let report = fleet.report(index);
            observe::apply_report(&mut fleet.tables, Millis(fleet.now), FENCE, &report);
        }
        // The tasks just fit, so that the fleet is full.
        let processors = (60_000 * workers / tasks) as u32;
        for _ in 0..jobs {
            fleet.submit("plain", (tasks / jobs) as u32, processors);
        }
        fleet.tick();
        fleet.start_all();
        fleet
    }

    fn submit(&mut self, queue: &str, tasks: u32, processors: u32) {
        let step =
            Step { tasks, processors, memory_mb: 10, estimate_ms: 600_000, ..Step::default() };
        let queue = self.tables.config.queue(queue).expect("a queue of the fleet").clone();
        let record = Record {
            submission: Submission { steps: vec![step], ..Submission::default() },
            queue,
            account: "brno".to_owned(),
            accepted_ms: WALL_MS + self.now,
            intent: Intent::Wanted,
        };
        let (now, wall) = (Millis(self.now), WALL_MS + self.now);
        records::load_record(&mut self.tables, now, wall, Id(self.next_job), record);
        self.next_job += 1;
    }

    fn tick(&mut self) {
        tick::run(&mut self.tables, Millis(self.now), WALL_MS + self.now);
        dispatch::orders(&mut self.tables, Millis(self.now), &mut Vec::new());
    }

    /// Records all jobs and carries out all starts.
    fn start_all(&mut self) {
        for id in std::mem::take(&mut self.tables.dirty) {
            if let Some((version, _)) = records::snapshot(&self.tables, id) {
                records::mark_stored(&mut self.tables, id, version);
            }
        }
        let now = Millis(self.now);
        for dispatch in dispatch::orders(&mut self.tables, now, &mut Vec::new()) {
            order::apply_answer(&mut self.tables, now, &dispatch.order, &Answer::Done(self.now));
        }
    }

    fn report(&self, index: usize) -> Report {
        let node = format!("side-{index}");
        let runs = self.tables.nodes.get(&node).map_or(Vec::new(), |key| {
            let runs = self.tables.workers[*key].runs.iter();
            runs.map(|run| &self.tables.runs[*run])
                .map(|run| ListedRun {
                    task: run.task,
                    run: run.number,
                    checkpoint: String::new(),
                    percent: (self.now / 1000 % 100) as u32,
                    measure: 0,
                })
                .collect()
        });
        Report {
            node: node.clone(),
            clock: self.now,
            session: 1,
            fence: FENCE,
            version: 1,
            ended_incarnation: 0,
            ended_incarnations: SmallVec::new(),
            is_worker_responsive: true,
            is_stopping: false,
            stale_lease_until: 0,
            epoch: 0,
            partial_list: None,
            worker: Some(Announcement {
                id: node,
                incarnation: 1,
                service: "sim".into(),
                data_centre: "dc".into(),
                rack: format!("r-{}", index / 8),
                labels: vec!["a".into()],
                accelerators: 8,
                processors: 64_000,
                memory_mb: 131_072,
                ready: true,
                leaves_ms: 0,
            }),
            list: Some(List {
                incarnation: 1,
                fence: FENCE,
                sent_at: self.now,
                received_at: 0,
                running: runs,
                ends: Vec::new(),
                last_readable_end: None,
            }),
            crashes: Vec::new(),
        }
    }

    /// Applies reports of all workers without timing them, so that none is silent.
    fn refresh(&mut self, workers: usize) {
        for index in 0..workers {
            let report = self.report(index);
            observe::apply_report(&mut self.tables, Millis(self.now), FENCE, &report);
        }
        self.tick();
    }

    /// Times one report and the tick after it.
    fn time_reports(&mut self, workers: usize) -> Histogram<u64> {
        let mut histogram = Histogram::new(3).expect("a histogram");
        for tick in 0..TICKS {
            self.now += 1;
            if tick % 1000 == 0 {
                self.refresh(workers);
            }
            let report = self.report(tick * 7 % workers);
            let started_at = Instant::now();
            observe::apply_report(&mut self.tables, Millis(self.now), FENCE, &report);
            self.tick();
            record(&mut histogram, started_at.elapsed());
        }
        histogram
    }

    /// Times ticks while steps of urgent jobs wait and nothing is free.
    fn time_waiting(&mut self, workers: usize) -> Histogram<u64> {
        let mut histogram = Histogram::new(3).expect("a histogram");
        for _ in 0..WAITING_STEPS {
            self.submit("urgent", 4, 64_000);
        }
        for tick in 0..TICKS {
            self.now += 10;
            if tick % 100 == 0 {
                self.refresh(workers);
            }
            let started_at = Instant::now();
            self.tick();
            record(&mut histogram, started_at.elapsed());
        }
        histogram
    }
}
