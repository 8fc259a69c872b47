//! Plain schedulers beside which the planner is measured: no guarantees, no preemption.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::fleet::Report;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Cause;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::planner::Submission;
use lavendergauge_lib::set::Set;
use lavendergauge_lib::shape::Adjacency;
use lavendergauge_lib::shape::Seat;
use lavendergauge_lib::shape::Seats;

/// How a baseline chooses.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// In order of arrival whatever fits, on the first worker that has room.
    FirstFit,
    /// In order of arrival whatever fits, on the worker that is left fullest.
    BestFit,
    /// In order of arrival; the first that does not fit gets a reservation by declared run
    /// times, and later ones start only if they do not delay it.
    Easy,
}

struct Worker {
    centre: Name,
    group: (Name, Name),
    name: Name,
    free: Set,
    gone: bool,
}

struct Running {
    submission: Submission,
    seats: Vec<(usize, Set)>,
    ends: Millis,
    attempt: u32,
    stopping: bool,
}

/// Members on workers.
type Plan = Vec<(usize, u32)>;

/// A plain scheduler.
pub struct Baseline {
    rule: Rule,
    workers: Vec<Worker>,
    open: HashMap<Name, bool>,
    waiting: BTreeMap<u64, (Submission, u32)>,
    arrived: HashMap<Name, u64>,
    running: HashMap<Name, Running>,
    next: u64,
    dirty: bool,
}

impl Baseline {
    /// Makes an idle scheduler.
    pub fn new(rule: Rule) -> Baseline {
        Baseline {
            rule,
            workers: Vec::new(),
            open: HashMap::new(),
            waiting: BTreeMap::new(),
            arrived: HashMap::new(),
            running: HashMap::new(),
            next: 0,
            dirty: true,
        }
    }

    /// Takes in one event.
    pub fn apply(&mut self, event: Event) {
        self.dirty = true;
        match event {
            Event::Configure(config) => {
                self.open = config.zones.into_iter().map(|zone| (zone.name, zone.open)).collect();
            }
            Event::Announce(report) => self.announce(report),
            Event::Lose(worker) => {
                for row in self.workers.iter_mut().filter(|row| row.name == worker) {
                    row.gone = true;
                }
            }
            Event::Submit(submission) => {
                self.arrived.insert(submission.job.clone(), self.next);
                self.waiting.insert(self.next, (submission, 0));
                self.next += 1;
            }
            Event::Stopped { job, .. } => {
                if let Some(row) = self.release(&job) {
                    let place = self.arrived[&job];
                    self.waiting.insert(place, (row.submission, row.attempt));
                }
            }
            Event::Ended { job } => {
                self.release(&job);
            }
            _ => {}
        }
    }

    fn announce(&mut self, report: Report) {
        if let Some(row) = self.workers.iter_mut().find(|row| row.name == report.worker) {
            row.gone = false;
            return;
        }
        self.workers.push(Worker {
            centre: report.data_centre.clone(),
            group: (report.data_centre, report.rack),
            name: report.worker,
            free: Set::first(u32::from(report.accelerators)),
            gone: false,
        });
    }

    fn release(&mut self, job: &Name) -> Option<Running> {
        let row = self.running.remove(job)?;
        for &(worker, held) in &row.seats {
            self.workers[worker].free = self.workers[worker].free.union(held);
        }
        Some(row)
    }

