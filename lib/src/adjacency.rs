//! Which places keep free space whole: stranded accelerators under the demand that is seen.

use lavendergauge_derive::row;

use crate::shape::Adjacency;
use crate::shape::Shape;

/// Widths of free space that are told apart, in accelerators of one worker.
pub const WIDTHS: [u32; 4] = [1, 2, 4, 8];
/// Share of the old demand that is left after one more job has come.
const KEPT: f64 = 0.995;

/// How the accelerators that are asked for split over widths.
#[row]
pub struct Demand {
    weights: [f64; WIDTHS.len()],
}

impl Default for Demand {
    fn default() -> Self {
        Demand { weights: [1.0 / WIDTHS.len() as f64; WIDTHS.len()] }
    }
}

impl Demand {
    /// Takes in one more job.
    ///
    /// ```
    /// use lavendergauge_lib::adjacency::Demand;
    /// use lavendergauge_lib::shape::Adjacency;
    /// use lavendergauge_lib::shape::Shape;
    /// let mut demand = Demand::default();
    /// let before = demand.stranded(4);
    /// let wide = Shape { members: 1, accelerators: 8, processors: 0, memory_mb: 0, adjacency: Adjacency::Worker };
    /// demand.record(&wide);
    /// assert!(before < demand.stranded(4));
    /// ```
    pub fn record(&mut self, shape: &Shape) {
        let Some(index) = WIDTHS.iter().position(|&width| width_of(shape) <= width) else { return };
        for weight in &mut self.weights {
            *weight *= KEPT;
        }
        self.weights[index] += 1.0 - KEPT;
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
        WIDTHS
            .iter()
            .zip(self.weights)
            .map(|(width, weight)| weight * f64::from(free % width))
            .sum()
    }
}

/// Returns the accelerators that one worker must have free for a shape.
fn width_of(shape: &Shape) -> u32 {
    match shape.adjacency {
        Adjacency::Worker => shape.total(),
        _ => shape.accelerators,
    }
}
