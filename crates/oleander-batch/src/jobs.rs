//! The jobs that this host participates in: discovery, opening of lots, cancellation and
//! completion.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use oleander_core::{EventKind, HostId, JobId, LotIndex, ServiceId, Span, TargetId, Time, hash};
use oleander_host::clock;
use oleander_intake::StoreError;
use oleander_jobs::{
    Counts, FileRecord, JobRecord, JobState, Lot, LotConfig, LotEnd, LotEvent, LotPlan,
    LotScheduler, ScheduledJob, key,
};
use oleander_node::ServicePool;
use oleander_peer::PeerRequest;
use parking_lot::Mutex;
use tokio::{sync::mpsc, time};

use crate::{app::App, lots::OpenLot, runs::LotId};

const SCAN_INTERVAL: Duration = Duration::from_secs(1);
const OPEN_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds how long the lots of a cancelled job go on if the notice of the cancellation is lost.
const CANCELLATION_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for a peer to reply to the notice of a cancellation.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);
const COMPLETION_CHECK_INTERVAL: Duration = Duration::from_secs(5);
const PUBLISH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time by which scans overlap: covers clock differences between hosts, and the time between the
/// announcement of a job and its record.
const SCAN_OVERLAP: Span = Span::from_secs(60);
/// Maximum age of a job that may still be open.
const MAX_JOB_AGE: Span = Span::from_secs(8 * 24 * 3600);
/// Time between two scans over [`MAX_JOB_AGE`].
const FULL_SCAN_INTERVAL: Span = Span::from_secs(600);
const PAGE_SIZE: usize = 1000;
/// Maximum number of open lots, without those that this host only watches.
const MAX_RUNNING_LOTS: usize = 16;
/// Maximum number of open lots, watched ones included; bounds memory, since each holds its lines.
const MAX_OPEN_LOTS: usize = 32;
/// Minimum claim timeout, in checkpoint intervals.
const MIN_CLAIM_CHECKPOINTS: u64 = 3;
/// Maximum number of lots that are being opened or claimed.
const MAX_PENDING_LOTS: usize = 4;
/// Number of ready items assumed for a lot that is being opened or claimed.
const EXPECTED_LOT_ITEMS: usize = 64;
/// Minimum number of ready items, below which another lot is opened.
const MIN_READY_ITEMS: usize = 64;
const TAG_HEX_DIGITS: usize = 8;

/// The stored records of an open job.
#[derive(Debug)]
pub(crate) struct JobInfo {
    record: JobRecord,
    file: FileRecord,
    plan: LotPlan,
}

/// The jobs that this host participates in.
#[derive(Debug)]
pub(crate) struct Jobs {
    scheduler: LotScheduler,
    open: BTreeMap<JobId, Arc<JobInfo>>,
    ended: HashMap<JobId, Time>,
}

impl Jobs {
    /// No jobs yet.
    pub(crate) fn new(host: HostId, takeover_delay: Span) -> Self {
        let scheduler = LotScheduler::new(host, takeover_delay);
        Self { scheduler, open: BTreeMap::new(), ended: HashMap::new() }
    }

    /// Sets the live batch hosts.
    pub(crate) fn set_hosts(&mut self, now: Time, hosts: Vec<HostId>) {
        self.scheduler.set_hosts(now, hosts);
    }

    /// Whether this host runs suspects at the target.
    pub(crate) fn runs_suspects_at(&self, target: &TargetId) -> bool {
        self.scheduler.runs_suspects_at(target)
    }

    /// Records how a lot ended that this host had open.
    pub(crate) fn record_end(&mut self, now: Time, job: &JobId, lot: LotIndex, end: LotEnd) {
        self.scheduler.record_end(now, job, lot, end);
    }

    fn get(&self, job: &JobId) -> Option<Arc<JobInfo>> {
        self.open.get(job).cloned()
    }

