//! Output of a command: text for people and a JSON value for programs.

use std::fmt::Write;

use lavendergauge_derive::value;
use serde::Serialize;
use serde_json::Value;

/// Output format of a command.
#[value]
#[derive(Copy)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON value for programs.
    Json,
}

/// Output of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Lines for people.
    pub text: String,
    /// JSON value for programs.
    pub value: Value,
}

impl Report {
    /// Makes a report from lines for people and a value for programs.
    ///
    /// ```
    /// use lavendergauge_cli::report::Format;
    /// use lavendergauge_cli::report::Report;
    /// let report = Report::new("revision 3\n", &3);
    /// assert_eq!(report.render(Format::Text), "revision 3\n");
    /// assert_eq!(report.render(Format::Json), "3\n");
    /// ```
    pub fn new(text: impl Into<String>, value: &impl Serialize) -> Self {
        Report { text: text.into(), value: serde_json::to_value(value).unwrap_or_default() }
    }

    /// Returns the report in a format, as it is printed.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Text => self.text.clone(),
            Format::Json => format!("{:#}\n", self.value),
        }
    }
}

/// A table with aligned columns and a heading.
#[value]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes an empty table from the names of its columns.
    ///
    /// ```
    /// use lavendergauge_cli::report::Table;
    /// let mut table = Table::new(&["NAME", "WEIGHT"]);
    /// table.add_row([&"brno", &1]);
    /// assert_eq!(table.render(), "NAME  WEIGHT\nbrno  1\n");
    /// ```
    pub fn new(heading: &[&str]) -> Self {
        Table { rows: vec![heading.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row below the others.
    pub fn add_row<const N: usize>(&mut self, cells: [&dyn ToString; N]) {
        self.rows.push(cells.iter().map(|cell| cell.to_string()).collect());
    }

    /// Returns the lines of the table, or one line that says that there are no rows.
    pub fn render(&self) -> String {
        if self.rows.len() == 1 {
            return "there are none\n".to_owned();
        }
        let widths: Vec<usize> = (0..self.rows[0].len())
            .map(|column| self.rows.iter().map(|row| row[column].chars().count()).max())
            .map(Option::unwrap_or_default)
            .collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}  ");
            }
            let _ = writeln!(text, "{}", line.trim_end());
        }
        text
    }
}

/// Joins names with commas for a cell of a table; `none` stands for an empty list.
///
/// ```
/// use lavendergauge_cli::report;
/// assert_eq!(report::join_names(&["a".to_owned(), "b".to_owned()], "any"), "a,b");
/// assert_eq!(report::join_names(&[], "any"), "any");
/// ```
pub fn join_names(names: &[String], none: &str) -> String {
    if names.is_empty() { none.to_owned() } else { names.join(",") }
}
