//! Shapes of capacity: what a gang, or a guarantee, takes up.

use lavendergauge_derive::token;
use lavendergauge_derive::value;
use smallvec::SmallVec;

use crate::name::Name;
use crate::room::Room;

/// How close the accelerators of one shape must be.
#[token]
pub enum Adjacency {
    /// All in one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one data centre.
    DataCentre,
}

/// What one gang needs: equal members, all within one unit of adjacency.
///
/// A guarantee's shape has one-accelerator members when it may be split over workers.
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
    /// Returns the accelerators of all members together.
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

    /// Returns the capacity that one member takes.
    ///
    /// ```
    /// use lavendergauge_lib::shape::Adjacency;
    /// use lavendergauge_lib::shape::Shape;
    /// let shape = Shape { members: 4, accelerators: 2, processors: 8, memory_mb: 0, adjacency: Adjacency::Rack };
    /// assert_eq!(shape.member().processors, 8);
    /// ```
    pub fn member(&self) -> Room {
        Room {
            accelerators: self.accelerators,
            processors: self.processors,
            memory_mb: self.memory_mb,
        }
    }
}

/// One member's place: a worker and accelerators on it.
#[value]
pub struct Seat {
    /// Name of the worker.
    pub worker: Name,
    /// Indices of the accelerators on the worker.
    pub accelerators: Accelerators,
}

/// Indices of accelerators on one worker.
pub type Accelerators = SmallVec<[u8; 8]>;

/// The places of a gang's members, in member order.
pub type Seats = SmallVec<[Seat; 4]>;
