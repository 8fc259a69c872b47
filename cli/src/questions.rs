//! The questionnaire's questions, whose answers come from a terminal or an INI file.

use std::io::BufRead;
use std::io::Write;

use ini::Ini;
use ini::Properties;
use lavendergauge_lib::questionnaire;
use lavendergauge_lib::questionnaire::Account;
use lavendergauge_lib::questionnaire::Answers;

use crate::error::Error;

/// Prefix of the name of a client account's section in the INI file.
const ACCOUNT_PREFIX: &str = "account ";

/// A question whose answer is a whole number.
struct Question {
    /// Section of the INI file with the answer.
    section: &'static str,
    /// Key of the answer in the section.
    key: &'static str,
    /// Question as asked on the terminal.
    text: &'static str,
    /// Field that takes the answer.
    field: fn(&mut Answers) -> &mut u64,
}

/// The questions with numbers for answers, in the order in which they are asked.
const QUESTIONS: &[Question] = &[
    Question {
        section: "fleet",
        key: "workers",
        text: "How many workers are there in all?",
        field: |answers| &mut answers.workers,
    },
    Question {
        section: "fleet",
        key: "workers_per_rack",
        text: "How many workers are in a rack?",
        field: |answers| &mut answers.workers_per_rack,
    },
    Question {
        section: "fleet",
        key: "accelerators",
        text: "How many accelerators does a worker have?",
        field: |answers| &mut answers.accelerators,
    },
    Question {
        section: "fleet",
        key: "processors",
        text: "How many processor cores does a worker have?",
        field: |answers| &mut answers.processors,
    },
    Question {
        section: "fleet",
        key: "memory_mb",
        text: "How much memory does a worker have, in megabytes?",
        field: |answers| &mut answers.memory_mb,
    },
    Question {
        section: "fleet",
        key: "slots",
        text: "How many requests does a target handle at a time?",
        field: |answers| &mut answers.slots,
    },
    Question {
        section: "fleet",
        key: "connections",
        text: "How many connections does a target accept?",
        field: |answers| &mut answers.connections,
    },
    Question {
        section: "weights",
        key: "fragmentation_percent",
        text: "What percentage of the weight is on low fragmentation?",
        field: |answers| &mut answers.fragmentation_percent,
    },
    Question {
        section: "weights",
        key: "completion_percent",
        text: "What percentage of the weight is on short completion times?",
        field: |answers| &mut answers.completion_percent,
    },
    Question {
        section: "weights",
        key: "outage_percent",
        text: "What percentage of the weight is on work done while a data centre is out?",
        field: |answers| &mut answers.outage_percent,
    },
    Question {
        section: "jobs",
        key: "largest_members",
        text: "How many members does the largest job have?",
        field: |answers| &mut answers.largest_members,
    },
    Question {
        section: "jobs",
        key: "largest_accelerators",
        text: "How many accelerators does each member of the largest job need?",
        field: |answers| &mut answers.largest_accelerators,
    },
    Question {
        section: "jobs",
        key: "large_wait_s",
        text: "How long may a large job wait, in seconds?",
        field: |answers| &mut answers.large_wait_s,
    },
    Question {
        section: "jobs",
        key: "checkpoint_ms",
        text: "How long does a checkpoint take, in milliseconds?",
        field: |answers| &mut answers.checkpoint_ms,
    },
    Question {
        section: "requests",
        key: "request_wait_ms",
        text: "How long may a request wait before it runs, in milliseconds?",
        field: |answers| &mut answers.request_wait_ms,
    },
];

/// Reads the answers from the text of an INI file.
///
/// # Errors
/// When an answer is missing, unknown or not a whole number. The error names all such answers.
///
/// ```
/// let error = lavendergauge_cli::questions::read("[fleet]\nworkers = ten\n").unwrap_err();
/// assert!(error.text.contains("[fleet] workers: `ten` is not a whole number"));
/// ```
pub fn read(text: &str) -> Result<Answers, Error> {
    let ini = Ini::load_from_str(text).map_err(|error| Error::refused(error.to_string(), ""))?;
    let mut answers = questionnaire::example();
    answers.accounts.clear();
    let mut faults = Vec::new();
    for question in QUESTIONS {
        let field = (question.field)(&mut answers);
        let found = ini.get_from(Some(question.section), question.key);
        match parse_number(found) {
            Ok(value) => *field = value,
            Err(fault) => faults.push(format!("[{}] {}: {fault}", question.section, question.key)),
        }
    }
    for (key, field) in [("data_centres", &mut answers.data_centres)] {
        match ini.get_from(Some("fleet"), key) {
            Some(names) => *field = split_names(names),
            None => faults.push(format!("[fleet] {key}: is missing")),
        }
    }
    match ini.get_from(Some("fleet"), "region") {
        Some(region) => answers.region = region.to_owned(),
        None => faults.push("[fleet] region: is missing".to_owned()),
    }
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        match section.strip_prefix(ACCOUNT_PREFIX) {
            Some(name) => answers.accounts.push(read_account(name, properties, &mut faults)),
            None => faults.extend(unknown_keys(section, properties)),
        }
    }
    if faults.is_empty() {
        return Ok(answers);
    }
    Err(Error::refused(format!("some answers are missing or invalid\n{}", faults.join("\n")), ""))
}

