//! Collects the lines about one job or request from the logs of many processes.

use lavendergauge_derive::value;
use serde::Serialize;

/// Shortest time between two lines that the text shows as a gap, in milliseconds.
const MIN_GAP_MS: u64 = 1000;

/// One log line of a trace.
#[value]
#[derive(Serialize)]
pub struct Line {
    /// Time at which it was written, in Unix milliseconds.
    pub time_ms: u64,
    /// Process that wrote it: the last word before `time_ms=`, or the name of the log without such
    /// a word.
    pub source: String,
    /// Name of the logged event.
    pub event: String,
    /// The other fields as logged, without the level.
    pub fields: String,
}

/// The log lines that mention one identifier, ordered by time.
#[value]
#[derive(Serialize)]
pub struct Trace {
    /// Identifier of the job or request.
    pub id: String,
    /// Lines, the oldest first.
    pub lines: Vec<Line>,
}

/// Collects the lines that mention an identifier from logs, which are pairs of name and text.
///
/// ```
/// use lavendergauge_cli::trace;
/// let log = "time_ms=5 level=info event=placed task=ab.0.0.1 run=1\n\
///            time_ms=6 level=info event=placed task=cd.0.0.1 run=1\n";
/// let trace = trace::collect("ab", &[("entry-1".to_owned(), log.to_owned())]);
/// assert_eq!(trace.lines.len(), 1);
/// assert_eq!(trace.lines[0].event, "placed");
/// ```
pub fn collect(id: &str, logs: &[(String, String)]) -> Trace {
    let mut lines: Vec<Line> = logs
        .iter()
        .flat_map(|(name, text)| text.lines().filter_map(|line| parse_line(id, name, line)))
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    Trace { id: id.to_owned(), lines }
}

/// Parses a line; `None` when it does not mention the identifier or is no log line.
fn parse_line(id: &str, name: &str, line: &str) -> Option<Line> {
    let begin = line.find("time_ms=")?;
    let (before, line) = line.split_at(begin);
    if !mentions(line, id) {
        return None;
    }
    let mut words = line.split(' ');
    let time_ms = words.next()?.strip_prefix("time_ms=")?.parse().ok()?;
    let rest: Vec<&str> = words.filter(|word| !word.starts_with("level=")).collect();
    let event = rest.first()?.strip_prefix("event=")?.to_owned();
    let source = match before.split_whitespace().last() {
        Some(process) => process.to_owned(),
        None => name.to_owned(),
    };
    Some(Line { time_ms, source, event, fields: rest[1..].join(" ") })
}

/// Tells whether a line contains an identifier as a whole word: `ab` is in `task=ab.0.0.1`, but not
/// in `abc`.
fn mentions(line: &str, id: &str) -> bool {
    let is_word_char =
        |character: char| character.is_ascii_alphanumeric() || character == '-' || character == '_';
    line.match_indices(id).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let after = line[at + id.len()..].chars().next();
        !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
    })
}

impl Trace {
    /// Returns the lines with the time since the first one, and marks every gap of at least a
    /// second.
    pub fn render(&self) -> String {
        let Some(first) = self.lines.first() else {
            return format!("no log line mentions {}\n", self.id);
        };
        let mut text =
            format!("{}: {} lines from {} ms\n", self.id, self.lines.len(), first.time_ms);
        let mut last_ms = first.time_ms;
        for line in &self.lines {
            let gap_ms = line.time_ms.saturating_sub(last_ms);
            if MIN_GAP_MS <= gap_ms {
                text.push_str(&format!("            ... nothing for {gap_ms} ms\n"));
            }
            last_ms = line.time_ms;
            let since_ms = line.time_ms - first.time_ms;
            let Line { source, event, fields, .. } = line;
            text.push_str(&format!("+{since_ms:>8} ms  {source:<20} {event:<16} {fields}\n"));
        }
        text
    }
}
