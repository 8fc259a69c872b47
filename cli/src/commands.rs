//! The commands, one a module.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::api::Api;
use crate::error::Error;

pub mod worker;

/// Control address that is called when none is named.
const DEFAULT_ENTRY: &str = "127.0.0.1:7001";

/// Returns the whole command line.
///
/// ```
/// lavendergauge_cli::commands::command().debug_assert();
/// ```
pub fn command() -> Command {
    Command::new("lavendergauge")
        .about("Talks to the entries of a lavendergauge fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .env("LAVENDERGAUGE_ENTRY")
                .default_value(DEFAULT_ENTRY)
                .global(true)
                .help("Control address of an entry"),
        )
        .subcommand(worker::command())
}

/// Runs one command and returns what a person sees.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn run(matches: &ArgMatches) -> Result<String, Error> {
    let address = matches.get_one::<String>("entry").cloned().unwrap_or_default();
    let api = Api::new(address);
    match matches.subcommand() {
        Some(("worker", matches)) => worker::run(&api, matches).await,
        _ => Ok(String::new()),
    }
}
