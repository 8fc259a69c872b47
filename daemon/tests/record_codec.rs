//! The stored forms of jobs' records and progress.

use lavendergauge_daemon::batch::record_codec;
use lavendergauge_daemon::batch::record_codec::Error;
use lavendergauge_lib::batch::config::Queue;
use lavendergauge_lib::batch::job::Intent;
use lavendergauge_lib::batch::job::Record;
use lavendergauge_lib::batch::job::Step;
use lavendergauge_lib::batch::job::Submission;
use lavendergauge_lib::batch::progress::Crashes;
use lavendergauge_lib::batch::progress::Occurrence;
use lavendergauge_lib::batch::progress::Outcome;
use lavendergauge_lib::batch::progress::Progress;
use lavendergauge_lib::batch::progress::Task;
use lavendergauge_lib::batch::progress::WorkerIncarnation;
use lavendergauge_wire::codec;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

/// Longest value of the store, in bytes.
const LIMIT: usize = 1 << 20;
const MOST_TASKS: usize = 20_000;

/// Progress in which every task has used all its fields.
fn worst_progress(tasks: usize, checkpoint: &str) -> Progress {
    let task = |index: usize| Task {
        run: u32::MAX,
        failures: u32::MAX,
        done: false,
        checkpoint: checkpoint.to_owned(),
        worker: Some(WorkerIncarnation {
            node: format!("side-a-data-centre-with-a-long-name-{}", index % 1000),
            incarnation: u64::MAX,
        }),
        failed_run: u32::MAX,
        crashes: Crashes { count: 1, strikes: 1, run: 1 },
    };
    let steps = vec![(0..tasks).map(task).collect()];
    Progress { occurrences: vec![Occurrence { number: 0, steps }], ..Progress::default() }
}

#[test]
fn largest_fits() {
    // The progress of an accepted job was longer than a value of the store.
    let progress = worst_progress(MOST_TASKS, "00000bb87a21d94b");
    let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
    assert!(value.len() <= LIMIT);
    assert_eq!(record_codec::decode_progress(&value).unwrap(), progress);
}

#[test]
fn checkpoints_left_out() {
    let progress = worst_progress(MOST_TASKS, &"c".repeat(1000));
    let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
    assert!(value.len() <= LIMIT);
    assert_eq!(record_codec::decode_progress(&value).unwrap(), worst_progress(MOST_TASKS, ""));
}

#[test]
fn small_steps_fit() {
    let step = |_| vec![worst_progress(1, "").occurrences[0].steps[0][0].clone()];
    let occurrence = |number| Occurrence { number, steps: vec![step(0)] };
    let many_steps = Occurrence { number: 0, steps: (0..MOST_TASKS).map(step).collect() };
    for occurrences in [vec![many_steps], (0..MOST_TASKS as u32).map(occurrence).collect()] {
        let progress = Progress { occurrences, ..Progress::default() };
        let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
        assert!(value.len() <= LIMIT, "{} bytes", value.len());
    }
}

#[test]
fn earlier_version() {
    // A version that does not know the packed form takes the job for one that has ended, and starts
    // none of its tasks again; it reads the other forms as they are.
    let packed = record_codec::encode_progress(&worst_progress(MOST_TASKS, "c"), LIMIT).unwrap();
    let read: Progress = codec::unpack(&packed).unwrap();
    assert_eq!((read.outcome, read.occurrences.len()), (Some(Outcome::Failed), 0));
    for tasks in [10, 5000] {
        let progress = worst_progress(tasks, "c");
        let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
        assert_eq!(codec::unpack::<Progress>(&value).unwrap(), progress);
    }
    let progress = worst_progress(10, "c");
    let earlier = codec::pack(&progress).unwrap();
    assert_eq!(record_codec::decode_progress(&earlier).unwrap(), progress);
}

#[test]
fn record_of_many_steps() {
    let record = |steps: usize| Record {
        submission: Submission {
            payload: "p".to_owned(),
            steps: vec![Step { tasks: 1, processors: 100, ..Step::default() }; steps],
            ..Submission::default()
        },
        queue: Queue::default(),
        account: "brno".to_owned(),
        accepted_ms: 7,
        intent: Intent::Wanted,
    };
    for steps in [1, MOST_TASKS] {
        let value = record_codec::encode_record(&record(steps), LIMIT).unwrap();
        assert!(value.len() <= LIMIT);
        assert_eq!(codec::unpack::<Record>(&value).unwrap(), record(steps));
    }
    let refused = record_codec::encode_record(&record(1000), 1000);
    assert!(matches!(refused, Err(Error::TooLong(_))));
}

fn task() -> impl Strategy<Value = Task> {
    let worker = ("[a-c]{1,3}", 0..4_u64)
        .prop_map(|(node, incarnation)| WorkerIncarnation { node, incarnation });
    let numbers = (any::<u32>(), any::<u32>(), any::<u32>(), 0..3_u32);
    (numbers, any::<bool>(), "[0-9]{0,4}", option::of(worker)).prop_map(
        |((run, failures, failed_run, count), done, checkpoint, worker)| Task {
            run,
            failures,
            done,
            checkpoint,
            worker,
            failed_run,
            crashes: Crashes { count, strikes: 0, run: count },
        },
    )
}

proptest! {
    #[test]
    fn read_as_written(steps in vec(vec(task(), 0..40), 0..4), from in 0..9_u32, tight in any::<bool>()) {
        let occurrences = vec![Occurrence { number: from, steps }];
        let progress = Progress { from, occurrences, ..Progress::default() };
        let named = codec::pack(&progress).unwrap().len();
        // A limit below the named form calls for the others.
        let limit = if tight { named - 1 } else { named };
        if let Ok(value) = record_codec::encode_progress(&progress, limit) {
            prop_assert!(value.len() <= limit);
            let read = record_codec::decode_progress(&value).unwrap();
            let without = |mut progress: Progress| {
                let steps = &mut progress.occurrences[0].steps;
                steps.iter_mut().flatten().for_each(|task| task.checkpoint.clear());
                progress
            };
            prop_assert_eq!(without(read), without(progress));
        }
    }
}
