//! Batch jobs: jobs of steps whose tasks run on workers under leases.
//!
//! The planner's tables of batch jobs and the systems that run over them. Agents' reports and
//! answers to orders enter as values, and typed actions leave. State that must survive a change of
//! planner is kept in one [`progress::Progress`] per job: every run is recorded there before its
//! start order is sent, and the end of every run is recorded there before its worker may discard
//! it.

pub mod access;
pub mod admission;
pub mod advice;
pub mod assign;
pub mod backfill;
pub mod change;
pub mod config;
pub mod crash;
pub mod dispatch;
pub mod ending;
pub mod ends;
pub mod epoch;
pub mod event;
pub mod explain;
pub mod gang;
pub mod gate;
pub mod headroom;
pub mod health;
pub mod hold;
pub mod job;
pub mod leadership;
pub mod learned;
pub mod lease;
pub mod membership;
pub mod observe;
pub mod occupancy;
pub mod omission;
pub mod order;
pub mod overdue;
pub mod pace;
pub mod place;
pub mod policy;
pub mod preempt;
pub mod progress;
pub mod quarantine;
pub mod rank;
pub mod records;
pub mod refill;
pub mod removed;
pub mod report;
pub mod reservation;
pub mod run_time;
pub mod share;
pub mod shortage;
pub mod speed;
pub mod strike;
pub mod succession;
pub mod supervise;
pub mod table;
pub mod tick;
pub mod trust;
pub mod wait;
pub mod wave;
