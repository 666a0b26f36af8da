//! Bounded event log of one process.
//!
//! Each event carries the time of a Lamport clock. It is larger than that of every event it
//! depends on, provided that messages between processes carry the logical time of their sender.

use std::collections::VecDeque;

use oleander_core::{Event, EventKind, HostId, Time};
use parking_lot::Mutex;

/// Ring buffer of the newest events of a process.
#[derive(Debug)]
pub struct Timeline {
    host: HostId,
    capacity: usize,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    sequence: u64,
    logical: u64,
}

impl Timeline {
    /// Default number of events kept.
    pub const DEFAULT_CAPACITY: usize = 20_000;

    /// An empty timeline of `host` that keeps the newest `capacity` events, at least one.
    #[must_use]
    pub fn new(host: HostId, capacity: usize) -> Self {
        Self { host, capacity: capacity.max(1), ring: Mutex::default() }
    }

    /// Records an event and returns its logical time.
    pub fn record(
        &self,
        now: Time,
        kind: EventKind,
        subject: impl Into<String>,
        detail: impl Into<String>,
    ) -> u64 {
        let (subject, detail) = (subject.into(), detail.into());
        let mut ring = self.ring.lock();
        ring.sequence += 1;
        ring.logical += 1;
        let (sequence, logical) = (ring.sequence, ring.logical);
        if ring.events.len() == self.capacity {
            ring.events.pop_front();
        }
        let host = self.host.clone();
        ring.events.push_back(Event { host, sequence, logical, at: now, kind, subject, detail });
        logical
    }

    /// Advances the logical time to that of a received message if it is larger.
    pub fn advance_to(&self, logical: u64) {
        let mut ring = self.ring.lock();
        ring.logical = ring.logical.max(logical);
    }

    /// The current logical time, to be sent with a message.
    #[must_use]
    pub fn logical_time(&self) -> u64 {
        self.ring.lock().logical
    }

    /// Kept events about `subject` (all for `None`) recorded at `since` or later, oldest first.
    #[must_use]
    pub fn events(&self, subject: Option<&str>, since: Time) -> Vec<Event> {
        let ring = self.ring.lock();
        ring.events
            .iter()
            .filter(|event| event.at >= since && subject.is_none_or(|s| s == event.subject))
            .cloned()
            .collect()
    }
}
