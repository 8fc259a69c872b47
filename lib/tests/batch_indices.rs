//! The lists and figures that the tables keep stay right under random histories, and a report
//! touches only what it is about.

mod batch_sim;

use batch_sim::Simulation;
use batch_sim::step;
use lavendergauge_lib::batch::config::Config;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::observe;
use lavendergauge_lib::clock::Millis;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

/// An event of a random history. Numbers choose a worker, queue or job.
#[derive(Clone, Debug)]
enum Event {
    Submit { queue: usize, tasks: u32, accelerators: u32, shape: u8, work_ms: u64 },
    Cancel(usize),
    Restart(usize),
    RestartUnnoticed(usize),
    Notice(usize),
    Partition(usize),
    Drain(usize),
    Stall(usize),
    Fail(usize),
    LoseAnswers(usize),
    StoreDown,
    StoreUp,
    Reconfigure(u32),
    TakeOver,
    Wait(u64),
}

const QUEUES: [&str; 3] = ["urgent", "plain", "patient"];
/// Bits of a submitted job's shape.
const GANG: u8 = 1;
const TWO_STEPS: u8 = 2;
const CHECKPOINTS: u8 = 4;
const SPREAD: u8 = 8;
const SAME_RACK: u8 = 16;

fn events() -> impl Strategy<Value = Vec<Event>> {
    let submit = (0..3usize, 1..9u32, 1..9u32, any::<u8>(), 100..6000u64).prop_map(
        |(queue, tasks, accelerators, shape, work_ms)| Event::Submit {
            queue,
            tasks,
            accelerators,
            shape,
            work_ms,
        },
    );
    let worker = || 0..6usize;
    let event = prop_oneof![
        8 => submit,
        2 => (0..40usize).prop_map(Event::Cancel),
        1 => worker().prop_map(Event::Restart),
        1 => worker().prop_map(Event::RestartUnnoticed),
        1 => worker().prop_map(Event::Notice),
        1 => worker().prop_map(Event::Partition),
        1 => worker().prop_map(Event::Drain),
        1 => worker().prop_map(Event::Stall),
        1 => worker().prop_map(Event::Fail),
        1 => worker().prop_map(Event::LoseAnswers),
        1 => Just(Event::StoreDown),
        2 => Just(Event::StoreUp),
        1 => (1..4u32).prop_map(Event::Reconfigure),
        1 => Just(Event::TakeOver),
        6 => (20..1500u64).prop_map(Event::Wait),
    ];
    proptest::collection::vec(event, 1..40)
}

fn apply(sim: &mut Simulation, event: &Event) {
    let flip = |flag: &mut bool| *flag = !*flag;
    match event {
        Event::Submit { queue, tasks, accelerators, shape, work_ms } => {
            let first = Step {
                gang: shape & GANG != 0,
                checkpoints: shape & CHECKPOINTS != 0,
                max_per_worker: if shape & SPREAD != 0 { 2 } else { 0 },
                same_rack: shape & SAME_RACK != 0,
                ..step(*tasks, *accelerators, *work_ms)
            };
            let mut steps = vec![first];
            if shape & TWO_STEPS != 0 {
                steps.push(Step { after: [0].into_iter().collect(), ..step(2, 1, *work_ms) });
            }
            let account = if shape & SPREAD != 0 { "brno" } else { "praha" };
            sim.submit(QUEUES[*queue], account, steps, *work_ms);
        }
        Event::Cancel(number) => {
            if let Some(id) = sim.records.keys().nth(*number).copied() {
                sim.cancel(id);
            }
        }
        Event::Restart(index) => sim.restart(*index),
        Event::RestartUnnoticed(index) => sim.restart_unnoticed(*index),
        Event::Notice(index) => sim.notice_restart(*index),
        Event::Partition(index) => flip(&mut sim.workers[*index].reachable),
        Event::Drain(index) => flip(&mut sim.workers[*index].ready),
        Event::Stall(index) => flip(&mut sim.workers[*index].is_stuck),
        Event::Fail(index) => flip(&mut sim.workers[*index].fails),
        Event::LoseAnswers(index) => flip(&mut sim.workers[*index].loses_answers),
        Event::StoreDown => sim.store_down = true,
        Event::StoreUp => sim.store_down = false,
        Event::Reconfigure(attempts) => {
            let mut config = Config::clone(&sim.config);
            config.version += 1;
            config.queues.iter_mut().for_each(|queue| queue.attempts = *attempts);
            sim.config = config.into();
        }
        Event::TakeOver => sim.take_over(),
        Event::Wait(ms) => sim.run_for(*ms),
    }
    sim.run_for(20);
}

#[test]
fn random_histories() {
    // The simulation compares what the tables keep with their rows after every tick.
    let config = RunnerConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    TestRunner::new(config)
        .run(&events(), |events| {
            let mut sim = Simulation::new(2);
            for event in &events {
                apply(&mut sim, event);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn report_of_one_worker() {
    let mut sim = Simulation::new(8);
    let ids: Vec<_> =
        (0..24).map(|_| sim.submit("plain", "brno", vec![step(1, 8, 9000)], 9000)).collect();
    sim.run_for(300);
    let runs_before = format!("{:?}", sim.tables.runs);
    sim.tables.changed_workers.clear();
    assert!(sim.tables.unsettled.is_empty(), "nothing has changed since the last tick");
    // One worker lists the end of its only run; nobody else says anything.
    let (task, run) = {
        let worker = &sim.workers[3];
        let (task, run) = worker.runs.iter().next().unwrap();
        (*task, run.run)
    };
    sim.end_run(3, task);
    let report = sim.report_of(3);
    let changes = observe::apply_report(&mut sim.tables, Millis(sim.now), sim.fence, &report);
    assert_eq!(changes.len(), 1, "{run} has ended");
    let changed: Vec<String> = sim
        .tables
        .changed_workers
        .iter()
        .map(|key| sim.tables.workers[*key].node.clone())
        .collect();
    assert_eq!(changed, ["side-3"]);
    assert_eq!(Vec::from_iter(sim.tables.unsettled.iter().copied()), [task.instance.job]);
    assert!(ids.contains(&task.instance.job));
    let key_of_ended = sim.tables.runs.len();
    assert_eq!(key_of_ended, 23);
    for (_, run) in &sim.tables.runs {
        assert!(runs_before.contains(&format!("{run:?}")), "{} is untouched", run.task);
    }
}
