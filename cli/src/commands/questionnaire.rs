//! `lavendergauge questionnaire`: derives settings and a configuration from a team's answers.

use std::fs;
use std::io;
use std::path::Path;

use clap::ArgMatches;
use clap::Command;
use lavendergauge_lib::questionnaire;
use lavendergauge_lib::questionnaire::Answers;
use lavendergauge_lib::questionnaire::Derived;
use lavendergauge_lib::questionnaire::Reasoned;
use serde_json::Value;
use serde_json::json;

use crate::commands::option;
use crate::context::text;
use crate::error::Error;
use crate::questions;
use crate::report::Report;

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("questionnaire")
        .about("Derive settings and a configuration from a team's answers")
        .arg(option(
            "answers",
            "INI file with the answers; without it, the questions are asked on the terminal",
        ))
        .arg(option("output", "Folder for the files; created if needed").required(true))
}

/// Asks for the answers or reads them from a file, and writes the derived settings and
/// configuration.
///
/// # Errors
/// When answers are missing or contradict one another, or a file cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Report, Error> {
    let answers = match text(matches, "answers") {
        "" => questions::ask(&mut io::stdin().lock(), &mut io::stderr())?,
        path => {
            questions::read(&fs::read_to_string(path).map_err(|error| file_error(path, &error))?)?
        }
    };
    let derived = questionnaire::derive(&answers).map_err(|contradictions| {
        let lines: Vec<String> = contradictions
            .iter()
            .map(|contradiction| format!("{}: {}", contradiction.answer, contradiction.reason))
            .collect();
        Error::refused(
            format!("the answers contradict one another\n{}", lines.join("\n")),
            "change one of these answers",
        )
    })?;
    let folder = text(matches, "output");
    fs::create_dir_all(folder).map_err(|error| file_error(folder, &error))?;
    let files = [
        ("entry.ini", entry_settings(&answers, &derived)),
        ("agent.ini", agent_settings(&answers, &derived)),
        ("configuration.json", format!("{:#}\n", configuration(&answers, &derived))),
    ];
    let mut lines = String::new();
    for (name, content) in &files {
        let path = Path::new(folder).join(name);
        fs::write(&path, content)
            .map_err(|error| file_error(&path.display().to_string(), &error))?;
        lines.push_str(&format!("{} is written\n", path.display()));
    }
    lines.push_str(&format!(
        "replace the addresses and secrets in them, then run: \
         lavendergauge config apply {folder}/configuration.json\n"
    ));
    Ok(Report::new(lines, &files.map(|(name, _)| name)))
}

fn file_error(path: &str, error: &io::Error) -> Error {
    Error::refused(format!("{path}: {error}"), "")
}

/// Returns the line of a setting below a comment with its reason.
fn setting_with_reason(key: &str, reasoned: &Reasoned) -> String {
    format!("# {}\n{key} = {}\n", reasoned.reason, reasoned.value)
}

/// Returns the `[process]` section of a settings file.
fn process_section(role: &str, name: &str, answers: &Answers) -> String {
    let data_centre = answers.data_centres.first().map_or("", String::as_str);
    format!(
        "[process]\nrole = {role}\nname = {name}\n# the data centre of this VM, one of \
         {}\ndata_centre = {data_centre}\n# the same for every process; generate your own: \
         openssl rand -hex 32\nfleet_key = replace-this-by-a-secret-of-your-own\n\n",
        answers.data_centres.join(", ")
    )
}

/// Returns the settings file of an entry.
fn entry_settings(answers: &Answers, derived: &Derived) -> String {
    format!(
        "{}[entry]\nservice_address = 0.0.0.0:7000\ncontrol_address = 10.0.0.10:7001\n# \
         SHA-256 of the secret `hello`; make your own: printf %s SECRET | sha256sum\n\
         bootstrap_key_hash = \
         2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n{}\n[store]\n\
         address = 10.0.0.5:2379\n",
        process_section("entry", "entry-1", answers),
        setting_with_reason("tick_ms", &derived.tick_ms)
    )
}

/// Returns the settings file of an agent.
fn agent_settings(answers: &Answers, derived: &Derived) -> String {
    format!(
        "{}[agent]\naddress = 10.0.0.11:7002\n# control addresses of the entries\nentries = \
         10.0.0.10:7001\n{}\n[worker]\n# a rack has {} workers\nrack = rack-1\naccelerators \
         = {}\nprocessors = {}\nmemory_mb = {}\n\n[target]\naddress = 127.0.0.1:8080\nslots = {}\n\
         connections = {}\n\n[runtime]\naddress = 127.0.0.1:8090\n",
        process_section("agent", "worker-1", answers),
        setting_with_reason("announce_ms", &derived.announce_ms),
        answers.workers_per_rack,
        answers.accelerators,
        answers.processors,
        answers.memory_mb,
        answers.slots,
        answers.connections
    )
}

/// Returns the configuration. The reasons for the policy are in the field `comment`, which
/// `config apply` and `config diff` ignore.
fn configuration(answers: &Answers, derived: &Derived) -> Value {
    let policy = [
        ("large_wait_s", &derived.large_wait_s),
        ("compactness_percent", &derived.compactness_percent),
        ("notice_ms", &derived.notice_ms),
        ("retry_percent", &derived.retry_percent),
        ("queue_ms", &derived.queue_ms),
    ];
    let accounts: Vec<Value> = answers
        .accounts
        .iter()
        .map(|account| {
            let accelerators_per_rack = answers.accelerators * answers.workers_per_rack;
            let adjacency = match account.guaranteed {
                count if count <= answers.accelerators => "worker",
                count if count <= accelerators_per_rack => "rack",
                _ => "data-centre",
            };
            let guarantee = json!({"name": "base", "accelerators": account.guaranteed,
                "adjacency": adjacency, "data_centres": []});
            let guarantees = if account.guaranteed == 0 { json!([]) } else { json!([guarantee]) };
            json!({"name": account.name, "quota": 0, "weight": account.weight,
                "guarantees": guarantees, "keys": []})
        })
        .collect();
    let data_centres: Vec<Value> = answers
        .data_centres
        .iter()
        .map(|name| json!({"name": name, "region": answers.region, "standing": "in"}))
        .collect();
    let reasons: Vec<String> =
        policy.iter().map(|(key, value)| format!("{key}: {}", value.reason)).collect();
    let policy: serde_json::Map<String, Value> =
        policy.iter().map(|(key, value)| ((*key).to_owned(), json!(value.value))).collect();
    json!({"comment": reasons, "accounts": accounts, "data_centres": data_centres, "operators": [],
        "policy": policy})
}
