//! `lavendergauge operator`: manages the operators' access keys.

use clap::ArgMatches;
use clap::Command;
use hyper::Method;
use lavendergauge_wire::config::Change;
use lavendergauge_wire::config::Document;
use lavendergauge_wire::config::Operation;
use lavendergauge_wire::config::Role;
use serde_json::json;

use crate::access_key;
use crate::api::Headers;
use crate::change;
use crate::commands::number_option;
use crate::commands::positional;
use crate::context::Context;
use crate::context::number;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let key = || positional("KEY", "Identifier of the key");
    Command::new("operator")
        .about("Manage the operators' access keys")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the operators' keys"))
        .subcommand(
            Command::new("add-key")
                .about("Generate a key for an operator and show it once")
                .arg(key())
                .arg(number_option("days", "Days after which the key expires; 0 for never")),
        )
        .subcommand(Command::new("remove-key").about("Revoke an operator's key").arg(key()))
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let document: Document = context.api.read("/v1/config").await?;
    match matches.subcommand() {
        Some(("add-key", matches)) => {
            let generated = access_key::generate(
                text(matches, "KEY"),
                Role::Operator,
                number(matches, "days", 0),
            );
            let operation = Operation::PutOperator { key: generated.record };
            let report = submit(context, &document, operation).await?;
            let lines =
                format!("{}the key is shown this once:\n{}\n", report.text, generated.access_key);
            Ok(Report::new(lines, &json!({"key": generated.access_key})))
        }
        Some(("remove-key", matches)) => {
            let name = text(matches, "KEY").to_owned();
            if !document.operators.iter().any(|key| key.id == name) {
                return Err(Error::refused(format!("no operator has a key `{name}`"), ""));
            }
            submit(context, &document, Operation::RemoveOperator { name }).await
        }
        _ => Ok(list(&document)),
    }
}

async fn submit(
    context: &Context,
    document: &Document,
    operation: Operation,
) -> Result<Report, Error> {
    let change = Change {
        id: change::generate_id(),
        base: document.revision,
        dry_run: false,
        operations: vec![operation],
    };
    let path = "/v1/config/changes";
    let document: Document =
        context.api.send(Method::POST, path, &Headers::default(), &change).await?;
    Ok(change::report_accepted(&document))
}

fn list(document: &Document) -> Report {
    let mut table = Table::new(&["KEY", "EXPIRES (ms since 1970)"]);
    for key in &document.operators {
        let expiry =
            if key.expires_ms == 0 { "never".to_owned() } else { key.expires_ms.to_string() };
        table.add_row([&key.id, &expiry]);
    }
    Report::new(table.render(), &document.operators)
}
