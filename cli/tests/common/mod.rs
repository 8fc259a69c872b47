//! A fleet in this process, and the command line as a person uses it.

use std::time::Duration;

use lavendergauge_cli::commands;
use lavendergauge_daemon::embedded;
use lavendergauge_daemon::embedded::Fleet;
use lavendergauge_daemon::embedded::Plan;

/// Bound on what a test waits for.
const LIMIT: Duration = Duration::from_secs(10);

/// Starts a fleet of one data centre with two workers, whose agents have announced themselves.
pub async fn fleet() -> Fleet {
    let plan = Plan { data_centres: vec!["zilina-1".to_owned()], ..Plan::default() };
    let fleet = embedded::start(&plan).await.expect("starts");
    fleet.wait_in_force(0, LIMIT).await.expect("announced");
    fleet
}

/// Runs a command line and returns what a person sees on both outputs, and the exit code.
pub async fn run(fleet: &Fleet, line: &str) -> (u8, String) {
    let entry = fleet.entries[0].control_address.to_string();
    let service = fleet.entries[0].service_address.to_string();
    let mut words = vec!["lavendergauge", "--entry", &entry, "--service", &service];
    words.extend(line.split_whitespace());
    let matches = match commands::command().try_get_matches_from(words) {
        Ok(matches) => matches,
        Err(error) => return (2, error.to_string()),
    };
    match commands::run(&matches, |_| {}).await {
        Ok(report) => (0, report.write(commands::format(&matches))),
        Err(error) => (error.code, format!("{error}\n")),
    }
}

/// Runs a command line and checks all that a person sees.
pub async fn sees(fleet: &Fleet, line: &str, expected: &str) {
    let (_, seen) = run(fleet, line).await;
    assert_eq!(seen, expected, "lavendergauge {line}");
}
