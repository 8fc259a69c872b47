//! Plays one script case: `probe CASE DIRECTORY RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod flap;
mod fleet;
mod gate;
mod rack;
mod record;
mod region;
mod reserved;
mod slow;
mod twice;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    Unfit(String),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, directory, record] = arguments.as_slice() else {
        eprintln!("usage: probe CASE DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let directory = PathBuf::from(directory);
    let record = Arc::new(Record::create(&PathBuf::from(record)));
    record.note(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let verdict = match case.as_str() {
        "flap" => flap::play(&directory, record.clone(), has_trouble).await,
        "slow" => slow::play(&directory, record.clone(), has_trouble).await,
        "rack" => rack::play(&directory, record.clone(), has_trouble).await,
        "reserved" => reserved::play(&directory, record.clone(), has_trouble).await,
        "region" => region::play(&directory, record.clone(), has_trouble).await,
        other => Verdict::Unfit(format!("no case {other}")),
    };
    match verdict {
        Verdict::Held => {
            record.note("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.note("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Unfit(cause) => {
            record.note(&format!("verdict: could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
