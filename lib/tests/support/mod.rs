//! A planner with agents that do what it says, for tests that drive it by a clock value.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeMap;
use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::fleet::Account;
use lavendergauge_lib::fleet::Config;
use lavendergauge_lib::fleet::Guarantee;
use lavendergauge_lib::fleet::Policy;
use lavendergauge_lib::fleet::Report;
use lavendergauge_lib::fleet::Zone;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::planner::Planner;
use lavendergauge_lib::planner::Submission;
use lavendergauge_lib::room::Room;
use lavendergauge_lib::set::Set;
use lavendergauge_lib::shape::Adjacency;
use lavendergauge_lib::shape::Seats;
use lavendergauge_lib::shape::Shape;
use lavendergauge_lib::table::Class;
use lavendergauge_lib::table::State;
use lavendergauge_lib::table::Tables;
use smallvec::SmallVec;

/// Interval of the planner's ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// A planner with its clock and the agents' answers on their way.
pub struct World {
    /// The planner.
    pub planner: Planner,
    /// The time.
    pub now: Millis,
    /// The configuration last given.
    pub config: Config,
    /// Everything the planner decided, with its time.
    pub log: Vec<(Millis, Action)>,
    /// Jobs whose stop is never confirmed.
    pub deaf: Vec<Name>,
    answers: BTreeMap<(Millis, usize), Event>,
    sent: usize,
}

/// Makes a shape without processors and memory.
pub fn shape(members: u32, accelerators: u32, adjacency: Adjacency) -> Shape {
    Shape { members, accelerators, processors: 0, memory_mb: 0, adjacency }
}

/// Makes a guarantee that is allowed anywhere.
pub fn guarantee(name: &str, shape: Shape) -> Guarantee {
    Guarantee { name: Name::from(name), shape, data_centres: SmallVec::new() }
}

/// Makes a client account.
pub fn account(name: &str, quota: u32, guarantees: Vec<Guarantee>) -> Account {
    Account { name: Name::from(name), quota, weight: 1, guarantees }
}

/// Makes a worker's announcement.
pub fn report(data_centre: &str, rack: &str, worker: &str, accelerators: u8) -> Report {
    Report {
        worker: Name::from(worker),
        incarnation: 1,
        data_centre: Name::from(data_centre),
        rack: Name::from(rack),
        accelerators,
        processors: 64,
        memory_mb: 131_072,
        leaving: false,
        tasks: Vec::new(),
    }
}

/// Makes a checkpointed job.
pub fn job(name: &str, account: &str, shape: Shape) -> Submission {
    Submission {
        job: Name::from(name),
        account: Name::from(account),
        shape,
        class: Class::Ordinary,
        guarantee: None,
        data_centres: SmallVec::new(),
        checkpoints: true,
        idempotent: true,
        declared_s: 0,
        attempt: 0,
        seats: Seats::new(),
    }
}

/// Makes a job that claims a guarantee.
pub fn claim(name: &str, account: &str, guarantee: &str, shape: Shape) -> Submission {
    let class = Class::Urgent;
    Submission { guarantee: Some(Name::from(guarantee)), class, ..job(name, account, shape) }
}

impl World {
    /// Starts a planner over open data centres with the given accounts and workers.
    pub fn new(accounts: Vec<Account>, data_centres: &[&str], fleet: Vec<Report>) -> World {
        let zones = data_centres.iter().map(|name| Zone { name: Name::from(*name), open: true });
        let config =
            Config { revision: 1, accounts, zones: zones.collect(), policy: Policy::default() };
        let mut world = World {
            planner: Planner::default(),
            now: Millis(0),
            config: config.clone(),
            log: Vec::new(),
            deaf: Vec::new(),
            answers: BTreeMap::new(),
            sent: 0,
        };
        world.apply(Event::Configure(config));
        for report in fleet {
            world.apply(Event::Announce(report));
        }
        world.run(Duration::from_secs(3));
        world
    }

    /// Gives the planner one event now.
    pub fn apply(&mut self, event: Event) {
        self.planner.apply(self.now, event);
    }

