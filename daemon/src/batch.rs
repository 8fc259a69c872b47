//! Batch jobs on the platform: entries that take them and plan, agents beside their workers.
//!
//! What must last lies in the platform's store; see docs/design/platform.md.

pub mod advise;
pub mod agent;
pub mod agent_order;
pub mod agent_worker;
pub mod doubt;
pub mod entry;
pub mod follow;
pub mod forward;
pub mod ingress;
pub mod keeper;
pub mod keys;
pub mod lead;
pub mod message;
pub mod peer;
pub mod planner;
pub mod refusal;
pub mod roster;
pub mod upkeep;
pub mod view;
