//! Reads of objects that are numbered without gaps: the parts of a job, and the segments of its log.
//!
//! While the platform answers quickly, one object is read at a time, as each call is priced. While it is
//! slow, objects ahead of the next one are read as well. What has been read is kept until it is asked
//! for, so that a call that fails is repeated by itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use oleander_platform::StoreError;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task::{JoinError, JoinSet},
    time::Instant,
};

/// Mean time of a call above which more objects are read at a time.
const SLOW_CALL: Duration = Duration::from_millis(50);
/// Maximum time of one call in the mean, so that a single late answer doesn't outweigh quick ones.
const MAX_COUNTED: Duration = Duration::from_millis(250);
/// Maximum number of objects that are read at a time.
const MAX_SIZE: usize = 32;

/// Number of objects to read at a time, by the time that calls take.
///
/// Each slow call adds one, so that the number doubles with each round of calls; each failed call
/// halves it, as the platform may refuse calls because of their rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadWindow {
    size: usize,
    mean: Duration,
}

impl Default for ReadWindow {
    fn default() -> Self {
        Self { size: 1, mean: Duration::ZERO }
    }
}

impl ReadWindow {
    /// Number of objects to read at a time.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.size
    }

    /// Records that a call was answered after `took`.
    pub fn answered(&mut self, took: Duration) {
        self.mean = (self.mean * 3 + took.min(MAX_COUNTED)) / 4;
        if self.mean > SLOW_CALL {
            self.size = MAX_SIZE.min(self.size + 1);
        } else {
            self.halve();
        }
    }

    /// Records that a call failed.
    pub fn failed(&mut self) {
        self.halve();
    }

    fn halve(&mut self) {
        self.size = 1.max(self.size / 2);
    }
}

/// What one read gave, and the time that it took.
struct Read<T> {
    index: u64,
    took: Duration,
    result: Result<Option<T>, StoreError>,
    ahead: Option<OwnedSemaphorePermit>,
}

/// An object that has been read, or found to be missing, and its share of the limit.
type Kept<T> = (Option<T>, Option<OwnedSemaphorePermit>);

/// Reads consecutive objects, in order.
///
/// Reads that are in progress when [`next`](Self::next) fails or is dropped go on; they end with the
/// reader.
pub struct SequenceReader<T> {
    window: ReadWindow,
    ahead: Arc<Semaphore>,
    next: u64,
    end: u64,
    kept: BTreeMap<u64, Kept<T>>,
    /// Objects whose last read failed, with the reason.
    failed: BTreeMap<u64, StoreError>,
    reading: BTreeSet<u64>,
    reads: JoinSet<Read<T>>,
}

impl<T: Send + 'static> SequenceReader<T> {
    /// Creates a reader of the objects from `first` on and before `end`; what is read beyond the next
    /// one shares the limit `ahead` with other readers.
    #[must_use]
    pub fn new(window: ReadWindow, ahead: Arc<Semaphore>, first: u64, end: u64) -> Self {
        let (kept, failed, reading) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Self { window, ahead, next: first, end, kept, failed, reading, reads: JoinSet::new() }
    }

    /// How many objects are read at a time now.
    #[must_use]
    pub const fn window(&self) -> ReadWindow {
        self.window
    }

    /// Index of the object that [`next`](Self::next) returns.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.next
    }

    /// Returns the next object; `None` if it is missing now, or if there are no more.
    ///
    /// # Errors
    ///
    /// Returns an error if its read failed; the next call repeats it.
    pub async fn next<R, F>(&mut self, read: R) -> Result<Option<T>, StoreError>
    where
        R: Fn(u64) -> F,
        F: Future<Output = Result<Option<T>, StoreError>> + Send + 'static,
    {
        self.failed.remove(&self.next);
        loop {
            if self.next >= self.end {
                return Ok(None);
            }
            match self.kept.remove(&self.next) {
                Some((Some(object), _)) => {
                    self.next += 1;
                    return Ok(Some(object));
                }
                Some((None, _)) => {
                    self.kept.retain(|_, (object, _)| object.is_some());
                    return Ok(None);
                }
                None => {}
            }
            if let Some(error) = self.failed.remove(&self.next) {
                return Err(error);
            }
            self.start_reads(&read);
            if let Some(read) = self.reads.join_next().await {
                self.keep(read);
            }
        }
    }

    /// Starts reads up to the size of the window, and not beyond an object that is missing.
    fn start_reads<R, F>(&mut self, read: &R)
    where
        R: Fn(u64) -> F,
        F: Future<Output = Result<Option<T>, StoreError>> + Send + 'static,
    {
        let missing = self.kept.iter().find(|(_, (object, _))| object.is_none());
        let end = missing.map_or(self.end, |(index, _)| *index);
        for index in (self.next..end).take(self.window.size()) {
            let is_known = self.kept.contains_key(&index) || self.failed.contains_key(&index);
            if is_known || self.reading.contains(&index) {
                continue;
            }
            let ahead = if index > self.next {
                let Ok(permit) = Arc::clone(&self.ahead).try_acquire_owned() else { break };
                Some(permit)
            } else {
                None
            };
            self.reading.insert(index);
            let (object, start) = (read(index), Instant::now());
            self.reads.spawn(async move {
                let result = object.await;
                Read { index, took: start.elapsed(), result, ahead }
            });
        }
    }

    fn keep(&mut self, read: Result<Read<T>, JoinError>) {
        let Read { index, took, result, ahead } = match read {
            Ok(read) => read,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        };
        self.reading.remove(&index);
        match result {
            Ok(object) => {
                self.window.answered(took);
                self.kept.insert(index, (object, ahead));
                // Failed reads of later objects are repeated only while others succeed.
                self.failed.clear();
            }
            Err(error) => {
                self.window.failed();
                self.failed.insert(index, error);
            }
        }
    }
}
