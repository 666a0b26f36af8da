//! The order of online requests that wait for room.

use std::collections::BTreeMap;

use oleander_core::{Span, Time};

use crate::pick::TicketId;

/// Time after its deadline at which a request that doesn't ask again is dropped.
const ABANDONED: Span = Span::from_secs(1);
/// Weight of a new hold time in the running mean, as a divisor.
const WEIGHT: u64 = 16;

/// Online requests that wait, in order of arrival.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    limit: u32,
    waiting: BTreeMap<TicketId, Time>,
    service_time: Span,
}

impl WaitQueue {
    /// Hold time assumed before the first observation.
    pub const INITIAL_SERVICE_TIME: Span = Span::from_millis(1_000);

    /// An empty queue for at most `limit` requests.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, waiting: BTreeMap::new(), service_time: Self::INITIAL_SERVICE_TIME }
    }

    /// Takes into account how long a request held its slot.
    pub const fn record_service_time(&mut self, took: Span) {
        self.service_time = Span((self.service_time.0 * (WEIGHT - 1) + took.0) / WEIGHT);
    }

    /// Number of requests ahead of `ticket`.
    #[must_use]
    pub fn ahead(&self, ticket: TicketId) -> u32 {
        self.waiting.range(..ticket).count() as u32
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether `ticket` waits.
    #[must_use]
    pub fn contains(&self, ticket: TicketId) -> bool {
        self.waiting.contains_key(&ticket)
    }

    /// Whether there is no place left.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.limit
    }

    /// Lets `ticket` wait until `deadline`.
    pub fn insert(&mut self, ticket: TicketId, deadline: Time) {
        self.waiting.insert(ticket, deadline);
    }

    /// Ends the wait of `ticket`.
    pub fn remove(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Whether the deadline of `ticket` has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time, ticket: TicketId) -> bool {
        self.waiting.get(&ticket).is_some_and(|deadline| *deadline <= now)
    }

    /// Drops the requests that were given up without a word.
    pub fn expire(&mut self, now: Time) {
        self.waiting.retain(|_, deadline| *deadline + ABANDONED > now);
    }

    /// The earliest deadline after `now`.
    #[must_use]
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        self.waiting.values().filter(|deadline| **deadline > now).min().copied()
    }

    /// Wait to be expected with `ahead` requests before, when `slots` slots serve this queue.
    #[must_use]
    pub fn predict_wait(&self, ahead: u32, slots: u32) -> Span {
        Span(self.service_time.0.saturating_mul(u64::from(ahead) + 1) / u64::from(slots.max(1)))
    }
}
