//! Jobs that come to this host and go from it, and their results on the way to the platform.

use std::{fmt, sync::Arc, time::Duration};

use oleander_core::{JobId, Revision, Span, Time};
use oleander_host::clock;
use oleander_platform::{ObjectStore, StoreFault};
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    desk::{Desk, Held},
    index::next_owner,
    job::Job,
    record::{JobEntry, JobPhase, Owner, Segment},
};

/// Time between two looks for jobs without an owner.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the start before which no job is taken over: the other hosts must be known first.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Jobs taken over at one look, so that a host that starts isn't swamped.
const MOST_AT_ONCE: usize = 4;
/// Time in which results gather for one segment.
const GATHER_TIME: Duration = Duration::from_millis(800);
/// Time between two looks at the age of an open job.
const AGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two lines about a job that is late.
const LATE_INTERVAL: Span = Span::from_secs(5);
/// Pause before a failed access is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time that running items get when this host is about to stop.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);

impl<S: ObjectStore, T: TargetTransport> Desk<S, T> {
    /// Takes over jobs whose owner is gone; never ends.
    pub async fn take_over(self: Arc<Self>) {
        time::sleep(SETTLE_TIME).await;
        loop {
            time::sleep(LOOK_INTERVAL).await;
            if !self.is_ready() || self.is_draining() {
                continue;
            }
            for (revision, entry) in self.orphans() {
                let former = entry.owner.clone();
                let taken = JobEntry { owner: Some(self.me.clone()), ..entry };
                match self.store.replace(&taken, revision).await {
                    Ok(Some(at)) => {
                        log::info!(job:% = taken.job, former:? = former, revision = at.0;
                            "job taken over");
                        self.take_entry(at, taken);
                    }
                    Ok(None) => {
                        self.refresh(&taken.job).await;
                    }
                    Err(fault) => {
                        log::warn!(job:% = taken.job, error:% = fault; "job can't be taken over");
                    }
                }
            }
        }
    }

    /// Reads an entry that is not as this host believed; tells whether it could be read.
    pub(crate) async fn refresh(self: &Arc<Self>, job: &JobId) -> bool {
        match self.store.entry(job).await {
            Ok(Some((revision, entry))) => {
                log::info!(job:% = job, owner:? = entry.owner, revision = revision.0;
                    "job has changed meanwhile");
                self.take_entry(revision, entry);
            }
            Ok(None) => log::info!(job:% = job; "job is gone"),
            Err(fault) => {
                log::warn!(job:% = job, error:% = fault; "entry can't be read");
                return false;
            }
        }
        true
    }

    /// Loads a job that this host owns and doesn't hold.
    pub(crate) fn adopt_if_mine(self: &Arc<Self>, job: &JobId) {
        if let Some((_, entry)) = self.known(job).filter(|_| self.is_mine(job)) {
            self.adopt(entry);
        }
    }

    fn orphans(&self) -> Vec<(Revision, JobEntry)> {
        let live = self.cluster.live_entry_hosts();
        let index = self.index.lock();
        let is_gone = |owner: &Owner| {
            let presence = self.cluster.liveness(&owner.host, owner.started);
            presence == oleander_cluster::Liveness::Dead
        };
        index.orphans(&self.me, &live, is_gone).take(MOST_AT_ONCE).cloned().collect()
    }

    /// Loads a job that this host is to run.
    pub(crate) fn adopt(self: &Arc<Self>, entry: JobEntry) {
        let job = entry.job.clone();
        if self.owned.lock().contains_key(&job) || !self.coming.lock().insert(job.clone()) {
            return;
        }
        let desk = Arc::clone(self);
        tokio::spawn(async move {
            while desk.is_mine(&job) {
                match desk.load(entry.clone()).await {
                    Ok(loaded) => {
                        if desk.is_mine(&job) {
                            desk.hold(loaded);
                        }
                        break;
                    }
                    Err(fault) => log::warn!(job:% = job, error:% = fault; "job can't be loaded"),
                }
                time::sleep(RETRY_PAUSE).await;
            }
            desk.coming.lock().remove(&job);
            desk.adopt_if_mine(&job);
            desk.wake.notify_one();
        });
    }

    fn is_mine(&self, job: &JobId) -> bool {
        let entry = self.known(job).map(|(_, entry)| entry);
        entry.is_some_and(|entry| {
            entry.owner.as_ref() == Some(&self.me) && entry.phase == JobPhase::Open
        })
    }

    /// Loads a job with its results and closes its log to the owner before.
    ///
    /// The empty segment at the end of the log is what a former owner that goes on, as it was
    /// paused or cut off, meets with its next results; from then on it shows none that this host
    /// doesn't know.
    async fn load(&self, entry: JobEntry) -> Result<Job, StoreFault> {
        let items = self.store.items(&entry).await?;
        let name = entry.job.clone();
        let mut job = Job::new(entry, items, &self.config.id_header);
        while let Some(segment) = self.store.segment(&name, job.segments()).await? {
            job.apply(segment);
        }
        let fence = Segment { writer: self.writer("load"), results: Vec::new() };
        loop {
            let stored = self.store.append(&name, job.segments(), &fence).await?;
            let is_own = stored.writer == fence.writer;
            job.apply(stored);
            if is_own {
                return Ok(job);
            }
        }
    }

    /// Name of a write of this process.
    fn writer(&self, write: impl fmt::Display) -> String {
        format!("{}@{}:{write}", self.me.host, self.me.started)
    }

