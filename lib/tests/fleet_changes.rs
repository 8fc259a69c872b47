//! Workers and data centres that come, go, fail, restart and hold what the tables do not know.

mod support;

use std::time::Duration;

use lavendergauge_lib::fleet::Report;
use lavendergauge_lib::fleet::Task;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Cause;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::shape::Adjacency;
use lavendergauge_lib::shape::Shape;
use lavendergauge_lib::table::State;
use support::World;
use support::account;
use support::claim;
use support::job;
use support::report;
use support::shape;

const SECOND: Duration = Duration::from_secs(1);

fn whole() -> Shape {
    shape(1, 8, Adjacency::Worker)
}

fn world(workers: &[(&str, &str)]) -> World {
    let fleet = workers.iter().map(|&(centre, name)| report(centre, "r1", name, 8)).collect();
    World::new(vec![account("a", 0, vec![]), account("b", 0, vec![])], &["z1", "z2"], fleet)
}

#[test]
fn foreign_tasks() {
    let mut world = world(&[("z1", "w1")]);
    let task = Task {
        job: Name::from("stray"),
        attempt: 4,
        member: 0,
        accelerators: [0_u8].into_iter().collect(),
        processors: 0,
        memory_mb: 0,
        running: true,
    };
    world.apply(Event::Announce(Report { tasks: vec![task], ..report("z1", "r1", "w1", 8) }));
    world.submit(job("j", "a", whole()));
    world.run(SECOND);
    assert!(!world.runs("j"), "what the agent holds is not given away");
    world.apply(Event::Announce(report("z1", "r1", "w1", 8)));
    world.run(SECOND);
    assert!(world.runs("j"));
}

#[test]
fn new_incarnation() {
    let mut world = world(&[("z1", "w1")]);
    world.submit(job("j", "a", whole()));
    world.run(SECOND);
    world.apply(Event::Announce(Report { incarnation: 2, ..report("z1", "r1", "w1", 8) }));
    world.tick();
    assert_eq!(world.state("j"), Some(State::Stopping));
    assert_eq!(world.planner.tables().accounts.values().map(|row| row.held).sum::<u32>(), 0);
    world.run(SECOND * 2);
    assert!(world.runs("j"));
}

#[test]
fn smaller_worker() {
    let mut world = world(&[("z1", "w1"), ("z1", "w2")]);
    world.submit(job("j", "a", whole()));
    world.run(SECOND);
    let on = world.workers("j")[0].clone();
    world.apply(Event::Announce(report("z1", "r1", &on, 4)));
    world.run(SECOND * 2);
    assert!(world.runs("j"));
    assert_ne!(world.workers("j")[0], on);
}

#[test]
fn wide_worker() {
    let fleet = vec![report("z1", "r1", "w1", 200)];
    let mut world = World::new(vec![account("a", 0, vec![])], &["z1"], fleet);
    world.submit(job("j", "a", shape(1, 150, Adjacency::Worker)));
    world.submit(job("k", "a", shape(1, 50, Adjacency::Worker)));
    world.run(SECOND);
    assert!(world.runs("j") && world.runs("k"));
}

#[test]
fn centre_out() {
    let mut world = world(&[("z1", "w1"), ("z2", "w2")]);
    world.submit(job("j1", "a", whole()));
    world.submit(job("j2", "a", whole()));
    world.run(SECOND);
    world.open("z1", false);
    world.run(SECOND * 3);
    let starts = world.log.iter().filter(|(at, action)| {
        let Action::Start { seats, .. } = action else { return false };
        4000 <= at.0 && seats.iter().any(|seat| seat.worker.as_str() == "w1")
    });
    assert_eq!(starts.count(), 0, "nothing starts in a data centre that is out");
    assert_eq!(["j1", "j2"].iter().filter(|name| world.runs(name)).count(), 1);
    world.open("z1", true);
    world.run(SECOND * 3);
    assert!(world.runs("j1") && world.runs("j2"));
}

