//! Counts of frames that were rejected.

use std::sync::atomic::{AtomicU64, Ordering};

use oleander_core::value;

use crate::LinkError;

value! {
    /// Frames rejected by one link since its start.
    pub struct LinkCounts {
        /// Wrong seal, stale time or foreign nonce.
        pub unauthenticated: u64,
        /// Another protocol version.
        pub version: u64,
        /// Payload that does not decode.
        pub codec: u64,
        /// Frame beyond the size bound.
        pub oversized: u64,
        /// Calls without an answer.
        pub no_response: u64,
    }
}

/// The live counters behind [`LinkCounts`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    unauthenticated: AtomicU64,
    version: AtomicU64,
    codec: AtomicU64,
    oversized: AtomicU64,
    no_response: AtomicU64,
}

impl Counters {
    /// Counts `error` under its kind.
    pub(crate) fn add(&self, error: &LinkError) {
        let counter = match error {
            LinkError::Unauthenticated => &self.unauthenticated,
            LinkError::Version(_) => &self.version,
            LinkError::Codec(_) => &self.codec,
            LinkError::TooLarge(_) => &self.oversized,
            LinkError::NoResponse(_) => &self.no_response,
            LinkError::Unreachable(_) | LinkError::Key(_) | LinkError::Listen(_) => return,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The present values.
    pub(crate) fn read(&self) -> LinkCounts {
        LinkCounts {
            unauthenticated: self.unauthenticated.load(Ordering::Relaxed),
            version: self.version.load(Ordering::Relaxed),
            codec: self.codec.load(Ordering::Relaxed),
            oversized: self.oversized.load(Ordering::Relaxed),
            no_response: self.no_response.load(Ordering::Relaxed),
        }
    }
}
