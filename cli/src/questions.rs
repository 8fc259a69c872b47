//! The questionnaire's questions, asked on a terminal or read from an INI file.

use std::io::BufRead;
use std::io::Write;

use ini::Ini;
use ini::Properties;
use lavendergauge_lib::questionnaire;
use lavendergauge_lib::questionnaire::Account;
use lavendergauge_lib::questionnaire::Answers;

use crate::error::Error;

/// Prefix of a client account's section.
const ACCOUNT: &str = "account ";

/// A question with a number for an answer.
struct Question {
    section: &'static str,
    key: &'static str,
    text: &'static str,
    field: fn(&mut Answers) -> &mut u64,
}

const QUESTIONS: &[Question] = &[
    Question {
        section: "fleet",
        key: "workers",
        text: "How many workers are there in all?",
        field: |a| &mut a.workers,
    },
    Question {
        section: "fleet",
        key: "workers_per_rack",
        text: "How many workers stand in a rack?",
        field: |a| &mut a.workers_per_rack,
    },
    Question {
        section: "fleet",
        key: "accelerators",
        text: "How many accelerators has a worker?",
        field: |a| &mut a.accelerators,
    },
    Question {
        section: "fleet",
        key: "processors",
        text: "How many processor cores has a worker?",
        field: |a| &mut a.processors,
    },
    Question {
        section: "fleet",
        key: "memory_mb",
        text: "How much memory has a worker, in megabytes?",
        field: |a| &mut a.memory_mb,
    },
    Question {
        section: "fleet",
        key: "slots",
        text: "How many requests does a target take at a time?",
        field: |a| &mut a.slots,
    },
    Question {
        section: "fleet",
        key: "connections",
        text: "How many connections does a target take?",
        field: |a| &mut a.connections,
    },
    Question {
        section: "weights",
        key: "fragmentation_percent",
        text: "How much does fragmentation weigh, of 100?",
        field: |a| &mut a.fragmentation_percent,
    },
    Question {
        section: "weights",
        key: "completion_percent",
        text: "How much does completion time weigh, of 100?",
        field: |a| &mut a.completion_percent,
    },
    Question {
        section: "weights",
        key: "outage_percent",
        text: "How much does work done while a data centre is out weigh, of 100?",
        field: |a| &mut a.outage_percent,
    },
    Question {
        section: "jobs",
        key: "largest_members",
        text: "How many members has the largest job?",
        field: |a| &mut a.largest_members,
    },
    Question {
        section: "jobs",
        key: "largest_accelerators",
        text: "How many accelerators does each of its members need?",
        field: |a| &mut a.largest_accelerators,
    },
    Question {
        section: "jobs",
        key: "large_wait_s",
        text: "How long may a large job wait, in seconds?",
        field: |a| &mut a.large_wait_s,
    },
    Question {
        section: "jobs",
        key: "checkpoint_ms",
        text: "How long does a checkpoint take, in milliseconds?",
        field: |a| &mut a.checkpoint_ms,
    },
    Question {
        section: "requests",
        key: "request_wait_ms",
        text: "How long may a request wait before it runs, in milliseconds?",
        field: |a| &mut a.request_wait_ms,
    },
];

/// Reads the answers from the text of an INI file.
///
/// # Errors
/// Every answer that is missing, unknown or no number.
///
/// ```
/// let error = lavendergauge_cli::questions::read("[fleet]\nworkers = ten\n").unwrap_err();
/// assert!(error.text.contains("[fleet] workers: `ten` is no whole number"));
/// ```
pub fn read(text: &str) -> Result<Answers, Error> {
    let ini = Ini::load_from_str(text).map_err(|error| Error::refused(error.to_string(), ""))?;
    let mut answers = questionnaire::example();
    answers.accounts.clear();
    let mut faults = Vec::new();
    for question in QUESTIONS {
        let field = (question.field)(&mut answers);
        let found = ini.get_from(Some(question.section), question.key);
        match number(found) {
            Ok(value) => *field = value,
            Err(fault) => faults.push(format!("[{}] {}: {fault}", question.section, question.key)),
        }
    }
    for (key, field) in [("data_centres", &mut answers.data_centres)] {
        match ini.get_from(Some("fleet"), key) {
            Some(names) => *field = split(names),
            None => faults.push(format!("[fleet] {key}: is missing")),
        }
    }
    match ini.get_from(Some("fleet"), "region") {
        Some(region) => answers.region = region.to_owned(),
        None => faults.push("[fleet] region: is missing".to_owned()),
    }
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        match section.strip_prefix(ACCOUNT) {
            Some(name) => answers.accounts.push(account(name, properties, &mut faults)),
            None => faults.extend(unknown(section, properties)),
        }
    }
    if faults.is_empty() {
        return Ok(answers);
    }
    Err(Error::refused(format!("the answers are not whole\n{}", faults.join("\n")), ""))
}

/// Asks every question; an empty line takes the answer that is shown.
///
/// # Errors
/// When the terminal is closed.
pub fn ask(input: &mut impl BufRead, output: &mut impl Write) -> Result<Answers, Error> {
    let mut answers = questionnaire::example();
    let names = prompt(input, output, "Which data centres are there?", "dc-1, dc-2")?;
    answers.data_centres = split(&names);
    answers.region = prompt(input, output, "In which region?", &answers.region)?;
    for question in QUESTIONS {
        let field = (question.field)(&mut answers);
        *field = ask_number(input, output, question.text, *field)?;
    }
    let names = prompt(input, output, "Which client accounts are there?", "first")?;
    answers.accounts.clear();
    for name in split(&names) {
        let weight =
            ask_number(input, output, &format!("What share of spare capacity has {name}?"), 1)?;
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
                let _ = writeln!(output, "`{answer}` is no whole number");
            }
        }
    }
}

fn prompt(
    input: &mut impl BufRead,
    output: &mut impl Write,
    text: &str,
    default: &str,
) -> Result<String, Error> {
    let _ = write!(output, "{text} [{default}] ");
    let _ = output.flush();
    let mut line = String::new();
    let read = input.read_line(&mut line).map_err(|error| Error::refused(error.to_string(), ""))?;
    if read == 0 {
        return Err(Error::refused("the questions were broken off", "answer by --answers FILE"));
    }
    let line = line.trim();
    Ok(if line.is_empty() { default.to_owned() } else { line.to_owned() })
}

fn number(found: Option<&str>) -> Result<u64, String> {
    let text = found.ok_or("is missing")?;
    text.trim().parse().map_err(|_| format!("`{text}` is no whole number"))
}

fn split(names: &str) -> Vec<String> {
    names.split(',').map(|name| name.trim().to_owned()).filter(|name| !name.is_empty()).collect()
}

fn account(name: &str, properties: &Properties, faults: &mut Vec<String>) -> Account {
    let mut value = |key: &str| {
        number(properties.get(key)).unwrap_or_else(|fault| {
            faults.push(format!("[{ACCOUNT}{name}] {key}: {fault}"));
            0
        })
    };
    Account { name: name.to_owned(), weight: value("weight"), guaranteed: value("guaranteed") }
}

fn unknown(section: &str, properties: &Properties) -> Vec<String> {
    let known = |key: &str| {
        QUESTIONS.iter().any(|question| question.section == section && question.key == key)
            || (section == "fleet" && matches!(key, "data_centres" | "region"))
    };
    let wrong = properties.iter().filter(|(key, _)| !known(key));
    wrong.map(|(key, _)| format!("[{section}] {key}: is no question")).collect()
}
