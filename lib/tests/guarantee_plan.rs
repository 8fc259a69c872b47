//! Guarantees: accepted only with a packing of all, kept while the fleet changes, told when unmet.

mod support;

use std::time::Duration;

use lavendergauge_lib::guarantee;
use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Action;
use lavendergauge_lib::planner::Event;
use lavendergauge_lib::shape::Adjacency;
use support::World;
use support::account;
use support::claim;
use support::job;
use support::report;
use support::shape;

const SECOND: Duration = Duration::from_secs(1);

fn whole(name: &str) -> lavendergauge_lib::fleet::Guarantee {
    support::guarantee(name, shape(1, 8, Adjacency::Worker))
}

#[test]
fn too_wide() {
    let mut config = World::new(vec![], &["z1"], vec![]).config;
    config.accounts.push(account("a", 0, vec![whole("sweep")]));
    let unfit = guarantee::unfit(&config, &[report("z1", "r1", "w1", 4)]);
    let text = unfit[0].reason.to_string();
    assert_eq!(text, "8 accelerators are needed in one worker, the widest allowed has 4");
}

#[test]
fn promised_twice() {
    let mut config = World::new(vec![], &["z1"], vec![]).config;
    config.accounts.push(account("a", 0, vec![whole("sweep")]));
    config.accounts.push(account("b", 0, vec![whole("scan")]));
    let unfit = guarantee::unfit(&config, &[report("z1", "r1", "w1", 8)]);
    assert_eq!(unfit.len(), 1);
    assert_eq!(unfit[0].account, Name::from("b"));
    assert!(unfit[0].reason.to_string().starts_with("8 of 8 accelerators are promised already"));
}

#[test]
fn closed_elsewhere() {
    let mut config = World::new(vec![], &["z1", "z2"], vec![]).config;
    let mut there = whole("sweep");
    there.data_centres.push(Name::from("z2"));
    config.accounts.push(account("a", 0, vec![there]));
    let fleet = [report("z1", "r1", "w1", 8), report("z2", "r1", "w2", 8)];
    assert!(guarantee::unfit(&config, &fleet).is_empty());
    config.zones[1].open = false;
    assert_eq!(guarantee::unfit(&config, &fleet).len(), 1);
}

#[test]
fn repacked_whole() {
    let mut config = World::new(vec![], &["z1"], vec![]).config;
    let halves = |name| support::guarantee(name, shape(1, 4, Adjacency::Worker));
    let row = vec![halves("a"), halves("b"), support::guarantee("c", shape(2, 2, Adjacency::Rack))];
    config.accounts.push(account("a", 0, row));
    config.accounts.push(account("b", 0, vec![whole("d")]));
    let fleet = ["w1", "w2", "w3"].map(|name| report("z1", "r1", name, 8));
    assert!(guarantee::unfit(&config, &fleet).is_empty());
}

#[test]
fn worker_lost() {
    let fleet = vec![report("z1", "r1", "w1", 8), report("z1", "r1", "w2", 8)];
    let mut world = World::new(vec![account("a", 0, vec![whole("sweep")])], &["z1"], fleet);
    let unmet = |action: &Action| matches!(action, Action::Unmet { .. });
    world.apply(Event::Lose(Name::from("w1")));
    world.tick();
    assert_eq!(world.decided(unmet), 0);
    world.apply(Event::Lose(Name::from("w2")));
    world.tick();
    assert_eq!(world.decided(unmet), 1);
    world.apply(Event::Announce(report("z1", "r1", "w2", 8)));
    world.tick();
    assert_eq!(world.decided(|action| matches!(action, Action::Met { .. })), 1);
}

#[test]
fn data_centre_out() {
    let fleet = vec![report("z1", "r1", "w1", 8), report("z2", "r1", "w2", 4)];
    let mut world = World::new(vec![account("a", 0, vec![whole("sweep")])], &["z1", "z2"], fleet);
    world.open("z1", false);
    world.tick();
    let reasons: Vec<String> = world
        .log
        .iter()
        .filter_map(|(_, action)| match action {
            Action::Unmet { reason, .. } => Some(reason.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(reasons.len(), 1);
    assert!(reasons[0].contains("the widest allowed has 4"), "{reasons:?}");
    assert!(reasons[0].contains("data centres out: z1"), "{reasons:?}");
}

#[test]
fn removed_by_operators() {
    let fleet = vec![report("z1", "r1", "w1", 8)];
    let mut world = World::new(vec![account("a", 0, vec![whole("sweep")])], &["z1"], fleet);
    world.submit(claim("c", "a", "sweep", shape(1, 8, Adjacency::Worker)));
    world.run(SECOND);
    world.configure(|config| config.accounts[0].guarantees.clear());
    world.run(SECOND);
    assert!(world.planner.tables().guarantees.is_empty());
    assert!(world.runs("c"));
    world.configure(|config| config.accounts.clear());
    world.end("c");
    world.configure(|_| {});
    assert!(world.planner.tables().accounts.is_empty());
}

#[test]
fn pinned_beside() {
    let fleet = vec![report("z1", "r1", "w1", 8), report("z1", "r1", "w2", 8)];
    let accounts = vec![account("a", 0, vec![whole("sweep")]), account("b", 0, vec![])];
    let mut world = World::new(accounts, &["z1"], fleet);
    for name in ["p1", "p2", "p3"] {
        let mut pinned = job(name, "b", shape(1, 4, Adjacency::Worker));
        (pinned.checkpoints, pinned.idempotent) = (false, false);
        world.submit(pinned);
    }
    world.run(SECOND);
    let running = ["p1", "p2", "p3"].iter().filter(|name| world.runs(name)).count();
    assert_eq!(running, 2, "a job that cannot be evicted stays off what is promised");
    world.submit(claim("c", "a", "sweep", shape(1, 8, Adjacency::Worker)));
    world.run(SECOND);
    assert!(world.runs("c"));
}

#[test]
fn another_accounts() {
    let fleet = vec![report("z1", "r1", "w1", 8)];
    let accounts = vec![account("a", 0, vec![whole("sweep")]), account("b", 0, vec![])];
    let mut world = World::new(accounts, &["z1"], fleet);
    world.submit(job("borrower", "a", shape(1, 8, Adjacency::Worker)));
    world.run(SECOND);
    world.submit(claim("thief", "b", "sweep", shape(1, 8, Adjacency::Worker)));
    world.submit(claim("wide", "a", "sweep", shape(2, 8, Adjacency::Worker)));
    world.run(SECOND * 11);
    assert!(world.runs("borrower"));
    assert_eq!(world.decided(|action| matches!(action, Action::Refuse { .. })), 2);
}
