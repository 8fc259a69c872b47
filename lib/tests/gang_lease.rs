//! Running gangs over lossy announcements: whole gangs go on, and broken ones end in time.

use std::time::Duration;

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
use lavendergauge_lib::gang_lease::Table;
use lavendergauge_lib::gang_lease::Vital;
use lavendergauge_lib::gang_watch::End;
use lavendergauge_lib::gang_watch::Event;
use lavendergauge_lib::gang_watch::Machine;
use lavendergauge_lib::gang_watch::Order;
use lavendergauge_lib::gang_watch::Sight;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

/// Interval between announcements, in milliseconds.
const ROUND_MS: u64 = 500;
/// Longest time that an announcement is under way, in milliseconds.
const DELAY_MS: u64 = 1000;
/// Rounds of one run.
const ROUNDS: u64 = 60;

fn slot(member: u32) -> Slot {
    Slot { job: "sweep".into(), attempt: 1, member }
}

/// A gate whose member runs under a start lease.
fn started(member: u32) -> Gate {
    let mut gate = Gate::new(Capacity { accelerators: 1, ..Capacity::default() });
    let hold = Hold { accelerators: [0].into_iter().collect(), ..Hold::default() };
    let steps = [
        Step::Prepare { hold, lasts: gang::HOLD },
        Step::Arm,
        Step::Go { lease: gang::START_LEASE },
    ];
    for step in steps {
        let command = Command { epoch: 1, job: "sweep".into(), attempt: 1, member, step };
        assert_eq!(gate.command(Millis(0), &command, true).0, gang::Verdict::Done);
    }
    gate
}

/// What becomes of one announcement to one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It comes, and its answer too.
    Whole,
    /// It is lost.
    Lost,
    /// It comes, and its answer is lost.
    AnswerLost,
    /// It comes late, and its answer at once after.
    Late(u64),
}

fn way() -> impl Strategy<Value = Way> {
    (0..10_u32, 0..DELAY_MS).prop_map(|(kind, late)| match kind {
        0..=5 => Way::Whole,
        6 => Way::Lost,
        7 => Way::AnswerLost,
        _ => Way::Late(late),
    })
}

struct Member {
    gate: Gate,
    /// When its agent died or was paused for good.
    dead: Option<Millis>,
    ended: Option<Millis>,
}

/// Runs a gang of three that announces itself to two entries; one member may die in a round.
fn run(ways: &[Way], death: Option<(u64, usize)>) -> Vec<Member> {
    let member = |member| Member { gate: started(member), dead: None, ended: None };
    let mut members: Vec<Member> = (0..3).map(member).collect();
    let mut entries = [Table::default(), Table::default()];
    let mut ways = ways.iter().copied().cycle();
    for round in 1..ROUNDS {
        let now = Millis(round * ROUND_MS);
        if let Some((when, who)) = death
            && when == round
        {
            members[who].dead = Some(now);
        }
        for (index, member) in members.iter_mut().enumerate() {
            if member.dead.is_some() {
                continue;
            }
            let effects = member.gate.tick(now);
            if effects.iter().any(|effect| matches!(effect, Effect::Stop(_))) {
                member.ended.get_or_insert(now);
            }
            let slot = slot(index as u32);
            let running = member.gate.standings()[0].phase == Phase::Running;
            let vital = if running { Vital::Good } else { Vital::Bad };
            for entry in &mut entries {
                let (arrives, heard) = match ways.next().unwrap_or(Way::Whole) {
                    Way::Whole => (now, true),
                    Way::Lost => continue,
                    Way::AnswerLost => (now, false),
                    Way::Late(late) => (now + Duration::from_millis(late), true),
                };
                entry.see(arrives, &slot, 3, vital);
                if let Some(left) = entry.left(arrives, &slot).filter(|_| heard && running) {
                    member.gate.renew(arrives, &slot, now + left);
                }
            }
        }
    }
    members
}

fn seeds() -> u32 {
    std::env::var("LAVENDERGAUGE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases: cases * seeds(),
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn lost_member() {
    let ways = proptest::collection::vec(way(), 1..200);
    runner(1000)
        .run(&(ways, 2..20_u64, 0..3_usize), |(ways, round, who)| {
            let members = run(&ways, Some((round, who)));
            let died = members[who].dead.expect("a death").0;
            let bound = gang::GANG_LEASE.as_millis() as u64 + DELAY_MS + 2 * ROUND_MS;
            for (_, member) in members.iter().enumerate().filter(|(index, _)| *index != who) {
                let ended = member.ended.expect("the others end").0;
                assert!(ended <= died + bound, "ended {ended}, died {died}");
            }
            Ok(())
        })
        .expect("a lost member ends the others in time");
}

#[test]
fn whole_gang() {
    let ways = proptest::collection::vec(way(), 1..200);
    let lossy = |ways: &[Way]| 3 <= ways.iter().filter(|&&way| way == Way::Whole).count();
    runner(1000)
        .run(&ways, |ways| {
            // Three announcements in a row that are heard at one entry are enough to go on.
            let heard = ways.iter().all(|way| !matches!(way, Way::Lost | Way::AnswerLost));
            if heard && lossy(&ways) {
                let members = run(&ways, None);
                assert!(members.iter().all(|member| member.ended.is_none()), "the gang goes on");
            }
            Ok(())
        })
        .expect("a heard gang goes on");
    let one_lost = [Way::Lost, Way::Whole];
    assert!(run(&one_lost, None).iter().all(|member| member.ended.is_none()));
    assert!(run(&[Way::AnswerLost], None).iter().all(|member| member.ended.is_some()));
}

fn sight() -> impl Strategy<Value = Sight> {
    (0..12_u32).prop_map(|kind| match kind {
        0..=5 => Sight::Alive,
        6 | 7 => Sight::Done,
        8 => Sight::Failed,
        9 => Sight::Stopped,
        10 => Sight::Missing,
        _ => Sight::Over,
    })
}

#[test]
fn watched_gang() {
    let looks = proptest::collection::vec(proptest::collection::vec(sight(), 3), 1..30);
    runner(3000)
        .run(&(looks, 0..40_usize), |(looks, stop)| {
            let mut machine = Machine::default();
            let mut ended = None;
            for (index, sights) in looks.iter().enumerate() {
                let now = Millis(index as u64 * 1000);
                let mut orders = Vec::new();
                if index == stop {
                    orders.extend(machine.handle(now, &Event::Stop(Duration::from_secs(1))));
                }
                orders.extend(machine.handle(now, &Event::Look(sights)));
                for order in orders {
                    let Order::End(end) = order else { continue };
                    assert_eq!(ended.replace(end), None, "a gang ends once");
                    let over =
                        sights.iter().all(|sight| !matches!(sight, Sight::Alive | Sight::Silent));
                    assert!(over, "a gang is over only once no member can run");
                    let done = sights.iter().all(|&sight| sight == Sight::Done);
                    assert!(end != End::Finished || done, "only a whole gang has finished");
                    let stopped = sights
                        .iter()
                        .all(|sight| matches!(sight, Sight::Stopped | Sight::Done | Sight::Failed));
                    assert!(end != End::Stopped || (stopped && stop <= index));
                }
            }
            Ok(())
        })
        .expect("a watched gang ends truly");
}
