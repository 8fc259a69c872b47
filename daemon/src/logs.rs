//! Log lines: one line of `key=value` pairs for each event, on standard output.
//!
//! The rate of lines is limited, since a VM without a disk has only standard output to log to.
//! Every event is counted in the metrics, even when its line is dropped.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fern::Output;
use lavendergauge_lib::limit::Bucket;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

use crate::clock;
use crate::telemetry;

/// Size of the largest burst: as many lines as the rate allows in this time, in seconds.
const BURST_S: u64 = 2;

/// A value in a log line, displayed in quotes if it is empty or holds a blank, `"`, `=`, `\` or a
/// character that is not printable ASCII.
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
        let needs_no_quotes =
            |letter: char| letter.is_ascii_graphic() && !matches!(letter, '"' | '=' | '\\');
        if !self.0.is_empty() && self.0.chars().all(needs_no_quotes) {
            return f.write_str(self.0);
        }
        write!(f, "{:?}", self.0)
    }
}

/// Capacity of the queue of lines to be written. A line is dropped and counted when the queue is
/// full, since a decision must not wait for a slow reader of standard output.
const MAX_QUEUED_LINES: usize = 2048;
/// Longest line, in bytes; the rest is cut.
pub const MAX_LINE_BYTES: usize = 4 << 10;
/// Interval at which a process that ends checks whether its lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of the thread that writes lines; the thread starts with the first line.
static WRITER: LazyLock<Writer> = LazyLock::new(Writer::start);

/// Queues lines for a thread that writes them to standard output.
struct Writer {
    queue: SyncSender<String>,
    /// Number of lines that are queued or being written.
    pending: Arc<AtomicU64>,
    /// Number of lines dropped since the last report of dropped lines.
    dropped: Arc<AtomicU64>,
}

impl Writer {
    fn start() -> Self {
        let (queue, lines) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
        let (pending, dropped) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (pending_count, dropped_count) = (pending.clone(), dropped.clone());
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in lines {
                let mut out = io::stdout().lock();
                let count = dropped_count.swap(0, Ordering::Relaxed);
                // Write errors are ignored: there is no other output to report them on.
                if count != 0 {
                    let _ = writeln!(out, "event=lines-dropped lines={count} cause=\"queue full\"");
                }
                let _ = writeln!(out, "{line}");
                pending_count.fetch_sub(1, Ordering::Relaxed);
            }
        });
        if let Err(error) = spawned {
            eprintln!("cannot start the thread that writes log lines: {error}");
        }
        Writer { queue, pending, dropped }
    }

    fn push(&self, line: String) {
        self.pending.fetch_add(1, Ordering::Relaxed);
        if self.queue.try_send(line).is_err() {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until all queued lines are written, but no longer than `limit`.
pub fn flush(limit: Duration) {
    let started = Instant::now();
    while WRITER.pending.load(Ordering::Relaxed) != 0 && started.elapsed() < limit {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// A logger that drops lines beyond a rate, and logs the number of dropped lines before the next
/// line that it lets through.
pub struct RateLimiter {
    inner: Box<dyn Log>,
    state: Mutex<State>,
}

/// Token bucket of the rate, and the number of lines dropped since the last line let through.
struct State {
    bucket: Bucket,
    dropped: u64,
}

impl RateLimiter {
    /// Wraps a logger, so that it gets at most `lines_per_s` lines a second besides bursts.
    pub fn new(inner: Box<dyn Log>, lines_per_s: u64) -> Self {
        let bucket = Bucket::new(clock::now(), lines_per_s * BURST_S, lines_per_s);
        RateLimiter { inner, state: Mutex::new(State { bucket, dropped: 0 }) }
    }

    /// Returns how many lines were dropped since the last admitted one; `None` when this line is
    /// dropped too.
    fn admit(&self) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bucket.take(clock::now()) {
            return Some(std::mem::take(&mut state.dropped));
        }
        state.dropped += 1;
        None
    }
}

impl Log for RateLimiter {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let message = record.args().to_string();
        telemetry::count_event(event_name(&message));
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

/// Returns the event name of a line, or `other` for a line that does not start with `event=`.
fn event_name(message: &str) -> &str {
    let rest = message.strip_prefix("event=").unwrap_or("other");
    rest.split(' ').next().unwrap_or(rest)
}

/// Cuts a line to [`MAX_LINE_BYTES`]; callers choose the length of what is quoted in it.
///
/// ```
/// use lavendergauge_daemon::logs;
/// assert_eq!(logs::shorten("event=call".to_owned()), "event=call");
/// assert!(logs::shorten("é".repeat(5000)).len() <= logs::MAX_LINE_BYTES);
/// ```
pub fn shorten(mut line: String) -> String {
    if MAX_LINE_BYTES < line.len() {
        line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
        line.shrink_to_fit();
    }
    line
}

/// Changes the level of the log while the process runs.
///
/// Lines that the level given to [`start`] leaves out stay off: this can only make the log less
/// verbose than at start, or set it back.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Starts logging to standard output: lines of this daemon and its network crate from `level`
/// upwards, lines of other crates from warnings upwards, and at most `lines_per_s` lines a second.
///
/// Does nothing when a logger is already set.
pub fn start(level: LevelFilter, lines_per_s: u64) {
    let (max_level, inner) = fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time_ms={} level={level} {message}", clock::wall_ms()));
        })
        .level(LevelFilter::Warn)
        .level_for("lavendergauge_daemon", level)
        .level_for("lavendergauge_net", level)
        .chain(Output::call(|record| WRITER.push(shorten(record.args().to_string()))))
        .into_log();
    if log::set_boxed_logger(Box::new(RateLimiter::new(inner, lines_per_s))).is_ok() {
        log::set_max_level(max_level);
    }
}
