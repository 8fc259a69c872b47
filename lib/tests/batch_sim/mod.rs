//! Simulation of workers around the planner's tables, with a clock of its own.
//!
//! It runs a workload against the planner's decisions and checks three invariants at every step: no
//! start brings a worker over its capacity, no task has two runs at a time, and the lists and figures
//! that the tables keep are what their rows say.

#![allow(dead_code)]

pub mod indices;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use lavendergauge_lib::batch::change::Change;
use lavendergauge_lib::batch::config::Account;
use lavendergauge_lib::batch::config::Bounds;
use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_lib::batch::crash::Crash;
use lavendergauge_lib::batch::crash::Ledger;
use lavendergauge_lib::batch::dispatch;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Intent;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::Submission;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::batch::order;
use lavendergauge_lib::batch::order::Answer;
use lavendergauge_lib::batch::order::Order;
use lavendergauge_lib::batch::order::Verb;
use lavendergauge_lib::batch::policy::Policy;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::records;
use lavendergauge_lib::batch::report::Announcement;
use lavendergauge_lib::batch::report::End;
use lavendergauge_lib::batch::report::Ending;
use lavendergauge_lib::batch::report::List;
use lavendergauge_lib::batch::report::ListedRun;
use lavendergauge_lib::batch::report::Report;
use lavendergauge_lib::batch::table;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::batch::tick;
use lavendergauge_lib::clock::Millis;
use smallvec::SmallVec;

/// Length of one step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 20;
/// Time of day at the simulation's start, in Unix milliseconds.
const WALL_MS: u64 = 1_700_000_000_000;
/// Time that a stopped run takes to end, in milliseconds.
const STOP_MS: u64 = 400;

/// Most ends that a worker lists at a time.
pub const MAX_LISTED_ENDS: usize = 500;

/// Time for which a worker is down after a crash, in milliseconds.
pub const DOWN_MS: u64 = 3000;

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run among the runs of its task.
    pub run: u32,
    pub began_at: u64,
    pub duration_ms: u64,
    /// When it ends because it was ordered to stop.
    pub stops_at: Option<u64>,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub node: String,
    pub rack: String,
    pub incarnation: u64,
    pub runs: BTreeMap<Task, Run>,
    /// Highest number of each task's runs that have ended or were ordered to stop; it refuses to
    /// start runs up to this number.
    pub refused: BTreeMap<Task, u32>,
    /// Ends of runs that the planner has not acknowledged.
    pub ends: Vec<End>,
    pub last_end: u64,
    /// Highest fencing token that it has received.
    pub fence: u64,
    /// Time until which its runs may continue.
    pub lease_until: u64,
    /// Time until which its agent reports that it may hold a lease of an earlier incarnation.
    pub stale_lease_until: u64,
    /// Tasks whose runs its agent cannot read in its list.
    pub omitted: BTreeSet<Task>,
    /// Whether the planner reaches its agent.
    pub reachable: bool,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether its runs make no progress.
    pub is_stuck: bool,
    /// Whether its runs pause: they do no work, which is still to be done afterwards.
    pub is_paused: bool,
    /// Time that it takes for the same work, in thousandths of the usual time.
    pub slow_permille: u64,
    /// Whether every run that it starts fails at once.
    pub fails: bool,
    /// Start of a run from which on it fails, if the worker fails what it starts.
    pub fails_since: u64,
    /// Whether answers to orders are lost.
    pub loses_answers: bool,
    /// Whether its agent refuses every start.
    pub refuses: bool,
    /// Whether it answered its agent's last call.
    pub is_responsive: bool,
    /// Incarnation that its agent still reports, after a restart that the agent has not noticed.
    pub believed_incarnation: Option<u64>,
    /// The runs on the present incarnation, as the agent knows them.
    pub ledger: Ledger,
    /// Crashes that the agent noticed.
    pub crashes: Vec<Crash>,
    /// Incarnation that the ledger is about.
    pub ledger_incarnation: u64,
    /// Until when it is down after a crash.
    pub down_until: u64,
    /// Accelerators that it has now.
    pub accelerators: u32,
    /// Its accelerators as the last check saw them, and what it had before and until when.
    known_accelerators: u32,
    larger: Vec<(u64, u32)>,
}

