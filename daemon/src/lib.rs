//! The lavendergauge daemon: entries on entry VMs, agents beside targets.

pub mod agent;
pub mod agent_service;
pub mod agent_task;
pub mod clock;
pub mod config;
pub mod duty;
pub mod embedded;
pub mod entry;
pub mod entry_control;
pub mod entry_service;
pub mod launch;
pub mod logs;
pub mod member;
pub mod problem;
pub mod runtime;
pub mod settings;
pub mod settings_file;
pub mod settings_key;
pub mod store;
mod store_gateway;
mod store_read;
mod store_sure;
pub mod store_watch;
pub mod tour;
