//! Tables, systems and decisions of the lavendergauge scheduler.
//!
//! This crate does no I/O, does not read a clock and does not print: a system takes the time and
//! its events as values and returns typed actions, so that every decision can be replayed from
//! its inputs.

// Batch jobs.
pub mod batch;

// Placement.
mod allocation;
mod backlog;
mod claim;
mod compact;
mod configure;
mod decision;
mod drain;
pub mod estimate;
mod evacuate;
pub mod explain;
pub mod fair;
pub mod fragmentation;
pub mod guarantee;
mod guarantee_plan;
mod pack;
mod place;
mod planner_job;
pub mod probation;
mod reclaim;
mod registration;
pub mod resource;
mod search;
pub mod set;
mod site;
mod usage;

// Requests, gangs, the store, and shared types.
pub mod backoff;
pub mod budget;
pub mod clock;
pub mod fleet;
pub mod gang;
mod gang_gate;
pub mod gang_lease;
mod gang_member;
pub mod gang_watch;
mod gang_watch_state;
pub mod key;
pub mod launch;
mod launch_state;
pub mod lifecycle;
pub mod limit;
pub mod liveness;
mod liveness_state;
pub mod name;
pub mod outlier;
pub mod permit;
pub mod planner;
pub mod questionnaire;
pub mod queue;
pub mod request;
pub mod retry;
pub mod route;
pub mod shape;
pub mod table;
pub mod writer;
