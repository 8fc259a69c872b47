//! Test support: simulated processes that can be killed and paused, clusters of them that run
//! against stand-ins of the platform, histories of events with a checker, and TLS certificates.

pub mod certificate;
pub mod check;
pub mod cluster;
pub mod history;
pub mod process;
pub mod relays;
