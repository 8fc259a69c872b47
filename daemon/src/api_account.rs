//! Client accounts and their guarantees as resources.

use hyper::StatusCode;
use lavendergauge_wire::config::Account;
use lavendergauge_wire::config::Guarantee;
use lavendergauge_wire::config::Operation;

use crate::access;
use crate::access::Caller;
use crate::api;
use crate::api::Call;
use crate::api::Refusal;
use crate::api::Reply;
use crate::api_config;
use crate::preview;
use crate::valid::Fault;

/// Lists the client accounts that the caller may see.
pub fn list(call: &Call) -> Reply {
    let mut accounts = call.entry.core().document.accounts.clone();
    accounts.retain(|account| call.caller.acts_for(&account.name));
    accounts.sort_by(|one, other| one.name.cmp(&other.name));
    call.page(accounts, |account| &account.name)
}

/// Shows one client account.
pub fn show(call: &Call) -> Reply {
    access::check_account(&call.caller, call.name(0))?;
    let revision = call.entry.core().document.revision;
    call.at_revision(revision, &find(call)?)
}

/// Creates or replaces a client account.
pub async fn put(call: &Call) -> Reply {
    call.operator()?;
    let account: Account = call.decode()?;
    check_name(&account.name, call.name(0))?;
    api_config::submit(call, Operation::PutAccount { account }).await
}

/// Removes a client account.
pub async fn remove(call: &Call) -> Reply {
    call.operator()?;
    let name = find(call)?.name;
    if call.records().await?.iter().any(|record| record.spec.account == name && is_live(record)) {
        let text = format!("jobs of client account `{name}` have not ended");
        return Err(api::conflict("account in use", text));
    }
    api_config::submit(call, Operation::RemoveAccount { name }).await
}

/// Lists every guarantee that the caller may see, and whether it can be met.
pub async fn list_guarantees(call: &Call) -> Reply {
    let snapshot = call.snapshot().await?;
    let mut guarantees = preview::list_guarantees(&snapshot);
    guarantees.retain(|guarantee| match &call.caller {
        Caller::Operator(_) => true,
        Caller::Account(own) => *own == guarantee.account,
    });
    let mut response = api::json(&guarantees);
    *response.status_mut() = StatusCode::OK;
    Ok(response)
}

/// Shows one guarantee.
pub fn show_guarantee(call: &Call) -> Reply {
    access::check_account(&call.caller, call.name(0))?;
    let revision = call.entry.core().document.revision;
    call.at_revision(revision, &find_guarantee(call)?)
}

/// Creates or replaces a guarantee.
pub async fn put_guarantee(call: &Call) -> Reply {
    call.operator()?;
    let guarantee: Guarantee = call.decode()?;
    check_name(&guarantee.name, call.name(1))?;
    let account = find(call)?.name;
    api_config::submit(call, Operation::PutGuarantee { account, guarantee }).await
}

/// Removes a guarantee.
pub async fn remove_guarantee(call: &Call) -> Reply {
    call.operator()?;
    let name = find_guarantee(call)?.name;
    let account = call.name(0).to_owned();
    api_config::submit(call, Operation::RemoveGuarantee { account, name }).await
}

fn find(call: &Call) -> Result<Account, Refusal> {
    let name = call.name(0);
    let core = call.entry.core();
    let account = core.document.accounts.iter().find(|account| account.name == name);
    account.cloned().ok_or_else(|| api::not_found("client account", name))
}

fn find_guarantee(call: &Call) -> Result<Guarantee, Refusal> {
    let name = call.name(1);
    let guarantee = find(call)?.guarantees.into_iter().find(|known| known.name == name);
    guarantee.ok_or_else(|| api::not_found("guarantee", name))
}

fn is_live(record: &lavendergauge_wire::job::Record) -> bool {
    crate::api_job::is_live(record.state)
}

/// Checks that a resource's name is the one in its path.
///
/// # Errors
/// The problem document when the two differ.
pub fn check_name(name: &str, path: &str) -> Result<(), Refusal> {
    if name == path {
        return Ok(());
    }
    Err(Fault::new("name", format!("is `{name}`, but the path says `{path}`"), "").problem())
}
