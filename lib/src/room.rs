//! Amounts of capacity: accelerators, processors and memory together.

use lavendergauge_derive::token;

/// An amount of capacity on one worker.
#[token]
#[derive(Default)]
pub struct Room {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub processors: u32,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

impl Room {
    /// Tells whether this amount fits into another in every respect.
    ///
    /// ```
    /// use lavendergauge_lib::room::Room;
    /// let one = Room { accelerators: 1, ..Room::default() };
    /// assert!(one.fits(one.times(2)));
    /// ```
    pub fn fits(self, other: Room) -> bool {
        self.accelerators <= other.accelerators
            && self.processors <= other.processors
            && self.memory_mb <= other.memory_mb
    }

    /// Returns the sum of two amounts.
    ///
    /// ```
    /// use lavendergauge_lib::room::Room;
    /// let one = Room { accelerators: 1, ..Room::default() };
    /// assert_eq!(one.plus(one).accelerators, 2);
    /// ```
    pub fn plus(self, other: Room) -> Room {
        Room {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            processors: self.processors.saturating_add(other.processors),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns what is left without another amount, nothing below zero.
    ///
    /// ```
    /// use lavendergauge_lib::room::Room;
    /// let one = Room { accelerators: 1, ..Room::default() };
    /// assert_eq!(one.minus(one.times(2)), Room::default());
    /// ```
    pub fn minus(self, other: Room) -> Room {
        Room {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            processors: self.processors.saturating_sub(other.processors),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns the amount taken `count` times.
    ///
    /// ```
    /// use lavendergauge_lib::room::Room;
    /// assert_eq!(Room { processors: 4, ..Room::default() }.times(3).processors, 12);
    /// ```
    pub fn times(self, count: u32) -> Room {
        Room {
            accelerators: self.accelerators.saturating_mul(count),
            processors: self.processors.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(u64::from(count)),
        }
    }

    /// Returns how many of `member` fit into this amount, at most `most`.
    ///
    /// ```
    /// use lavendergauge_lib::room::Room;
    /// let worker = Room { accelerators: 8, processors: 32, memory_mb: 1000 };
    /// let member = Room { accelerators: 2, processors: 16, memory_mb: 0 };
    /// assert_eq!(worker.holds(member, 64), 2);
    /// ```
    pub fn holds(self, member: Room, most: u32) -> u32 {
        let accelerators = self.accelerators.checked_div(member.accelerators).unwrap_or(most);
        let processors = self.processors.checked_div(member.processors).unwrap_or(most);
        let memory = self.memory_mb.checked_div(member.memory_mb).unwrap_or(u64::from(most));
        let memory = u32::try_from(memory).unwrap_or(u32::MAX);
        most.min(accelerators).min(processors).min(memory)
    }
}
