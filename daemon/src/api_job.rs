//! Jobs as resources: submit, list, show, cancel and explain.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::ETAG;
use hyper::header::HeaderValue;
use hyper::header::LOCATION;
use lavendergauge_net::body::Body;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::Spec;
use lavendergauge_wire::job::State;
use lavendergauge_wire::problem::Outcome;

use crate::access;
use crate::api;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::entry_service::KEY_HEADER;
use crate::job;
use crate::job::Submitted;
use crate::preview;
use crate::problem;
use crate::valid;
use crate::valid::Fault;
use crate::valid::Job;

/// Tells whether a job in this state has not ended.
///
/// ```
/// use lavendergauge_daemon::api_job;
/// use lavendergauge_wire::job::State;
/// assert!(api_job::is_live(State::Waiting));
/// assert!(!api_job::is_live(State::Done));
/// ```
pub fn is_live(state: State) -> bool {
    matches!(state, State::Waiting | State::Starting | State::Running | State::Stopping)
}

/// Submits a job; a repeat with the same Idempotency-Key answers with the job submitted before.
pub async fn submit(call: &Call) -> Reply {
    let spec: Spec = call.decode()?;
    access::check_account(&call.caller, &spec.account)?;
    let id = identifier(call.header(KEY_HEADER), &spec.account)?;
    let job = Job::check(spec, &call.entry.core().document).map_err(Fault::problem)?;
    let written = job::submit(&call.entry, &id, job.into_spec()).await;
    let record = match written.map_err(|error| api::write_failed(&error))? {
        Submitted::Accepted(record) => {
            log::info!("event=job-accepted job={id} account={}", record.spec.account);
            record
        }
        Submitted::Known(record) => record,
        Submitted::Taken => return Err(key_mismatch()),
    };
    let mut response = with_etag(&record);
    *response.status_mut() = StatusCode::CREATED;
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{}", record.id)) {
        response.headers_mut().insert(LOCATION, location);
    }
    Ok(response)
}

/// Lists the jobs that the caller may see, sorted by identifier.
pub async fn list(call: &Call) -> Reply {
    let account = call.parameter("account");
    let state = match call.parameter("state") {
        None => None,
        Some(text) => Some(text.parse::<State>().map_err(|_| {
            let hint = "waiting, starting, running, stopping, done, failed, cancelled, refused or \
                        unknown";
            Fault::new("state", format!("is `{text}`"), hint).problem()
        })?),
    };
    let mut records = call.records().await?;
    records.retain(|record| {
        call.caller.acts_for(&record.spec.account)
            && account.is_none_or(|account| record.spec.account == account)
            && state.is_none_or(|state| record.state == state)
    });
    call.page(records, |record| &record.id)
}

/// Shows one job.
pub async fn show(call: &Call) -> Reply {
    Ok(with_etag(&read(call).await?))
}

/// Cancels a job: a waiting job ends at once, a running job is stopped.
pub async fn cancel(call: &Call) -> Reply {
    let id = read(call).await?.id;
    let cancelled = job::cancel(&call.entry, &id).await;
    let record = cancelled.map_err(|error| api::write_failed(&error))?;
    let record = record.ok_or_else(|| api::not_found("job", &id))?;
    log::info!("event=job-cancelled job={id} state={}", record.state);
    Ok(with_etag(&record))
}

/// Explains why a job waits, or where it would be placed.
pub async fn explain(call: &Call) -> Reply {
    let record = read(call).await?;
    Ok(api::json(&preview::explain(&call.snapshot().await?, &record)))
}

/// Explains where a job would be placed, without submitting it.
pub async fn explain_spec(call: &Call) -> Reply {
    let spec: Spec = call.decode()?;
    access::check_account(&call.caller, &spec.account)?;
    let job = Job::check(spec, &call.entry.core().document).map_err(Fault::problem)?;
    let record = job::new_record("", job.into_spec());
    let mut snapshot = call.snapshot().await?;
    snapshot.records.push(record.clone());
    Ok(api::json(&preview::explain(&snapshot, &record)))
}

/// Returns the job's identifier: from the account and Idempotency-Key, or random without a key.
fn identifier(key: &str, account: &str) -> Result<String, Refusal> {
    if key.is_empty() {
        return Ok(format!("{:016x}", rand::random::<u64>()));
    }
    valid::check_name(KEY_HEADER, key).map_err(Fault::problem)?;
    // Names contain no `~`, so keys of two accounts never give the same identifier.
    Ok(format!("{account}~{key}"))
}

fn key_mismatch() -> Refusal {
    let text = "the Idempotency-Key was used for another job";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let mut detail = problem::detail(status, "key mismatch", Outcome::NotRun, text);
    detail.field = KEY_HEADER.to_owned();
    Box::new(detail)
}

/// Reads the job that the path names, if the caller may see it.
async fn read(call: &Call) -> Result<Record, Refusal> {
    let id = call.name(0);
    let found = job::find(&call.entry, id).await.map_err(|error| api::read_failed(&error))?;
    // Another account's job is reported as not found, so that callers cannot probe identifiers.
    found
        .filter(|record| call.caller.acts_for(&record.spec.account))
        .ok_or_else(|| api::not_found("job", id))
}

/// Answers with a job; its ETag changes with its state and attempt.
fn with_etag(record: &Record) -> Response<Body> {
    let mut response = api::json(record);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}-{}\"", record.attempt, record.state)) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}
