//! `lavendergauge worker`: shows the registered workers.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::announce::Frame;
use lavendergauge_wire::announce::Phase;

use crate::commands::positional;
use crate::context::Context;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("worker")
        .about("Show the registered workers")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List workers"))
        .subcommand(
            Command::new("show")
                .about("Show a worker, its resources and its tasks")
                .arg(positional("WORKER", "Name of the worker")),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("show", matches)) => {
            let path = format!("/v1/workers/{}", text(matches, "WORKER"));
            Ok(show(&context.api.read(&path).await?))
        }
        _ => list(&context.api.list("/v1/workers").await?),
    }
}

fn list(frames: &[Frame]) -> Result<Report, Error> {
    let heading = ["WORKER", "DATA CENTRE", "RACK", "FREE ACCELERATORS", "REVISION", "STATE"];
    let mut table = Table::new(&heading);
    for frame in frames {
        let free = usize::from(frame.accelerators).saturating_sub(held_accelerators(frame));
        table.add_row([
            &frame.worker,
            &frame.data_centre,
            &frame.rack,
            &format!("{free}/{}", frame.accelerators),
            &frame.revision,
            &state(frame),
        ]);
    }
    Ok(Report::new(table.render(), &frames))
}

fn show(frame: &Frame) -> Report {
    let mut lines = format!(
        "worker {}: {}\n  data centre: {}\n  rack: {}\n  accelerators: {}\n  processors: {}\n  \
         memory: {} MB\n",
        frame.worker,
        state(frame),
        frame.data_centre,
        frame.rack,
        frame.accelerators,
        frame.processors,
        frame.memory_mb
    );
    for task in &frame.tasks {
        lines.push_str(&format!(
            "  {}/{}/{}: {} {:?}\n",
            task.job, task.attempt, task.member, task.phase, task.accelerators
        ));
    }
    Report::new(lines, frame)
}

fn state(frame: &Frame) -> &'static str {
    if frame.leaving { "leaving" } else { "here" }
}

/// Returns the number of accelerators that unfinished tasks on the worker hold.
fn held_accelerators(frame: &Frame) -> usize {
    let unfinished_tasks = frame
        .tasks
        .iter()
        .filter(|task| !matches!(task.phase, Phase::Done | Phase::Failed | Phase::Stopped));
    unfinished_tasks.map(|task| task.accelerators.len()).sum()
}