    /// Whether the job was not seen before and this host participates in it.
    fn is_new(&self, found: &key::Announcement) -> bool {
        let known = self.open.contains_key(&found.job) || self.ended.contains_key(&found.job);
        !known && self.scheduler.participates_in(&found.job, found.lots)
    }

    fn add(&mut self, now: Time, info: JobInfo) {
        let record = &info.record;
        self.scheduler.add_job(
            now,
            ScheduledJob {
                job: record.job.clone(),
                service: record.service.clone(),
                lots: record.lots,
                deadline: record.deadline,
            },
        );
        self.open.insert(record.job.clone(), Arc::new(info));
    }

    /// Removes a job; the next scans skip its announcement.
    fn remove(&mut self, now: Time, job: &JobId) {
        self.scheduler.remove_job(job);
        self.open.remove(job);
        self.ended.retain(|_, at| now.since(*at) <= SCAN_OVERLAP * 2);
        self.ended.insert(job.clone(), now);
    }
}

/// Starts the loops.
pub(crate) fn start(app: &Arc<App>) {
    tokio::spawn(run_scans(Arc::clone(app)));
    tokio::spawn(run_opening(Arc::clone(app)));
    tokio::spawn(run_cancellations(Arc::clone(app)));
    tokio::spawn(run_completions(Arc::clone(app)));
}

async fn run_scans(app: Arc<App>) {
    let mut from = clock::now() - MAX_JOB_AGE;
    let mut full_scan_at = clock::now();
    loop {
        let now = clock::now();
        if now.since(full_scan_at) >= FULL_SCAN_INTERVAL {
            (from, full_scan_at) = (now - MAX_JOB_AGE, now);
        }
        match scan(&app, from).await {
            Ok(()) => from = now - SCAN_OVERLAP,
            Err(error) => log::warn!("scanning for jobs failed: {error}"),
        }
        time::sleep(SCAN_INTERVAL).await;
    }
}

/// Loads the jobs that were announced since `from`.
async fn scan(app: &App, from: Time) -> Result<(), StoreError> {
    let mut after = key::announcement_prefix(from);
    loop {
        let page = app.store.list(key::ANNOUNCEMENT_PREFIX, &after, PAGE_SIZE).await?;
        for found in page.objects.iter().filter_map(|row| key::parse_announcement(&row.key)) {
            if app.jobs.lock().is_new(&found) {
                load_job(app, &found.job).await?;
            }
        }
        match page.objects.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => return Ok(()),
        }
    }
}

async fn load_job(app: &App, job: &JobId) -> Result<(), StoreError> {
    let Some((_, record)) = app.store.job(job).await? else { return Ok(()) };
    if record.state != JobState::Open {
        app.jobs.lock().remove(clock::now(), job);
        return Ok(());
    }
    let name = key::file(&record.workspace, &record.file);
    let file = app.store.file(&record.workspace, &record.file).await?;
    let file = file.ok_or(StoreError::Missing(name))?;
    let plan = LotPlan::new(&file.chunks, record.lot_items);
    app.jobs.lock().add(clock::now(), JobInfo { record, file, plan });
    Ok(())
}

async fn run_opening(app: Arc<App>) {
    while app.is_running() {
        while wants_lot(&app) {
            let has_targets = |service: &ServiceId| app.pools.get(service).is_some();
            let picked = app.jobs.lock().scheduler.pick(clock::now(), has_targets);
            let Some((job, index)) = picked else { break };
            app.opening.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(open(Arc::clone(&app), LotId { job, index }));
        }
        time::sleep(OPEN_INTERVAL).await;
    }
}

