//! The cases of the independent review: `case NUMBER FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod fleet;
mod http;
mod large_job;
mod record;
mod relay;
mod restart_lease;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Whether the rule was broken; `None` when the case could not run.
type Verdict = Option<bool>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&PathBuf::from(folder)));
    let verdict = match name.as_str() {
        "large-job" => large_job::run(&record, has_trouble),
        "restart-lease" => restart_lease::run(&record, has_trouble),
        _ => None,
    };
    let (text, code) = match verdict {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    record.note(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
