//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("a writable folder");
        Record { started_at: Instant::now(), file: Mutex::new(file) }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().expect("the file");
        let _ = writeln!(file, "{:>4}.{:03} {text}", ms / 1000, ms % 1000);
    }
}
