//! An open job in the memory of its owner.
//!
//! An item has exactly one result: the first one in the log of segments. Results of runs at this
//! host stay pending until a segment holds them; if another host commits a segment first, its
//! results replace the pending ones of the same items.

use std::{collections::HashMap, mem, sync::Arc};

use bytes::Bytes;
use http::HeaderName;
use oleander_core::{Span, TargetId, Time};
use oleander_relay::{Request, RouteTable};

use crate::{
    item::{Item, ItemStatus, NewItem, Progress, RunOutcome},
    record::{ItemOutcome, ItemResult, JobRecord, Segment},
    row::fill_page,
    size::ResultLimits,
};

/// Delay before an item runs again after a failed or interrupted run; doubles with each target that
/// crashes.
const RETRY_DELAY: Span = Span::from_millis(150);
/// Maximum delay: an item under which targets crash is still owed.
const MAX_RETRY_DELAY: Span = Span::from_secs(4);
/// Divisor of a job's due time; in this first part, items run only in this host's data centre.
const LOCAL_DIVISOR: u64 = 12;
/// Minimum number of targets whose output for an item can't be stored, after which it fails.
const MIN_UNSTORABLE: usize = 3;
/// Rejections of a single result by the platform after which its output is dropped.
const MAX_REJECTIONS: u32 = 3;

/// Maximum size of an object at the platform, in bytes, if none is set.
const DEFAULT_OBJECT_BYTES: usize = 1 << 20;

/// An item that was started.
#[derive(Debug)]
pub struct NextItem {
    /// Index of the item in the job.
    pub index: usize,
    /// Request of the item.
    pub request: Arc<Request>,
    /// Output of earlier runs.
    pub progress: Progress,
}

/// A job that this host has loaded: its items, and the results committed so far.
#[derive(Debug)]
pub struct Job {
    /// The job's record at the platform.
    pub record: JobRecord,
    items: Vec<Item>,
    by_id: HashMap<String, usize>,
    committed: Vec<Arc<ItemResult>>,
    segments: u64,
    bytes: usize,
    limits: ResultLimits,
    /// Maximum number of results in the next segment.
    max_results: usize,
}

impl Job {
    /// Creates a job without results; `id_header` carries the ids of items to targets.
    #[must_use]
    pub fn new(record: JobRecord, items: Vec<NewItem>, id_header: &HeaderName) -> Self {
        let bytes = items.iter().map(|item| item.body.len()).sum();
        let items: Vec<Item> =
            items.into_iter().map(|item| Item::new(item, &record.host, id_header)).collect();
        let by_id = items.iter().enumerate().map(|(index, item)| (item.request.id.clone(), index));
        let by_id = by_id.collect();
        Self {
            record,
            items,
            by_id,
            committed: Vec::new(),
            segments: 0,
            bytes,
            limits: ResultLimits::of_objects(DEFAULT_OBJECT_BYTES),
            max_results: usize::MAX,
        }
    }

    /// Sets the maximum size of an object at the platform, in bytes.
    #[must_use]
    pub const fn object_bytes(mut self, bytes: usize) -> Self {
        self.limits = ResultLimits::of_objects(bytes);
        self
    }

    /// Size of all request bodies, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of segments applied so far, which is the index of the next one.
    #[must_use]
    pub const fn segments(&self) -> u64 {
        self.segments
    }

