//! `lavendergauge job`: submits, shows, cancels and awaits jobs.

use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use hyper::Method;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;
use serde_json::json;

use crate::api::Headers;
use crate::commands::adjacency;
use crate::commands::data_centres;
use crate::commands::flag;
use crate::commands::number_option;
use crate::commands::option;
use crate::commands::positional;
use crate::commands::timeout;
use crate::context::Context;
use crate::context::Poll;
use crate::context::number;
use crate::context::text;
use crate::context::texts;
use crate::error;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let id = || positional("JOB", "Identifier of the job");
    Command::new("job")
        .about("Submit, show, cancel and wait for jobs")
        .subcommand_required(true)
        .subcommand(
            submit_command().arg(flag("wait", "Wait until the job ends")).arg(timeout("3600")),
        )
        .subcommand(
            Command::new("list")
                .about("List jobs")
                .arg(option("account", "Only jobs of this client account"))
                .arg(option("state", "Only jobs in this state")),
        )
        .subcommand(Command::new("show").about("Show a job").arg(id()))
        .subcommand(Command::new("cancel").about("Cancel a job").arg(id()))
        .subcommand(
            Command::new("wait")
                .about("Wait until a job runs or ends")
                .arg(id())
                .arg(
                    option(
                        "until",
                        "State to wait for; a job that ends also ends the wait for `running`",
                    )
                    .value_parser(["running", "ended"])
                    .default_value("ended"),
                )
                .arg(timeout("3600")),
        )
}

/// Returns the `submit` command without the options for waiting.
fn submit_command() -> Command {
    Command::new("submit")
        .about("Submit a job")
        .arg(option("account", "Client account that the job runs for").required(true))
        .arg(option("name", "Display name"))
        .arg(
            number_option("members", "Number of tasks in the gang; either all of them run or none")
                .default_value("1"),
        )
        .arg(number_option("accelerators", "Accelerators of each member").required(true))
        .arg(number_option("processors", "Processor cores of each member"))
        .arg(number_option("memory-mb", "Memory of each member, in megabytes"))
        .arg(adjacency())
        .arg(
            option("class", "Class, which says how long the job may wait")
                .value_parser(["urgent", "ordinary", "patient"])
                .default_value("ordinary"),
        )
        .arg(option("guarantee", "Guarantee that the job claims"))
        .arg(data_centres())
        .arg(flag("idempotent", "Allow another run when the outcome of a run is not known"))
        .arg(flag("checkpoints", "The job can be checkpointed and resumed"))
        .arg(number_option("declared-s", "Expected run time, in seconds"))
        .arg(option("payload", "Payload for the worker runtime"))
        .arg(option(
            "idempotency-key",
            "Identifier of your choice; submitting again with it returns the same job",
        ))
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call, a wait times out, or the job that is
/// waited for fails or is cancelled.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("submit", matches)) => submit(context, matches).await,
        Some(("show", matches)) => Ok(show(&context.api.read(&path(text(matches, "JOB"))).await?)),
        Some(("cancel", matches)) => cancel(context, text(matches, "JOB")).await,
        Some(("wait", matches)) => {
            wait(context, text(matches, "JOB"), text(matches, "until"), limit(matches)).await
        }
        Some((_, matches)) => list(context, matches).await,
        None => Ok(Report::new("", &())),
    }
}

/// Returns the API path of a job.
fn path(id: &str) -> String {
    format!("/v1/jobs/{id}")
}

/// Returns the longest time to wait for a job.
fn limit(matches: &ArgMatches) -> Duration {
    Duration::from_secs(u64::from(number(matches, "timeout-s", 3600_u32)))
}

