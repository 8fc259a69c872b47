//! `lavendergauge config`: the operators' configuration as a whole.

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

use crate::api::Terms;
use crate::change;
use crate::change::Mode;
use crate::commands::dry_run;
use crate::commands::flag;
use crate::commands::positional;
use crate::commands::timeout;
use crate::context::Context;
use crate::context::Wait;
use crate::context::number;
use crate::context::text;
use crate::difference;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Path of the changes.
const CHANGES: &str = "/v1/config/changes";
/// Fields that a file need not have, since a change gives them anew.
const GIVEN: [&str; 3] = ["revision", "change", "author"];

/// Returns the command's arguments.
pub fn command() -> Command {
    let file = || positional("FILE", "JSON file with a whole configuration");
    Command::new("config")
        .about("The operators' configuration as a whole")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Show the configuration in force, as JSON"))
        .subcommand(
            Command::new("apply")
                .about("Put a file's configuration into force")
                .arg(file())
                .arg(dry_run()),
        )
        .subcommand(
            Command::new("diff").about("Show what a file's configuration would change").arg(file()),
        )
        .subcommand(Command::new("history").about("List the newest accepted changes"))
        .subcommand(
            Command::new("status")
                .about("Show where the configuration is in force")
                .arg(flag("wait", "Wait until it is in force everywhere"))
                .arg(timeout("30")),
        )
}

/// Runs one of the subcommands.
///
/// # Errors
/// When no entry can be reached, or it refuses, or a file is wrong.
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

/// Reads a file's configuration; what a change gives anew may be left out.
///
/// # Errors
/// When the file cannot be read or names a wrong field.
pub fn read(path: &str) -> Result<Document, Error> {
    let wrong = |text: String| Error::refused(format!("{path}: {text}"), "");
    let bytes = fs::read(path).map_err(|error| wrong(error.to_string()))?;
    let mut value: Value =
        serde_json::from_slice(&bytes).map_err(|error| wrong(error.to_string()))?;
    if let Some(fields) = value.as_object_mut() {
        // The questionnaire explains there what it derived.
        fields.remove("comment");
    }
    for (field, default) in GIVEN.into_iter().zip([Value::from(0), "".into(), "".into()]) {
        if value.is_object() && value[field].is_null() {
            value[field] = default;
        }
    }
    strict::from_json(value.to_string().as_bytes()).map_err(|fault| wrong(fault.to_string()))
}

async fn apply(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let document = read(text(matches, "FILE"))?;
    let known: Document = context.api.read("/v1/config").await?;
    let mode = Mode::of(matches);
    let change = Change {
        id: change::identifier(),
        base: known.revision,
        dry_run: mode == Mode::Dry,
        operations: vec![Operation::Replace { document }],
    };
    let terms = Terms::default();
    if mode == Mode::Dry {
        let preview: Preview = context.api.send(Method::POST, CHANGES, &terms, &change).await?;
        return Ok(Report::new(change::describe(&preview), &preview));
    }
    Ok(change::accepted(&context.api.send(Method::POST, CHANGES, &terms, &change).await?))
}

async fn diff(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let document = read(text(matches, "FILE"))?;
    let known: Document = context.api.read("/v1/config").await?;
    let differences = difference::compare(&bare(&known), &bare(&document));
    let text = match differences.as_slice() {
        [] => "nothing would change\n".to_owned(),
        differences => difference::write(differences),
    };
    Ok(Report::new(text, &differences))
}

/// Returns a configuration without what a change gives anew.
fn bare(document: &Document) -> Value {
    let mut value = serde_json::to_value(document).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.retain(|name, _| !GIVEN.contains(&name.as_str()));
    }
    value
}

async fn history(context: &Context) -> Result<Report, Error> {
    let changes: Vec<Made> = context.api.read("/v1/config/history").await?;
    let mut table = Table::new(&["REVISION", "CHANGE", "AUTHOR"]);
    for made in &changes {
        table.row([&made.revision, &made.id, &made.author]);
    }
    Ok(Report::new(table.write(), &changes))
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
            return Ok(Wait::Over(status));
        }
        Ok(Wait::Still(format!(
            "revision {} is not in force on {} of {} workers, or not at every entry",
            status.revision,
            status.behind.len(),
            status.workers
        )))
    });
    Ok(describe(&status.await?))
}

fn describe(status: &Status) -> Report {
    let current = status.workers as usize - status.behind.len();
    let mut lines = format!(
        "revision {} by {} at {}\n  in force on {current} of {} workers\n",
        status.revision, status.author, status.entry, status.workers
    );
    for place in status.entries.iter().filter(|place| place.revision < status.revision) {
        lines.push_str(&format!("  entry {} has revision {}\n", place.entry, place.revision));
    }
    for behind in &status.behind {
        lines.push_str(&format!("  {} has revision {}\n", behind.worker, behind.revision));
    }
    Report::new(lines, status)
}
