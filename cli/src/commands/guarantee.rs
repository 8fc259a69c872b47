//! `lavendergauge guarantee`: manages guarantees, which are shapes that client accounts can always
//! claim.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Guarantee;
use serde_json::json;

use crate::change;
use crate::change::Mode;
use crate::commands::account;
use crate::commands::adjacency;
use crate::commands::data_centres;
use crate::commands::dry_run;
use crate::commands::number_option;
use crate::commands::positional;
use crate::context::Context;
use crate::context::number;
use crate::context::text;
use crate::context::texts;
use crate::error::Error;
use crate::report;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let account = || positional("ACCOUNT", "Name of the client account");
    let name = || positional("GUARANTEE", "Name of the guarantee within the client account");
    Command::new("guarantee")
        .about("Manage the shapes that client accounts can always claim")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List guarantees and whether they can be met"))
        .subcommand(
            Command::new("add")
                .about("Create or replace a guarantee")
                .arg(account())
                .arg(name())
                .arg(
                    number_option("accelerators", "Number of accelerators in the shape")
                        .required(true),
                )
                .arg(adjacency())
                .arg(number_option("processors", "Processor cores of the whole shape"))
                .arg(number_option("memory-mb", "Memory of the whole shape, in megabytes"))
                .arg(data_centres())
                .arg(dry_run()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a guarantee")
                .arg(account())
                .arg(name())
                .arg(dry_run()),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("add", matches)) => add(context, matches).await,
        Some(("remove", matches)) => {
            change::remove(context, &path(matches), Mode::from_matches(matches)).await
        }
        _ => list(context).await,
    }
}

/// Returns the API path of a guarantee.
fn path(matches: &ArgMatches) -> String {
    let account = account::path(text(matches, "ACCOUNT"));
    format!("{account}/guarantees/{}", text(matches, "GUARANTEE"))
}

async fn list(context: &Context) -> Result<Report, Error> {
    let guarantees: Vec<Guarantee> = context.api.list("/v1/guarantees").await?;
    let mut table =
        Table::new(&["ACCOUNT", "GUARANTEE", "ACCELERATORS", "CLAIMED BY", "CAN BE MET"]);
    for guarantee in &guarantees {
        let can_be_met =
            if guarantee.met { "yes".to_owned() } else { format!("no: {}", guarantee.reason) };
        table.add_row([
            &guarantee.account,
            &guarantee.name,
            &guarantee.accelerators,
            &report::join_names(&guarantee.claimed_by, "nobody"),
            &can_be_met,
        ]);
    }
    Ok(Report::new(table.render(), &guarantees))
}

async fn add(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let guarantee = json!({
        "name": text(matches, "GUARANTEE"),
        "accelerators": number(matches, "accelerators", 0_u32),
        "adjacency": text(matches, "adjacency"),
        "processors": number(matches, "processors", 0_u32),
        "memory_mb": number(matches, "memory-mb", 0_u32),
        "data_centres": texts(matches, "data-centre"),
    });
    change::put(context, &path(matches), "*", &guarantee, Mode::from_matches(matches)).await
}