impl Worker {
    /// Ends a run and lists its end.
    fn end_run(&mut self, task: Task, ending: Ending, how: &str) {
        let run = self.runs.remove(&task).expect("a run of the worker");
        self.last_end += 1;
        self.refused.insert(task, run.run);
        self.ends.push(End {
            number: self.last_end,
            task,
            run: run.run,
            ending,
            how: how.to_owned(),
            checkpoint: String::new(),
        });
    }
}

/// A submitted job.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    pub at: u64,
    pub work_ms: u64,
    /// Time from submission within which it should end.
    pub objective_ms: u64,
    pub ended: Option<u64>,
}

/// State of a simulation.
pub struct Simulation {
    pub now: u64,
    pub tables: Tables,
    /// Fencing token of the planner.
    pub fence: u64,
    pub workers: Vec<Worker>,
    /// Progress of the jobs in the store.
    pub stored: BTreeMap<Id, Progress>,
    pub records: BTreeMap<Id, Record>,
    pub submitted: BTreeMap<Id, SubmittedJob>,
    pub config: Arc<Config>,
    /// Every start of a run: its time, task, run number and worker.
    pub starts: Vec<(u64, Task, u32, String)>,
    /// Tasks with a run that succeeded.
    pub done: BTreeSet<Task>,
    /// Sum of the durations of runs that ended without success.
    pub wasted_ms: u64,
    /// Whether progress cannot be stored.
    pub store_down: bool,
    /// Orders to run at a share of the full speed, in percent.
    pub paced: Vec<(Task, u32)>,
    /// Tasks that crash every worker that starts them.
    pub crashing: BTreeSet<Task>,
    /// Every crash of a worker: its time, and the tasks that ran there.
    pub crashes: Vec<(u64, Vec<Task>)>,
    /// Time for which a start may still use a capacity that has shrunk, in milliseconds.
    pub capacity_grace_ms: u64,
    /// Workers on which such a task has started.
    crashes_next: BTreeSet<usize>,
    next_id: u64,
}

/// A queue of the simulation.
pub fn queue(name: &str, priority: u32, stretch_permille: u64) -> Queue {
    Queue {
        name: name.to_owned(),
        service: "sim".to_owned(),
        priority,
        attempts: 3,
        stretch_permille,
        target_ms: 1000,
        ..Queue::default()
    }
}

/// Returns a step of `tasks` tasks, each of which takes a number of accelerators.
pub fn step(tasks: u32, accelerators: u32, estimate_ms: u64) -> Step {
    Step { tasks, accelerators, processors: 1000, memory_mb: 1024, estimate_ms, ..Step::default() }
}

/// Returns a gang of `tasks` members, each of which fills a worker.
pub fn gang(tasks: u32, estimate_ms: u64) -> Step {
    Step { gang: true, ..step(tasks, 8, estimate_ms) }
}

/// Returns the optional decisions about placement: none, and all of them.
pub fn policies() -> [Policy; 2] {
    let all = Policy {
        worker_speed: true,
        worker_trust: true,
        shortage: true,
        account_shares: true,
        ..Policy::default()
    };
    [Policy::default(), all]
}

