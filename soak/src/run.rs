//! One run: load and faults for a while, then a time without faults in which the system has to
//! recover.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use lavendergauge_derive::value;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::resource::Resources;
use lavendergauge_stand_in::caller;
use lavendergauge_stand_in::store;
use lavendergauge_stand_in::worker;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::fault;
use crate::fault::Fault;
use crate::fault::FleetSize;
use crate::fault::Planned;
use crate::fleet;
use crate::fleet::Fleet;
use crate::judge;
use crate::judge::Breach;
use crate::judge::Promise;
use crate::link::Mode;
use crate::load;
use crate::load::Job;
use crate::load::Second;
use crate::load::Tally;

/// Time after the last fault within which the system accepts jobs again, as set by the
/// deployments.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Time limit for the accepted jobs to end once no more are submitted; enough for the backlog of
/// the load at full size.
const END_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a killed process needs to start, beyond its pause.
const RESTART_TIME: Duration = Duration::from_millis(1500);
/// Time limit for a graceful stop, as set by the deployments.
const STOP_BOUND: Duration = Duration::from_secs(6);
/// Time from a worker's announcement that it drains until it leaves; the shorter of the bounds set
/// by the deployments.
const LEAVE_NOTICE: Duration = Duration::from_millis(2000);
/// Number of jobs of a burst.
const BURST_JOBS: usize = 25;
/// Interval at which the judge checks what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between the queries of two jobs once no more are submitted.
const QUERY_PAUSE: Duration = Duration::from_millis(10);

/// What to run.
#[value]
pub struct Options {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Directory for settings, logs and the report.
    pub directory: PathBuf,
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Duration of load and faults.
    pub length: Duration,
    /// Size of the fleet.
    pub size: FleetSize,
    /// Number of callers.
    pub callers: usize,
}

/// The result of a run.
#[value]
pub struct Verdict {
    /// Seed.
    pub seed: u64,
    /// Breaches of promises.
    pub breaches: Vec<Breach>,
    /// Number of checks of each promise.
    pub checks: BTreeMap<Promise, u64>,
    /// Number of planned faults by kind.
    pub faults: BTreeMap<&'static str, u32>,
    /// Number of accepted jobs.
    pub accepted: usize,
}

/// Performs a run; returns the verdict and the counts of what callers got in each second.
///
/// # Errors
/// When the fleet does not start.
pub async fn run(options: &Options) -> Result<(Verdict, Vec<Second>), String> {
    let fleet = Fleet::start(&options.program, &options.directory, options.size).await?;
    let fleet = Arc::new(fleet);
    let tally = Arc::new(Tally::default());
    let (stop, stopped) = watch::channel(false);
    let due_checks = tokio::spawn(check_due_repeatedly(fleet.clone()));
    let mut callers = JoinSet::new();
    for index in 0..options.callers {
        let (fleet, tally) = (fleet.clone(), tally.clone());
        callers.spawn(load::run_caller(fleet, tally, options.seed, index, stopped.clone()));
    }
    let plan = fault::plan(options.seed, options.size, options.length);
    let faults = count_by_kind(&plan);
    inject_all(&fleet, &tally, options, plan).await;
    fleet.heal();
    let healed_at = fleet.now();
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    check_recovery(&fleet, &tally, options.seed, healed_at).await;
    wait_until_ended(&fleet, &tally).await;
    due_checks.abort();
    let _ = due_checks.await;
    let verdict = finish(&fleet, options.seed, faults);
    // The tasks that share the fleet have ended by now, or end after their last pause.
    match Arc::try_unwrap(fleet) {
        Ok(mut fleet) => fleet.close().await,
        Err(fleet) => drop(fleet),
    }
    Ok((verdict, tally.seconds()))
}

/// Counts the planned faults by kind.
fn count_by_kind(plan: &[Planned]) -> BTreeMap<&'static str, u32> {
    let mut counts = BTreeMap::new();
    for planned in plan {
        *counts.entry(planned.fault.kind()).or_default() += 1;
    }
    counts
}