#[test]
fn stays_put() {
    let mut world = world(&[("z1", "w1")]);
    let mut once = job("once", "b", shape(1, 1, Adjacency::Worker));
    (once.checkpoints, once.idempotent) = (false, false);
    world.submit(once);
    world.run(SECOND);
    world.open("z1", false);
    world.run(SECOND * 20);
    assert!(world.runs("once"), "a stop would lose it for certain");
    assert_eq!(world.decided(|action| matches!(action, Action::Stop { .. })), 0);
}

#[test]
fn claims_first() {
    let sweep = support::guarantee("sweep", whole());
    let accounts = vec![account("a", 0, vec![sweep]), account("b", 0, vec![])];
    let fleet = vec![report("z1", "r1", "w1", 8), report("z2", "r1", "w2", 8)];
    let mut world = World::new(accounts, &["z1", "z2"], fleet);
    world.submit(claim("c", "a", "sweep", whole()));
    world.submit(job("j", "b", whole()));
    world.run(SECOND);
    let centre = if world.workers("c")[0] == "w1" { "z1" } else { "z2" };
    world.open(centre, false);
    world.run(SECOND * 4);
    assert!(world.runs("c") && !world.runs("j"), "the claim takes what is left");
}

#[test]
fn no_stampede() {
    let mut world = world(&[("z1", "w1"), ("z2", "w2")]);
    for index in 0..16 {
        world.submit(job(&format!("j{index}"), "a", shape(1, 1, Adjacency::Worker)));
    }
    world.run(SECOND);
    world.open("z2", false);
    world.run(SECOND * 5);
    let placed = world.log.len();
    world.open("z2", true);
    world.run(SECOND * 5);
    let early = world.log.len() - placed;
    world.run(SECOND * 30);
    assert!(early < 5, "{early} starts in the first seconds");
    assert_eq!((0..16).filter(|index| world.runs(&format!("j{index}"))).count(), 16);
    let moved = |action: &Action| matches!(action, Action::Stop { cause: Cause::Compact(_), .. });
    assert_eq!(world.decided(moved), 0, "good placements stay");
}

#[test]
fn impossible_refused() {
    let mut world = world(&[("z1", "w1")]);
    world.submit(job("wide", "a", shape(1, 9, Adjacency::Worker)));
    world.submit(job("gone", "nobody", whole()));
    world.tick();
    let refused = |name: &str| {
        world.log.iter().find_map(|(_, action)| match action {
            Action::Refuse { job, reason } if job.as_str() == name => Some(reason.clone()),
            _ => None,
        })
    };
    let text = "9 accelerators are needed in one worker, the widest allowed has 8";
    assert_eq!(refused("wide").as_deref(), Some(text));
    assert_eq!(refused("gone"), None, "the configuration may lag behind");
    world.run(SECOND * 11);
    let refused = world.decided(|action| matches!(action, Action::Refuse { .. }));
    assert_eq!(refused, 2);
}

#[test]
fn stranded_told() {
    let mut world = world(&[("z1", "w1"), ("z2", "w2")]);
    for name in ["j1", "j2", "j3"] {
        world.submit(job(name, "a", whole()));
    }
    world.run(SECOND);
    world.apply(Event::Lose(Name::from("w1")));
    world.tick();
    let told = |action: &Action| matches!(action, Action::Stranded { .. });
    assert_eq!(world.decided(told), 0, "one worker is left that could run it");
    world.apply(Event::Lose(Name::from("w2")));
    world.run(SECOND);
    assert!(1 <= world.decided(told));
    assert_eq!(world.decided(|action| matches!(action, Action::Refuse { .. })), 0);
}

