//! The bounded queue of requests at an entry, with weighted fair sharing between client accounts.
//!
//! Accounts share the occupied slots by weight: the next request comes from the waiting
//! account with the fewest requests in flight relative to its weight. So an account below its
//! share never waits behind a burst of one above its share.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;

use crate::clock::Millis;
use crate::name::Name;

/// Priority of a request within its client account.
#[token]
pub enum Class {
    /// Served before all others.
    Urgent,
    /// Served after urgent ones.
    Ordinary,
    /// Served after all others.
    Batch,
}

/// Number of classes.
const CLASSES: usize = 3;
/// Weight of the newest interval in the moving average of the time between departures.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Safety factor on the expected wait when it is compared with a deadline.
const WAIT_MARGIN: f64 = 1.25;

/// Reason for which a request is refused.
#[token]
pub enum Refusal {
    /// The queue is full, and the account already has its share of it.
    Full,
    /// The request would not start before its deadline.
    Late,
}

/// One waiting request.
#[row]
pub struct Waiting<T> {
    /// Client account.
    pub account: Name,
    /// Time at which it expires.
    pub until: Millis,
    /// Data of the caller of [`Queue::push`].
    pub item: T,
}

/// Waiting and running requests of one client account.
#[row]
struct Account<T> {
    weight: u32,
    in_flight: u32,
    queues: [VecDeque<Waiting<T>>; CLASSES],
}

impl<T> Account<T> {
    fn new(weight: u32) -> Self {
        Account { weight, in_flight: 0, queues: std::array::from_fn(|_| VecDeque::new()) }
    }

    fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Requests in flight per unit of weight.
    fn occupancy(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.weight.max(1))
    }
}

/// The waiting requests of all client accounts.
#[row]
pub struct Queue<T> {
    limit: usize,
    accounts: HashMap<Name, Account<T>>,
    waiting: usize,
    last_departure: Option<Millis>,
    interval_ms: f64,
}

impl<T> Queue<T> {
    /// Creates a queue of at most `limit` requests.
    ///
    /// ```
    /// assert!(lavendergauge_lib::queue::Queue::<u32>::new(8).is_empty());
    /// ```
    pub fn new(limit: usize) -> Self {
        Queue {
            limit,
            accounts: HashMap::new(),
            waiting: 0,
            last_departure: None,
            interval_ms: 0.0,
        }
    }

    /// Tells whether no request is waiting.
    ///
    /// ```
    /// assert!(lavendergauge_lib::queue::Queue::<u32>::new(8).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiting requests.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::queue::Queue::<u32>::new(8).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Sets the weight of a client account.
    ///
    /// ```
    /// lavendergauge_lib::queue::Queue::<u32>::new(8).set_weight(&"brno".into(), 2);
    /// ```
    pub fn set_weight(&mut self, account: &Name, weight: u32) {
        let known = self.accounts.entry(account.clone()).or_insert_with(|| Account::new(weight));
        known.weight = weight;
    }

    /// Returns the expected wait of a new request of an account, from the rate of recent departures
    /// and the account's share of them.
    ///
    /// ```
    /// use std::time::Duration;
    /// let queue = lavendergauge_lib::queue::Queue::<u32>::new(8);
    /// assert_eq!(queue.expected_wait(&"brno".into()), Duration::ZERO);
    /// ```
    pub fn expected_wait(&self, account: &Name) -> Duration {
        let Some(known) = self.accounts.get(account) else { return Duration::ZERO };
        let waiting = self
            .accounts
            .values()
            .filter(|account| 0 < account.len() + usize::from(std::ptr::eq(*account, known)));
        let weights: u32 = waiting.map(|account| account.weight.max(1)).sum();
        let share = f64::from(known.weight.max(1)) / f64::from(weights.max(1));
        let ahead = (known.len() as f64 / share).min(self.waiting as f64);
        Duration::from_secs_f64(ahead * self.interval_ms / 1000.0)
    }

    /// Adds a request to the queue, and returns a request that it displaced.
    ///
    /// When the queue is full, the request displaces the newest and least urgent request of the
    /// account with the most waiting requests relative to its weight, if its own account has fewer;
    /// otherwise it displaces a less urgent request of its own account.
    ///
    /// # Errors
    /// [`Refusal`] when the queue is full or the request would start too late.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::queue::{Class, Queue, Refusal, Waiting};
    /// let mut queue = Queue::new(1);
    /// let waiting = |item| Waiting { account: "brno".into(), until: Millis(9), item };
    /// assert!(queue.push(Millis(0), Class::Ordinary, waiting(1)).unwrap().is_none());
    /// let refused = queue.push(Millis(0), Class::Ordinary, waiting(2));
    /// assert_eq!(refused.unwrap_err(), Refusal::Full);
    /// ```
    pub fn push(
        &mut self,
        now: Millis,
        class: Class,
        waiting: Waiting<T>,
    ) -> Result<Option<Waiting<T>>, Refusal> {
        let expected = self.expected_wait(&waiting.account).mul_f64(WAIT_MARGIN);
        if class != Class::Urgent && waiting.until < now + expected {
            return Err(Refusal::Late);
        }
        let mut displaced = None;
        if self.limit <= self.waiting {
            let removed = self.displace(&waiting.account);
            let removed = removed.or_else(|| self.displace_own(&waiting.account, class));
            displaced = Some(removed.ok_or(Refusal::Full)?);
        }
        let account =
            self.accounts.entry(waiting.account.clone()).or_insert_with(|| Account::new(1));
        account.queues[class as usize].push_back(waiting);
        self.waiting += 1;
        Ok(displaced)
    }

