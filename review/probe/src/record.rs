//! The record of a case: what was sent, answered and run, each line with its time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A record that is written line by line.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record's file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("a writable record");
        Record { started_at: Instant::now(), file: Mutex::new(file) }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("a lock");
        writeln!(file, "{:8.3} {text}", self.seconds()).expect("a writable record");
    }
}
