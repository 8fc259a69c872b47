//! Routes of the administration API: one table for dispatch and for the OpenAPI document.

use hyper::Method;
use hyper::StatusCode;
use lavendergauge_derive::value;
use lavendergauge_wire::problem::Outcome;
use smallvec::SmallVec;

use crate::api;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::api_account;
use crate::api_config;
use crate::api_data_centre;
use crate::api_document;
use crate::api_job;
use crate::api_page;
use crate::api_worker;
use crate::entry_outcome;
use crate::problem;

/// What a call does; the name is the operation's identifier in the OpenAPI document.
#[value]
pub enum Operation {
    /// Show the configuration.
    ShowConfig,
    /// Change the configuration.
    ChangeConfig,
    /// Show an accepted change.
    ShowChange,
    /// List the accepted changes.
    ListChanges,
    /// Show where the configuration is in force.
    ShowStatus,
    /// Remove an entry that is gone for good from the list of writers.
    RemoveEntry,
    /// List client accounts.
    ListAccounts,
    /// Show a client account.
    ShowAccount,
    /// Create or replace a client account.
    PutAccount,
    /// Remove a client account.
    RemoveAccount,
    /// List guarantees.
    ListGuarantees,
    /// Show a guarantee.
    ShowGuarantee,
    /// Create or replace a guarantee.
    PutGuarantee,
    /// Remove a guarantee.
    RemoveGuarantee,
    /// List data centres.
    ListDataCentres,
    /// Show a data centre.
    ShowDataCentre,
    /// Create a data centre, or take it into or out of service.
    PutDataCentre,
    /// Remove a data centre.
    RemoveDataCentre,
    /// List workers.
    ListWorkers,
    /// Show a worker.
    ShowWorker,
    /// List targets.
    ListTargets,
    /// Submit a job.
    SubmitJob,
    /// List jobs.
    ListJobs,
    /// Show a job.
    ShowJob,
    /// Cancel a job.
    CancelJob,
    /// Explain why a job waits.
    ExplainJob,
    /// Explain where a job would be placed, without submitting it.
    ExplainSpec,
    /// Show the outcome of a request.
    ShowOutcome,
    /// Show the stored answer to a request.
    ShowAnswer,
    /// Show the status page.
    ShowPage,
    /// Show the OpenAPI document.
    ShowDocument,
}

/// One route of the administration API.
#[value]
pub struct Route {
    /// Method of the call.
    pub method: Method,
    /// Path template, with the names of parameters in braces.
    pub path: &'static str,
    /// Operation that a call carries out.
    pub operation: Operation,
    /// Schema of the request's body; empty for none.
    pub request: &'static str,
    /// Schema of the response's body; a leading `[]` means a list of them.
    pub answer: &'static str,
    /// Description of the operation in the OpenAPI document.
    pub summary: &'static str,
}

const fn route(
    method: Method,
    path: &'static str,
    operation: Operation,
    request: &'static str,
    answer: &'static str,
    summary: &'static str,
) -> Route {
    Route { method, path, operation, request, answer, summary }
}

