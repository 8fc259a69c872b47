//! `lavendergauge target`: shows the targets and whether they get requests.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Target;

use crate::context::Context;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("target")
        .about("Show the targets and whether they get requests")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List targets"))
}

/// Lists the targets.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, _matches: &ArgMatches) -> Result<Report, Error> {
    let targets: Vec<Target> = context.api.list("/v1/targets").await?;
    let mut table = Table::new(&["WORKER", "DATA CENTRE", "SLOTS", "CONNECTIONS", "GETS REQUESTS"]);
    for target in &targets {
        let gets_requests =
            if target.ready { "yes".to_owned() } else { format!("no: {}", target.reason) };
        table.add_row([
            &target.worker,
            &target.data_centre,
            &format!("{}/{}", target.slots_used, target.slots),
            &format!("{}/{}", target.connections_used, target.connections),
            &gets_requests,
        ]);
    }
    Ok(Report::new(table.render(), &targets))
}
