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

use bytes::Bytes;
use http::HeaderName;
use oleander_cluster::{Cluster, Handler, Presence};
use oleander_core::{HostId, JobId, Revision, Span, Time, Tokens};
use oleander_host::clock;
use oleander_platform::{Change as ObjectChange, Follow, Followed, ObjectStore};
use oleander_relay::{Relay, Route, RouteKind, Targets};
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time,
};

use crate::{
    backlog::Backlog,
    index::{Change, Index},
    job::{Job, take_results},
    message::{JobAnswer, JobCall, Results},
    record::{ItemResult, JobEntry, JobPhase, Owner},
    runner::Run,
    store::{ENTRY_PREFIX, JobStore, StoreFault, decode},
    submission::{Submission, SubmitError},
};

/// Longest wait of a watch for entries.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between two watches: one call brings the changes of several jobs.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Time to come back while the platform does not take writes.
const BUSY_RETRY: Span = Span::from_secs(1);
/// Time to come back when a route's backlog is full: about the time in which a job's worth ends.
const FULL_RETRY: Span = Span::from_secs(2);
/// Time allowed to the owner beyond the wait that a reader asked for.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the outcome of the same submission by another connection.
const OUTCOME_WAIT: Duration = Duration::from_secs(1);
/// Time between two looks for it.
const OUTCOME_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait of one read.
const MAX_READ_WAIT: Span = Span::from_secs(1);
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
    archive: Mutex<HashMap<JobId, Vec<Arc<ItemResult>>>>,
    /// Items under way.
    pub(crate) runs: Mutex<Vec<Run>>,
    /// Number of items started so far.
    pub(crate) run_count: AtomicU64,
    /// Wakes the dispatcher.
    pub(crate) wake: Notify,
    ready: AtomicBool,
    draining: AtomicBool,
}

