//! Shares of accounts: a burst of one account delays its own jobs first. Each load is played with the
//! switch off and on.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::policy::Policy;
use lavendergauge_lib::batch::share;
use proptest::prelude::*;

/// Plays a load with the switch off and on.
fn play(load: impl Fn(&mut Simulation)) -> [Simulation; 2] {
    [false, true].map(|account_shares| {
        let mut sim = Simulation::new(1);
        sim.tables.policy = Policy { account_shares, ..Policy::default() };
        load(&mut sim);
        sim
    })
}

/// Returns the number of jobs of an account that ended within their objective.
fn in_time(sim: &Simulation, account: &str) -> usize {
    let is_in_time = |id| {
        let job = &sim.submitted[id];
        job.ended.is_some_and(|ended| ended <= job.at + job.objective_ms)
    };
    sim.records.iter().filter(|(id, row)| row.account == account && is_in_time(id)).count()
}

/// Submits a burst of 40 s of work for the whole fleet.
fn burst(sim: &mut Simulation) {
    for _ in 0..60 {
        sim.submit("plain", "plzen", vec![step(2, 4, 4000)], 4000);
    }
}

/// Guards against small accounts that wait behind the burst of another one.
#[test]
fn burst_beside_small() {
    let [off, on] = play(|sim| {
        burst(sim);
        for tick in 0..20 {
            let account = ["opava", "zlin"][tick % 2];
            sim.submit("plain", account, vec![step(1, 1, 4000)], 4000);
            sim.run_for(1000);
        }
        assert!(sim.run_until_ended(120_000), "the burst is served in the end");
    });
    let small = |sim: &Simulation| in_time(sim, "opava") + in_time(sim, "zlin");
    assert_eq!(small(&on), 20);
    assert!(small(&off) < 20, "without shares the small accounts are late");
}

/// Guards against a small account that waits because the burst arrived at the same moment, before any
/// of it counts as used.
#[test]
fn burst_at_once() {
    let small = Id(61);
    let [off, on] = play(|sim| {
        burst(sim);
        assert_eq!(sim.submit("plain", "opava", vec![step(2, 4, 4000)], 4000), small);
        sim.run_for(6000);
    });
    assert_eq!(off.all_started(small), None);
    assert!(on.all_started(small).is_some_and(|ms| ms <= 200));
}

/// Guards against capacity that stays idle because an account has used its share.
#[test]
fn idle_capacity_is_lent() {
    let [off, on] = play(|sim| {
        burst(sim);
        assert!(sim.run_until_ended(120_000));
    });
    assert_eq!(off.now, on.now);
    assert_eq!(off.starts, on.starts);
}

/// Guards against an account that is put behind long after its burst, and against runs that stay
/// counted after their end.
#[test]
fn use_is_forgotten() {
    let [off, on] = play(|sim| {
        burst(sim);
        assert!(sim.run_until_ended(120_000));
        sim.run_for(200_000);
        sim.starts.clear();
        sim.submit("plain", "plzen", vec![step(6, 4, 4000)], 4000);
        sim.submit("plain", "opava", vec![step(6, 4, 4000)], 4000);
        assert!(sim.run_until_ended(60_000));
    });
    assert_eq!(off.starts, on.starts);
}

proptest! {
    /// Guards against levels that fall with use, or that differ for differences below a quarter of the
    /// equal share.
    #[test]
    fn level_grows_with_use(used in 0.0..2.0f64, more in 0.0..1.0f64, accounts in 1..20u32) {
        let total = f64::from(accounts);
        let level = |used: f64| share::level(used, 1.0, total);
        prop_assert!(level(used) <= level(used + more));
        let quarters = (more * total * 4.0).ceil() as u32;
        prop_assert!(level(used + more) <= level(used) + quarters);
        prop_assert!(share::level(used, 2.0, total) <= level(used));
    }
}
