//! Sizes of results as they are written.
//!
//! Results are stored and returned in JSON, where a line feed takes two bytes and another control
//! character six. All limits on results therefore count the bytes of their JSON.

use crate::record::{ItemRecord, ItemResult};

/// Upper bound for what surrounds the results in a stored object, in bytes.
const OBJECT_OVERHEAD: usize = 4 << 10;
/// Upper bound for what surrounds the text of a result or an item, in bytes.
const RECORD_OVERHEAD: usize = 128;
/// Size of the punctuation around one field of a table, in bytes.
const FIELD_OVERHEAD: usize = 6;
/// Maximum size of the results in one segment, in bytes.
const SEGMENT_BYTES: usize = 400 << 10;

/// Limits on the results of a job that follow from the size of the platform's objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultLimits {
    /// Maximum size of one result, in bytes.
    pub result: usize,
    /// Maximum size of all results in a segment that has more than one, in bytes.
    pub segment: usize,
}

impl ResultLimits {
    /// Limits for objects of at most `bytes`.
    #[must_use]
    pub const fn of_objects(bytes: usize) -> Self {
        let result = content_bytes(bytes);
        let segment = if result < SEGMENT_BYTES { result } else { SEGMENT_BYTES };
        Self { result, segment }
    }

    /// Maximum size of an item's output in JSON, in bytes.
    pub(crate) fn output_of(self, item: &str) -> usize {
        self.result.saturating_sub(ItemResult::json_len_of(item, 0))
    }
}

/// Room for the system's own content in an object of `bytes`.
pub(crate) const fn content_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(OBJECT_OVERHEAD)
}

/// Size of a text inside a JSON string, in bytes.
#[must_use]
pub fn escaped_len(text: &str) -> usize {
    let lengths = text.bytes().map(|byte| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..0x20 => 6,
        _ => 1,
    });
    lengths.sum()
}

impl ItemResult {
    /// Upper bound for the size of the result in JSON, in bytes.
    #[must_use]
    pub fn json_len(&self) -> usize {
        Self::json_len_of(&self.item, escaped_len(&self.output))
    }

    /// Upper bound for the size of an item's result whose output takes `output` bytes.
    pub(crate) fn json_len_of(item: &str, output: usize) -> usize {
        escaped_len(item) + output + RECORD_OVERHEAD
    }
}

impl ItemRecord {
    /// Upper bound for the size of the item in JSON, in bytes.
    pub(crate) fn json_len(&self) -> usize {
        let headers =
            self.headers.iter().map(|(k, v)| escaped_len(k) + escaped_len(v) + FIELD_OVERHEAD);
        let texts = [&self.id, &self.path, &self.body].into_iter().map(|text| escaped_len(text));
        texts.sum::<usize>() + headers.sum::<usize>() + RECORD_OVERHEAD
    }
}