    /// Decides what starts and stops now.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if !std::mem::take(&mut self.dirty) {
            return actions;
        }
        self.evacuate(&mut actions);
        let mut free: Vec<u32> = (0..self.workers.len()).map(|worker| self.free(worker)).collect();
        let mut shadow: Option<(Millis, Vec<u32>)> = None;
        let mut failed = Vec::new();
        for place in self.waiting.keys().copied().collect::<Vec<_>>() {
            let (submission, _) = &self.waiting[&place];
            if failed.contains(&submission.shape) {
                continue;
            }
            let Some(plan) = self.fit(submission, &free) else {
                failed.push(submission.shape);
                if self.rule == Rule::Easy && shadow.is_none() {
                    failed.clear();
                    shadow = self.shadow(now, submission, &free);
                }
                continue;
            };
            if let Some((at, later)) = &mut shadow {
                let ends = now + Duration::from_secs(submission.declared_s);
                let spare = plan.iter().all(|&(worker, members)| {
                    members * submission.shape.accelerators <= later[worker]
                });
                if *at < ends && !spare {
                    continue;
                }
                if *at < ends {
                    for &(worker, members) in &plan {
                        later[worker] -= members * submission.shape.accelerators;
                    }
                }
            }
            for &(worker, members) in &plan {
                free[worker] -= members * submission.shape.accelerators;
            }
            actions.push(self.start(now, place, &plan));
        }
        actions
    }

    fn free(&self, worker: usize) -> u32 {
        let row = &self.workers[worker];
        let open = self.open.get(&row.centre).copied().unwrap_or_default();
        if open && !row.gone { row.free.count() } else { 0 }
    }

    /// Stops all that can go on elsewhere in data centres that are out.
    fn evacuate(&mut self, actions: &mut Vec<Action>) {
        for (job, row) in &mut self.running {
            let centre = &self.workers[row.seats[0].0].centre;
            let movable = row.submission.checkpoints || row.submission.idempotent;
            if row.stopping || !movable || self.open.get(centre).copied().unwrap_or_default() {
                continue;
            }
            row.stopping = true;
            actions.push(Action::Stop {
                job: job.clone(),
                attempt: row.attempt,
                notice: Duration::from_secs(1),
                cause: Cause::DataCentreOut(centre.clone()),
            });
        }
        actions.sort_by_key(|action| format!("{action:?}"));
    }

    /// Finds workers for a job in `free`.
    fn fit(&self, submission: &Submission, free: &[u32]) -> Option<Plan> {
        let shape = submission.shape;
        if shape.adjacency == Adjacency::Worker {
            let fitting = (0..free.len()).filter(|&worker| shape.total() <= free[worker]);
            let worker = match self.rule {
                Rule::FirstFit => fitting.min(),
                _ => fitting.min_by_key(|&worker| free[worker]),
            };
            return Some(vec![(worker?, shape.members)]);
        }
        let mut racks: BTreeMap<&(Name, Name), Plan> = BTreeMap::new();
        for (worker, &free) in free.iter().enumerate() {
            let members = free / shape.accelerators;
            if 0 < members {
                racks.entry(&self.workers[worker].group).or_default().push((worker, members));
            }
        }
        let whole = |plan: &Plan| shape.members <= plan.iter().map(|&(_, members)| members).sum();
        let mut fitting = racks.into_values().filter(whole);
        let mut plan = match self.rule {
            Rule::FirstFit => fitting.next(),
            _ => fitting.min_by_key(|plan| plan.iter().map(|&(_, members)| members).sum::<u32>()),
        }?;
        if self.rule != Rule::FirstFit {
            plan.sort_by_key(|&(_, members)| std::cmp::Reverse(members));
        }
        let mut left = shape.members;
        for (_, members) in &mut plan {
            *members = left.min(*members);
            left -= *members;
        }
        plan.retain(|&(_, members)| 0 < members);
        Some(plan)
    }

    /// Returns when a job fits by declared run times, and what is free then beside it.
    fn shadow(
        &self,
        now: Millis,
        submission: &Submission,
        free: &[u32],
    ) -> Option<(Millis, Vec<u32>)> {
        let mut free = free.to_vec();
        let mut ends: Vec<&Running> = self.running.values().collect();
        ends.sort_by_key(|row| (row.ends, row.submission.job.clone()));
        for row in ends {
            for &(worker, held) in &row.seats {
                let state = &self.workers[worker];
                let open = self.open.get(&state.centre).copied().unwrap_or_default();
                free[worker] += if open && !state.gone { held.count() } else { 0 };
            }
            if let Some(plan) = self.fit(submission, &free) {
                for (worker, members) in plan {
                    free[worker] -= members * submission.shape.accelerators;
                }
                return Some((row.ends.max(now), free));
            }
        }
        None
    }

    fn start(&mut self, now: Millis, place: u64, plan: &Plan) -> Action {
        let (submission, attempt) = self.waiting.remove(&place).expect("it waits");
        let mut seats = Seats::new();
        let mut held = Vec::new();
        for &(worker, members) in plan {
            let row = &mut self.workers[worker];
            for _ in 0..members {
                let accelerators = row.free.choose(submission.shape.accelerators);
                let taken = Set::of(&accelerators);
                row.free = row.free.minus(taken);
                held.push((worker, taken));
                seats.push(Seat { worker: row.name.clone(), accelerators });
            }
        }
        let attempt = attempt + 1;
        let job = submission.job.clone();
        let ends = now + Duration::from_secs(submission.declared_s);
        let row = Running { submission, seats: held, ends, attempt, stopping: false };
        self.running.insert(job.clone(), row);
        Action::Start { job, attempt, seats, alternatives: 1 }
    }
}