/// Asks every question. An empty line accepts the answer in brackets, and a question is asked again
/// when its answer is not a whole number.
///
/// # Errors
/// When the input ends before the last question, or cannot be read.
pub fn ask(input: &mut impl BufRead, output: &mut impl Write) -> Result<Answers, Error> {
    let mut answers = questionnaire::example();
    let names = prompt(input, output, "What are the data centres called?", "dc-1, dc-2")?;
    answers.data_centres = split_names(&names);
    answers.region = prompt(input, output, "Which region are they in?", &answers.region)?;
    for question in QUESTIONS {
        let field = (question.field)(&mut answers);
        *field = ask_number(input, output, question.text, *field)?;
    }
    let names = prompt(input, output, "What are the client accounts called?", "first")?;
    answers.accounts.clear();
    for name in split_names(&names) {
        let weight = ask_number(
            input,
            output,
            &format!("What is the weight of {name} for spare capacity?"),
            1,
        )?;
        let text = format!("How many accelerators can {name} always claim?");
        let guaranteed = ask_number(input, output, &text, 0)?;
        answers.accounts.push(Account { name, weight, guaranteed });
    }
    Ok(answers)
}

fn ask_number(
    input: &mut impl BufRead,
    output: &mut impl Write,
    text: &str,
    default: u64,
) -> Result<u64, Error> {
    loop {
        let answer = prompt(input, output, text, &default.to_string())?;
        match answer.parse() {
            Ok(number) => return Ok(number),
            Err(_) => {
                let _ = writeln!(output, "`{answer}` is not a whole number");
            }
        }
    }
}

/// Asks a question once and returns the trimmed answer, or the default for an empty line.
fn prompt(
    input: &mut impl BufRead,
    output: &mut impl Write,
    text: &str,
    default: &str,
) -> Result<String, Error> {
    let _ = write!(output, "{text} [{default}] ");
    let _ = output.flush();
    let mut line = String::new();
    let length =
        input.read_line(&mut line).map_err(|error| Error::refused(error.to_string(), ""))?;
    if length == 0 {
        return Err(Error::refused(
            "the input ended before all questions were answered",
            "pass the answers in a file with --answers",
        ));
    }
    let line = line.trim();
    Ok(if line.is_empty() { default.to_owned() } else { line.to_owned() })
}

/// Parses the number of a key, which may be missing.
fn parse_number(found: Option<&str>) -> Result<u64, String> {
    let text = found.ok_or("is missing")?;
    text.trim().parse().map_err(|_| format!("`{text}` is not a whole number"))
}

/// Splits a list of names at its commas.
fn split_names(names: &str) -> Vec<String> {
    names.split(',').map(|name| name.trim().to_owned()).filter(|name| !name.is_empty()).collect()
}

/// Reads the section of a client account and adds what is wrong with it to `faults`.
fn read_account(name: &str, properties: &Properties, faults: &mut Vec<String>) -> Account {
    let mut value = |key: &str| {
        parse_number(properties.get(key)).unwrap_or_else(|fault| {
            faults.push(format!("[{ACCOUNT_PREFIX}{name}] {key}: {fault}"));
            0
        })
    };
    Account { name: name.to_owned(), weight: value("weight"), guaranteed: value("guaranteed") }
}

/// Returns a message for each key of a section that belongs to no question.
fn unknown_keys(section: &str, properties: &Properties) -> Vec<String> {
    let is_known = |key: &str| {
        QUESTIONS.iter().any(|question| question.section == section && question.key == key)
            || (section == "fleet" && matches!(key, "data_centres" | "region"))
    };
    let unknown = properties.iter().filter(|(key, _)| !is_known(key));
    unknown.map(|(key, _)| format!("[{section}] {key}: is not a known key")).collect()
}
