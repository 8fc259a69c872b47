//! Amounts of accelerators, processors and memory, counted together.

use lavendergauge_derive::token;
use serde::Deserialize;
use serde::Serialize;

/// An amount of accelerators, processor cores and memory, such as a worker's capacity or a member's
/// need.
#[token]
#[derive(Default, Serialize, Deserialize)]
pub struct Resources {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

impl Resources {
    /// Tells whether this amount exceeds `other` in no dimension.
    ///
    /// ```
    /// use lavendergauge_lib::resource::Resources;
    /// let one = Resources { accelerators: 1, ..Resources::default() };
    /// assert!(one.fits(one.times(2)));
    /// ```
    pub fn fits(self, other: Resources) -> bool {
        self.accelerators <= other.accelerators
            && self.processors <= other.processors
            && self.memory_mb <= other.memory_mb
    }

    /// Returns the sum of two amounts, saturating at the largest value.
    ///
    /// ```
    /// use lavendergauge_lib::resource::Resources;
    /// let one = Resources { accelerators: 1, ..Resources::default() };
    /// assert_eq!(one.plus(one).accelerators, 2);
    /// ```
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            processors: self.processors.saturating_add(other.processors),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns the difference of two amounts; a dimension that would be negative is zero.
    ///
    /// ```
    /// use lavendergauge_lib::resource::Resources;
    /// let one = Resources { accelerators: 1, ..Resources::default() };
    /// assert_eq!(one.minus(one.times(2)), Resources::default());
    /// ```
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            processors: self.processors.saturating_sub(other.processors),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns the amount multiplied by `count`, saturating at the largest value.
    ///
    /// ```
    /// use lavendergauge_lib::resource::Resources;
    /// assert_eq!(Resources { processors: 4, ..Resources::default() }.times(3).processors, 12);
    /// ```
    pub fn times(self, count: u32) -> Resources {
        Resources {
            accelerators: self.accelerators.saturating_mul(count),
            processors: self.processors.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(u64::from(count)),
        }
    }

    /// Returns how many members that need `member` each fit into this amount, at most `limit`.
    ///
    /// A dimension that the member does not need does not bound the count.
    ///
    /// ```
    /// use lavendergauge_lib::resource::Resources;
    /// let worker = Resources { accelerators: 8, processors: 32, memory_mb: 1000 };
    /// let member = Resources { accelerators: 2, processors: 16, memory_mb: 0 };
    /// assert_eq!(worker.count_fitting(member, 64), 2);
    /// ```
    pub fn count_fitting(self, member: Resources, limit: u32) -> u32 {
        let accelerators = self.accelerators.checked_div(member.accelerators).unwrap_or(limit);
        let processors = self.processors.checked_div(member.processors).unwrap_or(limit);
        let memory = self.memory_mb.checked_div(member.memory_mb).unwrap_or(u64::from(limit));
        let memory = u32::try_from(memory).unwrap_or(u32::MAX);
        limit.min(accelerators).min(processors).min(memory)
    }
}
