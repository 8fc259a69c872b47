//! Steps that run only on workers that an advice service approves, best-effort tasks on the workers
//! of serving tasks, and maintenance of VMs in waves.

mod batch_sim;

use std::collections::BTreeMap;
use std::time::Duration;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::advice;
use lavendergauge_lib::batch::job::State;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::pace;
use lavendergauge_lib::batch::pace::Pace;
use lavendergauge_lib::batch::wave;
use lavendergauge_lib::batch::wave::Machine;
use lavendergauge_lib::batch::wave::Record;
use lavendergauge_lib::batch::wave::Status;
use lavendergauge_lib::batch::wave::Wave;
use lavendergauge_lib::clock::Millis;

/// Answers every question: only workers with an even number may run a step. Returns the number of
/// workers asked about.
fn advise(sim: &mut Simulation, valid: Duration) -> usize {
    let now = Millis(sim.now);
    let questions = advice::questions(&mut sim.tables, now);
    for question in &questions {
        let approved: Vec<(String, String)> = question
            .workers
            .iter()
            .filter(|(_, id, _)| id.ends_with(['0', '2', '4', '6', '8']))
            .map(|(_, id, _)| (id.clone(), "ticket".to_owned()))
            .collect();
        advice::apply_answer(&mut sim.tables, now, question, &approved, valid);
    }
    questions.iter().map(|question| question.workers.len()).sum()
}

#[test]
fn only_approved_workers() {
    let mut sim = Simulation::new(2);
    sim.require_advice("plain", 3000);
    let id = sim.submit("plain", "brno", vec![step(5, 8, 600)], 600);
    sim.run_for(400);
    assert!(sim.starts.is_empty(), "nothing starts without a ticket");
    let mut asked = 0;
    for _ in 0..200 {
        asked += advise(&mut sim, Duration::from_secs(3));
        sim.run_for(20);
    }
    assert_eq!(sim.state(id), Some(State::Completed));
    for (_, _, _, node) in &sim.starts {
        assert!(node.ends_with(['0', '2', '4']), "{node} was not approved");
    }
    assert!(asked <= 6 + 3 * 3, "each worker is asked about once, and again when tickets expire");
}

#[test]
fn expiring_ticket() {
    let mut sim = Simulation::new(1);
    sim.require_advice("plain", 1000);
    sim.submit("plain", "brno", vec![step(1, 1, 600)], 600);
    sim.run_for(40);
    advise(&mut sim, Duration::from_millis(300));
    sim.run_for(1000);
    assert!(sim.starts.is_empty(), "a ticket that may expire before the order arrives is not used");
}

#[test]
fn unanswered_question() {
    let mut sim = Simulation::new(1);
    sim.require_advice("plain", 1000);
    sim.submit("plain", "brno", vec![step(1, 1, 600)], 600);
    sim.run_for(40);
    let now = Millis(sim.now);
    let questions = advice::questions(&mut sim.tables, now);
    assert_eq!(questions.len(), 1);
    advice::record_failure(&mut sim.tables, now, questions[0].instance);
    assert!(
        advice::questions(&mut sim.tables, now).is_empty(),
        "no new question right after a failure"
    );
    sim.run_for(1000);
    assert_eq!(advice::questions(&mut sim.tables, Millis(sim.now)).len(), 1);
}

#[test]
fn best_effort_backs_off() {
    let mut pace = Pace::default();
    let mut now = 0;
    let mut over_bound = 0;
    // Tail latency grows with the share of the best-effort task: 50% of the bound without it, 120%
    // at full share.
    for _ in 0..600 {
        now += 100;
        let tail_percent = 50 + u64::from(pace.percent) * 70 / 100;
        if 100 <= tail_percent {
            over_bound += 1;
        }
        pace = pace::next(&pace, Millis(now), tail_percent);
    }
    assert!(over_bound <= 5, "over the bound in {over_bound} of 600 steps");
    assert!(0 < pace.percent, "the best-effort task still works");
}

#[test]
fn best_effort_with_serving_task() {
    let mut sim = Simulation::new(1);
    let serving = Step { long_running: true, tail_latency_ms: 50, ..step(3, 0, 1000) };
    sim.submit("plain", "brno", vec![serving], 100_000);
    let best_effort = Step { best_effort: true, ..step(6, 0, 2000) };
    let id = sim.submit("patient", "brno", vec![best_effort], 2000);
    sim.run_for(300);
    assert!(sim.paced.iter().any(|(_, percent)| *percent < 100), "slowed at once");
    sim.run_for(5000);
    assert_eq!(sim.state(id), Some(State::Completed));
}

fn machines(statuses: &[Status]) -> BTreeMap<String, Machine> {
    let machine = |(index, status): (usize, &Status)| Machine {
        name: format!("m-{index}"),
        status: *status,
        worker: format!("side-{index}"),
    };
    statuses.iter().enumerate().map(machine).map(|m| (m.name.clone(), m)).collect()
}

#[test]
fn wave_in_turn() {
    let mut sim = Simulation::new(1);
    sim.submit("plain", "brno", vec![step(1, 8, 9000)], 9000);
    sim.run_for(4000);
    let busy = sim.starts[0].3.replace("side", "m");
    let names: Vec<String> = (0..3).map(|index| format!("m-{index}")).collect();
    let wave = Wave { number: 1, machines: names, max_away: 1, is_partial: false };
    let mut record = Record::default();
    let mut order = Vec::new();
    let mut statuses = [Status::Up; 3];
    for _ in 0..10 {
        let now = Millis(sim.now);
        match wave::next(&sim.tables, now, &wave, &record, &machines(&statuses)) {
            wave::Step::Order(chosen) => {
                assert_eq!(chosen.len(), 1, "one at a time");
                order.extend(chosen.iter().cloned());
                let index: usize = chosen[0][2..].parse().unwrap();
                statuses[index] = Status::Away;
                record.ordered.extend(chosen.iter().cloned());
                record.begun.extend(chosen);
            }
            wave::Step::Wait => statuses = [Status::Up; 3],
            wave::Step::Complete => break,
        }
    }
    assert_eq!(order.len(), 3);
    assert_eq!(order[2], busy, "the VM with work to lose goes last");
}

#[test]
fn wave_in_doubt() {
    // A maintenance order that may have been carried out is repeated before any other is sent.
    let mut sim = Simulation::new(1);
    sim.run_for(4000);
    let wave = Wave {
        number: 1,
        machines: vec!["m-0".into(), "m-1".into()],
        max_away: 1,
        is_partial: false,
    };
    let record = Record { ordered: ["m-1".to_owned()].into(), ..Record::default() };
    let statuses = [Status::Up, Status::Up];
    let step = wave::next(&sim.tables, Millis(sim.now), &wave, &record, &machines(&statuses));
    assert_eq!(step, wave::Step::Order(vec!["m-1".into()]));
}

#[test]
fn wave_after_takeover() {
    let mut sim = Simulation::new(1);
    sim.take_over();
    let wave = Wave { number: 1, machines: vec!["m-0".into()], max_away: 1, is_partial: false };
    let all = machines(&[Status::Up]);
    let step = wave::next(&sim.tables, Millis(sim.now), &wave, &Record::default(), &all);
    assert_eq!(step, wave::Step::Wait, "an earlier planner may still act");
}
