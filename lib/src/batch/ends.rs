//! The ends of runs that an agent has read from its worker's lists.
//!
//! A worker numbers the ends from 1 in each incarnation and drops those that it was told to. An end
//! that is dropped before the agent has read it leaves a gap in the numbers.

use lavendergauge_derive::token;

use crate::batch::report::End;

/// Ends whose numbers were passed over.
#[token]
pub struct Gap {
    /// Number of the newest end that was read before; 0 for none.
    pub after: u64,
    /// Number of the first one that was read next.
    pub before: u64,
}

impl Gap {
    /// Returns the number of ends that were not read.
    ///
    /// ```
    /// use lavendergauge_lib::batch::ends::Gap;
    /// assert_eq!(Gap { after: 2, before: 6 }.missed(), 3);
    /// ```
    pub fn missed(self) -> u64 {
        self.before.saturating_sub(self.after).saturating_sub(1)
    }
}

/// What was read of one incarnation's ends.
#[token]
#[derive(Default)]
pub struct Reader {
    incarnation: u64,
    /// Number of the newest end that was read; `None` while an earlier process may have read some.
    newest: Option<u64>,
    /// Number of the newest end that the worker is known to have dropped.
    acknowledged: u64,
}

impl Reader {
    /// Makes the reader of an incarnation that no process has read before.
    ///
    /// ```
    /// use lavendergauge_lib::batch::ends::Reader;
    /// assert!(Reader::new(7).read(7, &[], true).is_none());
    /// ```
    pub fn new(incarnation: u64) -> Reader {
        Reader { incarnation, newest: Some(0), acknowledged: 0 }
    }

    /// Returns the incarnation.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::batch::ends::Reader::new(7).incarnation(), 7);
    /// ```
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records a list of an incarnation's ends, in the order of their numbers; `is_complete` tells
    /// whether all could be decoded. Returns the gap before them if some were never listed.
    ///
    /// ```
    /// use lavendergauge_lib::batch::ends::Reader;
    /// use lavendergauge_lib::batch::job::Task;
    /// use lavendergauge_lib::batch::report::End;
    /// use lavendergauge_lib::batch::report::Ending;
    /// let end = |number| End {
    ///     number,
    ///     task: Task::parse("00000000000000f1.0.0.0").unwrap(),
    ///     run: 1,
    ///     ending: Ending::Done,
    ///     how: "done".into(),
    ///     checkpoint: String::new(),
    /// };
    /// let mut reader = Reader::new(7);
    /// assert!(reader.read(7, &[end(1), end(2)], true).is_none());
    /// assert_eq!(reader.read(7, &[end(5)], true).unwrap().missed(), 2);
    /// ```
    pub fn read(&mut self, incarnation: u64, ends: &[End], is_complete: bool) -> Option<Gap> {
        if self.incarnation != incarnation {
            *self = Reader { incarnation, newest: None, acknowledged: 0 };
        }
        let first = ends.iter().map(|end| end.number).min();
        let last = ends.iter().map(|end| end.number).max();
        let before = self.newest;
        self.newest = before.max(last);
        let gap = Gap { after: before?, before: first? };
        (is_complete && gap.missed() != 0).then_some(gap)
    }

    /// Records that an incarnation has carried out the acknowledgement of its ends up to `number`.
    pub fn confirm(&mut self, incarnation: u64, number: u64) {
        if self.incarnation == incarnation {
            self.acknowledged = self.acknowledged.max(number);
        }
    }

    /// Returns the number up to which the ends of an incarnation still have to be acknowledged, of
    /// those up to `number`; 0 for none.
    ///
    /// A call that repeats an acknowledgement can only do harm: the next incarnation may receive it.
    ///
    /// ```
    /// use lavendergauge_lib::batch::ends::Reader;
    /// let mut reader = Reader::new(7);
    /// assert_eq!(reader.due(7, 4), 4);
    /// reader.confirm(7, 4);
    /// assert_eq!(reader.due(7, 4), 0);
    /// assert_eq!(reader.due(8, 4), 0);
    /// ```
    pub fn due(&self, incarnation: u64, number: u64) -> u64 {
        let is_due = self.incarnation == incarnation && self.acknowledged < number;
        if is_due { number } else { 0 }
    }
}
