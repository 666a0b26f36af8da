//! Incremental parser of an input file.
//!
//! The parser takes the file in pieces of any size, validates each line and returns chunks of whole
//! lines. It holds one line, one chunk and a hash of each `custom_id`, never the whole file.

use std::{collections::HashSet, fmt, mem};

use oleander_core::{Bytes, hash};

use crate::item::{ItemLine, LineError};

const MAX_CHUNK_BYTES: usize = 1_000_000;
/// Number of invalid lines after which parsing stops.
const MAX_INVALID_LINES: usize = 20;

/// Limits on one file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLimits {
    /// Maximum size of the file.
    pub bytes: Bytes,
    /// Maximum number of items.
    pub items: u32,
}

/// A chunk of whole lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedChunk {
    /// JSON lines, each with its line feed.
    pub content: Vec<u8>,
    /// Number of items.
    pub items: u32,
}

/// Summary of a valid file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedFile {
    /// Remaining chunks, not returned by [`BatchParser::push`].
    pub last_chunks: Vec<ParsedChunk>,
    /// Model that all items name.
    pub model: String,
    /// Size of the file.
    pub bytes: Bytes,
    /// Number of items.
    pub items: u32,
}

/// An invalid line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidLine {
    /// Number of the line, from 1.
    pub line: u64,
    /// Why it is invalid.
    pub error: LineError,
}

/// Why a file is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// The file exceeds this maximum size.
    TooLarge(Bytes),
    /// The file exceeds this maximum number of items.
    TooManyItems(u32),
    /// The file has no items.
    Empty,
    /// Lines are invalid; holds at most the first 20.
    InvalidLines(Vec<InvalidLine>),
}

/// Parser of one input file.
#[derive(Debug)]
pub struct BatchParser {
    limits: ParseLimits,
    bytes: u64,
    items: u32,
    line: u64,
    buffer: Vec<u8>,
    is_overlong: bool,
    chunk: ParsedChunk,
    id_hashes: HashSet<u64>,
    model: Option<String>,
    invalid: Vec<InvalidLine>,
}

impl BatchParser {
    /// Creates a parser at the start of a file.
    #[must_use]
    pub fn new(limits: ParseLimits) -> Self {
        Self {
            limits,
            bytes: 0,
            items: 0,
            line: 0,
            buffer: Vec::new(),
            is_overlong: false,
            chunk: ParsedChunk { content: Vec::new(), items: 0 },
            id_hashes: HashSet::new(),
            model: None,
            invalid: Vec::new(),
        }
    }

    /// Parses the next piece of the file and returns the chunks that it completes.
    ///
    /// # Errors
    ///
    /// Fails as soon as the file exceeds a limit or has 20 invalid lines.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<ParsedChunk>, ParseError> {
        self.bytes += piece.len() as u64;
        if self.bytes > self.limits.bytes.0 {
            return Err(ParseError::TooLarge(self.limits.bytes));
        }
        let mut chunks = Vec::new();
        let mut rest = piece;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.extend_line(&rest[..end]);
            rest = &rest[end + 1..];
            self.end_line(&mut chunks)?;
        }
        self.extend_line(rest);
        Ok(chunks)
    }

    /// Ends the file and returns its summary.
    ///
    /// # Errors
    ///
    /// Fails if any line is invalid or the file has no items.
    pub fn finish(mut self) -> Result<ParsedFile, ParseError> {
        let mut chunks = Vec::new();
        self.end_line(&mut chunks)?;
        if !self.invalid.is_empty() {
            return Err(ParseError::InvalidLines(self.invalid));
        }
        let Some(model) = self.model else { return Err(ParseError::Empty) };
        if self.chunk.items > 0 {
            chunks.push(self.chunk);
        }
        Ok(ParsedFile { last_chunks: chunks, model, bytes: Bytes(self.bytes), items: self.items })
    }

    fn extend_line(&mut self, part: &[u8]) {
        if self.buffer.len() + part.len() >= MAX_CHUNK_BYTES {
            self.is_overlong = true;
            self.buffer.clear();
        }
        if !self.is_overlong {
            self.buffer.extend_from_slice(part);
        }
    }

    fn end_line(&mut self, chunks: &mut Vec<ParsedChunk>) -> Result<(), ParseError> {
        self.line += 1;
        let line = mem::take(&mut self.buffer);
        let line = line.trim_ascii();
        if mem::take(&mut self.is_overlong) {
            return self.add_invalid(LineError::TooLong);
        }
        if line.is_empty() {
            return Ok(());
        }
        match self.validate(line) {
            Ok(()) => self.add_item(line, chunks),
            Err(error) => self.add_invalid(error),
        }
    }

    fn validate(&mut self, line: &[u8]) -> Result<(), LineError> {
        let item = ItemLine::parse(line)?;
        let model = self.model.get_or_insert_with(|| item.model().to_owned());
        if model != item.model() {
            return Err(LineError::ModelMismatch(item.model().to_owned()));
        }
        if !self.id_hashes.insert(hash::hash_parts(&[&item.custom_id])) {
            return Err(LineError::Duplicate(item.custom_id));
        }
        Ok(())
    }

    fn add_item(&mut self, line: &[u8], chunks: &mut Vec<ParsedChunk>) -> Result<(), ParseError> {
        if self.items >= self.limits.items {
            return Err(ParseError::TooManyItems(self.limits.items));
        }
        if self.chunk.content.len() + line.len() + 1 > MAX_CHUNK_BYTES {
            let next = ParsedChunk { content: Vec::new(), items: 0 };
            chunks.push(mem::replace(&mut self.chunk, next));
        }
        self.items += 1;
        if self.invalid.is_empty() {
            self.chunk.items += 1;
            self.chunk.content.extend_from_slice(line);
            self.chunk.content.push(b'\n');
        }
        Ok(())
    }

    fn add_invalid(&mut self, error: LineError) -> Result<(), ParseError> {
        self.invalid.push(InvalidLine { line: self.line, error });
        if self.invalid.len() < MAX_INVALID_LINES {
            return Ok(());
        }
        Err(ParseError::InvalidLines(mem::take(&mut self.invalid)))
    }
}

impl fmt::Display for InvalidLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.error)
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the file is larger than {limit}"),
            Self::TooManyItems(limit) => write!(f, "the file has more than {limit} items"),
            Self::Empty => f.write_str("the file has no items"),
            Self::InvalidLines(lines) => {
                let texts: Vec<String> = lines.iter().map(InvalidLine::to_string).collect();
                f.write_str(&texts.join("; "))
            }
        }
    }
}

impl std::error::Error for ParseError {}
