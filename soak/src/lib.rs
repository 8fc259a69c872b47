//! A randomized soak of batch jobs: the real programs as processes of their own on loopback,
//! faults from outside them, and a judge of what callers and workers see.
//!
//! A seed draws the load and the faults; how processes interleave is not drawn, so that a seed
//! that failed once need not fail again.

pub mod fault;
pub mod fleet;
pub mod judge;
pub mod link;
pub mod load;
pub mod process;
pub mod report;
pub mod run;
