//! `lavendergauge config`: shows and replaces the operators' configuration as a whole.

use std::fs;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use hyper::Method;
use lavendergauge_wire::api::Preview;
use lavendergauge_wire::api::Status;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Made;
use lavendergauge_wire::config::Operation;
use lavendergauge_wire::strict;
use serde_json::Value;

use crate::api::Headers;
use crate::change;
use crate::change::Mode;
use crate::commands::dry_run;
use crate::commands::flag;
use crate::commands::positional;
use crate::commands::timeout;
use crate::context::Context;
use crate::context::Poll;
use crate::context::number;
use crate::context::text;
use crate::difference;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// API path that accepts changes.
const CHANGES: &str = "/v1/config/changes";
/// Fields that the entry assigns with every change, so that a file may leave them out.
const ASSIGNED_FIELDS: [&str; 3] = ["revision", "change", "author"];

/// Returns the command with its arguments.
pub fn command() -> Command {
    let file = || positional("FILE", "JSON file with a whole configuration");
    Command::new("config")
        .about("Show or replace the operators' configuration as a whole")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Show the configuration in force, as JSON"))
        .subcommand(
            Command::new("apply")
                .about("Replace the configuration by that of a file")
                .arg(file())
                .arg(dry_run()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show how the configuration of a file differs from the one in force")
                .arg(file()),
        )
        .subcommand(Command::new("history").about("List the newest accepted changes"))
        .subcommand(
            Command::new("status")
                .about("Show which entries and workers have the newest configuration")
                .arg(flag("wait", "Wait until all entries and workers have it"))
                .arg(timeout("30")),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call, a file is invalid, or a wait times out.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("apply", matches)) => apply(context, matches).await,
        Some(("diff", matches)) => diff(context, matches).await,
        Some(("history", _)) => history(context).await,
        Some(("status", matches)) => status(context, matches).await,
        _ => {
            let document: Document = context.api.read("/v1/config").await?;
            let value = serde_json::to_value(&document).unwrap_or_default();
            Ok(Report::new(format!("{value:#}\n"), &value))
        }
    }
}

/// Reads a configuration from a file, which may leave out the fields that the entry assigns.
///
/// # Errors
/// When the file cannot be read, is not JSON, or has a field that is unknown, missing or invalid.
pub fn read(path: &str) -> Result<Document, Error> {
    let invalid = |text: String| Error::refused(format!("{path}: {text}"), "");
    let bytes = fs::read(path).map_err(|error| invalid(error.to_string()))?;
    let mut value: Value =
        serde_json::from_slice(&bytes).map_err(|error| invalid(error.to_string()))?;
    if let Some(fields) = value.as_object_mut() {
        // The questionnaire puts the reasons for the derived values into this field.
        fields.remove("comment");
    }
    for (field, default) in ASSIGNED_FIELDS.into_iter().zip([Value::from(0), "".into(), "".into()])
    {
        if value.is_object() && value[field].is_null() {
            value[field] = default;
        }
    }
    strict::from_json(value.to_string().as_bytes()).map_err(|fault| invalid(fault.to_string()))
}

async fn apply(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let document = read(text(matches, "FILE"))?;
    let in_force: Document = context.api.read("/v1/config").await?;
    let mode = Mode::from_matches(matches);
    let change = Change {
        id: change::generate_id(),
        base: in_force.revision,
        dry_run: mode == Mode::DryRun,
        operations: vec![Operation::Replace { document }],
    };
    let headers = Headers::default();
    if mode == Mode::DryRun {
        let preview: Preview = context.api.send(Method::POST, CHANGES, &headers, &change).await?;
        return Ok(Report::new(change::describe(&preview), &preview));
    }
    Ok(change::report_accepted(&context.api.send(Method::POST, CHANGES, &headers, &change).await?))
}

async fn diff(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let document = read(text(matches, "FILE"))?;
    let in_force: Document = context.api.read("/v1/config").await?;
    let differences = difference::compare(
        &without_assigned_fields(&in_force),
        &without_assigned_fields(&document),
    );
    let text = match differences.as_slice() {
        [] => "nothing would change\n".to_owned(),
        differences => difference::render(differences),
    };
    Ok(Report::new(text, &differences))
}

/// Returns a configuration as JSON without the fields that the entry assigns.
fn without_assigned_fields(document: &Document) -> Value {
    let mut value = serde_json::to_value(document).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.retain(|name, _| !ASSIGNED_FIELDS.contains(&name.as_str()));
    }
    value
}

async fn history(context: &Context) -> Result<Report, Error> {
    let changes: Vec<Made> = context.api.read("/v1/config/history").await?;
    let mut table = Table::new(&["REVISION", "CHANGE", "AUTHOR"]);
    for made in &changes {
        table.add_row([&made.revision, &made.id, &made.author]);
    }
    Ok(Report::new(table.render(), &changes))
}

async fn status(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let path = "/v1/config/status";
    if !matches.get_flag("wait") {
        return Ok(describe(&context.api.read(path).await?));
    }
    let limit = Duration::from_secs(u64::from(number(matches, "timeout-s", 30_u32)));
    let status = context.wait(limit, async || {
        let status: Status = context.api.read(path).await?;
        if status.everywhere {
            return Ok(Poll::Ready(status));
        }
        Ok(Poll::Pending(format!(
            "revision {} is not in force on {} of {} workers, or not at every entry",
            status.revision,
            status.behind.len(),
            status.workers
        )))
    });
    Ok(describe(&status.await?))
}

/// Describes which revision is in force, and the entries and workers that have an older one.
fn describe(status: &Status) -> Report {
    let up_to_date = status.workers as usize - status.behind.len();
    let mut lines = format!(
        "revision {} by {} at {}\n  in force on {up_to_date} of {} workers\n",
        status.revision, status.author, status.entry, status.workers
    );
    for entry_status in
        status.entries.iter().filter(|entry_status| entry_status.revision < status.revision)
    {
        lines.push_str(&format!(
            "  entry {} has revision {}\n",
            entry_status.entry, entry_status.revision
        ));
    }
    for behind in &status.behind {
        lines.push_str(&format!("  {} has revision {}\n", behind.worker, behind.revision));
    }
    Report::new(lines, status)
}
