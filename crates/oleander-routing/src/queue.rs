//! Queue of online requests that wait for a free slot.

use std::collections::BTreeMap;

use oleander_core::{Span, Time};

use crate::pick::TicketId;

/// Time after its deadline at which a request that was not picked or cancelled is dropped.
const EXPIRY_GRACE: Span = Span::from_secs(1);
/// Divisor that gives the weight of a new service time in the running mean.
const SERVICE_TIME_WEIGHT: u64 = 16;

/// Queued online requests with their deadlines, in order of arrival.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    limit: u32,
    waiting: BTreeMap<TicketId, Time>,
    /// Running mean of the time that a request holds its slot.
    service_time: Span,
}

impl WaitQueue {
    /// Service time assumed before the first observation.
    pub const INITIAL_SERVICE_TIME: Span = Span::from_millis(1_000);

    /// Creates an empty queue for at most `limit` requests.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, waiting: BTreeMap::new(), service_time: Self::INITIAL_SERVICE_TIME }
    }

    /// Adds the time that a request held its slot to the running mean.
    pub const fn record_service_time(&mut self, took: Span) {
        self.service_time =
            Span((self.service_time.0 * (SERVICE_TIME_WEIGHT - 1) + took.0) / SERVICE_TIME_WEIGHT);
    }

    /// Number of queued requests ahead of `ticket`.
    #[must_use]
    pub fn ahead(&self, ticket: TicketId) -> u32 {
        self.waiting.range(..ticket).count() as u32
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the request with `ticket` is queued.
    #[must_use]
    pub fn contains(&self, ticket: TicketId) -> bool {
        self.waiting.contains_key(&ticket)
    }

    /// Whether the queue has reached its limit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.limit
    }

    /// Queues the request with `ticket` until `deadline`.
    pub fn insert(&mut self, ticket: TicketId, deadline: Time) {
        self.waiting.insert(ticket, deadline);
    }

    /// Removes the request with `ticket`, if it is queued.
    pub fn remove(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Whether the request with `ticket` is queued and its deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time, ticket: TicketId) -> bool {
        self.waiting.get(&ticket).is_some_and(|deadline| *deadline <= now)
    }

    /// Drops requests that were abandoned without being removed.
    pub fn expire(&mut self, now: Time) {
        self.waiting.retain(|_, deadline| *deadline + EXPIRY_GRACE > now);
    }

    /// The earliest deadline after `now`.
    #[must_use]
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        self.waiting.values().filter(|deadline| **deadline > now).min().copied()
    }

    /// Expected queueing time behind `ahead` requests, if `slots` slots serve this queue.
    #[must_use]
    pub fn predict_wait(&self, ahead: u32, slots: u32) -> Span {
        Span(self.service_time.0.saturating_mul(u64::from(ahead) + 1) / u64::from(slots.max(1)))
    }
}
