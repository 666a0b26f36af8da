//! Output of a job, read from the logs of its lots.
//!
//! The output is read in blocks, each with the lines of one log segment, so that only one chunk of
//! the input file and one segment are in memory at a time.

use std::collections::HashSet;

use bytes::Bytes;
use futures_util::{Stream, stream};
use oleander_core::{ChunkIndex, ItemIndex, LotIndex};
use oleander_jobs::{
    FileRecord, ItemLine, JobRecord, LotPlan, LotRange, LotRecord, RecordError, read_items,
};
use oleander_ledger::Segment;
use oleander_platform::ObjectStore;

use crate::{JobStore, StoreError, error::ErrorResponse, view::OutputLine};

/// Position in the lot that is being read.
struct LotCursor {
    index: LotIndex,
    range: LotRange,
    /// `custom_id`s of the lot's items, in order.
    custom_ids: Vec<String>,
    /// Sequence number of the next segment.
    sequence: u64,
    /// Items whose outcome is in the output already.
    written: HashSet<ItemIndex>,
}

/// Reads the outcomes of a job's items, lot by lot.
pub(crate) struct OutputReader<P> {
    store: JobStore<P>,
    job: JobRecord,
    input: FileRecord,
    plan: LotPlan,
    /// Chunk of the input file that was read last.
    chunk: Option<(ChunkIndex, Bytes)>,
    /// Lot to read after the current one.
    next_index: LotIndex,
    lot: Option<LotCursor>,
}

impl<P: ObjectStore> OutputReader<P> {
    pub(crate) fn new(store: JobStore<P>, job: JobRecord, input: FileRecord) -> Self {
        let plan = LotPlan::new(&input.chunks, job.lot_items);
        Self { store, job, input, plan, chunk: None, next_index: LotIndex(0), lot: None }
    }

    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Vec<u8>, ErrorResponse>> + Send {
        stream::try_unfold(self, |mut reader| async move {
            let block = reader.next_block().await?;
            Ok(block.map(|block| (block, reader)))
        })
    }

    /// Reads up to the next segment with outcomes and returns its lines; `None` at the end.
    async fn next_block(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        loop {
            let Some(mut lot) = self.next_lot().await? else { return Ok(None) };
            let segment = self.store.segment(&self.job.job, lot.index, lot.sequence).await?;
            let Some(segment) = segment else { continue };
            lot.sequence += 1;
            let block = self.lines(&mut lot, &segment)?;
            self.lot = Some(lot);
            if !block.is_empty() {
                return Ok(Some(block));
            }
        }
    }

    async fn next_lot(&mut self) -> Result<Option<LotCursor>, StoreError> {
        if let Some(lot) = self.lot.take() {
            return Ok(Some(lot));
        }
        let index = self.next_index;
        let Some(range) = self.plan.range(index) else { return Ok(None) };
        self.next_index = LotIndex(index.0 + 1);
        let custom_ids = self.custom_ids(range).await?;
        Ok(Some(LotCursor { index, range, custom_ids, sequence: 0, written: HashSet::new() }))
    }

    async fn custom_ids(&mut self, range: LotRange) -> Result<Vec<String>, StoreError> {
        if self.chunk.as_ref().is_none_or(|(index, _)| *index != range.chunk) {
            let digest = &self.input.chunks[range.chunk.0 as usize].digest;
            let content = self.store.chunk(&self.input.workspace, digest).await?;
            self.chunk = Some((range.chunk, content));
        }
        let Some((_, content)) = &self.chunk else { return Ok(Vec::new()) };
        let items = read_items(content, range.offset, range.count);
        let items: Vec<ItemLine> = items.map_err(|e| RecordError(e.to_string()))?;
        Ok(items.into_iter().map(|item| item.custom_id).collect())
    }

    /// Returns the output lines of a segment; of several outcomes of an item, the first counts.
    fn lines(
        &self,
        lot: &mut LotCursor,
        segment: &Segment<LotRecord>,
    ) -> Result<Vec<u8>, StoreError> {
        let mut block = Vec::new();
        for record in &segment.records {
            let LotRecord::Outcome { item, result } = record else { continue };
            let position = item.0.checked_sub(lot.range.first.0).map(|i| i as usize);
            let Some(custom_id) = position.and_then(|i| lot.custom_ids.get(i)) else { continue };
            if !lot.written.insert(*item) {
                continue;
            }
            let id = format!("{}-{item}", self.job.job);
            let line = serde_json::to_writer(&mut block, &OutputLine::new(id, custom_id, result));
            line.map_err(|e| RecordError(e.to_string()))?;
            block.push(b'\n');
        }
        Ok(block)
    }
}