#[test]
fn bad_worker() {
    let mut world = world(&[("z1", "w1"), ("z1", "w2"), ("z2", "w3"), ("z2", "w4")]);
    for index in 0..6 {
        let name = format!("j{index}");
        world.submit(job(&name, "a", whole()));
        world.run(SECOND);
        if world.workers(&name) == ["w1"] {
            fail(&mut world, &name);
        }
        world.run(SECOND);
        world.end(&name);
    }
    world.run(SECOND);
    let tables = world.planner.tables();
    let bad = &tables.workers[tables.worker_names[&Name::from("w1")]];
    assert!(bad.health.on_probation());
    world.submit(job("trial", "a", shape(1, 1, Adjacency::Worker)));
    world.run(SECOND * 40);
    world.end("trial");
    for index in 0..4 {
        world.submit(job(&format!("k{index}"), "a", whole()));
    }
    world.run(SECOND * 40);
    world.end("k0");
    world.end("k1");
    world.end("k2");
    world.end("k3");
    world.run(SECOND);
    let tables = world.planner.tables();
    let bad = &tables.workers[tables.worker_names[&Name::from("w1")]];
    assert!(!bad.health.on_probation(), "a trial brings it back");
}

fn fail(world: &mut World, name: &str) {
    let tables = world.planner.tables();
    let row = &tables.jobs[tables.job_names[&Name::from(name)]];
    let worker = tables.workers[row.places[0].worker].name.clone();
    let event = Event::Failed { job: row.name.clone(), attempt: row.attempt, worker };
    world.apply(event);
}

#[test]
fn bad_job() {
    let mut world = world(&[("z1", "w1"), ("z1", "w2"), ("z2", "w3"), ("z2", "w4")]);
    world.submit(job("bad", "a", whole()));
    for _ in 0..3 {
        world.run(SECOND * 2);
        fail(&mut world, "bad");
    }
    world.tick();
    assert_eq!(world.decided(|action| matches!(action, Action::Fail { .. })), 1);
    assert_eq!(world.state("bad"), None);
    let tables = world.planner.tables();
    assert!(tables.workers.values().all(|row| !row.health.on_probation()));
}

#[test]
fn abort_pauses() {
    let mut world = world(&[("z1", "w1")]);
    world.submit(job("j", "a", whole()));
    let mut starts = 0;
    for _ in 0..50 {
        for action in world.tick() {
            let Action::Start { job, attempt, .. } = action else { continue };
            starts += 1;
            world.apply(Event::Aborted { job, attempt, worker: None });
        }
        world.now = world.now + support::TICK;
    }
    assert!(starts <= 6, "{starts} attempts in 5 s");
    assert!(3 <= starts, "{starts} attempts in 5 s");
}

#[test]
fn over_declaration() {
    let mut world = world(&[("z1", "w1"), ("z2", "w2")]);
    let row = Shape { processors: 8, ..shape(1, 1, Adjacency::Worker) };
    world.submit(job("j", "a", row));
    world.run(SECOND);
    let worker = Name::from(world.workers("j")[0].clone());
    let usage =
        Event::Usage { job: Name::from("j"), attempt: 1, worker, processors: 40, memory_mb: 0 };
    world.apply(usage.clone());
    world.tick();
    assert_eq!(world.decided(|action| matches!(action, Action::Throttle { .. })), 1);
    world.run(SECOND * 5);
    world.apply(usage.clone());
    world.tick();
    assert!(world.runs("j"), "reports lag behind a throttle");
    world.run(SECOND * 6);
    world.apply(usage);
    world.run(SECOND * 3);
    assert!(world.runs("j"));
    let tables = world.planner.tables();
    assert_eq!(tables.jobs[tables.job_names[&Name::from("j")]].shape.processors, 40);
}

#[test]
fn space_kept_whole() {
    let mut world = world(&[("z1", "w1"), ("z1", "w2"), ("z2", "w3"), ("z2", "w4")]);
    for index in 0..8 {
        world.submit(job(&format!("j{index}"), "a", shape(1, 1, Adjacency::Worker)));
    }
    world.run(SECOND);
    let tables = world.planner.tables();
    let empty = tables.workers.values().filter(|row| row.free().count() == 8).count();
    assert_eq!(empty, 3);
}