async fn submit(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let spec = json!({
        "account": text(matches, "account"),
        "name": text(matches, "name"),
        "members": number(matches, "members", 1_u32),
        "accelerators": number(matches, "accelerators", 0_u32),
        "processors": number(matches, "processors", 0_u32),
        "memory_mb": number(matches, "memory-mb", 0_u32),
        "adjacency": text(matches, "adjacency"),
        "class": text(matches, "class"),
        "guarantee": text(matches, "guarantee"),
        "data_centres": texts(matches, "data-centre"),
        "idempotent": matches.get_flag("idempotent"),
        "checkpoints": matches.get_flag("checkpoints"),
        "declared_s": number(matches, "declared-s", 0_u32),
        "payload": text(matches, "payload"),
    });
    let idempotency_key = text(matches, "idempotency-key").to_owned();
    let headers = Headers { if_match: String::new(), idempotency_key };
    let record: Record = context.api.send(Method::POST, "/v1/jobs", &headers, &spec).await?;
    if matches.get_flag("wait") {
        (context.progress)(&format!("job {} is accepted", record.id));
        return wait(context, &record.id, "ended", limit(matches)).await;
    }
    Ok(Report::new(format!("job {} is accepted\n", record.id), &record))
}

async fn list(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let filters: Vec<String> = ["account", "state"]
        .into_iter()
        .filter(|name| !text(matches, name).is_empty())
        .map(|name| format!("{name}={}", text(matches, name)))
        .collect();
    let query = if filters.is_empty() { String::new() } else { format!("?{}", filters.join("&")) };
    let records: Vec<Record> = context.api.list(&format!("/v1/jobs{query}")).await?;
    let mut table = Table::new(&["JOB", "ACCOUNT", "STATE", "SHAPE", "CLASS", "REASON"]);
    for record in &records {
        let spec = &record.spec;
        let shape = format!("{}x{}", spec.members, spec.accelerators);
        table.add_row([
            &record.id,
            &spec.account,
            &record.state,
            &shape,
            &spec.class,
            &record.reason,
        ]);
    }
    Ok(Report::new(table.render(), &records))
}

fn show(record: &Record) -> Report {
    let spec = &record.spec;
    let mut lines = format!(
        "job {} of {}: {}\n  shape: {} members of {} accelerators within one {}\n  class: {}\n  \
         attempt: {}\n",
        record.id,
        spec.account,
        record.state,
        spec.members,
        spec.accelerators,
        spec.adjacency.to_string().replace('-', " "),
        spec.class,
        record.attempt
    );
    for (index, assignment) in record.seats.iter().enumerate() {
        lines.push_str(&format!(
            "  member {index}: {} {:?}\n",
            assignment.worker, assignment.accelerators
        ));
    }
    let optional_lines = [
        ("guarantee", &spec.guarantee),
        ("reason", &record.reason),
        ("result", &record.result),
        ("checkpoint", &record.checkpoint),
    ];
    for (name, value) in optional_lines.into_iter().filter(|(_, value)| !value.is_empty()) {
        lines.push_str(&format!("  {name}: {value}\n"));
    }
    Report::new(lines, record)
}

async fn cancel(context: &Context, id: &str) -> Result<Report, Error> {
    let record: Record = context.api.remove(&path(id), &Headers::default()).await?;
    Ok(Report::new(format!("job {id} is {}\n", record.state), &record))
}

/// Waits until a job is `running` or `ended`; a job that has ended without success is an error.
async fn wait(context: &Context, id: &str, until: &str, limit: Duration) -> Result<Report, Error> {
    let record = context.wait(limit, async || {
        let record: Record = context.api.read(&path(id)).await?;
        let is_ready = match record.state {
            State::Waiting | State::Starting | State::Stopping => false,
            State::Running => until == "running",
            _ => true,
        };
        if is_ready {
            return Ok(Poll::Ready(record));
        }
        let reason =
            if record.reason.is_empty() { String::new() } else { format!(": {}", record.reason) };
        Ok(Poll::Pending(format!("job {id} is {}{reason}", record.state)))
    });
    let record = record.await?;
    if !matches!(record.state, State::Done | State::Running) {
        let text = format!("job {id} is {}: {}", record.state, record.reason);
        let hint = format!("see `lavendergauge job show {id}`");
        return Err(Error::with_code(error::JOB_FAILED, text, hint));
    }
    Ok(show(&record))
}
