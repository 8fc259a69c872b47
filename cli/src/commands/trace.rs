//! `lavendergauge trace`: the story of a job or request, from log lines.

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

/// Returns the command's arguments.
pub fn command() -> Command {
    Command::new("trace")
        .about("Tell the story of a job or request from the log lines of many processes")
        .arg(positional("ID", "Identifier of the job or request"))
        .arg(
            Arg::new("FILE")
                .help("Log of a process, named after it; standard input when left out")
                .action(ArgAction::Append),
        )
}

/// Reads the logs and tells the story.
///
/// # Errors
/// When a log cannot be read.
pub fn run(matches: &ArgMatches) -> Result<Report, Error> {
    let files: Vec<&String> = matches.get_many("FILE").unwrap_or_default().collect();
    let mut logs = Vec::new();
    for file in &files {
        let bytes = fs::read(file).map_err(|error| {
            Error::refused(format!("{file}: {error}"), "name a file with log lines")
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
    let story = trace::story(text(matches, "ID"), &logs);
    if story.lines.is_empty() {
        let hint = "see whether the logs of all entries and agents of that time are there";
        return Err(Error::refused(format!("no line speaks of {}", story.id), hint));
    }
    Ok(Report::new(story.text(), &story))
}

/// Returns a file's name without folders and extension.
fn stem(file: &str) -> String {
    let name = file.rsplit('/').next().unwrap_or(file);
    name.split('.').next().unwrap_or(name).to_owned()
}