    /// Removes the newest and least urgent request of the account with the most waiting requests
    /// relative to its weight, if that exceeds the arriving account by more than one request.
    fn displace(&mut self, arriving: &Name) -> Option<Waiting<T>> {
        let share = |account: &Account<T>| account.len() as f64 / f64::from(account.weight.max(1));
        let own = self.accounts.get(arriving).map_or(0.0, share);
        let largest = self.accounts.values_mut().max_by(|one, other| {
            share(one).partial_cmp(&share(other)).unwrap_or(Ordering::Equal)
        })?;
        if share(largest) <= own + 1.0 {
            return None;
        }
        let removed = largest.queues.iter_mut().rev().find_map(VecDeque::pop_back)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Removes the newest and least urgent of an account's requests below a class.
    fn displace_own(&mut self, account: &Name, class: Class) -> Option<Waiting<T>> {
        let known = self.accounts.get_mut(account)?;
        let queues = known.queues.iter_mut().skip(class as usize + 1).rev();
        let removed = queues.filter_map(VecDeque::pop_back).next()?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Removes the next request and counts it as in flight.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::queue::{Class, Queue, Waiting};
    /// let mut queue = Queue::new(8);
    /// let waiting = Waiting { account: "brno".into(), until: Millis(9), item: 1 };
    /// queue.push(Millis(0), Class::Ordinary, waiting).unwrap();
    /// assert_eq!(queue.pop(Millis(1)).map(|waiting| waiting.item), Some(1));
    /// ```
    pub fn pop(&mut self, now: Millis) -> Option<Waiting<T>> {
        let (_, account) =
            self.accounts.iter_mut().filter(|(_, account)| 0 < account.len()).min_by(
                |(one_name, one), (other_name, other)| {
                    let order = one.occupancy().partial_cmp(&other.occupancy());
                    order.unwrap_or(Ordering::Equal).then_with(|| one_name.cmp(other_name))
                },
            )?;
        let next = account.queues.iter_mut().find_map(VecDeque::pop_front)?;
        account.in_flight += 1;
        self.waiting -= 1;
        self.depart(now);
        Some(next)
    }

    /// Updates the moving average of the time between departures.
    fn depart(&mut self, now: Millis) {
        if let Some(last_departure) = self.last_departure {
            let interval = now.since(last_departure).as_millis() as f64;
            self.interval_ms += INTERVAL_WEIGHT * (interval - self.interval_ms);
        }
        self.last_departure = Some(now);
    }

    /// Counts a request that did not wait as in flight.
    ///
    /// ```
    /// lavendergauge_lib::queue::Queue::<u32>::new(8).start(&"brno".into());
    /// ```
    pub fn start(&mut self, account: &Name) {
        let known = self.accounts.entry(account.clone()).or_insert_with(|| Account::new(1));
        known.in_flight += 1;
    }

    /// Counts a request as no longer in flight.
    ///
    /// ```
    /// lavendergauge_lib::queue::Queue::<u32>::new(8).finish(&"brno".into());
    /// ```
    pub fn finish(&mut self, account: &Name) {
        if let Some(known) = self.accounts.get_mut(account) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Removes and returns all requests that have expired or that are abandoned by their caller, as
    /// `is_abandoned` tells.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// let mut queue = lavendergauge_lib::queue::Queue::<u32>::new(8);
    /// assert!(queue.expire(Millis(0), |_| false).is_empty());
    /// ```
    pub fn expire(&mut self, now: Millis, is_abandoned: impl Fn(&T) -> bool) -> Vec<Waiting<T>> {
        let mut removed = Vec::new();
        for queue in self.accounts.values_mut().flat_map(|account| account.queues.iter_mut()) {
            let mut index = 0;
            while let Some(waiting) = queue.get(index) {
                if waiting.until <= now || is_abandoned(&waiting.item) {
                    removed.extend(queue.remove(index));
                } else {
                    index += 1;
                }
            }
        }
        self.waiting -= removed.len();
        removed
    }
}
