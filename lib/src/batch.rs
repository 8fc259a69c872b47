//! Batch jobs: jobs of steps whose tasks run on workers under leases.
//!
//! The planner's tables of batch jobs and the systems over them. Reports of agents and answers to
//! orders come in as values, and typed actions go out. What must outlive the planner is a
//! [`progress::Progress`] a job: every run is recorded there before its start order leaves, and
//! every end before its worker may forget it.

pub mod advice;
pub mod assign;
pub mod dispatch;
pub mod health;
pub mod job;
pub mod load;
pub mod note;
pub mod observe;
pub mod order;
pub mod pace;
pub mod place;
pub mod preempt;
pub mod progress;
pub mod rank;
pub mod room;
pub mod site;
pub mod table;
pub mod tick;
pub mod watch;
pub mod wave;
