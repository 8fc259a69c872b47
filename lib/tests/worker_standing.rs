//! Death is noticed in seconds, and a pause on either side is not taken for death.

use std::time::Duration;

use lavendergauge_lib::clock::Millis;
use lavendergauge_lib::standing::Event;
use lavendergauge_lib::standing::LOST_AFTER;
use lavendergauge_lib::standing::Machine;
use lavendergauge_lib::standing::Phase;
use lavendergauge_lib::standing::SUSPECT_AFTER;
use proptest::collection::vec;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn alive(now: u64) -> Machine {
    let mut machine = Machine::new(Millis(now));
    machine.apply(Event::Heard(Millis(now + 1)));
    machine.apply(Event::Heard(Millis(now + 2)));
    assert_eq!(machine.phase(), Phase::Alive);
    machine
}

#[test]
fn death_noticed() {
    let mut machine = alive(0);
    machine.apply(Event::Tick(Millis(2) + SUSPECT_AFTER + Duration::from_millis(1)));
    assert_eq!((machine.phase(), machine.takes_work()), (Phase::Suspect, false));
    machine.apply(Event::Tick(Millis(2) + LOST_AFTER + Duration::from_millis(1)));
    assert_eq!(machine.phase(), Phase::Lost);
}

#[test]
fn worker_pause() {
    let mut machine = alive(0);
    machine.apply(Event::Tick(Millis(5000)));
    machine.apply(Event::Heard(Millis(6000)));
    assert_eq!(machine.phase(), Phase::Alive);
}

#[test]
fn own_pause() {
    let mut machine = alive(0);
    machine.apply(Event::Paused(Duration::from_secs(60)));
    machine.apply(Event::Tick(Millis(60_500)));
    assert_eq!(machine.phase(), Phase::Alive);
}

#[test]
fn leaves_and_returns() {
    let mut machine = alive(0);
    machine.apply(Event::Leaving(Millis(10)));
    assert!(!machine.takes_work());
    machine.apply(Event::Heard(Millis(20)));
    assert_eq!(machine.phase(), Phase::Joining);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whoever is heard more often than the limit is never suspected.
    #[test]
    fn no_flapping(gaps in vec(1_u64..2000, 1..60)) {
        let mut now = 0;
        let mut machine = Machine::new(Millis(now));
        for gap in gaps {
            now += gap;
            machine.apply(Event::Tick(Millis(now)));
            machine.apply(Event::Heard(Millis(now)));
            assert!(machine.takes_work());
        }
    }
}
