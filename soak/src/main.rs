//! Runs the soak from the command line.

use std::fmt::Display;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use lavendergauge_derive::value;
use lavendergauge_soak::fault::FleetSize;
use lavendergauge_soak::report;
use lavendergauge_soak::run;
use lavendergauge_soak::run::Options;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Number of threads of the soak itself, which runs the callers, stand-ins and links.
const THREADS: usize = 2;

/// Makes an option that takes a number.
fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(u64).range(0..=1_000_000_000);
    Arg::new(name).long(name).value_name("N").default_value(default).value_parser(parser).help(help)
}

fn command() -> Command {
    let program = Arg::new("program")
        .long("program")
        .value_name("FILE")
        .default_value("target/release/lavendergauged")
        .value_parser(value_parser!(PathBuf))
        .help("Path of the daemon's program");
    let directory = Arg::new("directory")
        .long("directory")
        .value_name("DIR")
        .default_value("target/soak")
        .value_parser(value_parser!(PathBuf))
        .help("Directory for settings, logs and reports, with a subdirectory for each seed");
    Command::new("soak")
        .about("Runs the daemon's processes under faults and checks what callers and workers see")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(program)
        .arg(directory)
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds to run, one after the other"))
        .arg(number("seconds", "25", "Duration of load and faults, in seconds"))
        .arg(number("entries", "3", "Number of entries"))
        .arg(number("workers", "6", "Number of workers, each with an agent"))
        .arg(number("callers", "5", "Callers"))
        .arg(
            Arg::new("again")
                .long("again")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Runs the cases of a file instead, one per line: seed, seconds, entries, workers, callers, cause"),
        )
}

/// Size and seed of one run.
#[value]
#[derive(Copy)]
struct Case {
    seed: u64,
    seconds: u64,
    entries: u64,
    workers: u64,
    callers: u64,
}

/// Parses a case; the words after its numbers describe the cause of its failure and are ignored.
fn parse_case(line: &str) -> Option<Case> {
    let mut words = line.split_whitespace();
    let mut next = || words.next()?.parse().ok();
    Some(Case {
        seed: next()?,
        seconds: next()?,
        entries: next()?,
        workers: next()?,
        callers: next()?,
    })
}

/// Returns the cases of the file that `--again` names, or those that the other options give.
fn parse_cases(matches: &ArgMatches) -> Result<Vec<Case>, String> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    if let Some(path) = matches.get_one::<PathBuf>("again") {
        let text =
            fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let lines = text.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
        return lines
            .map(|line| parse_case(line).ok_or(format!("malformed case: {line}")))
            .collect();
    }
    let first = number("seed");
    let case = |seed| Case {
        seed,
        seconds: number("seconds"),
        entries: number("entries"),
        workers: number("workers"),
        callers: number("callers"),
    };
    Ok((first..first + number("seeds")).map(case).collect())
}

/// Returns the options of a case's run.
fn options(matches: &ArgMatches, case: Case) -> Options {
    let path = |name: &str| matches.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    Options {
        program: path("program"),
        directory: path("directory").join(case.seed.to_string()),
        seed: case.seed,
        length: Duration::from_secs(case.seconds),
        size: FleetSize {
            entries: case.entries.max(1) as usize,
            workers: case.workers.max(1) as usize,
        },
        callers: case.callers as usize,
    }
}

/// Runs a case; returns true when no promise was broken.
fn run_case(runtime: &Runtime, options: &Options) -> Result<bool, String> {
    let with_directory = |error: &dyn Display| format!("{}: {error}", options.directory.display());
    fs::create_dir_all(&options.directory).map_err(|error| with_directory(&error))?;
    let (verdict, seconds) = runtime.block_on(async {
        tokio::select! {
            ended = run::run(options) => ended,
            () = stopped() => Err("stopped by a signal".to_owned()),
        }
    })?;
    println!("{}", report::summary(&verdict));
    for breach in &verdict.breaches {
        println!("  {} ms {:?}: {}", breach.at.0, breach.promise, breach.text);
    }
    report::write(&options.directory, &verdict, &seconds)
        .map_err(|error| with_directory(&error.0))?;
    Ok(verdict.breaches.is_empty())
}

/// Waits until this process is asked to stop; the processes that it started end with it.
async fn stopped() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    let (runtime, cases) = match (runtime, parse_cases(&matches)) {
        (Ok(runtime), Ok(cases)) => (runtime, cases),
        (Err(error), _) => return report_error(&error),
        (_, Err(error)) => return report_error(&error),
    };
    let mut all_held = true;
    for case in cases {
        match run_case(&runtime, &options(&matches, case)) {
            Ok(held) => all_held &= held,
            Err(error) => {
                println!("seed {} failed: {error}", case.seed);
                return ExitCode::FAILURE;
            }
        }
    }
    if all_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints an error and returns the exit code for it.
fn report_error(error: &dyn Display) -> ExitCode {
    eprintln!("Error: {error}");
    ExitCode::FAILURE
}
