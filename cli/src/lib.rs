//! The lavendergauge command-line tool, which talks to any entry.

pub mod api;
pub mod commands;
pub mod error;
