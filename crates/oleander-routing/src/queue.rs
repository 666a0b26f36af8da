//! Queue of online requests that wait for a free slot.
//!
//! Requests leave the queue in order of arrival as long as they can be in time. One that has waited
//! past its goal is late whenever it is sent, so it comes after all that can still be in time. When
//! more arrives than the slots can serve, order of arrival alone would make every request late;
//! this order keeps most in time and serves the others when the load falls, before their deadlines.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use oleander_core::{Span, Time};

use crate::pick::{Pick, TicketId};

/// Time after its deadline at which a request that was not picked or cancelled is dropped.
const EXPIRY_GRACE: Span = Span::from_secs(1);
/// Divisor that gives the weight of a new service time in the running mean.
const SERVICE_TIME_WEIGHT: u64 = 16;

/// Times of one queued request.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    goal: Option<Time>,
    deadline: Time,
    size: Option<u32>,
}

impl Waiting {
    fn is_late(self, now: Time) -> bool {
        is_late(self.goal, now)
    }
}

fn is_late(goal: Option<Time>, now: Time) -> bool {
    goal.is_some_and(|goal| goal <= now)
}

/// Queued online requests.
#[derive(Debug, Clone)]
pub struct WaitQueue {
    limit: u32,
    waiting: BTreeMap<TicketId, Waiting>,
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

    /// Running mean of the time that a request holds its slot.
    #[must_use]
    pub const fn service_time(&self) -> Span {
        self.service_time
    }

    /// Number of queued requests ahead of `request`, which has `ticket`.
    #[must_use]
    pub fn ahead(&self, now: Time, ticket: TicketId, request: &Pick) -> u32 {
        self.ahead_without(now, ticket, request, &BTreeSet::new())
    }

    /// Number of queued requests ahead of `request` that are not among `others`.
    #[must_use]
    pub fn ahead_without(
        &self,
        now: Time,
        ticket: TicketId,
        request: &Pick,
        others: &BTreeSet<TicketId>,
    ) -> u32 {
        let place = (is_late(request.goal, now), ticket);
        let counted = self.waiting.iter().filter(|(ticket, _)| !others.contains(ticket));
        let places = counted.map(|(ticket, waiting)| (waiting.is_late(now), *ticket));
        places.filter(|other| *other < place).count() as u32
    }

    /// The `count` longest ones of the queued requests and `request`, which has `ticket`; those
    /// that can still be in time come first.
    #[must_use]
    pub fn longest(
        &self,
        now: Time,
        ticket: TicketId,
        request: &Pick,
        count: u32,
    ) -> BTreeSet<TicketId> {
        let own = (is_late(request.goal, now), Reverse(request.size), ticket);
        let queued = self.waiting.iter().filter(|(other, _)| **other != ticket);
        let queued =
            queued.map(|(ticket, w)| (w.is_late(now), Reverse(w.size), *ticket)).chain([own]);
        let order: BTreeSet<_> = queued.collect();
        order.into_iter().take(count as usize).map(|(_, _, ticket)| ticket).collect()
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

    /// Queues `request`, which has `ticket`, until `deadline`.
    pub fn insert(&mut self, ticket: TicketId, request: &Pick, deadline: Time) {
        let Pick { goal, size, .. } = *request;
        self.waiting.insert(ticket, Waiting { goal, deadline, size });
    }

    /// Removes the request with `ticket`, if it is queued.
    pub fn remove(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
    }

    /// Whether the request with `ticket` is queued and its deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time, ticket: TicketId) -> bool {
        self.waiting.get(&ticket).is_some_and(|waiting| waiting.deadline <= now)
    }

    /// Drops requests that were abandoned without being removed.
    pub fn expire(&mut self, now: Time) {
        self.waiting.retain(|_, waiting| waiting.deadline + EXPIRY_GRACE > now);
    }

    /// The earliest deadline after `now`.
    #[must_use]
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        self.waiting.values().map(|waiting| waiting.deadline).filter(|at| *at > now).min()
    }

    /// Expected queueing time behind `ahead` requests, if `slots` slots serve this queue.
    #[must_use]
    pub fn predict_wait(&self, ahead: u32, slots: u32) -> Span {
        Span(self.service_time.0.saturating_mul(u64::from(ahead) + 1) / u64::from(slots.max(1)))
    }
}