/// Calls [`judge::Judge::check_due`] at intervals until the task is aborted.
async fn check_due_repeatedly(fleet: Arc<Fleet>) {
    loop {
        let now = fleet.now();
        fleet.judge().check_due(now);
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Injects the faults, each at its time and concurrently, and waits until all have ended.
async fn inject_all(fleet: &Arc<Fleet>, tally: &Arc<Tally>, options: &Options, plan: Vec<Planned>) {
    let started_at = time::Instant::now();
    let mut injections = JoinSet::new();
    for planned in plan {
        time::sleep_until(started_at + planned.at).await;
        let (fleet, tally) = (fleet.clone(), tally.clone());
        let seed = options.seed ^ planned.at.as_millis() as u64;
        injections.spawn(async move { inject(&fleet, &tally, seed, planned.fault).await });
    }
    time::sleep_until(started_at + options.length).await;
    while injections.join_next().await.is_some() {}
}

/// Injects a fault, after reporting it to the judge, and waits until it has ended.
async fn inject(fleet: &Arc<Fleet>, tally: &Arc<Tally>, seed: u64, fault: Fault) {
    let now = fleet.now();
    match fault {
        Fault::Stop(_) => fleet.judge().record_planned_work(now, STOP_BOUND + RESTART_TIME),
        Fault::Reload(_) | Fault::Config => {}
        _ => fleet.judge().record_disturbance(now, fault.duration() + RESTART_TIME),
    }
    let duration = fault.duration();
    match fault {
        Fault::Kill(node, restart_delay) => fleet.nodes[node].process.kill(restart_delay),
        Fault::Stop(node) => fleet.nodes[node].process.stop(),
        Fault::Pause(node, _) => {
            fleet.nodes[node].process.signal(Signal::SIGSTOP);
            time::sleep(duration).await;
            fleet.nodes[node].process.signal(Signal::SIGCONT);
        }
        Fault::Reload(node) => fleet.nodes[node].process.signal(Signal::SIGHUP),
        Fault::KillAll => fleet.nodes.iter().for_each(|node| node.process.kill(RESTART_TIME)),
        Fault::Link(node, mode, _) => {
            fleet.nodes[node].link.set(mode);
            time::sleep(duration).await;
            fleet.nodes[node].link.set(Mode::Open);
        }
        Fault::StoreLink(node, mode, _) => {
            fleet.nodes[node].store_link.set(mode);
            time::sleep(duration).await;
            fleet.nodes[node].store_link.set(Mode::Open);
        }
        Fault::Reset(node) => {
            fleet.nodes[node].link.reset();
            fleet.nodes[node].store_link.reset();
        }
        Fault::Silence(node) => {
            fleet.nodes[node].link.silence();
            fleet.nodes[node].store_link.silence();
        }
        Fault::Store(fault, _) => {
            fleet.store.set_fault(fault);
            time::sleep(duration).await;
            fleet.store.set_fault(store::Fault::None);
        }
        Fault::StoreForOne(node, fault, _) => {
            fleet.nodes[node].store_endpoint.set_fault(fault);
            time::sleep(duration).await;
            fleet.nodes[node].store_endpoint.set_fault(store::Fault::None);
        }
        Fault::Compact => fleet.store.compact(),
        Fault::ExpireLeases(_) => {
            fleet.store.set_fault(store::Fault::Silent);
            time::sleep(duration).await;
            fleet.store.end_leases();
            fleet.store.set_fault(store::Fault::None);
        }
        Fault::Crash(index, _) => {
            fleet.workers[index].stand_in.crash();
            time::sleep(duration).await;
            fleet.workers[index].stand_in.restart();
        }
        Fault::Worker(index, fault, _) => {
            fleet.workers[index].stand_in.set_fault(fault);
            time::sleep(duration).await;
            fleet.workers[index].stand_in.set_fault(worker::Fault::None);
        }
        Fault::Leave(index) => leave(fleet, index).await,
        Fault::Config => fleet.put_config(|_| {}),
        Fault::Revoke(_) => {
            let key = fleet::key(fleet::OTHER_ACCOUNT);
            fleet.put_config(|removed| _ = removed.insert(key.clone()));
            time::sleep(duration).await;
            fleet.put_config(|removed| _ = removed.remove(&key));
        }
        Fault::Evacuate(index, _) => {
            let data_centre = &fleet.workers[index].data_centre;
            fleet.evacuate(data_centre, true);
            time::sleep(duration).await;
            fleet.evacuate(data_centre, false);
        }
        Fault::Burst => burst(fleet, tally, seed).await,
        Fault::Shrink(index, accelerators, _) => {
            fleet.set_accelerators(index, accelerators);
            time::sleep(duration).await;
            fleet.set_accelerators(index, fleet::CAPACITY.accelerators);
        }
        Fault::CrashingJob => {
            let mut rng = SmallRng::seed_from_u64(seed);
            let job =
                Job { payload: worker::crashing_payload(), ..load::draw(&mut rng, false, false) };
            load::submit_job(fleet, tally, &mut rng, &job).await;
        }
    }
}

/// Makes a worker drain, leave and restart.
async fn leave(fleet: &Fleet, index: usize) {
    let worker = &fleet.workers[index];
    worker.stand_in.drain();
    time::sleep(LEAVE_NOTICE).await;
    let now = fleet.now();
    fleet.judge().record_disturbance(now, RESTART_TIME);
    worker.stand_in.leave(&worker.heartbeat_address).await;
    time::sleep(RESTART_TIME).await;
    worker.stand_in.restart();
}

/// Submits many jobs at once.
async fn burst(fleet: &Arc<Fleet>, tally: &Arc<Tally>, seed: u64) {
    let mut jobs = JoinSet::new();
    for index in 0..BURST_JOBS {
        let (fleet, tally) = (fleet.clone(), tally.clone());
        jobs.spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(index as u64));
            let job = load::draw(&mut rng, false, false);
            load::submit_job(&fleet, &tally, &mut rng, &job).await;
        });
    }
    while jobs.join_next().await.is_some() {}
}

