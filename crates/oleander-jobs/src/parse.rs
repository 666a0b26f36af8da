//! Incremental check of an input file.
//!
//! The parser takes the file in pieces of any size and returns whole chunks. It holds one line,
//! one chunk and a hash of each `custom_id`, never the file.

use std::{collections::HashSet, fmt, mem};

use oleander_core::{Bytes, hash};

use crate::item::{ItemLine, LineError};

/// Largest chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 1_000_000;
/// Faults that are collected before the parser gives up.
const MAX_FAULTS: usize = 20;

/// Bounds of one file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLimits {
    /// Largest file.
    pub bytes: Bytes,
    /// Most items.
    pub items: u32,
}

/// A chunk of whole lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedChunk {
    /// JSON lines, each with its line end.
    pub content: Vec<u8>,
    /// Number of items.
    pub items: u32,
}

/// What the whole file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedFile {
    /// The chunks that the end completes.
    pub last_chunks: Vec<ParsedChunk>,
    /// Model that all items name.
    pub model: String,
    /// Size of the file.
    pub bytes: Bytes,
    /// Number of items.
    pub items: u32,
}

/// A fault of one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidLine {
    /// Number of the line, from 1.
    pub line: u64,
    /// What is wrong.
    pub error: LineError,
}

/// Why a file is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// The file is larger than this.
    TooLarge(Bytes),
    /// The file has more items than this.
    TooManyItems(u32),
    /// The file has no item.
    Empty,
    /// Lines with faults; the first ones.
    InvalidLines(Vec<InvalidLine>),
}

/// The parser of one file.
#[derive(Debug)]
pub struct BatchParser {
    limits: ParseLimits,
    bytes: u64,
    items: u32,
    line: u64,
    partial: Vec<u8>,
    overlong: bool,
    chunk: ParsedChunk,
    ids: HashSet<u64>,
    model: Option<String>,
    faults: Vec<InvalidLine>,
}

impl BatchParser {
    /// A parser that has seen nothing.
    #[must_use]
    pub fn new(limits: ParseLimits) -> Self {
        Self {
            limits,
            bytes: 0,
            items: 0,
            line: 0,
            partial: Vec::new(),
            overlong: false,
            chunk: ParsedChunk { content: Vec::new(), items: 0 },
            ids: HashSet::new(),
            model: None,
            faults: Vec::new(),
        }
    }

    /// Takes the next piece and returns the chunks that it completes.
    ///
    /// # Errors
    ///
    /// Fails as soon as a bound is exceeded or many lines have faults.
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

    /// Ends the file.
    ///
    /// # Errors
    ///
    /// Fails if any line has a fault or there is no item.
    pub fn finish(mut self) -> Result<ParsedFile, ParseError> {
        let mut chunks = Vec::new();
        self.end_line(&mut chunks)?;
        if !self.faults.is_empty() {
            return Err(ParseError::InvalidLines(self.faults));
        }
        let Some(model) = self.model else { return Err(ParseError::Empty) };
        if self.chunk.items > 0 {
            chunks.push(self.chunk);
        }
        Ok(ParsedFile { last_chunks: chunks, model, bytes: Bytes(self.bytes), items: self.items })
    }

    fn extend_line(&mut self, part: &[u8]) {
        if self.partial.len() + part.len() >= MAX_CHUNK_BYTES {
            self.overlong = true;
            self.partial.clear();
        }
        if !self.overlong {
            self.partial.extend_from_slice(part);
        }
    }

    fn end_line(&mut self, chunks: &mut Vec<ParsedChunk>) -> Result<(), ParseError> {
        self.line += 1;
        let line = mem::take(&mut self.partial);
        let line = line.trim_ascii();
        if mem::take(&mut self.overlong) {
            return self.add_fault(LineError::TooLong);
        }
        if line.is_empty() {
            return Ok(());
        }
        match self.check_line(line) {
            Ok(()) => self.add_line(line, chunks),
            Err(error) => self.add_fault(error),
        }
    }

    fn check_line(&mut self, line: &[u8]) -> Result<(), LineError> {
        let item = ItemLine::parse(line)?;
        let model = self.model.get_or_insert_with(|| item.model().to_owned());
        if model != item.model() {
            return Err(LineError::ModelMismatch(item.model().to_owned()));
        }
        if !self.ids.insert(hash::hash_parts(&[&item.custom_id])) {
            return Err(LineError::Duplicate(item.custom_id));
        }
        Ok(())
    }

    fn add_line(&mut self, line: &[u8], chunks: &mut Vec<ParsedChunk>) -> Result<(), ParseError> {
        if self.items >= self.limits.items {
            return Err(ParseError::TooManyItems(self.limits.items));
        }
        if self.chunk.content.len() + line.len() + 1 > MAX_CHUNK_BYTES {
            let next = ParsedChunk { content: Vec::new(), items: 0 };
            chunks.push(mem::replace(&mut self.chunk, next));
        }
        self.items += 1;
        if self.faults.is_empty() {
            self.chunk.items += 1;
            self.chunk.content.extend_from_slice(line);
            self.chunk.content.push(b'\n');
        }
        Ok(())
    }

    fn add_fault(&mut self, error: LineError) -> Result<(), ParseError> {
        self.faults.push(InvalidLine { line: self.line, error });
        if self.faults.len() < MAX_FAULTS {
            return Ok(());
        }
        Err(ParseError::InvalidLines(mem::take(&mut self.faults)))
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
            Self::InvalidLines(faults) => {
                let texts: Vec<String> = faults.iter().map(InvalidLine::to_string).collect();
                f.write_str(&texts.join("; "))
            }
        }
    }
}

impl std::error::Error for ParseError {}
