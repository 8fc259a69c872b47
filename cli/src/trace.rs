//! The story of one job or request, from the log lines of many processes.

use lavendergauge_derive::value;
use serde::Serialize;

/// Silence in a story that is named, in milliseconds.
const GAP_MS: u64 = 1000;

/// One line of a story.
#[value]
#[derive(Serialize)]
pub struct Line {
    /// When it was written, in Unix milliseconds.
    pub time_ms: u64,
    /// The process that wrote it: what stands before the line, or the file's name.
    pub source: String,
    /// What happened.
    pub event: String,
    /// The other fields, as they were written.
    pub fields: String,
}

/// The lines that speak of one identifier, in order.
#[value]
#[derive(Serialize)]
pub struct Story {
    /// The identifier.
    pub id: String,
    /// The lines.
    pub lines: Vec<Line>,
}

/// Picks the lines that speak of an identifier out of some logs, each with its name.
///
/// ```
/// use lavendergauge_cli::trace;
/// let log = "time_ms=5 level=info event=placed task=ab.0.0.1 run=1\n\
///            time_ms=6 level=info event=placed task=cd.0.0.1 run=1\n";
/// let story = trace::story("ab", &[("entry-1".to_owned(), log.to_owned())]);
/// assert_eq!(story.lines.len(), 1);
/// assert_eq!(story.lines[0].event, "placed");
/// ```
pub fn story(id: &str, logs: &[(String, String)]) -> Story {
    let mut lines: Vec<Line> = logs
        .iter()
        .flat_map(|(name, text)| text.lines().filter_map(|line| read(id, name, line)))
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    Story { id: id.to_owned(), lines }
}

/// Reads a line if it speaks of an identifier.
fn read(id: &str, name: &str, line: &str) -> Option<Line> {
    let begin = line.find("time_ms=")?;
    let (before, line) = line.split_at(begin);
    if !names(line, id) {
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

/// Tells whether an identifier stands in a line as a whole: `ab` in `task=ab.0.0.1`, not in `abc`.
fn names(line: &str, id: &str) -> bool {
    let part = |letter: char| letter.is_ascii_alphanumeric() || letter == '-' || letter == '_';
    line.match_indices(id).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let after = line[at + id.len()..].chars().next();
        !before.is_some_and(part) && !after.is_some_and(part)
    })
}

impl Story {
    /// Writes the story with the time since its first line, and names each long silence.
    pub fn text(&self) -> String {
        let Some(first) = self.lines.first() else {
            return format!("no line speaks of {}\n", self.id);
        };
        let mut text =
            format!("{}: {} lines from {} ms\n", self.id, self.lines.len(), first.time_ms);
        let mut last = first.time_ms;
        for line in &self.lines {
            let silence = line.time_ms.saturating_sub(last);
            if GAP_MS <= silence {
                text.push_str(&format!("            ... nothing for {silence} ms\n"));
            }
            last = line.time_ms;
            let since = line.time_ms - first.time_ms;
            let Line { source, event, fields, .. } = line;
            text.push_str(&format!("+{since:>8} ms  {source:<20} {event:<16} {fields}\n"));
        }
        text
    }
}
