//! Splits a stream of server-sent events.
//!
//! The reader returns complete events only, so that a stream that is interrupted inside an event
//! can resume at another target. Event ids must be consecutive.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of an event, with what precedes it without an id; limits the memory that a target
/// can make this host use, and ends a stream that has no events.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// End of an event.
const BOUNDARY: &[u8] = b"\n\n";

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, including the boundary.
    pub raw: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Events that were completed by a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedEvents {
    /// Complete events, in order.
    pub events: Vec<Event>,
    /// False if the next event is out of sequence or too long; the stream must be aborted then.
    pub valid: bool,
}

/// Splits a stream into events.
#[derive(Debug, Clone, Default)]
pub struct EventReader {
    pending: BytesMut,
    /// Bytes of `pending` in which no boundary begins.
    searched: usize,
    /// Bytes of complete events since the last one that had an id.
    unidentified: usize,
    last_id: Option<u64>,
}

impl EventReader {
    /// Creates a reader of a stream that resumes after the event `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Id of the last complete event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream is at an event boundary.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.pending.iter().all(u8::is_ascii_whitespace)
    }

    /// Discards the beginning of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.unidentified = 0;
    }

    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> ParsedEvents {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(raw) = self.next_event() {
            let id = read_id(&raw);
            if !self.is_next(id) {
                return ParsedEvents { events, valid: false };
            }
            self.last_id = id.or(self.last_id);
            self.unidentified = if id.is_some() { 0 } else { self.unidentified + raw.len() };
            events.push(Event { raw, id });
        }
        let valid = self.unidentified + self.pending.len() <= MAX_EVENT_BYTES;
        ParsedEvents { events, valid }
    }

    /// Removes the next complete event; does not search the same bytes twice.
    fn next_event(&mut self) -> Option<Bytes> {
        let Some(at) = memmem::find(&self.pending[self.searched..], BOUNDARY) else {
            self.searched = self.pending.len().saturating_sub(BOUNDARY.len() - 1);
            return None;
        };
        let end = self.searched + at + BOUNDARY.len();
        self.searched = 0;
        Some(self.pending.split_to(end).freeze())
    }

    fn is_next(&self, id: Option<u64>) -> bool {
        match (self.last_id, id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }
}

impl Event {
    /// The event's data lines, joined by line feeds.
    #[must_use]
    pub fn data(&self) -> Vec<u8> {
        let lines = self.raw.split(|byte| *byte == b'\n');
        let lines = lines.filter_map(|line| field(line, b"data"));
        lines.collect::<Vec<_>>().join(&b'\n')
    }
}

/// Returns the data of each event in a sequence of complete events.
#[must_use]
pub fn event_data(events: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = Bytes::copy_from_slice(events);
    let mut data = Vec::new();
    while let Some(at) = memmem::find(&rest, BOUNDARY) {
        let raw = rest.split_to(at + BOUNDARY.len());
        data.push(Event { raw, id: None }.data());
    }
    data
}

fn read_id(raw: &[u8]) -> Option<u64> {
    let line = raw.split(|byte| *byte == b'\n').find_map(|line| field(line, b"id"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Returns the value of a line `name: value`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
