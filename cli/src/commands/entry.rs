//! `lavendergauge entry`: the entries, as the one that is asked sees them.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Status;

use crate::api::Terms;
use crate::commands::positional;
use crate::context::Context;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command's arguments.
pub fn command() -> Command {
    Command::new("entry")
        .about("The entries, as the one that is asked sees them")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List entries and whether they accept changes"))
        .subcommand(
            Command::new("remove")
                .about("Say that an entry is gone for good, so that changes need not wait for it")
                .arg(positional("ENTRY", "Name of the entry")),
        )
}

/// Runs one of the subcommands.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let status: Status = match matches.subcommand() {
        Some(("remove", matches)) => {
            let path = format!("/v1/entries/{}", text(matches, "ENTRY"));
            context.api.remove(&path, &Terms::default()).await?
        }
        _ => context.api.read("/v1/config/status").await?,
    };
    let mut table = Table::new(&["ENTRY", "ADDRESS", "REVISION", "ACCEPTS CHANGES"]);
    for place in &status.entries {
        let writes = if place.writes { "yes" } else { "no" };
        table.row([&place.entry, &place.address, &place.revision, &writes]);
    }
    Ok(Report::new(table.write(), &status.entries))
}
