//! What every command is given: the entry, and how it shows that it waits.

use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use lavendergauge_net::client::Client;
use tokio::time;

use crate::api::Api;
use crate::error;
use crate::error::Error;

/// Pause between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// What every command is given.
#[derive(Clone, Debug)]
pub struct Context {
    /// The entry's administration API.
    pub api: Api,
    /// Address that callers' requests go to.
    pub service: String,
    /// Client of entries, with TLS when an authority is named.
    pub client: Client,
    /// Access key; empty for none.
    pub key: String,
    /// Shows a line about what is waited for.
    pub progress: fn(&str),
}

impl Context {
    /// Looks again and again until `look` has an answer; its other lines are shown as they change.
    ///
    /// # Errors
    /// What `look` fails with, or that the limit has passed.
    pub async fn wait<T>(
        &self,
        limit: Duration,
        mut look: impl AsyncFnMut() -> Result<Wait<T>, Error>,
    ) -> Result<T, Error> {
        let begun = Instant::now();
        let mut shown = String::new();
        loop {
            let line = match look().await? {
                Wait::Over(answer) => return Ok(answer),
                Wait::Still(line) => line,
            };
            if limit <= begun.elapsed() {
                let text = format!("not within {} s: {line}", limit.as_secs());
                return Err(Error::coded(error::LATE, text, "wait longer with --timeout-s"));
            }
            if line != shown {
                (self.progress)(&line);
                shown = line;
            }
            time::sleep(LOOK_EVERY).await;
        }
    }
}

/// What one look at something that is waited for has shown.
#[derive(Clone, Debug)]
pub enum Wait<T> {
    /// It has come.
    Over(T),
    /// It has not; this is how far it is.
    Still(String),
}

/// Returns an argument's text; empty when it is not given.
///
/// ```
/// let matches = clap::Command::new("x").arg(clap::Arg::new("name")).get_matches_from(["x", "a"]);
/// assert_eq!(lavendergauge_cli::context::text(&matches, "name"), "a");
/// ```
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns every text of an argument that may be given again.
pub fn texts(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches.get_many::<String>(name).into_iter().flatten().cloned().collect()
}

/// Returns an argument's number, or the default.
pub fn number<T: Copy + Send + Sync + 'static>(matches: &ArgMatches, name: &str, default: T) -> T {
    matches.get_one::<T>(name).copied().unwrap_or(default)
}
