//! Which places keep free space whole: stranded accelerators under the demand that is seen.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::shape::Adjacency;
use crate::shape::Shape;

/// Widths of free space that are told apart, in accelerators of one worker.
pub const WIDTHS: [u32; 4] = [1, 2, 4, 8];
/// Share of the old demand that is left after one more job has ended.
const KEPT: f64 = 0.999;
/// Work that is taken for granted at every width before any was seen, in accelerator-seconds.
const PRIOR: f64 = 1000.0;

/// How the work that is asked for splits over widths.
#[row]
pub struct Demand {
    work: [f64; WIDTHS.len()],
}

impl Default for Demand {
    fn default() -> Self {
        Demand { work: [PRIOR; WIDTHS.len()] }
    }
}

impl Demand {
    /// Takes in a job that has come to its end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::adjacency::Demand;
    /// use lavendergauge_lib::shape::Adjacency;
    /// use lavendergauge_lib::shape::Shape;
    /// let mut demand = Demand::default();
    /// let before = demand.stranded(4);
    /// let wide = Shape { members: 1, accelerators: 8, processors: 0, memory_mb: 0, adjacency: Adjacency::Worker };
    /// demand.record(&wide, Duration::from_secs(3600));
    /// assert!(before < demand.stranded(4));
    /// ```
    pub fn record(&mut self, shape: &Shape, ran: Duration) {
        let Some(index) = WIDTHS.iter().position(|&width| width_of(shape) <= width) else { return };
        for work in &mut self.work {
            *work *= KEPT;
        }
        self.work[index] += f64::from(shape.total()) * ran.as_secs_f64();
    }

    /// Returns how many of a worker's free accelerators are stranded.
    ///
    /// An accelerator is stranded for a width if it is left over once the free ones of its
    /// worker are split into groups of that width; widths count by their share of demand.
    /// This is the fragmentation measure of Weng et al., "Beware of Fragmentation" (USENIX
    /// ATC 2023), with whole accelerators.
    ///
    /// ```
    /// use lavendergauge_lib::adjacency::Demand;
    /// assert_eq!(Demand::default().stranded(8), 0.0);
    /// assert_eq!(Demand::default().stranded(1), 0.75);
    /// ```
    pub fn stranded(&self, free: u32) -> f64 {
        let all: f64 = self.work.iter().sum();
        let widths = WIDTHS.iter().zip(self.work);
        widths.map(|(width, work)| work / all * f64::from(free % width)).sum()
    }
}

/// Returns the accelerators that one worker must have free for a shape.
fn width_of(shape: &Shape) -> u32 {
    match shape.adjacency {
        Adjacency::Worker => shape.total(),
        _ => shape.accelerators,
    }
}
