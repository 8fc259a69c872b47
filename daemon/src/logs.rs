//! Log lines: one line of key=value pairs for each event, on standard output.
//!
//! Lines are bounded in their rate, since standard output is all there is on a VM without a disk.
//! Every event is counted in the metrics, also when its line is dropped.

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

/// Lines that wait to be written; a line that finds no place is dropped and counted, since a
/// decision must not wait for whoever reads standard output.
const WAITING_LINES: usize = 2048;
/// Interval at which a process that ends looks whether its lines are written.
const DRAIN_LOOK: Duration = Duration::from_millis(5);

/// The thread that writes lines, started with the first of them.
static WRITER: LazyLock<Writer> = LazyLock::new(Writer::start);

/// Writes lines on a thread of its own.
struct Writer {
    lines: SyncSender<String>,
    waiting: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    fn start() -> Self {
        let (lines, queue) = mpsc::sync_channel::<String>(WAITING_LINES);
        let (waiting, dropped) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (done, lost) = (waiting.clone(), dropped.clone());
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in queue {
                let mut out = io::stdout().lock();
                let lost = lost.swap(0, Ordering::Relaxed);
                // Nothing can be said about a standard output that does not take lines.
                if lost != 0 {
                    let _ = writeln!(out, "event=lines-dropped lines={lost} cause=\"queue full\"");
                }
                let _ = writeln!(out, "{line}");
                done.fetch_sub(1, Ordering::Relaxed);
            }
        });
        if let Err(error) = spawned {
            eprintln!("cannot start the thread that writes log lines: {error}");
        }
        Writer { lines, waiting, dropped }
    }

    fn push(&self, line: String) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until the lines so far are written, for `most` at the longest.
pub fn drain(most: Duration) {
    let begun = Instant::now();
    while WRITER.waiting.load(Ordering::Relaxed) != 0 && begun.elapsed() < most {
        thread::sleep(DRAIN_LOOK);
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
        .chain(Output::call(|record| WRITER.push(record.args().to_string())))
        .into_log();
    if log::set_boxed_logger(Box::new(Bounded::new(inner, lines_per_s))).is_ok() {
        log::set_max_level(most);
    }
}