    /// Changes the configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        change(&mut self.config);
        self.config.revision += 1;
        self.apply(Event::Configure(self.config.clone()));
    }

    /// Opens or closes a data centre.
    pub fn open(&mut self, data_centre: &str, open: bool) {
        self.configure(|config| {
            for zone in config.zones.iter_mut().filter(|zone| zone.name.as_str() == data_centre) {
                zone.open = open;
            }
        });
    }

    /// Submits a job.
    pub fn submit(&mut self, submission: Submission) {
        self.apply(Event::Submit(submission));
    }

    /// Ends a job.
    pub fn end(&mut self, name: &str) {
        self.apply(Event::Ended { job: Name::from(name) });
    }

    /// Ticks for a time; the agents start at once and stop after the notice.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
            self.now = self.now + TICK;
        }
    }

    /// Ticks once and has the agents answer.
    pub fn tick(&mut self) -> Vec<Action> {
        while let Some(entry) = self.answers.first_entry() {
            if self.now < entry.key().0 {
                break;
            }
            let event = entry.remove();
            self.apply(event);
        }
        let actions = self.planner.tick(self.now);
        for action in &actions {
            self.answer(action);
            self.log.push((self.now, action.clone()));
        }
        check(self.planner.tables());
        actions
    }

    fn answer(&mut self, action: &Action) {
        self.sent += 1;
        match action.clone() {
            Action::Start { job, attempt, .. } => {
                self.answers.insert((self.now, self.sent), Event::Started { job, attempt });
            }
            Action::Stop { job, attempt, notice, .. } if !self.deaf.contains(&job) => {
                let event = Event::Stopped { job, attempt };
                self.answers.insert((self.now + notice, self.sent), event);
            }
            _ => {}
        }
    }

    /// Loses the answers that are still on their way.
    pub fn forget_answers(&mut self) {
        self.answers.clear();
    }

    /// Returns a job's state, if it has not ended.
    pub fn state(&self, name: &str) -> Option<State> {
        let tables = self.planner.tables();
        let job = tables.job_names.get(&Name::from(name))?;
        Some(tables.jobs[*job].state)
    }

    /// Tells whether a job starts or runs.
    pub fn runs(&self, name: &str) -> bool {
        matches!(self.state(name), Some(State::Starting | State::Running))
    }

    /// Returns when a job was first started, in milliseconds.
    pub fn first_start(&self, name: &str) -> Option<u64> {
        self.log.iter().find_map(|(at, action)| match action {
            Action::Start { job, .. } if job.as_str() == name => Some(at.0),
            _ => None,
        })
    }

    /// Returns the names of the workers that a job is on.
    pub fn workers(&self, name: &str) -> Vec<String> {
        let tables = self.planner.tables();
        let Some(&job) = tables.job_names.get(&Name::from(name)) else { return Vec::new() };
        let places = tables.jobs[job].places.iter();
        places.map(|place| tables.workers[place.worker].name.to_string()).collect()
    }

    /// Returns the decisions that a test cares for.
    pub fn decided(&self, wanted: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|(_, action)| wanted(action)).count()
    }
}

/// Checks what must hold of the tables after every tick.
pub fn check(tables: &Tables) {
    check_workers(tables);
    check_accounts(tables);
    for row in tables.jobs.values() {
        let placed = row.places.len() as u32;
        let whole = match row.state {
            State::Waiting => placed == 0,
            State::Starting | State::Running => placed == row.shape.members,
            State::Stopping => placed <= row.shape.members,
        };
        assert!(whole, "{} is {:?} with {placed} members", row.name, row.state);
    }
}

fn check_workers(tables: &Tables) {
    for (worker, row) in &tables.workers {
        let mut taken = Set::default();
        let (mut used, mut pinned) = (Room::default(), Room::default());
        for job in tables.jobs.values() {
            for place in job.places.iter().filter(|place| place.worker == worker) {
                let held = Set::of(&place.accelerators);
                assert_eq!(held.count(), job.shape.accelerators, "{} is short", job.name);
                assert!(!taken.meets(held), "{} is double-booked on {}", job.name, row.name);
                taken = taken.union(held);
                used = used.plus(job.shape.member());
                if job.claim.is_none() && !job.evictable() {
                    pinned = pinned.plus(job.shape.member());
                }
            }
        }
        assert_eq!((taken, used, pinned), (row.taken, row.used, row.pinned), "{}", row.name);
        let mut promised = Room::default();
        for guarantee in tables.guarantees.values() {
            for spot in guarantee.holds.iter().filter(|spot| spot.worker == worker) {
                promised = promised.plus(guarantee.shape.member().times(spot.members));
            }
        }
        assert_eq!(promised, row.promised, "{} miscounts its holds", row.name);
        assert!(promised.plus(pinned).fits(row.capacity), "{} promises too much", row.name);
    }
}

fn check_accounts(tables: &Tables) {
    for (account, row) in &tables.accounts {
        let jobs = tables.jobs.values().filter(|job| job.account == account);
        let held: u32 = jobs.map(|job| job.places.len() as u32 * job.shape.accelerators).sum();
        assert_eq!(held, row.held, "{} miscounts what it holds", row.name);
    }
    for row in tables.guarantees.values() {
        check_hold(tables, row);
    }
}

/// Checks that a guarantee's hold is its whole shape, adjacent, in data centres that count.
fn check_hold(tables: &Tables, row: &lavendergauge_lib::table::Guarantee) {
    assert_eq!(row.holds.is_empty(), row.unmet.is_some(), "{} is not told of", row.name);
    if row.holds.is_empty() {
        assert!(row.claims.is_empty(), "{} has claims without a hold", row.name);
        return;
    }
    let members: u32 = row.holds.iter().map(|spot| spot.members).sum();
    assert_eq!(members, row.shape.members, "{} is held in part", row.name);
    let first = &tables.workers[row.holds[0].worker];
    for spot in &row.holds {
        let worker = &tables.workers[spot.worker];
        let centre = |row: &lavendergauge_lib::table::Worker| tables.racks[row.rack].data_centre;
        let adjacent = match row.shape.adjacency {
            Adjacency::Worker => worker.name == first.name,
            Adjacency::Rack => worker.rack == first.rack,
            Adjacency::DataCentre => centre(worker) == centre(first),
        };
        assert!(adjacent, "{} is held apart", row.name);
        let place = &tables.data_centres[centre(worker)];
        let allowed = row.data_centres.is_empty() || row.data_centres.contains(&place.name);
        assert!(place.open && allowed && worker.lost.is_none(), "{} is held nowhere", row.name);
        let mut used = Room::default();
        for &job in &row.claims {
            let places = tables.jobs[job].places.iter();
            let here = places.filter(|place| place.worker == spot.worker).count();
            used = used.plus(tables.jobs[job].shape.member().times(here as u32));
        }
        assert!(used.fits(row.shape.member().times(spot.members)), "{} is overdrawn", row.name);
    }
}