impl Simulation {
    /// Creates `racks` racks of three workers with eight accelerators each.
    pub fn new(racks: usize) -> Simulation {
        let config = Config {
            version: 1,
            queues: vec![
                queue("urgent", 0, 1500),
                queue("plain", 1, 3000),
                queue("patient", 2, 3000),
            ],
            accounts: vec![
                Account { name: "brno".into(), keys: Vec::new(), guaranteed: 24 },
                Account { name: "praha".into(), keys: Vec::new(), guaranteed: 8 },
            ],
            body_limit: 1 << 18,
        };
        let workers = (0..racks * 3)
            .map(|index| Worker {
                node: format!("side-{index}"),
                rack: format!("r-{}", index / 3),
                incarnation: 1 + index as u64,
                runs: BTreeMap::new(),
                refused: BTreeMap::new(),
                ends: Vec::new(),
                last_end: 0,
                fence: 0,
                lease_until: 0,
                stale_lease_until: 0,
                omitted: BTreeSet::new(),
                reachable: true,
                ready: true,
                is_stuck: false,
                is_paused: false,
                slow_permille: 1000,
                fails: false,
                fails_since: 0,
                loses_answers: false,
                refuses: false,
                is_responsive: true,
                believed_incarnation: None,
                ledger: Ledger::default(),
                crashes: Vec::new(),
                ledger_incarnation: 1 + index as u64,
                down_until: 0,
                accelerators: 8,
                known_accelerators: 8,
                larger: Vec::new(),
            })
            .collect();
        let mut sim = Simulation {
            now: 100_000,
            tables: Tables::new(bounds(), Millis(100_000)),
            fence: 1,
            workers,
            stored: BTreeMap::new(),
            records: BTreeMap::new(),
            submitted: BTreeMap::new(),
            config: Arc::new(config),
            starts: Vec::new(),
            done: BTreeSet::new(),
            wasted_ms: 0,
            store_down: false,
            paced: Vec::new(),
            crashing: BTreeSet::new(),
            crashes: Vec::new(),
            capacity_grace_ms: 0,
            crashes_next: BTreeSet::new(),
            next_id: 1,
        };
        sim.run_for(200);
        sim
    }

    /// Makes a queue require advice, with tickets that are valid for `valid_ms`.
    pub fn require_advice(&mut self, name: &str, valid_ms: u64) {
        let mut config = Config::clone(&self.config);
        for queue in config.queues.iter_mut().filter(|queue| queue.name == name) {
            queue.advice_valid_ms = valid_ms;
        }
        self.config = Arc::new(config);
    }

