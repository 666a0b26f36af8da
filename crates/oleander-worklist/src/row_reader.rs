//! Reads the stored entries of jobs, in tasks that go on though the readers leave.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use oleander_core::JobId;
use oleander_platform::{ObjectStore, StoreError};
use oleander_relay::TargetTransport;
use parking_lot::Mutex;
use tokio::{
    task::{JoinError, JoinHandle},
    time::{self, Instant},
};

use crate::{
    backoff::Backoff,
    item::NewItem,
    manager::JobManager,
    read_state::ReadState,
    record::{ItemResult, JobRecord},
    row::{Entry, Found, Row},
    rows::{Asked, Need, RowEnd, RowStep, Rows, SLOW_READ},
    store::JobStore,
};

/// Maximum pause after a failed read, so that a reader's next try finds the platform as it is.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// An entry that is read from the platform.
pub(crate) trait StoredEntry: Entry {
    /// Rows of these entries.
    fn rows(reads: &ReadState) -> &Mutex<Rows<Self>>;

    /// What ends a job's row.
    fn row_end(record: &JobRecord) -> RowEnd;

    /// Reads an object of a job; `None` if there is none of this number.
    fn read<S: ObjectStore>(
        store: &JobStore<S>,
        job: &JobId,
        object: usize,
    ) -> impl Future<Output = Result<Option<Vec<Self>>, StoreError>> + Send;
}

impl StoredEntry for ItemResult {
    fn rows(reads: &ReadState) -> &Mutex<Rows<Self>> {
        &reads.results
    }

    fn row_end(record: &JobRecord) -> RowEnd {
        RowEnd { entries: record.total as usize, objects: None }
    }

    async fn read<S: ObjectStore>(
        store: &JobStore<S>,
        job: &JobId,
        object: usize,
    ) -> Result<Option<Vec<Self>>, StoreError> {
        let segment = store.segment(job, object as u64).await?;
        metrics::counter!("job_segments_read_total").increment(u64::from(segment.is_some()));
        Ok(segment.map(|segment| segment.results))
    }
}

impl StoredEntry for NewItem {
    fn rows(reads: &ReadState) -> &Mutex<Rows<Self>> {
        &reads.items
    }

    fn row_end(record: &JobRecord) -> RowEnd {
        RowEnd { entries: record.total as usize, objects: Some(record.parts as usize) }
    }

    async fn read<S: ObjectStore>(
        store: &JobStore<S>,
        job: &JobId,
        object: usize,
    ) -> Result<Option<Vec<Self>>, StoreError> {
        store.part(job, object as u64).await.map(Some)
    }
}

/// An object that was read.
struct Fetched<E> {
    /// Begin of the read.
    began: Instant,
    took: Duration,
    entries: Option<Vec<E>>,
}

/// A row that is being read; on drop, as after a panic, it is so no more.
struct Reading<'a, E: Entry> {
    rows: &'a Mutex<Rows<E>>,
    job: &'a JobId,
    id: u64,
}

impl<E: Entry> Drop for Reading<'_, E> {
    fn drop(&mut self) {
        self.rows.lock().stop(self.job, self.id);
    }
}

/// A task that reads an object; it ends when it is dropped.
struct Fetch<E> {
    object: usize,
    task: JoinHandle<Option<Fetched<E>>>,
}

impl<E> Drop for Fetch<E> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Looks for what a reader needs in a job's row, which is read on if that isn't all.
    pub(crate) fn ask_row<E: StoredEntry, V>(
        self: &Arc<Self>,
        record: &JobRecord,
        need: Need,
        look: impl FnOnce(&mut Row<E>) -> Found<V>,
    ) -> Asked<V> {
        let (job, end) = (record.job.clone(), E::row_end(record));
        let asked = E::rows(&self.reads).lock().ask(Instant::now(), &job, end, need, look);
        if asked.begins {
            tokio::spawn(Arc::clone(self).read_row::<E>(job, asked.id));
        }
        asked
    }

    /// Reads a row until nobody needs more of it.
    async fn read_row<E: StoredEntry>(self: Arc<Self>, job: JobId, id: u64) {
        let reading = Reading { rows: E::rows(&self.reads), job: &job, id };
        let mut ahead = VecDeque::new();
        loop {
            let step = reading.rows.lock().next_step(Instant::now(), &job, id);
            let (object, read) = match step {
                RowStep::Read { first, count } => {
                    let objects = first + ahead.len()..first + count;
                    ahead.extend(objects.map(|object| self.fetch::<E>(&job, id, object)));
                    let Some(mut next) = ahead.pop_front() else { continue };
                    let Ok(read) = time::timeout(SLOW_READ, &mut next.task).await else {
                        reading.rows.lock().note_waiting(&job, id);
                        ahead.push_front(next);
                        continue;
                    };
                    (next.object, read)
                }
                RowStep::Restore(object) => {
                    let mut fetch = self.fetch::<E>(&job, id, object);
                    (object, (&mut fetch.task).await)
                }
                RowStep::Stop => break,
            };
            match self.note_read(&job, id, object, read) {
                Ok(true) => {}
                // What is behind an object that doesn't exist never counts.
                Ok(false) => ahead.clear(),
                Err(error) => {
                    log::error!(job:% = job, error:% = error; "read of a stored part has failed");
                    return;
                }
            }
        }
        // The row has noted the end itself, and another task may have begun since.
        std::mem::forget(reading);
    }

    /// Adds an object that was read to a row; returns whether it exists and is needed.
    fn note_read<E: StoredEntry>(
        &self,
        job: &JobId,
        id: u64,
        object: usize,
        read: Result<Option<Fetched<E>>, JoinError>,
    ) -> Result<bool, JoinError> {
        let Some(fetched) = read? else { return Ok(false) };
        let mut rows = E::rows(&self.reads).lock();
        let Some(entries) = fetched.entries else {
            rows.note_missing(job, id, object, fetched.began);
            return Ok(false);
        };
        rows.note_pace(job, id, fetched.took);
        Ok(rows.put(Instant::now(), job, id, object, entries))
    }

    /// Begins to read an object, until it has been read or the row is no longer needed.
    fn fetch<E: StoredEntry>(self: &Arc<Self>, job: &JobId, id: u64, object: usize) -> Fetch<E> {
        let (manager, job) = (Arc::clone(self), job.clone());
        let task = async move {
            let (mut backoff, mut failures) = (Backoff::default(), 0);
            loop {
                let fault = match manager.fetch_once(&job, object).await {
                    Ok(fetched) => return Some(fetched),
                    Err(fault) => fault,
                };
                failures += 1;
                if failures == 1 {
                    log::warn!(job:% = job, object, error:% = fault;
                        "stored part of a job can't be read");
                }
                let now = Instant::now();
                if !E::rows(&manager.reads).lock().note_fault(now, &job, id, &fault) {
                    return None;
                }
                // The pause stays at its maximum from then on.
                let _ = time::timeout(MAX_PAUSE, backoff.wait()).await;
            }
        };
        Fetch { object, task: tokio::spawn(task) }
    }

    async fn fetch_once<E: StoredEntry>(
        &self,
        job: &JobId,
        object: usize,
    ) -> Result<Fetched<E>, StoreError> {
        // Never closed.
        let _permit = self.reads.calls.acquire().await;
        let began = Instant::now();
        let entries = E::read(&self.store, job, object).await?;
        Ok(Fetched { began, took: began.elapsed(), entries })
    }
}