impl<S: ObjectStore, T: Targets> Desk<S, T> {
    /// A desk without jobs.
    #[must_use]
    pub fn new(
        config: DeskConfig,
        store: S,
        relay: Arc<Relay<T>>,
        cluster: Arc<Cluster>,
    ) -> Arc<Self> {
        let me = Owner { host: cluster.me.host.clone(), started: cluster.me.started };
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
        let mut follow = Follow::new(store, ENTRY_PREFIX, WATCH_WAIT).pause(WATCH_PAUSE);
        loop {
            match follow.next().await {
                Followed::Snapshot(objects) => {
                    let changes = objects
                        .into_iter()
                        .map(|(key, object)| ObjectChange { key, object: Some(object) });
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
        match decode::<JobEntry>(&object.body) {
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

    /// Takes a job in.
    ///
    /// # Errors
    ///
    /// The error tells whether the job may have been accepted.
    pub async fn submit(
        self: &Arc<Self>,
        submission: Submission,
        route: &Route,
    ) -> Result<(), SubmitError> {
        let job = submission.job.clone();
        if self.index.lock().get(&job).is_some() {
            return Ok(());
        }
        if let Err(refusal) = self.admit(&submission, route) {
            // A job that was accepted elsewhere moments ago must not be refused.
            return match self.store.entry(&job).await {
                Ok(Some(_)) => Ok(()),
                Ok(None) | Err(_) => Err(refusal),
            };
        }
        if !self.coming.lock().insert(job.clone()) {
            return self.outcome_of(&job).await;
        }
        // A caller that leaves drops this future; what has begun is ended all the same.
        let (desk, route) = (Arc::clone(self), route.clone());
        let accepting = tokio::spawn(async move {
            let accepted = desk.accept(submission, &route).await;
            desk.coming.lock().remove(&job);
            // The entry may have come by the watch while the outcome of its create was not known.
            desk.adopt_if_mine(&job);
            desk.wake.notify_one();
            accepted
        });
        accepting.await.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Waits for the outcome of another submission of the same job.
    async fn outcome_of(&self, job: &JobId) -> Result<(), SubmitError> {
        let end = time::Instant::now() + OUTCOME_WAIT;
        while self.coming.lock().contains(job) && time::Instant::now() < end {
            time::sleep(OUTCOME_INTERVAL).await;
        }
        let known = self.index.lock().get(job).is_some();
        if known { Ok(()) } else { Err(SubmitError::Unknown) }
    }

    fn admit(&self, submission: &Submission, route: &Route) -> Result<(), SubmitError> {
        if !self.is_ready() {
            return Err(SubmitError::Busy(BUSY_RETRY));
        }
        let held: usize = self.owned.lock().values().map(|held| held.job.lock().bytes()).sum();
        if held + submission.bytes() > self.config.held_bytes {
            return Err(SubmitError::Full(FULL_RETRY));
        }
        let RouteKind::Batch { backlog, .. } = route.kind else { return Ok(()) };
        let waiting = Backlog::of(&self.index.lock(), &route.name, self.done_tokens(&route.name));
        waiting.admit(submission.tokens(), backlog).map_err(|_| SubmitError::Full(FULL_RETRY))
    }

    /// Tokens of ended items in the open jobs that this host owns.
    fn done_tokens(&self, route: &str) -> Tokens {
        let owned: Vec<Arc<Held>> = self.owned.lock().values().cloned().collect();
        let done = owned.iter().map(|held| {
            let job = held.job.lock();
            if job.entry.route != route || job.entry.phase != JobPhase::Open {
                return 0;
            }
            let (open, all) = job.open_share();
            job.entry.tokens.0 * u64::from(all - open) / u64::from(all.max(1))
        });
        Tokens(done.sum())
    }

    async fn accept(
        self: &Arc<Self>,
        submission: Submission,
        route: &Route,
    ) -> Result<(), SubmitError> {
        let parts = submission.parts(self.config.object_bytes);
        for (index, part) in parts.iter().enumerate() {
            let put = self.store.put_part(&submission.job, index as u32, part).await;
            if let Err(fault) = put {
                log::warn!(job:% = submission.job, error:% = fault; "job refused: items not stored");
                return Err(SubmitError::Busy(BUSY_RETRY));
            }
        }
        let owner = (!self.is_draining()).then(|| self.me.clone());
        let entry = submission.entry(clock::now(), route, parts.len() as u32, owner);
        match self.store.accept(&entry).await {
            Ok(Some(revision)) => {
                log::info!(job:% = entry.job, route:% = entry.route, items = entry.total,
                    tokens = entry.tokens.0, revision = revision.0; "job accepted");
                if entry.owner.is_some() {
                    let job = Job::new(entry.clone(), submission.items, &self.config.id_header);
                    self.hold(job);
                }
                self.take_entry(revision, entry);
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(StoreFault::Platform(error)) if error.may_have_written() => {
                log::warn!(job:% = entry.job, error:% = error; "job may have been accepted");
                Err(SubmitError::Unknown)
            }
            Err(fault) => {
                log::warn!(job:% = entry.job, error:% = fault; "job refused: not stored");
                Err(SubmitError::Busy(BUSY_RETRY))
            }
        }
    }

    /// Entry of a job, from memory or from the platform.
    async fn entry(self: &Arc<Self>, job: &JobId) -> Result<Option<(Revision, JobEntry)>, Unsure> {
        if let Some(known) = self.index.lock().get(job).cloned() {
            return Ok(Some(known));
        }
        let found = self.store.entry(job).await?;
        if let Some((revision, entry)) = &found {
            self.take_entry(*revision, entry.clone());
        }
        Ok(found)
    }

    /// Results of a job from position `after` on; waits at most `wait` for one. `None` if there
    /// is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`Unsure`] if neither the owner nor the platform answers.
    pub async fn read(
        self: &Arc<Self>,
        job: &JobId,
        after: usize,
        wait: Span,
    ) -> Result<Option<Results>, Unsure> {
        let wait = wait.min(MAX_READ_WAIT);
        let Some((_, entry)) = self.entry(job).await? else { return Ok(None) };
        if let Some(results) = self.read_here(job, after, wait).await {
            return Ok(Some(results));
        }
        if let Some(owner) = self.running_owner(&entry) {
            let call = JobCall::Read { job: job.clone(), after, wait };
            let timeout = wait.to_duration() + OWNER_TIMEOUT;
            match self.cluster.call(&owner, call, timeout).await {
                Ok(JobAnswer::Results(results)) => return Ok(Some(results)),
                Ok(_) => {}
                Err(error) => {
                    log::warn!(job:% = job, owner:% = owner, error:% = error;
                        "owner does not answer a read");
                }
            }
        }
        let listed = self.stored_results(&entry).await?;
        let results = take_results(&listed, after);
        let results = results.iter().map(|result| ItemResult::clone(result)).collect();
        Ok(Some(Results { total: entry.total, results }))
    }

    /// The owner of a job, if it is another process that runs.
    fn running_owner(&self, entry: &JobEntry) -> Option<HostId> {
        let owner = entry.owner.as_ref().filter(|owner| **owner != self.me)?;
        let presence = self.cluster.presence(&owner.host, owner.started);
        (presence != Presence::Gone).then(|| owner.host.clone())
    }

    async fn read_here(&self, job: &JobId, after: usize, wait: Span) -> Option<Results> {
        let held = self.owned.lock().get(job).cloned()?;
        let deadline = time::Instant::now() + wait.to_duration();
        loop {
            let listed = held.listed.notified();
            tokio::pin!(listed);
            listed.as_mut().enable();
            let (total, results, open) = {
                let job = held.job.lock();
                let open = job.entry.phase == JobPhase::Open && !job.is_complete();
                (job.entry.total, job.results(after), open)
            };
            let late = time::Instant::now() >= deadline;
            if !results.is_empty() || !open || late {
                let results = results.iter().map(|result| ItemResult::clone(result)).collect();
                return Some(Results { total, results });
            }
            // The loop looks at the deadline itself.
            let _ = time::timeout_at(deadline, listed).await;
        }
    }

    /// All results at the platform, read on from what was read before.
    async fn stored_results(&self, entry: &JobEntry) -> Result<Vec<Arc<ItemResult>>, Unsure> {
        let known = self.archive.lock().get(&entry.job).cloned().unwrap_or_default();
        if known.len() == entry.total as usize {
            return Ok(known);
        }
        let mut listed: Vec<Arc<ItemResult>> = Vec::new();
        let mut seen = HashSet::new();
        for index in 0.. {
            let Some(segment) = self.store.segment(&entry.job, index).await? else { break };
            let fresh =
                segment.results.into_iter().filter(|result| seen.insert(result.item.clone()));
            listed.extend(fresh.map(Arc::new));
        }
        self.archive.lock().insert(entry.job.clone(), listed.clone());
        Ok(listed)
    }

    /// Body of an item that is not listed; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Unsure`] if neither the owner nor the platform answers.
    pub async fn body(self: &Arc<Self>, job: &JobId, item: &str) -> Result<Option<Bytes>, Unsure> {
        let Some((_, entry)) = self.entry(job).await? else { return Ok(None) };
        if let Some(held) = self.owned.lock().get(job).cloned() {
            return Ok(held.job.lock().body(item));
        }
        if let Some(owner) = self.running_owner(&entry) {
            let call = JobCall::Body { job: job.clone(), item: item.to_owned() };
            match self.cluster.call(&owner, call, OWNER_TIMEOUT).await {
                Ok(JobAnswer::Body(body)) => return Ok(body),
                Ok(_) => {}
                Err(error) => {
                    log::warn!(job:% = job, owner:% = owner, error:% = error;
                        "owner does not answer a read");
                }
            }
        }
        if self.stored_results(&entry).await?.iter().any(|result| result.item == item) {
            return Ok(None);
        }
        let items = self.store.items(&entry).await?;
        Ok(items.into_iter().find(|stored| stored.id == item).map(|stored| stored.body))
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
                self.take_entry(at, ended);
                return Ok(true);
            }
            let Some(found) = self.store.entry(job).await? else { return Ok(false) };
            (revision, entry) = found;
        }
        Err(Unsure("entry keeps changing".to_owned()))
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

impl<S: ObjectStore, T: Targets> Handler<JobCall, JobAnswer> for Desk<S, T> {
    async fn handle(&self, _: HostId, call: JobCall) -> JobAnswer {
        match call {
            JobCall::Read { job, after, wait } => {
                let results = self.read_here(&job, after, wait.min(MAX_READ_WAIT)).await;
                results.map_or(JobAnswer::NotHere, JobAnswer::Results)
            }
            JobCall::Yield { target, count } => {
                self.interrupt(&target, count);
                JobAnswer::Yielded
            }
            JobCall::Body { job, item } => {
                let held = self.owned.lock().get(&job).cloned();
                held.map_or(JobAnswer::NotHere, |held| JobAnswer::Body(held.job.lock().body(&item)))
            }
        }
    }
}
