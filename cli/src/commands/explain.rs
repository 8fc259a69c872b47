//! `lavendergauge explain`: why a job waits, or where it would go.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Decision;
use lavendergauge_wire::api::Explanation;

use crate::commands::positional;
use crate::context::Context;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;

/// Returns the command's arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Say why a job waits, or where it would go")
        .arg(positional("JOB", "Identifier of the job"))
}

/// Explains a job.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let path = format!("/v1/jobs/{}/explanation", text(matches, "JOB"));
    let explanation: Explanation = context.api.read(&path).await?;
    let word = match explanation.decision {
        Decision::Start => "would start now",
        Decision::Wait => "waits",
        Decision::Refuse => "would be refused",
        Decision::None => "is not waiting",
    };
    let mut lines = format!("job {} {word}: {}\n", explanation.job, explanation.reason);
    for (index, seat) in explanation.seats.iter().enumerate() {
        lines.push_str(&format!("  member {index}: {} {:?}\n", seat.worker, seat.accelerators));
    }
    if explanation.decision == Decision::Wait {
        lines.push_str(&format!("  {} jobs were submitted before it\n", explanation.ahead));
    }
    Ok(Report::new(lines, &explanation))
}
