//! The life of a job's record under racing, repeated and late writers.

use lavendergauge_lib::life;
use lavendergauge_lib::life::Change;
use lavendergauge_lib::life::Life;
use lavendergauge_lib::life::Repeat;
use lavendergauge_lib::life::State;
use lavendergauge_lib::life::Verdict;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

const FRESH: Life = Life { state: State::Waiting, attempt: 0, epoch: 0 };

fn change() -> impl Strategy<Value = Change> {
    (0..9_u32, 1..4_u32, 1..3_u64).prop_map(|(kind, attempt, epoch)| match kind {
        0 | 1 => Change::Stake { attempt, epoch },
        2 => Change::Launched(attempt),
        3 => Change::Withdraw(attempt),
        4 => Change::Lose(attempt, Repeat::Never),
        5 => Change::Yield(attempt, Repeat::Never),
        6 => Change::Finish(attempt),
        7 => Change::Fail(attempt),
        _ => Change::Cancel,
    })
}

fn check(changes: &[Change]) {
    let mut life = FRESH;
    let mut launched = Vec::new();
    for &change in changes {
        let before = life;
        if let Verdict::Write(next) = life::apply(life, change) {
            life = next;
            assert_ne!(
                life::apply(life, change),
                Verdict::Write(before),
                "a repeat changes nothing"
            );
        }
        assert!(before.attempt <= life.attempt, "attempts only grow");
        assert!(!before.state.is_over() || before == life, "an end is final");
        if life.state == State::Running && !launched.contains(&life.attempt) {
            launched.push(life.attempt);
        }
        assert!(launched.len() <= 1, "a job that may not repeat runs in one attempt");
    }
}

#[test]
fn racing_changes() {
    let config = Config {
        cases: 4000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&proptest::collection::vec(change(), 0..40), |changes| {
            check(&changes);
            Ok(())
        })
        .expect("every record's life is sound");
}

#[test]
fn answer_lost() {
    let stake = Change::Stake { attempt: 1, epoch: 7 };
    let Verdict::Write(staked) = life::apply(FRESH, stake) else { panic!("a first attempt") };
    assert_eq!(life::apply(staked, stake), Verdict::Already);
    let rival = Change::Stake { attempt: 1, epoch: 8 };
    assert_eq!(life::apply(staked, rival), Verdict::Refused);
}

#[test]
fn cancelled_stays() {
    let stopping = Life { state: State::Stopping, attempt: 1, epoch: 1 };
    for change in
        [Change::Withdraw(1), Change::Lose(1, Repeat::Allowed), Change::Yield(1, Repeat::Allowed)]
    {
        let Verdict::Write(next) = life::apply(stopping, change) else { panic!("an end") };
        assert_eq!(next.state, State::Cancelled);
    }
    assert_eq!(life::apply(stopping, Change::Cancel), Verdict::Already);
}
