//! `lavendergauge entry`: shows the entries that the called entry knows, and removes them.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Status;

use crate::api::Headers;
use crate::commands::positional;
use crate::context::Context;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("entry")
        .about("Show or remove the entries that the called entry knows")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List entries and whether they accept changes"))
        .subcommand(
            Command::new("remove")
                .about("Remove an entry that will not return, so that changes do not wait for it")
                .arg(positional("ENTRY", "Name of the entry")),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let status: Status = match matches.subcommand() {
        Some(("remove", matches)) => {
            let path = format!("/v1/entries/{}", text(matches, "ENTRY"));
            context.api.remove(&path, &Headers::default()).await?
        }
        _ => context.api.read("/v1/config/status").await?,
    };
    let mut table = Table::new(&["ENTRY", "ADDRESS", "REVISION", "ACCEPTS CHANGES"]);
    for entry_status in &status.entries {
        let accepts_changes = if entry_status.writes { "yes" } else { "no" };
        table.add_row([
            &entry_status.entry,
            &entry_status.address,
            &entry_status.revision,
            &accepts_changes,
        ]);
    }
    Ok(Report::new(table.render(), &status.entries))
}
