//! What a host keeps for reads of jobs that it hasn't loaded.

use oleander_core::JobId;
use parking_lot::Mutex;
use tokio::sync::Semaphore;

use crate::{
    item::NewItem,
    lookup::Lookups,
    read_choice::SilentOwners,
    record::ItemResult,
    rows::{RowLimits, Rows},
};

/// Maximum number of reads of segments and parts at the same time.
const MAX_CALLS: usize = 64;
/// Bounds for the results that are kept, in bytes.
const RESULT_LIMITS: RowLimits = RowLimits { contents: 16 << 20, index: 8 << 20 };
/// Bounds for the items that are kept, in bytes.
const ITEM_LIMITS: RowLimits = RowLimits { contents: 8 << 20, index: 8 << 20 };

/// What is shared by all readers of a host.
pub(crate) struct ReadState {
    /// Results of jobs, as read from the platform.
    pub(crate) results: Mutex<Rows<ItemResult>>,
    /// Items of jobs, as read from the platform.
    pub(crate) items: Mutex<Rows<NewItem>>,
    /// Records that are being read.
    pub(crate) lookups: Mutex<Lookups>,
    pub(crate) silent: Mutex<SilentOwners>,
    /// Permits for reads of segments and parts.
    pub(crate) calls: Semaphore,
}

impl Default for ReadState {
    fn default() -> Self {
        Self {
            results: Mutex::new(Rows::new(RESULT_LIMITS)),
            items: Mutex::new(Rows::new(ITEM_LIMITS)),
            lookups: Mutex::default(),
            silent: Mutex::default(),
            calls: Semaphore::new(MAX_CALLS),
        }
    }
}

/// Sizes of what a host keeps for reads, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadMemory {
    /// Contents of results and items.
    pub contents: usize,
    /// Positions of results and items.
    pub index: usize,
}

impl ReadMemory {
    /// The most that a host keeps.
    pub const MAX: Self = Self {
        contents: RESULT_LIMITS.contents + ITEM_LIMITS.contents,
        index: RESULT_LIMITS.index + ITEM_LIMITS.index,
    };
}

impl ReadState {
    /// Forgets what is kept of a job.
    pub(crate) fn forget(&self, job: &JobId) {
        self.results.lock().forget(job);
        self.items.lock().forget(job);
    }

    /// Memory that is kept now.
    pub(crate) fn memory(&self) -> ReadMemory {
        let results = self.results.lock().memory();
        let items = self.items.lock().memory();
        ReadMemory { contents: results.0 + items.0, index: results.1 + items.1 }
    }
}
