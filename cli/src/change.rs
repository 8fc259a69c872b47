//! Changes of the configuration: sends them and describes their result.

use std::fmt::Write;

use hyper::Method;
use lavendergauge_derive::value;
use lavendergauge_wire::api::Preview;
use lavendergauge_wire::config::Document;
use serde::Serialize;

use crate::api::Headers;
use crate::context::Context;
use crate::error::Error;
use crate::report::Report;

/// Whether a change is applied or only previewed.
#[value]
#[derive(Copy)]
pub enum Mode {
    /// The change is applied.
    Apply,
    /// The entry only reports what the change would do.
    DryRun,
}

impl Mode {
    /// Returns the mode that the `--dry-run` flag of a command selects.
    pub fn from_matches(matches: &clap::ArgMatches) -> Self {
        if matches.get_flag("dry-run") { Mode::DryRun } else { Mode::Apply }
    }
}

/// Creates or replaces a resource of the configuration.
///
/// `if_match` is the ETag of the revision that the change is based on, or `*` for any revision.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn put(
    context: &Context,
    path: &str,
    if_match: &str,
    value: &impl Serialize,
    mode: Mode,
) -> Result<Report, Error> {
    let headers = Headers { if_match: if_match.to_owned(), idempotency_key: generate_id() };
    if mode == Mode::DryRun {
        let path = format!("{path}?dry_run=true");
        let preview: Preview = context.api.send(Method::PUT, &path, &headers, value).await?;
        return Ok(Report::new(describe(&preview), &preview));
    }
    let document: Document = context.api.send(Method::PUT, path, &headers, value).await?;
    Ok(report_accepted(&document))
}

/// Removes a resource of the configuration.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn remove(context: &Context, path: &str, mode: Mode) -> Result<Report, Error> {
    let headers = Headers { if_match: "*".to_owned(), idempotency_key: generate_id() };
    if mode == Mode::DryRun {
        let preview: Preview =
            context.api.remove(&format!("{path}?dry_run=true"), &headers).await?;
        return Ok(Report::new(describe(&preview), &preview));
    }
    Ok(report_accepted(&context.api.remove(path, &headers).await?))
}

/// Generates a random identifier for a change.
pub fn generate_id() -> String {
    format!("cli-{:016x}", rand::random::<u64>())
}

/// Reports that a change was accepted.
pub fn report_accepted(document: &Document) -> Report {
    Report::new(format!("revision {} is accepted\n", document.revision), document)
}

/// Describes what a previewed change would do: the new revision, then one line for each job that
/// it would stop, guarantee that it would not meet, and job that it would refuse.
///
/// ```
/// use lavendergauge_cli::change;
/// use lavendergauge_wire::api::Preview;
/// let preview = Preview { revision: 4, unmet: vec![], stops: vec![], refused: vec![] };
/// assert_eq!(change::describe(&preview), "it would make revision 4 and stop nothing\n");
/// ```
pub fn describe(preview: &Preview) -> String {
    let mut text = format!("it would make revision {}", preview.revision);
    if preview.stops.is_empty() && preview.unmet.is_empty() && preview.refused.is_empty() {
        text.push_str(" and stop nothing\n");
        return text;
    }
    text.push('\n');
    for stop in &preview.stops {
        let _ = writeln!(text, "stop job {} of {}: {}", stop.job, stop.account, stop.reason);
    }
    for unmet in &preview.unmet {
        let _ = writeln!(
            text,
            "not meet guarantee {} of {}: {}",
            unmet.guarantee, unmet.account, unmet.reason
        );
    }
    for job in &preview.refused {
        let _ = writeln!(text, "refuse job {job}");
    }
    text
}
