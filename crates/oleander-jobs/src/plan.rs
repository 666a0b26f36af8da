//! Division of a job's items into lots.

use oleander_core::{ChunkIndex, ItemIndex, LotIndex};

use crate::record::ChunkRecord;

/// The range of items that forms a lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LotRange {
    /// Chunk that holds them.
    pub chunk: ChunkIndex,
    /// Position of the first item in the chunk.
    pub offset: u32,
    /// Position of the first item in the job.
    pub first: ItemIndex,
    /// Number of items.
    pub count: u32,
}

/// The lots of one job: consecutive items that are all in one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LotPlan {
    lots: Vec<LotRange>,
}

impl LotPlan {
    /// Divides chunks into lots of at most `lot_items` items; 0 counts as 1.
    #[must_use]
    pub fn new(chunks: &[ChunkRecord], lot_items: u32) -> Self {
        let lot_items = lot_items.max(1);
        let mut lots = Vec::new();
        let mut first = 0;
        for (index, chunk) in (0..).zip(chunks) {
            let mut offset = 0;
            while offset < chunk.items {
                let count = lot_items.min(chunk.items - offset);
                let range =
                    LotRange { chunk: ChunkIndex(index), offset, first: ItemIndex(first), count };
                lots.push(range);
                offset += count;
                first += count;
            }
        }
        Self { lots }
    }

    /// Number of lots.
    #[must_use]
    pub fn lots(&self) -> u32 {
        self.lots.len() as u32
    }

    /// Range of a lot's items; `None` if the job has no such lot.
    #[must_use]
    pub fn range(&self, lot: LotIndex) -> Option<LotRange> {
        self.lots.get(lot.0 as usize).copied()
    }
}
