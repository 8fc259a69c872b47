//! The planner: takes events into the tables and, each tick, decides what starts and stops.

use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::fleet::Config;
use crate::fleet::Report;
use crate::key;
use crate::name::Name;
use crate::shape::Accelerators;
use crate::shape::Adjacency;
use crate::shape::Seat;
use crate::shape::Seats;
use crate::shape::Shape;
use crate::table::Account;
use crate::table::Class;
use crate::table::DataCentre;
use crate::table::Job;
use crate::table::Place;
use crate::table::Rack;
use crate::table::State;
use crate::table::Tables;
use crate::table::Worker;

/// A job as it enters the planner.
#[value]
pub struct Submission {
    /// Identifier of the job.
    pub job: Name,
    /// The client account it runs for.
    pub account: Name,
    /// What it needs.
    pub shape: Shape,
    /// How long it may wait.
    pub class: Class,
    /// Guarantee that it claims, if any.
    pub guarantee: Option<Name>,
    /// Allowed data centres; empty for any.
    pub data_centres: SmallVec<[Name; 4]>,
    /// Whether it can be checkpointed and resumed.
    pub checkpoints: bool,
    /// Whether it may run again after its outcome was lost.
    pub idempotent: bool,
    /// Run time the caller declared, in seconds; 0 for none.
    pub declared_s: u64,
    /// Attempts made so far.
    pub attempt: u32,
    /// Places of the newest attempt, when a new planner takes over a placed job.
    pub seats: Seats,
}

/// Something that happened since the last tick.
#[value]
pub enum Event {
    /// A configuration came into force; a lower revision than the one in force is dropped.
    Configure(Config),
    /// A worker announced itself.
    Announce(Report),
    /// A worker is gone, with all that ran there.
    Lose(Name),
    /// A job was accepted.
    Submit(Submission),
    /// All members of an attempt run.
    Started {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt never ran, and none of its members ever will.
    Aborted {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker at fault, if one is.
        worker: Option<Name>,
    },
    /// An attempt was stopped on the planner's word, and the job waits again.
    Stopped {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
    },
    /// A job has ended for good, whatever the outcome.
    Ended {
        /// Identifier of the job.
        job: Name,
    },
    /// A worker failed a task that others might run.
    Failed {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: Name,
    },
}

/// Why a running job is told to stop.
#[value]
pub enum Cause {
    /// A guarantee's owner claims the accelerators.
    Reclaim(Name),
    /// Operators took the data centre out.
    DataCentreOut(Name),
    /// The worker leaves.
    WorkerLeaving(Name),
}

/// What the planner decided.
#[value]
pub enum Action {
    /// Start an attempt of a job on these seats.
    Start {
        /// Identifier of the job.
        job: Name,
        /// The new attempt's number.
        attempt: u32,
        /// Where its members go, in member order.
        seats: Seats,
        /// Number of places that were weighed.
        alternatives: usize,
    },
    /// Stop an attempt after a notice.
    Stop {
        /// Identifier of the job.
        job: Name,
        /// The attempt.
        attempt: u32,
        /// Time to checkpoint.
        notice: Duration,
        /// Why.
        cause: Cause,
    },
    /// End a job that can run nowhere.
    Refuse {
        /// Identifier of the job.
        job: Name,
        /// Why it can run nowhere.
        reason: String,
    },
    /// A guarantee cannot be met by the workers that are left.
    Unmet {
        /// Name of the client account.
        account: Name,
        /// Name of the guarantee.
        guarantee: Name,
        /// Why it cannot be met.
        reason: String,
    },
}

/// The planner's tables and the systems over them.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    tables: Tables,
}

impl Planner {
    /// Returns the tables, for reading.
    ///
    /// ```
    /// use lavendergauge_lib::planner::Planner;
    /// assert!(Planner::default().tables().jobs.is_empty());
    /// ```
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Takes one event into the tables.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::fleet::Config;
    /// use lavendergauge_lib::planner::Event;
    /// use lavendergauge_lib::planner::Planner;
    /// let mut planner = Planner::default();
    /// planner.apply(Millis(0), Event::Configure(Config { revision: 3, ..Config::default() }));
    /// assert_eq!(planner.tables().revision, 3);
    /// ```
    pub fn apply(&mut self, now: Millis, event: Event) {
        match event {
            Event::Configure(config) => self.configure(config),
            Event::Announce(report) => self.announce(report),
            Event::Lose(worker) => self.lose(&worker),
            Event::Submit(submission) => self.submit(now, submission),
            Event::Started { job, attempt } => self.mark(&job, attempt, State::Running),
            Event::Aborted { job, attempt, .. } | Event::Stopped { job, attempt } => {
                self.requeue(&job, attempt);
            }
            Event::Failed { .. } => {}
            Event::Ended { job } => self.end(&job),
        }
    }

