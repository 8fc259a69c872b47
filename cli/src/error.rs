//! What goes wrong at the command line, as a person reads it.

use std::fmt;

use lavendergauge_derive::value;

/// An error with what to do about it.
#[value]
pub struct Error {
    /// What went wrong.
    pub text: String,
    /// What to do; empty for no advice.
    pub hint: String,
    /// Exit code of the process.
    pub code: u8,
}

/// Exit code when an entry refuses, or a file is wrong.
pub const REFUSED: u8 = 1;
/// Exit code when no entry can be reached.
pub const UNREACHABLE: u8 = 3;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error: {}", self.text)?;
        if !self.hint.is_empty() {
            write!(f, "\nHint: {}", self.hint)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
