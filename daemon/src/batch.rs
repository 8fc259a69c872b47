//! Batch jobs on the platform: entries that accept jobs and plan, and agents on the workers' VMs.
//!
//! State that must survive a restart is kept in the platform's store; see docs/design/platform.md.

pub mod admission;
pub mod advise;
pub mod agent;
pub mod agent_claim;
pub mod agent_heartbeat;
pub mod agent_order;
pub mod agent_register;
pub mod agent_state;
pub mod agent_worker;
pub mod arrival;
pub mod chain;
pub mod config_view;
pub mod entry;
pub mod event_log;
pub mod explain;
pub mod follow;
pub mod forward;
pub mod in_doubt;
pub mod ingress;
pub mod keys;
pub mod leader;
pub mod learned;
pub mod maintenance;
pub mod message;
pub mod peer;
pub mod planner;
pub mod query;
pub mod reception;
pub mod record_codec;
pub mod record_reader;
pub mod record_writer;
pub mod refusal;
pub mod roster;
