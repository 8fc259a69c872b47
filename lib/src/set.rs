//! Bit sets of one worker's accelerators, and the choice among them by buddy blocks.
//!
//! A buddy block is an aligned range of indices whose size is a power of two.

use lavendergauge_derive::token;

use crate::shape::Accelerators;

/// Number of accelerators that a set can contain, one more than the largest index.
const MAX_ACCELERATORS: u32 = 256;
/// Number of accelerators in one word of a set.
const WORD_BITS: u32 = 64;

/// A set of accelerators of one worker, by index.
#[token]
#[derive(Default)]
pub struct Set([u64; 4]);

impl Set {
    /// Returns the set of the first `count` accelerators.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert_eq!(Set::first(130).count(), 130);
    /// ```
    pub fn first(count: u32) -> Set {
        let mut words = [0; 4];
        for (index, word) in words.iter_mut().enumerate() {
            let bits = count.saturating_sub(index as u32 * WORD_BITS);
            *word = 1_u64.checked_shl(bits).map_or(u64::MAX, |bit| bit - 1);
        }
        Set(words)
    }

    /// Returns the number of accelerators in the set.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert_eq!(Set::of(&[1, 200]).count(), 2);
    /// ```
    pub fn count(self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns the set of the accelerators with these indices.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert!(Set::of(&[3]).contains(3));
    /// ```
    pub fn of(indices: &[u8]) -> Set {
        let mut set = Set::default();
        for &index in indices {
            set.0[usize::from(index) / 64] |= 1 << (u32::from(index) % WORD_BITS);
        }
        set
    }

    /// Tells whether an accelerator is in the set.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert!(!Set::first(8).contains(8));
    /// ```
    pub fn contains(self, index: u8) -> bool {
        self.0[usize::from(index) / 64] & (1 << (u32::from(index) % WORD_BITS)) != 0
    }

    /// Returns the accelerators that are in either set.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert_eq!(Set::of(&[0]).union(Set::of(&[1])), Set::first(2));
    /// ```
    pub fn union(self, other: Set) -> Set {
        Set(std::array::from_fn(|index| self.0[index] | other.0[index]))
    }

    /// Returns the accelerators that are in this set and not in the other.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert_eq!(Set::first(2).minus(Set::of(&[0])), Set::of(&[1]));
    /// ```
    pub fn minus(self, other: Set) -> Set {
        Set(std::array::from_fn(|index| self.0[index] & !other.0[index]))
    }

    /// Tells whether the sets have an accelerator in common.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// assert!(Set::first(2).intersects(Set::of(&[1])));
    /// ```
    pub fn intersects(self, other: Set) -> bool {
        (0..4).any(|index| self.0[index] & other.0[index] != 0)
    }

    /// Chooses `count` accelerators so that the largest buddy blocks of the set stay whole.
    ///
    /// Takes the smallest block that is large enough; if there is none, the smallest blocks first.
    /// Returns fewer if the set has fewer.
    ///
    /// ```
    /// use lavendergauge_lib::set::Set;
    /// let free = Set::of(&[1, 4, 5, 6, 7]);
    /// assert_eq!(free.choose(1).as_slice(), [1]);
    /// assert_eq!(free.choose(3).as_slice(), [4, 5, 6]);
    /// ```
    pub fn choose(self, count: u32) -> Accelerators {
        let mut blocks = Vec::new();
        self.collect_blocks(0, MAX_ACCELERATORS, &mut blocks);
        blocks.sort_by_key(|&(start, size)| (size, start));
        if let Some(&(start, _)) = blocks.iter().find(|&&(_, size)| count <= size) {
            return (start..start + count).map(|index| index as u8).collect();
        }
        let all = blocks.iter().flat_map(|&(start, size)| start..start + size);
        all.take(count as usize).map(|index| index as u8).collect()
    }

    /// Collects the largest buddy blocks, as start and size, that lie wholly in the set.
    fn collect_blocks(self, start: u32, size: u32, blocks: &mut Vec<(u32, u32)>) {
        let present = self.count_within(start, size);
        if present == size {
            blocks.push((start, size));
            return;
        }
        if present == 0 {
            return;
        }
        self.collect_blocks(start, size / 2, blocks);
        self.collect_blocks(start + size / 2, size / 2, blocks);
    }

    /// Returns the number of accelerators of one buddy block that are in the set.
    fn count_within(self, start: u32, size: u32) -> u32 {
        if WORD_BITS <= size {
            let words = (start / WORD_BITS) as usize..((start + size) / WORD_BITS) as usize;
            return self.0[words].iter().map(|word| word.count_ones()).sum();
        }
        let word = self.0[(start / WORD_BITS) as usize] >> (start % WORD_BITS);
        (word & ((1 << size) - 1)).count_ones()
    }
}
