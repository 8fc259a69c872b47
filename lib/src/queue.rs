//! The bounded queue of requests at an entry, shared by weight between client accounts.
//!
//! What is shared is the occupancy of slots: the next request is that of the
//! waiting account with the fewest requests in flight for its weight. An account
//! below its share so never waits behind the burst of one above it.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use lavendergauge_derive::row;
use lavendergauge_derive::token;

use crate::clock::Millis;
use crate::name::Name;

/// How urgent a request is within its client account.
#[token]
pub enum Class {
    /// Before all others.
    Urgent,
    /// In between.
    Ordinary,
    /// After all others.
    Batch,
}

/// Number of classes.
const CLASSES: usize = 3;
/// Weight of one interval in the smoothed time between two departures.
const WEIGHT: f64 = 0.1;

/// Factor by which a wait may turn out longer than expected.
const MARGIN: f64 = 1.25;

/// Why a request may not wait.
#[token]
pub enum Refusal {
    /// The queue is full, and the account has its share of it.
    Full,
    /// It would not start before its deadline.
    Late,
}

/// One waiting request.
#[row]
pub struct Waiting<T> {
    /// Client account.
    pub account: Name,
    /// Time at which it is refused.
    pub until: Millis,
    /// What the caller of [`Queue::push`] gave.
    pub item: T,
}

#[row]
struct Account<T> {
    weight: u32,
    in_flight: u32,
    lines: [VecDeque<Waiting<T>>; CLASSES],
}

impl<T> Account<T> {
    fn new(weight: u32) -> Self {
        Account { weight, in_flight: 0, lines: std::array::from_fn(|_| VecDeque::new()) }
    }

    fn len(&self) -> usize {
        self.lines.iter().map(VecDeque::len).sum()
    }

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
    departed: Option<Millis>,
    interval_ms: f64,
}

impl<T> Queue<T> {
    /// Makes a queue of at most `limit` requests.
    ///
    /// ```
    /// assert!(lavendergauge_lib::queue::Queue::<u32>::new(8).is_empty());
    /// ```
    pub fn new(limit: usize) -> Self {
        Queue { limit, accounts: HashMap::new(), waiting: 0, departed: None, interval_ms: 0.0 }
    }

    /// Tells whether nothing waits.
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

    /// Returns the time that a request of an account would wait, by recent departures.
    ///
    /// ```
    /// use std::time::Duration;
    /// let queue = lavendergauge_lib::queue::Queue::<u32>::new(8);
    /// assert_eq!(queue.expected_wait(&"brno".into()), Duration::ZERO);
    /// ```
    pub fn expected_wait(&self, account: &Name) -> Duration {
        let Some(known) = self.accounts.get(account) else { return Duration::ZERO };
        let busy = self
            .accounts
            .values()
            .filter(|account| 0 < account.len() + usize::from(std::ptr::eq(*account, known)));
        let weights: u32 = busy.map(|account| account.weight.max(1)).sum();
        let share = f64::from(known.weight.max(1)) / f64::from(weights.max(1));
        let ahead = (known.len() as f64 / share).min(self.waiting as f64);
        Duration::from_secs_f64(ahead * self.interval_ms / 1000.0)
    }

    /// Puts a request into the queue; returns one that gives way to it.
    ///
    /// When the queue is full, the newest and least urgent request of the account
    /// with the most waiting for its weight gives way to an account with fewer, or
    /// a less urgent one of the same account to a more urgent one.
    ///
    /// # Errors
    /// [`Refusal`] when the request may not wait.
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
        let expected = self.expected_wait(&waiting.account).mul_f64(MARGIN);
        if class != Class::Urgent && waiting.until < now + expected {
            return Err(Refusal::Late);
        }
        let mut displaced = None;
        if self.limit <= self.waiting {
            let given_way = self.displace(&waiting.account);
            let given_way = given_way.or_else(|| self.displace_own(&waiting.account, class));
            displaced = Some(given_way.ok_or(Refusal::Full)?);
        }
        let account =
            self.accounts.entry(waiting.account.clone()).or_insert_with(|| Account::new(1));
        account.lines[class as usize].push_back(waiting);
        self.waiting += 1;
        Ok(displaced)
    }

    fn displace(&mut self, arriving: &Name) -> Option<Waiting<T>> {
        let share = |account: &Account<T>| account.len() as f64 / f64::from(account.weight.max(1));
        let own = self.accounts.get(arriving).map_or(0.0, share);
        let largest = self.accounts.values_mut().max_by(|one, other| {
            share(one).partial_cmp(&share(other)).unwrap_or(Ordering::Equal)
        })?;
        if share(largest) <= own + 1.0 {
            return None;
        }
        let given_way = largest.lines.iter_mut().rev().find_map(VecDeque::pop_back)?;
        self.waiting -= 1;
        Some(given_way)
    }

    /// Takes out the newest of an account's requests that are less urgent than a class.
    fn displace_own(&mut self, account: &Name, class: Class) -> Option<Waiting<T>> {
        let known = self.accounts.get_mut(account)?;
        let lines = known.lines.iter_mut().skip(class as usize + 1).rev();
        let given_way = lines.filter_map(VecDeque::pop_back).next()?;
        self.waiting -= 1;
        Some(given_way)
    }

    /// Takes out the next request and counts it as in flight.
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
        let next = account.lines.iter_mut().find_map(VecDeque::pop_front)?;
        account.in_flight += 1;
        self.waiting -= 1;
        self.depart(now);
        Some(next)
    }

    fn depart(&mut self, now: Millis) {
        if let Some(departed) = self.departed {
            let interval = now.since(departed).as_millis() as f64;
            self.interval_ms += WEIGHT * (interval - self.interval_ms);
        }
        self.departed = Some(now);
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

    /// Takes out every request that is past its time or that `gone` says has been given up.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// let mut queue = lavendergauge_lib::queue::Queue::<u32>::new(8);
    /// assert!(queue.expire(Millis(0), |_| false).is_empty());
    /// ```
    pub fn expire(&mut self, now: Millis, gone: impl Fn(&T) -> bool) -> Vec<Waiting<T>> {
        let mut over = Vec::new();
        for line in self.accounts.values_mut().flat_map(|account| account.lines.iter_mut()) {
            let mut index = 0;
            while let Some(waiting) = line.get(index) {
                if waiting.until <= now || gone(&waiting.item) {
                    over.extend(line.remove(index));
                } else {
                    index += 1;
                }
            }
        }
        self.waiting -= over.len();
        over
    }
}
