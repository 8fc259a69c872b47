//! Launches over agents' gates, with messages lost, late, doubled and crossed, agents paused
//! or restarted, and the store's answer lost.

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::gang;
use lavendergauge_lib::gang::Capacity;
use lavendergauge_lib::gang::Command;
use lavendergauge_lib::gang::Effect;
use lavendergauge_lib::gang::Gate;
use lavendergauge_lib::gang::Hold;
use lavendergauge_lib::gang::Phase;
use lavendergauge_lib::gang::Slot;
use lavendergauge_lib::gang::Step;
use lavendergauge_lib::launch::Ask;
use lavendergauge_lib::launch::Event;
use lavendergauge_lib::launch::Machine;
use lavendergauge_lib::launch::Order;
use lavendergauge_lib::launch::Outcome;
use lavendergauge_lib::launch::Stake;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

/// Time after which nothing of a launch that did not run is left, in milliseconds.
const BOUND_MS: u64 = 20_000;

/// What the network and the machines do next.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Deliver the n-th message in flight.
    Deliver(usize),
    /// Deliver it, and keep a copy in flight.
    Double(usize),
    /// Lose it; its sender notices.
    Lose(usize),
    /// Lose the answer to it; its sender notices.
    LoseAnswer(usize),
    /// Let time pass, in milliseconds.
    Wait(u64),
    /// Replace an agent's process by a new one.
    Restart(usize),
    /// Close an agent's permit, or open it again.
    Permit(usize),
    /// The store answers the write.
    Store(bool),
    /// The planner dies.
    Crash,
}

fn fault() -> impl Strategy<Value = Fault> {
    (0..40_u32, 0..64_usize, 0..3000_u64).prop_map(|(kind, index, wait)| match kind {
        0..=21 => Fault::Deliver(index),
        22..=24 => Fault::Double(index),
        25..=26 => Fault::Lose(index),
        27..=28 => Fault::LoseAnswer(index),
        29..=32 => Fault::Wait(wait),
        33 => Fault::Restart(index),
        34 => Fault::Permit(index),
        35..=38 => Fault::Store(kind != 38),
        _ => Fault::Crash,
    })
}

struct Agent {
    gate: Gate,
    open: bool,
    incarnation: u32,
    /// When its runtime last let a member of the gang start, and until when at most.
    runs_until: Option<Millis>,
}

#[derive(Clone, Copy)]
struct Message {
    member: usize,
    ask: Ask,
    incarnation: u32,
}

struct World {
    now: Millis,
    agents: Vec<Agent>,
    flight: Vec<Message>,
    machine: Option<Machine>,
    outcome: Option<(Outcome, Millis)>,
    staking: bool,
    staked: bool,
    started_before_stake: bool,
}

impl World {
    fn new(members: usize) -> Self {
        let agents = (0..members)
            .map(|_| Agent {
                gate: Gate::new(Capacity { accelerators: 1, ..Capacity::default() }),
                open: true,
                incarnation: 0,
                runs_until: None,
            })
            .collect();
        let (machine, orders) = Machine::new(Millis(0), members);
        let mut world = World {
            now: Millis(0),
            agents,
            flight: Vec::new(),
            machine: Some(machine),
            outcome: None,
            staking: false,
            staked: false,
            started_before_stake: false,
        };
        world.obey(orders);
        world
    }

