//! A randomized soak test of batch jobs: real daemon processes on loopback, faults injected from
//! outside them, and a judge that checks what callers and workers see.
//!
//! The load and the faults are drawn from a seed. The interleaving of the processes is not, so a
//! seed that failed once may pass the next time.

pub mod fault;
pub mod fleet;
pub mod judge;
pub mod link;
pub mod load;
pub mod process;
pub mod report;
pub mod run;
