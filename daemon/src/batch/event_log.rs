//! Logs and counts what the planner decides and observes.

use lavendergauge_lib::batch::change::Change;
use lavendergauge_lib::batch::event::Beginning;
use lavendergauge_lib::batch::event::Event;
use metrics::counter;
use metrics::histogram;

use crate::logs::Value;

/// Logs and counts a decision of a tick, or a change that it observed; `config` is the version of the
/// configuration in force.
pub fn log_event(event: &Event, config: u64) {
    match event {
        Event::Changed(change) => log_change(change),
        Event::Begun(beginning) => log_beginning(beginning),
        Event::Cancelled(id) => log::info!("event=job-cancelled job={id}"),
        Event::Placed { task, run, node, choices, near } => log::info!(
            "event=placed task={task} run={run} worker={node} choices={choices} near={near} \
             config={config}"
        ),
        Event::Stopped(task, run, cause) => {
            log::info!("event=stop-decided task={task} run={run} cause={cause}");
        }
        Event::Preempted { task, run, by } => {
            log::info!("event=stop-decided task={task} run={run} cause=preempted by={by}");
        }
        Event::Reserved(instance, workers) => {
            log::info!(
                "event=space-kept job={} step={} workers={workers}",
                instance.job,
                instance.step
            )
        }
        Event::Backfilled(instance, reservations) => {
            counter!("lavendergauge_steps_backfilled_total").increment(1);
            log::info!(
                "event=step-backfilled job={} step={} reservations={reservations}",
                instance.job,
                instance.step
            );
        }
        Event::Overdue(instance, waited) => {
            counter!("lavendergauge_steps_overdue_total").increment(1);
            log::info!(
                "event=step-overdue job={} step={} held_back_ms={}",
                instance.job,
                instance.step,
                waited.as_millis()
            );
        }
        Event::Waiting(instance, wait) => log::info!(
            "event=step-waits job={} step={} away={} paused={} evacuated={} unfit={} avoided={} \
             full={} reserved={} open={} quarantined={}",
            instance.job,
            instance.step,
            wait.away,
            wait.paused,
            wait.evacuated,
            wait.unfit,
            wait.avoided,
            wait.full,
            wait.reserved,
            wait.open,
            wait.quarantined
        ),
        Event::RunTime { queue, account, median_permille, tail_permille, observations } => {
            counter!("lavendergauge_run_time_changes_total").increment(1);
            histogram!("lavendergauge_run_time_ratio").record(f64::from(*median_permille) / 1000.0);
            log::info!(
                "event=run-time-assumed queue={} account={} median_permille={median_permille} \
                 tail_permille={tail_permille} observations={observations}",
                Value(queue),
                Value(account)
            );
        }
        Event::Occupancy(occupancy) => {
            histogram!("lavendergauge_free_accelerators").record(occupancy.free as f64);
            log::info!(
                "event=occupancy workers={} idle_workers={} accelerators={} free={} headroom={} \
                 waiting={}",
                occupancy.workers,
                occupancy.idle_workers,
                occupancy.accelerators,
                occupancy.free,
                occupancy.headroom,
                occupancy.waiting
            );
        }
        Event::Shortage(_) | Event::Raised(..) | Event::Weighed(_) | Event::Shares(_) => {
            log_choice(event);
        }
        Event::Suspected(node, suspicion) => {
            counter!("lavendergauge_workers_suspected_total", "cause" => suspicion.name())
                .increment(1);
            log::info!("event=worker-suspected worker={node} cause={}", suspicion.name());
        }
        Event::Cleared(node) => log::info!("event=worker-cleared worker={node}"),
        Event::FailureBurst(workers) => {
            counter!("lavendergauge_failure_bursts_total").increment(1);
            log::warn!("event=failure-burst workers={workers}");
        }
        Event::PlacedOnProven(instance, choices) => {
            counter!("lavendergauge_steps_on_proven_workers_total").increment(1);
            log::info!(
                "event=placed-on-proven job={} step={} choices={choices}",
                instance.job,
                instance.step
            );
        }
        Event::LastAttemptWaits(instance, proven) => {
            counter!("lavendergauge_last_attempts_waiting_total").increment(1);
            log::info!(
                "event=last-attempt-waits job={} step={} proven={proven}",
                instance.job,
                instance.step
            );
        }
        Event::Tier(instance, class, workers) => {
            counter!("lavendergauge_speed_choices_total", "class" => class.name()).increment(1);
            log::info!(
                "event=speed-chosen job={} step={} class={} workers={workers}",
                instance.job,
                instance.step,
                class.name()
            );
        }
        Event::Speed(node, permille) => {
            histogram!("lavendergauge_worker_factor").record(f64::from(*permille) / 1000.0);
            log::info!("event=worker-speed worker={node} factor_permille={permille}");
        }
        Event::Withdrawn { task, run, node } => {
            counter!("lavendergauge_starts_withdrawn_total").increment(1);
            log::info!(
                "event=start-withdrawn task={task} run={run} worker={node} cause=worker-shrunk"
            );
        }
        Event::Overridden(instance, reservations) => {
            counter!("lavendergauge_reservations_overridden_total").increment(1);
            log::info!(
                "event=reservations-overridden job={} step={} reservations={reservations}",
                instance.job,
                instance.step
            );
        }
        Event::GivenUp(task, crashes) => {
            counter!("lavendergauge_tasks_given_up_total").increment(1);
            log::warn!(
                "event=task-given-up task={task} run={} crashes={} strikes={}",
                crashes.run,
                crashes.count,
                crashes.strikes
            );
        }
        Event::Quarantined { task, run, node, is_idle } => {
            counter!("lavendergauge_quarantined_runs_total").increment(1);
            log::info!(
                "event=placed-in-quarantine task={task} run={run} worker={node} idle={is_idle}"
            );
        }
        Event::Ended(id, outcome) => log::info!("event=job-ended job={id} outcome={outcome:?}"),
    }
}

