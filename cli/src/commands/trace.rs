//! `lavendergauge trace`: shows the lines about a job or request from the logs of many processes.

use std::fs;
use std::io;
use std::io::Read;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::commands::positional;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::trace;

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("trace")
        .about("Show the lines about a job or request from the logs of many processes, by time")
        .arg(positional("ID", "Identifier of the job or request"))
        .arg(
            Arg::new("FILE")
                .help("Log file, named after its process; standard input when left out")
                .action(ArgAction::Append),
        )
}

/// Reads the logs and returns the lines that mention the identifier.
///
/// # Errors
/// When a log cannot be read, or no line mentions the identifier.
pub fn run(matches: &ArgMatches) -> Result<Report, Error> {
    let files: Vec<&String> = matches.get_many("FILE").unwrap_or_default().collect();
    let mut logs = Vec::new();
    for file in &files {
        let bytes = fs::read(file).map_err(|error| {
            Error::refused(format!("{file}: {error}"), "pass a file with log lines")
        })?;
        logs.push((stem(file), String::from_utf8_lossy(&bytes).into_owned()));
    }
    if files.is_empty() {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map_err(|error| {
            Error::refused(format!("standard input: {error}"), "pipe log lines in")
        })?;
        logs.push(("-".to_owned(), String::from_utf8_lossy(&bytes).into_owned()));
    }
    let trace = trace::collect(text(matches, "ID"), &logs);
    if trace.lines.is_empty() {
        let hint = "check that the logs of all entries and agents at that time are included";
        return Err(Error::refused(format!("no log line mentions {}", trace.id), hint));
    }
    Ok(Report::new(trace.render(), &trace))
}

/// Returns the name of a file without folders and without anything after its first dot.
fn stem(file: &str) -> String {
    let name = file.rsplit('/').next().unwrap_or(file);
    name.split('.').next().unwrap_or(name).to_owned()
}
