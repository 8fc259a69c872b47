//! The lavendergauge command-line tool, which talks to any entry.

pub mod api;
pub mod change;
pub mod commands;
pub mod context;
pub mod difference;
pub mod error;
pub mod questions;
pub mod report;
pub mod secret;
pub mod trace;
