//! Compares the figures and lists that the planner's tables keep with their computation from
//! scratch.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lavendergauge_lib::batch::hold;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::StepInstance;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::table::Job;
use lavendergauge_lib::batch::table::Phase;
use lavendergauge_lib::batch::table::Tables;
use lavendergauge_lib::batch::table::Worker;
use lavendergauge_lib::key;
use lavendergauge_lib::resource::Resources;

/// Checks everything that the tables keep besides their rows.
pub fn check(tables: &Tables) {
    check_runs(tables);
    check_workers(tables);
    check_jobs(tables);
}

fn check_runs(tables: &Tables) {
    let mut live = BTreeSet::new();
    for (&job, row) in &tables.jobs {
        for (&occurrence, tasks) in &row.occurrences {
            for (step, task_states) in tasks.steps.iter().enumerate() {
                let instance = StepInstance { job, occurrence, step: step as u16 };
                for (index, task_state) in task_states.iter().enumerate() {
                    let Some(key) = task_state.live else { continue };
                    let run = tables.runs.get(key).expect("the run of a task has a row");
                    assert_eq!(run.task, Task { instance, index: index as u32 });
                    live.insert(key);
                }
            }
        }
    }
    let rows: BTreeSet<key::Run> = tables.runs.keys().collect();
    assert_eq!(rows, live, "each run belongs to a task");
    for (key, run) in &tables.runs {
        let step = tables.step(run.task.instance).expect("a run's step");
        assert_eq!(run.demand, step.resources());
        let has_order = match run.phase {
            Phase::Launching => run.ordered.is_none(),
            Phase::Stopping(_) => !run.is_stop_acknowledged,
            _ => false,
        };
        assert!(!has_order || tables.unsent.contains(&key), "{run:?} has an order to send");
        let job = &tables.jobs[&run.task.instance.job];
        assert_eq!(run.phase == Phase::Planned, job.planned.contains(&key), "{run:?}");
    }
}

fn check_workers(tables: &Tables) {
    let keys = |is_listed: &dyn Fn(&Worker) -> bool| -> BTreeSet<key::Worker> {
        let rows = tables.workers.iter().filter(|(_, worker)| is_listed(worker));
        rows.map(|(key, _)| key).collect()
    };
    assert_eq!(tables.quarantined, keys(&|worker| worker.quarantine.is_some()));
    let silent = keys(&|worker| !worker.is_responsive && worker.session != 0);
    assert_eq!(*tables.crashes.silent(), silent);
    for (key, worker) in &tables.workers {
        let here: BTreeSet<key::Run> =
            tables.runs.iter().filter(|(_, run)| run.worker == key).map(|(key, _)| key).collect();
        let listed: BTreeSet<key::Run> = worker.runs.iter().copied().collect();
        assert_eq!(listed, here, "runs of {}", worker.node);
        assert_eq!(listed.len(), worker.runs.len(), "{} lists each run once", worker.node);
        let used = here
            .iter()
            .map(|key| &tables.runs[*key])
            .filter(|run| run.incarnation == worker.incarnation)
            .fold(Resources::default(), |used, run| used.plus(run.demand));
        assert_eq!(worker.used, used, "resources in use on {}", worker.node);
        for id in worker.unrecorded.keys() {
            let job = tables.jobs.get(id);
            assert!(job.is_none_or(|job| job.unrecorded_at.contains(&key)), "{id}");
        }
    }
}

fn check_jobs(tables: &Tables) {
    let mut inherited: BTreeMap<Id, u32> = BTreeMap::new();
    for run in tables.runs.values().filter(|run| run.is_inherited()) {
        *inherited.entry(run.task.instance.job).or_default() += 1;
    }
    for (id, job) in &tables.jobs {
        let count = inherited.get(id).copied().unwrap_or(0);
        assert_eq!(job.inherited, count, "runs of {id} by an earlier planner");
        if tables.unsettled.contains(id) {
            continue;
        }
        let is_active = job.is_active() && !hold::is_held(tables, *id);
        assert_eq!(is_active, tables.active.contains(id), "{id}");
        assert_eq!(is_active && job.is_recurring(), tables.recurring.contains(id), "{id}");
        let kept: Vec<(u32, u16, Vec<u32>)> =
            job.waiting.iter().map(|row| (row.occurrence, row.step, row.tasks.clone())).collect();
        assert_eq!(kept, waiting(job), "waiting tasks of {id}");
        assert_eq!(!kept.is_empty(), tables.waiting.contains(id), "{id}");
    }
}

/// Computes the waiting tasks of a job by occurrence and step.
fn waiting(job: &Job) -> Vec<(u32, u16, Vec<u32>)> {
    let mut waiting = Vec::new();
    if !job.is_active() {
        return waiting;
    }
    for (&occurrence, row) in &job.occurrences {
        for (number, step) in job.steps().iter().enumerate() {
            let is_done = |step: &u16| row.steps[usize::from(*step)].iter().all(|task| task.done);
            let task_states = &row.steps[number];
            let is_running = task_states.iter().any(|task| task.live.is_some());
            if !step.after.iter().all(is_done) || (step.gang && is_running) {
                continue;
            }
            let tasks: Vec<u32> = (0..task_states.len())
                .filter(|index| !task_states[*index].done && task_states[*index].live.is_none())
                .map(|index| index as u32)
                .collect();
            if !tasks.is_empty() {
                waiting.push((occurrence, number as u16, tasks));
            }
        }
    }
    waiting
}
