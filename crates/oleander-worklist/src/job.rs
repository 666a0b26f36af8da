//! An open job at its owner.
//!
//! An item has one result: the first that a segment of the log lists. What ends at this host is
//! offered for the next segment; a segment of another host that came first drops the offers that
//! it answers already.

use std::{collections::HashMap, mem, sync::Arc};

use bytes::Bytes;
use http::HeaderName;
use oleander_core::{Span, TargetId, Time};
use oleander_relay::Request;

use crate::{
    item::{Item, NewItem, Progress, RunOutcome, Standing},
    record::{ItemOutcome, ItemResult, JobEntry, Segment},
};

/// Pause before an item runs again after a failure or a refusal.
const PAUSE: Span = Span::from_millis(150);
/// Part of its time for which a job waits for room nearby, as a divisor.
const EASE_PART: u64 = 12;
/// Largest sum of outputs in one segment, in bytes; leaves room for their JSON in an object.
const SEGMENT_BYTES: usize = 400 << 10;
/// Largest sum of outputs in one answer to a reader, in bytes.
const READ_BYTES: usize = 900 << 10;

/// An item that is about to run.
#[derive(Debug)]
pub struct NextItem {
    /// Its place in the job.
    pub index: usize,
    /// Its request.
    pub request: Arc<Request>,
    /// What the runs before left.
    pub progress: Progress,
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    /// The job as it stands at the platform.
    pub entry: JobEntry,
    items: Vec<Item>,
    by_id: HashMap<String, usize>,
    listed: Vec<Arc<ItemResult>>,
    segments: u64,
    bytes: usize,
}

impl Job {
    /// A job whose results are not read yet; `id_header` carries the names of items to targets.
    #[must_use]
    pub fn new(entry: JobEntry, items: Vec<NewItem>, id_header: &HeaderName) -> Self {
        let bytes = items.iter().map(|item| item.body.len()).sum();
        let items: Vec<Item> =
            items.into_iter().map(|item| Item::new(item, &entry.host, id_header)).collect();
        let by_id = items.iter().enumerate().map(|(at, item)| (item.request.id.clone(), at));
        let by_id = by_id.collect();
        Self { entry, items, by_id, listed: Vec::new(), segments: 0, bytes }
    }

    /// Size of all bodies.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of segments applied.
    #[must_use]
    pub const fn segments(&self) -> u64 {
        self.segments
    }