/// Whether to open another lot because the open ones may soon run out of ready items.
///
/// Each open lot costs writes to the platform. Lots that are being opened or claimed count with
/// [`EXPECTED_LOT_ITEMS`], so that not too many are opened at once.
fn wants_lot(app: &App) -> bool {
    let lots = app.open_lots();
    let claiming = lots.iter().filter(|lot| lot.state.lock().is_pending()).count();
    let watching = lots.iter().filter(|lot| lot.state.lock().is_watching()).count();
    let pending = claiming + app.opening();
    let full = lots.len() >= MAX_OPEN_LOTS || lots.len() - watching >= MAX_RUNNING_LOTS;
    if full || pending >= MAX_PENDING_LOTS {
        return false;
    }
    let now = clock::now();
    let ready: usize = lots.iter().map(|lot| lot.state.lock().ready_count(now)).sum();
    let running = app.runs.lock().len();
    let expected = ready + pending * EXPECTED_LOT_ITEMS;
    running < app.settings.batch.slots as usize && expected < MIN_READY_ITEMS.max(running / 2)
}

async fn open(app: Arc<App>, id: LotId) {
    match load_lot(&app, &id).await {
        Ok(Some(lot)) => {
            let lot = Arc::new(lot);
            app.lots.lock().insert(id.clone(), Arc::clone(&lot));
            // The job may have been stopped while the lot was loaded.
            let stopped = app.jobs.lock().get(&id.job).is_none();
            app.handle_event(&lot, if stopped { LotEvent::Release } else { LotEvent::Tick });
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!("lot {}/{} can't be opened: {error}", id.job, id.index);
            app.jobs.lock().record_end(clock::now(), &id.job, id.index, LotEnd::Released);
        }
    }
    app.opening.fetch_sub(1, Ordering::SeqCst);
}

/// Loads a lot; `None` if its job has ended, or if it is closed or can't run here.
async fn load_lot(app: &App, id: &LotId) -> Result<Option<OpenLot>, StoreError> {
    let Some(info) = app.jobs.lock().get(&id.job) else { return Ok(None) };
    if !check_completion(app, &info).await?
        || app.jobs.lock().scheduler.is_closed(&id.job, id.index)
    {
        return Ok(None);
    }
    let service = &info.record.service;
    let (Some(range), Some(pool)) = (info.plan.range(id.index), app.pools.get(service)) else {
        app.jobs.lock().record_end(clock::now(), &id.job, id.index, LotEnd::Released);
        return Ok(None);
    };
    let digest = &info.file.chunks[range.chunk.0 as usize].digest;
    let chunk = app.store.chunk(&info.record.workspace, digest).await?;
    let limits = pool.limits();
    let config = LotConfig {
        max_tries: limits.item_tries,
        target_count: pool.addresses().len() as u32,
        checkpoint_interval: limits.checkpoint_interval,
        claim_timeout: app
            .settings
            .batch
            .claim_timeout
            .max(limits.checkpoint_interval * MIN_CLAIM_CHECKPOINTS),
        deadline: info.record.deadline,
    };
    let host = app.settings.host.clone();
    let incarnation = app.next_incarnation.fetch_add(1, Ordering::SeqCst);
    let tag = format!("{:016x}", hash::hash_parts(&[host.as_str(), &incarnation.to_string()]));
    app.record_event(EventKind::Claimed, &id.job, format!("lot {} opened", id.index));
    Ok(Some(OpenLot {
        id: id.clone(),
        pool,
        first: range.first.0,
        lines: item_lines(&chunk, range.offset, range.count),
        tag: tag[..TAG_HEX_DIGITS].to_owned(),
        suspect_since: Mutex::new(None),
        state: Mutex::new(Lot::new(host, incarnation, range, config, clock::now())),
    }))
}

fn item_lines(chunk: &Bytes, offset: u32, count: u32) -> Vec<Bytes> {
    let lines = chunk.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let lines = lines.skip(offset as usize).take(count as usize);
    lines.map(|line| chunk.slice_ref(line)).collect()
}

