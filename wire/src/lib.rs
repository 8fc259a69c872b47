//! Types and codecs of the messages between lavendergauge's processes, and between them and their
//! callers.
//!
//! The types of most modules are generated from the JSON Schemas in `wire/schema/`, and the output
//! is committed; `wire/tests/schema_current.rs` checks that it is current. Those of [`part`] are
//! written by hand.

pub mod codec;
pub mod part;
pub mod strict;

/// Announcements of agents about their workers, and the entries' replies.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/announce.rs"]
pub mod announce;

/// The fleet's state as the administration API shows it.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/api.rs"]
pub mod api;

/// The operators' configuration and the changes to it.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/config.rs"]
pub mod config;

/// The planner's commands to agents about gang members.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/gang.rs"]
pub mod gang;

/// Jobs as callers submit them and as the store keeps them.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/job.rs"]
pub mod job;

/// Problem documents as in RFC 9457.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/problem.rs"]
pub mod problem;

/// Messages between entries and agents about a request.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/request.rs"]
pub mod request;

/// Version of the protocol between lavendergauge's processes.
pub const VERSION: u32 = 1;

/// The JSON Schemas of the administration API's bodies, by module.
pub const SCHEMAS: [(&str, &str); 6] = [
    ("announce", include_str!("../schema/announce.json")),
    ("api", include_str!("../schema/api.json")),
    ("config", include_str!("../schema/config.json")),
    ("job", include_str!("../schema/job.json")),
    ("problem", include_str!("../schema/problem.json")),
    ("request", include_str!("../schema/request.json")),
];
