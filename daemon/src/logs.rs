//! Log lines: one line of key=value pairs for each event, on standard output.
//!
//! Lines are bounded in their rate, since standard output is all there is on a VM without a disk.
//! Every event is counted in the metrics, also when its line is dropped.

use std::fmt;
use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;

use lavendergauge_lib::limit::Bucket;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

use crate::clock;
use crate::telemetry;

/// Burst of lines that passes beyond the rate, in seconds of the rate.
const BURST_S: u64 = 2;

/// A value in a log line, in quotes when it would not stand alone otherwise.
///
/// ```
/// use lavendergauge_daemon::logs::Value;
/// assert_eq!(format!("cause={}", Value("no answer")), "cause=\"no answer\"");
/// assert_eq!(format!("job={}", Value("brno~7")), "job=brno~7");
/// assert_eq!(Value("say \"no\"\n").to_string(), r#""say \"no\"\n""#);
/// ```
pub struct Value<'a>(pub &'a str);

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bare = |letter: char| letter.is_ascii_graphic() && !matches!(letter, '"' | '=' | '\\');
        if !self.0.is_empty() && self.0.chars().all(bare) {
            return f.write_str(self.0);
        }
        write!(f, "{:?}", self.0)
    }
}

/// A logger that drops lines beyond a rate and says with the next one how many.
pub struct Bounded {
    inner: Box<dyn Log>,
    state: Mutex<State>,
}

struct State {
    bucket: Bucket,
    dropped: u64,
}

impl Bounded {
    /// Puts a bound before a logger, in lines a second.
    pub fn new(inner: Box<dyn Log>, lines_per_s: u64) -> Self {
        let bucket = Bucket::new(clock::now(), lines_per_s * BURST_S, lines_per_s);
        Bounded { inner, state: Mutex::new(State { bucket, dropped: 0 }) }
    }

    /// Tells how many lines were dropped before this one; `None` when this one is dropped too.
    fn admit(&self) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bucket.take(clock::now()) {
            return Some(std::mem::take(&mut state.dropped));
        }
        state.dropped += 1;
        None
    }
}

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let message = record.args().to_string();
        telemetry::count_event(event(&message));
        let Some(dropped) = self.admit() else { return };
        if dropped != 0 {
            let metadata = record.metadata().clone();
            self.inner.log(
                &Record::builder()
                    .metadata(metadata)
                    .args(format_args!("event=lines-dropped lines={dropped}"))
                    .build(),
            );
        }
        self.inner.log(record);
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Returns the name of a line's event.
fn event(message: &str) -> &str {
    let rest = message.strip_prefix("event=").unwrap_or("other");
    rest.split(' ').next().unwrap_or(rest)
}

/// Changes the least level of the lines that are written, where they are of that level or above
/// the one that the process was started with.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Sends log lines of at least a level to standard output, at most so many a second.
///
/// Does nothing when a logger is already set.
pub fn start(level: LevelFilter, lines_per_s: u64) {
    let (most, inner) = fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time_ms={} level={level} {message}", clock::wall_ms()));
        })
        .level(LevelFilter::Warn)
        .level_for("lavendergauge_daemon", level)
        .level_for("lavendergauge_net", level)
        .chain(io::stdout())
        .into_log();
    if log::set_boxed_logger(Box::new(Bounded::new(inner, lines_per_s))).is_ok() {
        log::set_max_level(most);
    }
}
