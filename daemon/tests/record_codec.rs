//! The stored forms of jobs' records and progress.

use bytes::Bytes;
use lavendergauge_daemon::batch::record_codec;
use lavendergauge_daemon::batch::record_codec::Error;
use lavendergauge_daemon::settings;
use lavendergauge_daemon::settings::Role;
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
use lavendergauge_net::client;
use lavendergauge_wire::codec;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use serde::Deserialize;

/// Longest value of the store, in bytes.
const LIMIT: usize = 1 << 20;
const MANY_TASKS: usize = 20_000;

/// A task that has used all its fields, with numbers up to `number`.
fn used_task(index: usize, number: u32, checkpoint: &str) -> Task {
    Task {
        run: number,
        failures: number,
        done: false,
        checkpoint: checkpoint.to_owned(),
        worker: Some(WorkerIncarnation {
            node: format!("side-a-data-centre-with-a-long-name-{}", index % 1000),
            incarnation: u64::MAX,
        }),
        failed_run: number,
        crashes: Crashes { count: 100, strikes: 100, run: number, unconfirmed: 100 },
    }
}

/// Progress of a job of one step, all tasks of which have used all their fields.
fn used_progress(tasks: usize, number: u32, checkpoint: &str) -> Progress {
    let steps = vec![(0..tasks).map(|index| used_task(index, number, checkpoint)).collect()];
    Progress { occurrences: vec![Occurrence { number: 0, steps }], ..Progress::default() }
}

fn job(steps: Vec<Step>) -> Submission {
    Submission { payload: "p".to_owned(), steps, ..Submission::default() }
}

/// Returns the greatest number of tasks with which a job of one step fits.
fn most_tasks(long_running: bool) -> u32 {
    let fits = |tasks: u32| {
        record_codec::fits(&job(vec![Step { tasks, long_running, ..Step::default() }]), LIMIT)
    };
    let (mut most, mut step) = (0, 1 << 20);
    while step != 0 {
        if fits(most + step) {
            most += step;
        }
        step /= 2;
    }
    most
}

#[test]
fn accepted_fits() {
    // The progress of an accepted job was longer than a value of the store.
    for (long_running, number, least) in
        [(false, u32::from(u16::MAX), 40_000), (true, u32::MAX, 26_000)]
    {
        let tasks = most_tasks(long_running);
        assert!(least < tasks, "{tasks} tasks");
        let progress = Progress { unstarted: true, ..used_progress(tasks as usize, number, "") };
        let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
        assert!(value.len() <= LIMIT);
        assert_eq!(record_codec::decode_progress(&value).unwrap(), progress);
    }
}

#[test]
fn open_occurrences_fit() {
    let most = record_codec::max_open_tasks(LIMIT);
    for tasks in [1, 2, 100, 3000] {
        let size = job(vec![Step { tasks, ..Step::default() }]).size();
        let steps = |index: usize| {
            vec![
                (0..tasks as usize)
                    .map(|task| used_task(index + task, u32::from(u16::MAX), ""))
                    .collect(),
            ]
        };
        let occurrences = (0..most / size)
            .map(|index| Occurrence { number: u32::MAX - index as u32, steps: steps(index) })
            .collect();
        let progress = Progress { occurrences, ..Progress::default() };
        let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
        assert!(value.len() <= LIMIT, "{tasks} tasks: {} bytes", value.len());
    }
}

#[test]
fn checkpoints_kept() {
    let progress = used_progress(MANY_TASKS, 300, "00000bb87a21d94b");
    let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
    assert_eq!(record_codec::decode_progress(&value).unwrap(), progress);
}

#[test]
fn checkpoints_left_out() {
    let progress = used_progress(MANY_TASKS, 300, &"c".repeat(1000));
    let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
    assert!(value.len() <= LIMIT);
    assert_eq!(record_codec::decode_progress(&value).unwrap(), used_progress(MANY_TASKS, 300, ""));
}

