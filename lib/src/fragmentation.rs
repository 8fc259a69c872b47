//! Measures fragmentation: free accelerators that are stranded, given the widths that jobs need.

use std::time::Duration;

use lavendergauge_derive::row;

use crate::shape::Adjacency;
use crate::shape::Shape;

/// Widths by which demand is counted, in accelerators of one worker.
pub const WIDTHS: [u32; 4] = [1, 2, 4, 8];
/// Factor by which the recorded demand decays with each job that ends.
const DECAY: f64 = 0.999;
/// Initial demand at every width, before any job has ended, in accelerator-seconds.
const PRIOR_WORK: f64 = 1000.0;

/// Decayed demand at each width, in accelerator-seconds.
#[row]
pub struct WidthDemand {
    work: [f64; WIDTHS.len()],
}

impl Default for WidthDemand {
    fn default() -> Self {
        WidthDemand { work: [PRIOR_WORK; WIDTHS.len()] }
    }
}

impl WidthDemand {
    /// Adds the work of a job that has ended and ran for `ran`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::fragmentation::WidthDemand;
    /// use lavendergauge_lib::shape::Adjacency;
    /// use lavendergauge_lib::shape::Shape;
    /// let mut demand = WidthDemand::default();
    /// let before = demand.stranded(4);
    /// let wide = Shape { members: 1, accelerators: 8, processors: 0, memory_mb: 0, adjacency: Adjacency::Worker };
    /// demand.record(&wide, Duration::from_secs(3600));
    /// assert!(before < demand.stranded(4));
    /// ```
    pub fn record(&mut self, shape: &Shape, ran: Duration) {
        let Some(index) = WIDTHS.iter().position(|&width| width_of(shape) <= width) else { return };
        for work in &mut self.work {
            *work *= DECAY;
        }
        self.work[index] += f64::from(shape.total()) * ran.as_secs_f64();
    }

    /// Returns how many of a worker's free accelerators are stranded.
    ///
    /// An accelerator is stranded for a width if it remains after the free accelerators of its
    /// worker are split into groups of that width. Widths are weighted by their share of demand.
    /// This is the fragmentation measure of Weng et al., "Beware of Fragmentation" (USENIX
    /// ATC 2023), with whole accelerators.
    ///
    /// ```
    /// use lavendergauge_lib::fragmentation::WidthDemand;
    /// assert_eq!(WidthDemand::default().stranded(8), 0.0);
    /// assert_eq!(WidthDemand::default().stranded(1), 0.75);
    /// ```
    pub fn stranded(&self, free: u32) -> f64 {
        let all: f64 = self.work.iter().sum();
        let widths = WIDTHS.iter().zip(self.work);
        widths.map(|(width, work)| work / all * f64::from(free % width)).sum()
    }
}

/// Returns the number of accelerators that a shape needs free on one worker.
fn width_of(shape: &Shape) -> u32 {
    match shape.adjacency {
        Adjacency::Worker => shape.total(),
        _ => shape.accelerators,
    }
}
