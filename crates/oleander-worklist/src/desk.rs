//! Takes jobs in, answers reads, and keeps the jobs that this host owns.
//!
//! Lock order: one lock at a time, but for a job's own lock under the table of owned jobs.

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
use oleander_core::{HostId, JobId, Revision, Time};
use oleander_host::clock;
use oleander_platform::{
    Change as ObjectChange, Follow, Followed, ObjectStore, PROMPT_WAIT, StoreFault, decode_value,
};
use oleander_relay::{Relay, TargetTransport};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    index::{Change, Index},
    job::Job,
    message::{JobAnswer, JobCall},
    record::{ItemResult, JobEntry, JobPhase, Owner},
    runner::Run,
    store::{ENTRY_PREFIX, JobStore},
};

/// Time between two watches: one call brings the changes of several jobs. The owner of a job is
/// told of its end at once; if that fails, the pause and a watch are still well within the time
/// in which an end has to be obeyed.
const WATCH_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest wait for a host that is told of a change.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);
/// Times an end is tried against a changing entry.
const END_TRIES: u32 = 5;

/// Settings of a desk.
#[derive(Debug, Clone)]
pub struct DeskConfig {
    /// Header that carries the name of an item to targets.
    pub id_header: HeaderName,
    /// Largest object of the platform, in bytes.
    pub object_bytes: usize,
    /// Bodies of all jobs that this host holds, in bytes.
    pub held_bytes: usize,
}

/// It can't be told now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unsure(pub String);

impl fmt::Display for Unsure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't be told now: {}", self.0)
    }
}

impl From<StoreFault> for Unsure {
    fn from(fault: StoreFault) -> Self {
        Self(fault.to_string())
    }
}

/// A job that this host owns, or owned to its end.
pub(crate) struct Held {
    pub(crate) job: Mutex<Job>,
    /// Results were listed.
    pub(crate) listed: Notify,
    /// An item ended.
    pub(crate) ended: Notify,
    /// Set once no item may run any more.
    pub(crate) stop: watch::Sender<bool>,
}

impl Held {
    pub(crate) fn new(job: Job) -> Arc<Self> {
        let (listed, ended) = (Notify::new(), Notify::new());
        Arc::new(Self { job: Mutex::new(job), listed, ended, stop: watch::Sender::new(false) })
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }
}

/// The batch side of an entry process.
pub struct Desk<S, T> {
    pub(crate) me: Owner,
    pub(crate) config: DeskConfig,
    pub(crate) store: JobStore<S>,
    pub(crate) relay: Arc<Relay<T>>,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) index: Mutex<Index>,
    pub(crate) owned: Mutex<HashMap<JobId, Arc<Held>>>,
    /// Jobs that are being accepted or loaded.
    pub(crate) coming: Mutex<HashSet<JobId>>,
    /// Results of jobs without a running owner, as read from the platform.
    pub(crate) archive: Mutex<HashMap<JobId, Vec<Arc<ItemResult>>>>,
    /// Items under way.
    pub(crate) runs: Mutex<Vec<Run>>,
    /// Number of items started so far.
    pub(crate) run_count: AtomicU64,
    /// Wakes the dispatcher.
    pub(crate) wake: Notify,
    ready: AtomicBool,
    draining: AtomicBool,
}

impl<S: ObjectStore, T: TargetTransport> Desk<S, T> {
    /// A desk without jobs.
    #[must_use]
    pub fn new(
        config: DeskConfig,
        store: S,
        relay: Arc<Relay<T>>,
        cluster: Arc<Cluster>,
    ) -> Arc<Self> {
        let me = Owner { host: cluster.local.host.clone(), started: cluster.local.started };
        Arc::new(Self {
            me,
            config,
            store: JobStore::new(store),
            relay,
            cluster,
            index: Mutex::default(),
            owned: Mutex::default(),
            coming: Mutex::default(),
            archive: Mutex::default(),
            runs: Mutex::default(),
            run_count: AtomicU64::new(0),
            wake: Notify::new(),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        })
    }

    /// Whether all entries have been read once.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Whether no item is started any more.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts no more items.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Keeps the entries of all jobs up to date; never ends.
    pub async fn follow(self: Arc<Self>) {
        let store = self.store.objects().clone();
        let mut follow = Follow::new(store, ENTRY_PREFIX, PROMPT_WAIT).pause(WATCH_PAUSE);
        loop {
            match follow.next().await {
                Followed::Snapshot(objects) => {
                    let changes = objects.into_iter().map(ObjectChange::from);
                    changes.for_each(|change| self.take_change(change));
                    self.ready.store(true, Ordering::Relaxed);
                }
                Followed::Changes(changes) => {
                    changes.into_iter().for_each(|change| self.take_change(change));
                }
                Followed::Lost(error) => {
                    log::warn!(error:% = error; "entries of jobs can't be read");
                }
            }
        }
    }

