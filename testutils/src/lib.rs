//! Scaffolding for tests: processes that can be killed and paused, clusters of them over the
//! stand-ins, and histories with their checker.

pub mod certificate;
pub mod check;
pub mod cluster;
pub mod history;
pub mod lines;
pub mod process;