    /// Whether the results of all items are committed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.committed.len() == self.items.len()
    }

    /// Whether any item waits to run, including those in their retry delay.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.items.iter().any(|item| item.status == ItemStatus::Waiting)
    }

    /// Whether items should run only at targets in this host's data centre.
    ///
    /// Local items can be interrupted for online requests without delay, and their traffic stays
    /// in the data centre. After the first part of the due time, items take free slots anywhere.
    #[must_use]
    pub fn prefers_local(&self, wall_now: Time) -> bool {
        wall_now < self.record.accepted + Span(self.record.due.0 / LOCAL_DIVISOR)
    }

    /// Number of items in each status, for logs.
    #[must_use]
    pub fn status_summary(&self) -> String {
        let count = |accept: fn(&ItemStatus) -> bool| {
            self.items.iter().filter(|item| accept(&item.status)).count()
        };
        format!(
            "{} waiting, {} running, {} ended, {} listed",
            count(|status| *status == ItemStatus::Waiting),
            count(|status| *status == ItemStatus::Running),
            count(|status| matches!(status, ItemStatus::Finished(_))),
            count(|status| *status == ItemStatus::Committed),
        )
    }

    /// Number of running items.
    #[must_use]
    pub fn running(&self) -> usize {
        self.items.iter().filter(|item| item.status == ItemStatus::Running).count()
    }

    /// Items that could start now, with their indexes.
    pub(crate) fn startable(&self, now: Time) -> impl Iterator<Item = (usize, &Item)> {
        self.items.iter().enumerate().filter(move |(_, item)| is_startable(item, now))
    }

    pub(crate) fn item(&self, index: usize) -> &Item {
        &self.items[index]
    }

    /// Marks the next startable item as running and returns it.
    pub fn start_next(&mut self, now: Time) -> Option<NextItem> {
        let (index, _) = self.startable(now).next()?;
        Some(self.start(index))
    }

    /// Marks an item as running and returns it.
    pub(crate) fn start(&mut self, index: usize) -> NextItem {
        let item = &mut self.items[index];
        item.status = ItemStatus::Running;
        let progress = mem::take(&mut item.progress);
        NextItem { index, request: Arc::clone(&item.request), progress }
    }

    /// Drops the output of an item, so that it starts again at any version.
    pub(crate) fn drop_output(&mut self, index: usize) {
        self.items[index].progress = Progress::default();
    }

    /// Records the outcome of an item's run at `target`.
    pub fn finish_run(
        &mut self,
        now: Time,
        index: usize,
        outcome: &RunOutcome,
        progress: Progress,
        target: TargetId,
    ) {
        let attempts = self.record.attempts;
        let max_targets = self.max_unstorable();
        let item = &mut self.items[index];
        if item.status != ItemStatus::Running {
            return;
        }
        item.progress = progress;
        item.avoid = Some(target);
        item.crashes = if *outcome == RunOutcome::Crashed { item.crashes + 1 } else { 0 };
        item.not_before = now + retry_delay(item.crashes);
        if *outcome == RunOutcome::Oversized {
            return item.drop_unstorable(max_targets);
        }
        item.status = match outcome {
            RunOutcome::Completed => ItemStatus::Finished(ItemOutcome::Completed),
            RunOutcome::Impossible => ItemStatus::Finished(ItemOutcome::Failed),
            RunOutcome::Failed => {
                item.failures += 1;
                if item.failures >= attempts {
                    ItemStatus::Finished(ItemOutcome::Failed)
                } else {
                    ItemStatus::Waiting
                }
            }
            RunOutcome::Interrupted | RunOutcome::Crashed | RunOutcome::Oversized => {
                ItemStatus::Waiting
            }
        };
    }

    /// Indexes of the waiting items that `table` has no route for.
    pub(crate) fn unrouted(&self, table: &RouteTable) -> Vec<usize> {
        let items = self.items.iter().enumerate();
        let waiting = items.filter(|(_, item)| item.status == ItemStatus::Waiting);
        let unrouted = waiting
            .filter(|(_, item)| table.find(&item.request.host, &item.request.path).is_none());
        unrouted.map(|(index, _)| index).collect()
    }

    /// Fails a waiting item because no route serves it any more.
    pub(crate) fn fail_item(&mut self, index: usize) {
        let item = &mut self.items[index];
        if item.status == ItemStatus::Waiting {
            item.status = ItemStatus::Finished(ItemOutcome::Failed);
        }
    }

    /// Fails all waiting items once the job's retention is over.
    pub fn expire(&mut self, wall_now: Time) {
        if wall_now < self.record.expires_at() {
            return;
        }
        let waiting = self.items.iter_mut().filter(|item| item.status == ItemStatus::Waiting);
        waiting.for_each(|item| item.status = ItemStatus::Finished(ItemOutcome::Failed));
    }

    /// Number of targets whose output for an item can't be stored, after which the item fails.
    fn max_unstorable(&self) -> usize {
        MIN_UNSTORABLE.max(self.record.attempts as usize)
    }

    /// Whether any item has finished whose result is not committed.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.items.iter().any(|item| matches!(item.status, ItemStatus::Finished(_)))
    }

    /// Results for the next segment, up to its maximum size; empty if no item has finished.
    ///
    /// Results that the platform has rejected come last, so that they hold up no others.
    #[must_use]
    pub fn pending_results(&self) -> Vec<ItemResult> {
        let mut finished: Vec<(&Item, ItemOutcome)> = Vec::new();
        for item in &self.items {
            if let ItemStatus::Finished(outcome) = item.status {
                finished.push((item, outcome));
            }
        }
        finished.sort_by_key(|(item, _)| item.rejections);
        let mut results = Vec::new();
        let mut bytes = 0;
        for (item, outcome) in finished.into_iter().take(self.max_results) {
            let result = item.result(outcome);
            bytes += result.json_len();
            if !results.is_empty() && bytes > self.limits.segment {
                break;
            }
            results.push(result);
        }
        results
    }

    /// Records that the platform has rejected a segment with these results for good.
    ///
    /// Fewer of them are written next. The output of an item whose result is rejected by itself is
    /// dropped in the end.
    pub fn reject(&mut self, results: &[ItemResult]) {
        if results.len() > 1 {
            self.max_results = results.len() / 2;
            return;
        }
        let max_targets = self.max_unstorable();
        let index = results.first().and_then(|result| self.by_id.get(&result.item));
        let Some(index) = index else { return };
        let item = &mut self.items[*index];
        item.rejections += 1;
        let is_completed = item.status == ItemStatus::Finished(ItemOutcome::Completed);
        if is_completed && item.rejections >= MAX_REJECTIONS {
            item.drop_unstorable(max_targets);
        }
    }

    /// Applies the next segment of the log; the first result of each item counts.
    pub fn apply(&mut self, segment: Segment) {
        self.segments += 1;
        self.max_results = usize::MAX;
        for result in segment.results {
            let Some(index) = self.by_id.get(&result.item) else {
                log::warn!(job:% = self.record.job, item:% = result.item;
                    "result ignored: unknown item");
                continue;
            };
            let item = &mut self.items[*index];
            if item.status == ItemStatus::Committed {
                continue;
            }
            item.status = ItemStatus::Committed;
            item.progress = Progress::default();
            self.committed.push(Arc::new(result));
        }
    }

    /// One page of committed results from position `after` on.
    #[must_use]
    pub fn results(&self, after: usize) -> Vec<Arc<ItemResult>> {
        let rest = self.committed.iter().skip(after);
        fill_page(rest.map(|result| (result, result.json_len()))).entries
    }

    /// Request body of an item; `None` if its result is committed or the item is unknown.
    #[must_use]
    pub fn body(&self, id: &str) -> Option<Bytes> {
        let item = &self.items[*self.by_id.get(id)?];
        (item.status != ItemStatus::Committed).then(|| item.request.body.clone())
    }

    /// Number of waiting or running items, and number of all items.
    #[must_use]
    pub fn unfinished(&self) -> (u32, u32) {
        let open = self
            .items
            .iter()
            .filter(|item| matches!(item.status, ItemStatus::Waiting | ItemStatus::Running));
        (open.count() as u32, self.items.len() as u32)
    }
}

/// Delay before an item runs again after this number of crashes in sequence.
fn retry_delay(crashes: u32) -> Span {
    let doublings = crashes.min(MAX_RETRY_DELAY.0.ilog2());
    MAX_RETRY_DELAY.min(RETRY_DELAY * (1 << doublings))
}

fn is_startable(item: &Item, now: Time) -> bool {
    item.status == ItemStatus::Waiting && item.not_before <= now
}

impl Item {
    fn result(&self, state: ItemOutcome) -> ItemResult {
        let output = match state {
            ItemOutcome::Completed => String::from_utf8_lossy(&self.progress.output).into_owned(),
            ItemOutcome::Failed => String::new(),
        };
        ItemResult { item: self.request.id.clone(), state, output }
    }
}
