//! Shared state of the batch jobs at an entry host, and the watch that keeps it up to date.
//!
//! Lock order: a task holds one lock at a time, except that it may lock a job while it holds the
//! table of loaded jobs, and the lease of a job while it holds the job.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::HeaderName;
use oleander_cluster::Cluster;
use oleander_core::{JobId, Revision, Time};
use oleander_host::clock;
use oleander_platform::{
    Change, FollowEvent, Follower, Object, ObjectStore, SHORT_WAIT, StoreError, decode_value,
};
use oleander_relay::{Relay, TargetTransport};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    changes::ChangeReads,
    ends::JobEnds,
    index::{JobAction, JobIndex},
    item::NewItem,
    job::Job,
    lease::{RecordSource, StartLease},
    read_state::{ReadMemory, ReadState},
    record::{JobPhase, JobRecord, Owner},
    runner::Run,
    store::{JOB_PREFIX, JobStore},
    waits::PeerWaits,
};

/// Pause between two watch calls, so that one call returns the changes of several jobs. What must
/// not start on an old view asks for a [`StartLease`] instead.
const WATCH_PAUSE: Duration = Duration::from_millis(1_000);

/// Settings of a [`JobManager`].
#[derive(Debug, Clone)]
pub struct JobManagerConfig {
    /// Header that carries the id of an item to targets.
    pub id_header: HeaderName,
    /// Maximum size of an object at the platform, in bytes.
    pub object_bytes: usize,
    /// Maximum size of the request bodies of all loaded jobs, in bytes.
    pub loaded_bytes: usize,
}

/// The state of a job can't be determined now, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateUnknown(pub String);

impl fmt::Display for StateUnknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "state of the job is unknown: {}", self.0)
    }
}

impl StateUnknown {
    /// What was needed was not read in time, perhaps for this reason.
    pub(crate) fn not_read(fault: Option<String>) -> Self {
        Self(fault.unwrap_or_else(|| "not read in time".to_owned()))
    }
}

impl From<StoreError> for StateUnknown {
    fn from(fault: StoreError) -> Self {
        Self(fault.to_string())
    }
}

/// A job that this host owns, or owned until it was done or cancelled.
pub(crate) struct LoadedJob {
    pub(crate) job: Mutex<Job>,
    pub(crate) lease: Mutex<StartLease>,
    /// Whether the lease is being renewed.
    pub(crate) renewing: AtomicBool,
    /// Signals that results were committed.
    pub(crate) committed: Notify,
    /// Signals that the run of an item finished.
    pub(crate) finished: Notify,
    /// Set once the job's items must no longer run here.
    pub(crate) stop: watch::Sender<bool>,
}

impl LoadedJob {
    pub(crate) fn new(job: Job, lease: StartLease) -> Arc<Self> {
        let (committed, finished) = (Notify::new(), Notify::new());
        Arc::new(Self {
            job: Mutex::new(job),
            lease: Mutex::new(lease),
            renewing: AtomicBool::new(false),
            committed,
            finished,
            stop: watch::Sender::new(false),
        })
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    /// Ends the runs of the job's items, and the waits of its readers.
    fn signal_stop(&self) {
        self.stop.send_replace(true);
        self.committed.notify_waiters();
        self.finished.notify_one();
    }
}

/// Accepts, runs and serves the batch jobs of an entry host.
pub struct JobManager<S, T> {
    pub(crate) local: Owner,
    pub(crate) config: JobManagerConfig,
    pub(crate) store: JobStore<S>,
    pub(crate) relay: Arc<Relay<T>>,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) index: Mutex<JobIndex>,
    /// Jobs in memory.
    pub(crate) loaded: Mutex<HashMap<JobId, Arc<LoadedJob>>>,
    /// Jobs that are being accepted or loaded.
    pub(crate) starting: Mutex<HashSet<JobId>>,
    /// What is kept for reads of jobs that are not loaded.
    pub(crate) reads: ReadState,
    /// Reads of other hosts that wait for results here.
    pub(crate) peer_waits: PeerWaits,
    /// Reads of records that other hosts have changed.
    pub(crate) change_reads: ChangeReads,
    /// Ends of jobs, by the time since which this host knows them.
    pub(crate) ends: Mutex<JobEnds>,
    /// Items that are running, in order of their start.
    pub(crate) runs: Mutex<Vec<Run>>,
    /// Number of items started so far.
    pub(crate) run_count: AtomicU64,
    /// Wakes the dispatcher.
    pub(crate) wake: Notify,
    /// Signals that items wait for which this host knows no route.
    pub(crate) unrouted: Notify,
    ready: AtomicBool,
    draining: AtomicBool,
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Creates a manager without jobs.
    #[must_use]
    pub fn new(
        config: JobManagerConfig,
        store: S,
        relay: Arc<Relay<T>>,
        cluster: Arc<Cluster>,
    ) -> Arc<Self> {
        let local = Owner { host: cluster.local.host.clone(), started: cluster.local.started };
        Arc::new(Self {
            local,
            config,
            store: JobStore::new(store),
            relay,
            cluster,
            index: Mutex::default(),
            loaded: Mutex::default(),
            starting: Mutex::default(),
            reads: ReadState::default(),
            peer_waits: PeerWaits::default(),
            change_reads: ChangeReads::default(),
            ends: Mutex::default(),
            runs: Mutex::default(),
            run_count: AtomicU64::new(0),
            wake: Notify::new(),
            unrouted: Notify::new(),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        })
    }

