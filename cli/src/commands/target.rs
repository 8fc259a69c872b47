//! `lavendergauge target`: the targets and whether they get requests.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Target;

use crate::context::Context;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command's arguments.
pub fn command() -> Command {
    Command::new("target")
        .about("The targets and whether they get requests")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List targets"))
}

/// Lists the targets.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn run(context: &Context, _matches: &ArgMatches) -> Result<Report, Error> {
    let targets: Vec<Target> = context.api.list("/v1/targets").await?;
    let mut table = Table::new(&["WORKER", "DATA CENTRE", "SLOTS", "CONNECTIONS", "GETS REQUESTS"]);
    for target in &targets {
        let ready = if target.ready { "yes".to_owned() } else { format!("no: {}", target.reason) };
        table.row([
            &target.worker,
            &target.data_centre,
            &format!("{}/{}", target.slots_used, target.slots),
            &format!("{}/{}", target.connections_used, target.connections),
            &ready,
        ]);
    }
    Ok(Report::new(table.write(), &targets))
}