fn log_beginning(beginning: &Beginning) {
    histogram!("lavendergauge_occurrence_objective_seconds")
        .record(beginning.objective_ms as f64 / 1000.0);
    log::info!(
        "event=occurrence-begun job={} occurrence={} queue={} priority={} account={} \
         tasks={} work_core_ms={} objective_ms={} waited_ms={}",
        beginning.job,
        beginning.occurrence,
        Value(&beginning.queue),
        beginning.priority,
        Value(&beginning.account),
        beginning.tasks,
        beginning.work,
        beginning.objective_ms,
        beginning.waited_ms
    );
}

/// Logs and counts a decision between callers when not all can be served in time.
fn log_choice(event: &Event) {
    match event {
        Event::Shortage(summary) => {
            histogram!("lavendergauge_shortage_deferred_steps").record(summary.deferred as f64);
            histogram!("lavendergauge_shortage_late_steps").record(summary.late as f64);
            log::info!(
                "event=shortage in_time={} deferred={} late={} worthless={}",
                summary.in_time,
                summary.deferred,
                summary.late,
                summary.worthless
            );
        }
        Event::Raised(instance, waited) => {
            counter!("lavendergauge_steps_raised_total").increment(1);
            log::info!(
                "event=step-raised job={} step={} waited_ms={}",
                instance.job,
                instance.step,
                waited.as_millis()
            );
        }
        Event::Weighed(weighing) => {
            let verdict = weighing.verdict.name();
            counter!("lavendergauge_preemptions_weighed_total", "verdict" => verdict).increment(1);
            log::info!(
                "event=preemption-weighed job={} step={} verdict={verdict} cost={} gain={} \
                 wait_ms={}",
                weighing.instance.job,
                weighing.instance.step,
                weighing.cost,
                weighing.gain,
                weighing.wait_ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string())
            );
        }
        Event::Shares(summary) => {
            histogram!("lavendergauge_account_share_level").record(f64::from(summary.level));
            log::info!(
                "event=account-put-behind account={} level={} lowest={} steps={}",
                Value(&summary.account),
                summary.level,
                summary.lowest,
                summary.steps
            );
        }
        _ => {}
    }
}

/// Logs a change that an agent's report has caused.
pub fn log_change(change: &Change) {
    match change {
        Change::Joined(id) => log::info!("event=worker-known worker={id}"),
        Change::Leaving(id) => log::info!("event=worker-leaving worker={id}"),
        Change::Crashed { node, incarnation, runs, suspects, evidence } => {
            let evidence = evidence.name();
            counter!("lavendergauge_worker_crashes_total", "evidence" => evidence).increment(1);
            counter!("lavendergauge_runs_lost_in_crashes_total").increment(*runs as u64);
            let names: Vec<String> =
                suspects.iter().map(|(task, run)| format!("{task}/{run}")).collect();
            log::warn!(
                "event=worker-crashed worker={node} incarnation={incarnation} runs={runs} \
                 suspects={} evidence={evidence}",
                Value(&names.join(","))
            );
        }
        Change::Recalled { worker, avoided_ms } => {
            log::info!("event=worker-recalled worker={worker} avoided_ms={avoided_ms}");
        }
        Change::Began(task, run) => log::info!("event=began task={task} run={run}"),
        Change::Ended(task, run, outcome) => {
            log::info!("event=ended task={task} run={run} outcome={}", Value(outcome));
        }
        Change::Lost(task, run, cause) => {
            log::info!("event=run-over task={task} run={run} cause=\"{cause}\"");
        }
        Change::EndUnread(task, run) => {
            counter!("lavendergauge_runs_with_unread_end_total").increment(1);
            log::warn!("event=run-over task={task} run={run} cause=\"its end was not read\"");
        }
        Change::Cleared(task, run) => log::info!("event=task-cleared task={task} run={run}"),
        Change::Resized { node, before, after, is_overcommitted } => {
            counter!("lavendergauge_workers_resized_total").increment(1);
            log::info!(
                "event=worker-resized worker={node} accelerators={} processors={} memory_mb={} \
                 accelerators_before={} processors_before={} memory_mb_before={} \
                 overcommitted={is_overcommitted}",
                after.accelerators,
                after.processors,
                after.memory_mb,
                before.accelerators,
                before.processors,
                before.memory_mb
            );
        }
        Change::NeverOrdered(task, run) => {
            log::warn!("event=run-never-ordered task={task} run={run}");
        }
        Change::Unexpected(task, run) => log::warn!("event=run-stray task={task} run={run}"),
    }
}
