//! Whether a connection has accepted all that was to be written.
//!
//! The operating system accepts megabytes for a peer that reads nothing, so that a request would
//! count as written long before its peer can have it. A limit on what it keeps unsent makes the
//! connection wait instead.

use std::{
    io::Result,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::Poll,
};

use socket2::SockRef;
use tokio::net::TcpStream;

/// Maximum number of bytes that the operating system keeps unsent for a connection, beyond one
/// write.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Whether a part of the last request waits to be written; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Unwritten {
    waits: Arc<AtomicBool>,
}

impl Unwritten {
    /// Limits what the operating system keeps unsent for `stream`.
    pub(crate) fn of(stream: &TcpStream) -> Self {
        let limited = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        if let Err(error) = limited {
            log::debug!(error:% = error; "unsent bytes of a connection can't be limited");
        }
        Self::default()
    }

    /// Whether a part of the request waits for the connection, or could not be written.
    ///
    /// A response that ends with its connection is not known to be whole then: a server that has
    /// answered on purpose would have read the request, or stated a length.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.waits.load(Ordering::Relaxed)
    }

    /// Records the result of writing `length` bytes.
    pub(crate) fn record(&self, length: usize, written: &Poll<Result<usize>>) {
        let is_whole = matches!(written, Poll::Ready(Ok(count)) if *count >= length);
        self.waits.store(!is_whole, Ordering::Relaxed);
    }
}
