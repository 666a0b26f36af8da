//! Borders and ids of the events in a stream.
//!
//! Only whole events leave the reader, so that a stream that breaks off inside an event can go on
//! at another target. Ids must follow one another without a gap.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Longest event that is accepted, in bytes; bounds what a target can make this host hold.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// What ends an event.
const BORDER: &[u8] = b"\n\n";

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the border.
    pub raw: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// What a piece of a stream brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedEvents {
    /// Whole events, in order.
    pub events: Vec<Event>,
    /// Whether what follows them belongs to this stream; if not, the stream must be broken off.
    pub valid: bool,
}

/// Cuts a stream into events.
#[derive(Debug, Clone, Default)]
pub struct EventReader {
    pending: BytesMut,
    last: Option<u64>,
}

impl EventReader {
    /// A reader of a stream that goes on after the event `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { pending: BytesMut::new(), last }
    }

    /// Id of the last whole event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream stands at the border of an event.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.pending.iter().all(u8::is_ascii_whitespace)
    }

    /// Drops the beginning of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> ParsedEvents {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(at) = memmem::find(&self.pending, BORDER) {
            let raw = self.pending.split_to(at + BORDER.len()).freeze();
            let id = read_id(&raw);
            if !self.follows(id) {
                return ParsedEvents { events, valid: false };
            }
            self.last = id.or(self.last);
            events.push(Event { raw, id });
        }
        ParsedEvents { events, valid: self.pending.len() <= MAX_EVENT_BYTES }
    }

    fn follows(&self, id: Option<u64>) -> bool {
        match (self.last, id) {
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

/// Data of each of several whole events.
#[must_use]
pub fn event_data(events: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = Bytes::copy_from_slice(events);
    let mut data = Vec::new();
    while let Some(at) = memmem::find(&rest, BORDER) {
        let raw = rest.split_to(at + BORDER.len());
        data.push(Event { raw, id: None }.data());
    }
    data
}

fn read_id(raw: &[u8]) -> Option<u64> {
    let line = raw.split(|byte| *byte == b'\n').find_map(|line| field(line, b"id"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Value of a line `name: value`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    let value = value.strip_suffix(b"\r").unwrap_or(value);
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
