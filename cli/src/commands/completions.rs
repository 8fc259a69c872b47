//! `lavendergauge completions`: what a shell needs to complete the command line.

use clap::ArgMatches;
use clap::Command;
use clap_complete::Shell;
use clap_complete::generate;

use crate::commands::positional;
use crate::report::Report;

/// Returns the command's arguments.
pub fn command() -> Command {
    let shell = positional("SHELL", "Shell to write for").value_parser(clap::value_parser!(Shell));
    Command::new("completions").about("Write a shell's completions").arg(shell)
}

/// Writes the completions of a shell.
pub fn run(matches: &ArgMatches) -> Report {
    let shell = matches.get_one::<Shell>("SHELL").copied().unwrap_or(Shell::Bash);
    let mut bytes = Vec::new();
    generate(shell, &mut super::command(), "lavendergauge", &mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Report::new(text.clone(), &text)
}
