//! Bound on the reads of other hosts that wait for results here.
//!
//! A read that waits holds a worker of this host's link, and whatever finds no free worker is late:
//! probes, announcements and questions about streams.

use oleander_cluster::LINK_WORKERS;
use oleander_core::Span;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Maximum number of reads of other hosts that wait at the same time.
const MAX_PEER_WAITS: usize = LINK_WORKERS / 4;

/// Permissions to wait for other hosts' reads.
#[derive(Debug)]
pub(crate) struct PeerWaits(Semaphore);

impl Default for PeerWaits {
    fn default() -> Self {
        Self(Semaphore::new(MAX_PEER_WAITS))
    }
}

impl PeerWaits {
    /// How long a read may wait that asks for `wait`, with the permission to hold meanwhile; not at
    /// all if as many wait as may. Its reader then gets an empty page, and reads again at its own
    /// pace.
    pub(crate) fn grant(&self, wait: Span) -> (Option<SemaphorePermit<'_>>, Span) {
        if wait == Span::ZERO {
            return (None, wait);
        }
        match self.0.try_acquire() {
            Ok(permit) => (Some(permit), wait),
            Err(_) => {
                metrics::counter!("peer_reads_not_waiting_total").increment(1);
                (None, Span::ZERO)
            }
        }
    }
}
