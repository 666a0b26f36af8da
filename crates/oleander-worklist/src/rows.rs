//! The rows of all jobs whose stored entries are being read here: what is read next, for whom, and
//! what is kept.
//!
//! A row belongs to no reader. What has been read stays though a reader leaves, and is shared by all.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use oleander_core::JobId;
use oleander_platform::{PlatformError, StoreError};
use tokio::{sync::watch, time::Instant};

use crate::row::{Entry, Found, Row};

/// Time after the last reader has asked for which a row is read on.
const WANTED_TIME: Duration = Duration::from_secs(10);
/// Time after the last reader has asked after which a row is forgotten.
const KEPT_TIME: Duration = Duration::from_secs(120);
/// Time between two searches for rows to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Time of a read at the platform from which the next objects are read several at a time.
pub(crate) const SLOW_READ: Duration = Duration::from_millis(50);
/// Maximum number of objects of a row that are read at the same time.
const MAX_WINDOW: usize = 32;
/// Size of the contents that are read ahead of all readers, in bytes.
const AHEAD_BYTES: usize = 4 << 20;

/// Bounds for the memory of all rows of a kind, in bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RowLimits {
    /// Contents.
    pub(crate) contents: usize,
    /// Positions of entries.
    pub(crate) index: usize,
}

/// What ends a row.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RowEnd {
    /// Number of entries.
    pub(crate) entries: usize,
    /// Number of objects, if it is known beforehand.
    pub(crate) objects: Option<usize>,
}

/// What a reader needs of a row.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need {
    /// Arrival of the read; the end of the row counts if it was seen by a later one.
    pub(crate) arrived: Instant,
    /// Position up to which the row has to be read.
    pub(crate) position: usize,
}

/// What a reader gets of a row, now and later.
#[derive(Debug)]
pub(crate) struct Asked<T> {
    /// Tells the row from earlier ones of the same job.
    pub(crate) id: u64,
    pub(crate) seen: Seen<T>,
    /// Signals that the row has grown or that its end has been seen.
    pub(crate) changed: watch::Receiver<()>,
    /// Whether nobody reads the row, so that the caller must begin to.
    pub(crate) begins: bool,
}

/// What to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RowStep {
    /// The next objects, at the same time.
    Read { first: usize, count: usize },
    /// An object whose contents were released.
    Restore(usize),
    /// Nothing.
    Stop,
}

/// What a row knows for a reader.
#[derive(Debug)]
pub(crate) struct Seen<T> {
    pub(crate) found: Option<T>,
    /// Whether the row has nothing more than what is known.
    pub(crate) is_end: bool,
}

/// How far a row has been read.
#[derive(Debug, Clone, Default)]
pub(crate) struct RowState {
    /// Number of objects.
    pub(crate) objects: usize,
    /// Fault of the last read, if it failed.
    pub(crate) fault: Option<String>,
}

#[derive(Debug)]
struct Tracked<E> {
    id: u64,
    row: Row<E>,
    end: RowEnd,
    /// Arrival of the last read.
    arrived: Instant,
    /// When a reader last asked.
    asked: Instant,
    /// Position up to which readers need the row.
    position: usize,
    /// Objects whose contents readers need again.
    released: BTreeSet<usize>,
    window: usize,
    /// Begin of the last read that found no further object.
    end_seen: Option<Instant>,
    fault: Option<String>,
    is_read: bool,
    changed: watch::Sender<()>,
}

impl<E: Entry> Tracked<E> {
    fn new(id: u64, end: RowEnd, now: Instant, need: Need) -> Self {
        Self {
            id,
            row: Row::default(),
            end,
            arrived: need.arrived,
            asked: now,
            position: need.position,
            released: BTreeSet::new(),
            window: 1,
            end_seen: None,
            fault: None,
            is_read: false,
            changed: watch::Sender::new(()),
        }
    }

    fn is_complete(&self) -> bool {
        self.row.len() >= self.end.entries || self.end.objects == Some(self.row.objects())
    }

    /// Whether the row was complete after `arrived`.
    fn is_end(&self, arrived: Instant) -> bool {
        self.is_complete() || self.end_seen.is_some_and(|seen| seen >= arrived)
    }