    fn take_change(self: &Arc<Self>, change: ObjectChange) {
        let Some(job) = change.key.strip_prefix(ENTRY_PREFIX).and_then(|job| job.parse().ok())
        else {
            return;
        };
        let Some(object) = change.object else {
            self.index.lock().remove(&job);
            self.owned.lock().remove(&job);
            self.archive.lock().remove(&job);
            return;
        };
        match decode_value::<JobEntry>(&object.body) {
            Ok(entry) => self.take_entry(object.revision, entry),
            Err(fault) => log::warn!(job:% = job, error:% = fault; "entry of a job is ignored"),
        }
    }

    /// Takes an entry as it stands at the platform.
    pub(crate) fn take_entry(self: &Arc<Self>, revision: Revision, entry: JobEntry) {
        let change = self.index.lock().put(revision, entry.clone(), &self.me);
        match change {
            Change::None => {}
            Change::Adopt => self.adopt(entry),
            Change::Stop => self.stop(&entry),
        }
    }

    /// Stops a job that is held although its entry says that it doesn't run here.
    ///
    /// The entry may have changed while the job was being accepted or loaded.
    pub(crate) fn stop_unless_mine(&self, job: &JobId) {
        let Some((_, entry)) = self.known(job) else { return };
        let mine = entry.owner.as_ref() == Some(&self.me) && entry.phase == JobPhase::Open;
        if !mine {
            self.stop(&entry);
        }
    }

    /// Stops the runs of a job; keeps it for readers if it ended here.
    fn stop(&self, entry: &JobEntry) {
        let mut owned = self.owned.lock();
        let Some(held) = owned.get(&entry.job).cloned() else { return };
        held.stop.send_replace(true);
        held.listed.notify_waiters();
        held.ended.notify_one();
        held.job.lock().entry.phase = entry.phase;
        if entry.owner.as_ref() != Some(&self.me) {
            log::info!(job:% = entry.job, owner:? = entry.owner; "job runs elsewhere");
            owned.remove(&entry.job);
        }
    }

    /// Entry of a job, from memory or from the platform.
    pub(crate) async fn entry(
        self: &Arc<Self>,
        job: &JobId,
    ) -> Result<Option<(Revision, JobEntry)>, Unsure> {
        if let Some(known) = self.index.lock().get(job).cloned() {
            return Ok(Some(known));
        }
        let found = self.store.entry(job).await?;
        if let Some((revision, entry)) = &found {
            self.take_entry(*revision, entry.clone());
        }
        Ok(found)
    }

    /// Ends a job; `false` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`Unsure`] if the job may still be open.
    pub async fn end(self: &Arc<Self>, job: &JobId) -> Result<bool, Unsure> {
        let Some((mut revision, mut entry)) = self.entry(job).await? else { return Ok(false) };
        for _ in 0..END_TRIES {
            if entry.phase != JobPhase::Open {
                return Ok(true);
            }
            let ended = JobEntry { phase: JobPhase::Ended, ..entry };
            if let Some(at) = self.store.replace(&ended, revision).await? {
                log::info!(job:% = job, revision = at.0; "job ended by its caller");
                if let Some(owner) = self.running_owner(&ended) {
                    self.tell(owner, job.clone());
                }
                self.take_entry(at, ended);
                return Ok(true);
            }
            let Some(found) = self.store.entry(job).await? else { return Ok(false) };
            (revision, entry) = found;
        }
        Err(Unsure("entry keeps changing".to_owned()))
    }

    /// Tells a host that the entry of a job changed; a lost message only delays what it sees.
    pub(crate) fn tell(self: &Arc<Self>, host: HostId, job: JobId) {
        let desk = Arc::clone(self);
        tokio::spawn(async move {
            let call = JobCall::Changed { job: job.clone() };
            let answer = desk.cluster.call(&host, call, TELL_TIMEOUT).await;
            if let Err(error) = answer.map(|_: JobAnswer| ()) {
                log::info!(job:% = job, host:% = host, error:% = error;
                    "host was not told of a change; it sees it by its watch");
            }
        });
    }

    /// Entry and revision of a job that this host knows.
    pub(crate) fn known(&self, job: &JobId) -> Option<(Revision, JobEntry)> {
        self.index.lock().get(job).cloned()
    }

    /// Present time of the clock that entries carry.
    pub(crate) fn wall() -> Time {
        clock::now()
    }
}