    /// Decides what starts and stops now.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::planner::Planner;
    /// assert!(Planner::default().tick(Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.evacuate(&mut actions);
        for job in self.queue() {
            self.place(now, job, &mut actions);
        }
        actions
    }

    fn configure(&mut self, config: Config) {
        if config.revision < self.tables.revision {
            return;
        }
        self.tables.revision = config.revision;
        self.tables.policy = config.policy;
        for zone in config.zones {
            let centre = data_centre(&mut self.tables, &zone.name);
            self.tables.data_centres[centre].open = zone.open;
        }
        for account in config.accounts {
            let row = Account {
                name: account.name.clone(),
                quota: account.quota,
                weight: account.weight,
                held: 0,
                guarantees: account
                    .guarantees
                    .into_iter()
                    .map(|guarantee| (guarantee.name.clone(), guarantee))
                    .collect::<BTreeMap<_, _>>(),
            };
            match self.tables.account_names.get(&account.name) {
                Some(&known) => {
                    let held = self.tables.accounts[known].held;
                    self.tables.accounts[known] = Account { held, ..row };
                }
                None => {
                    let fresh = self.tables.accounts.insert(row);
                    self.tables.account_names.insert(account.name, fresh);
                }
            }
        }
    }

    fn announce(&mut self, report: Report) {
        let known = self.tables.worker_names.get(&report.worker).copied();
        if let Some(worker) = known {
            let row = &mut self.tables.workers[worker];
            row.leaving = report.leaving;
            row.incarnation = report.incarnation;
            return;
        }
        let centre = data_centre(&mut self.tables, &report.data_centre);
        let rack = rack(&mut self.tables, centre, &report.rack);
        let worker = self.tables.workers.insert(Worker {
            name: report.worker.clone(),
            incarnation: report.incarnation,
            rack,
            accelerators: report.accelerators,
            free: mask(report.accelerators),
            processors: report.processors,
            memory_mb: report.memory_mb,
            leaving: report.leaving,
        });
        self.tables.racks[rack].workers.push(worker);
        self.tables.worker_names.insert(report.worker, worker);
    }

    fn lose(&mut self, name: &Name) {
        let Some(worker) = self.tables.worker_names.remove(name) else { return };
        let rack = self.tables.workers[worker].rack;
        self.tables.racks[rack].workers.retain(|&other| other != worker);
        self.tables.workers.remove(worker);
    }

    fn submit(&mut self, now: Millis, submission: Submission) {
        if self.tables.job_names.contains_key(&submission.job) {
            return;
        }
        let Some(&account) = self.tables.account_names.get(&submission.account) else { return };
        let places = known_places(&self.tables, &submission.seats);
        let state = if places.is_empty() { State::Waiting } else { State::Running };
        let job = self.tables.jobs.insert(Job {
            name: submission.job.clone(),
            account,
            shape: submission.shape,
            class: submission.class,
            guarantee: submission.guarantee,
            data_centres: submission.data_centres,
            checkpoints: submission.checkpoints,
            idempotent: submission.idempotent,
            declared_s: submission.declared_s,
            attempt: submission.attempt,
            state,
            places: SmallVec::new(),
            submitted: now,
            started: now,
        });
        self.tables.job_names.insert(submission.job, job);
        take(&mut self.tables, job, places);
    }

    fn mark(&mut self, name: &Name, attempt: u32, state: State) {
        let Some(&job) = self.tables.job_names.get(name) else { return };
        let row = &mut self.tables.jobs[job];
        if row.attempt == attempt {
            row.state = state;
        }
    }

    fn requeue(&mut self, name: &Name, attempt: u32) {
        let Some(&job) = self.tables.job_names.get(name) else { return };
        if self.tables.jobs[job].attempt != attempt {
            return;
        }
        give_back(&mut self.tables, job);
        self.tables.jobs[job].state = State::Waiting;
    }

    fn end(&mut self, name: &Name) {
        let Some(job) = self.tables.job_names.remove(name) else { return };
        give_back(&mut self.tables, job);
        self.tables.jobs.remove(job);
    }

    /// Tells every job in a closed data centre, or on a leaving worker, to stop.
    fn evacuate(&mut self, actions: &mut Vec<Action>) {
        let notice = self.tables.policy.notice;
        for job in self.tables.jobs.keys().collect::<Vec<_>>() {
            let row = &self.tables.jobs[job];
            if row.state != State::Running {
                continue;
            }
            let Some(cause) = departure(&self.tables, job) else { continue };
            let (name, attempt) = (row.name.clone(), row.attempt);
            self.tables.jobs[job].state = State::Stopping;
            actions.push(Action::Stop { job: name, attempt, notice, cause });
        }
    }

    /// Returns the waiting jobs, most pressing first.
    fn queue(&self) -> Vec<key::Job> {
        let mut waiting: Vec<_> =
            self.tables.jobs.iter().filter(|(_, row)| row.state == State::Waiting).collect();
        waiting.sort_by_key(|(_, row)| (row.class, row.guarantee.is_none(), row.submitted));
        waiting.into_iter().map(|(job, _)| job).collect()
    }

    fn place(&mut self, now: Millis, job: key::Job, actions: &mut Vec<Action>) {
        let row = &self.tables.jobs[job];
        let account = &self.tables.accounts[row.account];
        if account.quota != 0 && account.quota < account.held + row.shape.total() {
            return;
        }
        let name = row.name.clone();
        let groups = groups(&self.tables, job);
        let alternatives = groups.len();
        if let Some(places) = groups.iter().find_map(|group| fit(&self.tables, job, group)) {
            let row = &mut self.tables.jobs[job];
            row.attempt += 1;
            row.state = State::Starting;
            row.started = now;
            let attempt = row.attempt;
            take(&mut self.tables, job, places);
            let seats = seats(&self.tables, job);
            actions.push(Action::Start { job: name, attempt, seats, alternatives });
            return;
        }
        if row.guarantee.is_some() {
            self.reclaim(job, &groups, actions);
        }
    }

    /// Stops borrowers in the first group whose free and borrowed accelerators suffice.
    fn reclaim(&mut self, job: key::Job, groups: &[Vec<key::Worker>], actions: &mut Vec<Action>) {
        let row = &self.tables.jobs[job];
        let (claimant, needed) = (row.name.clone(), row.shape.total());
        let notice = self.tables.policy.notice;
        for group in groups {
            let free: u32 =
                group.iter().map(|&worker| self.tables.workers[worker].free.count_ones()).sum();
            let mut freed = free;
            let mut victims = Vec::new();
            for (borrower, other) in &self.tables.jobs {
                let within: u32 = other
                    .places
                    .iter()
                    .filter(|place| group.contains(&place.worker))
                    .map(|place| place.accelerators.len() as u32)
                    .sum();
                if needed <= freed || within == 0 || other.guarantee.is_some() {
                    continue;
                }
                freed += within;
                if other.state == State::Running {
                    victims.push(borrower);
                }
            }
            if freed < needed {
                continue;
            }
            for victim in victims {
                let row = &mut self.tables.jobs[victim];
                row.state = State::Stopping;
                actions.push(Action::Stop {
                    job: row.name.clone(),
                    attempt: row.attempt,
                    notice,
                    cause: Cause::Reclaim(claimant.clone()),
                });
            }
            return;
        }
    }
}