    fn note_need(&mut self, now: Instant, need: Need) {
        let is_old = now >= self.asked + WANTED_TIME;
        self.position = if is_old { need.position } else { self.position.max(need.position) };
        self.arrived = self.arrived.max(need.arrived);
        self.asked = now;
    }

    /// Number of the next objects to read at the same time.
    fn window(&self) -> usize {
        let missing = self.end.entries - self.row.len();
        let objects = self.end.objects.map_or(usize::MAX, |all| all - self.row.objects());
        let fitting = AHEAD_BYTES / self.row.largest().max(1);
        self.window.min(missing).min(objects).min(fitting).max(1)
    }

    fn step(&self, now: Instant) -> RowStep {
        if now >= self.asked + WANTED_TIME {
            return RowStep::Stop;
        }
        if let Some(object) = self.released.first() {
            return RowStep::Restore(*object);
        }
        if self.is_end(self.arrived) || self.row.bytes_from(self.position) >= AHEAD_BYTES {
            return RowStep::Stop;
        }
        RowStep::Read { first: self.row.objects(), count: self.window() }
    }

    /// What a reader gets of what it looked for.
    fn seen<T>(&mut self, found: Found<T>, arrived: Instant) -> Seen<T> {
        match found {
            Found::Here(found) => Seen { found: Some(found), is_end: self.is_end(arrived) },
            Found::Unknown => Seen { found: None, is_end: self.is_end(arrived) },
            Found::Released(object) => {
                self.released.insert(object);
                Seen { found: None, is_end: false }
            }
        }
    }
}

/// Rows by job.
#[derive(Debug)]
pub(crate) struct Rows<E> {
    rows: HashMap<JobId, Tracked<E>>,
    limits: RowLimits,
    /// Number of rows created so far.
    created: u64,
    bytes: usize,
    index_bytes: usize,
    forget_at: Option<Instant>,
}

impl<E: Entry> Rows<E> {
    pub(crate) fn new(limits: RowLimits) -> Self {
        let (rows, forget_at) = (HashMap::new(), None);
        Self { rows, limits, created: 0, bytes: 0, index_bytes: 0, forget_at }
    }

    /// Looks for what a reader needs in a job's row, and notes the need.
    pub(crate) fn ask<V>(
        &mut self,
        now: Instant,
        job: &JobId,
        end: RowEnd,
        need: Need,
        look: impl FnOnce(&mut Row<E>) -> Found<V>,
    ) -> Asked<V> {
        self.forget_old(now);
        let created = &mut self.created;
        let tracked = self.rows.entry(job.clone()).or_insert_with(|| {
            *created += 1;
            Tracked::new(*created, end, now, need)
        });
        tracked.note_need(now, need);
        let found = look(&mut tracked.row);
        let seen = tracked.seen(found, need.arrived);
        let begins = !tracked.is_read && tracked.step(now) != RowStep::Stop;
        if begins {
            tracked.is_read = true;
            tracked.window = 1;
        }
        Asked { id: tracked.id, seen, changed: tracked.changed.subscribe(), begins }
    }

    /// How far a job's row has been read.
    pub(crate) fn state(&self, job: &JobId) -> RowState {
        self.rows.get(job).map_or_else(RowState::default, |known| RowState {
            objects: known.row.objects(),
            fault: known.fault.clone(),
        })
    }

    fn tracked(&mut self, job: &JobId, id: u64) -> Option<&mut Tracked<E>> {
        self.rows.get_mut(job).filter(|tracked| tracked.id == id)
    }

    /// What to read next of a row; its reading has ended with [`RowStep::Stop`].
    pub(crate) fn next_step(&mut self, now: Instant, job: &JobId, id: u64) -> RowStep {
        let Some(tracked) = self.tracked(job, id) else { return RowStep::Stop };
        let step = tracked.step(now);
        if step == RowStep::Stop {
            tracked.is_read = false;
            tracked.released.clear();
        }
        step
    }

