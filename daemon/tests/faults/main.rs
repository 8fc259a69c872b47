//! Faults of whole clusters, in one binary so that scenarios wait beside each other.

mod duty_succession;
mod gang_faults;
mod gang_wires;
mod history_seeds;
mod job_durable;
mod matrix_store;
mod process_roles;
mod reclaim_faults;
