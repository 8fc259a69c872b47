//! `lavendergauge completions`: writes completion scripts for shells.

use clap::ArgMatches;
use clap::Command;
use clap_complete::Shell;
use clap_complete::generate;

use crate::commands::positional;
use crate::report::Report;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let shell = positional("SHELL", "Shell that the script is for")
        .value_parser(clap::value_parser!(Shell));
    Command::new("completions").about("Write the completion script of a shell").arg(shell)
}

/// Returns the completion script of a shell.
pub fn run(matches: &ArgMatches) -> Report {
    let shell = matches.get_one::<Shell>("SHELL").copied().unwrap_or(Shell::Bash);
    let mut bytes = Vec::new();
    generate(shell, &mut super::command(), "lavendergauge", &mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Report::new(text.clone(), &text)
}