    fn obey(&mut self, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Tell(member, ask) => {
                    self.flight.push(Message { member, ask, incarnation: 0 });
                }
                Order::Stake(_) => self.staking = true,
                Order::End(outcome) => self.outcome = Some((outcome, self.now)),
            }
        }
    }

    fn tell(&mut self, event: Event) {
        let now = self.now;
        let Some(machine) = &mut self.machine else { return };
        let orders = machine.handle(now, &event);
        self.obey(orders);
    }

    /// Lets an agent take a message, and returns its answer.
    fn arrive(&mut self, message: Message) -> Option<Event> {
        let agent = &mut self.agents[message.member];
        if agent.incarnation != message.incarnation {
            return None;
        }
        let hold = Hold { accelerators: [0].into_iter().collect(), ..Hold::default() };
        let step = match message.ask {
            Ask::Prepare => Step::Prepare { hold, lasts: gang::HOLD },
            Ask::Arm => Step::Arm,
            Ask::Go => Step::Go { lease: gang::START_LEASE },
            Ask::Stop => Step::Stop { notice: std::time::Duration::ZERO },
        };
        let command = Command {
            epoch: 1,
            job: "sweep".into(),
            attempt: 1,
            member: message.member as u32,
            step,
        };
        let (verdict, effects) = agent.gate.command(self.now, &command, agent.open);
        for effect in effects {
            match effect {
                Effect::Start(_) => {
                    self.started_before_stake |= !self.staked;
                    agent.runs_until = Some(self.now + gang::START_LEASE);
                }
                Effect::Stop(_) => agent.runs_until = agent.runs_until.map(|_| self.now),
                Effect::Checkpoint(_) => {}
            }
        }
        let slot = Slot { job: "sweep".into(), attempt: 1, member: message.member as u32 };
        let started = agent.gate.started(&slot);
        Some(Event::Reply { member: message.member, ask: message.ask, verdict, started })
    }

    fn step(&mut self, fault: Fault) {
        let picked = |index: usize, len: usize| (0 < len).then(|| index % len);
        match fault {
            Fault::Deliver(index) => {
                let Some(index) = picked(index, self.flight.len()) else { return };
                let message = self.flight.swap_remove(index);
                self.answer(message, true);
            }
            Fault::Double(index) => {
                let Some(index) = picked(index, self.flight.len()) else { return };
                self.answer(self.flight[index], true);
            }
            Fault::Lose(index) => {
                let Some(index) = picked(index, self.flight.len()) else { return };
                let Message { member, ask, .. } = self.flight.swap_remove(index);
                self.tell(Event::Silent { member, ask });
            }
            Fault::LoseAnswer(index) => {
                let Some(index) = picked(index, self.flight.len()) else { return };
                let message = self.flight.swap_remove(index);
                self.answer(message, false);
            }
            Fault::Wait(wait) => self.wait(wait),
            Fault::Restart(index) => {
                let index = index % self.agents.len();
                let agent = &mut self.agents[index];
                agent.gate = Gate::new(Capacity { accelerators: 1, ..Capacity::default() });
                agent.incarnation += 1;
            }
            Fault::Permit(index) => {
                let index = index % self.agents.len();
                self.agents[index].open = !self.agents[index].open;
            }
            Fault::Store(taken) if self.staking => {
                self.staking = false;
                self.staked = taken;
                let stake = if taken { Stake::Done } else { Stake::Failed };
                self.tell(Event::Staked(stake));
            }
            Fault::Store(_) => {}
            Fault::Crash => self.machine = None,
        }
    }

    fn answer(&mut self, message: Message, heard: bool) {
        let Message { member, ask, .. } = message;
        let event = self.arrive(message).filter(|_| heard);
        self.tell(event.unwrap_or(Event::Silent { member, ask }));
    }

    fn wait(&mut self, wait: u64) {
        self.now = Millis(self.now.0 + wait);
        for agent in &mut self.agents {
            for effect in agent.gate.tick(self.now) {
                if matches!(effect, Effect::Stop(_)) {
                    agent.runs_until = agent.runs_until.map(|until| until.min(self.now));
                }
            }
        }
        self.tell(Event::Tick);
    }

    fn started(&self) -> usize {
        self.agents.iter().filter(|agent| agent.runs_until.is_some()).count()
    }

    fn running(&self) -> usize {
        let runs = |agent: &&Agent| agent.runs_until.is_some_and(|until| self.now < until);
        self.agents.iter().filter(runs).count()
    }

    fn held(&self) -> usize {
        let live = |agent: &&Agent| {
            agent.gate.standings().iter().any(|standing| standing.phase != Phase::Ended)
        };
        self.agents.iter().filter(live).count()
    }
}

fn seeds() -> u32 {
    std::env::var("LAVENDERGAUGE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn check(members: usize, faults: &[Fault]) {
    let mut world = World::new(members);
    for &fault in faults {
        let over = world.outcome;
        world.step(fault);
        match over.or(world.outcome) {
            Some((Outcome::Withdrawn(_), _)) => assert_eq!(world.started(), 0, "never started"),
            Some((Outcome::Doubt(_), _)) => assert_eq!(world.running(), 0, "all are over"),
            Some((Outcome::Running, _)) if over.is_none() => {
                assert_eq!(world.started(), members, "all members were started");
            }
            _ => {}
        }
        assert!(!world.started_before_stake, "nothing starts before the attempt is on record");
    }
    // Late messages still arrive while the bound passes.
    for round in 0..40 {
        world.wait(BOUND_MS / 40);
        if round % 4 == 0 {
            world.step(Fault::Deliver(round));
        }
    }
    world.wait(BOUND_MS);
    assert_eq!(world.running(), 0, "unrenewed members end");
    assert_eq!(world.held(), 0, "holds end");
    if world.machine.is_some() && !world.staking {
        assert!(world.outcome.is_some(), "a launch ends");
    }
}

#[test]
fn faulty_launch() {
    let config = Config {
        cases: 3000 * seeds(),
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    };
    let faults = proptest::collection::vec(fault(), 0..80);
    TestRunner::new(config)
        .run(&(1..5_usize, faults), |(members, faults)| {
            check(members, &faults);
            Ok(())
        })
        .expect("every launch ends whole");
}

#[test]
fn whole_launch() {
    let mut world = World::new(64);
    while world.outcome.is_none() {
        world.step(Fault::Deliver(0));
        world.step(Fault::Store(true));
    }
    assert_eq!(world.outcome, Some((Outcome::Running, Millis(0))));
    assert_eq!(world.running(), 64);
}

#[test]
fn refused_member() {
    let mut world = World::new(3);
    world.agents[1].open = false;
    while world.outcome.is_none() {
        world.step(Fault::Deliver(0));
        world.step(Fault::Wait(10));
    }
    assert_eq!(world.outcome.map(|(outcome, _)| outcome), Some(Outcome::Withdrawn(Some(1))));
    assert_eq!(world.held(), 0);
}