/// Returns the bit set of the first `count` accelerators.
fn mask(count: u8) -> u64 {
    1_u64.checked_shl(u32::from(count)).map_or(u64::MAX, |bit| bit - 1)
}

fn data_centre(tables: &mut Tables, name: &Name) -> key::DataCentre {
    if let Some(&known) = tables.data_centre_names.get(name) {
        return known;
    }
    let row = DataCentre { name: name.clone(), open: false, racks: BTreeMap::new() };
    let fresh = tables.data_centres.insert(row);
    tables.data_centre_names.insert(name.clone(), fresh);
    fresh
}

fn rack(tables: &mut Tables, centre: key::DataCentre, name: &Name) -> key::Rack {
    if let Some(&known) = tables.data_centres[centre].racks.get(name) {
        return known;
    }
    let fresh = tables.racks.insert(Rack { data_centre: centre, workers: Vec::new() });
    tables.data_centres[centre].racks.insert(name.clone(), fresh);
    fresh
}

/// Finds the places behind seats, or none when a worker is not known.
fn known_places(tables: &Tables, seats: &[Seat]) -> SmallVec<[Place; 4]> {
    let places: Option<SmallVec<[Place; 4]>> = seats
        .iter()
        .map(|seat| {
            let worker = *tables.worker_names.get(&seat.worker)?;
            Some(Place { worker, accelerators: seat.accelerators.clone() })
        })
        .collect();
    places.unwrap_or_default()
}

