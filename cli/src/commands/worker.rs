//! `lavendergauge worker`: the workers that announce themselves.

use std::fmt::Write;

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::announce::Frame;

use crate::api::Api;
use crate::error::Error;

/// Returns the command's arguments.
pub fn command() -> Command {
    Command::new("worker").about("List the workers")
}

/// Lists the workers.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn run(api: &Api, _matches: &ArgMatches) -> Result<String, Error> {
    let mut frames: Vec<Frame> = api.read("/v1/workers").await?;
    frames.sort_by(|one, other| one.worker.cmp(&other.worker));
    let mut text = String::new();
    for frame in frames {
        let taken: usize = frame.tasks.iter().map(|task| task.accelerators.len()).sum();
        let _ = writeln!(
            text,
            "{}  {}  {}  {taken}/{} accelerators",
            frame.worker, frame.data_centre, frame.rack, frame.accelerators
        );
    }
    Ok(text)
}
