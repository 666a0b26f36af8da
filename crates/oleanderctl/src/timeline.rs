//! Merges the events of all processes.
//!
//! Logical time goes first: it is larger than that of every event that an event depends on, so
//! the order is causal also where wall clocks disagree.

use oleander_core::{Event, HostId, Span, Time, value};

value! {
    /// One line of the merged time line.
    pub struct Line {
        /// The event.
        pub event: Event,
        /// How far its wall clock lies behind an earlier line; zero if it does not.
        pub behind: Span,
    }
}

/// Orders events by logical time, then host, then the host's own sequence; drops repetitions.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| order(a).cmp(&order(b)));
    events.dedup();
    events
}

fn order(event: &Event) -> (u64, &HostId, u64, Time) {
    (event.logical, &event.host, event.sequence, event.at)
}

/// Merges events and marks those whose wall clock runs against the order.
#[must_use]
pub fn lines(events: Vec<Event>) -> Vec<Line> {
    let mut latest = Time::default();
    let merged = merge(events).into_iter();
    merged
        .map(|event| {
            let behind = latest.since(event.at);
            latest = latest.max(event.at);
            Line { event, behind }
        })
        .collect()
}
