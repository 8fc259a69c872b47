//! The lavendergauge command-line tool.

use std::process::ExitCode;

use lavendergauge_cli::commands;

#[tokio::main]
async fn main() -> ExitCode {
    match commands::run(&commands::command().get_matches()).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code)
        }
    }
}
