//! Counters of rejected frames and failed calls.

use std::sync::atomic::{AtomicU64, Ordering};

use oleander_core::value;

use crate::LinkError;

value! {
    /// Rejected frames and failed calls of one link since its creation.
    pub struct LinkCounts {
        /// Frames with a wrong MAC, time or nonce.
        pub unauthenticated: u64,
        /// Frames of another protocol version.
        pub version: u64,
        /// Payloads that could not be encoded or decoded.
        pub codec: u64,
        /// Frames larger than [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
        pub oversized: u64,
        /// Calls that got no response.
        pub no_response: u64,
    }
}

/// The atomic counters of a link.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    unauthenticated: AtomicU64,
    version: AtomicU64,
    codec: AtomicU64,
    oversized: AtomicU64,
    no_response: AtomicU64,
}

impl Counters {
    /// Increments the counter for `error`, if there is one.
    pub(crate) fn record(&self, error: &LinkError) {
        let counter = match error {
            LinkError::Unauthenticated => &self.unauthenticated,
            LinkError::Version(_) => &self.version,
            LinkError::Codec(_) => &self.codec,
            LinkError::TooLarge(_) => &self.oversized,
            LinkError::NoResponse(_) => &self.no_response,
            LinkError::Unreachable(_)
            | LinkError::Refused(_)
            | LinkError::Key(_)
            | LinkError::Listen(_) => return,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// The current values; each counter is read separately.
    pub(crate) fn snapshot(&self) -> LinkCounts {
        LinkCounts {
            unauthenticated: self.unauthenticated.load(Ordering::Relaxed),
            version: self.version.load(Ordering::Relaxed),
            codec: self.codec.load(Ordering::Relaxed),
            oversized: self.oversized.load(Ordering::Relaxed),
            no_response: self.no_response.load(Ordering::Relaxed),
        }
    }
}
