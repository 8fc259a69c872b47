//! Histories of occurrences of batch jobs, read from log lines.

use std::collections::BTreeMap;
use std::collections::HashMap;

use lavendergauge_derive::value;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_lib::batch::job::Task;

/// One run of a task.
#[value]
#[derive(Default)]
pub struct Run {
    /// Run number.
    pub number: u32,
    /// When it was placed, in Unix milliseconds.
    pub placed_ms: u64,
    /// When it was known to be over, in Unix milliseconds.
    pub over_ms: Option<u64>,
    /// How it ended, as its worker or the planner said; empty while it runs.
    pub ending: String,
    /// Why the planner stopped it; empty when it was not stopped.
    pub stop_cause: String,
}

/// One occurrence of a job.
#[value]
#[derive(Default)]
pub struct History {
    /// Name of the queue.
    pub queue: String,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Name of the client account.
    pub account: String,
    /// When it was due, in Unix milliseconds.
    pub due_ms: u64,
    /// Time from then in which it should end, in milliseconds.
    pub objective_ms: u64,
    /// Number of tasks in all steps.
    pub tasks: u32,
    /// Work by the caller's estimates, in core-milliseconds.
    pub work_core_ms: u64,
    /// Whether the caller cancelled its job.
    pub is_cancelled: bool,
    /// Runs of each task, which is a step's number and an index, in the order of their numbers.
    pub runs: BTreeMap<(u16, u32), Vec<Run>>,
}

impl History {
    /// Returns when the last task ended as done, in Unix milliseconds; `None` unless all have.
    pub fn ended_ms(&self) -> Option<u64> {
        if self.runs.len() < self.tasks as usize {
            return None;
        }
        let ends = self.runs.values().map(|runs| done_ms(runs));
        ends.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }
}

/// Returns when a task was done, in Unix milliseconds, given its runs.
pub fn done_ms(runs: &[Run]) -> Option<u64> {
    runs.iter().find(|run| run.ending == "done").and_then(|run| run.over_ms)
}

/// The histories in some logs, by job and number of the occurrence.
#[value]
#[derive(Default)]
pub struct Histories {
    histories: BTreeMap<(Id, u32), History>,
}

impl Histories {
    /// Reads histories from texts of log lines, in any order. Other lines are passed over, and so
    /// are runs of occurrences whose beginning is in none of the logs.
    ///
    /// ```
    /// use lavendergauge_cli::loss::history::Histories;
    /// assert_eq!(Histories::read(&["no log line".to_owned()]).iter().count(), 0);
    /// ```
    pub fn read(logs: &[String]) -> Histories {
        let mut lines: Vec<Line> =
            logs.iter().flat_map(|log| log.lines()).filter_map(Line::parse).collect();
        lines.sort_by_key(|line| line.time_ms);
        let mut histories = Histories::default();
        for line in &lines {
            // A line without the fields of its event was cut off.
            let _ = histories.apply(line);
        }
        histories
    }

    /// Returns the histories.
    pub fn iter(&self) -> impl Iterator<Item = &History> {
        self.histories.values()
    }

    fn apply(&mut self, line: &Line) -> Option<()> {
        match line.event {
            "occurrence-begun" => self.begin(line),
            "job-cancelled" => {
                self.of_job(line)?.for_each(|history| history.is_cancelled = true);
                Some(())
            }
            "placed" => {
                let (placed_ms, number) = (line.time_ms, line.number("run")?);
                let run = Run { number, placed_ms, ..Run::default() };
                self.runs(line)?.push(run);
                Some(())
            }
            "stop-decided" => {
                let cause = line.field("cause")?.to_owned();
                self.run(line)?.stop_cause = cause;
                Some(())
            }
            "ended" => self.end(line, line.field("outcome")?),
            "run-over" => self.end(line, "lost"),
            _ => None,
        }
    }

    fn begin(&mut self, line: &Line) -> Option<()> {
        let key = (Id::parse(line.field("job")?)?, line.number("occurrence")?);
        let waited_ms: u64 = line.number("waited_ms")?;
        let history = History {
            queue: line.field("queue")?.to_owned(),
            priority: line.number("priority")?,
            account: line.field("account")?.to_owned(),
            due_ms: line.time_ms.saturating_sub(waited_ms),
            objective_ms: line.number("objective_ms")?,
            tasks: line.number("tasks")?,
            work_core_ms: line.number("work_core_ms")?,
            ..History::default()
        };
        self.histories.entry(key).or_insert(history);
        Some(())
    }

    fn end(&mut self, line: &Line, ending: &str) -> Option<()> {
        let run = self.run(line)?;
        // A worker lists an end until it is acknowledged, so a new leader may log it again.
        if run.over_ms.is_none() || ending == "done" {
            run.over_ms = run.over_ms.or(Some(line.time_ms));
            run.ending = ending.to_owned();
        }
        Some(())
    }

    fn of_job(&mut self, line: &Line) -> Option<impl Iterator<Item = &mut History>> {
        let id = Id::parse(line.field("job")?)?;
        Some(self.histories.range_mut((id, 0)..=(id, u32::MAX)).map(|(_, history)| history))
    }

    fn runs(&mut self, line: &Line) -> Option<&mut Vec<Run>> {
        let task = Task::parse(line.field("task")?)?;
        let history = self.histories.get_mut(&(task.instance.job, task.instance.occurrence))?;
        Some(history.runs.entry((task.instance.step, task.index)).or_default())
    }

    fn run(&mut self, line: &Line) -> Option<&mut Run> {
        let number: u32 = line.number("run")?;
        self.runs(line)?.iter_mut().find(|run| run.number == number)
    }
}

/// A log line of an entry.
struct Line<'a> {
    time_ms: u64,
    event: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Parses a line; `None` when it is no log line. Words before the time, which collectors of
    /// logs add, are passed over.
    fn parse(line: &'a str) -> Option<Self> {
        let line = &line[line.find("time_ms=")?..];
        let fields: HashMap<&str, &str> =
            line.split(' ').filter_map(|word| word.split_once('=')).collect();
        Some(Line {
            time_ms: fields.get("time_ms")?.parse().ok()?,
            event: fields.get("event").copied()?,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.get(name).copied()
    }

    fn number<N: std::str::FromStr>(&self, name: &str) -> Option<N> {
        self.field(name)?.parse().ok()
    }
}