/// Polls the records of jobs with open lots, since the notice of a cancellation may be lost.
async fn run_cancellations(app: Arc<App>) {
    loop {
        let mut jobs: Vec<JobId> = app.open_lots().iter().map(|lot| lot.id.job.clone()).collect();
        jobs.sort();
        jobs.dedup();
        for job in jobs {
            match app.store.job(&job).await {
                Ok(Some((_, record))) if record.state != JobState::Open => app.stop_job(&job),
                Ok(_) => {}
                Err(error) => log::warn!("job {job} can't be read: {error}"),
            }
        }
        time::sleep(CANCELLATION_POLL_INTERVAL).await;
    }
}

/// Stops jobs that were cancelled through this host, and notifies all peers.
pub(crate) async fn forward_cancellations(
    app: Arc<App>,
    mut cancelled_jobs: mpsc::Receiver<JobId>,
) {
    while let Some(job) = cancelled_jobs.recv().await {
        app.stop_job(&job);
        for link in app.peers.lock().links() {
            let (app, request) = (Arc::clone(&app), PeerRequest::Cancelled(job.clone()));
            tokio::spawn(async move { app.call_peer(&link, &request, NOTIFY_TIMEOUT).await });
        }
    }
}

/// Checks the jobs that this host coordinates, and removes others that it has no lots of.
async fn run_completions(app: Arc<App>) {
    loop {
        time::sleep(COMPLETION_CHECK_INTERVAL).await;
        let open: Vec<Arc<JobInfo>> = app.jobs.lock().open.values().cloned().collect();
        for info in open {
            let job = &info.record.job;
            let (coordinator, idle) = {
                let jobs = app.jobs.lock();
                (jobs.scheduler.is_coordinator(job), jobs.scheduler.is_idle(job))
            };
            if !coordinator && idle {
                app.jobs.lock().remove(clock::now(), job);
            } else if coordinator && let Err(error) = check_completion(&app, &info).await {
                log::warn!("job {job} can't be checked: {error}");
            }
        }
    }
}

/// Records which lots are closed, and completes the job if all are; false if it has ended.
async fn check_completion(app: &App, info: &JobInfo) -> Result<bool, StoreError> {
    let job = &info.record.job;
    let closed = app.store.closed_lots(job).await?;
    {
        let mut jobs = app.jobs.lock();
        closed.lots.iter().for_each(|lot| jobs.scheduler.record_closed(job, *lot));
    }
    let record = if closed.lots.len() as u32 >= info.record.lots {
        app.store.complete(job, closed.counts, clock::now()).await?
    } else {
        app.store.job(job).await?.map(|(_, record)| record)
    };
    let Some(record) = record.filter(|record| record.state != JobState::Open) else {
        return Ok(true);
    };
    app.record_event(EventKind::Finished, job, format!("job {}", record.state));
    app.jobs.lock().remove(clock::now(), job);
    Ok(false)
}

impl App {
    /// Number of lots that are being opened.
    pub(crate) fn opening(&self) -> usize {
        self.opening.load(Ordering::SeqCst)
    }

    /// Removes a job that has ended and releases its lots.
    pub(crate) fn stop_job(self: &Arc<Self>, job: &JobId) {
        self.jobs.lock().remove(clock::now(), job);
        let lots = self.open_lots().into_iter().filter(|lot| lot.id.job == *job);
        for lot in lots {
            self.record_event(EventKind::Cancelled, job, format!("lot {} stopped", lot.id.index));
            self.handle_event(&lot, LotEvent::Release);
        }
    }

    /// Publishes the counts of a closed lot, and completes the job if it was the last one.
    pub(crate) async fn publish_closed(&self, id: &LotId, counts: Counts) {
        let name = key::closed_lot(&id.job, id.index, counts);
        while let Err(error) = self.store.create(&name, Bytes::new()).await {
            log::warn!("object {name} was not written: {error}");
            time::sleep(PUBLISH_RETRY_DELAY).await;
        }
        let Some(info) = self.jobs.lock().get(&id.job) else { return };
        if let Err(error) = check_completion(self, &info).await {
            log::warn!("job {} can't be checked: {error}", id.job);
        }
    }
}
