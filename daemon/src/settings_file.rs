//! Reads an INI file, keeps the line number of each key, and checks the keys against the table of
//! keys.

use std::fmt;

use ini::Ini;
use lavendergauge_derive::value;

use crate::settings_key;
use crate::settings_key::Audience;
use crate::settings_key::KEYS;
use crate::settings_key::Key;

/// A fault in a settings file.
#[value]
pub struct Fault {
    /// Line number in the file, counted from 1; 0 when the fault belongs to no line.
    pub line: usize,
    /// Section of the fault; empty when it is outside any section.
    pub section: String,
    /// Key of the fault; empty when it is not about a key.
    pub key: String,
    /// What is wrong, as the predicate of a sentence about the line or key, e.g. `is missing`.
    pub text: String,
    /// What would be valid instead; empty when there is nothing to add.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(" ")?,
            line => write!(f, "{line}: ")?,
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{} ", self.key)?;
        }
        f.write_str(&self.text)?;
        if !self.expected.is_empty() {
            write!(f, "; expected: {}", self.expected)?;
        }
        Ok(())
    }
}

/// A key that a file sets, with its line number and its value.
#[value]
struct Entry {
    line: usize,
    section: String,
    key: String,
    value: String,
}

/// The keys of one file, and the faults found in it.
#[value]
pub struct File {
    entries: Vec<Entry>,
    /// Line number and name of each section heading.
    sections: Vec<(usize, String)>,
    /// Every fault found so far.
    pub faults: Vec<Fault>,
}

/// Reads the text of an INI file; a line that cannot be read becomes a fault.
///
/// ```
/// use lavendergauge_daemon::settings_file;
/// let file = settings_file::read("[process]\nrole = entry\n");
/// assert_eq!(file.value("process", "role"), Some("entry"));
/// ```
pub fn read(text: &str) -> File {
    let mut file = File { entries: Vec::new(), sections: Vec::new(), faults: Vec::new() };
    let lines: Vec<&str> = text.lines().collect();
    let mut readable = lines.clone();
    for (index, line) in readable.iter_mut().enumerate() {
        if !is_readable(line.trim()) {
            file.faults.push(syntax_fault(index + 1, "is not a valid INI line"));
            *line = "";
        }
    }
    match Ini::load_from_str(&readable.join("\n")) {
        Ok(ini) => file.load(&ini, &readable),
        Err(error) => file.faults.push(syntax_fault(error.line, &error.msg)),
    }
    file
}

/// Tells whether a line is complete by itself: empty, a comment, a section heading or a key with a
/// value. For other lines the INI library would read on into the next line.
fn is_readable(line: &str) -> bool {
    match line.chars().next() {
        None | Some('#' | ';') => true,
        Some('[') => line.ends_with(']'),
        Some('=' | ':') => false,
        Some(_) => line.contains(['=', ':']),
    }
}

fn syntax_fault(line: usize, text: &str) -> Fault {
    Fault {
        line,
        section: String::new(),
        key: String::new(),
        text: text.to_owned(),
        expected: "`[section]`, `key = value` or a comment after `#`".to_owned(),
    }
}

