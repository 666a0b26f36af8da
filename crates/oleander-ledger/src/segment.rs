//! Segments, the objects of a log.

use std::fmt;

use oleander_core::{AttemptId, HostId, value};
use serde::{Deserialize, Serialize};

/// Largest encoded segment, below the platform's limit of 1 MiB.
pub(crate) const MAX_SEGMENT_BYTES: usize = 1_000_000;

value! {
    /// Records that one writer commits together.
    pub struct Segment<R> {
        /// Host that wrote it.
        pub writer: HostId,
        /// Identifies this write, so that its writer recognises the object after a create without
        /// a response.
        pub attempt: AttemptId,
        /// The records, in order.
        pub records: Vec<R>,
    }
}

impl<R: Serialize + for<'de> Deserialize<'de>> Segment<R> {
    /// Encodes the segment.
    ///
    /// # Errors
    ///
    /// Fails on a record that can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, SegmentError> {
        postcard::to_stdvec(self).map_err(|e| SegmentError::Codec(e.to_string()))
    }

    /// Decodes a segment.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are not an encoded segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        postcard::from_bytes(bytes).map_err(|e| SegmentError::Codec(e.to_string()))
    }
}

/// Why a segment can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SegmentError {
    /// Error message of the codec.
    Codec(String),
}

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Codec(text) => write!(f, "segment codec: {text}"),
        }
    }
}

impl std::error::Error for SegmentError {}
