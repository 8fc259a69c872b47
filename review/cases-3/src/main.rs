//! Runs a scripted case of the third review: `review-cases-3 NUMBER RECORD DIRECTORY`.
//!
//! Ends with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` the disturbance is left out.

mod case_11;
mod case_12;
mod cloud;
mod fleet;
mod proxy;
mod record;
mod shim;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use tokio::time;

/// Time limit of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
pub enum Outcome {
    /// The rule was kept.
    Held,
    /// The rule was broken; how.
    Broken(String),
    /// The case could not run; why.
    NotRun(String),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, number, record, directory] = arguments.as_slice() else {
        eprintln!("usage: review-cases-3 NUMBER RECORD DIRECTORY");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let directory = PathBuf::from(directory);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {number}, trouble: {has_trouble}"));
    let running = async {
        match number.as_str() {
            "11" => case_11::run(&directory, &record, has_trouble).await,
            "12" => case_12::run(&directory, &record, has_trouble).await,
            _ => Outcome::NotRun("no such case".to_owned()),
        }
    };
    let outcome = time::timeout(LIMIT, running)
        .await
        .unwrap_or_else(|_| Outcome::NotRun("time is up".to_owned()));
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(how) => {
            record.line(&format!("the rule was broken: {how}"));
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            record.line(&format!("not run: {why}"));
            ExitCode::from(2)
        }
    }
}
