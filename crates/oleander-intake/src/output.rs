//! The output of a job, read from the logs of its lots.
//!
//! Pages are segments of the logs, so that memory holds one chunk and one segment at a time.

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

/// The lot that is being read.
struct Lot {
    index: LotIndex,
    range: LotRange,
    names: Vec<String>,
    sequence: u64,
    seen: HashSet<ItemIndex>,
}

/// Reads outcomes lot by lot.
pub(crate) struct OutputReader<P> {
    store: JobStore<P>,
    job: JobRecord,
    input: FileRecord,
    plan: LotPlan,
    chunk: Option<(ChunkIndex, Bytes)>,
    next: LotIndex,
    lot: Option<Lot>,
}

impl<P: ObjectStore> OutputReader<P> {
    pub(crate) fn new(store: JobStore<P>, job: JobRecord, input: FileRecord) -> Self {
        let plan = LotPlan::new(&input.chunks, job.lot_items);
        Self { store, job, input, plan, chunk: None, next: LotIndex(0), lot: None }
    }

    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Vec<u8>, ErrorResponse>> + Send {
        stream::try_unfold(self, |mut reader| async move {
            let page = reader.page().await?;
            Ok(page.map(|page| (page, reader)))
        })
    }

    /// The next page with lines; `None` at the end.
    async fn page(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        loop {
            let Some(mut lot) = self.next_lot().await? else { return Ok(None) };
            let segment = self.store.segment(&self.job.job, lot.index, lot.sequence).await?;
            let Some(segment) = segment else { continue };
            lot.sequence += 1;
            let page = self.lines(&mut lot, &segment)?;
            self.lot = Some(lot);
            if !page.is_empty() {
                return Ok(Some(page));
            }
        }
    }

    async fn next_lot(&mut self) -> Result<Option<Lot>, StoreError> {
        if let Some(lot) = self.lot.take() {
            return Ok(Some(lot));
        }
        let index = self.next;
        let Some(range) = self.plan.range(index) else { return Ok(None) };
        self.next = LotIndex(index.0 + 1);
        let names = self.names(range).await?;
        Ok(Some(Lot { index, range, names, sequence: 0, seen: HashSet::new() }))
    }

    async fn names(&mut self, range: LotRange) -> Result<Vec<String>, StoreError> {
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

    /// The lines of a segment; the first outcome of an item counts.
    fn lines(&self, lot: &mut Lot, segment: &Segment<LotRecord>) -> Result<Vec<u8>, StoreError> {
        let mut page = Vec::new();
        for record in &segment.records {
            let LotRecord::Outcome { item, result } = record else { continue };
            let position = item.0.checked_sub(lot.range.first.0).map(|at| at as usize);
            let Some(name) = position.and_then(|at| lot.names.get(at)) else { continue };
            if !lot.seen.insert(*item) {
                continue;
            }
            let id = format!("{}-{item}", self.job.job);
            let line = serde_json::to_writer(&mut page, &OutputLine::new(id, name, result));
            line.map_err(|e| RecordError(e.to_string()))?;
            page.push(b'\n');
        }
        Ok(page)
    }
}
