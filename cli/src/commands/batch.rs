//! `lavendergauge batch`: explains decisions about batch jobs and their results.

use std::fmt::Write;
use std::fs;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::Command;
use lavendergauge_lib::batch::explain;
use lavendergauge_lib::batch::explain::Explanation;
use lavendergauge_lib::batch::explain::Question;
use lavendergauge_lib::batch::explain::Refusal;
use lavendergauge_lib::batch::explain::Reply;
use lavendergauge_lib::batch::explain::StepExplanation;
use lavendergauge_lib::batch::explain::Subject;
use lavendergauge_lib::batch::job::Id;
use lavendergauge_net::client::Client;

use crate::commands::flag;
use crate::commands::option;
use crate::context::Context;
use crate::context::text;
use crate::error;
use crate::error::Error;
use crate::loss;
use crate::loss::Grouping;
use crate::report::Report;

/// Most connections to the entry.
const CONNECTIONS: usize = 4;
/// Deadline of the question: that of an entry which passes it on to the leader, and a margin.
const DEADLINE: Duration = Duration::from_secs(4);

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("batch")
        .about("Batch jobs")
        .subcommand_required(true)
        .subcommand(explain_command())
        .subcommand(losses_command())
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Explain where a job would be placed now, or why a job waits")
        .arg(option("queue", "Name of the queue").required(true))
        .arg(option("account", "Name of the client account; empty for none").required(true))
        .arg(option("job", "File with a job as callers submit it; it is not submitted"))
        .arg(option("id", "Identifier of a submitted job"))
        .arg(flag("json", "The same as --format json"))
        .arg(
            option("fleet-key", "Key of the fleet; preferably set in the environment")
                .env("LAVENDERGAUGE_FLEET_KEY")
                .hide_env_values(true)
                .default_value(""),
        )
        .group(ArgGroup::new("subject").args(["job", "id"]).required(true))
}

fn losses_command() -> Command {
    Command::new("losses")
        .about("Account for jobs that ended late or not at all, from the logs of the entries")
        .arg(
            option("by", "What the rows stand for")
                .value_parser(["queue", "priority", "account", "moment"])
                .default_value("queue"),
        )
        .arg(
            Arg::new("FILE")
                .help("Log file of one or more entries")
                .required(true)
                .action(ArgAction::Append),
        )
}

/// Tells whether the arguments of the command ask for JSON.
pub fn wants_json(matches: &ArgMatches) -> bool {
    matches.subcommand_matches("explain").is_some_and(|explain| explain.get_flag("json"))
}

/// Runs a command; a question goes to the entry at the peer address that `--entry` names.
///
/// # Errors
/// When a file is invalid, or the entry cannot be reached or refuses the question.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("explain", matches)) => explain(context, matches).await,
        Some(("losses", matches)) => losses(matches),
        _ => Ok(Report::new("", &())),
    }
}

