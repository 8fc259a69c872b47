//! `lavendergauge explain`: explains why a job waits, or where it would be placed.

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::api::Decision;
use lavendergauge_wire::api::Explanation;

use crate::commands::positional;
use crate::context::Context;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Explain why a job waits, or where it would be placed")
        .arg(positional("JOB", "Identifier of the job"))
}

/// Shows the decision that the planner would make about a job now, and its reason.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let path = format!("/v1/jobs/{}/explanation", text(matches, "JOB"));
    let explanation: Explanation = context.api.read(&path).await?;
    let decision = match explanation.decision {
        Decision::Start => "would start now",
        Decision::Wait => "waits",
        Decision::Refuse => "would be refused",
        Decision::None => "is not waiting",
    };
    let mut lines = format!("job {} {decision}: {}\n", explanation.job, explanation.reason);
    for (index, assignment) in explanation.seats.iter().enumerate() {
        lines.push_str(&format!(
            "  member {index}: {} {:?}\n",
            assignment.worker, assignment.accelerators
        ));
    }
    if explanation.decision == Decision::Wait {
        lines.push_str(&format!("  {} jobs were submitted before it\n", explanation.ahead));
    }
    Ok(Report::new(lines, &explanation))
}