#[test]
fn many_steps_fit() {
    let submission = job(vec![Step { tasks: 1, ..Step::default() }; MANY_TASKS]);
    assert!(record_codec::fits(&submission, LIMIT));
    let steps = (0..MANY_TASKS).map(|index| vec![used_task(index, 60_000, "")]).collect();
    let progress =
        Progress { occurrences: vec![Occurrence { number: 0, steps }], ..Progress::default() };
    let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
    assert!(value.len() <= LIMIT, "{} bytes", value.len());
    let too_many = job(vec![Step { tasks: 1, ..Step::default() }; 1 + (1 << 16)]);
    assert!(!record_codec::fits(&too_many, usize::MAX), "steps have 16-bit numbers");
}

#[test]
fn earlier_version() {
    // A version that does not know the packed form takes the job for one that has ended, and starts
    // none of its tasks again; it reads the other forms as they are.
    let packed =
        record_codec::encode_progress(&used_progress(MANY_TASKS, u32::MAX, &"c".repeat(40)), LIMIT)
            .unwrap();
    let read: Progress = codec::unpack(&packed).unwrap();
    assert_eq!((read.outcome, read.occurrences.len()), (Some(Outcome::Failed), 0));
    for tasks in [10, 5000] {
        let progress = used_progress(tasks, 7, "c");
        let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
        assert_eq!(codec::unpack::<Progress>(&value).unwrap(), progress);
    }
    let progress = used_progress(10, 7, "c");
    let earlier = codec::pack(&progress).unwrap();
    assert_eq!(record_codec::decode_progress(&earlier).unwrap(), progress);
}

/// Progress as versions read it that do not know [`Progress::unstarted`].
#[derive(Debug, PartialEq, Deserialize)]
struct EarlierProgress {
    from: u32,
    occurrences: Vec<Occurrence>,
    outcome: Option<Outcome>,
    ended_ms: u64,
    #[serde(default)]
    packed: Bytes,
}

#[test]
fn unstarted_in_earlier_version() {
    // Guards against a job that is held, since the version that takes over cannot read its progress.
    for tasks in [10, 5000, MANY_TASKS] {
        for unstarted in [false, true] {
            let progress =
                Progress { unstarted, from: 1, ..used_progress(tasks, 7, &"c".repeat(20)) };
            let value = record_codec::encode_progress(&progress, LIMIT).unwrap();
            assert_eq!(record_codec::decode_progress(&value).unwrap(), progress);
            let read: EarlierProgress = codec::unpack(&value).unwrap();
            assert_eq!(read.packed.is_empty(), tasks != MANY_TASKS);
            if read.packed.is_empty() {
                assert_eq!((read.from, read.occurrences), (1, progress.occurrences));
            }
        }
        let progress = used_progress(tasks, 7, "c");
        for earlier in [codec::pack(&progress), codec::pack_unnamed(&progress)] {
            assert_eq!(record_codec::decode_progress(&earlier.unwrap()).unwrap(), progress);
        }
    }
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
    for steps in [1, MANY_TASKS] {
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
            crashes: Crashes { count, strikes: 0, run: count, unconfirmed: count / 2 },
        },
    )
}

proptest! {
    #[test]
    fn read_as_written(steps in vec(vec(task(), 0..40), 0..4), from in 0..9_u32, unstarted in any::<bool>(),
        tight in any::<bool>()) {
        let occurrences = vec![Occurrence { number: from, steps }];
        let progress = Progress { from, occurrences, unstarted, ..Progress::default() };
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

#[test]
fn readable_again() {
    // Where the store takes long values, a job's record could be longer than any answer that an entry
    // reads, and the list of all records failed with it.
    for (allowed, taken) in [(1 << 20, Some(1 << 20)), (1 << 30, None)] {
        let text = format!(
            "[process]\nrole = batch-entry\nname = entry-1\ndata_centre = z-1\nopen_access = yes\n\
             [batch]\npeer_address = 127.0.0.1:1\nstore_address = 127.0.0.1:2\n\
             service_address = 127.0.0.1:3\nready_address = 127.0.0.1:4\nstore_value_bytes = {allowed}\n"
        );
        let Role::BatchEntry(role) = settings::parse(&text).expect("good settings").role else {
            panic!("an entry")
        };
        let in_base64 = role.store_value_bytes.div_ceil(3) * 4;
        assert!(in_base64 + 1024 < client::MAX_RESPONSE_BYTES, "{in_base64} bytes");
        assert!(taken.is_none_or(|taken| taken == role.store_value_bytes));
    }
}
