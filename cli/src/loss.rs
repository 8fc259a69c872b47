//! Accounts for batch jobs that ended late or not at all, from the logs of the entries.

pub mod cause;
pub mod history;

use std::collections::BTreeMap;

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use serde::Serialize;

use crate::loss::cause::Cause;
use crate::loss::cause::Verdict;
use crate::loss::history::Histories;
use crate::loss::history::History;
use crate::report::Table;

/// Width of the rows of [`Grouping::Moment`], in milliseconds.
const MOMENT_MS: u64 = 5000;

/// What the rows of a summary stand for.
#[token]
pub enum Grouping {
    /// The queue of the job.
    Queue,
    /// The priority of the queue.
    Priority,
    /// The client account of the job.
    Account,
    /// The time at which the occurrence was due, since the first one.
    Moment,
}

/// Numbers of occurrences with one main cause of lost time, in one group.
#[value]
#[derive(Default, Serialize)]
pub struct Row {
    /// Name of the group.
    pub group: String,
    /// Name of the cause; empty for occurrences that ended in time.
    pub cause: String,
    /// Occurrences that ended in time.
    pub in_time: u32,
    /// Occurrences that ended late.
    pub late: u32,
    /// Occurrences that ended too late to be of worth, failed, or have not ended.
    pub lost: u32,
    /// Work of these occurrences by their callers' estimates, in core-seconds.
    pub work_core_s: u64,
    /// Mean time that the cause took of each, in milliseconds.
    pub mean_ms: u64,
}

/// Summary of the occurrences in some logs.
#[value]
#[derive(Default, Serialize)]
pub struct Summary {
    /// Rows, by group and then by cause.
    pub rows: Vec<Row>,
    /// Occurrences whose job was cancelled; they are in no row.
    pub cancelled: u32,
}

/// Summarises the occurrences that began in logs, which are texts of log lines.
///
/// ```
/// use lavendergauge_cli::loss;
/// let log = "time_ms=10 level=info event=occurrence-begun job=00000000000000a1 occurrence=0 \
///            queue=q priority=0 account=brno tasks=1 work_core_ms=8000 objective_ms=900 waited_ms=0\n\
///            time_ms=20 level=info event=placed task=00000000000000a1.0.0.0 run=1 worker=w\n\
///            time_ms=2020 level=info event=ended task=00000000000000a1.0.0.0 run=1 outcome=done\n";
/// let summary = loss::summarise(&[log.to_owned()], loss::Grouping::Queue);
/// assert_eq!((summary.rows[0].cause.as_str(), summary.rows[0].late), ("slow", 1));
/// ```
pub fn summarise(logs: &[String], grouping: Grouping) -> Summary {
    let histories = Histories::read(logs);
    let first_ms = histories.iter().map(|history| history.due_ms).min().unwrap_or(0);
    let mut summary = Summary::default();
    let mut rows: BTreeMap<(String, Option<Cause>), Row> = BTreeMap::new();
    for history in histories.iter() {
        if history.is_cancelled {
            summary.cancelled += 1;
            continue;
        }
        let group = group(history, grouping, first_ms);
        let verdict = cause::verdict(history);
        let main = (verdict != Verdict::InTime).then(|| cause::main_cause(history));
        let row = rows.entry((group, main.map(|(cause, _)| cause))).or_default();
        match verdict {
            Verdict::InTime => row.in_time += 1,
            Verdict::Late => row.late += 1,
            Verdict::Lost => row.lost += 1,
        }
        row.work_core_s += history.work_core_ms / 1000;
        row.mean_ms += main.map_or(0, |(_, ms)| ms);
    }
    summary.rows = rows
        .into_iter()
        .map(|((group, cause), row)| Row {
            mean_ms: row.mean_ms / u64::from((row.late + row.lost).max(1)),
            cause: cause.map_or("", Cause::name).to_owned(),
            group,
            ..row
        })
        .collect();
    summary
}

fn group(history: &History, grouping: Grouping, first_ms: u64) -> String {
    match grouping {
        Grouping::Queue => history.queue.clone(),
        Grouping::Priority => history.priority.to_string(),
        Grouping::Account => history.account.clone(),
        Grouping::Moment => {
            let start_s = (history.due_ms - first_ms) / MOMENT_MS * MOMENT_MS / 1000;
            format!("{start_s:>5} s")
        }
    }
}

impl Summary {
    /// Returns the summary as lines for people.
    pub fn render(&self) -> String {
        let mut table =
            Table::new(&["GROUP", "CAUSE", "IN TIME", "LATE", "LOST", "CORE-S", "MEAN MS"]);
        for row in &self.rows {
            let cause = if row.cause.is_empty() { "-" } else { &row.cause };
            table.add_row([
                &row.group,
                &cause,
                &row.in_time,
                &row.late,
                &row.lost,
                &row.work_core_s,
                &row.mean_ms,
            ]);
        }
        format!("{}cancelled: {}\n", table.render(), self.cancelled)
    }
}
