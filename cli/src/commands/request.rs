//! `lavendergauge request`: sends a request to a target, and shows the outcome of an earlier one.

use std::fs;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use clap::Command;
use hyper::Request;
use hyper::Response;
use hyper::header::AUTHORIZATION;
use lavendergauge_net::body;
use serde_json::Value;
use serde_json::json;

use crate::api;
use crate::commands::flag;
use crate::commands::number_option;
use crate::commands::option;
use crate::commands::positional;
use crate::context::Context;
use crate::context::number;
use crate::context::text;
use crate::error;
use crate::error::Error;
use crate::report::Report;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let account = || option("account", "Client account that the request is for").required(true);
    Command::new("request")
        .about("Send a request to a target, or show the outcome of an earlier one")
        .subcommand_required(true)
        .subcommand(
            Command::new("send")
                .about("Send a request through an entry")
                .arg(positional("PATH", "Path at the target, for example /check"))
                .arg(account())
                .arg(option("method", "HTTP method").default_value("POST"))
                .arg(option("data", "Body; @FILE reads it from a file").default_value(""))
                .arg(option(
                    "idempotency-key",
                    "Identifier of your choice; a repeat with it is not run again",
                ))
                .arg(flag("idempotent", "Allow another run when the outcome of a run is not known"))
                .arg(number_option(
                    "deadline-ms",
                    "Longest time until the answer, in milliseconds",
                )),
        )
        .subcommand(
            Command::new("outcome")
                .about("Show the outcome of a request")
                .arg(positional(
                    "KEY",
                    "Idempotency-Key of the request, or the key in its Location",
                ))
                .arg(account()),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("outcome", matches)) => outcome(context, matches).await,
        Some((_, matches)) => send(context, matches).await,
        None => Ok(Report::new("", &())),
    }
}

async fn send(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let deadline = Duration::from_millis(u64::from(number(matches, "deadline-ms", 30_000_u32)));
    let mut request = Request::builder()
        .method(text(matches, "method"))
        .uri(format!("http://{}{}", context.service_address, text(matches, "PATH")))
        .header("lavendergauge-account", text(matches, "account"))
        .header("lavendergauge-deadline-ms", deadline.as_millis().to_string());
    if !text(matches, "idempotency-key").is_empty() {
        request = request.header("idempotency-key", text(matches, "idempotency-key"));
    }
    if matches.get_flag("idempotent") {
        request = request.header("lavendergauge-idempotent", "true");
    }
    let response = call(context, request, data(text(matches, "data"))?, deadline * 2).await?;
    let status = response.status().as_u16();
    let body = String::from_utf8_lossy(response.body()).into_owned();
    if body.ends_with('\n') || body.is_empty() {
        return Ok(Report::new(body.clone(), &json!({"status": status, "body": body})));
    }
    Ok(Report::new(format!("{body}\n"), &json!({"status": status, "body": body})))
}

async fn outcome(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let entry = context.api.address();
    let key = text(matches, "KEY");
    let request = Request::builder()
        .uri(format!("http://{entry}/v1/outcomes/{key}"))
        .header("lavendergauge-account", text(matches, "account"));
    let response = call(context, request, Bytes::new(), Duration::from_secs(10)).await?;
    let value: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let running = if value["running"] == true { " and still running" } else { "" };
    let outcome_name = value["outcome"].as_str().unwrap_or("unknown");
    let detail = value["detail"].as_str().unwrap_or_default();
    let colon = if detail.is_empty() { "" } else { ": " };
    Ok(Report::new(format!("request {key}: {outcome_name}{running}{colon}{detail}\n"), &value))
}

/// Returns the body that `--data` gives: its text, or the content of the file after `@`.
fn data(text: &str) -> Result<Bytes, Error> {
    let Some(path) = text.strip_prefix('@') else { return Ok(Bytes::from(text.to_owned())) };
    fs::read(path).map(Bytes::from).map_err(|error| Error::refused(format!("{path}: {error}"), ""))
}

/// Sends a request with the access key. A response with problem details becomes an error.
async fn call(
    context: &Context,
    mut request: hyper::http::request::Builder,
    data: Bytes,
    limit: Duration,
) -> Result<Response<Bytes>, Error> {
    if !context.key.is_empty() {
        request = request.header(AUTHORIZATION, format!("Bearer {}", context.key));
    }
    let request = request
        .body(body::full(data))
        .map_err(|error| Error::with_code(error::USAGE, format!("invalid request: {error}"), ""))?;
    let response = context.client.fetch(request, limit).await.map_err(|cause| {
        let code = if cause.never_sent() { error::UNREACHABLE } else { error::UNKNOWN };
        Error::with_code(
            code,
            format!("no answer: {cause}"),
            "pass the service address of another entry with --service",
        )
    })?;
    let is_problem = response
        .headers()
        .get("content-type")
        .is_some_and(|media| media == lavendergauge_wire::codec::PROBLEM);
    if is_problem { Err(api::read_error(&response)) } else { Ok(response) }
}
