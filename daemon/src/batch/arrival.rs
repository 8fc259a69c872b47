//! The order in which an entry's calls arrive, and which of them an older configuration has decided.

use lavendergauge_derive::token;
use lavendergauge_derive::value;

/// Position of a call in the order of arrival.
#[token]
pub struct Arrival(u64);

/// The calls of an entry, in the order of their arrival.
#[value]
#[derive(Default)]
pub struct Arrivals {
    /// The last call that has arrived.
    last: u64,
    /// The last call in that order that a configuration has decided.
    last_decided: u64,
    /// As `last_decided`, of the calls that were decided before the present configuration.
    last_decided_before: u64,
}

impl Arrivals {
    /// Returns the position of a call that arrives now.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::arrival::Arrivals;
    /// let mut arrivals = Arrivals::default();
    /// assert!(arrivals.arrive() < arrivals.arrive());
    /// ```
    pub fn arrive(&mut self) -> Arrival {
        self.last += 1;
        Arrival(self.last)
    }

    /// Records that the present configuration has decided a call.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::arrival::Arrivals;
    /// let mut arrivals = Arrivals::default();
    /// let (earlier, later) = (arrivals.arrive(), arrivals.arrive());
    /// arrivals.decide(later);
    /// assert!(!arrivals.is_overtaken(earlier));
    /// ```
    pub fn decide(&mut self, arrival: Arrival) {
        self.last_decided = self.last_decided.max(arrival.0);
    }

    /// Records that a newer configuration replaces the present one.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::arrival::Arrivals;
    /// let mut arrivals = Arrivals::default();
    /// let (earlier, later) = (arrivals.arrive(), arrivals.arrive());
    /// arrivals.decide(later);
    /// arrivals.supersede();
    /// assert!(arrivals.is_overtaken(earlier) && !arrivals.is_overtaken(later));
    /// ```
    pub fn supersede(&mut self) {
        self.last_decided_before = self.last_decided;
    }

    /// Tells whether a configuration older than the present one has decided a later call.
    ///
    /// ```
    /// use lavendergauge_daemon::batch::arrival::Arrivals;
    /// let mut arrivals = Arrivals::default();
    /// let (earlier, later) = (arrivals.arrive(), arrivals.arrive());
    /// arrivals.supersede();
    /// arrivals.decide(later);
    /// assert!(!arrivals.is_overtaken(earlier));
    /// ```
    pub fn is_overtaken(&self, arrival: Arrival) -> bool {
        arrival.0 < self.last_decided_before
    }
}
