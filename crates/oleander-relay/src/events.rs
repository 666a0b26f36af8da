//! Splits a stream of server-sent events, and proves each event before it is passed on.
//!
//! A target in trouble may send any bytes where its response is due. A block of the stream is an
//! event only if it is a sequence of lines `name: value` in UTF-8 with exactly one id, which is one
//! more than that of the event before, and with data; its first line may also be a `name: number`
//! that the target adds. Line feeds between events and blocks of comments are skipped. Anything
//! else makes the stream invalid from there on: no byte of it is returned, and the request goes on
//! at another target after the last sound event.

use bytes::{Buf, Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of an event, with what is skipped before it; limits the memory that a target can
/// make this host use, and ends a stream that has no events.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Greatest id of the first event of a stream that does not resume.
const MAX_FIRST_ID: u64 = 1;
/// End of an event.
const BOUNDARY: &[u8] = b"\n\n";

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, including the boundary.
    pub raw: Bytes,
    /// Its id.
    pub id: u64,
}

/// Events that were completed by a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedEvents {
    /// Complete events, in order.
    pub events: Vec<Event>,
    /// False if what follows is no event, out of sequence or too long; the stream must be aborted
    /// then.
    pub valid: bool,
}

/// Splits a stream into events.
#[derive(Debug, Clone, Default)]
pub struct EventReader {
    pending: BytesMut,
    /// Bytes of `pending` in which no boundary begins.
    searched: usize,
    /// Bytes skipped since the last event.
    skipped: usize,
    last_id: Option<u64>,
}

/// What a block between two boundaries is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Block {
    /// An event with this id.
    Event(u64),
    /// Comments only.
    Comment,
    /// No event of the protocol.
    Unsound,
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
        self.pending.iter().all(|byte| *byte == b'\n')
    }

    /// Discards the beginning of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.searched = 0;
        self.skipped = 0;
    }

    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> ParsedEvents {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(raw) = self.next_block() {
            match classify(&raw) {
                Block::Event(id) if self.is_next(id) => {
                    self.last_id = Some(id);
                    self.skipped = 0;
                    events.push(Event { raw, id });
                }
                Block::Comment => self.skipped += raw.len(),
                Block::Event(_) | Block::Unsound => return ParsedEvents { events, valid: false },
            }
        }
        let valid = self.skipped + self.pending.len() <= MAX_EVENT_BYTES;
        ParsedEvents { events, valid }
    }

    /// Removes the next block up to its boundary, without the line feeds before it; does not search
    /// the same bytes twice.
    fn next_block(&mut self) -> Option<Bytes> {
        if self.searched == 0 {
            self.skip_line_feeds();
        }
        let Some(at) = memmem::find(&self.pending[self.searched..], BOUNDARY) else {
            self.searched = self.pending.len().saturating_sub(BOUNDARY.len() - 1);
            return None;
        };
        let end = self.searched + at + BOUNDARY.len();
        self.searched = 0;
        Some(self.pending.split_to(end).freeze())
    }

    fn skip_line_feeds(&mut self) {
        let count = self.pending.iter().take_while(|byte| **byte == b'\n').count();
        self.pending.advance(count);
        self.skipped += count;
    }

    fn is_next(&self, id: u64) -> bool {
        match self.last_id {
            Some(last) => last.checked_add(1) == Some(id),
            None => id <= MAX_FIRST_ID,
        }
    }
}

impl Event {
    /// The event's data lines, joined by line feeds.
    #[must_use]
    pub fn data(&self) -> Vec<u8> {
        block_data(&self.raw)
    }
}

/// Returns the data of each event in a sequence of complete events.
#[must_use]
pub fn event_data(events: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = events;
    let mut data = Vec::new();
    while let Some(at) = memmem::find(rest, BOUNDARY) {
        let (raw, after) = rest.split_at(at + BOUNDARY.len());
        data.push(block_data(raw));
        rest = after;
    }
    data
}

fn block_data(raw: &[u8]) -> Vec<u8> {
    let lines = raw.split(|byte| *byte == b'\n');
    let lines = lines.filter_map(|line| {
        let value = line.strip_prefix(b"data:")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    });
    lines.collect::<Vec<_>>().join(&b'\n')
}

/// Checks a block, with its boundary, against the form of an event.
fn classify(raw: &[u8]) -> Block {
    let Ok(text) = std::str::from_utf8(raw) else { return Block::Unsound };
    let text = text.trim_end_matches('\n');
    if text.split('\n').all(|line| line.starts_with(':')) {
        return Block::Comment;
    }
    let (mut id, mut has_data) = (None, false);
    for (index, line) in text.split('\n').enumerate() {
        let Some((name, value)) = line.split_once(':') else { return Block::Unsound };
        match name {
            "data" => has_data = true,
            "id" if id.is_none() => match parse_number(value) {
                Some(number) => id = Some(number),
                None => return Block::Unsound,
            },
            name if index == 0 && is_added(name, value) => {}
            _ => return Block::Unsound,
        }
    }
    id.filter(|_| has_data).map_or(Block::Unsound, Block::Event)
}

/// Whether a line is one that targets add before an event: a header's name and a number.
fn is_added(name: &str, value: &str) -> bool {
    let is_name = name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-');
    is_name && !name.is_empty() && name != "id" && parse_number(value).is_some()
}

/// Parses a value of digits only, which one space may precede.
fn parse_number(value: &str) -> Option<u64> {
    let digits = value.strip_prefix(' ').unwrap_or(value);
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}
