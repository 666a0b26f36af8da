//! Memory that all responses in progress may hold together.
//!
//! Each response has limits of its own, but many at once, each just below them, would exceed the
//! memory of the process. A response that holds little isn't counted, so that it is never left for
//! the sake of others. If those that are counted exceed the limit, the one that holds most is left:
//! this ends the fewest responses, and a smaller one never ends for a larger one. Of equal ones the
//! oldest is left, which has had the most time to be complete.

use std::{cmp::Reverse, collections::HashMap, future::pending, sync::Arc};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Limit of a process that states no other one.
const DEFAULT_LIMIT_BYTES: usize = 64 << 20;
/// Size up to which a response isn't counted.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Why such a response is left.
pub const LEFT_FOR_MEMORY: &str = "response holds most of the memory for responses";

/// The bytes that responses in progress hold; clones share the count.
#[derive(Debug, Clone)]
pub struct ResponseMemory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    holders: Mutex<Holders>,
}

#[derive(Debug, Default)]
struct Holders {
    next: u64,
    /// Bytes of all responses that aren't left yet.
    total: usize,
    counted: HashMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    is_left: bool,
    left: Arc<Notify>,
}

/// The bytes that one response holds, given back on drop.
#[derive(Debug)]
pub struct HeldBytes {
    shared: Arc<Shared>,
    /// Key of the response, once it is counted.
    key: Option<u64>,
    left: Arc<Notify>,
}

impl Default for ResponseMemory {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT_BYTES)
    }
}

impl ResponseMemory {
    /// Limits the bytes that all responses hold together.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { shared: Arc::new(Shared { limit, holders: Mutex::default() }) }
    }

    /// Bytes that are counted.
    #[must_use]
    pub fn held(&self) -> usize {
        self.shared.holders.lock().total
    }

    /// The count of a response that holds nothing yet.
    #[must_use]
    pub fn hold(&self) -> HeldBytes {
        HeldBytes { shared: Arc::clone(&self.shared), key: None, left: Arc::default() }
    }
}

impl HeldBytes {
    /// Records how many bytes the response holds now.
    pub fn set(&mut self, bytes: usize) {
        if bytes <= UNCOUNTED_BYTES {
            self.give_back();
            return;
        }
        let mut holders = self.shared.holders.lock();
        let key = *self.key.get_or_insert_with(|| holders.add(Arc::clone(&self.left)));
        holders.set(key, bytes);
        holders.leave_beyond(self.shared.limit);
    }

    /// Completes once the response must be left.
    pub async fn left(&self) {
        match self.key {
            Some(_) => self.left.notified().await,
            None => pending().await,
        }
    }

    fn give_back(&mut self) {
        if let Some(key) = self.key.take() {
            self.shared.holders.lock().remove(key);
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.give_back();
    }
}

impl Holders {
    fn add(&mut self, left: Arc<Notify>) -> u64 {
        self.next += 1;
        self.counted.insert(self.next, Holder { bytes: 0, is_left: false, left });
        self.next
    }

    fn set(&mut self, key: u64, bytes: usize) {
        let Some(holder) = self.counted.get_mut(&key).filter(|holder| !holder.is_left) else {
            return;
        };
        self.total = self.total - holder.bytes + bytes;
        holder.bytes = bytes;
    }

    fn remove(&mut self, key: u64) {
        let holder = self.counted.remove(&key).filter(|holder| !holder.is_left);
        self.total -= holder.map_or(0, |holder| holder.bytes);
    }

    /// Leaves responses until the others hold at most `limit` bytes.
    fn leave_beyond(&mut self, limit: usize) {
        while self.total > limit {
            let open = self.counted.iter_mut().filter(|(_, holder)| !holder.is_left);
            let largest = open.max_by_key(|(key, holder)| (holder.bytes, Reverse(**key)));
            let Some((_, holder)) = largest else { return };
            holder.is_left = true;
            self.total -= holder.bytes;
            holder.left.notify_one();
            metrics::counter!("responses_left_for_memory_total").increment(1);
            log::warn!(bytes = holder.bytes, others = self.total;
                "response left: it holds most of the memory for responses");
        }
    }
}