    /// Adds an object that was read; returns whether the row still exists.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        job: &JobId,
        id: u64,
        object: usize,
        entries: Vec<E>,
    ) -> bool {
        let Some(tracked) = self.tracked(job, id) else { return false };
        let before = (tracked.row.bytes(), tracked.row.index_bytes());
        if object == tracked.row.objects() {
            tracked.row.append(now, entries);
        } else {
            tracked.row.restore(now, object, entries);
        }
        tracked.released.remove(&object);
        tracked.fault = None;
        let after = (tracked.row.bytes(), tracked.row.index_bytes());
        tracked.changed.send_replace(());
        self.bytes = self.bytes + after.0 - before.0;
        self.index_bytes = self.index_bytes + after.1 - before.1;
        self.enforce_limits();
        true
    }

    /// Notes that a read, begun then, did not find an object: the row ends there, or its job is being
    /// removed.
    pub(crate) fn note_missing(&mut self, job: &JobId, id: u64, object: usize, began: Instant) {
        let Some(tracked) = self.tracked(job, id) else { return };
        if object < tracked.row.objects() {
            return self.forget(job);
        }
        tracked.end_seen = tracked.end_seen.max(Some(began));
        tracked.fault = None;
        tracked.changed.send_replace(());
    }

    /// Notes that nobody reads a row any more.
    pub(crate) fn stop(&mut self, job: &JobId, id: u64) {
        let Some(tracked) = self.tracked(job, id) else { return };
        tracked.is_read = false;
    }

    /// Notes the time of a read, which decides how many objects are read at the same time.
    pub(crate) fn note_pace(&mut self, job: &JobId, id: u64, took: Duration) {
        let Some(tracked) = self.tracked(job, id) else { return };
        let window = if took > SLOW_READ { tracked.window * 2 } else { tracked.window / 2 };
        tracked.window = window.clamp(1, MAX_WINDOW);
    }

    /// Notes that a read has not ended for [`SLOW_READ`]: more objects are read beside it, unless it is
    /// repeated after a failure.
    pub(crate) fn note_waiting(&mut self, job: &JobId, id: u64) {
        let Some(tracked) = self.tracked(job, id) else { return };
        if tracked.fault.is_none() {
            tracked.window = MAX_WINDOW.min(tracked.window * 2);
        }
    }

    /// Notes that a read failed; returns whether the row is still needed.
    ///
    /// A platform that refuses calls gets fewer at the same time; one that loses them doesn't.
    pub(crate) fn note_fault(
        &mut self,
        now: Instant,
        job: &JobId,
        id: u64,
        fault: &StoreError,
    ) -> bool {
        let Some(tracked) = self.tracked(job, id) else { return false };
        tracked.fault = Some(fault.to_string());
        if !matches!(fault, StoreError::Platform(PlatformError::NoResponse(_))) {
            tracked.window = 1;
        }
        now < tracked.asked + WANTED_TIME
    }

    /// Forgets the row of a job.
    pub(crate) fn forget(&mut self, job: &JobId) {
        let Some(tracked) = self.rows.remove(job) else { return };
        self.bytes -= tracked.row.bytes();
        self.index_bytes -= tracked.row.index_bytes();
        tracked.changed.send_replace(());
    }

    fn forget_old(&mut self, now: Instant) {
        if self.forget_at.is_some_and(|at| now < at) {
            return;
        }
        self.forget_at = Some(now + FORGET_INTERVAL);
        let old = self.rows.iter().filter(|(_, known)| now >= known.asked + KEPT_TIME);
        let old: Vec<JobId> = old.map(|(job, _)| job.clone()).collect();
        old.iter().for_each(|job| self.forget(job));
    }

    /// Releases contents, and then rows, of the jobs that nobody has read for the longest time.
    fn enforce_limits(&mut self) {
        while self.bytes > self.limits.contents {
            let held = self.rows.values_mut().filter(|known| known.row.bytes() > 0);
            let Some(oldest) = held.min_by_key(|known| known.asked) else { break };
            let before = oldest.row.bytes();
            if !oldest.row.release_oldest() {
                break;
            }
            self.bytes -= before - oldest.row.bytes();
        }
        while self.index_bytes > self.limits.index && self.rows.len() > 1 {
            let oldest = self.rows.iter().min_by_key(|(_, known)| known.asked);
            let Some(job) = oldest.map(|(job, _)| job.clone()) else { break };
            self.forget(&job);
        }
    }

    /// Memory that the contents and the positions take, in bytes.
    pub(crate) const fn memory(&self) -> (usize, usize) {
        (self.bytes, self.index_bytes)
    }
}