/// Reads the logs and accounts for what they show.
fn losses(matches: &ArgMatches) -> Result<Report, Error> {
    let grouping = match text(matches, "by") {
        "priority" => Grouping::Priority,
        "account" => Grouping::Account,
        "moment" => Grouping::Moment,
        _ => Grouping::Queue,
    };
    let files: Vec<&String> = matches.get_many("FILE").unwrap_or_default().collect();
    let mut logs = Vec::new();
    for file in files {
        let bytes = fs::read(file).map_err(|error| {
            let text = format!("{file}: {error}");
            Error::with_code(error::USAGE, text, "pass a file with log lines")
        })?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let summary = loss::summarise(&logs, grouping);
    if summary.rows.is_empty() && summary.cancelled == 0 {
        let hint = "pass the logs of the entries, at the level info";
        return Err(Error::with_code(error::USAGE, "the logs show no batch job", hint));
    }
    Ok(Report::new(summary.render(), &summary))
}

async fn explain(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let (file, id) = (text(matches, "job"), text(matches, "id"));
    let subject = if file.is_empty() {
        let hint = "pass 16 lower-case hexadecimal digits";
        let id = Id::parse(id).ok_or_else(|| Error::refused(format!("{id}: no job"), hint))?;
        Subject::Submitted(id)
    } else {
        let hint = "pass a file with a job in JSON";
        Subject::File(
            fs::read_to_string(file)
                .map_err(|error| Error::refused(format!("{file}: {error}"), hint))?,
        )
    };
    let question = Question {
        queue: text(matches, "queue").to_owned(),
        account: text(matches, "account").to_owned(),
        subject,
        is_passed_on: false,
    };
    let client = Client::for_fleet(text(matches, "fleet-key"), None, CONNECTIONS);
    let address = context.api.address();
    let reply = client.exchange::<Question, Reply>(address, explain::PATH, &question, DEADLINE);
    match reply.await {
        Ok(Reply::Explained(explanation)) => Ok(Report::new(render(&explanation), &explanation)),
        Ok(Reply::Refused(refusal)) => {
            let hint = match refusal {
                Refusal::Busy => "ask again in a moment",
                Refusal::NoLeader => "ask again in a moment, or another entry with --entry",
                _ => "check --queue, --account and the job",
            };
            Err(Error::refused(refusal.text(), hint))
        }
        Err(cause) => {
            let text = format!("no answer from the entry at {address}: {cause}");
            let hint = "pass the peer address of an entry with --entry, and the fleet's key";
            Err(Error::with_code(error::UNREACHABLE, text, hint))
        }
    }
}

/// Returns an explanation as lines for people.
fn render(explanation: &Explanation) -> String {
    let mut lines = String::new();
    let admission = if explanation.refusal.is_empty() { "accepted" } else { "refused" };
    let guarantee = if explanation.is_guaranteed { "covered" } else { "not covered" };
    let _ = writeln!(lines, "{admission}, {:?} {}", explanation.state, explanation.refusal);
    let _ = writeln!(
        lines,
        "priority {}, {guarantee} by the guarantee of {} accelerators; the account uses {}",
        explanation.priority, explanation.guaranteed_accelerators, explanation.used_accelerators
    );
    if explanation.steps.is_empty() {
        lines.push_str("no step waits to be placed\n");
    }
    for step in &explanation.steps {
        render_step(&mut lines, step);
    }
    lines
}

fn render_step(lines: &mut String, step: &StepExplanation) {
    let _ = writeln!(
        lines,
        "step {}.{}: {} tasks wait, {} steps are placed before it",
        step.occurrence, step.step, step.waiting, step.ahead
    );
    let worth = if step.is_worthless { "; too late to be of any worth" } else { "" };
    let _ = writeln!(lines, "  latest start in {} ms{worth}", step.latest_start_ms);
    if step.needs_advice {
        lines.push_str("  waits for the advice service\n");
    }
    let workers = &step.workers;
    let _ = writeln!(
        lines,
        "  workers: {} open, {} full, {} reserved, {} avoided, {} paused, {} unfit, {} evacuated, \
         {} away",
        workers.open,
        workers.full,
        workers.reserved,
        workers.avoided,
        workers.paused,
        workers.unfit,
        workers.evacuated,
        workers.away
    );
    for excluded in &step.excluded {
        let _ = writeln!(lines, "    not {}: {:?}", excluded.worker, excluded.obstacle);
    }
    for placement in &step.placements {
        let _ = writeln!(lines, "  {} tasks on {}", placement.tasks, placement.node);
    }
    if step.reserved != 0 {
        let _ = writeln!(lines, "  capacity would be reserved on {} workers", step.reserved);
    }
    for victims in &step.stopped {
        let _ = writeln!(
            lines,
            "  would stop {} runs of queue {} with {} accelerators and {} thousandths of a core",
            victims.runs, victims.queue, victims.accelerators, victims.processors
        );
    }
    let _ = match step.starts_in_ms {
        Some(0) => writeln!(lines, "  has room now"),
        Some(ms) => writeln!(lines, "  starts in about {ms} ms if nothing else comes first"),
        None => writeln!(lines, "  the workers that answer cannot hold it"),
    };
}