    /// Whether every item is listed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Whether an item waits, for now or for the end of its pause.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.items.iter().any(|item| item.standing == Standing::Waiting)
    }

    /// Whether there is time to wait for room nearby.
    ///
    /// Items nearby make room for online requests at once, and their bytes stay in the data
    /// centre; a job of which a twelfth of the time has passed takes what room there is.
    #[must_use]
    pub fn prefers_local(&self, wall: Time) -> bool {
        wall < self.entry.accepted + Span(self.entry.due.0 / EASE_PART)
    }

    /// How many items stand where, for logs.
    #[must_use]
    pub fn status_summary(&self) -> String {
        let count = |accept: fn(&Standing) -> bool| {
            self.items.iter().filter(|item| accept(&item.standing)).count()
        };
        format!(
            "{} waiting, {} running, {} ended, {} listed",
            count(|standing| *standing == Standing::Waiting),
            count(|standing| *standing == Standing::Running),
            count(|standing| matches!(standing, Standing::Ended(_))),
            count(|standing| *standing == Standing::Listed),
        )
    }

    /// Number of items under way.
    #[must_use]
    pub fn running(&self) -> usize {
        self.items.iter().filter(|item| item.standing == Standing::Running).count()
    }

    /// Request of the item that would start next; it is not marked as running.
    #[must_use]
    pub fn peek(&self, now: Time) -> Option<(&Arc<Request>, Option<&TargetId>)> {
        let item = self.items.iter().find(|item| is_startable(item, now))?;
        Some((&item.request, item.avoid.as_ref()))
    }

    /// Starts the next item.
    pub fn start_next(&mut self, now: Time) -> Option<NextItem> {
        let index = self.items.iter().position(|item| is_startable(item, now))?;
        let item = &mut self.items[index];
        item.standing = Standing::Running;
        Some(NextItem {
            index,
            request: Arc::clone(&item.request),
            progress: mem::take(&mut item.progress),
        })
    }

    /// Takes the end of a run at `target`.
    pub fn finish_run(
        &mut self,
        now: Time,
        index: usize,
        end: &RunOutcome,
        progress: Progress,
        target: TargetId,
    ) {
        let attempts = self.entry.attempts;
        let item = &mut self.items[index];
        if item.standing != Standing::Running {
            return;
        }
        item.progress = progress;
        item.avoid = Some(target);
        item.earliest = now + PAUSE;
        item.standing = match end {
            RunOutcome::Completed => Standing::Ended(ItemOutcome::Completed),
            RunOutcome::Impossible => Standing::Ended(ItemOutcome::Failed),
            RunOutcome::Failed => {
                item.failures += 1;
                if item.failures >= attempts {
                    Standing::Ended(ItemOutcome::Failed)
                } else {
                    Standing::Waiting
                }
            }
            RunOutcome::Interrupted => Standing::Waiting,
        };
    }

    /// Gives up an item that waits because nothing serves it any more.
    pub fn fail_item(&mut self, id: &str) {
        let Some(index) = self.by_id.get(id) else { return };
        let item = &mut self.items[*index];
        if item.standing == Standing::Waiting {
            item.standing = Standing::Ended(ItemOutcome::Failed);
        }
    }

    /// Gives up all items whose time is over.
    pub fn expire(&mut self, wall: Time) {
        if wall < self.entry.expires_at() {
            return;
        }
        let waiting = self.items.iter_mut().filter(|item| item.standing == Standing::Waiting);
        waiting.for_each(|item| item.standing = Standing::Ended(ItemOutcome::Failed));
    }

    /// Results for the next segment; empty if nothing ended.
    #[must_use]
    pub fn pending_results(&self) -> Vec<ItemResult> {
        let mut offers = Vec::new();
        let mut bytes = 0;
        for item in &self.items {
            let Standing::Ended(state) = item.standing else { continue };
            bytes += item.progress.output.len();
            if !offers.is_empty() && bytes > SEGMENT_BYTES {
                break;
            }
            offers.push(item.result(state));
        }
        offers
    }

    /// Takes the segment that stands at the end of the log.
    pub fn apply(&mut self, segment: Segment) {
        self.segments += 1;
        for result in segment.results {
            let Some(index) = self.by_id.get(&result.item) else {
                log::warn!(job:% = self.entry.job, item:% = result.item; "result of no item");
                continue;
            };
            let item = &mut self.items[*index];
            if item.standing == Standing::Listed {
                continue;
            }
            item.standing = Standing::Listed;
            item.progress = Progress::default();
            self.listed.push(Arc::new(result));
        }
    }

    /// Results from `after` on, as many as one answer holds.
    #[must_use]
    pub fn results(&self, after: usize) -> Vec<Arc<ItemResult>> {
        take_results(&self.listed, after)
    }

    /// Body of an item that is not listed; `None` if it is, or if there is no such item.
    #[must_use]
    pub fn body(&self, id: &str) -> Option<Bytes> {
        let item = &self.items[*self.by_id.get(id)?];
        (item.standing != Standing::Listed).then(|| item.request.body.clone())
    }

    /// Tokens of the items that have not ended, as a part of the job's tokens.
    #[must_use]
    pub fn unfinished(&self) -> (u32, u32) {
        let open = self
            .items
            .iter()
            .filter(|item| matches!(item.standing, Standing::Waiting | Standing::Running));
        (open.count() as u32, self.items.len() as u32)
    }
}

/// Results from `after` on, as many as one answer holds and at least one if there is one.
pub(crate) fn take_results(listed: &[Arc<ItemResult>], after: usize) -> Vec<Arc<ItemResult>> {
    let mut bytes = 0;
    let rest = listed.get(after..).unwrap_or_default();
    let fits = rest.iter().enumerate().take_while(|(at, result)| {
        bytes += result.output.len();
        *at == 0 || bytes <= READ_BYTES
    });
    fits.map(|(_, result)| Arc::clone(result)).collect()
}

fn is_startable(item: &Item, now: Time) -> bool {
    item.standing == Standing::Waiting && item.earliest <= now
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