/// Every route of the administration API.
#[rustfmt::skip]
pub const ROUTES: &[Route] = &[
    route(Method::GET, "/v1/config", Operation::ShowConfig, "", "config.Document", "Show the configuration in force"),
    route(Method::POST, "/v1/config/changes", Operation::ChangeConfig, "config.Change", "config.Document", "Change the configuration; with `dry_run` answers api.Preview"),
    route(Method::GET, "/v1/config/changes/{change}", Operation::ShowChange, "", "config.Made", "Show an accepted change"),
    route(Method::GET, "/v1/config/history", Operation::ListChanges, "", "[]config.Made", "List the newest accepted changes, oldest first"),
    route(Method::GET, "/v1/config/status", Operation::ShowStatus, "", "api.Status", "Show where the configuration is in force"),
    route(Method::DELETE, "/v1/entries/{entry}", Operation::RemoveEntry, "", "api.Status", "Remove an entry that is gone for good, so that the others may write without it"),
    route(Method::GET, "/v1/accounts", Operation::ListAccounts, "", "[]config.Account", "List client accounts"),
    route(Method::GET, "/v1/accounts/{account}", Operation::ShowAccount, "", "config.Account", "Show a client account"),
    route(Method::PUT, "/v1/accounts/{account}", Operation::PutAccount, "config.Account", "config.Document", "Create or replace a client account"),
    route(Method::DELETE, "/v1/accounts/{account}", Operation::RemoveAccount, "", "config.Document", "Remove a client account whose jobs have ended"),
    route(Method::GET, "/v1/guarantees", Operation::ListGuarantees, "", "[]api.Guarantee", "List guarantees, who claims them and whether they can be met"),
    route(Method::GET, "/v1/accounts/{account}/guarantees/{guarantee}", Operation::ShowGuarantee, "", "config.Guarantee", "Show a guarantee"),
    route(Method::PUT, "/v1/accounts/{account}/guarantees/{guarantee}", Operation::PutGuarantee, "config.Guarantee", "config.Document", "Create or replace a guarantee"),
    route(Method::DELETE, "/v1/accounts/{account}/guarantees/{guarantee}", Operation::RemoveGuarantee, "", "config.Document", "Remove a guarantee"),
    route(Method::GET, "/v1/data-centres", Operation::ListDataCentres, "", "[]api.DataCentre", "List data centres"),
    route(Method::GET, "/v1/data-centres/{data_centre}", Operation::ShowDataCentre, "", "api.DataCentre", "Show a data centre"),
    route(Method::PUT, "/v1/data-centres/{data_centre}", Operation::PutDataCentre, "config.Zone", "config.Document", "Create a data centre, or take it into or out of service"),
    route(Method::DELETE, "/v1/data-centres/{data_centre}", Operation::RemoveDataCentre, "", "config.Document", "Remove a data centre without workers"),
    route(Method::GET, "/v1/workers", Operation::ListWorkers, "", "[]announce.Frame", "List workers as their agents announce them"),
    route(Method::GET, "/v1/workers/{worker}", Operation::ShowWorker, "", "announce.Frame", "Show a worker"),
    route(Method::GET, "/v1/targets", Operation::ListTargets, "", "[]api.Target", "List targets and whether they get requests"),
    route(Method::POST, "/v1/jobs", Operation::SubmitJob, "job.Spec", "job.Record", "Submit a job; a repeat with the same Idempotency-Key answers with the job submitted before"),
    route(Method::GET, "/v1/jobs", Operation::ListJobs, "", "[]job.Record", "List jobs, also by `account` and `state`"),
    route(Method::GET, "/v1/jobs/{job}", Operation::ShowJob, "", "job.Record", "Show a job"),
    route(Method::DELETE, "/v1/jobs/{job}", Operation::CancelJob, "", "job.Record", "Cancel a job"),
    route(Method::GET, "/v1/jobs/{job}/explanation", Operation::ExplainJob, "", "api.Explanation", "Explain why a job waits, or where it would be placed"),
    route(Method::POST, "/v1/explanations", Operation::ExplainSpec, "job.Spec", "api.Explanation", "Explain where a job would be placed, without submitting it"),
    route(Method::GET, "/v1/outcomes/{key}", Operation::ShowOutcome, "", "request.Report", "Show the outcome of a request of the client account that the lavendergauge-account header names"),
    route(Method::GET, "/v1/outcomes/{key}/answer", Operation::ShowAnswer, "", "", "Show the stored answer to a request"),
    route(Method::GET, "/v1/status.html", Operation::ShowPage, "", "", "Show the status page, as HTML"),
    route(Method::GET, "/v1/openapi.json", Operation::ShowDocument, "", "", "Show this document"),
];

