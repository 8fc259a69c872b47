//! An entry's choice of a target for one request.

use lavendergauge_derive::row;
use rand::Rng;
use rand::RngExt;

use crate::name::Name;

/// A target as an entry sees it.
#[row]
pub struct Target {
    /// Name of the worker that it runs on.
    pub worker: Name,
    /// Requests it takes at a time.
    pub slots: u32,
    /// Requests it is serving, by its last announcement and what was sent since.
    pub used: u32,
    /// Whether it takes requests at all.
    pub ready: bool,
}

/// Picks the less loaded of two targets drawn at random; `None` when none has a free slot.
///
/// ```
/// use lavendergauge_lib::route::{Target, pick};
/// use rand::SeedableRng;
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let target = Target { worker: "w".into(), slots: 8, used: 0, ready: true };
/// assert_eq!(pick(&[target], &mut rng), Some(0));
/// assert_eq!(pick(&[], &mut rng), None);
/// ```
pub fn pick(targets: &[Target], rng: &mut impl Rng) -> Option<usize> {
    let free: Vec<usize> = (0..targets.len())
        .filter(|&index| targets[index].ready && targets[index].used < targets[index].slots)
        .collect();
    if free.is_empty() {
        return None;
    }
    let first = free[rng.random_range(0..free.len())];
    let second = free[rng.random_range(0..free.len())];
    let load = |index: usize| f64::from(targets[index].used) / f64::from(targets[index].slots);
    Some(if load(second) < load(first) { second } else { first })
}
