//! Shapes: the resources that a gang needs or that a guarantee covers.

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::name::Name;
use crate::resource::Resources;

/// How close together the members of one shape must be placed, closest first.
#[token]
pub enum Adjacency {
    /// All in one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one data centre.
    DataCentre,
}

/// Resources of one gang: members of equal size, all within one worker, rack or data centre.
///
/// The shape of a guarantee that may be split over workers has members of one accelerator.
#[token]
pub struct Shape {
    /// Number of members, each on one worker.
    pub members: u32,
    /// Accelerators of each member.
    pub accelerators: u32,
    /// Processor cores of each member.
    pub processors: u32,
    /// Memory of each member, in megabytes.
    pub memory_mb: u64,
    /// How close the members must be.
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns the number of accelerators of all members together.
    ///
    /// ```
    /// use lavendergauge_lib::shape::Adjacency;
    /// use lavendergauge_lib::shape::Shape;
    /// let shape = Shape { members: 4, accelerators: 2, processors: 0, memory_mb: 0, adjacency: Adjacency::Rack };
    /// assert_eq!(shape.total(), 8);
    /// ```
    pub fn total(&self) -> u32 {
        self.members.saturating_mul(self.accelerators)
    }

    /// Returns the resources that one member needs.
    ///
    /// ```
    /// use lavendergauge_lib::shape::Adjacency;
    /// use lavendergauge_lib::shape::Shape;
    /// let shape = Shape { members: 4, accelerators: 2, processors: 8, memory_mb: 0, adjacency: Adjacency::Rack };
    /// assert_eq!(shape.member().processors, 8);
    /// ```
    pub fn member(&self) -> Resources {
        Resources {
            accelerators: self.accelerators,
            processors: self.processors,
            memory_mb: self.memory_mb,
        }
    }
}

/// The worker that runs one member, by name, and the member's accelerators on it.
#[value]
pub struct Assignment {
    /// Name of the worker.
    pub worker: Name,
    /// Indices of the accelerators on the worker.
    pub accelerators: Accelerators,
}

/// Indices of accelerators on one worker.
pub type Accelerators = SmallVec<[u8; 8]>;

/// The assignments of a gang's members, in member order.
pub type Assignments = SmallVec<[Assignment; 4]>;