    /// Starts to run a job.
    pub(crate) fn hold(self: &Arc<Self>, job: Job) {
        let name = job.entry.job.clone();
        let held = Held::new(job);
        self.owned.lock().insert(name.clone(), Arc::clone(&held));
        self.stop_unless_mine(&name);
        self.wake.notify_one();
        let desk = Arc::clone(self);
        tokio::spawn(async move { desk.list_results(name, held).await });
    }

    /// Writes results to the log until all are listed or the job stops.
    async fn list_results(self: Arc<Self>, name: JobId, held: Arc<Held>) {
        let mut writes = 0_u64;
        let mut told = None;
        while !held.is_stopped() {
            held.job.lock().expire(Self::wall());
            tell_if_late(&held.job.lock(), Self::wall(), &mut told);
            if held.job.lock().is_complete() {
                if self.close(&name).await {
                    return;
                }
                time::sleep(RETRY_PAUSE).await;
                continue;
            }
            if held.job.lock().offers().is_empty() {
                // Either an item ends, or the job's age is looked at again.
                let _ = time::timeout(AGE_INTERVAL, held.ended.notified()).await;
                if held.job.lock().running() > 0 {
                    time::sleep(GATHER_TIME).await;
                }
                continue;
            }
            writes += 1;
            if let Err(fault) = self.append(&name, &held, writes).await {
                log::warn!(job:% = name, error:% = fault; "results can't be listed");
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn append(
        self: &Arc<Self>,
        name: &JobId,
        held: &Held,
        write: u64,
    ) -> Result<(), StoreFault> {
        let (index, results) = {
            let job = held.job.lock();
            (job.segments(), job.offers())
        };
        let segment = Segment { writer: self.writer(write), results };
        let stored = self.store.append(name, index, &segment).await?;
        let is_own = stored.writer == segment.writer;
        if !is_own {
            log::info!(job:% = name, segment = index, writer:% = stored.writer;
                "another host wrote to the job's results first");
        }
        held.job.lock().apply(stored);
        if !is_own {
            // Whoever wrote there may have taken the job over; until that is known, nothing more is
            // listed here.
            while !self.refresh(name).await {
                time::sleep(RETRY_PAUSE).await;
            }
        }
        held.listed.notify_waiters();
        Ok(())
    }

    /// Marks a job as done; `true` once it is, or is another's.
    async fn close(self: &Arc<Self>, name: &JobId) -> bool {
        let Some((revision, entry)) = self.known(name) else { return true };
        if entry.phase != JobPhase::Open || entry.owner.as_ref() != Some(&self.me) {
            return true;
        }
        let done = JobEntry { phase: JobPhase::Done, ..entry };
        match self.store.replace(&done, revision).await {
            Ok(Some(at)) => {
                log::info!(job:% = name, revision = at.0; "job done");
                self.take_entry(at, done);
                true
            }
            Ok(None) => {
                self.refresh(name).await;
                false
            }
            Err(fault) => {
                log::warn!(job:% = name, error:% = fault; "job can't be marked as done");
                false
            }
        }
    }

    /// Gives each open job away once its running items have ended and are listed, and the rest when
    /// the time for that is over.
    ///
    /// A job without running items waits for nothing: its items would stand still here.
    pub async fn hand_over(self: &Arc<Self>) {
        self.drain();
        let end = clock::steady() + DRAIN_TIME.into();
        while clock::steady() < end && self.give_jobs_away(false).await {
            time::sleep(RETRY_PAUSE).await;
        }
        time::sleep(GATHER_TIME + GATHER_TIME).await;
        self.give_jobs_away(true).await;
    }

    /// Gives the jobs away that are at rest, or `all`; tells whether any is left.
    async fn give_jobs_away(self: &Arc<Self>, all: bool) -> bool {
        let owned: Vec<(JobId, Arc<Held>)> =
            self.owned.lock().iter().map(|(name, held)| (name.clone(), Arc::clone(held))).collect();
        let mut left = false;
        for (name, held) in owned {
            let rests = {
                let job = held.job.lock();
                job.running() == 0 && job.offers().is_empty()
            };
            if all || rests {
                self.give_away(&name).await;
            }
            left |= self.is_mine(&name);
        }
        left
    }

    async fn give_away(self: &Arc<Self>, name: &JobId) {
        let Some((revision, entry)) = self.known(name) else { return };
        if entry.phase != JobPhase::Open || entry.owner.as_ref() != Some(&self.me) {
            return;
        }
        let free = JobEntry { owner: None, ..entry };
        match self.store.replace(&free, revision).await {
            Ok(Some(at)) => {
                log::info!(job:% = name, revision = at.0; "job given away");
                self.take_entry(at, free);
                if let Some(next) = next_owner(name, &self.cluster.live_entry_hosts()) {
                    self.tell(next.clone(), name.clone());
                }
            }
            // Another host takes it over once this one is gone.
            Ok(None) => log::info!(job:% = name; "job has changed; not given away"),
            Err(fault) => log::warn!(job:% = name, error:% = fault; "job not given away"),
        }
    }
}

/// Logs a job that is open past its time, at intervals.
fn tell_if_late(job: &Job, wall: Time, told: &mut Option<Time>) {
    let entry = &job.entry;
    if wall < entry.due_at() || told.is_some_and(|told| wall.since(told) < LATE_INTERVAL) {
        return;
    }
    *told = Some(wall);
    log::warn!(job:% = entry.job, route:% = entry.route, accepted = entry.accepted.0,
        due = entry.due_at().0, items:% = job.tally(); "job is late");
}
