//! The lavendergauge command-line tool.

use std::process::ExitCode;

use lavendergauge_cli::commands;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    match commands::run(&matches, |line| eprintln!("{line}")).await {
        Ok(report) => {
            print!("{}", report.render(commands::format(&matches)));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code)
        }
    }
}