impl File {
    /// Adds the keys that the INI library read, each with its line number, which the library does not
    /// report.
    fn load(&mut self, ini: &Ini, lines: &[&str]) {
        let mut section = String::new();
        let mut key_lines = Vec::new();
        for (index, line) in lines.iter().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[') {
                section = name.split(']').next().unwrap_or_default().trim().to_owned();
                self.sections.push((index + 1, section.clone()));
            } else if let Some(end) = line.find(['=', ':'])
                && !line.starts_with(['#', ';'])
            {
                key_lines.push((index + 1, section.clone(), line[..end].trim().to_owned()));
            }
        }
        for (section, properties) in ini {
            for (key, value) in properties {
                let section = section.unwrap_or_default();
                let key_index = key_lines.iter().position(|(_, s, k)| s == section && k == key);
                let line = key_index.map_or(0, |key_index| key_lines.remove(key_index).0);
                let (section, key) = (section.to_owned(), key.to_owned());
                self.entries.push(Entry { line, section, key, value: value.trim().to_owned() });
            }
        }
        self.entries.sort_by_key(|entry| entry.line);
    }

    /// Returns the value of a key, if the file sets it and the value is not empty.
    pub fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.find(section, key).map(|entry| entry.value.as_str())
    }

    fn find(&self, section: &str, key: &str) -> Option<&Entry> {
        self.entries
            .iter()
            .find(|entry| entry.section == section && entry.key == key && !entry.value.is_empty())
    }

    /// Checks the file against the table of keys and adds the faults found.
    ///
    /// `role` is the role of the process; `None` when the file names no valid role, so that only keys
    /// of all roles are required.
    pub fn check(&mut self, role: Option<Audience>) {
        self.check_sections();
        let mut faults = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let earlier = self.entries[..index]
                .iter()
                .find(|other| other.section == entry.section && other.key == entry.key);
            if let Some(first) = earlier {
                faults.push(entry.fault(format!("is already set on line {}", first.line), ""));
            }
            let is_section_known = KEYS.iter().any(|key| key.section == entry.section);
            match settings_key::find(&entry.section, &entry.key) {
                None if is_section_known => {
                    faults.push(entry.fault("is not a known key", &expected_keys(&entry.section)));
                }
                None => {}
                Some(key) => faults.extend(entry.check(key, role)),
            }
        }
        self.faults.append(&mut faults);
        self.check_missing(role);
    }

    fn check_sections(&mut self) {
        for (line, section) in &self.sections {
            if KEYS.iter().any(|key| key.section == *section) {
                continue;
            }
            self.faults.push(Fault {
                line: *line,
                section: section.clone(),
                key: String::new(),
                text: "is not a known section".to_owned(),
                expected: format!("one of {}", section_names().join(", ")),
            });
        }
        for entry in self.entries.iter().filter(|entry| entry.section.is_empty()) {
            self.faults.push(entry.fault("is before any section", "a line such as `[process]`"));
        }
    }

    fn check_missing(&mut self, role: Option<Audience>) {
        let is_read = |key: &Key| match role {
            Some(role) => key.audience.covers(role),
            None => key.audience == Audience::Any,
        };
        for key in KEYS.iter().filter(|key| key.default.is_none() && is_read(key)) {
            if self.find(key.section, key.name).is_some() {
                continue;
            }
            let empty = self.entries.iter().find(|e| e.section == key.section && e.key == key.name);
            let section = self.sections.iter().find(|(_, name)| name == key.section);
            self.faults.push(Fault {
                line: empty.map(|entry| entry.line).or(section.map(|found| found.0)).unwrap_or(0),
                section: key.section.to_owned(),
                key: key.name.to_owned(),
                text: "is missing".to_owned(),
                expected: format!("{}: {}", key.kind.expected(), key.description),
            });
        }
    }

    /// Adds a fault about a key, with the key's line if the file sets it.
    pub fn fault(&mut self, section: &str, key: &str, text: &str, expected: &str) {
        let line = self.find(section, key).map_or(0, |entry| entry.line);
        self.faults.push(Fault {
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            text: text.to_owned(),
            expected: expected.to_owned(),
        });
    }
}

impl Entry {
    fn fault(&self, text: impl Into<String>, expected: &str) -> Fault {
        Fault {
            line: self.line,
            section: self.section.clone(),
            key: self.key.clone(),
            text: text.into(),
            expected: expected.to_owned(),
        }
    }

    fn check(&self, key: &Key, role: Option<Audience>) -> Option<Fault> {
        let is_unread = role.is_some_and(|role| !key.audience.covers(role));
        if is_unread {
            let text = format!("is not read by this role, but by {:?}", key.audience);
            return Some(self.fault(text.to_lowercase(), "remove it"));
        }
        if self.value.is_empty() || key.kind.allows(&self.value) {
            return None;
        }
        // A secret must not appear on a terminal or in a log, even if it is not valid.
        let is_secret = key.kind == settings_key::Kind::Secret;
        let shown = if is_secret { "the value".to_owned() } else { format!("`{}`", self.value) };
        Some(self.fault(format!("cannot be {shown}"), &key.kind.expected()))
    }
}

fn section_names() -> Vec<&'static str> {
    let mut names: Vec<&str> = KEYS.iter().map(|key| key.section).collect();
    names.dedup();
    names
}

fn expected_keys(section: &str) -> String {
    let names: Vec<&str> =
        KEYS.iter().filter(|key| key.section == section).map(|key| key.name).collect();
    format!("one of {}", names.join(", "))
}
