//! `lavendergauge account`: manages client accounts and their access keys.

use std::num::NonZeroU32;

use clap::ArgMatches;
use clap::Command;
use lavendergauge_wire::config::Account;
use lavendergauge_wire::config::Role;
use serde_json::json;

use crate::access_key;
use crate::change;
use crate::change::Mode;
use crate::commands::dry_run;
use crate::commands::number_option;
use crate::commands::positional;
use crate::context::Context;
use crate::context::number;
use crate::context::text;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;

/// Returns the command with its arguments.
pub fn command() -> Command {
    let name = || positional("ACCOUNT", "Name of the client account");
    let quota =
        || number_option("quota", "Largest number of accelerators held at a time; 0 for no limit");
    let weight = || {
        number_option(
            "weight",
            "Share of spare capacity, relative to the weights of the other accounts",
        )
    };
    let key = || positional("KEY", "Identifier of the key");
    Command::new("account")
        .about("Manage client accounts and their access keys")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List client accounts"))
        .subcommand(Command::new("show").about("Show a client account").arg(name()))
        .subcommand(
            Command::new("add")
                .about("Create a client account")
                .arg(name())
                .arg(quota())
                .arg(weight()),
        )
        .subcommand(
            Command::new("set")
                .about("Change a client account's quota or weight")
                .arg(name())
                .arg(quota())
                .arg(weight())
                .arg(dry_run()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a client account; all its jobs must have ended")
                .arg(name())
                .arg(dry_run()),
        )
        .subcommand(
            Command::new("add-key")
                .about("Generate a key for callers of a client account and show it once")
                .arg(name())
                .arg(key())
                .arg(number_option("days", "Days after which the key expires; 0 for never")),
        )
        .subcommand(
            Command::new("remove-key").about("Revoke a caller's key").arg(name()).arg(key()),
        )
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// When the entry cannot be reached or refuses the call.
pub async fn run(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    match matches.subcommand() {
        Some(("show", matches)) => show(context, text(matches, "ACCOUNT")).await,
        Some(("add", matches)) => add(context, matches).await,
        Some(("set", matches)) => set(context, matches).await,
        Some(("remove", matches)) => {
            change::remove(context, &path(text(matches, "ACCOUNT")), Mode::from_matches(matches))
                .await
        }
        Some(("add-key", matches)) => add_key(context, matches).await,
        Some(("remove-key", matches)) => remove_key(context, matches).await,
        _ => list(context).await,
    }
}

/// Returns the API path of a client account.
pub fn path(name: &str) -> String {
    format!("/v1/accounts/{name}")
}

async fn list(context: &Context) -> Result<Report, Error> {
    let accounts: Vec<Account> = context.api.list("/v1/accounts").await?;
    let mut table = Table::new(&["ACCOUNT", "WEIGHT", "QUOTA", "GUARANTEES", "KEYS"]);
    for account in &accounts {
        table.add_row([
            &account.name,
            &account.weight,
            &quota(account),
            &account.guarantees.len(),
            &account.keys.len(),
        ]);
    }
    Ok(Report::new(table.render(), &accounts))
}

fn quota(account: &Account) -> String {
    if account.quota == 0 { "none".to_owned() } else { account.quota.to_string() }
}

async fn show(context: &Context, name: &str) -> Result<Report, Error> {
    let account: Account = context.api.read(&path(name)).await?;
    let mut lines = format!(
        "client account {}\n  weight: {}\n  quota: {}\n",
        account.name,
        account.weight,
        quota(&account)
    );
    for guarantee in &account.guarantees {
        lines.push_str(&format!(
            "  guarantee {}: {} accelerators within one {}\n",
            guarantee.name,
            guarantee.accelerators,
            guarantee.adjacency.to_string().replace('-', " ")
        ));
    }
    for key in &account.keys {
        let expiry = if key.expires_ms == 0 {
            "never expires".to_owned()
        } else {
            format!("expires_ms={}", key.expires_ms)
        };
        lines.push_str(&format!("  key {}: {expiry}\n", key.id));
    }
    Ok(Report::new(lines, &account))
}

async fn add(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let name = text(matches, "ACCOUNT");
    let existing: Vec<Account> = context.api.list("/v1/accounts").await?;
    if existing.iter().any(|account| account.name == name) {
        let hint = format!("change it with `lavendergauge account set {name}`");
        return Err(Error::refused(format!("client account `{name}` already exists"), hint));
    }
    let account = json!({"name": name, "quota": number(matches, "quota", 0_u32),
        "weight": number(matches, "weight", 1_u32), "guarantees": [], "keys": []});
    change::put(context, &path(name), "*", &account, Mode::Apply).await
}

async fn set(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let path = path(text(matches, "ACCOUNT"));
    let mut versioned = context.api.read_with_etag::<Account>(&path).await?;
    let account = &mut versioned.value;
    account.quota = number(matches, "quota", account.quota);
    let weight = number(matches, "weight", account.weight.get());
    account.weight = NonZeroU32::new(weight)
        .ok_or_else(|| Error::refused("weight is 0", "set a weight from 1 to 1000"))?;
    change::put(context, &path, &versioned.etag, &versioned.value, Mode::from_matches(matches))
        .await
}

async fn add_key(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let path = path(text(matches, "ACCOUNT"));
    let mut versioned = context.api.read_with_etag::<Account>(&path).await?;
    let id = text(matches, "KEY");
    let generated = access_key::generate(id, Role::Caller, number(matches, "days", 0));
    versioned.value.keys.retain(|key| key.id != id);
    versioned.value.keys.push(generated.record);
    let report =
        change::put(context, &path, &versioned.etag, &versioned.value, Mode::Apply).await?;
    let lines = format!("{}the key is shown this once:\n{}\n", report.text, generated.access_key);
    Ok(Report::new(lines, &json!({"key": generated.access_key})))
}

async fn remove_key(context: &Context, matches: &ArgMatches) -> Result<Report, Error> {
    let path = path(text(matches, "ACCOUNT"));
    let mut versioned = context.api.read_with_etag::<Account>(&path).await?;
    let id = text(matches, "KEY");
    if !versioned.value.keys.iter().any(|key| key.id == id) {
        return Err(Error::refused(format!("the client account has no key `{id}`"), ""));
    }
    versioned.value.keys.retain(|key| key.id != id);
    change::put(context, &path, &versioned.etag, &versioned.value, Mode::Apply).await
}
