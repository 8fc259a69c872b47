//! Library of the `lavendergauge` command-line tool, a client of the entries' APIs.

pub mod access_key;
pub mod api;
pub mod change;
pub mod commands;
pub mod context;
pub mod difference;
pub mod error;
pub mod loss;
pub mod questions;
pub mod report;
pub mod trace;
