//! Splits a stream of server-sent events, and proves each event before it is passed on.
//!
//! A target in trouble may send any bytes where its response is due. A block of the stream is an
//! event only if it is a sequence of lines `name: value` in UTF-8 with exactly one id, which is one
//! more than that of the event before, and with data; its first line may also be a `name: number`
//! that the target adds. Line feeds between events and blocks of comments are skipped. Anything
//! else makes the stream invalid from there on: no byte of it is returned, and the request goes on
//! at another target after the last sound event.
//!
//! The protocol marks no event as the last one, so that a stream is complete when a response ends
//! between two events. If an earlier response broke off inside an event, that event exists, and a
//! response that ends before it doesn't complete the stream.

use bytes::{Buf, Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of an event, with what is skipped before it; limits the memory that a target can
/// make this host use, and ends a stream that has no events.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum number of chunks in which an event arrives, with what is skipped before it; limits the
/// work for chunks of a few bytes, which reach the size limit only after minutes.
const MAX_EVENT_CHUNKS: usize = 16 << 10;
/// Size of the shortest event; fewer bytes may be line feeds between events.
pub(crate) const MIN_EVENT_BYTES: u64 = "id:1\ndata:\n\n".len() as u64;
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
    /// Chunks since the last event.
    chunks: usize,
    last_id: Option<u64>,
    /// Whether an earlier response broke off inside the next event.
    has_begun_next: bool,
    /// Whether a response ended before that event.
    is_contradicted: bool,
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

    /// Bytes of an incomplete event.
    pub(crate) fn held_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether the stream is at an event boundary.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.pending.iter().all(|byte| *byte == b'\n')
    }

    /// Whether the stream is complete if the response ends here.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.at_boundary() && !self.has_begun_next
    }

    /// Records that the response has ended.
    pub(crate) fn record_end(&mut self) {
        self.is_contradicted |= self.at_boundary() && self.has_begun_next;
    }

    /// Whether a response ended before an event that an earlier one had begun, so that one of the
    /// two is wrong.
    #[must_use]
    pub const fn is_contradicted(&self) -> bool {
        self.is_contradicted
    }

    /// Discards the beginning of an incomplete event, of which only its existence is kept.
    pub fn discard_partial(&mut self) {
        self.has_begun_next |= self.begins_next();
        // The memory as well, which an item that waits for its next run would keep.
        self.pending = BytesMut::new();
        self.searched = 0;
        self.skipped = 0;
        self.chunks = 0;
    }

    /// Records that another event follows, by the length of a response that broke off.
    pub(crate) const fn record_begun(&mut self) {
        self.has_begun_next = true;
    }

    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> ParsedEvents {
        self.pending.extend_from_slice(bytes);
        self.chunks += 1;
        let mut events = Vec::new();
        while let Some(raw) = self.next_block() {
            match classify(&raw) {
                Block::Event(id) if self.is_next(id) => {
                    self.last_id = Some(id);
                    (self.has_begun_next, self.is_contradicted) = (false, false);
                    (self.skipped, self.chunks) = (0, 0);
                    events.push(Event { raw, id });
                }
                Block::Comment => self.skipped += raw.len(),
                Block::Event(_) | Block::Unsound => return ParsedEvents { events, valid: false },
            }
        }
        ParsedEvents { events, valid: self.is_within_limits() }
    }

    /// Whether the next event may still become complete.
    fn is_within_limits(&self) -> bool {
        let bytes = self.skipped + self.pending.len();
        bytes <= MAX_EVENT_BYTES && self.chunks <= MAX_EVENT_CHUNKS
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

    /// Whether the pending bytes are the beginning of the next event, as far as they go.
    fn begins_next(&self) -> bool {
        let from = self.pending.iter().position(|byte| *byte != b'\n');
        let Some(bytes) = from.map(|at| &self.pending[at..]) else { return false };
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            // The last character may be cut.
            Err(error) if error.error_len().is_none() => {
                std::str::from_utf8(&bytes[..error.valid_up_to()]).unwrap_or_default()
            }
            Err(_) => return false,
        };
        let (complete, partial) = text.rsplit_once('\n').unwrap_or(("", text));
        let mut lines = Lines::default();
        let mut complete = complete.split('\n').filter(|line| !line.is_empty());
        complete.all(|line| lines.push(line))
            && lines.may_go_on(partial)
            && lines.id.is_none_or(|id| self.is_next(id))
            && partial.strip_prefix("id:").is_none_or(|value| self.begins_next_id(value))
    }

    fn begins_next_id(&self, value: &str) -> bool {
        let digits = value.strip_prefix(' ').unwrap_or(value);
        match self.last_id {
            Some(last) => last.checked_add(1).is_some_and(|id| id.to_string().starts_with(digits)),
            None => (0..=MAX_FIRST_ID).any(|id| id.to_string().starts_with(digits)),
        }
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
    let mut lines = Lines::default();
    if !text.split('\n').all(|line| lines.push(line)) {
        return Block::Unsound;
    }
    lines.id.filter(|_| lines.has_data).map_or(Block::Unsound, Block::Event)
}

/// The lines of an event so far.
#[derive(Debug, Clone, Copy, Default)]
struct Lines {
    count: usize,
    id: Option<u64>,
    has_data: bool,
}

impl Lines {
    /// Adds a line; returns whether the event may have it.
    fn push(&mut self, line: &str) -> bool {
        let is_first = self.count == 0;
        self.count += 1;
        let Some((name, value)) = line.split_once(':') else { return false };
        match name {
            "data" => {
                self.has_data = true;
                true
            }
            "id" if self.id.is_none() => {
                self.id = parse_number(value);
                self.id.is_some()
            }
            name => is_first && is_added(name, value),
        }
    }

    /// Whether a line of the event may begin with these bytes.
    fn may_go_on(self, partial: &str) -> bool {
        let Some((name, value)) = partial.split_once(':') else {
            let may_add = self.count == 0 && is_name(partial);
            return may_add || ["id", "data"].iter().any(|name| name.starts_with(partial));
        };
        match name {
            "data" => true,
            "id" if self.id.is_some() => false,
            "id" => begins_number(value),
            name => self.count == 0 && is_name(name) && !name.is_empty() && begins_number(value),
        }
    }
}

/// Whether a line is one that targets add before an event: a header's name and a number.
fn is_added(name: &str, value: &str) -> bool {
    is_name(name) && !name.is_empty() && name != "id" && parse_number(value).is_some()
}

/// Whether a header may be named so in lowercase, or its name begin so.
fn is_name(name: &str) -> bool {
    name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'-')
}

/// Whether a number may begin with these bytes.
fn begins_number(value: &str) -> bool {
    matches!(value, "" | " ") || parse_number(value).is_some()
}

/// Parses a value of digits only, which one space may precede.
fn parse_number(value: &str) -> Option<u64> {
    let digits = value.strip_prefix(' ').unwrap_or(value);
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}
