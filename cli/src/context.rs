//! Context of a command: clients of the entry, progress output, and access to the arguments.

use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use lavendergauge_net::client::Client;
use tokio::time;

use crate::api::Api;
use crate::error;
use crate::error::Error;

/// Interval at which a wait polls.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// What every command needs to call an entry and to show its progress.
#[derive(Clone, Debug)]
pub struct Context {
    /// The entry's administration API.
    pub api: Api,
    /// Service address of the entry, which takes requests to targets.
    pub service_address: String,
    /// HTTP client for entries, with TLS when an authority is given.
    pub client: Client,
    /// Access key; empty for none.
    pub key: String,
    /// Shows a line about the state of something that the command waits for.
    pub progress: fn(&str),
}

impl Context {
    /// Calls `poll` at an interval until it is ready, and shows its progress line when that
    /// changes.
    ///
    /// # Errors
    /// The error of `poll`, or [`error::TIMED_OUT`] when `limit` has passed.
    pub async fn wait<T>(
        &self,
        limit: Duration,
        mut poll: impl AsyncFnMut() -> Result<Poll<T>, Error>,
    ) -> Result<T, Error> {
        let started_at = Instant::now();
        let mut shown = String::new();
        loop {
            let line = match poll().await? {
                Poll::Ready(result) => return Ok(result),
                Poll::Pending(line) => line,
            };
            if limit <= started_at.elapsed() {
                let text = format!("timed out after {} s: {line}", limit.as_secs());
                return Err(Error::with_code(
                    error::TIMED_OUT,
                    text,
                    "wait longer with --timeout-s",
                ));
            }
            if line != shown {
                (self.progress)(&line);
                shown = line;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Result of one poll of a [`Context::wait`].
#[derive(Clone, Debug)]
pub enum Poll<T> {
    /// The wait is over, with this result.
    Ready(T),
    /// The wait goes on. The text is one line about the progress.
    Pending(String),
}

/// Returns the text of an argument; empty when it is not given.
///
/// ```
/// let matches = clap::Command::new("x").arg(clap::Arg::new("name")).get_matches_from(["x", "a"]);
/// assert_eq!(lavendergauge_cli::context::text(&matches, "name"), "a");
/// ```
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns every text of an argument that can be repeated.
pub fn texts(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches.get_many::<String>(name).into_iter().flatten().cloned().collect()
}

/// Returns the number of an argument, or `default` when it is not given.
pub fn number<T: Copy + Send + Sync + 'static>(matches: &ArgMatches, name: &str, default: T) -> T {
    matches.get_one::<T>(name).copied().unwrap_or(default)
}
