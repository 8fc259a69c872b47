//! `lavendergauge questionnaire`: from a team's answers to settings and a configuration.

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

/// Returns the command's arguments.
pub fn command() -> Command {
    Command::new("questionnaire")
        .about("Make settings and a configuration from a team's answers")
        .arg(option("answers", "INI file with the answers; asked on the terminal when left out"))
        .arg(option("output", "Folder that the files are written to").required(true))
}

/// Asks or reads the answers and writes the files.
///
/// # Errors
/// When answers are missing or contradict one another, or a file cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Report, Error> {
    let answers = match text(matches, "answers") {
        "" => questions::ask(&mut io::stdin().lock(), &mut io::stderr())?,
        path => questions::read(&fs::read_to_string(path).map_err(|error| wrong(path, &error))?)?,
    };
    let derived = questionnaire::derive(&answers).map_err(|found| {
        let lines: Vec<String> =
            found.iter().map(|each| format!("{}: {}", each.answer, each.reason)).collect();
        Error::refused(
            format!("the answers contradict one another\n{}", lines.join("\n")),
            "change one of the answers that are named",
        )
    })?;
    let folder = text(matches, "output");
    fs::create_dir_all(folder).map_err(|error| wrong(folder, &error))?;
    let files = [
        ("entry.ini", entry(&answers, &derived)),
        ("agent.ini", agent(&answers, &derived)),
        ("configuration.json", format!("{:#}\n", configuration(&answers, &derived))),
    ];
    let mut lines = String::new();
    for (name, content) in &files {
        let path = Path::new(folder).join(name);
        fs::write(&path, content).map_err(|error| wrong(&path.display().to_string(), &error))?;
        lines.push_str(&format!("{} is written\n", path.display()));
    }
    lines.push_str(&format!(
        "put the addresses and secrets in, then: lavendergauge config apply {folder}/configuration.json\n"
    ));
    Ok(Report::new(lines, &files.map(|(name, _)| name)))
}

fn wrong(path: &str, error: &io::Error) -> Error {
    Error::refused(format!("{path}: {error}"), "")
}

fn explained(key: &str, reasoned: &Reasoned) -> String {
    format!("# {}\n{key} = {}\n", reasoned.reason, reasoned.value)
}

fn process(role: &str, name: &str, answers: &Answers) -> String {
    let centre = answers.data_centres.first().map_or("", String::as_str);
    format!(
        "[process]\nrole = {role}\nname = {name}\n# the data centre that this VM stands in, one \
         of {}\ndata_centre = {centre}\n# the same on every process; draw your own: openssl rand \
         -hex 32\nfleet_key = replace-this-by-a-secret-of-your-own\n\n",
        answers.data_centres.join(", ")
    )
}

fn entry(answers: &Answers, derived: &Derived) -> String {
    format!(
        "{}[entry]\nservice_address = 0.0.0.0:7000\ncontrol_address = 10.0.0.10:7001\n# of the \
         secret `hello`; make your own: printf %s SECRET | sha256sum\nbootstrap_key_hash = \
         2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n{}\n[store]\n\
         address = 10.0.0.5:2379\n",
        process("entry", "entry-1", answers),
        explained("tick_ms", &derived.tick_ms)
    )
}

fn agent(answers: &Answers, derived: &Derived) -> String {
    format!(
        "{}[agent]\naddress = 10.0.0.11:7002\n# control addresses of the entries\nentries = \
         10.0.0.10:7001\n{}\n[worker]\n# {} workers stand in a rack\nrack = rack-1\naccelerators \
         = {}\nprocessors = {}\nmemory_mb = {}\n\n[target]\naddress = 127.0.0.1:8080\nslots = {}\n\
         connections = {}\n\n[runtime]\naddress = 127.0.0.1:8090\n",
        process("agent", "worker-1", answers),
        explained("announce_ms", &derived.announce_ms),
        answers.workers_per_rack,
        answers.accelerators,
        answers.processors,
        answers.memory_mb,
        answers.slots,
        answers.connections
    )
}

/// Makes the configuration; the reasons stand under `comment`, which `config apply` leaves out.
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
            let most = answers.accelerators * answers.workers_per_rack;
            let adjacency = match account.guaranteed {
                few if few <= answers.accelerators => "worker",
                some if some <= most => "rack",
                _ => "data-centre",
            };
            let guarantee = json!({"name": "base", "accelerators": account.guaranteed,
                "adjacency": adjacency, "data_centres": []});
            let guarantees = if account.guaranteed == 0 { json!([]) } else { json!([guarantee]) };
            json!({"name": account.name, "quota": 0, "weight": account.weight,
                "guarantees": guarantees, "keys": []})
        })
        .collect();
    let zones: Vec<Value> = answers
        .data_centres
        .iter()
        .map(|name| json!({"name": name, "region": answers.region, "standing": "in"}))
        .collect();
    let reasons: Vec<String> =
        policy.iter().map(|(key, value)| format!("{key}: {}", value.reason)).collect();
    let policy: serde_json::Map<String, Value> =
        policy.iter().map(|(key, value)| ((*key).to_owned(), json!(value.value))).collect();
    json!({"comment": reasons, "accounts": accounts, "data_centres": zones, "operators": [],
        "policy": policy})
}