/// Finds the route of a call, and the values of its path's parameters.
///
/// # Errors
/// The problem document when there is no such resource, or it has no such method.
///
/// ```
/// use hyper::Method;
/// use lavendergauge_daemon::api_route;
/// use lavendergauge_daemon::api_route::Operation;
/// let (route, names) = api_route::find(&Method::GET, "/v1/jobs/7").unwrap();
/// assert_eq!((&route.operation, names[0].as_str()), (&Operation::ShowJob, "7"));
/// assert_eq!(api_route::find(&Method::PUT, "/v1/jobs/7").unwrap_err().status, 405);
/// ```
pub fn find(
    method: &Method,
    path: &str,
) -> Result<(&'static Route, SmallVec<[String; 2]>), Refusal> {
    let mut allowed = Vec::new();
    for route in ROUTES {
        let Some(names) = match_path(route.path, path) else { continue };
        if route.method == *method {
            return Ok((route, names));
        }
        allowed.push(route.method.as_str());
    }
    if allowed.is_empty() {
        return Err(api::not_found("resource", path));
    }
    let text = format!("{path} supports {}", allowed.join(", "));
    let status = StatusCode::METHOD_NOT_ALLOWED;
    Err(Box::new(problem::detail(status, "method not allowed", Outcome::NotRun, text)))
}

/// Returns the values of a path's parameters; `None` when the path does not match the template.
fn match_path(template: &str, path: &str) -> Option<SmallVec<[String; 2]>> {
    let mut names = SmallVec::new();
    let mut parts = path.split('/');
    for expected in template.split('/') {
        let part = parts.next()?;
        if expected.starts_with('{') && !part.is_empty() {
            names.push(part.to_owned());
        } else if expected != part {
            return None;
        }
    }
    parts.next().is_none().then_some(names)
}

/// Carries out a call.
///
/// # Errors
/// The problem document of a refusal.
pub async fn carry_out(operation: &Operation, call: &Call) -> Reply {
    match operation {
        Operation::ShowConfig => api_config::show(call),
        Operation::ChangeConfig => api_config::change(call).await,
        Operation::ShowChange => api_config::show_change(call),
        Operation::ListChanges => api_config::list_changes(call),
        Operation::ShowStatus => api_config::status(call),
        Operation::RemoveEntry => api_config::remove_entry(call).await,
        Operation::ListAccounts => api_account::list(call),
        Operation::ShowAccount => api_account::show(call),
        Operation::PutAccount => api_account::put(call).await,
        Operation::RemoveAccount => api_account::remove(call).await,
        Operation::ListGuarantees => api_account::list_guarantees(call).await,
        Operation::ShowGuarantee => api_account::show_guarantee(call),
        Operation::PutGuarantee => api_account::put_guarantee(call).await,
        Operation::RemoveGuarantee => api_account::remove_guarantee(call).await,
        Operation::ListDataCentres => api_data_centre::list(call),
        Operation::ShowDataCentre => api_data_centre::show(call),
        Operation::PutDataCentre => api_data_centre::put(call).await,
        Operation::RemoveDataCentre => api_data_centre::remove(call).await,
        Operation::ListWorkers => api_worker::list(call),
        Operation::ShowWorker => api_worker::show(call),
        Operation::ListTargets => api_worker::list_targets(call),
        Operation::SubmitJob => api_job::submit(call).await,
        Operation::ListJobs => api_job::list(call).await,
        Operation::ShowJob => api_job::show(call).await,
        Operation::CancelJob => api_job::cancel(call).await,
        Operation::ExplainJob => api_job::explain(call).await,
        Operation::ExplainSpec => api_job::explain_spec(call).await,
        Operation::ShowOutcome => entry_outcome::show(call).await,
        Operation::ShowAnswer => entry_outcome::answer(call).await,
        Operation::ShowPage => api_page::show(call).await,
        Operation::ShowDocument => Ok(api::json(&api_document::build())),
    }
}