/// Waits until the system accepts a job again, then submits a job that needs the whole guarantee.
async fn check_recovery(fleet: &Fleet, tally: &Tally, seed: u64, healed_at: Millis) {
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::MAX);
    let mut probe = |account, queue, accelerators, is_guaranteed| Job {
        id: Id(rng.random()),
        queue,
        account,
        payload: worker::payload(500, false),
        steps: vec![Step {
            tasks: 1,
            accelerators,
            processors: 1000,
            memory_mb: 100,
            estimate_ms: 500,
            ..Step::default()
        }],
        is_guaranteed,
    };
    let mut entry_rng = SmallRng::seed_from_u64(seed);
    let mut was_accepted = false;
    while !was_accepted && fleet.now() < healed_at + RECOVERY_BOUND {
        let job = probe(fleet::OTHER_ACCOUNT, fleet::ORDINARY_QUEUE, 1, false);
        was_accepted = load::submit_job(fleet, tally, &mut entry_rng, &job).await;
    }
    let now = fleet.now();
    fleet.judge().check(now, Promise::Recovery, was_accepted, || {
        "no job was accepted in time after the last fault".to_owned()
    });
    time::sleep(RECOVERY_BOUND.saturating_sub(now.since(healed_at))).await;
    let job =
        probe(fleet::GUARANTEED_ACCOUNT, fleet::URGENT_QUEUE, fleet::GUARANTEED_ACCELERATORS, true);
    load::submit_job(fleet, tally, &mut entry_rng, &job).await;
    time::sleep(judge::RECLAIM_BOUND + CHECK_INTERVAL * 2).await;
}

/// Waits until every accepted job has ended.
async fn wait_until_ended(fleet: &Fleet, tally: &Tally) {
    let deadline = fleet.now() + END_TIMEOUT;
    let mut entry = 0;
    while fleet.now() < deadline {
        let unfinished = fleet.judge().unfinished();
        if unfinished.is_empty() {
            return;
        }
        for id in unfinished {
            // The judge does not record a job's account, and an entry shows a job's state only to
            // the account that submitted it.
            for (account, queue) in [
                (fleet::OTHER_ACCOUNT, fleet::ORDINARY_QUEUE),
                (fleet::GUARANTEED_ACCOUNT, fleet::URGENT_QUEUE),
            ] {
                let caller = fleet.caller(account);
                load::query_state(fleet, tally, &caller, entry % fleet.entries.len(), queue, id)
                    .await;
            }
            entry += 1;
            time::sleep(QUERY_PAUSE).await;
        }
    }
}

/// Makes the last checks and returns the verdict.
fn finish(fleet: &Fleet, seed: u64, faults: BTreeMap<&'static str, u32>) -> Verdict {
    let now = fleet.now();
    let mut judge = fleet.judge();
    for node in &fleet.nodes {
        let unexpected_exits = node.process.unexpected_exits();
        judge.check(now, Promise::Alive, unexpected_exits.is_empty(), || {
            unexpected_exits.join("; ")
        });
    }
    judge.finish(now);
    Verdict {
        seed,
        breaches: judge.breaches.clone(),
        checks: judge.checks.clone(),
        faults,
        accepted: judge.accepted_count(),
    }
}

impl Fleet {
    /// Takes a data centre out, or puts it back in.
    fn evacuate(&self, data_centre: &str, out: bool) {
        let key = caller::evacuation_key(data_centre);
        if out {
            self.store.put(&key, &serde_json::json!({}));
        } else {
            self.store.remove(&key);
        }
        self.judge().record_evacuation(self.now(), data_centre, out);
    }

    /// Sets the accelerators of a worker.
    fn set_accelerators(&self, index: usize, accelerators: u32) {
        let capacity = Resources { accelerators, ..fleet::CAPACITY };
        self.judge().record_capacity(self.now(), index, capacity);
        self.workers[index].stand_in.set_accelerators(accelerators);
    }

    /// Ends the faults that may still last.
    fn heal(&self) {
        self.store.set_fault(store::Fault::None);
        for node in &self.nodes {
            node.link.set(Mode::Open);
            node.store_link.set(Mode::Open);
            node.store_endpoint.set_fault(store::Fault::None);
            node.process.signal(Signal::SIGCONT);
        }
        for worker in &self.workers {
            worker.stand_in.set_fault(worker::Fault::None);
        }
        let now = self.now();
        self.judge().record_disturbance(now, RESTART_TIME);
    }
}