    /// Submits a job; each of its tasks takes `work_ms`.
    pub fn submit(
        &mut self,
        queue_name: &str,
        account: &str,
        steps: Vec<Step>,
        work_ms: u64,
    ) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        let queue = self.config.queue(queue_name).cloned().expect("a queue of the simulation");
        let objective_ms = work_ms * queue.stretch_permille / 1000 + queue.target_ms;
        let record = Record {
            submission: Submission { payload: "p".into(), steps, ..Submission::default() },
            queue,
            account: account.to_owned(),
            accepted_ms: self.wall(),
            intent: Intent::Wanted,
        };
        self.records.insert(id, record.clone());
        self.submitted
            .insert(id, SubmittedJob { at: self.now, work_ms, objective_ms, ended: None });
        let wall = self.wall();
        records::load_record(&mut self.tables, Millis(self.now), wall, id, record);
        id
    }

    /// Submits a job whose objective follows from `work_ms` while each of its tasks takes
    /// `duration_ms`.
    pub fn submit_lasting(
        &mut self,
        queue_name: &str,
        account: &str,
        steps: Vec<Step>,
        work_ms: u64,
        duration_ms: u64,
    ) -> Id {
        let id = self.submit(queue_name, account, steps, work_ms);
        self.submitted.get_mut(&id).expect("the job just submitted").work_ms = duration_ms;
        id
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: Id) {
        let record = self.records.get_mut(&id).expect("a job of the simulation");
        record.intent = Intent::Cancelled;
        let record = record.clone();
        let wall = self.wall();
        records::load_record(&mut self.tables, Millis(self.now), wall, id, record);
    }

    /// Returns the time of day, in Unix milliseconds.
    pub fn wall(&self) -> u64 {
        WALL_MS + self.now
    }

    /// Returns the state of a job as reported to its caller.
    pub fn state(&self, id: Id) -> Option<State> {
        self.tables.jobs.get(&id).map(|job| job.state())
    }

    /// Replaces the planner by another one, which loads what is stored.
    pub fn take_over(&mut self) {
        self.fence += 1;
        let policy = self.tables.policy;
        self.tables = Tables::new(bounds(), Millis(self.now));
        self.tables.policy = policy;
        let (now, wall) = (Millis(self.now), self.wall());
        for (id, record) in &self.records {
            records::load_record(&mut self.tables, now, wall, *id, record.clone());
        }
        for (id, progress) in &self.stored {
            records::load_progress(&mut self.tables, now, wall, *id, progress);
        }
    }

    /// Runs the simulation for `ms`.
    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.note_capacities();
            for index in std::mem::take(&mut self.crashes_next) {
                self.crash(index);
            }
            self.advance_runs();
            self.send_reports();
            self.tick();
            self.check_invariants();
        }
    }

    /// Runs until every job has ended, or for `ms` at most; returns whether all have ended.
    pub fn run_until_ended(&mut self, ms: u64) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if self.submitted.values().all(|submitted| submitted.ended.is_some()) {
                return true;
            }
            self.run_for(STEP_MS);
        }
        false
    }

    /// Notes which workers have shrunk.
    fn note_capacities(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.accelerators < worker.known_accelerators {
                worker.larger.push((now, worker.known_accelerators));
            }
            worker.known_accelerators = worker.accelerators;
        }
    }

    /// Returns the greatest capacity that a worker has or had within the grace.
    fn tolerated_accelerators(&self, worker: &Worker) -> u32 {
        let is_recent = |(at, _): &&(u64, u32)| self.now <= at + self.capacity_grace_ms;
        let recent = worker.larger.iter().filter(is_recent).map(|(_, count)| *count);
        recent.max().unwrap_or(0).max(worker.accelerators)
    }

    fn advance_runs(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            let lease_expired = worker.lease_until < now && !worker.runs.is_empty();
            let runs: Vec<Task> = worker.runs.keys().copied().collect();
            for task in runs {
                if worker.is_paused {
                    worker.runs.entry(task).and_modify(|run| run.began_at += STEP_MS);
                }
                let run = worker.runs[&task].clone();
                let ending = if lease_expired {
                    Some((Ending::Over, "lapsed"))
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    Some((Ending::Over, "stopped"))
                } else if worker.is_stuck || run.stops_at.is_some() {
                    None
                } else if worker.fails && worker.fails_since <= run.began_at {
                    Some((Ending::Failed, "failed"))
                } else if run.began_at + run.duration_ms <= now {
                    Some((Ending::Done, "done"))
                } else {
                    None
                };
                let Some((ending, how)) = ending else { continue };
                worker.end_run(task, ending, how);
                if ending != Ending::Done {
                    self.wasted_ms += now - run.began_at;
                } else {
                    self.done.insert(task);
                }
            }
        }
    }

    fn send_reports(&mut self) {
        for index in 0..self.workers.len() {
            if !self.workers[index].reachable {
                continue;
            }
            self.workers[index].fence = self.workers[index].fence.max(self.fence);
            self.apply_acknowledgements(index);
            self.note_crash(index);
            let report = self.report_of(index);
            let changes =
                observe::apply_report(&mut self.tables, Millis(self.now), self.fence, &report);
            for change in changes {
                match change {
                    Change::Unexpected(task, run) => self.stop(index, task, run),
                    // The workers keep ends until these are acknowledged.
                    Change::EndUnread(task, run) => {
                        panic!("the end of {task}, run {run}, was not read")
                    }
                    _ => {}
                }
            }
        }
    }

    /// Makes an agent compare its ledger with what its worker runs.
    fn note_crash(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if worker.believed_incarnation.is_some() || now < worker.down_until {
            return;
        }
        if worker.ledger_incarnation < worker.incarnation {
            worker.crashes.push(worker.ledger.close(worker.ledger_incarnation, now));
            worker.ledger_incarnation = worker.incarnation;
        }
        let rows: Vec<ListedRun> = worker
            .runs
            .iter()
            .map(|(task, run)| ListedRun {
                task: *task,
                run: run.run,
                checkpoint: String::new(),
                percent: 0,
                measure: 0,
            })
            .collect();
        worker.ledger.apply_list(&rows, now);
    }

    fn apply_acknowledgements(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let Some(key) = self.tables.nodes.get(&worker.node) else { return };
        let row = &self.tables.workers[*key];
        if row.incarnation == worker.incarnation {
            worker.ends.retain(|end| row.acknowledged < end.number);
        }
        if row.session == 1 {
            worker.lease_until = worker.lease_until.max(row.grant_until);
        }
    }

    /// Ends a run with success, without any report of it.
    pub fn end_run(&mut self, index: usize, task: Task) {
        self.workers[index].end_run(task, Ending::Done, "done");
        self.done.insert(task);
    }

    /// Returns the report that an agent would send now.
    pub fn report_of(&self, index: usize) -> Report {
        let worker = &self.workers[index];
        let is_down = self.now < worker.down_until;
        let incarnation = if is_down {
            worker.ledger_incarnation
        } else {
            worker.believed_incarnation.unwrap_or(worker.incarnation)
        };
        let row = |(task, run): (&Task, &Run)| {
            let elapsed = if worker.is_stuck { 0 } else { self.now - run.began_at };
            let percent = (elapsed * 100 / run.duration_ms.max(1)).min(99) as u32;
            ListedRun { task: *task, run: run.run, checkpoint: String::new(), percent, measure: 0 }
        };
        let announcement = Announcement {
            id: worker.node.clone(),
            incarnation,
            service: "sim".into(),
            data_centre: "dc".into(),
            rack: worker.rack.clone(),
            labels: vec!["a".into(), worker.rack.clone()],
            accelerators: worker.accelerators,
            processors: 64_000,
            memory_mb: 131_072,
            ready: worker.ready,
            leaves_ms: 0,
        };
        let list = (worker.believed_incarnation.is_none() && !is_down).then(|| List {
            incarnation,
            fence: worker.fence,
            sent_at: self.now,
            received_at: self.now,
            running: worker
                .runs
                .iter()
                .filter(|(task, _)| !worker.omitted.contains(task))
                .map(row)
                .collect(),
            ends: worker.ends.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            last_readable_end: None,
        });
        let is_partial = !worker.omitted.is_empty() || MAX_LISTED_ENDS <= worker.ends.len();
        Report {
            node: worker.node.clone(),
            clock: self.now,
            session: 1,
            fence: worker.fence,
            version: 0,
            ended_incarnation: 0,
            ended_incarnations: SmallVec::new(),
            is_worker_responsive: worker.is_responsive && !is_down,
            is_stopping: false,
            worker: Some(announcement),
            list: list.clone().filter(|_| !is_partial),
            partial_list: list.filter(|_| is_partial),
            stale_lease_until: worker.stale_lease_until,
            epoch: 0,
            crashes: worker.crashes.clone(),
        }
    }

    fn stop(&mut self, index: usize, task: Task, run: u32) {
        let at = self.now + STOP_MS;
        let worker = &mut self.workers[index];
        let refused = worker.refused.entry(task).or_default();
        *refused = (*refused).max(run);
        if let Some(found) = worker.runs.get_mut(&task)
            && found.run <= run
        {
            found.stops_at.get_or_insert(at);
        }
    }

    fn tick(&mut self) {
        self.tables.set_config(self.config.clone());
        let (now, wall) = (Millis(self.now), self.wall());
        tick::run(&mut self.tables, now, wall);
        if !self.store_down {
            self.store();
        }
        for dispatch in dispatch::orders(&mut self.tables, now, &mut Vec::new()) {
            let index = self.workers.iter().position(|w| w.node == dispatch.node);
            let Some(index) = index else { continue };
            let answer = self.carry_out(index, &dispatch.order);
            order::apply_answer(&mut self.tables, now, &dispatch.order, &answer);
        }
        for (id, submitted) in &mut self.submitted {
            let state = self.tables.jobs.get(id).map(|job| job.state());
            let has_ended =
                matches!(state, Some(State::Completed | State::Failed | State::Cancelled));
            if has_ended && submitted.ended.is_none() {
                submitted.ended = Some(self.now);
            }
        }
    }

    /// Stores every record that has changed.
    pub fn store(&mut self) {
        let ids: Vec<Id> = std::mem::take(&mut self.tables.dirty).into_iter().collect();
        for id in ids {
            if let Some((version, progress)) = records::snapshot(&self.tables, id) {
                self.stored.insert(id, progress);
                records::mark_stored(&mut self.tables, id, version);
            }
        }
    }

    fn carry_out(&mut self, index: usize, order: &Order) -> Answer {
        if !self.workers[index].reachable {
            return Answer::Unknown;
        }
        let worker = &self.workers[index];
        if self.now < worker.down_until {
            return Answer::Unknown;
        }
        if order.incarnation != worker.believed_incarnation.unwrap_or(worker.incarnation) {
            return Answer::Gone;
        }
        let loses_answers = self.workers[index].loses_answers;
        let answer = match &order.verb {
            Verb::Stop => {
                self.stop(index, order.task, order.run);
                Answer::Done(self.now)
            }
            Verb::Start { .. } => self.start(index, order),
            Verb::Pace(percent) => {
                self.paced.push((order.task, *percent));
                Answer::Done(self.now)
            }
        };
        if loses_answers { Answer::Unknown } else { answer }
    }

    fn start(&mut self, index: usize, order: &Order) -> Answer {
        let work_ms = self.submitted[&order.task.instance.job].work_ms;
        let duration_ms = work_ms * self.slowest_permille(index, order.task) / 1000;
        let (now, fence) = (self.now, self.fence);
        let worker = &mut self.workers[index];
        if worker.refuses {
            return Answer::Refused("worker-leaving".into());
        }
        if worker.refused.get(&order.task).is_some_and(|run| order.run <= *run) {
            return Answer::Refused("old".into());
        }
        if fence < worker.fence {
            return Answer::Refused("fence".into());
        }
        let run = Run { run: order.run, began_at: now, duration_ms, stops_at: None };
        worker.runs.insert(order.task, run);
        let used: u32 = self.workers[index].runs.keys().map(|task| self.demand_of(task)).sum();
        let tolerated = self.tolerated_accelerators(&self.workers[index]);
        let worker = &mut self.workers[index];
        assert!(used <= tolerated, "{} is brought over its capacity at {now}", worker.node);
        let row = self.tables.nodes.get(&worker.node).map(|key| &self.tables.workers[*key]);
        worker.lease_until = worker.lease_until.max(row.map_or(0, |row| row.grant_until));
        self.starts.push((now, order.task, order.run, worker.node.clone()));
        worker.ledger.begin_start(order.task, order.run, now);
        if !worker.loses_answers {
            worker.ledger.confirm_start(order.task, order.run, now);
        }
        if self.crashing.contains(&order.task) {
            self.crashes_next.insert(index);
        }
        assert!(
            !self.done.contains(&order.task) || self.is_end_lost(order.task),
            "{order:?} starts a task that is done"
        );
        Answer::Done(now)
    }

    /// Returns the time that a task takes on a worker, in thousandths of the usual time; the members of
    /// a gang advance together.
    fn slowest_permille(&self, index: usize, task: Task) -> u64 {
        let is_gang = self.tables.step(task.instance).is_some_and(|step| step.gang);
        let of_run = |run: &table::Run| {
            let node = &self.tables.workers[run.worker].node;
            self.workers.iter().find(|w| w.node == *node).map_or(0, |w| w.slow_permille)
        };
        let is_member = |run: &&table::Run| is_gang && run.task.instance == task.instance;
        let slowest = self.tables.runs.values().filter(is_member).map(of_run).max().unwrap_or(0);
        slowest.max(self.workers[index].slow_permille)
    }

    /// Tells whether the success of a task was lost with its worker's memory.
    fn is_end_lost(&self, task: Task) -> bool {
        !self.workers.iter().any(|worker| {
            worker.ends.iter().any(|end| end.task == task && end.ending == Ending::Done)
        }) && !self.recorded_done(task)
    }

    fn recorded_done(&self, task: Task) -> bool {
        self.stored.get(&task.instance.job).is_some_and(|progress| {
            progress.occurrences.iter().any(|row| {
                row.number == task.instance.occurrence
                    && row.steps[usize::from(task.instance.step)][task.index as usize].done
            })
        })
    }

    /// Returns the number of accelerators that a task needs.
    fn demand_of(&self, task: &Task) -> u32 {
        let steps = &self.records[&task.instance.job].submission.steps;
        steps[usize::from(task.instance.step)].accelerators
    }

    /// Checks the invariants.
    fn check_invariants(&self) {
        indices::check(&self.tables);
        let mut seen: BTreeMap<Task, &str> = BTreeMap::new();
        for worker in &self.workers {
            for (task, run) in &worker.runs {
                let other = seen.insert(*task, &worker.node);
                assert!(
                    other.is_none(),
                    "{task} runs on {} (run {}) and on {other:?} at {}",
                    worker.node,
                    run.run,
                    self.now
                );
            }
        }
    }

    /// Restarts a worker: its runs are gone, and its lists are empty.
    pub fn restart(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.incarnation += 1000;
        worker.runs.clear();
        worker.refused.clear();
        worker.ends.clear();
        worker.last_end = 0;
    }

    /// Crashes a worker; its next incarnation is up after [`DOWN_MS`].
    pub fn crash(&mut self, index: usize) {
        let running = self.workers[index].runs.keys().copied().collect();
        self.crashes.push((self.now, running));
        self.restart(index);
        self.workers[index].down_until = self.now + DOWN_MS;
    }

    /// Restarts a worker whose agent does not notice it before [`Simulation::notice_restart`].
    pub fn restart_unnoticed(&mut self, index: usize) {
        let before = self.workers[index].incarnation;
        self.restart(index);
        self.workers[index].believed_incarnation = Some(before);
    }

    /// Makes a worker's agent notice its restart.
    pub fn notice_restart(&mut self, index: usize) {
        self.workers[index].believed_incarnation = None;
    }

    /// Returns the share of the jobs of a queue that ended within their objective, in percent.
    pub fn percent_in_objective(&self, queue: &str) -> u64 {
        let of_queue: Vec<&SubmittedJob> = self
            .submitted
            .iter()
            .filter(|(id, _)| self.records[id].queue.name == queue)
            .map(|(_, submitted)| submitted)
            .collect();
        let good = of_queue
            .iter()
            .filter(|submitted| {
                submitted.ended.is_some_and(|ended| ended <= submitted.at + submitted.objective_ms)
            })
            .count();
        (good * 100 / of_queue.len().max(1)) as u64
    }

    /// Returns the time from a job's submission until the last task of its first step started, in
    /// milliseconds; `None` before.
    pub fn all_started(&self, id: Id) -> Option<u64> {
        let tasks = self.records[&id].submission.steps[0].tasks;
        let mut first: BTreeMap<u32, u64> = BTreeMap::new();
        for (at, task, _, _) in self.starts.iter().filter(|(_, task, _, _)| task.instance.job == id)
        {
            first.entry(task.index).or_insert(*at);
        }
        if (first.len() as u32) < tasks {
            return None;
        }
        first.values().max().map(|at| at - self.submitted[&id].at)
    }
}

/// The bounds of the simulation.
pub fn bounds() -> Bounds {
    Bounds { stop_grace_ms: 400, remote_permille: 3000, reclaim_ms: 2900, keep_ms: 120_000 }
}
