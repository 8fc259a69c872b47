//! What happens to one member of a gang and concerns the others.

use smallvec::SmallVec;

use crate::batch::job::Task;
use crate::batch::table;
use crate::batch::table::Cause;
use crate::batch::table::Tables;
use crate::key;

/// Stops the other members of a task's gang.
pub(super) fn break_up(tables: &mut Tables, task: Task) {
    if !tables.step(task.instance).is_some_and(|step| step.gang) {
        return;
    }
    stop_members(tables, task, Cause::Gang, |_| true);
}

/// Stops the runs of a gang's members that a predicate selects.
fn stop_members(tables: &mut Tables, task: Task, cause: Cause, pick: impl Fn(&table::Run) -> bool) {
    let Some(task_states) = members(tables, task) else { return };
    let live: SmallVec<[key::Run; 16]> =
        task_states.iter().filter_map(|task_state| task_state.live).collect();
    for key in live {
        if tables.runs.get(key).is_some_and(&pick) {
            tables.stop_run(key, cause);
        }
    }
}

/// The success of one member is the success of its gang's whole run.
pub(super) fn finish(tables: &mut Tables, task: Task, run: u32) {
    let Some(task_states) = members_mut(tables, task) else { return };
    for task_state in task_states {
        task_state.done = true;
    }
    stop_members(tables, task, Cause::Surplus, |live| live.number != run);
}

/// The failure of one member is the failure of its gang, counted once per run.
pub(super) fn share_failure(tables: &mut Tables, task: Task, run: u32) {
    let Some(task_states) = members_mut(tables, task) else { return };
    let failures = task_states.iter().map(|task_state| task_state.failures).max().unwrap_or(0);
    for task_state in task_states {
        task_state.failures = failures;
        task_state.failed_run = task_state.failed_run.max(run);
    }
}

/// The stall of one member is the stall of its gang.
pub(super) fn share_stalls(tables: &mut Tables, task: Task) {
    let Some(task_states) = members_mut(tables, task) else { return };
    let stalls = task_states.iter().map(|task_state| task_state.stalls).max().unwrap_or(0);
    task_states.iter_mut().for_each(|task_state| task_state.stalls = stalls);
}

/// A gang resumes from one checkpoint, whichever member saved it.
pub(super) fn share_checkpoint(tables: &mut Tables, task: Task) {
    if !tables.step(task.instance).is_some_and(|step| step.gang) {
        return;
    }
    let Some(task_states) = members_mut(tables, task) else { return };
    let Some(newest) =
        task_states.get(task.index as usize).map(|task_state| task_state.checkpoint.clone())
    else {
        return;
    };
    if newest.is_empty() {
        return;
    }
    for task_state in task_states {
        if task_state.checkpoint != newest {
            task_state.checkpoint.clone_from(&newest);
        }
    }
}

fn members(tables: &Tables, task: Task) -> Option<&Vec<table::TaskState>> {
    let occurrence =
        tables.jobs.get(&task.instance.job)?.occurrences.get(&task.instance.occurrence)?;
    occurrence.steps.get(usize::from(task.instance.step))
}

fn members_mut(tables: &mut Tables, task: Task) -> Option<&mut Vec<table::TaskState>> {
    let job = tables.jobs.get_mut(&task.instance.job)?;
    let occurrence = job.occurrences.get_mut(&task.instance.occurrence)?;
    occurrence.steps.get_mut(usize::from(task.instance.step))
}
