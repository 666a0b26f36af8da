//! Merges the events of all processes into one timeline.
//!
//! Events are ordered by logical time first. The logical time of an event is larger than that of
//! every event it depends on, so the order is causal even if wall clocks disagree.

use oleander_core::{Event, HostId, Span, Time, value};

value! {
    /// One line of the merged timeline.
    pub struct Line {
        /// The event.
        pub event: Event,
        /// How far its wall clock is behind the latest of the earlier lines; zero if it is not.
        pub behind: Span,
    }
}

/// Orders events by logical time, then host, then sequence number; removes duplicates.
#[must_use]
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    events.dedup();
    events
}

fn sort_key(event: &Event) -> (u64, &HostId, u64, Time) {
    (event.logical, &event.host, event.sequence, event.at)
}

/// Merges events and computes how far each wall clock is behind the earlier lines.
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
