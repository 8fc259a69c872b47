//! Stand-ins for the platform and a target, for tests and the tour alone.

pub mod http;
pub mod kv;
mod kv_watch;
pub mod relay;
pub mod runtime;
pub mod target;