    /// A job without results, with the limits of this host.
    pub(crate) fn new_job(&self, record: JobRecord, items: Vec<NewItem>) -> Job {
        Job::new(record, items, &self.config.id_header).object_bytes(self.config.object_bytes)
    }

    /// Whether all job records have been read once.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Whether this host starts no more items.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Memory that is kept for reads of jobs that are not loaded.
    pub fn read_memory(&self) -> ReadMemory {
        self.reads.memory()
    }

    /// Stops starting items; running items continue.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Follows the records of all jobs at the platform; never returns.
    pub async fn follow_jobs(self: Arc<Self>) {
        let store = self.store.objects().clone();
        let mut follow = Follower::new(store, JOB_PREFIX, SHORT_WAIT).pause(WATCH_PAUSE);
        loop {
            match follow.next().await {
                FollowEvent::Snapshot(objects) => {
                    self.apply_snapshot(objects, follow.revision());
                    self.ready.store(true, Ordering::Relaxed);
                }
                FollowEvent::Changes(changes) => {
                    changes.into_iter().for_each(|change| self.apply_change(change));
                }
                FollowEvent::Failed(error) => {
                    log::warn!(error:% = error; "job records can't be read");
                }
            }
        }
    }

    /// Applies all records that exist, as read at `revision`; what is missing has been removed.
    fn apply_snapshot(
        self: &Arc<Self>,
        objects: Vec<(String, Object)>,
        revision: Option<Revision>,
    ) {
        let keys = objects.iter().filter_map(|(key, _)| key.strip_prefix(JOB_PREFIX)?.parse().ok());
        let listed: HashSet<JobId> = keys.collect();
        let missing = self.index.lock().missing(&listed, revision.unwrap_or_default());
        missing.iter().for_each(|job| self.remove_job(job));
        let changes = objects.into_iter().map(Change::from);
        changes.for_each(|change| self.apply_change(change));
    }

    fn apply_change(self: &Arc<Self>, change: Change) {
        let Some(job) = change.key.strip_prefix(JOB_PREFIX).and_then(|job| job.parse().ok()) else {
            return;
        };
        let Some(object) = change.object else { return self.remove_job(&job) };
        match decode_value::<JobRecord>(&object.body) {
            Ok(record) if record.job == job => {
                self.apply_record(object.revision, record, RecordSource::Watch);
            }
            Ok(record) => {
                log::warn!(job:% = job, named:% = record.job; "job record of another job ignored");
            }
            Err(fault) => log::warn!(job:% = job, error:% = fault; "job record can't be decoded"),
        }
    }

    /// Forgets a job whose record has been removed, and stops its items.
    pub(crate) fn remove_job(&self, job: &JobId) {
        self.index.lock().remove(job);
        self.ends.lock().forget(job);
        self.reads.forget(job);
        let Some(loaded) = self.loaded.lock().remove(job) else { return };
        log::info!(job:% = job; "job stopped: its record has been removed");
        loaded.signal_stop();
    }

    /// Applies a record read from or written to the platform: loads or stops its job.
    pub(crate) fn apply_record(
        self: &Arc<Self>,
        revision: Revision,
        record: JobRecord,
        source: RecordSource,
    ) {
        if record.phase == JobPhase::Cancelled {
            self.ends.lock().learn(&record.job, clock::since_boot());
        }
        let action = self.index.lock().put(revision, record.clone(), &self.local);
        match action {
            JobAction::None => {}
            JobAction::Load => self.spawn_load(record),
            JobAction::Stop => {
                log::info!(job:% = record.job, phase:? = record.phase, owner:? = record.owner,
                    revision = revision.0, source:% = source; "record stops a job here");
                self.stop_job(&record);
            }
        }
    }

    /// Stops a loaded job if, by its record, this process doesn't run it.
    ///
    /// The record may have changed while the job was being accepted or loaded.
    pub(crate) fn stop_unless_owned(&self, job: &JobId) {
        let Some((_, record)) = self.indexed(job) else { return };
        if !self.is_owner(&record) {
            self.stop_job(&record);
        }
    }

    /// Stops the runs of a job; the job stays loaded for readers if this process owned it last.
    pub(crate) fn stop_job(&self, record: &JobRecord) {
        let mut jobs = self.loaded.lock();
        let Some(loaded) = jobs.get(&record.job).cloned() else { return };
        loaded.signal_stop();
        loaded.job.lock().record.phase = record.phase;
        if record.owner.as_ref() != Some(&self.local) {
            log::info!(job:% = record.job, owner:? = record.owner;
                "job stopped: this process no longer owns it");
            jobs.remove(&record.job);
        }
    }

    /// Record of a job, from the index or else from the platform.
    pub(crate) async fn record(
        self: &Arc<Self>,
        job: &JobId,
    ) -> Result<Option<(Revision, JobRecord)>, StateUnknown> {
        if let Some(indexed) = self.index.lock().get(job).cloned() {
            return Ok(Some(indexed));
        }
        let found = self.store.record(job).await?;
        if let Some((revision, record)) = &found {
            self.apply_record(*revision, record.clone(), RecordSource::Read);
        }
        Ok(found)
    }

    /// Record of a job in the index, with its revision.
    pub(crate) fn indexed(&self, job: &JobId) -> Option<(Revision, JobRecord)> {
        self.index.lock().get(job).cloned()
    }

    /// Current wall-clock time, which the times in job records refer to.
    pub(crate) fn wall_now() -> Time {
        clock::now()
    }
}