/// Returns why a job has to leave its place, if it has to.
fn departure(tables: &Tables, job: key::Job) -> Option<Cause> {
    tables.jobs[job].places.iter().find_map(|place| {
        let worker = tables.workers.get(place.worker)?;
        let centre = &tables.data_centres[tables.racks[worker.rack].data_centre];
        if !centre.open {
            return Some(Cause::DataCentreOut(centre.name.clone()));
        }
        worker.leaving.then(|| Cause::WorkerLeaving(worker.name.clone()))
    })
}

/// Returns the groups of workers that satisfy the job's adjacency, fullest first.
fn groups(tables: &Tables, job: key::Job) -> Vec<Vec<key::Worker>> {
    let row = &tables.jobs[job];
    let mut groups: BTreeMap<_, Vec<key::Worker>> = BTreeMap::new();
    for (worker, state) in &tables.workers {
        let rack = state.rack;
        let centre = tables.racks[rack].data_centre;
        let place = &tables.data_centres[centre];
        let allowed = row.data_centres.is_empty() || row.data_centres.contains(&place.name);
        if !place.open || !allowed || state.leaving {
            continue;
        }
        let group = match row.shape.adjacency {
            Adjacency::Worker => (centre, Some(rack), Some(worker)),
            Adjacency::Rack => (centre, Some(rack), None),
            Adjacency::DataCentre => (centre, None, None),
        };
        groups.entry(group).or_default().push(worker);
    }
    let mut groups: Vec<_> = groups.into_values().collect();
    groups.sort_by_key(|group| -> u32 {
        group.iter().map(|&worker| tables.workers[worker].free.count_ones()).sum()
    });
    groups
}

/// Seats all members of a job within a group, fullest worker first.
fn fit(tables: &Tables, job: key::Job, group: &[key::Worker]) -> Option<SmallVec<[Place; 4]>> {
    let shape = tables.jobs[job].shape;
    let mut workers = group.to_vec();
    workers.sort_by_key(|&worker| tables.workers[worker].free.count_ones());
    let mut places = SmallVec::new();
    for worker in workers {
        let row = &tables.workers[worker];
        let mut free = row.free;
        let (mut processors, mut memory_mb) = (row.processors, row.memory_mb);
        while places.len() < shape.members as usize
            && shape.accelerators <= free.count_ones()
            && shape.processors <= processors
            && shape.memory_mb <= memory_mb
        {
            let accelerators = lowest(free, shape.accelerators);
            free &= !bits(&accelerators);
            processors -= shape.processors;
            memory_mb -= shape.memory_mb;
            places.push(Place { worker, accelerators });
        }
    }
    (places.len() == shape.members as usize).then_some(places)
}

/// Returns the lowest `count` set bits' indices.
fn lowest(set: u64, count: u32) -> Accelerators {
    (0..64).filter(|bit| set & (1 << bit) != 0).take(count as usize).collect()
}

/// Returns the bit set of accelerators.
fn bits(accelerators: &[u8]) -> u64 {
    accelerators.iter().fold(0, |set, &bit| set | (1 << bit))
}

/// Takes places for a job out of what is free.
fn take(tables: &mut Tables, job: key::Job, places: SmallVec<[Place; 4]>) {
    let row = &mut tables.jobs[job];
    for place in &places {
        let worker = &mut tables.workers[place.worker];
        worker.free &= !bits(&place.accelerators);
        worker.processors = worker.processors.saturating_sub(row.shape.processors);
        worker.memory_mb = worker.memory_mb.saturating_sub(row.shape.memory_mb);
        tables.accounts[row.account].held += place.accelerators.len() as u32;
    }
    row.places = places;
}

/// Gives a job's places back.
fn give_back(tables: &mut Tables, job: key::Job) {
    let row = &mut tables.jobs[job];
    for place in std::mem::take(&mut row.places) {
        tables.accounts[row.account].held -= place.accelerators.len() as u32;
        let Some(worker) = tables.workers.get_mut(place.worker) else { continue };
        worker.free |= bits(&place.accelerators);
        worker.processors += row.shape.processors;
        worker.memory_mb += row.shape.memory_mb;
    }
}

/// Returns the border form of a job's places.
fn seats(tables: &Tables, job: key::Job) -> Seats {
    tables.jobs[job]
        .places
        .iter()
        .map(|place| Seat {
            worker: tables.workers[place.worker].name.clone(),
            accelerators: place.accelerators.clone(),
        })
        .collect()
}
