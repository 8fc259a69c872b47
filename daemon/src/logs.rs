//! Log lines: one line of key=value pairs for each event, on standard output.

use std::io;

use log::LevelFilter;

use crate::clock;

/// Sends log lines of at least a level to standard output.
///
/// Does nothing when a logger is already set.
pub fn start(level: LevelFilter) {
    let _ = fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time_ms={} level={level} {message}", clock::wall_ms()));
        })
        .level(LevelFilter::Warn)
        .level_for("lavendergauge_daemon", level)
        .level_for("lavendergauge_net", level)
        .chain(io::stdout())
        .apply();
}
