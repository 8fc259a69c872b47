//! Changes of the configuration as a person reads them.

use std::fmt::Write;

use hyper::Method;
use lavendergauge_derive::value;
use lavendergauge_wire::api::Preview;
use lavendergauge_wire::config::Document;
use serde::Serialize;

use crate::api::Terms;
use crate::context::Context;
use crate::error::Error;
use crate::report::Report;

/// Whether a change is made or only tried.
#[value]
#[derive(Copy)]
pub enum Mode {
    /// It is made.
    Real,
    /// It is tried, and nothing is changed.
    Dry,
}

impl Mode {
    /// Returns the mode for the `--dry-run` flag of a command.
    pub fn of(matches: &clap::ArgMatches) -> Self {
        if matches.get_flag("dry-run") { Mode::Dry } else { Mode::Real }
    }
}

/// Creates or replaces a resource of the configuration.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn put(
    context: &Context,
    path: &str,
    tag: &str,
    value: &impl Serialize,
    mode: Mode,
) -> Result<Report, Error> {
    let terms = Terms { tag: tag.to_owned(), id: identifier() };
    if mode == Mode::Dry {
        let path = format!("{path}?dry_run=true");
        let preview: Preview = context.api.send(Method::PUT, &path, &terms, value).await?;
        return Ok(Report::new(describe(&preview), &preview));
    }
    let document: Document = context.api.send(Method::PUT, path, &terms, value).await?;
    Ok(accepted(&document))
}

/// Removes a resource of the configuration.
///
/// # Errors
/// When no entry can be reached, or it refuses.
pub async fn remove(context: &Context, path: &str, mode: Mode) -> Result<Report, Error> {
    let terms = Terms { tag: "*".to_owned(), id: identifier() };
    if mode == Mode::Dry {
        let preview: Preview = context.api.remove(&format!("{path}?dry_run=true"), &terms).await?;
        return Ok(Report::new(describe(&preview), &preview));
    }
    Ok(accepted(&context.api.remove(path, &terms).await?))
}

/// Draws the identifier of a change.
pub fn identifier() -> String {
    format!("cli-{:016x}", rand::random::<u64>())
}

/// Tells that a change was accepted.
pub fn accepted(document: &Document) -> Report {
    Report::new(format!("revision {} is accepted\n", document.revision), document)
}

/// Writes what a change would do.
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
