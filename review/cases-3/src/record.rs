//! The record of a case: one line for everything that was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record, shared by the stand-ins.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { started_at: Instant::now(), file })
    }

    /// Returns the time since the record was created.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line with the time, also to the standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{line}").expect("a writable record");
    }
}
